"""A process that stood still: what it may trust, and since when a signal may have waited for it."""

from __future__ import annotations

import asyncio
import json
from types import SimpleNamespace

import pytest

from fordtrestle.dissemination.items import Availability, MemberRecord, member_item
from fordtrestle.peer.protocol import PEER_TIMEOUT_S
from fordtrestle.roles.control_contact import ControlContact, has_majority
from fordtrestle.roles.process import Process
from fordtrestle.roles.shutdown import ShutdownBudget
from fordtrestle.roles.sidecar_process import SidecarProcess
from fordtrestle.roles.stall_monitor import RECOVERY_S, StallMonitor
from fordtrestle.settings.boot import parse_settings
from tests.exchanges import loopback
from tests.settings.test_boot import BOOT

FROZEN_AT, THAWED_AT = 10.0, 14.0
ROUNDING_S = 0.001  # more than the rounding of any reading of the loop's clock


def make_monitor(*ticks):
    monitor = StallMonitor()
    for at in ticks:
        monitor.tick(at)
    return monitor


@pytest.mark.parametrize(
    ("ticks", "now", "has_recovered", "earliest_arrival"),
    [
        pytest.param((9.75, FROZEN_AT), 10.2, True, 10.2, id="no stall"),
        pytest.param((9.75, FROZEN_AT), THAWED_AT, False, FROZEN_AT, id="before the first tick"),
        pytest.param((FROZEN_AT, THAWED_AT), THAWED_AT, False, FROZEN_AT, id="in the turn of that tick"),
        pytest.param((FROZEN_AT, THAWED_AT, 15.0), 15.1, False, 15.1, id="not recovered"),
        pytest.param((FROZEN_AT, THAWED_AT, 15.0, 16.0), THAWED_AT + RECOVERY_S, True, 16.0, id="recovered"),
        pytest.param((9.0, 9.9), 10.8, True, 10.8, id="a short delay"),
    ],
)
def test_after_a_stall_nothing_is_trusted_for_a_while_and_signals_may_be_old(
    ticks, now, has_recovered, earliest_arrival
):
    monitor = make_monitor(*ticks)
    assert (monitor.has_recovered(now), monitor.earliest_arrival(now)) == (has_recovered, earliest_arrival)


@pytest.mark.parametrize(
    ("linked", "known", "expected"),
    [
        ("", "", False),
        ("a", "", True),
        ("", "abc", False),
        ("a", "abc", False),
        ("ab", "abc", True),
        ("aabb", "abcd", False),
        ("abd", "abc", True),
    ],
)
def test_contact_needs_links_to_a_majority_of_the_control_processes(linked, known, expected):
    """A sidecar whose region is cut off has a link to the region's own control process alone."""
    assert has_majority(linked, known) is expected


def test_contact_to_control_lasts_for_a_second_after_the_last_link():
    links = [True, False]
    contact = ControlContact(lambda now: links.pop(0))
    assert not contact.is_recent(10.0)
    contact.refresh(10.0)
    contact.refresh(10.5)
    assert contact.is_recent(11.0)
    assert not contact.is_recent(11.1)


@loopback
async def _check_budgets():
    now = asyncio.get_running_loop().time()
    for grace_s, stalled_s, remaining_s in (
        (8.0, 0.0, 7.5),
        (8.0, 5.0, 2.5),
        (8.0, 30.0, 1.0),
        (1.0, 30.0, 0.5),
    ):
        budget = ShutdownBudget(grace_s, now - stalled_s)
        assert budget.remaining_s() == pytest.approx(remaining_s, abs=0.2)


def test_a_process_that_stalled_for_longer_than_its_grace_period_has_time_to_answer():
    _check_budgets()


@loopback
async def _check_ticks():
    monitor, ticks = StallMonitor(), []

    def fail(now):
        ticks.append(now)
        raise OSError("no link")

    monitor.on_tick = fail
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    asyncio.get_running_loop().call_soon(monitor.start)
    async with asyncio.timeout(5.0):
        while len(ticks) < 2:
            await asyncio.sleep(0.01)


def test_an_error_in_what_is_called_at_a_tick_does_not_end_the_ticks():
    _check_ticks()


@loopback
async def _run_shutdown():
    process = Process(parse_settings(json.dumps(BOOT)), "sidecar")
    process.stalls.start()
    process.stalls._ticked_at -= 5.0
    process._request_shutdown()
    process._request_shutdown()
    budget = process.begin_shutdown()
    assert 2.0 <= budget.remaining_s() <= 2.5


def test_the_grace_period_of_a_process_that_stood_still_counts_from_when_it_stopped(monkeypatch):
    """Frozen for 5 s, told to end meanwhile: it took requests until it was killed at the end of its grace."""
    monkeypatch.setattr(ShutdownBudget, "start_watchdog", lambda budget: None)
    monkeypatch.setattr("fordtrestle.roles.process._SIGNALS", ())
    _run_shutdown()


def control_member(number):
    record = MemberRecord(
        f"core-{number}", "control", "kul-1", "kul", f"10.1.0.{number}:7660", "", Availability.READY
    )
    return member_item(record, 1, 1)


def control_link(number, received_at):
    return SimpleNamespace(node=f"core-{number}", peer=f"10.1.0.{number}:7660", received_at=received_at)


@loopback
async def _check_sidecar():
    sidecar = SidecarProcess(parse_settings(json.dumps(BOOT)))
    process, now = sidecar.process, asyncio.get_running_loop().time()
    links = [control_link(number, now - PEER_TIMEOUT_S + ROUNDING_S) for number in (1, 2)]
    silent = control_link(2, now - PEER_TIMEOUT_S - ROUNDING_S)
    process.gossip.catalog.merge([control_member(number) for number in (1, 2, 3)], now)
    process.stalls.tick(now)
    for linked, started_at, is_current in (
        (links, now - 60.0, True),
        (links, now, False),
        (links[:1], now - 60.0, False),
        (
            [SimpleNamespace(node="front-1", peer="10.1.0.9:7661", received_at=now), *links[:1]],
            now - 60.0,
            False,
        ),
        ([*links[:1], silent], now - 60.0, False),
    ):
        process.mesh.links = lambda linked=linked: linked
        sidecar._control_contact = ControlContact(sidecar._is_linked_to_control)
        sidecar._control_contact.refresh(now)
        sidecar.view._started_at = started_at
        assert sidecar.router.is_view_current(now) is is_current
    await sidecar.forwarder.close()


def test_a_sidecar_trusts_its_view_once_it_knows_its_peers_and_hears_most_control_processes():
    _check_sidecar()

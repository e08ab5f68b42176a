"""Servers that restart, move or are replaced while requests or connects to them are in progress."""

from __future__ import annotations

import asyncio

import pytest

from fordtrestle.balancer.model import Outcome
from fordtrestle.proxy.http import idle_connections
from tests.loopback import OK, App, Scripted, Upstream, entry, running, until
from tests.proxy.http.test_client_gone import HeldConnects
from tests.proxy.http.test_upstream import fail_unless_last, make_pool, server_update
from tests.virtual import virtual

START = 1_790_000_000_000
GRACE = {"Rules": {"StopSendingWithin": 60_000.0}}


@pytest.fixture(autouse=True)
def no_reuse_delay(monkeypatch):
    """Allow a connection to be reused at once."""
    monkeypatch.setattr(idle_connections, "REUSE_DELAY_MS", 0.0)


def apply_update(sidecar, *entries):
    sidecar.pool.update(sidecar.driver._clock.now(), False, server_update(*entries))


@pytest.mark.parametrize("moves", [False, True])
@virtual
async def test_a_connection_that_becomes_idle_after_a_restart_is_not_reused(moves):
    gate = asyncio.Event()

    async def once_told(reader, writer):
        await gate.wait()
        return OK

    old, new = await Upstream([once_told, OK]).start(), await Upstream().start()
    async with running(old, balancer=Scripted(), **GRACE) as sidecar:
        app = await App.connect(sidecar.address)
        app.send()
        await until(lambda: old.seen)
        apply_update(sidecar, entry("s0", (new if moves else old).address, since_ms=0 if moves else START))
        gate.set()
        assert (await app.answer()).body == b"done"  # a request in flight is completed
        assert not sidecar.pool._servers["s0"].idle
        assert (await app.ask()).body == b"done"
        assert [seen.connection for seen in old.seen] == ([0] if moves else [0, 1])
        assert len(new.seen) == moves
        await until(lambda: old.writers[0].is_closing() and len(sidecar.pool._connections) == 1)
    new.stop()


@pytest.mark.parametrize("what", ["started", "moved", "left and back elsewhere", "place taken"])
@virtual
async def test_a_connect_to_a_replaced_server_carries_nothing(what, monkeypatch):
    old, new = await Upstream().start(), await Upstream().start()
    module = Scripted(outcome=fail_unless_last)
    async with running(old, balancer=module, **GRACE) as sidecar:
        app, held = await App.connect(sidecar.address), HeldConnects(monkeypatch)
        app.send()
        await until(lambda: held.up)
        if what == "started":
            apply_update(sidecar, entry("s0", old.address, since_ms=START))
        elif what == "moved":
            apply_update(sidecar, entry("s0", new.address))
        elif what == "left and back elsewhere":
            (dialled,) = sidecar.pool._dialer.connecting.values()
            apply_update(sidecar, entry("s0", status="left"))
            dialled.closed_from_ms = sidecar.driver._clock.now()  # its grace is over
            apply_update(sidecar, entry("s0", new.address))
        else:
            apply_update(sidecar, entry("other", old.address))
        held.gate.set()
        assert (await app.answer()).start.split(" ")[1] == "502"
        assert module.outcomes() == [(0, Outcome.CONNECT_FAILED, False)]
        assert old.seen == new.seen == []
        await until(lambda: not sidecar.pool._connections)
        assert sidecar.pool.budget.descriptors.used == 0
    new.stop()


@virtual
async def test_a_server_that_leaves_and_returns_unchanged_keeps_its_record():
    upstream = await Upstream().start()
    async with running(upstream, balancer=Scripted(), **GRACE) as sidecar:
        apply_update(sidecar, entry("s0", upstream.address, status="leaving"))
        leaving = sidecar.pool._servers["s0"]
        assert leaving.closed_from_ms < float("inf")
        apply_update(sidecar, entry("s0", upstream.address))
        assert sidecar.pool._servers["s0"] is leaving
        assert leaving.closed_from_ms == float("inf")


@virtual
async def test_a_restarted_server_keeps_its_reuse_and_grace_times():
    upstream = await Upstream().start()
    pool = make_pool(upstream)
    pool.update(1000.0, False, server_update(entry("s0", upstream.address, status="leaving")))
    first = pool._servers["s0"]
    first.reuse_from_ms = 9000.0
    until_ms = first.closed_from_ms
    pool.update(1400.0, False, server_update(entry("s0", upstream.address, status="leaving", since_ms=START)))
    second = pool._servers["s0"]
    assert second is not first
    assert (second.closed_from_ms, second.reuse_from_ms) == (until_ms, 9000.0)
    assert first.closed_from_ms == 1400.0  # nothing more is written to the old incarnation
    pool.update(1500.0, False, server_update(entry("s0", upstream.address, since_ms=START)))
    assert pool._servers["s0"] is second
    assert second.closed_from_ms == float("inf")
    upstream.stop()


@virtual
async def test_a_duplicate_response_of_a_replaced_server_does_not_affect_the_current_one():
    upstream = await Upstream([OK]).start()
    async with running(upstream, balancer=Scripted()) as sidecar:
        app = await App.connect(sidecar.address)
        await app.ask()
        (before,) = sidecar.pool._connections
        apply_update(sidecar, entry("s0", upstream.address, since_ms=START))
        await until(lambda: upstream.writers[0].is_closing() and not sidecar.pool._connections)
        await (await App.connect(sidecar.address)).ask()
        (now,) = sidecar.pool._servers["s0"].idle
        sidecar.pool.on_unsolicited_data(before)
        assert sidecar.pool._servers["s0"].idle == [now]
        assert sidecar.pool._servers["s0"].reuse_from_ms == 0.0

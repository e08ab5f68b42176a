"""When a sidecar that shuts down announces what, in virtual time, by the situation of its region."""

from __future__ import annotations

import asyncio
import json

import pytest

from fordtrestle.dissemination.items import Availability, MemberRecord, member_item
from fordtrestle.ingress.server import IngressLimits, IngressServer
from fordtrestle.roles.drain import drain_sidecar
from fordtrestle.roles.process import Process
from fordtrestle.roles.shutdown import ShutdownBudget
from fordtrestle.settings.boot import parse_settings
from tests.ingress.stage import IngressHarness, route
from tests.settings.test_boot import BOOT
from tests.virtual import virtual

READY, LEAVING, CLOSING = Availability.READY, Availability.LEAVING, Availability.CLOSING
STARTING, DOWN = Availability.STARTING, Availability.DOWN
GRACE_S = 8.0
SOON_READY_S = 1.5


class RecordingServer(IngressServer):
    """An ingress server that records what is asked of it."""

    def __init__(self, context, limits, record):
        super().__init__(context, limits)
        self._record = record

    def begin_closing(self):
        self._record("answers end connections")
        super().begin_closing()

    async def drain(self):
        self._record("takes no request")
        await super().drain()


def other(process, availability, name="zz"):
    """Another sidecar of the region; its name gives it a later turn."""
    me = process.gossip.me
    return MemberRecord(name, "sidecar", me.zone, me.region, f"{name}:1", f"{name}:80", availability)


async def drain_among(others, became=None, was=READY, grace_s=GRACE_S):
    """What is announced and done, and how many s after SIGTERM."""
    events = []
    loop = asyncio.get_running_loop()
    process = Process(parse_settings(json.dumps(BOOT)), "sidecar")
    process.announce(was)

    def record(text):
        events.append(f"{loop.time() - budget.began_at:.1f} {text}")

    def changed(items):
        events.extend(
            f"{loop.time() - budget.began_at:.1f} announces {item.value.availability.name}"
            for item in items
            if item.value.node == process.gossip.me.node
        )

    def publish(availability, counter):
        process.gossip.publish([member_item(other(process, availability), 1, counter)])

    for availability in others:
        publish(availability, 1)
    server = RecordingServer(IngressHarness(route()).context, IngressLimits(10, 1000), record)
    budget = ShutdownBudget(grace_s)
    process.on_items = changed
    if became is not None:
        loop.call_later(SOON_READY_S, publish, became, 2)
    await drain_sidecar(process, server, budget)
    record("drained")
    return events


def transcript(closing_s, away_s=3.0):
    """The events where clients are sent away that late, and have so long to go."""
    drained_s = closing_s + away_s
    return [
        "0.0 announces LEAVING",
        f"{closing_s:.1f} announces CLOSING",
        f"{closing_s:.1f} answers end connections",
        f"{drained_s:.1f} takes no request",
        f"{drained_s:.1f} drained",
    ]


@pytest.mark.parametrize(
    ("others", "became", "expected"),
    [
        ([READY], None, transcript(0.3)),
        ([], None, transcript(0.3)),
        ([DOWN], None, transcript(0.3)),
        ([LEAVING], None, transcript(0.3)),
        ([STARTING], READY, transcript(1.5)),
        ([CLOSING], READY, transcript(1.5)),
        ([CLOSING], None, transcript(2.7)),
    ],
    ids=[
        "others are ready",
        "alone",
        "others are down",
        "my turn",
        "one starts",
        "one is back",
        "none comes back",
    ],
)
@virtual
async def test_clients_are_sent_away_once_the_region_is_served_without_it(others, became, expected):
    assert await drain_among(others, became) == expected


@virtual
async def test_a_sidecar_that_was_never_ready_waits_for_no_clients():
    assert await drain_among([READY], was=STARTING) == ["0.0 takes no request", "0.0 drained"]


@virtual
async def test_a_short_grace_period_is_kept():
    events = await drain_among([CLOSING], grace_s=3.0)
    assert events[-1] == "1.9 drained", events

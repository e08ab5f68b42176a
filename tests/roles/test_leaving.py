"""When a sidecar that is told to end tells what, in virtual time, by the situation of its region."""

from __future__ import annotations

import asyncio
import json

import pytest

from fordtrestle.dissemination.items import Availability, MemberRecord, member_item
from fordtrestle.ingress.server import Bounds, Front
from fordtrestle.roles.ending import Ending
from fordtrestle.roles.leaving import leave
from fordtrestle.roles.process import Process
from fordtrestle.settings.boot import parse_settings
from tests.ingress.stage import Stage, route
from tests.settings.test_boot import BOOT
from tests.virtual import virtual

READY, LEAVING, CLOSING = Availability.READY, Availability.LEAVING, Availability.CLOSING
STARTING, DOWN = Availability.STARTING, Availability.DOWN
GRACE_S = 8.0
SOON_READY_S = 1.5


class Witnessed(Front):
    """A front that notes what is asked of it."""

    def __init__(self, shared, bounds, note):
        super().__init__(shared, bounds)
        self._note = note

    def send_away(self):
        self._note("answers end connections")
        super().send_away()

    async def leave(self):
        self._note("takes nothing more")
        await super().leave()


def other(process, availability, name="zz"):
    """Another sidecar of the region; its name gives it a later turn."""
    me = process.gossip.me
    return MemberRecord(name, "sidecar", me.zone, me.region, f"{name}:1", f"{name}:80", availability)


async def play(others, became=None, was=READY, grace_s=GRACE_S):
    """What is told, and how many s after SIGTERM."""
    told = []
    loop = asyncio.get_running_loop()
    process = Process(parse_settings(json.dumps(BOOT)), "sidecar")
    process.announce(was)

    def note(text):
        told.append(f"{loop.time() - ending.began:.1f} {text}")

    def changed(items):
        told.extend(
            f"{loop.time() - ending.began:.1f} says {item.value.availability.name}"
            for item in items
            if item.value.node == process.gossip.me.node
        )

    def publish(availability, counter):
        process.gossip.publish([member_item(other(process, availability), 1, counter)])

    for availability in others:
        publish(availability, 1)
    front = Witnessed(Stage(route()).shared, Bounds(10, 1000), note)
    ending = Ending(grace_s)
    process.on_items = changed
    if became is not None:
        loop.call_later(SOON_READY_S, publish, became, 2)
    await leave(process, front, ending)
    note("left")
    return told


def transcript(says_closing, away=3.0, leaves=None):
    """What is told where clients are sent away that late, and have so long to go."""
    end = says_closing + away if leaves is None else leaves
    return [
        "0.0 says LEAVING",
        f"{says_closing:.1f} says CLOSING",
        f"{says_closing:.1f} answers end connections",
        f"{end:.1f} takes nothing more",
        f"{end:.1f} left",
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
    assert await play(others, became) == expected


@virtual
async def test_one_that_was_never_ready_has_no_clients_to_wait_for():
    assert await play([READY], was=STARTING) == ["0.0 takes nothing more", "0.0 left"]


@virtual
async def test_a_short_grace_is_kept():
    told = await play([CLOSING], grace_s=3.0)
    assert told[-1] == "1.9 left", told

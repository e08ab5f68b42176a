"""How a sidecar that is told to end leaves its clients (`docs/design/planned-ends.md`)."""

from __future__ import annotations

import asyncio

import eliot

from fordtrestle.dissemination.items import Availability
from fordtrestle.ingress.directory import TTL_S
from fordtrestle.ingress.server import Front
from fordtrestle.roles.ending import Ending
from fordtrestle.roles.process import Process
from fordtrestle.routing.sidecar_selector import can_close

LEAVE_TTLS = 3.0  # lives of a directory's answer that some clients keep it for
NOTICED_S = 0.3  # for word of others that are told to end at the same time
LOOK_S = 0.05
CUT_S = 0.3  # before its time is over, that a sidecar cuts what is open


async def leave(process: Process, front: Front, ending: Ending) -> None:
    """Serve on while the region needs it, let clients go elsewhere, and finish what is open."""
    cut_at = ending.last - CUT_S
    front.cut_at(cut_at, ending.began)
    eliot.log_message("sidecar:leaving", open_requests=front.open_requests)
    if process.gossip.me.availability is Availability.READY:
        process.announce(Availability.LEAVING)
        # After that other regions serve streams better.
        stay_s = front.drain_policy.all_streams_until - ending.began
        await ending.step("serve on for the region", _region_is_served(process), stay_s)
        process.announce(Availability.CLOSING)
        front.send_away()
        away_s = ending.left_s() - 2 * CUT_S
        await ending.step("clients go elsewhere", asyncio.sleep(LEAVE_TTLS * TTL_S), away_s)
    eliot.log_message("sidecar:left", open_requests=front.open_requests)
    await ending.step("finish what is open", front.leave(), ending.left_s() - CUT_S / 2)


async def _region_is_served(process: Process) -> None:
    """Wait until clients of this region have others to go to, or nobody else is to come."""
    await asyncio.sleep(NOTICED_S)
    while not can_close(process.gossip.me, [member for member, _ in process.gossip.catalog.members()]):
        await asyncio.sleep(LOOK_S)

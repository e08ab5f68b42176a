"""Hands the clients of a sidecar over to others during its shutdown (`docs/design/planned-ends.md`)."""

from __future__ import annotations

import asyncio

import eliot

from fordtrestle.dissemination.items import Availability
from fordtrestle.ingress.directory import RESPONSE_TTL_S
from fordtrestle.ingress.server import IngressServer
from fordtrestle.roles.process import Process
from fordtrestle.roles.shutdown import ShutdownBudget
from fordtrestle.routing.sidecar_selector import can_close

CLOSING_TTLS = 3.0  # how long some clients keep a directory response, in multiples of its time to live
ANNOUNCEMENT_S = 0.3  # for the announcements of sidecars that shut down at the same time to arrive
REGION_CHECK_S = 0.05  # between checks whether other sidecars serve the region
ABORT_MARGIN_S = 0.3  # open requests are aborted this long before the process has to exit


async def drain_sidecar(process: Process, server: IngressServer, budget: ShutdownBudget) -> None:
    """Keep serving while the region needs it, let clients move elsewhere, and finish open requests.

    Args:
        process: Announces the progress of the shutdown.
        server: Serves the clients; it has no open requests in the end, but is not closed.
        budget: The time for the shutdown.
    """
    server.abort_requests_at(budget.exit_at - ABORT_MARGIN_S, budget.started_at)
    eliot.log_message("sidecar:draining", open_requests=server.open_requests)
    if process.gossip.me.availability is Availability.READY:
        await _hand_over_clients(process, server, budget)
    eliot.log_message("sidecar:drained", open_requests=server.open_requests)
    finish_s = budget.remaining_s() - ABORT_MARGIN_S / 2
    await budget.run_step("finish what is open", server.drain(), finish_s)


async def _hand_over_clients(process: Process, server: IngressServer, budget: ShutdownBudget) -> None:
    """Keep serving until other sidecars serve the region, then let clients move away.

    Directories stop naming it one time to live of their responses before it begins to reject requests whose
    deadlines are too late, so that most clients have moved by then.
    """
    process.announce(Availability.LEAVING)
    wait_s = server.drain_policy.accept_all_until - RESPONSE_TTL_S - budget.started_at
    await budget.run_step("serve on for the region", _wait_for_other_sidecars(process), wait_s)
    process.announce(Availability.CLOSING)
    server.begin_closing()
    move_s = budget.remaining_s() - 2 * ABORT_MARGIN_S
    await budget.run_step("clients go elsewhere", asyncio.sleep(CLOSING_TTLS * RESPONSE_TTL_S), move_s)


async def _wait_for_other_sidecars(process: Process) -> None:
    """Wait until clients of this region have other sidecars, or none is about to become ready."""
    await asyncio.sleep(ANNOUNCEMENT_S)
    while not can_close(process.gossip.me, [member for member, _ in process.gossip.catalog.members()]):
        await asyncio.sleep(REGION_CHECK_S)

"""How a sidecar hands its clients over to others as it shuts down (`docs/design/planned-ends.md`)."""

from __future__ import annotations

import asyncio

import eliot

from fordtrestle.dissemination.items import Availability
from fordtrestle.ingress.directory import RESPONSE_TTL_S
from fordtrestle.ingress.server import IngressServer
from fordtrestle.roles.process import Process
from fordtrestle.roles.shutdown import ShutdownBudget
from fordtrestle.routing.sidecar_selector import can_close

CLOSING_TTLS = 3.0  # for which some clients keep a directory's response, in multiples of its time to live
ANNOUNCEMENT_S = 0.3  # in which the announcements of others arrive that shut down at the same time
REGION_CHECK_S = 0.05  # between checks whether the region is served by others
ABORT_MARGIN_S = 0.3  # before the process has to have exited, by which open requests are given up


async def drain_sidecar(process: Process, server: IngressServer, budget: ShutdownBudget) -> None:
    """Serve on while the region needs it, let clients go elsewhere, and finish what is open.

    Args:
        process: Announces how far the shutdown has come.
        server: Serves the clients; nothing is open there at the end, but it is not closed.
        budget: The time that there is.
    """
    server.abort_requests_at(budget.exit_at - ABORT_MARGIN_S, budget.began_at)
    eliot.log_message("sidecar:draining", open_requests=server.open_requests)
    if process.gossip.me.availability is Availability.READY:
        await _hand_over_clients(process, server, budget)
    eliot.log_message("sidecar:drained", open_requests=server.open_requests)
    finish_s = budget.remaining_s() - ABORT_MARGIN_S / 2
    await budget.run_step("finish what is open", server.drain(), finish_s)


async def _hand_over_clients(process: Process, server: IngressServer, budget: ShutdownBudget) -> None:
    """Serve on until others serve the region, then send clients away.

    It serves on no longer than it takes streams of any length: after that other regions serve them better.
    """
    process.announce(Availability.LEAVING)
    stay_s = server.drain_policy.accept_all_streams_until - budget.began_at
    await budget.run_step("serve on for the region", _wait_for_other_sidecars(process), stay_s)
    process.announce(Availability.CLOSING)
    server.begin_closing()
    away_s = budget.remaining_s() - 2 * ABORT_MARGIN_S
    await budget.run_step("clients go elsewhere", asyncio.sleep(CLOSING_TTLS * RESPONSE_TTL_S), away_s)


async def _wait_for_other_sidecars(process: Process) -> None:
    """Wait until clients of this region have others to go to, or nobody else is about to be ready."""
    await asyncio.sleep(ANNOUNCEMENT_S)
    while not can_close(process.gossip.me, [member for member, _ in process.gossip.catalog.members()]):
        await asyncio.sleep(REGION_CHECK_S)

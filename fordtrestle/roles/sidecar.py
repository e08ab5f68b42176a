"""The `sidecar` role: ingress, admission and forwarding on machines that clients reach."""

from __future__ import annotations

import asyncio

import eliot

from fordtrestle.admission.budgets import ColdBudget, RetryBudget
from fordtrestle.admission.urgency import Urgency
from fordtrestle.admission.window import Admission
from fordtrestle.dissemination.items import Availability, Item
from fordtrestle.forward.client import Forwarder
from fordtrestle.ingress.directory import TTL_S
from fordtrestle.ingress.exchange import Decisions
from fordtrestle.ingress.server import Bounds, Front, Readiness
from fordtrestle.ingress.waiting import Waiting
from fordtrestle.roles import metrics
from fordtrestle.roles.process import SIDECAR_ROLE, Process, serve_http, serve_metrics
from fordtrestle.roles.process import main as run_role
from fordtrestle.routing.selection import Selection
from fordtrestle.routing.view import View
from fordtrestle.settings.boot import Boot

LEAVE_TTLS = 3.0  # lives of a directory's answer that some clients keep it for
QUIET_S = 0.5  # without a request, before the connections that rest are closed
GRACE_MARGIN_S = 1.0  # of the platform's grace, to end in
DRAINED_S = 0.05
FORGET_S = 10.0


async def run(boot: Boot) -> int:
    """Serve until SIGTERM; the exit code."""
    process = Process(boot, SIDECAR_ROLE)
    loop = asyncio.get_running_loop()
    view = View(boot.zones, boot.heartbeat_s, loop.time())
    bounds = boot.bounds
    cold = ColdBudget(bounds.cold_overshoot, bounds.cold_slack, boot.node_name)
    decisions = Decisions(
        view=view,
        admission=Admission(process.rng.random),
        retries=RetryBudget(bounds.retry_budget_ratio, bounds.retry_allowance, bounds.budget_window_s),
        selection=Selection(view, cold, boot.zone, boot.region, process.rng.random, process.crossing_s),
        urgency=Urgency(),
        waiting=Waiting(),
        forwarder=Forwarder(),
        rng=process.rng,
    )
    front = Front(decisions, Bounds.of(boot.max_fds, boot.memory_mb))

    def changed(items: list[Item]) -> None:
        view.apply(items, loop.time())
        decisions.waiting.wake()
        if view.table and process.gossip.me.availability is Availability.STARTING:
            eliot.log_message("sidecar:ready", generation=view.generation)
            process.announce(Availability.READY)

    process.on_items = changed
    await process.start()
    await front.listen(boot.listen["front"])
    readiness = Readiness(lambda: process.gossip.me.availability is Availability.READY)
    runners = [await serve_http(readiness.application(), boot.listen["readiness"])]

    def figures() -> metrics.Figures:
        return {
            **metrics.of_catalog(process.gossip.catalog),
            **decisions.admission.figures(),
            "open_requests": front.open_requests,
            "links": len(process.mesh.links()),
        }

    runners += await serve_metrics(boot, figures)
    async with asyncio.TaskGroup() as tasks:
        background = [
            tasks.create_task(process.keep_dialling()),
            tasks.create_task(process.gossip.run(process.rng)),
            tasks.create_task(_forget(view, cold)),
        ]
        await process.stopping.wait()
        await _leave(process, front, bounds.grace_s)
        for task in background:
            task.cancel()
    await front.close()
    for runner in runners:
        await runner.cleanup()
    await decisions.forwarder.close()
    await process.mesh.close()
    return 0


async def _forget(view: View, cold: ColdBudget) -> None:
    while True:
        await asyncio.sleep(FORGET_S)
        view.forget(asyncio.get_running_loop().time())
        cold.forget(view.servers.instances())


async def _leave(process: Process, front: Front, grace_s: float) -> None:
    """Let clients go elsewhere, then finish what is open, within the platform's grace."""
    loop = asyncio.get_running_loop()
    last = loop.time() + max(0.0, grace_s - GRACE_MARGIN_S)
    eliot.log_message("sidecar:leaving", open_requests=front.open_requests)
    front.leaving = True
    process.announce(Availability.LEAVING)
    await asyncio.sleep(min(LEAVE_TTLS * TTL_S, grace_s / 2))
    front.stop_listening()
    while loop.time() < last:
        if not front.open_requests and loop.time() - front.last_request_at > QUIET_S:
            break
        await asyncio.sleep(DRAINED_S)
    eliot.log_message("sidecar:left", open_requests=front.open_requests)


def main() -> int:
    """Run as a process of its own; the exit code."""
    return run_role(run)

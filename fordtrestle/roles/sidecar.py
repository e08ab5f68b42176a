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
from fordtrestle.roles.ending import Ending
from fordtrestle.roles.process import ENDPOINT_S, SIDECAR_ROLE, Process, serve_http, serve_metrics
from fordtrestle.roles.process import main as run_role
from fordtrestle.routing.fronts import may_close
from fordtrestle.routing.selection import Selection
from fordtrestle.routing.view import View
from fordtrestle.settings.boot import Boot

LEAVE_TTLS = 3.0  # lives of a directory's answer that some clients keep it for
NOTICED_S = 0.3  # for word of others that are told to end at the same time
LOOK_S = 0.05
CUT_S = 0.3  # before its time is over, that a sidecar cuts what is open
CLOSE_S = 0.25  # for all connections to end in
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
        ending = process.begin_to_end()
        await _leave(process, front, ending)
        for task in background:
            task.cancel()
    await ending.step("connections of clients", front.close(), CLOSE_S)
    for runner in runners:
        await ending.step("endpoint", runner.cleanup(), ENDPOINT_S)
    await ending.step("connections to servers", decisions.forwarder.close(), ENDPOINT_S)
    await ending.step("links", process.mesh.close(), ENDPOINT_S)
    return 0


async def _forget(view: View, cold: ColdBudget) -> None:
    while True:
        await asyncio.sleep(FORGET_S)
        view.forget(asyncio.get_running_loop().time())
        cold.forget(view.servers.instances())


async def _leave(process: Process, front: Front, ending: Ending) -> None:
    """Let clients go elsewhere, then finish what is open, within the platform's grace."""
    cut_at = ending.last - CUT_S
    front.cut_at(cut_at, ending.began)
    eliot.log_message("sidecar:leaving", open_requests=front.open_requests)
    if process.gossip.me.availability is Availability.READY:
        process.announce(Availability.LEAVING)
        stay_s = front.intake.streams_until - ending.began  # then other regions serve streams better
        await ending.step("serve on for the region", _region_is_served(process), stay_s)
    process.announce(Availability.CLOSING)
    front.send_away()
    await ending.step("clients go elsewhere", asyncio.sleep(LEAVE_TTLS * TTL_S), ending.left_s() - 2 * CUT_S)
    eliot.log_message("sidecar:left", open_requests=front.open_requests)
    await ending.step("finish what is open", front.leave(), ending.left_s() - CUT_S / 2)


async def _region_is_served(process: Process) -> None:
    """Wait until clients of this region have others to go to, or nobody else is to come."""
    await asyncio.sleep(NOTICED_S)
    while not may_close(process.gossip.me, [member for member, _ in process.gossip.catalog.members()]):
        await asyncio.sleep(LOOK_S)


def main() -> int:
    """Run as a process of its own; the exit code."""
    return run_role(run)

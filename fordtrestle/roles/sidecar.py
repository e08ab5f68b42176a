"""The `sidecar` role: ingress, admission and forwarding on machines that clients reach."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial

import eliot

from fordtrestle.admission.admission_control import AdmissionControl
from fordtrestle.admission.priority_assigner import PriorityAssigner
from fordtrestle.admission.retry_budget import RetryBudget
from fordtrestle.admission.warm_up_budget import WarmUpBudget
from fordtrestle.dissemination.items import Availability, Item
from fordtrestle.forward.client import Forwarder
from fordtrestle.ingress.early_listener import EarlyListener
from fordtrestle.ingress.exchange import Shared
from fordtrestle.ingress.server import Bounds, Front, Readiness
from fordtrestle.ingress.waiting import Waiting
from fordtrestle.roles import metrics
from fordtrestle.roles.leaving import leave
from fordtrestle.roles.process import (
    ENDPOINT_S,
    LINKS_S,
    SIDECAR_ROLE,
    Process,
    serve_http,
    serve_metrics,
)
from fordtrestle.roles.process import main as run_role
from fordtrestle.routing.outcome_reporter import REPORT_INTERVAL_S, OutcomeReporter
from fordtrestle.routing.router import Router
from fordtrestle.routing.server_selector import ServerSelector
from fordtrestle.routing.view import View
from fordtrestle.settings.records import BootSettings

CLOSE_S = 0.25  # for all connections to end in
FORGET_S = 10.0


async def run(boot: BootSettings, early: EarlyListener | None = None) -> int:
    """Serve until SIGTERM; the exit code. Clients may have come to an earlier listener."""
    process = Process(boot, SIDECAR_ROLE)
    loop = asyncio.get_running_loop()
    view = View(boot.zones, boot.heartbeat_s, loop.time())
    bounds = boot.bounds
    cold = WarmUpBudget(bounds.cold_overshoot, bounds.cold_slack, boot.node_name)
    router = Router(
        view=view,
        admission=AdmissionControl(process.rng.random),
        retries=RetryBudget(bounds.retry_budget_ratio, bounds.retry_allowance, bounds.budget_window_s),
        selector=ServerSelector(view, cold, boot.zone, boot.region, process.rng.random, process.crossing_s),
        draw=process.rng.random,
    )
    shared = Shared(router, PriorityAssigner(), Waiting(), Forwarder(), process.rng)
    front = Front(shared, Bounds.of(boot.max_fds, boot.memory_mb))

    reading: asyncio.Task[None] | None = None

    def changed(items: list[Item]) -> None:
        nonlocal reading
        view.apply(items, loop.time())
        if view.has_unparsed and (reading is None or reading.done()):
            reading = asyncio.create_task(_read_on(view, told))
        told()

    def told() -> None:
        shared.waiting.wake()
        if view.table and process.gossip.me.availability is Availability.STARTING:
            eliot.log_message("sidecar:ready", generation=view.generation)
            process.announce(Availability.READY)

    process.on_items = changed
    await process.start()
    await front.listen(boot.listen["front"], early)
    readiness = Readiness(lambda: process.gossip.me.availability is Availability.READY)
    runners = [await serve_http(readiness.application(), boot.listen["readiness"])]

    def figures() -> metrics.Figures:
        return {
            **metrics.of_catalog(process.gossip.catalog),
            **router.admission.figures(),
            "open_requests": front.open_requests,
            "servers_ejected": view.servers.ejected_count(loop.time()),
            "links": len(process.mesh.links()),
        }

    runners += await serve_metrics(boot, figures)
    async with asyncio.TaskGroup() as tasks:
        background = [
            tasks.create_task(process.keep_dialling()),
            tasks.create_task(process.gossip.run(process.rng)),
            tasks.create_task(_forget(view, cold)),
            tasks.create_task(report_failures(process, router.reporter)),
        ]
        await process.stopping.wait()
        ending = process.begin_to_end()
        await leave(process, front, ending)
        for task in background:
            task.cancel()
    await ending.step("connections of clients", front.close(), CLOSE_S)
    for runner in runners:
        await ending.step("endpoint", runner.cleanup(), ENDPOINT_S)
    await ending.step("connections to servers", shared.forwarder.close(), ENDPOINT_S)
    await ending.step("links", process.mesh.close(), LINKS_S)
    return 0


async def _read_on(view: View, done: Callable[[], None]) -> None:
    """Read long configurations beside all else that the loop has to do."""
    while view.has_unparsed:
        generation = view.generation
        view.parse_step()
        if view.generation != generation:
            done()
        await asyncio.sleep(0)


async def _forget(view: View, cold: WarmUpBudget) -> None:
    while True:
        await asyncio.sleep(FORGET_S)
        view.expire(asyncio.get_running_loop().time())
        cold.retain(view.servers.instances())


async def report_failures(process: Process, reporter: OutcomeReporter) -> None:
    """Tell the owners of services of the requests that failed there, until cancelled."""
    while True:
        await asyncio.sleep(REPORT_INTERVAL_S)
        for report in reporter.take_reports(asyncio.get_running_loop().time()):
            link = process.owner_link(report.service)
            if link:
                link.send(report)


def main(early: EarlyListener | None = None) -> int:
    """Run as a process of its own; the exit code."""
    return run_role(partial(run, early=early))

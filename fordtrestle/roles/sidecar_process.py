"""The components of one sidecar process, and how they are connected.

`sidecar.py` serves its endpoints and shuts them down in order.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

import eliot

from fordtrestle.admission.admission_control import AdmissionControl
from fordtrestle.admission.priority_assigner import PriorityAssigner
from fordtrestle.admission.retry_budget import RetryBudget
from fordtrestle.admission.warm_up_budget import WarmUpBudget
from fordtrestle.dissemination.items import Availability, Item
from fordtrestle.forward.client import Forwarder
from fordtrestle.ingress.inbound_request import HandlerContext
from fordtrestle.ingress.readiness import Readiness
from fordtrestle.ingress.send_log import SendLog
from fordtrestle.ingress.server import IngressServer
from fordtrestle.ingress.wait_queue import WaitQueue
from fordtrestle.listener.client_quotas import ClientQuotas, SocketLimits
from fordtrestle.peer.protocol import PEER_TIMEOUT_S
from fordtrestle.roles import metrics
from fordtrestle.roles.control_contact import ControlContact, has_majority
from fordtrestle.roles.process import CONTROL_ROLE, MAX_CONTROL_LINKS, SIDECAR_ROLE, Process
from fordtrestle.routing.outcome_reporter import REPORT_INTERVAL_S, OutcomeReporter
from fordtrestle.routing.router import Router
from fordtrestle.routing.server_selector import ServerSelector
from fordtrestle.routing.view import View
from fordtrestle.settings.records import BootSettings

EXPIRY_INTERVAL_S = 10.0  # between two expirations of departed sidecars and servers


class SidecarProcess:
    """One sidecar process: its view of the system, its router, and its ingress server."""

    def __init__(self, boot: BootSettings) -> None:
        """Create the components without running them.

        Args:
            boot: The settings that the process was started with.
        """
        self.process = Process(boot, SIDECAR_ROLE)
        self.view = View(boot.zones, boot.heartbeat_s, asyncio.get_running_loop().time())
        bounds = boot.bounds
        self._warm_up_budget = WarmUpBudget(bounds.cold_overshoot, bounds.cold_slack, boot.node_name)
        self._control_contact = ControlContact(self._is_linked_to_control)
        self.process.stalls.on_tick = self._control_contact.refresh
        self.router = self._make_router(boot)
        socket_limits = SocketLimits.for_sidecar(boot.max_fds)
        self.quotas = ClientQuotas.for_sidecar(socket_limits, boot.memory_mb)
        self.forwarder = Forwarder(socket_limits.servers)
        self._wait_queue = WaitQueue()
        context = HandlerContext(
            self.router,
            PriorityAssigner(),
            self._wait_queue,
            self.forwarder,
            self.process.rng,
            SendLog(lambda: self.process.boot.log_sends),
        )
        self.server = IngressServer(context, self.quotas.budget("front"), socket_limits.clients)
        self._parsing: asyncio.Task[None] | None = None
        self.process.on_items = self._on_items

    def make_readiness(self) -> Readiness:
        """Create the endpoint where the platform checks whether this sidecar is ready."""
        return Readiness(lambda: self.process.gossip.me.availability is Availability.READY)

    def background_tasks(self) -> list[Coroutine[Any, Any, None]]:
        """Create the coroutines that run until the process ends."""
        return [
            self.process.maintain_links(),
            self.process.gossip.run(self.process.rng),
            self._expire(),
            report_outcomes(self.process, self.router.reporter),
        ]

    def figures(self) -> metrics.Figures:
        """Return the metrics of this process, by name."""
        now = asyncio.get_running_loop().time()
        return {
            **metrics.of_catalog(self.process.gossip.catalog),
            **self.router.admission.figures(),
            **self.quotas.figures(),
            "open_requests": self.server.open_requests,
            "servers_ejected": self.view.servers.ejected_count(now),
            "links": len(self.process.mesh.links()),
        }

    def _make_router(self, boot: BootSettings) -> Router:
        bounds, draw = boot.bounds, self.process.rng.random
        selector = ServerSelector(
            self.view, self._warm_up_budget, boot.zone, boot.region, draw, self.process.round_trip_s
        )
        return Router(
            view=self.view,
            admission=AdmissionControl(draw),
            retries=RetryBudget(bounds.retry_budget_ratio, bounds.retry_allowance, bounds.budget_window_s),
            selector=selector,
            draw=draw,
            is_view_current=self._is_view_current,
        )

    def _is_linked_to_control(self, now: float) -> bool:
        """Return whether a majority of the control processes has been heard on their links lately.

        A link ends after `PEER_TIMEOUT_S` without a byte, but only once this process runs: after a stall that
        is too short for `StallMonitor` a link may be older.
        """
        process = self.process
        members = [member for member, _ in process.gossip.catalog.members()]
        controls = sorted((member.peer, member.node) for member in members if member.role == CONTROL_ROLE)
        known = [node for _, node in controls[:MAX_CONTROL_LINKS]]  # no more are dialled
        linked = [
            link.node
            for link in process.mesh.links()
            if process.is_control(link.peer) and now - link.received_at <= PEER_TIMEOUT_S
        ]
        return has_majority(linked, known)

    def _is_view_current(self, now: float) -> bool:
        """Return whether this process knows its peers, has not stalled, and is in contact with control."""
        if not self.view.knows_peers(now):
            return False
        return self.process.stalls.has_recovered(now) and self._control_contact.is_recent(now)

    def _on_items(self, items: list[Item]) -> None:
        """Apply new items; a long configuration is parsed in a background task."""
        self.view.apply(items, asyncio.get_running_loop().time())
        if self.view.has_pending_parse and (self._parsing is None or self._parsing.done()):
            self._parsing = asyncio.create_task(self._parse())
        self._on_view_changed()

    async def _parse(self) -> None:
        """Parse the rest of the newest configuration, one step per turn of the event loop."""
        while self.view.has_pending_parse:
            generation = self.view.generation
            self.view.parse_step()
            if self.view.generation != generation:
                self._on_view_changed()
            await asyncio.sleep(0)

    def _on_view_changed(self) -> None:
        """Wake waiting requests; the first configuration makes this sidecar ready."""
        self._wait_queue.wake_all()
        if self.view.table and self.process.gossip.me.availability is Availability.STARTING:
            eliot.log_message("sidecar:ready", generation=self.view.generation)
            self.process.announce(Availability.READY)

    async def _expire(self) -> None:
        """Expire departed sidecars and servers periodically, until cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            self.view.expire(asyncio.get_running_loop().time())
            self._warm_up_budget.retain(self.view.servers.instances())


async def report_outcomes(process: Process, reporter: OutcomeReporter) -> None:
    """Report request outcomes to the owners of services with failed requests, until cancelled.

    A report is dropped if there is no link to the owner.
    """
    while True:
        await asyncio.sleep(REPORT_INTERVAL_S)
        for report in reporter.take_reports(asyncio.get_running_loop().time()):
            link = process.owner_link(report.service)
            if link:
                link.send(report)

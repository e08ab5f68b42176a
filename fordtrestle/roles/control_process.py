"""The components of one control process, and how they are connected.

`control.py` opens the store, serves the endpoints and shuts the components down in order.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any

import eliot

from fordtrestle.control_api.commands import CommandHandler
from fordtrestle.control_api.coordination_http import CoordinationApi
from fordtrestle.control_api.coordination_router import CoordinationRouter
from fordtrestle.control_api.coordination_service import CoordinationService
from fordtrestle.control_api.heartbeats import HeartbeatMonitor
from fordtrestle.control_api.http import ControlApi
from fordtrestle.control_api.outliers import OutlierDetector
from fordtrestle.control_api.read_index import SharedReadIndex
from fordtrestle.control_api.watches import MAX_WATCHES, WatchService
from fordtrestle.control_api.withdrawals import WithdrawalConfirmer
from fordtrestle.coordination.calls import CoordinationCall, CoordinationReply
from fordtrestle.coordination.limits import HISTORY_MARGIN_S
from fordtrestle.coordination.observation_clock import ObservationClock
from fordtrestle.dissemination.items import ControlView, control_item
from fordtrestle.dissemination.messages import Confirm, Confirmed, OutcomeReport
from fordtrestle.dissemination.ownership import successor_of
from fordtrestle.ingress.directory import Directory
from fordtrestle.listener.client_quotas import ClientQuotas, SocketLimits
from fordtrestle.peer.handshake import COORDINATION_VERSION
from fordtrestle.peer.link import Link
from fordtrestle.peer.messages import Envelope
from fordtrestle.peer.remote_clock import ClockReading
from fordtrestle.peer.replicator import Replicator
from fordtrestle.replication.durable import Durable
from fordtrestle.replication.epochs import NO_TERM, Epoch, Store, Term
from fordtrestle.replication.messages import Announce
from fordtrestle.replication.node import Node
from fordtrestle.replication.state import ControlState
from fordtrestle.roles import metrics
from fordtrestle.roles.event_log import EventLog
from fordtrestle.roles.process import CONTROL_ROLE, Process
from fordtrestle.settings.records import BootSettings
from fordtrestle.storage.log import RecordLog

# Between two checks for servers whose heartbeats have stopped: a fraction of the 1 s between heartbeats.
HEARTBEAT_CHECK_S = 0.3

# A leaving process keeps serving for at least this long, so that its announcement reaches the others.
MIN_LEAVE_S = 0.3

# Between two checks whether this process can leave. It is polled: no event signals it, as it depends on time.
LEAVE_CHECK_S = 0.05

CLOCK_READING_INTERVAL_S = 0.5

MAX_WATCHES_FRACTION = 2 / 3  # of the connections

NOTHING_LOGGED = -1  # lower than any epoch number


@dataclass(frozen=True, slots=True)
class _PublishedState:
    """The parts of a committed state that are published to other processes, and the term of its epoch.

    Most writes come from applications and change none of these parts. The term is included because another
    primary may have published a different state in between.
    """

    term: Term
    generation: int
    evacuated: tuple[str, ...]


NOTHING_PUBLISHED = _PublishedState(NO_TERM, -1, ())


class ControlProcess:
    """One control process: its store, its links, and the handlers for operators, servers and applications."""

    def __init__(self, boot: BootSettings, log: RecordLog, durable: Durable) -> None:
        """Create the components without running them.

        Args:
            boot: The settings that the process was started with.
            log: The open log of its store.
            durable: The state that was restored from the log.
        """
        self.process = Process(boot, CONTROL_ROLE)
        me = Store(durable.store, self.process.gossip.me.peer, str(boot.listen["control"]), boot.zone)
        self.node = self._make_node(boot, me, durable)
        self.replicator = Replicator(
            self.node, log, self.process.mesh, self.process.is_control, self._on_progress
        )
        self.heartbeats = HeartbeatMonitor(boot.node_name, boot.heartbeat_s)
        self.withdrawals = WithdrawalConfirmer(
            me, self.process.mesh, self.process.gossip, lambda: self.node.newest_epoch
        )
        self.outliers = OutlierDetector(self.process.gossip, dict(boot.zones))
        self.coordination = self._make_coordination(boot)
        self.router = CoordinationRouter(self.coordination, self.node, self.process.mesh)
        read_index = SharedReadIndex(self.router.call, self.replicator.now)
        socket_limits = SocketLimits.for_control(boot.max_fds)
        self.quotas = ClientQuotas.for_control(socket_limits, boot.memory_mb)
        # Other callers need connections too.
        max_watches = min(MAX_WATCHES, int(socket_limits.clients * MAX_WATCHES_FRACTION))
        self.watches = WatchService(self.replicator, read_index, max_watches)
        self._event_log = EventLog(self.node.events)
        self._published = NOTHING_PUBLISHED
        self._logged_epoch = NOTHING_LOGGED
        self.process.on_message = self._on_message
        self.process.on_link_up = self._on_link_up

    def make_api(self, boot: BootSettings) -> ControlApi:
        """Create the endpoint for operators, servers and applications."""
        return ControlApi(
            CommandHandler(self.replicator),
            self.heartbeats,
            self.withdrawals,
            CoordinationApi(self.router.call, self.watches),
            self.process.gossip,
            frozenset(boot.zones),
            self.node,
        )

    def make_directory(self, boot: BootSettings) -> Directory:
        """Create the endpoint where clients look up which sidecar to connect to."""
        return Directory(
            self.process.gossip.catalog,
            self.process.linked_nodes,
            frozenset(boot.zones.values()),
            boot.bounds.max_ttl_s,
            self.process.rng,
        )

    def background_tasks(self) -> list[Coroutine[Any, Any, None]]:
        """Create the coroutines that run until the process ends."""
        return [
            self.replicator.run(),
            self.process.maintain_links(),
            self.process.gossip.run(self.process.rng),
            self.monitor_servers(),
            self.send_clock_readings(),
        ]

    def figures(self) -> metrics.Figures:
        """Return the metrics of this process, by name."""
        epoch, state = self.node.epoch, self.node.durable.state
        return {
            **metrics.of_catalog(self.process.gossip.catalog),
            "epoch": epoch.term.number if epoch else 0,
            "is_primary": self.node.is_primary,
            "is_ready": self.node.is_ready,
            **metrics.of_events(self.node.events),
            **self.quotas.figures(),
            "sequence": state.sequence,
            "log_bytes": self.replicator.log_bytes,
            "links": len(self.process.mesh.links()),
            "messages_skipped": self.process.mesh.skipped_messages,
            "coordination_expired": self.coordination.expired_count + self.router.expired_count,
            **metrics.of_coordination(
                state.coordination, self.coordination.answer_counts, self.watches.open_watches
            ),
        }

    async def leave(self) -> None:
        """Keep serving until an epoch without this store is open, whose replicas hold its state.

        If the store ended at once, each write would lose one of its copies, and a further failure could then
        exceed the tolerated number.
        """
        loop = asyncio.get_running_loop()
        self.node.leave(loop.time())
        self.replicator.announce()
        self.replicator.pump()
        await asyncio.sleep(MIN_LEAVE_S)
        while not self.node.can_leave(loop.time()):
            await asyncio.sleep(LEAVE_CHECK_S)

    async def monitor_servers(self) -> None:
        """Publish which servers are unresponsive, until cancelled."""
        while True:
            await asyncio.sleep(HEARTBEAT_CHECK_S)
            now = asyncio.get_running_loop().time()
            self.outliers.expire(now)
            items = self.heartbeats.find_unresponsive(self.process.gossip.catalog, now, self._is_successor_of)
            if items:
                eliot.log_message("control:servers-unresponsive", keys=[item.key for item in items])
                self.process.gossip.publish(items)

    async def send_clock_readings(self) -> None:
        """Tell the other control processes what the clock of this one shows, until cancelled."""
        while True:
            await asyncio.sleep(CLOCK_READING_INTERVAL_S)
            for link in self._control_links():
                self.router.send_clock_reading(link)

    def _make_node(self, boot: BootSettings, me: Store, durable: Durable) -> Node:
        return Node(
            me,
            durable,
            tolerated_failures=boot.tolerance.machines,
            counts_for_quorum=boot.counts_for_quorum,
            draw=self.process.rng.random,
            now=asyncio.get_running_loop().time(),
            seeds=self._seeds,
        )

    def _make_coordination(self, boot: BootSettings) -> CoordinationService:
        clock = ObservationClock(boot.bounds.history_s + HISTORY_MARGIN_S)
        return CoordinationService(self.replicator, clock, self._is_coordination_supported)

    def _is_coordination_supported(self) -> bool:
        """Return whether all linked control processes support locks, counters and keys."""
        return all(link.version >= COORDINATION_VERSION for link in self._control_links())

    def _control_links(self) -> list[Link]:
        return [link for link in self.process.mesh.links() if self.process.is_control(link.peer)]

    def _seeds(self) -> list[str]:
        """Return the current seeds from the settings file, not those at the start of the process."""
        return [str(seed) for seed in self.process.boot.seeds]

    def _on_link_up(self, link: Link) -> None:
        if self.process.is_control(link.peer):
            self.router.send_clock_reading(link)

    def _on_message(self, link: Link, message: Any) -> None:
        match message:
            case Confirm():
                self.withdrawals.on_confirm(link, message)
            case Confirmed():
                self.withdrawals.on_confirmed(link, message)
            case OutcomeReport():
                self.outliers.on_report(link.node, message, asyncio.get_running_loop().time())
            case CoordinationCall():
                self.router.on_call(link, message)
            case CoordinationReply():
                self.router.on_reply(message)
            case ClockReading():
                self.router.on_clock_reading(link, message)
            case Envelope() | Announce():
                self.replicator.on_message(message)

    def _on_progress(self) -> None:
        """Publish, answer and log after a change in the replication node."""
        self._event_log.write()
        self.coordination.observe()
        self.watches.on_progress()
        epoch, state = self.node.epoch, self.node.committed_state
        if epoch and state and self.node.is_ready:
            self._publish_state(epoch, state)
        if epoch and epoch.term.number != self._logged_epoch:
            self._log_epoch(epoch)

    def _publish_state(self, epoch: Epoch, state: ControlState) -> None:
        """Publish a committed state if it has changed; an uncommitted one could still be lost."""
        published = _PublishedState(epoch.term, state.generation, state.evacuated)
        if published == self._published:
            return
        self._published = published
        view = ControlView(state.sequence, state.generation, state.document, state.evacuated)
        self.process.gossip.publish([control_item(view)])

    def _log_epoch(self, epoch: Epoch) -> None:
        self._logged_epoch = epoch.term.number
        eliot.log_message(
            "control:epoch",
            number=epoch.term.number,
            primary=epoch.primary,
            replicas=list(epoch.replicas),
            witnesses=list(epoch.witness_ids),
        )

    def _is_successor_of(self, node: str) -> bool:
        """Return whether this process monitors the servers of a control process that is down."""
        members = [member for member, _ in self.process.gossip.catalog.members()]
        return successor_of(node, members, CONTROL_ROLE) == self.process.boot.node_name

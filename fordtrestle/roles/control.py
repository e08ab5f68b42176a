"""The `control` role: custody of the configuration, heartbeats of servers, the directory."""

from __future__ import annotations

import asyncio
import secrets
from typing import Any

import eliot

from fordtrestle.control_api.commands import CommandHandler
from fordtrestle.control_api.heartbeats import HeartbeatMonitor
from fordtrestle.control_api.http import ControlApi
from fordtrestle.control_api.outliers import OutlierDetector
from fordtrestle.control_api.withdrawals import WithdrawalConfirmer
from fordtrestle.dissemination.items import Availability, ControlView, control_item
from fordtrestle.dissemination.messages import Confirm, Confirmed, OutcomeReport
from fordtrestle.dissemination.ownership import successor_of
from fordtrestle.ingress.directory import Directory
from fordtrestle.peer.codec import decode, encode
from fordtrestle.peer.errors import CodecError
from fordtrestle.peer.link import Link
from fordtrestle.peer.messages import Envelope
from fordtrestle.peer.replicator import Replicator
from fordtrestle.replication.durable import Durable
from fordtrestle.replication.epochs import Store
from fordtrestle.replication.messages import Announce
from fordtrestle.replication.node import Node
from fordtrestle.roles import metrics
from fordtrestle.roles.event_log import EventLog
from fordtrestle.roles.process import (
    CONTROL_ROLE,
    ENDPOINT_S,
    EXIT_FAILED,
    LINKS_S,
    Process,
    serve_http,
    serve_metrics,
)
from fordtrestle.roles.process import main as run_role
from fordtrestle.settings.records import BootSettings
from fordtrestle.storage.log import RecordLog, StorageError, UnknownFormatError

STORE_ID_BYTES = 8
SILENCE_CHECK_S = 0.3
DISK_RETRY_S = 0.5
LEAVE_LEAST_S = 0.3  # for word of the end to reach the others
LEAVE_CHECK_S = 0.05
CLOSE_S = 1.5  # before its time is over, that a control process goes whoever needs it


async def _open_store(log: RecordLog, must_bootstrap: bool) -> Durable:
    """What the disk holds, or a new store, which may be told to found the core. Waits for a disk that
    refuses.
    """
    while True:
        try:
            records = await asyncio.to_thread(log.open)
            durable = Durable.restore(map(decode, records))
            if durable:
                return durable
            durable = Durable(secrets.token_hex(STORE_ID_BYTES), must_bootstrap)
            await asyncio.to_thread(log.append, [encode(record) for record in durable.snapshot()])
            return durable
        except UnknownFormatError:
            raise
        except StorageError as error:
            eliot.log_message("control:disk-refuses", reason=repr(error.__cause__))
            await asyncio.sleep(DISK_RETRY_S)


class Control:
    """The parts of one control process."""

    def __init__(self, boot: BootSettings, log: RecordLog, durable: Durable) -> None:
        self.process = Process(boot, CONTROL_ROLE)
        me = Store(durable.store, self.process.gossip.me.peer, str(boot.listen["control"]), boot.zone)
        self.node = Node(
            me,
            durable,
            tolerated_failures=boot.tolerance.machines,
            counts_for_quorum=boot.counts_for_quorum,
            draw=self.process.rng.random,
            now=asyncio.get_running_loop().time(),
            seeds=lambda: [str(seed) for seed in self.process.boot.seeds],
        )
        self.replicator = Replicator(
            self.node, log, self.process.mesh, self.process.is_control, self._changed
        )
        self.heartbeats = HeartbeatMonitor(boot.node_name, boot.heartbeat_s)
        self._published = -1
        self._epoch = -1
        self._log_events = EventLog(self.node.events)
        self.withdrawals = WithdrawalConfirmer(
            me, self.process.mesh, self.process.gossip, lambda: self.node.newest_epoch
        )
        self.outliers = OutlierDetector(self.process.gossip, dict(boot.zones))
        self.process.on_message = self._received

    def _received(self, link: Link, message: Any) -> None:
        match message:
            case Confirm():
                self.withdrawals.on_confirm(link, message)
            case Confirmed():
                self.withdrawals.on_confirmed(link, message)
            case OutcomeReport():
                self.outliers.on_report(link.node, message, asyncio.get_running_loop().time())
            case Envelope() | Announce():
                self.replicator.on_message(message)

    def _changed(self) -> None:
        """Spread what is committed; tell what has happened, and who is primary."""
        self._log_events()
        state = self.node.committed_state
        if state and state.sequence > self._published and self.node.is_ready:
            self._published = state.sequence
            view = ControlView(state.sequence, state.generation, state.document, state.evacuated)
            self.process.gossip.publish([control_item(view)])
        epoch = self.node.epoch
        if epoch and epoch.term.number != self._epoch:
            self._epoch = epoch.term.number
            eliot.log_message(
                "control:epoch",
                number=epoch.term.number,
                primary=epoch.primary,
                replicas=list(epoch.replicas),
                witnesses=list(epoch.witness_ids),
            )

    def figures(self) -> metrics.Figures:
        """What is measured of this process."""
        epoch, state = self.node.epoch, self.node.durable.state
        return {
            **metrics.of_catalog(self.process.gossip.catalog),
            "epoch": epoch.term.number if epoch else 0,
            "is_primary": self.node.is_primary,
            "is_ready": self.node.is_ready,
            **metrics.of_events(self.node.events),
            "sequence": state.sequence,
            "log_bytes": self.replicator.log_bytes,
            "links": len(self.process.mesh.links()),
            "messages_skipped": self.process.mesh.skipped_messages,
        }

    async def leave(self) -> None:
        """Serve on until others hold what this store holds under an epoch without it."""
        loop = asyncio.get_running_loop()
        self.node.leave(loop.time())
        self.replicator.announce()
        self.replicator.pump()
        await asyncio.sleep(LEAVE_LEAST_S)
        while not self.node.can_leave(loop.time()):
            await asyncio.sleep(LEAVE_CHECK_S)

    def _inherits(self, node: str) -> bool:
        """Whether this process watches the servers of a control process that is gone."""
        members = [member for member, _ in self.process.gossip.catalog.members()]
        return successor_of(node, members, CONTROL_ROLE) == self.process.boot.node_name

    async def watch_servers(self) -> None:
        """Tell of servers whose heartbeats have stopped, until cancelled."""
        while True:
            await asyncio.sleep(SILENCE_CHECK_S)
            now = asyncio.get_running_loop().time()
            self.outliers.expire(now)
            items = self.heartbeats.find_unresponsive(self.process.gossip.catalog, now, self._inherits)
            if items:
                eliot.log_message("control:servers-unresponsive", keys=[item.key for item in items])
                self.process.gossip.publish(items)


async def run(boot: BootSettings) -> int:
    """Serve until SIGTERM; the exit code."""
    if boot.data_dir is None:
        eliot.log_message("control:no-disk", reason="data_dir is not set")
        return EXIT_FAILED
    log = RecordLog(boot.data_dir)
    is_first = bool(boot.seeds) and boot.listen["control"] == boot.seeds[0]
    try:
        durable = await _open_store(log, must_bootstrap=boot.bootstrap and is_first)
    except (CodecError, UnknownFormatError) as error:
        eliot.log_message("control:disk-unreadable", reason=str(error))
        return EXIT_FAILED
    control = Control(boot, log, durable)
    process = control.process
    await process.start()
    process.announce(Availability.READY)
    api = ControlApi(
        CommandHandler(control.replicator),
        control.heartbeats,
        control.withdrawals,
        process.gossip,
        frozenset(boot.zones),
        control.node,
    )
    runners = [await serve_http(api.application(), boot.listen["control"])]
    directory = Directory(
        process.gossip.catalog,
        process.in_touch,
        frozenset(boot.zones.values()),
        boot.bounds.max_ttl_s,
        process.rng,
    )
    if "directory" in boot.listen:
        runners.append(await serve_http(directory.application(), boot.listen["directory"]))
    runners += await serve_metrics(boot, lambda: {**control.figures(), **directory.figures()})
    async with asyncio.TaskGroup() as tasks:
        background = [
            tasks.create_task(control.replicator.run()),
            tasks.create_task(process.keep_dialling()),
            tasks.create_task(process.gossip.run(process.rng)),
            tasks.create_task(control.watch_servers()),
        ]
        await process.stopping.wait()
        ending = process.begin_to_end()
        done = await ending.step("hand over", control.leave(), ending.left_s() - CLOSE_S)
        eliot.log_message("control:left", needed=not done)
        for task in background:
            task.cancel()
    for runner in runners:
        await ending.step("endpoint", runner.cleanup(), ENDPOINT_S)
    await ending.step("links", process.mesh.close(), LINKS_S)
    log.close()
    return 0


def main() -> int:
    """Run as a process of its own; the exit code."""
    return run_role(run)

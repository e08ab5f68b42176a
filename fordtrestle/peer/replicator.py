"""Drives a replication node: records are synced before any message that depends on them is sent."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from fordtrestle.peer.mesh import Mesh
from fordtrestle.peer.messages import Envelope
from fordtrestle.peer.record_writer import RecordWriter
from fordtrestle.peer.store_links import StoreLinks
from fordtrestle.replication.effects import Effects
from fordtrestle.replication.messages import Announce, Message
from fordtrestle.replication.node import Node
from fordtrestle.storage.log import RecordLog

TICK_INTERVAL_S = 0.05
ANNOUNCE_INTERVAL_S = 0.4
# A store whose sync takes longer does not announce itself, so that the others continue without it.
MAX_ANNOUNCED_SYNC_S = TICK_INTERVAL_S * 10


class Replicator:
    """Runs the timers, disk and links of one node on one event loop; only the disk uses threads.

    Attributes:
        node: the node. Callers that change it have to call `pump` afterwards.
    """

    def __init__(
        self,
        node: Node,
        log: RecordLog,
        mesh: Mesh,
        is_control: Callable[[str], bool],
        on_change: Callable[[], None],
    ) -> None:
        """Create a replicator, which is inactive until `run` is called.

        Args:
            node: the node.
            log: the open log of its records.
            mesh: the links to other processes.
            is_control: returns whether a control process listens on a HOST:PORT.
            on_change: called each time that the node's state may have changed.
        """
        self.node = node
        self._mesh = mesh
        self._is_control = is_control
        self._on_change = on_change
        self._writer = RecordWriter(log, node.durable.snapshot)
        self._store_links = StoreLinks()
        self._queue: list[Effects] = []
        self._has_work = asyncio.Event()
        self._has_progress = asyncio.Event()

    @property
    def log_bytes(self) -> int:
        """The size of the log of records, in bytes."""
        return self._writer.log_bytes

    @staticmethod
    def now() -> float:
        """Return the current time, in seconds of a monotonic clock."""
        return asyncio.get_running_loop().time()

    async def run(self) -> None:
        """Run the timers, the disk and the links until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._tick())
            tasks.create_task(self._apply_effects())

    def on_message(self, message: Envelope | Announce) -> None:
        """Handle a message from another control process.

        A message to another store is dropped: it was meant for an earlier store at this address, whose
        prepared state this store does not know.
        """
        if isinstance(message, Announce):
            self._store_links.on_announce(message.store.id, message.store.address)
            self.node.receive(message.store.id, message, self.now())
        elif message.receiver == self.node.me.id:
            self.node.receive(message.sender, message.message, self.now())
        self.pump()

    def pump(self) -> None:
        """Queue the node's pending effects, and wake tasks that wait for its progress."""
        effects = self.node.drain()
        if effects:
            self._queue.append(effects)
            self._has_work.set()
        self._has_progress.set()
        self._on_change()

    def announce(self) -> None:
        """Announce this store to all control processes."""
        for link in self._mesh.links():
            if self._is_control(link.peer):
                link.send(self.node.announcement())

    async def wait_until(self, condition: Callable[[], bool], timeout_s: float) -> bool:
        """Wait until the node's progress makes a condition true; return `False` if the wait times out."""
        try:
            async with asyncio.timeout(timeout_s):
                while not condition():
                    self._has_progress.clear()
                    await self._has_progress.wait()
        except TimeoutError:
            return False
        return True

    async def _tick(self) -> None:
        """Call the node's tick and announce the store periodically, until cancelled."""
        announce_at = 0.0
        while True:
            now = self.now()
            self._report_lost_links(now)
            syncing_s = self._writer.syncing_s(now)
            self.node.tick(now, syncing_s)
            if now >= announce_at:
                announce_at = now + ANNOUNCE_INTERVAL_S
                if syncing_s < MAX_ANNOUNCED_SYNC_S:
                    self.announce()
            self.pump()
            await asyncio.sleep(TICK_INTERVAL_S)

    def _report_lost_links(self, now: float) -> None:
        linked = {link.peer for link in self._mesh.links()}
        for store_id in self._store_links.find_lost(linked, now):
            self.node.on_connection_lost(store_id, now)

    async def _apply_effects(self) -> None:
        """Sync records and then send the messages that depend on them, batch by batch, until cancelled.

        Effects that are queued while a batch is being synced form the next batch, so that many writes share
        one sync.
        """
        while True:
            await self._has_work.wait()
            self._has_work.clear()
            batch, self._queue = self._queue, []
            await self._writer.write([record for effects in batch for record in effects.records])
            for effects in batch:
                for receiver, message in effects.messages:
                    self._deliver(receiver, message)
            self.pump()

    def _deliver(self, receiver: str, message: Message) -> None:
        if receiver == self.node.me.id:
            self.node.receive(receiver, message, self.now())
            return
        link = self._mesh.link_at(self._address_of(receiver))
        if link:
            link.send(Envelope(self.node.me.id, receiver, message))

    def _address_of(self, store_id: str) -> str:
        """Return HOST:PORT of a store's process, from its announcement or the epoch; empty if unknown."""
        known = self._store_links.address_of(store_id)
        if known:
            return known
        accepted = self.node.durable.accepted_epoch
        store = accepted.store(store_id) if accepted else None
        return store.address if store else ""

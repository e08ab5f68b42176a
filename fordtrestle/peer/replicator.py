"""Drives a replication node: its records are synced before what rests on them is sent or said."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from fordtrestle.peer.codec import encode
from fordtrestle.peer.mesh import Mesh
from fordtrestle.peer.messages import Envelope
from fordtrestle.replication.effects import Effects
from fordtrestle.replication.messages import Announce, Message
from fordtrestle.replication.node import Node
from fordtrestle.replication.peer_table import PEER_RETENTION_S
from fordtrestle.storage.errors import StorageError
from fordtrestle.storage.log import RecordLog

TICK_INTERVAL_S = 0.05
LINK_LOST_TIMEOUT_S = (
    0.3  # without a link, which is dialled again at once, before its store is taken to have ended
)
ANNOUNCE_INTERVAL_S = 0.4
DISK_RETRY_S = 0.2
MIN_REWRITE_BYTES = 256 * 1024  # the file is rewritten once it holds this much
REWRITE_FACTOR = 3  # and so many times what its newest snapshot takes


class Replicator:
    """Timers, disk and links of one node. All of it on one event loop but for the disk."""

    def __init__(
        self,
        node: Node,
        log: RecordLog,
        mesh: Mesh,
        is_control: Callable[[str], bool],
        on_change: Callable[[], None],
    ) -> None:
        self.node = node
        self._log = log
        self._mesh = mesh
        self._is_control = is_control  # whether a control process listens at HOST:PORT
        self._on_change = on_change
        self._queue: list[Effects] = []
        self._work = asyncio.Event()
        self._progress = asyncio.Event()
        self._syncing_since: float | None = None
        self._rewrite_above = MIN_REWRITE_BYTES  # bytes of the file
        self._peers: dict[str, str] = {}  # by store: HOST:PORT of its process
        self._unlinked_since: dict[str, float] = {}  # by store

    @property
    def log_bytes(self) -> int:
        """What the file of records holds."""
        return self._log.size

    @staticmethod
    def now() -> float:
        """Seconds of the steady clock."""
        return asyncio.get_running_loop().time()

    async def run(self) -> None:
        """Act until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._tick())
            tasks.create_task(self._sync())

    def on_message(self, message: Envelope | Announce) -> None:
        """Take in a message from another control process."""
        if isinstance(message, Announce):
            self._peers[message.store.id] = message.store.address
            self.node.receive(message.store.id, message, self.now())
        elif message.receiver == self.node.me.id:
            self.node.receive(message.sender, message.message, self.now())
        self.pump()

    def pump(self) -> None:
        """Queue what the node wants done."""
        effects = self.node.drain()
        if effects:
            self._queue.append(effects)
            self._work.set()
        self._progress.set()
        self._on_change()

    def announce(self) -> None:
        """Say what this store is to all control processes."""
        for link in self._mesh.links():
            if self._is_control(link.peer):
                link.send(self.node.announcement())

    async def wait_until(self, reached: Callable[[], bool], seconds: float) -> bool:
        """Wait until something holds that the node's progress brings about; whether it did in time."""
        try:
            async with asyncio.timeout(seconds):
                while not reached():
                    self._progress.clear()
                    await self._progress.wait()
        except TimeoutError:
            return False
        return True

    async def _tick(self) -> None:
        announce_at = 0.0
        while True:
            now = self.now()
            self._note_links(now)
            syncing = now - self._syncing_since if self._syncing_since is not None else 0.0
            self.node.tick(now, syncing)
            if now >= announce_at:
                announce_at = now + ANNOUNCE_INTERVAL_S
                if syncing < TICK_INTERVAL_S * 10:
                    self.announce()
            self.pump()
            await asyncio.sleep(TICK_INTERVAL_S)

    def _note_links(self, now: float) -> None:
        """Tell the node of stores whose links have ended: nothing is faster where a process has."""
        linked = {link.peer for link in self._mesh.links()}
        for store_id, address in list(self._peers.items()):
            if address in linked:
                self._unlinked_since.pop(store_id, None)
                continue
            since = self._unlinked_since.setdefault(store_id, now)
            if now - since >= LINK_LOST_TIMEOUT_S:
                self.node.on_connection_lost(store_id, now)
            if now - since >= PEER_RETENTION_S:
                del self._peers[store_id], self._unlinked_since[store_id]

    async def _sync(self) -> None:
        while True:
            await self._work.wait()
            self._work.clear()
            batch, self._queue = self._queue, []
            await self._write(batch)
            for effects in batch:
                for receiver, message in effects.messages:
                    self._deliver(receiver, message)
            self.pump()

    async def _write(self, batch: list[Effects]) -> None:
        """Put records on disk, or a snapshot, which holds what they come to, where the file has got long."""
        records = [record for effects in batch for record in effects.records]
        if not records:
            return
        self._syncing_since = self.now()
        snapshot = self._log.size > self._rewrite_above
        while True:
            try:
                if snapshot:
                    await self._rewrite()
                else:
                    await asyncio.to_thread(self._log.append, list(map(encode, records)))
                break
            except StorageError:
                # The disk is full or refuses writes: nothing is said until a snapshot has been taken.
                await asyncio.sleep(DISK_RETRY_S)
                snapshot = True
        self._syncing_since = None

    async def _rewrite(self) -> None:
        await asyncio.to_thread(self._log.rewrite, list(map(encode, self.node.durable.snapshot())))
        self._rewrite_above = MIN_REWRITE_BYTES + REWRITE_FACTOR * self._log.size

    def _deliver(self, receiver: str, message: Message) -> None:
        if receiver == self.node.me.id:
            self.node.receive(receiver, message, self.now())
            return
        link = self._mesh.link_at(self._address_of(receiver))
        if link:
            link.send(Envelope(self.node.me.id, receiver, message))

    def _address_of(self, store_id: str) -> str:
        known = self._peers.get(store_id)
        if known:
            return known
        accepted = self.node.durable.accepted_epoch
        store = accepted.store(store_id) if accepted else None
        return store.address if store else ""

"""Puts the records of a replication node on disk, whatever that takes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

from fordtrestle.peer.codec import encode
from fordtrestle.storage.errors import StorageError
from fordtrestle.storage.log import RecordLog

DISK_RETRY_S = 0.2  # between two tries to write to a disk that refuses
MIN_REWRITE_BYTES = 256 * 1024  # the file is rewritten once it holds this much
REWRITE_FACTOR = 3  # and so many times what its newest snapshot takes


class RecordWriter:
    """Appends records to a log in their order, and rewrites it as a snapshot when it has got long.

    The event loop goes on while the disk is written to, which happens in a thread.
    """

    def __init__(self, log: RecordLog, take_snapshot: Callable[[], Iterable[Any]]) -> None:
        """Make the writer of an open log.

        Args:
            log: the log.
            take_snapshot: returns the records that hold what all records up to now come to.
        """
        self._log = log
        self._take_snapshot = take_snapshot
        self._syncing_since: float | None = None
        self._rewrite_above_bytes = MIN_REWRITE_BYTES

    @property
    def log_bytes(self) -> int:
        """How long the log is, in bytes."""
        return self._log.size

    @property
    def is_syncing(self) -> bool:
        """Whether records are being written."""
        return self._syncing_since is not None

    def syncing_s(self, now: float) -> float:
        """Return for how many s the records have been under way that are being written; 0 where none are."""
        return now - self._syncing_since if self._syncing_since is not None else 0.0

    async def write(self, records: list[Any]) -> None:
        """Return once the records have been synced, as such or in a snapshot.

        A disk that is full or refuses writes is tried again until it takes a snapshot: a record that was
        refused may stand in the file in part, and the snapshot holds what it comes to. Until then nothing
        that rests on the records may be sent, so this does not return.
        """
        if not records:
            return
        self._syncing_since = asyncio.get_running_loop().time()
        snapshot = self._log.size > self._rewrite_above_bytes
        while True:
            try:
                if snapshot:
                    await self._rewrite()
                else:
                    await asyncio.to_thread(self._log.append, [encode(record) for record in records])
                break
            except StorageError:
                await asyncio.sleep(DISK_RETRY_S)
                snapshot = True
        self._syncing_since = None

    async def _rewrite(self) -> None:
        """Replace the log by a snapshot.

        It is taken here and not in the thread, where the node might change meanwhile.
        """
        payloads = [encode(record) for record in self._take_snapshot()]
        await asyncio.to_thread(self._log.rewrite, payloads)
        self._rewrite_above_bytes = MIN_REWRITE_BYTES + REWRITE_FACTOR * self._log.size

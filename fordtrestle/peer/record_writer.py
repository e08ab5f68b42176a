"""Writes the records of a replication node to disk, retrying until they are synced."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

from fordtrestle.peer.codec import encode
from fordtrestle.storage.errors import StorageError
from fordtrestle.storage.log import RecordLog

DISK_RETRY_S = 0.2  # between two attempts to write to a failing disk
MIN_REWRITE_BYTES = 256 * 1024  # the log is rewritten once it is longer than this
REWRITE_FACTOR = 3  # plus this many times the size of its newest snapshot


class RecordWriter:
    """Appends records to a log in order, and rewrites the log as a snapshot when it has grown long.

    The disk is written in a thread, so that it does not block the event loop.
    """

    def __init__(self, log: RecordLog, take_snapshot: Callable[[], Iterable[Any]]) -> None:
        """Create a writer for an open log.

        Args:
            log: the log.
            take_snapshot: returns records that represent the state after all records so far.
        """
        self._log = log
        self._take_snapshot = take_snapshot
        self._syncing_since: float | None = None
        self._rewrite_above_bytes = MIN_REWRITE_BYTES

    @property
    def log_bytes(self) -> int:
        """The size of the log, in bytes."""
        return self._log.size

    @property
    def is_syncing(self) -> bool:
        """Whether records are being written."""
        return self._syncing_since is not None

    def syncing_s(self, now: float) -> float:
        """Return how long the current write has been in progress, in seconds; 0 if there is none."""
        return now - self._syncing_since if self._syncing_since is not None else 0.0

    async def write(self, records: list[Any]) -> None:
        """Return once the records have been synced, either appended or as part of a snapshot.

        After a failed write to a full or failing disk, a snapshot is retried until it succeeds: the failed
        append may have left a partial record in the file, and the snapshot includes its effect. Until then no
        message that depends on the records may be sent, so this method does not return.
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
        """Replace the log with a snapshot.

        The snapshot is taken on the event loop and not in the thread, where the node could change meanwhile.
        """
        payloads = [encode(record) for record in self._take_snapshot()]
        await asyncio.to_thread(self._log.rewrite, payloads)
        self._rewrite_above_bytes = MIN_REWRITE_BYTES + REWRITE_FACTOR * self._log.size

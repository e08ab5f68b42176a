"""What a voter must not forget: its meta, its log's entries and snapshots, as one thing in one store.

Meta and entries are records of one log, so that a vote and entries cost one sync. The order of a `Store`
action (`fordtrestle/cluster/messages.py`) is the order in the log: meta, snapshot, entries; a snapshot costs
two syncs of files more. Each snapshot is a file of its own (`snapshot-` and the number of the last record
before it). Of two generations the older goes only once a third is on disk, and the log reaches back to the
older: where the newest can't be read, the one before it with the log gives the same.

An opening has three answers: nothing was ever written (`Opened.meta` is None, and `whole`); something was, of
which `Opened` tells what is missing; or it is of another version (`FormatError`). A folder that was put back
to an older state can't be told by itself: whoever owns the journal has to count its incarnations and ask
others about them.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import re
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import msgspec
from crc32c import crc32c

from fordtrestle.cluster import messages
from fordtrestle.cluster.messages import Entry, Meta, Snapshot
from fordtrestle.state import records, snapshots
from fordtrestle.state.frames import CUT, ENTRY, META, FormatError
from fordtrestle.state.ports import Store
from fordtrestle.state.records import SnapshotError
from fordtrestle.state.recovery import Recovered, SnapshotFile, Start, decode, recover
from fordtrestle.state.segments import BYTES_MOST, SEGMENT_BYTES, Item, Segments
from fordtrestle.state.writer import Writer

SNAPSHOT_BYTES_MOST = 64 * 2**20
SNAPSHOTS_KEPT = 2
GROUP_MOST = 64  # actions of one sync
QUEUED_MOST = 1024  # actions that have not begun
NAME = re.compile(r"snapshot-\d{16}")
LEFT = re.compile(r"snapshot-\d{16}\.tmp")


@dataclass(frozen=True, slots=True)
class Opened:
    """What a journal holds.

    `damaged`: first and last index of entries that were on disk and can't be read any more; `entries` has
    those before and after. `doubtful_from`: from this index on entries may have been confirmed that are not
    here. Where `whole` is False, the disk of `meta` may have promised what is not told here, a vote or
    entries: it may neither vote nor acknowledge. That stays so over openings, until a meta with another disk
    is written. `log_lines`: what to log of it."""

    meta: Meta | None
    snapshot: Snapshot | None
    entries: tuple[Entry, ...]
    damaged: tuple[tuple[int, int], ...] = ()
    doubtful_from: int | None = None
    whole: bool = True
    log_lines: list[str] = field(default_factory=list)


class Journal:
    """The journal of one store, which nothing else may write `log-` and `snapshot-` files to.

    Blocks; for one thread. After an `OSError` from the store nothing is written any more: every call raises
    EIO. What `write` returned for is on disk; what it raised for may be, whole or in part, in its order."""

    def __init__(
        self, store: Store, segment_bytes: int = SEGMENT_BYTES, bytes_most: int = BYTES_MOST
    ) -> None:
        self._store = store
        self._log = Segments(store, segment_bytes, bytes_most)
        self._open = False
        self._failed: OSError | None = None
        self._meta: Meta | None = None
        self._spoiled = False
        self._snapshots: list[tuple[str, int]] = []  # names and indexes of those to be read, newest first

    def read(self) -> Opened:
        """What the store holds; nothing is written. That it is on disk is known only after `open`.

        `FormatError` if it is of another version, `OSError` if it can't be read."""
        return self._read()[0]

    def open(self) -> Opened:
        """The same, on disk by the time this returns; then `write` may be called. To be called once."""
        if self._open or self._failed is not None:
            raise OSError(errno.EBUSY, "the journal was opened before")
        try:
            return self._begin()
        except OSError as error:
            self._failed = error
            raise

    def _begin(self) -> Opened:
        opened, recovered, highest = self._read()
        self._meta, self._spoiled = opened.meta, not opened.whole
        self._store.sync_folder()  # else START could rest on a snapshot that is gone
        start = self._start(recovered.again)
        self._log.begin(highest, recovered.proved, recovered.started, start, recovered.again)
        for name in self._store.names():
            if LEFT.fullmatch(name):
                self._store.remove(name)  # what a crash left of a snapshot
        self._open = True
        return opened

    def write(self, actions: Sequence[messages.Store]) -> None:
        """Make these durable, in their order, as one: without a snapshot among them with one sync of a file.

        ENOSPC, with nothing written, past the bound of bytes; a snapshot makes room. `ValueError`, likewise,
        where entries don't follow one another, or what is written before them."""
        if self._failed is not None:
            raise OSError(errno.EIO, f"the journal failed before: {self._failed.strerror or self._failed}")
        if not self._open:
            raise OSError(errno.EBADF, "the journal is not open")
        self._check(actions)
        encoded = [[msgspec.msgpack.encode(entry) for entry in action.entries] for action in actions]
        compacts = any(action.snapshot is not None for action in actions)
        self._log.room(sum(len(data) for datas in encoded for data in datas), compacts or not any(encoded))
        try:
            self._write(actions, encoded)
        except OSError as error:
            self._failed = error
            raise

    def close(self) -> None:
        """Let the store go; nothing is synced by it."""
        self._failed = self._failed or OSError(errno.ESHUTDOWN, "the journal is closed")
        self._store.close()

    # --- opening -------------------------------------------------------------------------

    def _read(self) -> tuple[Opened, Recovered, int]:
        file, fallback, log_lines = self._newest()
        found = self._log.read()
        recovered = recover(found.records, found.unknown, file, fallback)
        log_lines += found.log_lines + _lines(recovered)
        opened = Opened(
            recovered.meta,
            None if file is None else file.snapshot,
            recovered.entries,
            recovered.damaged,
            recovered.doubtful_from,
            recovered.whole,
            log_lines,
        )
        return opened, recovered, max(found.highest, 0 if file is None else file.number)

    def _newest(self) -> tuple[SnapshotFile | None, bool, list[str]]:
        """The newest snapshot that can be read, whether there is a newer one, and lines about those."""
        self._snapshots, log_lines, newest = [], [], None
        names = [name for name in self._store.names() if NAME.fullmatch(name)]
        for name in reversed(names):
            try:
                file = self._read_file(name)
            except SnapshotError as error:
                log_lines.append(f"{name}: {error}; an older one and the log are used")
                continue
            newest = newest or file
            self._snapshots.append((name, file.snapshot.index))
        return newest, bool(log_lines) and (newest is None or names[-1] != self._snapshots[0][0]), log_lines

    def _read_file(self, name: str) -> SnapshotFile:
        try:
            return decode(snapshots.read(self._store, name, SNAPSHOT_BYTES_MOST), SnapshotFile)
        except FormatError as error:
            raise FormatError(f"{name}: {error}") from error
        except SnapshotError:
            version = None
            with contextlib.suppress(OSError):  # it is too long, or was read once already
                version = _version(self._store.read(name, records.HEADER.size + SNAPSHOT_BYTES_MOST))
            if version not in (None, records.FORMAT):
                raise FormatError(f"{name}: format version {version}, not {records.FORMAT}") from None
            raise

    # --- writing -------------------------------------------------------------------------

    def _start(self, again: Sequence[Item] = ()) -> bytes:
        return msgspec.msgpack.encode(Start(self._meta, self._spoiled, tuple(again)))

    def _check(self, actions: Sequence[messages.Store]) -> None:
        """`ValueError` for entries that leave a gap, or that a snapshot holds, and for one that goes back."""
        base = self._snapshots[0][1] if self._snapshots else 0
        last = self._log.last
        for action in actions:
            if action.snapshot is not None:
                if action.snapshot.index < base:
                    raise ValueError(f"a snapshot of {action.snapshot.index} after one of {base}")
                base = action.snapshot.index
                last = base if action.cut else max(last, base)
            for number, entry in enumerate(action.entries):
                first = action.entries[0].index
                if entry.index != first + number or not base < first <= last + 1:
                    raise ValueError(f"entry {entry.index} after {last}, with a snapshot of {base}")
            if action.entries:
                last = action.entries[-1].index

    def _write(self, actions: Sequence[messages.Store], encoded: Sequence[Sequence[bytes]]) -> None:
        items: list[Item] = []
        metas: list[Meta] = []
        compacted = False
        for action, datas in zip(actions, encoded, strict=True):
            if action.meta is not None:
                items.append((META, 0, msgspec.msgpack.encode(action.meta)))
                metas.append(action.meta)
            if action.snapshot is not None:
                self._append(items, metas)
                items, metas = self._put_snapshot(action.snapshot, action.cut), []
                compacted = True
            entries = zip(action.entries, datas, strict=True)
            items += [(ENTRY, entry.index, data) for entry, data in entries]
        self._append(items, metas)
        if compacted:
            self._tidy()

    def _append(self, items: Sequence[Item], metas: Sequence[Meta]) -> None:
        self._log.append(items, self._start())
        for meta in metas:
            if self._meta is None or self._meta.disk != meta.disk:
                self._spoiled = False
            self._meta = meta

    def _put_snapshot(self, snapshot: Snapshot, cut: bool) -> list[Item]:
        """Put a snapshot on disk; what the log has to say about it."""
        cut = cut or snapshot.index > self._log.last
        name = f"snapshot-{self._log.synced:016}"
        data = msgspec.msgpack.encode(SnapshotFile(self._log.synced, cut, snapshot))
        if len(data) > SNAPSHOT_BYTES_MOST:
            raise OSError(errno.EFBIG, f"a snapshot of more than {SNAPSHOT_BYTES_MOST} bytes")
        snapshots.write(self._store, name, data)
        held = [kept for kept in self._snapshots if kept[0] != name]
        self._snapshots = [(name, snapshot.index), *held]
        return [(CUT, snapshot.index, b"")] if cut else []

    def _tidy(self) -> None:
        """Let go of what neither generation of snapshots needs."""
        self._snapshots = self._snapshots[:SNAPSHOTS_KEPT]
        kept = {name for name, _ in self._snapshots}
        for name in self._store.names():
            if NAME.fullmatch(name) and name not in kept:
                self._store.remove(name)
        if len(kept) == SNAPSHOTS_KEPT:
            self._log.drop(self._snapshots[-1][1])


def _version(raw: bytes) -> int | None:
    """The format of a sealed file by a header that is whole; None where it is damaged."""
    if len(raw) < records.HEADER.size:
        return None
    magic, version, length, checksum = records.HEADER.unpack_from(raw)
    bare = crc32c(records.HEADER.pack(magic, version, length, 0))
    whole = magic == records.MAGIC and crc32c(raw[records.HEADER.size :], bare) == checksum
    return int(version) if whole else None


def _lines(recovered: Recovered) -> list[str]:
    """What a recovery has to tell."""
    lines = []
    if recovered.torn:
        lines.append("log: the record at its end was never whole, so its sync never returned: it is cut")
    if recovered.strays:
        lines.append(f"log: {recovered.strays} records out of their order are left out")
    if recovered.damaged:
        ranges = ", ".join(f"{first} to {last}" for first, last in recovered.damaged)
        lines.append(f"log: entries can't be read that were on disk: {ranges}")
    if recovered.doubtful_from is not None:
        lines.append(f"log: from entry {recovered.doubtful_from} on there may have been others")
    if not recovered.whole:
        lines.append("log: this disk may have promised what it no longer tells: it may not vote")
    return lines


class JournalWriter:
    """A journal in a thread of its own, for the loop that this is made and used in.

    Actions are written in the order in which they are handed in, as many as wait together; then
    `stored(token)` is called for each, in order. After the first failure `failed(token, why)` is called for
    each, for good. Closes the journal at its end."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        journal: Journal,
        stored: Callable[[int], None],
        failed: Callable[[int, str], None],
    ) -> None:
        self._loop, self._journal = loop, journal
        self._stored, self._failed = stored, failed
        self._writer = Writer(loop)
        self._queue: deque[messages.Store] = deque()
        self._writing: tuple[messages.Store, ...] = ()
        self._why = ""  # it failed
        self._closed = False

    def open(self, within_s: float = 5.0) -> Opened:
        """See `Journal.open`; blocks, so long at the most, then `TimeoutError`. To be called once, first."""
        answer = self._writer.run(self._opened, within_s)
        if isinstance(answer, FormatError):
            raise answer
        return answer

    def _opened(self) -> Opened | FormatError:
        try:
            return self._journal.open()
        except FormatError as error:
            return error

    def submit(self, action: messages.Store) -> None:
        """Make an action durable. One more than `QUEUED_MOST` is a failure, as is any after `close`."""
        if not self._why and self._closed:
            self._fail("the journal is closed")
        elif not self._why and len(self._queue) >= QUEUED_MOST:
            self._fail(f"more than {QUEUED_MOST} actions wait to be written")
        if self._why:
            self._loop.call_soon(self._failed, action.token, self._why)
            return
        self._queue.append(action)
        self._next()

    def close(self, within_s: float = 1.0) -> bool:
        """Wait for what is being written, so long at the most, and let the store go; whether it could.

        What has not begun by then is not written."""
        self._closed = True
        ended = self._writer.close(within_s)
        if ended:
            self._journal.close()  # else a descriptor's number could be another file's while it is written to
        return ended

    def _next(self) -> None:
        """Write what waits, once nothing is being written."""
        if self._writing or not self._queue:
            return
        count = min(GROUP_MOST, len(self._queue))
        group = self._writing = tuple(self._queue.popleft() for _ in range(count))
        self._writer.submit("journal", lambda: self._journal.write(group), self._done)

    def _done(self, error: OSError | None) -> None:
        written, self._writing = self._writing, ()
        if error is not None:
            self._fail(error.strerror or repr(error))
        for action in written:
            if error is None:
                self._stored(action.token)
            else:
                self._failed(action.token, self._why)
        if error is None and not self._why:
            self._next()

    def _fail(self, why: str) -> None:
        """Write nothing any more, and tell of all that waits."""
        self._why = why
        queued = list(self._queue)
        self._queue.clear()
        for action in queued:
            self._loop.call_soon(self._failed, action.token, why)

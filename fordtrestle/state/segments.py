"""An appended log in files of bounded size, named `log-` and the number of their first record.

Nothing is changed in place: what is superseded stays until its whole file goes, oldest first. Each file
begins with START, so that it needs none before it. A new file's name is on disk before anything in it counts
as written.
"""

from __future__ import annotations

import errno
import re
from collections.abc import Sequence
from dataclasses import dataclass

from fordtrestle.state import frames
from fordtrestle.state.frames import CUT, ENTRY, LEAST, START, FormatError, Record
from fordtrestle.state.ports import Store
from fordtrestle.state.recovery import Start, decode

SEGMENT_BYTES = 2**20  # after which a file is not appended to any more
BYTES_MOST = 64 * 2**20  # of all files, past which no entries are taken
OVER = 2  # times as many bytes are written for what takes little, and one batch more is read
NAME = re.compile(r"log-(\d{16})")

Item = tuple[int, int, bytes]  # kind, index and data of a record


@dataclass(slots=True)
class Segment:
    """One file; `top` is the highest index that any record in it speaks of."""

    first: int
    size: int
    top: int

    @property
    def name(self) -> str:
        """Of the file."""
        return f"log-{self.first:016}"


@dataclass(frozen=True, slots=True)
class Found:
    """What the files hold; `highest` is no lower than any number that can stand in them."""

    records: list[Record]
    unknown: bool  # see `recovery.recover`
    highest: int
    log_lines: list[str]


class Segments:
    """The files of one log in a store. Not to be used by two threads at once.

    Each call raises `OSError` as the store does; after one from `begin`, `append` or `drop` it is not to be
    used any more."""

    def __init__(
        self, store: Store, segment_bytes: int = SEGMENT_BYTES, bytes_most: int = BYTES_MOST
    ) -> None:
        self._store = store
        self._segment_bytes, self._bytes_most = segment_bytes, bytes_most
        self._segments: list[Segment] = []
        self._clean = False  # whether the last file ends in a whole record
        self.number = 0  # the last one written
        self.synced = 0  # the last one that is on disk
        self.last = 0  # where the log of entries ends

    @property
    def size(self) -> int:
        """Bytes of all files."""
        return sum(segment.size for segment in self._segments)

    def read(self) -> Found:
        """All records. `FormatError` for files of another version, EFBIG for more than is ever written."""
        self._segments = []
        records: list[Record] = []
        log_lines: list[str] = []
        unknown, open_to, most = False, 0, (OVER + 1) * self._bytes_most
        for name in self._store.names():
            if not (match := NAME.fullmatch(name)):
                continue
            raw = self._store.read(name, most)
            most -= len(raw)
            try:
                scan = frames.scan(raw)
                top = max(map(_top, scan.records), default=0)
            except FormatError as error:
                raise FormatError(f"{name}: {error}") from error
            if any(record.data is not None for record in scan.records):
                unknown, open_to, log_lines = False, 0, []  # what came before is judged by its numbers
            unknown = unknown or scan.unknown
            open_to += -(-scan.rest // LEAST)
            self._clean = not scan.rest
            if scan.rest:
                log_lines.append(f"{name}: {scan.rest} bytes at the end are no whole record")
            self._segments.append(Segment(int(match[1]), len(raw), top))
            records += scan.records
        numbers = [segment.first for segment in self._segments] + [record.number for record in records]
        return Found(records, unknown, max(numbers, default=0) + open_to, log_lines)

    def begin(self, highest: int, proved: int, ends: int, start: bytes, items: Sequence[Item]) -> None:
        """Write START, which holds `items` and leaves what is up to `proved` standing, with the log ending at
        `ends` there; then what stands in the store is on disk."""
        self.number, self.synced, self.last = highest, proved, ends
        new = not self._segments or not self._clean or self._segments[-1].size >= self._segment_bytes
        if new:
            self._segments.append(Segment(self.number + 1, 0, 0))
        self._write(self._encoded(START, proved, start))
        for _, index, _ in items:
            self._speak_of(index)
        if new:
            self._store.sync_folder()
        for void in [segment for segment in self._segments[:-1] if segment.first > proved]:
            self._store.remove(void.name)
            self._segments.remove(void)

    def room(self, size: int, small: bool) -> None:
        """ENOSPC where so many bytes more are too many; with `small`, only past `OVER` times the bound."""
        if self.size + size > self._bytes_most * (OVER if small else 1):
            raise OSError(errno.ENOSPC, f"the log would have more than {self._bytes_most} bytes")

    def append(self, items: Sequence[Item], start: bytes) -> None:
        """Write records in this order, on disk by the time this returns.

        `start`: the data of START, should a new file be begun; it holds no records."""
        if not items:
            return
        data, new = [], self._segments[-1].size >= self._segment_bytes
        if new:
            self._segments.append(Segment(self.number + 1, 0, 0))
            data.append(self._encoded(START, self.number, start))
        for kind, index, held in items:
            data.append(self._encoded(kind, index, held))
            if kind in (ENTRY, CUT):
                self._speak_of(index)
        self._write(b"".join(data))
        if new:
            self._store.sync_folder()

    def drop(self, index: int) -> None:
        """Take away the oldest files that speak of no entry after `index`; never the last."""
        while len(self._segments) > 1 and self._segments[0].top <= index:
            self._store.remove(self._segments[0].name)
            self._store.sync_folder()  # else a later one could be gone from the disk, and this one not
            self._segments.pop(0)

    def _speak_of(self, index: int) -> None:
        self.last = index
        self._segments[-1].top = max(self._segments[-1].top, index)

    def _encoded(self, kind: int, index: int, data: bytes) -> bytes:
        self.number += 1
        self._segments[-1].top = max(self._segments[-1].top, self.last)
        return frames.encode(kind, self.number, self.synced, index, self.last, data)

    def _write(self, data: bytes) -> None:
        segment = self._segments[-1]
        self._store.append(segment.name, data)
        segment.size += len(data)
        self._store.sync(segment.name)
        self.synced = self.number


def _top(record: Record) -> int:
    """The highest index that a record speaks of."""
    indexes = [record.last, record.index if record.kind in (ENTRY, CUT) else 0]
    if record.kind == START and record.data is not None:
        indexes += [index for _, index, _ in decode(record.data, Start).again]
    return max(indexes)

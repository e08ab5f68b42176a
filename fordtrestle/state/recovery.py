"""What a journal's records and snapshots come to, and what of it can't be known any more. Pure.

A record that can't be read is one of three things (protocol-aware recovery, Alagappan and others, FAST 2018):

- **damaged**: a later record's `synced`, or a snapshot's number, proves that it was on disk and may have been
  answered for. It is never skipped: the entries that it can have held are named as missing.
- **torn**: nothing proves it synced, and it is the last thing in the log and ends before it is whole, or in
  zeros. A sync returns only once the whole of a file is down, and every record ends in bytes that are not
  zero. So its sync never returned, and nothing that was said rests on it: it is cut.
- **in doubt**: nothing proves it synced, but all of its bytes may once have been there, or others stand
  behind it. It is the last batch: either a write that a crash tore in its middle, or one that was confirmed
  and rotted since. Whoever owns the log lacks it, and may have answered for it.

Only the last batch can be in doubt: the next one's first record that can be read proves it synced. What can't
be told from torn is a last batch that was confirmed and then lost its end, or had it turned to zeros, by
something other than a crash; a disk that lies about syncs does that (rule 1 of `docs/design/agreement.md`).

A record without a readable header shows as a gap in the numbers. How much of the log its k records can have
replaced is bounded: where the log ended at M after them, they can't have begun below M - k + 1, since each
entry that they replaced had to be written again to get to M.

START is written at each opening, and holds once more all that nothing proved synced, as one record: it stands
whole or not at all, and makes void what is not proved before it. So what was only in a page cache that a
failed sync had left unwritten (Rebello and others, ATC 2020) is written again, and a second opening decides
nothing anew.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import TypeVar

import msgspec
from msgspec import Struct

from fordtrestle.cluster.messages import Entry, Meta, Snapshot
from fordtrestle.state.frames import CUT, ENTRY, META, START, FormatError, Record

T = TypeVar("T")
FOREVER = 2**63  # higher than any number


class Start(Struct, frozen=True, array_like=True):
    """The data of START. `spoiled`: the disk of `meta` may have promised what the log no longer tells."""

    meta: Meta | None
    spoiled: bool
    again: tuple[tuple[int, int, bytes], ...] = ()  # kind, index and data of records


class SnapshotFile(Struct, frozen=True, array_like=True):
    """What a snapshot's file holds; `number`: of the last record before it. With `cut` no entry before it
    counts."""

    number: int
    cut: bool
    snapshot: Snapshot


@dataclass(slots=True)
class Recovered:
    """What stands. `damaged`: first and last index of entries that are missing. `whole`: whether all is there
    that the disk of `meta` may have promised by."""

    meta: Meta | None
    entries: tuple[Entry, ...]
    last: int
    damaged: tuple[tuple[int, int], ...]
    doubtful_from: int | None
    whole: bool
    torn: bool
    strays: int  # records that stand behind later ones
    number: int  # the highest
    proved: int  # the highest that is known to be synced
    started: int  # where the log ended at that number
    again: tuple[tuple[int, int, bytes], ...]  # records after that number


def decode(data: bytes, kind: type[T]) -> T:
    """A value whose checksum was right; `FormatError` where it is none of this kind."""
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except (msgspec.MsgspecError, ValueError) as error:
        name = kind.__name__.removesuffix("File").lower()  # as an operator calls it
        raise FormatError(f"no {name} of this format: {error}") from error


def recover(
    records: Sequence[Record], unknown: bool, file: SnapshotFile | None = None, fallback: bool = False
) -> Recovered:
    """Go by all records of a journal, in the order of its files.

    `unknown`: behind the last whole record there may be some of which nothing can be read. `fallback`: a
    later snapshot than this one can't be read. `FormatError` where anything is of another format."""
    kept, strays = _standing(records)
    proved = max((record.synced for record in kept), default=0)
    if file is not None:
        proved = max(proved, file.number)
    torn = False
    while kept and kept[-1].data is None and kept[-1].short and kept[-1].number > proved:
        kept.pop()
        torn = True
    replay = _Replay(file, fallback, proved)
    for record in kept:
        replay.take(record)
    replay.end(unknown)
    return replay.recovered(max((record.number for record in records), default=0), torn, strays)


def _standing(records: Iterable[Record]) -> tuple[list[Record], int]:
    """Those that no START has made void, and how many were left out since they stand behind later ones."""
    kept: list[Record] = []
    highest = strays = 0
    for record in records:
        if record.number <= highest:
            strays += 1
            continue
        highest = record.number
        if record.kind == START and record.data is not None:
            while kept and kept[-1].number > record.index:
                kept.pop()
        kept.append(record)
    return kept, strays


@dataclass(slots=True)
class _Replay:
    """Records gone by, one after the other."""

    file: SnapshotFile | None
    fallback: bool
    proved: int
    entries: dict[int, bytes] = field(default_factory=dict)  # by index, rising
    last: int = 0  # where the log ends
    number: int = 0  # of the last record that could be used
    unread: bool = False  # a START that can't be read stands behind that
    applied: bool = False  # the snapshot
    uncut: int | None = None  # where the log ended before a snapshot that cuts it, until CUT says so too
    meta: Meta | None = None
    meta_lost: bool = False  # a record that can't be read may have held a newer one
    spoiled: bool = False
    doubt: int = FOREVER  # the lowest index in doubt
    started: int | None = None
    again: list[tuple[int, int, bytes]] = field(default_factory=list)

    @property
    def base(self) -> int:
        """The index that the snapshot holds."""
        return 0 if self.file is None else self.file.snapshot.index

    def take(self, record: Record) -> None:
        """Go by one record."""
        if record.kind == START and record.data is None:
            self.unread = True  # it shows as a gap
            return
        before = record.index if record.kind == START else record.number - 1
        if self.file is not None and before >= self.file.number:
            self._apply(self.file)
        if not self.number and record.kind == START:
            self.number = before  # what stood before is compacted
        self._gap(record, before)
        if record.number > self.proved and self.started is None:
            self.started = record.last
        if record.data is None:
            self._lost(record)
        else:
            self._use(record, record.data)
        self.number, self.unread = record.number, False

    def _apply(self, file: SnapshotFile) -> None:
        if file.cut and not self.applied:
            self.entries.clear()
            self.uncut, self.last = self.last, self.base
        self.applied = True

    def _gap(self, record: Record, before: int) -> None:
        """Take account of records that are missing right before one."""
        missing = before - self.number
        if missing > 0:
            floor = self.base + 1 if self.fallback else record.last - missing + 1
            self._truncate(floor)
            self.meta_lost, self.uncut = True, None
            if before > self.proved:
                self._doubt(floor)
        if record.last not in (self.last, self.uncut):
            self._truncate(record.last + 1)
            self.last = record.last

    def _lost(self, record: Record) -> None:
        """A record of which only the header can be read."""
        self.uncut = None
        if record.kind == ENTRY:
            self._truncate(record.index)
            self.last = record.index
        else:
            self.meta_lost = True
        if record.number > self.proved:
            self._doubt(self.last if record.kind == ENTRY else self.last + 1)

    def _use(self, record: Record, data: bytes) -> None:
        copies: tuple[tuple[int, int, bytes], ...] = ((record.kind, record.index, data),)
        if record.kind == META:
            self._take_meta(decode(data, Meta))
            return
        if record.kind == START:
            start = decode(data, Start)
            if start.meta is not None:
                self._take_meta(start.meta)
            self.spoiled = start.spoiled
            copies = start.again
        for kind, index, copied in copies:
            self._write(kind, index, copied)
            if record.number > self.proved:
                self.again.append((kind, index, copied))

    def _write(self, kind: int, index: int, data: bytes) -> None:
        self.uncut = None
        if kind == CUT:
            self.entries.clear()
        else:
            self._truncate(index)
            self.entries[index] = data
            if self.doubt < FOREVER:
                self._doubt(index)
        self.last = index

    def _take_meta(self, meta: Meta) -> None:
        if self.meta is None or self.meta.disk != meta.disk:
            self.spoiled = False  # another disk has promised nothing before
        self.meta, self.meta_lost = meta, False

    def _truncate(self, index: int) -> None:
        """Drop all entries from that index on."""
        while self.entries and next(reversed(self.entries)) >= index:
            self.entries.popitem()

    def _doubt(self, index: int) -> None:
        self.doubt = min(self.doubt, index)

    def end(self, unknown: bool) -> None:
        """All records are gone by."""
        if self.file is not None:
            self._apply(self.file)
        if self.proved > self.number:  # the log has lost its end
            self._truncate(self.base + 1)
            self.last = min(self.last, self.base)
            self.meta_lost = True
        if self.fallback and self.meta is None:
            self.meta_lost = True  # there was a journal, and nothing is left of it
        if unknown or self.unread:
            self._doubt(self.base + 1)
        if self.started is None:
            self.started = self.last if self.uncut is None else self.uncut
        if self.uncut is not None:
            self.again.insert(0, (CUT, self.base, b""))  # should this snapshot not be readable some day
        floor = max(self.doubt, self.base + 1)
        self._truncate(floor)
        self.last = max(min(self.last, floor - 1), self.base)
        self.started = max(min(self.started, floor - 1), self.base)
        self.again = [copy for copy in self.again if copy[0] == CUT or copy[1] < floor]

    def recovered(self, number: int, torn: bool, strays: int) -> Recovered:
        """What it came to."""
        doubtful_from = max(self.doubt, self.base + 1) if self.doubt < FOREVER else None
        indexes = [index for index in self.entries if index > self.base]
        damaged = _missing(self.base, indexes, self.last)
        if self.proved > self.number:
            damaged = ((self.base + 1, self.base + 1),)
        return Recovered(
            meta=self.meta,
            entries=tuple(decode(self.entries[index], Entry) for index in indexes),
            last=self.last,
            damaged=damaged,
            doubtful_from=doubtful_from,
            whole=not (self.spoiled or self.meta_lost or damaged or doubtful_from),
            torn=torn,
            strays=strays,
            number=number,
            proved=self.proved,
            started=self.started or 0,
            again=tuple(self.again),
        )


def _missing(base: int, indexes: Sequence[int], last: int) -> tuple[tuple[int, int], ...]:
    """The ranges between `base` and `last` of which there are no indexes."""
    missing = []
    before = base
    for index in (*indexes, last + 1):
        if index > before + 1:
            missing.append((before + 1, index - 1))
        before = index
    return tuple(missing)

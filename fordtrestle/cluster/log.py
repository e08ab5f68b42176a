"""The log of one member, and what its committed entries have come to. Pure.

Entries up to the snapshot's index are gone; what they came to is in the `Snapshot`. Indexes begin
at 1, terms never fall along the log (Ongaro and Ousterhout 2014, 5.3).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from fordtrestle.cluster.messages import (
    ENTRIES_MOST,
    Book,
    Effective,
    Entry,
    Meta,
    Snapshot,
    Voter,
    Voters,
)
from fordtrestle.cluster.rulebook import EMPTY, Rulebook

PROPOSALS_MOST = 4096  # ids that are remembered with their numbers
BATCH_BOOKS_MOST = 4  # rulebooks in one message: each may be long


class Log:
    """Entries that follow a snapshot, and the last of each kind that is in force by them, committed or
    not."""

    def __init__(self, snapshot: Snapshot | None = None, entries: Iterable[Entry] = ()) -> None:
        self.snapshot = snapshot
        self.entries: list[Entry] = []
        self._rest()
        self.whole = True  # whether all the entries handed in followed one another
        for entry in entries:
            if entry.index <= self.base:
                continue
            if entry.index != self.last_index + 1 or entry.term < self.last_term:
                self.whole = False
                break
            self.append(entry)

    def _rest(self) -> None:
        """Go by the snapshot alone."""
        snapshot = self.snapshot
        self.base = 0 if snapshot is None else snapshot.index
        self.base_term = 0 if snapshot is None else snapshot.term
        self.voters: tuple[Voter, ...] = () if snapshot is None else snapshot.voters
        self.voters_before: tuple[Voter, ...] = ()  # until the last entry that names them, if it is here
        self.voters_index = self.base
        self.book = EMPTY if snapshot is None or not snapshot.books else snapshot.books[-1]
        self.effective = 0 if snapshot is None else snapshot.effective
        self.books = 0  # among the entries

    @property
    def last_index(self) -> int:
        """Of the last entry, or of the snapshot."""
        return self.base + len(self.entries)

    @property
    def last_term(self) -> int:
        """Of the last entry, or of the snapshot."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index: int) -> int:
        """The term of an entry; -1 where there is none, or none any more."""
        if index == self.base:
            return self.base_term
        return self.entries[index - self.base - 1].term if self.base < index <= self.last_index else -1

    def at(self, index: int) -> Entry:
        """An entry; `IndexError` where there is none."""
        if not self.base < index <= self.last_index:
            raise IndexError(f"no entry {index}")
        return self.entries[index - self.base - 1]

    def batch(self, first: int) -> tuple[Entry, ...]:
        """Entries from `first` on for one message, which is bounded in entries and in rulebooks."""
        taken: list[Entry] = []
        books = 0
        for entry in self.entries[first - self.base - 1 : first - self.base - 1 + ENTRIES_MOST]:
            books += isinstance(entry.body, Book)
            if books > BATCH_BOOKS_MOST:
                break
            taken.append(entry)
        return tuple(taken)

    def append(self, entry: Entry) -> None:
        """Put an entry at the end; its index is the next."""
        self.entries.append(entry)
        body = entry.body
        if isinstance(body, Book):
            self.book = body.book
            self.books += 1
        elif isinstance(body, Effective):
            self.effective = body.number
        elif isinstance(body, Voters):
            self.voters_before, self.voters, self.voters_index = self.voters, body.voters, entry.index

    def cut(self, index: int) -> None:
        """Drop the entry at `index` and all after it, with what they put in force."""
        kept = self.entries[: index - self.base - 1]
        self.entries = []
        self._rest()
        for entry in kept:
            self.append(entry)

    def shorten(self, snapshot: Snapshot, whole: bool = False) -> None:
        """Drop what a snapshot holds; with `whole` also what stands after it."""
        kept = [] if whole else self.entries[snapshot.index - self.base :]
        self.snapshot, self.entries = snapshot, []
        self._rest()
        for entry in kept:
            self.append(entry)

    def proposed(self, proposal: str, after: int) -> Entry | None:
        """The entry after index `after` that a proposal came to, if any."""
        for entry in self.entries[max(0, after - self.base) :]:
            if isinstance(entry.body, Book) and entry.body.proposal == proposal:
                return entry
        return None


@dataclass(frozen=True, slots=True)
class State:
    """What a member's disk held at its start. `damaged`: that some of what it once held is not among it."""

    meta: Meta = field(default_factory=Meta)
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None
    damaged: bool = False


@dataclass(slots=True)
class StateMachine:
    """What the committed entries up to `last_applied` have come to; `last_term` is that of the last.

    `books`: from the effective one (or number 1) to the pending one, oldest first. `proposals`: the numbers
    of the last `PROPOSALS_MOST` ids; one that is asked for again after so many others would get a second
    number."""

    last_applied: int = 0
    last_term: int = 0
    voters: tuple[Voter, ...] = ()
    effective: int = 0
    books: tuple[Rulebook, ...] = ()
    proposals: dict[str, int] = field(default_factory=dict)

    @classmethod
    def of(cls, snapshot: Snapshot | None) -> StateMachine:
        """What a snapshot holds."""
        if snapshot is None:
            return cls()
        return cls(
            snapshot.index,
            snapshot.term,
            snapshot.voters,
            snapshot.effective,
            tuple(snapshot.books),
            dict(snapshot.proposals),
        )

    @property
    def pending(self) -> int:
        """The highest number that is committed; 0 for none."""
        return self.books[-1].number if self.books else 0

    def snapshot(self) -> Snapshot:
        """As a snapshot."""
        proposals = tuple(self.proposals.items())
        return Snapshot(self.last_applied, self.last_term, self.voters, self.effective, self.books, proposals)

    def apply(self, entry: Entry) -> bool:
        """Go by the next committed entry; whether anything that is acted on has changed."""
        self.last_applied, self.last_term = entry.index, entry.term
        body = entry.body
        if isinstance(body, Book):
            self._book(body)
        elif isinstance(body, Effective):
            self.effective = max(self.effective, body.number)
            self.books = tuple(book for book in self.books if book.number >= self.effective)
        elif isinstance(body, Voters):
            self.voters = body.voters
        return isinstance(body, Book | Effective)

    def _book(self, body: Book) -> None:
        self.books = (*self.books, body.book)
        if body.proposal:
            self.proposals[body.proposal] = body.book.number
            while len(self.proposals) > PROPOSALS_MOST:
                del self.proposals[next(iter(self.proposals))]

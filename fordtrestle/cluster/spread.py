"""How rulebooks and leases spread: from whom a node renews, and what it fetches from whom. Pure.

The tree is nobody's decision: each node works it out from the names of all. A hash of its name gives a node
a *rank*: 0 for most, one more for each `FAN`th of them. It renews from nodes of the next higher rank, those
that the hash of both names puts first; those of the top rank, of which there are at most about `ROOTS_MOST`,
from the voters. So a node that comes or goes moves only those that it stands above; only where the number of
nodes passes `ROOTS_MOST * FAN ** n` the top rank changes, and with it the parents of about `ROOTS_MOST`
nodes. Parents rank higher than those below them, so no circle comes of it, and depth grows as the logarithm
of the number.

A rulebook is taken only with the digest that a grant told, or that its taken successor names as its parent.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass
from hashlib import blake2b
from types import MappingProxyType

import msgspec

from fordtrestle.cluster.difference import Delta, delta, patch
from fordtrestle.cluster.lease import Known
from fordtrestle.cluster.rulebook import Rulebook, digest_of, encode

FAN = 12  # nodes of a rank for one of the next, on average; a holder has room for a few more
ROOTS_MOST = 96  # what voters have room for
RANKS_MOST = 4
BESIDE = 2  # parents of the next rank that a node may have; then one of each rank above
ASIDE_MOST_MS = 30_000.0
FULL_MS = 10_000.0  # how long one that has no room is left aside
RANGE_MOST = 64  # numbers that a grant may span
OLDER_KEPT = 2  # books before the effective one, for those below that are behind
ANSWER_BYTES_MOST = 2 * 2**20  # of books in one answer, where it holds more than one
ASIDE_MOST = 32  # nodes of which it is remembered that they failed


# --- from whom to renew -------------------------------------------------------------------------


def _hash(*names: str) -> int:
    return int.from_bytes(blake2b("\0".join(names).encode(), digest_size=8).digest(), "big")


def rank(name: str, top: int) -> int:
    """How high a follower stands, from 0 to `top`."""
    drawn, found = _hash(name), 0
    while found < top and drawn % FAN == 0:
        drawn, found = drawn // FAN, found + 1
    return found


def top_rank(followers: int) -> int:
    """The rank of those that renew from the voters, for so many followers."""
    top = 0
    while top < RANKS_MOST and followers > ROOTS_MOST * FAN**top:
        top += 1
    return top


def levels(followers: Collection[str]) -> dict[int, list[str]]:
    """All followers by rank, for each from 0 to the top."""
    top = top_rank(len(followers))
    found: dict[int, list[str]] = {level: [] for level in range(top + 1)}
    for name in followers:
        found[rank(name, top)].append(name)
    return found


def parents(me: str, voters: Sequence[str], followers: Iterable[str]) -> tuple[str, ...]:
    """From whom a member renews, in order of preference: a few; a voter only from other voters."""
    others = sorted((v for v in voters if v != me), key=lambda v: _hash(v, me))
    if me in voters:
        return tuple(others)
    above = levels({*followers, me})
    mine = rank(me, max(above))
    chosen: list[str] = []
    for level in range(mine + 1, max(above) + 1):
        most = 1 if chosen else BESIDE
        chosen += sorted(above[level], key=lambda name: _hash(name, me))[:most]
    return (*chosen, *others)


@dataclass(slots=True)
class _Aside:
    until_ms: float
    times: int


class Parents:
    """Whom to ask next: the first that is not left aside. Who fails is left aside for longer each time."""

    def __init__(self, me: str, aside_ms: float) -> None:
        self._me = me
        self._aside_ms = aside_ms
        self._aside: dict[str, _Aside] = {}
        self._voters: tuple[str, ...] = ()
        self._order: tuple[str, ...] = ()
        self._last = ""  # who granted last

    def members(self, voters: Sequence[str], followers: Iterable[str] = ()) -> None:
        """The cluster's members by name, the own one with them or not; to be told whenever they change."""
        self._voters = tuple(voters)
        self._order = parents(self._me, voters, followers)

    def order(self, leader: str) -> tuple[str, ...]:
        """All that may be asked, in order. A voter asks the leader first; anyone asks it last."""
        if leader not in self._voters or leader == self._me:
            return self._order
        rest = [who for who in self._order if who != leader]
        return (leader, *rest) if self._me in self._voters else (*rest, leader)

    def choose(self, now_ms: float, leader: str, hint: str = "") -> str:
        """Whom to ask now; empty if there is nobody. `hint`: whom a refusal named."""
        order = self.order(leader)
        if hint and hint != self._me and self._free_ms(hint) <= now_ms:
            return hint
        if self._last and self._last != self._me:  # a refusal may have named one that is not in the order
            order = (*order[:1], self._last, *order[1:])
        return min(order, key=lambda who: max(now_ms, self._free_ms(who)), default="")

    def _free_ms(self, who: str) -> float:
        return self._aside[who].until_ms if who in self._aside else 0.0

    def failed(self, now_ms: float, who: str, full: bool = False) -> None:
        """It gave no lease in time, or (`full`) has no room for one more."""
        before = self._aside.pop(who, None)
        times = before.times + 1 if before is not None else 1
        span_ms = FULL_MS if full else min(self._aside_ms * 2.0 ** min(times - 1, 16), ASIDE_MOST_MS)
        while len(self._aside) >= ASIDE_MOST:
            del self._aside[next(iter(self._aside))]
        self._aside[who] = _Aside(now_ms + span_ms, times)

    def worked(self, who: str) -> None:
        """It granted a lease."""
        self._aside.pop(who, None)
        self._last = who


# --- what to fetch ------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Wanted:
    """What to fetch from whom. `base`: the digest of the book before the first, if it is there."""

    to: str
    first: int
    last: int
    base: str


class Shelf:
    """The rulebooks that a node has, and what it fetches: one question at a time, of all that is missing."""

    def __init__(self, wait_ms: float) -> None:
        self._wait_ms = wait_ms
        self._books: dict[int, Rulebook] = {}
        self._digests: dict[int, str] = {}
        self._sizes: dict[int, int] = {}
        self._deltas: dict[int, tuple[Delta, int]] = {}
        self._expected: dict[int, str] = {}
        self._loose: dict[int, tuple[Rulebook, str]] = {}  # not yet known to be right, and from whom
        self._target = Known()
        self._flight: tuple[Wanted, float] | None = None
        self._aside: dict[str, float] = {}
        self._whole = False  # a delta came to nothing
        self.counts: Counter[str] = Counter()

    @property
    def digests(self) -> Mapping[int, str]:
        """Of the books that are there, by number."""
        return MappingProxyType(self._digests)

    def books(self, first: int, last: int) -> tuple[Rulebook, ...]:
        """Those that are there of a range, oldest first."""
        return tuple(self._books[number] for number in sorted(self._books) if first <= number <= last)

    def hold(self, book: Rulebook) -> None:
        """Take a book that is committed in the own log."""
        self._put(book)
        self._loose.pop(book.number, None)

    def _put(self, book: Rulebook) -> None:
        number = book.number
        if self._digests.get(number) == digest_of(book):
            return
        for table in (self._sizes, self._deltas):
            table.pop(number, None)
        self._deltas.pop(number + 1, None)
        self._books[number], self._digests[number] = book, digest_of(book)

    def keep_from(self, effective: int) -> None:
        """Forget what is older than the book in effect, but for a few."""
        for number in [n for n in self._books if n < effective - OLDER_KEPT]:
            for table in (self._books, self._digests, self._sizes, self._deltas):
                table.pop(number, None)

    # --- fetching -----------------------------------------------------------------------------

    def want(self, known: Known) -> bool:
        """Aim at what a grant tells; false if it spans too much. Of several only the newest is aimed at."""
        if known.pending - known.effective >= RANGE_MOST:
            self.counts["wide"] += 1
            return False
        for number, digest in (
            (known.effective, known.effective_digest),
            (known.pending, known.pending_digest),
        ):
            self._expected[number] = digest
        if not known.older(self._target):
            self._target = known
        aim = self._target
        self._expected = {n: d for n, d in self._expected.items() if aim.effective <= n <= aim.pending}
        self._loose = {n: b for n, b in self._loose.items() if aim.effective <= n <= aim.pending}
        self._check()
        return True

    def missing(self) -> list[int]:
        """The numbers of the aim that are not there, or not the right ones."""
        aim = range(max(1, self._target.effective), self._target.pending + 1)
        return [n for n in aim if n not in self._loose and not self._right(n)]

    def _right(self, number: int) -> bool:
        there = self._digests.get(number)
        return there is not None and there == self._expected.get(number, there)

    def next_ms(self) -> float:
        """When `fetch` wants to be asked; infinite while nothing is missing."""
        if self._flight is not None:
            return self._flight[1]
        return 0.0 if self.missing() else math.inf

    def fetch(self, now_ms: float, sources: Sequence[str]) -> Wanted | None:
        """What to ask now, of the first source that is not left aside; None while an answer is awaited."""
        if self._flight is not None:
            if now_ms < self._flight[1]:
                return None
            self._leave(now_ms, self._flight[0].to, "silent")
            self._flight = None
        missing = self.missing()
        if not missing or not sources:
            return None
        to = min(sources, key=lambda who: max(now_ms, self._aside.get(who, 0.0)))
        before = self._any(missing[0] - 1)
        base = "" if self._whole or before is None else digest_of(before)
        wanted = Wanted(to, missing[0], missing[-1], base)
        self._flight = (wanted, now_ms + self._wait_ms)
        return wanted

    def _leave(self, now_ms: float, who: str, why: str) -> None:
        self.counts[why] += 1
        self._aside.pop(who, None)
        while len(self._aside) >= ASIDE_MOST:
            del self._aside[next(iter(self._aside))]
        self._aside[who] = now_ms + 5.0 * self._wait_ms

    def take(
        self, now_ms: float, sender: str, books: Sequence[Rulebook], deltas: Sequence[Delta] = ()
    ) -> bool:
        """Take an answer: whole books, then what makes the next ones. Whether one more book is there now."""
        if self._flight is None or self._flight[0].to != sender:
            self.counts["unasked"] += 1
            return False
        wanted = self._flight[0]
        self._flight = None
        before = len(self._loose) + len(self._books)
        for book in books[:RANGE_MOST]:
            self._offer(book, wanted)
        for made in deltas[:RANGE_MOST]:
            if (old := self._any(made.number - 1)) is None:
                break
            try:
                self._offer(patch(old, made), wanted)
            except (ValueError, msgspec.ValidationError):
                self._whole = True
                self._leave(now_ms, sender, "wrong")
                break
        if len(self._loose) + len(self._books) == before:
            self._leave(now_ms, sender, "empty")
        else:
            self._whole = self._whole and bool(deltas)
        there = dict(self._digests)
        for who in self._check():
            self._leave(now_ms, who, "wrong")
        return there != self._digests

    def _any(self, number: int) -> Rulebook | None:
        if number in self._loose:
            return self._loose[number][0]
        return self._books.get(number)

    def _offer(self, book: Rulebook, wanted: Wanted) -> None:
        if wanted.first <= book.number <= wanted.last and not self._right(book.number):
            self._loose[book.number] = (book, wanted.to)

    def _check(self) -> list[str]:
        """Take the loose books that are right, from the newest down; who gave wrong ones."""
        wrong = []
        for number in range(self._target.pending, 0, -1):
            if number < self._target.effective:
                break
            digest = self._expected.get(number)
            if number in self._loose and digest is not None:
                book, who = self._loose.pop(number)
                if digest_of(book) != digest:
                    wrong.append(who)
                    continue
                self._put(book)
            if number in self._books and self._right(number) and number > 1:
                self._expected.setdefault(number - 1, self._books[number].parent)
        return wrong

    # --- answering ----------------------------------------------------------------------------

    def answer(self, first: int, last: int, base: str) -> tuple[tuple[Rulebook, ...], tuple[Delta, ...]]:
        """What is there of a range, without gaps and of bounded size: whole the first, unless `base` is the
        digest of the one before it, and of each next one what makes it of the one before."""
        whole: list[Rulebook] = []
        deltas: list[Delta] = []
        left = ANSWER_BYTES_MOST
        number = max(first, min(self._books, default=first))
        most = min(last, number + RANGE_MOST - 1)
        follows = bool(base) and number == first and base == self._digests.get(number - 1)
        while number <= most and number in self._books and left > 0:
            if follows:
                made, size = self._delta(number)
                deltas += [made] if size <= left else []
            else:
                size = self._size(number)
                whole.append(self._books[number])
            follows, left, number = True, left - size, number + 1
        return tuple(whole), tuple(deltas)

    def _size(self, number: int) -> int:
        if number not in self._sizes:
            self._sizes[number] = len(encode(self._books[number]))
        return self._sizes[number]

    def _delta(self, number: int) -> tuple[Delta, int]:
        if number not in self._deltas:
            made = delta(self._books[number - 1], self._books[number])
            self._deltas[number] = (made, len(msgspec.msgpack.encode(made)))
        return self._deltas[number]

"""The connections of one front by what they have done, and which is evicted when places run short. Pure.

A healthy client is told from a crowd by its connection's past, not by its address: it asks soon after
it connects, and it comes back. So the order in which connections are evicted is

1. what is rejected and only lingers;
2. who never asked, once it has had longer than clients take from connecting to their first request, and
   who has been as long about half of a later one;
3. who has been at rest for so long that it has most likely left;
4. who asked once, then who asked a few times, then the rest: the longest at rest first.

Whoever has a request open is never evicted, and a pending connection gets its time to ask: it may
be a client's one resend. Every step looks at the heads of queues that are in order of time, so its
cost does not grow with the table; who was looked at in vain goes to the end of another queue, so that
nobody hides behind it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum
from itertools import dropwhile, islice, takewhile
from typing import Generic, TypeVar

Holder = TypeVar("Holder")


class Standing(Enum):
    """What a connection is doing."""

    NEW = "new"  # nothing has been read
    ASKING = "asking"  # a request has begun and is not whole
    IN_CALL = "in a call"  # a whole request is not answered
    AT_REST = "at rest"  # all that it asked is answered
    REJECTED = "rejected"  # its last answer is written or due; nothing more is read as a request


@dataclass(frozen=True, slots=True)
class TableOptions:
    """The figures of one table; times in milliseconds."""

    clients_most: int  # connections that well-behaved clients hold altogether at the most
    first_ms: float = 2400.0  # from connecting to the first whole request; later ones are told so
    patience_least_ms: float = 100.0  # a pending one gets at least so long to ask, whatever was learned
    patience_most_ms: float = 1000.0
    once_share: float = 0.5  # of `clients_most`: more who asked once do not rest at a time
    once_rest_ms: float = 1800.0  # who asked once and does not come back in this time is closed
    crowded_share: float = 0.75  # of `clients_most` at rest: places run short
    crowded_rest_ms: float = 2000.0  # and who has rested for so long is closed
    stale_ms: float = 10_000.0  # at rest for longer: it is evicted before who asked just now
    hurried_rest_ms: float = 500.0  # under pressure: who asked once rests for no longer
    look_most: int = 8  # connections looked at to find one to evict


FEW = 3  # asks up to which a connection counts as one of a few


class TableEntry(Generic[Holder]):
    """One connection in the table."""

    __slots__ = ("asks", "first_ms", "holder", "opened_ms", "queue", "since_ms", "standing", "waited_ms")

    def __init__(self, holder: Holder, now: float, waited_ms: float = 0.0) -> None:
        self.holder = holder
        self.standing = Standing.NEW
        self.opened_ms = now
        self.since_ms = now  # since when it stands as it does
        self.waited_ms = waited_ms  # to be accepted
        self.first_ms = 0.0  # from connecting to its first whole request
        self.queue: dict[TableEntry[Holder], None] | None = None  # that it is in
        self.asks = 0  # times that it came with a whole request, or with several at once


class ConnectionTable(Generic[Holder]):
    """The entries of one front, each in one queue for what it does, oldest first."""

    def __init__(self, options: TableOptions) -> None:
        self._options = options
        self._once_most = max(2, int(options.clients_most * options.once_share))
        self._crowded = max(4, int(options.clients_most * options.crowded_share))
        self._entries: dict[TableEntry[Holder], None] = {}
        self._rejected: dict[TableEntry[Holder], None] = {}
        self._unasked: dict[TableEntry[Holder], None] = {}  # in order of connecting, whatever was begun
        self._half: dict[TableEntry[Holder], None] = {}  # half of a later request has come
        self._vain: dict[TableEntry[Holder], None] = {}  # of these three, who was looked at in vain
        # At rest, by how often they asked: once, a few times, more often.
        self._rest: tuple[dict[TableEntry[Holder], None], ...] = ({}, {}, {})
        self._first_mean = self._first_spread = 0.0  # from connecting to the first request, learned
        self.hurried = False  # pressed: who rests is closed sooner

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[TableEntry[Holder]]:
        return iter(list(self._entries))

    @property
    def at_rest(self) -> int:
        """Connections at rest."""
        return sum(map(len, self._rest))

    @property
    def patience_ms(self) -> float:
        """How long a pending connection is given to ask before it may be evicted."""
        learned = self._first_mean + 4.0 * self._first_spread
        return min(max(learned, self._options.patience_least_ms), self._options.patience_most_ms)

    # --- what connections do ------------------------------------------------

    def open(self, holder: Holder, now: float, waited_ms: float = 0.0) -> TableEntry[Holder]:
        """A new connection."""
        entry = TableEntry(holder, now, waited_ms)
        self._entries[entry] = None
        _move(entry, self._unasked)
        return entry

    def begin(self, entry: TableEntry[Holder], now: float) -> None:
        """The first byte of a request has come, and no call is open."""
        if entry not in self._entries or entry.standing in (Standing.ASKING, Standing.REJECTED):
            return
        if entry.asks:
            _move(entry, self._half)
        entry.standing, entry.since_ms = Standing.ASKING, now

    def ask(self, entry: TableEntry[Holder], now: float, proves: bool = True) -> None:
        """A whole request has come. One that comes while another is open does not make it one that has
        come back, and one that only asks for readiness `proves` nothing.
        """
        if entry not in self._entries or entry.standing is Standing.REJECTED:
            return
        standing = entry.standing
        if standing is not Standing.IN_CALL:
            _move(entry, None)
            if entry.asks == 0:
                entry.asks, entry.first_ms = 1, now - entry.opened_ms
            elif proves:
                if entry.asks == 1:
                    self._learn_first(entry.first_ms)
                entry.asks += 1
        entry.standing, entry.since_ms = Standing.IN_CALL, now

    def rest(self, entry: TableEntry[Holder], now: float) -> None:
        """All that it asked is answered, and its client has read it."""
        if entry in self._entries and entry.standing is not Standing.REJECTED and entry.asks:
            _move(entry, self._rest[_tier(entry.asks)])
            entry.standing, entry.since_ms = Standing.AT_REST, now

    def reject(self, entry: TableEntry[Holder], now: float) -> None:
        """Nothing more is read from it as a request."""
        if entry in self._entries and entry.standing is not Standing.REJECTED:
            _move(entry, self._rejected)
            entry.standing, entry.since_ms = Standing.REJECTED, now

    def close(self, entry: TableEntry[Holder]) -> bool:
        """It is closed, and its holder let go; whether it was in the table still."""
        if entry not in self._entries:
            return False
        _move(entry, None)
        del self._entries[entry]
        del entry.holder  # it refers back: without it the memory is free at once
        return True

    # --- who is evicted -------------------------------------------------------

    def victim(
        self, now: float, quiet: Callable[[Holder], bool], urgent: bool = False
    ) -> TableEntry[Holder] | None:
        """Who is evicted for another connection, or None.

        `quiet` tells whether no call is open on a connection and nothing is unread on either side: guards
        against closing one whose request, or its rest, has come already, and against cutting an answer.
        When it is `urgent` a pending connection may be evicted, too, the oldest first.
        """
        vain: list[TableEntry[Holder]] = []
        found = None
        for entry in islice(self._in_order(now, urgent), self._options.look_most):
            if quiet(entry.holder):
                found = entry
                break
            vain.append(entry)
        for entry in vain:
            if entry.since_ms <= now - self.patience_ms:  # a pending connection keeps its time
                self._looked_in_vain(entry)
        return found

    def one_too_many(self, now: float, quiet: Callable[[Holder], bool]) -> TableEntry[Holder] | None:
        """Who is evicted although there is room: more of those who asked once rest than may.

        Guards against clients that ask once and keep their connection: they hold all places that
        clients have, and nobody can ask until one is closed.
        """
        once = self._rest[0]
        if len(once) <= self._once_most:
            return None
        return next((entry for entry in islice(once, self._options.look_most) if quiet(entry.holder)), None)

    def overdue(self, now: float) -> list[TableEntry[Holder]]:
        """Who has not sent a whole request for longer than any healthy client takes."""
        until = now - self._options.first_ms
        gone = list(takewhile(lambda entry: entry.opened_ms <= until, self._unasked))
        return gone + [entry for entry in self._vain if not entry.asks and entry.opened_ms <= until]

    def rested(self, now: float) -> list[TableEntry[Holder]]:
        """Who has rested for too long: at any time who asked once, others in a crowd or under pressure."""
        options = self._options
        once_ms = options.hurried_rest_ms if self.hurried else options.once_rest_ms
        gone = self._older(self._rest[0], now - once_ms)
        if self.hurried or self.at_rest > self._crowded:
            for tier in self._rest[1:]:
                gone += self._older(tier, now - options.crowded_rest_ms)
        return gone

    # --- the queues -----------------------------------------------------------

    def _in_order(self, now: float, urgent: bool) -> Iterator[TableEntry[Holder]]:
        yield from self._rejected
        patience = now - self.patience_ms
        yield from takewhile(lambda entry: entry.opened_ms <= patience, self._unasked)
        yield from takewhile(lambda entry: entry.since_ms <= patience, self._half)
        stale = now - self._options.stale_ms
        for tier in self._rest:
            yield from takewhile(lambda entry: entry.since_ms <= stale, tier)
        for tier in self._rest:
            yield from dropwhile(lambda entry: entry.since_ms <= stale, tier)
        yield from self._vain
        if urgent:
            yield from dropwhile(lambda entry: entry.opened_ms <= patience, self._unasked)

    def _looked_in_vain(self, entry: TableEntry[Holder]) -> None:
        """Guards against a few that always have something unread, behind which all others would hide."""
        if entry.standing is not Standing.AT_REST:
            _move(entry, self._vain)

    @staticmethod
    def _older(queue: dict[TableEntry[Holder], None], until: float) -> list[TableEntry[Holder]]:
        return list(takewhile(lambda entry: entry.since_ms <= until, queue))

    def _learn_first(self, took: float) -> None:
        """As TCP learns a round trip (RFC 6298): a mean, and how far samples lie from it. Only who has
        come back teaches it: a crowd must not buy itself time.
        """
        if self._first_mean == 0.0:
            self._first_mean, self._first_spread = took, took / 2.0
            return
        off = took - self._first_mean
        self._first_mean += off / 8.0
        self._first_spread += (abs(off) - self._first_spread) / 4.0


def _move(entry: TableEntry[Holder], queue: dict[TableEntry[Holder], None] | None) -> None:
    """Out of the one queue that it is in, if any, to the end of this one, if any."""
    if entry.queue is not None:
        del entry.queue[entry]
    entry.queue = queue
    if queue is not None:
        queue[entry] = None


def _tier(asks: int) -> int:
    """The queue of who is at rest and has asked so often."""
    return 0 if asks <= 1 else 1 if asks <= FEW else 2

"""The client connections of one HTTP server by what they have done, and which is evicted in shortage. Pure.

A healthy client is distinguished from a flood by its connection's past, not by its address: it sends a
request soon after it connects, and it comes back. So connections are evicted in this order:

1. those that were rejected and only linger;
2. those that never sent a request, once they had longer than clients take from connecting to their first
one, and
   those that have been as long about half of a later one;
3. those that have been idle for so long that their client has most likely left;
4. those that sent one request, then those that sent a few, then the rest: the longest idle first.

A connection with a request open is never evicted, and a pending one gets its time to send a request: it may
be a client's only resend. Every step looks at the heads of queues that are in order of time, so its cost
does not grow with the table. A connection that was examined in vain goes to the end of another queue, so
that others can't hide behind it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum
from itertools import dropwhile, islice, takewhile
from typing import Generic, TypeAlias, TypeVar

Owner = TypeVar("Owner")


class EvictionClass(Enum):
    """What a connection is doing, as far as eviction is concerned."""

    NEW = "new"  # nothing has been read
    RECEIVING = "receiving"  # a request has begun and is not complete
    IN_CALL = "in a call"  # a complete request is not answered
    IDLE = "idle"  # all its requests are answered
    REJECTED = "rejected"  # its last answer is written or due; nothing more is read as a request


@dataclass(frozen=True, slots=True)
class TableOptions:
    """The figures of one table; times are in milliseconds.

    Attributes:
        max_clients: Connections that well-behaved clients hold altogether at the most.
        first_request_timeout_ms: From connecting to the first complete request; the server has its own for
            later ones.
        min_grace_ms: A pending connection gets at least so long to send a request, whatever was learned.
        max_grace_ms: And at the most so long.
        once_share: Of `max_clients`: no more connections that sent one request are idle at a time.
        once_idle_timeout_ms: One that sent one request is closed after being idle for so long.
        crowded_share: Of `max_clients`: with more idle connections, places run short.
        crowded_idle_timeout_ms: While places run short, any connection is closed after being idle for so
            long.
        stale_idle_ms: One that is idle for longer is evicted before those that sent a request just now.
        pressure_idle_timeout_ms: Under pressure, one that sent one request is closed after being idle for
            so long.
        max_examined: Connections that are examined to find one to evict.
    """

    max_clients: int
    first_request_timeout_ms: float = 2400.0  # longer than any healthy client takes
    min_grace_ms: float = 100.0
    max_grace_ms: float = 1000.0
    once_share: float = 0.5  # the other half is left to clients that come back
    once_idle_timeout_ms: float = 1800.0
    crowded_share: float = 0.75
    crowded_idle_timeout_ms: float = 2000.0
    stale_idle_ms: float = 10_000.0
    pressure_idle_timeout_ms: float = 500.0
    max_examined: int = 8  # bounds the cost of one eviction


MAX_FEW_REQUESTS = 3  # up to so many requests a connection counts as one with a few
# Weights of TCP's round-trip estimator (RFC 6298): of a new sample in the mean and in the deviation, and
# how many deviations above the mean are waited for.
MEAN_GAIN = 1.0 / 8.0
DEVIATION_GAIN = 1.0 / 4.0
GRACE_DEVIATIONS = 4.0


class TableEntry(Generic[Owner]):
    """One connection in the table.

    Attributes:
        owner: The connection itself; unset once it is removed.
        eviction_class: What it is doing.
        opened_ms: When it connected.
        since_ms: Since when it has its eviction class.
        accept_wait_ms: How long it waited to be accepted.
        first_request_ms: From connecting to its first complete request; 0 until then.
        request_count: How often it came with a complete request, or with several at once.
        queue: The one queue that it is in; None while a request is open.
    """

    __slots__ = (
        "accept_wait_ms",
        "eviction_class",
        "first_request_ms",
        "opened_ms",
        "owner",
        "queue",
        "request_count",
        "since_ms",
    )

    def __init__(self, owner: Owner, now: float, accept_wait_ms: float = 0.0) -> None:
        self.owner = owner
        self.eviction_class = EvictionClass.NEW
        self.opened_ms = now
        self.since_ms = now
        self.accept_wait_ms = accept_wait_ms
        self.first_request_ms = 0.0
        self.queue: Queue[Owner] | None = None
        self.request_count = 0


Queue: TypeAlias = dict[TableEntry[Owner], None]  # in order; an entry is taken out of its middle at once


class ConnectionTable(Generic[Owner]):
    """Holds the entries of one HTTP server, each in at most one queue by what it does, oldest first.

    Attributes:
        shorten_idle: Whether the process is under pressure: idle connections are closed sooner.
    """

    def __init__(self, options: TableOptions) -> None:
        self._options = options
        self._max_once = max(2, int(options.max_clients * options.once_share))
        self._crowded_from = max(4, int(options.max_clients * options.crowded_share))
        self._entries: Queue[Owner] = {}
        self._rejected: Queue[Owner] = {}
        self._no_request: Queue[Owner] = {}  # in order of connecting, whether or not a request has begun
        self._later_request: Queue[Owner] = {}  # that have sent a part of a later request
        self._in_vain: Queue[Owner] = {}  # of these three, the ones that were examined in vain
        # Idle, by how many requests they sent: one, a few, more.
        self._idle: tuple[Queue[Owner], ...] = ({}, {}, {})
        # From connecting to the first request, learned.
        self._first_request_mean_ms = 0.0
        self._first_request_deviation_ms = 0.0
        self.shorten_idle = False

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[TableEntry[Owner]]:
        return iter(list(self._entries))

    @property
    def idle_count(self) -> int:
        """How many connections are idle."""
        return sum(map(len, self._idle))

    @property
    def grace_ms(self) -> float:
        """How long a pending connection is given to send a request before it may be evicted."""
        learned = self._first_request_mean_ms + GRACE_DEVIATIONS * self._first_request_deviation_ms
        return min(max(learned, self._options.min_grace_ms), self._options.max_grace_ms)

    # --- what connections do ------------------------------------------------

    def add(self, owner: Owner, now: float, accept_wait_ms: float = 0.0) -> TableEntry[Owner]:
        """Add a connection that was accepted at `now`, after so long in the accept queue."""
        entry = TableEntry(owner, now, accept_wait_ms)
        self._entries[entry] = None
        _move(entry, self._no_request)
        return entry

    def on_request_started(self, entry: TableEntry[Owner], now: float) -> None:
        """The first byte of a request has come, and no call is open."""
        known = entry.eviction_class
        if entry not in self._entries or known in (EvictionClass.RECEIVING, EvictionClass.REJECTED):
            return
        if entry.request_count:
            _move(entry, self._later_request)
        entry.eviction_class, entry.since_ms = EvictionClass.RECEIVING, now

    def on_request(self, entry: TableEntry[Owner], now: float, proves_client: bool = True) -> None:
        """A complete request has come.

        Args:
            entry: The connection that it came on.
            now: When it was read.
            proves_client: Whether it counts as a client's request; one that only asks for readiness does not.
        """
        if entry not in self._entries or entry.eviction_class is EvictionClass.REJECTED:
            return
        # One that comes while another is open does not count as one that came back: a flood may pipeline.
        if entry.eviction_class is not EvictionClass.IN_CALL:
            _move(entry, None)
            if entry.request_count == 0:
                entry.request_count, entry.first_request_ms = 1, now - entry.opened_ms
            elif proves_client:
                if entry.request_count == 1:
                    self._learn_first_request_time(entry.first_request_ms)
                entry.request_count += 1
        entry.eviction_class, entry.since_ms = EvictionClass.IN_CALL, now

    def on_idle(self, entry: TableEntry[Owner], now: float) -> None:
        """All its requests are answered, and its client has read the answers."""
        if entry not in self._entries or entry.eviction_class is EvictionClass.REJECTED:
            return
        if entry.request_count:
            _move(entry, self._idle[_idle_queue(entry.request_count)])
            entry.eviction_class, entry.since_ms = EvictionClass.IDLE, now

    def on_rejected(self, entry: TableEntry[Owner], now: float) -> None:
        """Nothing more is read from it as a request: its last answer is written or due."""
        if entry in self._entries and entry.eviction_class is not EvictionClass.REJECTED:
            _move(entry, self._rejected)
            entry.eviction_class, entry.since_ms = EvictionClass.REJECTED, now

    def remove(self, entry: TableEntry[Owner]) -> bool:
        """Remove a closed connection and let its owner go; return whether it was still in the table."""
        if entry not in self._entries:
            return False
        _move(entry, None)
        del self._entries[entry]
        del (
            entry.owner
        )  # breaks the reference cycle: the memory is free at once, without the garbage collector
        return True

    # --- eviction ---------------------------------------------------------------

    def victim(
        self, now: float, quiet: Callable[[Owner], bool], urgent: bool = False
    ) -> TableEntry[Owner] | None:
        """Return the connection to evict for another one, or None.

        Args:
            now: The time in milliseconds.
            quiet: Returns whether no call is open on a connection and nothing is unread on either side.
                Guards against closing one whose request, or the rest of it, has arrived already, and
                against cutting an answer.
            urgent: Whether a pending connection may be evicted, too, the oldest first.
        """
        in_vain: list[TableEntry[Owner]] = []
        found = None
        for entry in islice(self._eviction_order(now, urgent), self._options.max_examined):
            if quiet(entry.owner):
                found = entry
                break
            in_vain.append(entry)
        for entry in in_vain:
            if entry.since_ms <= now - self.grace_ms:  # a pending connection keeps its place until then
                self._move_back(entry)
        return found

    def excess_victim(self, now: float, quiet: Callable[[Owner], bool]) -> TableEntry[Owner] | None:
        """Return the connection to evict although there is room, or None.

        That is the longest idle one that sent a single request, where more of those are idle than may be.
        Guards against clients that send one request and keep their connection: they would hold all places
        that clients have, and no request could come until one is closed.

        Args:
            now: The time in milliseconds.
            quiet: As for `victim`.
        """
        once = self._idle[0]
        if len(once) <= self._max_once:
            return None
        return next((entry for entry in islice(once, self._options.max_examined) if quiet(entry.owner)), None)

    def overdue(self, now: float) -> list[TableEntry[Owner]]:
        """Return those that sent no complete request for longer than any healthy client takes."""
        until = now - self._options.first_request_timeout_ms
        found = list(takewhile(lambda entry: entry.opened_ms <= until, self._no_request))
        found += [entry for entry in self._in_vain if not entry.request_count and entry.opened_ms <= until]
        return found

    def expired_idle(self, now: float) -> list[TableEntry[Owner]]:
        """Return those that were idle for too long: some at any time, others in a flood or under pressure."""
        options = self._options
        once_ms = options.pressure_idle_timeout_ms if self.shorten_idle else options.once_idle_timeout_ms
        expired = self._older(self._idle[0], now - once_ms)
        if self.shorten_idle or self.idle_count > self._crowded_from:
            for queue in self._idle[1:]:
                expired += self._older(queue, now - options.crowded_idle_timeout_ms)
        return expired

    # --- the queues -----------------------------------------------------------

    def _eviction_order(self, now: float, urgent: bool) -> Iterator[TableEntry[Owner]]:
        """Yield the connections in the order that the module's docstring gives."""
        yield from self._rejected
        pending_until = now - self.grace_ms
        yield from takewhile(lambda entry: entry.opened_ms <= pending_until, self._no_request)
        yield from takewhile(lambda entry: entry.since_ms <= pending_until, self._later_request)
        stale = now - self._options.stale_idle_ms
        for queue in self._idle:
            yield from takewhile(lambda entry: entry.since_ms <= stale, queue)
        for queue in self._idle:
            yield from dropwhile(lambda entry: entry.since_ms <= stale, queue)
        yield from self._in_vain
        if urgent:
            yield from dropwhile(lambda entry: entry.opened_ms <= pending_until, self._no_request)

    def _move_back(self, entry: TableEntry[Owner]) -> None:
        """Move a connection behind the others, lest a few with something unread use up every examination."""
        if entry.eviction_class is not EvictionClass.IDLE:
            _move(entry, self._in_vain)

    @staticmethod
    def _older(queue: Queue[Owner], until: float) -> list[TableEntry[Owner]]:
        return list(takewhile(lambda entry: entry.since_ms <= until, queue))

    def _learn_first_request_time(self, took_ms: float) -> None:
        """Learn how long clients take to send their first request, as TCP learns a round trip (RFC 6298).

        Only a connection that has come back teaches it: a flood must not buy itself time.
        """
        if self._first_request_mean_ms == 0.0:
            self._first_request_mean_ms, self._first_request_deviation_ms = took_ms, took_ms / 2.0
            return
        error_ms = took_ms - self._first_request_mean_ms
        self._first_request_mean_ms += error_ms * MEAN_GAIN
        self._first_request_deviation_ms += (
            abs(error_ms) - self._first_request_deviation_ms
        ) * DEVIATION_GAIN


def _move(entry: TableEntry[Owner], queue: Queue[Owner] | None) -> None:
    """Move an entry out of the queue that it is in, if any, to the end of `queue`, if any."""
    if entry.queue is not None:
        del entry.queue[entry]
    entry.queue = queue
    if queue is not None:
        queue[entry] = None


def _idle_queue(request_count: int) -> int:
    """Return the index of the queue of idle connections that sent so many requests."""
    if request_count <= 1:
        return 0
    return 1 if request_count <= MAX_FEW_REQUESTS else 2

"""Tracks the client connections of one HTTP server and decides which one is evicted in a shortage. Pure.

A healthy client is told from a connection flood by the history of its connection, not by its address: it
sends a request soon after it connects, and sends more requests later. Connections are therefore evicted in
this order:

1. those that were rejected and only linger;
2. those that never sent a complete request, once they have been connected for longer than clients take to
   send their first one, and those that have taken as long over a later request that is still incomplete;
3. those that have been idle for so long that their client has most likely left;
4. those that sent one request, then those that sent a few, then all others; of each group the longest idle
   first.

A connection with a request in flight is never evicted. A pending connection, which has not sent a complete
request yet, gets time to send one first, because it may carry a client's only retry. Each eviction step looks
at the heads of queues in order of time, so its cost does not grow with the table. A connection that was
examined and can't be evicted moves to the end of another queue, so that it does not shield those behind it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum
from itertools import dropwhile, islice, takewhile
from typing import Generic, TypeAlias, TypeVar

Owner = TypeVar("Owner")


class EvictionClass(Enum):
    """The activity of a connection as eviction distinguishes it."""

    NEW = "new"  # no byte has been read
    RECEIVING = "receiving"  # a request has started and is incomplete
    IN_CALL = "in a call"  # a complete request is in flight
    IDLE = "idle"  # all its requests are answered
    REJECTED = "rejected"  # its last response is written or due; no further request is read


@dataclass(frozen=True, slots=True)
class TableOptions:
    """Options of a connection table; times are in milliseconds.

    Attributes:
        max_clients: The most connections that all well-behaved clients hold together.
        first_request_timeout_ms: The longest time from connecting to the first complete request; the server
            has a separate time-out for later ones.
        min_grace_ms: The shortest time that a pending connection gets to send a request, whatever the learned
            estimate is.
        max_grace_ms: The longest such time.
        single_request_share: The share of `max_clients` that idle connections with a single request may take.
        single_request_idle_timeout_ms: The idle time-out of a connection that sent a single request.
        shortage_share: The share of `max_clients` above which idle connections count as a shortage of places.
        shortage_idle_timeout_ms: The idle time-out of all other connections while places are short or the
            process is under pressure.
        stale_idle_ms: A connection that has been idle for longer is evicted before any that was used
            recently.
        pressure_idle_timeout_ms: The idle time-out of a connection that sent a single request while the
            process is under pressure.
        max_examined: The most connections that are examined to find one to evict.
    """

    max_clients: int
    first_request_timeout_ms: float = 2400.0  # longer than any healthy client takes
    min_grace_ms: float = 100.0
    max_grace_ms: float = 1000.0
    single_request_share: float = 0.5  # the other half is left to clients that send more requests
    single_request_idle_timeout_ms: float = 1800.0
    shortage_share: float = 0.75
    shortage_idle_timeout_ms: float = 2000.0
    stale_idle_ms: float = 10_000.0
    pressure_idle_timeout_ms: float = 500.0
    max_examined: int = 8  # bounds the cost of one eviction


MAX_FEW_REQUESTS = 3  # a connection with 2 up to this many requests counts as one that sent a few
# The weights of TCP's round-trip estimator (RFC 6298): of a new sample in the mean and in the deviation, and
# the number of deviations above the mean that the estimate allows.
MEAN_GAIN = 1.0 / 8.0
DEVIATION_GAIN = 1.0 / 4.0
GRACE_DEVIATIONS = 4.0


class TableEntry(Generic[Owner]):
    """One connection in the table.

    Attributes:
        owner: The connection itself; deleted when the entry is removed.
        eviction_class: Its current activity.
        opened_ms: When it was accepted.
        since_ms: When it entered its current eviction class.
        accept_wait_ms: How long it waited to be accepted.
        first_request_ms: The time from accepting it to its first complete request; 0 until then.
        request_count: The number of its complete requests; not counted are requests that arrive while another
            is in flight, and readiness checks after the first request.
        queue: The one queue that it is in; None while a request is in flight.
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


Queue: TypeAlias = dict[TableEntry[Owner], None]  # ordered, with removal of any entry in constant time


class ConnectionTable(Generic[Owner]):
    """Holds the entries of one HTTP server, each in at most one queue by its activity, oldest first.

    Attributes:
        shorten_idle: Whether idle connections are closed sooner because the process is under pressure.
    """

    def __init__(self, options: TableOptions) -> None:
        self._options = options
        self._max_single_request = max(2, int(options.max_clients * options.single_request_share))
        self._shortage_threshold = max(4, int(options.max_clients * options.shortage_share))
        self._entries: Queue[Owner] = {}
        self._rejected: Queue[Owner] = {}
        self._no_request: Queue[Owner] = {}  # in order of accepting, whether or not a request has started
        self._later_request: Queue[Owner] = {}  # that have sent part of a later request
        self._unevictable: Queue[Owner] = {}  # from these three, those found not evictable
        # Idle connections by the number of requests that they sent: one, a few, more.
        self._idle: tuple[Queue[Owner], ...] = ({}, {}, {})
        # The learned time from accepting a connection to its first request.
        self._first_request_mean_ms = 0.0
        self._first_request_deviation_ms = 0.0
        self.shorten_idle = False

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[TableEntry[Owner]]:
        return iter(list(self._entries))

    @property
    def idle_count(self) -> int:
        """The number of idle connections."""
        return sum(map(len, self._idle))

    @property
    def grace_ms(self) -> float:
        """The time that a pending connection gets to send a request before it may be evicted."""
        learned = self._first_request_mean_ms + GRACE_DEVIATIONS * self._first_request_deviation_ms
        return min(max(learned, self._options.min_grace_ms), self._options.max_grace_ms)

    # --- connection events --------------------------------------------------

    def add(self, owner: Owner, now: float, accept_wait_ms: float = 0.0) -> TableEntry[Owner]:
        """Add a connection that was accepted at `now` after `accept_wait_ms` in the accept queue."""
        entry = TableEntry(owner, now, accept_wait_ms)
        self._entries[entry] = None
        _move(entry, self._no_request)
        return entry

    def on_request_started(self, entry: TableEntry[Owner], now: float) -> None:
        """Handle the first byte of a request that arrives while no call is in flight."""
        known = entry.eviction_class
        if entry not in self._entries or known in (EvictionClass.RECEIVING, EvictionClass.REJECTED):
            return
        if entry.request_count:
            _move(entry, self._later_request)
        entry.eviction_class, entry.since_ms = EvictionClass.RECEIVING, now

    def on_request(self, entry: TableEntry[Owner], now: float, proves_client: bool = True) -> None:
        """Handle a complete request.

        Args:
            entry: The connection that it arrived on.
            now: When it was read.
            proves_client: Whether it counts as a further request of a client; a readiness check does not.
        """
        if entry not in self._entries or entry.eviction_class is EvictionClass.REJECTED:
            return
        # A request that arrives while another is in flight does not count as a repeated one: a flood may
        # pipeline requests.
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
        """Handle that all requests of a connection are answered and its client has read the responses."""
        if entry not in self._entries or entry.eviction_class is EvictionClass.REJECTED:
            return
        if entry.request_count:
            _move(entry, self._idle[_idle_queue(entry.request_count)])
            entry.eviction_class, entry.since_ms = EvictionClass.IDLE, now

    def on_rejected(self, entry: TableEntry[Owner], now: float) -> None:
        """Handle that no further request is read from a connection: its last response is written or due."""
        if entry in self._entries and entry.eviction_class is not EvictionClass.REJECTED:
            _move(entry, self._rejected)
            entry.eviction_class, entry.since_ms = EvictionClass.REJECTED, now

    def remove(self, entry: TableEntry[Owner]) -> bool:
        """Remove a closed connection and drop the reference to its owner.

        Returns:
            Whether it was still in the table.
        """
        if entry not in self._entries:
            return False
        _move(entry, None)
        del self._entries[entry]
        del entry.owner  # breaks the reference cycle, so that memory is freed without the garbage collector
        return True

    # --- eviction ---------------------------------------------------------------

    def victim(
        self, now: float, can_evict: Callable[[Owner], bool], urgent: bool = False
    ) -> TableEntry[Owner] | None:
        """Find the connection to evict for another one.

        Args:
            now: The time in milliseconds.
            can_evict: Returns whether a connection has no call in flight and no unread bytes on either side.
                Guards against closing a connection whose request, or the rest of it, has already arrived,
                and against cutting off a response.
            urgent: Whether a pending connection that still has time to send a request may be evicted as
                well, the oldest first.

        Returns:
            The entry to evict; None if there is none.
        """
        unevictable: list[TableEntry[Owner]] = []
        found = None
        for entry in islice(self._eviction_order(now, urgent), self._options.max_examined):
            if can_evict(entry.owner):
                found = entry
                break
            unevictable.append(entry)
        for entry in unevictable:
            if entry.since_ms <= now - self.grace_ms:  # until then it keeps its place in its queue
                self._move_back(entry)
        return found

    def excess_victim(self, now: float, can_evict: Callable[[Owner], bool]) -> TableEntry[Owner] | None:
        """Find the connection to evict although there is still capacity.

        That is the longest idle one of those with a single request, if more of them are idle than
        `single_request_share` allows. Guards against clients that send one request and keep their connection:
        they would take all places of the clients, and no further request could arrive until one is closed.

        Args:
            now: The time in milliseconds.
            can_evict: As for `victim`.

        Returns:
            The entry to evict; None if there is none.
        """
        single_request = self._idle[0]
        if len(single_request) <= self._max_single_request:
            return None
        return next(
            (entry for entry in islice(single_request, self._options.max_examined) if can_evict(entry.owner)),
            None,
        )

    def overdue(self, now: float) -> list[TableEntry[Owner]]:
        """Return the connections that reached `first_request_timeout_ms` without a complete request."""
        until = now - self._options.first_request_timeout_ms
        found = list(takewhile(lambda entry: entry.opened_ms <= until, self._no_request))
        found += [
            entry for entry in self._unevictable if not entry.request_count and entry.opened_ms <= until
        ]
        return found

    def expired_idle(self, now: float) -> list[TableEntry[Owner]]:
        """Return the connections whose idle time-out has expired.

        Those with a single request expire at any time, others only in a shortage of places or under pressure.
        """
        options = self._options
        single_request_ms = (
            options.pressure_idle_timeout_ms if self.shorten_idle else options.single_request_idle_timeout_ms
        )
        expired = self._older(self._idle[0], now - single_request_ms)
        if self.shorten_idle or self.idle_count > self._shortage_threshold:
            for queue in self._idle[1:]:
                expired += self._older(queue, now - options.shortage_idle_timeout_ms)
        return expired

    # --- the queues -----------------------------------------------------------

    def _eviction_order(self, now: float, urgent: bool) -> Iterator[TableEntry[Owner]]:
        """Yield the connections in the order of eviction that the module docstring gives."""
        yield from self._rejected
        pending_until = now - self.grace_ms
        yield from takewhile(lambda entry: entry.opened_ms <= pending_until, self._no_request)
        yield from takewhile(lambda entry: entry.since_ms <= pending_until, self._later_request)
        stale = now - self._options.stale_idle_ms
        for queue in self._idle:
            yield from takewhile(lambda entry: entry.since_ms <= stale, queue)
        for queue in self._idle:
            yield from dropwhile(lambda entry: entry.since_ms <= stale, queue)
        yield from self._unevictable
        if urgent:
            yield from dropwhile(lambda entry: entry.opened_ms <= pending_until, self._no_request)

    def _move_back(self, entry: TableEntry[Owner]) -> None:
        """Move a connection behind the others, so that a few with unread bytes do not use up every search."""
        if entry.eviction_class is not EvictionClass.IDLE:
            _move(entry, self._unevictable)

    @staticmethod
    def _older(queue: Queue[Owner], until: float) -> list[TableEntry[Owner]]:
        return list(takewhile(lambda entry: entry.since_ms <= until, queue))

    def _learn_first_request_time(self, took_ms: float) -> None:
        """Update the learned time to the first request as TCP updates its round-trip time (RFC 6298).

        It is learned only from connections that sent a second request, so that a flood can't extend its own
        grace.
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
    """Remove an entry from its queue, if any, and append it to `queue`, if given."""
    if entry.queue is not None:
        del entry.queue[entry]
    entry.queue = queue
    if queue is not None:
        queue[entry] = None


def _idle_queue(request_count: int) -> int:
    """Return the index of the queue for idle connections that sent `request_count` requests."""
    if request_count <= 1:
        return 0
    return 1 if request_count <= MAX_FEW_REQUESTS else 2

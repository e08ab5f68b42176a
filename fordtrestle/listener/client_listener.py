"""Listens for clients: provides descriptors and memory, and ends connections that keep them for too long.

Connections are evicted in the order of `resources/connection_table.py`. Memory is reclaimed from clients that
do not read, the longest stalled first, then from idle connections, then from unfinished heads, then from the
client that has sent most of bodies that are still being received or of requests ahead: small requests are
served while large ones fill the quota.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

from aiohttp import web

from fordtrestle.listener.acceptor import Acceptor, is_readable
from fordtrestle.listener.client_connection import ClientConnection, ConnectionState
from fordtrestle.listener.client_quotas import ListenerBudget
from fordtrestle.listener.errors import ConnectionRefusedBySelfError
from fordtrestle.resources.connection_table import ConnectionTable, TableOptions
from fordtrestle.resources.quotas import QuotaShare

BACKLOG = 1024  # connections that wait in the kernel's queue
ACCEPTS_PER_TURN = 64  # connections accepted in one iteration of the loop
SWEEP_INTERVAL_S = 0.25  # between two searches for overdue connections
DEFAULT_HEAD_TIMEOUT_S = 5.0  # for a whole head to arrive

# For a client to read all that was written to it, or `MIN_SENT_BYTES` of it: one that reads slowly, or that
# is cut off from its sidecar for a few seconds, loses no response.
SEND_TIMEOUT_S = 10.0
MIN_SENT_BYTES = 64 * 1024

MAX_EVICTIONS = 8  # for one new connection: bounds the work that it can cause
MAX_RECLAIMS = 32  # for one request for memory
MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class ListenerOptions:
    """The options of a listener.

    Attributes:
        head_timeout_s: Returns the time for a whole head to arrive, in seconds.
        wrap: Returns the protocol that the transport of a connection gets, given the connection and a lower
            bound of when it arrived, in seconds of the loop's clock; the bound is `None` if the connection
            can't have waited longer than since the poll before it was accepted.
    """

    head_timeout_s: Callable[[], float] = lambda: DEFAULT_HEAD_TIMEOUT_S
    wrap: Callable[[ClientConnection, float | None], asyncio.Protocol] = lambda connection, _: connection


@dataclass(slots=True)
class _Stall:
    """A client that does not read fast enough: since when, in seconds of the loop's clock, and how much."""

    since: float
    unsent_bytes: int


class ClientListener:
    """A listening socket and its connections."""

    def __init__(
        self, server: web.Server, budget: ListenerBudget, options: ListenerOptions | None = None
    ) -> None:
        """Create a listener that does not listen yet.

        Args:
            server: Handles the requests.
            budget: The quota shares of this listener.
            options: Its options.
        """
        self._server = server
        self._budget = budget
        self._options = options or ListenerOptions()
        self._loop = asyncio.get_running_loop()
        self._acceptor: Acceptor | None = None
        self._table: ConnectionTable[ClientConnection] = ConnectionTable(
            TableOptions(int(budget.connections.fair_share))
        )
        self._starting: set[asyncio.Task[None]] = set()  # accepted connections without a transport
        # Since when, in seconds of the loop's clock; the oldest first.
        self._receiving: dict[ClientConnection, float] = {}
        self._stalled: dict[ClientConnection, _Stall] = {}
        self._idle_holders: dict[ClientConnection, None] = {}  # idle, and may hold a part of a head
        self._senders: dict[ClientConnection, None] = {}
        self._sweeping: asyncio.TimerHandle | None = None
        budget.connections.reclaim = self._reclaim_connections
        budget.memory.reclaim = self._reclaim_bytes

    def listen(self, host: str, port: int) -> None:
        """Listen on an address.

        Raises:
            OSError: The address cannot be bound.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((host, port))
        except OSError:
            sock.close()
            raise
        self.listen_on(sock)

    def listen_on(self, sock: socket.socket) -> None:
        """Accept connections of a bound socket.

        A connection that waits to be accepted holds what the system's default buffer does, about 128 KiB:
        a buffer that is set here would hold for it as well, and would bound its window for good.
        """
        sock.listen(BACKLOG)
        self._acceptor = Acceptor(self._loop, sock, self, ACCEPTS_PER_TURN)

    @property
    def sockets(self) -> tuple[socket.socket, ...]:
        """The listening sockets, as `asyncio.Server` has them."""
        return () if self._acceptor is None else (self._acceptor.sock,)

    @property
    def port(self) -> int:
        """The port that the listener is bound to."""
        return int(self.sockets[0].getsockname()[1])

    def close(self) -> None:
        """Stop accepting; connections stay open."""
        if self._acceptor is not None:
            self._acceptor.close()

    def make_connection(self) -> ClientConnection:
        """Create the protocol of a connection that was accepted elsewhere.

        Raises:
            ConnectionRefusedBySelfError: There is no descriptor for it.
        """
        share = self.take_descriptor(is_waiting=True, urgent=False)
        if share is None:
            raise ConnectionRefusedBySelfError("too many connections")
        return self._make_connection(share)

    # --- accepting: AcceptPolicy ---------------------------------------------

    lag_ms = 0.0  # waits in the queue are not charged to requests

    def take_descriptor(self, is_waiting: bool, urgent: bool) -> QuotaShare | None:
        """Take the descriptor of a connection about to be accepted, if necessary from another one."""
        share = self._budget.connections
        if not is_waiting:
            return share if share.acquire_free() else None
        if share.acquire() or self._evict_until(share.acquire, MAX_EVICTIONS, urgent):
            return share
        return None

    def on_descriptors_exhausted(self) -> None:
        """Evict a connection, as the system grants no descriptor, so that the next one finds one free."""
        self._evict_until(lambda: True, 1, urgent=True)

    def on_accepted(self, sock: socket.socket, share: QuotaShare, waited_ms: float) -> None:
        """Start to serve an accepted connection."""
        assert self._acceptor is not None
        arrived_after = self._acceptor.drained_at if self._acceptor.is_backlogged else None
        task = self._loop.create_task(self._start(sock, share, arrived_after))
        self._starting.add(task)
        task.add_done_callback(self._starting.discard)

    async def _start(self, sock: socket.socket, share: QuotaShare, arrived_after: float | None) -> None:
        """Create the transport of a connection."""
        connection = self._make_connection(share)
        try:
            await self._loop.connect_accepted_socket(
                lambda: self._options.wrap(connection, arrived_after), sock
            )
        except OSError:  # closed by its client meanwhile
            sock.close()
            self.on_closed(connection)

    def _make_connection(self, share: QuotaShare) -> ClientConnection:
        return ClientConnection(self._server, self._loop, self, share)

    # --- called by connections -------------------------------------------------

    def on_opened(self, connection: ClientConnection) -> None:
        """Add a connection to the table."""
        connection.entry = self._table.add(connection, self._now_ms())

    def on_request_started(self, connection: ClientConnection) -> None:
        """Bound the time of a head."""
        self._table.on_request_started(connection.entry, self._now_ms())
        self._receiving[connection] = self._loop.time()
        self._schedule_sweep()

    def on_request(self, connection: ClientConnection) -> None:
        """End the bound of a head; the handler bounds the rest."""
        self._receiving.pop(connection, None)
        self._idle_holders.pop(connection, None)
        self._table.on_request(connection.entry, self._now_ms())

    def on_idle(self, connection: ClientConnection) -> None:
        """Let the connection be evicted."""
        if connection.is_charged:
            self._idle_holders[connection] = None
        self._table.on_idle(connection.entry, self._now_ms())

    def on_rejected(self, connection: ClientConnection) -> None:
        """Let the connection be evicted before all others."""
        self._receiving.pop(connection, None)
        self._table.on_rejected(connection.entry, self._now_ms())

    def on_stalled(self, connection: ClientConnection) -> None:
        """Bound the time for which bytes are unsent."""
        self._stalled[connection] = _Stall(self._loop.time(), connection.unsent_bytes)
        self._schedule_sweep()

    def on_unstalled(self, connection: ClientConnection) -> None:
        """End that bound."""
        self._stalled.pop(connection, None)

    def on_sending(self, connection: ClientConnection, is_sending: bool) -> None:
        """Remember who sends bodies or requests ahead."""
        if is_sending:
            self._senders[connection] = None
        else:
            self._senders.pop(connection, None)

    def on_closed(self, connection: ClientConnection) -> None:
        """Release the descriptor of a connection that is closed or about to be."""
        share, connection.share = connection.share, None
        if share is None:
            return
        share.release()
        if hasattr(connection, "entry"):
            self._table.remove(connection.entry)
        for connections in (self._receiving, self._stalled, self._senders, self._idle_holders):
            connections.pop(connection, None)
        if self._acceptor is not None:
            self._acceptor.resume()

    @property
    def capacity_bytes(self) -> int:
        """The most bytes that all clients together may make the process hold."""
        return self._budget.memory.capacity

    def acquire_bytes(self, connection: ClientConnection, count: int) -> bool:
        """Acquire bytes of the quota, if necessary by ending other connections; return whether it did."""
        memory = self._budget.memory
        for _ in range(MAX_RECLAIMS):
            if memory.acquire(count):
                return True
            if not self._reclaim_one(connection):
                return False
        return memory.acquire(count)

    def release_bytes(self, count: int) -> None:
        """Release bytes of the quota."""
        self._budget.memory.release(count)

    # --- descriptors -------------------------------------------------------------

    def _reclaim_connections(self, count: int) -> None:
        """Evict up to `count` connections for other listeners that are below their fair share."""
        share = self._budget.connections
        target = share.used - count
        self._evict_until(lambda: share.used <= target, count, urgent=False)

    def _evict_until(self, is_enough: Callable[[], bool], max_evictions: int, urgent: bool) -> bool:
        """Evict connections one by one until `is_enough`, or up to `max_evictions`; return whether it is."""
        for _ in range(max_evictions):
            entry = self._table.victim(self._now_ms(), _can_evict, urgent)
            if entry is None:
                return False
            connection = entry.owner
            self.on_closed(connection)
            connection.abort()
            if is_enough():
                return True
        return False

    # --- memory ------------------------------------------------------------------

    def _reclaim_bytes(self, count: int) -> None:
        """Free up to `count` bytes for other listeners that are below their fair share."""
        memory = self._budget.memory
        target = memory.used - count
        for _ in range(MAX_RECLAIMS):
            if memory.used <= target or not self._reclaim_one(None):
                return

    def _reclaim_one(self, beneficiary: ClientConnection | None) -> bool:
        """Free the bytes of one connection other than the beneficiary; return whether there was one."""
        stalled = next((other for other in self._stalled if other is not beneficiary), None)
        if stalled is not None:
            self._stalled.pop(stalled)
            stalled.release()
            stalled.abort()
            return True
        holder = next((other for other in self._idle_holders if other is not beneficiary), None)
        if holder is not None:
            self._idle_holders.pop(holder)
            holder.release()
            holder.abort()
            return True
        for other in self._receiving:
            if other is not beneficiary and other.is_charged:
                other.reject(HTTPStatus.SERVICE_UNAVAILABLE)
                return True
        largest = max(self._senders, key=lambda other: other.held_bytes, default=None)
        needed_bytes = beneficiary.held_bytes if beneficiary else 0
        if largest is None or largest is beneficiary or largest.held_bytes <= needed_bytes:
            return False
        largest.refuse()
        return True

    # --- time-outs ---------------------------------------------------------------

    def _schedule_sweep(self) -> None:
        if self._sweeping is None:
            self._sweeping = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self) -> None:
        """End connections whose time is over; run only while there are any that may become overdue."""
        self._sweeping = None
        now = self._loop.time()
        head_timeout_s = self._options.head_timeout_s()
        for connection in _older(self._receiving, now - head_timeout_s):
            connection.reject(HTTPStatus.REQUEST_TIMEOUT)
        self._end_stalled(now)
        if self._receiving or self._stalled:
            self._schedule_sweep()

    def _end_stalled(self, now: float) -> None:
        """Close the connections of clients that have read too little in their time."""
        for connection, stall in list(self._stalled.items()):
            if stall.since > now - SEND_TIMEOUT_S:
                return
            self._stalled.pop(connection)
            unsent_bytes = connection.unsent_bytes
            if stall.unsent_bytes - unsent_bytes >= MIN_SENT_BYTES:
                self._stalled[connection] = _Stall(now, unsent_bytes)
            else:
                connection.abort()

    def _now_ms(self) -> float:
        return self._loop.time() * MS_PER_S


def _can_evict(connection: ClientConnection) -> bool:
    """Return whether a connection without a call may be closed: no request has arrived meanwhile."""
    if connection.state is ConnectionState.REJECTED:
        return True
    if not connection.is_evictable or connection.transport is None:
        return False
    sock = connection.transport.get_extra_info("socket")
    return sock is not None and not _has_unread_bytes(sock)


def _has_unread_bytes(sock: socket.socket) -> bool:
    return sock.fileno() >= 0 and is_readable(sock)


def _older(connections: dict[ClientConnection, float], until: float) -> list[ClientConnection]:
    """Return the connections whose time began before `until`; they are in order of that time."""
    overdue = []
    for connection, since in connections.items():
        if since > until:
            break
        overdue.append(connection)
    return overdue

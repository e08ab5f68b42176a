"""The servers: a pool of connections, and the attempts and probes that it begins on them.

Nothing here retries or picks: an attempt that meets a broken connection ends, and the decision
module is told how.
"""

from __future__ import annotations

import asyncio
import errno
import math
from collections.abc import Callable
from dataclasses import dataclass

from fordtrestle.balancer.model import Listing, Outcome
from fordtrestle.proxy.engine.clock import Clock
from fordtrestle.proxy.engine.limits import Budget
from fordtrestle.proxy.engine.log import log
from fordtrestle.proxy.engine.ports import Address, AttemptResult, ServerList
from fordtrestle.proxy.http.upstream_connection import (
    Done,
    UpstreamConnection,
    UpstreamExchange,
    UpstreamServer,
)

# A server closes what has stood idle for the time in the settings at the latest, as it counts:
# what we write must be there before. A tenth covers transit, lag and the sweep.
MAX_IDLE_SHARE = 0.9
SWEEP_INTERVAL_MS = 200.0
# A send that is begun so close to the end of the grace might be seen past it.
GRACE_MARGIN_MS = 50.0
SINGLE_USE_MS = (
    30_000.0  # after a late second answer: so long its server's connections carry one request each
)
# Nothing on the wire ties an answer to its request but the order on its connection: one is used
# again only once no second copy and no noise has come for so long behind the last answer: they may come some
# milliseconds late. It costs a busy sidecar one connection more to a server, not a handshake a request.
REUSE_DELAY_MS = 20.0

BUFFER_RETRY_S = 0.01  # until answers that wait for room are looked at again

PROBE_HEAD = b"GET %b HTTP/1.1\r\nHost: %b\r\n\r\n"


@dataclass(frozen=True, slots=True)
class ConnectionPoolOptions:
    """What a pool is told; times in milliseconds."""

    connect_timeout_ms: float
    idle_close_ms: float  # a server closes what has stood idle for so long
    drain_grace_ms: float  # nothing new to a server for longer after the news that it leaves
    report_fields: tuple[str, ...]  # of load reports in answers; none: answers hold no reports


class ConnectionPool:
    """All connections to servers."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, clock: Clock, options: ConnectionPoolOptions, budget: Budget
    ) -> None:
        self._loop = loop
        self._clock = clock
        self._grace_ms = 0.0
        self._servers: dict[str, UpstreamServer] = {}
        self._opening: dict[asyncio.Task[None], UpstreamServer] = {}
        self.apply_options(options)
        self.budget = budget
        budget.descriptors.reclaim = self._reclaim
        self._idle: dict[UpstreamConnection, None] = {}  # of all servers, the longest first
        self._connections: set[UpstreamConnection] = set()
        self._buffer_retry: asyncio.TimerHandle | None = None
        self._awaiting_buffer: dict[
            UpstreamConnection, int
        ] = {}  # whose answers wait for room, and for how much
        self._sweeping = False

    def apply_options(self, options: ConnectionPoolOptions) -> None:
        """Other options, whole, from now on; connections stay, as far as they may lie idle for so long.

        Where the grace is shorter, servers that leave already have no more, nor what is being connected.
        """
        self._connect_timeout_s = options.connect_timeout_ms / 1000.0
        self._max_idle_ms = options.idle_close_ms * MAX_IDLE_SHARE
        grace = max(0.0, options.drain_grace_ms - GRACE_MARGIN_MS)
        shorter, self._grace_ms = max(0.0, self._grace_ms - grace), grace
        for server in {id(at): at for at in (*self._servers.values(), *self._opening.values())}.values():
            server.closed_from_ms -= shorter
        self.report_fields = options.report_fields
        self._probe_target = b"/stats" if self.report_fields else b"/health/live"

    # --- what the driver asks for --------------------------------------------

    def send(
        self, server: str, message: Callable[[float], bytes | None], expires_ms: float, done: Done
    ) -> UpstreamExchange:
        """Begin an attempt on an idle connection, the newest first, or on a new one; where `message` says
        None nothing is written, and it is abandoned.
        """
        return self._assign(server, UpstreamExchange(message, expires_ms, done, probe=False))

    def probe(self, server: str, done: Done) -> UpstreamExchange:
        """Ask a server how it is."""
        host = self._servers[server].name.encode() if server in self._servers else b""
        head = PROBE_HEAD % (self._probe_target, host)
        return self._assign(server, UpstreamExchange(lambda left: head, math.inf, done, probe=True))

    def update(self, now: float, whole: bool, news: ServerList) -> list[str]:
        """Take in what discovery said; the grace of a server that leaves runs from `now`.

        Guards against connections, and sends, to a new server under the name of one that is gone
        without a word: such names are returned.
        """
        named = {entry.server for entry in news.entries}
        taken = {address for name, address in news.addresses.items() if name not in self._servers}
        replaced = [
            name for name, server in self._servers.items() if server.address in taken and name not in named
        ]
        for name in replaced:
            self._supersede(now, self._servers[name])
        for entry in news.entries:
            self._apply_entry(now, entry, news.addresses.get(entry.server))
        if whole:
            for name in [name for name in self._servers if name not in named]:
                self._on_leaving(now, name, "left")
        return replaced

    def _apply_entry(self, now: float, entry: Listing, address: Address | None) -> None:
        known = self._servers.get(entry.server)
        if known is None:
            if address is None:
                return
            known = self._servers[entry.server] = UpstreamServer(entry.server, address, started=entry.started)
        elif (address or known.address, entry.started) != (known.address, known.started):
            known = self._restarted(now, known, address or known.address, entry.started)
        if entry.state == "active":
            known.closed_from_ms = math.inf
        else:
            self._on_leaving(now, known.name, entry.state)

    def _restarted(
        self, now: float, known: UpstreamServer, address: Address, started: float
    ) -> UpstreamServer:
        """A server that started anew, or stands elsewhere; what was seen of it under its name goes on."""
        anew = UpstreamServer(
            known.name,
            address,
            started=started,
            closed_from_ms=known.closed_from_ms,
            reuse_from_ms=known.reuse_from_ms,
        )
        self._supersede(now, known)
        self._servers[known.name] = anew
        return anew

    def _supersede(self, now: float, server: UpstreamServer) -> None:
        """Another stands in its place. Guards against writing to what stood before: a reset at best, and
        what is being connected, or comes free later, reaches who knows whom.
        """
        self._retire_all(server)
        server.closed_from_ms = min(server.closed_from_ms, now)
        del self._servers[server.name]

    def _on_leaving(self, now: float, name: str, state: str) -> None:
        """A server drains or is gone: repeated news does not prolong the grace."""
        server = self._servers[name]
        server.closed_from_ms = min(server.closed_from_ms, now + self._grace_ms)
        if state == "left":
            self.close_idle(name)
            del self._servers[name]

    def close_idle(self, server: str) -> None:
        """Close a server's idle connections, and only those."""
        known = self._servers.get(server)
        if known is not None:
            self._retire_all(known)

    def close(self) -> None:
        """Close all at the end."""
        for task in self._opening:
            task.cancel()
        for connection in list(self._connections):
            connection.abort()

    def shrink(self, idle_ms: float) -> None:
        """Close what has been idle for so long: somebody else needs its descriptor or memory."""
        until = self._clock.now() - idle_ms
        while self._idle and (oldest := next(iter(self._idle))).idle_since <= until:
            self._retire(oldest)

    # --- what connections report ----------------------------------------------

    def on_idle(self, connection: UpstreamConnection) -> None:
        """A connection carries nothing now."""
        server, now = connection.server, self._clock.now()
        if self._servers.get(server.name) is not server or now < server.reuse_from_ms:
            connection.abort()
            return
        connection.idle_since = now
        server.idle.append(connection)
        self._idle[connection] = None
        if not self._sweeping:
            self._sweeping = True
            self._loop.call_later(SWEEP_INTERVAL_MS / 1000.0, self._sweep)

    def on_closed(self, connection: UpstreamConnection) -> None:
        """A connection is closed."""
        self._release(connection)
        if self._idle.pop(connection, self) is None:
            connection.server.idle.remove(connection)

    def on_unsolicited_data(self, connection: UpstreamConnection) -> None:
        """A server has sent what nobody asked for, after an answer that was whole.

        Nothing on the wire ties it to a request. What came within `SETTLE_MS` can't be taken for the
        next answer; what came later is the sign that this server's can: from then on its connections
        carry one request each, until nothing of the kind was seen for `CLEAN_MS`.
        """
        server, now = connection.server, self._clock.now()
        if now - connection.idle_since >= REUSE_DELAY_MS:
            if now >= server.reuse_from_ms:
                log(f"{server.name}: a second answer, {now - connection.idle_since:.0f} ms late: no reuse")
            server.reuse_from_ms = now + SINGLE_USE_MS
            self._retire_all(server)

    def reserve_buffer(self, connection: UpstreamConnection, size: int) -> bool:
        """An answer of so many bytes has begun; whether there is room for all of it now.

        All or nothing: guards against answers that each hold a part and wait for one another's rest.
        """
        if not self._awaiting_buffer and self.budget.buffered.acquire(size):
            connection.buffered_bytes = size
            return True
        if self._buffer_retry is None:
            self._buffer_retry = self._loop.call_later(BUFFER_RETRY_S, self._retry_buffers)
        self._awaiting_buffer[connection] = size
        return False

    def release_buffer(self, connection: UpstreamConnection) -> None:
        """Its answer is held no more."""
        self.budget.buffered.release(connection.buffered_bytes)
        connection.buffered_bytes = 0
        self._awaiting_buffer.pop(connection, None)

    def _retry_buffers(self) -> None:
        """Let answers that wait for room go on, in the order in which they began."""
        self._buffer_retry = None
        while self._awaiting_buffer:
            connection, size = next(iter(self._awaiting_buffer.items()))
            if not self.budget.buffered.acquire(size):
                self._buffer_retry = self._loop.call_later(BUFFER_RETRY_S, self._retry_buffers)
                return
            del self._awaiting_buffer[connection]
            connection.buffered_bytes = size
            connection.resume_reading()

    # --- connections ------------------------------------------------------------

    def _assign(self, name: str, exchange: UpstreamExchange) -> UpstreamExchange:
        server = self._servers.get(name)
        if server is None:
            self._loop.call_soon(exchange.end, AttemptResult(Outcome.CONNECT_FAILED))
            return exchange
        now = self._clock.now()
        message = exchange.message(exchange.expires_ms - now)
        if message is None:  # its client has left
            self._loop.call_soon(exchange.end, AttemptResult(Outcome.ABANDONED))
            return exchange
        settling: list[UpstreamConnection] = []
        while server.idle:
            connection = server.idle.pop()
            self._idle.pop(connection, None)
            idle = now - connection.idle_since
            if idle < REUSE_DELAY_MS:
                settling.append(connection)
                continue
            # Guards against a request on a connection that the server is closing: a reset.
            if idle < self._max_idle_ms and connection.is_available():
                if settling:
                    self._put_back(server, settling)
                self._send(connection, exchange, message)
                return exchange
            connection.abort()
        self._put_back(server, settling)
        self._dial(server, exchange)
        return exchange

    def _put_back(self, server: UpstreamServer, settling: list[UpstreamConnection]) -> None:
        """Put back what was passed over, the newest last."""
        for connection in reversed(settling):
            if connection.idle_since < server.reuse_from_ms:  # what was seen meanwhile holds for it, too
                connection.abort()
                continue
            server.idle.append(connection)
            self._idle[connection] = None

    def _send(self, connection: UpstreamConnection, exchange: UpstreamExchange, message: bytes) -> None:
        """The first byte of an attempt: not to a server that has left for longer than the grace."""
        now = self._clock.now()
        if now >= connection.server.closed_from_ms:
            connection.abort()
            self._loop.call_soon(exchange.end, AttemptResult(Outcome.CONNECT_FAILED))
            return
        connection.send_request(exchange, message)

    def _dial(self, server: UpstreamServer, exchange: UpstreamExchange) -> None:
        if not self._take_descriptor():
            # Not the server's fault: it was never asked.
            self._loop.call_soon(exchange.end, AttemptResult(Outcome.ABANDONED))
            return
        made: list[UpstreamConnection] = []  # once it is there it gives its descriptor back itself
        task = self._loop.create_task(self._connect(server, exchange, made))
        self._opening[task] = server

        def done(ended: asyncio.Task[None]) -> None:
            # Here, since one that is cancelled before its first step never enters its own `finally`.
            self._opening.pop(ended, None)
            if not made:
                self.budget.descriptors.release()

        task.add_done_callback(done)
        exchange.on_connecting(task)

    async def _connect(
        self, server: UpstreamServer, exchange: UpstreamExchange, made: list[UpstreamConnection]
    ) -> None:
        """Open a connection for an exchange, which is gone if this is cancelled."""

        def make() -> UpstreamConnection:
            made.append(UpstreamConnection(self, server))
            self._connections.add(made[0])
            return made[0]

        try:
            async with asyncio.timeout(self._connect_timeout_s):
                _, connection = await self._loop.create_connection(
                    make, server.address.host, server.address.port
                )
        except OSError as error:  # a time-out is one, too
            short = error.errno in (errno.EMFILE, errno.ENFILE)
            if short:
                self._close_oldest()  # the next attempt finds a descriptor
            exchange.end(AttemptResult(Outcome.ABANDONED if short else Outcome.CONNECT_FAILED))
            return
        except Exception as error:  # guards against an exchange that nothing ever ends
            log(f"a connection to {server.name}: {error!r}")
            exchange.end(AttemptResult(Outcome.CONNECT_FAILED))
            return
        if exchange.ended or not connection.is_available():
            # A full server may take a connection and close it at once: nothing is written there.
            connection.abort()
            exchange.end(AttemptResult(Outcome.CONNECT_FAILED))
            return
        message = exchange.message(exchange.expires_ms - self._clock.now())
        if message is None:  # its client has left meanwhile, or has its answer
            self.on_idle(connection)
            self._loop.call_soon(exchange.end, AttemptResult(Outcome.ABANDONED))
        else:
            self._send(connection, exchange, message)

    def _take_descriptor(self) -> bool:
        """Take a descriptor, if need be that of the connection idle for longest; whether there is one."""
        if self.budget.descriptors.acquire():
            return True
        return self._close_oldest() and self.budget.descriptors.acquire()

    def _close_oldest(self) -> bool:
        """Close the connection that has been idle for longest, of whichever server; whether there is one."""
        if not self._idle:
            return False
        self._retire(next(iter(self._idle)))
        return True

    def _reclaim(self, count: int) -> None:
        """Others of the process hold less than is fair: so many idle connections are closed, if there are."""
        while count > 0 and self._close_oldest():
            count -= 1

    def _retire_all(self, server: UpstreamServer) -> None:
        for connection in list(server.idle):
            self._retire(connection)

    def _retire(self, connection: UpstreamConnection) -> None:
        """Close an idle connection; its descriptor is free at once."""
        del self._idle[connection]
        connection.server.idle.remove(connection)
        self._release(connection)
        connection.abort()

    def _release(self, connection: UpstreamConnection) -> None:
        if connection in self._connections:
            self._connections.discard(connection)
            self.release_buffer(connection)
            self.budget.descriptors.release()

    def _sweep(self) -> None:
        """Retire what has been idle for long, before the server does."""
        self.shrink(self._max_idle_ms)
        self._sweeping = bool(self._idle)
        if self._sweeping:
            self._loop.call_later(SWEEP_INTERVAL_MS / 1000.0, self._sweep)

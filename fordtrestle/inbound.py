"""The application's connections: requests parsed and checked, answers written in order."""

from __future__ import annotations

import asyncio
import math
import re
from collections import deque
from typing import Protocol

import httptools

from fordtrestle import framing
from fordtrestle.config import Address, Config, Names, RequestClass, stable_number
from fordtrestle.driver import Answer, Clock, Request

READY_PATH = "/health/ready"
BACKLOG = 2048
SHARE = 0.4  # of the descriptors: past it idle connections are closed, then requests refused
HARD_SHARE = 0.47  # past this a connection is closed unread
PIPELINED_MOST = 16
HALF_SENT_S = 10.0  # for the rest of a request whose first byte has come
LINGER_S = 1.0  # for a client to read why it is turned away, while it is still sending
BUDGET_MOST_MS = 3_600_000.0
BUDGET = re.compile(r"(\d{1,12}(?:\.\d{1,6})?)([mu])")
NOT_FOR_SERVERS = frozenset((b"x-budget",))


class BadRequest(Exception):
    """A request that is answered here, with this status."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class Taker(Protocol):
    """What requests are given to."""

    def arrive(self, call: Exchange, now: float) -> Request | None:
        """Take a request; it gets one final answer."""

    def client_gone(self, request: Request) -> None:
        """Its client has closed the connection."""


class Exchange:
    """One request on a connection, and its answer once there is one."""

    def __init__(self, connection: Connection, keep_alive: bool) -> None:
        self.connection = connection
        self.keep_alive = keep_alive
        self.request: Request | None = None
        self.answer: tuple[int, framing.Headers, bytes] | None = None
        self.band = self.tenant = 0
        self.key: int | None = None
        self.work: float | None = None
        self.again = self.mutates = False
        self.budget = 0.0
        self._head = b""
        self._body = b""

    def read(self, message: Message, names: Names) -> None:
        """Take in a request for servers; `BadRequest` says what is wrong with it."""
        kind = _class_of(message, names)
        self.band = kind.band
        self.budget = _budget(message.needed("x-budget"))
        if not 0 < len(message.needed("x-call-id")) <= 128:
            raise BadRequest(400, "X-Call-Id: empty or too long")
        if names.tenants:
            tenant = names.tenants.get(message.needed("x-caller"))
            if tenant is None:
                raise BadRequest(400, "X-Caller: not known")
            self.tenant = tenant
        user = _cookie(message.text("cookie") or "", "user")
        self.key = None if user is None else stable_number(user)
        cost = message.text("x-call-cost")
        self.work = None if cost is None else _cost(cost)
        self.again = message.text("x-again") == "1"
        self.mutates = "Mutates=1" in (message.text("x-call-info") or "").split(",")
        self._body = bytes(message.body)
        headers = framing.end_to_end(message.headers, NOT_FOR_SERVERS)
        # Guards against a body without a length, which a server would read as the next request.
        bare = message.method == "GET" and not self._body
        length = b"" if bare else b"Content-Length: %d\r\n" % len(self._body)
        self._head = b"%b %b HTTP/1.1\r\n%b%b" % (
            message.method.encode(),
            message.target,
            framing.lines(headers),
            length,
        )

    def wire(self, left: float) -> bytes:
        """The request for a server that has `left` milliseconds."""
        return b"%bX-Budget: %du\r\n\r\n%b" % (self._head, max(0.0, left) * 1000.0, self._body)

    def served(self, answer: Answer) -> None:
        """The final answer: a server's, its body unchanged."""
        self._finish(200, answer.headers, answer.body)

    def refused(self, retry_after: float) -> None:
        """The final answer: refused, with when to come back if that was said."""
        wait = [(b"Retry-After", b"%.3f" % (retry_after / 1000.0))] if retry_after > 0.0 else []
        self._finish(503, wait, b"")

    def failed(self, late: bool) -> None:
        """The final answer: failed."""
        self._finish(504 if late else 502, [], b"")

    def _finish(self, status: int, headers: framing.Headers, body: bytes) -> None:
        if self.answer is None:
            self.answer = (status, headers, body)
            self.connection.flush()


class Message:
    """A request as it is parsed."""

    def __init__(self) -> None:
        self.method = ""
        self.target = b""
        self.headers: framing.Headers = []
        self.body = bytearray()
        self.head_done = False
        self._texts: dict[str, str] = {}

    def text(self, name: str) -> str | None:
        """A header's value, if it is there."""
        if not self._texts:
            self._texts = {
                key.decode("latin-1").lower(): value.decode("latin-1") for key, value in self.headers
            }
        return self._texts.get(name)

    def needed(self, name: str) -> str:
        """A header's value; a request without it is bad."""
        value = self.text(name)
        if value is None:
            raise BadRequest(400, f"{name}: missing")
        return value


def _class_of(message: Message, names: Names) -> RequestClass:
    """The class, which path and header name alike; the method follows from it."""
    path = message.target.partition(b"?")[0].decode("latin-1")
    first = path.split("/")[1] if path.startswith("/") else ""
    if first not in names.classes:
        # With a class in the header it is a request for servers, though of no class there is.
        status = 400 if message.text("x-call-class") is not None else 404
        raise BadRequest(status, "no such path")
    kind = names.classes[first]
    if message.needed("x-call-class") != first:
        raise BadRequest(400, "X-Call-Class: not the first part of the path")
    if message.method != kind.method:
        raise BadRequest(400, f"the class asks for {kind.method}")
    if kind.keyed and not message.needed("idempotency-key"):
        raise BadRequest(400, "Idempotency-Key: empty")
    return kind


def _budget(text: str) -> float:
    match = BUDGET.fullmatch(text)
    if match is None:
        raise BadRequest(400, "X-Budget: not a time")
    budget = float(match[1]) / (1.0 if match[2] == "m" else 1000.0)
    if not 0.0 < budget <= BUDGET_MOST_MS:
        raise BadRequest(400, "X-Budget: out of range")
    return budget


def _cost(text: str) -> float:
    try:
        cost = float(text) / 1000.0
    except ValueError:
        cost = math.nan
    if not 0.0 <= cost < math.inf:
        raise BadRequest(400, "X-Call-Cost: not a time")
    return cost


def _cookie(text: str, name: str) -> str | None:
    for pair in text.split(";"):
        key, found, value = pair.strip().partition("=")
        if found and key == name:
            return value
    return None


class Connection(asyncio.Protocol):
    """One connection of the application."""

    def __init__(self, inbound: Inbound) -> None:
        self._inbound = inbound
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport
        self._waiting: deque[Exchange] = deque()  # in the order of their requests
        self._message: Message | None = None
        self._head_bytes = 0
        self._read_at = 0.0
        self._half_sent: asyncio.TimerHandle | None = None
        self._deaf = False  # nothing more is read as a request
        self._lost = False
        self.idle_since = 0.0

    @property
    def idle(self) -> bool:
        """Whether it stands between requests, with nothing unread."""
        quiet = not self._waiting and self._message is None and not self._deaf
        return quiet and not framing.readable(self._transport)

    def close(self) -> None:
        """Close it, between requests."""
        self._deaf = True
        self._transport.close()

    def abort(self) -> None:
        """Close it whatever it holds."""
        self._transport.abort()

    # --- called by the loop -------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The application has connected."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._inbound.opened(self)

    def data_received(self, data: bytes) -> None:
        """Bytes of requests."""
        if self._deaf:
            return
        self._read_at = self._inbound.clock.now()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._turn_away(400)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            self._turn_away(cause.status if isinstance(cause, BadRequest) else 400)
        except httptools.HttpParserError:
            self._turn_away(400)
        else:
            self._bound_unfinished(len(data))

    def eof_received(self) -> bool:
        """The client has closed: it is gone, and what is not answered is not awaited."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """The connection is closed."""
        self._lost = True
        self._stop_clock()
        self._inbound.closed(self)
        waiting = list(self._waiting)
        self._waiting.clear()
        for exchange in waiting:
            if exchange.request is not None:
                self._inbound.taker.client_gone(exchange.request)

    # --- called by the parser -----------------------------------------------

    def on_message_begin(self) -> None:
        """Called by the parser."""
        self._message = Message()
        self._head_bytes = 0

    def on_url(self, target: bytes) -> None:
        """Called by the parser, once or in parts."""
        if self._message is not None:
            self._message.target += target

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser."""
        message = self._message
        if message is None:
            return
        message.headers.append((name, value))
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > framing.MAX_HEAD:
            raise BadRequest(431, "headers too large")

    def on_headers_complete(self) -> None:
        """Called by the parser."""
        message = self._message
        if message is None:
            return
        message.head_done = True
        message.method = self._parser.get_method().decode("latin-1")
        length = message.text("content-length")
        if length is not None and length.isdigit() and int(length) > framing.MAX_BODY:
            raise BadRequest(413, "body too large")
        if (message.text("expect") or "").lower() == "100-continue" and not self._waiting:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Called by the parser."""
        if self._message is not None:
            self._message.body += data
            if len(self._message.body) > framing.MAX_BODY:
                raise BadRequest(413, "body too large")

    def on_message_complete(self) -> None:
        """Called by the parser: the last byte of a request has been read."""
        message, self._message = self._message, None
        if message is None or self._deaf:
            return
        self._stop_clock()
        exchange = Exchange(self, self._parser.should_keep_alive())
        self._waiting.append(exchange)
        if len(self._waiting) > PIPELINED_MOST:
            exchange.keep_alive = False
            self._deaf = True
        self._inbound.serve(exchange, message, self._read_at)

    # --- answers ------------------------------------------------------------

    def flush(self) -> None:
        """Write what answers there are, in the order of the requests."""
        while self._waiting and not self._lost:
            exchange = self._waiting[0]
            if exchange.answer is None:
                return
            self._waiting.popleft()
            last = not exchange.keep_alive or (self._inbound.draining and not self._waiting)
            status, headers, body = exchange.answer
            self._transport.write(framing.answer(status, headers, body, last))
            if last:
                self._linger()
                return
            self.idle_since = self._read_at

    def _turn_away(self, status: int) -> None:
        """Answer what can't be read on from; requests before it are answered first."""
        exchange = Exchange(self, keep_alive=False)
        self._message = None
        self._deaf = True
        self._waiting.append(exchange)
        exchange.answer = (status, [], b"")
        self.flush()

    def _linger(self) -> None:
        """Close after the last answer. Guards against a reset that takes the answer with it,
        where the client is still sending: its bytes are read and dropped for a while."""
        self._deaf = True
        self._stop_clock()
        if self._message is None and not self._waiting and not framing.readable(self._transport):
            self._transport.close()
            return
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._half_sent = self._inbound.loop.call_later(LINGER_S, self._transport.abort)

    def _bound_unfinished(self, count: int) -> None:
        """Guards against half-sent requests: their size and their time are bounded."""
        message = self._message
        if message is None:
            return
        if not message.head_done:
            self._head_bytes += count
            if self._head_bytes > 2 * framing.MAX_HEAD:
                self._turn_away(431)
                return
        if self._half_sent is None:
            self._half_sent = self._inbound.loop.call_later(HALF_SENT_S, self._turn_away, 408)

    def _stop_clock(self) -> None:
        if self._half_sent is not None:
            self._half_sent.cancel()
            self._half_sent = None


class Inbound:
    """The listening socket and its connections."""

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Clock, config: Config, taker: Taker) -> None:
        self.loop = loop
        self.clock = clock
        self.taker = taker
        self.draining = False
        self._names = config.names
        self._soft = max(1, int(config.descriptors * SHARE))
        self._hard = max(2, int(config.descriptors * HARD_SHARE))
        self._connections: dict[Connection, None] = {}
        self._server: asyncio.Server | None = None

    async def listen(self, address: Address) -> Address:
        """Accept connections from now on; the address bound."""
        self._server = await self.loop.create_server(
            lambda: Connection(self), address.host, address.port, backlog=BACKLOG
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        return Address(host, port)

    def stop_listening(self) -> None:
        """Take no new connection, and close each one once it stands between requests."""
        self.draining = True
        if self._server is not None:
            self._server.close()
        self.close_idle()

    def close_idle(self) -> None:
        """Close what stands between requests."""
        for connection in list(self._connections):
            if connection.idle:
                connection.close()

    @property
    def empty(self) -> bool:
        """Whether all connections are closed."""
        return not self._connections

    def close(self) -> None:
        """Close all at the end."""
        for connection in list(self._connections):
            connection.abort()

    # --- what connections report ----------------------------------------------

    def opened(self, connection: Connection) -> None:
        """A new connection; too many make room by closing what is idle."""
        connection.idle_since = self.clock.now()
        if len(self._connections) >= self._soft:
            idle = [other for other in self._connections if other.idle]
            if idle:
                min(idle, key=lambda other: other.idle_since).close()
        self._connections[connection] = None
        if len(self._connections) > self._hard:
            connection.abort()

    def closed(self, connection: Connection) -> None:
        """A connection is closed."""
        self._connections.pop(connection, None)

    def serve(self, exchange: Exchange, message: Message, read_at: float) -> None:
        """A whole request: answered here, or taken."""
        if message.target.partition(b"?")[0] == READY_PATH.encode():
            exchange.answer = (503 if self.draining else 200, [], b"")
        elif len(self._connections) > self._soft:
            exchange.keep_alive = False
            exchange.refused(0.0)
        else:
            try:
                exchange.read(message, self._names)
                exchange.request = self.taker.arrive(exchange, read_at)
            except BadRequest as error:
                text = "" if message.method == "HEAD" else f"{error}\n"
                exchange.answer = (error.status, [], text.encode())
        exchange.connection.flush()

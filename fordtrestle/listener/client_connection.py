"""One HTTP connection from a client: aiohttp's handler, with its memory accounted for and each state bounded.

A connection is in one of four states, and no state lasts as long as its client likes:

- idle, for `KEEP_ALIVE_S`, or until its descriptor is needed for another connection;
- receiving the head of a request, for the time and up to the size that its listener allows;
- in a call: its handler bounds the time of the body and of the response, and what the client sends ahead
  meanwhile is read only up to `MAX_REQUESTS_AHEAD` requests;
- stalled, in addition to any of these: written bytes are unsent because the client does not read.

aiohttp 3.14 has no public API for the size of its queue of requests, nor for what waits in it.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from enum import Enum, auto
from http import HTTPStatus
from typing import Any, Protocol

from aiohttp import web
from aiohttp.http import HttpProcessingError, HttpRequestParser
from aiohttp.streams import StreamReader
from aiohttp.web_exceptions import HTTPException
from aiohttp.web_protocol import RequestPayloadError

from fordtrestle.listener.errors import RequestRefusedError
from fordtrestle.resources.connection_table import TableEntry
from fordtrestle.resources.quotas import QuotaShare

KEEP_ALIVE_S = 60.0  # how long an idle connection is kept: longer than any client leaves one idle
LINGER_S = 1.0  # how long a rejected client's bytes are read on, so that it receives the response
MAX_FIELD_BYTES = 64 * 1024  # per line and per field of a head
MAX_FIELDS = 128  # of a head
MAX_HEAD_BYTES = 128 * 1024  # of a whole head; above what the configuration allows
RECEIVE_BYTES = 64 * 1024  # taken by one read
BODY_BUFFER_BYTES = 32 * 1024  # of a body that its handler does not read; reading pauses at twice that
# That the kernel may hold unread of a connection (SO_RCVBUF, TCP_WINDOW_CLAMP). A long body gets the wide
# one, which carries 2.3 MB/s at a round trip of 110 ms.
KERNEL_BYTES = 64 * 1024
WIDE_KERNEL_BYTES = 256 * 1024
MAX_REQUESTS_AHEAD = 2  # parsed while another request is in a call
MAX_AHEAD_BYTES = RECEIVE_BYTES + MAX_REQUESTS_AHEAD * (2 * BODY_BUFFER_BYTES + RECEIVE_BYTES)
SEND_BUFFER_BYTES = 32 * 1024  # written bytes above which a connection is stalled until they are sent
RELAY_BYTES = 64 * 1024  # that the source of a stalled response may have sent meanwhile
UNCHARGED_BYTES = 16 * 1024  # of each connection: small requests do not use the quota


# Raised for what a client sent, or because it closed its connection.
_CLIENT_ERRORS = (HttpProcessingError, RequestPayloadError, ConnectionError)


class ConnectionState(Enum):
    """What a connection waits for."""

    IDLE = auto()
    RECEIVING_HEAD = auto()
    IN_CALL = auto()
    REJECTED = auto()  # a final response was written; what still arrives is discarded


class ConnectionOwner(Protocol):
    """The listener of a connection, as the connection sees it."""

    @property
    def capacity_bytes(self) -> int:
        """The most bytes that all clients together may make the process hold."""

    def on_opened(self, connection: ClientConnection) -> None:
        """Handle that the connection is open."""

    def on_request_started(self, connection: ClientConnection) -> None:
        """Handle the first bytes of a request's head."""

    def on_request(self, connection: ClientConnection) -> None:
        """Handle a complete head."""

    def on_idle(self, connection: ClientConnection) -> None:
        """Handle that all requests are answered and the responses are sent."""

    def on_rejected(self, connection: ClientConnection) -> None:
        """Handle that the connection was rejected and only lingers."""

    def on_stalled(self, connection: ClientConnection) -> None:
        """Handle that the client does not read."""

    def on_unstalled(self, connection: ClientConnection) -> None:
        """Handle that the client has read."""

    def on_sending(self, connection: ClientConnection, is_sending: bool) -> None:
        """Handle that the client sends a body, or ahead of its responses, or that it does no longer."""

    def on_closed(self, connection: ClientConnection) -> None:
        """Release all that the connection used; may be called more than once."""

    def acquire_bytes(self, connection: ClientConnection, count: int) -> bool:
        """Acquire bytes of the quota, if necessary by ending other connections; return whether it did."""

    def release_bytes(self, count: int) -> None:
        """Release bytes of the quota."""


class ClientConnection(web.RequestHandler):
    """The protocol of one connection.

    Attributes:
        entry: Its entry in the listener's table.
        share: The quota that its descriptor was taken from; `None` once that is released.
        state: What it waits for.
    """

    __slots__ = (
        "_announced_bytes",
        "_answer_bytes",
        "_charged_bytes",
        "_owner",
        "_has_partial_head",
        "_is_wide",
        "_received_bytes",
        "_unparsed_bytes",
        "_unsent_bytes",
        "_upload",
        "entry",
        "share",
        "state",
    )

    def __init__(
        self, server: web.Server, loop: asyncio.AbstractEventLoop, owner: ConnectionOwner, share: QuotaShare
    ) -> None:
        """Create the protocol of a connection that was just accepted.

        Args:
            server: Creates and handles the requests.
            loop: Runs the connection.
            owner: The listener that accepted it.
            share: The quota that its descriptor was taken from.
        """
        super().__init__(
            server,
            loop=loop,
            access_log=None,  # type: ignore[arg-type]
            auto_decompress=False,
            keepalive_timeout=KEEP_ALIVE_S,
            lingering_time=LINGER_S,
            read_bufsize=BODY_BUFFER_BYTES,
        )
        self._parser = HttpRequestParser(
            self,
            loop,
            BODY_BUFFER_BYTES,
            max_line_size=MAX_FIELD_BYTES,
            max_field_size=MAX_FIELD_BYTES,
            max_headers=MAX_FIELDS,
            payload_exception=RequestPayloadError,
            auto_decompress=False,
            max_msg_queue_size=MAX_REQUESTS_AHEAD,
        )
        self._max_msg_queue_size = MAX_REQUESTS_AHEAD
        self._msg_queue_resume_size = MAX_REQUESTS_AHEAD // 2
        self._owner = owner
        self.share: QuotaShare | None = share
        self.entry: TableEntry[ClientConnection]
        self.state = ConnectionState.IDLE
        self._upload: StreamReader | None = None  # the incomplete body of the newest request
        self._received_bytes = 0  # of the current request and of those ahead
        # An upper bound of what was received of the head after the newest complete request.
        self._unparsed_bytes = 0
        self._has_partial_head = False  # whether bytes came after that request, apart from its last ones
        self._announced_bytes = 0  # of the current body
        self._answer_bytes = 0  # reserved for the current response
        self._unsent_bytes = 0
        self._is_wide = False  # whether the kernel may hold `WIDE_KERNEL_BYTES`
        self._charged_bytes = 0

    @property
    def held_bytes(self) -> int:
        """The bytes that the process holds for this client, or has promised to hold."""
        request_bytes = max(self._received_bytes, self._announced_bytes)
        return request_bytes + self._answer_bytes + self._unsent_bytes + self._unread_bytes

    @property
    def _unread_bytes(self) -> int:
        """The bytes that the kernel may hold: of a long body, or of one that is not read at the moment."""
        if self._is_wide:
            return WIDE_KERNEL_BYTES
        return KERNEL_BYTES if self._reading_paused or self._buffer_paused else 0

    @property
    def is_evictable(self) -> bool:
        """Whether nothing is unsent; the listener's table offers no connection with a call for eviction."""
        return not self._paused

    @property
    def unsent_bytes(self) -> int:
        """The bytes that were written and that the client has not read, as far as the kernel tells."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    @property
    def is_charged(self) -> bool:
        """Whether the connection uses any of the quota."""
        return self._charged_bytes > 0

    # --- reservations of the handler ---------------------------------------

    def reserve_body(self, size_bytes: int) -> bool:
        """Reserve memory for the announced body of the current request; return whether there is room."""
        self._announced_bytes = size_bytes
        if size_bytes <= self._owner.capacity_bytes and self._account():
            return True
        self._announced_bytes = 0
        return False

    def reserve_answer(self, size_bytes: int) -> bool:
        """Reserve memory for the response until it is sent; return whether there is room."""
        self._answer_bytes += size_bytes
        if self._account():
            return True
        self._answer_bytes -= size_bytes
        return False

    # --- events of the transport -------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to handle requests."""
        assert isinstance(transport, asyncio.Transport)
        transport.max_size = RECEIVE_BYTES  # type: ignore[attr-defined]  # of one recv(2)
        transport.set_write_buffer_limits(SEND_BUFFER_BYTES)
        super().connection_made(transport)
        self._set_kernel_bytes(KERNEL_BYTES)
        self._owner.on_opened(self)

    def data_received(self, data: bytes) -> None:
        """Account for data and pass it to aiohttp, which also calls this without data, to parse on."""
        if self.state is ConnectionState.REJECTED:
            return
        is_discarding = self.state is not ConnectionState.IN_CALL and self._upload is not None
        if data and not is_discarding:
            self._received_bytes += len(data)
            if not self._account():
                self._start_head()
                self.refuse()
                return
        request_count, upload = self._request_count, self._upload
        super().data_received(data)
        self._update_state(bool(data) and not is_discarding)
        self._track_unparsed(len(data), self._request_count > request_count or self._upload is not upload)

    def pause_writing(self) -> None:
        """Handle that the client does not read."""
        super().pause_writing()
        if self.transport is not None:
            self._unsent_bytes = self.transport.get_write_buffer_size() + RELAY_BYTES
        self._owner.on_stalled(self)
        if not self._account():
            self.abort()

    def resume_writing(self) -> None:
        """Handle that the client has read."""
        super().resume_writing()
        self._unsent_bytes = 0
        self._account()
        self._owner.on_unstalled(self)

    def connection_lost(self, error: BaseException | None) -> None:
        """Release everything."""
        super().connection_lost(error)
        self.release()
        self._owner.on_closed(self)

    def _pause_transport_reading(self) -> None:
        """Account for what arrives meanwhile and is not read; aiohttp has no public event for this."""
        super()._pause_transport_reading()
        self._owner.on_sending(self, True)
        if not self._account():
            self._loop.call_soon(self.refuse)  # the parser may be in the middle of the request

    def _resume_transport_reading(self) -> None:
        super()._resume_transport_reading()
        self._account()
        self._owner.on_sending(self, self._upload is not None)

    # --- ends ---------------------------------------------------------------

    def release(self) -> None:
        """Release all bytes, as the connection is closed or about to be."""
        self._received_bytes = self._announced_bytes = self._answer_bytes = self._unsent_bytes = 0
        self._reading_paused = self._buffer_paused = self._is_wide = False
        self._account()

    def abort(self) -> None:
        """Close the connection at once and drop what is unsent."""
        if self.transport is not None:
            self.transport.abort()

    def reject(self, status: HTTPStatus) -> None:
        """Answer a request whose head is incomplete, and close the connection."""
        self.state = ConnectionState.REJECTED
        self._received_bytes = 0
        self._account()
        self._owner.on_rejected(self)
        if self.transport is not None and not self.transport.is_closing():
            head = f"HTTP/1.1 {status.value} {status.phrase}\r\n"
            self.transport.write(f"{head}Connection: close\r\nContent-Length: 0\r\n\r\n".encode())
        self._loop.call_later(LINGER_S, self.force_close)

    def refuse(self) -> None:
        """Refuse what the client is sending: the account has no room for it.

        A request whose body is incomplete is answered with 503 by its handler, which gets
        `RequestRefusedError` from the body. Requests ahead are dropped, and the connection ends after the
        current response.
        """
        if self.state is ConnectionState.RECEIVING_HEAD:
            self.reject(HTTPStatus.SERVICE_UNAVAILABLE)
        elif self.state is ConnectionState.IN_CALL:
            self._refuse_call()

    def _refuse_call(self) -> None:
        upload, self._upload = self._upload, None
        self._owner.on_sending(self, False)
        self._received_bytes = self._announced_bytes = 0
        self._narrow()
        self._account()
        if upload is None:
            self.close()
            return
        self.state = ConnectionState.REJECTED
        self._owner.on_rejected(self)
        upload.set_exception(RequestRefusedError("no room for the body"))

    # --- errors ---------------------------------------------------------------

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = HTTPStatus.INTERNAL_SERVER_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the response to a request that raised an exception: 400 if its body is malformed."""
        if isinstance(exc, RequestPayloadError):
            status, message = HTTPStatus.BAD_REQUEST, "the body is malformed"
        return super().handle_error(request, status, exc, message)

    def log_exception(self, *args: Any, **options: Any) -> None:
        """Log an exception unless a client caused it: clients would fill the log."""
        if not isinstance(options.get("exc_info"), _CLIENT_ERRORS):
            super().log_exception(*args, **options)

    # --- requests -----------------------------------------------------------

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse | HTTPException, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Write the response, and wait until it is sent before the next request is handled."""
        finished: tuple[web.StreamResponse, bool] = await super().finish_response(request, resp, start_time)
        response, is_disconnected = finished
        if is_disconnected:
            return finished
        try:
            await self._drain_helper()
        except ConnectionError:
            return response, True
        if self.state is ConnectionState.REJECTED:
            await self._linger(request)
        self._on_finished()
        return finished

    async def _linger(self, request: web.BaseRequest) -> None:
        """Discard what the client still sends, so that it receives the response before the end."""
        request.content.feed_eof()  # aiohttp would wait for the rest of the body
        self.close()
        await asyncio.sleep(LINGER_S)

    def _on_finished(self) -> None:
        """Release what the finished request held."""
        has_more = bool(self._messages)
        self._announced_bytes = self._answer_bytes = 0
        self._received_bytes = (
            min(self._received_bytes, MAX_AHEAD_BYTES) if has_more else self._unparsed_bytes
        )
        self._narrow()
        self._account()
        if self.state is not ConnectionState.IN_CALL or has_more or self.transport is None:
            return
        self.state = ConnectionState.IDLE
        self._owner.on_sending(self, False)
        self._owner.on_idle(self)
        if self._has_partial_head:
            self._start_head()

    def _update_state(self, has_new_bytes: bool) -> None:
        """Update the state after bytes were parsed."""
        if self._messages:
            payload = self._messages[-1][1]
            if payload is not self._upload and not payload.is_eof():
                self._upload = payload
                self._owner.on_sending(self, True)
            if self.state is not ConnectionState.IN_CALL:
                self.state = ConnectionState.IN_CALL
                self._owner.on_request(self)
        if self._upload is not None and self._received_bytes > KERNEL_BYTES:
            self._widen()
        if self._upload is not None and self._upload.is_eof():
            self._upload = None
            self._owner.on_sending(self, False)
        if self.state is ConnectionState.IN_CALL or not has_new_bytes:
            return
        self._start_head()
        if self._received_bytes > MAX_HEAD_BYTES:
            self.reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def _start_head(self) -> None:
        """Bound the time of a head whose first bytes have come, unless a call is in flight."""
        if self.state is ConnectionState.IDLE:
            self.state = ConnectionState.RECEIVING_HEAD
            self._owner.on_request_started(self)

    def _track_unparsed(self, size_bytes: int, has_completed: bool) -> None:
        """Track what may be the head of a later request; only the parser knows how much of a read it is.

        Args:
            size_bytes: The size of a read.
            has_completed: Whether a head or a body became complete with it.
        """
        if has_completed:
            self._unparsed_bytes, self._has_partial_head = size_bytes, False
        elif self._upload is None and size_bytes:
            self._unparsed_bytes += size_bytes
            self._has_partial_head = True

    def _widen(self) -> None:
        """Let the kernel hold more of a long body if the account has room for it."""
        if self._is_wide:
            return
        self._is_wide = True
        if self._account():
            self._set_kernel_bytes(WIDE_KERNEL_BYTES)
        else:
            self._is_wide = False

    def _narrow(self) -> None:
        """Let the kernel hold as little as of an idle connection."""
        if self._is_wide:
            self._is_wide = False
            self._set_kernel_bytes(KERNEL_BYTES)

    def _set_kernel_bytes(self, size_bytes: int) -> None:
        sock = self.transport.get_extra_info("socket") if self.transport is not None else None
        if sock is not None:
            with contextlib.suppress(OSError):  # an optional limit
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size_bytes)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_WINDOW_CLAMP, size_bytes)

    def _account(self) -> bool:
        """Charge the quota for the bytes that are held now; return whether it has room for them."""
        charge = max(0, self.held_bytes - UNCHARGED_BYTES)
        growth = charge - self._charged_bytes
        if growth > 0 and not self._owner.acquire_bytes(self, growth):
            return False
        if growth < 0:
            self._owner.release_bytes(-growth)
        self._charged_bytes += growth
        return True


def connection_of(request: web.BaseRequest) -> ClientConnection | None:
    """Return the connection of a request; `None` if it was not accepted by a listener of this package."""
    protocol: Any = request.protocol
    return protocol if isinstance(protocol, ClientConnection) else None

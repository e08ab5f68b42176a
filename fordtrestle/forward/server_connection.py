"""A connection to a server: it carries one request at a time, and only the response to that request.

The protocol is aiohttp's, except that a connection reset never completes a response, that reads are short,
and that the connection itself checks which request a response belongs to. aiohttp gives a connection back to
the pool as soon as a whole response was received, before its caller could look at it, and it keeps what an
idle connection receives for the next request.
"""

from __future__ import annotations

import asyncio
from enum import Enum, auto
from http import HTTPStatus

import aiohttp
import eliot
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage
from aiohttp.streams import StreamReader

from fordtrestle.forward.carried_ids import CarriedIds
from fordtrestle.forward.headers import REQUEST_ID
from fordtrestle.listener.acceptor import is_readable

RECEIVE_BYTES = 64 * 1024  # taken by one read; bounds what is held of a response whose client does not read
UNSOLICITED_EVENT = "connection:unsolicited"  # data on a connection on which no request waits
UNEXPECTED_RESPONSE_EVENT = "connection:unexpected-response"  # the response to another request
MAX_LOGGED_ID_CHARACTERS = 128


class UnexpectedResponseError(aiohttp.ClientError):
    """A server sent the response to another request: the one that waits may have run."""


class ServerConnectionState(Enum):
    """The state of a connection."""

    IDLE = auto()  # no request waits on it
    AWAITING_RESPONSE = auto()  # a request is written, the head of its response was not received
    RESPONDING = auto()  # the head was received; the rest of the response may follow
    BROKEN = auto()  # it received what no request waited for


class ServerConnection(ResponseHandler):
    """One connection of the pool.

    Attributes:
        state: Its state.
        carried_ids: The ids of the requests that it has carried.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Create the protocol of a connection that is being established."""
        super().__init__(loop=loop)
        self.state = ServerConnectionState.IDLE
        self.carried_ids = CarriedIds()
        self._request_id = ""  # of the request that waits for its response

    def begin_request(self, request_id: str) -> None:
        """Expect the response to a request that is about to be written.

        Args:
            request_id: The id that the response must contain.
        """
        self.state = ServerConnectionState.AWAITING_RESPONSE
        self._request_id = request_id
        self.carried_ids.add(request_id)

    def end_request(self) -> None:
        """Expect no data any more: the response is complete, or nothing waits for it."""
        self.state = ServerConnectionState.IDLE
        self._request_id = ""  # may be as long as a header

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bound the size of one read."""
        transport.max_size = RECEIVE_BYTES  # type: ignore[attr-defined]  # of one recv(2)
        super().connection_made(transport)

    @property
    def has_unread_data(self) -> bool:
        """Whether the kernel holds data or an end of the connection that the event loop has not read yet."""
        sock = self.transport.get_extra_info("socket") if self.transport is not None else None
        return sock is None or is_readable(sock)

    def data_received(self, data: bytes) -> None:
        """Process received bytes; those that no request waits for close the connection."""
        if data and self.state is ServerConnectionState.IDLE:
            self._log(UNSOLICITED_EVENT, size_bytes=len(data))
            self._break()
            return
        super().data_received(data)

    def feed_data(self, data: tuple[RawResponseMessage, StreamReader], size: int = 0) -> None:
        """Pass on the head of a response to the request that waits for it; called by aiohttp.

        Any other response closes the connection: at once if the one before it is complete and was read,
        otherwise when it was read.
        """
        message, _ = data
        if self.state is ServerConnectionState.RESPONDING:
            self.force_close()
        elif self.state is ServerConnectionState.IDLE:
            self._break()
        elif self.state is ServerConnectionState.AWAITING_RESPONSE and _is_informational(message.code):
            super().feed_data(data, size)
        elif self.state is ServerConnectionState.AWAITING_RESPONSE:
            self._on_response(data, size)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Process the end of the connection.

        aiohttp considers a response without a length complete however its connection ends.
        """
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError("the connection was reset"))
        super().connection_lost(exc)

    def _on_response(self, data: tuple[RawResponseMessage, StreamReader], size: int) -> None:
        message, _ = data
        request_id = message.headers.get(REQUEST_ID)
        if request_id == self._request_id:
            self.state = ServerConnectionState.RESPONDING
            super().feed_data(data, size)
            return
        self._log(UNEXPECTED_RESPONSE_EVENT, response_to=(request_id or "")[:MAX_LOGGED_ID_CHARACTERS])
        self.set_exception(UnexpectedResponseError(f"response to {request_id!r}"))
        self._break()

    def _break(self) -> None:
        self.state = ServerConnectionState.BROKEN
        if self.transport is not None:
            self.transport.close()

    def _log(self, event: str, **fields: object) -> None:
        server, port = address_of(self.transport), local_port(self.transport)
        eliot.log_message(event, server=server, port=port, **fields)


def address_of(transport: asyncio.BaseTransport | None) -> str:
    """Return HOST:PORT of the server of a connection; empty if the connection is closed."""
    peer = transport.get_extra_info("peername") if transport is not None else None
    return f"{peer[0]}:{peer[1]}" if peer else ""


def local_port(transport: asyncio.BaseTransport | None) -> int | None:
    """Return this process's port of a connection; `None` if the connection is closed."""
    name = transport.get_extra_info("sockname") if transport is not None else None
    return name[1] if name else None


def _is_informational(status: int) -> bool:
    """Return whether a response is followed by the final one (RFC 9110, section 15.2)."""
    return HTTPStatus.CONTINUE <= status < HTTPStatus.OK and status != HTTPStatus.SWITCHING_PROTOCOLS

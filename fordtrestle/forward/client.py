"""Sends requests to servers and says what the outcome proves.

aiohttp would send some methods a second time by itself when a kept connection ends without an answer, follow
redirects, keep cookies, decode bodies and normalise targets: all of that is turned off here.
"""

from __future__ import annotations

import asyncio
import re
import socket
from collections.abc import Mapping
from dataclasses import dataclass
from functools import partial
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from multidict import CIMultiDict
from yarl import URL

from fordtrestle.forward.headers import NOT_EXECUTED, REQUEST_ID

CONNECT_S = 0.5
CONNECT_MARGIN_S = 0.01  # before a request's time is up, by which its connection has to be up
KEEP_ALIVE_S = 2.0  # that an unused connection is kept before any server has told its own time
KEEP_SHARE = 0.75  # of the time that servers tell: one that is about to be closed may lose a request
CONNECTIONS_MOST = 1024
UNACKNOWLEDGED_MS = 1500  # that sent bytes may go unacknowledged: the server's machine is gone or cut off
PROBE_IDLE_S, PROBES = 1, 1  # of silence before a probe, and probes that may go unanswered
HEADER_MOST = 64 * 1024
_TIMEOUT = re.compile(r"timeout=(\d{1,6})")
_SKIPPED = ("Accept", "Accept-Encoding", "User-Agent", "Content-Type")
_BROKEN = (aiohttp.ClientError, OSError, EOFError, ValueError)


@dataclass(frozen=True, slots=True)
class Answered:
    """The head of the server's answer has come: it took the request."""

    response: aiohttp.ClientResponse


@dataclass(frozen=True, slots=True)
class Rejected:
    """The server says that it has not run the request and never will."""

    status: int


@dataclass(frozen=True, slots=True)
class Unreachable:
    """No connection came up: the request was not sent."""


@dataclass(frozen=True, slots=True)
class Unsent:
    """The time was up before a connection came up: the request was not sent."""


@dataclass(frozen=True, slots=True)
class Broken:
    """The connection ended, or what came was no answer to this request: it may have run."""


@dataclass(frozen=True, slots=True)
class Overdue:
    """The time is up; the server may be at it still."""


Outcome = Answered | Rejected | Unreachable | Unsent | Broken | Overdue


@dataclass(frozen=True, slots=True)
class Outbound:
    """A request as it goes to one server."""

    method: str
    target: str  # path and query, as the client wrote them
    headers: CIMultiDict[str]
    body: bytes
    request_id: str


class _Protocol(ResponseHandler):
    """A connection whose reset is never taken for the end of an answer.

    aiohttp takes an answer without a length to be complete however its connection ends.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError("the connection was reset"))
        super().connection_lost(exc)


def _open_protocol(loop: asyncio.AbstractEventLoop) -> ResponseHandler:
    return _Protocol(loop=loop)


class Forwarder:
    """The connections to all servers."""

    def __init__(self) -> None:
        self._told_s = float("inf")  # the shortest time that a server keeps an unused connection
        self._connector = connector = aiohttp.TCPConnector(
            limit=CONNECTIONS_MOST,
            keepalive_timeout=KEEP_ALIVE_S,
            use_dns_cache=False,
            family=socket.AF_INET,
            happy_eyeballs_delay=None,
            socket_factory=_open_socket,
        )
        # aiohttp has no public way to choose the protocol of its connections.
        connector._factory = partial(_open_protocol, loop=asyncio.get_running_loop())
        self._session = aiohttp.ClientSession(
            connector=connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=_SKIPPED,
            timeout=_TIMEOUTS,
            max_line_size=HEADER_MOST,
            max_field_size=HEADER_MOST,
            requote_redirect_url=False,
        )
        # A request must not be sent again unknown to us: whether it may be is a matter of its route.
        self._session._retry_connection = False

    async def send(self, address: str, outbound: Outbound, deadline: float) -> Outcome:
        """Send a request and wait for the head of its answer; `deadline` in s of the loop's clock."""
        url = URL(f"http://{address}{outbound.target}", encoded=True)
        left_s = deadline - asyncio.get_running_loop().time()
        hurried = left_s <= CONNECT_S + CONNECT_MARGIN_S
        try:
            async with asyncio.timeout_at(deadline):
                response = await self._session.request(
                    outbound.method,
                    url,
                    headers=outbound.headers,
                    data=outbound.body or None,
                    allow_redirects=False,
                    timeout=_hurried(left_s) if hurried else _TIMEOUTS,
                )
        except aiohttp.ConnectionTimeoutError:
            return Unsent() if hurried else Unreachable()
        except aiohttp.ClientConnectorError:
            return Unreachable()
        except TimeoutError:
            return Overdue()
        except _BROKEN:
            return Broken()
        if response.headers.get(REQUEST_ID) != outbound.request_id:
            response.close()  # a surplus answer to an earlier request: it proves nothing of this one
            return Broken()
        self._learn_keep_alive(response.headers.get("Keep-Alive", ""))
        if NOT_EXECUTED in response.headers or response.status == 421:
            response.release()
            return Rejected(response.status)
        return Answered(response)

    def _learn_keep_alive(self, told: str) -> None:
        """Keep unused connections for less than any server does (RFC 2068, section 19.7.1.1)."""
        found = _TIMEOUT.search(told)
        if found and int(found.group(1)) < self._told_s:
            self._told_s = float(found.group(1))
            # aiohttp takes one time for all connections, and tells of no way to change it.
            self._connector._keepalive_timeout = KEEP_SHARE * self._told_s

    async def close(self) -> None:
        """End all connections."""
        await self._session.close()


_TIMEOUTS = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_S)


def _hurried(left_s: float) -> aiohttp.ClientTimeout:
    """A request whose time ends while its connection comes up must be known not to have been sent."""
    return aiohttp.ClientTimeout(total=None, sock_connect=max(0.001, left_s - CONNECT_MARGIN_S))


def _open_socket(address: tuple[Any, ...]) -> socket.socket:
    family, kind, protocol = address[0], address[1], address[2]
    sock = socket.socket(family=family, type=kind, proto=protocol)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
    return sock


def notice_silence(response: aiohttp.ClientResponse, wanted: bool) -> None:
    """Let the connection of an answer that another server can finish break once its machine is silent.

    A machine without power, or behind a cut, ends no connection: only probes that go unanswered tell. Where
    nobody else can finish the answer, it is waited for as long as there is time: a cut may end.
    """
    transport = response.connection.transport if response.connection else None
    sock = transport.get_extra_info("socket") if transport else None
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, int(wanted))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_IDLE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)


def has_whole_length(headers: Mapping[str, str], most: int) -> bool:
    """Whether an answer says that it is short enough to be read whole before it is passed on."""
    length = headers.get("Content-Length", "")
    return length.isascii() and length.isdigit() and int(length) <= most

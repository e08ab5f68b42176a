"""Sends requests to servers and says what the result proves.

aiohttp would send some methods a second time by itself when a kept connection ends without an answer, follow
redirects, keep cookies, decode bodies and normalise targets: all of that is turned off here.
"""

from __future__ import annotations

import asyncio
import re
from dataclasses import dataclass

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from fordtrestle.forward.connections import make_connector, set_keep_alive
from fordtrestle.forward.headers import MISDIRECTED_STATUS, NOT_EXECUTED, REQUEST_ID
from fordtrestle.forward.results import (
    Answered,
    ConnectFailed,
    ConnectionBroken,
    DeadlineExceeded,
    NotSent,
    RejectedByServer,
    SendResult,
)

CONNECT_TIMEOUT_S = 0.5  # a server that is there accepts within one crossing between regions

# Before a request's deadline, by which its connection has to be up: a connection time-out that came together
# with the deadline would leave open whether the request was sent.
CONNECT_MARGIN_S = 0.01
MIN_CONNECT_TIMEOUT_S = 0.001  # aiohttp takes 0 for "without limit"

# Of the time for which servers say that they keep unused connections: a request on one that is about to be
# closed may be lost.
KEEP_ALIVE_FRACTION = 0.75
MAX_HEAD_BYTES = 64 * 1024  # of a line and of a field of an answer's head

_DEFAULT_TIMEOUT = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=(\d{1,6})")
_SKIPPED_HEADERS = ("Accept", "Accept-Encoding", "User-Agent", "Content-Type")  # aiohttp would add its own
_CONNECTION_ERRORS = (aiohttp.ClientError, OSError, EOFError, ValueError)


@dataclass(frozen=True, slots=True)
class OutboundRequest:
    """A request as it goes to one server.

    Attributes:
        method: The HTTP method.
        target: Path and query, as the client wrote them.
        headers: All headers of it.
        body: The whole body.
        request_id: What the answer has to name.
    """

    method: str
    target: str
    headers: CIMultiDict[str]
    body: bytes
    request_id: str


class Forwarder:
    """Sends requests over kept connections to all servers; one a process, made within its loop."""

    def __init__(self) -> None:
        """Make the pool of connections; none is opened yet."""
        self._shortest_keep_alive_s = float("inf")  # that any server has named
        self._connector = make_connector()
        self._session = aiohttp.ClientSession(
            connector=self._connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=_SKIPPED_HEADERS,
            timeout=_DEFAULT_TIMEOUT,
            max_line_size=MAX_HEAD_BYTES,
            max_field_size=MAX_HEAD_BYTES,
            requote_redirect_url=False,
        )
        # A request must not be sent again unknown to us: whether it may be is a matter of its route.
        self._session._retry_connection = False

    async def send(self, address: str, outbound: OutboundRequest, deadline: float) -> SendResult:
        """Send a request and wait for the head of its answer.

        Args:
            address: The server's, `HOST:PORT`.
            outbound: The request.
            deadline: s of the loop's clock.

        Returns:
            The result. The caller gives the connection of an `Answered` back.
        """
        url = URL(f"http://{address}{outbound.target}", encoded=True)
        remaining_s = deadline - asyncio.get_running_loop().time()
        is_deadline_near = remaining_s <= CONNECT_TIMEOUT_S + CONNECT_MARGIN_S
        client_timeout = _timeout_before(remaining_s) if is_deadline_near else _DEFAULT_TIMEOUT
        try:
            async with asyncio.timeout_at(deadline):
                response = await self._request(url, outbound, client_timeout)
        except aiohttp.ConnectionTimeoutError:
            return NotSent() if is_deadline_near else ConnectFailed()
        except aiohttp.ClientConnectorError:
            return ConnectFailed()
        except TimeoutError:
            return DeadlineExceeded()
        except _CONNECTION_ERRORS:
            return ConnectionBroken()
        return self._evaluate(response, outbound)

    async def close(self) -> None:
        """End all connections."""
        await self._session.close()

    async def _request(
        self, url: URL, outbound: OutboundRequest, client_timeout: aiohttp.ClientTimeout
    ) -> aiohttp.ClientResponse:
        return await self._session.request(
            outbound.method,
            url,
            headers=outbound.headers,
            data=outbound.body or None,
            allow_redirects=False,
            timeout=client_timeout,
        )

    def _evaluate(self, response: aiohttp.ClientResponse, outbound: OutboundRequest) -> SendResult:
        """What the head of an answer proves; the connection of one that is not passed on is given back."""
        if response.headers.get(REQUEST_ID) != outbound.request_id:
            response.close()  # a surplus answer to an earlier request: it proves nothing of this one
            return ConnectionBroken()
        self._learn_keep_alive(response.headers.get("Keep-Alive", ""))
        if NOT_EXECUTED in response.headers or response.status == MISDIRECTED_STATUS:
            response.release()
            return RejectedByServer(response.status)
        return Answered(response)

    def _learn_keep_alive(self, header: str) -> None:
        """Keep unused connections for less than any server does (RFC 2068, section 19.7.1.1).

        All servers share the shortest time, as aiohttp has one for all connections.
        """
        match = _KEEP_ALIVE_TIMEOUT.search(header)
        if match and int(match.group(1)) < self._shortest_keep_alive_s:
            self._shortest_keep_alive_s = float(match.group(1))
            set_keep_alive(self._connector, KEEP_ALIVE_FRACTION * self._shortest_keep_alive_s)


def _timeout_before(remaining_s: float) -> aiohttp.ClientTimeout:
    """Limits of a request whose deadline may pass while its connection comes up.

    Connecting ends a margin before the deadline, so that the request is then known not to have been sent.
    """
    connect_s = max(MIN_CONNECT_TIMEOUT_S, remaining_s - CONNECT_MARGIN_S)
    return aiohttp.ClientTimeout(total=None, sock_connect=connect_s)

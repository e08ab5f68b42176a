"""Sends requests to servers and classifies the results by what they prove.

By default, aiohttp retries some methods when a kept-alive connection ends without a response, follows
redirects, stores cookies, decodes bodies and normalises targets. All of this is disabled here.
"""

from __future__ import annotations

import asyncio
import re
from dataclasses import dataclass

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from fordtrestle.forward.checked_connector import Check, SendWithdrawnError, checked_by
from fordtrestle.forward.connections import MAX_CONNECTIONS, make_connector, set_keep_alive
from fordtrestle.forward.headers import MISDIRECTED_STATUS, NOT_EXECUTED
from fordtrestle.forward.request_payload import PartsPayload
from fordtrestle.forward.results import (
    Answered,
    ConnectFailed,
    ConnectionBroken,
    DeadlineExceeded,
    NotSent,
    RejectedByServer,
    SendResult,
    Withdrawn,
)

CONNECT_TIMEOUT_S = 0.5  # a running server accepts within the latency between two regions

# A connection must be established this long before the request's deadline. If the connect timeout coincided
# with the deadline, it would be unknown whether the request was sent.
CONNECT_MARGIN_S = 0.01
MIN_CONNECT_TIMEOUT_S = 0.001  # aiohttp takes 0 for "without limit"

# Idle connections are kept for this fraction of the servers' keep-alive timeout: a request on a connection
# that the server is about to close may be lost.
KEEP_ALIVE_FRACTION = 0.75
MAX_HEAD_BYTES = 64 * 1024  # per line and per field of a response head
BODY_BUFFER_BYTES = 32 * 1024  # of a response body that is not read; reading pauses at twice that

_DEFAULT_TIMEOUT = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=(\d{1,6})")
_SKIPPED_HEADERS = ("Accept", "Accept-Encoding", "User-Agent", "Content-Type")  # aiohttp would add its own
_CONNECTION_ERRORS = (aiohttp.ClientError, OSError, EOFError, ValueError)


@dataclass(frozen=True, slots=True)
class OutboundRequest:
    """A request to one server.

    Attributes:
        method: The HTTP method.
        target: Path and query, exactly as the client sent them.
        headers: All headers.
        body: The complete body, in parts.
        request_id: The request id that the response must contain.
    """

    method: str
    target: str
    headers: CIMultiDict[str]
    body: tuple[bytes, ...]
    request_id: str


class Forwarder:
    """HTTP client with a connection pool for all servers; a process has one, created in its event loop."""

    def __init__(self, max_connections: int = MAX_CONNECTIONS) -> None:
        """Create an empty connection pool.

        Args:
            max_connections: The most connections at the same time.
        """
        self._shortest_keep_alive_s = float("inf")  # shortest timeout that any server has announced
        self._connector = make_connector(max_connections)
        self._session = aiohttp.ClientSession(
            connector=self._connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=_SKIPPED_HEADERS,
            timeout=_DEFAULT_TIMEOUT,
            max_line_size=MAX_HEAD_BYTES,
            max_field_size=MAX_HEAD_BYTES,
            read_bufsize=BODY_BUFFER_BYTES,
            requote_redirect_url=False,
        )
        # aiohttp must not retry a request on its own: the route decides whether a retry is allowed.
        self._session._retry_connection = False

    async def send(
        self, address: str, outbound: OutboundRequest, deadline: float, check: Check
    ) -> SendResult:
        """Send a request and wait for the head of its response.

        Args:
            address: The address of the server, `HOST:PORT`.
            outbound: The request.
            deadline: The deadline, in seconds of the loop's clock.
            check: Called with the headers and the connection's transport when a connection is ready; returns
                whether the request may still be sent, and may update the headers.

        Returns:
            The result. The caller must release the connection of an `Answered` result.
        """
        url = URL(f"http://{address}{outbound.target}", encoded=True)
        remaining_s = deadline - asyncio.get_running_loop().time()
        is_deadline_near = remaining_s <= CONNECT_TIMEOUT_S + CONNECT_MARGIN_S
        client_timeout = _timeout_before_deadline(remaining_s) if is_deadline_near else _DEFAULT_TIMEOUT
        try:
            async with asyncio.timeout_at(deadline):
                with checked_by(check, outbound.request_id):
                    response = await self._request(url, outbound, client_timeout)
        except SendWithdrawnError:
            return Withdrawn()
        except aiohttp.ConnectionTimeoutError:
            return NotSent() if is_deadline_near else ConnectFailed()
        except aiohttp.ClientConnectorError:
            return ConnectFailed()
        except TimeoutError:
            return DeadlineExceeded()
        except _CONNECTION_ERRORS:
            return ConnectionBroken()
        return self._evaluate(response)

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def _request(
        self, url: URL, outbound: OutboundRequest, client_timeout: aiohttp.ClientTimeout
    ) -> aiohttp.ClientResponse:
        return await self._session.request(
            outbound.method,
            url,
            headers=outbound.headers,
            data=_make_payload(outbound.body),
            allow_redirects=False,
            timeout=client_timeout,
        )

    def _evaluate(self, response: aiohttp.ClientResponse) -> SendResult:
        """Classify a response by its head, and release its connection unless the response is forwarded."""
        self._learn_keep_alive(response.headers.get("Keep-Alive", ""))
        if NOT_EXECUTED in response.headers or response.status == MISDIRECTED_STATUS:
            response.release()
            return RejectedByServer(response.status)
        return Answered(response)

    def _learn_keep_alive(self, header: str) -> None:
        """Keep idle connections for a shorter time than any server does (RFC 2068, section 19.7.1.1).

        The shortest timeout applies to all servers, because aiohttp has a single one for all connections.
        """
        match = _KEEP_ALIVE_TIMEOUT.search(header)
        if match and int(match.group(1)) < self._shortest_keep_alive_s:
            self._shortest_keep_alive_s = float(match.group(1))
            set_keep_alive(self._connector, KEEP_ALIVE_FRACTION * self._shortest_keep_alive_s)


def _make_payload(body: tuple[bytes, ...]) -> PartsPayload | bytes | None:
    """Return a body as aiohttp takes it: one that arrived in one part is written together with the head."""
    if len(body) > 1:
        return PartsPayload(body)
    return body[0] if body else None


def _timeout_before_deadline(remaining_s: float) -> aiohttp.ClientTimeout:
    """Return the timeout of a request whose deadline may pass while its connection is established.

    Connecting times out a margin before the deadline, so that the request is known not to have been sent.
    """
    connect_s = max(MIN_CONNECT_TIMEOUT_S, remaining_s - CONNECT_MARGIN_S)
    return aiohttp.ClientTimeout(total=None, sock_connect=connect_s)

"""A connection pool that checks a send again once it has a connection, right before the request is written.

Opening a connection takes time, and so does waiting for one while all are in use. What the send was decided
by may have changed meanwhile, or the process may have stood still.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from contextvars import ContextVar

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.client_reqrep import ClientRequest, ConnectionKey
from aiohttp.connector import Connection
from aiohttp.tracing import Trace
from more_itertools import partition
from multidict import CIMultiDict

from fordtrestle.forward.server_connection import ServerConnection

_IdleConnection = tuple[ResponseHandler, float]  # with the time since which it is idle (time.monotonic)

# Returns whether the request may be written on a connection, and updates its headers.
Check = Callable[[CIMultiDict[str], asyncio.Transport | None], bool]


class _PendingSend:
    """Holds the check of a send while it lasts, and the id of its request.

    A connection that the send opens keeps a copy of its context, and so this object, for as long as it lives.
    The check refers to the whole request, and the id may be as long as a header.
    """

    __slots__ = ("check", "request_id")

    def __init__(self, check: Check, request_id: str) -> None:
        self.check: Check | None = check
        self.request_id = request_id


# aiohttp passes nothing from a request to its connector; the send belongs to the task that executes it.
_current_send: ContextVar[_PendingSend | None] = ContextVar("current_send", default=None)


class SendWithdrawnError(aiohttp.ClientError):
    """The check of a send failed when it had a connection: nothing of the request was written."""


@contextmanager
def checked_by(check: Check, request_id: str) -> Iterator[None]:
    """Check the sends of this task within the block.

    Args:
        check: Called with the headers that will be written and the connection's transport.
        request_id: The id that the response must contain.
    """
    send = _PendingSend(check, request_id)
    token = _current_send.set(send)
    try:
        yield
    finally:
        send.check, send.request_id = None, ""
        _current_send.reset(token)


class CheckedConnector(aiohttp.TCPConnector):
    """aiohttp's connection pool, with the check of each send.

    No connection carries the same request id twice, because the response to the second request could not be
    told from a copy of the first one's.
    """

    async def connect(
        self,
        req: ClientRequest,
        traces: list[Trace],
        timeout: aiohttp.ClientTimeout,  # noqa: ASYNC109  (the name that aiohttp passes it by)
    ) -> Connection:
        """Return a connection on which the request may be written.

        Raises:
            SendWithdrawnError: The send is no longer allowed; the connection is kept for others.
        """
        connection = await super().connect(req, traces, timeout)
        send = _current_send.get()
        if send is None:
            return connection
        if send.check is not None and not send.check(req.headers, connection.transport):
            connection.release()
            raise SendWithdrawnError("the send is no longer allowed")
        if isinstance(connection.protocol, ServerConnection):
            connection.protocol.begin_request(send.request_id)
        return connection

    async def _create_connection(
        self,
        req: ClientRequest,
        traces: list[Trace],
        timeout: aiohttp.ClientTimeout,  # noqa: ASYNC109  (the name that aiohttp passes it by)
    ) -> ResponseHandler:
        """Open a connection, in the place of the oldest idle one if there are `limit` connections.

        aiohttp's limit does not count idle connections.
        """
        while len(self._acquired) + sum(map(len, self._conns.values())) > self._limit and self._conns:
            await self._close_oldest(min(self._conns, key=lambda key: self._conns[key][0][1]))
        return await super()._create_connection(req, traces, timeout)

    def _release(self, key: ConnectionKey, protocol: ResponseHandler, *, should_close: bool = False) -> None:
        """Take a connection back whose response is complete, or close it."""
        if isinstance(protocol, ServerConnection):
            protocol.end_request()
            should_close = should_close or protocol.carried_ids.is_full
        super()._release(key, protocol, should_close=should_close)

    async def _get(self, key: ConnectionKey, traces: list[Trace]) -> Connection | None:
        """Return an idle connection that has not carried the id of the current send, if there is one."""
        send = _current_send.get()
        if send is None:
            return await super()._get(key, traces)
        withheld = self._withhold(key, send.request_id)
        try:
            connection = await self._get_quiet(key, traces)
        finally:
            self._restore(key, withheld)
        if connection is None and withheld:
            await self._close_oldest(key)
        return connection

    async def _get_quiet(self, key: ConnectionKey, traces: list[Trace]) -> Connection | None:
        """Return an idle connection on which nothing has arrived, and close those on which something has."""
        while (connection := await super()._get(key, traces)) is not None:
            protocol = connection.protocol
            if not (isinstance(protocol, ServerConnection) and protocol.has_unread_data):
                return connection
            connection.close()
        return None

    def _withhold(self, key: ConnectionKey, request_id: str) -> list[_IdleConnection]:
        """Remove and return the idle connections that have carried an id."""
        fresh, carriers = partition(
            lambda entry: _has_carried(entry[0], request_id), self._conns.get(key, ())
        )
        withheld = list(carriers)
        if withheld:
            self._conns[key] = deque(fresh)
        return withheld

    def _restore(self, key: ConnectionKey, withheld: list[_IdleConnection]) -> None:
        """Return withheld connections to the pool, in which they are the oldest."""
        if withheld:
            self._conns[key].extendleft(reversed(withheld))

    async def _close_oldest(self, key: ConnectionKey) -> None:
        """Close an idle connection in whose place another is opened, and wait until its socket is closed.

        Otherwise the pool would grow by one connection with each request that comes back with the same id.
        asyncio closes the socket in the next iteration of the event loop.
        """
        protocol, _ = self._conns[key].popleft()
        protocol.close()
        if not self._conns[key]:
            del self._conns[key]
        await asyncio.sleep(0)


def _has_carried(protocol: ResponseHandler, request_id: str) -> bool:
    return isinstance(protocol, ServerConnection) and request_id in protocol.carried_ids

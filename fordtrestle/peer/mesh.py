"""The connections of one process with others: dialled by either side, at most one used towards a node."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection
from contextlib import closing, suppress
from typing import Any

import eliot

from fordtrestle.peer.connection import Connection
from fordtrestle.peer.errors import NoCommonVersionError, PeerError
from fordtrestle.peer.handshake import accept_hello
from fordtrestle.peer.link import Link
from fordtrestle.peer.messages import Hello
from fordtrestle.settings.records import Address

DIAL_TIMEOUT_S = 0.8  # for a connection to come up: several round trips between regions
HELLO_TIMEOUT_S = 2.0  # for the other side's hello
MIN_REDIAL_BACKOFF_S = 0.1
MAX_REDIAL_BACKOFF_S = 0.5  # a process that is back has to be found soon
REDIAL_BACKOFF_FACTOR = 1.5
CLOSE_TIMEOUT_S = 0.5  # for accepted connections to notice that they were closed
MAX_LINKS = 2048  # connections that others have opened
LISTEN_BACKLOG = 512  # connections that wait to be accepted: all processes may dial at once

_CONNECTION_ERRORS = (OSError, TimeoutError, PeerError)

OnMessage = Callable[[Link, Any], None]
OnLinkUp = Callable[[Link], None]


class _RedialBackoff:
    """How long to wait before an address is dialled again: longer with each dial that failed."""

    def __init__(self) -> None:
        self._next_s = MIN_REDIAL_BACKOFF_S

    def reset(self) -> None:
        """Begin anew: the other side has answered."""
        self._next_s = MIN_REDIAL_BACKOFF_S

    def take_s(self) -> float:
        """Return how long to wait now, in s."""
        wait_s = self._next_s
        self._next_s = min(MAX_REDIAL_BACKOFF_S, REDIAL_BACKOFF_FACTOR * wait_s)
        return wait_s


class Mesh:
    """Listens, dials the addresses that it is given, and keeps the links that are up.

    Two processes may dial each other at the same time, and then have two links: both stay, since neither side
    can know which one the other would end, and messages go over the newest.

    Attributes:
        skipped_messages: messages of other versions of the protocol, on connections that have ended.
        round_trips: the shortest time that a connection took to come up, in s, by the address that is
        dialled.
    """

    def __init__(self, me: Hello, on_message: OnMessage, on_link_up: OnLinkUp) -> None:
        """Make a mesh that neither listens nor dials yet.

        Args:
            me: the hello of this process.
            on_message: called with each message and the link that it came over.
            on_link_up: called once with each link, before any of its messages.
        """
        self.skipped_messages = 0
        self.round_trips: dict[str, float] = {}
        self._me = me
        self._on_message = on_message
        self._on_link_up = on_link_up
        self._links: dict[str, list[Link]] = {}  # by node, the newest last
        self._rejected: dict[str, tuple[int, int]] = {}  # by node: the versions that it speaks
        self._dials: dict[str, asyncio.Task[None]] = {}  # by address
        self._server: asyncio.Server | None = None
        self._accepted: set[asyncio.Task[None]] = set()

    async def listen(self, address: Address) -> None:
        """Accept connections at this address.

        Raises:
            OSError: the address is taken or not of this machine.
        """
        self._server = await asyncio.start_server(
            self._accept, address.host, address.port, backlog=LISTEN_BACKLOG
        )

    def dial(self, addresses: Collection[str]) -> None:
        """Keep a connection to each of these addresses (HOST:PORT), and to no others."""
        wanted = set(addresses) - {self._me.peer}
        for address in set(self._dials) - wanted:
            self._dials.pop(address).cancel()
            self.round_trips.pop(address, None)
        for address in wanted - set(self._dials):
            self._dials[address] = asyncio.create_task(self._keep_dialled(address))

    def links(self) -> list[Link]:
        """Return the link to each node that one is up to."""
        return [links[-1] for links in self._links.values()]

    def link(self, node: str) -> Link | None:
        """Return the newest link to a node; `None` where none is up."""
        links = self._links.get(node)
        return links[-1] if links else None

    def link_at(self, peer: str) -> Link | None:
        """Return a link to the process that listens at that address; `None` where none is up."""
        return next((link for link in self.links() if link.peer == peer), None)

    async def close(self) -> None:
        """End all connections, and neither accept nor dial any more."""
        for dial in self._dials.values():
            dial.cancel()
        if self._server:
            self._server.close()
        for link in [link for links in self._links.values() for link in links]:
            link.close()
        if self._accepted:
            await asyncio.wait(self._accepted, timeout=CLOSE_TIMEOUT_S)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Run a connection that another process has opened: its hello comes first, then ours."""
        task = asyncio.current_task()
        with closing(Connection(reader, writer)) as connection:
            if len(self._accepted) >= MAX_LINKS or task is None:
                return
            self._accepted.add(task)
            try:
                hello = await self._receive_hello(connection)
                connection.send(self._me)
                await self._run_link(hello, connection)
            except (*_CONNECTION_ERRORS, asyncio.CancelledError):
                # Cancelled as the process ends, with nothing left to do: asyncio would log that as a fault.
                return
            finally:
                self._accepted.discard(task)

    async def _keep_dialled(self, address: str) -> None:
        """Dial an address whenever no connection to it is up, until cancelled."""
        backoff = _RedialBackoff()
        while True:
            with suppress(*_CONNECTION_ERRORS):
                await self._dial(address, backoff)
            await asyncio.sleep(backoff.take_s())

    async def _dial(self, address: str, backoff: _RedialBackoff) -> None:
        """Dial an address, and run the connection until it ends: our hello goes first, then theirs comes."""
        endpoint = Address.parse(address)
        started_at = asyncio.get_running_loop().time()
        async with asyncio.timeout(DIAL_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(endpoint.host, endpoint.port)
        self._record_round_trip(address, asyncio.get_running_loop().time() - started_at)
        with closing(Connection(reader, writer)) as connection:
            connection.send(self._me)
            hello = await self._receive_hello(connection)
            backoff.reset()
            await self._run_link(hello, connection)

    @staticmethod
    async def _receive_hello(connection: Connection) -> Any:
        async with asyncio.timeout(HELLO_TIMEOUT_S):
            return await connection.receive()

    async def _run_link(self, first_message: Any, connection: Connection) -> None:
        """Keep a link until its connection ends.

        Raises:
            HandshakeError: the first message is no hello that this process can accept.
        """
        try:
            hello, version = accept_hello(self._me, first_message)
        except NoCommonVersionError as error:
            self._log_rejection(error)
            raise
        link = Link(hello, version, connection)
        self._links.setdefault(link.node, []).append(link)
        try:
            self._on_link_up(link)
            await connection.run(lambda message: self._hand_over(link, message))
        finally:
            self.skipped_messages += connection.skipped_messages
            links = self._links[link.node]
            links.remove(link)
            if not links:
                del self._links[link.node]

    def _hand_over(self, link: Link, message: Any) -> None:
        """Handle a message; a fault of ours in that ends neither the link nor the task that dials it."""
        try:
            self._on_message(link, message)
        except Exception:
            eliot.write_traceback()

    def _log_rejection(self, error: NoCommonVersionError) -> None:
        """Log once of each node that it speaks no version that this process speaks: it goes on dialling."""
        if self._rejected.get(error.node) != error.theirs and len(self._rejected) < MAX_LINKS:
            self._rejected[error.node] = error.theirs
            eliot.log_message("peer:no-common-version", node=error.node, theirs=error.theirs, ours=error.ours)

    def _record_round_trip(self, address: str, took_s: float) -> None:
        """Record how long a connection took to come up: one round trip, and whatever delayed it."""
        self.round_trips[address] = min(took_s, self.round_trips.get(address, took_s))

"""Manages the connections of one process to others; at most one per node is used for sending."""

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

DIAL_TIMEOUT_S = 0.8  # to establish a connection: several round trips between regions
HELLO_TIMEOUT_S = 2.0  # to receive the peer's hello
MIN_REDIAL_BACKOFF_S = 0.1
MAX_REDIAL_BACKOFF_S = 0.5  # short, so that a restarted process is found soon
REDIAL_BACKOFF_FACTOR = 1.5
CLOSE_TIMEOUT_S = 0.5  # for the tasks of accepted connections to end after these are closed
MAX_LINKS = 2048  # accepted connections
LISTEN_BACKLOG = 512  # all processes may dial at the same time

_CONNECTION_ERRORS = (OSError, TimeoutError, PeerError)

OnMessage = Callable[[Link, Any], None]
OnLinkUp = Callable[[Link], None]


class _RedialBackoff:
    """Exponential backoff between the dials of one address."""

    def __init__(self) -> None:
        self._next_s = MIN_REDIAL_BACKOFF_S

    def reset(self) -> None:
        """Restart from the shortest wait, since the peer has answered."""
        self._next_s = MIN_REDIAL_BACKOFF_S

    def next_wait_s(self) -> float:
        """Return how long to wait before the next dial, in seconds, and increase the wait after it."""
        wait_s = self._next_s
        self._next_s = min(MAX_REDIAL_BACKOFF_S, REDIAL_BACKOFF_FACTOR * wait_s)
        return wait_s


class Mesh:
    """Listens, keeps configured addresses dialled, and tracks the established links.

    Two processes that dial each other at the same time have two links. Both are kept, since neither side can
    know which one the other would close, and messages are sent over the newest.

    Attributes:
        skipped_messages: the number of skipped messages of other protocol versions, on ended connections.
        round_trips: by dialled address, the shortest time that it took to establish a connection, in seconds.
    """

    def __init__(self, me: Hello, on_message: OnMessage, on_link_up: OnLinkUp) -> None:
        """Create a mesh that neither listens nor dials yet.

        Args:
            me: the hello of this process.
            on_message: called with each message and the link that received it.
            on_link_up: called once with each link, before any of its messages.
        """
        self.skipped_messages = 0
        self.round_trips: dict[str, float] = {}
        self._me = me
        self._on_message = on_message
        self._on_link_up = on_link_up
        self._links: dict[str, list[Link]] = {}  # by node, the newest last
        self._mismatches: dict[str, tuple[int, int]] = {}  # by node: the versions that it supports
        self._dials: dict[str, asyncio.Task[None]] = {}  # by address
        self._server: asyncio.Server | None = None
        self._accepted: set[asyncio.Task[None]] = set()

    async def listen(self, address: Address) -> None:
        """Accept connections at this address.

        Raises:
            OSError: the address is in use or does not belong to this machine.
        """
        self._server = await asyncio.start_server(
            self._accept, address.host, address.port, backlog=LISTEN_BACKLOG
        )

    def dial(self, addresses: Collection[str]) -> None:
        """Keep a connection to each of these addresses (HOST:PORT), and stop dialling all others."""
        wanted = set(addresses) - {self._me.peer}
        for address in set(self._dials) - wanted:
            self._dials.pop(address).cancel()
            self.round_trips.pop(address, None)
        for address in wanted - set(self._dials):
            self._dials[address] = asyncio.create_task(self._maintain_dial(address))

    def links(self) -> list[Link]:
        """Return the newest link to each linked node."""
        return [links[-1] for links in self._links.values()]

    def link(self, node: str) -> Link | None:
        """Return the newest link to a node; `None` if there is none."""
        links = self._links.get(node)
        return links[-1] if links else None

    def link_at(self, peer: str) -> Link | None:
        """Return the newest link to the process that listens on an address; `None` if there is none."""
        return next((link for link in self.links() if link.peer == peer), None)

    async def close(self) -> None:
        """Close all connections, and stop accepting and dialling."""
        for dial in self._dials.values():
            dial.cancel()
        if self._server:
            self._server.close()
        for link in [link for links in self._links.values() for link in links]:
            link.close()
        if self._accepted:
            await asyncio.wait(self._accepted, timeout=CLOSE_TIMEOUT_S)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Run an accepted connection: receive the peer's hello, then send ours."""
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
                # Cancellation at process exit needs no cleanup, but asyncio would log it as an error.
                return
            finally:
                self._accepted.discard(task)

    async def _maintain_dial(self, address: str) -> None:
        """Dial an address again whenever its connection has ended or failed, until cancelled."""
        backoff = _RedialBackoff()
        while True:
            with suppress(*_CONNECTION_ERRORS):
                await self._dial(address, backoff)
            await asyncio.sleep(backoff.next_wait_s())

    async def _dial(self, address: str, backoff: _RedialBackoff) -> None:
        """Dial an address and run the connection until it ends: send our hello, then receive the peer's."""
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
        """Register a link and run its connection until it ends.

        Raises:
            HandshakeError: the first message is not a hello that this process can accept.
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
            await connection.run(lambda message: self._dispatch(link, message))
        finally:
            self.skipped_messages += connection.skipped_messages
            links = self._links[link.node]
            links.remove(link)
            if not links:
                del self._links[link.node]

    def _dispatch(self, link: Link, message: Any) -> None:
        """Handle a message; an exception in the handler ends neither the link nor its dialling task."""
        try:
            self._on_message(link, message)
        except Exception:
            eliot.write_traceback()

    def _log_rejection(self, error: NoCommonVersionError) -> None:
        """Log a version mismatch once per node and version range: the node keeps dialling."""
        if self._mismatches.get(error.node) != error.theirs and len(self._mismatches) < MAX_LINKS:
            self._mismatches[error.node] = error.theirs
            eliot.log_message("peer:no-common-version", node=error.node, theirs=error.theirs, ours=error.ours)

    def _record_round_trip(self, address: str, took_s: float) -> None:
        """Record the time to establish a connection: one round trip plus delays; the shortest is kept."""
        self.round_trips[address] = min(took_s, self.round_trips.get(address, took_s))

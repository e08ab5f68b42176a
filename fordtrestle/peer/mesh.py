"""The connections of one process with others: dialled by either side, at most one used towards a node."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection
from typing import Any

import eliot

from fordtrestle.peer.codec import CodecError, Hello, agreed_version
from fordtrestle.peer.connection import Connection
from fordtrestle.settings.records import Address

DIAL_TIMEOUT_S = 0.8
MIN_REDIAL_BACKOFF_S, MAX_REDIAL_BACKOFF_S = 0.1, 0.5  # between dials, longer with each that failed
HELLO_TIMEOUT_S = 2.0
CLOSE_TIMEOUT_S = 0.5  # for accepted connections to notice that they were closed
MAX_LINKS = 2048  # connections that others have opened
_FAILED = (OSError, EOFError, TimeoutError, asyncio.IncompleteReadError, CodecError)


class Link:
    """A connection whose other side is known; `version` of the protocol is what both sides speak."""

    def __init__(self, hello: Hello, version: int, connection: Connection) -> None:
        self.node = hello.node
        self.peer = hello.peer
        self.version = version
        self._connection = connection

    def send(self, message: Any) -> bool:
        """Send a message; whether the connection still takes any."""
        return self._connection.send(message)

    def write_frame(self, framed: bytes) -> bool:
        """Send a message that was framed before, for many links; whether the connection still takes any."""
        return self._connection.write_frame(framed)

    def close(self) -> None:
        """End the connection."""
        self._connection.close()


Received = Callable[[Link, Any], None]


class Mesh:
    """Listens, dials the addresses it is given, and keeps the links that are up."""

    def __init__(self, me: Hello, received: Received, linked: Callable[[Link], None]) -> None:
        self._me = me
        self._received = received
        self._linked = linked
        self._links: dict[str, list[Link]] = {}  # by node, the newest last
        self._refused: dict[str, tuple[int, int]] = {}  # by node: the versions it speaks, as told
        self.skipped_messages = 0  # messages of other versions, on connections that have ended
        self._dials: dict[str, asyncio.Task[None]] = {}  # by address
        self.round_trips: dict[str, float] = {}  # by address that is dialled: s, the shortest seen
        self._server: asyncio.Server | None = None
        self._accepted: set[asyncio.Task[None]] = set()

    async def listen(self, address: Address) -> None:
        """Take connections at this address. Raises `OSError`."""
        self._server = await asyncio.start_server(self._accept, address.host, address.port, backlog=512)

    def dial(self, addresses: Collection[str]) -> None:
        """Keep a connection to each of these, and to no others."""
        wanted = set(addresses) - {self._me.peer}
        for address in set(self._dials) - wanted:
            self._dials.pop(address).cancel()
            self.round_trips.pop(address, None)
        for address in wanted - set(self._dials):
            self._dials[address] = asyncio.create_task(self._keep_dialled(address))

    def links(self) -> list[Link]:
        """The link to each node that one is up to."""
        return [links[-1] for links in self._links.values()]

    def link(self, node: str) -> Link | None:
        """The newest link to a node."""
        links = self._links.get(node)
        return links[-1] if links else None

    def link_at(self, peer: str) -> Link | None:
        """A link to whoever listens at that address."""
        return next((link for link in self.links() if link.peer == peer), None)

    async def close(self) -> None:
        """End all."""
        for dial in self._dials.values():
            dial.cancel()
        if self._server:
            self._server.close()
        for link in [link for links in self._links.values() for link in links]:
            link.close()
        if self._accepted:
            await asyncio.wait(self._accepted, timeout=CLOSE_TIMEOUT_S)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = Connection(reader, writer)
        task = asyncio.current_task()
        if len(self._accepted) >= MAX_LINKS or task is None:
            connection.close()
            return
        self._accepted.add(task)
        try:
            async with asyncio.timeout(HELLO_TIMEOUT_S):
                hello = await connection.receive()
            connection.send(self._me)
            await self._run(hello, connection)
        except (*_FAILED, asyncio.CancelledError):
            # Cancelled as the process ends, with nothing left to do: asyncio tells of a cancelled handler on
            # the log as of a fault.
            connection.close()
        finally:
            self._accepted.discard(task)

    async def _keep_dialled(self, address: str) -> None:
        where = Address.parse(address)
        pause = MIN_REDIAL_BACKOFF_S
        while True:
            try:
                began = asyncio.get_running_loop().time()
                async with asyncio.timeout(DIAL_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection(where.host, where.port)
                self._note_round_trip(address, asyncio.get_running_loop().time() - began)
                connection = Connection(reader, writer)
                try:
                    connection.send(self._me)
                    async with asyncio.timeout(HELLO_TIMEOUT_S):
                        hello = await connection.receive()
                    pause = MIN_REDIAL_BACKOFF_S
                    await self._run(hello, connection)
                finally:
                    connection.close()
            except _FAILED:
                pass
            await asyncio.sleep(pause)
            pause = min(MAX_REDIAL_BACKOFF_S, 1.5 * pause)

    def _hand_over(self, link: Link, message: Any) -> None:
        """Handle a message; a fault of ours in that ends neither the link nor the task that dials it."""
        try:
            self._received(link, message)
        except Exception:
            eliot.write_traceback()

    def _refuse(self, hello: Hello) -> None:
        """Say once of each node that it speaks no version that this one speaks."""
        speaks = (hello.oldest, hello.newest)
        if self._refused.get(hello.node) != speaks and len(self._refused) < MAX_LINKS:
            self._refused[hello.node] = speaks
            mine = (self._me.oldest, self._me.newest)
            eliot.log_message("peer:no-common-version", node=hello.node, theirs=speaks, ours=mine)

    def _note_round_trip(self, address: str, took_s: float) -> None:
        """A connection came up after one round trip, and whatever delayed it."""
        self.round_trips[address] = min(took_s, self.round_trips.get(address, took_s))

    async def _run(self, hello: Any, connection: Connection) -> None:
        if not isinstance(hello, Hello) or hello.node == self._me.node:
            connection.close()
            return
        version = agreed_version(self._me, hello)
        if version is None:
            self._refuse(hello)
            connection.close()
            return
        link = Link(hello, version, connection)
        self._links.setdefault(link.node, []).append(link)
        try:
            self._linked(link)
            await connection.run(lambda message: self._hand_over(link, message))
        finally:
            self.skipped_messages += connection.skipped_messages
            links = self._links[link.node]
            links.remove(link)
            if not links:
                del self._links[link.node]

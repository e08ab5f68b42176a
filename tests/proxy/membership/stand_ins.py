"""Test doubles: a registry that fails in specified ways, and a listener of a discovery client."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket

from fordtrestle.proxy.engine.ports import ServerList, parse_address
from fordtrestle.proxy.membership.discovery_client import DiscoveryClient, DiscoveryOptions
from fordtrestle.proxy.membership.list_format import NameIndices
from tests.loopback import entry, listed, read_message

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


async def until_virtual(condition):
    """Wait for a condition in virtual time."""
    async with asyncio.timeout(60.0):
        while not condition():
            await asyncio.sleep(0.01)


def line(index, *names, snapshot=False):
    """Return one line of a watch, with entries of these names."""
    return json.dumps(listed(index, *map(entry, names), snapshot=snapshot)).encode() + b"\n"


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


class UpdateRecorder:
    """A listener that records the form, version and server names of each update, and the time of the last.

    `react` is called immediately with the form of each update.
    """

    def __init__(self):
        self.updates = []
        self.last_at = 0.0
        self.react = lambda form: None
        self._has_update = asyncio.Event()

    def __call__(self, form, update):
        servers = [row.server for row in update.entries] if update else []
        self.updates.append((form, update and update.version, servers))
        self.last_at = asyncio.get_running_loop().time()
        self._has_update.set()
        self.react(form)

    async def until(self, condition):
        """Wait until the last update meets a condition."""
        async with asyncio.timeout(60.0):
            while not (self.updates and condition(self.updates[-1])):
                self._has_update.clear()
                await self._has_update.wait()

    def since_start(self):
        """Return all updates but the remembered list."""
        is_started = self.updates[:1] and self.updates[0][0] == "remembered"
        return self.updates[1:] if is_started else self.updates

    def versions(self):
        """Return the form and version of each update."""
        return [(form, version) for form, version, _ in self.updates]


def make_client(address, recorder, is_pushed=True, version=41, seed=1):
    """Return a discovery client, not yet started, with the options of a sidecar."""
    known_list = ServerList(version, True, [], {})
    options = DiscoveryOptions(
        parse_address(address), NameIndices({"west": 0}, {}), is_pushed, known_list, seed
    )
    return DiscoveryClient(asyncio.get_running_loop(), options, recorder)


class Outage:
    """A registry that fails in the way `kind` until `end` is called.

    "hangs": a connect never completes; "refuses": it is refused; "mute": it is accepted and never answered;
    "half": only a head and an incomplete line are sent, in small parts; "resets": the connection is reset;
    "busy": the response is 503; "malformed": the response is not a valid list. After `end`, new requests are
    answered after `queue_s`, while earlier requests go on failing.
    """

    def __init__(self, kind, index=50, queue_s=0.0):
        self.kind = kind
        self.index = index
        self.complete_list = line(index, "new", snapshot=True)
        self.queue_s = queue_s
        self.requests = []  # the time and target of each request
        self.has_request = asyncio.Event()
        self.writers = []
        self._fillers = []
        self._sock = socket.socket()
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.bind(("127.0.0.1", 0))
        self.port = self._sock.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        self._server = None

    async def start(self):
        if self.kind == "hangs":
            self._sock.listen(0)
            for _ in range(3):  # the system accepts one; the others hang, like later connects
                filler = socket.socket()
                filler.setblocking(False)
                with contextlib.suppress(BlockingIOError):
                    filler.connect(("127.0.0.1", self.port))
                self._fillers.append(filler)
        elif self.kind != "refuses":
            self._server = await asyncio.start_server(self._serve, sock=self._sock)
        return self

    async def end(self):
        kind, self.kind = self.kind, "well"
        if kind in ("hangs", "refuses"):
            self._sock.close()
            for filler in self._fillers:
                filler.close()
            self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, reuse_address=True)

    async def _serve(self, reader, writer):
        kind = self.kind
        self.writers.append(writer)
        message = await read_message(reader)
        if message is None:
            return
        target = message.start.split(" ")[1]
        self.requests.append((asyncio.get_running_loop().time(), target))
        self.has_request.set()
        with contextlib.suppress(ConnectionError):
            await getattr(self, f"_{kind}")(reader, writer, "watch=1" in target)
        writer.transport.abort()

    async def _well(self, reader, writer, watch):
        await asyncio.sleep(self.queue_s)
        text = self.complete_list
        if not watch:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text))
        else:
            writer.write(HEAD + chunk(text))
            while not reader.at_eof():
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(reader.read(1), 2.0)
                writer.write(chunk(b"\n"))

    async def _mute(self, reader, writer, watch):
        await reader.read()

    async def _half(self, reader, writer, watch):
        writer.write(HEAD)
        while not reader.at_eof():
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(reader.read(1), 0.5)
            writer.write(chunk(b" "))

    async def _resets(self, reader, writer, watch):
        pass

    async def _busy(self, reader, writer, watch):
        writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
        await reader.read()

    async def _malformed(self, reader, writer, watch):
        writer.write(HEAD + chunk(line(self.index - 1, snapshot=True)[:-2] + b"\n"))
        await reader.read()

    def stop(self):
        if self._server is not None:
            self._server.close()
        for writer in self.writers:
            writer.transport.abort()
        for filler in self._fillers:
            filler.close()
        self._sock.close()

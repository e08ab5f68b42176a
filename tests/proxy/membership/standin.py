"""Stand-ins for discovery that fail in stated ways, and for who hears its news."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket

from fordtrestle.proxy.engine.ports import ServerList, parse_address
from fordtrestle.proxy.membership.lists import NameIndices
from fordtrestle.proxy.membership.registry import Discovery, RegistryOptions
from tests.loopback import entry, listed, read_message

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def line(index, *names, snapshot=False):
    """One line of a watch."""
    return json.dumps(listed(index, *map(entry, names), snapshot=snapshot)).encode() + b"\n"


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


class NewsRecorder:
    """Hears the news: what came, and when."""

    def __init__(self):
        self.news = []
        self._came = asyncio.Event()
        self.then = lambda form: None  # what it does about it, at once

    def __call__(self, form, news):
        at = asyncio.get_running_loop().time()
        self.news.append((form, news and news.version, [row.server for row in news.entries] if news else []))
        self.at = at
        self._came.set()
        self.then(form)

    async def until(self, condition):
        """Wait for news that fulfil a condition on the last of them."""
        async with asyncio.timeout(60.0):
            while not (self.news and condition(self.news[-1])):
                self._came.clear()
                await self._came.wait()

    def since_start(self):
        return self.news[1:] if self.news[:1] and self.news[0][0] == "remembered" else self.news


def asking(address, recorder, pushed=True, version=41, seed=1):
    """Discovery as a sidecar has it, not yet started."""
    known = ServerList(version, True, [], {})
    options = RegistryOptions(parse_address(address), NameIndices({"west": 0}, {}), pushed, known, seed)
    return Discovery(asyncio.get_running_loop(), options, recorder)


class Outage:
    """Discovery that can't be reached until `back`, in one way:

    "hangs": a dial never comes up, "refuses": it is refused, "mute": it is taken and never answered,
    "half": only a head and half a line come, bit by bit, "resets": the question is answered by a reset,
    "busy": by 503, "spoilt": by a line that is none. From `back` on new calls are answered after `queue_s`,
    while those of before stay as they were.
    """

    def __init__(self, how, index=50, queue_s=0.0):
        self.how = how
        self.index = index
        self.whole = line(index, "new", snapshot=True)
        self.queue_s = queue_s
        self.asked = []  # when, and for what
        self.first = asyncio.Event()  # question
        self.writers = []
        self._filler = []
        self._sock = socket.socket()
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.bind(("127.0.0.1", 0))
        self.port = self._sock.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        self._server = None

    async def start(self):
        if self.how == "hangs":
            self._sock.listen(0)
            for _ in range(3):  # one is taken by the system; the others hang as the next will
                filler = socket.socket()
                filler.setblocking(False)
                with contextlib.suppress(BlockingIOError):
                    filler.connect(("127.0.0.1", self.port))
                self._filler.append(filler)
        elif self.how != "refuses":
            self._server = await asyncio.start_server(self._serve, sock=self._sock)
        return self

    async def back(self):
        how, self.how = self.how, "well"
        if how in ("hangs", "refuses"):
            self._sock.close()
            for filler in self._filler:
                filler.close()
            self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, reuse_address=True)

    async def _serve(self, reader, writer):
        how = self.how
        self.writers.append(writer)
        message = await read_message(reader)
        if message is None:
            return
        target = message.start.split(" ")[1]
        self.asked.append((asyncio.get_running_loop().time(), target))
        self.first.set()
        with contextlib.suppress(ConnectionError):
            await getattr(self, "_" + how)(reader, writer, "watch=1" in target)
        writer.transport.abort()

    async def _well(self, reader, writer, watch):
        await asyncio.sleep(self.queue_s)
        news = self.whole
        if not watch:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(news), news))
        else:
            writer.write(HEAD + chunk(news))
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

    async def _spoilt(self, reader, writer, watch):
        writer.write(HEAD + chunk(line(self.index - 1, snapshot=True)[:-2] + b"\n"))
        await reader.read()

    def stop(self):
        if self._server is not None:
            self._server.close()
        for writer in self.writers:
            writer.transport.abort()
        for filler in self._filler:
            filler.close()
        self._sock.close()

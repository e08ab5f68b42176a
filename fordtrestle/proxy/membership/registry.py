"""Discovery: a watch that is kept up, and whole lists on demand.

A change has to be taken in 6 s after discovery had it and could be reached, also by who just then had a
call under way that will never be answered, and 6 s after a watch fell silent. The bounds, in seconds; what
is left of the 6 (1 at the least) is for the call that succeeds, which is answered at once:

| what stands in the way                        | pushed                   | asked                   |
| --------------------------------------------- | ------------------------ | ----------------------- |
| a dial that never comes up, then the wait     | 1.25 + 1.0        = 2.25 | 1.25 + 1.5       = 2.75 |
| the same, and 2 s in discovery's queue        |                          | 1.25 + 1.5 + 2.0 = 4.75 |
| a call that is never answered, then the wait  | 2.75 + 1.0        = 3.75 | 2.75 + 1.5       = 4.25 |
| a dial that comes up late and is not answered | 1.25 + 2.75 + 1.0 = 5.0  |                         |
| a watch silent since its last whole line      | 3.5 + 1.0         = 4.5  | 3.5 + 1.5        = 5.0  |

The waits are `BACKOFF_MOST_S` and, where discovery is asked, what the decision module takes to ask again.
There a call that comes up at last stands in discovery's queue, and has 2 s more from when that wait is over.
After a move the whole list is asked for first, within the same bounds, and the watch begins as it is told.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

import httptools

from fordtrestle.proxy.engine.log import log
from fordtrestle.proxy.engine.ports import Address, ServerList
from fordtrestle.proxy.membership.lists import NameIndices, parse_list

PATH = "/registry/instances"
DIAL_S = 1.25  # the system sends a lost first packet again after 1 s
# From when the connection is up to the first whole line, or to the end of a whole list: where discovery
# is asked, a call may wait for 2 s, and a watch that has no news may begin with its heartbeat.
ANSWER_S = 2.75
HEARTBEAT_S = 2.0  # an empty line comes as often
SILENT_S = HEARTBEAT_S + 1.5  # a connection that misses one, by so much, is broken
# The longest wait, jitter included: 200 processes that find nobody there dial 270 times a second.
BACKOFF_S, BACKOFF_MOST_S = 0.1, 1.0
WELL_S = 10.0  # a watch that lived for so long begins anew with the shortest wait; faults this near are one
LINE_MOST = LIST_MOST = 4 * 1024 * 1024
LOGGED_MOST = 200  # of the words for a fault, which may hold what discovery sent
NO_LIST = (ValueError, KeyError, TypeError, AttributeError, ArithmeticError, RecursionError)

News = Callable[[str, ServerList | None], None]


class Channel(asyncio.Protocol):
    """One connection to discovery: its answer is cut into lines as it comes.

    `on_line` says whether a line, empty ones too, shows that it lives: a head, half a line or half a list may
    be all that ever comes.
    `fault`: what was wrong with the answer. Once `broken` is done, nothing more is taken in or passed on.
    """

    def __init__(self, on_line: Callable[[bytes], bool]) -> None:
        self._on_line = on_line
        self._parser = httptools.HttpResponseParser(self)
        self._buffer = bytearray()
        self._transport: asyncio.Transport
        self._loop = asyncio.get_running_loop()
        self._heard = False
        self.begun_at = self.heard_at = self._loop.time()
        self.broken = self._loop.create_future()
        self.complete = False
        self.fault = ""

    @property
    def due_at(self) -> float:
        """When the next whole line has to have come."""
        return self.heard_at + (SILENT_S if self._heard else ANSWER_S)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """It is up; who dialled asks, if it is still wanted."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def ask(self, request: bytes) -> None:
        """Put the one question."""
        self.begun_at = self.heard_at = self._loop.time()
        self._transport.write(request)

    def data_received(self, data: bytes) -> None:
        """A part of the answer; what is no HTTP, no list or refused ends the connection."""
        if self.broken.done():
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.fault = str(error.__context__ or error)
            self.close()

    def eof_received(self) -> bool:
        """The answer is over."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """The connection is gone."""
        self._done()

    def close(self) -> None:
        """Close it at once: nothing more of it is taken in."""
        self._transport.abort()
        self._done()

    def _done(self) -> None:
        if not self.broken.done():
            self.broken.set_result(None)

    # --- called by the parser -----------------------------------------------

    def on_headers_complete(self) -> None:
        """Called by the parser."""
        status = self._parser.get_status_code()
        if status != 200:
            raise ValueError(f"status {status}")

    def on_body(self, data: bytes) -> None:
        """Called by the parser: whole lines are passed on."""
        self._buffer += data
        if len(self._buffer) > LINE_MOST:
            raise ValueError("a line is too long")
        if b"\n" not in data:  # guards against searching a long line anew for each byte of it
            return
        *whole, rest = self._buffer.split(b"\n")
        self._buffer = rest
        for line in whole:
            self._take(line)

    def on_message_complete(self) -> None:
        """Called by the parser: a last line may lack its end."""
        self._take(self._buffer)
        self._buffer = bytearray()
        self.complete = True
        self._done()

    def _take(self, line: bytearray) -> None:
        if not self.broken.done() and self._on_line(bytes(line)):
            self._heard, self.heard_at = True, self._loop.time()


class Lists:
    """The lists of a watch, put together from its lines: one a line, or indented over several.

    `on_list` is called with the text of each.
    """

    def __init__(self, on_list: Callable[[bytes], None]) -> None:
        self._on_list = on_list
        self._kept = bytearray()
        self._depth = 0  # of braces; those in a name are counted, too, and then the list is half for good

    def take(self, line: bytes) -> bool:
        """Take in a line; whether it is a heartbeat or ends a list. `ValueError` where a list can't end."""
        if not line.strip():
            if self._kept:
                raise ValueError("a heartbeat within a list")
            return True
        self._kept += line + b"\n"
        if len(self._kept) > LIST_MOST:
            raise ValueError("the list is too long")
        self._depth += line.count(b"{") - line.count(b"}")
        if self._depth > 0:
            return False
        text, self._kept, self._depth = bytes(self._kept), bytearray(), 0
        self._on_list(text)
        return True


class Call:
    """What one asker has under way: its task, and the connection that it has open.

    Guards against news that are in hand when they are no longer wanted: from `end` on, its connection
    passes nothing on, and the task neither dials nor tells.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, run: Callable[[Call], Coroutine[Any, Any, None]]
    ) -> None:
        self.ended = False
        self.channel: Channel | None = None
        self._task = loop.create_task(run(self))

    def end(self) -> None:
        """Close its connection, and tell nothing more."""
        self.ended = True
        self.close()
        self._task.cancel()

    def close(self) -> None:
        """Close its connection, if it has one."""
        if self.channel is not None:
            self.channel.close()
            self.channel = None


@dataclass(frozen=True, slots=True)
class RegistryOptions:
    """Where discovery is, how it talks, and the list as last held."""

    address: Address
    indices: NameIndices
    pushed: bool
    known: ServerList
    seed: int


class Discovery:
    """The list of servers, as this sidecar is told of it.

    Where lists are pushed, the watch is this class's own affair and is always kept up; where
    discovery is asked, the decision module says when, and hears of each failure.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, options: RegistryOptions, news: News) -> None:
        self._loop = loop
        self._address = options.address
        self._indices = options.indices
        self._pushed = options.pushed
        self._news = news
        self._version = options.known.version
        self._known = options.known
        self._rng = random.Random(options.seed)
        self._watching: Call | None = None
        self._fetches: set[Call] = set()
        self._moved = False  # until the new place has told its whole list
        self._spoilt = False  # a line was: what it said is not known, so the next watch asks for everything
        self._fault_at = -WELL_S  # when discovery was last at fault
        self._closed = False

    def start(self) -> None:
        """Tell of the list as last held, then watch if lists are pushed."""
        self._news("remembered", self._known)
        if self._pushed:
            self._watching = Call(self._loop, self._keep_watch)

    def watch(self, on: bool) -> None:
        """The module asks for changes, or for no more of them."""
        if self._pushed or self._closed:
            return
        if self._watching is not None:
            self._watching.end()
        self._watching = Call(self._loop, self._watch_once) if on else None

    def fetch(self) -> None:
        """The module asks for the whole list once."""
        if not self._closed:
            self._fetches.add(Call(self._loop, self._fetch))

    def move(self, address: Address) -> None:
        """Ask at another place from now on, and at once: what is under way is begun again there.

        Guards against comparing the versions of two places: the new one tells its whole list.
        """
        if self._closed or address == self._address:
            return
        log(f"discovery: moves to {address.host}:{address.port}")
        self._address, self._version, self._moved, self._spoilt = address, 0, True, False
        if self._watching is not None:
            self._watching.end()
            self._watching = Call(self._loop, self._keep_watch if self._pushed else self._watch_once)
        for call in list(self._fetches):
            self._fetches.discard(call)
            call.end()
            self.fetch()

    def close(self) -> None:
        """Stop asking."""
        self._closed = True
        for call in (*self._fetches, *([self._watching] if self._watching else [])):
            call.end()

    async def _keep_watch(self, call: Call) -> None:
        """Watch for as long as this process runs; wait longer after each watch in a row that was short."""
        wait = BACKOFF_S
        while True:
            if await self._watch(call) >= WELL_S:
                wait = BACKOFF_S
            await asyncio.sleep(wait * (0.5 + 0.5 * self._rng.random()))
            wait = min(2.0 * wait, BACKOFF_MOST_S)

    async def _watch_once(self, call: Call) -> None:
        await self._watch(call)
        if not call.ended:
            self._watching = None
            self._news("refused", None)

    async def _watch(self, call: Call) -> float:
        """Watch until the connection ends or falls silent; for how many seconds it was seen to live."""
        try:
            return await self._watch_here(call)
        except Exception as error:  # a dead watch would go on sending to servers that drain
            self._fault(repr(error))
            return 0.0
        finally:
            call.close()

    async def _watch_here(self, call: Call) -> float:
        if self._moved:
            news = await self._list(call)
            if news is None:
                return 0.0
            self._tell("all", news)
        since = 0 if self._spoilt else self._version
        channel = await self._open(call, f"{PATH}?watch=1&from={since}", Lists(self._changed).take)
        if channel is None:
            return 0.0
        # Guards against a machine that is cut off: its connections stay open and silent.
        while not channel.broken.done() and (left := channel.due_at - self._loop.time()) > 0.0:
            await asyncio.wait((channel.broken,), timeout=left)
        if channel.fault:
            self._fault(channel.fault)
        return channel.heard_at - channel.begun_at

    async def _fetch(self, call: Call) -> None:
        try:
            news = await self._list(call)
        finally:
            self._fetches.discard(call)
        if news is None:
            self._news("refused", None)
        else:
            self._tell("all", news)

    async def _list(self, call: Call) -> ServerList | None:
        """The whole list, or None where the call fails."""
        got = bytearray()

        def take(line: bytes) -> bool:
            got.extend(line + b"\n")
            if len(got) > LIST_MOST:
                raise ValueError("the list is too long")
            return True

        channel = await self._open(call, PATH, take)
        try:
            if channel is not None:
                await asyncio.wait((channel.broken,), timeout=ANSWER_S)
            if channel is None or not channel.complete:
                raise ValueError((channel and channel.fault) or "the call failed")
            news = parse_list(json.loads(got), self._indices)
            if news.version < self._version:
                raise ValueError("the list is older than the one held")
        except NO_LIST as error:
            self._fault(str(error))
            return None
        finally:
            call.close()
        return news

    async def _open(self, call: Call, target: str, on_line: Callable[[bytes], bool]) -> Channel | None:
        """Dial and ask; None where it does not come up, or is no longer wanted."""
        if call.ended:
            return None
        host = f"{self._address.host}:{self._address.port}"
        try:
            async with asyncio.timeout(DIAL_S):
                _, channel = await self._loop.create_connection(
                    lambda: Channel(on_line), self._address.host, self._address.port
                )
        except (OSError, ValueError):  # nobody there, no descriptor is left, or no name of a machine
            return None
        call.channel = channel
        channel.ask(f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
        return channel

    def _changed(self, text: bytes) -> None:
        """One list of a watch; `ValueError` ends it, and the next one brings the whole list."""
        try:
            news = parse_list(json.loads(text), self._indices)
        except NO_LIST as error:
            self._spoilt = True
            raise ValueError(f"not a list: {error}") from error
        if news.is_complete:
            self._tell("all", news)
        elif news.version >= self._version:
            # The version held may come again, with no entries: it answers who asked for a watch.
            self._tell("changes", news)
        # Older changes were told already: by a list asked for meanwhile.

    def _tell(self, form: str, news: ServerList) -> None:
        self._version, self._spoilt = news.version, False
        if form == "all":
            self._moved = False
        self._news(form, news)

    def _fault(self, what: str) -> None:
        """A line in the log at the first of faults that come one soon after the other."""
        now = self._loop.time()
        if now - self._fault_at >= WELL_S:
            log(f"discovery: {what[:LOGGED_MOST]}")
        self._fault_at = now

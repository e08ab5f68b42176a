"""Stand-in discovery: the whole list, and watches that are told what changes."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import json
import random
import time
from collections.abc import Callable, Sequence
from typing import Any
from urllib.parse import parse_qs, urlsplit

from rig.ledger import Notification

HEARTBEAT_S = 2.0
HEAD_S = 5.0  # for the head of a question
HEAD_MOST = 16 * 1024
CONNECTIONS_MOST = 256
HISTORY_MOST = 10_000  # changes that are kept; who asks for older ones gets the whole list
SILENT_MOST_S = 600.0
SILENT_POLL_S = 0.02
SPREAD_MS = (22.0, 110.0)  # from a change to when it reaches one sidecar's agent

Entry = dict[str, Any]


def entry(name: str, address: str, **changes: Any) -> Entry:
    """One server of a list, in discovery's form."""
    row: Entry = {"name": name, "address": address, "zone": "west", "type": "small", "group": 3}
    return {**row, "status": "active", "weight": 1.0, "since_ms": 0, **changes}


def entries(addresses: list[str]) -> list[Entry]:
    """A fleet's servers as s0, s1 and on."""
    return [entry(f"s{number}", address) for number, address in enumerate(addresses)]


def listed(index: int, rows: list[Entry], snapshot: bool = True) -> dict[str, Any]:
    """A list in discovery's form."""
    return {"index": index, "snapshot": snapshot, "endpoints": rows}


class Registry:
    """Discovery in the process of its owner: it does next to nothing.

    `silent`: it takes connections and says nothing. `wrote` is told each row that is written to anybody.
    """

    def __init__(
        self, rows: list[Entry], index: int = 41, wrote: Callable[[Entry], None] | None = None
    ) -> None:
        self.silent = False
        self._wrote = wrote
        self._rows = {row["name"]: row for row in rows}
        self._index = index
        self._oldest = index
        self._history: list[tuple[int, Entry]] = []
        self._watches: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self.address = ""
        self.fetches = 0
        self.watches = 0

    async def start(self) -> Registry:
        """Listen on a port that the system chooses."""
        self._server = await asyncio.start_server(self._take, "127.0.0.1", 0, limit=HEAD_MOST)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def stop(self) -> None:
        """End all watches."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def snapshot(self) -> dict[str, Any]:
        """The whole list as it stands."""
        return listed(self._index, list(self._rows.values()))

    def change(self, *rows: Entry) -> None:
        """Tell all watches of entries that have changed; one that has left is forgotten."""
        self._index += 1
        for row in rows:
            self._history.append((self._index, row))
            if row["status"] == "left":
                self._rows.pop(row["name"], None)
            else:
                self._rows[row["name"]] = row
        if len(self._history) > HISTORY_MOST:
            self._oldest = self._history[-HISTORY_MOST][0]
            self._history = [item for item in self._history if item[0] > self._oldest]
        for writer in self._watches:
            self._tell(writer, listed(self._index, list(rows), snapshot=False))

    def _tell(self, writer: asyncio.StreamWriter, news: dict[str, Any]) -> None:
        _chunk(writer, json.dumps(news, separators=(",", ":")).encode() + b"\n")
        self._note(news)

    def _note(self, news: dict[str, Any]) -> None:
        if self._wrote is not None:
            for row in news["endpoints"]:
                self._wrote(row)

    async def _while_silent(self) -> None:
        """Wait until it speaks; `TimeoutError` if that takes too long."""
        async with asyncio.timeout(SILENT_MOST_S):
            while self.silent:
                await asyncio.sleep(SILENT_POLL_S)

    async def _take(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        if len(self._tasks) >= CONNECTIONS_MOST:
            writer.transport.abort()
            return
        self._tasks.add(task)
        try:
            await self._serve(reader, writer)
        except (OSError, EOFError, TimeoutError, ValueError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            pass  # it is stopped, and the stream's own callback would log that as a fault
        finally:
            self._tasks.discard(task)
            self._watches.discard(writer)
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            async with asyncio.timeout(60.0):
                first = await reader.readuntil(b"\r\n")
            async with asyncio.timeout(HEAD_S):
                while await reader.readuntil(b"\r\n") != b"\r\n":
                    pass
            where = urlsplit(first.decode("latin-1").split(" ")[1])
            asked = parse_qs(where.query)
            await self._while_silent()
            if where.path != "/registry/instances":
                writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            elif asked.get("watch") == ["1"]:
                await self._watch(reader, writer, int(asked.get("from", ["0"])[0]))
                return
            else:
                self.fetches += 1
                body = json.dumps(self.snapshot()).encode()
                self._note(self.snapshot())
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
            async with asyncio.timeout(HEAD_S):
                await writer.drain()

    async def _watch(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, since: int) -> None:
        """Tell what changed since a version, then what changes; an empty line each 2 s."""
        self.watches += 1
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        if self._oldest <= since <= self._index:
            newest = {row["name"]: row for index, row in self._history if index > since}
            self._tell(writer, listed(self._index, list(newest.values()), snapshot=False))
        else:
            self._tell(writer, self.snapshot())
        self._watches.add(writer)
        while not reader.at_eof():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(HEARTBEAT_S):
                    await reader.read(HEAD_MOST)
                    continue
            if self.silent:
                continue
            _chunk(writer, b"\n")
            async with asyncio.timeout(HEAD_S):
                await writer.drain()


def _chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(b"%x\r\n%b\r\n" % (len(data), data))


class Board:
    """Discovery for many sidecars: one truth, and an agent at each sidecar that hears of it late.

    `notifications` holds, for each change and sidecar, when it changed and when it was written to the
    sidecar, on the loop's clock. `watched`: sidecars watch their agents; else they read `list_at`, and
    what an agent hears is told.
    """

    def __init__(
        self, rows: Sequence[Entry], sidecars: Sequence[str], seed: int = 1, watched: bool = True
    ) -> None:
        self._watched = watched
        self._rows = {row["name"]: dict(row) for row in rows}
        self._rng = random.Random(f"board/{seed}")
        self._loop = asyncio.get_running_loop()
        self._pending: list[tuple[str, Entry]] = []  # while it is silent
        self._timers: set[asyncio.TimerHandle] = set()
        # The index in `notifications` of what is not yet written.
        self._open: dict[tuple[str, str, str, int], int] = {}
        self._due_s: dict[str, float] = {}
        self.agents = {
            name: Registry([dict(row) for row in rows], wrote=functools.partial(self._written, name))
            for name in sidecars
        }
        self.notifications: list[Notification] = []
        self.delay_ms = 0.0
        self.silent = False

    async def start(self) -> Board:
        """All agents listen."""
        for agent in self.agents.values():
            await agent.start()
        return self

    async def stop(self) -> None:
        """End all watches."""
        for timer in self._timers:
            timer.cancel()
        for agent in self.agents.values():
            await agent.stop()

    def started(self, server: str) -> None:
        """A server has just started, which the list tells with its next change."""
        self._rows[server]["since_ms"] = int(time.time() * 1000.0)

    def change(self, server: str, status: str) -> None:
        """A server is `active`, `leaving` or `left` from now on."""
        row = self._rows[server]
        row["status"] = status
        now_s = self._loop.time()
        for name in self.agents:
            self._open[name, server, status, row["since_ms"]] = len(self.notifications)
            self.notifications.append(Notification(name, server, status, now_s, None, row["since_ms"]))
            late_s = (self._rng.uniform(*SPREAD_MS) + self.delay_ms) / 1000.0
            # In order: news of a server never overtake older ones on their way to one agent.
            at_s = self._due_s[name] = max(now_s + late_s, self._due_s.get(name, 0.0))
            self._later(at_s, self._deliver, name, dict(row))

    def hush(self, silent: bool) -> None:
        """Say nothing to anybody, or tell all that was held back meanwhile."""
        self.silent = silent
        for agent in self.agents.values():
            agent.silent = silent
        if not silent:
            pending, self._pending = self._pending, []
            for name, row in pending:
                self._hear(name, row)

    def list_at(self, sidecar: str) -> list[Entry]:
        """The list as a sidecar's agent has it."""
        return list(self.agents[sidecar].snapshot()["endpoints"])

    def _later(self, at_s: float, what: Callable[..., None], *args: Any) -> None:
        def run() -> None:
            self._timers.discard(timer)
            what(*args)

        timer = self._loop.call_at(at_s, run)
        self._timers.add(timer)

    def _deliver(self, name: str, row: Entry) -> None:
        if self.silent:
            self._pending.append((name, row))
        else:
            self._hear(name, row)

    def _hear(self, name: str, row: Entry) -> None:
        self.agents[name].change(row)
        if not self._watched:
            self._written(name, row)

    def _written(self, name: str, row: Entry) -> None:
        index = self._open.pop((name, row["name"], row["status"], row["since_ms"]), None)
        if index is not None:
            old = self.notifications[index]
            self.notifications[index] = Notification(
                old.sidecar, old.server, old.status, old.changed_s, self._loop.time(), old.since_ms
            )

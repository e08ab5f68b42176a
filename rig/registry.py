"""Stand-in for discovery: whole lists, and watches that receive changes."""

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
REQUEST_HEAD_TIMEOUT_S = 5.0  # also for writing an answer
MAX_HEAD_BYTES = 16 * 1024
MAX_CONNECTIONS = 256
MAX_HISTORY = 10_000  # stored changes; a watch from an older one gets the whole list
MAX_SILENT_S = 600.0
SILENT_POLL_S = 0.02
SPREAD_MS = (22.0, 110.0)  # bounds of the delay of a change to the agent of a sidecar

Entry = dict[str, Any]


def entry(name: str, address: str, **changes: Any) -> Entry:
    """Return the entry of a server in the format of discovery."""
    row: Entry = {"name": name, "address": address, "zone": "west", "type": "small", "group": 3}
    return {**row, "status": "active", "weight": 1.0, "since_ms": 0, **changes}


def entries(addresses: list[str]) -> list[Entry]:
    """Return entries for servers named s0, s1 and so on."""
    return [entry(f"s{number}", address) for number, address in enumerate(addresses)]


def listed(index: int, rows: list[Entry], snapshot: bool = True) -> dict[str, Any]:
    """Return a list in the format of discovery."""
    return {"index": index, "snapshot": snapshot, "endpoints": rows}


class Registry:
    """Minimal discovery server in the process of its owner.

    If `silent` is set, it accepts connections but does not answer. `wrote` is called with each row that is
    written to a client.
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
        """Listen on a port assigned by the system."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0, limit=MAX_HEAD_BYTES)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def stop(self) -> None:
        """Stop listening and end all watches."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def snapshot(self) -> dict[str, Any]:
        """Return the current list."""
        return listed(self._index, list(self._rows.values()))

    def change(self, *rows: Entry) -> None:
        """Apply changed entries and send them to all watches; an entry that has left is removed."""
        self._index += 1
        for row in rows:
            self._history.append((self._index, row))
            if row["status"] == "left":
                self._rows.pop(row["name"], None)
            else:
                self._rows[row["name"]] = row
        if len(self._history) > MAX_HISTORY:
            self._oldest = self._history[-MAX_HISTORY][0]
            self._history = [item for item in self._history if item[0] > self._oldest]
        for writer in self._watches:
            self._send(writer, listed(self._index, list(rows), snapshot=False))

    def _send(self, writer: asyncio.StreamWriter, news: dict[str, Any]) -> None:
        _chunk(writer, json.dumps(news, separators=(",", ":")).encode() + b"\n")
        self._report_rows(news)

    def _report_rows(self, news: dict[str, Any]) -> None:
        if self._wrote is not None:
            for row in news["endpoints"]:
                self._wrote(row)

    async def _while_silent(self) -> None:
        """Wait while `silent` is set.

        Raises:
            TimeoutError: If it is set for longer than `MAX_SILENT_S`.
        """
        async with asyncio.timeout(MAX_SILENT_S):
            while self.silent:
                await asyncio.sleep(SILENT_POLL_S)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        if len(self._tasks) >= MAX_CONNECTIONS:
            writer.transport.abort()
            return
        self._tasks.add(task)
        try:
            await self._serve(reader, writer)
        except (OSError, EOFError, TimeoutError, ValueError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            pass  # stopped; the callback of the stream would log the cancellation as an error
        finally:
            self._tasks.discard(task)
            self._watches.discard(writer)
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            async with asyncio.timeout(60.0):
                first = await reader.readuntil(b"\r\n")
            async with asyncio.timeout(REQUEST_HEAD_TIMEOUT_S):
                while await reader.readuntil(b"\r\n") != b"\r\n":
                    pass
            url = urlsplit(first.decode("latin-1").split(" ")[1])
            query = parse_qs(url.query)
            await self._while_silent()
            if url.path != "/registry/instances":
                writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            elif query.get("watch") == ["1"]:
                await self._watch(reader, writer, int(query.get("from", ["0"])[0]))
                return
            else:
                self.fetches += 1
                body = json.dumps(self.snapshot()).encode()
                self._report_rows(self.snapshot())
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
            async with asyncio.timeout(REQUEST_HEAD_TIMEOUT_S):
                await writer.drain()

    async def _watch(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, since: int) -> None:
        """Send the changes since a version and then new ones, with an empty line every 2 s as a heartbeat."""
        self.watches += 1
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        if self._oldest <= since <= self._index:
            newest = {row["name"]: row for index, row in self._history if index > since}
            self._send(writer, listed(self._index, list(newest.values()), snapshot=False))
        else:
            self._send(writer, self.snapshot())
        self._watches.add(writer)
        while not reader.at_eof():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(HEARTBEAT_S):
                    await reader.read(MAX_HEAD_BYTES)
                    continue
            if self.silent:
                continue
            _chunk(writer, b"\n")
            async with asyncio.timeout(REQUEST_HEAD_TIMEOUT_S):
                await writer.drain()


def _chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(b"%x\r\n%b\r\n" % (len(data), data))


class Board:
    """Discovery for many sidecars: one list, and an agent for each sidecar that receives it with a delay.

    `notifications` has an entry for each change and sidecar, with the times of the change and of its writing
    to the sidecar on the clock of the event loop. If `watched` is set, sidecars watch their agents. Otherwise
    they read `list_at`, and a change counts as written once its agent receives it.
    """

    def __init__(
        self, rows: Sequence[Entry], sidecars: Sequence[str], seed: int = 1, watched: bool = True
    ) -> None:
        self._watched = watched
        self._rows = {row["name"]: dict(row) for row in rows}
        self._rng = random.Random(f"board/{seed}")
        self._loop = asyncio.get_running_loop()
        self._pending: list[tuple[str, Entry]] = []  # changes held back while `silent` is set
        self._timers: set[asyncio.TimerHandle] = set()
        # Index in `notifications` of each change that is not yet written.
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
        """Start all agents."""
        for agent in self.agents.values():
            await agent.start()
        return self

    async def stop(self) -> None:
        """Cancel pending changes and stop all agents."""
        for timer in self._timers:
            timer.cancel()
        for agent in self.agents.values():
            await agent.stop()

    def started(self, server: str) -> None:
        """Set the start time of a server to now; its next change carries that."""
        self._rows[server]["since_ms"] = int(time.time() * 1000.0)

    def change(self, server: str, status: str) -> None:
        """Set the status of a server to `active`, `leaving` or `left`."""
        row = self._rows[server]
        row["status"] = status
        now_s = self._loop.time()
        for name in self.agents:
            self._open[name, server, status, row["since_ms"]] = len(self.notifications)
            self.notifications.append(Notification(name, server, status, now_s, None, row["since_ms"]))
            delay_s = (self._rng.uniform(*SPREAD_MS) + self.delay_ms) / 1000.0
            # In order: a change never overtakes an earlier one on its way to the same agent.
            at_s = self._due_s[name] = max(now_s + delay_s, self._due_s.get(name, 0.0))
            self._later(at_s, self._deliver, name, dict(row))

    def hush(self, silent: bool) -> None:
        """Make all agents silent, or resume them and deliver the changes held back."""
        self.silent = silent
        for agent in self.agents.values():
            agent.silent = silent
        if not silent:
            pending, self._pending = self._pending, []
            for name, row in pending:
                self._apply(name, row)

    def list_at(self, sidecar: str) -> list[Entry]:
        """Return the list of the agent of a sidecar."""
        return list(self.agents[sidecar].snapshot()["endpoints"])

    def _later(self, at_s: float, callback: Callable[..., None], *args: Any) -> None:
        def run() -> None:
            self._timers.discard(timer)
            callback(*args)

        timer = self._loop.call_at(at_s, run)
        self._timers.add(timer)

    def _deliver(self, name: str, row: Entry) -> None:
        if self.silent:
            self._pending.append((name, row))
        else:
            self._apply(name, row)

    def _apply(self, name: str, row: Entry) -> None:
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

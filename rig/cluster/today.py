"""A cluster of today's sidecars: nodes that hear one registry through links, servers, callers, what all did.

The program is unchanged and tells nothing of its rules: what a node acted on is seen from outside. A request
that a server gets from a node is an act on the server's being active; the first pick of a node after the news
that a server leaves has reached it is an act on that news.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
import random
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from rig.cluster.checkers import Span, contradictions
from rig.cluster.history import Acted, Event
from rig.cluster.links import Address, Player, Relay
from rig.cluster.nodes import Node, Processes
from rig.cluster.schedules import Link, Schedule, names
from rig.helper import ROOT
from rig.registry import Registry, entries, listed

REGISTRY = "registry"
LIST, SETTINGS = "list:", "settings"
ACTIVE, LEAVING = 1, 2  # versions of what the list says of one server
CALL_EVERY_S = 0.1
CALL_S = 3.0
HEAD_MOST = 16 * 1024
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
ACTS_MOST = 2_000_000
SEEN_MS = 50.0  # error of what is seen from outside: a send may have been begun so long before it came
START_AT_ONCE = 8  # nodes that start side by side


@dataclass
class Seen:
    """What was seen from outside."""

    events: list[Event] = field(default_factory=list)
    picks: list[tuple[float, str, str]] = field(default_factory=list)  # ms, node and server
    told: dict[tuple[str, str], float] = field(default_factory=dict)  # when a server's leaving reached a node
    answers: Counter[str] = field(default_factory=Counter)


class Server:
    """A server that answers at once, and notes who asked."""

    def __init__(self, name: str, seen: Seen) -> None:
        self.name = name
        self._seen = seen

    async def start(self) -> Server:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=HEAD_MOST)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    def stop(self) -> None:
        """Listen no more."""
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError, EOFError, ValueError, asyncio.LimitOverrunError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                node = _field(head, b"x-call-id").partition("-")[0]
                if len(self._seen.picks) < ACTS_MOST:
                    self._seen.picks.append((loop.time() * 1000.0, node, self.name))
                writer.write(ANSWER)
                await writer.drain()
        writer.transport.abort()


def _field(head: bytes, name: bytes) -> str:
    for line in head.split(b"\r\n"):
        key, _, value = line.partition(b":")
        if key.lower() == name:
            return value.strip().decode("latin-1")
    return ""


def config(
    number: int, nodes: int, discovery: Address, known: Sequence[dict[str, Any]], life: int = 0
) -> dict[str, Any]:
    """What a node of today's program is told."""
    return {
        "discovery": f"{discovery[0]}:{discovery[1]}",
        "seed": f"{number:04x}{life:04x}",
        "known": listed(1, list(known)),
        "limits": {"cores": 1.0, "memory_mb": 96, "sockets": 256},
        "settings": {
            "Profiles": [{"Name": "look", "Semantics": "pure", "Objective": 500.0, "Deadline": 2000.0}],
            "FailureDomains": ["west"],
            "Kinds": ["small"],
            "Tenants": [{"Name": "site", "AllowancePerS": 5000.0}],
            "Discovery": "automatic",
            "PolicyLimits": {
                "MaxAttempts": 3, "ConnectTimeout": 250.0, "IdleClose": 5000.0, "RetryAfter": True,
            },
            "Rules": {"StopSendingWithin": 500.0},
            "Me": number,
            "Balancers": nodes,
        },
    }  # fmt: skip


class Today:
    """A cluster that is ready: `play` a schedule on it, then read what was seen."""

    def __init__(self, count: int, seed: int, servers: int = 12, tree: Path = ROOT) -> None:
        self._tree = tree
        self._seed = seed
        self.names = names(count)
        self.seen = Seen()
        self.servers = [Server(f"s{number}", self.seen) for number in range(servers)]
        self.relay = Relay(seed)
        self.nodes: dict[str, Node] = {}
        self.settings_of: dict[str, int] = dict.fromkeys(self.names, 1)  # version that each was started with
        self._asking: list[asyncio.Task[None]] = []

    async def start(self, asking: bool = True) -> Today:
        """All servers, links and nodes, and callers where they are to ask at once."""
        self.relay.start()
        self.relay.watch = self._carried
        rows = entries([(await server.start()).address for server in self.servers])
        self.registry = await Registry(rows).start()
        host, _, port = self.registry.address.rpartition(":")
        for number, name in enumerate(self.names):
            told = await self.relay.tcp(name, REGISTRY, (host, int(port)))
            made = functools.partial(config, number, len(self.names), told, rows)
            self.nodes[name] = Node(number, made, self._tree)
        gate = asyncio.Semaphore(START_AT_ONCE)

        async def begin(node: Node) -> None:
            async with gate:
                await node.start()

        async with asyncio.TaskGroup() as group:
            for node in self.nodes.values():
                group.create_task(begin(node))
        if asking:
            self.ask()
        return self

    def ask(self) -> None:
        """Each node is asked ten times a second from now on."""
        self._asking = [asyncio.create_task(self._ask(node)) for node in self.nodes.values()]

    async def stop(self) -> None:
        """End all; no process outlives it."""
        for task in self._asking:
            task.cancel()
        await asyncio.gather(*self._asking, return_exceptions=True)
        await asyncio.gather(*(node.stop() for node in self.nodes.values()))
        await self.registry.stop()
        await self.relay.stop()
        for server in self.servers:
            server.stop()

    # --- callers -------------------------------------------------------------------

    async def _ask(self, node: Node) -> None:
        """Ask a node again and again; one connection, a new one where that breaks."""
        rng = random.Random(f"{self._seed}/caller/{node.name}")
        number = 0
        await asyncio.sleep(rng.random() * CALL_EVERY_S)
        while True:
            reader: asyncio.StreamReader | None = None
            writer: asyncio.StreamWriter | None = None
            try:
                async with asyncio.timeout(CALL_S):
                    reader, writer = await asyncio.open_connection(*node.address)
                while True:
                    number += 1
                    async with asyncio.timeout(CALL_S):
                        self.seen.answers[await _call(reader, writer, f"{node.name}-{number}")] += 1
                    await asyncio.sleep(CALL_EVERY_S * rng.uniform(0.8, 1.2))
            except (OSError, EOFError, TimeoutError, ValueError):
                self.seen.answers["none"] += 1
                await asyncio.sleep(CALL_EVERY_S)
            finally:
                if writer is not None:
                    writer.transport.abort()

    # --- what happens --------------------------------------------------------------

    def leave(self, server: int) -> None:
        """The registry tells that a server leaves."""
        row = next(row for row in self.registry.told()["endpoints"] if row["name"] == f"s{server}")
        self.registry.change({**row, "status": "leaving"})

    def _carried(self, src: str, dst: str, data: bytes) -> None:
        if src != REGISTRY or b"leaving" not in data:
            return
        now_ms = asyncio.get_running_loop().time() * 1000.0
        for server in self.servers:
            name = b'"name":"%b"' % server.name.encode()
            if any(name in part and b"leaving" in part for part in data.split(b"}")):
                self.seen.told.setdefault((dst, server.name), now_ms)

    async def restart_with_settings(self, name: str, version: int) -> None:
        """What today a change of settings takes: a stop and a start."""
        node = self.nodes[name]
        await node.kill()
        self.settings_of[name] = version
        await node.start()

    async def play(self, schedule: Schedule, leave_at_ms: Mapping[int, int]) -> None:
        """Play a schedule to its length; at those times the registry tells of servers that leave."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        timers = [
            loop.call_later(at_ms / 1000.0, self.leave, server) for server, at_ms in leave_at_ms.items()
        ]
        links = Player(self.relay, [step for step in schedule.steps if isinstance(step, Link)])
        processes = Processes(self.nodes, schedule.steps)
        try:
            async with asyncio.timeout(schedule.head.length_ms / 1000.0 + 60.0):
                await asyncio.gather(links.run(), processes.run())
                await asyncio.sleep(max(0.0, began + schedule.head.length_ms / 1000.0 - loop.time()))
        finally:
            for timer in timers:
                timer.cancel()

    # --- what was seen -------------------------------------------------------------

    def history(self) -> list[Event]:
        """All acts on what the list says of servers, in the order of their times; error `SEEN_MS`."""
        numbers: Counter[str] = Counter()
        made: list[Event] = []
        waiting: dict[str, list[tuple[float, str]]] = {}
        for (node, server), at_ms in sorted(self.seen.told.items(), key=lambda row: row[1]):
            waiting.setdefault(node, []).append((at_ms, server))
        for at_ms, node, server in sorted(self.seen.picks):
            news = waiting.get(node, [])
            while news and news[0][0] + SEEN_MS < at_ms:
                _, gone = news.pop(0)
                numbers[node] += 1
                made.append(Acted(node, numbers[node], at_ms, LIST + gone, LEAVING, what="pick without"))
            numbers[node] += 1
            made.append(Acted(node, numbers[node], at_ms, LIST + server, ACTIVE))
        return made

    def longest(self) -> list[Span]:
        """The longest contradiction for each server's entry, longest first."""
        return contradictions(self.history())


async def _call(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, call: str) -> str:
    """Ask once; `served`, `refused` or `failed`."""
    writer.write(
        b"GET /look HTTP/1.1\r\nHost: rig\r\nX-Call-Id: %b\r\nX-Call-Class: look\r\nX-Caller: site\r\n"
        b"X-Budget: 2000m\r\n\r\n" % call.encode()
    )
    head = await reader.readuntil(b"\r\n\r\n")
    await reader.readexactly(int(_field(head, b"content-length") or 0))
    status = int(head.split(b" ", 2)[1])
    return "served" if status == 200 else "refused" if status in (429, 503) else "failed"

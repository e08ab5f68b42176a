"""Servers that note what they get and made, clients of every class, and a judge of the rules between them.

The judge reads the settings alone. Time limits are widened by how late this loop ran at its worst, so that
no verdict rests on the machine's speed.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from dataclasses import dataclass, field

from tests.loopback import App, entry, read_message

SOCKETS_S = 0.05  # by which each limit is wider on sockets
LOST_S = 0.5  # past its time a request that has no answer still is lost
TURNS = 4  # of the loop, in which an end that came before a request is read too
TICK_S = 0.005
STRAY = b"stray: made for nobody"


class Lag:
    """How late the loop ran at its worst."""

    def __init__(self):
        self.worst_s = 0.0

    async def watch(self):
        while True:
            due = asyncio.get_running_loop().time() + TICK_S
            await asyncio.sleep(TICK_S)
            self.worst_s = max(self.worst_s, asyncio.get_running_loop().time() - due)


@dataclass(eq=False)
class Got:
    """One request as a server read it."""

    call: str
    server: Server
    at: float
    reader: asyncio.StreamReader
    ran: bool = True  # or may have, for all that its sidecar can know
    ended: bool = False
    beside: list[Got] = field(default_factory=list)  # earlier attempts that were out then

    @property
    def out(self):
        gone = self.reader._eof or self.reader.exception() is not None
        return not self.ended and not gone


class Server:
    """A server; `behave(reader, writer, got)` answers, and closes or leaves it open."""

    names = itertools.count()

    def __init__(self, site, name, behave, **listed):
        self.site, self.name, self.behave, self.listed = site, name, behave, listed
        self.writers = []
        self.connections = 0
        self.made = {}  # by call, the bodies of whole answers

    @property
    def zone(self):
        return self.listed.get("zone", "east")

    @property
    def cell(self):
        return self.listed.get("group", 3)

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    def row(self):
        return entry(self.name, self.address, **self.listed)

    async def _serve(self, reader, writer):
        self.connections += 1
        self.writers.append(writer)
        with contextlib.suppress(ConnectionError):
            await getattr(self.behave, "at_connection", self._requests)(reader, writer)
        writer.close()

    async def _requests(self, reader, writer):
        while (message := await read_message(reader)) is not None:
            got = self.site.note(self, message, reader)
            for _ in range(TURNS):
                await asyncio.sleep(0)
            # One that is given up by now was so before it was read: it stands beside none.
            got.beside = [
                other for other in self.site.of(got.call) if other is not got and other.out and got.out
            ]
            await self.behave(reader, writer, got)
            if writer.is_closing():
                return

    def body(self, got):
        """One that is made for this attempt alone."""
        made = f"{got.call} by {self.name}, {next(self.names)}".encode()
        self.made.setdefault(got.call, []).append(made)
        return made

    def stop(self):
        self._server.close()
        for writer in self.writers:
            writer.transport.abort()


@dataclass
class Asked:
    """One request as its client saw it."""

    call: str
    kind: dict
    sent: float
    budget_s: float
    status: int | None = None
    body: bytes = b""
    ended: float = 0.0
    more: bytes = b""


class Site:
    """Servers, clients and what each saw."""

    def __init__(self, settings):
        self.settings = settings
        self.kinds = settings["Profiles"]
        self.servers = []
        self.got = []
        self.asked = []
        self.lag = Lag()
        self._numbers = itertools.count()

    async def add(self, name, behave, **listed):
        self.servers.append(await Server(self, name, behave, **listed).start())

    def known(self):
        return {"index": 41, "snapshot": True, "endpoints": [server.row() for server in self.servers]}

    def note(self, server, message, reader):
        got = Got(message.headers["x-call-id"], server, asyncio.get_running_loop().time(), reader)
        self.got.append(got)
        return got

    def of(self, call):
        return [got for got in self.got if got.call == call]

    async def ask(self, address, kind, budget_s, app=None):
        """One request of a class, on a connection of its own or a client's; its fate is noted."""
        number = next(self._numbers)
        row = Asked(f"call-{number}", kind, asyncio.get_running_loop().time(), budget_s)
        self.asked.append(row)
        own = app is None
        app = app or await App.connect(address)
        tenants = self.settings.get("Tenants") or ()
        headers = {
            "X_Call_Id": row.call,
            "X_Caller": tenants[number % len(tenants)]["Name"] if tenants else None,
            "X_Budget": f"{budget_s * 1000.0:.0f}m",
            "Idempotency_Key": f"key-{number}" if kind["Semantics"] == "token" else None,
        }
        safe = kind["Semantics"] == "pure"
        answer = await app.ask(
            "GET" if safe else "POST", f"/{kind['Name']}", b"" if safe else b"x" * 40, **headers
        )
        row.ended = asyncio.get_running_loop().time()
        if answer is not None:
            row.status, row.body = int(answer.start.split(" ")[1]), answer.body
        row.more = bytes(app.reader._buffer)
        if own:
            app.close()
        return row

    def stop(self):
        for server in self.servers:
            server.stop()

    # --- the judge ----------------------------------------------------------------

    def broken(self):
        """What broke a rule, a line each."""
        return [
            f"{row.call} ({row.kind['Semantics']}): {what}" for row in self.asked for what in self._wrong(row)
        ]

    def _wrong(self, row):
        attempts = self.of(row.call)
        slack_s = SOCKETS_S + 3.0 * self.lag.worst_s
        if row.status is None:
            yield "no answer"
            return
        if row.more:
            yield f"more than one answer: {row.more[:60]!r}"
        if row.ended - row.sent > row.budget_s + LOST_S + slack_s:
            yield f"answered {row.status} {row.ended - row.sent:.3f} s after it was sent"
        if row.status == 200 and row.body not in [b for s in self.servers for b in s.made.get(row.call, ())]:
            yield f"served what no server made for it: {row.body[:60]!r}"
        if row.status not in (200, 429, 502, 503, 504):
            yield f"answered {row.status}"
        limits = self.settings.get("PolicyLimits") or {}
        if len(attempts) > limits.get("MaxAttempts", 1):
            yield f"{len(attempts)} attempts"
        if not limits.get("ParallelTries") and any(got.beside for got in attempts):
            yield "two attempts out at a time"
        yield from self._doubled(row, attempts, slack_s)

    def _doubled(self, row, attempts, slack_s):
        kind = row.kind
        before = []  # attempts that may have run
        for got in attempts:
            if before and kind["Semantics"] == "side_effect":
                yield "sent again though it may have run"
            if kind["Semantics"] == "token":
                for first in before:
                    if not _same_group(kind.get("Group", "cell"), first.server, got.server):
                        yield f"sent to {got.server.name} after {first.server.name}, of another group"
                    if got.at - first.at > kind.get("KeyTtl", 0.0) / 1000.0 + slack_s:
                        yield f"sent again after {got.at - first.at:.3f} s"
            if got.ran or got.out:
                before.append(got)
        repeats = kind["Semantics"] == "pure" or (kind["Semantics"] == "token" and kind.get("Group") == "all")
        if before and row.status in (429, 503) and not repeats:
            yield f"refused ({row.status}) though it may have run"


def _same_group(group, one, other):
    if group == "all":
        return True
    return one.zone == other.zone if group == "zone" else one.cell == other.cell


# --- how servers behave -----------------------------------------------------------


def ok(body, *headers):
    rows = b"".join(b"%b\r\n" % header for header in headers)
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%b\r\n%b" % (len(body), rows, body)


REJECTED = b"HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"


async def serve(reader, writer, got):
    """As it should be."""
    writer.write(ok(got.server.body(got)))
    got.ended = True


async def hang(reader, writer, got):
    """It is silent until the sidecar has had enough."""
    with contextlib.suppress(ConnectionError):
        await reader.read()
    writer.close()


async def reset(reader, writer, got):
    got.ended = True
    writer.transport.abort()


async def reject(reader, writer, got):
    got.ran, got.ended = False, True
    writer.write(REJECTED)

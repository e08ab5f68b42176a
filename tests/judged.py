"""Servers that record attempts and answers, clients of every class, and a checker of the sidecar's rules.

The checker derives its expectations from the settings alone. It widens time limits by the worst lag of the
event loop, so that no verdict depends on the speed of the machine.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from dataclasses import dataclass, field

from tests.loopback import App, entry, read_message

SOCKET_SLACK_S = 0.05  # added to each time limit because of the sockets
LOST_AFTER_S = 0.5  # a call that is not answered this long after its budget is lost
# Loop iterations in which the end of a connection that arrived before a request is read too.
END_DETECTION_ITERATIONS = 4
TICK_S = 0.005
STRAY = b"stray: made for nobody"  # a body that belongs to no call


class Lag:
    """Measures the worst lag of the event loop."""

    def __init__(self):
        self.worst_s = 0.0

    async def watch(self):
        """Measure until the task is cancelled."""
        while True:
            due = asyncio.get_running_loop().time() + TICK_S
            await asyncio.sleep(TICK_S)
            self.worst_s = max(self.worst_s, asyncio.get_running_loop().time() - due)


@dataclass(eq=False)
class Attempt:
    """One request as a server read it.

    Attributes:
        call: The id of the call, which all its attempts share.
        server: The server that read it.
        at: The loop time at which it was read.
        reader: The stream of its connection.
        may_have_run: Whether it has run, or may have as far as the sidecar can know.
        ended: Whether the server has answered it or broken it off.
        concurrent: Earlier attempts of the call that were in flight when this one was read.
    """

    call: str
    server: Server
    at: float
    reader: asyncio.StreamReader
    may_have_run: bool = True
    ended: bool = False
    concurrent: list[Attempt] = field(default_factory=list)

    @property
    def is_in_flight(self):
        is_disconnected = self.reader._eof or self.reader.exception() is not None
        return not self.ended and not is_disconnected


class Server:
    """An upstream server that records the bodies of its answers.

    `behave(reader, writer, attempt)` answers an attempt, and closes the connection or leaves it open. Its
    attribute `at_connection(reader, writer)`, if it has one, handles a whole connection instead.
    """

    body_numbers = itertools.count()

    def __init__(self, site, name, behave, **fields):
        self.site, self.name, self.behave, self.fields = site, name, behave, fields
        self.writers = []
        self.connections = 0
        self.bodies = {}  # bodies of complete answers by call

    @property
    def zone(self):
        return self.fields.get("zone", "east")

    @property
    def cell(self):
        return self.fields.get("group", 3)

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    def row(self):
        """Return the entry of this server in the list of discovery."""
        return entry(self.name, self.address, **self.fields)

    async def _serve(self, reader, writer):
        self.connections += 1
        self.writers.append(writer)
        with contextlib.suppress(ConnectionError):
            await getattr(self.behave, "at_connection", self._requests)(reader, writer)
        writer.close()

    async def _requests(self, reader, writer):
        while (message := await read_message(reader)) is not None:
            attempt = self.site.record_attempt(self, message, reader)
            for _ in range(END_DETECTION_ITERATIONS):
                await asyncio.sleep(0)
            # An attempt that is abandoned by now was abandoned before it was read: it is not concurrent.
            attempt.concurrent = [
                other
                for other in self.site.attempts_of(attempt.call)
                if other is not attempt and other.is_in_flight and attempt.is_in_flight
            ]
            await self.behave(reader, writer, attempt)
            if writer.is_closing():
                return

    def body(self, attempt):
        """Return a body that is unique to this attempt, and record it."""
        body = f"{attempt.call} by {self.name}, {next(self.body_numbers)}".encode()
        self.bodies.setdefault(attempt.call, []).append(body)
        return body

    def stop(self):
        self._server.close()
        for writer in self.writers:
            writer.transport.abort()


@dataclass
class Call:
    """One request as its client saw it.

    Attributes:
        call: The id of the call.
        kind: The class of the request, as the settings define it.
        sent_at: The loop time at which it was sent.
        budget_s: The time that the client allowed for it.
        status: The status of the answer; None without an answer.
        body: The body of the answer.
        ended_at: The loop time at which the answer was complete or the connection ended.
        excess: Bytes that followed the answer.
    """

    call: str
    kind: dict
    sent_at: float
    budget_s: float
    status: int | None = None
    body: bytes = b""
    ended_at: float = 0.0
    excess: bytes = b""


class Site:
    """Servers and clients, with the attempts and calls that they have recorded."""

    def __init__(self, settings):
        self.settings = settings
        self.kinds = settings["Profiles"]
        self.servers = []
        self.attempts = []
        self.calls = []
        self.lag = Lag()
        self._call_numbers = itertools.count()

    async def add(self, name, behave, **listed):
        self.servers.append(await Server(self, name, behave, **listed).start())

    def known(self):
        """Return the list of servers in discovery's form."""
        return {"index": 41, "snapshot": True, "endpoints": [server.row() for server in self.servers]}

    def record_attempt(self, server, message, reader):
        attempt = Attempt(message.headers["x-call-id"], server, asyncio.get_running_loop().time(), reader)
        self.attempts.append(attempt)
        return attempt

    def attempts_of(self, call):
        return [attempt for attempt in self.attempts if attempt.call == call]

    async def ask(self, address, kind, budget_s, app=None):
        """Send a request of a class, and record the call and its answer.

        Args:
            address: The address of the sidecar.
            kind: The class of the request.
            budget_s: The time that the client allows for it.
            app: The connection to use; a new one by default, which is closed afterwards.

        Returns:
            The recorded call.
        """
        number = next(self._call_numbers)
        call = Call(f"call-{number}", kind, asyncio.get_running_loop().time(), budget_s)
        self.calls.append(call)
        is_own_connection = app is None
        app = app or await App.connect(address)
        tenants = self.settings.get("Tenants") or ()
        headers = {
            "X_Call_Id": call.call,
            "X_Caller": tenants[number % len(tenants)]["Name"] if tenants else None,
            "X_Budget": f"{budget_s * 1000.0:.0f}m",
            "Idempotency_Key": f"key-{number}" if kind["Semantics"] == "token" else None,
        }
        is_safe = kind["Semantics"] == "pure"
        answer = await app.ask(
            "GET" if is_safe else "POST", f"/{kind['Name']}", b"" if is_safe else b"x" * 40, **headers
        )
        call.ended_at = asyncio.get_running_loop().time()
        if answer is not None:
            call.status, call.body = int(answer.start.split(" ")[1]), answer.body
        call.excess = bytes(app.reader._buffer)
        if is_own_connection:
            app.close()
        return call

    def stop(self):
        for server in self.servers:
            server.stop()

    # --- the checker ----------------------------------------------------------------

    def violations(self):
        """Return a line for each violation of a rule."""
        return [
            f"{call.call} ({call.kind['Semantics']}): {violation}"
            for call in self.calls
            for violation in self._violations_of(call)
        ]

    def _violations_of(self, call):
        attempts = self.attempts_of(call.call)
        slack_s = SOCKET_SLACK_S + 3.0 * self.lag.worst_s
        if call.status is None:
            yield "no answer"
            return
        if call.excess:
            yield f"more than one answer: {call.excess[:60]!r}"
        if call.ended_at - call.sent_at > call.budget_s + LOST_AFTER_S + slack_s:
            yield f"answered {call.status} {call.ended_at - call.sent_at:.3f} s after it was sent"
        if call.status == 200 and call.body not in [
            body for server in self.servers for body in server.bodies.get(call.call, ())
        ]:
            yield f"served a body that no server made for it: {call.body[:60]!r}"
        if call.status not in (200, 429, 502, 503, 504):
            yield f"answered {call.status}"
        limits = self.settings.get("PolicyLimits") or {}
        if len(attempts) > limits.get("MaxAttempts", 1):
            yield f"{len(attempts)} attempts"
        if not limits.get("ParallelTries") and any(attempt.concurrent for attempt in attempts):
            yield "two attempts in flight at a time"
        yield from self._repetition_violations(call, attempts, slack_s)

    def _repetition_violations(self, call, attempts, slack_s):
        kind = call.kind
        earlier = []  # attempts that may have run
        for attempt in attempts:
            if earlier and kind["Semantics"] == "side_effect":
                yield "sent again though it may have run"
            if kind["Semantics"] == "token":
                for first in earlier:
                    if not _is_same_group(kind.get("Group", "cell"), first.server, attempt.server):
                        yield f"sent to {attempt.server.name} after {first.server.name}, of another group"
                    if attempt.at - first.at > kind.get("KeyTtl", 0.0) / 1000.0 + slack_s:
                        yield f"sent again after {attempt.at - first.at:.3f} s"
            if attempt.may_have_run or attempt.is_in_flight:
                earlier.append(attempt)
        is_repeatable = kind["Semantics"] == "pure" or (
            kind["Semantics"] == "token" and kind.get("Group") == "all"
        )
        if earlier and call.status in (429, 503) and not is_repeatable:
            yield f"refused ({call.status}) though it may have run"


def _is_same_group(group, one, other):
    if group == "all":
        return True
    return one.zone == other.zone if group == "zone" else one.cell == other.cell


# --- behaviours of servers -----------------------------------------------------------


def ok(body, *headers):
    """Return the bytes of a complete answer with status 200."""
    rows = b"".join(b"%b\r\n" % header for header in headers)
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%b\r\n%b" % (len(body), rows, body)


REJECTED = b"HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"


async def serve(reader, writer, attempt):
    """Answer with a body of this attempt."""
    writer.write(ok(attempt.server.body(attempt)))
    attempt.ended = True


async def hang(reader, writer, attempt):
    """Send nothing until the sidecar closes the connection."""
    with contextlib.suppress(ConnectionError):
        await reader.read()
    writer.close()


async def reset(reader, writer, attempt):
    """Reset the connection without an answer."""
    attempt.ended = True
    writer.transport.abort()


async def reject(reader, writer, attempt):
    """Answer that the server has not run the request."""
    attempt.may_have_run, attempt.ended = False, True
    writer.write(REJECTED)

"""Scripted stand-ins for port servers, with a ledger of the requests that they received.

`python -m rig.servers` hosts many listeners in one process; `Fleet` starts and controls that process.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import socket
import struct
import sys
from collections import Counter, deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any, Literal, cast

import httptools

from rig.helper import Helper, obey_until_hung_up, prepare, say
from rig.messages import NOISE, Act, act_of, act_of_query, body_for

BACKLOG = 4096
MAX_REQUEST_BYTES = 256 * 1024  # including chunk framing
MAX_PENDING = 64  # requests waiting on one connection
MAX_CONNECTIONS = 4096  # of one server
MAX_LEDGER_CALLS = 1_000_000  # call ids; requests with further ids are only counted
MAX_REPORTED_REPEATS = 10_000  # repeated calls that a summary lists
HALF_ANSWER_RESET_S = 0.01  # time from half an answer to the reset
NO_LINGER = struct.pack("ii", 1, 0)

Turns = Literal["last", "round"]


@dataclass
class Ledger:
    """Counts received calls, their repeats, and copies that arrived while another copy was in flight."""

    attempts: Counter[str] = field(default_factory=Counter)
    unsafe: set[str] = field(default_factory=set)  # ids sent by POST without an idempotency key
    in_flight: Counter[str] = field(default_factory=Counter)
    received: int = 0
    overlaps: int = 0
    nameless: int = 0
    unrecorded: int = 0  # requests beyond `MAX_LEDGER_CALLS`
    connections: int = 0

    def begin(self, call_id: str, unsafe: bool) -> None:
        """Record a request whose last byte has arrived."""
        self.received += 1
        if not call_id:
            self.nameless += 1
            return
        if len(self.attempts) >= MAX_LEDGER_CALLS and call_id not in self.attempts:
            self.unrecorded += 1
            return
        self.attempts[call_id] += 1
        if unsafe:
            self.unsafe.add(call_id)
        if self.in_flight[call_id] > 0:
            self.overlaps += 1
        self.in_flight[call_id] += 1

    def end(self, call_id: str) -> None:
        """Record that a request was answered or its connection closed."""
        self.in_flight[call_id] -= 1
        if self.in_flight[call_id] <= 0:
            del self.in_flight[call_id]

    def summary(self) -> dict[str, Any]:
        """Return all counts as JSON values."""
        repeats = {call: count for call, count in self.attempts.items() if count > 1}
        return {
            "received": self.received,
            "calls": len(self.attempts),
            "repeats": dict(list(repeats.items())[:MAX_REPORTED_REPEATS]),
            "repeated": len(repeats),
            "unsafe_repeated": len(self.unsafe & repeats.keys()),
            "unsafe_most": max((self.attempts[call] for call in self.unsafe), default=0),
            "overlaps": self.overlaps,
            "nameless": self.nameless,
            "unrecorded": self.unrecorded,
            "connections": self.connections,
        }


@dataclass
class Script:
    """Acts for requests that carry none: each in turn, then the last one forever or all of them again."""

    acts: Sequence[Act] = (Act(),)
    turns: Turns = "last"
    taken: int = 0

    def next(self) -> Act:
        """Return the act for the next request."""
        index = self.taken % len(self.acts) if self.turns == "round" else min(self.taken, len(self.acts) - 1)
        self.taken += 1
        return self.acts[index]


class Server:
    """A listener with uniformly drawn service times, a concurrency limit and an idle timeout."""

    def __init__(
        self,
        ledger: Ledger,
        *,
        seed: str = "",
        work_ms: tuple[float, float] = (40.0, 60.0),
        concurrency: int = 4096,
        idle_close_ms: float = 5000.0,
    ) -> None:
        self.ledger = ledger
        self.work_ms = work_ms
        self.script = Script()
        self.concurrency = concurrency
        self.inflight = 0
        self.address = ""
        self._idle_close_s = idle_close_ms / 1000.0
        self._rng = random.Random(seed)
        self._links: set[ServerLink] = set()
        self._listener: asyncio.Server | None = None
        self._sweeping: asyncio.TimerHandle | None = None

    async def start(self, port: int = 0) -> Server:
        """Listen on a loopback port; 0 lets the system assign one."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: ServerLink(self), "127.0.0.1", port, backlog=BACKLOG, reuse_address=True
        )
        host, port = self._listener.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        self._sweep()
        return self

    def stop(self) -> None:
        """Close the listener and all connections."""
        if self._listener is not None:
            self._listener.close()
        if self._sweeping is not None:
            self._sweeping.cancel()
        for link in list(self._links):
            link.abort()

    def opened(self, link: ServerLink) -> bool:
        """Register a new connection; return False if the limit is reached."""
        if len(self._links) >= MAX_CONNECTIONS:
            return False
        self.ledger.connections += 1
        self._links.add(link)
        return True

    def closed(self, link: ServerLink) -> None:
        """Remove a closed connection."""
        self._links.discard(link)

    def act(self, query: str) -> Act:
        """Return the act for a request: its own, 503 at the concurrency limit, or the next one scripted."""
        own = act_of_query(query) if query else None
        if own is None and self.inflight >= self.concurrency:
            return Act(status=503, rejected=True, delay_ms=0.0)
        return own or self.script.next()

    def delay_s(self, act: Act) -> float:
        """Return the delay of an act in seconds."""
        return (self._rng.uniform(*self.work_ms) if act.delay_ms is None else act.delay_ms) / 1000.0

    def report(self) -> bytes:
        """Return the load report header value."""
        return b"inflight=%d,queue=0" % self.inflight

    def _sweep(self) -> None:
        """Close connections past the idle timeout."""
        loop = asyncio.get_running_loop()
        for link in list(self._links):
            if link.idle_since is not None and loop.time() - link.idle_since >= self._idle_close_s:
                link.close()
        self._sweeping = loop.call_later(min(0.2, self._idle_close_s / 4.0 + 0.01), self._sweep)


class ServerLink(asyncio.Protocol):
    """A connection to a server; its requests are processed one after the other."""

    def __init__(self, server: Server) -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport
        self._pending: deque[tuple[str, bool, str]] = deque()
        self._working: str | None = None
        self._timers: set[asyncio.TimerHandle] = set()
        self._request_bytes = 0
        self._target = b""
        self._fields: dict[bytes, bytes] = {}
        self.idle_since: float | None = None

    def close(self) -> None:
        """Close it between requests."""
        self._transport.close()

    def abort(self) -> None:
        """Abort it, with any request in flight."""
        self._transport.abort()

    # --- called by the loop ----------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, or abort it over the limit."""
        self._transport = cast(asyncio.Transport, transport)
        self.idle_since = self._loop.time()
        if not self._server.opened(self):
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse bytes of requests; abort on invalid or oversized ones and on too many pending ones."""
        self._request_bytes += len(data)
        self.idle_since = None
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._transport.abort()
            return
        if self._request_bytes > MAX_REQUEST_BYTES or len(self._pending) > MAX_PENDING:
            self._transport.abort()
            return
        self._next()

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the timers and end the request in flight."""
        for timer in self._timers:
            timer.cancel()
        self._timers.clear()
        self._finish()
        self._pending.clear()
        self._server.closed(self)
        del self._parser  # breaks a reference cycle

    # --- called by the parser --------------------------------------------------

    def on_message_begin(self) -> None:
        """Called by the parser."""
        self._target, self._fields = b"", {}

    def on_url(self, target: bytes) -> None:
        """Called by the parser."""
        self._target += target

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser."""
        self._fields[name.lower()] = value

    def on_message_complete(self) -> None:
        """Called by the parser: processing begins once the last byte has arrived."""
        call = self._fields.get(b"x-call-id", b"").decode("latin-1")
        unsafe = self._parser.get_method() == b"POST" and b"idempotency-key" not in self._fields
        self._request_bytes = 0
        self._server.ledger.begin(call, unsafe)
        self._pending.append((call, unsafe, self._target.partition(b"?")[2].decode("latin-1")))

    # --- the work ---------------------------------------------------------------

    def _next(self) -> None:
        if self._working is not None or not self._pending or self._transport.is_closing():
            return
        call, _, query = self._pending.popleft()
        try:
            act = self._server.act(query)
        except (ValueError, TypeError):
            act = Act(status=400, delay_ms=0.0)
        self._working = call
        self._server.inflight += 1
        self._later(self._server.delay_s(act), self._perform, act, call)

    def _later(self, delay_s: float, callback: Any, *args: Any) -> None:
        """Call a function after a delay, unless the connection closes first."""

        def run() -> None:
            self._timers.discard(timer)
            callback(*args)

        timer = self._loop.call_later(delay_s, run)
        self._timers.add(timer)

    def _perform(self, act: Act, call: str) -> None:
        if act.way == "silent":
            return
        if act.way == "reset":
            self._reset()
            return
        answer = self._answer(act, call)
        if act.way == "half":
            self._transport.write(answer[: len(answer) // 2])
            # Delayed, since an immediate reset would discard the half that was written.
            self._later(HALF_ANSWER_RESET_S, self._reset)
            return
        self._transport.write(answer + self._trailing_bytes(act, call))
        if act.copy_after_ms is not None:
            self._later(act.copy_after_ms / 1000.0, self._transport.write, answer)
        self._finish()
        if act.close:
            self._transport.close()
        self._next()

    def _reset(self) -> None:
        """Reset the connection: without SO_LINGER 0, a close would send FIN if all input has been read."""
        sock = self._transport.get_extra_info("socket")
        if sock is not None and not self._transport.is_closing():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        self._transport.abort()

    def _finish(self) -> None:
        if self._working is not None:
            self._server.inflight -= 1
            if self._working:
                self._server.ledger.end(self._working)
            self._working = None
            self.idle_since = self._loop.time()

    def _answer(self, act: Act, call: str) -> bytes:
        body = body_for(call, act.size_bytes) if act.status == 200 else b""
        return b"HTTP/1.1 %d scripted\r\n%b%bX-Load-Report: %b\r\nContent-Length: %d\r\n\r\n%b" % (
            act.status,
            b"X-Rejected: 1\r\n" if act.rejected else b"",
            b"Connection: close\r\n" if act.close else b"",
            self._server.report(),
            len(body),
            body,
        )

    def _trailing_bytes(self, act: Act, call: str) -> bytes:
        if act.behind == "answer":
            return self._answer(Act(size_bytes=act.size_bytes), call)
        return NOISE if act.behind == "noise" else b""


def hold_port() -> socket.socket:
    """Return a bound loopback socket that reserves its port, so that a server can listen on it repeatedly.

    The socket itself does not listen. It keeps others from getting the port while no server listens.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    return sock


class Fleet:
    """Scripted servers in a separate process."""

    def __init__(self, helper: Helper, addresses: list[str]) -> None:
        self._helper = helper
        self.addresses = addresses

    @classmethod
    async def start(
        cls,
        count: int,
        *,
        seed: int = 1,
        work_ms: tuple[float, float] = (40.0, 60.0),
        concurrency: int = 4096,
        idle_close_ms: float = 5000.0,
        ports: Sequence[int] = (),
    ) -> Fleet:
        """Start `count` servers, the first ones on the given ports.

        Raises:
            ProgramError: If they fail to start.
        """
        arguments = ["--count", str(count), "--seed", str(seed), "--concurrency", str(concurrency)]
        arguments += ["--work-ms", str(work_ms[0]), str(work_ms[1]), "--idle-close-ms", str(idle_close_ms)]
        arguments += [word for port in ports for word in ("--port", str(port))]
        helper = await Helper.start("rig.servers", arguments)
        try:
            return cls(helper, list((await helper.hear())["addresses"]))
        except BaseException:
            await helper.stop()
            raise

    async def ledger(self) -> dict[str, Any]:
        """Return the summary of the ledger; see `Ledger.summary`."""
        return dict(await self._helper.ask(do="ledger"))

    async def script(
        self, *acts: Act, turns: Turns = "last", work_ms: tuple[float, float] | None = None
    ) -> None:
        """Set the script of every server, and its range of service times if given."""
        script = [act.as_json() for act in acts]
        await self._helper.ask(do="script", acts=script, turns=turns, work_ms=work_ms)

    async def clear(self) -> None:
        """Start a new ledger."""
        await self._helper.ask(do="clear")

    async def kill(self) -> None:
        """Kill the process."""
        await self._helper.kill()

    async def stop(self) -> None:
        """Stop the process."""
        await self._helper.stop()


class Host:
    """Runs the servers of one process and its commands."""

    def __init__(self, given: argparse.Namespace) -> None:
        self._ledger = Ledger()
        self._ports = given.port[: given.count] + [0] * (given.count - len(given.port))
        self._servers = [
            Server(
                self._ledger,
                seed=f"{given.seed}/{number}",
                work_ms=(given.work_ms[0], given.work_ms[1]),
                concurrency=given.concurrency,
                idle_close_ms=given.idle_close_ms,
            )
            for number in range(given.count)
        ]

    async def run(self) -> None:
        """Serve until the owner closes standard input."""
        for server, port in zip(self._servers, self._ports, strict=True):
            await server.start(port)
        say({"addresses": [server.address for server in self._servers]})
        await obey_until_hung_up(self.obey)

    def obey(self, do: str, **command: Any) -> Any:
        """Run a command.

        Raises:
            ValueError: If there is no command of that name.
        """
        match do:
            case "ledger":
                return self._ledger.summary()
            case "clear":
                self._ledger = Ledger()
                for server in self._servers:
                    server.ledger = self._ledger
            case "script":
                self._script(**command)
            case _:
                raise ValueError(f"command must be ledger, clear or script, got {do!r}")
        return "done"

    def _script(self, acts: list[dict[str, Any]], turns: Turns, work_ms: list[float] | None) -> None:
        made = [act_of(fields) for fields in acts] or [Act()]
        for server in self._servers:
            server.script = Script(made, turns)
            if work_ms is not None:
                server.work_ms = (work_ms[0], work_ms[1])


def parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    made = argparse.ArgumentParser(prog="python -m rig.servers", description=__doc__)
    made.add_argument("--count", type=int, default=1, help="listeners")
    made.add_argument(
        "--port",
        type=int,
        action="append",
        default=[],
        help="of the first, the second...",
    )
    made.add_argument("--seed", default="1")
    made.add_argument(
        "--concurrency", type=int, default=4096, help="requests at a time; past it 503, rejected"
    )
    made.add_argument("--work-ms", type=float, nargs=2, default=[40.0, 60.0], metavar=("FROM", "TO"))
    made.add_argument("--idle-close-ms", type=float, default=5000.0)
    return made


def main() -> int:
    """Host servers until standard input ends; return the exit code."""
    given = parser().parse_args()
    prepare()
    asyncio.run(Host(given).run())
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""Stand-in port servers: scripted answers in scripted time, and a ledger of what they were sent.

`python -m rig.servers` hosts many listeners in one process; `Fleet` is that process as its owner sees it.
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
RAW_MOST = 256 * 1024  # bytes of one request, its framing included
PENDING_MOST = 64  # requests that wait on one connection
CONNECTIONS_MOST = 4096  # of one server
LEDGER_MOST = 1_000_000  # identities; past it requests are counted, not told apart
REPEATS_MOST = 10_000  # repeats that are told one by one
HALF_S = 0.01  # from half an answer to the reset
NO_LINGER = struct.pack("ii", 1, 0)

Turns = Literal["last", "round"]


@dataclass
class Ledger:
    """Which calls were received, how often, and whether a copy came while an earlier one was out."""

    attempts: Counter[str] = field(default_factory=Counter)
    unsafe: set[str] = field(default_factory=set)  # ids that were sent with POST and no key
    out: Counter[str] = field(default_factory=Counter)
    received: int = 0
    overlaps: int = 0
    nameless: int = 0
    unrecorded: int = 0  # past the ledger's bound
    connections: int = 0

    def begin(self, call_id: str, unsafe: bool) -> None:
        """The last byte of a request has come."""
        self.received += 1
        if not call_id:
            self.nameless += 1
            return
        if len(self.attempts) >= LEDGER_MOST and call_id not in self.attempts:
            self.unrecorded += 1
            return
        self.attempts[call_id] += 1
        if unsafe:
            self.unsafe.add(call_id)
        if self.out[call_id] > 0:
            self.overlaps += 1
        self.out[call_id] += 1

    def end(self, call_id: str) -> None:
        """It is answered, or its connection is gone."""
        self.out[call_id] -= 1
        if self.out[call_id] <= 0:
            del self.out[call_id]

    def summary(self) -> dict[str, Any]:
        """The whole of it as JSON values."""
        repeats = {call: count for call, count in self.attempts.items() if count > 1}
        return {
            "received": self.received,
            "calls": len(self.attempts),
            "repeats": dict(list(repeats.items())[:REPEATS_MOST]),
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
    """What requests get that bring no act along: each act in turn; then the last stays, or all go round."""

    acts: Sequence[Act] = (Act(),)
    turns: Turns = "last"
    taken: int = 0

    def next(self) -> Act:
        """The act for the next request."""
        index = self.taken % len(self.acts) if self.turns == "round" else min(self.taken, len(self.acts) - 1)
        self.taken += 1
        return self.acts[index]


class Server:
    """One listener: service time drawn evenly between two bounds, requests at a time, an idle time."""

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
        """Listen on a port of the loopback, for 0 one that the system chooses."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: ServerLink(self), "127.0.0.1", port, backlog=BACKLOG, reuse_address=True
        )
        host, port = self._listener.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        self._sweep()
        return self

    def stop(self) -> None:
        """Close all."""
        if self._listener is not None:
            self._listener.close()
        if self._sweeping is not None:
            self._sweeping.cancel()
        for link in list(self._links):
            link.abort()

    def opened(self, link: ServerLink) -> bool:
        """A new connection; whether there is room for it."""
        if len(self._links) >= CONNECTIONS_MOST:
            return False
        self.ledger.connections += 1
        self._links.add(link)
        return True

    def closed(self, link: ServerLink) -> None:
        """A connection is gone."""
        self._links.discard(link)

    def act(self, query: str) -> Act:
        """What the request at hand gets: its own script, else the server's."""
        own = act_of_query(query) if query else None
        if own is None and self.inflight >= self.concurrency:
            return Act(status=503, rejected=True, delay_ms=0.0)
        return own or self.script.next()

    def delay_s(self, act: Act) -> float:
        """How long it takes, in seconds."""
        return (self._rng.uniform(*self.work_ms) if act.delay_ms is None else act.delay_ms) / 1000.0

    def report(self) -> bytes:
        """Its load, as answers carry it."""
        return b"inflight=%d,queue=0" % self.inflight

    def _sweep(self) -> None:
        """Close what has stood idle for too long."""
        loop = asyncio.get_running_loop()
        for link in list(self._links):
            if link.idle_since is not None and loop.time() - link.idle_since >= self._idle_close_s:
                link.close()
        self._sweeping = loop.call_later(min(0.2, self._idle_close_s / 4.0 + 0.01), self._sweep)


class ServerLink(asyncio.Protocol):
    """One connection to a server; requests are worked on one after the other."""

    def __init__(self, server: Server) -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport
        self._pending: deque[tuple[str, bool, str]] = deque()
        self._working: str | None = None
        self._timers: set[asyncio.TimerHandle] = set()
        self._raw = 0
        self._target = b""
        self._fields: dict[bytes, bytes] = {}
        self.idle_since: float | None = None

    def close(self) -> None:
        """Close it between requests."""
        self._transport.close()

    def abort(self) -> None:
        """Reset it, whatever it holds."""
        self._transport.abort()

    # --- called by the loop ----------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A sidecar has connected."""
        self._transport = cast(asyncio.Transport, transport)
        self.idle_since = self._loop.time()
        if not self._server.opened(self):
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Bytes of requests; what is no request, or has no end, is reset."""
        self._raw += len(data)
        self.idle_since = None
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._transport.abort()
            return
        if self._raw > RAW_MOST or len(self._pending) > PENDING_MOST:
            self._transport.abort()
            return
        self._next()

    def connection_lost(self, error: Exception | None) -> None:
        """The connection is gone, and what was worked on is out no more."""
        for timer in self._timers:
            timer.cancel()
        self._timers.clear()
        self._done()
        self._pending.clear()
        self._server.closed(self)
        del self._parser  # it refers back

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
        """Called by the parser: the server begins with the last byte."""
        call = self._fields.get(b"x-call-id", b"").decode("latin-1")
        unsafe = self._parser.get_method() == b"POST" and b"idempotency-key" not in self._fields
        self._raw = 0
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
        self._later(self._server.delay_s(act), self._carry_out, act, call)

    def _later(self, delay_s: float, what: Any, *args: Any) -> None:
        """A timer that ends with the connection."""

        def run() -> None:
            self._timers.discard(timer)
            what(*args)

        timer = self._loop.call_later(delay_s, run)
        self._timers.add(timer)

    def _carry_out(self, act: Act, call: str) -> None:
        if act.way == "silent":
            return
        if act.way == "reset":
            self._reset()
            return
        answer = self._answer(act, call)
        if act.way == "half":
            self._transport.write(answer[: len(answer) // 2])
            # Later: a reset right away would take the half with it.
            self._later(HALF_S, self._reset)
            return
        self._transport.write(answer + self._behind(act, call))
        if act.copy_after_ms is not None:
            self._later(act.copy_after_ms / 1000.0, self._transport.write, answer)
        self._done()
        if act.close:
            self._transport.close()
        self._next()

    def _reset(self) -> None:
        """A close alone would send an end, and no reset, where all that came has been read."""
        sock = self._transport.get_extra_info("socket")
        if sock is not None and not self._transport.is_closing():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        self._transport.abort()

    def _done(self) -> None:
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

    def _behind(self, act: Act, call: str) -> bytes:
        if act.behind == "answer":
            return self._answer(Act(size_bytes=act.size_bytes), call)
        return NOISE if act.behind == "noise" else b""


def hold_port() -> socket.socket:
    """A socket with a port of the loopback on which servers may listen, end and come back.

    It takes no connection itself. Guards against a port that another gets while no server listens.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    return sock


class Fleet:
    """Servers in a process of their own."""

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
        """Start `count` servers, the first ones on these ports; `ProgramError` if they can't be."""
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
        """What the servers were sent; see `Ledger.summary`."""
        return dict(await self._helper.ask(do="ledger"))

    async def script(
        self, *acts: Act, turns: Turns = "last", work_ms: tuple[float, float] | None = None
    ) -> None:
        """From now on every server answers by these acts, and in this time where one is given."""
        script = [act.as_json() for act in acts]
        await self._helper.ask(do="script", acts=script, turns=turns, work_ms=work_ms)

    async def clear(self) -> None:
        """A new ledger."""
        await self._helper.ask(do="clear")

    async def kill(self) -> None:
        """End the process amid whatever it does."""
        await self._helper.kill()

    async def stop(self) -> None:
        """End the process."""
        await self._helper.stop()


class Host:
    """The servers of one process, and the commands that it takes."""

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
        """Serve until the owner hangs up."""
        for server, port in zip(self._servers, self._ports, strict=True):
            await server.start(port)
        say({"addresses": [server.address for server in self._servers]})
        await obey_until_hung_up(self.obey)

    def obey(self, do: str, **command: Any) -> Any:
        """One command; `ValueError` where there is none of that name."""
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
                raise ValueError(f"no command {do!r}")
        return "done"

    def _script(self, acts: list[dict[str, Any]], turns: Turns, work_ms: list[float] | None) -> None:
        made = [act_of(fields) for fields in acts] or [Act()]
        for server in self._servers:
            server.script = Script(made, turns)
            if work_ms is not None:
                server.work_ms = (work_ms[0], work_ms[1])


def parser() -> argparse.ArgumentParser:
    """The command line of a process of servers."""
    made = argparse.ArgumentParser(prog="python -m rig.servers", description=__doc__)
    made.add_argument("--count", type=int, default=1, help="listeners")
    made.add_argument("--port", type=int, action="append", default=[], help="of the first, the second...")
    made.add_argument("--seed", default="1")
    made.add_argument(
        "--concurrency", type=int, default=4096, help="requests at a time; past it 503, rejected"
    )
    made.add_argument("--work-ms", type=float, nargs=2, default=[40.0, 60.0], metavar=("FROM", "TO"))
    made.add_argument("--idle-close-ms", type=float, default=5000.0)
    return made


def main() -> int:
    """Host servers until standard input ends; the exit code."""
    given = parser().parse_args()
    prepare()
    asyncio.run(Host(given).run())
    return 0


if __name__ == "__main__":
    sys.exit(main())

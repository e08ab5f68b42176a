"""Port servers of the model (`rig.model`) on sockets, with faults that are switched on and off.

`PortServer` runs in any loop. `python -m rig.portservers` hosts those of one data centre in a process of
its own, since they share what drops repeats; `PortHost` is that process as its owner sees it. All times
that are told are seconds of CLOCK_MONOTONIC, which is one for all processes of a machine.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import random
import socket
import struct
import sys
import time
from collections.abc import Sequence
from dataclasses import asdict, dataclass, fields
from typing import Any, Literal, cast
from urllib.parse import parse_qsl

import httptools

from rig.helper import Helper, obey_until_hung_up, prepare, say
from rig.lag import LagWatch
from rig.ledger import Execution, Start
from rig.messages import NOISE, body_for
from rig.model import Ended, Job, Machine, Make, Repeats
from rig.servers import hold_port

BACKLOG = 1024
PLUGS = 2  # connections that fill a backlog of none, so that no other comes up
RAW_MOST = 256 * 1024  # bytes of one request, its framing included
ROWS_MOST = 500_000  # executions that are kept; what comes after is counted only
ROWS_A_TIME = 5_000  # that are told in one line
ACCEPTED_MOST = 256  # connections that are accepted in one go
LINKS_MOST = 8192  # connections of one server; past it they are closed at once, whatever its cap
SWEEP_S = 0.25
QUICK_MS = 2.0  # a quick failure takes so long
HALF_S = 0.005  # from half an answer to the reset
WORK_MOST_MS = 60_000.0
NO_LINGER = struct.pack("ii", 1, 0)

Fault = Literal["fail", "lose", "spoil", "half_open", "slow_accept"]
FAULTS: tuple[Fault, ...] = ("fail", "lose", "spoil", "half_open", "slow_accept")


@dataclass
class ServerRecords:
    """What the servers of one process keep: rows that are handed over once, and counts."""

    executions: list[Execution]
    starts: list[Start]
    falls: list[tuple[str, float]]
    unrecorded: int = 0  # past the bound
    connections: int = 0

    @classmethod
    def new(cls) -> ServerRecords:
        """Empty ones."""
        return cls([], [], [])

    def add(self, row: Execution) -> None:
        """One more, unless the bound is reached."""
        if len(self.executions) < ROWS_MOST:
            self.executions.append(row)
        else:
            self.unrecorded += 1


class PortServer:
    """One port server: a listener, its machine while it runs, and the faults that it has."""

    def __init__(
        self,
        name: str,
        make: Make,
        repeats: Repeats,
        records: ServerRecords,
        *,
        zone: str = "west",
        seed: str = "1",
        idle_close_ms: float = 5000.0,
    ) -> None:
        self.name = name
        self.zone = zone
        self.make = make
        self.records = records
        self.machine: Machine | None = None  # None while its process does not run
        self.vanished = False
        self.faults: dict[str, float] = {}  # a share, or milliseconds for `slow_accept`
        self._repeats = repeats
        self._rng = random.Random(f"{seed}/{name}")
        self._idle_close_s = idle_close_ms / 1000.0
        self._held = hold_port()  # guards against a port that another gets while the server is away
        self._listener: socket.socket | None = None
        self._plugs: list[socket.socket] = []
        self._links: set[PortLink] = set()
        self._owners: dict[Job, PortLink] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._sweeping: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[Any]] = set()
        self._loop = asyncio.get_running_loop()

    @property
    def address(self) -> str:
        """Where it listens, while it is away too."""
        host, port = self._held.getsockname()
        return f"{host}:{port}"

    # --- what becomes of it --------------------------------------------------------

    def start(self, cold: bool = True) -> None:
        """Begin anew with nothing remembered; one that runs, or fell over, is left as it is."""
        if self.machine is not None:
            return
        self.machine = Machine(self.make, self._repeats, self.now_ms, cold)
        if cold:
            self.records.starts.append(Start.of(self.name, self._loop.time(), self.make))
        self._listen()
        self._sweep()

    def die(self) -> None:
        """Its process ends: connections are reset, and new ones refused."""
        if self.machine is not None and self.machine.fallen_ms is None:
            for job in self._owners:
                self.machine.cancel(self.now_ms, job)  # else its key would stay under way for its group
            self._owners.clear()
            self._down()
            self.machine = None

    def vanish(self) -> None:
        """Say nothing from now on: connections stay open and silent, and new ones never come up."""
        if self._listener is None or self.vanished:
            return
        self.vanished = True
        self._loop.remove_reader(self._listener.fileno())
        self._listener.listen(0)
        for _ in range(PLUGS):
            plug = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
            plug.connect_ex(self._held.getsockname())
            self._plugs.append(plug)
        for link in self._links:
            link.mute()

    def back(self) -> None:
        """Be reachable again after it vanished: what was open is reset. Its process had gone on."""
        if not self.vanished:
            return
        self.vanished = False
        for link in list(self._links):
            link.reset()
        self._unlisten()
        self._listen()

    def drain(self) -> None:
        """Finish what it has and turn away what is new."""
        if self.machine is not None:
            self.machine.draining = True

    def stall(self, for_ms: float) -> None:
        """Stand still for so long."""
        if self.machine is not None:
            self.machine.stall(self.now_ms, for_ms)
            self._arm()

    def fault(self, kind: Fault, degree: float) -> None:
        """Have a fault to a degree, a share or milliseconds; 0 ends it. `ValueError` for an unknown one."""
        if kind not in FAULTS:
            raise ValueError(f"no fault {kind!r}")
        self.faults[kind] = degree
        if kind == "half_open":
            for link in self._links:
                link.dead = link.dead or self._rng.random() < degree

    def close(self) -> None:
        """End it for good, its port included."""
        self._down()
        self.machine = None
        self._held.close()

    def struck(self, kind: Fault) -> bool:
        """Whether a fault strikes this time."""
        share = self.faults.get(kind, 0.0)
        return share > 0.0 and self._rng.random() < share

    def pick(self, *ways: bytes) -> bytes:
        """One of these, drawn."""
        return self._rng.choice(ways)

    def _down(self) -> None:
        self.vanished = False
        self._unlisten()
        for link in list(self._links):
            link.reset()
        for timer in (self._timer, self._sweeping):
            if timer is not None:
                timer.cancel()
        for task in list(self._tasks):
            task.cancel()

    # --- sockets ---------------------------------------------------------------------

    def _listen(self) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(self._held.getsockname())
        sock.listen(BACKLOG)
        self._listener = sock
        self._loop.add_reader(sock.fileno(), self._accept)

    def _unlisten(self) -> None:
        if self._listener is not None:
            self._loop.remove_reader(self._listener.fileno())
            self._listener.close()  # which resets what was not accepted
            self._listener = None
        for plug in self._plugs:
            plug.close()
        self._plugs.clear()

    def _accept(self) -> None:
        for _ in range(ACCEPTED_MOST):
            if self._listener is None:
                return
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            if len(self._links) + len(self._tasks) >= LINKS_MOST:
                sock.close()
                continue
            sock.setblocking(False)
            task = self._loop.create_task(self._take(sock, self.faults.get("slow_accept", 0.0)))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _take(self, sock: socket.socket, late_ms: float) -> None:
        """Serve a connection, after so long where it accepts slowly."""
        try:
            if late_ms > 0.0:
                await asyncio.sleep(late_ms / 1000.0)
            await self._loop.connect_accepted_socket(lambda: PortLink(self, late_ms), sock)
        except (asyncio.CancelledError, OSError):
            sock.close()
            raise

    def opened(self, link: PortLink) -> bool:
        """A new connection; whether it is within the cap."""
        self._links.add(link)
        self.records.connections += 1
        if self.vanished:
            link.mute()
        within = self.machine is not None and self.machine.connect(self.now_ms)
        self._arm()
        return within

    def closed(self, link: PortLink) -> None:
        """A connection is gone."""
        self._links.discard(link)
        if self.machine is not None:
            self.machine.disconnect()

    def _sweep(self) -> None:
        """Close what has stood idle for too long."""
        bound = self._loop.time() - self._idle_close_s
        if not self.vanished:
            for link in list(self._links):
                if link.idle_since is not None and link.idle_since <= bound and not link.dead:
                    link.close()
        self._sweeping = self._loop.call_later(SWEEP_S, self._sweep)

    # --- work ------------------------------------------------------------------------

    @property
    def now_ms(self) -> float:
        """The loop's clock in milliseconds."""
        return self._loop.time() * 1000.0

    def offer(self, link: PortLink, job: Job, capped: bool) -> str:
        """A request for its machine; why it is turned away, if it is."""
        assert self.machine is not None
        refusal = self.machine.offer(self.now_ms, job, capped)
        if self.machine.fallen_ms is not None:
            self.records.falls.append((self.name, self._loop.time()))
            self._down()  # and it stays down: its machine is there, so it is not started again
            return "down"
        if not refusal:
            self._owners[job] = link
        self._arm()
        return refusal

    def probe(self, link: PortLink) -> bool:
        """A probe for its machine; False where it answers none."""
        job = self.machine.probe(self.now_ms) if self.machine is not None else None
        if job is not None:
            self._owners[job] = link
        self._arm()
        return job is not None

    def cancel(self, job: Job) -> None:
        """The connection of a request is gone."""
        if self._owners.pop(job, None) is not None and self.machine is not None:
            self.machine.cancel(self.now_ms, job)
            self._arm()

    def pause_s(self) -> float:
        """How long until an answer that is due now can leave."""
        if self.machine is None:
            return 0.0
        now_ms = self.now_ms
        return (self.machine.answers_from_ms(now_ms) - now_ms) / 1000.0

    def _arm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self.machine is not None and (at_ms := self.machine.next_ms()) is not None:
            self._timer = self._loop.call_at(at_ms / 1000.0, self._advance)

    def _advance(self) -> None:
        self._timer = None
        if self.machine is None:
            return
        # A timer may fire a moment early: what is due within that is due.
        for ended in self.machine.advance(self.now_ms + 0.05):
            link = self._owners.pop(ended.job, None)
            if link is not None:
                link.ended(ended)
        self._arm()


class PortLink(asyncio.Protocol):
    """One connection to a port server: one request at a time."""

    def __init__(self, server: PortServer, late_ms: float = 0.0) -> None:
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport
        self._late_ms = late_ms  # by which its first request is read late
        self._capped = False
        self._fields: dict[bytes, bytes] = {}
        self._target = b""
        self._raw = 0
        self._first_s = 0.0
        self._whole = False
        self._job: Job | None = None
        self._row: Execution | None = None
        self._size = 0
        self._probing = False
        self._timers: set[asyncio.TimerHandle] = set()
        self.dead = False  # half-open: what comes is swallowed
        self.idle_since: float | None = None

    def mute(self) -> None:
        """Answer nothing from now on, as a machine that is cut off."""
        self.dead = True

    def close(self) -> None:
        """Close it between requests."""
        self._transport.close()

    def reset(self) -> None:
        """Reset it, whatever it holds."""
        sock = self._transport.get_extra_info("socket")
        if sock is not None and not self._transport.is_closing():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        self._transport.abort()

    # --- called by the loop ------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accepted."""
        self._transport = cast(asyncio.Transport, transport)
        self.idle_since = self._loop.time()
        self._capped = not self._server.opened(self)

    def data_received(self, data: bytes) -> None:
        """Bytes of a request; what is none, or has no end, is reset."""
        self._raw += len(data)
        self.idle_since = None
        if self._raw > RAW_MOST:
            self.reset()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.reset()
            return
        if self._whole:
            self._whole, self._raw = False, 0
            if self._row is not None or self._probing:
                self.reset()  # a second request while one is out: nobody here sends that
            else:
                self._begin()

    def connection_lost(self, error: Exception | None) -> None:
        """Closed: work on what it holds stops."""
        for timer in self._timers:
            timer.cancel()
        self._timers.clear()
        if self._job is not None:
            self._server.cancel(self._job)
        if self._row is not None and not self._row.end:
            self._note("cut")
        self._server.closed(self)
        del self._parser  # it refers back

    # --- called by the parser ------------------------------------------------------------

    def on_message_begin(self) -> None:
        """Called by the parser."""
        self._target, self._fields = b"", {}
        self._first_s = self._loop.time()

    def on_url(self, target: bytes) -> None:
        """Called by the parser."""
        self._target += target

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser."""
        self._fields[name.lower()] = value

    def on_message_complete(self) -> None:
        """Called by the parser: a server begins with the last byte."""
        self._whole = True

    # --- the work ------------------------------------------------------------------------

    def _begin(self) -> None:
        path, _, query = self._target.decode("latin-1").partition("?")
        call = self._fields.get(b"x-call-id", b"").decode("latin-1")
        if not call:
            self._plain(path)
            return
        try:
            job = self._read(query)
        except ValueError:
            self._answer(400)
            return
        self._job, self._row = job, self._opened_row(call, job, path)
        self._late_ms = 0.0
        self._server.records.add(self._row)
        if self.dead:
            self._row.fate = "lost"
            self._note("lost")
        elif self._server.struck("fail"):
            self._row.fate, self._row.began_s = "failed", self._loop.time()
            self._later(QUICK_MS / 1000.0 + self._server.pause_s(), self._fail)
        elif refusal := self._server.offer(self, job, self._capped):
            self._row.fate = f"turned away: {refusal}"
            if refusal != "down":
                self._later(self._server.pause_s(), self._turn_away, 504 if refusal == "over" else 503)

    def _read(self, query: str) -> Job:
        """What a request asks for; `ValueError` where its figures are none."""
        asked = dict(parse_qsl(query))
        work_ms, io_ms = float(asked.get("work", "10")), float(asked.get("io", "0"))
        self._size = int(asked.get("size", "0"))
        if not (0.0 <= work_ms <= WORK_MOST_MS and 0.0 <= io_ms <= WORK_MOST_MS):
            raise ValueError("out of range")
        token = self._fields.get(b"idempotency-key", b"").decode("latin-1")
        budget = self._fields.get(b"x-budget", b"").decode("latin-1")
        deadline_ms = self._server.now_ms + budget_ms(budget) if budget else float("inf")
        return Job(work_ms, io_ms, asked.get("key", ""), token, deadline_ms)

    def _opened_row(self, call: str, job: Job, path: str) -> Execution:
        unsafe = self._parser.get_method() == b"POST" and not job.token
        return Execution(
            call=call,
            token=job.token,
            server=self._server.name,
            zone=self._server.zone,
            semantics="unsafe" if unsafe else "keyed" if job.token else "safe",
            first_s=self._first_s,
            last_s=self._loop.time(),
            read_late_ms=self._late_ms,
            work_ms=job.work_ms,
        )

    def _plain(self, path: str) -> None:
        """No call: a probe, or nothing that is here."""
        if path != "/health/live" and not (path == "/stats" and self._server.make.report):
            self._answer(404)
        elif self.dead:
            pass
        elif self._server.probe(self):
            self._probing = True
        else:
            self._answer(503)

    def ended(self, ended: Ended) -> None:
        """Its machine is done with what this connection holds."""
        if self._probing:
            self._probing = False
            self._answer(200)
            return
        if self._row is None:
            return
        self._row.began_s = None if ended.job.began_ms is None else ended.job.began_ms / 1000.0
        self._row.repeat = ended.job.repeat
        if ended.end == "over":
            self._row.fate = "turned away: over"
            self._turn_away(504)
        elif self.dead or self._server.struck("lose"):
            self._note("unanswered")  # and the connection stays as it is
        elif self._server.struck("spoil"):
            self._spoil()
        else:
            body = body_for(self._row.call, self._size)
            self._note("served")
            self._answer(200, body)
        if not self.dead and self._server.struck("half_open"):
            self.dead = True

    def _spoil(self) -> None:
        """An answer that is none: half of one, noise, or one that ends before its length."""
        assert self._row is not None
        whole = self._whole_answer(200, body_for(self._row.call, max(self._size, 200)), b"")
        self._note("spoilt")
        self._transport.write(self._server.pick(whole[: len(whole) // 2], NOISE * 8, whole[:-1]))
        self._later(HALF_S, self.reset)

    def _fail(self) -> None:
        self._note("error")
        self._answer(500)

    def _turn_away(self, status: int) -> None:
        self._note("turned away")
        self._answer(status, rejected=True)

    def _note(self, end: str) -> None:
        """The end of the row at hand; the connection has room for the next one."""
        if self._row is not None:
            if self._job is not None and self._row.began_s is None and self._job.began_ms is not None:
                self._row.began_s, self._row.repeat = self._job.began_ms / 1000.0, self._job.repeat
            self._row.end, self._row.ended_s = end, self._loop.time()
        if end not in ("unanswered", "lost"):
            self._job = self._row = None

    def _answer(self, status: int, body: bytes = b"", rejected: bool = False) -> None:
        if self.dead or self._transport.is_closing():
            return
        more = b"X-Rejected: 1\r\n" if rejected else b""
        if self._capped:
            more += b"Connection: close\r\n"
        self._transport.write(self._whole_answer(status, body, more))
        self.idle_since = self._loop.time()
        if self._capped:
            self._transport.close()

    def _whole_answer(self, status: int, body: bytes, more: bytes) -> bytes:
        machine = self._server.machine
        if machine is not None and machine.make.report:
            report = ",".join(f"{name}={value:g}" for name, value in machine.report().items())
            more += b"X-Load-Report: %b\r\n" % report.encode()
        return b"HTTP/1.1 %d stand-in\r\n%bContent-Length: %d\r\n\r\n%b" % (status, more, len(body), body)

    def _later(self, delay_s: float, what: Any, *args: Any) -> None:
        """A timer that ends with the connection."""

        def run() -> None:
            self._timers.discard(timer)
            what(*args)

        timer = self._loop.call_later(delay_s, run)
        self._timers.add(timer)


def budget_ms(text: str) -> float:
    """`480m` or `480000u` as milliseconds; `ValueError` where it is neither."""
    number, unit = text[:-1], text[-1:]
    if unit not in ("m", "u") or not number.replace(".", "", 1).isdigit():
        raise ValueError(f"no time: {text!r}")
    return float(number) / (1.0 if unit == "m" else 1000.0)


# --- processes ---------------------------------------------------------------------------


class PortHost:
    """The port servers of one data centre in a process of their own, as their owner sees them."""

    def __init__(self, helper: Helper) -> None:
        self._helper = helper
        self._asking = asyncio.Lock()  # it takes one command at a time
        self.addresses: dict[str, str] = {}

    @classmethod
    async def start(
        cls,
        zone: str,
        makes: dict[str, Make],
        *,
        seed: int = 1,
        window_ms: float = 1200.0,
        idle_close_ms: float = 5000.0,
    ) -> PortHost:
        """Start servers of these makes, warm, by name; `ProgramError` if they can't be."""
        arguments = ["--zone", zone, "--seed", str(seed), "--window-ms", str(window_ms)]
        helper = await Helper.start("rig.portservers", [*arguments, "--idle-close-ms", str(idle_close_ms)])
        host = cls(helper)
        try:
            await helper.hear()
            built = {name: asdict(make) for name, make in makes.items()}
            host.addresses = dict(await host._ask(do="build", makes=built))
        except BaseException:
            await helper.stop()
            raise
        return host

    async def act(self, server: str, act: str, **figures: Any) -> None:
        """Let one server die, start, vanish, and so on; see `PortServer`. `ProgramError` if it can't."""
        await self._ask(do="act", server=server, act=act, **figures)

    async def executions(self) -> list[Execution]:
        """All that its servers were sent, to be asked once all has ended: what is told is forgotten."""
        rows: list[Execution] = []
        while part := await self._ask(do="executions"):
            rows += [Execution(*row) for row in part]
        return rows

    async def summary(self) -> dict[str, Any]:
        """Starts, falls, counts, and the lag and CPU time of the process itself."""
        return dict(await self._ask(do="summary"))

    async def stop(self) -> None:
        """End the process."""
        await self._helper.stop()

    async def _ask(self, **command: Any) -> Any:
        async with self._asking:
            return await self._helper.ask(**command)


class Host:
    """The servers of one process, and the commands that it takes."""

    def __init__(self, given: argparse.Namespace) -> None:
        self._given = given
        self._records = ServerRecords.new()
        self._repeats = Repeats(given.window_ms)
        self._lag = LagWatch()
        self._servers: dict[str, PortServer] = {}

    async def run(self) -> None:
        """Serve until the owner hangs up."""
        self._lag.start()
        say({"ready": True})
        await obey_until_hung_up(self.obey)

    def obey(self, do: str, **command: Any) -> Any:
        """One command; `ValueError` where there is none of that name."""
        match do:
            case "build":
                return self._build(command["makes"])
            case "act":
                return self._act(**command)
            case "executions":
                return self._executions()
            case "summary":
                return self._summary()
        raise ValueError(f"no command {do!r}")

    def _build(self, makes: dict[str, dict[str, Any]]) -> dict[str, str]:
        given = self._given
        for name, figures in makes.items():
            server = PortServer(
                name,
                Make(**{**figures, "report": tuple(figures.get("report", ()))}),
                self._repeats,
                self._records,
                zone=given.zone,
                seed=given.seed,
                idle_close_ms=given.idle_close_ms,
            )
            server.start(cold=False)
            self._servers[name] = server
        return {name: server.address for name, server in self._servers.items()}

    def _act(self, server: str, act: str, **figures: Any) -> str:
        if act not in ("start", "die", "vanish", "back", "drain", "stall", "fault"):
            raise ValueError(f"no act {act!r}")
        getattr(self._servers[server], act)(**figures)
        return "done"

    def _executions(self) -> list[list[Any]]:
        """The oldest rows, which are forgotten."""
        part, self._records.executions = (
            self._records.executions[:ROWS_A_TIME],
            self._records.executions[ROWS_A_TIME:],
        )
        names = [field.name for field in fields(Execution)]
        return [[getattr(row, name) for name in names] for row in part]

    def _summary(self) -> dict[str, Any]:
        records = self._records
        return {
            "starts": [asdict(start) for start in records.starts],
            "falls": records.falls,
            "unrecorded": records.unrecorded,
            "connections": records.connections,
            "lag": self._lag.summary(),
            "cpu_s": time.process_time(),
        }


def parser() -> argparse.ArgumentParser:
    """The command line of a process of port servers."""
    made = argparse.ArgumentParser(prog="python -m rig.portservers", description=__doc__)
    made.add_argument("--zone", default="west", help="their data centre")
    made.add_argument("--seed", default="1")
    made.add_argument("--window-ms", type=float, default=1200.0, help="in which it drops repeats of a key")
    made.add_argument("--idle-close-ms", type=float, default=5000.0)
    return made


def main(arguments: Sequence[str] | None = None) -> int:
    """Host port servers until standard input ends; the exit code."""
    given = parser().parse_args(arguments)
    prepare()
    # Guards against collections over all rows, whose pauses would be taken for the servers' own.
    gc.set_threshold(50_000, 50, 1000)
    asyncio.run(Host(given).run())
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""Port servers that run the model of `rig.model` on sockets, with faults that can be switched on and off.

`PortServer` runs in any event loop. `python -m rig.portservers` hosts the servers of one data centre in one
process, since they share the detection of repeats; `PortHost` starts and controls that process. All reported
times are seconds of CLOCK_MONOTONIC, which all processes of a machine share.
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
PLUGS = 2  # connections that fill a backlog of 0, so that no other can be established
MAX_REQUEST_BYTES = 256 * 1024  # including chunk framing
MAX_ROWS = 500_000  # stored executions; further ones are only counted
ROWS_PER_LINE = 5_000  # rows per line of output
MAX_ACCEPTS = 256  # connections accepted per event of the listener
MAX_LINKS = 8192  # connections of one server, whatever its limit; further ones are closed at once
SWEEP_S = 0.25
QUICK_FAILURE_MS = 2.0  # delay of a quick failure
MALFORMED_RESET_S = 0.005  # time from a malformed answer to the reset
MAX_WORK_MS = 60_000.0
NO_LINGER = struct.pack("ii", 1, 0)

Fault = Literal["fail", "lose", "spoil", "half_open", "slow_accept"]
FAULTS: tuple[Fault, ...] = ("fail", "lose", "spoil", "half_open", "slow_accept")


@dataclass
class ServerRecords:
    """Rows and counts of the servers of one process; rows are handed over once."""

    executions: list[Execution]
    starts: list[Start]
    falls: list[tuple[str, float]]
    unrecorded: int = 0  # executions beyond the limit
    connections: int = 0

    @classmethod
    def new(cls) -> ServerRecords:
        """Create empty records."""
        return cls([], [], [])

    def add(self, row: Execution) -> None:
        """Store an execution, or only count it if the limit is reached."""
        if len(self.executions) < MAX_ROWS:
            self.executions.append(row)
        else:
            self.unrecorded += 1


class PortServer:
    """A port server: a listener, the model while its process runs, and its faults."""

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
        self.machine: Machine | None = None  # None while its process is not running
        self.vanished = False
        self.faults: dict[str, float] = {}  # degree by kind: a share, or milliseconds for `slow_accept`
        self._repeats = repeats
        self._rng = random.Random(f"{seed}/{name}")
        self._idle_close_s = idle_close_ms / 1000.0
        self._port_holder = hold_port()  # keeps the port reserved while the server does not listen
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
        """Address that it listens on, also while it is down."""
        host, port = self._port_holder.getsockname()
        return f"{host}:{port}"

    # --- lifecycle and faults --------------------------------------------------------

    def start(self, cold: bool = True) -> None:
        """Start with empty state; do nothing if the server runs or has failed from overload."""
        if self.machine is not None:
            return
        self.machine = Machine(self.make, self._repeats, self.now_ms, cold)
        if cold:
            self.records.starts.append(Start.of(self.name, self._loop.time(), self.make))
        self._listen()
        self._sweep()

    def die(self) -> None:
        """Simulate the end of the process: reset connections and refuse new ones."""
        if self.machine is not None and self.machine.fallen_ms is None:
            for job in self._owners:
                self.machine.cancel(
                    self.now_ms, job
                )  # otherwise its data centre would regard its token as running
            self._owners.clear()
            self._down()
            self.machine = None

    def vanish(self) -> None:
        """Simulate a network failure: connections stay open but silent, and no new ones come up."""
        if self._listener is None or self.vanished:
            return
        self.vanished = True
        self._loop.remove_reader(self._listener.fileno())
        self._listener.listen(0)
        for _ in range(PLUGS):
            plug = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
            plug.connect_ex(self._port_holder.getsockname())
            self._plugs.append(plug)
        for link in self._links:
            link.mute()

    def back(self) -> None:
        """Become reachable again after `vanish` and reset all connections; the process kept running."""
        if not self.vanished:
            return
        self.vanished = False
        for link in list(self._links):
            link.reset()
        self._unlisten()
        self._listen()

    def drain(self) -> None:
        """Complete accepted requests and reject new ones."""
        if self.machine is not None:
            self.machine.draining = True

    def stall(self, for_ms: float) -> None:
        """Pause the server for `for_ms`."""
        if self.machine is not None:
            self.machine.stall(self.now_ms, for_ms)
            self._arm()

    def fault(self, kind: Fault, degree: float) -> None:
        """Set a fault.

        Args:
            kind: The kind of fault.
            degree: A share, or milliseconds for `slow_accept`; 0 ends the fault.

        Raises:
            ValueError: If the kind is unknown.
        """
        if kind not in FAULTS:
            raise ValueError(f"fault must be one of {', '.join(FAULTS)}, got {kind!r}")
        self.faults[kind] = degree
        if kind == "half_open":
            for link in self._links:
                link.dead = link.dead or self._rng.random() < degree

    def close(self) -> None:
        """Stop the server and release its port."""
        self._down()
        self.machine = None
        self._port_holder.close()

    def struck(self, kind: Fault) -> bool:
        """Draw whether a fault occurs this time."""
        share = self.faults.get(kind, 0.0)
        return share > 0.0 and self._rng.random() < share

    def pick(self, *ways: bytes) -> bytes:
        """Draw one of these."""
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
        sock.bind(self._port_holder.getsockname())
        sock.listen(BACKLOG)
        self._listener = sock
        self._loop.add_reader(sock.fileno(), self._accept)

    def _unlisten(self) -> None:
        if self._listener is not None:
            self._loop.remove_reader(self._listener.fileno())
            self._listener.close()  # resets connections that were not accepted
            self._listener = None
        for plug in self._plugs:
            plug.close()
        self._plugs.clear()

    def _accept(self) -> None:
        for _ in range(MAX_ACCEPTS):
            if self._listener is None:
                return
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            if len(self._links) + len(self._tasks) >= MAX_LINKS:
                sock.close()
                continue
            sock.setblocking(False)
            task = self._loop.create_task(self._serve(sock, self.faults.get("slow_accept", 0.0)))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _serve(self, sock: socket.socket, late_ms: float) -> None:
        """Serve an accepted connection after a delay of `late_ms`."""
        try:
            if late_ms > 0.0:
                await asyncio.sleep(late_ms / 1000.0)
            await self._loop.connect_accepted_socket(lambda: PortLink(self, late_ms), sock)
        except (asyncio.CancelledError, OSError):
            sock.close()
            raise

    def opened(self, link: PortLink) -> bool:
        """Register a new connection; return whether it is within the limit."""
        self._links.add(link)
        self.records.connections += 1
        if self.vanished:
            link.mute()
        is_within_limit = self.machine is not None and self.machine.connect(self.now_ms)
        self._arm()
        return is_within_limit

    def closed(self, link: PortLink) -> None:
        """Remove a closed connection."""
        self._links.discard(link)
        if self.machine is not None:
            self.machine.disconnect()

    def _sweep(self) -> None:
        """Close connections past the idle timeout."""
        latest_idle_s = self._loop.time() - self._idle_close_s
        if not self.vanished:
            for link in list(self._links):
                if link.idle_since is not None and link.idle_since <= latest_idle_s and not link.dead:
                    link.close()
        self._sweeping = self._loop.call_later(SWEEP_S, self._sweep)

    # --- work ------------------------------------------------------------------------

    @property
    def now_ms(self) -> float:
        """Time of the event loop in milliseconds."""
        return self._loop.time() * 1000.0

    def offer(self, link: PortLink, job: Job, capped: bool) -> str:
        """Offer a request to the model; return the reason for a rejection, or ""."""
        assert self.machine is not None
        refusal = self.machine.offer(self.now_ms, job, capped)
        if self.machine.fallen_ms is not None:
            self.records.falls.append((self.name, self._loop.time()))
            self._down()  # stays down: `start` does nothing while there is a machine
            return "down"
        if not refusal:
            self._owners[job] = link
        self._arm()
        return refusal

    def probe(self, link: PortLink) -> bool:
        """Begin a health probe; return False if it is not answered."""
        job = self.machine.probe(self.now_ms) if self.machine is not None else None
        if job is not None:
            self._owners[job] = link
        self._arm()
        return job is not None

    def cancel(self, job: Job) -> None:
        """Cancel a request whose connection has closed."""
        if self._owners.pop(job, None) is not None and self.machine is not None:
            self.machine.cancel(self.now_ms, job)
            self._arm()

    def pause_s(self) -> float:
        """Return the seconds until an answer due now can be sent."""
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
        # A timer may fire slightly early, so include events due within 0.05 ms.
        for ended in self.machine.advance(self.now_ms + 0.05):
            link = self._owners.pop(ended.job, None)
            if link is not None:
                link.ended(ended)
        self._arm()


class PortLink(asyncio.Protocol):
    """A connection to a port server, with one request at a time."""

    def __init__(self, server: PortServer, late_ms: float = 0.0) -> None:
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport
        self._late_ms = late_ms  # delay with which its first request is read
        self._capped = False
        self._fields: dict[bytes, bytes] = {}
        self._target = b""
        self._request_bytes = 0
        self._first_s = 0.0
        self._is_complete = False
        self._job: Job | None = None
        self._row: Execution | None = None
        self._size = 0
        self._is_probing = False
        self._timers: set[asyncio.TimerHandle] = set()
        self.dead = False  # half-open: input is discarded
        self.idle_since: float | None = None

    def mute(self) -> None:
        """Stop answering, as if the network had failed."""
        self.dead = True

    def close(self) -> None:
        """Close it between requests."""
        self._transport.close()

    def reset(self) -> None:
        """Reset it, with any request in flight."""
        sock = self._transport.get_extra_info("socket")
        if sock is not None and not self._transport.is_closing():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        self._transport.abort()

    # --- called by the loop ------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with its server."""
        self._transport = cast(asyncio.Transport, transport)
        self.idle_since = self._loop.time()
        self._capped = not self._server.opened(self)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of a request; reset the connection on invalid or oversized ones."""
        self._request_bytes += len(data)
        self.idle_since = None
        if self._request_bytes > MAX_REQUEST_BYTES:
            self.reset()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.reset()
            return
        if self._is_complete:
            self._is_complete, self._request_bytes = False, 0
            if self._row is not None or self._is_probing:
                self.reset()  # pipelined requests are not supported; no client of the rig sends them
            else:
                self._begin()

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the request in flight and record it as cut."""
        for timer in self._timers:
            timer.cancel()
        self._timers.clear()
        if self._job is not None:
            self._server.cancel(self._job)
        if self._row is not None and not self._row.end:
            self._end_row("cut")
        self._server.closed(self)
        del self._parser  # breaks a reference cycle

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
        """Called by the parser: processing begins once the last byte has arrived."""
        self._is_complete = True

    # --- the work ------------------------------------------------------------------------

    def _begin(self) -> None:
        path, _, query = self._target.decode("latin-1").partition("?")
        call = self._fields.get(b"x-call-id", b"").decode("latin-1")
        if not call:
            self._answer_other(path)
            return
        try:
            job = self._parse_job(query)
        except ValueError:
            self._answer(400)
            return
        self._job, self._row = job, self._opened_row(call, job, path)
        self._late_ms = 0.0
        self._server.records.add(self._row)
        if self.dead:
            self._row.fate = "lost"
            self._end_row("lost")
        elif self._server.struck("fail"):
            self._row.fate, self._row.began_s = "failed", self._loop.time()
            self._later(QUICK_FAILURE_MS / 1000.0 + self._server.pause_s(), self._fail)
        elif refusal := self._server.offer(self, job, self._capped):
            self._row.fate = f"turned away: {refusal}"
            if refusal != "down":
                self._later(self._server.pause_s(), self._reject, 504 if refusal == "over" else 503)

    def _parse_job(self, query: str) -> Job:
        """Parse a request.

        Raises:
            ValueError: If a number is malformed or out of range.
        """
        parameters = dict(parse_qsl(query))
        work_ms, io_ms = float(parameters.get("work", "10")), float(parameters.get("io", "0"))
        self._size = int(parameters.get("size", "0"))
        if not (0.0 <= work_ms <= MAX_WORK_MS and 0.0 <= io_ms <= MAX_WORK_MS):
            raise ValueError(f"work and io must be from 0 to {MAX_WORK_MS:g} ms, got {work_ms} and {io_ms}")
        token = self._fields.get(b"idempotency-key", b"").decode("latin-1")
        budget = self._fields.get(b"x-budget", b"").decode("latin-1")
        deadline_ms = self._server.now_ms + budget_ms(budget) if budget else float("inf")
        return Job(work_ms, io_ms, parameters.get("key", ""), token, deadline_ms)

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

    def _answer_other(self, path: str) -> None:
        """Answer a request without a call id: a probe, or 404 for an unknown path."""
        if path != "/health/live" and not (path == "/stats" and self._server.make.report):
            self._answer(404)
        elif self.dead:
            pass
        elif self._server.probe(self):
            self._is_probing = True
        else:
            self._answer(503)

    def ended(self, ended: Ended) -> None:
        """Answer a probe or request whose work has ended, unless a fault prevents it."""
        if self._is_probing:
            self._is_probing = False
            self._answer(200)
            return
        if self._row is None:
            return
        self._row.began_s = None if ended.job.began_ms is None else ended.job.began_ms / 1000.0
        self._row.repeat = ended.job.repeat
        if ended.end == "over":
            self._row.fate = "turned away: over"
            self._reject(504)
        elif self.dead or self._server.struck("lose"):
            self._end_row("unanswered")  # the connection stays open without an answer
        elif self._server.struck("spoil"):
            self._spoil()
        else:
            body = body_for(self._row.call, self._size)
            self._end_row("served")
            self._answer(200, body)
        if not self.dead and self._server.struck("half_open"):
            self.dead = True

    def _spoil(self) -> None:
        """Send a malformed answer: half of one, noise, or one that lacks its last byte."""
        assert self._row is not None
        whole = self._format_answer(200, body_for(self._row.call, max(self._size, 200)), b"")
        self._end_row("spoilt")
        self._transport.write(self._server.pick(whole[: len(whole) // 2], NOISE * 8, whole[:-1]))
        self._later(MALFORMED_RESET_S, self.reset)

    def _fail(self) -> None:
        self._end_row("error")
        self._answer(500)

    def _reject(self, status: int) -> None:
        self._end_row("turned away")
        self._answer(status, rejected=True)

    def _end_row(self, end: str) -> None:
        """Record the end of the current row and, unless it stays without an answer, allow another request."""
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
        self._transport.write(self._format_answer(status, body, more))
        self.idle_since = self._loop.time()
        if self._capped:
            self._transport.close()

    def _format_answer(self, status: int, body: bytes, more: bytes) -> bytes:
        machine = self._server.machine
        if machine is not None and machine.make.report:
            report = ",".join(f"{name}={value:g}" for name, value in machine.report().items())
            more += b"X-Load-Report: %b\r\n" % report.encode()
        return b"HTTP/1.1 %d stand-in\r\n%bContent-Length: %d\r\n\r\n%b" % (status, more, len(body), body)

    def _later(self, delay_s: float, callback: Any, *args: Any) -> None:
        """Call a function after a delay, unless the connection closes first."""

        def run() -> None:
            self._timers.discard(timer)
            callback(*args)

        timer = self._loop.call_later(delay_s, run)
        self._timers.add(timer)


def budget_ms(text: str) -> float:
    """Convert a budget such as `480m` or `480000u` to milliseconds.

    Raises:
        ValueError: If the text has another form.
    """
    number, unit = text[:-1], text[-1:]
    if unit not in ("m", "u") or not number.replace(".", "", 1).isdigit():
        raise ValueError(f"a budget must be a number followed by m or u, got {text!r}")
    return float(number) / (1.0 if unit == "m" else 1000.0)


# --- processes ---------------------------------------------------------------------------


class PortHost:
    """Controls a process that hosts the port servers of one data centre."""

    def __init__(self, helper: Helper) -> None:
        self._helper = helper
        self._asking = asyncio.Lock()  # the process accepts one command at a time
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
        """Start warm servers with these properties by name.

        Raises:
            ProgramError: If they fail to start.
        """
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
        """Call a lifecycle or fault method of one server, such as `PortServer.die`.

        Raises:
            ProgramError: If the call fails.
        """
        await self._ask(do="act", server=server, act=act, **figures)

    async def executions(self) -> list[Execution]:
        """Return and remove all recorded executions; call it once all requests have ended."""
        rows: list[Execution] = []
        while part := await self._ask(do="executions"):
            rows += [Execution(*row) for row in part]
        return rows

    async def summary(self) -> dict[str, Any]:
        """Return starts, failures from overload, counts, and the lag and CPU time of the process."""
        return dict(await self._ask(do="summary"))

    async def stop(self) -> None:
        """Stop the process."""
        await self._helper.stop()

    async def _ask(self, **command: Any) -> Any:
        async with self._asking:
            return await self._helper.ask(**command)


class Host:
    """Runs the servers of one process and its commands."""

    def __init__(self, given: argparse.Namespace) -> None:
        self._given = given
        self._records = ServerRecords.new()
        self._repeats = Repeats(given.window_ms)
        self._lag = LagWatch()
        self._servers: dict[str, PortServer] = {}

    async def run(self) -> None:
        """Serve until the owner closes standard input."""
        self._lag.start()
        say({"ready": True})
        await obey_until_hung_up(self.obey)

    def obey(self, do: str, **command: Any) -> Any:
        """Run a command.

        Raises:
            ValueError: If there is no command of that name.
        """
        match do:
            case "build":
                return self._build(command["makes"])
            case "act":
                return self._act(**command)
            case "executions":
                return self._executions()
            case "summary":
                return self._summary()
        raise ValueError(f"command must be build, act, executions or summary, got {do!r}")

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
            raise ValueError(f"unknown act {act!r}")
        getattr(self._servers[server], act)(**figures)
        return "done"

    def _executions(self) -> list[list[Any]]:
        """Return and remove the oldest rows."""
        part, self._records.executions = (
            self._records.executions[:ROWS_PER_LINE],
            self._records.executions[ROWS_PER_LINE:],
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
    """Return the parser of the command line."""
    made = argparse.ArgumentParser(prog="python -m rig.portservers", description=__doc__)
    made.add_argument("--zone", default="west", help="their data centre")
    made.add_argument("--seed", default="1")
    made.add_argument("--window-ms", type=float, default=1200.0, help="in which it drops repeats of a key")
    made.add_argument("--idle-close-ms", type=float, default=5000.0)
    return made


def main(arguments: Sequence[str] | None = None) -> int:
    """Host port servers until standard input ends; return the exit code."""
    given = parser().parse_args(arguments)
    prepare()
    # Collect rarely: a collection over all rows pauses the process, which looks like a pause of its servers.
    gc.set_threshold(50_000, 50, 1000)
    asyncio.run(Host(given).run())
    return 0


if __name__ == "__main__":
    sys.exit(main())

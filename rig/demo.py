"""Demonstration: four servers behind the program, under load; one server is killed and restarted.

`python -m rig.demo [--seconds N] [--seed N]`, or `make demo`. In 20 s, the server is killed at second 8 and
restarted at second 14. The load is sent by `fordtrestle load`; its report and plot are kept in a folder that
is named at the end. Exit codes: 0 shown, 1 nothing was served before, while it was away or after, 2 bad input
or a program that can't be started or ends too early, 130 ended by Ctrl-C.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import importlib.util
import json
import math
import shutil
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Callable, Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from rig.balancers import Target, serving
from rig.helper import ROOT
from rig.loading import Loading
from rig.messages import KNOWN_TENANT
from rig.process import Peaks, ProgramError, sampled
from rig.servers import Fleet, hold_port

SHOWN, NOT_SERVED, BAD_INPUT, INTERRUPTED = 0, 1, 2, 130
SERVERS = 4
KILLED = 1  # index of the server that is killed
SECONDS, MIN_SECONDS, MAX_SECONDS = 20.0, 5.0, 600.0
GONE, BACK = 8.0 / SECONDS, 14.0 / SECONDS  # as shares of the length
LIVE_WIDTH = 72  # of the line of the load generator
UNSOUND = "  this machine was too busy to send in time: believe what was served, not the latencies"
REPORT, PLOT, SPEC = "report.json", "report.svg", "load.toml"

OPERATOR = f"""
[front.web]
protocol = "http"
listen = "127.0.0.1:0"           # a port that the system chooses
service = "shop"

[service.shop]
source = "fleet"
attempts_most = 3                # of one call, the first included
idle_close_ms = 5000             # servers close what has stood idle for so long
tenants = [{{ name = "{KNOWN_TENANT}", share = 1.0 }}]

[service.shop.class.look]        # GET /look...: may be repeated at will
semantics = "safe"
aim_ms = 150                     # an answer within it is good
deadline_ms = 1000

[service.shop.class.book]        # POST /book... with an Idempotency-Key
semantics = "keyed"
key_window_ms = 30000            # so long a server knows a key
aim_ms = 300
deadline_ms = 1000
worth = 3

[service.shop.class.pay]         # POST /pay...: never sent again once it may have run
semantics = "unsafe"
aim_ms = 500
deadline_ms = 1000
worth = 5

[source.fleet]
kind = "static"
"""
SERVER = """
[[source.fleet.server]]
name = "{name}"
address = "{address}"
"""
LOAD = """
[target]
address = "{address}"

[run]
length_s = {length_s:g}
seed = {seed}
spin_ms = 50                     # the worker never sleeps: an idle machine's core would wake late

[arrivals.base]                  # two waves of Poisson arrivals
shape = "wave"
mean_per_s = 120
swing_per_s = 60
period_s = {wave_s:g}

[arrivals.burst]                 # some 40 more within 50 ms, four times
shape = "bursts"
starts_s = {burst_at_s:g}
on_per_s = 800
on_s = 0.05
off_per_s = 0
off_s = {burst_off_s:g}

[class.look]
semantics = "pure"
share = 8
aim_ms = 150
budget_ms = 1000

[class.book]
semantics = "keyed"
share = 1.5
aim_ms = 300
budget_ms = 1000
worth = 3

[class.pay]
semantics = "unsafe"
share = 0.5
aim_ms = 500
budget_ms = 1000
worth = 5

[tenant.{tenant}]

[keys]
count = 1000

[[size]]
bytes = 200
"""

Say = Callable[[str], None]


def load_of(seconds: float, seed: int, address: str) -> str:
    """Return the load file for an address and a length in seconds."""
    return LOAD.format(
        address=address,
        length_s=seconds,
        seed=seed,
        wave_s=seconds / 2.0,
        burst_at_s=seconds / 8.0,
        burst_off_s=seconds / 4.0 - 0.01,
        tenant=KNOWN_TENANT,
    )


class Stand:
    """A server in its own process, whose port stays reserved while it is down."""

    def __init__(self, name: str, seed: int) -> None:
        self.name = name
        self._seed = seed
        self._port_holder = hold_port()
        self._fleet: Fleet | None = None
        self._last_received = 0  # requests in its ledger at the last query
        self._unreported = 0  # unreported requests of the killed process
        self._asking = asyncio.Lock()  # the process accepts one command at a time

    @property
    def address(self) -> str:
        """Address that it listens on."""
        host, port = self._port_holder.getsockname()
        return f"{host}:{port}"

    async def start(self) -> None:
        """Start it with empty state.

        Raises:
            ProgramError: If it fails to start.
        """
        self._fleet = await Fleet.start(1, seed=self._seed, ports=[self._port_holder.getsockname()[1]])

    async def kill(self) -> None:
        """Kill it."""
        async with self._asking:
            self._unreported += await self._new()
            fleet, self._fleet, self._last_received = self._fleet, None, 0
            if fleet is not None:
                await fleet.kill()

    async def stop(self) -> None:
        """Stop it and release its port."""
        fleet, self._fleet = self._fleet, None
        if fleet is not None:
            await fleet.stop()
        self._port_holder.close()

    async def received(self) -> int:
        """Return the number of requests received since the last call; 0 while it is down."""
        async with self._asking:
            new, self._unreported = self._unreported + await self._new(), 0
        return new

    async def _new(self) -> int:
        if self._fleet is None:
            return 0
        before, self._last_received = self._last_received, int((await self._fleet.ledger())["received"])
        return self._last_received - before


@dataclass(frozen=True, slots=True)
class Row:
    """Data of a line, `second` seconds after the first request."""

    second: int
    received: list[int]  # by each server since the previous line


@dataclass(frozen=True, slots=True)
class Part:
    """Requests that were due in a set of whole seconds. `p99_ms` is that of the worst second."""

    asked: int
    served: int
    in_aim: float  # weighted share served within the latency target
    p99_ms: float

    @classmethod
    def of(cls, seconds: Sequence[dict[str, Any]]) -> Part:
        """Create it from rows of a report."""
        worth = sum(row["worth_asked"] for row in seconds)
        return cls(
            sum(row["asked"] for row in seconds),
            sum(row["outcomes"]["served"] for row in seconds),
            sum(row["worth_in_aim"] for row in seconds) / worth if worth else 0.0,
            max((row["latency_ms"]["p99"] or 0.0 for row in seconds), default=0.0),
        )


@dataclass
class Seen:
    """All results. `gone_unix_s` and `back_unix_s` are the times of the kill and of the restart."""

    rows: list[Row] = field(default_factory=list)
    gone_unix_s: float = math.inf
    back_unix_s: float = math.inf
    report: dict[str, Any] = field(default_factory=dict)
    table: str = ""
    peaks: Peaks = field(default_factory=Peaks)

    @property
    def gone_s(self) -> float:
        """Time of the kill in seconds since the start of the load."""
        return self.gone_unix_s - float(self.report["started_unix_s"])

    @property
    def back_s(self) -> float:
        """Time of the restart in seconds since the start of the load."""
        return self.back_unix_s - float(self.report["started_unix_s"])

    @property
    def parts(self) -> dict[str, Part]:
        """Results before, during and after the absence, which includes the seconds of kill and restart."""
        rows = self.report["seconds"]
        before = [row for row in rows if row["second"] + 1 <= self.gone_s]
        after = [row for row in rows if row["second"] >= self.back_s]
        away = [row for row in rows if row not in before and row not in after]
        return {
            "before": Part.of(before),
            "while it is away": Part.of(away),
            "since it is back": Part.of(after),
        }


class Demo:
    """A demonstration with a running program. `say` is called with each line."""

    def __init__(self, seconds: float, stands: Sequence[Stand], loading: Loading, say: Say) -> None:
        self._stands = stands
        self._say = say
        self._loading = loading
        self._length_s = seconds
        self._loop = asyncio.get_running_loop()
        self._start = math.nan  # start of the load on the clock of the event loop
        self._begun = asyncio.Event()
        self._news: list[str] = []  # events since the last line
        self.seen = Seen()

    async def run(self) -> None:
        """Run until the load ends.

        Raises:
            ProgramError: If a part ends early; alone or in an exception group.
        """
        names = "".join(stand.name.rjust(5) for stand in self._stands)
        self._say("the load generator's line".ljust(LIVE_WIDTH) + names + "   requests sent to each")
        async with asyncio.TaskGroup() as group:
            kill_task = group.create_task(self._kill_and_restart(self._stands[KILLED]))
            await self._rows()
            kill_task.cancel()  # has already ended, unless the load ended too early
        self.seen.table = await self._loading.end()

    async def _kill_and_restart(self, stand: Stand) -> None:
        """Kill a server and restart it."""
        await self._until(GONE * self._length_s)
        self.seen.gone_unix_s = time.time()
        await stand.kill()
        self._news.append(f"{stand.name} is killed")
        await self._until(BACK * self._length_s)
        await stand.start()
        self.seen.back_unix_s = time.time()
        self._news.append(f"{stand.name} is back")

    async def _rows(self) -> None:
        """Write a line for each line of the load generator; the first one gives the start time."""
        async for second, live in self._loading.lines():
            if not self._begun.is_set():
                self._start = self._loop.time() - second
                self._begun.set()
            row = Row(second, [await stand.received() for stand in self._stands])
            self.seen.rows.append(row)
            cells = "".join(str(count).rjust(5) for count in row.received)
            news, self._news = ", ".join(self._news), []
            self._say(f"{live.ljust(LIVE_WIDTH)}{cells}   {news}".rstrip())

    async def _until(self, at_s: float) -> None:
        await self._begun.wait()
        await asyncio.sleep(max(0.0, self._start + at_s - self._loop.time()))


def summary(seen: Seen, name: str) -> list[str]:
    """Return the results in a few lines; `name` is the killed server."""
    lines = [f"{name} was away from second {seen.gone_s:.1f} to {seen.back_s:.1f}; by whole seconds:"]
    for when, part in seen.parts.items():
        served = f"{part.served} of {part.asked} served"
        lines.append(
            f"  {when}: {part.in_aim:.2%} of the worth in aim, {served}, worst p99 {part.p99_ms:.0f} ms"
        )
    again = [row.second for row in seen.rows if row.second > seen.back_s and row.received[KILLED]]
    trusted = f"is sent requests again by second {again[0]}" if again else "is not yet tried again"
    lines.append(f"  {name} {trusted}")
    if not seen.report["sound"]:
        lines.append(UNSOUND)
    peaks = seen.peaks
    lines.append(f"the program held {peaks.rss_mb:.0f} MB and {peaks.descriptors} descriptors at the most")
    return lines


def where(folder: Path) -> list[str]:
    """Return lines with the paths of the report and the plot."""
    plot = folder / PLOT
    missing = "none: it needs matplotlib, the extra `plot`"
    return [f"report: {folder / REPORT}", f"plot:   {plot if plot.exists() else missing}"]


@contextlib.asynccontextmanager
async def standing(seed: int) -> AsyncIterator[list[Stand]]:
    """Run the servers, each in its own process.

    Raises:
        ProgramError: If one fails to start.
    """
    stands = [Stand(f"s{number + 1}", seed + number) for number in range(SERVERS)]
    try:
        for stand in stands:
            await stand.start()
        yield stands
    finally:
        await asyncio.gather(*(stand.stop() for stand in stands))


@contextlib.asynccontextmanager
async def loading(seconds: float, seed: int, target: Target, folder: Path) -> AsyncIterator[Loading]:
    """Run the load generator against a program; its results go into the folder."""
    spec = folder / SPEC
    spec.write_text(load_of(seconds, seed, f"{target.host}:{target.port}"), encoding="utf-8")
    words = [str(spec), "--to", f"{target.host}:{target.port}", "--json", str(folder / REPORT)]
    if importlib.util.find_spec("matplotlib") is not None:
        words += ["--plot", str(folder / PLOT)]
    made = await Loading.start(words)
    try:
        yield made
    finally:
        await made.stop()


async def play(seconds: float, seed: int, say: Say, folder: Path) -> Seen:
    """Run the whole demonstration.

    Raises:
        ProgramError: If a part fails; alone or in an exception group.
    """
    async with standing(seed) as stands:
        rows = (SERVER.format(name=stand.name, address=stand.address) for stand in stands)
        async with serving(ROOT, OPERATOR + "".join(rows)) as target:
            say(f"python -m fordtrestle serve {target.config}")
            say(f"  takes requests at {target.host}:{target.port} for {len(stands)} servers")
            say(f"python -m fordtrestle load {folder / SPEC}")
            say(f"  sends them for {seconds:g} s. Ctrl-C ends it all.\n")
            async with loading(seconds, seed, target, folder) as load:
                demo = Demo(seconds, stands, load, say)
                async with sampled(target.program) as demo.seen.peaks:
                    await demo.run()
    demo.seen.report = json.loads((folder / REPORT).read_text(encoding="utf-8"))
    for line in ["", demo.seen.table, "", *summary(demo.seen, stands[KILLED].name), "", *where(folder)]:
        say(line)
    return demo.seen


def _seconds(text: str) -> float:
    seconds = float(text)
    if not MIN_SECONDS <= seconds <= MAX_SECONDS:
        raise argparse.ArgumentTypeError(f"must be from {MIN_SECONDS:g} to {MAX_SECONDS:g}, got {text}")
    return seconds


def _seed(text: str) -> int:
    seed = int(text)
    if not 0 <= seed < 2**63:
        raise argparse.ArgumentTypeError(f"must be from 0 to 2^63 - 1, got {text}")
    return seed


def parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    made = argparse.ArgumentParser(prog="python -m rig.demo", description=__doc__)
    made.add_argument("--seconds", type=_seconds, default=SECONDS, help="how long the load lasts")
    made.add_argument("--seed", type=_seed, default=1)
    return made


def _say(text: str) -> None:
    print(text, flush=True)


@contextlib.contextmanager
def _kept() -> Iterator[Path]:
    """Create a folder that is removed unless it contains a report."""
    folder = Path(tempfile.mkdtemp(prefix="fordtrestle-demo-"))
    try:
        yield folder
    finally:
        if not (folder / REPORT).exists():
            shutil.rmtree(folder, ignore_errors=True)


def _shown(seconds: float, seed: int, folder: Path) -> int:
    code = BAD_INPUT
    try:
        seen = asyncio.run(play(seconds, seed, _say, folder))
        code = SHOWN if all(part.served for part in seen.parts.values()) else NOT_SERVED
    except* ProgramError as errors:
        for error in errors.exceptions:
            print(error, file=sys.stderr)
    return code


def main() -> int:
    """Run the demonstration; return the exit code."""
    given = parser().parse_args()
    with _kept() as folder:
        try:
            return _shown(given.seconds, given.seed, folder)
        except KeyboardInterrupt:
            print("\nended, with all that it had started", file=sys.stderr)
            if (folder / REPORT).exists():
                print("\n".join(where(folder)), file=sys.stderr)
            return INTERRUPTED


if __name__ == "__main__":
    sys.exit(main())

"""A first look: four servers, the program before them, and a load; one server is killed and comes back.

`python -m rig.demo [--seconds N] [--seed N]`, or `make demo`. Of 20 s the server is killed at second 8 and
comes back at second 14. The load is sent by `fordtrestle load`; its report and plot are kept in a folder that
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
KILLED = 1  # the second one
SECONDS, SECONDS_LEAST, SECONDS_MOST = 20.0, 5.0, 600.0
GONE, BACK = 8.0 / SECONDS, 14.0 / SECONDS  # shares of the time
LIVE_WIDTH = 72  # of the load generator's line
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
    """The file of the load that goes to an address for so many seconds."""
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
    """A server in a process of its own, and the port that is kept for it while it is away."""

    def __init__(self, name: str, seed: int) -> None:
        self.name = name
        self._seed = seed
        self._held = hold_port()
        self._fleet: Fleet | None = None
        self._last_received = 0  # requests that its ledger held when it was last asked
        self._left = 0  # requests of the one that was killed, not yet told
        self._asking = asyncio.Lock()  # it takes one command at a time

    @property
    def address(self) -> str:
        """Where it listens."""
        host, port = self._held.getsockname()
        return f"{host}:{port}"

    async def start(self) -> None:
        """Start it, with nothing remembered; `ProgramError` if it can't be."""
        self._fleet = await Fleet.start(1, seed=self._seed, ports=[self._held.getsockname()[1]])

    async def kill(self) -> None:
        """End it amid whatever it does."""
        async with self._asking:
            self._left += await self._new()
            fleet, self._fleet, self._last_received = self._fleet, None, 0
            if fleet is not None:
                await fleet.kill()

    async def stop(self) -> None:
        """End it, and keep its port no more."""
        fleet, self._fleet = self._fleet, None
        if fleet is not None:
            await fleet.stop()
        self._held.close()

    async def received(self) -> int:
        """How many requests it was sent since this was last asked; 0 while it is away."""
        async with self._asking:
            new, self._left = self._left + await self._new(), 0
        return new

    async def _new(self) -> int:
        if self._fleet is None:
            return 0
        before, self._last_received = self._last_received, int((await self._fleet.ledger())["received"])
        return self._last_received - before


@dataclass(frozen=True, slots=True)
class Row:
    """What a line showed, so many seconds from the first request on."""

    second: int
    received: list[int]  # by each server since the line before


@dataclass(frozen=True, slots=True)
class Part:
    """The requests that were due in some whole seconds. `p99_ms`: that of the worst of them."""

    asked: int
    served: int
    in_aim: float  # share of the worth asked for
    p99_ms: float

    @classmethod
    def of(cls, seconds: Sequence[dict[str, Any]]) -> Part:
        """From a report's rows."""
        worth = sum(row["worth_asked"] for row in seconds)
        return cls(
            sum(row["asked"] for row in seconds),
            sum(row["outcomes"]["served"] for row in seconds),
            sum(row["worth_in_aim"] for row in seconds) / worth if worth else 0.0,
            max((row["latency_ms"]["p99"] or 0.0 for row in seconds), default=0.0),
        )


@dataclass
class Seen:
    """All that was seen. `gone_unix_s`, `back_unix_s`: when the server was killed and back."""

    rows: list[Row] = field(default_factory=list)
    gone_unix_s: float = math.inf
    back_unix_s: float = math.inf
    report: dict[str, Any] = field(default_factory=dict)
    table: str = ""
    peaks: Peaks = field(default_factory=Peaks)

    @property
    def gone_s(self) -> float:
        """When the server was killed, from the first intended moment."""
        return self.gone_unix_s - float(self.report["started_unix_s"])

    @property
    def back_s(self) -> float:
        """When it was back, from the first intended moment."""
        return self.back_unix_s - float(self.report["started_unix_s"])

    @property
    def parts(self) -> dict[str, Part]:
        """By whole seconds; those of the kill and of the return are counted as away."""
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
    """One demonstration on a program that stands ready. `say` is told each line."""

    def __init__(self, seconds: float, stands: Sequence[Stand], loading: Loading, say: Say) -> None:
        self._stands = stands
        self._say = say
        self._loading = loading
        self._whole_s = seconds
        self._loop = asyncio.get_running_loop()
        self._start = math.nan  # of the load, by the loop's clock
        self._begun = asyncio.Event()
        self._news: list[str] = []  # since the last line
        self.seen = Seen()

    async def run(self) -> None:
        """Play it until the load ends; `ProgramError`, alone or in a group, where a part ends early."""
        names = "".join(stand.name.rjust(5) for stand in self._stands)
        self._say("the load generator's line".ljust(LIVE_WIDTH) + names + "   requests sent to each")
        async with asyncio.TaskGroup() as group:
            striking = group.create_task(self._strike(self._stands[KILLED]))
            await self._rows()
            striking.cancel()  # it has ended, unless the load did so too early
        self.seen.table = await self._loading.end()

    async def _strike(self, stand: Stand) -> None:
        """Kill a server, and start it anew."""
        await self._until(GONE * self._whole_s)
        self.seen.gone_unix_s = time.time()
        await stand.kill()
        self._news.append(f"{stand.name} is killed")
        await self._until(BACK * self._whole_s)
        await stand.start()
        self.seen.back_unix_s = time.time()
        self._news.append(f"{stand.name} is back")

    async def _rows(self) -> None:
        """A line for each of the load generator's, the first of which tells when it began."""
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
    """What there was to see, in a few lines; `name` is the server's that was killed."""
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
    """Where the report and the plot lie."""
    plot = folder / PLOT
    missing = "none: it needs matplotlib, the extra `plot`"
    return [f"report: {folder / REPORT}", f"plot:   {plot if plot.exists() else missing}"]


@contextlib.asynccontextmanager
async def standing(seed: int) -> AsyncIterator[list[Stand]]:
    """The servers, each in a process of its own; `ProgramError` if they can't be."""
    stands = [Stand(f"s{number + 1}", seed + number) for number in range(SERVERS)]
    try:
        for stand in stands:
            await stand.start()
        yield stands
    finally:
        await asyncio.gather(*(stand.stop() for stand in stands))


@contextlib.asynccontextmanager
async def loading(seconds: float, seed: int, target: Target, folder: Path) -> AsyncIterator[Loading]:
    """The load generator at work on a program; what it measured lies in the folder."""
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
    """The whole demonstration; `ProgramError`, alone or in a group, if it can't be."""
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
    if not SECONDS_LEAST <= seconds <= SECONDS_MOST:
        raise argparse.ArgumentTypeError(f"{text}: not from {SECONDS_LEAST:g} to {SECONDS_MOST:g}")
    return seconds


def _seed(text: str) -> int:
    seed = int(text)
    if not 0 <= seed < 2**63:
        raise argparse.ArgumentTypeError(f"{text}: not from 0 to 2^63 - 1")
    return seed


def parser() -> argparse.ArgumentParser:
    """The command line."""
    made = argparse.ArgumentParser(prog="python -m rig.demo", description=__doc__)
    made.add_argument("--seconds", type=_seconds, default=SECONDS, help="how long the load lasts")
    made.add_argument("--seed", type=_seed, default=1)
    return made


def _say(text: str) -> None:
    print(text, flush=True)


@contextlib.contextmanager
def _kept() -> Iterator[Path]:
    """A folder that stays where a report lies in it."""
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
    """Show it; the exit code."""
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

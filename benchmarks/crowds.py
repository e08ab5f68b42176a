"""Measures whether healthy clients are served in time during connection floods, and the cost.

`python -m benchmarks.crowds [--quick] [--seed N] [--json FILE] [--tree DIR] [--only NAME[,NAME]]`.
Exit codes: 0 all bounds met, 1 a bound not met, 2 bad input or a program that can't be started. An
earlier build of this project can be compared from its own checkout (`--tree`).
"""

from __future__ import annotations

import argparse
import asyncio
import errno
import os
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from benchmarks.common import (
    BAD_INPUT,
    DONE,
    NOT_MET,
    create_parser,
    format_figure,
    prepare_process,
    select_names,
    table,
    write_json,
)
from rig.balancers import MEMORY_MB, SOCKETS, Stage, stage
from rig.clients import Burst, Clients, Plan, Result, Tally
from rig.crowds import KINDS, PIPELINED, Crowd, Size, spread
from rig.process import Peaks, ProgramError, reserve_core, sampled

# The bounds. The first six decide the exit code.
MIN_IN_TIME_SHARE = 0.99  # of the requests of healthy clients
MAX_P99_RATIO = 1.5  # relative to the row `none`
MAX_CUT = 0  # requests that end with an incomplete response, and equally those that are never answered
MAX_MIXED_UP = 0  # responses to other requests
MAX_RSS_MB = float(MEMORY_MB)
# Descriptors are bounded by the limit of the process, and it must not get EMFILE.
# Printed but not decisive: the CPU time of the whole process beyond that in `none`, including the kernel, for
# each connection of the crowd.
MAX_SILENT_US = 40.0
MAX_ANSWERED_US = 150.0

RATE_PER_S = 100.0  # of healthy requests
# Multiple of the healthy rate: connections per second, and requests per second of crowds that read responses.
CROWD_RATE = 10.0
CROWD_STANDING = 3  # multiple of the descriptor limit
ONCE_RATE = 2.0  # multiple of the healthy rate, low enough to be served, since these are valid requests
CONNECTIONS_SHARE = 3  # healthy clients open at most a third of the descriptors
POOLS = 32  # healthy clients, each with its own connections
WARM_S = 1.0  # before the crowd arrives; not counted
LONG_S, QUICK_S = 20.0, 4.0
BIG_SOCKETS = 1024
LOG_LINES = 20  # last lines of the program's log that are kept with the figures
EMFILE = os.strerror(errno.EMFILE)
MAX_LAG_MS = 50.0  # lateness of the clients themselves; beyond it the machine was too busy to measure
SLOW_MS = (300.0, 300.0)
BURST, BURST_GAP_S, WAVE_GAP_S = 50, 0.025, 1.5
SILENT_BESIDE = Size(30.0, 30)  # beside clients that are always new, as in the recorded incident


@dataclass(frozen=True, slots=True)
class Setting:
    """Settings of a run."""

    rate_per_s: float
    counted_s: float
    sockets: int
    seed: int

    @property
    def healthy(self) -> dict[str, Any]:
        """Arguments of the plan of healthy clients."""
        return {
            "rate_per_s": self.rate_per_s,
            "duration_s": WARM_S + self.counted_s,
            "seed": self.seed,
            "pools": POOLS,
            "connections": max(POOLS, self.sockets // CONNECTIONS_SHARE),
            "skip_s": WARM_S,
        }

    def crowd(self, kind: str) -> dict[str, Size]:
        """Return the sizes of a crowd by kind."""
        full_size = Size(CROWD_RATE * self.rate_per_s, CROWD_STANDING * self.sockets)
        exceptions = {
            "once": Size(ONCE_RATE * self.rate_per_s, self.sockets // CONNECTIONS_SHARE),
            "slow_readers": Size(full_size.rate_per_s / PIPELINED, full_size.standing),
        }
        return spread(kind, full_size, exceptions)


@dataclass(frozen=True, slots=True)
class Scenario:
    """Scenario of one row.

    Attributes:
        served: Whether the bound on requests in time applies.
        compared: Whether the row is compared with `none`.
        strict: Whether the first request of a connection counts as cut even if it was sent once more.
    """

    name: str
    sockets: int
    plan: Plan
    crowd: dict[str, Size] = field(default_factory=dict)
    work_ms: tuple[float, float] = (40.0, 60.0)
    reconnect: bool = False
    served: bool = True
    compared: bool = True
    strict: bool = False


def _close_to_table(count: int) -> Callable[[str, Setting], Scenario]:
    """Return a scenario of `count` requests at a time, in waves of bursts that each open many connections."""

    def make(name: str, setting: Setting) -> Scenario:
        waves = max(2, int(setting.counted_s / WAVE_GAP_S))
        bursts = tuple(
            Burst(0.1 + wave * WAVE_GAP_S + number * BURST_GAP_S, BURST)
            for wave in range(waves)
            for number in range(count // BURST)
        )
        plan = Plan(0.0, waves * WAVE_GAP_S, seed=setting.seed, connections=count, bursts=bursts)
        return Scenario(name, BIG_SOCKETS, plan, {}, SLOW_MS, served=False, compared=False, strict=True)

    return make


def _crowded(name: str, setting: Setting) -> Scenario:
    return Scenario(name, setting.sockets, Plan(**setting.healthy), setting.crowd(name))


def _none(name: str, setting: Setting) -> Scenario:
    return Scenario(name, setting.sockets, Plan(**setting.healthy))


def _reconnect(name: str, setting: Setting) -> Scenario:
    """Create many clients with one connection each, all of which reconnect halfway."""
    cap = int(setting.healthy["connections"])
    plan = Plan(**{**setting.healthy, "pools": cap, "connections": cap})
    return Scenario(name, setting.sockets, plan, reconnect=True)


def _ever_new(name: str, setting: Setting) -> Scenario:
    """Recreate the recorded incident: each request is of a new client, which then holds its connection."""
    plan = Plan(
        **{**setting.healthy, "pools": 1, "after": "hold", "rate_per_s": ONCE_RATE * setting.rate_per_s}
    )
    return Scenario(name, setting.sockets, plan, {"silent": SILENT_BESIDE})


NONE = "none"
SCENARIOS: dict[str, Callable[[str, Setting], Scenario]] = {
    NONE: _none,
    **dict.fromkeys(KINDS, _crowded),
    "ever_new": _ever_new,
    "reconnect": _reconnect,
    "close_to_table_500": _close_to_table(500),
    "close_to_table_700": _close_to_table(700),
}


@dataclass(slots=True)
class Row:
    """Results of one scenario with one program."""

    name: str
    sockets: int
    tally: Tally
    peaks: Peaks
    window_s: float
    cpu_s: float
    crowd: dict[str, Any]  # counts in the window
    servers: dict[str, Any]
    died: str
    log_bytes: int
    log_tail: list[str] = field(default_factory=list)
    emfile: bool = False  # whether its log reports that it ran out of descriptors
    p99_ratio: float | None = None
    cpu_us: float | None = None  # per connection of the crowd
    not_met: list[str] = field(default_factory=list)

    @property
    def cpu_share(self) -> float:
        """CPU share of one core in the window."""
        return self.cpu_s / self.window_s if self.window_s else 0.0

    def compare(self, base: Row) -> None:
        """Set the figures that are relative to the row without a crowd."""
        p99, before = self.tally.latency_ms(0.99), base.tally.latency_ms(0.99)
        self.p99_ratio = p99 / before if before > 0.0 else None
        if self.name in KINDS and (connections := self.crowd.get("connected", 0)):
            self.cpu_us = (self.cpu_s - base.cpu_share * self.window_s) / connections * 1e6

    def judge(self, scenario: Scenario) -> None:
        """Record each bound that is not met."""
        cut = self.tally.count(Result.CUT) + (self.tally.resent_new if scenario.strict else 0)
        bounds = {
            f"ended: {self.died}": not self.died,
            f"cut > {MAX_CUT}": cut <= MAX_CUT,
            f"no answer > {MAX_CUT}": self.tally.count(Result.UNANSWERED) <= MAX_CUT,
            f"mixed up > {MAX_MIXED_UP}": self.tally.count(Result.MIXED_UP) <= MAX_MIXED_UP,
            "descriptors > limit": self.peaks.descriptors <= self.sockets,
            "ran out of descriptors": not self.emfile,
            f"RSS > {MAX_RSS_MB:g} MB": self.peaks.rss_mb <= MAX_RSS_MB,
        }
        if scenario.served:
            bounds[f"in time < {MIN_IN_TIME_SHARE:.0%}"] = self.tally.in_time >= MIN_IN_TIME_SHARE
        if scenario.compared and self.p99_ratio is not None:
            # `<=` so that a p99 that is not a number, since nothing was served, does not meet the bound.
            bounds[f"p99 > {MAX_P99_RATIO:g} x"] = self.p99_ratio <= MAX_P99_RATIO
        self.not_met = [name for name, met in bounds.items() if not met]

    def summary(self) -> dict[str, Any]:
        """Return all figures as JSON values."""
        return {
            "name": self.name,
            "sockets": self.sockets,
            "healthy": self.tally.summary(),
            "p99_ratio": self.p99_ratio if self.p99_ratio == self.p99_ratio else None,
            "window_s": self.window_s,
            "cpu_s": self.cpu_s,
            "cpu_us_a_crowd_connection": self.cpu_us,
            "crowd": self.crowd,
            "servers": {**self.servers, "repeats": dict(list(self.servers.get("repeats", {}).items())[:20])},
            "descriptors_most": self.peaks.descriptors,
            "rss_most_mb": self.peaks.rss_mb,
            "log_bytes": self.log_bytes,
            "log_tail": self.log_tail,
            "died": self.died,
            "emfile": self.emfile,
            "not_met": self.not_met,
        }


HEADS = (
    "row",
    "asked",
    "in time %",
    "p50 ms",
    "p99 ms",
    "x none",
    "cut",
    "no answer",
    "resent",
    "refused",
    "failed",
    "unsent",
    "mixed up",
    "crowd/s",
    "us/conn",
    "core %",
    "fds/limit",
    "RSS MB",
    "not met",
)


def cells(row: Row) -> list[str]:
    """Return the table row of a scenario."""
    tally = row.tally
    return [
        row.name,
        str(tally.asked),
        format_figure(100.0 * tally.in_time, ".1f"),
        format_figure(tally.latency_ms(0.5), ".1f"),
        format_figure(tally.latency_ms(0.99), ".1f"),
        format_figure(row.p99_ratio, ".2f"),
        str(tally.count(Result.CUT)),
        str(tally.count(Result.UNANSWERED)),
        f"{tally.resent_new}+{tally.resent_kept}",
        str(tally.count(Result.REFUSED)),
        str(tally.count(Result.FAILED, Result.LATE)),
        str(tally.count(Result.UNSENT)),
        str(tally.count(Result.MIXED_UP)),
        format_figure(row.crowd.get("connected", 0) / row.window_s if row.window_s else None),
        format_figure(row.cpu_us),
        format_figure(100.0 * row.cpu_share),
        f"{row.peaks.descriptors}/{row.sockets}",
        format_figure(row.peaks.rss_mb),
        "; ".join(row.not_met) or "-",
    ]


async def measure(scenario: Scenario, tree: Path, seed: int) -> Row:
    """Play one scenario on a program that is started for it.

    Raises:
        ProgramError: The program cannot be started.
    """
    async with stage(
        tree,
        seed=seed,
        work_ms=scenario.work_ms,
        sockets=scenario.sockets,
        core=reserve_core(),
    ) as setup:
        clients = Clients(setup.target.address, scenario.plan)
        async with sampled(setup.target.program) as peaks:
            asking = asyncio.create_task(clients.run())
            try:
                window = await _window(scenario, setup, clients, seed)
                await asking  # ends with its plan
            finally:
                asking.cancel()
        return Row(
            name=scenario.name,
            sockets=scenario.sockets,
            tally=clients.tally,
            peaks=peaks,
            servers=await setup.fleet.ledger(),
            died=str(setup.target.program.ended()) if setup.target.program.code is not None else "",
            log_bytes=setup.target.program.log_bytes,
            log_tail=setup.target.program.tail[-LOG_LINES:],
            emfile=any(EMFILE in line for line in setup.target.program.tail),
            **window,
        )


async def _window(scenario: Scenario, setup: Stage, clients: Clients, seed: int) -> dict[str, Any]:
    """Run the crowd until the end of the plan; return the CPU time and its counts in that window."""
    end = time.monotonic() + scenario.plan.duration_s
    await asyncio.sleep(scenario.plan.skip_s)
    crowd = await Crowd.start(setup.target.address, scenario.crowd, seed=seed) if scenario.crowd else None
    try:
        before, since = _cpu_s(setup), time.monotonic()
        if scenario.reconnect:
            await asyncio.sleep((end - since) / 2.0)
            clients.reconnect()
        await asyncio.sleep(max(0.0, end - time.monotonic()))
        counts = await crowd.counts() if crowd is not None else {}
        return {"window_s": time.monotonic() - since, "cpu_s": _cpu_s(setup) - before, "crowd": counts}
    finally:
        if crowd is not None:
            await crowd.stop()


def _cpu_s(setup: Stage) -> float:
    """Return the CPU time of the program; 0 once it has exited, which its row reports."""
    try:
        return setup.target.program.usage().cpu_s
    except ProcessLookupError:
        return 0.0


async def run(names: list[str], setting: Setting, tree: Path) -> list[Row]:
    """Measure all rows and print each to standard error as soon as it is measured."""
    rows: list[Row] = []
    base: Row | None = None
    for name in names:
        scenario = SCENARIOS[name](name, setting)
        row = await measure(scenario, tree, setting.seed)
        if name == NONE:
            base = row
        elif scenario.compared and base is not None:
            row.compare(base)
        row.judge(scenario)
        rows.append(row)
        print(f"{name}: {'; '.join(row.not_met) or 'measured'}", file=sys.stderr, flush=True)
        if row.tally.lag_most_ms > MAX_LAG_MS:
            late = f"clients sent a request {row.tally.lag_most_ms:.0f} ms late: measure again"
            print(f"{name}: {late}", file=sys.stderr, flush=True)
    return rows


def costs(rows: list[Row]) -> list[str]:
    """Return lines on the CPU figures that do not affect the exit code."""
    lines = []
    for name, max_us in (("silent", MAX_SILENT_US), ("turned_away", MAX_ANSWERED_US)):
        for row in rows:
            if row.name == name and row.cpu_us is not None:
                met = "met" if row.cpu_us <= max_us else "not met"
                lines.append(
                    f"CPU for each connection of {name}: {row.cpu_us:.0f} us, whole process with"
                    f" kernel; {max_us:.0f} us: {met}"
                )
    return lines


def build_parser() -> argparse.ArgumentParser:
    """Create the command line parser."""
    parser = create_parser("crowds", __doc__)
    parser.add_argument("--quick", action="store_true", help=f"{QUICK_S:g} s a row, not {LONG_S:g}")
    parser.add_argument("--only", metavar="NAME[,NAME]", help=f"of {', '.join(SCENARIOS)}")
    parser.add_argument("--rate", type=float, default=RATE_PER_S, help="healthy requests per second")
    parser.add_argument("--sockets", type=int, default=SOCKETS, help="descriptor limit of the program")
    return parser


def main() -> int:
    """Measure, print and check the bounds.

    Returns:
        The exit code: `DONE`, `NOT_MET` or `BAD_INPUT`.
    """
    parser = build_parser()
    options = parser.parse_args()
    names = select_names(options.only, list(SCENARIOS), parser)
    if NONE not in names:
        names = [NONE, *names]  # all others are compared with it
    counted_s = QUICK_S if options.quick else LONG_S
    setting = Setting(options.rate, counted_s, options.sockets, options.seed)
    try:
        for name in names:
            SCENARIOS[name](name, setting)
    except ValueError as error:
        parser.error(str(error))
    prepare_process()
    try:
        rows = asyncio.run(run(names, setting, options.tree))
    except ProgramError as error:
        print(error, file=sys.stderr)
        return BAD_INPUT
    print(table(HEADS, [cells(row) for row in rows]))
    print("\n".join(costs(rows)))
    met = not any(row.not_met for row in rows)
    figures = {"seed": options.seed, "quick": options.quick, "rate_per_s": options.rate, "met": met}
    write_json(options.json, options.tree, {**figures, "rows": [row.summary() for row in rows]})
    return DONE if met else NOT_MET


if __name__ == "__main__":
    sys.exit(main())

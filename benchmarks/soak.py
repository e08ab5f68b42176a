"""Long run with always new healthy clients, while crowds of each kind come and go.

Checks that memory does not grow and that descriptors are released at the end.

`python -m benchmarks.soak [--minutes N] [--seconds N] [--crowd-seconds N] [--sample-seconds N] [--seed N]
[--json FILE] [--tree DIR]`. Exit codes: 0 all bounds met, 1 a bound not met, 2 bad input or a program that
can't be started.
"""

from __future__ import annotations

import argparse
import asyncio
import math
import statistics
import sys
import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

from benchmarks.common import (
    BAD_INPUT,
    DONE,
    NOT_MET,
    create_parser,
    format_figure,
    prepare_process,
    table,
    write_json,
)
from benchmarks.crowds import CONNECTIONS_SHARE, LOG_LINES, MAX_LAG_MS, MIN_IN_TIME_SHARE, POOLS, Setting
from rig.balancers import SOCKETS, Stage, stage
from rig.clients import Clients, Plan, Result, Tally
from rig.crowds import KINDS, Crowd
from rig.process import Program, ProgramError, Usage, reserve_core

# The bounds, besides MIN_IN_TIME_SHARE over the whole run.
MAX_RSS_GROWTH_MB = 2.0  # from the median of the second quarter to that of the last
RELEASE_TIMEOUT_S = 30.0  # within which the descriptors are as few as before the load
EXIT_S = 20.0  # from SIGTERM to exit code 0
# No line of the log may begin with these. "books:" is the name of "ledgers:" in older checkouts.
ERROR_PREFIXES = ("ledgers:", "books:", "Traceback", "Exception ignored")

MINUTES, MAX_MINUTES = 30.0, 24.0 * 60.0
CROWD_S = 20.0  # duration of a crowd, and of the pause after it
SAMPLE_S, LINE_S = 10.0, 60.0
MIN_SAMPLES = 4  # one in each quarter
RATE_PER_S = 75.0  # of healthy requests
REQUESTS_PER_CONNECTION = (2, 6)  # requests for which a healthy client keeps a connection
START_S, IDLE_S, POLL_S = 1.0, 1.0, 0.05  # start of the program, and sampling of its idle descriptors

Say = Callable[[str], None]


@dataclass(frozen=True, slots=True)
class Times:
    """Durations of a run, of a crowd and of a sample, in seconds."""

    whole_s: float = MINUTES * 60.0
    crowd_s: float = CROWD_S
    sample_s: float = SAMPLE_S

    def __post_init__(self) -> None:
        if not 0.0 < self.whole_s <= MAX_MINUTES * 60.0 or not 0.0 < self.crowd_s < math.inf:
            raise ValueError(f"expected durations over 0 s and at most {MAX_MINUTES:g} minutes")
        if not 0.0 < self.sample_s <= self.whole_s / MIN_SAMPLES:
            raise ValueError(f"expected at least {MIN_SAMPLES} samples")

    @property
    def settles(self) -> bool:
        """Whether every kind of crowd comes and goes in the first quarter.

        Only then has the heap reached the largest size that any crowd causes, and may not grow further.
        """
        return 2.0 * self.crowd_s * len(KINDS) <= self.whole_s / 4.0


@dataclass(frozen=True, slots=True)
class Sample:
    """Figures at one moment, and the requests that ended and the crowd since the sample before."""

    at_s: float
    descriptors: int
    rss_mb: float
    cpu_share: float  # of one core
    asked: int
    served: int  # in time
    crowd: str


@dataclass(frozen=True, slots=True)
class Visit:
    """One crowd that came and went. Times are from the start."""

    kind: str
    seed: int
    from_s: float
    to_s: float
    counts: dict[str, Any]


@dataclass
class Seen:
    """Results of a run."""

    tally: Tally = field(default_factory=Tally)
    samples: list[Sample] = field(default_factory=list)
    visits: list[Visit] = field(default_factory=list)
    idle: int = 0  # descriptors before the load
    left: int = 0  # after it
    back_s: float | None = None  # from the end of the load until they were as few as before
    code: int | None = None
    died: str = ""  # how the program ended, if it did so by itself
    settled: bool = True  # see `Times.settles`; otherwise the growth is printed but not checked
    noted: list[str] = field(default_factory=list)  # lines of its log that are errors
    log_bytes: int = 0
    log_tail: list[str] = field(default_factory=list)

    def quarter(self, number: int) -> list[Sample]:
        """Return the samples of a quarter, counted from 0."""
        count = len(self.samples)
        return self.samples[count * number // 4 : count * (number + 1) // 4]

    @property
    def rss_growth_mb(self) -> float:
        """Growth from the second quarter to the last; not a number if one has no samples."""
        return _median(s.rss_mb for s in self.quarter(3)) - _median(s.rss_mb for s in self.quarter(1))

    def during(self, kind: str) -> Tally:
        """Return the requests that were sent while a crowd of this kind was present."""
        spans = [(visit.from_s, visit.to_s) for visit in self.visits if visit.kind == kind]
        records = self.tally.records
        return Tally(records=[r for r in records if any(low <= r.at_s < high for low, high in spans)])

    @property
    def not_met(self) -> list[str]:
        """All bounds that are not met."""
        bounds = {
            f"ended: {self.died}": not self.died,
            f"in time < {MIN_IN_TIME_SHARE:.0%}": self.tally.in_time >= MIN_IN_TIME_SHARE
            and self.tally.asked > 0,
            # `<=` so that a growth that is not a number does not meet the bound.
            f"RSS grows by > {MAX_RSS_GROWTH_MB:g} MB": not self.settled
            or self.rss_growth_mb <= MAX_RSS_GROWTH_MB,
            f"{self.left} descriptors, {self.idle} before": self.back_s is not None,
            f"exit code {self.code}": self.code == 0,
            f"log: {next(iter(self.noted), '')}": not self.noted,
        }
        return [name for name, met in bounds.items() if not met]

    def summary(self) -> dict[str, Any]:
        """Return all figures as JSON values."""
        growth = self.rss_growth_mb
        return {
            "healthy": self.tally.summary(),
            "rss_growth_mb": growth if math.isfinite(growth) else None,
            "rss_judged": self.settled,
            "descriptors_idle": self.idle,
            "descriptors_left": self.left,
            "descriptors_back_s": self.back_s,
            "exit_code": self.code,
            "died": self.died,
            "noted": self.noted,
            "log_bytes": self.log_bytes,
            "log_tail": self.log_tail,
            "not_met": self.not_met,
            "visits": [asdict(visit) for visit in self.visits],
            "samples": [asdict(sample) for sample in self.samples],
        }


def _median(values: Iterable[float]) -> float:
    all_values = list(values)
    return statistics.median(all_values) if all_values else math.nan


class Run:
    """A run on a program that is ready. `say` receives one line per minute."""

    def __init__(self, times: Times, setup: Stage, seed: int, say: Say) -> None:
        self._times = times
        self._setup = setup
        self._seed = seed
        self._say = say
        self._crowd = ""  # kind that is present
        self._recent_crowd = ""  # kind that was present since the last sample
        plan = Plan(
            RATE_PER_S,
            times.whole_s,
            seed=seed,
            pools=POOLS,
            connections=SOCKETS // CONNECTIONS_SHARE,
            turns=REQUESTS_PER_CONNECTION,
        )
        self._clients = Clients(setup.target.address, plan)
        self._start = 0.0
        self.seen = Seen(tally=self._clients.tally, settled=times.settles)

    async def run(self) -> None:
        """Run the load, wait for descriptors and stop the program.

        Raises:
            ExceptionGroup: Of `ProgramError`, if a crowd cannot be started.
        """
        program, seen = self._setup.target.program, self.seen
        program.note(*ERROR_PREFIXES)
        died = False
        try:
            seen.idle = await _idle_descriptors(program)
            self._start = time.monotonic()
            async with asyncio.TaskGroup() as group:
                for part in (self._clients.run(), self._crowds(), self._samples(program)):
                    group.create_task(part)
            await self._await_release(program)
        except* ProcessLookupError:
            died = True
        seen.code = await program.stop(EXIT_S)
        seen.died = str(program.ended()) if died else ""
        seen.noted, seen.log_bytes = program.noted, program.log_bytes
        seen.log_tail = program.tail[-LOG_LINES:]

    @property
    def _now_s(self) -> float:
        return time.monotonic() - self._start

    async def _until(self, at_s: float) -> None:
        await asyncio.sleep(max(0.0, at_s - self._now_s))

    async def _crowds(self) -> None:
        """Run the kinds of crowds in turn, each after a pause of the same duration."""
        setting = Setting(RATE_PER_S, self._times.whole_s, SOCKETS, self._seed)
        every_s = 2.0 * self._times.crowd_s
        for number in range(int(self._times.whole_s / every_s)):
            await self._until(number * every_s + self._times.crowd_s)
            kind, seed = KINDS[number % len(KINDS)], self._seed + number
            crowd = await Crowd.start(self._setup.target.address, setting.crowd(kind), seed=seed)
            try:
                self._crowd = self._recent_crowd = kind
                from_s = self._now_s
                await self._until((number + 1) * every_s)
                self.seen.visits.append(Visit(kind, seed, from_s, self._now_s, await crowd.counts()))
            finally:
                self._crowd = ""
                await crowd.stop()

    async def _samples(self, program: Program) -> None:
        """Take samples of the program.

        Raises:
            ProcessLookupError: The program has exited.
        """
        before, since_s, ended = program.usage(), self._now_s, 0
        count, line = int(self._times.whole_s / self._times.sample_s), round(LINE_S / self._times.sample_s)
        for number in range(1, count + 1):
            await self._until(number * self._times.sample_s)
            now, now_s, records = program.usage(), self._now_s, self._clients.tally.records
            cpu_share = (now.cpu_s - before.cpu_s) / (now_s - since_s)
            new, ended = records[ended:], len(records)
            self._add_sample(now, now_s, cpu_share, Tally(records=new))
            before, since_s = now, now_s
            if number % max(1, line) == 0:
                self._say(progress_line(self.seen.samples[-max(1, line) :]))

    def _add_sample(self, now: Usage, now_s: float, cpu_share: float, new: Tally) -> None:
        served = new.count(Result.SERVED)
        sample = Sample(now_s, now.descriptors, now.rss_mb, cpu_share, new.asked, served, self._recent_crowd)
        self._recent_crowd = self._crowd
        self.seen.samples.append(sample)

    async def _await_release(self, program: Program) -> None:
        """Wait up to `RELEASE_TIMEOUT_S` until the descriptors are as few as before the load."""
        start = time.monotonic()
        while (waited := time.monotonic() - start) <= RELEASE_TIMEOUT_S:
            self.seen.left = program.usage().descriptors
            if self.seen.left <= self.seen.idle:
                self.seen.back_s = waited
                return
            await asyncio.sleep(POLL_S)


async def _idle_descriptors(program: Program) -> int:
    """Return the number of descriptors of the idle program, the most frequent of several readings."""
    await asyncio.sleep(START_S)
    counts = []
    for _ in range(int(IDLE_S / POLL_S)):
        counts.append(program.usage().descriptors)
        await asyncio.sleep(POLL_S)
    return statistics.mode(counts)


# --- output -------------------------------------------------------------------


def progress_line(samples: Sequence[Sample]) -> str:
    """Return a line on the last samples."""
    last, crowds = samples[-1], dict.fromkeys(sample.crowd for sample in samples if sample.crowd)
    return (
        f"minute {last.at_s / 60.0:5.1f}: {_asked(samples)} asked, {_in_time(samples)}% in time, "
        f"{last.descriptors} descriptors, {last.rss_mb:.1f} MB, {_cpu(samples)}% of a core, "
        f"crowds: {', '.join(crowds) or '-'}"
    )


def _asked(samples: Sequence[Sample]) -> int:
    return sum(sample.asked for sample in samples)


def _in_time(samples: Sequence[Sample]) -> str:
    asked = _asked(samples)
    return format_figure(100.0 * sum(sample.served for sample in samples) / asked if asked else None, ".2f")


def _cpu(samples: Sequence[Sample]) -> str:
    return format_figure(100.0 * statistics.fmean(s.cpu_share for s in samples) if samples else None, ".1f")


def quarters(seen: Seen) -> str:
    """Return the table of the quarters of a run."""
    rows = []
    for number in range(4):
        part = seen.quarter(number)
        most = str(max((sample.descriptors for sample in part), default=0))
        rss = [sample.rss_mb for sample in part]
        fds = format_figure(_median(sample.descriptors for sample in part))
        memory = [format_figure(_median(rss), ".1f"), format_figure(max(rss, default=math.nan), ".1f")]
        rows.append([str(number + 1), str(_asked(part)), _in_time(part), fds, most, *memory, _cpu(part)])
    heads = ("quarter", "asked", "in time %", "fds median", "most", "RSS MB median", "most", "core %")
    return table(heads, rows)


def crowds(seen: Seen) -> str:
    """Return the table of the effect of each kind of crowd on healthy clients."""
    rows = []
    for kind in KINDS:
        visits, beside = [visit for visit in seen.visits if visit.kind == kind], seen.during(kind)
        spent = sum(visit.to_s - visit.from_s for visit in visits)
        rate = sum(visit.counts["connected"] for visit in visits) / spent if spent else math.nan
        share = 100.0 * beside.in_time if beside.asked else None
        p99 = format_figure(beside.latency_ms(0.99), ".1f")
        rows.append(
            [kind, str(len(visits)), format_figure(rate), str(beside.asked), format_figure(share, ".2f"), p99]
        )
    return table(("crowd", "visits", "crowd/s", "asked", "in time %", "p99 ms"), rows)


def summary_lines(seen: Seen) -> list[str]:
    """Return lines that summarize a run."""
    ends = {result.value: seen.tally.count(result) for result in Result}
    judged = "" if seen.settled else ", not judged: not all crowds came and went in the first quarter"
    back = f"again after {seen.back_s:.1f} s" if seen.back_s is not None else f"{seen.left} at the end"
    return [
        f"asked {seen.tally.asked}: {', '.join(f'{n} {name}' for name, n in ends.items() if n) or 'none'}",
        f"in time over all: {100.0 * seen.tally.in_time:.2f}%, on {seen.tally.connections} connections",
        f"RSS, last quarter over the second: {format_figure(seen.rss_growth_mb, '+.1f')} MB{judged}",
        f"descriptors: {seen.idle} before the load, {back}",
        f"exit code {seen.code}, {seen.log_bytes} bytes of log, {len(seen.noted)} wrong lines in it",
        *seen.noted[:LOG_LINES],
        f"not met: {'; '.join(seen.not_met)}" if seen.not_met else "all bounds met",
    ]


# --- the command line -----------------------------------------------------------------


async def play(times: Times, tree: Path, seed: int, say: Say) -> Seen:
    """Play the whole run.

    Raises:
        ProgramError: A process cannot be started; alone or in a group.
    """
    async with stage(tree, seed=seed, core=reserve_core()) as setup:
        run = Run(times, setup, seed, say)
        await run.run()
    return run.seen


def build_parser() -> argparse.ArgumentParser:
    """Create the command line parser."""
    parser = create_parser("soak", __doc__)
    parser.add_argument("--minutes", type=float, default=MINUTES)
    parser.add_argument("--seconds", type=float, help="instead of minutes")
    parser.add_argument(
        "--crowd-seconds", type=float, default=CROWD_S, help="duration of a crowd and of the pause after it"
    )
    parser.add_argument("--sample-seconds", type=float, default=SAMPLE_S, help="time between samples")
    return parser


def main() -> int:
    """Run, print and check the bounds.

    Returns:
        The exit code: `DONE`, `NOT_MET` or `BAD_INPUT`.
    """
    parser = build_parser()
    options = parser.parse_args()
    whole_s = 60.0 * options.minutes if options.seconds is None else options.seconds
    try:
        times = Times(whole_s, options.crowd_seconds, options.sample_seconds)
    except ValueError as error:
        parser.error(str(error))
    prepare_process()
    seen: Seen | None = None
    try:
        seen = asyncio.run(play(times, options.tree, options.seed, lambda text: print(text, flush=True)))
    except* ProgramError as errors:
        for cause in errors.exceptions:
            print(cause, file=sys.stderr)
    if seen is None:
        return BAD_INPUT
    if seen.tally.lag_most_ms > MAX_LAG_MS:
        late = f"clients sent a request {seen.tally.lag_most_ms:.0f} ms late: the machine was busy"
        print(late, file=sys.stderr, flush=True)
    print("\n" + quarters(seen) + "\n\n" + crowds(seen) + "\n")
    print("\n".join(summary_lines(seen)))
    figures = {"seed": options.seed, "times": asdict(times), "rate_per_s": RATE_PER_S}
    write_json(options.json, options.tree, {**figures, "met": not seen.not_met, **seen.summary()})
    return NOT_MET if seen.not_met else DONE


if __name__ == "__main__":
    sys.exit(main())

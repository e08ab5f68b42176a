"""A long run: healthy clients that are ever new, while crowds of each kind come and go. Does anything grow,
and is anything kept at the end?

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

from benchmarks.common import BAD_INPUT, DONE, NOT_MET, figure, make_ready, options, table, write_json
from benchmarks.crowds import CONNECTIONS_SHARE, IN_TIME_LEAST, LAG_MOST_MS, LOG_LINES, POOLS, Setting
from rig.balancers import SOCKETS, Stage, stage
from rig.clients import Clients, Plan, Result, Tally
from rig.crowds import KINDS, Crowd
from rig.process import Program, ProgramError, Usage, reserve_core

# The bounds, beside IN_TIME_LEAST over all.
RSS_GROWTH_MOST_MB = 2.0  # from the median of the second quarter to that of the last one
BACK_S = 30.0  # then as few descriptors are held as before the load
EXIT_S = 20.0  # from SIGTERM to exit code 0
# No line of the log begins so; "books:" is what ledgers were called in the logs of older checkouts.
WRONG = ("ledgers:", "books:", "Traceback", "Exception ignored")

MINUTES, MINUTES_MOST = 30.0, 24.0 * 60.0
CROWD_S = 20.0  # that a crowd stays, and that none is there after it
SAMPLE_S, LINE_S = 10.0, 60.0
SAMPLES_LEAST = 4  # one in each quarter
RATE_PER_S = 75.0  # of healthy requests
TURNS = (2, 6)  # requests that a healthy client's connection is kept for
START_S, IDLE_S, POLL_S = 1.0, 1.0, 0.05  # the program's start, and how long its idle figure is looked at

Say = Callable[[str], None]


@dataclass(frozen=True, slots=True)
class Times:
    """How long a run lasts, a crowd stays, and a sample covers, in seconds."""

    whole_s: float = MINUTES * 60.0
    crowd_s: float = CROWD_S
    sample_s: float = SAMPLE_S

    def __post_init__(self) -> None:
        if not 0.0 < self.whole_s <= MINUTES_MOST * 60.0 or not 0.0 < self.crowd_s < math.inf:
            raise ValueError(f"not over 0 s, or over {MINUTES_MOST:g} minutes")
        if not 0.0 < self.sample_s <= self.whole_s / SAMPLES_LEAST:
            raise ValueError(f"less than {SAMPLES_LEAST} samples")

    @property
    def settles(self) -> bool:
        """Whether every kind of crowd has come and gone in the first quarter: only then the heap is as large
        as any of them makes it, and may grow no more.
        """
        return 2.0 * self.crowd_s * len(KINDS) <= self.whole_s / 4.0


@dataclass(frozen=True, slots=True)
class Sample:
    """What was seen at one moment, and since the sample before: the requests that ended, and the crowd."""

    at_s: float
    descriptors: int
    rss_mb: float
    cpu_share: float  # of one core
    asked: int
    served: int  # in time
    crowd: str


@dataclass(frozen=True, slots=True)
class Visit:
    """One crowd that came and went; times from the start."""

    kind: str
    seed: int
    from_s: float
    to_s: float
    counts: dict[str, Any]


@dataclass
class Seen:
    """All that a run showed."""

    tally: Tally = field(default_factory=Tally)
    samples: list[Sample] = field(default_factory=list)
    visits: list[Visit] = field(default_factory=list)
    idle: int = 0  # descriptors before the load
    left: int = 0  # after it
    back_s: float | None = None  # from the load's end until they were as few as before
    code: int | None = None
    died: str = ""  # where it ended by itself
    settled: bool = True  # see `Times.settles`; else its growth is shown, and not judged
    noted: list[str] = field(default_factory=list)  # lines of its log that should not be there
    log_bytes: int = 0
    log_tail: list[str] = field(default_factory=list)

    def quarter(self, number: int) -> list[Sample]:
        """The samples of one quarter, the first being 0."""
        count = len(self.samples)
        return self.samples[count * number // 4 : count * (number + 1) // 4]

    @property
    def rss_growth_mb(self) -> float:
        """From the second quarter to the last; not a number where one has no sample."""
        return _median(s.rss_mb for s in self.quarter(3)) - _median(s.rss_mb for s in self.quarter(1))

    def during(self, kind: str) -> Tally:
        """What was asked while a crowd of this kind was there."""
        spans = [(visit.from_s, visit.to_s) for visit in self.visits if visit.kind == kind]
        records = self.tally.records
        return Tally(records=[r for r in records if any(low <= r.at_s < high for low, high in spans)])

    @property
    def not_met(self) -> list[str]:
        """Each bound that is not met."""
        bounds = {
            f"ended: {self.died}": not self.died,
            f"in time < {IN_TIME_LEAST:.0%}": self.tally.in_time >= IN_TIME_LEAST and self.tally.asked > 0,
            # Not `>`: a growth that is not a number is not met either.
            f"RSS grows by > {RSS_GROWTH_MOST_MB:g} MB": not self.settled
            or self.rss_growth_mb <= RSS_GROWTH_MOST_MB,
            f"{self.left} descriptors, {self.idle} before": self.back_s is not None,
            f"exit code {self.code}": self.code == 0,
            f"log: {next(iter(self.noted), '')}": not self.noted,
        }
        return [name for name, met in bounds.items() if not met]

    def summary(self) -> dict[str, Any]:
        """All figures as JSON values."""
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
    held = list(values)
    return statistics.median(held) if held else math.nan


class Run:
    """One run on a program that stands ready. `say` is told a line a minute."""

    def __init__(self, times: Times, made: Stage, seed: int, say: Say) -> None:
        self._times = times
        self._made = made
        self._seed = seed
        self._say = say
        self._crowd = ""  # the kind that is there
        self._met = ""  # the kind that was there since the last sample
        plan = Plan(
            RATE_PER_S,
            times.whole_s,
            seed=seed,
            pools=POOLS,
            connections=SOCKETS // CONNECTIONS_SHARE,
            turns=TURNS,
        )
        self._clients = Clients(made.target.address, plan)
        self._start = 0.0
        self.seen = Seen(tally=self._clients.tally, settled=times.settles)

    async def run(self) -> None:
        """Load, wait, end; a group of `ProgramError` where a crowd can't be started."""
        program, seen = self._made.target.program, self.seen
        program.note(*WRONG)
        died = False
        try:
            seen.idle = await _idle(program)
            self._start = time.monotonic()
            async with asyncio.TaskGroup() as group:
                for part in (self._clients.run(), self._crowds(), self._samples(program)):
                    group.create_task(part)
            await self._back(program)
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
        """One kind after the other: none for a while, then it is there for as long."""
        setting = Setting(RATE_PER_S, self._times.whole_s, SOCKETS, self._seed)
        every_s = 2.0 * self._times.crowd_s
        for number in range(int(self._times.whole_s / every_s)):
            await self._until(number * every_s + self._times.crowd_s)
            kind, seed = KINDS[number % len(KINDS)], self._seed + number
            crowd = await Crowd.start(self._made.target.address, setting.crowd(kind), seed=seed)
            try:
                self._crowd = self._met = kind
                from_s = self._now_s
                await self._until((number + 1) * every_s)
                self.seen.visits.append(Visit(kind, seed, from_s, self._now_s, await crowd.counts()))
            finally:
                self._crowd = ""
                await crowd.stop()

    async def _samples(self, program: Program) -> None:
        """Look at the program again and again; `ProcessLookupError` once it is gone."""
        before, since_s, ended = program.usage(), self._now_s, 0
        count, line = int(self._times.whole_s / self._times.sample_s), round(LINE_S / self._times.sample_s)
        for number in range(1, count + 1):
            await self._until(number * self._times.sample_s)
            now, now_s, records = program.usage(), self._now_s, self._clients.tally.records
            cpu_share = (now.cpu_s - before.cpu_s) / (now_s - since_s)
            new, ended = records[ended:], len(records)
            self._take(now, now_s, cpu_share, Tally(records=new))
            before, since_s = now, now_s
            if number % max(1, line) == 0:
                self._say(minute(self.seen.samples[-max(1, line) :]))

    def _take(self, now: Usage, now_s: float, cpu_share: float, new: Tally) -> None:
        served = new.count(Result.SERVED)
        sample = Sample(now_s, now.descriptors, now.rss_mb, cpu_share, new.asked, served, self._met)
        self._met = self._crowd
        self.seen.samples.append(sample)

    async def _back(self, program: Program) -> None:
        """Wait until as few descriptors are held as before the load, for a bounded time."""
        start = time.monotonic()
        while (waited := time.monotonic() - start) <= BACK_S:
            self.seen.left = program.usage().descriptors
            if self.seen.left <= self.seen.idle:
                self.seen.back_s = waited
                return
            await asyncio.sleep(POLL_S)


async def _idle(program: Program) -> int:
    """How many descriptors it holds with nothing to do: what it holds for most of a while."""
    await asyncio.sleep(START_S)
    held = []
    for _ in range(int(IDLE_S / POLL_S)):
        held.append(program.usage().descriptors)
        await asyncio.sleep(POLL_S)
    return statistics.mode(held)


# --- what is shown -------------------------------------------------------------------


def minute(samples: Sequence[Sample]) -> str:
    """A line on the last samples."""
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
    return figure(100.0 * sum(sample.served for sample in samples) / asked if asked else None, ".2f")


def _cpu(samples: Sequence[Sample]) -> str:
    return figure(100.0 * statistics.fmean(s.cpu_share for s in samples) if samples else None, ".1f")


def quarters(seen: Seen) -> str:
    """The table of the run's quarters."""
    rows = []
    for number in range(4):
        part = seen.quarter(number)
        most = str(max((sample.descriptors for sample in part), default=0))
        rss = [sample.rss_mb for sample in part]
        fds = figure(_median(sample.descriptors for sample in part))
        memory = [figure(_median(rss), ".1f"), figure(max(rss, default=math.nan), ".1f")]
        rows.append([str(number + 1), str(_asked(part)), _in_time(part), fds, most, *memory, _cpu(part)])
    heads = ("quarter", "asked", "in time %", "fds median", "most", "RSS MB median", "most", "core %")
    return table(heads, rows)


def crowds(seen: Seen) -> str:
    """The table of what each kind of crowd did to healthy clients."""
    rows = []
    for kind in KINDS:
        visits, beside = [visit for visit in seen.visits if visit.kind == kind], seen.during(kind)
        spent = sum(visit.to_s - visit.from_s for visit in visits)
        rate = sum(visit.counts["connected"] for visit in visits) / spent if spent else math.nan
        share = 100.0 * beside.in_time if beside.asked else None
        p99 = figure(beside.latency_ms(0.99), ".1f")
        rows.append([kind, str(len(visits)), figure(rate), str(beside.asked), figure(share, ".2f"), p99])
    return table(("crowd", "visits", "crowd/s", "asked", "in time %", "p99 ms"), rows)


def words(seen: Seen) -> list[str]:
    """What a run comes to."""
    ends = {result.value: seen.tally.count(result) for result in Result}
    judged = "" if seen.settled else ", not judged: not all crowds came and went in the first quarter"
    back = f"again after {seen.back_s:.1f} s" if seen.back_s is not None else f"{seen.left} at the end"
    return [
        f"asked {seen.tally.asked}: {', '.join(f'{n} {name}' for name, n in ends.items() if n) or 'none'}",
        f"in time over all: {100.0 * seen.tally.in_time:.2f}%, on {seen.tally.connections} connections",
        f"RSS, last quarter over the second: {figure(seen.rss_growth_mb, '+.1f')} MB{judged}",
        f"descriptors: {seen.idle} before the load, {back}",
        f"exit code {seen.code}, {seen.log_bytes} bytes of log, {len(seen.noted)} wrong lines in it",
        *seen.noted[:LOG_LINES],
        f"not met: {'; '.join(seen.not_met)}" if seen.not_met else "all bounds met",
    ]


# --- the command line -----------------------------------------------------------------


async def play(times: Times, tree: Path, seed: int, say: Say) -> Seen:
    """The whole run; `ProgramError`, alone or in a group, if it can't be."""
    async with stage(tree, seed=seed, core=reserve_core()) as made:
        run = Run(times, made, seed, say)
        await run.run()
    return run.seen


def parser() -> argparse.ArgumentParser:
    """The command line."""
    made = options("soak", __doc__)
    made.add_argument("--minutes", type=float, default=MINUTES)
    made.add_argument("--seconds", type=float, help="instead of minutes")
    made.add_argument("--crowd-seconds", type=float, default=CROWD_S, help="that a crowd stays, or is gone")
    made.add_argument("--sample-seconds", type=float, default=SAMPLE_S, help="from sample to sample")
    return made


def main() -> int:
    """Run, print and judge; the exit code."""
    options_ = parser()
    given = options_.parse_args()
    whole_s = 60.0 * given.minutes if given.seconds is None else given.seconds
    try:
        times = Times(whole_s, given.crowd_seconds, given.sample_seconds)
    except ValueError as error:
        options_.error(str(error))
    make_ready()
    seen: Seen | None = None
    try:
        seen = asyncio.run(play(times, given.tree, given.seed, lambda text: print(text, flush=True)))
    except* ProgramError as errors:
        for cause in errors.exceptions:
            print(cause, file=sys.stderr)
    if seen is None:
        return BAD_INPUT
    if seen.tally.lag_most_ms > LAG_MOST_MS:
        late = f"clients got to a request {seen.tally.lag_most_ms:.0f} ms late: the machine was busy"
        print(late, file=sys.stderr, flush=True)
    print("\n" + quarters(seen) + "\n\n" + crowds(seen) + "\n")
    print("\n".join(words(seen)))
    figures = {"seed": given.seed, "times": asdict(times), "rate_per_s": RATE_PER_S}
    write_json(given.json, given.tree, {**figures, "met": not seen.not_met, **seen.summary()})
    return NOT_MET if seen.not_met else DONE


if __name__ == "__main__":
    sys.exit(main())

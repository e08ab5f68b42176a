"""Checks that each planted breach is found by the checker that must find it.

`python -m benchmarks.cluster_breaches [--only NAME[,NAME]] [--runs N] [--side-by-side K] [--json FILE]`. Each
breach of `rig/cluster/breaches/` is planted into the nodes of a cluster that its short schedule is played on,
and the same schedule is played on the unmodified program. The checkers don't know the name of the breach.
Each play runs in its own process, since a process that starts others is itself delayed. A play for which the
machine was too busy is repeated alone.

Exit codes: 0 each breach was found by its checker in each run and the unmodified program was never judged
broken; 1 otherwise, or there was no sound run; 2 bad input.
"""

from __future__ import annotations

import asyncio
import functools
import statistics
import sys
import tempfile
from collections.abc import Awaitable, Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct

from benchmarks.common import (
    BAD_INPUT,
    DONE,
    NOT_MET,
    create_parser,
    format_figure,
    select_names,
    table,
    write_json,
)
from rig.cluster import breaching, schedules
from rig.cluster.__main__ import PlayOptions, bound_of, play
from rig.cluster.breaching import BreachError
from rig.cluster.checkers import Finding, verdict
from rig.cluster.judging import Excuses, Played, judge
from rig.cluster.schedules import Schedule, ScheduleError, Verdict
from rig.helper import ROOT
from rig.process import Program, ProgramError, clean_environment, raise_descriptors

MAX_RUNS = 100
CONCURRENT_PLAYS, MAX_CONCURRENT_PLAYS = 3, 8
MAX_REPEATS = 2  # of a play alone, if the machine was too busy for concurrent plays
PLAY_TIMEOUT_S = 180.0
VERDICTS: tuple[Verdict, ...] = ("kept", "unknown", "broken")  # from best to worst


class Seen(Struct, frozen=True):
    """Result of one play.

    Attributes:
        verdict: The worst verdict.
        found: Number of findings of a breach by checker.
        first_ms: Time from the beginning of the schedule to the first breach that the required checker
            shows, if that has a time.
        unsound: Why the play cannot be trusted; empty if it can.
        texts: The first findings.
    """

    verdict: Verdict
    found: dict[str, int]
    first_ms: float | None
    unsound: tuple[str, ...]
    texts: tuple[str, ...]


class Row(Struct, frozen=True):
    """A breach: its plays with it and those of the unmodified program."""

    name: str
    checker: str
    steps: int
    length_ms: int
    planted: tuple[Seen, ...]
    plain: tuple[Seen, ...]

    @property
    def hits(self) -> int:
        """Number of plays in which the required checker found the breach."""
        return sum(self.checker in result.found for result in self.planted)

    @property
    def found_by(self) -> list[str]:
        """All checkers that found a breach, with the required one first."""
        checkers = {checker for result in self.planted for checker in result.found}
        return sorted(checkers, key=lambda checker: (checker != self.checker, checker))

    @property
    def first_ms(self) -> float | None:
        """Median time to the first finding over all plays."""
        times_ms = [result.first_ms for result in self.planted if result.first_ms is not None]
        return statistics.median(times_ms) if times_ms else None

    @property
    def without(self) -> Verdict:
        """The worst verdict on the unmodified program."""
        return max((result.verdict for result in self.plain), key=VERDICTS.index)

    @property
    def unsound(self) -> str:
        """Why a play cannot be trusted; empty if all can."""
        return next((why for result in (*self.planted, *self.plain) for why in result.unsound), "")

    @property
    def met(self) -> bool:
        """Whether the breach was found in each play and the unmodified program was never judged broken."""
        return self.hits == len(self.planted) and self.without != "broken" and not self.unsound


def schedule_of(name: str) -> Schedule:
    """Read the schedule of a breach.

    Raises:
        ScheduleError: The file cannot be read; the message names the file, the line and the field.
    """
    path = breaching.FOLDER / f"{name}.jsonl"
    try:
        return schedules.read(path.read_bytes(), str(path))
    except OSError as error:
        raise ScheduleError(f"{path}: {error.strerror}") from None


# --- one play ------------------------------------------------------------------------------


async def play_once(name: str, planted: bool, tree: Path) -> Seen:
    """Play the schedule of a breach, with the breach planted or on the unmodified program."""
    schedule = schedule_of(name)
    played = await play(schedule, PlayOptions(tree, name if planted else ""))
    findings = judge(played, bound_of(schedule, PlayOptions()))
    return summarize_play(played, findings, breaching.read(name).checker)


def summarize_play(played: Played, findings: Sequence[Finding], checker: str) -> Seen:
    """Return the result of a play."""
    broken = [finding for finding in findings if finding.verdict == "broken"]
    found: dict[str, int] = {}
    for finding in broken:
        found[finding.checker] = found.get(finding.checker, 0) + 1
    texts = tuple(f"{finding.verdict}: {finding.checker}: {finding.text}" for finding in findings[:3])
    first = first_ms(played, broken, checker)
    return Seen(verdict(findings), found, first, tuple(played.unsound), texts)


def first_ms(played: Played, broken: Sequence[Finding], checker: str) -> float | None:
    """Return when the first breach of a checker becomes visible; None if it has no time.

    A contradiction is visible once its bound has passed, a breach of one of the four rules when its call
    ends, and any other breach at the last of its events.
    """
    own = [finding.shown for finding in broken if finding.checker == checker and finding.shown]
    if checker == "contradiction":
        times = [
            min(event.at_ms for event in shown) + bound_of(played.schedule, PlayOptions()) for shown in own
        ]
    else:
        times = [max(event.at_ms for event in shown) for shown in own]
    if checker == "rules":
        excuses = Excuses(played)
        ends_s = {row.call: row.ended_s for row in played.call_ledger.asked}
        for breaches in played.call_ledger.check().values():
            times += [
                ends_s[row.call] * 1000.0
                for row in breaches
                if row.call in ends_s and not excuses.excuse(row)
            ]
    return min(times) - played.began_ms if times else None


# --- all -----------------------------------------------------------------------------------


async def play_in_process(name: str, planted: bool, tree: Path) -> Seen:
    """Play in a separate process. A play that cannot be started or whose rig crashed is unsound."""
    with tempfile.TemporaryDirectory(prefix="rig-breach-") as folder:
        out = Path(folder) / "seen.json"
        arguments = [
            "--play",
            name,
            "--tree",
            str(tree),
            "--json",
            str(out),
            *([] if planted else ["--plain"]),
        ]
        program = await Program.start(
            [sys.executable, "-m", "benchmarks.cluster_breaches", *arguments],
            cwd=ROOT,
            environment=clean_environment(PYTHONPATH=str(ROOT)),
        )
        code = await program.wait(PLAY_TIMEOUT_S)
        await program.stop()
        if code is None or not out.exists():
            last = program.tail[-1] if program.tail else "the process printed nothing"
            why = last if code is not None else f"it did not end within {PLAY_TIMEOUT_S:g} s"
            return Seen("unknown", {}, None, (why,), ())
        return msgspec.json.decode(out.read_bytes(), type=Seen)


async def repeat_if_busy(result: Seen, attempt: Callable[[], Awaitable[Seen]]) -> Seen:
    """Repeat a play while the machine is too busy, at most `MAX_REPEATS` times; return the last result."""
    for _ in range(MAX_REPEATS):
        if not result.unsound:
            break
        result = await attempt()
    return result


async def run(names: Sequence[str], runs: int, concurrency: int, tree: Path) -> list[Row]:
    """Play all rows and print each play to standard error.

    Up to `concurrency` plays run concurrently. Those for which the machine was too busy are then repeated
    alone.
    """
    plays = [(name, planted, number) for name in names for planted in (True, False) for number in range(runs)]
    gate = asyncio.Semaphore(concurrency)
    seen_by_play: dict[tuple[str, bool, int], Seen] = {}

    async def one_play(name: str, planted: bool) -> Seen:
        async with gate:
            result = await play_in_process(name, planted, tree)
        variant = "planted" if planted else "as it is"
        texts = " | ".join((*result.texts, *(f"UNSOUND: {why}" for why in result.unsound)))
        print(f"{name}, {variant}: {result.verdict}: {texts}", file=sys.stderr, flush=True)
        return result

    async def side_by_side(play: tuple[str, bool, int]) -> None:
        seen_by_play[play] = await one_play(play[0], play[1])

    try:
        async with asyncio.TaskGroup() as group:
            for play in plays:
                group.create_task(side_by_side(play))
    except* ProgramError as errors:
        raise ProgramError(str(errors.exceptions[0])) from None
    for play in plays:
        seen_by_play[play] = await repeat_if_busy(
            seen_by_play[play], functools.partial(one_play, play[0], play[1])
        )
    return [_row(name, seen_by_play, runs) for name in names]


def _row(name: str, seen_by_play: Mapping[tuple[str, bool, int], Seen], runs: int) -> Row:
    schedule = schedule_of(name)
    planted, plain = (
        tuple(seen_by_play[name, how, number] for number in range(runs)) for how in (True, False)
    )
    checker = breaching.read(name).checker
    return Row(name, checker, len(schedule.steps), schedule.head.length_ms, planted, plain)


HEADS = (
    "breach",
    "checker",
    "found by",
    "found",
    "steps",
    "length, ms",
    "first, ms",
    "without it",
    "unsound",
)


def cells(row: Row) -> list[str]:
    """Return the table row of a breach."""
    return [
        row.name,
        row.checker,
        ", ".join(row.found_by) or "NONE",
        f"{row.hits}/{len(row.planted)}",
        str(row.steps),
        str(row.length_ms),
        format_figure(row.first_ms),
        row.without if row.without != "broken" else "BROKEN",
        row.unsound or "-",
    ]


def row_as_json(row: Row) -> dict[str, Any]:
    """Return all figures of a row as JSON values."""
    return {**msgspec.to_builtins(row), "met": row.met, "first_ms": row.first_ms, "without": row.without}


def _parse_count(text: str, maximum: int) -> int:
    if not text.isdigit() or not 1 <= int(text) <= maximum:
        raise ValueError(f"expected a number from 1 to {maximum}, got {text!r}")
    return int(text)


def runs(text: str) -> int:
    """Parse the number of runs; raise `ValueError` if it is out of range."""
    return _parse_count(text, MAX_RUNS)


def side_by_side(text: str) -> int:
    """Parse the number of concurrent plays; raise `ValueError` if it is out of range."""
    return _parse_count(text, MAX_CONCURRENT_PLAYS)


def main(arguments: Sequence[str] | None = None) -> int:
    """Play, print and check the bounds.

    Returns:
        The exit code: `DONE`, `NOT_MET` or `BAD_INPUT`.
    """
    parser = create_parser("cluster_breaches", __doc__)
    parser.add_argument("--only", metavar="NAME[,NAME]", help="only these breaches")
    parser.add_argument(
        "--runs", type=runs, default=1, metavar="N", help=f"plays of each breach, at most {MAX_RUNS}"
    )
    parser.add_argument(
        "--side-by-side", type=side_by_side, default=CONCURRENT_PLAYS, metavar="K", help="concurrent plays"
    )
    parser.add_argument("--play", metavar="NAME", help="play once and print the result as JSON")
    parser.add_argument("--plain", action="store_true", help="with --play: play the unmodified program")
    options = parser.parse_args(arguments)
    if options.play:
        names = select_names(options.play, breaching.names(), parser)[:1]
    else:
        names = select_names(options.only, breaching.names(), parser)
    raise_descriptors()
    try:
        if options.play:
            encoded = msgspec.json.encode(asyncio.run(play_once(names[0], not options.plain, options.tree)))
            if options.json is not None:
                options.json.write_bytes(encoded)
            else:
                print(encoded.decode())
            return DONE
        for name in names:
            breaching.breached(breaching.read(name), options.tree)
            schedule_of(name)
        rows = asyncio.run(run(names, options.runs, options.side_by_side, options.tree))
    except (BreachError, ScheduleError, ProgramError) as error:
        print(error, file=sys.stderr)
        return BAD_INPUT
    print(table(HEADS, [cells(row) for row in rows], right=False))
    met = all(row.met for row in rows)
    write_json(options.json, options.tree, {"met": met, "rows": [row_as_json(row) for row in rows]})
    return DONE if met else NOT_MET


if __name__ == "__main__":
    sys.exit(main())

"""Whether each planted breach is found by the checker that must find it, and by what.

`python -m benchmarks.cluster_breaches [--only NAME[,NAME]] [--runs N] [--side-by-side K] [--json FILE]`. Each
breach of `rig/cluster/breaches/` is planted into the nodes of a cluster that its short schedule is played on,
and the same schedule is played on the program as it is. All that is found is found by the checkers; the
breach's name tells them nothing. Each play is a process of its own, since what starts others is late itself;
one for which the machine was too busy is played again, alone.

Exit codes: 0 each breach found by its checker in each run, and the program as it is never judged broken; 1
not so, or no sound run; 2 bad input.
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

from benchmarks.common import BAD_INPUT, DONE, NOT_MET, chosen, figure, options, table, write_json
from rig.cluster import breaching, schedules
from rig.cluster.__main__ import PlayOptions, bound_of, play
from rig.cluster.breaching import BreachError
from rig.cluster.checkers import Finding, verdict
from rig.cluster.judging import Excuses, Played, judge
from rig.cluster.schedules import Schedule, ScheduleError, Verdict
from rig.helper import ROOT
from rig.process import Program, ProgramError, clean_environment, raise_descriptors

RUNS_MOST = 100
AT_ONCE, AT_ONCE_MOST = 3, 8  # plays side by side,
ALONE_MOST = 2  # and so often alone if the machine was too busy for that
PLAY_S = 180.0
VERDICTS: tuple[Verdict, ...] = ("kept", "unknown", "broken")  # the worst last


class Seen(Struct, frozen=True):
    """What one play came to. `found`: findings of a breach by checker; `first_ms`: from the schedule's
    beginning to what shows the first of the checker that must find it, where that has a time.
    """

    verdict: Verdict
    found: dict[str, int]
    first_ms: float | None
    unsound: tuple[str, ...]
    texts: tuple[str, ...]


class Row(Struct, frozen=True):
    """One breach: its plays, and those of the program as it is."""

    name: str
    checker: str
    steps: int
    length_ms: int
    planted: tuple[Seen, ...]
    plain: tuple[Seen, ...]

    @property
    def hits(self) -> int:
        """Plays in which the checker found it."""
        return sum(self.checker in seen.found for seen in self.planted)

    @property
    def found_by(self) -> list[str]:
        """All checkers that found anything, the one that must first."""
        found = {checker for seen in self.planted for checker in seen.found}
        return sorted(found, key=lambda checker: (checker != self.checker, checker))

    @property
    def first_ms(self) -> float | None:
        """The median of all plays."""
        known = [seen.first_ms for seen in self.planted if seen.first_ms is not None]
        return statistics.median(known) if known else None

    @property
    def without(self) -> Verdict:
        """The worst verdict on the program as it is."""
        return max((seen.verdict for seen in self.plain), key=VERDICTS.index)

    @property
    def unsound(self) -> str:
        """Why a play can't be believed; empty where all can."""
        return next((why for seen in (*self.planted, *self.plain) for why in seen.unsound), "")

    @property
    def met(self) -> bool:
        """Whether it was found each time, and the program as it is never judged broken."""
        return self.hits == len(self.planted) and self.without != "broken" and not self.unsound


def schedule_of(name: str) -> Schedule:
    """The schedule of a breach; `ScheduleError` names the file, the line and the field."""
    path = breaching.FOLDER / f"{name}.jsonl"
    try:
        return schedules.read(path.read_bytes(), str(path))
    except OSError as error:
        raise ScheduleError(f"{path}: {error.strerror}") from None


# --- one play ------------------------------------------------------------------------------


async def one(name: str, planted: bool, tree: Path) -> Seen:
    """Play the schedule of a breach, with it planted or on the program as it is."""
    schedule = schedule_of(name)
    played = await play(schedule, PlayOptions(tree, name if planted else ""))
    findings = judge(played, bound_of(schedule, PlayOptions()))
    return seen(played, findings, breaching.read(name).checker)


def seen(played: Played, findings: Sequence[Finding], checker: str) -> Seen:
    """What a play came to."""
    broken = [finding for finding in findings if finding.verdict == "broken"]
    found: dict[str, int] = {}
    for finding in broken:
        found[finding.checker] = found.get(finding.checker, 0) + 1
    texts = tuple(f"{finding.verdict}: {finding.checker}: {finding.text}" for finding in findings[:3])
    first = first_ms(played, broken, checker)
    return Seen(verdict(findings), found, first, tuple(played.unsound), texts)


def first_ms(played: Played, broken: Sequence[Finding], checker: str) -> float | None:
    """When a checker's first breach shows; None where it has no time.

    A contradiction shows once its bound is over, one of the four rules as its call ends, any other with the
    last of its events.
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


async def apart(name: str, planted: bool, tree: Path) -> Seen:
    """Play it in a process of its own. One that can't be made, or whose rig fell over, is not sound."""
    with tempfile.TemporaryDirectory(prefix="rig-breach-") as folder:
        out = Path(folder) / "seen.json"
        words = ["--play", name, "--tree", str(tree), "--json", str(out), *([] if planted else ["--plain"])]
        program = await Program.start(
            [sys.executable, "-m", "benchmarks.cluster_breaches", *words],
            cwd=ROOT,
            environment=clean_environment(PYTHONPATH=str(ROOT)),
        )
        code = await program.wait(PLAY_S)
        await program.stop()
        if code is None or not out.exists():
            last = program.tail[-1] if program.tail else "no word"
            why = last if code is not None else f"it did not end within {PLAY_S:g} s"
            return Seen("unknown", {}, None, (why,), ())
        return msgspec.json.decode(out.read_bytes(), type=Seen)


async def again(seen: Seen, attempt: Callable[[], Awaitable[Seen]]) -> Seen:
    """What a play comes to: made again while the machine was too busy, `ALONE_MOST` times at most."""
    for _ in range(ALONE_MOST):
        if not seen.unsound:
            break
        seen = await attempt()
    return seen


async def run(names: Sequence[str], runs: int, at_once: int, tree: Path) -> list[Row]:
    """All rows: so many plays side by side, then alone those for which the machine was too busy.

    Each play is told on standard error.
    """
    plays = [(name, planted, number) for name in names for planted in (True, False) for number in range(runs)]
    gate = asyncio.Semaphore(at_once)
    seen_by_play: dict[tuple[str, bool, int], Seen] = {}

    async def one_play(name: str, planted: bool) -> Seen:
        async with gate:
            seen = await apart(name, planted, tree)
        what = "planted" if planted else "as it is"
        texts = " | ".join((*seen.texts, *(f"UNSOUND: {why}" for why in seen.unsound)))
        print(f"{name}, {what}: {seen.verdict}: {texts}", file=sys.stderr, flush=True)
        return seen

    async def side_by_side(play: tuple[str, bool, int]) -> None:
        seen_by_play[play] = await one_play(play[0], play[1])

    try:
        async with asyncio.TaskGroup() as group:
            for play in plays:
                group.create_task(side_by_side(play))
    except* ProgramError as errors:
        raise ProgramError(str(errors.exceptions[0])) from None
    for play in plays:
        seen_by_play[play] = await again(seen_by_play[play], functools.partial(one_play, play[0], play[1]))
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
    """A row as the table shows it."""
    return [
        row.name,
        row.checker,
        ", ".join(row.found_by) or "NONE",
        f"{row.hits}/{len(row.planted)}",
        str(row.steps),
        str(row.length_ms),
        figure(row.first_ms),
        row.without if row.without != "broken" else "BROKEN",
        row.unsound or "-",
    ]


def told_of(row: Row) -> dict[str, Any]:
    """All figures of a row as JSON values."""
    return {**msgspec.to_builtins(row), "met": row.met, "first_ms": row.first_ms, "without": row.without}


def _count(text: str, most: int) -> int:
    if not text.isdigit() or not 1 <= int(text) <= most:
        raise ValueError(f"{text} is not from 1 to {most}")
    return int(text)


def runs(text: str) -> int:
    """How often; `ValueError` for what is no such number."""
    return _count(text, RUNS_MOST)


def side_by_side(text: str) -> int:
    """How many at once; `ValueError` for what is no such number."""
    return _count(text, AT_ONCE_MOST)


def main(words: Sequence[str] | None = None) -> int:
    """Play, print and judge; the exit code."""
    made = options("cluster_breaches", __doc__)
    made.add_argument("--only", metavar="NAME[,NAME]", help="these breaches only")
    made.add_argument("--runs", type=runs, default=1, metavar="N", help=f"each so often, {RUNS_MOST} at most")
    made.add_argument("--side-by-side", type=side_by_side, default=AT_ONCE, metavar="K", help="plays at once")
    made.add_argument("--play", metavar="NAME", help="one play, told as JSON")
    made.add_argument("--plain", action="store_true", help="with --play: on the program as it is")
    given = made.parse_args(words)
    if given.play:
        names = chosen(given.play, breaching.names(), made)[:1]
    else:
        names = chosen(given.only, breaching.names(), made)
    raise_descriptors()
    try:
        if given.play:
            encoded = msgspec.json.encode(asyncio.run(one(names[0], not given.plain, given.tree)))
            if given.json is not None:
                given.json.write_bytes(encoded)
            else:
                print(encoded.decode())
            return DONE
        for name in names:
            breaching.breached(breaching.read(name), given.tree)
            schedule_of(name)
        rows = asyncio.run(run(names, given.runs, given.side_by_side, given.tree))
    except (BreachError, ScheduleError, ProgramError) as error:
        print(error, file=sys.stderr)
        return BAD_INPUT
    print(table(HEADS, [cells(row) for row in rows], right=False))
    met = all(row.met for row in rows)
    write_json(given.json, given.tree, {"met": met, "rows": [told_of(row) for row in rows]})
    return DONE if met else NOT_MET


if __name__ == "__main__":
    sys.exit(main())

"""`python -m rig.cluster draw | show | run | shrink | ci | form`: play schedules of faults on real processes.

    python -m rig.cluster draw --seed 7 --nodes 5 --faults links,processes > a.jsonl
    python -m rig.cluster show a.jsonl                      # the steps and their times, one per line
    python -m rig.cluster run a.jsonl --bound-ms 2000 --live --json out.json --svg out.svg
    python -m rig.cluster run a.jsonl --times 10            # whether the verdict is the same each time
    python -m rig.cluster shrink a.jsonl --bound-ms 2000 > small.jsonl
    python -m rig.cluster ci                                # one schedule per kind of fault, side by side
    python -m rig.cluster form                              # the JSON Schema of reports

Exit codes: 0 kept; 1 a breach, an unsound run, or a verdict that differs from the file's (for `shrink`:
nothing to shrink); 2 bad input or a program that can't be started, with one line that names the file, the
line and the field.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import sys
import tempfile
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from rig.cluster import report as reports
from rig.cluster import schedules, timeline
from rig.cluster.breaching import BreachError
from rig.cluster.breaching import read as read_breach
from rig.cluster.checkers import Finding, verdict
from rig.cluster.cluster import Cluster
from rig.cluster.judging import Played, judge
from rig.cluster.live import LiveDisplay
from rig.cluster.report import Report
from rig.cluster.schedules import KINDS, MAX_NODES, Schedule, ScheduleError, line_of
from rig.helper import ROOT
from rig.process import Program, ProgramError, clean_environment, raise_descriptors

KEPT, BROKEN, BAD_INPUT = 0, 1, 2
BOUND_MS = 2000.0
SHRINK_TRIES = 40
MAX_TIMES = 100
REGRESSIONS_FOLDER = ROOT / "tests" / "regressions" / "cluster"
AT_ONCE = 3  # schedules that `ci` plays side by side
MAX_PLAYS = 3  # of one schedule: an unsound play is repeated alone, as the machine was too busy
PLAY_S = 180.0
FINDINGS_SHOWN = 20


@dataclass(frozen=True, slots=True)
class PlayOptions:
    """Options of a play."""

    tree: Path = ROOT
    breach: str = ""
    bound_ms: float | None = None  # None: the bound of the schedule's file
    live: bool = False


async def play(schedule: Schedule, options: PlayOptions) -> Played:
    """Play a schedule on real processes; `ProgramError` if one can't be started."""
    cluster = Cluster(schedule, options.tree, breach=options.breach)
    watching: asyncio.Task[None] | None = None
    try:
        await cluster.start()
        if options.live:
            watching = asyncio.create_task(LiveDisplay(cluster, sys.stderr).run())
        return await cluster.play()
    finally:
        if watching is not None:
            watching.cancel()
            await asyncio.gather(watching, return_exceptions=True)
        await cluster.stop()


def bound_of(schedule: Schedule, options: PlayOptions) -> float:
    """Return the longest contradiction allowed: the option, else the file's bound, else the default."""
    return options.bound_ms if options.bound_ms is not None else float(schedule.head.bound_ms) or BOUND_MS


async def play_and_judge(schedule: Schedule, options: PlayOptions) -> tuple[Played, list[Finding], Report]:
    """Play a schedule; return what it showed, the findings of the checkers, and the report."""
    seen = await play(schedule, options)
    bound_ms = bound_of(schedule, options)
    findings = judge(seen, bound_ms)
    return seen, findings, reports.report(seen, findings, bound_ms)


def summary_line(report: Report) -> str:
    """Format a report as one line."""
    recovery = "none" if report.recovery_ms is None else f"{report.recovery_ms:.0f} ms"
    longest = report.longest
    return (
        f"{report.verdict}: longest contradiction {longest.lists_ms:.0f} ms of lists,"
        f" {longest.settings_ms:.0f} ms of settings, bound {report.bound_ms:.0f} ms; recovery {recovery}"
    )


# --- the command line ----------------------------------------------------------------------


def parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    command_line = argparse.ArgumentParser(prog="python -m rig.cluster", description=__doc__)
    commands = command_line.add_subparsers(dest="word", required=True)
    draw = commands.add_parser("draw", help="draw a schedule by a seed and print it")
    draw.add_argument("--seed", type=int, required=True)
    draw.add_argument("--nodes", type=int, default=5, help=f"up to {MAX_NODES}")
    draw.add_argument(
        "--faults", default=",".join(KINDS), metavar="KIND[,KIND]", help=f"of {', '.join(KINDS)}"
    )
    draw.add_argument("--length-ms", type=int, default=12_000)
    draw.add_argument("--steps", type=int, default=8)
    draw.add_argument("--no-news", action="store_true", help="without changes by the registry")
    draw.add_argument("--each", type=Path, metavar="FOLDER", help="write one per kind of fault there")
    commands.add_parser("show", help="print a schedule").add_argument("file")
    for name, text in (("run", "play one"), ("shrink", "find a smaller one that fails")):
        command = commands.add_parser(name, help=text)
        command.add_argument("file")
        command.add_argument("--bound-ms", type=float, help="longest contradiction, overrides the file's")
        _program(command)
    run = commands.choices["run"]
    run.add_argument(
        "--times", type=_times, default=1, help="number of plays; all must have the same verdict"
    )
    run.add_argument("--json", type=Path, metavar="FILE", help="write the report there")
    run.add_argument("--svg", type=Path, metavar="FILE", help="draw the nodes over time")
    run.add_argument("--live", action="store_true", help="show the nodes on standard error during the play")
    ci = commands.add_parser("ci", help="play all schedules of a folder; each must have its file's verdict")
    ci.add_argument("folder", nargs="?", type=Path, default=REGRESSIONS_FOLDER)
    ci.add_argument("--at-once", type=_times, default=AT_ONCE, metavar="K", help="plays side by side")
    ci.add_argument("--only", metavar="NAME[,NAME]", help="only these schedules")
    _program(ci)
    commands.add_parser("form", help="print the JSON Schema of reports")
    return command_line


def _program(command: argparse.ArgumentParser) -> None:
    command.add_argument("--breach", default="", metavar="NAME", help="plant this breach in each node")
    command.add_argument(
        "--tree", type=_tree, default=ROOT, metavar="DIR", help="the checkout that is played"
    )


def _tree(text: str) -> Path:
    path = Path(text).resolve()
    if not (path / "fordtrestle" / "__main__.py").is_file():
        raise argparse.ArgumentTypeError(f"{text}: not a checkout with fordtrestle/__main__.py")
    return path


def _times(text: str) -> int:
    if not text.isdigit() or not 1 <= int(text) <= MAX_TIMES:
        raise argparse.ArgumentTypeError(f"{text} is not a number from 1 to {MAX_TIMES}")
    return int(text)


def _load(path: str) -> Schedule:
    try:
        return schedules.read(Path(path).read_bytes(), path)
    except OSError as error:
        raise ScheduleError(f"{path}: {error.strerror}") from None


def _draw(given: argparse.Namespace) -> int:
    if given.each is not None:
        given.each.mkdir(parents=True, exist_ok=True)
        for name, schedule in schedules.one_of_each(given.seed).items():
            (given.each / f"{name}.jsonl").write_bytes(schedule.encode())
        return KEPT
    schedule = schedules.draw(
        given.seed, given.nodes, given.length_ms, given.faults.split(","), given.steps, not given.no_news
    )
    sys.stdout.buffer.write(schedule.encode())
    return KEPT


def _show(schedule: Schedule) -> int:
    print(f"{schedule.head.nodes} nodes, {schedule.head.length_ms} ms, seed {schedule.head.seed}")
    print("\n".join(line_of(step) for step in schedule.steps))
    return KEPT


def _play_options(given: argparse.Namespace) -> PlayOptions:
    if given.breach:
        read_breach(given.breach)
    return PlayOptions(
        given.tree, given.breach, getattr(given, "bound_ms", None), getattr(given, "live", False)
    )


def _run(schedule: Schedule, given: argparse.Namespace) -> int:
    options, verdicts = _play_options(given), set()
    for number in range(1, given.times + 1):
        seen, findings, report = asyncio.run(play_and_judge(schedule, options))
        for finding in findings[:FINDINGS_SHOWN]:
            print(f"{finding.verdict}: {finding.checker}: {finding.text}")
        print(
            summary_line(report) if given.times == 1 else f"{number} of {given.times}: {summary_line(report)}"
        )
        for text in report.not_played:
            print(f"not played: {text.strip()}")
        if report.unsound:
            print(f"UNSOUND: {'; '.join(report.unsound)}")
        verdicts.add("unsound" if report.unsound else report.verdict)
        if given.json is not None:
            given.json.write_bytes(reports.encode(report))
        if given.svg is not None:
            timeline.draw(seen, given.svg)
    if len(verdicts) > 1:
        print(f"not the same each time: {', '.join(sorted(verdicts))}")
    return BROKEN if len(verdicts) > 1 or verdicts & {"broken", "unsound"} else KEPT


def _shrink(schedule: Schedule, given: argparse.Namespace) -> int:
    options = _play_options(given)

    def fails(candidate: Schedule) -> bool:
        _, findings, _ = asyncio.run(play_and_judge(candidate, options))
        return verdict(findings) == "broken"

    if not fails(schedule):
        print(f"{given.file}: the schedule does not fail, nothing to shrink", file=sys.stderr)
        return BROKEN
    sys.stdout.buffer.write(schedules.shrink(schedule, fails, SHRINK_TRIES).encode())
    return KEPT


# --- all of a folder -----------------------------------------------------------------------


async def _play_in_process(file: Path, given: argparse.Namespace) -> Report:
    """Play a schedule in a process of its own, since a process that starts others lags itself.

    Returns:
        The report of the play.

    Raises:
        ProgramError: It can't be played.
    """
    with tempfile.TemporaryDirectory(prefix="rig-cluster-") as folder:
        out = Path(folder) / "report.json"
        arguments = ["run", str(file), "--json", str(out), "--tree", str(given.tree)]
        arguments += ["--breach", given.breach] if given.breach else []
        program = await Program.start(
            [sys.executable, "-m", "rig.cluster", *arguments],
            cwd=ROOT,
            environment=clean_environment(PYTHONPATH=str(ROOT)),
        )
        code = await program.wait(PLAY_S)
        await program.stop()
        if code is None or not out.exists():
            raise ProgramError(f"{file}: {program.tail[-1] if program.tail else 'neither report nor output'}")
        return reports.decode(out.read_bytes())


async def _play_all(files: Sequence[Path], given: argparse.Namespace) -> int:
    """Play schedules side by side, and those that were unsound again, alone; return how many failed."""
    slots = asyncio.Semaphore(given.at_once)
    unsound_files: list[Path] = []
    failed = 0

    async def one(file: Path) -> None:
        async with slots:
            report = await _play_in_process(file, given)
        if report.unsound:
            unsound_files.append(file)
        else:
            end(file, report)

    def end(file: Path, report: Report) -> None:
        nonlocal failed
        passed = report.verdict == report.stated and not report.unsound
        failed += not passed
        stated = "" if report.verdict == report.stated else f", where its file states {report.stated}"
        print(f"{'ok  ' if passed else 'FAIL'} {file.stem}: {summary_line(report)}{stated}")
        for found in () if passed else report.findings[:FINDINGS_SHOWN]:
            print(f"     {found.verdict}: {found.checker}: {found.text}")
        for text in report.unsound:
            print(f"     UNSOUND: {text}")
        sys.stdout.flush()

    async with asyncio.TaskGroup() as group:
        for file in files:
            group.create_task(one(file))
    for file in unsound_files:
        for retries_left in reversed(range(MAX_PLAYS - 1)):
            report = await _play_in_process(file, given)
            if not (report.unsound and retries_left):
                break
        end(file, report)
    return failed


def _ci(given: argparse.Namespace) -> int:
    files = sorted(given.folder.glob("*.jsonl"))
    if given.only:
        wanted = given.only.split(",")
        unknown = [name for name in wanted if name not in {file.stem for file in files}]
        if unknown:
            raise ScheduleError(f"{given.folder}: no {', '.join(unknown)}")
        files = [file for file in files if file.stem in wanted]
    if not files:
        raise ScheduleError(f"{given.folder}: no schedules")
    for file in files:
        _load(str(file))
    _play_options(given)
    try:
        failed = asyncio.run(_play_all(files, given))
    except* ProgramError as errors:
        raise ProgramError(str(errors.exceptions[0])) from None
    print(f"{len(files) - failed} passed, {failed} failed")
    return BROKEN if failed else KEPT


def main(arguments: list[str] | None = None) -> int:
    """Run the command; return the exit code."""
    given = parser().parse_args(arguments)
    try:
        if given.word == "form":
            sys.stdout.buffer.write(reports.schema())
            return KEPT
        if given.word == "draw":
            return _draw(given)
        if given.word == "show":
            return _show(_load(given.file))
        raise_descriptors()
        if given.word == "ci":
            return _ci(given)
        schedule = _load(given.file)
        return _run(schedule, given) if given.word == "run" else _shrink(schedule, given)
    except (ScheduleError, BreachError, ProgramError, OSError) as error:
        print(error, file=sys.stderr)
        return BAD_INPUT


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        sys.exit(main())
    sys.exit(130)

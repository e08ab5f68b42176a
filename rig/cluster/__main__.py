"""`python -m rig.cluster draw | show | run | shrink`: schedules of faults, played on several processes.

    python -m rig.cluster draw --seed 7 --nodes 5 --faults links,processes > a.jsonl
    python -m rig.cluster show a.jsonl                      # what happens when, a step a line
    python -m rig.cluster run a.jsonl --bound-ms 2000 --json out.json --svg out.svg
    python -m rig.cluster shrink a.jsonl --bound-ms 2000 > small.jsonl

Exit codes: 0 done and every check kept, 1 a breach (or, for `shrink`, none to shrink), 2 bad input, with one
line that names the file, the line and the field; nothing is started then.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import math
import sys
from pathlib import Path
from typing import Any

from fordtrestle.load.recorder import library
from rig.cluster import schedules
from rig.cluster.checkers import (
    Finding,
    check_contradiction,
    check_versions,
    contradictions,
    recovery_ms,
    verdict,
)
from rig.cluster.history import Acted, Ended, Event, Started
from rig.cluster.schedules import KINDS, NODES_MOST, Clock, DiskFault, Link, Schedule, ScheduleError, Step
from rig.cluster.today import LEAVING, Today
from rig.process import ProgramError, raise_descriptors

KEPT, BROKEN, BAD_INPUT = 0, 1, 2
JSON_FORMAT = 1
LEAVE_SHARES = (0.1, 0.25, 0.4)  # of the length: when s0, s1 and s2 leave the list
SHRINK_TRIES = 40
LIVE_S = 1.0


def line_of(step: Step) -> str:
    """A step as people read it."""
    until = step.at_ms + step.lasts_ms
    if isinstance(step, Link):
        amount = f" {step.amount:g}" if step.amount else ""
        what = f"{step.way}{amount} from {','.join(step.src)} to {','.join(step.dst)}"
    else:
        fields = {name: getattr(step, name) for name in step.__struct_fields__[2:]}
        told = " ".join(f"{name}={value}" for name, value in fields.items() if name != "node")
        what = f"{type(step).__name__.lower()} {step.node} {told}".rstrip()
    return f"{step.at_ms:>8} .. {until:<8} {what}"


def unplayed(schedule: Schedule) -> list[Step]:
    """Steps that no process can be made to take yet: the program has no disk and no clock handed in."""
    return [step for step in schedule.steps if isinstance(step, DiskFault | Clock)]


async def play(schedule: Schedule, live: bool = False) -> dict[str, Any]:
    """Play a schedule on real processes, and check what they did; `ProgramError` if one can't be started."""
    head = schedule.head
    made = Today(head.nodes, head.seed)
    watching: asyncio.Task[None] | None = None
    try:
        await made.start()
        made.relay.forget_lag()
        began_ms = asyncio.get_running_loop().time() * 1000.0
        if live:
            watching = asyncio.create_task(_watch(made))
        leave = {server: round(share * head.length_ms) for server, share in enumerate(LEAVE_SHARES)}
        await made.play(schedule, leave)
        events = made.history()
        return {
            "events": events,
            "began_ms": began_ms,
            "answers": dict(made.seen.answers),
            "unsound": made.relay.unsound,
            "nodes": list(made.names),
        }
    finally:
        if watching is not None:
            watching.cancel()
        await made.stop()


async def _watch(made: Today) -> None:
    """Each second a line: what every node has heard of, and how many answers there were."""
    while True:
        await asyncio.sleep(LIVE_S)
        known = {node: sum(1 for at, _ in made.seen.told if at == node) for node in made.names}
        told = " ".join(f"{node}:{count}" for node, count in known.items())
        answers = " ".join(f"{end} {count}" for end, count in sorted(made.seen.answers.items()))
        print(f"news heard {told}; answers {answers}", file=sys.stderr, flush=True)


def judged(schedule: Schedule, seen: dict[str, Any], bound_ms: float) -> tuple[list[Finding], dict[str, Any]]:
    """The findings of all checkers, and the report as JSON values."""
    events: list[Event] = seen["events"]
    findings = [*check_contradiction(whole(events), bound_ms), *check_versions(events)]
    spans = contradictions(events)
    recovered = recovery_ms(leavings(events), seen["began_ms"] + schedule.healed_ms, seen["nodes"])
    told = {
        "format": JSON_FORMAT,
        "seed": schedule.head.seed,
        "nodes": schedule.head.nodes,
        "bound_ms": bound_ms,
        "verdict": verdict(findings),
        "longest_ms": spans[0].ms if spans else 0.0,
        "contradictions": [span.line() for span in spans],
        "findings": [{"verdict": f.verdict, "checker": f.checker, "text": f.text} for f in findings],
        "recovery_ms": recovered if math.isfinite(recovered) else None,
        "answers": seen["answers"],
        "unsound": seen["unsound"],
        "not_played": [line_of(step).strip() for step in unplayed(schedule)],
    }
    return findings, told


def whole(events: list[Event]) -> list[Event]:
    """The same with starts and ends: servers saw all sends, so that no kill of a node takes any away."""
    nodes = {event.node for event in events}
    last = max((event.at_ms for event in events), default=0.0)
    counts = {node: max(e.number for e in events if e.node == node) for node in nodes}
    starts = [Started(node, 1, 0.0) for node in sorted(nodes)]
    ends = [Ended(node, counts[node] + 2, last) for node in sorted(nodes)]
    moved = [
        Acted(e.node, e.number + 1, e.at_ms, e.rule, e.version, e.digest, e.what, e.call)
        for e in events
        if isinstance(e, Acted)
    ]
    return [*starts, *moved, *ends]


def leavings(events: list[Event]) -> list[Event]:
    """The acts on servers that are leaving; what is on others needs no recovery."""
    gone = {event.rule for event in events if isinstance(event, Acted) and event.version == LEAVING}
    return [event for event in events if isinstance(event, Acted) and event.rule in gone]


def draw_svg(schedule: Schedule, seen: dict[str, Any], path: Path) -> None:
    """The nodes over time: faults as bars, acts on the old version as marks, news heard as lines."""
    library("matplotlib", "plot").use("Agg")
    pyplot = library("matplotlib.pyplot", "plot")
    names = seen["nodes"]
    place = {name: number for number, name in enumerate(names)}
    figure, axes = pyplot.subplots(figsize=(11.0, 1.0 + 0.35 * len(names)))
    for step in schedule.steps:
        ends = [*step.src, *step.dst] if isinstance(step, Link) else [step.node]
        for name in set(ends) & set(place):
            width = step.lasts_ms / 1000.0
            axes.barh(place[name], width, left=step.at_ms / 1000.0, height=0.8, color="#d17a22", alpha=0.25)
    heard: set[tuple[str, str]] = set()
    gone = {event.rule for event in seen["events"] if event.version == LEAVING}
    for event in seen["events"]:
        if event.rule not in gone:
            continue
        at_s = (event.at_ms - seen["began_ms"]) / 1000.0
        if event.version == LEAVING and (event.node, event.rule) not in heard:
            heard.add((event.node, event.rule))
            axes.plot([at_s], [place[event.node]], "|", color="#3a7ca5", markersize=12)
        elif event.version != LEAVING:
            axes.plot([at_s], [place[event.node]], ".", color="#b3403a", markersize=3)
    axes.set_yticks(range(len(names)), names)
    axes.set_xlabel("s: dots are sends to servers that leave, bars the news of it, shades faults")
    figure.tight_layout()
    figure.savefig(path, format="svg", metadata={"Date": None})
    pyplot.close(figure)


def _load(path: str) -> Schedule:
    try:
        return schedules.read(Path(path).read_bytes(), path)
    except OSError as error:
        raise ScheduleError(f"{path}: {error.strerror}") from None


def parser() -> argparse.ArgumentParser:
    """The command line."""
    made = argparse.ArgumentParser(prog="python -m rig.cluster", description=__doc__)
    words = made.add_subparsers(dest="word", required=True)
    draw = words.add_parser("draw", help="print a schedule that a seed draws")
    draw.add_argument("--seed", type=int, required=True)
    draw.add_argument("--nodes", type=int, default=5, help=f"up to {NODES_MOST}")
    draw.add_argument(
        "--faults", default=",".join(KINDS), metavar="KIND[,KIND]", help=f"of {', '.join(KINDS)}"
    )
    draw.add_argument("--length-ms", type=int, default=12_000)
    draw.add_argument("--steps", type=int, default=8)
    for word, text in (
        ("show", "print a schedule"),
        ("run", "play one"),
        ("shrink", "find a smaller one that fails"),
    ):
        made_word = words.add_parser(word, help=text)
        made_word.add_argument("file")
        if word != "show":
            made_word.add_argument(
                "--bound-ms", type=float, default=2000.0, help="the longest contradiction allowed"
            )
    words.choices["run"].add_argument("--json", type=Path, metavar="FILE", help="write the report there")
    words.choices["run"].add_argument("--svg", type=Path, metavar="FILE", help="draw the nodes over time")
    words.choices["run"].add_argument("--live", action="store_true", help="a line a second on standard error")
    return made


def _run(schedule: Schedule, given: argparse.Namespace) -> int:
    seen = asyncio.run(play(schedule, given.live))
    findings, told = judged(schedule, seen, given.bound_ms)
    for finding in findings:
        print(f"{finding.verdict}: {finding.checker}: {finding.text}")
    print(
        f"{told['verdict']}: longest contradiction {told['longest_ms']:.0f} ms, bound {given.bound_ms:.0f} ms"
    )
    for text in told["not_played"]:
        print(f"not played: {text}")
    if told["unsound"]:
        print(f"UNSOUND: {told['unsound']}")
    if given.json is not None:
        given.json.write_text(json.dumps(told, indent=1) + "\n", encoding="utf-8")
    if given.svg is not None:
        draw_svg(schedule, seen, given.svg)
    return BROKEN if told["verdict"] == "broken" or told["unsound"] else KEPT


def _shrink(schedule: Schedule, given: argparse.Namespace) -> int:
    def fails(made: Schedule) -> bool:
        findings, _ = judged(made, asyncio.run(play(made)), given.bound_ms)
        return verdict(findings) == "broken"

    if not fails(schedule):
        print(f"{given.file}: keeps its bound: nothing to shrink", file=sys.stderr)
        return BROKEN
    small = schedules.shrink(schedule, fails, SHRINK_TRIES)
    sys.stdout.buffer.write(small.encode())
    return KEPT


def main(words: list[str] | None = None) -> int:
    """Do what the words ask; the exit code."""
    given = parser().parse_args(words)
    try:
        if given.word == "draw":
            kinds = given.faults.split(",")
            made = schedules.draw(given.seed, given.nodes, given.length_ms, kinds, given.steps)
            sys.stdout.buffer.write(made.encode())
            return KEPT
        schedule = _load(given.file)
        if given.word == "show":
            print(f"{schedule.head.nodes} nodes, {schedule.head.length_ms} ms, seed {schedule.head.seed}")
            print("\n".join(line_of(step) for step in schedule.steps))
            return KEPT
        raise_descriptors()
        return _run(schedule, given) if given.word == "run" else _shrink(schedule, given)
    except (ScheduleError, ProgramError) as error:
        print(error, file=sys.stderr)
        return BAD_INPUT


if __name__ == "__main__":
    sys.exit(main())

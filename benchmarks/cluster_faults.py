"""How long sidecars act on rules that contradict, under each fault, and what it costs each of them.

`python -m benchmarks.cluster_faults [--quick] [--seed N] [--json FILE] [--tree DIR] [--only NAME[,NAME]]
[--nodes N[,N]] [--bound-ms MS]`. N processes of the program hear one registry through links of the rig's, and
servers leave its list while the links, the processes, their disks or their clocks fail. A contradiction on a
server lasts from the first pick of one node by a list in which it leaves to the last send of another to it,
and on settings from the first act by new ones to the last of another node by old ones. `settings`: the nodes'
files change in turn, which takes a restart; `static`: their lists of servers do, by SIGHUP, in turn, too.

Exit codes: 0 all runs sound, every promise kept and, with `--bound-ms`, every contradiction within it; 1 not
so; 2 bad input or a program that can't be started.
"""

from __future__ import annotations

import asyncio
import math
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from statistics import fmean
from typing import Any

from benchmarks.common import BAD_INPUT, DONE, NOT_MET, chosen, figure, make_ready, options, table, write_json
from rig.cluster.cluster import REGISTRY, Cluster
from rig.cluster.costs import FIGURES, NodeCost, costs, growth
from rig.cluster.history import LIST, SETTINGS
from rig.cluster.judging import Played, judge
from rig.cluster.schedules import (
    FORMAT,
    Clock,
    DiskFault,
    Head,
    Kill,
    Link,
    News,
    Reload,
    Schedule,
    Step,
    Stop,
    Way,
    Writes,
    in_order,
    names,
)
from rig.process import ProgramError

COUNTS, QUICK_COUNTS = (3, 10, 40, 100), (3, 10)
LENGTH_MS = 9000
FAULT_AT_MS, FAULT_LASTS_MS = 1500, 5000
LEAVE_AT_MS = {"s0": 1000, "s1": 2500, "s2": 3500, "s3": 5000}  # when the registry tells that they leave
TURNS_AT_MS, TURNS_LAST_MS = 1000, 6000  # in which the files of all nodes change one after another
CALLS_MOST_S = 300.0  # at all nodes together: the rig must keep up
RATE_A_NODE, RATE_LEAST = 10.0, 2.0
BROKEN_SHOWN = 5
STATIC, NONE = "static", "none"

Steps = Callable[[int], tuple[Step, ...]]


def half(count: int) -> tuple[str, ...]:
    """The nodes that a fault is on: half of them, one at least."""
    return tuple(names(count)[: max(1, count // 2)])


def _link(way: Way, amount: float = 0.0) -> Steps:
    return lambda count: (Link(FAULT_AT_MS, FAULT_LASTS_MS, way, (REGISTRY,), half(count), amount),)


def _stop(share: float) -> Steps:
    return lambda count: tuple(Stop(FAULT_AT_MS, FAULT_LASTS_MS, node, share) for node in half(count))


def _disk(writes: Writes) -> Steps:
    """The fault, and a kill while it is on."""
    return lambda count: tuple(
        step
        for node in half(count)
        for step in (DiskFault(FAULT_AT_MS, FAULT_LASTS_MS, node, writes), Kill(4000, 1000, node))
    )


def _in_turn(count: int) -> tuple[Step, ...]:
    pause_ms = TURNS_LAST_MS / count
    return tuple(
        Reload(round(TURNS_AT_MS + index * pause_ms), 1, node, 2) for index, node in enumerate(names(count))
    )


FAULTS: dict[str, Steps] = {
    NONE: lambda count: (),
    "late": _link("late", 1500.0),
    "cut": _link("cut"),
    "stall": _link("stall"),
    "reset": _link("reset", 1.0),
    "half_open": _link("half_open", 1.0),
    "narrow": _link("narrow", 200.0),
    "stopped": _stop(1.0),
    "starved": _stop(0.9),
    "killed": lambda count: tuple(Kill(FAULT_AT_MS, 1500, node) for node in half(count)),
    "cut+killed": lambda count: (
        Link(FAULT_AT_MS, FAULT_LASTS_MS, "cut", (REGISTRY,), half(count)),
        *(Kill(FAULT_AT_MS + 1000, 1000, node) for node in half(count)),
    ),
    "disk_lie": _disk("lie"),
    "disk_full": _disk("full"),
    "disk_slow": _disk("slow"),
    "clocks": lambda count: tuple(
        Clock(FAULT_AT_MS, FAULT_LASTS_MS, node, jump_ms=-10_000, drift_ppm=500) for node in half(count)
    ),
    "settings": _in_turn,
    STATIC: _in_turn,
}


@dataclass(frozen=True, slots=True)
class Row:
    """What one fault showed at one number of nodes. `recovery_ms`: infinite where a node never did."""

    name: str
    nodes: int
    lists_ms: float
    settings_ms: float
    who: str
    recovery_ms: float
    served: float
    asked: int
    cost: tuple[NodeCost, ...]
    rig_cpu_s: float
    broken: tuple[str, ...]
    unsound: tuple[str, ...]

    def mean(self, name: str) -> float:
        """A figure of the mean node."""
        return fmean(getattr(one, name) for one in self.cost)

    def summary(self) -> dict[str, Any]:
        """All figures as JSON values."""
        told: dict[str, Any] = {
            field: getattr(self, field) for field in self.__slots__ if field not in ("cost", "recovery_ms")
        }
        recovery = self.recovery_ms if math.isfinite(self.recovery_ms) else None
        return {**told, "recovery_ms": recovery, **{name: self.mean(name) for name in FIGURES}}


def rate(count: int) -> float:
    """Calls a second at each of so many nodes."""
    return max(RATE_LEAST, min(RATE_A_NODE, CALLS_MOST_S / count))


def schedule_of(name: str, count: int, seed: int) -> Schedule:
    """The fault, and the news that it meets."""
    news = [News(at_ms, 1, server, "leaving") for server, at_ms in LEAVE_AT_MS.items()]
    steps = in_order((*FAULTS[name](count), *(() if name == STATIC else news)))
    return Schedule(Head(FORMAT, seed, count, LENGTH_MS), steps)


async def measure(name: str, count: int, seed: int, tree: Path) -> Row:
    """Play one fault; `ProgramError` if a node can't be started."""
    made = Cluster(schedule_of(name, count, seed), tree, rate_a_node=rate(count), static=name == STATIC)
    try:
        await made.start()
        played = await made.play()
    finally:
        await made.stop()
    return row_of(name, played)


def row_of(name: str, played: Played) -> Row:
    """What a play showed, as a row."""
    spans = played.longest()
    findings = judge(played, math.inf)
    asked = sum(played.answers.values())
    return Row(
        name=name,
        nodes=len(played.nodes),
        lists_ms=max((span.ms for span in spans if span.rule.startswith(LIST)), default=0.0),
        settings_ms=max((span.ms for span in spans if span.rule.startswith(SETTINGS)), default=0.0),
        who=spans[0].line() if spans else "",
        recovery_ms=played.recovery_ms(),
        served=played.answers.get("served", 0) / max(1, asked),
        asked=asked,
        cost=tuple(costs(played.nodes, played.counts, played.used, played.wall_s, [*played.nodes, REGISTRY])),
        rig_cpu_s=played.rig_cpu_s,
        broken=tuple(f"{one.checker}: {one.text}" for one in findings if one.verdict == "broken"),
        unsound=tuple(played.unsound),
    )


HEADS = (
    "fault",
    "nodes",
    "lists ms",
    "settings ms",
    "recovery ms",
    "served%",
    "asked",
    "messages/node/s",
    "B/node/s",
    "syncs/node/s",
    "MB/node",
    "CPU ms/node/s",
    "broken",
    "unsound",
)


def cells(row: Row) -> list[str]:
    """A row as the table shows it."""
    return [
        row.name,
        str(row.nodes),
        figure(row.lists_ms),
        figure(row.settings_ms),
        figure(row.recovery_ms),
        figure(100.0 * row.served, ".1f"),
        str(row.asked),
        figure(row.mean("messages_s"), ".1f"),
        figure(row.mean("bytes_s")),
        figure(row.mean("syncs_s"), ".2f"),
        figure(row.mean("memory_mb"), ".1f"),
        figure(row.mean("cpu_ms_s"), ".1f"),
        str(len(row.broken) or "-"),
        "; ".join(row.unsound) or "-",
    ]


async def run(faults: list[str], counts: list[int], seed: int, tree: Path) -> list[Row]:
    """All rows, each as soon as it is measured also on standard error."""
    rows = []
    for count in counts:
        for name in faults:
            row = await measure(name, count, seed, tree)
            rows.append(row)
            print(f"{name}, {count} nodes: {row.who or 'no contradiction'}", file=sys.stderr)
            for text in row.broken[:BROKEN_SHOWN]:
                print(f"  BROKEN: {text}", file=sys.stderr)
            sys.stderr.flush()
    return rows


def grown(rows: list[Row]) -> str:
    """By how much each figure of a node grows with their number where nothing fails; empty where unknown."""
    of_none = {row.nodes: row.cost for row in rows if row.name == NONE}
    if len(of_none) < 2:
        return ""
    shares = growth(of_none)
    told = ", ".join(f"{name} {100.0 * share:+.0f}%" for name, share in shares.items())
    return f"from {min(of_none)} to {max(of_none)} nodes with no fault, a node's: {told}"


def main() -> int:
    """Measure, print and judge; the exit code."""
    made = options("cluster_faults", __doc__)
    made.add_argument("--quick", action="store_true", help=f"{', '.join(map(str, QUICK_COUNTS))} nodes only")
    made.add_argument("--only", metavar="NAME[,NAME]", help=f"of {', '.join(FAULTS)}")
    made.add_argument("--nodes", metavar="N[,N]", help="other numbers of nodes, 2 to 200")
    made.add_argument("--bound-ms", type=float, help="the longest contradiction that is allowed")
    given = made.parse_args()
    faults = chosen(given.only, list(FAULTS), made)
    counts = list(QUICK_COUNTS if given.quick else COUNTS)
    if given.nodes:
        if not all(text.isdigit() and 2 <= int(text) <= 200 for text in given.nodes.split(",")):
            made.error(f"--nodes: {given.nodes!r} is not from 2 to 200")
        counts = [int(text) for text in given.nodes.split(",")]
    make_ready()
    try:
        rows = asyncio.run(run(faults, counts, given.seed, given.tree))
    except ProgramError as error:
        print(error, file=sys.stderr)
        return BAD_INPUT
    print(table(HEADS, [cells(row) for row in rows]))
    if text := grown(rows):
        print(text)
    met = not any(row.unsound or row.broken for row in rows)
    if given.bound_ms is not None:
        met = met and all(max(row.lists_ms, row.settings_ms) <= given.bound_ms for row in rows)
    found = [row.summary() for row in rows]
    write_json(given.json, given.tree, {"seed": given.seed, "met": met, "rows": found})
    return DONE if met else NOT_MET


if __name__ == "__main__":
    sys.exit(main())

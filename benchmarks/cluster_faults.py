"""Measures how long sidecars act on contradicting rules under each fault, and the cost for each sidecar.

`python -m benchmarks.cluster_faults [--quick] [--seed N] [--json FILE] [--tree DIR] [--only NAME[,NAME]]
[--nodes N[,N]] [--bound-ms MS]`. N processes of the program follow one registry through links of the rig.
Servers leave the list of the registry while links, processes, disks or clocks fail. A contradiction on a
server lasts from the first selection of one node by a list in which the server leaves until the last send of
another node to it. A contradiction on settings lasts from the first action under new settings until the last
action of another node under old ones. In the row `settings`, the files of the nodes change in turn, which
takes a restart. In the row `static`, their lists of servers change in turn, by SIGHUP.

Exit codes: 0 all runs were sound, every promise was kept and, with `--bound-ms`, no contradiction lasted
longer; 1 otherwise; 2 bad input or the program can't be started.
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
LEAVE_AT_MS = {"s0": 1000, "s1": 2500, "s2": 3500, "s3": 5000}  # when the registry announces that they leave
CHANGES_AT_MS, CHANGES_LAST_MS = 1000, 6000  # interval in which the files of all nodes change in turn
MAX_CALLS_PER_S = 300.0  # at all nodes together, so that the rig keeps up
MAX_RATE_PER_NODE, MIN_RATE_PER_NODE = 10.0, 2.0
MAX_PRINTED_BREACHES = 5
STATIC, NONE = "static", "none"

Steps = Callable[[int], tuple[Step, ...]]


def half(count: int) -> tuple[str, ...]:
    """Return the nodes that have a fault: half of them, at least one."""
    return tuple(names(count)[: max(1, count // 2)])


def _link(way: Way, amount: float = 0.0) -> Steps:
    return lambda count: (Link(FAULT_AT_MS, FAULT_LASTS_MS, way, (REGISTRY,), half(count), amount),)


def _stop(share: float) -> Steps:
    return lambda count: tuple(Stop(FAULT_AT_MS, FAULT_LASTS_MS, node, share) for node in half(count))


def _disk(writes: Writes) -> Steps:
    """Return steps with a disk fault on each node, and a kill during the fault."""
    return lambda count: tuple(
        step
        for node in half(count)
        for step in (DiskFault(FAULT_AT_MS, FAULT_LASTS_MS, node, writes), Kill(4000, 1000, node))
    )


def _in_turn(count: int) -> tuple[Step, ...]:
    pause_ms = CHANGES_LAST_MS / count
    return tuple(
        Reload(round(CHANGES_AT_MS + index * pause_ms), 1, node, 2) for index, node in enumerate(names(count))
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
    """Results of one fault at one number of nodes. `recovery_ms` is infinite if a node never recovered."""

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
        """Return the mean of a figure over all nodes."""
        return fmean(getattr(node_cost, name) for node_cost in self.cost)

    def summary(self) -> dict[str, Any]:
        """Return all figures as JSON values."""
        fields: dict[str, Any] = {
            field: getattr(self, field) for field in self.__slots__ if field not in ("cost", "recovery_ms")
        }
        recovery = self.recovery_ms if math.isfinite(self.recovery_ms) else None
        return {**fields, "recovery_ms": recovery, **{name: self.mean(name) for name in FIGURES}}


def rate(count: int) -> float:
    """Return the calls per second at each of `count` nodes."""
    return max(MIN_RATE_PER_NODE, min(MAX_RATE_PER_NODE, MAX_CALLS_PER_S / count))


def schedule_of(name: str, count: int, seed: int) -> Schedule:
    """Return a schedule with the fault and the changes of the server list."""
    news = [News(at_ms, 1, server, "leaving") for server, at_ms in LEAVE_AT_MS.items()]
    steps = in_order((*FAULTS[name](count), *(() if name == STATIC else news)))
    return Schedule(Head(FORMAT, seed, count, LENGTH_MS), steps)


async def measure(name: str, count: int, seed: int, tree: Path) -> Row:
    """Play one fault.

    Raises:
        ProgramError: A node cannot be started.
    """
    cluster = Cluster(schedule_of(name, count, seed), tree, rate_a_node=rate(count), static=name == STATIC)
    try:
        await cluster.start()
        played = await cluster.play()
    finally:
        await cluster.stop()
    return row_of(name, played)


def row_of(name: str, played: Played) -> Row:
    """Return the results of a play as a row."""
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
        broken=tuple(
            f"{finding.checker}: {finding.text}" for finding in findings if finding.verdict == "broken"
        ),
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
    """Return the table row of a fault."""
    return [
        row.name,
        str(row.nodes),
        format_figure(row.lists_ms),
        format_figure(row.settings_ms),
        format_figure(row.recovery_ms),
        format_figure(100.0 * row.served, ".1f"),
        str(row.asked),
        format_figure(row.mean("messages_s"), ".1f"),
        format_figure(row.mean("bytes_s")),
        format_figure(row.mean("syncs_s"), ".2f"),
        format_figure(row.mean("memory_mb"), ".1f"),
        format_figure(row.mean("cpu_ms_s"), ".1f"),
        str(len(row.broken) or "-"),
        "; ".join(row.unsound) or "-",
    ]


async def run(faults: list[str], counts: list[int], seed: int, tree: Path) -> list[Row]:
    """Measure all rows and print each to standard error as soon as it is measured."""
    rows = []
    for count in counts:
        for name in faults:
            row = await measure(name, count, seed, tree)
            rows.append(row)
            print(f"{name}, {count} nodes: {row.who or 'no contradiction'}", file=sys.stderr)
            for text in row.broken[:MAX_PRINTED_BREACHES]:
                print(f"  BROKEN: {text}", file=sys.stderr)
            sys.stderr.flush()
    return rows


def growth_text(rows: list[Row]) -> str:
    """Return a line on the growth of each figure per node with the number of nodes, without faults.

    The line is empty if fewer than two numbers of nodes were measured.
    """
    of_none = {row.nodes: row.cost for row in rows if row.name == NONE}
    if len(of_none) < 2:
        return ""
    shares = growth(of_none)
    texts = ", ".join(f"{name} {100.0 * share:+.0f}%" for name, share in shares.items())
    return f"from {min(of_none)} to {max(of_none)} nodes with no fault, a node's: {texts}"


def main() -> int:
    """Measure, print and check the bounds.

    Returns:
        The exit code: `DONE`, `NOT_MET` or `BAD_INPUT`.
    """
    parser = create_parser("cluster_faults", __doc__)
    parser.add_argument(
        "--quick", action="store_true", help=f"{', '.join(map(str, QUICK_COUNTS))} nodes only"
    )
    parser.add_argument("--only", metavar="NAME[,NAME]", help=f"of {', '.join(FAULTS)}")
    parser.add_argument("--nodes", metavar="N[,N]", help="other numbers of nodes, 2 to 200")
    parser.add_argument("--bound-ms", type=float, help="the longest allowed contradiction")
    options = parser.parse_args()
    faults = select_names(options.only, list(FAULTS), parser)
    counts = list(QUICK_COUNTS if options.quick else COUNTS)
    if options.nodes:
        if not all(text.isdigit() and 2 <= int(text) <= 200 for text in options.nodes.split(",")):
            parser.error(f"--nodes: expected numbers from 2 to 200, got {options.nodes!r}")
        counts = [int(text) for text in options.nodes.split(",")]
    prepare_process()
    try:
        rows = asyncio.run(run(faults, counts, options.seed, options.tree))
    except ProgramError as error:
        print(error, file=sys.stderr)
        return BAD_INPUT
    print(table(HEADS, [cells(row) for row in rows]))
    if text := growth_text(rows):
        print(text)
    met = not any(row.unsound or row.broken for row in rows)
    if options.bound_ms is not None:
        met = met and all(max(row.lists_ms, row.settings_ms) <= options.bound_ms for row in rows)
    summaries = [row.summary() for row in rows]
    write_json(options.json, options.tree, {"seed": options.seed, "met": met, "rows": summaries})
    return DONE if met else NOT_MET


if __name__ == "__main__":
    sys.exit(main())

"""How long two sidecars act on rules that contradict, under each fault: the program as it is today.

`python -m benchmarks.cluster_faults [--quick] [--seed N] [--json FILE] [--tree DIR] [--only NAME[,NAME]]
[--nodes N[,N]] [--bound-ms MS]`. N processes of the program hear one registry through links of the rig's, and
servers leave its list while the links or the processes fail. A contradiction lasts from the first pick of one
node that knows that a server leaves to the last send of another to it. Settings change only by a restart
today: their row restarts the nodes in turn.

Exit codes: 0 all runs sound and, with `--bound-ms`, every contradiction within it; 1 not so; 2 bad input or a
program that can't be started.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from benchmarks.common import BAD_INPUT, DONE, NOT_MET, chosen, figure, make_ready, options, table, write_json
from rig.cluster.checkers import contradictions
from rig.cluster.history import Acted, Event
from rig.cluster.schedules import FORMAT, Head, Kill, Link, Schedule, Step, Stop, names
from rig.cluster.today import REGISTRY, SETTINGS, Today
from rig.process import ProgramError

COUNTS, QUICK_COUNTS = (3, 10, 40, 100), (3, 10)
LENGTH_MS = 9000
FAULT_AT_MS, FAULT_LASTS_MS = 1500, 5000
LEAVE_AT_MS = {0: 1000, 1: 2500, 2: 3500, 3: 5000}  # servers by when the registry tells that they leave
SETTLE_S = 1.0


def half(count: int) -> tuple[str, ...]:
    """The nodes that a fault is on: half of them, one at least."""
    return tuple(names(count)[: max(1, count // 2)])


def _link(way: str, amount: float = 0.0) -> Callable[[int], tuple[Step, ...]]:
    return lambda count: (Link(FAULT_AT_MS, FAULT_LASTS_MS, way, (REGISTRY,), half(count), amount),)  # type: ignore[arg-type]


def _stop(share: float) -> Callable[[int], tuple[Step, ...]]:
    return lambda count: tuple(Stop(FAULT_AT_MS, FAULT_LASTS_MS, node, share) for node in half(count))


FAULTS: dict[str, Callable[[int], tuple[Step, ...]]] = {
    "none": lambda count: (),
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
    SETTINGS: lambda count: (),
}


@dataclass(frozen=True, slots=True)
class Row:
    """What one fault showed at one number of nodes."""

    name: str
    nodes: int
    longest_ms: float
    who: str
    served: float
    asked: int
    bytes_a_node_s: float  # from the registry
    cpu_ms_a_node_s: float
    unsound: str

    def told(self) -> dict[str, Any]:
        """All figures as JSON values."""
        return {field: getattr(self, field) for field in self.__slots__}


async def measure(name: str, count: int, seed: int, tree: Path) -> Row:
    """Play one fault; `ProgramError` if a node can't be started."""
    schedule = Schedule(Head(FORMAT, seed, count, LENGTH_MS), FAULTS[name](count))
    made = Today(count, seed, tree=tree)
    try:
        await made.start()
        await asyncio.sleep(SETTLE_S)
        made.seen.answers.clear()
        made.relay.forget_lag()  # starting processes keeps all cores busy
        if name == SETTINGS:
            events: Sequence[Event] = await _restart_in_turn(made)
        else:
            await made.play(schedule, LEAVE_AT_MS)
            events = made.history()
        spans = contradictions(events)
        answers = made.seen.answers
        asked = sum(answers.values())
        cpu_s = sum(node.gone_cpu_s for node in made.nodes.values())
        cpu_s += sum(node.program.usage().cpu_s for node in made.nodes.values() if node.program is not None)
        told = sum(made.relay.state(REGISTRY, node).counts.passed for node in made.names)
        length_s = LENGTH_MS / 1000.0 + SETTLE_S
        return Row(
            name=name,
            nodes=count,
            longest_ms=spans[0].ms if spans else 0.0,
            who=spans[0].line() if spans else "",
            served=answers["served"] / max(1, asked),
            asked=asked,
            bytes_a_node_s=told / count / length_s,
            cpu_ms_a_node_s=1000.0 * cpu_s / count / length_s,
            unsound=made.relay.unsound,
        )
    finally:
        await made.stop()


async def _restart_in_turn(made: Today) -> list[Acted]:
    """A change of settings as today's program takes it: each pick acts on what its node was started with."""
    loop = asyncio.get_running_loop()
    changed: dict[str, float] = {}
    began, pause_s = loop.time(), LENGTH_MS / 1000.0 / len(made.names)
    for place, node in enumerate(made.names):
        await asyncio.sleep(max(0.0, began + place * pause_s - loop.time()))
        await made.restart_with_settings(node, 2)
        changed[node] = loop.time() * 1000.0
    await asyncio.sleep(SETTLE_S)
    picks = enumerate(sorted(made.seen.picks), 1)
    return [
        Acted(node, number, at_ms, SETTINGS, 2 if at_ms > changed[node] else 1)
        for number, (at_ms, node, _) in picks
    ]


HEADS = (
    "fault",
    "nodes",
    "longest contradiction, ms",
    "served%",
    "asked",
    "B/node/s",
    "CPU ms/node/s",
    "unsound",
)


def cells(row: Row) -> list[str]:
    """A row as the table shows it."""
    return [
        row.name,
        str(row.nodes),
        figure(row.longest_ms),
        figure(100.0 * row.served, ".1f"),
        str(row.asked),
        figure(row.bytes_a_node_s),
        figure(row.cpu_ms_a_node_s, ".1f"),
        row.unsound or "-",
    ]


async def run(faults: list[str], counts: list[int], seed: int, tree: Path) -> list[Row]:
    """All rows, each as soon as it is measured also on standard error."""
    rows = []
    for count in counts:
        for name in faults:
            row = await measure(name, count, seed, tree)
            rows.append(row)
            print(f"{name}, {count} nodes: {row.longest_ms:.0f} ms; {row.who}", file=sys.stderr, flush=True)
    return rows


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
    met = not any(row.unsound for row in rows)
    if given.bound_ms is not None:
        met = met and all(row.longest_ms <= given.bound_ms for row in rows)
    write_json(given.json, given.tree, {"seed": given.seed, "met": met, "rows": [row.told() for row in rows]})
    return DONE if met else NOT_MET


if __name__ == "__main__":
    sys.exit(main())

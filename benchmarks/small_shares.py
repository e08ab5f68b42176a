"""What one sidecar of many costs that carries little: to start, to stand idle, and for each request.

`python -m benchmarks.small_shares [--quick] [--seed N] [--json FILE] [--tree DIR] [--processes N]`. So many
processes of the program are started together, stand idle, hold one connection each that says nothing, and are
asked ten times a second each.

Exit codes: 0 measured, 1 an idle process wakes over `WAKES_MOST` times a second, 2 bad input or a program
that can't be started.
"""

from __future__ import annotations

import asyncio
import sys
import time
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from statistics import median
from typing import Any

from benchmarks.common import BAD_INPUT, DONE, NOT_MET, figure, options, table, write_json
from rig.cluster.nodes import Node
from rig.cluster.today import Today
from rig.process import ProgramError

PROCESSES, QUICK_PROCESSES = 20, 4
WINDOW_S, QUICK_S = 10.0, 3.0
PROCESSES_MOST = 200
WAKES_MOST = 2.0  # a second, with no connection from the application


@dataclass(frozen=True, slots=True)
class Spent:
    """What a process has used so far."""

    cpu_s: float
    wakes: int  # times that it went to sleep by itself

    @classmethod
    def of(cls, node: Node) -> Spent:
        """Look at a node; `ProgramError` where it does not run."""
        if node.program is None:
            raise ProgramError(f"{node.name} does not run")
        rows = Path(f"/proc/{node.program.pid}/status").read_text().splitlines()
        wakes = next(int(row.split()[1]) for row in rows if row.startswith("voluntary_ctxt_switches"))
        return cls(node.program.usage().cpu_s, wakes)


async def window(nodes: Iterable[Node], length_s: float) -> tuple[float, float]:
    """The median CPU milliseconds and wake-ups a second of the nodes over that time."""
    nodes = list(nodes)
    before, began = [Spent.of(node) for node in nodes], time.monotonic()
    await asyncio.sleep(length_s)
    passed_s = time.monotonic() - began
    after = [Spent.of(node) for node in nodes]
    pairs = list(zip(before, after, strict=True))
    cpu_ms = median(1000.0 * (new.cpu_s - old.cpu_s) / passed_s for old, new in pairs)
    return cpu_ms, median((new.wakes - old.wakes) / passed_s for old, new in pairs)


async def measure(count: int, length_s: float, seed: int, tree: Path) -> dict[str, float]:
    """All figures; `ProgramError` if a process can't be started."""
    made = Today(count, seed, tree=tree)
    held: list[asyncio.StreamWriter] = []
    try:
        await made.start(asking=False)
        nodes = list(made.nodes.values())
        start_cpu_s = median(Spent.of(node).cpu_s for node in nodes)
        rss_mb = median(node.program.usage().rss_mb for node in nodes if node.program is not None)
        idle_cpu_ms, idle_wakes = await window(nodes, length_s)
        for node in nodes:
            held.append((await asyncio.open_connection(*node.address))[1])
        await asyncio.sleep(0.2)
        # Connections that say nothing are closed after some seconds: half of the time is sure to hold them.
        held_cpu_ms, held_wakes = await window(nodes, min(length_s, 1.0))
        for writer in held:
            writer.transport.abort()
        made.ask()
        await asyncio.sleep(1.0)
        made.seen.answers.clear()
        busy_cpu_ms, busy_wakes = await window(nodes, length_s)
        asked_a_s = sum(made.seen.answers.values()) / count / length_s
        return {
            "start_cpu_ms": 1000.0 * start_cpu_s,
            "rss_mb": rss_mb,
            "idle_cpu_ms_a_s": idle_cpu_ms,
            "idle_wakes_a_s": idle_wakes,
            "held_cpu_ms_a_s": held_cpu_ms,
            "held_wakes_a_s": held_wakes,
            "asked_a_s": asked_a_s,
            "busy_cpu_ms_a_s": busy_cpu_ms,
            "busy_wakes_a_s": busy_wakes,
            "cpu_us_a_request": 1000.0 * busy_cpu_ms / max(0.001, asked_a_s),
        }
    finally:
        for writer in held:
            writer.transport.abort()
        await made.stop()


def rows_of(told: dict[str, float]) -> list[list[str]]:
    """The figures as the table shows them."""
    return [[name, figure(value, ".1f")] for name, value in told.items()]


def main() -> int:
    """Measure, print and judge; the exit code."""
    made = options("small_shares", __doc__)
    made.add_argument(
        "--quick", action="store_true", help=f"{QUICK_PROCESSES} processes, {QUICK_S:g} s a window"
    )
    made.add_argument(
        "--processes", type=int, help=f"how many are started together, {PROCESSES_MOST} at most"
    )
    given = made.parse_args()
    usual = QUICK_PROCESSES if given.quick else PROCESSES
    count = usual if given.processes is None else given.processes
    if not 1 <= count <= PROCESSES_MOST:
        made.error(f"--processes: {count} is not from 1 to {PROCESSES_MOST}")
    try:
        told = asyncio.run(measure(count, QUICK_S if given.quick else WINDOW_S, given.seed, given.tree))
    except ProgramError as error:
        print(error, file=sys.stderr)
        return BAD_INPUT
    print(table(("figure, median of the processes", "value"), rows_of(told)))
    met = told["idle_wakes_a_s"] <= WAKES_MOST
    figures: dict[str, Any] = {"seed": given.seed, "processes": count, "met": met, **told}
    write_json(given.json, given.tree, figures)
    return DONE if met else NOT_MET


if __name__ == "__main__":
    sys.exit(main())

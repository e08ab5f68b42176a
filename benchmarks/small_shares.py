"""Measures the cost of one sidecar of many with little traffic: at the start, idle, and per request.

`python -m benchmarks.small_shares [--quick] [--seed N] [--json FILE] [--tree DIR] [--processes N]`. The
processes of the program are started together, are idle, hold one silent connection each, and then receive ten
requests per second each.

Exit codes: 0 measured, 1 an idle process wakes more than `MAX_WAKES_PER_S` times per second, 2 bad input or
the program can't be started.
"""

from __future__ import annotations

import asyncio
import functools
import sys
import time
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from statistics import median
from typing import Any

from benchmarks.common import BAD_INPUT, DONE, NOT_MET, create_parser, format_figure, table, write_json
from rig.balancers import config_for
from rig.callers import CallClass, Caller, Callers, Demand
from rig.cluster.nodes import PlatformNode, start_all
from rig.messages import KNOWN_TENANT
from rig.process import ProgramError
from rig.registry import Registry, entries, listed
from rig.servers import Fleet

PROCESSES, QUICK_PROCESSES = 20, 4
WINDOW_S, QUICK_WINDOW_S = 10.0, 3.0
MAX_PROCESSES = 200
MAX_WAKES_PER_S = 2.0  # without a connection from the application
SERVERS = 12
CALLS_PER_S = 10.0  # at each process
LIMITS = {"cores": 1.0, "memory_mb": 96, "sockets": 256}
LOOK = CallClass("look", "safe", 1.0, 1.0, 0.0, 500.0, 2000.0, 1.0)


@dataclass(frozen=True, slots=True)
class Usage:
    """Resources that a process has used so far."""

    cpu_s: float
    wakes: int  # voluntary context switches

    @classmethod
    def of(cls, node: PlatformNode) -> Usage:
        """Read the usage of a node.

        Raises:
            ProgramError: The node is not running.
        """
        if node.program is None:
            raise ProgramError(f"{node.name} is not running")
        rows = Path(f"/proc/{node.program.pid}/status").read_text().splitlines()
        wakes = next(int(row.split()[1]) for row in rows if row.startswith("voluntary_ctxt_switches"))
        return cls(node.program.usage().cpu_s, wakes)


async def window(nodes: Iterable[PlatformNode], length_s: float) -> tuple[float, float]:
    """Return the medians over the nodes of CPU milliseconds and wake-ups per second during `length_s`."""
    nodes = list(nodes)
    before, began = [Usage.of(node) for node in nodes], time.monotonic()
    await asyncio.sleep(length_s)
    elapsed_s = time.monotonic() - began
    after = [Usage.of(node) for node in nodes]
    pairs = list(zip(before, after, strict=True))
    cpu_ms = median(1000.0 * (new.cpu_s - old.cpu_s) / elapsed_s for old, new in pairs)
    return cpu_ms, median((new.wakes - old.wakes) / elapsed_s for old, new in pairs)


class Setup:
    """Servers that answer at once, a registry, and sidecars in front of them."""

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self.nodes: list[PlatformNode] = []

    async def start(self, count: int, tree: Path) -> None:
        """Start everything.

        Raises:
            ProgramError: A process cannot be started.
        """
        self._fleet = await Fleet.start(SERVERS, seed=self._seed, work_ms=(0.0, 0.0))
        rows = entries(self._fleet.addresses)
        self._registry = await Registry(rows).start()

        listed_rows = listed(41, rows)

        def config(number: int, incarnation: int) -> dict[str, Any]:
            values = config_for(listed_rows, self._registry.address, 0, Me=number, Balancers=count)
            return {**values, "seed": f"{number:04x}{incarnation:04x}", "limits": LIMITS}

        for number in range(count):
            self.nodes.append(PlatformNode(number, functools.partial(config, number), tree))
        await start_all(self.nodes)

    async def ask(self, length_s: float) -> int:
        """Send each process `CALLS_PER_S` requests per second and return how many were sent."""
        callers = {node.name: Caller(node.name, node.address) for node in self.nodes}
        demand = Demand(
            rate_per_s=CALLS_PER_S * len(self.nodes),
            duration_s=length_s,
            classes=(LOOK,),
            tenants={KNOWN_TENANT: 1.0},
            weights=(1.0,),
            seed=self._seed,
            swing=0.0,
        )
        try:
            return len((await Callers(demand, callers).run()).asked)
        finally:
            for caller in callers.values():
                caller.close()

    async def stop(self) -> None:
        """Stop everything."""
        await asyncio.gather(*(node.stop() for node in self.nodes))
        if hasattr(self, "_registry"):
            await self._registry.stop()
        if hasattr(self, "_fleet"):
            await self._fleet.stop()


async def measure(count: int, length_s: float, seed: int, tree: Path) -> dict[str, float]:
    """Measure all figures.

    Raises:
        ProgramError: A process cannot be started.
    """
    setup = Setup(seed)
    silent_writers: list[asyncio.StreamWriter] = []
    try:
        await setup.start(count, tree)
        nodes = setup.nodes
        start_cpu_s = median(Usage.of(node).cpu_s for node in nodes)
        rss_mb = median(node.program.usage().rss_mb for node in nodes if node.program is not None)
        idle_cpu_ms, idle_wakes = await window(nodes, length_s)
        for node in nodes:
            silent_writers.append((await asyncio.open_connection(*node.address))[1])
        await asyncio.sleep(0.2)
        # Silent connections are closed after some seconds; within 1 s they are certainly still open.
        held_cpu_ms, held_wakes = await window(nodes, min(length_s, 1.0))
        for writer in silent_writers:
            writer.transport.abort()
        await setup.ask(1.0)  # opens connections
        (busy_cpu_ms, busy_wakes), asked = await asyncio.gather(window(nodes, length_s), setup.ask(length_s))
        asked_a_s = asked / count / length_s
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
        for writer in silent_writers:
            writer.transport.abort()
        await setup.stop()


def rows_of(figures: dict[str, float]) -> list[list[str]]:
    """Return the table rows of the figures."""
    return [[name, format_figure(value, ".1f")] for name, value in figures.items()]


def main() -> int:
    """Measure, print and check the bounds.

    Returns:
        The exit code: `DONE`, `NOT_MET` or `BAD_INPUT`.
    """
    parser = create_parser("small_shares", __doc__)
    parser.add_argument(
        "--quick", action="store_true", help=f"{QUICK_PROCESSES} processes, {QUICK_WINDOW_S:g} s a window"
    )
    parser.add_argument(
        "--processes", type=int, help=f"number of processes started together, at most {MAX_PROCESSES}"
    )
    options = parser.parse_args()
    default_count = QUICK_PROCESSES if options.quick else PROCESSES
    count = default_count if options.processes is None else options.processes
    if not 1 <= count <= MAX_PROCESSES:
        parser.error(f"--processes: got {count}, expected 1 to {MAX_PROCESSES}")
    try:
        figures = asyncio.run(
            measure(count, QUICK_WINDOW_S if options.quick else WINDOW_S, options.seed, options.tree)
        )
    except ProgramError as error:
        print(error, file=sys.stderr)
        return BAD_INPUT
    print(table(("figure, median of the processes", "value"), rows_of(figures)))
    met = figures["idle_wakes_a_s"] <= MAX_WAKES_PER_S
    report: dict[str, Any] = {"seed": options.seed, "processes": count, "met": met, **figures}
    write_json(options.json, options.tree, report)
    return DONE if met else NOT_MET


if __name__ == "__main__":
    sys.exit(main())

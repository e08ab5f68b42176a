"""What one sidecar of many costs that carries little: to start, to stand idle, and for each request.

`python -m benchmarks.small_shares [--quick] [--seed N] [--json FILE] [--tree DIR] [--processes N]`. So many
processes of the program are started together, stand idle, hold one connection each that says nothing, and are
asked ten times a second each.

Exit codes: 0 measured, 1 an idle process wakes over `WAKES_MOST` times a second, 2 bad input or a program
that can't be started.
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

from benchmarks.common import BAD_INPUT, DONE, NOT_MET, figure, options, table, write_json
from rig.balancers import config_for
from rig.callers import CallClass, Caller, Callers, Demand
from rig.cluster.nodes import PlatformNode, start_all
from rig.messages import KNOWN_TENANT
from rig.process import ProgramError
from rig.registry import Registry, entries, listed
from rig.servers import Fleet

PROCESSES, QUICK_PROCESSES = 20, 4
WINDOW_S, QUICK_S = 10.0, 3.0
PROCESSES_MOST = 200
WAKES_MOST = 2.0  # a second, with no connection from the application
SERVERS = 12
CALLS_A_S = 10.0  # at each process
LIMITS = {"cores": 1.0, "memory_mb": 96, "sockets": 256}
LOOK = CallClass("look", "safe", 1.0, 1.0, 0.0, 500.0, 2000.0, 1.0)


@dataclass(frozen=True, slots=True)
class Spent:
    """What a process has used so far."""

    cpu_s: float
    wakes: int  # times that it went to sleep by itself

    @classmethod
    def of(cls, node: PlatformNode) -> Spent:
        """Look at a node; `ProgramError` where it does not run."""
        if node.program is None:
            raise ProgramError(f"{node.name} does not run")
        rows = Path(f"/proc/{node.program.pid}/status").read_text().splitlines()
        wakes = next(int(row.split()[1]) for row in rows if row.startswith("voluntary_ctxt_switches"))
        return cls(node.program.usage().cpu_s, wakes)


async def window(nodes: Iterable[PlatformNode], length_s: float) -> tuple[float, float]:
    """The median CPU milliseconds and wake-ups a second of the nodes over that time."""
    nodes = list(nodes)
    before, began = [Spent.of(node) for node in nodes], time.monotonic()
    await asyncio.sleep(length_s)
    passed_s = time.monotonic() - began
    after = [Spent.of(node) for node in nodes]
    pairs = list(zip(before, after, strict=True))
    cpu_ms = median(1000.0 * (new.cpu_s - old.cpu_s) / passed_s for old, new in pairs)
    return cpu_ms, median((new.wakes - old.wakes) / passed_s for old, new in pairs)


class Stand:
    """Servers that answer at once, a registry, and the processes before them."""

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self.nodes: list[PlatformNode] = []

    async def start(self, count: int, tree: Path) -> None:
        """All of it; `ProgramError` if a process can't be started."""
        self._fleet = await Fleet.start(SERVERS, seed=self._seed, work_ms=(0.0, 0.0))
        rows = entries(self._fleet.addresses)
        self._registry = await Registry(rows).start()

        known = listed(41, rows)

        def config(number: int, life: int) -> dict[str, Any]:
            made = config_for(known, self._registry.address, 0, Me=number, Balancers=count)
            return {**made, "seed": f"{number:04x}{life:04x}", "limits": LIMITS}

        for number in range(count):
            self.nodes.append(PlatformNode(number, functools.partial(config, number), tree))
        await start_all(self.nodes)

    async def ask(self, length_s: float) -> int:
        """Ask each process `CALLS_A_S` times a second; how many calls were sent."""
        callers = {node.name: Caller(node.name, node.address) for node in self.nodes}
        demand = Demand(
            rate_per_s=CALLS_A_S * len(self.nodes),
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
        """End all."""
        await asyncio.gather(*(node.stop() for node in self.nodes))
        if hasattr(self, "_registry"):
            await self._registry.stop()
        if hasattr(self, "_fleet"):
            await self._fleet.stop()


async def measure(count: int, length_s: float, seed: int, tree: Path) -> dict[str, float]:
    """All figures; `ProgramError` if a process can't be started."""
    made = Stand(seed)
    held: list[asyncio.StreamWriter] = []
    try:
        await made.start(count, tree)
        nodes = made.nodes
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
        await made.ask(1.0)  # connections come up
        (busy_cpu_ms, busy_wakes), asked = await asyncio.gather(window(nodes, length_s), made.ask(length_s))
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
        for writer in held:
            writer.transport.abort()
        await made.stop()


def rows_of(figures: dict[str, float]) -> list[list[str]]:
    """The figures as the table shows them."""
    return [[name, figure(value, ".1f")] for name, value in figures.items()]


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
        figures = asyncio.run(measure(count, QUICK_S if given.quick else WINDOW_S, given.seed, given.tree))
    except ProgramError as error:
        print(error, file=sys.stderr)
        return BAD_INPUT
    print(table(("figure, median of the processes", "value"), rows_of(figures)))
    met = figures["idle_wakes_a_s"] <= WAKES_MOST
    whole: dict[str, Any] = {"seed": given.seed, "processes": count, "met": met, **figures}
    write_json(given.json, given.tree, whole)
    return DONE if met else NOT_MET


if __name__ == "__main__":
    sys.exit(main())

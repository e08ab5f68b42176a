"""Measures the CPU time of a sidecar per request.

`python -m benchmarks.cost [--tree DIR] [--rate N] [--vs DIR]`.

The CPU time of the whole process, including the kernel, is divided by the number of requests of an open-loop
load on persistent connections to servers that answer after 1 to 3 ms. With `--vs`, rounds alternate between
two checkouts, so that a drift in the speed of the machine affects both. Minimum, median and maximum are
printed in microseconds. Exit codes: 0 done, 1 a request was not served, 2 bad input or the program can't be
started.
"""

from __future__ import annotations

import asyncio
import statistics
import sys
from pathlib import Path

from benchmarks.common import (
    BAD_INPUT,
    DONE,
    NOT_MET,
    create_parser,
    format_figure,
    prepare_process,
    table,
    write_json,
)
from rig.balancers import revision, stage
from rig.clients import Clients, Plan, Result
from rig.process import ProgramError

ROUNDS = 5
WARM_S, COUNTED_S = 1.0, 5.0
CONNECTIONS = 32


async def measure_once(tree: Path, rate_per_s: float, seed: int) -> tuple[float, int]:
    """Return the CPU microseconds per request and the number of requests that were not served."""
    async with stage(tree, servers=4, seed=seed, work_ms=(1.0, 3.0)) as setup:
        plan = Plan(rate_per_s, WARM_S + COUNTED_S, seed, pools=4, connections=CONNECTIONS, skip_s=WARM_S)
        clients = Clients(setup.target.address, plan)
        asking = asyncio.create_task(clients.run())
        try:
            await asyncio.sleep(WARM_S)
            before = setup.target.program.usage().cpu_s
            await asyncio.sleep(COUNTED_S)
            used_s = setup.target.program.usage().cpu_s - before
            await asking  # ends with its plan
        finally:
            asking.cancel()
        asked = clients.tally.asked
        return used_s / max(1, asked) * 1e6, asked - clients.tally.count(Result.SERVED)


async def rounds(trees: list[Path], rate_per_s: float, seed: int) -> tuple[dict[str, list[float]], int]:
    """Alternate between checkouts.

    Returns:
        The CPU microseconds per request of each round by checkout, and the number of requests not served.
    """
    costs_of: dict[str, list[float]] = {str(tree): [] for tree in trees}
    all_lost = 0
    for turn in range(ROUNDS):
        for tree in trees:
            cost, lost = await measure_once(tree, rate_per_s, seed + turn)
            all_lost += lost
            costs_of[str(tree)].append(cost)
    return costs_of, all_lost


def main() -> int:
    """Measure and print.

    Returns:
        The exit code: `DONE`, `NOT_MET` or `BAD_INPUT`.
    """
    parser = create_parser("cost", __doc__)
    parser.add_argument("--rate", type=float, default=400.0, metavar="N", help="requests a second")
    parser.add_argument("--vs", type=Path, metavar="DIR", help="another checkout, measured alternately")
    options = parser.parse_args()
    trees = [options.tree, *([options.vs.resolve()] if options.vs else [])]
    prepare_process()
    try:
        costs_of, lost = asyncio.run(rounds(trees, options.rate, options.seed))
    except ProgramError as error:
        print(error, file=sys.stderr)
        return BAD_INPUT
    heads = ("checkout", "us a request, min", "median", "max")
    rows = []
    for tree, costs in zip(trees, costs_of.values(), strict=True):
        figures = (min(costs), statistics.median(costs), max(costs))
        rows.append((revision(tree), *(format_figure(value) for value in figures)))
    print(table(heads, rows))
    write_json(options.json, options.tree, costs_of)
    if lost:
        print(f"{lost} requests were not served", file=sys.stderr)
    return NOT_MET if lost else DONE


if __name__ == "__main__":
    sys.exit(main())

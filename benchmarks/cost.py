"""What a request costs the sidecar: `python -m benchmarks.cost [--tree DIR] [--rate N] [--vs DIR]`.

CPU time of the whole process, kernel included, over the requests of an open-loop load on kept-alive
connections to servers that answer after 1 to 3 ms. Several rounds, `--vs` another checkout in turn with the
first, so that a machine whose speed drifts is the same for both; minimum, median and maximum in
microseconds. Exit codes: 0 done, 1 a request was not served, 2 bad input or a program that can't be started.
"""

from __future__ import annotations

import asyncio
import statistics
import sys
from pathlib import Path

from benchmarks.common import BAD_INPUT, DONE, NOT_MET, figure, make_ready, options, table, write_json
from rig.balancers import revision, stage
from rig.clients import Clients, Plan, Result
from rig.process import ProgramError

ROUNDS = 5
WARM_S, COUNTED_S = 1.0, 5.0
CONNECTIONS = 32


async def one(tree: Path, rate_per_s: float, seed: int) -> tuple[float, int]:
    """CPU microseconds a request, and the requests that were not served."""
    async with stage(tree, servers=4, seed=seed, work_ms=(1.0, 3.0)) as made:
        plan = Plan(rate_per_s, WARM_S + COUNTED_S, seed, pools=4, connections=CONNECTIONS, skip_s=WARM_S)
        clients = Clients(made.target.address, plan)
        asking = asyncio.create_task(clients.run())
        try:
            await asyncio.sleep(WARM_S)
            before = made.target.program.usage().cpu_s
            await asyncio.sleep(COUNTED_S)
            spent = made.target.program.usage().cpu_s - before
            await asking  # its plan bounds it
        finally:
            asking.cancel()
        asked = clients.tally.asked
        return spent / max(1, asked) * 1e6, asked - clients.tally.count(Result.SERVED)


async def rounds(trees: list[Path], rate_per_s: float, seed: int) -> tuple[dict[str, list[float]], int]:
    """Microseconds a request by checkout, in turn, and the requests that were not served."""
    costs_of: dict[str, list[float]] = {str(tree): [] for tree in trees}
    all_lost = 0
    for turn in range(ROUNDS):
        for tree in trees:
            cost, lost = await one(tree, rate_per_s, seed + turn)
            all_lost += lost
            costs_of[str(tree)].append(cost)
    return costs_of, all_lost


def main() -> int:
    """Measure and print; the exit code."""
    parser = options("cost", __doc__)
    parser.add_argument("--rate", type=float, default=400.0, metavar="N", help="requests a second")
    parser.add_argument("--vs", type=Path, metavar="DIR", help="another checkout, in turn with the first")
    given = parser.parse_args()
    trees = [given.tree, *([given.vs.resolve()] if given.vs else [])]
    make_ready()
    try:
        costs_of, lost = asyncio.run(rounds(trees, given.rate, given.seed))
    except ProgramError as error:
        print(error, file=sys.stderr)
        return BAD_INPUT
    heads = ("checkout", "us a request, min", "median", "max")
    rows = []
    for tree, costs in zip(trees, costs_of.values(), strict=True):
        figures = (min(costs), statistics.median(costs), max(costs))
        rows.append((revision(tree), *(figure(value) for value in figures)))
    print(table(heads, rows))
    write_json(given.json, given.tree, costs_of)
    if lost:
        print(f"{lost} requests were not served", file=sys.stderr)
    return NOT_MET if lost else DONE


if __name__ == "__main__":
    sys.exit(main())

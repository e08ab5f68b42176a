"""How often a primary that is well loses its place: an hour of virtual time over links that jitter and lose
messages and disks that are slow, with a change each second.

`python -m benchmarks.control_false_failovers [--hours 1]`
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence

from benchmarks.control import SYNC_S, Deployment, Weather
from fordtrestle.replication.state import Evacuation

HOUR_S = 3600.0
SETTLED_S = 10.0
DELAY_S = 0.055
WEATHERS = {
    "calm": Weather(),
    "jitter of 150 ms": Weather(jitter_s=0.150),
    "5% of messages lost": Weather(lost=0.05),
    "disks of 30 times their time": Weather(sync_s=30 * SYNC_S),
    "all of these": Weather(jitter_s=0.150, lost=0.05, sync_s=30 * SYNC_S),
}


def failovers(weather: Weather, stores: int, hours: float, seed: int = 1) -> tuple[int, int]:
    """How many epochs were opened after the first seconds, and how many changes were acknowledged."""
    deployment = Deployment(DELAY_S, seed, stores, weather)
    deployment.run_until(SETTLED_S)
    first = _number(deployment)
    acknowledged, at = 0, SETTLED_S
    while at < hours * HOUR_S:
        primary = deployment.primary()
        ticket = None
        if primary and primary.node:
            ticket = primary.node.propose(Evacuation(f"z{acknowledged % 7}", True), deployment.now)
            deployment.pump(primary)
        at += 1.0
        deployment.run_until(at)
        if ticket and primary and primary.node:
            state = primary.node.committed_state
            acknowledged += bool(state and state.sequence >= ticket.sequence)
    return _number(deployment) - first, acknowledged


def _number(deployment: Deployment) -> int:
    return max(m.node.epoch.term.number for m in deployment.machines if m.node and m.node.epoch)


def main(words: Sequence[str] | None = None) -> int:
    """Print the table; the exit code."""
    parser = argparse.ArgumentParser(description="epochs that nothing was lost for")
    parser.add_argument("--hours", type=float, default=1.0)
    given = parser.parse_args(words)
    print(f"55 ms one way, {given.hours:g} h: epochs opened, changes acknowledged; 3 stores, 5 stores")
    for name, weather in WEATHERS.items():
        rows = [failovers(weather, stores, given.hours) for stores in (3, 5)]
        print(f"{name:32}" + "   ".join(f"{opened:3} {done:5}" for opened, done in rows), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())

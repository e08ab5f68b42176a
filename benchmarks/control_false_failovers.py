"""Counts failovers of a healthy primary in an hour of virtual time, with a change every second.

Links have jitter and lose messages, and disks are slow.

`python -m benchmarks.control_false_failovers [--hours 1]`
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence

from benchmarks.control import SYNC_S, Conditions, Deployment
from fordtrestle.replication.state import Evacuation

HOUR_S = 3600.0
SETTLE_S = 10.0
DELAY_S = 0.055
CONDITIONS = {
    "calm": Conditions(),
    "jitter of 150 ms": Conditions(jitter_s=0.150),
    "5% of messages lost": Conditions(lost=0.05),
    "disks of 30 times their time": Conditions(sync_s=30 * SYNC_S),
    "all of these": Conditions(jitter_s=0.150, lost=0.05, sync_s=30 * SYNC_S),
}


def failovers(conditions: Conditions, stores: int, hours: float, seed: int = 1) -> tuple[int, int]:
    """Return how many epochs were opened after `SETTLE_S` and how many changes were acknowledged."""
    deployment = Deployment(DELAY_S, seed, stores, conditions)
    deployment.run_until(SETTLE_S)
    first_term = _term_number(deployment)
    acknowledged, at = 0, SETTLE_S
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
    return _term_number(deployment) - first_term, acknowledged


def _term_number(deployment: Deployment) -> int:
    return max(m.node.epoch.term.number for m in deployment.machines if m.node and m.node.epoch)


def main(arguments: Sequence[str] | None = None) -> int:
    """Print the table.

    Returns:
        The exit code 0.
    """
    parser = argparse.ArgumentParser(description="Count epochs that were opened without a loss.")
    parser.add_argument("--hours", type=float, default=1.0)
    options = parser.parse_args(arguments)
    print(f"55 ms one way, {options.hours:g} h: epochs opened, changes acknowledged; 3 stores, 5 stores")
    for name, conditions in CONDITIONS.items():
        rows = [failovers(conditions, stores, options.hours) for stores in (3, 5)]
        print(f"{name:32}" + "   ".join(f"{opened:3} {done:5}" for opened, done in rows), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())

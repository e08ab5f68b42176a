"""Plants faults into the processes of the system, each of which the soak test must find.

    python -m tests.rig.system.planted [NAME ...] [--seeds 6] [--seconds 20]

Each fault removes one guard of `tests/guards.py` from all processes of a play. Seeds are played until a rule
is broken. One line is printed for each fault. The exit code is 1 if a fault was not found.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import sys
import tempfile
from pathlib import Path

from rig.system.deployment import Program
from rig.system.soak.checks import check
from rig.system.soak.modes import Mode, draw_schedule
from rig.system.soak.play import Play, PlayOptions
from tests.guards import GUARDS, VARIABLE

ARGUMENTS = (
    "-c",
    "from tests.guards import take_out; take_out(); import sys; from fordtrestle.__main__ import main; "
    "sys.exit(main(sys.argv[1:]))",
)
OPTIONS = PlayOptions(sidecars=2, clients=8, program=Program(ARGUMENTS))
PLANTED = (
    "a draining server closes idle connections",
    "a leaving sidecar is selected if its region has no other",
    "clients of a host with home regions are not directed elsewhere",
    "a draining server stops listening",
    "a draining sidecar waits for clients to move",
    "a sidecar that closes announces that",
    "a leaving control process waits until it is not needed",
    "tombstones stay as long as an old message may be in flight",
)


def play(name: str, seed: int, seconds: float) -> set[str]:
    """Play a seed with a fault and return the rules that are broken."""
    os.environ[VARIABLE] = name
    try:
        with tempfile.TemporaryDirectory() as folder:
            schedule = draw_schedule(Mode.PLAIN, seed, seconds, OPTIONS.sidecars)
            record = asyncio.run(Play(schedule, Path(folder), OPTIONS).run())
    finally:
        del os.environ[VARIABLE]
    return {finding.rule for finding in check(record)}


def main() -> int:
    """Play each fault.

    Returns:
        The exit code: 1 if a fault was not found, otherwise 0.
    """
    parser = argparse.ArgumentParser(description="Plant faults that the soak has to find.")
    parser.add_argument("names", nargs="*", default=PLANTED, metavar="NAME")
    parser.add_argument("--seeds", type=int, default=6)
    parser.add_argument("--seconds", type=float, default=20.0)
    options = parser.parse_args()
    missed = 0
    for name in options.names:
        assert name in GUARDS, name
        found: set[str] = set()
        for seed in range(1, 2 * options.seeds, 2):
            found = play(name, seed, options.seconds)
            if found:
                break
        missed += not found
        result = f"found on seed {seed} by {', '.join(sorted(found))}" if found else "NOT found"
        print(f"{name}: {result}", flush=True)
    return int(missed > 0)


if __name__ == "__main__":
    sys.exit(main())

"""Faults that are planted into the system's processes, each of which the soak has to find.

    python -m tests.rig.system.planted [NAME ...] [--seeds 6] [--seconds 20]

Each is a guard of `tests/guards.py` that is taken out of every process of a play; seeds are played until a
rule is broken. One line a fault; the exit code is 1 where one was not found.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import sys
import tempfile
from pathlib import Path

from benchmarks.system_soak import drawn
from rig.system.soak.checks import check
from rig.system.soak.play import Play
from tests.guards import GUARDS, VARIABLE

PROGRAM = (
    "-c",
    "from tests.guards import take_out; take_out(); import sys; from fordtrestle.__main__ import main; "
    "sys.exit(main(sys.argv[1:]))",
)
SIDECARS, CLIENTS = 2, 8
PLANTED = (
    "a front that has left ends the connections that rest",
    "who leaves is named while its region has nobody else",
    "a host with homes is not led elsewhere",
    "a front that has left stops listening",
    "a sidecar that leaves waits for clients to go",
    "a sidecar that closes says so",
    "a leaving control process waits until it is not needed",
    "tombstones stay as long as an old message may be in flight",
)


def play(name: str, seed: int, seconds: float) -> set[str]:
    """The rules that a play with that fault breaks."""
    os.environ[VARIABLE] = name
    try:
        with tempfile.TemporaryDirectory() as folder:
            schedule = drawn(seed, seconds, SIDECARS)
            record = asyncio.run(Play(schedule, Path(folder), SIDECARS, CLIENTS, PROGRAM).run())
    finally:
        del os.environ[VARIABLE]
    return {finding.rule for finding in check(record)}


def main() -> int:
    """Play each fault; the exit code."""
    parser = argparse.ArgumentParser(description="Plant faults that the soak has to find.")
    parser.add_argument("names", nargs="*", default=PLANTED, metavar="NAME")
    parser.add_argument("--seeds", type=int, default=6)
    parser.add_argument("--seconds", type=float, default=20.0)
    given = parser.parse_args()
    missed = 0
    for name in given.names:
        assert name in GUARDS, name
        found: set[str] = set()
        for seed in range(1, 2 * given.seeds, 2):
            found = play(name, seed, given.seconds)
            if found:
                break
        missed += not found
        told = f"found on seed {seed} by {', '.join(sorted(found))}" if found else "NOT found"
        print(f"{name}: {told}", flush=True)
    return int(missed > 0)


if __name__ == "__main__":
    sys.exit(main())

"""A soak of the whole system: rolls, kills, freezes, changes, evacuations beside traffic, judged by rules.

    python -m benchmarks.system_soak --seeds 1-20 [--seconds 30] [--sidecars 2] [--clients 6] [--logs DIR]

Odd seeds hold planned work only. One line a seed; the exit code is 1 where any rule is broken. `--logs` keeps
the processes' logs and the schedule of what has failed.
"""

from __future__ import annotations

import argparse
import asyncio
import shutil
import sys
import tempfile
from pathlib import Path

from rig.coordination.history import Outcome
from rig.system.deployment import REGIONS
from rig.system.soak.checks import Finding, check
from rig.system.soak.play import Play
from rig.system.soak.record import Record
from rig.system.soak.schedule import Schedule, draw

TOLD_MOST = 5  # findings of a seed that are printed


def sidecar_names(sidecars: int) -> list[str]:
    """The names of all sidecars, so many of each region."""
    return [
        f"sidecar-{region}" + (f"-{number}" if number > 1 else "")
        for region in REGIONS
        for number in range(1, sidecars + 1)
    ]


def drawn(seed: int, seconds: float, sidecars: int) -> Schedule:
    """The schedule of a seed for a deployment with so many sidecars a region."""
    names = sidecar_names(sidecars)
    return draw(seed, seconds, names, [f"control-{region}" for region in REGIONS], list(REGIONS))


def told(schedule: Schedule, record: Record, findings: list[Finding]) -> str:
    """One line on a play, and its first findings."""
    served = sum(asked.whole and asked.status == 200 for asked in record.asked)
    ended = sum(life.ended is not None for life in record.lives)
    decided = sum(call.outcome in (Outcome.DONE, Outcome.REFUSED) for call in record.calls)
    line = (
        f"seed {schedule.seed:>4}: {len(schedule.steps)} steps, {ended} processes ended, "
        f"{record.changes} changes, {served} of {len(record.asked)} requests served, "
        f"{decided} of {len(record.calls)} coordination calls decided, {len(findings)} broken"
    )
    return "\n".join([line, *(f"  {one.rule}: {one.text}" for one in findings[:TOLD_MOST])])


def seeds(text: str) -> list[int]:
    """The seeds that FIRST or FIRST-LAST names."""
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


def _keep(where: Path, folder: Path, schedule: Schedule, findings: list[Finding]) -> None:
    target = where / f"seed-{schedule.seed}"
    shutil.copytree(folder, target, dirs_exist_ok=True)
    lines = [*map(str, schedule.steps), *map(str, findings)]
    (target / "schedule.txt").write_text("\n".join(lines) + "\n")


def main() -> int:
    """Play the seeds; the exit code."""
    parser = argparse.ArgumentParser(description="Soak the whole system on loopback.")
    parser.add_argument("--seeds", type=seeds, default=[1], help="one, or FIRST-LAST")
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--sidecars", type=int, default=2, help="of each region")
    parser.add_argument("--clients", type=int, default=6, help="of each region")
    parser.add_argument("--logs", type=Path, help="a folder for what has failed")
    given = parser.parse_args()
    broken = 0
    for seed in given.seeds:
        schedule = drawn(seed, given.seconds, given.sidecars)
        with tempfile.TemporaryDirectory() as folder:
            record = asyncio.run(Play(schedule, Path(folder), given.sidecars, given.clients).run())
            findings = check(record)
            if findings and given.logs:
                _keep(given.logs, Path(folder), schedule, findings)
        print(told(schedule, record, findings), flush=True)
        broken += bool(findings)
    print(f"{len(given.seeds)} seeds, {broken} with a rule broken")
    return int(broken > 0)


if __name__ == "__main__":
    sys.exit(main())

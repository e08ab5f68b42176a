"""An update of the whole system and the way back, beside traffic and changes of the configuration.

    python -m benchmarks.update_drill [--seeds 1-3] [--sidecars 2] [--clients 6] [--older CHECKOUT]

All processes are replaced one by one by a later version of the program, then by this one again, with a
control process killed on each way. With `--older` they start as the program of another checkout of this
repository, are updated to this one and go back, so that each reads the data directories that the other wrote.
Each seed is played twice, with the versions and with rolls at the same times, and judged by the users' rules.
The exit code is 1 where a rule is broken.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
from collections import Counter
from pathlib import Path

from benchmarks.system_soak import seeds, sidecar_names
from rig.system.deployment import NEXT_PROGRAM, PROGRAM, REGIONS, Program
from rig.system.soak.checks import check
from rig.system.soak.play import Play
from rig.system.soak.record import Record
from rig.system.soak.schedule import draw_update

SKIPPED = "peer:message-skipped"
REFUSED = "peer:no-common-version"
TOLD_MOST = 5


def checkout(text: str) -> Program:
    """The program of a checkout, as an option of the command line names it."""
    path = Path(text).resolve()
    if not (path / "fordtrestle" / "__main__.py").is_file():
        raise argparse.ArgumentTypeError(f"{text} is no checkout of this repository")
    return Program(checkout=path)


def row(name: str, record: Record, broken: int) -> str:
    """What came of one play."""
    total, served = len(record.asked), sum(asked.whole and asked.status == 200 for asked in record.asked)
    answers = Counter(asked.status for asked in record.asked if asked.status and asked.status >= 500)
    failed = ", ".join(f"{count} of {status}" for status, count in sorted(answers.items())) or "none"
    skipping = sum(SKIPPED in line for _, line in record.log_lines)
    refused = sum(REFUSED in line for _, line in record.log_lines)
    return (
        f"{name}: {served} of {total} served, 5xx: {failed}; {record.changes} changes, "
        f"{broken} rules broken; {skipping} links skipped unknown messages, {refused} were refused"
    )


def main() -> int:
    """Play the seeds; the exit code."""
    parser = argparse.ArgumentParser(description="Drill an update of the whole system on loopback.")
    parser.add_argument("--seeds", type=seeds, default=[1], help="one, or FIRST-LAST")
    parser.add_argument("--sidecars", type=int, default=2, help="of each region")
    parser.add_argument("--clients", type=int, default=6, help="of each region")
    parser.add_argument("--older", type=checkout, metavar="CHECKOUT", help="of the version to update from")
    given = parser.parse_args()
    program, updated = (given.older, PROGRAM) if given.older else (PROGRAM, NEXT_PROGRAM)
    sidecars = sidecar_names(given.sidecars)
    controls = [f"control-{region}" for region in REGIONS]
    broken = 0
    for seed in given.seeds:
        for versions in (True, False):
            schedule = draw_update(seed, sidecars, controls, versions)
            with tempfile.TemporaryDirectory() as folder:
                play = Play(schedule, Path(folder), given.sidecars, given.clients, program, updated)
                record = asyncio.run(play.run())
                findings = check(record)
            broken += len(findings)
            print(
                row(f"seed {seed}, {'versions' if versions else 'rolls'}", record, len(findings)), flush=True
            )
            for finding in findings[:TOLD_MOST]:
                print(f"  {finding.rule}: {finding.text}")
    return int(broken > 0)


if __name__ == "__main__":
    sys.exit(main())

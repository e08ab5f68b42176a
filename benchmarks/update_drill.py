"""Updates the whole system and reverts it, under traffic and configuration changes.

    python -m benchmarks.update_drill [--seeds 1-3] [--sidecars 2] [--clients 6] [--older CHECKOUT]

All processes are replaced one by one by a later version of the program and then by this version again. One
control process is killed during the update and one during the reversion. With `--older` the processes start
as the program of another checkout of this repository, are updated to this one and reverted, so that each
version reads the data directories that the other wrote. Each seed is played twice, with the versions and with
rolls at the same times, and checked against the users' rules. The exit code is 1 if a rule is broken.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
from collections import Counter
from pathlib import Path

from benchmarks.system_soak import parse_seeds
from rig.system.deployment import NEXT_PROGRAM, PROGRAM, Program
from rig.system.soak.checks import check
from rig.system.soak.modes import control_names, sidecar_names
from rig.system.soak.play import Play, PlayOptions
from rig.system.soak.record import Record
from rig.system.soak.schedule import draw_update

SKIPPED_EVENT = "peer:message-skipped"
REFUSED_EVENT = "peer:no-common-version"
MAX_PRINTED_FINDINGS = 5


def checkout(text: str) -> Program:
    """Parse the path of a checkout into its program."""
    path = Path(text).resolve()
    if not (path / "fordtrestle" / "__main__.py").is_file():
        raise argparse.ArgumentTypeError(
            f"expected a checkout of this repository, with fordtrestle/__main__.py; got {text}"
        )
    return Program(checkout=path)


def format_row(name: str, record: Record, broken: int) -> str:
    """Return one line on the results of a play."""
    total, served = (
        len(record.requests),
        sum(request.is_complete and request.status == 200 for request in record.requests),
    )
    error_counts = Counter(
        request.status for request in record.requests if request.status and request.status >= 500
    )
    failed = ", ".join(f"{count} of {status}" for status, count in sorted(error_counts.items())) or "none"
    skipping = sum(SKIPPED_EVENT in line for _, line in record.log_lines)
    refused = sum(REFUSED_EVENT in line for _, line in record.log_lines)
    return (
        f"{name}: {served} of {total} served, 5xx: {failed}; {record.changes} changes, "
        f"{broken} rules broken; {skipping} links skipped unknown messages, {refused} were refused"
    )


def main() -> int:
    """Play the seeds.

    Returns:
        The exit code: 1 if a rule was broken, otherwise 0.
    """
    parser = argparse.ArgumentParser(description="Drill an update of the whole system on loopback.")
    parser.add_argument("--seeds", type=parse_seeds, default=[1], help="one, or FIRST-LAST")
    parser.add_argument("--sidecars", type=int, default=2, help="of each region")
    parser.add_argument("--clients", type=int, default=6, help="of each region")
    parser.add_argument("--older", type=checkout, metavar="CHECKOUT", help="of the version to update from")
    options = parser.parse_args()
    program, updated = (options.older, PROGRAM) if options.older else (PROGRAM, NEXT_PROGRAM)
    sidecars = sidecar_names(options.sidecars)
    play_options = PlayOptions(options.sidecars, options.clients, program, updated)
    broken = 0
    for seed in options.seeds:
        for versions in (True, False):
            schedule = draw_update(seed, sidecars, control_names(), versions)
            with tempfile.TemporaryDirectory() as folder:
                play = Play(schedule, Path(folder), play_options)
                record = asyncio.run(play.run())
                findings = check(record)
            broken += len(findings)
            print(
                format_row(f"seed {seed}, {'versions' if versions else 'rolls'}", record, len(findings)),
                flush=True,
            )
            for finding in findings[:MAX_PRINTED_FINDINGS]:
                print(f"  {finding.rule}: {finding.text}")
    return int(broken > 0)


if __name__ == "__main__":
    sys.exit(main())

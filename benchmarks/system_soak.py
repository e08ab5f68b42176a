"""Soak test of the system: rolls, kills, freezes, changes and evacuations under traffic, checked by rules.

    python -m benchmarks.system_soak --seeds 1-20 [--seconds 30] [--sidecars 2] [--clients 6] [--logs DIR]
        [--faults | --overlaps | --core-freezes | --crowds] [--standing-rules] [--checkout DIR]

With `--faults` servers fail, freeze, end and are replaced, and changes touch the routes' rules, unless
`--standing-rules` is given. With `--overlaps` there are also series of signals and changes that overlap. With
`--core-freezes` control processes freeze for 0.3 to 4 s while locks are held for up to 6 s. With `--crowds`
clients that do not keep to the protocol come to processes with low limits. Without a mode, and with
`--crowds`, odd seeds have planned work only. One line is printed for each seed. The exit code is 1 if a rule
is broken. `--logs` keeps the logs of the processes, the schedule and the applications' calls of failed plays.
`--checkout` plays the program of another checkout.
"""

from __future__ import annotations

import argparse
import asyncio
import shutil
import sys
import tempfile
from collections import Counter
from pathlib import Path

from rig.coordination.history import Outcome
from rig.system.deployment import REGIONS, Program
from rig.system.soak.applications import LONG_HOLDS, SHORT_HOLDS
from rig.system.soak.checks import Finding, check
from rig.system.soak.play import Play
from rig.system.soak.record import Record
from rig.system.soak.schedule import (
    Schedule,
    draw,
    draw_with_core_freezes,
    draw_with_crowds,
    draw_with_overlaps,
    draw_with_server_faults,
)
from rig.system.soak.servers import SERVER_FAULTS, faulty_runs, server_names

MAX_PRINTED_FINDINGS = 5  # of a seed


def sidecar_names(sidecars: int) -> list[str]:
    """Return the names of all sidecars, of which each region has `sidecars`."""
    return [
        f"sidecar-{region}" + (f"-{number}" if number > 1 else "")
        for region in REGIONS
        for number in range(1, sidecars + 1)
    ]


def draw_schedule(seed: int, seconds: float, sidecars: int) -> Schedule:
    """Draw the schedule of a seed for a deployment with `sidecars` in each region."""
    names = sidecar_names(sidecars)
    return draw(seed, seconds, names, [f"control-{region}" for region in REGIONS], list(REGIONS))


def draw_faults_schedule(seed: int, seconds: float, sidecars: int) -> Schedule:
    """Draw the schedule of a seed with failures of servers."""
    names = sidecar_names(sidecars)
    controls = [f"control-{region}" for region in REGIONS]
    return draw_with_server_faults(seed, seconds, names, controls, list(REGIONS), server_names())


def draw_overlaps_schedule(seed: int, seconds: float, sidecars: int) -> Schedule:
    """Draw the schedule of a seed with series of signals and changes that overlap."""
    names = sidecar_names(sidecars)
    controls = [f"control-{region}" for region in REGIONS]
    return draw_with_overlaps(seed, seconds, names, controls, list(REGIONS), server_names())


def draw_core_freezes_schedule(seed: int, seconds: float, sidecars: int) -> Schedule:
    """Draw the schedule of a seed with freezes of control processes."""
    controls = [f"control-{region}" for region in REGIONS]
    return draw_with_core_freezes(seed, seconds, sidecar_names(sidecars), controls, list(REGIONS))


def draw_crowds_schedule(seed: int, seconds: float, sidecars: int) -> Schedule:
    """Draw the schedule of a seed with crowds of misbehaving clients."""
    controls = [f"control-{region}" for region in REGIONS]
    return draw_with_crowds(seed, seconds, sidecar_names(sidecars), controls, list(REGIONS))


def summarize(schedule: Schedule, record: Record, findings: list[Finding]) -> str:
    """Return one line on a play and lines on its first findings."""
    served = sum(request.is_complete and request.status == 200 for request in record.requests)
    ended = sum(lifetime.ended is not None for lifetime in record.lifetimes)
    decided = sum(call.outcome in (Outcome.DONE, Outcome.REFUSED) for call in record.calls)
    line = (
        f"seed {schedule.seed:>4}: {len(schedule.steps)} steps, {ended} processes ended, "
        f"{record.changes} changes, {served} of {len(record.requests)} requests served, "
        f"{repeated_requests(record)} run again, {faulty_runs(record.runs)} runs failed by servers, "
        f"{decided} of {len(record.calls)} coordination calls decided, {len(findings)} broken"
    )
    return "\n".join(
        [line, *(f"  {finding.rule}: {finding.text}" for finding in findings[:MAX_PRINTED_FINDINGS])]
    )


def repeated_requests(record: Record) -> int:
    """Return the number of requests that ran more than once."""
    counts = Counter(run.request_id for run in record.runs)
    return sum(count > 1 for count in counts.values())


def parse_seeds(text: str) -> list[int]:
    """Parse FIRST or FIRST-LAST into a list of seeds."""
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


def _save_failure(
    logs_folder: Path, play_folder: Path, schedule: Schedule, record: Record, findings: list[Finding]
) -> None:
    target = logs_folder / f"seed-{schedule.seed}"
    shutil.copytree(play_folder, target, dirs_exist_ok=True)
    lines = [*map(str, schedule.steps), *map(str, findings)]
    (target / "schedule.txt").write_text("\n".join(lines) + "\n")
    calls = sorted(record.calls, key=lambda call: call.sent)
    (target / "calls.txt").write_text("\n".join(map(str, calls)) + "\n")


def _draw(seed: int, options: argparse.Namespace) -> Schedule:
    if options.faults:
        return draw_faults_schedule(seed, options.seconds, options.sidecars)
    if options.overlaps:
        return draw_overlaps_schedule(seed, options.seconds, options.sidecars)
    if options.core_freezes:
        return draw_core_freezes_schedule(seed, options.seconds, options.sidecars)
    if options.crowds:
        return draw_crowds_schedule(seed, options.seconds, options.sidecars)
    return draw_schedule(seed, options.seconds, options.sidecars)


def main() -> int:
    """Play the seeds.

    Returns:
        The exit code: 1 if a rule was broken, otherwise 0.
    """
    parser = argparse.ArgumentParser(description="Soak the whole system on loopback.")
    parser.add_argument("--seeds", type=parse_seeds, default=[1], help="one, or FIRST-LAST")
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--sidecars", type=int, default=2, help="of each region")
    parser.add_argument("--clients", type=int, default=6, help="of each region")
    modes = parser.add_mutually_exclusive_group()
    modes.add_argument("--faults", action="store_true", help="servers fail and routes' rules change")
    modes.add_argument("--overlaps", action="store_true", help="faults, and series of signals and changes")
    modes.add_argument("--core-freezes", action="store_true", help="control processes freeze beside locks")
    modes.add_argument("--crowds", action="store_true", help="clients that do not keep to the protocol")
    parser.add_argument("--standing-rules", action="store_true", help="changes leave the routes' rules")
    parser.add_argument("--checkout", type=Path, help="folder of the program that is played")
    parser.add_argument("--logs", type=Path, help="folder for the logs of failed plays")
    options = parser.parse_args()
    broken = 0
    for seed in options.seeds:
        schedule = _draw(seed, options)
        with tempfile.TemporaryDirectory() as play_folder:
            play = Play(
                schedule,
                Path(play_folder),
                options.sidecars,
                options.clients,
                program=Program(checkout=options.checkout),
                server_faults=SERVER_FAULTS if options.faults or options.overlaps else None,
                lock_use=LONG_HOLDS if options.core_freezes else SHORT_HOLDS,
                keeps_connections=options.core_freezes or options.crowds,
                has_crowds=options.crowds,
                changes_rules=not options.standing_rules,
            )
            record = asyncio.run(play.run())
            findings = check(record)
            if findings and options.logs:
                _save_failure(options.logs, Path(play_folder), schedule, record, findings)
        print(summarize(schedule, record, findings), flush=True)
        broken += bool(findings)
    print(f"{len(options.seeds)} seeds, {broken} with a rule broken")
    return int(broken > 0)


if __name__ == "__main__":
    sys.exit(main())

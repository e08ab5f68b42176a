"""Measures the worth served within the aim while a fleet has faults, one at a time and together.

`python -m benchmarks.fleet_faults [--quick] [--seed N] [--json FILE] [--tree DIR] [--only NAME[,NAME]]
[--peers NAME[,NAME]] [--faults FILE] [--timeline]`. 33 simulated servers in three data centres, 6 programs
under test, and 300 to 440 calls per second. With the same servers, calls and faults, the sidecar is compared
with `random` and `robin`, which choose from the registry's list and retry once if a call never ran.

Exit codes: 0 the sidecar kept all rules in sound runs, 1 a rule was broken or a run was unsound, 2 bad input
or a program can't be started. Peers do not affect the exit code.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import sys
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from benchmarks.common import (
    BAD_INPUT,
    DONE,
    NOT_MET,
    create_parser,
    format_figure,
    select_names,
    table,
    write_json,
)
from rig.callers import Demand, Outcome
from rig.faults import Bounds, Fault, Schedule, ScheduleError, load
from rig.fleet import CLASSES, PEERS, TENANTS, WEIGHTS, Peer, Run, Site, standing
from rig.ledger import RULES
from rig.process import ProgramError, raise_descriptors

LONG_S, QUICK_S = 40.0, 15.0
RATE_PER_S, SWING = 370.0, 0.18  # from 303 to 437 per second
SERVERS, SIDECARS = 33, 6
FAULT_START_SHARE = 0.15  # share of the run after which faults begin
MAX_PLAYS = 3  # plays of a run at most, which is repeated while it is unsound
MAX_STORIES = 5  # kept for each broken rule
CALM, TOGETHER, FILE_ROW = "calm", "together", "file"


def _scaled(low: float, high: float, scale: float) -> Bounds:
    return low * scale, high * scale


def faults(name: str, duration_s: float) -> tuple[Fault, ...]:
    """Return the faults of a row.

    Times are the recorded ones in a run of `LONG_S`, and are scaled down in a shorter run.
    """
    scale, at_s = duration_s / LONG_S, FAULT_START_SHARE * duration_s
    full_range = (0.7 * duration_s, 0.7 * duration_s)
    drain = Fault("drain", at_s, lasts_s=_scaled(5.0, 10.0, scale), share=0.15, away_s=8.0 * scale)
    faults_by_name = {
        CALM: (),
        "die": (Fault("die", at_s, lasts_s=_scaled(7.7, 21.0, scale), share=0.23),),
        "vanish": (Fault("vanish", at_s, lasts_s=_scaled(15.0, 25.0, scale), share=0.12),),
        "fail": (Fault("fail", at_s, lasts_s=_scaled(6.0, 28.0, scale), share=0.2, degree=(0.41, 0.98)),),
        "stall": (Fault("stall", at_s, lasts_s=full_range, share=0.5, pause_ms=(150.0, 500.0)),),
        "drain": (drain,),
        "lose": (Fault("lose", at_s, lasts_s=full_range, share=0.15, degree=(0.1, 0.4)),),
        "spoil": (Fault("spoil", at_s, lasts_s=full_range, share=0.15, degree=(0.1, 0.4)),),
        "half_open": (Fault("half_open", at_s, lasts_s=full_range, share=0.3, degree=(0.05, 0.2)),),
        "slow_accept": (Fault("slow_accept", at_s, lasts_s=full_range, share=0.3, delay_ms=(100.0, 400.0)),),
        "registry_delay": (
            Fault("registry_delay", 0.0, lasts_s=full_range, delay_ms=(3000.0, 5000.0)),
            drain,
        ),
        "registry_silence": (
            Fault("registry_silence", at_s - 0.5, lasts_s=(5.0, 5.0)),
            drain,
        ),
        "sidecar_crash": (Fault("sidecar_crash", at_s, lasts_s=(1.1, 7.0), share=0.5),),
    }
    if name != TOGETHER:
        return faults_by_name[name]
    parts = ("die", "fail", "stall", "drain", "sidecar_crash")
    return tuple(fault for part in parts for fault in faults_by_name[part])


NAMES = (
    *(CALM, "die", "vanish", "fail", "stall", "drain", "lose", "spoil", "half_open", "slow_accept"),
    *("registry_delay", "registry_silence", "sidecar_crash", TOGETHER),
)


@dataclass(frozen=True, slots=True)
class Setting:
    """Settings of a run."""

    duration_s: float
    seed: int
    servers: int = SERVERS
    sidecars: int = SIDECARS
    rate_per_s: float = RATE_PER_S

    @property
    def site(self) -> Site:
        """Site with the fleet."""
        return Site(self.servers, self.sidecars, self.seed)

    @property
    def demand(self) -> Demand:
        """Calls that are made."""
        return Demand(
            self.rate_per_s, self.duration_s, CLASSES, TENANTS, WEIGHTS, seed=self.seed, swing=SWING
        )


@dataclass(slots=True)
class Row:
    """Results of one schedule with one program."""

    name: str
    peer: Peer
    run: Run
    turns: int  # plays until it was sound or given up

    @property
    def not_met(self) -> list[str]:
        """All broken rules, and the reasons why the run is unsound."""
        broken = [f"{rule}: {len(breaches)}" for rule, breaches in self.run.breaches.items() if breaches]
        return [*broken, *(f"unsound: {why}" for why in self.run.unsound)]

    def shares(self) -> dict[str, float]:
        """Return the worth within the aim, the service, and that of the worst 10 s, class and tenant."""
        score = self.run.score

        def worst(filters: Sequence[Any]) -> float:
            return min(score.service(keep) for keep in filters)

        return {
            "in_aim": score.in_aim(),
            "service": score.service(),
            "worst_window": score.worst_window(),
            "worst_class": worst([_of_class(traffic_class.name) for traffic_class in CLASSES]),
            "worst_tenant": worst([_of_tenant(name) for name in TENANTS]),
        }

    def summary(self) -> dict[str, Any]:
        """Return all figures as JSON values."""
        run, score = self.run, self.run.score
        return {
            "name": self.name,
            "peer": self.peer,
            "asked": len(score.outcomes),
            **self.shares(),
            "ends": dict(Counter(outcome.last for outcome in score.outcomes)),
            "tries": sum(outcome.tries for outcome in score.outcomes),
            "sends": len(run.call_ledger.executions),
            "server_ends": dict(Counter(row.fate or row.end for row in run.call_ledger.executions)),
            "latency_ms": {
                traffic_class.name: {
                    f"p{round(share * 100)}": _finite(score.latency_ms(traffic_class.name, share))
                    for share in (0.5, 0.9, 0.99)
                }
                for traffic_class in CLASSES
            },
            "broken": {rule: len(breaches) for rule, breaches in run.breaches.items()},
            "stories": [
                breach.as_json() for breaches in run.breaches.values() for breach in breaches[:MAX_STORIES]
            ],
            "falls": run.falls,
            "crashes": len(run.call_ledger.crashes),
            "lag_p99_ms": run.lag_p99_ms,
            "strike_late_ms": run.strike_late_ms,
            "cpu_s": run.cpu_s,
            "rig_cpu_s": run.rig_cpu_s,
            "wall_s": run.wall_s,
            "turns": self.turns,
            "unsound": run.unsound,
        }


def _of_class(name: str) -> Any:
    def keep(outcome: Outcome) -> bool:
        return outcome.want.kind.name == name

    return keep


def _of_tenant(name: str) -> Any:
    def keep(outcome: Outcome) -> bool:
        return outcome.want.tenant == name

    return keep


def _finite(value: float) -> float | None:
    return value if value == value and abs(value) != float("inf") else None


HEADS = (
    *("fault", "by", "asked", "in aim %", "service %", "worst 10 s", "worst class", "worst tenant"),
    *("check p50", "check p99", "not served", "tries", "sends", "rules broken", "fell", "lag p99 ms"),
)


def cells(row: Row) -> list[str]:
    """Return the table row of a schedule."""
    run, score, shares = row.run, row.run.score, row.shares()
    asked = len(score.outcomes)
    check = CLASSES[0].name
    rules = ", ".join(f"{rule} {len(run.breaches[rule])}" for rule in RULES if run.breaches[rule])
    lag = format_figure(max(run.lag_p99_ms.values()), ".1f")
    return [
        row.name,
        row.peer,
        str(asked),
        *(format_figure(100.0 * shares[name], ".2f") for name in ("in_aim", "service")),
        *(
            format_figure(100.0 * shares[name], ".1f")
            for name in ("worst_window", "worst_class", "worst_tenant")
        ),
        format_figure(score.latency_ms(check, 0.5)),
        format_figure(score.latency_ms(check, 0.99)),
        str(sum(not outcome.served for outcome in score.outcomes)),
        format_figure(sum(outcome.tries for outcome in score.outcomes) / max(1, asked), ".3f"),
        format_figure(len(run.call_ledger.executions) / max(1, asked), ".3f"),
        rules or "-",
        str(len(run.falls)),
        lag + (" unsound" if run.unsound else ""),
    ]


async def measure(name: str, peer: Peer, setting: Setting, schedule: Schedule, tree: Path) -> Row:
    """Play one row, and repeat it while it is unsound.

    Raises:
        ProgramError: A program cannot be started.
    """
    for turn in range(1, MAX_PLAYS + 1):
        async with standing(tree, peer, setting.site, setting.rate_per_s) as yard:
            row = Row(name, peer, await yard.play(setting.demand, schedule), turn)
        if not row.run.unsound:
            break
    return row


async def run(
    names: Sequence[str],
    setting: Setting,
    tree: Path,
    peers: Sequence[Peer],
    file_schedule: Schedule | None = None,
) -> list[Row]:
    """Measure all rows and print each to standard error, with the details of broken rules."""
    rows: list[Row] = []
    for name in names:
        schedule = file_schedule or Schedule(
            setting.duration_s, faults(name, setting.duration_s), setting.seed
        )
        for peer in peers:
            row = await measure(name, peer, setting, schedule, tree)
            rows.append(row)
            verdict = "; ".join(row.not_met) or "rules kept"
            in_aim = format_figure(100.0 * row.shares()["in_aim"], ".2f")
            print(f"{name} ({peer}): {in_aim}% in aim; {verdict}", file=sys.stderr, flush=True)
            for breaches in row.run.breaches.values() if peer == "sidecar" else ():
                for breach in breaches[:MAX_STORIES]:
                    print(breach.text(), file=sys.stderr, flush=True)
    return rows


def build_parser() -> argparse.ArgumentParser:
    """Create the command line parser."""
    parser = create_parser("fleet_faults", __doc__)
    parser.add_argument("--quick", action="store_true", help=f"{QUICK_S:g} s a row, not {LONG_S:g}")
    parser.add_argument("--only", metavar="NAME[,NAME]", help=f"of {', '.join(NAMES)}")
    parser.add_argument("--peers", metavar="NAME[,NAME]", help=f"of {', '.join(PEERS)}; all by default")
    parser.add_argument("--faults", type=Path, metavar="FILE", help="file with a schedule, played as one row")
    parser.add_argument("--timeline", action="store_true", help="print the schedules without playing them")
    return parser


def _timelines(names: Sequence[str], setting: Setting, file_schedule: Schedule | None) -> None:
    site = setting.site
    for name in names:
        schedule = file_schedule or Schedule(
            setting.duration_s, faults(name, setting.duration_s), setting.seed
        )
        print(f"# {name}, seed {schedule.seed}, {schedule.duration_s:g} s")
        print(schedule.timeline(site.server_names, site.sidecar_names), end="")


def main() -> int:
    """Measure, print and check the bounds.

    Returns:
        The exit code: `DONE`, `NOT_MET` or `BAD_INPUT`.
    """
    parser = build_parser()
    options = parser.parse_args()
    names = select_names(options.only, NAMES, parser)
    peers_by_name: dict[str, Peer] = {peer: peer for peer in PEERS}
    peers = [peers_by_name[name] for name in select_names(options.peers, PEERS, parser)]
    setting = Setting(QUICK_S if options.quick else LONG_S, options.seed)
    file_schedule: Schedule | None = None
    try:
        if options.faults is not None:
            file_schedule = load(options.faults)
            file_schedule.steps(setting.site.server_names, setting.site.sidecar_names)
            names, setting = [FILE_ROW], Setting(file_schedule.duration_s, options.seed)
    except ScheduleError as error:
        print(error, file=sys.stderr)
        return BAD_INPUT
    if options.timeline:
        _timelines(names, setting, file_schedule)
        return DONE
    raise_descriptors()
    gc.collect()
    gc.freeze()
    gc.set_threshold(50_000, 50, 1000)  # avoids pauses that would be attributed to the servers
    try:
        rows = asyncio.run(run(names, setting, options.tree, peers, file_schedule))
    except ProgramError as error:
        print(error, file=sys.stderr)
        return BAD_INPUT
    print(table(HEADS, [cells(row) for row in rows]))
    sidecar_rows = [row for row in rows if row.peer == "sidecar"]
    met = not any(row.not_met for row in sidecar_rows)
    summary = {"seed": options.seed, "quick": options.quick, "met": met, "duration_s": setting.duration_s}
    write_json(options.json, options.tree, {**summary, "rows": [row.summary() for row in rows]})
    return DONE if met else NOT_MET


if __name__ == "__main__":
    sys.exit(main())

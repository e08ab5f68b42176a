"""The yardstick: worth served within the aim while a whole fleet has faults, one at a time and together.

`python -m benchmarks.fleet_faults [--quick] [--seed N] [--json FILE] [--tree DIR] [--only NAME[,NAME]]
[--peers NAME[,NAME]] [--faults FILE] [--timeline]`. 33 stand-ins in three data centres, 6 programs under
test, and 300 to 440 calls a second. Beside the sidecar play, on the same servers, calls and faults:
`random` and `robin` (plain choice from the registry's list, one more try for what never ran).

Exit codes: 0 all rules kept by the sidecar in sound runs, 1 a rule broken or a run unsound, 2 bad input or
a program that can't be started. Peers are not judged.
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
    chosen,
    figure,
    options,
    table,
    write_json,
)
from rig.callers import Demand, Outcome
from rig.faults import Bounds, Fault, Schedule, ScheduleError, load
from rig.fleet import CLASSES, PEERS, TENANTS, WEIGHTS, Peer, Run, Site, standing
from rig.ledger import RULES
from rig.process import ProgramError, raise_descriptors

LONG_S, QUICK_S = 40.0, 15.0
RATE_PER_S, SWING = 370.0, 0.18  # from 303 to 437 a second
SERVERS, SIDECARS = 33, 6
FROM = 0.15  # of the run: when faults begin
TURNS = 3  # an unsound run is played again, so many times in all
STORIES = 5  # of each broken rule that are kept
CALM, TOGETHER, OWN = "calm", "together", "file"


def _for(low: float, high: float, scale: float) -> Bounds:
    return low * scale, high * scale


def faults(name: str, duration_s: float) -> tuple[Fault, ...]:
    """The faults of a row. Times are the record's for a run of `LONG_S`, and shorter in a shorter one."""
    scale, at_s = duration_s / LONG_S, FROM * duration_s
    whole = (0.7 * duration_s, 0.7 * duration_s)
    drain = Fault("drain", at_s, lasts_s=_for(5.0, 10.0, scale), share=0.15, away_s=8.0 * scale)
    made = {
        CALM: (),
        "die": (Fault("die", at_s, lasts_s=_for(7.7, 21.0, scale), share=0.23),),
        "vanish": (Fault("vanish", at_s, lasts_s=_for(15.0, 25.0, scale), share=0.12),),
        "fail": (Fault("fail", at_s, lasts_s=_for(6.0, 28.0, scale), share=0.2, degree=(0.41, 0.98)),),
        "stall": (Fault("stall", at_s, lasts_s=whole, share=0.5, pause_ms=(150.0, 500.0)),),
        "drain": (drain,),
        "lose": (Fault("lose", at_s, lasts_s=whole, share=0.15, degree=(0.1, 0.4)),),
        "spoil": (Fault("spoil", at_s, lasts_s=whole, share=0.15, degree=(0.1, 0.4)),),
        "half_open": (Fault("half_open", at_s, lasts_s=whole, share=0.3, degree=(0.05, 0.2)),),
        "slow_accept": (Fault("slow_accept", at_s, lasts_s=whole, share=0.3, delay_ms=(100.0, 400.0)),),
        "registry_delay": (
            Fault("registry_delay", 0.0, lasts_s=whole, delay_ms=(3000.0, 5000.0)),
            drain,
        ),
        "registry_silence": (
            Fault("registry_silence", at_s - 0.5, lasts_s=(5.0, 5.0)),
            drain,
        ),
        "sidecar_crash": (Fault("sidecar_crash", at_s, lasts_s=(1.1, 7.0), share=0.5),),
    }
    if name != TOGETHER:
        return made[name]
    parts = ("die", "fail", "stall", "drain", "sidecar_crash")
    return tuple(fault for part in parts for fault in made[part])


NAMES = (
    *(CALM, "die", "vanish", "fail", "stall", "drain", "lose", "spoil", "half_open", "slow_accept"),
    *("registry_delay", "registry_silence", "sidecar_crash", TOGETHER),
)


@dataclass(frozen=True, slots=True)
class Setting:
    """What a run is asked for."""

    duration_s: float
    seed: int
    servers: int = SERVERS
    sidecars: int = SIDECARS
    rate_per_s: float = RATE_PER_S

    @property
    def site(self) -> Site:
        """The fleet."""
        return Site(self.servers, self.sidecars, self.seed)

    @property
    def demand(self) -> Demand:
        """The calls."""
        return Demand(
            self.rate_per_s, self.duration_s, CLASSES, TENANTS, WEIGHTS, seed=self.seed, swing=SWING
        )


@dataclass(slots=True)
class Row:
    """What one schedule showed on one program."""

    name: str
    peer: Peer
    run: Run
    turns: int  # how often it was played until it was sound, or given up

    @property
    def not_met(self) -> list[str]:
        """Each rule that was broken, and why the run is unsound."""
        broken = [f"{rule}: {len(found)}" for rule, found in self.run.breaches.items() if found]
        return [*broken, *(f"unsound: {why}" for why in self.run.unsound)]

    def shares(self) -> dict[str, float]:
        """Worth within the aim, service, and the service of the worst 10 s, class and tenant."""
        score = self.run.score

        def worst(keeps: Sequence[Any]) -> float:
            return min(score.service(keep) for keep in keeps)

        return {
            "in_aim": score.in_aim(),
            "service": score.service(),
            "worst_window": score.worst_window(),
            "worst_class": worst([_of_class(one.name) for one in CLASSES]),
            "worst_tenant": worst([_of_tenant(name) for name in TENANTS]),
        }

    def summary(self) -> dict[str, Any]:
        """All figures as JSON values."""
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
                one.name: {
                    f"p{round(share * 100)}": _finite(score.latency_ms(one.name, share))
                    for share in (0.5, 0.9, 0.99)
                }
                for one in CLASSES
            },
            "broken": {rule: len(found) for rule, found in run.breaches.items()},
            "stories": [one.as_json() for found in run.breaches.values() for one in found[:STORIES]],
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
        return outcome.call.kind.name == name

    return keep


def _of_tenant(name: str) -> Any:
    def keep(outcome: Outcome) -> bool:
        return outcome.call.tenant == name

    return keep


def _finite(value: float) -> float | None:
    return value if value == value and abs(value) != float("inf") else None


HEADS = (
    *("fault", "by", "asked", "in aim %", "service %", "worst 10 s", "worst class", "worst tenant"),
    *("check p50", "check p99", "not served", "tries", "sends", "rules broken", "fell", "lag p99 ms"),
)


def cells(row: Row) -> list[str]:
    """A row as the table shows it."""
    run, score, shares = row.run, row.run.score, row.shares()
    asked = len(score.outcomes)
    check = CLASSES[0].name
    rules = ", ".join(f"{rule} {len(run.breaches[rule])}" for rule in RULES if run.breaches[rule])
    lag = figure(max(run.lag_p99_ms.values()), ".1f")
    return [
        row.name,
        row.peer,
        str(asked),
        *(figure(100.0 * shares[name], ".2f") for name in ("in_aim", "service")),
        *(figure(100.0 * shares[name], ".1f") for name in ("worst_window", "worst_class", "worst_tenant")),
        figure(score.latency_ms(check, 0.5)),
        figure(score.latency_ms(check, 0.99)),
        str(sum(not outcome.served for outcome in score.outcomes)),
        figure(sum(outcome.tries for outcome in score.outcomes) / max(1, asked), ".3f"),
        figure(len(run.call_ledger.executions) / max(1, asked), ".3f"),
        rules or "-",
        str(len(run.falls)),
        lag + (" unsound" if run.unsound else ""),
    ]


async def measure(name: str, peer: Peer, setting: Setting, schedule: Schedule, tree: Path) -> Row:
    """Play one row, again while it is unsound; `ProgramError` if a program can't be started."""
    for turn in range(1, TURNS + 1):
        async with standing(tree, peer, setting.site, setting.rate_per_s) as yard:
            row = Row(name, peer, await yard.play(setting.demand, schedule), turn)
        if not row.run.unsound:
            break
    return row


async def run(
    names: Sequence[str], setting: Setting, tree: Path, peers: Sequence[Peer], own: Schedule | None = None
) -> list[Row]:
    """All rows, each as soon as it is measured also on standard error, broken rules with their stories."""
    rows: list[Row] = []
    for name in names:
        schedule = own or Schedule(setting.duration_s, faults(name, setting.duration_s), setting.seed)
        for peer in peers:
            row = await measure(name, peer, setting, schedule, tree)
            rows.append(row)
            said = "; ".join(row.not_met) or "rules kept"
            in_aim = figure(100.0 * row.shares()["in_aim"], ".2f")
            print(f"{name} ({peer}): {in_aim}% in aim; {said}", file=sys.stderr, flush=True)
            for found in row.run.breaches.values() if peer == "sidecar" else ():
                for breach in found[:STORIES]:
                    print(breach.text(), file=sys.stderr, flush=True)
    return rows


def parser() -> argparse.ArgumentParser:
    """The command line."""
    made = options("fleet_faults", __doc__)
    made.add_argument("--quick", action="store_true", help=f"{QUICK_S:g} s a row, not {LONG_S:g}")
    made.add_argument("--only", metavar="NAME[,NAME]", help=f"of {', '.join(NAMES)}")
    made.add_argument("--peers", metavar="NAME[,NAME]", help=f"of {', '.join(PEERS)}; all by default")
    made.add_argument("--faults", type=Path, metavar="FILE", help="a schedule of your own, as one row")
    made.add_argument("--timeline", action="store_true", help="print the schedules and play nothing")
    return made


def _timelines(names: Sequence[str], setting: Setting, own: Schedule | None) -> None:
    site = setting.site
    for name in names:
        schedule = own or Schedule(setting.duration_s, faults(name, setting.duration_s), setting.seed)
        print(f"# {name}, seed {schedule.seed}, {schedule.duration_s:g} s")
        print(schedule.timeline(site.server_names, site.sidecar_names), end="")


def main() -> int:
    """Measure, print and judge; the exit code."""
    options_ = parser()
    given = options_.parse_args()
    names = chosen(given.only, NAMES, options_)
    known: dict[str, Peer] = {peer: peer for peer in PEERS}
    peers = [known[name] for name in chosen(given.peers, PEERS, options_)]
    setting = Setting(QUICK_S if given.quick else LONG_S, given.seed)
    own: Schedule | None = None
    try:
        if given.faults is not None:
            own = load(given.faults)
            own.steps(setting.site.server_names, setting.site.sidecar_names)
            names, setting = [OWN], Setting(own.duration_s, given.seed)
    except ScheduleError as error:
        print(error, file=sys.stderr)
        return BAD_INPUT
    if given.timeline:
        _timelines(names, setting, own)
        return DONE
    raise_descriptors()
    gc.collect()
    gc.freeze()
    gc.set_threshold(50_000, 50, 1000)  # guards against pauses that would be taken for the servers'
    try:
        rows = asyncio.run(run(names, setting, given.tree, peers, own))
    except ProgramError as error:
        print(error, file=sys.stderr)
        return BAD_INPUT
    print(table(HEADS, [cells(row) for row in rows]))
    judged = [row for row in rows if row.peer == "sidecar"]
    met = not any(row.not_met for row in judged)
    summary = {"seed": given.seed, "quick": given.quick, "met": met, "duration_s": setting.duration_s}
    write_json(given.json, given.tree, {**summary, "rows": [row.summary() for row in rows]})
    return DONE if met else NOT_MET


if __name__ == "__main__":
    sys.exit(main())

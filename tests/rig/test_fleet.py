"""Tests of a fleet with real sidecars: the ledger shows faults and an injected breach."""

from __future__ import annotations

import pytest

from rig.callers import Demand, Score
from rig.faults import Fault, Schedule, Step
from rig.fleet import CLASSES, TENANTS, WEIGHTS, Run, Site, settings, standing
from rig.helper import ROOT
from rig.ledger import RULES, Ledger
from rig.model import Make
from rig.process import ProgramError
from tests.rig.waiting import bounded

RATE = 60.0
SMALL = Site(servers=6, sidecars=2, seed=1)


def demand(duration, **changes):
    return Demand(
        RATE, duration, CLASSES, TENANTS, WEIGHTS, **{"seed": 1, "try_share": (0.1, 0.15), **changes}
    )


async def play(peer, duration, *faults, site=SMALL, before=None):
    async with standing(ROOT, peer, site, RATE) as fleet:
        if before is not None:
            before(fleet)
        return await fleet.play(demand(duration), Schedule(duration, faults))


def ends(run):
    return {row.fate or row.end for row in run.call_ledger.executions}


def test_a_site_is_reproducible_by_seed():
    assert Site(seed=3).makes() == Site(seed=3).makes() != Site(seed=4).makes()
    makes = Site().makes()
    assert len(makes) == 33
    assert sum(kind == "full" for kind, _ in makes.values()) == 15
    assert all(isinstance(make, Make) for _, make in makes.values())
    fields = settings(SMALL, 1, 100.0)
    assert fields["Me"] == 1
    assert sum(row["Share"] for row in fields["Tenants"]) == pytest.approx(1.0)


@bounded
async def test_real_sidecars_follow_the_rules_during_faults():
    run = await play(
        "sidecar",
        2.2,
        Fault("drain", 0.3, lasts_s=(1.0, 1.0), targets=("s0",)),
        Fault("die", 0.3, lasts_s=(1.0, 1.0), targets=("s1",)),
        Fault("fail", 0.2, lasts_s=(2.0, 2.0), targets=("s2",), degree=(1.0, 1.0)),
        Fault("sidecar_crash", 0.6, lasts_s=(0.5, 0.5), targets=("n1",)),
    )
    stories = [breach.text() for found in run.breaches.values() for breach in found]
    assert stories == []
    assert run.cpu_s > 0.0
    assert run.rig_cpu_s > 0.0
    assert "failed" in ends(run)
    assert "served" in ends(run)
    assert [start.server for start in run.call_ledger.starts] == ["s1"]
    assert [crash.sidecar for crash in run.call_ledger.crashes] == ["n1"]
    assert {one.status for one in run.call_ledger.notifications} == {"leaving", "left", "active"}
    assert any(one.notified_s is not None for one in run.call_ledger.notifications)
    assert sum(one.served for one in run.score.outcomes) > 0.5 * len(run.score.outcomes)
    assert any(
        row.sidecar == "n1" and row.sent_s > run.call_ledger.crashes[0].at_s for row in run.call_ledger.asked
    )


@bounded
async def test_each_server_fault_shows_in_the_ledger():
    share = {"lasts_s": (1.5, 1.5), "degree": (1.0, 1.0)}
    run = await play(
        "robin",
        1.2,
        Fault("lose", 0.1, targets=("s0",), **share),
        Fault("spoil", 0.1, targets=("s1",), **share),
        Fault("vanish", 0.4, lasts_s=(0.5, 0.5), targets=("s2",)),
        Fault("stall", 0.1, lasts_s=(1.0, 1.0), targets=("s3",), pause_ms=(300.0, 300.0), every_s=(0.4, 0.4)),
        Fault("slow_accept", 0.0, lasts_s=(1.0, 1.0), targets=("s4",), delay_ms=(50.0, 50.0)),
        Fault("half_open", 0.3, targets=("s5",), **share),
    )
    by_server = {}
    for row in run.call_ledger.executions:
        by_server.setdefault(row.server, []).append(row)
    assert any(row.end in ("unanswered", "cut") and row.began_s for row in by_server["s0"])
    assert "spoilt" in {row.end for row in by_server["s1"]}
    # Requests from before or after the fault; the idle connections decide which of the two occur.
    assert {"lost", "unanswered"} & {row.end for row in by_server["s2"]}
    assert max(row.ended_s - row.last_s for row in by_server["s3"] if row.ended_s) > 0.25
    assert {row.read_late_ms for row in by_server["s4"]} >= {50.0, 0.0}
    assert {"lost", "unanswered"} & {row.end for row in by_server["s5"]}


@bounded
async def test_a_client_that_ignores_the_registry_breaks_the_drain_rule():
    def ignore(fleet):
        for name, caller in fleet.callers.items():
            rows = [
                (row["name"], (row["address"].split(":")[0], int(row["address"].split(":")[1])))
                for row in fleet.board.list_at(name)
            ]
            caller._direct.servers = lambda rows=rows: rows

    drain = Fault("drain", 0.1, lasts_s=(1.5, 1.5), targets=("s0",))
    run = await play("robin", 1.0, drain, before=ignore)
    found = run.breaches[RULES[2]]
    assert found
    assert run.broken == len(found)
    assert "s0" in found[0].what
    assert any("s0 is leaving" in line for line in found[0].story)
    obeying = await play("robin", 1.0, drain)
    assert obeying.broken == 0


@bounded
async def test_an_unknown_step_is_an_error_and_stops_all_parts():
    with pytest.raises(ProgramError, match="dance"):
        async with standing(ROOT, "random", SMALL, RATE) as fleet:
            await fleet.strike(Step(0.0, "dance", "s0"))


@bounded
async def test_a_sidecar_that_fails_to_restart_ends_the_run_with_its_error():
    def spoil(fleet):
        fleet.stands["n1"]._config = {**fleet.stands["n1"]._config, "settings": {}}

    crash = Fault("sidecar_crash", 0.1, lasts_s=(0.1, 0.1), targets=("n1",))
    with pytest.raises(ProgramError, match="configuration"):
        await play("sidecar", 1.0, crash, before=spoil)


def test_a_run_with_a_late_rig_is_unsound():
    def run(**changes):
        fields = {"lag_p99_ms": {"clients": 1.0}, "strike_late_ms": 1.0, "unrecorded": 0, **changes}
        return Run(Score([]), Ledger(), {}, [], cpu_s=0.0, rig_cpu_s=0.0, wall_s=1.0, **fields)

    assert run().unsound == []
    assert "clients late by 6.0 ms" in run(lag_p99_ms={"clients": 6.0}).unsound
    assert run(strike_late_ms=80.0).unsound
    assert run(unrecorded=1).unsound

"""The soak of the whole system: its schedules are drawn alike, its checks find what they are for."""

from __future__ import annotations

import asyncio
import json

import pytest

from benchmarks.system_soak import drawn, told
from rig.system.model_server import Run
from rig.system.soak.checks import check
from rig.system.soak.clients import KINDS
from rig.system.soak.play import Play
from rig.system.soak.record import Asked, Life, Named, Read, Record
from rig.system.soak.schedule import PLANNED, UPDATES, Action, draw_update

CHAT, NOTE, ORDER, LONG = KINDS
SECONDS = 20.0
PLANNED_SEED, TROUBLED_SEED = 7, 4
FRONT, OTHER = "a:80", "b:80"


def life(machine="one", region="east", front=FRONT, began=0.0, **fields):
    return Life(machine, "sidecar", region, front, began, **fields)


def asked(request_id="q", kind=ORDER, region="east", front=FRONT, sent=10.0, ended=10.1, **fields):
    return Asked(request_id, kind, region, front, sent, ended, **{"status": 200, "whole": True, **fields})


def record(**fields):
    return Record(8.0, **{"lives": [life(), life("two", "west", OTHER)], "asked": [asked()], **fields})


def log(kind):
    return ("one", json.dumps({"message_type": kind}))


TOLD = life(told_at=8.0, ended=15.5, code=0)
CUT = {"whole": False, "status": 200}
SOUND = {
    "a calm play": record(),
    "a process that ends in its grace": record(lives=[TOLD]),
    "a request whose connection ends as it is sent": record(
        asked=[*(asked() for _ in range(9)), asked("r", **CUT)]
    ),
    "a request at a process that was killed": record(
        lives=[life(disturbed=[10.05], ended=10.05)],
        asked=[*(asked() for _ in range(2)), asked("r", **CUT)],
        runs=[Run("r", "east-1", 10.0)],
    ),
    "a stream of minutes that is cut at the end": record(
        lives=[TOLD],
        asked=[asked(), asked(), asked(), asked(), asked("r", LONG, ended=15.4, **CUT)],
        runs=[Run("r", "east-1", 10.0)],
    ),
    "a stream that may be resumed runs twice": record(
        asked=[asked("r", NOTE)], runs=[Run("r", "east-1", 10.0), Run("r", "west-1", 10.0)]
    ),
    "SIGTERM while it starts": record(lives=[life(began=7.9, told_at=8.0, ended=8.1, code=-15)], asked=[]),
    "SIGHUP before the interpreter runs": record(lives=[life(ended=0.4, code=-1)], asked=[]),
    "few are led elsewhere": record(
        asked=[asked(kind=CHAT, region="west", front=OTHER if n else FRONT) for n in range(40)]
    ),
    "led elsewhere after a failure": record(
        lives=[life(), life("two", "west", OTHER, disturbed=[9.0], ended=9.0)],
        asked=[asked(kind=CHAT, region="west") for n in range(40)],
    ),
    "one that has gone is named alone": record(
        lives=[life(told_at=1.0, ended=2.0, code=0)], named=[Named(20.0, "east", (FRONT,))] * 9
    ),
    "the newest is read": record(reads=[Read(1.0, 3, 3), Read(2.0, 4, 3)]),
    "events on a log": record(log_lines=[log("sidecar:ready")]),
}
BROKEN = {
    "LOST passed on and cut": record(asked=[asked("r", **CUT)], runs=[Run("r", "east-1", 10.0)]),
    "LOST given up late": record(asked=[asked("r", ended=10.6, **CUT)]),
    "LOST a late stream cut": record(
        lives=[TOLD], asked=[asked("r", LONG, sent=11.1, ended=15.4, **CUT)], runs=[Run("r", "east-1", 11.1)]
    ),
    "HOME it ran elsewhere": record(asked=[asked("r", CHAT)], runs=[Run("r", "east-1", 10.0)]),
    "HOME many were led elsewhere": record(
        asked=[asked(kind=CHAT, region="west", front=OTHER if n > 2 else FRONT) for n in range(40)]
    ),
    "TWICE an order": record(runs=[Run("q", "east-1", 10.0), Run("q", "west-1", 10.0)]),
    "ENDS by itself": record(lives=[life(ended=20.0, code=1)]),
    "ENDS by SIGHUP": record(lives=[life(ended=20.0, code=-1)]),
    "ENDS at the end of its grace": record(lives=[life(told_at=8.0, ended=16.0, code=-9, overdue="S")]),
    "ENDS with a code": record(lives=[life(told_at=8.0, ended=12.0, code=1)]),
    "LOG no event": record(log_lines=[("one", "Traceback (most recent call last):")]),
    "LOG a traceback": record(log_lines=[log("eliot:traceback")]),
    "CONFIG an older version": record(reads=[Read(1.0, 2, 3)]),
    "DRAIN one that has gone": record(
        lives=[life(told_at=1.0, ended=2.0, code=0), life("two", "west", OTHER)],
        asked=[],
        named=[Named(20.0, "east", (FRONT, OTHER))] * 4,
    ),
    "SERVED few": record(asked=[asked(status=503), asked(status=503)]),
}


@pytest.mark.parametrize("name", SOUND)
def test_what_the_rules_allow_is_no_finding(name):
    assert not check(SOUND[name])


@pytest.mark.parametrize("name", BROKEN)
def test_what_breaks_a_rule_is_found(name):
    assert name.split()[0] in {finding.rule for finding in check(BROKEN[name])}


def test_a_seed_draws_the_same_schedule_and_odd_ones_planned_work_only():
    assert drawn(3, 60.0, 2) == drawn(3, 60.0, 2) != drawn(5, 60.0, 2)
    assert {step.action for step in drawn(3, 60.0, 2).steps} == PLANNED
    assert {Action.KILL, Action.FREEZE} <= {step.action for step in drawn(4, 60.0, 2).steps}


@pytest.mark.parametrize("seed", [PLANNED_SEED, TROUBLED_SEED])
def test_a_seed_is_played_and_breaks_nothing(tmp_path, seed):
    schedule = drawn(seed, SECONDS, 2)
    seen = asyncio.run(Play(schedule, tmp_path, sidecars=2, clients=4).run())
    findings = check(seen)
    assert not findings, told(schedule, seen, findings)


@pytest.mark.parametrize("versions", [True, False])
def test_an_update_replaces_each_machine_and_goes_back_with_a_kill_on_each_way(versions):
    sidecars, controls = ["sidecar-west", "sidecar-east"], ["control-west", "control-east"]
    schedule = draw_update(3, sidecars, controls, versions)
    rolls = [step for step in schedule.steps if step.action in UPDATES | {Action.ROLL}]
    there, back = rolls[:4], rolls[4:]
    for way, action in ((there, Action.UPDATE), (back, Action.REVERT)):
        assert {step.target for step in way} == {*sidecars, *controls}
        assert {step.action for step in way} == {action if versions else Action.ROLL}
    kills = [step.at for step in schedule.steps if step.action is Action.KILL]
    assert there[0].at < kills[0] < back[0].at < kills[1] < schedule.lasts_s
    assert any(step.action is Action.CHANGE for step in schedule.steps)
    other = draw_update(3, sidecars, controls, not versions)
    assert [step.at for step in other.steps] == [step.at for step in schedule.steps], "the same times"

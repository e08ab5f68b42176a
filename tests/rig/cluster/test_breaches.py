"""Planted breaches: each fits the current program, and its checker finds it on a short schedule."""

from __future__ import annotations

import asyncio
import math

import pytest

from benchmarks import cluster_breaches
from benchmarks.cluster_breaches import Row, Seen
from rig.cluster import breaching, schedules
from rig.cluster.__main__ import PlayOptions, play_and_judge
from rig.cluster.checkers import Finding
from rig.cluster.history import Acted
from rig.cluster.judging import Played
from rig.cluster.schedules import FORMAT, Head, Schedule
from rig.ledger import Asked, Execution, Ledger
from tests.rig.waiting import UNSOUND, believed

NAMES = breaching.names()
CHECKERS = {"contradiction", "versions", "durable", "drains", "rules", "process"}
MAX_STEPS, MAX_LINES, MAX_LENGTH_MS = 5, 6, 6900


@pytest.mark.parametrize("name", NAMES)
def test_a_breach_is_small_and_in_the_program_and_its_schedule_is_short(name):
    """Guards against a breach that changes the rig, no longer fits, or has no reason of its own."""
    breach = breaching.read(name)
    assert breaching.breached(breach)
    assert all(edit.file.startswith("fordtrestle/") for edit in breach.edits)
    changed = sum(max(edit.old.count("\n"), edit.new.count("\n"), 1) for edit in breach.edits)
    assert changed <= MAX_LINES
    assert breach.checker in CHECKERS
    assert breach.why
    schedule = cluster_breaches.schedule_of(name)
    assert len(schedule.steps) <= MAX_STEPS
    assert schedule.head.length_ms <= MAX_LENGTH_MS
    path = breaching.FOLDER / f"{name}.jsonl"
    assert schedules.read(schedule.encode(), str(path)) == schedule
    assert schedule.head.verdict == "kept"


def test_there_are_breaches_for_each_checker_and_a_schedule_for_each():
    """Guards against a checker that no breach proves, and against files that are never played."""
    assert len(NAMES) >= 18
    assert {breaching.read(name).checker for name in NAMES} == CHECKERS
    assert {path.stem for path in breaching.FOLDER.glob("*.jsonl")} == set(NAMES)


@believed
def test_breaches_are_found_on_processes_and_the_unchanged_program_keeps_its_promises():
    """Plays two of the quickest breaches side by side: one of the disk, one of how a process exits."""

    async def play(name, planted):
        options = PlayOptions(breach=name if planted else "")
        seen, findings, _ = await play_and_judge(cluster_breaches.schedule_of(name), options)
        UNSOUND.extend(seen.unsound)
        return {finding.checker for finding in findings if finding.verdict == "broken"}

    async def plays():
        runs = [(name, planted) for name in ("file-not-synced", "sigterm-kills") for planted in (True, False)]
        return await asyncio.gather(*(play(*one) for one in runs))

    assert asyncio.run(plays()) == [{"durable"}, set(), {"process"}, set()]


# --- judging -----------------------------------------------------------------------------

HIT = Seen("broken", {"rules": 2, "drains": 1}, 400.0, (), ("broken: rules: x",))
MISS = Seen("broken", {"drains": 1}, None, (), ())
KEPT, UNKNOWN = Seen("kept", {}, None, (), ()), Seen("unknown", {}, None, (), ())


def row(planted, plain):
    return Row("tiny", "rules", 2, 1500, tuple(planted), tuple(plain))


@pytest.mark.parametrize(
    ("planted", "plain", "met", "shown"),
    [
        ((HIT, HIT), (KEPT, UNKNOWN), True, ["rules, drains", "2/2", "400", "unknown"]),
        ((HIT, MISS), (KEPT, KEPT), False, ["rules, drains", "1/2", "400", "kept"]),
        ((KEPT,), (KEPT,), False, ["NONE", "0/1", "-", "kept"]),
        ((HIT,), (MISS,), False, ["rules, drains", "1/1", "400", "BROKEN"]),
        (
            (Seen("broken", {"rules": 1}, 400.0, ("late",), ()),),
            (KEPT,),
            False,
            ["rules", "1/1", "400", "kept"],
        ),
    ],
)
def test_a_row_passes_if_its_checker_found_the_breach_in_each_run_and_never_without_it(
    planted, plain, met, shown
):
    made = row(planted, plain)
    assert made.met == met
    cells = cluster_breaches.cells(made)
    assert [cells[2], cells[3], cells[6], cells[7]] == shown


@pytest.mark.parametrize(("plain", "code"), [(KEPT, 0), (HIT, 1)])
def test_the_exit_code_reports_a_breach_in_the_unchanged_program(plain, code, monkeypatch, capsys):
    async def play_in_process(name, planted, tree):
        return HIT if planted else plain

    monkeypatch.setattr(cluster_breaches, "play_in_process", play_in_process)
    name = next(name for name in NAMES if breaching.read(name).checker == "rules")
    assert cluster_breaches.main(["--only", name]) == code
    assert name in capsys.readouterr().out


def test_a_play_on_a_busy_machine_is_repeated():
    """Guards against a verdict by a rig that lagged itself: it plays again, up to the bound."""
    busy = Seen("kept", {}, None, ("late",), ())
    plays = iter(())

    async def play():
        return next(plays)

    assert asyncio.run(cluster_breaches.repeat_if_busy(HIT, play)) == HIT
    plays = iter((HIT, KEPT))
    assert asyncio.run(cluster_breaches.repeat_if_busy(busy, play)) == HIT
    plays = iter([busy] * 9)
    assert asyncio.run(cluster_breaches.repeat_if_busy(busy, play)) == busy
    assert len(list(plays)) == 9 - cluster_breaches.MAX_REPEATS


def test_the_first_breach_is_dated_by_the_events_that_show_it():
    schedule = Schedule(Head(FORMAT, 1, 2, 3000, 1000))
    new, old = Acted("n1", 1, 10_200.0, "list:shop/s1", 42), Acted("n0", 1, 12_900.0, "list:shop/s1", 41)
    run = Execution("c1", "", "s1", "west", "unsafe", 10.3, 10.3, began_s=10.3)
    again = Execution("c1", "", "s2", "west", "unsafe", 10.4, 10.4, began_s=10.4)
    asked = Asked("c1", "c1", "n0", "unsafe", "pay", "", 10.25, 1.0, "served", 10.5)
    made = Played(schedule, ["n0", "n1"], 10_000.0, [], Ledger([run, again], [asked]))
    spans = [
        Finding("broken", "contradiction", "", (old, new)),
        Finding("broken", "versions", "", (new, old)),
    ]
    assert cluster_breaches.first_ms(made, spans, "contradiction") == 1200.0  # its bound after the first act
    assert cluster_breaches.first_ms(made, spans, "versions") == 2900.0
    assert cluster_breaches.first_ms(made, spans, "durable") is None
    assert math.isclose(cluster_breaches.first_ms(made, [], "rules"), 500.0)

"""The benchmarks: what they judge, how they end, and one row played for real."""

from __future__ import annotations

import pytest

from benchmarks import crowds, points
from benchmarks.common import table
from rig.clients import Record, Result, Tally
from rig.crowds import Size
from rig.helper import ROOT
from rig.process import Peaks
from tests.rig.waiting import UNSOUND, believed, bounded

SETTING = crowds.Setting(rate_per_s=50.0, counted_s=0.3, sockets=384, seed=1)


def row(
    served=100, latency_ms=60.0, others=(), descriptors=100, rss_mb=30.0, crowd=None, died="", emfile=False
):
    records = [Record(0.0, Result.SERVED, latency_ms, 200)] * served
    records += [Record(0.0, result, 1.0) for result in others]
    peaks = Peaks(descriptors=descriptors, rss_mb=rss_mb)
    return crowds.Row(
        "silent",
        384,
        Tally(records=records),
        peaks,
        2.0,
        1.0,
        crowd or {},
        {},
        died,
        0,
        [],
        emfile,
    )


def judged(made, base=None):
    made.compare(base or row())
    made.judge(crowds.SCENARIOS["silent"]("silent", SETTING))
    return made.not_met


def test_a_row_that_meets_all_bounds():
    assert judged(row()) == []
    assert judged(row(served=99, others=[Result.REFUSED])) == []


@pytest.mark.parametrize(
    ("wrong", "bound"),
    [
        ({"served": 98, "others": [Result.FAILED] * 2}, "in time"),
        ({"served": 200, "others": [Result.CUT]}, "cut"),
        ({"served": 200, "others": [Result.UNANSWERED]}, "no answer"),
        ({"served": 200, "others": [Result.MIXED_UP]}, "mixed up"),
        ({"latency_ms": 91.0}, "p99"),
        ({"descriptors": 385}, "descriptors"),
        ({"rss_mb": 193.0}, "RSS"),
        ({"died": "code 1"}, "ended: code 1"),
        ({"emfile": True}, "ran out of descriptors"),
    ],
)
def test_each_bound_can_be_missed(wrong, bound):
    (missed,) = judged(row(**wrong))
    assert missed.startswith(bound)


def test_nothing_served_is_not_a_good_p99():
    assert len(judged(row(served=0, others=[Result.UNSENT]))) == 2


def test_the_cost_of_a_connection_is_what_is_spent_more_than_without_the_crowd():
    made, base = row(crowd={"connected": 1000}), row()
    base.cpu_s = 0.4
    made.compare(base)
    assert made.cpu_us == pytest.approx(600.0)
    assert "600 us" in crowds.costs([made])[0]
    assert "not met" in crowds.costs([made])[0]
    assert made.summary()["not_met"] == []


def test_every_scenario_is_within_its_bounds_of_size():
    for name, make in crowds.SCENARIOS.items():
        scenario = make(name, SETTING)
        assert sum(size.standing for size in scenario.crowd.values()) <= 3 * 384
        assert scenario.plan.connections <= max(128, scenario.sockets)
    assert crowds.SCENARIOS["half"]("half", SETTING).crowd == {"half": Size(500.0, 1152)}


@pytest.mark.parametrize(
    "arguments",
    [
        ["--only", "polite"],
        ["--tree", "/no/such/tree"],
        ["--json", "/no/such/folder/file"],
        ["--seed", "x"],
        ["--rate", "-1"],
        ["--rate", "nan"],
    ],
)
def test_bad_input_is_exit_code_2(arguments, monkeypatch, capsys):
    monkeypatch.setattr("sys.argv", ["crowds", *arguments])
    with pytest.raises(SystemExit) as ended:
        crowds.main()
    assert ended.value.code == 2
    assert "error" in capsys.readouterr().err
    if arguments[0] != "--rate":
        with pytest.raises(SystemExit) as ended:
            points.main()
        assert ended.value.code == 2


def test_a_table():
    assert table(("a", "bb"), [("xxx", "1")]) == "a    bb\nxxx   1"
    assert table(("a", "bb"), [("xxx", "1")], right=False) == "a    bb\nxxx  1"


@believed
@bounded
async def test_a_row_is_played_and_told():
    (made,) = await crowds.run(["none"], SETTING, ROOT)
    if made.tally.lag_most_ms > crowds.MAX_LAG_MS:
        UNSOUND.append(f"clients were late by {made.tally.lag_most_ms:.0f} ms")
    assert made.tally.count(Result.SERVED) == made.tally.asked > 0
    assert made.summary()["healthy"]["in_time"] == 1.0
    assert len(crowds.cells(made)) == len(crowds.HEADS)

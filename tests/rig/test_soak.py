"""The long run: what it judges, how it ends, and some seconds of it played for real."""

from __future__ import annotations

import signal

import pytest

from benchmarks import soak
from benchmarks.crowds import MAX_LAG_MS
from rig.clients import Record, Result, Tally
from rig.crowds import KINDS
from rig.helper import ROOT
from rig.process import ProgramError
from tests.rig.waiting import UNSOUND, believed, bounded

SHORT = soak.Times(whole_s=8.0, crowd_s=1.0, sample_s=1.0)


def seen(rss_mb=(30.0, 30.0, 30.0, 30.0), served=100, others=(), **changes):
    records = [Record(0.0, Result.SERVED, 60.0, 200)] * served
    records += [Record(0.0, result, 1.0) for result in others]
    samples = [soak.Sample(10.0 * n, 50, rss, 0.1, 25, 25, "") for n, rss in enumerate(rss_mb, 1)]
    return soak.Seen(
        Tally(records=records), samples, **{"idle": 10, "left": 10, "back_s": 1.0, "code": 0, **changes}
    )


def test_a_run_that_meets_all_bounds():
    assert seen().not_met == []
    assert seen(served=99, others=[Result.REFUSED]).not_met == []
    assert seen(rss_mb=(20.0, 30.0, 60.0, 32.0)).not_met == []
    assert soak.summary_lines(seen())[-1] == "all bounds met"
    assert not SHORT.settles
    assert soak.Times().settles
    growing = seen(rss_mb=(30.0, 30.0, 30.0, 60.0), settled=False)
    assert growing.not_met == []
    assert any("+30.0 MB, not judged" in line for line in soak.summary_lines(growing))


@pytest.mark.parametrize(
    ("wrong", "bound"),
    [
        ({"served": 98, "others": [Result.CUT] * 2}, "in time"),
        ({"served": 0}, "in time"),
        ({"rss_mb": (30.0, 30.0, 30.0, 32.1)}, "RSS"),
        ({"rss_mb": ()}, "RSS"),
        ({"left": 11, "back_s": None}, "11 descriptors, 10 before"),
        ({"code": -signal.SIGKILL}, "exit code -9"),
        ({"died": "process 7 ended with code 1: no word"}, "ended: process 7"),
        ({"noted": ["ledgers: descriptors 3"]}, "log: ledgers: descriptors 3"),
    ],
)
def test_each_bound_can_be_missed(wrong, bound):
    made = seen(**wrong)
    (missed,) = made.not_met
    assert missed.startswith(bound)
    assert missed in soak.summary_lines(made)[-1]
    assert made.summary()["not_met"] == [missed]


def test_what_was_asked_beside_each_kind_is_told_apart():
    visits = [soak.Visit("silent", 1, 10.0, 20.0, {"connected": 50}), soak.Visit("half", 2, 30.0, 40.0, {})]
    records = [Record(at_s, Result.SERVED, 1.0) for at_s in (9.9, 10.0, 19.9, 20.0, 30.0)]
    made = soak.Seen(Tally(records=records), visits=visits)
    assert (made.during("silent").asked, made.during("half").asked, made.during("once").asked) == (2, 1, 0)


@pytest.mark.parametrize(
    "arguments",
    [
        ["--minutes", "0"],
        ["--minutes", "nan"],
        ["--seconds", "100000"],
        ["--crowd-seconds", "-1"],
        ["--seconds", "30"],  # with a sample each 10 s
        ["--tree", "/no/such/tree"],
    ],
)
def test_bad_input_is_exit_code_2(arguments, monkeypatch, capsys):
    monkeypatch.setattr("sys.argv", ["soak", *arguments])
    with pytest.raises(SystemExit) as ended:
        soak.main()
    assert ended.value.code == 2
    assert "error" in capsys.readouterr().err


def test_a_program_that_can_not_be_started_is_exit_code_2(monkeypatch, capsys):
    async def play(*told):
        raise ProgramError("it is not ready")

    monkeypatch.setattr(soak, "play", play)
    monkeypatch.setattr(soak, "prepare_process", lambda: None)
    monkeypatch.setattr("sys.argv", ["soak"])
    assert soak.main() == soak.BAD_INPUT
    assert capsys.readouterr().err == "it is not ready\n"


@believed
@bounded
async def test_some_seconds_are_played(monkeypatch):
    monkeypatch.setattr(soak, "START_S", 0.5)
    monkeypatch.setattr(soak, "LINE_S", 2.0)
    lines = []
    made = await soak.play(SHORT, ROOT, 1, lines.append)
    if made.tally.lag_most_ms > MAX_LAG_MS:
        UNSOUND.append(f"clients were late by {made.tally.lag_most_ms:.0f} ms")
    assert [visit.kind for visit in made.visits] == list(KINDS[:4])
    assert all(visit.counts["connected"] > 0 for visit in made.visits)
    assert len(made.samples) == 8
    assert len(lines) == 4
    assert made.tally.in_time > 0.9
    assert made.tally.connections > 30
    assert max(sample.descriptors for sample in made.samples) > made.idle >= made.left > 0
    assert (made.code, made.died) == (0, "")
    assert soak.quarters(made).count("\n") == 4
    assert soak.crowds(made).count("\n") == len(KINDS)


@bounded
async def test_a_program_that_ends_amid_the_run_is_told(monkeypatch):
    monkeypatch.setattr(soak, "START_S", 0.1)
    async with soak.stage(ROOT) as made:
        run = soak.Run(soak.Times(60.0, 60.0, 0.1), made, 1, lambda text: None)
        monkeypatch.setattr(run, "_add_sample", lambda *told: made.target.program.signal(signal.SIGKILL))
        await run.run()
    assert run.seen.died
    assert run.seen.code == -signal.SIGKILL
    assert any(bound.startswith("ended") for bound in run.seen.not_met)

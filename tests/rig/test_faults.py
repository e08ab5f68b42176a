"""Tests of fault schedules: reproducible bytes for a seed, and one-line errors for invalid ones."""

from __future__ import annotations

import subprocess
import sys

import pytest

from rig.faults import KINDS, Fault, Schedule, ScheduleError, main, parse
from rig.helper import ROOT

SERVERS = [f"s{number}" for number in range(33)]
SIDECARS = [f"n{number}" for number in range(6)]
TEXT = """
seed = 5
duration_s = 30.0

[[fault]]
kind = "die"
at_s = 2
lasts_s = [7.7, 21.0]
share = 0.23

[[fault]]
kind = "fail"
at_s = 4.5
servers = ["s1", "s2"]
degree = [0.41, 0.98]

[[fault]]
kind = "registry_silence"
at_s = 3
lasts_s = 2.5
"""


def whole(kind):
    share = 0.0 if kind.startswith("registry") else 0.5
    return Schedule(40.0, (Fault(kind, 1.0, lasts_s=(6.0, 15.0), share=share),), seed=3)


def test_a_schedule_is_parsed():
    made = parse(TEXT)
    assert (made.seed, made.duration_s) == (5, 30.0)
    assert made.faults[0] == Fault("die", 2.0, lasts_s=(7.7, 21.0), share=0.23)
    assert made.faults[1] == Fault("fail", 4.5, targets=("s1", "s2"), degree=(0.41, 0.98))
    steps = made.steps(SERVERS)
    assert len({step.target for step in steps if step.what == "die"}) == 8  # 23% of 33
    silent = [(step.at_s, step.options["silent"]) for step in steps if step.what == "registry"]
    assert silent == [(3.0, True), (5.5, False)]


@pytest.mark.parametrize("kind", KINDS)
def test_the_timeline_depends_only_on_the_seed(kind):
    text = whole(kind).timeline(SERVERS, SIDECARS)
    assert text
    assert text == whole(kind).timeline(SERVERS, SIDECARS)
    other = Schedule(40.0, whole(kind).faults, seed=4)
    assert text != other.timeline(SERVERS, SIDECARS)


def test_another_process_prints_the_same_bytes(tmp_path):
    """Guard against an order that depends on the hash seed of the process."""
    path = tmp_path / "faults.toml"
    path.write_text(TEXT)
    command = [sys.executable, "-m", "rig.faults", str(path)]
    done = subprocess.run(command, capture_output=True, cwd=ROOT, timeout=20, check=True)
    assert done.stdout.decode() == parse(TEXT).timeline(SERVERS, SIDECARS)


def test_a_fault_does_not_change_the_steps_of_others():
    both = whole("die").faults + whole("stall").faults
    alone = set(whole("die").steps(SERVERS))
    assert alone < set(Schedule(40.0, both, seed=3).steps(SERVERS))


def test_steps_are_in_order_and_within_the_run():
    for kind in KINDS:
        steps = whole(kind).steps(SERVERS, SIDECARS)
        times = [step.at_s for step in steps]
        assert times == sorted(times)
        assert times[0] >= 1.0
        assert times[-1] <= 40.0


def test_a_server_that_dies_restarts_and_the_list_follows_with_a_delay():
    steps = [step for step in whole("die").steps(SERVERS) if step.target == "s3"]
    if not steps:
        steps = [s for s in whole("die").steps(SERVERS) if s.target == whole("die").steps(SERVERS)[0].target]
    at = {(step.what, step.options.get("status", "")): step.at_s for step in steps}
    assert 6.0 <= at["start", ""] - at["die", ""] <= 15.0
    assert 1.0 <= at["list", "left"] - at["die", ""] <= 4.5
    assert 0.28 <= at["list", "active"] - at["start", ""] <= 1.6


def test_a_server_that_is_back_before_its_absence_is_noticed_stays_listed():
    fault = Fault("vanish", 1.0, lasts_s=(3.0, 3.0), targets=("s1",))
    assert [step.what for step in Schedule(40.0, (fault,)).steps(SERVERS)] == ["vanish", "back"]


def test_stalls_repeat_every_few_seconds():
    fault = Fault("stall", 0.0, lasts_s=(30.0, 30.0), targets=("s1",), pause_ms=(150.0, 500.0))
    steps = Schedule(40.0, (fault,)).steps(SERVERS)
    assert 7 <= len(steps) <= 15
    assert all(150.0 <= step.options["for_ms"] <= 500.0 for step in steps)


def test_a_drained_server_leaves_and_may_return():
    fault = Fault("drain", 1.0, lasts_s=(4.0, 4.0), targets=("s1",), away_s=5.0)
    steps = Schedule(40.0, (fault,)).steps(SERVERS)
    assert [(step.what, step.at_s) for step in steps[:5]] == [
        *[("drain", 1.0), ("list", 1.0)],
        *[("die", 5.0), ("list", 5.0)],
        ("start", 10.0),
    ]


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ("duration_s = 30\nseed = 1.5", "f.toml:2: seed: not a whole number"),
        ("seed = 1", "f.toml:1: duration_s: is missing"),
        ("duration_s = -3", "f.toml:1: duration_s: -3 is not from"),
        ("\nduration_s = 30\nspeed = 3", "f.toml:3: speed: unknown"),
        ("duration_s = 30\n[[fault]\n", "f.toml:2: "),
        ("duration_s = 30\nfault = 3", "f.toml:2: fault: each stands under"),
        ("duration_s = 30\n[[fault]]\nat_s = 3", "f.toml:2: kind: is missing"),
        ("duration_s = 30\n[[fault]]\nkind = 'die'\nat_s = 'x'", "f.toml:4: at_s: not a figure"),
        ("duration_s = 30\n[[fault]]\nkind = 'die'\nat_s = nan", "f.toml:4: at_s: not a figure"),
        ("duration_s = 30\n[[fault]]\nat_s = 1\nkind = 'dye'\nshare = 1", "f.toml:4: kind: no kind 'dye'"),
        ("duration_s = 30\n[[fault]]\nkind = 'die'\nat_s = 1", "f.toml:2: share: either a share or names"),
        ("duration_s = 30\n[[fault]]\nkind = 'die'\nat_s = 1\nshare = 1.5", "f.toml:5: share: 1.5 is not"),
        (
            "duration_s = 30\n[[fault]]\nkind = 'die'\nat_s = 1\nshare = 1\n[[fault]]\nkind = 'stall'\n"
            "at_s = 2\nshare = 1\npause_ms = [5, 3]",
            "f.toml:10: pause_ms: 5 to 3 is not",
        ),
        (
            "duration_s = 30\n[[fault]]\nkind = 'die'\nat_s = 1\nshare = 1\nlasts_s = [1]",
            "f.toml:6: lasts_s: not a figure or two bounds",
        ),
        (
            "duration_s = 30\n[[fault]]\nkind = 'die'\nat_s = 1\nservers = []",
            "f.toml:5: servers: not a list of names",
        ),
        ("duration_s = 30\n[[fault]]\nkind = 'die'\nat_s = 1\nshares = 1", "f.toml:5: shares: unknown"),
    ],
)
def test_an_invalid_schedule_gives_one_line_with_file_line_and_field(
    text, said, tmp_path, capsys, monkeypatch
):
    monkeypatch.chdir(tmp_path)
    (tmp_path / "f.toml").write_text(text)
    assert main(["f.toml"]) == 2
    output = capsys.readouterr()
    assert output.err.startswith(said)
    assert output.err.count("\n") == 1
    assert output.out == ""


def test_unreadable_files_and_unknown_targets_are_invalid(tmp_path, capsys):
    (tmp_path / "f.toml").write_bytes(b"\xff")
    assert main([str(tmp_path / "f.toml")]) == main([str(tmp_path / "none")]) == 2
    (tmp_path / "f.toml").write_text(TEXT.replace('"s1"', '"s77"'))
    assert main([str(tmp_path / "f.toml")]) == 2
    assert "s77" in capsys.readouterr().err


def test_schedules_from_python_are_validated():
    with pytest.raises(ScheduleError, match="fault 1: kind"):
        Schedule(10.0, (Fault("dye", 1.0, share=0.5),))
    with pytest.raises(ScheduleError, match="duration_s"):
        Schedule(0.0)

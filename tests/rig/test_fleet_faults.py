"""Tests of the fleet benchmark: its schedules, invalid input and one real run of a row."""

from __future__ import annotations

import pytest

from benchmarks import fleet_faults
from rig.faults import Schedule
from rig.helper import ROOT
from rig.ledger import RULES, Breach
from tests.rig.waiting import bounded

SETTING = fleet_faults.Setting(0.8, seed=1, servers=3, sidecars=1, rate_per_s=30.0)


@pytest.mark.parametrize("name", fleet_faults.NAMES)
@pytest.mark.parametrize("duration_s", [fleet_faults.QUICK_S, fleet_faults.LONG_S])
def test_every_row_has_a_schedule_whose_faults_begin_within_the_run(name, duration_s):
    schedule = Schedule(duration_s, fleet_faults.faults(name, duration_s), 1)
    site = fleet_faults.Setting(duration_s, 1).site
    text = schedule.timeline(site.server_names, site.sidecar_names)
    assert text == schedule.timeline(site.server_names, site.sidecar_names)
    assert bool(text) is (name != fleet_faults.CALM)


def test_the_combined_schedule_contains_each_part_unchanged():
    site = SETTING.site
    alone = fleet_faults.faults("die", 40.0)
    assert alone[0] in fleet_faults.faults(fleet_faults.TOGETHER, 40.0)
    names = (site.server_names, site.sidecar_names)
    assert Schedule(40.0, alone, 2).timeline(*names) != Schedule(40.0, alone, 3).timeline(*names)


@pytest.mark.parametrize(
    "arguments",
    [
        ["--only", "rain"],
        ["--peers", "other"],
        ["--tree", "/no/such"],
        ["--json", "/no/such/f"],
        ["--seed", "x"],
    ],
)
def test_bad_input_is_exit_code_2(arguments, monkeypatch, capsys):
    monkeypatch.setattr("sys.argv", ["fleet_faults", *arguments])
    with pytest.raises(SystemExit) as ended:
        fleet_faults.main()
    assert ended.value.code == 2
    assert "error" in capsys.readouterr().err


def test_a_schedule_file_is_read_or_rejected_in_one_line(monkeypatch, capsys, tmp_path):
    path = tmp_path / "f.toml"
    monkeypatch.setattr("sys.argv", ["fleet_faults", "--timeline", "--faults", str(path)])
    path.write_text("duration_s = 3\n[[fault]]\nkind = 'die'\nat_s = 1\nservers = ['s3']\n")
    assert fleet_faults.main() == 0
    assert "die       s3" in capsys.readouterr().out
    for wrong in ("at_s = 1", "servers = ['s99']"):
        path.write_text(f"duration_s = 3\n[[fault]]\nkind = 'die'\nat_s = 1\n{wrong}\n")
        assert fleet_faults.main() == 2
        output = capsys.readouterr()
        assert output.err.count("\n") == 1
        assert output.out == ""


@bounded
async def test_a_row_runs_and_is_summarized_and_judged():
    (row,) = await fleet_faults.run(["calm"], SETTING, ROOT, ["random"])
    assert len(fleet_faults.cells(row)) == len(fleet_faults.HEADS)
    figures = row.summary()
    assert figures["asked"] == len(row.run.score.outcomes) > 10
    assert figures["in_aim"] > 0.5
    assert set(figures["broken"]) == set(RULES)
    row.run.lag_p99_ms = {"clients": 1.0}
    row.run.strike_late_ms = 0.0
    assert row.not_met == []
    row.run.breaches[RULES[0]].append(Breach(RULES[0], "planted", "1", ()))
    assert row.not_met == [f"{RULES[0]}: 1"]
    assert RULES[0] in fleet_faults.cells(row)[-3]
    row.run.lag_p99_ms["clients"] = 9.0
    assert len(row.not_met) == 2
    assert "unsound" in fleet_faults.cells(row)[-1]

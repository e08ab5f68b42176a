"""Which lines of a report of the users' bench are listed as remarks."""

from __future__ import annotations

import pytest

from rig.system.read_reports import Remark, find_remarks, main

DAY = "roll-pairs              9/12   0.91  0.913  0.981   0.000  0.000  worst windows 0.90; prices 0.057"


@pytest.mark.parametrize(
    ("line", "kind", "text"),
    [
        ("rules broken: LOST 13", "broken", "rules broken: LOST 13"),
        ("karri-ops: GATE failed", "gate", "GATE failed"),
        (
            "- 8 processes were still there at the end of the grace time and were killed",
            "killed at the end of grace",
            "8 processes were still there at the end of the grace time and were killed",
        ),
        (
            "seen: 1 process was still there at the end of the grace time and was killed",
            "killed at the end of grace",
            "1 process was still there at the end of the grace time and was killed",
        ),
        (
            "- 103 of 252 look-ups at the directory failed",
            "look-ups",
            "103 of 252 look-ups at the directory failed",
        ),
        ("  -0.0100  2.0 exits of its own", "own ends", "2.0 exits of its own"),
        ("not served, last try 'cut in the answer': 2; the first:", "not served", None),
        ("  -0.0016  26.183 worth failed untried", "untried", "26.183 worth failed untried"),
        ("  -0.0200  1.0 duties missed", "duties", "1.0 duties missed"),
    ],
)
def test_each_kind_of_trouble_is_listed_with_its_day(line, kind, text):
    (remark,) = find_remarks([DAY, line])
    assert (remark.kind, remark.day) == (kind, "roll-pairs")
    assert text is None or remark.text == text


def test_a_report_without_trouble_has_no_remarks():
    calm_lines = [
        "  -0.0000  0.0 exits of its own",
        "  -0.0000  0.0 duties missed",
        "40 days, 0 with a rule broken",
    ]
    assert find_remarks([DAY, *calm_lines]) == []


def test_the_line_that_names_a_day_may_have_a_remark():
    assert find_remarks([f"{DAY}  BROKEN: HOME 1 (else 0.82)"]) == [
        Remark("broken", "roll-pairs", "BROKEN: HOME 1 (else 0.82)")
    ]


def test_the_exit_code_is_1_for_a_broken_rule_and_2_for_a_missing_file(tmp_path, capsys):
    report = tmp_path / "report"
    report.write_text(f"{DAY}\nrules broken: HOME 1\n")
    assert main([str(report)]) == 1
    report.write_text(f"{DAY}\n- 3 of 9 look-ups at the directory failed\n")
    assert main([str(report)]) == 0
    assert "look-ups" in capsys.readouterr().out
    assert main([str(tmp_path / "none")]) == 2

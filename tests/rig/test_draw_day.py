"""Tests of the days of faults drawn for the benchmark of the users."""

from __future__ import annotations

import tomllib
from pathlib import Path

from rig.system import draw_day
from rig.system.draw_day import LENGTH_S, draw

PLANNED = ("rolls", "roll-pairs")  # days without faults
DAYS = Path(draw_day.__file__).parent / "days"


def test_a_day_is_reproducible_by_seed_and_ends_with_a_final_fault():
    days = [tomllib.loads(draw(seed)) for seed in range(200)]
    assert draw(7) == draw(7) != draw(8)
    assert {day["closing"]["kind"] for day in days} == set(draw_day.CLOSINGS)
    entries = [entry for day in days for entry in day["plan"] + day["faults"]]
    assert all(0 < entry["at"] < LENGTH_S for entry in entries)
    cuts = {word for entry in entries if entry["kind"] == "core_cut" for word in entry["how"].split()}
    assert set(draw_day.CUTS) - {""} <= cuts


def test_the_stored_days_can_be_parsed():
    for file in DAYS.glob("*.toml"):
        day = tomllib.loads(file.read_text())
        assert day["name"] == file.stem
        assert (day["closing"] and day["faults"]) if file.stem not in PLANNED else day["plan"]
        assert file.stem not in PLANNED or (day["faults"] == [] and "closing" not in day)

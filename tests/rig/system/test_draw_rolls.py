"""Days of planned work: the same seed draws the same TOML, and the day has no faults."""

from __future__ import annotations

import tomllib

from rig.system.draw_rolls import MAX_GAP_S, MIN_GAP_S, draw


def test_a_seed_draws_the_same_day_of_planned_work_only():
    assert draw(7) == draw(7) != draw(8)
    kinds = set()
    for seed in range(50):
        day = tomllib.loads(draw(seed))
        assert day["faults"] == []
        assert "closing" not in day
        rolls = [entry for entry in day["plan"] if entry["kind"] == "roll_term" and "on" not in entry]
        assert len(rolls) >= 2
        assert all(MIN_GAP_S <= entry["gap_s"] <= MAX_GAP_S for entry in rolls)
        kinds |= {entry["kind"] for entry in day["plan"]}
    assert kinds == {"roll_term", "config_race", "config_change", "evacuate", "hup", "release"}

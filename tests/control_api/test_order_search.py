"""A search over operators' calls: two changes, resends, lost answers, callers that leave, over stores that
crash, lose disks and are cut off.
"""

from __future__ import annotations

import pytest

from fordtrestle.replication import state as state_module
from tests.control_api.world import play

STEPS = 1500
SEEDS = 40


@pytest.mark.parametrize("part", range(4))
def test_operators_are_told_nothing_that_does_not_hold(part):
    worlds = [play(seed, 1 + (seed % 4 == 3), STEPS) for seed in range(part * SEEDS, (part + 1) * SEEDS)]
    changes = [change for world in worlds for change in world.told.changes]
    assert sum(change.acknowledged for change in changes) > SEEDS
    assert sum(change.refused for change in changes) > SEEDS / 2


@pytest.mark.parametrize(("taken", "prints"), [(2, 1000), (2, 4)])
def test_a_short_memory_of_calls_refuses_none_that_was_taken(taken, prints, monkeypatch):
    monkeypatch.setattr(state_module, "TAKEN_MOST", taken)
    monkeypatch.setattr(state_module, "PRINTS_MOST", prints)
    worlds = [play(seed, 1 + (seed % 4 == 3), STEPS) for seed in range(SEEDS)]
    changes = [change for world in worlds for change in world.told.changes]
    assert sum(change.acknowledged for change in changes) > SEEDS / 2
    if prints > taken:
        assert sum(change.refused for change in changes) > SEEDS / 4, "what was never taken is told so"

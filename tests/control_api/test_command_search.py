"""Searches random schedules of operators' calls for answers that break a rule.

Two changes compete, calls are sent again, answers get lost and callers disconnect, while the stores crash,
lose their disks and are partitioned.
"""

from __future__ import annotations

import pytest

from tests.control_api.world import run_seed

STEPS = 1500
SEEDS = 40


@pytest.mark.parametrize("part", range(4))
def test_all_answers_to_operators_are_true(part):
    worlds = [run_seed(seed, 1 + (seed % 4 == 3), STEPS) for seed in range(part * SEEDS, (part + 1) * SEEDS)]
    changes = [change for world in worlds for change in world.acknowledgements.changes]
    assert sum(change.acknowledged for change in changes) > SEEDS
    assert sum(change.rejected for change in changes) > SEEDS / 2

"""A search over schedules of operators' calls: two changes, resends, lost answers, callers that leave.

The stores crash, lose their disks and are partitioned meanwhile.
"""

from __future__ import annotations

import pytest

from tests.control_api.world import play

STEPS = 1500
SEEDS = 40


@pytest.mark.parametrize("part", range(4))
def test_operators_get_no_answer_that_does_not_hold(part):
    worlds = [play(seed, 1 + (seed % 4 == 3), STEPS) for seed in range(part * SEEDS, (part + 1) * SEEDS)]
    changes = [change for world in worlds for change in world.answered.changes]
    assert sum(change.acknowledged for change in changes) > SEEDS
    assert sum(change.refused for change in changes) > SEEDS / 2

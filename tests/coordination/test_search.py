"""Searches random schedules of calls with crashes, lost disks and partitions for broken rules.

The calls use locks, numbers, keys and watches.
"""

from __future__ import annotations

from collections import Counter

import pytest

from rig.coordination.history import Operation, Outcome
from tests.coordination.world import run_seed

STEPS = 2500
SEEDS = 12


@pytest.mark.parametrize("part", range(4))
def test_no_history_of_calls_breaks_a_rule(part):
    calls = []
    for seed in range(part * SEEDS, (part + 1) * SEEDS):
        calls += run_seed(seed, 1 + (seed % 4 == 3), STEPS)
    done = Counter(call.operation for call in calls if call.outcome is Outcome.DONE)
    assert min(done[operation] for operation in Operation) > SEEDS / 4

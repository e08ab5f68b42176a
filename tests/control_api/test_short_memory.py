"""The search over schedules of operators' calls, with stores that remember two calls and few prints.

A file of its own: guards stop at their first failing test, and this one takes long.
"""

from __future__ import annotations

import pytest

from fordtrestle.replication import state as state_module
from tests.control_api.test_order_search import SEEDS, STEPS
from tests.control_api.world import play


@pytest.mark.parametrize(("taken", "prints"), [(2, 1000), (2, 4)])
def test_a_short_memory_of_calls_refuses_none_that_was_taken(taken, prints, monkeypatch):
    monkeypatch.setattr(state_module, "MAX_APPLIED_CALLS", taken)
    monkeypatch.setattr(state_module, "MAX_DIGEST_PREFIXES", prints)
    worlds = [play(seed, 1 + (seed % 4 == 3), STEPS) for seed in range(SEEDS)]
    changes = [change for world in worlds for change in world.told.changes]
    assert sum(change.acknowledged for change in changes) > SEEDS / 2
    if prints > taken:
        assert sum(change.refused for change in changes) > SEEDS / 4, "what was never taken is told so"

"""Repeats the search of operators' calls with stores that remember two calls and few digest prefixes.

It has a file of its own because the run of a guard stops at the first failing test, and this one takes long.
"""

from __future__ import annotations

import pytest

from fordtrestle.replication import state as state_module
from tests.control_api.test_command_search import SEEDS, STEPS
from tests.control_api.world import run_seed


@pytest.mark.parametrize(("calls", "prefixes"), [(2, 1000), (2, 4)])
def test_stores_that_remember_few_calls_reject_no_applied_call(calls, prefixes, monkeypatch):
    monkeypatch.setattr(state_module, "MAX_APPLIED_CALLS", calls)
    monkeypatch.setattr(state_module, "MAX_DIGEST_PREFIXES", prefixes)
    worlds = [run_seed(seed, 1 + (seed % 4 == 3), STEPS) for seed in range(SEEDS)]
    changes = [change for world in worlds for change in world.acknowledgements.changes]
    assert sum(change.acknowledged for change in changes) > SEEDS / 2
    if prefixes > calls:
        assert sum(change.rejected for change in changes) > SEEDS / 4, (
            "calls that were never applied are rejected"
        )

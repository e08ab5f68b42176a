"""The search over schedules of operators' calls, with stores that remember two calls and few digest prefixes.

A file of its own: guards stop at their first failing test, and this one takes long.
"""

from __future__ import annotations

import pytest

from fordtrestle.replication import state as state_module
from tests.control_api.test_command_search import SEEDS, STEPS
from tests.control_api.world import play


@pytest.mark.parametrize(("calls", "prefixes"), [(2, 1000), (2, 4)])
def test_a_short_memory_of_calls_refuses_none_that_was_applied(calls, prefixes, monkeypatch):
    monkeypatch.setattr(state_module, "MAX_APPLIED_CALLS", calls)
    monkeypatch.setattr(state_module, "MAX_DIGEST_PREFIXES", prefixes)
    worlds = [play(seed, 1 + (seed % 4 == 3), STEPS) for seed in range(SEEDS)]
    changes = [change for world in worlds for change in world.answered.changes]
    assert sum(change.acknowledged for change in changes) > SEEDS / 2
    if prefixes > calls:
        assert sum(change.refused for change in changes) > SEEDS / 4, "what was never applied is refused"

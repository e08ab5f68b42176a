"""A search over schedules of crashes, lost disks, cuts, and messages and syncs in any order.

Nothing acknowledged is ever lost, no read lacks what was acknowledged before it was asked, and once nothing
is broken any more a primary serves. Where a guard is taken out the search has to find the breach
(`guards.py`); guards that it meets too seldom have a schedule of their own in `test_hard_cases.py`.
"""

from __future__ import annotations

import pytest

from tests.replication.guards import FOUND_BY_SEARCH
from tests.replication.world import Breach, World

STEPS = 1500
SEEDS = 60
SEEDS_MOST = 1500  # that a breach may take to be found


def play(seed: int, machines: int, kind: type[World] = World) -> int:
    """Play one schedule and let it heal; how many writes were acknowledged."""
    world = kind(seed, machines)
    for _ in range(STEPS):
        world.step()
    primary = world.heal()
    acknowledged = [write for write in world.writes if write.acknowledged]
    world.expect(primary, acknowledged, "the primary after all healed lacks")
    return len(acknowledged)


@pytest.mark.parametrize("machines", [1, 2])
@pytest.mark.parametrize("part", range(4))
def test_nothing_acknowledged_is_lost_whatever_happens(machines, part):
    acknowledged = [play(seed, machines) for seed in range(part * SEEDS, (part + 1) * SEEDS)]
    assert sum(acknowledged) > SEEDS / 2


@pytest.mark.parametrize("guard", FOUND_BY_SEARCH)
def test_the_search_finds_what_each_guard_prevents(guard, monkeypatch):
    FOUND_BY_SEARCH[guard](monkeypatch)
    with pytest.raises(Breach):
        for seed in range(SEEDS_MOST):
            play(seed, 1 + (seed % 4 == 3))

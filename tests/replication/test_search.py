"""A search over schedules of crashes, lost disks, cuts, and messages and syncs in any order.

Nothing acknowledged is ever lost, no read lacks what was acknowledged before it was asked, and once nothing
is broken any more a primary serves. Where a guard is taken out the search has to find what breaks
(`guards.py`); guards that it meets too seldom have a schedule of their own in `test_hard_cases.py`.
"""

from __future__ import annotations

import pytest

from tests.replication.guards import FOUND_BY_SEARCH
from tests.replication.world import InvariantError, World

STEPS = 1500
SEEDS = 60
MAX_SEEDS = 1500  # that it may take to find what a missing guard breaks


def play(seed: int, machines: int, kind: type[World] = World) -> int:
    """Play one schedule and let it heal; how many writes were acknowledged."""
    world = kind(seed, machines)
    for _ in range(STEPS):
        world.step()
    primary = world.heal()
    acknowledged = [write for write in world.writes if write.acknowledged]
    world.expect(primary, acknowledged, "the primary after all healed lacks")
    return len(acknowledged)


def play_until_broken() -> None:
    """Play schedules of three stores, and now and then of five, until one breaks an invariant."""
    for seed in range(MAX_SEEDS):
        play(seed, 1 + (seed % 4 == 3))


@pytest.mark.parametrize("machines", [1, 2])
@pytest.mark.parametrize("part", range(4))
def test_drawn_schedules_lose_nothing_acknowledged(machines, part):
    acknowledged = [play(seed, machines) for seed in range(part * SEEDS, (part + 1) * SEEDS)]
    assert sum(acknowledged) > SEEDS / 2


@pytest.mark.parametrize("guard", FOUND_BY_SEARCH)
def test_search_without_a_guard_finds_what_it_prevents(guard, monkeypatch):
    FOUND_BY_SEARCH[guard](monkeypatch)
    with pytest.raises(InvariantError):
        play_until_broken()

"""Randomized search over schedules of crashes, lost disks, partitions and reordered messages and syncs.

No acknowledged write may be lost, no read may lack a write acknowledged before it, and a primary must serve
once all faults have ended. With a guard removed, the search must find a violation (`guards.py`). Guards that
random schedules exercise too rarely have their own schedules in `test_hard_cases.py`.
"""

from __future__ import annotations

import pytest

from tests.replication.guards import FOUND_BY_SEARCH
from tests.replication.world import InvariantError, World

STEPS = 1500
SEEDS = 60
MAX_SEEDS = 1500  # within which the violation of a removed guard must be found


def play(seed: int, tolerated_failures: int, kind: type[World] = World) -> int:
    """Run one random schedule, heal, and return the number of acknowledged writes."""
    world = kind(seed, tolerated_failures)
    for _ in range(STEPS):
        world.step()
    primary = world.heal()
    acknowledged = [write for write in world.writes if write.acknowledged]
    world.expect_writes(primary, acknowledged, "after healing, the primary lacks")
    return len(acknowledged)


def play_until_broken() -> None:
    """Run schedules of three stores, and every fourth time of five, until one violates an invariant."""
    for seed in range(MAX_SEEDS):
        play(seed, 1 + (seed % 4 == 3))


@pytest.mark.parametrize("tolerated_failures", [1, 2])
@pytest.mark.parametrize("part", range(4))
def test_drawn_schedules_lose_nothing_acknowledged(tolerated_failures, part):
    acknowledged = [play(seed, tolerated_failures) for seed in range(part * SEEDS, (part + 1) * SEEDS)]
    assert sum(acknowledged) > SEEDS / 2


@pytest.mark.parametrize("guard", FOUND_BY_SEARCH)
def test_search_without_a_guard_finds_what_it_prevents(guard, monkeypatch):
    FOUND_BY_SEARCH[guard](monkeypatch)
    with pytest.raises(InvariantError):
        play_until_broken()

"""Short prompts get higher priorities than long ones, by their rank among recent ones."""

from __future__ import annotations

import random

from fordtrestle.admission.priority_assigner import (
    HIGHEST_LEVEL,
    LEVELS,
    MAX_REMEMBERED,
    MIN_REMEMBERED,
    PriorityAssigner,
)


def test_requests_without_a_prompt_and_the_first_requests_get_no_priority():
    assigner = PriorityAssigner()
    assert assigner.assign(None) is None
    assert [assigner.assign(10) for _ in range(MIN_REMEMBERED - 1)] == [None] * (MIN_REMEMBERED - 1)


def test_priorities_follow_the_rank_of_a_size_among_recent_ones_whatever_their_scale():
    for scale in (1, 1000):
        assigner, rng = PriorityAssigner(), random.Random(1)
        for _ in range(MAX_REMEMBERED):
            assigner.assign(int(scale * rng.uniform(100, 1000)))
        levels = [assigner.assign(scale * size) for size in (150, 550, 950)]
        assert levels == [HIGHEST_LEVEL, HIGHEST_LEVEL + 1, HIGHEST_LEVEL + LEVELS - 1]

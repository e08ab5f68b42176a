"""Short prompts are told to be more urgent than long ones, as they stand among those of late."""

from __future__ import annotations

import random

from fordtrestle.admission.priority_assigner import (
    HIGHEST_LEVEL,
    LEVELS,
    MAX_REMEMBERED,
    MIN_REMEMBERED,
    PriorityAssigner,
)


def test_nothing_is_said_of_requests_without_a_prompt_or_before_there_are_some_to_compare_with():
    urgency = PriorityAssigner()
    assert urgency.assign(None) is None
    assert [urgency.assign(10) for _ in range(MIN_REMEMBERED - 1)] == [None] * (MIN_REMEMBERED - 1)


def test_levels_follow_the_sizes_of_late_whatever_their_scale():
    for scale in (1, 1000):
        urgency, rng = PriorityAssigner(), random.Random(1)
        for _ in range(MAX_REMEMBERED):
            urgency.assign(int(scale * rng.uniform(100, 1000)))
        levels = [urgency.assign(scale * size) for size in (150, 550, 950)]
        assert levels == [HIGHEST_LEVEL, HIGHEST_LEVEL + 1, HIGHEST_LEVEL + LEVELS - 1]

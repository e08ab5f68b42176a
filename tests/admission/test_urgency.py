"""Short prompts are told to be more urgent than long ones, as they stand among those of late."""

from __future__ import annotations

import random

from fordtrestle.admission.urgency import FIRST, LEAST, LEVELS, REMEMBERED, Urgency


def test_nothing_is_said_of_requests_without_a_prompt_or_before_there_are_some_to_compare_with():
    urgency = Urgency()
    assert urgency.level(None) is None
    assert [urgency.level(10) for _ in range(LEAST - 1)] == [None] * (LEAST - 1)


def test_levels_follow_the_sizes_of_late_whatever_their_scale():
    for scale in (1, 1000):
        urgency, rng = Urgency(), random.Random(1)
        for _ in range(REMEMBERED):
            urgency.level(int(scale * rng.uniform(100, 1000)))
        levels = [urgency.level(scale * size) for size in (150, 550, 950)]
        assert levels == [FIRST, FIRST + 1, FIRST + LEVELS - 1]

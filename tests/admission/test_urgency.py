"""Short prompts are told to be more urgent than long ones, as they stand among those of late."""

from __future__ import annotations

import random

from fordtrestle.admission.urgency import FIRST, LEAST, LEVELS, REMEMBERED, Urgency
from fordtrestle.routing.pick import NO_PROMPT, Prompt


def prompt(own: int) -> Prompt:
    return Prompt(own, 10, (("shared", 5000), ("own", own)))


def test_nothing_is_said_of_requests_without_a_prompt_or_before_there_are_some_to_compare_with():
    urgency = Urgency()
    assert urgency.level(NO_PROMPT) is None
    assert [urgency.level(prompt(10)) for _ in range(LEAST - 1)] == [None] * (LEAST - 1)


def test_levels_follow_the_sizes_of_late_whatever_their_scale():
    for scale in (1, 1000):
        urgency, rng = Urgency(), random.Random(1)
        for _ in range(REMEMBERED):
            urgency.level(prompt(int(scale * rng.uniform(100, 1000))))
        levels = [urgency.level(prompt(scale * size)) for size in (150, 550, 950)]
        assert levels == [FIRST, FIRST + 1, FIRST + LEVELS - 1]


def test_what_is_shared_with_others_does_not_count():
    urgency = Urgency()
    for size in range(LEAST):
        urgency.level(prompt(size))
    assert urgency.level(Prompt(9000, 10, (("shared", 9000), ("own", 0)))) == FIRST

"""The mix of requests: shares by weight, keys by Zipf's law, and independent draws."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from fordtrestle.load.mix import MAX_KEYS, ClassWeight, Mix, WeightedChoice, key_text, zipf_choice

CLASSES = (ClassWeight("look", 3.0, 500_000, False), ClassWeight("pay", 1.0, 900_000, True))
TENANTS = (("acme", 1.0), ("other", 1.0))
SIZES = ((10, 1.0), (2000, 1.0))


def draw_requests(count=20_000, seed=1, **more):
    return list(Mix(CLASSES, TENANTS, SIZES, **more).requests(range(count), random.Random(seed).random))


def test_classes_and_tenants_come_by_their_shares():
    rows = draw_requests()
    classes = Counter(row.class_name for row in rows)
    assert classes["look"] / len(rows) == pytest.approx(0.75, abs=0.015)
    assert Counter(row.tenant for row in rows)["acme"] / len(rows) == pytest.approx(0.5, abs=0.015)
    assert {row.budget_us for row in rows if row.class_name == "pay"} == {900_000}


def test_requests_of_a_class_without_a_body_have_size_0():
    rows = draw_requests()
    assert {row.size for row in rows if row.class_name == "look"} == {0}
    assert {row.size for row in rows if row.class_name == "pay"} == {10, 2000}


def test_keys_follow_zipf():
    draw = random.Random(3).random
    keys = zipf_choice(1000, 1.0)
    ranks = Counter(keys.pick(draw) for _ in range(50_000))
    weight_sum = sum(1.0 / n for n in range(1, 1001))
    for rank in (0, 1, 9):
        assert ranks[rank] / 50_000 == pytest.approx(1.0 / (rank + 1) / weight_sum, rel=0.1)
    assert max(ranks) < 1000


def test_keys_are_distinct_and_16_digits():
    keys = {key_text(rank) for rank in range(10_000)}
    assert len(keys) == 10_000
    assert {len(key) for key in keys} == {16}


def test_a_lower_share_of_keys_leaves_the_other_keys_as_they_were():
    full, half = (
        draw_requests(keys=zipf_choice(50, 1.0)),
        draw_requests(keys=zipf_choice(50, 1.0), keyed_share=0.5),
    )
    assert sum(not row.key for row in half) / len(half) == pytest.approx(0.5, abs=0.015)
    assert all(
        b.key in ("", a.key) and a._replace(key="") == b._replace(key="")
        for a, b in zip(full, half, strict=True)
    )


def test_same_draws_same_requests():
    assert draw_requests(seed=4) == draw_requests(seed=4) != draw_requests(seed=5)


def test_extreme_draws_pick_an_index_within_range():
    assert WeightedChoice([0.1, 0.2]).pick(lambda: 1.0 - 2**-53) == 1
    assert WeightedChoice([0.0, 1.0]).pick(lambda: 0.0) == 1
    assert WeightedChoice([1.0, 0.0]).pick(lambda: 1.0) in (0, 1)


@pytest.mark.parametrize(
    "make",
    [lambda: WeightedChoice([]), lambda: WeightedChoice([0.0]), lambda: zipf_choice(MAX_KEYS + 1, 1.0)],
)
def test_weights_without_one_above_0_and_too_many_keys_are_rejected(make):
    with pytest.raises(
        ValueError, match=r"at least one share above 0|expected 1 to 1000000 keys, not 1000001"
    ):
        make()

"""Mixes: stated shares, keys by Zipf's law, and draws that do not disturb one another."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from fordtrestle.load.mix import KEYS_MOST, Kind, Mix, Shares, key_text, zipf

KINDS = (Kind("look", 3.0, 500_000, False), Kind("pay", 1.0, 900_000, True))
TENANTS = (("acme", 1.0), ("other", 1.0))
SIZES = ((10, 1.0), (2000, 1.0))


def made(count=20_000, seed=1, **more):
    return list(Mix(KINDS, TENANTS, SIZES, **more).requests(range(count), random.Random(seed).random))


def test_shares_are_kept():
    rows = made()
    kinds = Counter(row.kind for row in rows)
    assert kinds["look"] / len(rows) == pytest.approx(0.75, abs=0.015)
    assert Counter(row.tenant for row in rows)["acme"] / len(rows) == pytest.approx(0.5, abs=0.015)
    assert {row.budget_us for row in rows if row.kind == "pay"} == {900_000}


def test_a_class_without_a_body_has_none():
    rows = made()
    assert {row.size for row in rows if row.kind == "look"} == {0}
    assert {row.size for row in rows if row.kind == "pay"} == {10, 2000}


def test_keys_follow_zipf():
    draw = random.Random(3).random
    keys = zipf(1000, 1.0)
    ranks = Counter(keys.pick(draw) for _ in range(50_000))
    whole = sum(1.0 / n for n in range(1, 1001))
    for rank in (0, 1, 9):
        assert ranks[rank] / 50_000 == pytest.approx(1.0 / (rank + 1) / whole, rel=0.1)
    assert max(ranks) < 1000


def test_keys_are_distinct_and_16_digits():
    keys = {key_text(rank) for rank in range(10_000)}
    assert len(keys) == 10_000
    assert {len(key) for key in keys} == {16}


def test_a_share_of_requests_without_key_leaves_the_others_as_they_were():
    whole, half = made(keys=zipf(50, 1.0)), made(keys=zipf(50, 1.0), keyed_share=0.5)
    assert sum(not row.key for row in half) / len(half) == pytest.approx(0.5, abs=0.015)
    assert all(
        b.key in ("", a.key) and a._replace(key="") == b._replace(key="")
        for a, b in zip(whole, half, strict=True)
    )


def test_same_draws_same_requests():
    assert made(seed=4) == made(seed=4) != made(seed=5)


def test_the_last_share_takes_the_highest_draw():
    assert Shares([0.1, 0.2]).pick(lambda: 1.0 - 2**-53) == 1
    assert Shares([0.0, 1.0]).pick(lambda: 0.0) == 1
    assert Shares([1.0, 0.0]).pick(lambda: 1.0) in (0, 1)


@pytest.mark.parametrize(
    "make", [lambda: Shares([]), lambda: Shares([0.0]), lambda: zipf(KEYS_MOST + 1, 1.0)]
)
def test_what_is_no_share_is_refused(make):
    with pytest.raises(ValueError):
        make()

"""Schedules of send times: reproducible by seed, at the requested rate, in order, and lazy."""

from __future__ import annotations

import math
import random
from itertools import islice, pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fordtrestle.load import arrivals
from fordtrestle.load.arrivals import (
    Piece,
    even_counts,
    merge_schedules,
    pieces_until,
    poisson_counts,
    send_times_us,
)


def even_times(pieces, length_s):
    return list(send_times_us(pieces_until(pieces, length_s), even_counts()))


def poisson_times(pieces, length_s, seed=1):
    return list(send_times_us(pieces_until(pieces, length_s), poisson_counts(random.Random(seed).random)))


def count(schedule, from_s, to_s):
    return sum(from_s * 1e6 <= at < to_s * 1e6 for at in schedule)


def test_a_constant_rate_is_evenly_spaced_from_the_first_moment():
    assert even_times(arrivals.constant(4.0), 1.5) == [0, 250_000, 500_000, 750_000, 1_000_000, 1_250_000]


def test_a_constant_rate_does_not_drift_from_one_hour_to_the_next():
    first = islice(send_times_us(arrivals.constant(3.0), even_counts()), 10_799, 10_802)
    assert list(first) == [3_599_666_666, 3_600_000_000, 3_600_333_333]


def test_bursts_begin_with_the_on_rate_and_have_no_arrivals_between():
    schedule = even_times(arrivals.bursts(20_000.0, 0.001, 0.0, 0.099), 0.3)
    assert len(schedule) == 60
    assert {at // 1000 for at in schedule} == {0, 100, 200}


def test_a_ramp_reaches_its_rate_and_stays_there():
    schedule = even_times(arrivals.ramp(0.0, 100.0, 10.0), 12.0)
    assert count(schedule, 0, 5) == 125  # a quarter of the 500 up to 10 s
    assert count(schedule, 5, 10) == 375
    assert count(schedule, 10, 12) == 200


def test_a_ramp_down_to_0_ends_all_arrivals():
    schedule = even_times(arrivals.ramp(100.0, 0.0, 10.0), 20.0)
    assert len(schedule) == 500
    assert schedule[-1] < 10_000_000


def test_a_wave_keeps_its_mean_and_swings():
    schedule = even_times(arrivals.wave(100.0, 50.0, 4.0), 40.0)
    assert len(schedule) == 4000
    up, down = count(schedule, 0, 2), count(schedule, 2, 4)
    assert up == pytest.approx(200 + 2 * 50 * 2 / math.pi, abs=1)
    assert down == pytest.approx(200 - 2 * 50 * 2 / math.pi, abs=1)


def test_steps_follow_one_another_and_the_last_one_stays():
    schedule = even_times(arrivals.steps([10.0, 0.0, 30.0], 2.0), 8.0)
    assert [count(schedule, at, at + 2) for at in (0, 2, 4, 6)] == [20, 0, 60, 60]


def test_poisson_gaps_are_exponential():
    schedule = poisson_times(arrivals.constant(1000.0), 50.0)
    gaps = sorted(b - a for a, b in pairwise(schedule))
    distance = max(abs(1.0 - math.exp(-gap / 1000.0) - i / len(gaps)) for i, gap in enumerate(gaps))
    assert distance < 1.95 / math.sqrt(len(gaps))  # Kolmogorov-Smirnov at 0.1%; the seed is fixed


def test_poisson_follows_the_rate_of_its_pieces():
    schedule = poisson_times(arrivals.steps([100.0, 400.0], 50.0), 100.0)
    assert count(schedule, 0, 50) == pytest.approx(5000, abs=4 * math.sqrt(5000))
    assert count(schedule, 50, 100) == pytest.approx(20_000, abs=4 * math.sqrt(20_000))


def test_the_same_draws_make_the_same_schedule():
    assert poisson_times(arrivals.wave(50.0, 50.0, 3.0), 10.0, 7) == poisson_times(
        arrivals.wave(50.0, 50.0, 3.0), 10.0, 7
    )
    assert poisson_times(arrivals.constant(50.0), 10.0, 7) != poisson_times(arrivals.constant(50.0), 10.0, 8)


def test_merged_schedules_are_in_order_and_complete():
    parts = [[0, 5, 9], [1, 5, 5], [2]]
    assert list(merge_schedules(map(iter, parts))) == [0, 1, 2, 5, 5, 5, 9]


def test_a_start_moves_all_times():
    assert list(send_times_us(pieces_until(arrivals.constant(2.0), 1.0), even_counts(), 300)) == [
        300,
        500_300,
    ]


def test_schedules_are_lazy():
    assert list(islice(send_times_us(arrivals.constant(1e6), even_counts()), 3)) == [0, 1, 2]


PIECE = st.builds(Piece, st.floats(0, 500), st.floats(0, 500), st.floats(0.001, 2.0))


@given(st.lists(PIECE, max_size=6), st.integers(0, 5))
def test_any_pieces_give_times_in_order_and_about_as_many_as_expected(pieces, seed):
    for counts in (even_counts(), poisson_counts(random.Random(seed).random)):
        schedule = list(send_times_us(pieces, counts))
        assert schedule == sorted(schedule)
        assert all(0 <= at <= sum(p.length_s for p in pieces) * 1e6 + 1 for at in schedule)
    assert len(list(send_times_us(pieces, even_counts()))) == pytest.approx(
        sum(p.expected_count for p in pieces), abs=1.001
    )


@pytest.mark.parametrize(
    "make",
    [
        lambda: Piece(-1.0, 0.0, 1.0),
        lambda: Piece(0.0, math.inf, 1.0),
        lambda: Piece(0.0, 1.0, 0.0),
        lambda: arrivals.wave(1.0, 2.0, 1.0),
        lambda: arrivals.steps([], 1.0),
    ],
)
def test_invalid_pieces_and_shapes_are_rejected(make):
    with pytest.raises(ValueError, match=r"a rate is|a piece lasts|a wave swings|steps need"):
        make()

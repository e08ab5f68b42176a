"""What clocks may do, and what of it ends a lease."""

from __future__ import annotations

import random

import pytest

from fordtrestle.cluster.clocks import PEERS_MOST, WINDOW_MS, Rates, Reading, Sample, Watch

AT = Reading(1000.0, 5000.0, 1000.0)


@pytest.mark.parametrize(
    ("then", "why"),
    [
        (Reading(1050.0, 5050.0, 1050.0), ""),
        (Reading(1050.0, 5149.0, 1050.0), ""),
        (Reading(1050.0, 15050.0, 1050.0), "jump"),
        (Reading(1050.0, -4950.0, 1050.0), "jump"),
        (Reading(1050.0, float("nan"), 1050.0), "jump"),
        (Reading(1050.0, 61050.0, 61050.0), "asleep"),
        (Reading(1050.0, 61050.0), "jump"),  # a sleep that no clock counts
        (Reading(2500.0, 6500.0, 2500.0), "stalled"),
        (Reading(900.0, 4900.0, 900.0), "back"),
        (Reading(float("nan"), 5050.0, 1050.0), "back"),
        (Reading(1050.0, 5050.0, 800.0), "back"),
    ],
)
def test_a_jump_or_a_stop_ends_a_lease_once(then, why):
    watch = Watch(tolerance_ms=100.0, stall_ms=1000.0)
    assert watch.look(AT) == ""
    assert watch.look(then) == why
    assert watch.look(then) == (why if then.mono_ms != then.mono_ms or then.wall_ms != then.wall_ms else "")
    assert watch.counts[why] >= bool(why)


def test_a_wall_clock_that_is_put_right_slowly_is_no_jump():
    watch = Watch(tolerance_ms=100.0, stall_ms=1e9)
    watch.look(AT)
    assert watch.look(Reading(601_000.0, 605_000.0 + 300.0)) == ""  # 500 ppm over ten minutes


def trips(rates, rng, ppm, peer="p", start_ms=0.0, until_ms=2.2 * WINDOW_MS, offset_ms=777.0):
    """Round trips of 1 to 40 ms either way to a peer whose clock is off by so much."""
    for at_ms in range(int(start_ms), int(until_ms), 500):
        there, back = rng.uniform(1.0, 40.0), rng.uniform(1.0, 40.0)
        peer_ms = offset_ms + (at_ms + there) * (1.0 + ppm / 1e6)
        rates.sample(peer, Sample(float(at_ms), peer_ms, at_ms + there + back))


@pytest.mark.parametrize("ppm", [-5000.0, -500.0, 0.0, 500.0, 5000.0])
def test_bounds_hold_the_true_rate_and_offset_whatever_the_network_does(ppm):
    rates = Rates(1000.0)
    trips(rates, random.Random(3), ppm)
    low, high = rates.ppm("p")
    assert low <= ppm <= high
    assert high - low < 2 * 2 * 80.0 / WINDOW_MS * 1e6
    now_ms = 2.3 * WINDOW_MS
    if abs(ppm) <= 1000.0:
        low, high = rates.offset_ms("p", now_ms)
        assert low <= 777.0 + now_ms * ppm / 1e6 <= high
        assert high - low < 40.0
    assert bool(rates.doubt()) == (abs(ppm) == 5000.0)


def test_a_clock_beyond_its_bound_is_told_once_and_so_is_its_return():
    rates, rng = Rates(1000.0), random.Random(1)
    assert (rates.ppm("p"), rates.offset_ms("p", 0.0), rates.news()) == (None, None, "")
    trips(rates, rng, 9000.0)
    assert "no lease is held: the clock runs by at least" in rates.news()
    assert rates.news() == ""
    trips(rates, rng, 0.0, start_ms=10 * WINDOW_MS, until_ms=13 * WINDOW_MS)
    assert rates.news() == "the clock is believed again"
    assert rates.news() == ""


def test_of_three_peers_one_that_is_off_is_not_believed_and_two_are():
    rates, rng = Rates(1000.0), random.Random(2)
    for peer, ppm in (("a", 0.0), ("b", 9000.0), ("c", 100.0)):
        trips(rates, rng, ppm, peer)
    assert rates.doubt() == ""
    trips(rates, rng, 9000.0, "c", start_ms=10 * WINDOW_MS, until_ms=13 * WINDOW_MS, offset_ms=9999.0)
    assert "2 of 3 peers measured say so" in rates.doubt()


def test_another_life_of_a_peer_begins_anew_and_peers_are_bounded():
    rates, rng = Rates(1000.0), random.Random(4)
    trips(rates, rng, 9000.0)
    rates.sample("p", Sample(3 * WINDOW_MS, 5.0, 3 * WINDOW_MS + 1.0))
    assert rates.ppm("p") is None
    for bad in (float("nan"), float("inf")):
        rates.sample("q", Sample(0.0, bad, 1.0))
        rates.sample("q", Sample(0.0, 1.0, bad))
    rates.sample("q", Sample(1.0, 1.0, 0.0))
    assert rates.offset_ms("q", 0.0) is None
    for i in range(2 * PEERS_MOST):
        rates.sample(f"n{i}", Sample(0.0, 0.0, 1.0))
    assert len(rates._peers) == PEERS_MOST

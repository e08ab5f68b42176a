"""Faulty clocks: they drift as set, the loop's clock never goes back, and timers fire when they are due."""

from __future__ import annotations

import asyncio
import math
import selectors

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rig.cluster.clocks import ClockError, Drift, SkewedClock, SkewedSelector, skewed_loop

PPM = st.integers(-100_000, 100_000)


class Hands:
    """Clocks that a test moves forward."""

    def __init__(self):
        self.monotonic, self.unix = 1000.0, 1.7e9

    def pass_s(self, seconds):
        self.monotonic += seconds
        self.unix += seconds

    def clock(self):
        return SkewedClock(lambda: self.unix, lambda: self.monotonic)


@given(st.lists(st.tuples(st.floats(0.0, 1e6), PPM), max_size=30))
def test_a_drifting_clock_never_goes_back_nor_jumps_as_its_drift_changes(changes):
    drift, real, before = Drift(), 5.0, 5.0
    for passed, ppm in changes:
        rate, real = drift.rate, real + passed
        now = drift.at(real)
        assert now >= before
        assert math.isclose(now - before, passed * rate, rel_tol=1e-9, abs_tol=1e-5)
        drift.change(ppm, real)
        assert drift.at(real) == now
        before = now


@given(PPM, st.floats(0.001, 1e5))
def test_a_span_of_its_seconds_takes_the_real_time_in_which_it_passes(ppm, span):
    drift = Drift()
    drift.change(ppm, 0.0)
    assert math.isclose(drift.at(drift.real_s(span)), span, rel_tol=1e-9)


def test_the_wall_clock_jumps_drifts_and_is_reset_while_the_loop_continues():
    hands = Hands()
    clock = hands.clock()
    clock.jump(-10_000)
    assert clock.wall() == pytest.approx(hands.unix - 10.0)
    assert clock.time() == hands.monotonic
    clock.drift(500)
    hands.pass_s(100.0)
    assert clock.wall() == pytest.approx(hands.unix - 10.0 + 0.05)
    assert clock.time() == pytest.approx(hands.monotonic + 0.05)
    clock.reset_to_real_time()
    assert clock.wall() == pytest.approx(hands.unix)
    assert clock.time() == pytest.approx(1100.05)
    hands.pass_s(100.0)
    assert clock.wall() == pytest.approx(hands.unix)
    assert clock.time() == pytest.approx(1200.05)


@pytest.mark.parametrize("wrong", [math.nan, math.inf, 1e12])
def test_jumps_and_drifts_beyond_the_limits_are_refused(wrong):
    clock = SkewedClock()
    with pytest.raises(ClockError, match="jump_ms"):
        clock.jump(wrong)
    with pytest.raises(ClockError, match="drift_ppm"):
        clock.drift(wrong)
    assert abs(clock.time() - clock.time()) < 1.0


def test_a_selector_waits_in_drifted_time(monkeypatch):
    waited = []
    monkeypatch.setattr(
        selectors.EpollSelector, "select", lambda self, timeout=None: waited.append(timeout) or []
    )
    drift = Drift()
    selector = SkewedSelector(drift)
    try:
        for ppm in (0, 100_000, -100_000):
            drift.change(ppm, 0.0)
            selector.select(1.1)
        selector.select(None)
    finally:
        selector.close()
    assert waited == [pytest.approx(1.1), pytest.approx(1.0), pytest.approx(1.1 / 0.9), None]


@pytest.mark.parametrize("ppm", [-100_000, 100_000])
def test_timers_of_a_drifting_loop_fire_in_order_and_none_too_early(ppm):
    clock = SkewedClock()
    clock.drift(ppm)
    loop = skewed_loop(clock)
    fired = []

    async def run():
        began = loop.time()
        for delay in (0.06, 0.02, 0.04):
            loop.call_later(delay, lambda due=began + delay: fired.append((due, loop.time())))
        await asyncio.sleep(0.08)

    try:
        loop.run_until_complete(asyncio.wait_for(run(), 10.0))
    finally:
        loop.close()
    assert fired == sorted(fired)
    assert len(fired) == 3
    assert all(now >= due - 0.001 for due, now in fired)

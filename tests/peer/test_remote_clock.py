"""The steady clock of another process is never overestimated, however late its readings arrive."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from fordtrestle.peer.remote_clock import MAX_DRIFT, ClockReading, RemoteClock

OFFSET_S = 5000.0  # by which the other clock shows more
DELAYS_S = st.floats(0.0, 5.0)
RATES = st.floats(1 - MAX_DRIFT / 2, 1 + MAX_DRIFT / 2)


def test_the_reading_that_was_on_its_way_for_the_shortest_time_counts():
    clock = RemoteClock(ClockReading("c", OFFSET_S + 10.0), 13.0)  # 3 s on its way
    assert clock.earliest(13.0) == OFFSET_S + 10.0
    clock.on_reading(ClockReading("c", OFFSET_S + 14.0), 14.05)
    assert abs(clock.earliest(14.05) - (OFFSET_S + 14.0)) < 1e-9
    clock.on_reading(ClockReading("c", OFFSET_S + 15.0), 17.0)  # 2 s on its way
    assert OFFSET_S + 16.9 < clock.earliest(17.0) < OFFSET_S + 17.0


@given(st.lists(st.tuples(st.floats(0.0, 100.0), DELAYS_S), min_size=1, max_size=20), RATES, DELAYS_S)
def test_a_time_is_never_later_than_the_other_clock_shows(readings, rate, ahead_s):
    clock = None
    now = 0.0
    for gap_s, delay_s in readings:
        now += gap_s + delay_s
        reading = ClockReading("c", OFFSET_S + rate * (now - delay_s))
        if clock is None:
            clock = RemoteClock(reading, now)
        else:
            clock.on_reading(reading, now)
    local = now + ahead_s
    assert clock.earliest(local) <= OFFSET_S + rate * local + 1e-6

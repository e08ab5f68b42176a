"""How the prefill rate is estimated from responses."""

from __future__ import annotations

from fordtrestle.routing.prefill_rate import PrefillRate


def test_the_prefill_rate_is_that_of_the_fastest_recent_responses():
    rate = PrefillRate()
    assert rate.duration_s(1000) == 0.0
    rate.record(1000, 0.1)
    rate.record(1000, 3.0)
    rate.record(10, 0.0001)
    assert 0.1 <= rate.duration_s(1000) < 0.103
    for _ in range(300):
        rate.record(1000, 0.5)
    assert rate.duration_s(1000) > 0.45

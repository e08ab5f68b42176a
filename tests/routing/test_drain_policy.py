"""What a sidecar that is told to end at 100 s and cuts what is open at 107 s still takes."""

from __future__ import annotations

import pytest

from fordtrestle.routing.drain_policy import DrainPolicy
from fordtrestle.routing.route import RouteType

STREAM, OTHER = RouteType.STREAMING, RouteType.UNSAFE


@pytest.mark.parametrize(
    ("kind", "tokens_out", "arrived", "taken"),
    [
        (STREAM, 0, 102.6, True),  # all streams, for as long as the rules bear their being cut
        (STREAM, 100_000, 102.6, True),
        (STREAM, 0, 102.7, False),  # nothing says how long it will last
        (STREAM, 100_000, 102.7, False),
        (STREAM, 50, 104.7, True),  # 50 tokens are sent within 2.2 s
        (STREAM, 50, 104.9, False),
        (OTHER, 0, 105.4, True),
        (OTHER, 0, 105.6, False),
    ],
)
def test_requests_that_can_be_finished_are_accepted(kind, tokens_out, arrived, taken):
    assert DrainPolicy.draining(100.0, 107.0).accepts(kind, tokens_out, arrived) is taken


@pytest.mark.parametrize("kind", RouteType)
def test_a_sidecar_that_does_not_drain_accepts_all(kind):
    assert DrainPolicy().accepts(kind, 0, 1e9)


def test_with_a_long_grace_period_streams_of_unknown_length_are_accepted_for_three_seconds():
    assert not DrainPolicy.draining(100.0, 160.0).accepts(STREAM, 0, 103.1), "how long they last is not known"

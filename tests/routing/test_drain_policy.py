"""Which requests are accepted by a sidecar that shuts down from 100 s and aborts open requests at 107 s."""

from __future__ import annotations

import pytest

from fordtrestle.routing.drain_policy import DrainPolicy
from fordtrestle.routing.route import RouteType

STREAM, NOT_STREAM = RouteType.STREAMING, RouteType.UNSAFE


@pytest.mark.parametrize(
    ("route_type", "tokens_out", "arrived_at", "accepted"),
    [
        (STREAM, 0, 102.6, True),  # all streams, while the rules tolerate that they are aborted
        (STREAM, 100_000, 102.6, True),
        (STREAM, 0, 102.7, False),  # its duration is unknown
        (STREAM, 100_000, 102.7, False),
        (STREAM, 50, 104.7, True),  # 50 tokens are sent within 2.2 s
        (STREAM, 50, 104.9, False),
        (NOT_STREAM, 0, 105.4, True),
        (NOT_STREAM, 0, 105.6, False),
    ],
)
def test_requests_that_can_be_completed_are_accepted(route_type, tokens_out, arrived_at, accepted):
    assert DrainPolicy.draining(100.0, 107.0).accepts(route_type, tokens_out, arrived_at) is accepted


@pytest.mark.parametrize("route_type", RouteType)
def test_a_sidecar_that_does_not_drain_accepts_all(route_type):
    assert DrainPolicy().accepts(route_type, 0, 1e9)


def test_with_a_long_grace_period_streams_of_unknown_length_are_accepted_for_three_seconds():
    assert not DrainPolicy.draining(100.0, 160.0).accepts(STREAM, 0, 103.1), "their duration is unknown"

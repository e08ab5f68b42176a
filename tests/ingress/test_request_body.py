"""The memory budget for bodies, and the responses to requests that are rejected before routing."""

from __future__ import annotations

import random

import pytest

from fordtrestle.ingress.errors import (
    BodyTimeoutError,
    BodyTooLargeError,
    IngressError,
    OverCapacityError,
    ShuttingDownError,
)
from fordtrestle.ingress.request_body import BodyMemory
from fordtrestle.ingress.responses import rejection_for


def test_a_reservation_is_resized_and_released():
    memory = BodyMemory(100)
    with memory.reserve(30) as first, memory.reserve(20):
        first.resize(50)
        assert (memory.reserved_bytes, memory.available_bytes) == (70, 30)
    assert (memory.reserved_bytes, memory.available_bytes) == (0, 100)


def test_a_request_that_fails_releases_its_reservation():
    memory = BodyMemory(100)

    def fail():
        with memory.reserve(30) as reservation:
            reservation.resize(40)
            raise BodyTimeoutError("not in time")

    with pytest.raises(BodyTimeoutError):
        fail()
    assert memory.reserved_bytes == 0


@pytest.mark.parametrize(
    ("error", "status", "has_retry_after"),
    [
        (ShuttingDownError(), 503, True),
        (OverCapacityError(), 503, True),
        (BodyTooLargeError(), 413, False),
        (BodyTimeoutError(), 408, False),
    ],
)
def test_a_rejection_before_routing_contains_the_request_id_and_whether_to_retry(
    error, status, has_retry_after
):
    response = rejection_for(error, "q1", random.Random(1))
    assert response.status == status
    assert ("Retry-After" in response.headers) is has_retry_after
    assert response.headers["X-Request-Id"] == "q1"


def test_an_error_without_a_response_is_raised():
    with pytest.raises(IngressError):
        rejection_for(IngressError("another"), "q1", random.Random(1))

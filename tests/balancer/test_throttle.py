"""The throttle, compared with values that were calculated by hand."""

import pytest

from fordtrestle.balancer.model import Fail, Outcome, Refuse, Send
from fordtrestle.balancer.throttle import MIN_WINDOW_MS, Throttle
from tests.balancer.helpers import arrival, balancer, of_type


def filled(accepts, refusals, now=0.0):
    throttle = Throttle(age_ms=1e9, samples=1000)
    for _ in range(accepts):
        throttle.add(now, 1.0)
    for _ in range(refusals):
        throttle.add(now, 0.0)
    return throttle


@pytest.mark.parametrize(
    ("accepts", "refusals", "chance"),
    [
        (0, 0, 0.0),
        (0, 3, 0.0),  # 3 - 3 - 0 = 0
        (0, 7, 0.5),  # (7 - 3 - 0) / 8
        (10, 9, 0.0),  # 19 - 3 - 20 < 0
        (10, 29, 0.4),  # (39 - 3 - 20) / 40
    ],
)
def test_drop_chance_is_the_formula(accepts, refusals, chance):
    assert filled(accepts, refusals).drop_chance(0.0) == pytest.approx(chance)


def test_window_forgets_by_age():
    window = Throttle(age_ms=100.0, samples=50)
    window.add(0.0, 1.0)
    window.add(60.0, 0.0)
    window.trim(99.0)
    assert (window.requests, window.accepts) == (2, 1.0)
    window.trim(100.0)
    assert (window.requests, window.accepts) == (1, 0.0)
    window.trim(160.0)
    assert (window.requests, window.accepts) == (0, 0.0)


def test_window_forgets_by_count():
    window = Throttle(age_ms=1e9, samples=3)
    for accepted in (1.0, 1.0, 0.0, 0.0, 0.0):
        window.add(0.0, accepted)
    assert window.requests == 5  # the count does not shorten a busy sidecar's window
    window.trim(MIN_WINDOW_MS)
    assert (window.requests, window.accepts) == (3, 0.0)


def test_requests_are_refused_while_none_is_accepted_and_local_refusals_count():
    instance = balancer("safe")
    window = instance._throttle
    for _ in range(20):
        window.add(0.0, 0.0)
    before = window.requests
    refused = 0
    for number in range(40):
        actions = instance.request(0.0, arrival(number))
        if of_type(actions, Refuse):
            refused += 1
            assert not of_type(actions, Send)
    assert refused > 20
    assert window.requests == before + refused


@pytest.mark.parametrize(
    "status",
    [Outcome.ERROR, Outcome.FULL, Outcome.TIMEOUT, Outcome.CONNECT_FAILED, Outcome.RESET],
)
def test_five_outcomes_are_not_accepted(status):
    instance = balancer("unsafe")
    instance.request(0.0, arrival(1))
    instance.outcome(10.0, 1, 0, status, 10.0)
    assert instance._throttle.requests == 1
    assert instance._throttle.accepts == 0.0


def test_the_server_with_the_fewest_requests_in_flight_is_chosen():
    instance = balancer("safe", servers=2)
    counts = {"s0": 0, "s1": 0}
    for number in range(20):
        (send,) = of_type(instance.request(0.0, arrival(number)), Send)
        counts[send.server] += 1
        assert abs(counts["s0"] - counts["s1"]) <= 1


def test_a_request_without_any_server_is_refused_at_once():
    instance = balancer("unsafe", servers=0)
    actions = instance.request(0.0, arrival(1))
    assert of_type(actions, Refuse)
    assert not of_type(actions, Fail)

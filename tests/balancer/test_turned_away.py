"""A sidecar never refuses all requests for long: it tries servers again, since they may have recovered."""

from __future__ import annotations

import heapq
import itertools

import pytest

from fordtrestle.balancer import Balancer, Settings
from fordtrestle.balancer.model import Arrival, Outcome, Refuse, Send, Timer
from tests.balancer.helpers import listing, raw_settings

MAX_REFUSING_MS = 4000.0  # without an attempt while
MIN_REFUSED = 15  # requests or more are refused
DAY_MS, RECOVERY_MS = 40_000.0, 30_000.0
RULES = {"ColdFrom": 0.3, "WarmUp": 8000.0, "FallMultiple": 3.0, "OverloadFor": 2000.0}

# How failing servers end an attempt, and after how many ms.
FULL = (Outcome.FULL, 2.0)
TROUBLES = {
    "full, slowly": (Outcome.FULL, 400.0),
    "errors": (Outcome.ERROR, 5.0),
    "resets": (Outcome.RESET, 30.0),
    "refused connections": (Outcome.CONNECT_FAILED, 1.0),
    "connections that never come up": (Outcome.CONNECT_FAILED, 250.0),
    "silence": (Outcome.TIMEOUT, 1e9),
}
CLASSES = {"safe": ("safe",), "unsafe": ("unsafe",), "three": ("safe", "keyed", "unsafe")}


def end_of(now, send, gives_up_at, trouble, failing_servers):
    """Return how long an attempt takes, and its outcome; `failing_servers` recover in the last quarter."""
    status, after = trouble
    is_failing = now < RECOVERY_MS and send.server in failing_servers
    spent, outcome = (after, status) if is_failing else (30.0, Outcome.OK)
    max_spent = min(send.timeout or 1e9, gives_up_at - now)
    return (max_spent, Outcome.TIMEOUT) if spent >= max_spent else (spent, outcome)


def play(instance, classes, rate, trouble, failing_servers, seed_ms):
    """Play a day on which `failing_servers` fail until its last quarter.

    Clients retry after the time that a refusal states.

    Returns:
        The times of arrivals, of refusals and of sends.
    """
    arrived_at, refused_at, sent_at = [], [], []
    events = [(seed_ms + number / rate * 1000.0, number, "request", None) for number in range(int(rate * 40))]
    heapq.heapify(events)
    order = itertools.count(len(events))
    limits = {}

    def apply_actions(now, actions):
        for action in actions:
            match action:
                case Send(number):
                    sent_at.append(now)
                    hop = limits[number][1]
                    limits[number][1] += 1
                    spent, outcome = end_of(now, action, limits[number][0], trouble, failing_servers)
                    heapq.heappush(
                        events, (now + spent, next(order), "outcome", (number, hop, outcome, spent))
                    )
                case Timer(delay, token):
                    heapq.heappush(events, (now + delay, next(order), "timer", token))
                case Refuse(_, retry_after_ms):
                    refused_at.append(now)
                    if retry_after_ms:
                        heapq.heappush(events, (now + retry_after_ms, next(order), "request", None))

    while events and (now := events[0][0]) < DAY_MS:
        _, number, kind, payload = heapq.heappop(events)
        if kind == "request":
            arrived_at.append(now)
            limits[number] = [now + 1000.0, 0]
            apply_actions(now, instance.request(now, Arrival(number, number % classes, limits[number][0])))
        elif kind == "timer":
            apply_actions(now, instance.timer(now, payload))
        else:
            request_id, hop, outcome, spent = payload
            apply_actions(now, instance.outcome(now, request_id, hop, outcome, spent, outcome == Outcome.OK))
    return arrived_at, refused_at, sent_at


def longest_refusal_ms(arrived_at, refused_at, sent_at):
    """Return the longest time without an attempt in which at least `MIN_REFUSED` requests were all refused.

    It is 0 if there was none.
    """
    worst_refusal_ms = 0.0
    for start, end in itertools.pairwise(sorted([0.0, *sent_at, DAY_MS])):
        refused_between = [at for at in refused_at if start < at < end]
        if len(refused_between) >= MIN_REFUSED and len(refused_between) >= sum(
            start < at < end for at in arrived_at
        ):
            worst_refusal_ms = max(worst_refusal_ms, refused_between[-1] - refused_between[0])
    return worst_refusal_ms


def balancer(kind, sidecars, servers, seed):
    raw = raw_settings(*CLASSES[kind], Balancers=sidecars, Rules=RULES)
    instance = Balancer(0.0, Settings.parse(raw), seed)
    instance.server_list(0.0, "remembered", listing(servers))
    return instance


FLEETS = [(200, 120), (5, 8)]  # sidecars and servers
DAYS = [("three", 5.0, 1), ("safe", 20.0, 2), ("unsafe", 40.0, 3)]  # classes, requests a second, seed


def worst_refusal_ms(sidecars, servers, share, trouble):
    """Return the longest such time over a few days, in milliseconds."""
    longest_ms = 0.0
    failing_servers = {f"s{number}" for number in range(int(servers * share))}
    for kind, rate, seed in DAYS:
        instance = balancer(kind, sidecars, servers, seed)
        arrived_at, refused_at, sent_at = play(
            instance, len(CLASSES[kind]), rate, trouble, failing_servers, seed * 1.7
        )
        assert len(arrived_at) > 30.0 * rate
        longest_ms = max(longest_ms, longest_refusal_ms(arrived_at, refused_at, sent_at))
    return longest_ms


@pytest.mark.parametrize("share", [1.0, 0.8])
@pytest.mark.parametrize(("sidecars", "servers"), FLEETS)
@pytest.mark.parametrize("kind", TROUBLES)
def test_all_requests_are_never_refused_for_four_seconds_without_an_attempt(kind, sidecars, servers, share):
    assert worst_refusal_ms(sidecars, servers, share, TROUBLES[kind]) < MAX_REFUSING_MS


@pytest.mark.parametrize(("sidecars", "servers"), FLEETS)
def test_nor_if_most_servers_reject_everything_at_once(sidecars, servers):
    assert worst_refusal_ms(sidecars, servers, 0.8, FULL) < MAX_REFUSING_MS


def test_nor_if_every_server_rejects_everything_at_once():
    assert (
        max(worst_refusal_ms(sidecars, servers, 1.0, FULL) for sidecars, servers in FLEETS) < MAX_REFUSING_MS
    )


def test_the_measure_detects_a_module_that_refuses_everything():
    instance = balancer("safe", 200, 120, 1)
    instance.request = lambda now, arrival: [Refuse(arrival.request, 0.0)]
    assert longest_refusal_ms(*play(instance, 1, 20.0, FULL, set(), 0.0)) >= DAY_MS - 100.0

"""A sidecar never turns away all that it gets for long: servers may be back, so something is sent to see."""

from __future__ import annotations

import heapq
import itertools

import pytest

from fordtrestle.balancer import Balancer, Settings
from fordtrestle.balancer.model import Arrival, Outcome, Refuse, Send, Timer
from tests.balancer.helpers import listing, raw_settings

MOST_MS = 4000.0  # with no attempt, while
LEAST = 15  # requests or more are turned away
DAY_MS, WELL_FROM_MS = 40_000.0, 30_000.0
RULES = {"ColdFrom": 0.3, "WarmUp": 8000.0, "FallMultiple": 3.0, "OverloadFor": 2000.0}

# How servers fail, and after how long.
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


def end_of(now, send, gives_up_at, trouble, ill):
    """How long an attempt takes, and how it ends; `ill` servers are in trouble up to the last quarter."""
    status, after = trouble
    is_bad = now < WELL_FROM_MS and send.server in ill
    spent, outcome = (after, status) if is_bad else (30.0, Outcome.OK)
    most = min(send.timeout or 1e9, gives_up_at - now)
    return (most, Outcome.TIMEOUT) if spent >= most else (spent, outcome)


def play(made, classes, rate, trouble, ill, seed_ms):
    """A day on which `ill` of all servers are in trouble up to its last quarter.

    Clients come again after a refusal as it tells. Gives when requests came, when each of them was refused,
    and when attempts began.
    """
    came, refused, began = [], [], []
    due = [(seed_ms + number / rate * 1000.0, number, "request", None) for number in range(int(rate * 40))]
    heapq.heapify(due)
    order = itertools.count(len(due))
    limits = {}

    def act(now, actions):
        for action in actions:
            match action:
                case Send(number):
                    began.append(now)
                    hop = limits[number][1]
                    limits[number][1] += 1
                    spent, outcome = end_of(now, action, limits[number][0], trouble, ill)
                    heapq.heappush(due, (now + spent, next(order), "outcome", (number, hop, outcome, spent)))
                case Timer(delay, token):
                    heapq.heappush(due, (now + delay, next(order), "timer", token))
                case Refuse(_, wait):
                    refused.append(now)
                    if wait:
                        heapq.heappush(due, (now + wait, next(order), "request", None))

    while due and (now := due[0][0]) < DAY_MS:
        _, number, what, told = heapq.heappop(due)
        if what == "request":
            came.append(now)
            limits[number] = [now + 1000.0, 0]
            act(now, made.request(now, Arrival(number, number % classes, limits[number][0])))
        elif what == "timer":
            act(now, made.timer(now, told))
        else:
            call, hop, outcome, spent = told
            act(now, made.outcome(now, call, hop, outcome, spent, outcome == Outcome.OK))
    return came, refused, began


def longest(came, refused, began):
    """The longest time without an attempt in which so many requests came that all were refused; 0: none."""
    worst = 0.0
    for start, end in itertools.pairwise(sorted([0.0, *began, DAY_MS])):
        turned = [at for at in refused if start < at < end]
        if len(turned) >= LEAST and len(turned) >= sum(start < at < end for at in came):
            worst = max(worst, turned[-1] - turned[0])
    return worst


def balancer(kind, sidecars, servers, seed):
    told = raw_settings(*CLASSES[kind], Balancers=sidecars, Rules=RULES)
    made = Balancer(0.0, Settings.parse(told), seed)
    made.server_list(0.0, "remembered", listing(servers))
    return made


FLEETS = [(200, 120), (5, 8)]  # sidecars and servers
DAYS = [("three", 5.0, 1), ("safe", 20.0, 2), ("unsafe", 40.0, 3)]  # classes, requests a second, seed


def worst(sidecars, servers, share, trouble):
    """The longest such time over a few days, in milliseconds."""
    found = 0.0
    ill = {f"s{number}" for number in range(int(servers * share))}
    for kind, rate, seed in DAYS:
        made = balancer(kind, sidecars, servers, seed)
        came, refused, began = play(made, len(CLASSES[kind]), rate, trouble, ill, seed * 1.7)
        assert len(came) > 30.0 * rate
        found = max(found, longest(came, refused, began))
    return found


@pytest.mark.parametrize("share", [1.0, 0.8])
@pytest.mark.parametrize(("sidecars", "servers"), FLEETS)
@pytest.mark.parametrize("what", TROUBLES)
def test_all_is_never_turned_away_for_four_seconds_without_an_attempt(what, sidecars, servers, share):
    assert worst(sidecars, servers, share, TROUBLES[what]) < MOST_MS


@pytest.mark.parametrize(("sidecars", "servers"), FLEETS)
def test_nor_where_most_servers_turn_all_away_at_once(sidecars, servers):
    assert worst(sidecars, servers, 0.8, FULL) < MOST_MS


def test_nor_where_every_server_turns_all_away_at_once():
    assert max(worst(sidecars, servers, 1.0, FULL) for sidecars, servers in FLEETS) < MOST_MS


def test_the_measure_finds_a_module_that_turns_all_away():
    made = balancer("safe", 200, 120, 1)
    made.request = lambda now, arrival: [Refuse(arrival.request, 0.0)]
    assert longest(*play(made, 1, 20.0, FULL, set(), 0.0)) >= DAY_MS - 100.0

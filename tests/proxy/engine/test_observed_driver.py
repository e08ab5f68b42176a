"""An observed driver records each attempt that began and each answer of its own, and nothing else."""

from __future__ import annotations

import pytest

from fordtrestle.balancer import model
from fordtrestle.balancer.model import Cause, Fail, Outcome, Refuse, Send
from fordtrestle.proxy.engine.clock import Clock
from fordtrestle.proxy.engine.driver import EngineOptions
from fordtrestle.proxy.engine.observed_driver import ObservedDriver
from fordtrestle.proxy.engine.ports import AttemptResult
from tests.loopback import SETTINGS, Scripted


class Loop:
    """Time that stands; what is asked for later is run by the test."""

    def __init__(self):
        self.now, self.later = 1000.0, []

    def time(self):
        return self.now

    def call_at(self, when, callback, *args):
        self.later.append((callback, *args))
        return self

    def call_later(self, delay, callback, *args):
        return self.call_at(delay, callback, *args)

    def call_soon(self, callback, *args):
        return self.call_at(0.0, callback, *args)

    def cancel(self):
        pass


class Call:
    """A client's request, whose answers are counted; also the handle of its attempts."""

    traffic_class = tenant = 0
    key = work = None
    mutates = False

    def __init__(self, number, again=False, budget=1000.0):
        self.call_id, self.again, self.budget, self.answers = number, again, budget, []

    def wire(self, left):
        return b""

    def refused(self, retry_after):
        self.answers.append("refused")

    def failed(self, late):
        self.answers.append("failed")

    def on_finished(self):
        pass

    def abandon(self):
        pass


class Servers:
    """Where attempts go; the test ends them."""

    def __init__(self):
        self.done = []

    def send(self, server, message, expires, done):
        self.done.append(done)
        return Call("")


def driver(most=2, **scripts):
    loop, recorded = Loop(), []
    made = ObservedDriver(
        loop,
        Clock(loop),
        EngineOptions(model.Settings.parse(SETTINGS), 1, most),
        lambda *act: recorded.append(act),
    )
    made._balancer, made.servers, made.recorded, made.loop = Scripted(**scripts), Servers(), recorded, loop
    made.connect(made.servers, None, None)
    return made


def arrive(made, call):
    made.arrive(call, made._clock.now())
    return call


def retried(now, number, hop, *rest):
    return [Send(number, "s1", 0.0)] if hop == 0 else [Fail(number, Cause.ATTEMPTS)]


def test_attempts_are_picks_repeats_and_retries_and_an_answer_of_its_own_a_failure():
    made = driver(outcome=retried)
    arrive(made, Call("c1"))
    call = arrive(made, Call("c2", again=True))
    for turn in (1, 2):
        made.servers.done[turn](AttemptResult(Outcome.ERROR))
    assert made.recorded == [
        ("pick", "c1", "s0", 0, ""),
        ("repeat", "c2", "s0", 0, ""),
        ("retry", "c2", "s1", 1, ""),
        ("failure", "c2", "", 2, "attempts"),
    ]
    assert call.answers == ["failed"]


@pytest.mark.parametrize(
    ("script", "what", "cause"),
    [
        (lambda now, arrival: [Refuse(arrival.request, 0.0, Cause.COLD)], "refusal", "cold"),
        (lambda now, arrival: [Fail(arrival.request, Cause.NO_TIME)], "failure", "no_time"),
        (lambda now, arrival: 1 / 0, "failure", "module_fault"),
    ],
)
def test_each_answer_is_recorded_once(script, what, cause, capsys):
    made = driver(request=script)
    call = arrive(made, Call("c1"))
    assert made.recorded == [(what, "c1", "", 0, cause)]
    assert len(call.answers) == 1


def test_a_request_past_the_most_is_a_refusal_and_one_that_is_forgotten_a_failure(capsys):
    made = driver(most=1, request=lambda now, arrival: [])
    arrive(made, Call("c1"))
    arrive(made, Call("c2"))
    guard, request = made.loop.later[0]
    guard(request)
    assert made.recorded == [("refusal", "c2", "", 0, "max_open"), ("failure", "c1", "", 0, "unanswered")]


def test_an_attempt_that_never_began_is_not_recorded():
    made = driver(request=lambda now, arrival: [Send(arrival.request, "s0", -1.0)])
    arrive(made, Call("c1", budget=500.0))
    assert made.recorded == []
    assert made.servers.done == []


def test_time_goes_on_evenly_however_the_wall_clock_jumps():
    loop, wall = Loop(), [5000.0]
    clock = Clock(loop, lambda: wall[0])
    assert clock.now() == 5_000_000.0
    wall[0], loop.now = 1.0, 1001.0
    assert (clock.now(), clock.wall()) == (5_001_000.0, 1.0)
    assert clock.at(clock.now()) == 1001.0

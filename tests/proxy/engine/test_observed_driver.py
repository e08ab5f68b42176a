"""An observed driver records each attempt that starts and each refusal or failure, and nothing else."""

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
    """A loop whose time stands still; the test runs its scheduled callbacks."""

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
    """A client's request that records its answers; also serves as the handle of its attempts."""

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
    """Servers whose attempts the test ends."""

    def __init__(self):
        self.done = []

    def send(self, server, message, expires, done):
        self.done.append(done)
        return Call("")


def driver(max_open=2, **scripts):
    loop, recorded = Loop(), []
    engine = ObservedDriver(
        loop,
        Clock(loop),
        EngineOptions(model.Settings.parse(SETTINGS), 1, max_open),
        lambda *action: recorded.append(action),
    )
    engine._balancer, engine.servers, engine.recorded, engine.loop = (
        Scripted(**scripts),
        Servers(),
        recorded,
        loop,
    )
    engine.connect(engine.servers, None, None)
    return engine


def arrive(engine, call):
    engine.arrive(call, engine._clock.now())
    return call


def retry_once(now, number, hop, *rest):
    return [Send(number, "s1", 0.0)] if hop == 0 else [Fail(number, Cause.ATTEMPTS)]


def test_attempts_are_recorded_as_picks_repeats_and_retries_and_a_final_failure_as_failure():
    engine = driver(outcome=retry_once)
    arrive(engine, Call("c1"))
    call = arrive(engine, Call("c2", again=True))
    for turn in (1, 2):
        engine.servers.done[turn](AttemptResult(Outcome.ERROR))
    assert engine.recorded == [
        ("pick", "c1", "s0", 0, ""),
        ("repeat", "c2", "s0", 0, ""),
        ("retry", "c2", "s1", 1, ""),
        ("failure", "c2", "", 2, "attempts"),
    ]
    assert call.answers == ["failed"]


@pytest.mark.parametrize(
    ("script", "action", "cause"),
    [
        (lambda now, arrival: [Refuse(arrival.request, 0.0, Cause.COLD)], "refusal", "cold"),
        (lambda now, arrival: [Fail(arrival.request, Cause.NO_TIME)], "failure", "no_time"),
        (lambda now, arrival: 1 / 0, "failure", "module_fault"),
    ],
)
def test_each_answer_is_recorded_once(script, action, cause, capsys):
    engine = driver(request=script)
    call = arrive(engine, Call("c1"))
    assert engine.recorded == [(action, "c1", "", 0, cause)]
    assert len(call.answers) == 1


def test_a_request_beyond_max_open_is_a_refusal_and_an_unanswered_one_a_failure(capsys):
    engine = driver(max_open=1, request=lambda now, arrival: [])
    arrive(engine, Call("c1"))
    arrive(engine, Call("c2"))
    guard, request = engine.loop.later[0]
    guard(request)
    assert engine.recorded == [("refusal", "c2", "", 0, "max_open"), ("failure", "c1", "", 0, "unanswered")]


def test_an_attempt_that_never_started_is_not_recorded():
    engine = driver(request=lambda now, arrival: [Send(arrival.request, "s0", -1.0)])
    arrive(engine, Call("c1", budget=500.0))
    assert engine.recorded == []
    assert engine.servers.done == []


def test_clock_time_is_not_affected_by_jumps_of_the_wall_clock():
    loop, wall = Loop(), [5000.0]
    clock = Clock(loop, lambda: wall[0])
    assert clock.now() == 5_000_000.0
    wall[0], loop.now = 1.0, 1001.0
    assert (clock.now(), clock.wall()) == (5_001_000.0, 1.0)
    assert clock.to_loop_time(clock.now()) == 1001.0

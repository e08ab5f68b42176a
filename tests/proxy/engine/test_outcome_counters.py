"""Counts of refusals and failures, with random sequences of answers from the decision module."""

from __future__ import annotations

import random

import pytest

from fordtrestle.balancer.model import Cause, Fail, Outcome, Refuse, Send
from fordtrestle.proxy.engine.outcome_counters import NO_CLASS, OutcomeCounters, OwnCause, format_counts
from fordtrestle.proxy.engine.ports import AttemptResult
from tests.proxy.engine.test_observed_driver import Call, driver


def test_counts_are_by_class_kind_and_cause_the_largest_first():
    counters = OutcomeCounters()
    for cause, times in ((Cause.THROTTLE, 1), (Cause.COLD, 3), (OwnCause.MAX_OPEN, 2)):
        for _ in range(times):
            counters.record_refused(0, cause)
    counters.record_failed(0, Cause.MAY_HAVE_RUN)
    counters.record_refused(NO_CLASS, OwnCause.BAD_REQUEST)
    counters.record_refused(7, Cause.DRAIN)
    counts = counters.counts({0: "book"})
    assert counts == {
        "book": {"refused": {"cold": 3, "max_open": 2, "throttle": 1}, "failed": {"may_have_run": 1}},
        "-": {"refused": {"bad_request": 1}},
        "7": {"refused": {"drain": 1}},
    }
    assert list(counts["book"]["refused"]) == ["cold", "max_open", "throttle"]
    assert list(format_counts("service shop", counts))[:2] == [
        "service shop: class book: 6 refused: cold 3, max_open 2, throttle 1",
        "service shop: class book: 1 failed: may_have_run 1",
    ]
    assert (counters.total("refused"), counters.total("failed")) == (8, 1)


def test_no_two_causes_have_the_same_name():
    words = [cause.name.lower() for kind in (Cause, OwnCause) for cause in kind]
    assert len(words) == len(set(words))


@pytest.mark.parametrize("seed", range(20))
def test_all_refusals_and_failures_are_counted_once(seed, capsys):
    """The module answers at random, twice, late, never or with an error."""
    rng = random.Random(seed)

    def decide(number):
        kind = rng.randrange(7)
        if kind == 0:
            raise RuntimeError("a fault")
        actions = [Refuse(number, 0.0, rng.choice(list(Cause)))] if kind < 3 else []
        actions += [Fail(number, rng.choice(list(Cause)))] if kind in (2, 3) else []
        return actions + ([Send(number, "s0", 0.0)] if kind > 3 else [])

    engine = driver(
        max_open=9,
        request=lambda now, arrival: decide(arrival.request),
        outcome=lambda now, number, *rest: decide(number),
    )
    calls = []
    for turn in range(200):
        call = Call(f"c{turn}")
        call.traffic_class = rng.randrange(3)
        calls.append(call)
        engine.arrive(call, engine._clock.now())
        if engine.servers.done and rng.random() < 0.7:
            engine.servers.done.pop(0)(
                AttemptResult(rng.choice([Outcome.ERROR, Outcome.FULL, Outcome.RESET]))
            )
    for callback, *args in list(engine.loop.later):
        if callback == engine._on_guard:
            callback(*args)
    for end in ("refused", "failed"):
        answered = [call for call in calls if call.answers == [end]]
        assert len(answered) > 5
        assert engine.counters.total(end) == len(answered)
        for number in range(3):
            of_class = engine.counters.counts({}).get(str(number), {}).get(end, {})
            assert sum(of_class.values()) == sum(call.traffic_class == number for call in answered)
    assert all(len(call.answers) <= 1 for call in calls)

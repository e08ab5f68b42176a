"""The search for an order of concurrent calls decides long histories, with the verdict of a full search."""

from __future__ import annotations

import math
import random
from dataclasses import replace

import pytest

from rig.coordination import linearizability, objects
from rig.coordination.history import Call, Operation, Outcome
from rig.coordination.linearizability import UndecidedError, is_linearizable

HOLDERS = ("a", "b", "c")
GAP_S = 1.5  # between the unanswered calls


def call(operation, holder, sent, answered, fence, outcome):
    ended = sent + 0.2 if answered else math.inf
    return Call(operation, "l", sent, ended, outcome, holder=holder, hold_s=1.0, fence=fence)


def draw_history(rng, count, gap_s):
    """Return calls on a lock by three holders, some unanswered, with answers that may be impossible."""
    calls, sent = [], 0.0
    for _ in range(count):
        sent += rng.uniform(0.0, gap_s)
        operation = rng.choice((Operation.ACQUIRE, Operation.ACQUIRE, Operation.RENEW, Operation.RELEASE))
        answered = rng.random() < 0.6
        outcome = rng.choice((Outcome.DONE, Outcome.REFUSED)) if answered else Outcome.UNKNOWN
        calls.append(call(operation, rng.choice(HOLDERS), sent, answered, rng.randrange(4), outcome))
    return calls


def unanswered_history():
    """Return acquisitions by two holders without answers, and one refused at the end that none explains."""
    calls = [
        call(Operation.ACQUIRE, HOLDERS[number % 2], number * GAP_S, False, 0, Outcome.UNKNOWN)
        for number in range(60)
    ]
    return [*calls, call(Operation.RENEW, "c", 60 * GAP_S, True, 9, Outcome.DONE)]


def extended_history():
    """Return a lock that changes hands, and unanswered calls that would have kept it with an effect."""
    unanswered = [
        replace(call(Operation.ACQUIRE, "a", 0.3 + number * 0.01, False, 0, Outcome.UNKNOWN), hold_s=60.0)
        for number in range(16)
    ]
    first, next_holder = (
        call(Operation.ACQUIRE, holder, sent, True, fence, Outcome.DONE)
        for holder, sent, fence in (("a", 0.0, 1), ("b", 1.5, 2))
    )
    return [first, *unanswered, next_holder]


def verdict(calls):
    return is_linearizable(calls, objects._Lock(), objects._lock_step)


def test_verdicts_are_those_of_a_search_that_tells_expired_calls_apart(monkeypatch):
    rng = random.Random(1)
    histories = [draw_history(rng, rng.randint(2, 9), 4.0) for _ in range(2000)]
    verdicts = [verdict(history) for history in histories]
    monkeypatch.setattr(linearizability, "_without_expired", lambda configuration, ordered: configuration)
    assert verdicts == [verdict(history) for history in histories]
    assert 100 < sum(verdicts) < 1900


def test_a_long_history_with_many_unanswered_calls_is_decided(monkeypatch):
    monkeypatch.setattr(linearizability, "MAX_CONFIGURATIONS", 50_000)
    assert not verdict(unanswered_history())
    monkeypatch.setattr(linearizability, "_without_expired", lambda configuration, ordered: configuration)
    with pytest.raises(UndecidedError):
        verdict(unanswered_history())


def test_a_history_whose_unanswered_calls_had_no_effect_is_decided_soon(monkeypatch):
    monkeypatch.setattr(linearizability, "MAX_CONFIGURATIONS", 100)
    assert verdict(extended_history())

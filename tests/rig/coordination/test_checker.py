"""Tests that each rule detects a history that breaks it, and that correct histories break none."""

from __future__ import annotations

import pytest

from rig.coordination.history import Call, Operation, Outcome, ShownEvent
from rig.coordination.rules import check_history

HISTORY_S = 20.0
DONE, REFUSED, UNKNOWN, NOT_DONE = Outcome.DONE, Outcome.REFUSED, Outcome.UNKNOWN, Outcome.NOT_DONE


def acquire(holder, sent, ended, fence, outcome=DONE, hold_s=1.0):
    return Call(Operation.ACQUIRE, "l", sent, ended, outcome, holder=holder, hold_s=hold_s, fence=fence)


def renew(holder, sent, ended, fence, outcome=DONE):
    return Call(Operation.RENEW, "l", sent, ended, outcome, holder=holder, hold_s=1.0, fence=fence)


def release(holder, sent, ended, fence):
    return Call(Operation.RELEASE, "l", sent, ended, DONE, holder=holder, fence=fence)


def number(sent, ended, value):
    return Call(Operation.NUMBER, "n", sent, ended, DONE, number=value)


def put(value, sent, ended, revision, outcome=DONE, key="g.a", if_revision=None):
    fields = {"value": value, "if_revision": if_revision, "number": revision}
    return Call(Operation.PUT, key, sent, ended, outcome, **fields)


def get(value, sent, ended, revision, outcome=DONE):
    return Call(Operation.GET, "g.a", sent, ended, outcome, value=value, number=revision)


def watch(after, at, revision, *events, outcome=DONE):
    shown = tuple(ShownEvent("g.a", value, known) for value, known in events)
    return Call(Operation.WATCH, "g.", at, at, outcome, after=after, number=revision, events=shown)


LOST = float("inf")
SOUND = {
    "a lock changes hands after its time": [acquire("a", 0, 0.1, 1), acquire("b", 1.0, 1.1, 2)],
    "a lock changes hands after its release": [
        acquire("a", 0, 0.1, 1),
        release("a", 0.2, 0.3, 1),
        acquire("b", 0.25, 0.3, 2),
    ],
    "a renewal comes too late for its holder": [
        acquire("a", 0, 0.1, 1),
        renew("a", 0.9, 1.5, 1),
        acquire("b", 2.0, 2.1, 2),
    ],
    "a grant that nobody heard of keeps others out": [
        acquire("a", 0, LOST, 0, UNKNOWN),
        acquire("b", 0.1, 0.2, 0, REFUSED),
        acquire("a", 0.5, 0.6, 1),
    ],
    "a holder that acquires again gets the same fence, or a higher one that its release has to name": [
        acquire("a", 0, 0.1, 1, hold_s=9.0),
        acquire("a", 0.2, 0.3, 1),
        acquire("a", 0.4, 0.5, 2, hold_s=9.0),
        release("a", 0.6, 0.7, 2),
        acquire("b", 0.8, 0.9, 3),
    ],
    "a release under the fence before an unanswered acquisition ends nothing": [
        acquire("a", 0, 0.1, 1),
        acquire("a", 0.2, LOST, 0, UNKNOWN),
        release("a", 0.3, 0.4, 1),
        acquire("b", 0.5, 0.6, 0, REFUSED),
    ],
    "numbers have gaps": [number(0, 1, 1), number(2, 3, 7), number(2, 3, 5)],
    "a put is sent again after its answer was lost": [
        put("x", 0, LOST, 0, UNKNOWN),
        put("y", 1, 2, 2),
        put("x", 3, 4, 1),
        get("y", 5, 6, 2),
    ],
    "a put without an answer takes effect when it is sent for the last time": [
        put("x", 0, LOST, 0, UNKNOWN),
        put("x", 1.1, LOST, 0, UNKNOWN),
        put("x", 2.2, LOST, 0, UNKNOWN),
        get("", 2.3, 2.4, 0, REFUSED),
        get("x", 2.9, 3.0, 1),
    ],
    "a refused put names what another one gave": [
        put("x", 0, 1, 1),
        put("y", 2, 3, 1, REFUSED, if_revision=0),
        get("x", 4, 5, 1),
    ],
    "a watch resumes in time": [
        put("x", 0, 1, 1),
        watch(0, 2, 1),
        put("y", 3, 4, 2),
        watch(1, 5, 2, ("y", 2)),
        watch(2, 30, 0, outcome=REFUSED),
    ],
}
BROKEN = {
    "two holders at a time": ("ONE", [acquire("a", 0, 0.1, 1), acquire("b", 0.5, 0.6, 2)]),
    "a renewal that is outlived": (
        "ONE",
        [acquire("a", 0, 0.1, 1), renew("a", 0.9, 1.0, 1), acquire("b", 1.2, 1.3, 2)],
    ),
    "a fence that falls": ("ONE", [acquire("a", 0, 0.1, 5), acquire("b", 3, 3.1, 4)]),
    "a fence for two": ("ONE", [acquire("a", 0, 0.1, 5), acquire("b", 3, 3.1, 5)]),
    "a late release that ends the next hold of its sender": (
        "ONE",
        [
            acquire("a", 0, 0.1, 1),
            Call(Operation.RELEASE, "l", 0.2, LOST, UNKNOWN, holder="a", fence=1),
            acquire("a", 1.3, 1.4, 1, hold_s=9.0),
            acquire("b", 3.0, 3.1, 2),
        ],
    ),
    "a fence that falls for its holder": (
        "LINEARIZABLE",
        [acquire("a", 0, 0.1, 5), acquire("a", 0.2, 0.3, 4)],
    ),
    "a fence that an unanswered acquisition has replaced": (
        "LINEARIZABLE",
        [acquire("a", 0, 0.1, 1), release("a", 0.2, 0.3, 1), renew("a", 0.4, 0.5, 1)],
    ),
    "a put that takes effect after its caller has given it up": (
        "LINEARIZABLE",
        [put("x", 0, LOST, 0, UNKNOWN), get("", 2.0, 2.1, 0, REFUSED), get("x", 3.0, 3.1, 1)],
    ),
    "a release that takes effect after its caller has given it up": (
        "LINEARIZABLE",
        [
            acquire("a", 0, 0.1, 1, hold_s=9.0),
            Call(Operation.RELEASE, "l", 0.2, LOST, UNKNOWN, holder="a", fence=1),
            acquire("b", 3.0, 3.1, 0, REFUSED),
            acquire("b", 3.2, 3.3, 2),
        ],
    ),
    "a free lock that is refused": ("LINEARIZABLE", [acquire("a", 0, 0.1, 0, REFUSED)]),
    "a number given twice": ("ORDER", [number(0, 1, 1), number(0, 1, 1)]),
    "a number that falls": ("ORDER", [number(0, 1, 2), number(2, 3, 1)]),
    "a revision given twice": ("ORDER", [put("x", 0, 1, 1), put("y", 0, 1, 1, key="g.b")]),
    "a put over a later revision": (
        "ORDER",
        [put("x", 0, 1, 1), put("y", 0, 9, 2), put("z", 0, 9, 3, if_revision=1)],
    ),
    "a watch that skips a put": ("ORDER", [put("x", 0, 1, 1), put("y", 2, 3, 2), watch(1, 4, 2)]),
    "a watch that falls": (
        "ORDER",
        [put("x", 0, 1, 1), put("y", 2, 3, 2), watch(1, 4, 2, ("y", 2), ("x", 1))],
    ),
    "an old read": ("STALE", [put("x", 0, 1, 1), put("y", 2, 3, 2), get("x", 4, 5, 1)]),
    "a missing key that was put": ("STALE", [put("x", 0, 1, 1), get("", 2, 3, 0, REFUSED)]),
    "a value that nobody put": ("MIXED", [get("x", 0, 1, 1)]),
    "a value under two revisions": ("MIXED", [put("x", 0, 1, 1), put("x", 2, 3, 4)]),
    "a refusal by a revision that nobody has": ("MIXED", [put("x", 0, 1, 7, REFUSED, if_revision=1)]),
    "a put that was refused and is shown": ("REFUSED", [put("x", 0, 1, 0, NOT_DONE), get("x", 2, 3, 1)]),
    "a history that is forgotten too early": (
        "LOST",
        [put("x", 0, 1, 1), watch(0, 2, 1), watch(1, 21, 0, outcome=REFUSED)],
    ),
    "two reads of which the later one is older": (
        "LINEARIZABLE",
        [put("x", 0, 1, 1), put("y", 2, 9, 2), get("y", 3, 4, 2), get("x", 5, 6, 1)],
    ),
}


@pytest.mark.parametrize("name", SOUND)
def test_a_sound_history_breaks_no_rule(name):
    assert check_history(SOUND[name], HISTORY_S) == []


@pytest.mark.parametrize("name", BROKEN)
def test_a_broken_history_is_detected_by_its_rule(name):
    rule, calls = BROKEN[name]
    assert rule in {breach.rule for breach in check_history(calls, HISTORY_S)}

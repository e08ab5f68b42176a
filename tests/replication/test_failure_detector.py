"""A store suspects the primary and starts a pre-vote at the right time."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from fordtrestle.replication.epochs import Epoch, Store, Term
from fordtrestle.replication.failure_detector import (
    ELECTION_JITTER_S,
    ELECTION_RANK_DELAY_S,
    ELECTION_TIMEOUT_S,
    RESTARTED_PRIMARY_RETRY_S,
    PrimaryFailureDetector,
)

A, B, C = (Store(name, f"10.0.0.{n}:1", "", f"z-{n}") for n, name in enumerate("abc"))
EPOCH = Epoch(Term(3, "a"), "a", ("a", "b", "c"), (A, B, C))
MOMENT_S = 0.001


@pytest.fixture
def detector_of() -> Callable[[str], PrimaryFailureDetector]:
    """Return a factory for the detector of a store that starts at 0 s, without jitter."""
    return lambda store_id: PrimaryFailureDetector(store_id, EPOCH, lambda: 0.0, 0.0)


@pytest.mark.parametrize(
    ("store_id", "due_s"),
    [
        ("a", RESTARTED_PRIMARY_RETRY_S),
        ("b", ELECTION_TIMEOUT_S),
        ("c", ELECTION_TIMEOUT_S + ELECTION_RANK_DELAY_S),
    ],
)
def test_stores_ask_one_after_the_other_and_a_returning_primary_first(detector_of, store_id, due_s):
    detector = detector_of(store_id)
    assert not detector.is_election_due(due_s - MOMENT_S)
    assert detector.is_election_due(due_s)


def test_store_that_shuts_down_asks_after_all_others(detector_of):
    detector = detector_of("b")
    detector.is_leaving = True
    detector.reset_timer(EPOCH, 0.0)
    assert not detector.is_election_due(ELECTION_TIMEOUT_S + 2 * ELECTION_RANK_DELAY_S - MOMENT_S)
    assert detector.is_election_due(ELECTION_TIMEOUT_S + 2 * ELECTION_RANK_DELAY_S)


def test_jitter_delays_the_question():
    detector = PrimaryFailureDetector("b", EPOCH, lambda: 0.5, 0.0)
    assert not detector.is_election_due(ELECTION_TIMEOUT_S + 0.5 * ELECTION_JITTER_S - MOMENT_S)
    assert detector.is_election_due(ELECTION_TIMEOUT_S + 0.5 * ELECTION_JITTER_S)


def test_primary_that_was_heard_is_reachable_until_the_election_timeout(detector_of):
    detector = detector_of("b")
    detector.on_heartbeat(A, 0.0)
    assert detector.reachable_primary(ELECTION_TIMEOUT_S) is A
    assert detector.reachable_primary(ELECTION_TIMEOUT_S + MOMENT_S) is None


def test_lost_primary_is_suspected_at_once_and_asked_about_once(detector_of):
    detector = detector_of("b")
    detector.on_heartbeat(A, 0.5)
    assert not detector.suspects(EPOCH, "c", 0.6)
    detector.mark_lost("a", 0.6)
    assert detector.suspects(EPOCH, "c", 0.6)
    assert detector.reachable_primary(0.6) is None
    assert detector.is_election_due(0.6)
    detector.reset_timer(EPOCH, 0.6)
    detector.mark_lost("a", 0.7)
    assert not detector.is_election_due(0.7), "a second report does not move the timer"


def test_primary_that_asks_itself_is_suspected(detector_of):
    detector = detector_of("b")
    detector.on_heartbeat(A, 0.5)
    assert detector.suspects(EPOCH, "a", 0.6)

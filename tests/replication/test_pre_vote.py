"""Pre-vote grants are counted correctly, and only a replica may start an epoch change."""

from __future__ import annotations

import pytest

from fordtrestle.replication.durable import Durable
from fordtrestle.replication.epochs import Epoch, Store, Term
from fordtrestle.replication.messages import PreVote, PreVoteGrant
from fordtrestle.replication.pre_vote import PreVoteTally

A, B, C = (Store(name, f"10.0.0.{n}:1", "", f"z-{n}") for n, name in enumerate("abc"))
EPOCH = Epoch(Term(3, "a"), "a", ("a", "b"), (A, B, C))


@pytest.fixture
def durable() -> Durable:
    """Return the durable state of a store that has accepted the epoch."""
    return Durable("b", prepared_term=EPOCH.term, accepted_epoch=EPOCH)


def grant(attempt: int, term: Term = EPOCH.term) -> PreVoteGrant:
    return PreVoteGrant(attempt, term, EPOCH)


def test_all_witnesses_are_asked_and_without_an_epoch_all_known_stores(durable):
    asked = PreVoteTally().request(durable, ("x",), is_resend=False)
    assert asked == [(store_id, PreVote(1)) for store_id in "abc"]
    assert PreVoteTally().request(Durable("b"), ("x",), is_resend=False) == [("x", PreVote(1))]


def test_repeated_question_keeps_its_grants_and_a_new_one_voids_them(durable):
    tally = PreVoteTally()
    tally.request(durable, (), is_resend=False)
    assert not tally.count_grant("b", grant(1), "b", EPOCH)
    tally.request(durable, (), is_resend=True)
    assert tally.is_current(grant(1))
    assert tally.count_grant("c", grant(1), "b", EPOCH), "two of three"
    tally.request(durable, (), is_resend=False)
    assert not tally.is_current(grant(1))
    assert tally.is_current(grant(2))


def test_store_that_is_no_replica_is_never_granted_an_epoch_change(durable):
    tally = PreVoteTally()
    tally.request(durable, (), is_resend=False)
    assert not any(tally.count_grant(store_id, grant(1), "c", EPOCH) for store_id in "abc")


def test_cancelled_question_counts_no_grants(durable):
    tally = PreVoteTally()
    tally.request(durable, (), is_resend=False)
    tally.cancel()
    assert not tally.is_current(grant(1))
    assert not tally.count_grant("b", grant(1), "b", EPOCH)


def test_next_term_exceeds_the_newest_that_a_witness_has_prepared(durable):
    tally = PreVoteTally()
    tally.request(durable, (), is_resend=False)
    tally.count_grant("c", grant(1, Term(9, "c")), "b", EPOCH)
    assert tally.newest_term == Term(9, "c")

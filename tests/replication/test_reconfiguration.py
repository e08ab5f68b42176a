"""A primary plans a new epoch when needed, with the right reason and witnesses."""

from __future__ import annotations

from dataclasses import replace

import pytest

from fordtrestle.replication.epochs import Epoch, Store, Term
from fordtrestle.replication.events import Reason
from fordtrestle.replication.reconfiguration import CoreView, plan_next_epoch

A, B, C, D = (Store(name, f"10.0.0.{n}:1", "", f"z-{n}") for n, name in enumerate("abcd"))
EPOCH = Epoch(Term(3, "a"), "a", ("a", "b"), (A, B, C))


@pytest.fixture
def view() -> CoreView:
    """Return the view of a healthy core of three stores."""
    return CoreView(
        epoch=EPOCH,
        live=frozenset("abc"),
        leaving=frozenset(),
        joining=(),
        replaceable=(),
        is_write_stalled=False,
        witness_count=3,
        replica_count=2,
    )


def test_core_in_which_nothing_is_wrong_keeps_its_epoch(view):
    assert plan_next_epoch(view) is None


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({"live": frozenset("ac")}, Reason.REPLICA_LOST),
        ({"is_write_stalled": True}, Reason.WRITE_LATE),
        ({"leaving": frozenset("b")}, Reason.REPLICA_LEAVES),
        ({"epoch": replace(EPOCH, replicas=("a",))}, Reason.TOO_FEW_REPLICAS),
    ],
)
def test_replicas_that_do_not_serve_are_a_reason_for_an_epoch_with_the_same_witnesses(view, changes, reason):
    plan = plan_next_epoch(replace(view, **changes))
    assert plan is not None
    assert plan.reason is reason
    assert plan.witnesses == EPOCH.witnesses


def test_joining_store_takes_the_slot_that_is_given_up(view):
    plan = plan_next_epoch(replace(view, live=frozenset("abd"), joining=(D,), replaceable=("c",)))
    assert plan is not None
    assert plan.reason is Reason.WITNESSES_CHANGE
    assert plan.witnesses == (A, B, D)
    assert plan.base is EPOCH


def test_primary_without_a_majority_of_live_witnesses_starts_no_epoch_for_a_lost_replica(view):
    assert plan_next_epoch(replace(view, live=frozenset("a"))) is None


def test_replica_that_shuts_down_stays_if_no_other_store_can_replace_it(view):
    assert plan_next_epoch(replace(view, leaving=frozenset("bc"))) is None

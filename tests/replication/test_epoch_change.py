"""Choice of the witnesses and replicas of an epoch by a primary and a candidate."""

from __future__ import annotations

from fordtrestle.replication.epoch_change import EpochChange
from fordtrestle.replication.epochs import Epoch, Store, Term, choose_replicas
from fordtrestle.replication.messages import Accept, Announce, Install, Prepared
from fordtrestle.replication.peer_table import REPLACEMENT_TIMEOUT_S, PeerTable
from fordtrestle.replication.state import ControlState
from fordtrestle.replication.witness_plan import plan_witnesses

A, B, C, D, E = (Store(name, f"10.0.0.{n}:1", "", f"z-{n % 3}") for n, name in enumerate("abcde"))
EPOCH = Epoch(Term(3, "a"), "a", ("a", "b"), (A, B, C))
HELD_STATE = (Term(3, "a"), 7)


def test_store_on_the_machine_of_a_lost_disk_takes_its_slot():
    replacement = Store("b2", B.address, "", B.zone)
    assert plan_witnesses(EPOCH, [D, replacement], [], 3) == (A, replacement, C)


def test_slot_of_a_lost_store_is_filled_before_that_of_one_that_shuts_down():
    peers = PeerTable()
    for store, at in ((A, 10.0), (B, 5.0), (C, 10.0)):
        peers.on_announce(Announce(store, True, store is C), at)
    replaceable = peers.replaceable(EPOCH.witness_ids, 0.0, 10.0)
    assert replaceable == ["b", "c"]
    assert plan_witnesses(EPOCH, [D], replaceable, 3) == (A, D, C)
    assert set(plan_witnesses(EPOCH, [D, E], replaceable, 3)) == {A, D, E}
    assert peers.replaceable(EPOCH.witness_ids, 0.0, 5.0 + REPLACEMENT_TIMEOUT_S) == ["c"]


def test_joining_store_gets_no_slot_that_is_not_given_up():
    assert plan_witnesses(EPOCH, [D, E], [], 3) == (A, B, C)


def test_store_of_a_zone_without_a_witness_goes_first_and_takes_a_slot_of_a_crowded_zone():
    near = Store("b", B.address, "", A.zone)
    epoch = Epoch(Term(3, "a"), "a", ("a",), (A,))
    assert plan_witnesses(epoch, [near, C, Store("x", "10.0.0.9:1", "", "z-1")], [], 3)[1].zone != A.zone
    crowded = Epoch(Term(3, "a"), "a", ("a", "c"), (A, near, C))
    other = Store("x", "10.0.0.9:1", "", "z-1")
    assert plan_witnesses(crowded, [other], [], 3) == (A, other, C)
    replicas = Epoch(Term(3, "a"), "a", ("a", "b"), (A, near, C))
    assert plan_witnesses(replicas, [other], [], 3) == (A, near, C), "a replica keeps its slot"


def test_replicas_are_stores_that_stay_and_hold_the_state_in_different_zones():
    assert choose_replicas(A, [A, B, C, D], {"b", "c", "d"}, (), 2) == ("a", "b")
    assert choose_replicas(A, [A, B, C, D], {"c"}, (), 2) == ("a", "c")
    assert choose_replicas(A, [A, B, C, D], {"b", "c"}, {"b"}, 2) == ("a", "c")
    assert choose_replicas(A, [A, B, D], {"b", "d"}, {"b"}, 2) == ("a", "d"), "both replicas in one zone"
    assert choose_replicas(A, [A, B], {"b"}, {"b"}, 2) == ("a", "b"), "no other store is live"


def epoch_change(leaving=frozenset()):
    return EpochChange(A, Term(4, "a"), EPOCH, EPOCH.witnesses, 2, leaving, started_at=0.0)


def prepared(sender, position=HELD_STATE):
    return Prepared(Term(4, "a"), EPOCH, *position)


def kinds(messages):
    return {type(message) for _, message in messages}


def test_candidate_waits_for_stores_that_hold_its_state_until_it_resends():
    state = ControlState(sequence=7)
    behind = (Term(2, "b"), 5)
    waiting = epoch_change()
    waiting.receive("a", prepared("a"), state)
    assert waiting.receive("b", prepared("b", behind), state) == [], "C may hold the state"
    assert kinds(waiting.receive("c", prepared("c"), state)) == {Accept}
    assert waiting.proposed_epoch.replicas == ("a", "c")
    assert waiting.proposed_epoch.base_state == HELD_STATE
    resending = epoch_change()
    resending.receive("a", prepared("a"), state)
    resending.receive("b", prepared("b", behind), state)
    assert Install in kinds(resending.resend(state))


def test_candidate_continues_at_once_if_all_have_answered():
    state = ControlState(sequence=7)
    change = epoch_change(leaving=frozenset(("b", "c")))
    change.receive("a", prepared("a"), state)
    change.receive("b", prepared("b"), state)
    assert kinds(change.receive("c", prepared("c"), state)) == {Accept}


def test_candidate_that_has_not_synced_its_own_promise_installs_nothing():
    state = ControlState(sequence=7)
    change = epoch_change()
    change.receive("b", prepared("b"), state)
    assert change.receive("c", prepared("c"), state) == []
    assert kinds(change.receive("a", prepared("a"), state)) == {Accept}


def test_states_are_resent_at_doubling_intervals():
    state = ControlState(sequence=7)
    change = epoch_change()
    for store in "abc":
        change.receive(store, prepared(store, (Term(1, store), 1)), state)
    sent = [bool(change.resend(state)) for _ in range(16)]
    assert [number for number, was in enumerate(sent, start=1) if was] == [1, 2, 4, 8, 16]

"""Tests keys: revisions that rise per group, recognition of resent puts, and the retention of history."""

from __future__ import annotations

import pytest

from fordtrestle.coordination import evaluation, history
from fordtrestle.coordination.answers import (
    KeyFound,
    KeyMissing,
    KeyWritten,
    Overloaded,
    RevisionMismatch,
)
from fordtrestle.coordination.commands import GetKey, PutKey, group_of
from fordtrestle.coordination.history import Compacted, committed_revision, events_after
from fordtrestle.coordination.state import CoordinationState
from tests.coordination.stage import RETENTION_S, SingleStore


def put(store, key, value, if_revision=None):
    return store.execute(PutKey(key, value, if_revision))


def events_of_watch(store, after, committed=10**9):
    answer = events_after(store.state.group("g."), after, committed)
    return answer if isinstance(answer, Compacted) else [event.revision for event in answer.events]


@pytest.mark.parametrize(("key", "group"), [("g1.2d", "g1."), ("g1.a.b", "g1."), ("g1", "g1"), (".a", ".")])
def test_a_group_is_the_part_up_to_the_first_dot(key, group):
    assert group_of(key) == group


def test_keys_of_a_group_share_one_sequence_of_revisions():
    store = SingleStore()
    written = [
        put(store, key, value) for key, value in (("g.a", "1"), ("g.b", "2"), ("h.a", "3"), ("g.a", "4"))
    ]
    assert written == [KeyWritten(revision) for revision in (1, 2, 1, 3)]
    assert store.execute(GetKey("g.a")) == KeyFound("4", 3)
    assert store.execute(GetKey("g.c")) == KeyMissing()


def test_a_put_on_another_revision_is_rejected_with_the_current_revision():
    store = SingleStore()
    assert put(store, "g.a", "1", 0) == KeyWritten(1)
    put(store, "g.b", "2")
    assert put(store, "g.a", "3", 0) == RevisionMismatch(1)
    assert put(store, "g.a", "3", 2) == RevisionMismatch(1)
    assert put(store, "g.a", "3", 1) == KeyWritten(3)


def test_a_resent_put_gets_its_first_revision_even_after_it_was_overwritten():
    store = SingleStore()
    put(store, "g.a", "1", 0)
    put(store, "g.a", "2")
    assert put(store, "g.a", "1", 0) == KeyWritten(1)
    assert store.execute(GetKey("g.a")) == KeyFound("2", 2)


def test_events_are_sent_in_order_up_to_the_committed_sequence():
    store = SingleStore()
    for number in range(4):
        put(store, "g.a", str(number))
    assert events_of_watch(store, 1) == [2, 3, 4]
    assert events_of_watch(store, 1, committed=3) == [2, 3]
    assert events_of_watch(store, 4) == []
    assert committed_revision(store.state.group("g."), 3) == 3


def test_the_events_in_one_answer_are_bounded(monkeypatch):
    monkeypatch.setattr(history, "MAX_WATCH_EVENTS", 2)
    store = SingleStore()
    for number in range(5):
        put(store, "g.a", str(number))
    answer = events_after(store.state.group("g."), 1, 5)
    assert (len(answer.events), answer.revision) == (2, 3)


def test_events_are_compacted_after_the_retention_time_and_not_before():
    store = SingleStore()
    for number in range(3):
        put(store, "g.a", str(number))
        store.now += 1.0
    store.now += RETENTION_S - 2.5
    put(store, "g.a", "late")
    assert events_of_watch(store, 0) == Compacted()
    assert events_of_watch(store, 1) == [2, 3, 4]
    assert committed_revision(store.state.group("g."), 3) == 3


def test_a_new_primary_retains_events_for_the_full_time_from_when_it_first_held_them():
    store = SingleStore()
    put(store, "g.a", "1")
    store.now += RETENTION_S
    store.fail_over()
    store.now += RETENTION_S - 0.1
    put(store, "g.a", "2")
    assert events_of_watch(store, 0) == [1, 2]


def test_storage_is_bounded_and_compaction_frees_it(monkeypatch):
    monkeypatch.setattr(evaluation, "MAX_STORED_CHARACTERS", 100)
    store = SingleStore()
    assert put(store, "g.a", "x" * 40) == KeyWritten(1)
    assert put(store, "g.b", "y" * 20) == Overloaded()
    assert put(store, "g.a", "y" * 4) == KeyWritten(2)
    store.now += RETENTION_S + 1
    assert put(store, "g.a", "z") == KeyWritten(3)
    assert store.state.stored_characters == 2 * len("g.az")
    recounted = sum(group.characters for group in store.state.groups.values())
    assert store.state.stored_characters == recounted


def test_a_decoded_state_is_equal_to_the_original():
    store = SingleStore()
    put(store, "g.a", "1")
    assert CoordinationState({}, {}, dict(store.state.groups), store.state.stored_characters) == store.state


def test_maps_that_a_change_does_not_touch_stay_the_same_objects():
    store = SingleStore()
    put(store, "g.a", "1")
    before = store.state
    put(store, "g.b", "2")
    assert store.state.locks is before.locks
    assert store.state.groups is not before.groups

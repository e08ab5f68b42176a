"""Keys: one rising count a group, puts that are known when they come again, histories kept for a time."""

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
from tests.coordination.stage import RETENTION_S, Stage


def put(stage, key, value, if_revision=None):
    return stage.ask(PutKey(key, value, if_revision))


def watched(stage, after, committed=10**9):
    found = events_after(stage.state.group("g."), after, committed)
    return found if isinstance(found, Compacted) else [event.revision for event in found.events]


@pytest.mark.parametrize(("key", "group"), [("g1.2d", "g1."), ("g1.a.b", "g1."), ("g1", "g1"), (".a", ".")])
def test_a_group_is_what_stands_before_the_first_dot(key, group):
    assert group_of(key) == group


def test_keys_of_a_group_share_one_count_of_revisions():
    stage = Stage()
    written = [
        put(stage, key, value) for key, value in (("g.a", "1"), ("g.b", "2"), ("h.a", "3"), ("g.a", "4"))
    ]
    assert written == [KeyWritten(revision) for revision in (1, 2, 1, 3)]
    assert stage.ask(GetKey("g.a")) == KeyFound("4", 3)
    assert stage.ask(GetKey("g.c")) == KeyMissing()


def test_a_put_on_another_revision_is_refused_with_the_key_s_own():
    stage = Stage()
    assert put(stage, "g.a", "1", 0) == KeyWritten(1)
    put(stage, "g.b", "2")
    assert put(stage, "g.a", "3", 0) == RevisionMismatch(1)
    assert put(stage, "g.a", "3", 2) == RevisionMismatch(1)
    assert put(stage, "g.a", "3", 1) == KeyWritten(3)


def test_a_put_that_comes_again_gets_its_first_revision_also_once_it_was_overwritten():
    stage = Stage()
    put(stage, "g.a", "1", 0)
    put(stage, "g.a", "2")
    assert put(stage, "g.a", "1", 0) == KeyWritten(1)
    assert stage.ask(GetKey("g.a")) == KeyFound("2", 2)


def test_events_are_sent_in_order_up_to_what_is_committed():
    stage = Stage()
    for number in range(4):
        put(stage, "g.a", str(number))
    assert watched(stage, 1) == [2, 3, 4]
    assert watched(stage, 1, committed=3) == [2, 3]
    assert watched(stage, 4) == []
    assert committed_revision(stage.state.group("g."), 3) == 3


def test_one_answer_holds_a_bounded_number_of_events(monkeypatch):
    monkeypatch.setattr(history, "MAX_WATCH_EVENTS", 2)
    stage = Stage()
    for number in range(5):
        put(stage, "g.a", str(number))
    found = events_after(stage.state.group("g."), 1, 5)
    assert (len(found.events), found.revision) == (2, 3)


def test_events_are_forgotten_once_they_were_known_for_the_retention_time_and_not_before():
    stage = Stage()
    for number in range(3):
        put(stage, "g.a", str(number))
        stage.now += 1.0
    stage.now += RETENTION_S - 2.5
    put(stage, "g.a", "late")
    assert watched(stage, 0) == Compacted()
    assert watched(stage, 1) == [2, 3, 4]
    assert committed_revision(stage.state.group("g."), 3) == 3


def test_a_new_primary_keeps_events_for_the_whole_time_from_when_it_first_held_them():
    stage = Stage()
    put(stage, "g.a", "1")
    stage.now += RETENTION_S
    stage.fail_over()
    stage.now += RETENTION_S - 0.1
    put(stage, "g.a", "2")
    assert watched(stage, 0) == [1, 2]


def test_what_is_stored_is_bounded_and_what_is_forgotten_makes_room(monkeypatch):
    monkeypatch.setattr(evaluation, "MAX_STORED_CHARACTERS", 100)
    stage = Stage()
    assert put(stage, "g.a", "x" * 40) == KeyWritten(1)
    assert put(stage, "g.b", "y" * 20) == Overloaded()
    assert put(stage, "g.a", "y" * 4) == KeyWritten(2)
    stage.now += RETENTION_S + 1
    assert put(stage, "g.a", "z") == KeyWritten(3)
    assert stage.state.stored_characters == 2 * len("g.az")
    recounted = sum(group.characters for group in stage.state.groups.values())
    assert stage.state.stored_characters == recounted


def test_states_that_were_decoded_hold_maps_that_are_equal():
    stage = Stage()
    put(stage, "g.a", "1")
    assert CoordinationState({}, {}, dict(stage.state.groups), stage.state.stored_characters) == stage.state


def test_maps_that_a_change_leaves_alone_stay_the_same_object():
    stage = Stage()
    put(stage, "g.a", "1")
    before = stage.state
    put(stage, "g.b", "2")
    assert stage.state.locks is before.locks
    assert stage.state.groups is not before.groups

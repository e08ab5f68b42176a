"""Locks: one holder at a time, fencing tokens that rise, times that only the store's steady clock counts."""

from __future__ import annotations

import pytest

from fordtrestle.coordination import evaluation
from fordtrestle.coordination.answers import (
    LockGranted,
    LockReleased,
    LockRenewed,
    LockUnavailable,
    NumberIssued,
    Overloaded,
)
from fordtrestle.coordination.commands import AcquireLock, IssueNumber, ReleaseLock, RenewLock
from tests.coordination.stage import Stage


def acquire(holder, hold_ms=1000.0, name="l"):
    return AcquireLock(name, holder, hold_ms)


def test_a_held_lock_is_refused_to_others_until_its_time_is_over_and_then_has_a_higher_fence():
    stage = Stage()
    first = stage.ask(acquire("a"))
    stage.now += 0.999
    assert stage.ask(acquire("b")) == LockUnavailable()
    stage.now += 0.002
    second = stage.ask(acquire("b"))
    assert second.fence > first.fence
    assert stage.ask(acquire("b")) == second
    assert stage.ask(RenewLock("l", "a", first.fence, 1000.0)) == LockUnavailable()


def test_the_holder_that_asks_again_keeps_its_fence_and_gets_more_time():
    stage = Stage()
    first = stage.ask(acquire("a"))
    stage.now += 0.9
    assert stage.ask(acquire("a")) == first
    stage.now += 0.9
    assert stage.ask(acquire("b")) == LockUnavailable()


def test_a_holder_whose_time_is_over_gets_a_new_fence_under_its_old_name():
    stage = Stage()
    first = stage.ask(acquire("a"))
    stage.now += 1.1
    assert stage.ask(RenewLock("l", "a", first.fence, 1000.0)) == LockUnavailable()
    assert stage.ask(acquire("a")).fence > first.fence


def test_a_shorter_extension_takes_no_time_away_that_the_holder_may_count_on():
    stage = Stage()
    first = stage.ask(acquire("a", 5000.0))
    assert stage.ask(RenewLock("l", "a", first.fence, 100.0)) == LockRenewed()
    stage.fail_over()
    stage.now += 4.9
    assert stage.ask(acquire("b")) == LockUnavailable()


@pytest.mark.parametrize("holder_and_fence", [("b", 1), ("a", 2)])
def test_only_the_holder_gives_a_lock_back_and_everybody_is_answered_alike(holder_and_fence):
    stage = Stage()
    assert stage.ask(acquire("a")) == LockGranted(1)
    assert stage.ask(ReleaseLock("l", *holder_and_fence)) == LockReleased()
    assert stage.ask(acquire("c")) == LockUnavailable()
    assert stage.ask(ReleaseLock("l", "a", 1)) == LockReleased()
    assert stage.ask(acquire("c")) == LockGranted(3)
    assert stage.ask(ReleaseLock("l", "a", 1)) == LockReleased()
    assert stage.ask(acquire("d")) == LockUnavailable()


def test_a_new_primary_counts_a_lock_from_when_it_first_held_the_grant():
    stage = Stage()
    stage.ask(acquire("a"))
    stage.fail_over(unseen_s=60.0)
    stage.now += 0.9
    assert stage.ask(acquire("b")) == LockUnavailable()
    stage.now += 0.2
    assert isinstance(stage.ask(acquire("b")), LockGranted)


def test_a_lock_that_nobody_gave_back_makes_room_for_another_and_held_ones_do_not(monkeypatch):
    monkeypatch.setattr(evaluation, "MAX_LOCKS", 2)
    stage = Stage()
    stage.ask(acquire("a", 1000.0, "one"))
    stage.ask(acquire("a", 9000.0, "two"))
    assert stage.ask(acquire("a", 1000.0, "three")) == Overloaded()
    stage.now += 1.1
    assert isinstance(stage.ask(acquire("a", 1000.0, "three")), LockGranted)
    assert sorted(stage.state.locks) == ["three", "two"]


def test_numbers_rise_under_each_name_and_names_are_bounded(monkeypatch):
    monkeypatch.setattr(evaluation, "MAX_COUNTERS", 2)
    stage = Stage()
    asked = [stage.ask(IssueNumber(name)) for name in ("n", "n", "m", "n", "o")]
    assert asked == [*(NumberIssued(value) for value in (1, 2, 1, 3)), Overloaded()]

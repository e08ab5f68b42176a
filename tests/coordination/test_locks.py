"""Tests locks: one holder at a time, rising fencing tokens, and leases on the store's steady clock."""

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
from tests.coordination.stage import SingleStore


def acquire(holder, hold_ms=1000.0, name="l"):
    return AcquireLock(name, holder, hold_ms)


def test_a_held_lock_is_denied_to_others_until_it_expires_and_then_gets_a_higher_fence():
    store = SingleStore()
    first = store.execute(acquire("a"))
    store.now += 0.999
    assert store.execute(acquire("b")) == LockUnavailable()
    store.now += 0.002
    second = store.execute(acquire("b"))
    assert second.fence > first.fence
    assert store.execute(acquire("b")).fence > second.fence
    assert store.execute(RenewLock("l", "a", first.fence, 1000.0)) == LockUnavailable()


def test_a_holder_that_acquires_again_gets_a_higher_fence_and_extends_its_lease():
    store = SingleStore()
    first = store.execute(acquire("a"))
    store.now += 0.9
    second = store.execute(acquire("a"))
    assert second.fence > first.fence
    assert store.execute(RenewLock("l", "a", second.fence, 1000.0)) == LockRenewed()
    store.now += 0.9
    assert store.execute(acquire("b")) == LockUnavailable()


def test_a_shorter_lease_of_a_second_acquisition_does_not_shorten_the_first():
    store = SingleStore()
    store.execute(acquire("a", 5000.0))
    store.execute(acquire("a", 100.0))
    store.now += 4.9
    assert store.execute(acquire("b")) == LockUnavailable()
    store.now += 0.2
    assert isinstance(store.execute(acquire("b")), LockGranted)


def test_a_late_release_does_not_end_the_hold_that_was_acquired_after_it_was_sent():
    # Two callers held one lock: a release that had waited was executed after its sender had the lock again.
    store = SingleStore()
    first = store.execute(acquire("a"))
    second = store.execute(acquire("a"))
    assert store.execute(ReleaseLock("l", "a", first.fence)) == LockReleased()
    assert store.execute(acquire("b")) == LockUnavailable()
    assert store.execute(ReleaseLock("l", "a", second.fence)) == LockReleased()
    assert isinstance(store.execute(acquire("b")), LockGranted)


def test_a_release_that_is_executed_before_the_next_acquisition_leaves_that_hold_alone():
    store = SingleStore()
    first = store.execute(acquire("a"))
    store.execute(ReleaseLock("l", "a", first.fence))
    second = store.execute(acquire("a"))
    assert second.fence > first.fence
    assert store.execute(ReleaseLock("l", "a", first.fence)) == LockReleased()
    assert store.execute(acquire("b")) == LockUnavailable()


def test_a_late_release_does_not_end_a_hold_acquired_after_the_lease_had_ended():
    store = SingleStore()
    first = store.execute(acquire("a"))
    store.now += 1.1
    store.execute(acquire("a"))
    assert store.execute(ReleaseLock("l", "a", first.fence)) == LockReleased()
    assert store.execute(acquire("b")) == LockUnavailable()


def test_the_fence_of_an_earlier_hold_renews_nothing():
    store = SingleStore()
    first = store.execute(acquire("a"))
    store.execute(acquire("a"))
    assert store.execute(RenewLock("l", "a", first.fence, 9000.0)) == LockUnavailable()
    store.now += 1.1
    assert isinstance(store.execute(acquire("b")), LockGranted)


def test_a_holder_whose_lease_expired_gets_a_new_fence():
    store = SingleStore()
    first = store.execute(acquire("a"))
    store.now += 1.1
    assert store.execute(RenewLock("l", "a", first.fence, 1000.0)) == LockUnavailable()
    assert store.execute(acquire("a")).fence > first.fence


def test_a_shorter_extension_does_not_shorten_the_lease():
    store = SingleStore()
    first = store.execute(acquire("a", 5000.0))
    assert store.execute(RenewLock("l", "a", first.fence, 100.0)) == LockRenewed()
    store.fail_over()
    store.now += 4.9
    assert store.execute(acquire("b")) == LockUnavailable()


@pytest.mark.parametrize("holder_and_fence", [("b", 1), ("a", 2)])
def test_only_the_holder_releases_a_lock_and_all_callers_get_the_same_answer(holder_and_fence):
    store = SingleStore()
    assert store.execute(acquire("a")) == LockGranted(1)
    assert store.execute(ReleaseLock("l", *holder_and_fence)) == LockReleased()
    assert store.execute(acquire("c")) == LockUnavailable()
    assert store.execute(ReleaseLock("l", "a", 1)) == LockReleased()
    assert store.execute(acquire("c")) == LockGranted(3)
    assert store.execute(ReleaseLock("l", "a", 1)) == LockReleased()
    assert store.execute(acquire("d")) == LockUnavailable()


def test_a_new_primary_counts_a_lease_from_when_it_first_held_the_grant():
    store = SingleStore()
    store.execute(acquire("a"))
    store.fail_over(unobserved_s=60.0)
    store.now += 0.9
    assert store.execute(acquire("b")) == LockUnavailable()
    store.now += 0.2
    assert isinstance(store.execute(acquire("b")), LockGranted)


def test_an_expired_lock_is_evicted_for_another_and_a_held_one_is_not(monkeypatch):
    monkeypatch.setattr(evaluation, "MAX_LOCKS", 2)
    store = SingleStore()
    store.execute(acquire("a", 1000.0, "one"))
    store.execute(acquire("a", 9000.0, "two"))
    assert store.execute(acquire("a", 1000.0, "three")) == Overloaded()
    store.now += 1.1
    assert isinstance(store.execute(acquire("a", 1000.0, "three")), LockGranted)
    assert sorted(store.state.locks) == ["three", "two"]


def test_numbers_rise_under_each_name_and_the_count_of_names_is_bounded(monkeypatch):
    monkeypatch.setattr(evaluation, "MAX_COUNTERS", 2)
    store = SingleStore()
    asked = [store.execute(IssueNumber(name)) for name in ("n", "n", "m", "n", "o")]
    assert asked == [*(NumberIssued(value) for value in (1, 2, 1, 3)), Overloaded()]

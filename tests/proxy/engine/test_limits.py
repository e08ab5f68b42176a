"""The ledger: never over, nothing leaks, guarantees are kept, and who holds too much gives back."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fordtrestle.proxy.engine.limits import Limits, ResourceQuota


def two(capacity=100, front=20, pool=30):
    ledger = ResourceQuota("descriptors", capacity)
    return ledger, ledger.add_share("front", front), ledger.add_share("pool", pool)


def test_a_part_borrows_the_common_rest_but_never_what_others_are_guaranteed():
    ledger, front, pool = two()
    assert front.acquire(70)
    assert not front.acquire()
    assert ledger.free == front.available == 0
    assert pool.available == 30
    assert pool.acquire(30)
    assert not pool.acquire()
    assert ledger.used == 100


def test_a_guarantee_is_there_at_once_after_any_time_of_rest():
    _, front, pool = two()
    while front.acquire():
        pass
    assert all(pool.acquire() for _ in range(30))


def test_what_is_given_back_can_be_borrowed_by_the_other():
    _, front, pool = two()
    assert front.acquire(70)
    assert pool.acquire(30)
    front.release(50)
    assert pool.acquire(50)
    assert not pool.acquire()
    with pytest.raises(ValueError, match="front gives 21 of 20"):
        front.release(21)


def test_who_holds_more_than_is_fair_gives_way_to_who_holds_less():
    _, front, pool = two()
    asked = []

    def reclaim(count):
        asked.append(count)
        front.release(count)

    front.reclaim = reclaim
    assert front.fair_share == 45.0
    assert pool.fair_share == 55.0
    assert front.acquire(70)
    assert pool.acquire(30)
    assert pool.acquire()
    assert asked == [1]
    assert pool.acquire(24)
    assert asked == [1, 24]
    assert not pool.acquire()
    assert front.used == 45


def test_who_holds_less_than_is_fair_is_never_asked():
    _, front, pool = two()
    pool.reclaim = lambda count: pytest.fail("asked though it holds less than is fair")
    assert front.acquire(55)
    assert pool.acquire(45)
    assert not front.acquire()


def test_a_part_that_gives_nothing_back_is_no_room():
    ledger, front, pool = two()
    front.reclaim = lambda count: None
    assert front.acquire(70)
    assert pool.acquire(30)
    assert not pool.acquire()
    assert (front.used, pool.used, ledger.used) == (70, 30, 100)


def test_more_than_there_is_can_not_be_guaranteed():
    ledger, _, _ = two()
    with pytest.raises(ValueError, match="51 for dns can't be guaranteed"):
        ledger.add_share("dns", 51)


def test_a_capacity_lowered_below_what_is_held_takes_nothing_until_it_fits():
    ledger, front, pool = two()
    front.reclaim = lambda count: front.release(min(count, 10))
    assert front.acquire(70)
    assert pool.acquire(30)
    assert ledger.resize(40) == 50
    assert front.used == 60
    assert (front.guaranteed, pool.guaranteed) == (16, 24)
    assert not front.acquire()
    assert not pool.acquire()
    front.release(55)
    assert ledger.excess == 0
    assert ledger.used == 35
    assert pool.acquire(0)
    assert front.acquire(5)
    assert not front.acquire()
    assert ledger.resize(100) == 0
    assert front.acquire()


def test_a_capacity_that_is_raised_again_guarantees_what_it_did():
    ledger, front, pool = two()
    ledger.resize(10)
    assert (front.guaranteed, pool.guaranteed) == (4, 6)
    ledger.resize(1)
    ledger.resize(100)
    assert (front.guaranteed, pool.guaranteed) == (20, 30)
    assert ledger.committed == 50
    assert front.acquire(70)
    assert not front.acquire()
    assert pool.acquire(30)


def test_what_is_free_can_be_taken_without_taking_from_others():
    ledger, front, pool = two()
    front.reclaim = lambda count: pytest.fail("asked to give back")
    assert front.acquire(70)
    assert pool.acquire(30)
    assert not pool.acquire_free()
    front.release()
    assert pool.acquire_free()
    assert ledger.free == 0


def test_a_part_with_no_room_is_pressed_whatever_others_leave_unused():
    ledger, front, _ = two()
    assert ledger.utilization == 0.0
    assert front.acquire(70)
    assert ledger.utilization == 1.0
    front.release(35)
    assert ledger.utilization == 0.5


def test_within_its_guarantee_a_part_takes_again_as_soon_as_the_sum_fits():
    ledger, front, pool = two()
    assert front.acquire(70)
    assert ledger.resize(75) == 0  # 70 held, 30 guaranteed to the other
    assert pool.acquire(5)
    assert not pool.acquire()


@given(
    st.integers(10, 60),
    st.lists(st.integers(0, 12), min_size=1, max_size=4),
    st.lists(
        st.tuples(st.sampled_from(["take", "give", "resize", "die"]), st.integers(0, 3), st.integers(0, 30)),
        max_size=80,
    ),
)
def test_over_any_order_of_take_give_and_death_it_is_never_over_and_nothing_leaks(capacity, shares, steps):
    ledger = ResourceQuota("descriptors", capacity)
    parts = []
    for number, share in enumerate(shares):
        if sum(part.guaranteed for part in parts) + share <= capacity:
            parts.append(ledger.add_share(str(number), share, weight=1.0 + number))
    expected = dict.fromkeys(parts, 0)

    def gives(part):
        def reclaim(count):
            given_back = min(count, part.used) // 2
            expected[part] -= given_back
            part.release(given_back)

        return reclaim

    for part in parts[::2]:
        part.reclaim = gives(part)
    lowered = False
    for step, which, count in steps:
        part = parts[which % len(parts)] if parts else None
        if part is None:
            return
        if step == "take":
            before, others = part.used, {other: other.used for other in parts if other is not part}
            room = part.available
            taken = part.acquire(count)
            if taken:
                expected[part] += count
            else:
                assert part.used == before
            if not lowered and count <= room:
                assert taken  # what is free or one's own is never denied
            if not lowered and before + count <= part.guaranteed:
                assert taken
            # Nobody is taken from below what is fair.
            for other, held in others.items():
                assert other.used >= min(held, int(ledger.fair_share(other)))
        elif step == "give":
            count = min(count, part.used)
            part.release(count)
            expected[part] -= count
        elif step == "die":
            part.release(part.used)
            expected[part] = 0
        else:
            over = ledger.resize(max(1, count + capacity // 2))
            lowered = True
            assert over == max(0, ledger.used - ledger.capacity)
        assert {part: part.used for part in parts} == expected
        if not lowered:
            assert ledger.used <= ledger.capacity
        assert ledger.committed == sum(max(part.used, part.guaranteed) for part in parts)
    for part in parts:
        part.release(part.used)
    assert ledger.used == 0


@given(st.lists(st.tuples(st.integers(0, 1), st.integers(1, 20)), max_size=60))
def test_once_it_was_lowered_nothing_is_taken_that_would_be_over(steps):
    ledger, front, pool = two()
    front.acquire(60)
    ledger.resize(50)
    for which, count in steps:
        held = ledger.used
        if (front, pool)[which].acquire(count):
            assert ledger.used == held + count <= 50
        else:
            front.release(min(front.used, count))


def test_a_budget_has_a_part_of_each_resource():
    limits = Limits(100, 1000, 10)
    front, pool = limits.budget("front", 20, 200, 2), limits.budget("pool", 30)
    assert front.calls.acquire(10)
    assert not pool.calls.acquire()
    assert front.buffered.acquire(1000)
    assert not pool.buffered.acquire()
    assert pool.descriptors.acquire(80)
    assert front.descriptors.available == 20

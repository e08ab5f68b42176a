"""Leases: what no node may ever do, over true time, and each guard that keeps it so."""

from __future__ import annotations

import random

import pytest

from fordtrestle.cluster.grantor import ENDS_MOST, Effect, Grantor
from fordtrestle.cluster.holder import NONCES_MOST, OFFERS_MOST, TRIES_MOST, Holder
from fordtrestle.cluster.lease import COUNT_BITS, DEPTH_MOST, Known, LeaseConfig
from fordtrestle.cluster.messages import Denied, Grant, Renew
from tests.cluster.leases import CONFIG, World

BOOKS = {number: f"d{number}" for number in range(1, 30)}
SETTLED = CONFIG.check_ms + 1.0


def known(effective, pending, leader="l"):
    return Known(1, leader, effective, pending, BOOKS.get(effective, ""), BOOKS.get(pending, ""))


def grant(renew, effective, pending, span_ms=CONFIG.lease_ms, depth=1):
    return Grant(
        renew.nonce, 1, "l", depth, span_ms, effective, pending, BOOKS.get(effective, ""), BOOKS[pending]
    )


def holder(now_ms=0.0, config=CONFIG, seed=1):
    return Holder(config, random.Random(seed), now_ms)


def holding(effective, pending, now_ms=0.0, **options):
    it = holder(now_ms, **options)
    assert it.granted(now_ms, "l", grant(it.ask(now_ms, "l", 0, False), effective, pending))
    it.apply(now_ms, BOOKS)
    return it


def leader(effective, pending, config=CONFIG, until_ms=1e9, most=64):
    it = holder(config=config)
    it.lead(0.0, until_ms, known(effective, pending))
    return Grantor(config, "l", it, leader_children_most=most)


# --- the world --------------------------------------------------------------------------------


@pytest.mark.parametrize("first", range(0, 24, 8))
def test_no_two_act_on_what_contradicts_whatever_happens(first):
    for seed in range(first, first + 8):
        world = World(seed).run()
        assert not world.breaches, (seed, world.breaches[:3])
        assert world.seen["effective"] and world.seen["between"] and world.seen["depth"] >= 3


def test_after_healing_all_hold_a_lease_and_the_newest_rulebook_takes_effect():
    for seed in range(6):
        world = World(seed, faulty_ms=6000.0, quiet_ms=3.0 * CONFIG.lease_ms).run()
        without = sum(not node.holder.may_act(node.now()) for node in world.nodes)
        assert without <= 1, seed  # one in the midst of a renewal that was refused
        world.end = world.faulty_ms + 4.0 * CONFIG.hold_ms
        world.run()
        assert {node.holder.known.effective for node in world.nodes} == {world.pending}, seed
        assert not world.breaches


# --- the configuration ------------------------------------------------------------------------


def test_a_bound_below_the_smallest_is_refused_in_one_line():
    smallest = LeaseConfig().smallest_ms
    assert smallest == pytest.approx(50.0 + 5 * 2 * 40.0 * 1.002)
    assert LeaseConfig(smallest).fault() == ""
    assert LeaseConfig(smallest).renew_ms == pytest.approx(2 * 40.0)
    assert LeaseConfig(450.0).fault().startswith("contradiction_ms: 450 is below 451, the smallest with")
    assert LeaseConfig(drift_ppm=-1.0).fault() == "drift_ppm: -1 is not from 0 to 100000"
    assert LeaseConfig(float("nan")).fault().startswith("contradiction_ms: nan is not")


# --- a holder ---------------------------------------------------------------------------------


def test_a_lease_counts_from_the_asking_and_a_check_looks_ahead():
    it = holder()
    renew = it.ask(0.0, "l", 0, False)
    assert not it.may_act(0.0)
    assert it.granted(900.0, "l", grant(renew, 1, 2, span_ms=1000.0))
    assert it.apply(900.0, BOOKS)
    assert it.may_act(1000.0 - CONFIG.check_ms)
    assert not it.may_act(1000.1 - CONFIG.check_ms)


def test_a_grant_is_taken_once_from_who_was_asked_and_not_when_it_is_over():
    it = holder()
    renew, late = it.ask(0.0, "l", 0, False), it.ask(1.0, "l", 0, False)
    assert not it.granted(2.0, "other", grant(renew, 1, 2))
    assert it.granted(2.0, "l", grant(renew, 1, 2))
    assert not it.granted(3.0, "l", grant(renew, 1, 2))
    assert not it.granted(3.0, "l", grant(Renew(7, 0, (0, 0)), 1, 2))
    assert not it.granted(1001.0, "l", grant(late, 1, 2, span_ms=1000.0))
    assert it.counts == {"unasked": 3, "late": 1}
    again = holder(seed=2)
    again.ask(0.0, "l", 0, False)
    assert not again.granted(4.0, "l", grant(renew, 1, 2))  # of an incarnation before


def test_an_older_answer_neither_shortens_a_lease_nor_takes_numbers_back():
    it = holder()
    first, second, third = (it.ask(at_ms, "l", 0, False) for at_ms in (0.0, 300.0, 300.0))
    it.granted(310.0, "l", grant(second, 1, 3))
    it.apply(310.0, BOOKS)
    until_ms = it.until_ms
    it.granted(311.0, "l", grant(first, 1, 3))
    it.apply(311.0, BOOKS)
    assert it.until_ms == until_ms
    assert not it.granted(312.0, "l", grant(third, 1, 2))
    assert (it.known.pending, it.counts["older"]) == (3, 1)


def test_what_no_grantor_says_is_refused():
    for bad in (
        {"effective": 3, "pending": 2},
        {"effective": -1, "pending": 2},
        {"effective": 1, "pending": 2, "span_ms": float("nan")},
        {"effective": 1, "pending": 2, "depth": DEPTH_MOST + 1},
    ):
        it = holder()
        assert not it.granted(0.0, "l", grant(it.ask(0.0, "l", 0, False), **bad))
        assert it.counts == {"bad": 1}
    it = holder()
    it.granted(0.0, "l", grant(it.ask(0.0, "l", 0, False), 1, 2, span_ms=float("inf")))
    it.apply(0.0, BOOKS)
    assert it.until_ms == CONFIG.lease_ms


def test_a_grant_counts_only_once_its_books_are_there_and_are_the_right_ones():
    it = holding(1, 2)
    it.granted(100.0, "l", grant(it.ask(100.0, "l", 0, False), 1, 4))
    assert not it.apply(100.0, {1: "d1", 2: "d2", 4: "d4"})
    assert (it.known.pending, it.until_ms, it.wanted.known.pending) == (2, CONFIG.lease_ms, 4)
    assert it.vouched(200.0) == 2
    assert it.apply(300.0, BOOKS)
    assert (it.known.pending, it.until_ms, it.wanted) == (4, 100.0 + CONFIG.lease_ms, None)
    it.granted(400.0, "l", grant(it.ask(400.0, "l", 0, False), 1, 5))
    assert not it.apply(400.0, {**BOOKS, 5: "other"})
    assert (it.known.pending, it.counts["wrong"]) == (4, 1)


def test_a_number_is_vouched_for_once_no_act_that_was_checked_before_is_to_come():
    it = holding(1, 2)
    assert it.vouched(CONFIG.check_ms - 1.0) == 0
    assert it.vouched(CONFIG.check_ms) == 2
    it.learn(1000.0, known(1, 5))
    it.learn(1001.0, known(1, 6))
    assert [it.vouched(1000.0 + ms) for ms in (2.0, CONFIG.check_ms, SETTLED)] == [2, 2, 6]


def test_a_doubt_ends_the_lease_the_incarnation_and_all_that_was_asked():
    it = holding(1, 2)
    incarnation, renew = it.incarnation, it.ask(10.0, "l", 0, False)
    it.granted(15.0, "l", grant(it.ask(15.0, "l", 0, False), 1, 3))
    it.drop(20.0, "jump")
    it.apply(20.0, BOOKS)
    assert not it.may_act(20.0)
    assert not it.granted(30.0, "l", grant(renew, 1, 2))
    assert it.incarnation != incarnation
    assert it.ask(30.0, "l", 0, False).nonce >> COUNT_BITS == it.incarnation
    it.bar(40.0, "drift")
    assert it.next_ms() == float("inf")
    it.lead(50.0, 1000.0, known(1, 2))
    assert not it.may_act(50.0)
    assert it.again_ms(50.0) == CONFIG.lease_ms
    it.unbar(60.0)
    assert it.next_ms() == 60.0


def test_questions_are_bounded_in_number_and_in_time():
    it = holder()
    asked = []
    now_ms = 0.0
    while now_ms < 20 * CONFIG.lease_ms:
        now_ms = it.next_ms()
        asked.append(it.ask(now_ms, "l", 0, False))
        if len(asked) % 2:
            it.denied(now_ms, "l", Denied(asked[-1].nonce, "full", "", 0.0))
        assert 0.0 < it.again_ms(now_ms) <= CONFIG.lease_ms
    assert len(asked) <= 20 * 5 * TRIES_MOST
    for _ in range(NONCES_MOST):
        newest = it.ask(now_ms, "l", 0, False)
    assert not it.granted(now_ms, "l", grant(asked[-1], 1, 2))
    assert it.granted(now_ms, "l", grant(newest, 1, 2))
    assert it.overdue == ""


def test_of_many_grants_without_books_a_few_wait_and_the_first_is_among_them():
    it = holder()
    for pending in range(2, 12):
        it.granted(1.0, "l", grant(it.ask(0.0, "l", 0, False), 1, pending))
    assert it.wanted.known.pending == 11
    assert it.apply(2.0, {1: "d1", 2: "d2"})
    assert it.known.pending == 2
    assert len(it._offers) == OFFERS_MOST - 1


def test_it_asks_well_before_its_end_and_sooner_where_others_rest_on_it_or_it_has_more_to_vouch_for():
    it = holding(1, 2)
    assert 0.75 * CONFIG.renew_ms <= it.next_ms() <= CONFIG.renew_ms
    now_ms = it.next_ms()
    it.granted(now_ms, "l", grant(it.ask(now_ms, "l", 2, True), 1, 3))
    it.apply(now_ms, BOOKS)
    assert it.next_ms() <= now_ms + CONFIG.renew_ms / 2.0
    it.vouch(now_ms + SETTLED, 3)
    assert it.next_ms() <= now_ms + max(SETTLED, CONFIG.renew_ms / 4.0)


# --- granting ---------------------------------------------------------------------------------


def test_a_part_is_granted_and_never_more_than_is_left():
    upper = leader(1, 2)
    it = holding(1, 2)
    below = Grantor(CONFIG, "a", it)
    first = upper.answer(10.0, "a", Renew(1, 0, (0, 0)))
    second = below.answer(500.0, "b", Renew(1, 0, (0, 0)))
    assert (first.span_ms, first.depth) == (CONFIG.lease_ms, 1)
    assert (second.span_ms, second.depth) == (CONFIG.lease_ms - 500.0, 2)
    none = below.answer(CONFIG.lease_ms, "b", Renew(2, 0, (0, 0)))
    assert (none.why, none.ask) == ("no lease", "l")


def test_a_leader_grants_while_its_leader_lease_holds_and_then_what_is_left():
    upper = leader(1, 2, until_ms=100.0)
    assert upper.answer(0.0, "a", Renew(1, 0, (0, 0))).span_ms == CONFIG.lease_ms
    assert upper.answer(100.0, "a", Renew(2, 0, (0, 0))).why == "no lease"
    upper.holder.lead(150.0, 300.0, known(1, 2))
    upper.holder.follow()
    assert upper.answer(200.0, "b", Renew(2, 0, (0, 0))).span_ms == 100.0


def test_refusals_say_whom_to_ask():
    it = holding(2, 3)
    below = Grantor(CONFIG, "a", it, children_most=1)
    assert below.answer(1.0, "l", Renew(1, 0, (2, 3))).why == "loop"
    assert below.answer(1.0, "b", Renew(1, 0, (2, 4))).why == "behind"
    below.answer(1.0, "b", Renew(1, 0, (2, 3)))
    full = below.answer(1.0, "c", Renew(1, 0, (2, 3)))
    assert (full.why, full.ask) == ("full", "b")
    assert isinstance(below.answer(2.0, "b", Renew(2, 0, (2, 3))), Grant)
    assert isinstance(below.answer(CONFIG.hold_ms + 5.0, "c", Renew(2, 0, (2, 3))), Denied)
    it.granted(9.0, "x", grant(it.ask(9.0, "x", 0, False), 2, 3, depth=DEPTH_MOST))
    it.apply(9.0, BOOKS)
    assert below.answer(10.0, "b", Renew(2, 0, (2, 3))).why == "depth"


def test_a_number_is_heard_of_when_all_below_vouch_or_have_run_out():
    it = holding(1, 2)
    below = Grantor(CONFIG, "a", it)
    below.answer(0.0, "b", Renew(1, 0, (1, 2)))
    below.answer(0.0, "c", Renew(1, 0, (1, 2)))
    it.learn(10.0, known(1, 3))
    assert below.heard(10.0 + SETTLED) == 2
    below.answer(100.0, "b", Renew(2, 3, (1, 3)))
    assert below.heard(100.0) == 2
    below.answer(100.0, "c", Renew(2, 3, (1, 3)))
    assert below.heard(100.0) == 3
    it.learn(200.0, known(1, 4))
    below.answer(300.0, "b", Renew(3, 4, (1, 4)))
    last = below.next_ms(300.0)
    assert [below.heard(last - 0.1), below.heard(last)] == [3, 4]


def test_of_two_processes_under_one_name_one_does_not_vouch_for_the_other():
    it = holding(1, 2)
    below = Grantor(CONFIG, "a", it)
    below.answer(0.0, "b", Renew(1 << COUNT_BITS | 1, 0, (1, 2)))
    it.learn(10.0, known(1, 3))
    below.answer(100.0, "b", Renew(2 << COUNT_BITS | 1, 3, (1, 3)))
    assert below.heard(200.0) == 2


def test_the_longest_of_a_childs_leases_counts_and_many_numbers_take_bounded_room():
    upper = leader(1, 2, until_ms=100.0)
    upper.answer(99.0, "a", Renew(1, 0, (0, 0)))
    upper.holder.granted(100.0, "x", grant(upper.holder.ask(100.0, "x", 0, False), 1, 2, span_ms=200.0))
    upper.holder.apply(100.0, BOOKS)
    upper.answer(110.0, "a", Renew(2, 0, (0, 0)))
    upper.holder.learn(120.0, known(1, 3))
    assert [upper.heard(99.0 + CONFIG.hold_ms - 1.0), upper.heard(99.0 + CONFIG.hold_ms)] == [2, 3]
    upper = leader(1, 2)
    for step in range(2 * ENDS_MOST):
        upper.holder.learn(float(step), known(1, 2 + step))
        upper.answer(float(step), "a", Renew(step, 0, (0, 0)))
    (child,) = upper._children.values()
    assert len(child.ends) == ENDS_MOST
    assert upper.heard(CONFIG.hold_ms - 1.0) == 2


# --- taking effect ----------------------------------------------------------------------------


@pytest.mark.parametrize("renewed", [False, True])
def test_nothing_takes_effect_while_a_slow_clock_may_hold_a_lease_without_it(renewed):
    config = LeaseConfig(drift_ppm=100_000.0, check_ms=1.0)
    slow, fast = 1.0 - config.drift, 1.0 + config.drift
    upper, effect = leader(1, 2, config), Effect(config)
    effect.begin(0.0, upper)
    granted_ms = 10_000.0 if renewed else 0.0  # true time; before it another leader granted
    it = holder(slow * granted_ms, config)
    renew = it.ask(slow * granted_ms, "l", 0, False)
    answer = upper.answer(fast * granted_ms, "a", renew) if renewed else grant(renew, 1, 2, config.lease_ms)
    it.granted(slow * granted_ms, "l", answer)
    it.apply(slow * granted_ms, BOOKS)
    upper.holder.learn(fast * granted_ms, known(1, 3))
    true_ms = granted_ms
    while not effect.ready(fast * true_ms, upper, 2):
        assert true_ms < granted_ms + 1.3 * config.lease_ms
        true_ms += 0.5
    assert slow * true_ms >= it.until_ms
    assert slow * true_ms < it.until_ms + 2.0


def test_the_highest_that_all_have_heard_of_takes_effect_and_each_is_told_once():
    upper, effect = leader(1, 2), Effect(CONFIG)
    assert effect.ready(1e6, upper, 1) == 0  # it has not begun a term
    effect.begin(0.0, upper)
    assert effect.next_ms(0.0, upper, 1) == CONFIG.hold_ms
    now_ms = CONFIG.hold_ms
    upper.answer(now_ms, "a", Renew(1, 0, (0, 0)))
    upper.holder.learn(now_ms, known(1, 3))
    upper.answer(now_ms, "b", Renew(1, 0, (0, 0)))
    upper.holder.learn(now_ms, known(1, 4))
    now_ms += SETTLED
    assert effect.ready(now_ms, upper, 1) == 2
    upper.answer(now_ms, "a", Renew(2, 4, (0, 0)))
    assert effect.ready(now_ms, upper, 1) == 3
    upper.answer(now_ms, "b", Renew(2, 4, (0, 0)))
    assert effect.ready(now_ms, upper, 3) == 4
    assert effect.ready(now_ms, upper, 4) == 0
    assert effect.next_ms(now_ms, upper, 4) == float("inf")


def test_a_leader_that_doubts_its_clock_waits_as_in_a_new_term():
    upper, effect = leader(1, 2), Effect(CONFIG)
    effect.begin(0.0, upper)
    now_ms = CONFIG.hold_ms + SETTLED
    assert effect.ready(now_ms, upper, 1) == 2
    upper.holder.drop(now_ms, "jump")
    upper.holder.lead(now_ms, 1e9, known(1, 2))
    assert effect.ready(now_ms + SETTLED, upper, 1) == 0
    assert effect.ready(now_ms + SETTLED + CONFIG.hold_ms, upper, 1) == 2

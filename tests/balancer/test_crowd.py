"""What is admitted while answers take longer than usual: it follows them, and ends with its cause."""

from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from fordtrestle.balancer.model import Outcome, Refuse, Send, Settings, Timer
from fordtrestle.balancer.shedding import UNANSWERED_SLOWDOWN, LoadShedder
from tests.balancer.helpers import arrival, balancer, of_type, raw_settings


def play(made, spent, count, now=0.0, step=20.0, lost=0.0, rng=None, ends=1000.0):
    """Requests each `step` ms that are answered after `spent()` ms, or not until past their aim, a share
    `lost` of them, whose attempts end after `ends` ms; gives how many were refused, and the time at the
    end.
    """
    rng = rng or random.Random(7)
    refused = 0
    for _ in range(count):
        now += step
        number = int(now * 100.0)
        actions = made.request(now, arrival(number, now))
        refused += len(of_type(actions, Refuse))
        for _ in of_type(actions, Send):
            takes = ends if rng.random() < lost else spent()
            status = Outcome.OK if takes < ends else Outcome.TIMEOUT
            for due in of_type(actions, Timer) if status == Outcome.TIMEOUT else ():
                made.timer(now + due.delay, due.token)
            made.outcome(now + takes, number, 0, status, takes, last=True)
    return refused, now


def crowded(made, now=0.0, count=200):
    """A service that usually takes 40 ms of 200 takes 180."""
    _, now = play(made, lambda: 40.0, 200, now)
    assert made._shedder.level(now) == 0.0
    refused, now = play(made, lambda: 180.0, count, now)
    assert refused > 0.3 * count
    return now


def test_a_crowd_is_refused_and_with_its_end_nothing_is():
    made = balancer("safe")
    now = crowded(made)
    _, now = play(made, lambda: 40.0, 100, now)
    assert play(made, lambda: 40.0, 400, now)[0] == 0, "within two seconds all are admitted"


def test_what_the_level_refuses_is_no_evidence_that_the_service_rejects():
    # The window counted what the level refused, and went on refusing when the level had ended.
    made = balancer("safe")
    now = crowded(made, count=400)
    assert made._throttle.drop_chance(now) == 0.0


def test_without_any_outcome_a_crowd_is_doubted():
    shedder = LoadShedder(Settings.parse(raw_settings("safe")))
    for number in range(30):
        shedder.record_outcome(10.0 * number, UNANSWERED_SLOWDOWN)
    assert shedder.level(300.0) > 0.9
    assert shedder.level(6000.0) == 0.0


def test_a_few_that_hang_shed_nothing_where_the_others_have_room():
    late_pays = {"Semantics": "pure", "Objective": 200.0, "Deadline": 1000.0, "LateWorth": 0.5}
    made = balancer(Profiles=[late_pays])
    refused, now = play(made, lambda: 40.0, 2000, lost=0.02)
    assert refused < 20
    assert made._shedder._slowdown_at > 0.0
    dues = [due for number in range(10) for due in of_type(made.request(now, arrival(number, now)), Timer)]
    for due in dues:  # they do count: ten in a row are a crowd
        made.timer(now + 200.0, due.token)
    assert made._shedder.level(now + 200.0) > 0.1


def test_time_outs_show_a_crowd_also_where_late_answers_earn_nothing():
    # Such an attempt ends at its aim, and what ends past its aim is taken to have counted when it was due.
    made = balancer("safe")
    _, now = play(made, lambda: 40.0, 200)
    for number in range(40):
        now += 20.0
        for _ in of_type(made.request(now, arrival(number, now)), Send):
            made.outcome(now + 200.2, number, 0, Outcome.TIMEOUT, 200.2, last=True)
    assert made._shedder.level(now) > 0.3


def test_a_third_that_is_lost_is_no_crowd_while_the_others_are_quick():
    # A zone's loss: what it owes counted as eight times the usual, and 23% were refused where 7% had been.
    for late_worth, ends in ((0.0, 200.2), (0.5, 1000.0)):
        profile = {"Semantics": "pure", "Objective": 200.0, "Deadline": 1000.0, "LateWorth": late_worth}
        made = balancer(Profiles=[profile])
        _, now = play(made, lambda: 40.0, 200)
        refused, now = play(made, lambda: 40.0, 600, now, lost=0.33, ends=ends)
        assert refused < 30


def test_what_is_lost_beside_slow_answers_is_part_of_a_crowd():
    shedder = LoadShedder(Settings.parse(raw_settings("safe")))
    for number in range(60):
        shedder.record_outcome(10.0 * number, 1.9, is_answer=True)
        shedder.record_unanswered(10.0 * number)
    assert shedder.level(600.0) > 0.8


def test_a_service_that_is_twice_as_slow_for_good_is_no_crowd():
    made = balancer("safe")
    _, now = play(made, lambda: 40.0, 200)
    assert play(made, lambda: 80.0, 500, now)[0] == 0


def test_a_service_that_is_far_slower_for_good_is_admitted_again_in_the_end():
    made = balancer("safe")
    _, now = play(made, lambda: 20.0, 200)
    _, now = play(made, lambda: 120.0, 20_000, now)
    assert play(made, lambda: 120.0, 500, now)[0] == 0


def test_quick_answers_are_no_crowd_however_much_they_differ():
    # Loopback servers answer in 1 ms or, beside a busy neighbour, in 20: of an aim of 200.
    made = balancer("safe")
    _, now = play(made, lambda: 1.0, 200)
    assert play(made, lambda: 20.0, 500, now)[0] == 0


def test_a_lasting_overload_is_shed_as_long_as_it_lasts():
    made = balancer("safe")
    _, now = play(made, lambda: 40.0, 200)
    for _ in range(10):  # twelve seconds each
        refused, now = play(made, lambda: 190.0, 600, now)
        assert refused > 60


def test_answers_that_take_no_time_are_taken_in():
    # A clock that stood still during the exchange made the level, and the paces, divide by nothing.
    made = balancer("safe")
    refused, now = play(made, lambda: 0.0, 200, step=1.0)
    assert refused == 0
    assert made._shedder.level(now) == 0.0


def test_a_few_quick_answers_by_chance_are_not_the_usual():
    # The usual followed the least mean of a few answers, and crowds began at 1.4 times what is true.
    refused = 0
    for seed in range(20):
        rng = random.Random(seed)
        made = balancer("safe", seed=seed)
        refused += play(
            made, lambda rng=rng: min(190.0, rng.expovariate(1.0 / 45.0)), 500, step=125.0, rng=rng
        )[0]
    assert refused < 20 * 500 * 0.002


@settings(max_examples=40, deadline=None)
@given(
    seed=st.integers(0, 10_000),
    usual=st.floats(5.0, 60.0),
    step=st.sampled_from([2.0, 20.0, 200.0, 1000.0]),
    trouble=st.sampled_from(["none", "crowd", "lost", "full"]),
)
def test_a_healthy_service_is_refused_nothing_whatever_was_a_minute_ago(seed, usual, step, trouble):
    rng = random.Random(seed)
    made = balancer("safe", seed=seed)
    _, now = play(made, lambda: rng.uniform(0.5, 1.5) * usual, 150, step=step, rng=rng)
    if trouble == "crowd":
        _, now = play(made, lambda: 190.0, 150, now, step, rng=rng)
    elif trouble == "lost":
        _, now = play(made, lambda: usual, 150, now, step, lost=0.9, rng=rng)
    elif trouble == "full":
        for number in range(150):
            now += step
            for hop, _ in enumerate(of_type(made.request(now, arrival(number, now)), Send)):
                made.outcome(now + 2.0, number, hop, Outcome.FULL, 2.0, last=True)
    now += 60_000.0
    assert play(made, lambda: rng.uniform(0.5, 1.5) * usual, 300, now, step, rng=rng)[0] == 0


def test_something_is_sent_every_two_seconds_whatever_asks_to_refuse():
    # Sixty refusals of its own filled the window, and the next that went was a matter of luck.
    longest = 0.0
    for seed in range(30):
        made, last, now = balancer("safe", seed=seed), 0.0, 0.0
        for number in range(100):
            now += 200.0
            made._throttle.add(now, 0.0)
            made._shedder.record_outcome(now, UNANSWERED_SLOWDOWN)
            if of_type(made.request(now, arrival(number, now)), Send):
                longest, last = max(longest, now - last), now
                made.outcome(now + 1.0, number, 0, Outcome.ERROR, 1.0, last=True)
    assert 1000.0 < longest <= 2200.0

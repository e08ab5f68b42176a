"""Each refusal and failure tells its cause: a test provokes each, and on random days they add up."""

from __future__ import annotations

import re
from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fordtrestle.balancer.model import Cause, Fail, Listing, Outcome, Refuse
from fordtrestle.balancer.shedding import UNANSWERED_SLOWDOWN
from fordtrestle.proxy.engine.outcome_counters import OwnCause
from rig.helper import ROOT
from tests.balancer.helpers import arrival, balancer, listing
from tests.balancer.test_rules_property import NEVER_RAN, STEPS, World, play, site

WARMING = {"Rules": {"ColdFrom": 0.1, "WarmUp": 10_000.0, "FallMultiple": 0.01}}


def ends(actions):
    """The final answers among actions."""
    return [action for action in actions if isinstance(action, Refuse | Fail)]


def causes(made, count=20, now=0.0, first=100, traffic_class=0):
    """By which causes so many requests at once are refused."""
    answers = [ends(made.request(now, arrival(first + n, now, traffic_class))) for n in range(count)]
    return Counter(answer.cause for found in answers for answer in found)


def after(made, status, spent, now=0.0, number=1):
    """What follows at the end of a request's first attempt."""
    assert not ends(made.request(now, arrival(number, now)))
    return ends(made.outcome(now + spent, number, 0, status, spent))


def test_the_window_refuses():
    made = balancer()
    for _ in range(60):
        made._throttle.add(0.0, 0.0)
    assert set(causes(made)) == {Cause.THROTTLE}


def test_the_level_sheds():
    made = balancer()
    for _ in range(30):
        made._shedder.record_outcome(0.0, UNANSWERED_SLOWDOWN)
    assert set(causes(made)) == {Cause.SHED}


def test_pressure_refuses():
    made = balancer()
    made.pressure(0.0, 1.0)
    assert causes(made) == {Cause.PRESSURE: 20}


def test_of_the_three_that_is_blamed_which_asks_for_the_most():
    made = balancer()
    for _ in range(30):
        made._shedder.record_outcome(0.0, UNANSWERED_SLOWDOWN)
    made.pressure(0.0, 0.5)
    assert set(causes(made)) == {Cause.SHED}
    made.pressure(0.0, 1.0)
    assert set(causes(made)) == {Cause.PRESSURE}


def test_a_cold_server_has_had_its_part():
    made = balancer(servers=0, **WARMING)
    made.server_list(0.0, "all", listing(4, started=1.0))
    assert set(causes(made)) == {Cause.COLD}


def test_a_server_that_turned_all_away_rests():
    made = balancer(servers=1)
    assert after(made, Outcome.FULL, 5.0) == [Refuse(1, 0.0, Cause.ATTEMPTS)]  # the only one was tried
    assert causes(made, 1, 10.0) == {Cause.RESTING: 1}


def test_a_server_that_struck_has_its_one_trial_out():
    made = balancer(servers=1)
    made._servers["s0"].ejections = 1
    assert causes(made, 3) == {Cause.RESTING: 2}


def test_a_server_holds_as_many_as_it_takes():
    made = balancer(servers=1)
    made.request(0.0, arrival(1))
    after(made, Outcome.FULL, 5.0, number=2)
    assert causes(made, 3, 10.0) == {Cause.FULL_ROOM: 2}  # it is tried with one more


def test_only_a_zone_that_is_cut_off_is_left():
    made = balancer(servers=0)
    made.server_list(0.0, "all", [Listing(f"s{n}", zone=n // 2) for n in range(4)])
    for server in made._subset.servers:
        made._zones._zone(server).record_response(0.0)
    made._zones._zones[1].failed_connects.update({"s2": 10.0, "s3": 10.0})
    made._zones._zones[0].record_response(100.0)
    made.server_list(200.0, "changes", [Listing("s0", state="leaving"), Listing("s1", state="leaving")])
    assert causes(made, 3, 200.0) == {Cause.CUT_OFF: 3}


def test_nothing_is_accepted_and_the_trials_are_out():
    made = balancer(servers=2)
    made._outage._failures, made._outage._failing_since = 5, -300.0
    assert causes(made, 40)[Cause.OUTAGE] > 20


@pytest.mark.parametrize("kind", ["safe", "unsafe", "keyed"])
def test_the_time_is_over(kind):
    (end,) = after(balancer(kind), Outcome.TIMEOUT, 1000.0)
    assert end.cause is Cause.NO_TIME
    assert isinstance(end, Refuse if kind == "safe" else Fail)


def test_what_would_come_too_late_is_not_begun():
    made = balancer()
    made._times.service.add(100.0, 1.0, 50.0)
    for _ in range(30):
        made._shedder.record_outcome(0.0, UNANSWERED_SLOWDOWN)
    heavy = arrival(1)._replace(work=1000.0)
    assert [end.cause for end in ends(made.request(0.0, heavy))] == [Cause.NO_TIME]


def test_a_turn_that_does_not_come_in_time():
    profile = {"Semantics": "pure", "Objective": 200.0, "Deadline": 1000.0, "InTurn": True}
    made = balancer(Profiles=[profile])
    for number in (1, 2):
        made.request(0.0, arrival(number)._replace(key=7))
    assert ends(made.timer(200.0, "late:2")) == [Refuse(2, 0.0, Cause.NO_TIME)]


def test_the_attempts_are_used_up():
    made = balancer(PolicyLimits={"MaxAttempts": 1})
    assert after(made, Outcome.RESET, 5.0) == [Refuse(1, 0.0, Cause.ATTEMPTS)]


def test_each_server_was_tried():
    assert after(balancer(servers=1), Outcome.ERROR, 5.0) == [Refuse(1, 0.0, Cause.ATTEMPTS)]


@pytest.mark.parametrize("state", ["leaving", "left", None])
def test_no_server_takes_requests(state):
    made = balancer(servers=0)
    if state is not None:
        made.server_list(0.0, "all", listing(3, state=state))
    assert causes(made, 2) == {Cause.DRAIN: 2}


def test_what_may_have_run_is_not_sent_again():
    assert after(balancer("unsafe"), Outcome.RESET, 5.0) == [Fail(1, Cause.MAY_HAVE_RUN)]
    late = {"Semantics": "token", "KeyTtl": 500.0, "Objective": 200.0, "Deadline": 1000.0, "LateWorth": 0.5}
    made = balancer(Profiles=[late])
    assert after(made, Outcome.RESET, 600.0) == [Fail(1, Cause.MAY_HAVE_RUN)]  # past its window


def test_a_repeat_that_the_rules_allow_is_blamed_on_what_kept_it():
    made = balancer("keyed")
    assert not ends(made.request(0.0, arrival(1)))
    made.pressure(0.0, 1.0)
    assert ends(made.outcome(5.0, 1, 0, Outcome.RESET, 5.0)) == [Fail(1, Cause.PRESSURE)]


def test_what_may_have_run_is_blamed_before_what_would_have_refused_it():
    made = balancer("unsafe")
    assert not ends(made.request(0.0, arrival(1)))
    made.pressure(0.0, 1.0)
    assert ends(made.outcome(5.0, 1, 0, Outcome.RESET, 5.0)) == [Fail(1, Cause.MAY_HAVE_RUN)]


def test_of_servers_kept_away_the_one_nearest_to_being_sent_to_is_blamed():
    made = balancer(servers=0, **WARMING)
    made.server_list(0.0, "all", listing(3, started=1.0))
    made._servers["s0"].unavailable_until = made._servers["s1"].unavailable_until = 500.0
    assert set(causes(made)) == {Cause.COLD}
    made._servers["s2"].unavailable_until = 500.0
    assert set(causes(made)) == {Cause.RESTING}


class Counted(World):
    """A random day that counts the answers of the module by their causes."""

    def __init__(self, raw, seed):
        self.by_cause = Counter()
        self.answers = 0
        super().__init__(raw, seed)

    def ended(self, action):
        super().ended(action)
        self.answers += 1
        self.by_cause[action.cause] += 1
        request = self.requests[action.request]
        ran = [a for a in request["attempts"] if a["status"] not in NEVER_RAN]
        assert isinstance(action.cause, Cause)
        assert ran or not isinstance(action, Fail), "failed though nothing ran"
        assert ran or action.cause is not Cause.MAY_HAVE_RUN
        if action.cause is Cause.DRAIN:
            assert not any(entry.state == "active" for entry in self.listed.values())
        if action.cause is Cause.ATTEMPTS:
            assert request["attempts"]


@settings(derandomize=True, max_examples=150, deadline=None)
@given(site(), STEPS, st.integers(0, 2**32))
def test_on_random_days_the_causes_add_up(raw, steps, seed):
    world = Counted(raw, seed)
    play(world, steps)
    assert sum(world.by_cause.values()) == world.answers


def test_every_cause_stands_in_the_page_for_operators_and_no_other():
    page = (ROOT / "docs" / "operate" / "refusals.md").read_text()
    causes = {cause.name.lower() for kind in (Cause, OwnCause) for cause in kind}
    assert set(re.findall(r"^\| `(\w+)` \|", page, re.M)) == causes

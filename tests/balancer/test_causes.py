"""Each refusal and failure has a cause: a test provokes each cause, and random days check their sum."""

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


def final_answers(actions):
    """Return the final answers among actions."""
    return [action for action in actions if isinstance(action, Refuse | Fail)]


def refusal_causes(instance, count=20, now=0.0, first=100, traffic_class=0):
    """Send `count` requests at once, and count their refusals by cause."""
    answers = [
        final_answers(instance.request(now, arrival(first + n, now, traffic_class))) for n in range(count)
    ]
    return Counter(answer.cause for answers_of_request in answers for answer in answers_of_request)


def after_first_attempt(instance, status, spent, now=0.0, number=1):
    """Return the final answers when a request's first attempt ends."""
    assert not final_answers(instance.request(now, arrival(number, now)))
    return final_answers(instance.outcome(now + spent, number, 0, status, spent))


def test_the_throttle_refuses():
    instance = balancer()
    for _ in range(60):
        instance._throttle.add(0.0, 0.0)
    assert set(refusal_causes(instance)) == {Cause.THROTTLE}


def test_an_overload_sheds():
    instance = balancer()
    for _ in range(30):
        instance._shedder.record_outcome(0.0, UNANSWERED_SLOWDOWN)
    assert set(refusal_causes(instance)) == {Cause.SHED}


def test_pressure_of_the_sidecar_refuses():
    instance = balancer()
    instance.pressure(0.0, 1.0)
    assert refusal_causes(instance) == {Cause.PRESSURE: 20}


def test_of_throttle_overload_and_pressure_the_one_that_asks_for_most_is_the_cause():
    instance = balancer()
    for _ in range(30):
        instance._shedder.record_outcome(0.0, UNANSWERED_SLOWDOWN)
    instance.pressure(0.0, 0.5)
    assert set(refusal_causes(instance)) == {Cause.SHED}
    instance.pressure(0.0, 1.0)
    assert set(refusal_causes(instance)) == {Cause.PRESSURE}


def test_a_cold_server_has_received_its_share():
    instance = balancer(servers=0, **WARMING)
    instance.server_list(0.0, "all", listing(4, started=1.0))
    assert set(refusal_causes(instance)) == {Cause.COLD}


def test_a_server_that_rejected_everything_is_backed_off():
    instance = balancer(servers=1)
    assert after_first_attempt(instance, Outcome.FULL, 5.0) == [
        Refuse(1, 0.0, Cause.ATTEMPTS)
    ]  # the only one was tried
    assert refusal_causes(instance, 1, 10.0) == {Cause.RESTING: 1}


def test_an_ejected_server_has_its_one_trial_in_flight():
    instance = balancer(servers=1)
    instance._servers["s0"].ejections = 1
    assert refusal_causes(instance, 3) == {Cause.RESTING: 2}


def test_a_server_has_as_many_requests_in_flight_as_it_accepts():
    instance = balancer(servers=1)
    instance.request(0.0, arrival(1))
    after_first_attempt(instance, Outcome.FULL, 5.0, number=2)
    assert refusal_causes(instance, 3, 10.0) == {Cause.FULL_ROOM: 2}  # it is tried with one more


def test_only_servers_of_a_partitioned_zone_remain():
    instance = balancer(servers=0)
    instance.server_list(0.0, "all", [Listing(f"s{n}", zone=n // 2) for n in range(4)])
    for server in instance._subset.servers:
        instance._zones._zone(server).record_response(0.0)
    instance._zones._zones[1].failed_connects.update({"s2": 10.0, "s3": 10.0})
    instance._zones._zones[0].record_response(100.0)
    instance.server_list(200.0, "changes", [Listing("s0", state="leaving"), Listing("s1", state="leaving")])
    assert refusal_causes(instance, 3, 200.0) == {Cause.CUT_OFF: 3}


def test_nothing_is_accepted_and_the_trials_are_in_flight():
    instance = balancer(servers=2)
    instance._outage._failures, instance._outage._failing_since = 5, -300.0
    assert refusal_causes(instance, 40)[Cause.OUTAGE] > 20


@pytest.mark.parametrize("kind", ["safe", "unsafe", "keyed"])
def test_the_request_has_expired(kind):
    (end,) = after_first_attempt(balancer(kind), Outcome.TIMEOUT, 1000.0)
    assert end.cause is Cause.NO_TIME
    assert isinstance(end, Refuse if kind == "safe" else Fail)


def test_a_request_that_would_be_answered_too_late_is_not_started():
    instance = balancer()
    instance._times.service.add(100.0, 1.0, 50.0)
    for _ in range(30):
        instance._shedder.record_outcome(0.0, UNANSWERED_SLOWDOWN)
    heavy = arrival(1)._replace(work=1000.0)
    assert [end.cause for end in final_answers(instance.request(0.0, heavy))] == [Cause.NO_TIME]


def test_a_queued_request_whose_turn_does_not_come_in_time():
    profile = {"Semantics": "pure", "Objective": 200.0, "Deadline": 1000.0, "InTurn": True}
    instance = balancer(Profiles=[profile])
    for number in (1, 2):
        instance.request(0.0, arrival(number)._replace(key=7))
    assert final_answers(instance.timer(200.0, "late:2")) == [Refuse(2, 0.0, Cause.NO_TIME)]


def test_all_attempts_are_used_up():
    instance = balancer(PolicyLimits={"MaxAttempts": 1})
    assert after_first_attempt(instance, Outcome.RESET, 5.0) == [Refuse(1, 0.0, Cause.ATTEMPTS)]


def test_every_server_was_tried():
    assert after_first_attempt(balancer(servers=1), Outcome.ERROR, 5.0) == [Refuse(1, 0.0, Cause.ATTEMPTS)]


@pytest.mark.parametrize("state", ["leaving", "left", None])
def test_no_server_accepts_requests(state):
    instance = balancer(servers=0)
    if state is not None:
        instance.server_list(0.0, "all", listing(3, state=state))
    assert refusal_causes(instance, 2) == {Cause.DRAIN: 2}


def test_a_request_that_may_have_run_is_not_retried():
    assert after_first_attempt(balancer("unsafe"), Outcome.RESET, 5.0) == [Fail(1, Cause.MAY_HAVE_RUN)]
    late = {"Semantics": "token", "KeyTtl": 500.0, "Objective": 200.0, "Deadline": 1000.0, "LateWorth": 0.5}
    instance = balancer(Profiles=[late])
    assert after_first_attempt(instance, Outcome.RESET, 600.0) == [
        Fail(1, Cause.MAY_HAVE_RUN)
    ]  # past its window


def test_the_cause_of_a_retry_that_the_rules_allow_is_what_refused_it():
    instance = balancer("keyed")
    assert not final_answers(instance.request(0.0, arrival(1)))
    instance.pressure(0.0, 1.0)
    assert final_answers(instance.outcome(5.0, 1, 0, Outcome.RESET, 5.0)) == [Fail(1, Cause.PRESSURE)]


def test_that_a_request_may_have_run_takes_precedence_over_what_would_have_refused_it():
    instance = balancer("unsafe")
    assert not final_answers(instance.request(0.0, arrival(1)))
    instance.pressure(0.0, 1.0)
    assert final_answers(instance.outcome(5.0, 1, 0, Outcome.RESET, 5.0)) == [Fail(1, Cause.MAY_HAVE_RUN)]


def test_of_several_excluded_servers_the_one_closest_to_being_chosen_gives_the_cause():
    instance = balancer(servers=0, **WARMING)
    instance.server_list(0.0, "all", listing(3, started=1.0))
    instance._servers["s0"].unavailable_until = instance._servers["s1"].unavailable_until = 500.0
    assert set(refusal_causes(instance)) == {Cause.COLD}
    instance._servers["s2"].unavailable_until = 500.0
    assert set(refusal_causes(instance)) == {Cause.RESTING}


class Counted(World):
    """A random day that counts the final answers by cause."""

    def __init__(self, raw, seed):
        self.by_cause = Counter()
        self.answers = 0
        super().__init__(raw, seed)

    def on_final_answer(self, action):
        super().on_final_answer(action)
        self.answers += 1
        self.by_cause[action.cause] += 1
        request = self.requests[action.request]
        ran = [a for a in request["attempts"] if a["status"] not in NEVER_RAN]
        assert isinstance(action.cause, Cause)
        assert ran or not isinstance(action, Fail), "failed although nothing ran"
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
    refusal_causes = {cause.name.lower() for kind in (Cause, OwnCause) for cause in kind}
    assert set(re.findall(r"^\| `(\w+)` \|", page, re.M)) == refusal_causes

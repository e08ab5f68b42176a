"""The sends of all sidecars stay within the fleet's budgets, and rejections follow those of the callee."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from fordtrestle.admission.admission_control import AdmissionControl
from fordtrestle.admission.retry_budget import RetryBudget
from fordtrestle.admission.warm_up_budget import WarmUpBudget


@given(st.integers(1, 60), st.floats(0.5, 40.0), st.floats(0.0, 10.0), st.integers(1, 400))
def test_a_warming_server_gets_no_more_than_its_rate_in_any_second(sidecars, rate, slack, requests):
    names = [f"front-{n}" for n in range(sidecars)]
    budgets = [WarmUpBudget(1.5, slack, name) for name in names]
    bound = rate * 1.5 + slack
    sent = []
    for step in range(requests):
        now = step * 0.01
        sent += [now for budget in budgets if budget.try_acquire("i-1", rate, names, now)]
    for at in sent:
        inside = sum(at <= other < at + 1.0 for other in sent)
        assert inside <= max(1.0, bound)


def test_a_warming_server_gets_some_requests_of_a_large_fleet():
    names = [f"front-{n}" for n in range(380)]
    senders = [name for name in names if WarmUpBudget(1.5, 5.0, name).try_acquire("i-1", 9.9, names, 0.0)]
    assert 1 <= len(senders) <= 19


def test_counts_of_servers_that_are_not_retained_are_dropped():
    budget = WarmUpBudget(1.5, 5.0, "front-1")
    assert budget.try_acquire("i-1", 9.9, ["front-1"], 0.0)
    budget.retain(["i-2"])
    assert not budget._sent


def test_retries_stay_within_ratio_and_allowance_of_the_window():
    budgets = [RetryBudget(0.2, 52.0, 10.0) for _ in range(6)]
    repeats = requests = 0
    for step in range(1000):
        now = step * 0.01
        for budget in budgets:
            budget.record_request("pool", now)
            requests += 1
            repeats += budget.try_acquire("pool", 6, now)
    assert 0 < repeats <= 0.2 * requests + 52.0


def test_the_retry_budget_refills_with_time_and_is_separate_per_callee():
    budget = RetryBudget(0.0, 2.0, 10.0)
    assert budget.try_acquire("pool", 1, 0.0)
    assert not budget.try_acquire("pool", 1, 1.0)
    assert budget.try_acquire("other", 1, 1.0)
    assert budget.try_acquire("pool", 1, 10.1)


def test_a_callee_that_rejects_gets_fewer_requests_and_local_rejections_count_as_requests():
    admission = AdmissionControl(lambda: 0.0)
    for step in range(40):
        admission.record_rejected("pool", step * 0.1)
    assert not admission.admit("pool", 4.0)
    window = admission._throttles["pool"]
    assert window.requests == 41
    assert window.accepts == 0
    assert admission.admit("other", 4.0)


def test_all_requests_to_a_callee_that_accepts_are_admitted():
    admission = AdmissionControl(lambda: 0.0)
    for step in range(100):
        admission.record_accepted("pool", step * 0.1)
    assert all(admission.admit("pool", 10.0 + step) for step in range(3))

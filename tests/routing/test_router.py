"""What is done next with a request, case by case, and what its earlier sends leave open."""

from __future__ import annotations

import json
from dataclasses import replace

import pytest

from fordtrestle.admission.admission_control import AdmissionControl
from fordtrestle.admission.retry_budget import RetryBudget
from fordtrestle.admission.warm_up_budget import WarmUpBudget
from fordtrestle.dissemination.items import ControlView, Phase, ServerRecord, control_item, server_item
from fordtrestle.routing.common import Prompt, RequestMetadata
from fordtrestle.routing.decisions import Reject, SendTo, UnknownRoute, WaitFor
from fordtrestle.routing.drain_policy import DrainPolicy
from fordtrestle.routing.request_attempts import RequestAttempts
from fordtrestle.routing.router import Router
from fordtrestle.routing.server_selector import ServerSelector
from fordtrestle.routing.view import View

NO_PROMPT = Prompt()
HOST = "a.example"
NOW = 100.0
WANTED = RequestMetadata(HOST, "/a/x", NO_PROMPT, NOW, client_timeout_s=None)
ROUTE = {
    "name": "r",
    "authority": HOST,
    "path_prefix": "/a/",
    "route_type": "streaming",
    "resumable": True,
    "timeout_ms": 4000,
    "target_latency_ms": 400,
    "backend": "pool",
    "max_attempts": 2,
}
NO_SERVER = Reject(0.4, "no server may take it")


def decider(servers=("i-1",), route=ROUTE, allowance=50.0, draw=0.5, **fields):
    view = View({"z": "r"}, heartbeat_s=1.0, started_at=0.0)
    if route:
        document = {"generation": 1, "routes": [route], "services": [{"name": "pool"}]}
        view.apply([control_item(ControlView(1, 1, json.dumps(document).encode(), ()))], NOW)
    for name in servers:
        record = ServerRecord(name, "pool", f"{name}:1", "z", 4, Phase.SERVING, False, 0.0, None, (), "c")
        view.apply([server_item(record, 1)], NOW)
    selection = ServerSelector(view, WarmUpBudget(1.5, 5.0, "f"), "z", "r", lambda: draw, lambda region: None)
    retries = RetryBudget(0.0, allowance, 10.0)
    return Router(view, AdmissionControl(lambda: draw), retries, selection, lambda: draw, **fields)


def next_step(given, wanted=WANTED, attempts=None, now=NOW):
    return given.next_step(wanted, attempts or RequestAttempts(), now)


def test_a_request_is_sent_with_the_time_that_its_route_and_its_client_leave():
    sent = next_step(decider())
    assert isinstance(sent, SendTo)
    assert (sent.callee, sent.server.instance, sent.deadline) == ("pool", "i-1", NOW + 4.0)
    hurried = next_step(decider(), replace(WANTED, client_timeout_s=1.5))
    assert isinstance(hurried, SendTo)
    assert hurried.deadline == NOW + 1.5


@pytest.mark.parametrize(
    ("given", "wanted", "step"),
    [
        (decider(route=None), WANTED, WaitFor(NOW + 1.5, Reject(1.0, "no configuration yet"))),
        (decider(), replace(WANTED, path="/b/"), UnknownRoute()),
        (decider(), replace(WANTED, client_timeout_s=0.0), Reject(0.4, "the time is up")),
        (decider(servers=()), WANTED, WaitFor(NOW + 1.2, NO_SERVER)),
        (decider(servers=()), replace(WANTED, client_timeout_s=1.0), WaitFor(NOW + 0.3, NO_SERVER)),
        (
            decider(drain_policy=DrainPolicy.draining(NOW - 5.0, NOW)),
            WANTED,
            Reject(4.0, "this sidecar ends"),
        ),
    ],
    ids=["no configuration", "no route", "no time", "no server", "no server, short time", "it ends"],
)
def test_what_is_not_sent_waits_or_is_told_why(given, wanted, step):
    assert next_step(given, wanted) == step


def test_the_window_refuses_before_any_send_and_is_asked_once():
    given = decider(draw=0.0)
    attempts = RequestAttempts(is_admitted=True)
    for _ in range(50):
        given.admission.record_rejected("pool", NOW)
    assert next_step(given) == Reject(0.4, "too many requests are turned away")
    assert isinstance(next_step(given, attempts=attempts), SendTo)


def test_a_second_send_goes_to_another_server_within_the_budget_and_does_not_wait():
    attempts = RequestAttempts(is_admitted=True)
    attempts.record_send("i-1", rejected=True)
    again = next_step(decider(("i-1", "i-2")), attempts=attempts)
    assert isinstance(again, SendTo)
    assert again.server.instance == "i-2"
    spent = next_step(decider(("i-1", "i-2"), allowance=0.0), attempts=attempts)
    assert spent == Reject(0.4, "the budget of second sends is used up")
    assert next_step(decider(), attempts=attempts) == NO_SERVER


def test_a_stream_is_resumed_elsewhere_as_far_as_its_route_and_its_time_allow():
    attempts = RequestAttempts(is_admitted=True)
    attempts.record_send("i-1", rejected=False)
    both, deadline = ("i-1", "i-2"), NOW + 4.0
    resumed = decider(both).resume(WANTED, attempts, NOW, deadline)
    assert resumed is not None
    assert (resumed.server.instance, resumed.deadline) == ("i-2", deadline)
    assert decider(both, {**ROUTE, "resumable": False}).resume(WANTED, attempts, NOW, deadline) is None
    assert decider(both, {**ROUTE, "max_attempts": 1}).resume(WANTED, attempts, NOW, deadline) is None
    assert decider(both, allowance=0.0).resume(WANTED, attempts, NOW, deadline) is None
    assert decider().resume(WANTED, attempts, NOW, deadline) is None
    assert decider(both).resume(WANTED, attempts, deadline, deadline) is None
    attempts.connect_failures = 4
    assert decider(both).resume(WANTED, attempts, NOW, deadline) is None


def test_rejections_leave_more_open_than_runs():
    route = decider().view.table.match(HOST, "/a/")
    attempts = RequestAttempts()
    for number in range(3):
        attempts.record_send(f"i-{number}", rejected=True)
        assert attempts.can_retry_rejected(route)
        assert attempts.can_run_again(route)
    attempts.record_send("i-4", rejected=True)
    assert not attempts.can_retry_rejected(route), "four sends at the most"
    once, twice = RequestAttempts(runs=1), RequestAttempts(runs=2)
    assert once.can_run_again(route)
    assert not twice.can_run_again(route)
    assert not once.can_run_again(replace(route, is_resumable=False)), "it may have run"

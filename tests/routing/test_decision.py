"""What is done next with a request, case by case, and what its earlier sends leave open."""

from __future__ import annotations

import json
from dataclasses import replace

import pytest

from fordtrestle.admission.budgets import ColdBudget, RetryBudget
from fordtrestle.admission.window import Admission
from fordtrestle.dissemination.items import ControlView, Phase, ServerRecord, control_item, server_item
from fordtrestle.routing.decision import Attempts, Decider, NoRoute, Refuse, Send, Wait, Wanted
from fordtrestle.routing.intake import Intake
from fordtrestle.routing.pick import NO_PROMPT
from fordtrestle.routing.selection import Selection
from fordtrestle.routing.view import View

HOST = "a.example"
NOW = 100.0
WANTED = Wanted(HOST, "/a/x", NO_PROMPT, NOW, given_s=None)
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
NO_SERVER = Refuse(0.4, "no server may take it")


def decider(servers=("i-1",), route=ROUTE, allowance=50.0, draw=0.5, **fields):
    view = View({"z": "r"}, heartbeat_s=1.0, born=0.0)
    if route:
        document = {"generation": 1, "routes": [route], "services": [{"name": "pool"}]}
        view.apply([control_item(ControlView(1, 1, json.dumps(document).encode(), ()))], NOW)
    for name in servers:
        record = ServerRecord(name, "pool", f"{name}:1", "z", 4, Phase.SERVING, False, 0.0, None, (), "c")
        view.apply([server_item(record, 1)], NOW)
    selection = Selection(view, ColdBudget(1.5, 5.0, "f"), "z", "r", lambda: draw, lambda region: None)
    retries = RetryBudget(0.0, allowance, 10.0)
    return Decider(view, Admission(lambda: draw), retries, selection, lambda: draw, **fields)


def next_step(given, wanted=WANTED, attempts=None, now=NOW):
    return given.next(wanted, attempts or Attempts(), now)


def test_a_request_is_sent_with_the_time_that_its_route_and_its_client_leave():
    sent = next_step(decider())
    assert isinstance(sent, Send)
    assert (sent.callee, sent.server.instance, sent.deadline) == ("pool", "i-1", NOW + 4.0)
    hurried = next_step(decider(), replace(WANTED, given_s=1.5))
    assert isinstance(hurried, Send)
    assert hurried.deadline == NOW + 1.5


@pytest.mark.parametrize(
    ("given", "wanted", "step"),
    [
        (decider(route=None), WANTED, Wait(NOW + 1.5, Refuse(1.0, "no configuration yet"))),
        (decider(), replace(WANTED, path="/b/"), NoRoute()),
        (decider(), replace(WANTED, given_s=0.0), Refuse(0.4, "the time is up")),
        (decider(servers=()), WANTED, Wait(NOW + 1.2, NO_SERVER)),
        (decider(servers=()), replace(WANTED, given_s=1.0), Wait(NOW + 0.3, NO_SERVER)),
        (decider(intake=Intake.ending(NOW - 5.0, NOW)), WANTED, Refuse(4.0, "this sidecar ends")),
    ],
    ids=["no configuration", "no route", "no time", "no server", "no server, short time", "it ends"],
)
def test_what_is_not_sent_waits_or_is_told_why(given, wanted, step):
    assert next_step(given, wanted) == step


def test_the_window_refuses_before_any_send_and_is_asked_once():
    given = decider(draw=0.0)
    attempts = Attempts(admitted=True)
    for _ in range(50):
        given.admission.rejected("pool", NOW)
    assert next_step(given) == Refuse(0.4, "too many requests are turned away")
    assert isinstance(next_step(given, attempts=attempts), Send)


def test_a_second_send_goes_to_another_server_within_the_budget_and_does_not_wait():
    attempts = Attempts(admitted=True)
    attempts.sent("i-1", rejected=True)
    again = next_step(decider(("i-1", "i-2")), attempts=attempts)
    assert isinstance(again, Send)
    assert again.server.instance == "i-2"
    spent = next_step(decider(("i-1", "i-2"), allowance=0.0), attempts=attempts)
    assert spent == Refuse(0.4, "the budget of second sends is used up")
    assert next_step(decider(), attempts=attempts) == NO_SERVER


def test_a_stream_is_resumed_elsewhere_as_far_as_its_route_and_its_time_allow():
    attempts = Attempts(admitted=True)
    attempts.sent("i-1", rejected=False)
    both, deadline = ("i-1", "i-2"), NOW + 4.0
    resumed = decider(both).resume(WANTED, attempts, NOW, deadline)
    assert resumed is not None
    assert (resumed.server.instance, resumed.deadline) == ("i-2", deadline)
    assert decider(both, {**ROUTE, "resumable": False}).resume(WANTED, attempts, NOW, deadline) is None
    assert decider(both, {**ROUTE, "max_attempts": 1}).resume(WANTED, attempts, NOW, deadline) is None
    assert decider(both, allowance=0.0).resume(WANTED, attempts, NOW, deadline) is None
    assert decider().resume(WANTED, attempts, NOW, deadline) is None
    assert decider(both).resume(WANTED, attempts, deadline, deadline) is None
    attempts.unreachable = 4
    assert decider(both).resume(WANTED, attempts, NOW, deadline) is None


def test_rejections_leave_more_open_than_runs():
    route = decider().view.table.match(HOST, "/a/")
    attempts = Attempts()
    for number in range(3):
        attempts.sent(f"i-{number}", rejected=True)
        assert attempts.may_go_on(route)
        assert attempts.may_run_again(route)
    attempts.sent("i-4", rejected=True)
    assert not attempts.may_go_on(route), "four sends at the most"
    once, twice = Attempts(runs=1), Attempts(runs=2)
    assert once.may_run_again(route)
    assert not twice.may_run_again(route)
    assert not once.may_run_again(replace(route, resumable=False)), "it may have run"

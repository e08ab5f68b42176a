"""Changes of settings, and races between the ends of attempts and requests."""

from __future__ import annotations

import dataclasses

from fordtrestle.balancer import model
from fordtrestle.balancer.model import CloseIdle, Fail, Outcome, Refuse, Send
from fordtrestle.proxy.engine.clock import Clock
from fordtrestle.proxy.engine.driver import Driver, EngineOptions
from fordtrestle.proxy.engine.ports import AttemptResult, UpstreamResponse
from tests.loopback import SETTINGS
from tests.proxy.engine.test_observed_driver import Call, Loop, Servers, arrive, driver, retried

TOLD = model.Settings.parse(SETTINGS)


class Closing(Servers):
    """Servers that record the names whose idle connections are closed."""

    def __init__(self):
        super().__init__()
        self.closed = []

    def close_idle(self, server):
        self.closed.append(server)


def scripted(**scripts):
    made = driver(most=1, **scripts)
    made.servers = made._upstreams = Closing()
    return made


def test_new_settings_reach_the_module_and_its_actions_are_carried_out():
    made = scripted(settle=lambda now, settings: [CloseIdle("s9")])
    other = dataclasses.replace(TOLD, max_attempts=1)
    assert made.update_settings(other) is True
    assert made._balancer.named("settle") == [[other]]
    assert made.servers.closed == ["s9"]


def test_new_limits_of_attempts_and_open_calls_apply_at_once():
    made = scripted(outcome=retried)
    arrive(made, Call("c1"))
    made.update_settings(dataclasses.replace(TOLD, max_attempts=1), max_open=2)
    arrive(made, Call("c2"))
    assert arrive(made, Call("c3")).answers == ["refused"]
    assert len(made.servers.done) == 2
    made.servers.done[0](AttemptResult(Outcome.ERROR))
    assert len(made.servers.done) == 2  # the module wanted a retry


def test_settings_that_the_module_rejects_leave_the_previous_ones_in_force(capsys):
    made = scripted(outcome=retried, settle=lambda now, settings: 1 / 0)
    first = arrive(made, Call("c1"))
    assert made.update_settings(dataclasses.replace(TOLD, max_attempts=1), max_open=5) is False
    assert "ZeroDivisionError" in capsys.readouterr().err
    assert arrive(made, Call("c2")).answers == ["refused"]
    made.servers.done[0](AttemptResult(Outcome.ERROR))
    assert len(made.servers.done) == 2
    assert first.answers == []


def test_an_error_in_an_action_leaves_module_and_engine_on_the_same_settings(capsys):
    made = scripted(settle=lambda now, settings: [CloseIdle("s9")])
    made._upstreams = None
    other = dataclasses.replace(TOLD, max_attempts=1)
    assert made.update_settings(other) is True
    assert made._settings is other


def test_a_call_of_a_removed_class_gets_one_answer():
    loop = Loop()
    made = Driver(loop, Clock(loop), EngineOptions(TOLD, 1, 9))
    servers = Closing()
    made.connect(servers, None, None)
    made._balancer.server_list(made._clock.now(), "all", [model.Listing("s0"), model.Listing("s1")])
    call = Call("c1")
    call.traffic_class = 2
    request = made.arrive(call, made._clock.now())
    gone = tuple(dataclasses.replace(row, gone=number == 2) for number, row in enumerate(TOLD.profiles))
    assert made.update_settings(dataclasses.replace(TOLD, profiles=gone))
    servers.done[0](AttemptResult(Outcome.CONNECT_FAILED))
    assert call.answers == ["refused"]
    assert len(servers.done) == 1
    assert made.is_idle
    assert request.id not in made._requests


# --- races ------------------------------------------------------------------------------

OK = AttemptResult(Outcome.OK, UpstreamResponse([], b"done"))


class Served(Call):
    """A call that records its answers, including the bodies of servers."""

    def served(self, answer):
        self.answers.append(answer.body)


class Asked(Closing):
    """Servers that keep the callbacks that encode messages."""

    def __init__(self):
        super().__init__()
        self.messages = []

    def send(self, server, message, expires, done):
        self.messages.append(message)
        return super().send(server, message, expires, done)


def crossing(**scripts):
    made = driver(most=9, **scripts)
    made.servers = made._upstreams = Asked()
    return made


def due(made, method):
    """Call the timers of one method even if they were cancelled, as if due in this iteration of the loop."""
    for callback, *args in list(made.loop.later):
        if callback == method:
            callback(*args)


def test_an_outcome_after_the_attempt_timed_out_is_ignored():
    made = crossing(outcome=lambda now, number, *rest: [Fail(number)])
    call = arrive(made, Served("c1"))
    due(made, made._on_attempt_timeout)
    made.servers.done[0](OK)
    assert [status for _, status, _ in made._balancer.outcomes()] == [Outcome.TIMEOUT]
    assert call.answers == ["failed"]
    assert made.is_idle
    assert not made._requests


def test_a_time_out_and_a_guard_in_the_iteration_of_the_answer_are_ignored():
    made = crossing()
    call = arrive(made, Served("c1"))
    made.servers.done[0](OK)
    due(made, made._on_attempt_timeout)
    due(made, made._on_guard)
    assert [status for _, status, _ in made._balancer.outcomes()] == [Outcome.OK]
    assert made._balancer.named("client_gone") == []
    assert call.answers == [b"done"]


def test_an_answer_after_the_guard_in_the_same_iteration_is_too_late(capsys):
    made = crossing()
    call = arrive(made, Served("c1"))
    due(made, made._on_guard)
    made.servers.done[0](OK)
    assert call.answers == ["failed"]
    assert made._balancer.outcomes() == [(0, Outcome.OK, True)]
    assert not made._requests
    assert made._open_count == 0


def test_a_send_after_the_answer_in_one_batch_is_abandoned():
    made = crossing(
        request=lambda now, arrival: [Refuse(arrival.request, 0.0), Send(arrival.request, "s0", 0.0)]
    )
    call = arrive(made, Served("c1"))
    due(made, made._on_outcome)
    assert made.servers.done == []
    assert made._balancer.outcomes() == [(0, Outcome.ABANDONED, True)]
    assert call.answers == ["refused"]
    assert not made._requests


def test_nothing_is_written_for_a_request_that_ended_while_its_attempt_waited_for_a_connection():
    made = crossing()
    request = made.arrive(Served("c1"), made._clock.now())
    (message,) = made.servers.messages
    assert message(100.0) == b""
    made.client_gone(request)
    assert message(100.0) is None

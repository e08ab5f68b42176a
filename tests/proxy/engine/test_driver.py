"""Changes of settings, and races between the ends of attempts and requests."""

from __future__ import annotations

import dataclasses

from fordtrestle.balancer import model
from fordtrestle.balancer.model import CloseIdle, Fail, Outcome, Refuse, Send
from fordtrestle.proxy.engine.clock import Clock
from fordtrestle.proxy.engine.driver import Driver, EngineOptions
from fordtrestle.proxy.engine.ports import AttemptResult, UpstreamResponse
from tests.loopback import SETTINGS
from tests.proxy.engine.test_observed_driver import Call, Loop, Servers, arrive, driver, retry_once

DEFAULT_SETTINGS = model.Settings.parse(SETTINGS)


class ClosingServers(Servers):
    """Servers that record the names whose idle connections are closed."""

    def __init__(self):
        super().__init__()
        self.closed = []

    def close_idle(self, server):
        self.closed.append(server)


def scripted_driver(**scripts):
    engine = driver(max_open=1, **scripts)
    engine.servers = engine._upstreams = ClosingServers()
    return engine


def test_new_settings_reach_the_module_and_its_actions_are_carried_out():
    engine = scripted_driver(settle=lambda now, settings: [CloseIdle("s9")])
    other = dataclasses.replace(DEFAULT_SETTINGS, max_attempts=1)
    assert engine.update_settings(other) is True
    assert engine._balancer.named("settle") == [[other]]
    assert engine.servers.closed == ["s9"]


def test_new_limits_of_attempts_and_open_calls_apply_at_once():
    engine = scripted_driver(outcome=retry_once)
    arrive(engine, Call("c1"))
    engine.update_settings(dataclasses.replace(DEFAULT_SETTINGS, max_attempts=1), max_open=2)
    arrive(engine, Call("c2"))
    assert arrive(engine, Call("c3")).answers == ["refused"]
    assert len(engine.servers.done) == 2
    engine.servers.done[0](AttemptResult(Outcome.ERROR))
    assert len(engine.servers.done) == 2  # the module wanted a retry


def test_settings_that_the_module_rejects_leave_the_previous_ones_in_force(capsys):
    engine = scripted_driver(outcome=retry_once, settle=lambda now, settings: 1 / 0)
    first = arrive(engine, Call("c1"))
    assert engine.update_settings(dataclasses.replace(DEFAULT_SETTINGS, max_attempts=1), max_open=5) is False
    assert "ZeroDivisionError" in capsys.readouterr().err
    assert arrive(engine, Call("c2")).answers == ["refused"]
    engine.servers.done[0](AttemptResult(Outcome.ERROR))
    assert len(engine.servers.done) == 2
    assert first.answers == []


def test_an_error_in_an_action_leaves_module_and_engine_on_the_same_settings(capsys):
    engine = scripted_driver(settle=lambda now, settings: [CloseIdle("s9")])
    engine._upstreams = None
    other = dataclasses.replace(DEFAULT_SETTINGS, max_attempts=1)
    assert engine.update_settings(other) is True
    assert engine._settings is other


def test_a_call_of_a_removed_class_gets_one_answer():
    loop = Loop()
    engine = Driver(loop, Clock(loop), EngineOptions(DEFAULT_SETTINGS, 1, 9))
    servers = ClosingServers()
    engine.connect(servers, None, None)
    engine._balancer.server_list(engine._clock.now(), "all", [model.Listing("s0"), model.Listing("s1")])
    call = Call("c1")
    call.traffic_class = 2
    request = engine.arrive(call, engine._clock.now())
    gone = tuple(
        dataclasses.replace(row, gone=number == 2) for number, row in enumerate(DEFAULT_SETTINGS.profiles)
    )
    assert engine.update_settings(dataclasses.replace(DEFAULT_SETTINGS, profiles=gone))
    servers.done[0](AttemptResult(Outcome.CONNECT_FAILED))
    assert call.answers == ["refused"]
    assert len(servers.done) == 1
    assert engine.is_idle
    assert request.id not in engine._requests


# --- races ------------------------------------------------------------------------------

OK = AttemptResult(Outcome.OK, UpstreamResponse([], b"done"))


class ServedCall(Call):
    """A call that records its answers, including the bodies of servers."""

    def served(self, answer):
        self.answers.append(answer.body)


class MessageServers(ClosingServers):
    """Servers that keep the callbacks that encode messages."""

    def __init__(self):
        super().__init__()
        self.messages = []

    def send(self, server, message, expires, done):
        self.messages.append(message)
        return super().send(server, message, expires, done)


def racing_driver(**scripts):
    engine = driver(max_open=9, **scripts)
    engine.servers = engine._upstreams = MessageServers()
    return engine


def fire_timers(engine, method):
    """Call the timers of one method even if they were cancelled, as if due in this iteration of the loop."""
    for callback, *args in list(engine.loop.later):
        if callback == method:
            callback(*args)


def test_an_outcome_after_the_attempt_timed_out_is_ignored():
    engine = racing_driver(outcome=lambda now, number, *rest: [Fail(number)])
    call = arrive(engine, ServedCall("c1"))
    fire_timers(engine, engine._on_attempt_timeout)
    engine.servers.done[0](OK)
    assert [status for _, status, _ in engine._balancer.outcomes()] == [Outcome.TIMEOUT]
    assert call.answers == ["failed"]
    assert engine.is_idle
    assert not engine._requests


def test_a_time_out_and_a_guard_in_the_iteration_of_the_answer_are_ignored():
    engine = racing_driver()
    call = arrive(engine, ServedCall("c1"))
    engine.servers.done[0](OK)
    fire_timers(engine, engine._on_attempt_timeout)
    fire_timers(engine, engine._on_guard)
    assert [status for _, status, _ in engine._balancer.outcomes()] == [Outcome.OK]
    assert engine._balancer.named("client_gone") == []
    assert call.answers == [b"done"]


def test_an_answer_after_the_guard_in_the_same_iteration_is_too_late(capsys):
    engine = racing_driver()
    call = arrive(engine, ServedCall("c1"))
    fire_timers(engine, engine._on_guard)
    engine.servers.done[0](OK)
    assert call.answers == ["failed"]
    assert engine._balancer.outcomes() == [(0, Outcome.OK, True)]
    assert not engine._requests
    assert engine._open_count == 0


def test_a_send_after_the_answer_in_one_batch_is_abandoned():
    engine = racing_driver(
        request=lambda now, arrival: [Refuse(arrival.request, 0.0), Send(arrival.request, "s0", 0.0)]
    )
    call = arrive(engine, ServedCall("c1"))
    fire_timers(engine, engine._on_outcome)
    assert engine.servers.done == []
    assert engine._balancer.outcomes() == [(0, Outcome.ABANDONED, True)]
    assert call.answers == ["refused"]
    assert not engine._requests


def test_nothing_is_written_for_a_request_that_ended_while_its_attempt_waited_for_a_connection():
    engine = racing_driver()
    request = engine.arrive(ServedCall("c1"), engine._clock.now())
    (message,) = engine.servers.messages
    assert message(100.0) == b""
    engine.client_gone(request)
    assert message(100.0) is None

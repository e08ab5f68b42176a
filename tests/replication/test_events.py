"""What a store tells of itself: each change once, each wait at doubled pauses, never more than so many."""

from __future__ import annotations

import itertools
from dataclasses import fields

import pytest

from fordtrestle.replication.events import (
    MAX_PENDING_EVENTS,
    MAX_WAIT_REPORT_BACKOFF_S,
    EpochChangeFailed,
    EpochChangeStarted,
    EpochOpened,
    Events,
    Reason,
    StateSent,
    SteppedDown,
    Waiting,
    WaitReason,
    WriteLate,
)
from fordtrestle.roles import event_log as event_log_module
from fordtrestle.roles.event_log import EventLog, message_type
from fordtrestle.roles.metrics import of_events
from tests.replication.test_hard_cases import Script


def quiet(script: Script) -> None:
    """What was told while the core formed is taken."""
    for machine in script.machines:
        machine.node.events.drain()


def run(script: Script, *machines, seconds: float) -> None:
    for _ in range(int(seconds / 0.05)):
        for machine in machines:
            script.tick(machine, 0.05)
            script.announce(machine)
        script.flow(*machines)


def test_a_calm_core_tells_nothing():
    script = Script()
    quiet(script)
    assert script.acknowledge(script.a, script.b, script.c)
    run(script, *script.machines, seconds=10.0)
    assert not any(machine.node.events.drain() for machine in script.machines)


def test_the_founder_tells_of_its_opening_and_of_the_epoch():
    script = Script()
    began, opened, *_ = script.a.node.events.drain()
    assert (began.why, opened.why) == (Reason.BOOTSTRAP, Reason.BOOTSTRAP)
    assert opened.number == 1
    assert opened.core == script.a.node.me.id
    assert opened.replicas == script.a.node.epoch.replicas
    assert len(opened.witnesses) == 3


def test_a_primary_that_is_missed_is_told_of_by_its_heir():
    script = Script()
    quiet(script)
    script.stop(script.a)
    run(script, script.b, script.c, seconds=4.0)
    told = script.b.node.events.drain()
    assert [type(event) for event in told] == [EpochChangeStarted, EpochOpened], "before the wait is long"
    assert {event.why for event in told} == {Reason.PRIMARY_LOST}


def test_a_backup_that_is_lost_and_the_state_that_goes_to_another():
    script = Script()
    assert script.acknowledge(script.a, script.b)  # C lacks it
    quiet(script)
    script.stop(script.b)
    run(script, script.a, script.c, seconds=3.0)
    told = script.a.node.events.drain()
    assert [type(event) for event in told] == [StateSent, EpochChangeStarted, EpochOpened] or [
        type(event) for event in told
    ] == [EpochChangeStarted, StateSent, EpochOpened]
    assert {event.why for event in told if not isinstance(event, StateSent)} == {Reason.REPLICA_LOST}


def test_a_write_that_a_backup_holds_up_is_told_of_once_with_its_name():
    script = Script()
    quiet(script)
    script.propose(script.a)
    script.flow(script.a)
    for _ in range(40):  # C answers heartbeats, and nobody announces itself: no other epoch can be opened
        script.tick(script.a, 0.05)
        script.flow(script.a, script.c)
    late = [event for event in script.a.node.events.drain() if isinstance(event, WriteLate)]
    assert [event.missing for event in late] == [(script.b.node.me.id,)]


def test_a_primary_that_ends_says_why_it_steps_down():
    script = Script()
    quiet(script)
    script.a.node.leave(script.a.now)
    (told,) = script.a.node.events.drain()
    assert told == SteppedDown(script.a.node.epoch.term.number, Reason.LEAVING)


def test_an_opening_that_too_few_answer_fails_and_says_who_did():
    script = Script()
    quiet(script)
    a = script.a
    script.candidate(a)
    for _ in range(60):
        script.tick(a, 0.05)
        script.flow(a)
    failed = [event for event in a.node.events.drain() if isinstance(event, EpochChangeFailed)]
    assert failed[0].why is Reason.TIMED_OUT
    assert failed[0].answered == (a.node.me.id,)


def test_a_wait_is_told_at_doubled_pauses_and_anew_where_it_changes():
    events, told = Events(), []
    for tenth in range(3000):
        at = tenth / 10
        if events.is_wait_due(WaitReason.FOUNDER, at):
            events.record_wait(WaitReason.FOUNDER, 2, ("10.0.0.1:1",), at)
            told.append(at)
    gaps = [round(after - before, 1) for before, after in itertools.pairwise(told)]
    assert told[0] == 1.0
    assert gaps[:4] == [2.0, 4.0, 8.0, 16.0]
    assert max(gaps) <= MAX_WAIT_REPORT_BACKOFF_S
    assert not events.is_wait_due(None, 300.0)
    assert not events.is_wait_due(WaitReason.PRIMARY, 300.0)
    assert events.is_wait_due(WaitReason.PRIMARY, 301.0)


def test_what_nobody_takes_is_bounded():
    events = Events()
    for number in range(3 * MAX_PENDING_EVENTS):
        events.record(SteppedDown(number, Reason.NEWER_TERM))
    assert [event.number for event in events.drain()] == list(
        range(2 * MAX_PENDING_EVENTS, 3 * MAX_PENDING_EVENTS)
    )
    assert of_events(events) == {"replication_stepped_down": 3 * MAX_PENDING_EVENTS}


@pytest.mark.parametrize(
    "event",
    [
        Waiting(WaitReason.STORES, 1.23456, 3, ("10.0.0.1:1",)),
        EpochOpened(3, "c", Reason.WITNESSES_CHANGE, ("a", "b"), ("a", "b", "c"), 0.1),
        StateSent("a", 7, 1000),
    ],
)
def test_an_event_is_a_line_on_the_log_with_its_fields(event, monkeypatch):
    lines = []
    monkeypatch.setattr(
        event_log_module.eliot, "log_message", lambda kind, **told: lines.append((kind, told))
    )
    events = Events()
    events.record(event)
    EventLog(events)()
    ((kind, told),) = lines
    assert kind == message_type(event)
    assert kind.startswith("replication:")
    assert set(told) == {field.name for field in fields(event)}
    assert all(isinstance(value, str | int | float | list) for value in told.values())
    EventLog(events)()
    assert len(lines) == 1

"""A store records each change once and each wait at doubling intervals, and bounds its pending events."""

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
from tests.replication.serving_core import ServingCore


def drain_events(core: ServingCore) -> None:
    """Drop the events recorded while the core formed."""
    for machine in core.machines:
        machine.node.events.drain()


def run(core: ServingCore, *machines, seconds: float) -> None:
    for _ in range(int(seconds / 0.05)):
        for machine in machines:
            core.tick(machine, 0.05)
            core.announce(machine)
        core.exchange_all(*machines)


def test_core_that_serves_undisturbed_records_nothing(core):
    drain_events(core)
    assert core.acknowledge(core.a, core.b, core.c)
    run(core, *core.machines, seconds=10.0)
    assert not any(machine.node.events.drain() for machine in core.machines)


def test_founder_records_its_epoch_change_and_the_epoch(core):
    began, opened, *_ = core.a.node.events.drain()
    assert (began.why, opened.why) == (Reason.BOOTSTRAP, Reason.BOOTSTRAP)
    assert opened.number == 1
    assert opened.core == core.a.node.me.id
    assert opened.replicas == core.a.node.epoch.replicas
    assert len(opened.witnesses) == 3


def test_backup_that_replaces_a_lost_primary_records_its_epoch_change(core):
    drain_events(core)
    core.stop(core.a)
    run(core, core.b, core.c, seconds=4.0)
    recorded = core.b.node.events.drain()
    assert [type(event) for event in recorded] == [EpochChangeStarted, EpochOpened], (
        "no wait should be long enough to be reported"
    )
    assert {event.why for event in recorded} == {Reason.PRIMARY_LOST}


def test_primary_that_replaces_a_lost_backup_records_the_state_that_it_sends(core):
    assert core.acknowledge(core.a, core.b)  # C lacks the write
    drain_events(core)
    core.stop(core.b)
    run(core, core.a, core.c, seconds=3.0)
    recorded = core.a.node.events.drain()
    assert [type(event) for event in recorded] == [StateSent, EpochChangeStarted, EpochOpened] or [
        type(event) for event in recorded
    ] == [EpochChangeStarted, StateSent, EpochOpened]
    assert {event.why for event in recorded if not isinstance(event, StateSent)} == {Reason.REPLICA_LOST}


def test_write_that_a_backup_stalls_is_recorded_once_with_the_backup(core):
    drain_events(core)
    core.propose(core.a)
    core.exchange_all(core.a)
    for _ in range(40):  # C answers heartbeats; without announcements no other epoch can be opened
        core.tick(core.a, 0.05)
        core.exchange_all(core.a, core.c)
    late = [event for event in core.a.node.events.drain() if isinstance(event, WriteLate)]
    assert [event.missing for event in late] == [(core.b.node.me.id,)]


def test_primary_that_shuts_down_records_why_it_steps_down(core):
    drain_events(core)
    core.a.node.leave(core.a.now)
    (recorded,) = core.a.node.events.drain()
    assert recorded == SteppedDown(core.a.node.epoch.term.number, Reason.LEAVING)


def test_epoch_change_that_too_few_answer_records_who_did(core):
    drain_events(core)
    a = core.a
    core.run_candidate(a)
    for _ in range(60):
        core.tick(a, 0.05)
        core.exchange_all(a)
    failed = [event for event in a.node.events.drain() if isinstance(event, EpochChangeFailed)]
    assert failed[0].why is Reason.TIMED_OUT
    assert failed[0].answered == (a.node.me.id,)


def test_wait_is_reported_at_doubling_intervals_that_restart_when_its_reason_changes():
    events, recorded = Events(), []
    for tenth in range(3000):
        at = tenth / 10
        if events.is_wait_due(WaitReason.FOUNDER, at):
            events.record_wait(WaitReason.FOUNDER, 2, ("10.0.0.1:1",), at)
            recorded.append(at)
    gaps = [round(after - before, 1) for before, after in itertools.pairwise(recorded)]
    assert recorded[0] == 1.0
    assert gaps[:4] == [2.0, 4.0, 8.0, 16.0]
    assert max(gaps) <= MAX_WAIT_REPORT_BACKOFF_S
    assert not events.is_wait_due(None, 300.0)
    assert not events.is_wait_due(WaitReason.PRIMARY, 300.0)
    assert events.is_wait_due(WaitReason.PRIMARY, 301.0)


def test_events_that_are_not_drained_are_bounded():
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
def test_event_is_logged_with_its_fields(event, monkeypatch):
    lines = []
    monkeypatch.setattr(
        event_log_module.eliot, "log_message", lambda kind, **recorded: lines.append((kind, recorded))
    )
    events = Events()
    events.record(event)
    EventLog(events).write()
    ((kind, recorded),) = lines
    assert kind == message_type(event)
    assert kind.startswith("replication:")
    assert set(recorded) == {field.name for field in fields(event)}
    assert all(isinstance(value, str | int | float | list) for value in recorded.values())
    EventLog(events).write()
    assert len(lines) == 1

"""Tests answers while stores differ: with writes in flight, after a new term, and on a store that lags."""

from __future__ import annotations

import asyncio

import pytest

from fordtrestle.control_api.coordination_service import CoordinationService
from fordtrestle.coordination.answers import KeyFound, KeyWritten, OutcomeUnknown, Unavailable
from fordtrestle.coordination.changes import AdvanceCounter, WriteKey
from fordtrestle.coordination.commands import GetKey, IssueNumber, PutKey
from fordtrestle.coordination.observation_clock import ObservationClock
from fordtrestle.replication.epoch_plan import EpochPlan
from fordtrestle.replication.epochs import Term
from fordtrestle.replication.events import Reason
from fordtrestle.replication.messages import Append, Appended, HeartbeatAck
from tests.control_api.world import VirtualReplicator
from tests.replication.serving_core import ServingCore

TURNS = 20
CALL_TIMEOUT_S = 1.5
TICK_S = 0.05


class Calls:
    """Calls to store A, with messages that the test delivers or drops."""

    def __init__(self):
        self.core = ServingCore()
        clock = ObservationClock(30.0)
        self.service = CoordinationService(VirtualReplicator(self.core, self.core.a), clock, lambda: True)

    def begin(self, command, is_caller_waiting=lambda: True):
        deadline = self.core.a.now + CALL_TIMEOUT_S
        return asyncio.create_task(self.service.execute(command, deadline, is_caller_waiting))

    async def exchange(self, *lost):
        """Deliver all messages except those of the `lost` types."""
        for _ in range(TURNS):
            await asyncio.sleep(0)
            self.core.exchange_all(lost=lambda envelope: isinstance(envelope.message, lost))

    async def pass_time(self, seconds, *lost):
        for _ in range(int(seconds / TICK_S)):
            for machine in self.core.machines:
                self.core.tick(machine, TICK_S)
            await self.exchange(*lost)


def test_a_value_is_not_read_before_it_is_on_all_replicas():
    async def run():
        calls = Calls()
        put = calls.begin(PutKey("g.a", "1", None))
        await calls.exchange(Append, Appended, HeartbeatAck)
        get = calls.begin(GetKey("g.a"))
        await calls.exchange(Append)
        assert not put.done()
        assert not get.done()
        await calls.pass_time(1.2)  # within which the lagging replica receives the state
        assert (put.result(), get.result()) == (KeyWritten(1), KeyFound("1", 1))

    asyncio.run(run())


async def check_not_started(calls, command):
    await calls.exchange()
    assert command.result() == Unavailable()
    assert not calls.core.a.node.durable.state.coordination.counters


@pytest.mark.parametrize("late_s", [CALL_TIMEOUT_S, CALL_TIMEOUT_S + 3.0])
def test_a_command_is_not_started_after_its_deadline(late_s):
    # The primary stood still with the command in its queue, and its caller has given it up.
    async def run():
        calls = Calls()
        command = calls.begin(IssueNumber("n"))
        calls.core.a.now += late_s
        await check_not_started(calls, command)

    asyncio.run(run())


def test_a_command_whose_caller_has_disconnected_is_not_started():
    async def run():
        calls = Calls()
        await check_not_started(calls, calls.begin(IssueNumber("n"), lambda: False))

    asyncio.run(run())


def test_a_command_that_waits_for_an_epoch_change_is_not_started_after_its_deadline():
    # The epoch opens and the deadline passes before the command's task has its next turn.
    async def run():
        calls = Calls()
        core, node = calls.core, calls.core.a.node
        accepted = node.durable.accepted_epoch
        node.candidate.start(EpochPlan(accepted, accepted.witnesses, Reason.PRIMARY_LOST), core.a.now)
        command = calls.begin(IssueNumber("n"))
        await asyncio.sleep(0)
        assert (node.is_primary, node.is_ready, command.done()) == (True, False, False)
        core.pump(core.a)
        for _ in range(round(CALL_TIMEOUT_S / TICK_S) + 1):
            for machine in core.machines:
                core.tick(machine, TICK_S)
            core.exchange_all()
        assert node.is_ready
        await check_not_started(calls, command)

    asyncio.run(run())


def test_a_read_that_no_majority_confirms_is_not_answered():
    async def run():
        calls = Calls()
        get = calls.begin(GetKey("g.a"))
        await calls.exchange(HeartbeatAck)
        assert not get.done()
        await calls.pass_time(CALL_TIMEOUT_S, HeartbeatAck)
        assert get.result() == Unavailable()

    asyncio.run(run())


def test_a_write_whose_primary_is_deposed_has_an_unknown_outcome():
    async def run():
        calls = Calls()
        put = calls.begin(PutKey("g.a", "1", None))
        await calls.exchange(Append)
        calls.core.a.node.primary.step_down(Reason.OUT_OF_TOUCH, calls.core.a.now)
        calls.core.pump(calls.core.a)
        await calls.exchange(Append)
        assert put.result() == OutcomeUnknown()

    asyncio.run(run())


def test_a_write_of_an_earlier_tenure_is_not_known_to_be_committed():
    core = ServingCore()
    node = core.a.node
    write = node.propose(AdvanceCounter("n"), core.a.now)
    node.primary.step_down(Reason.OUT_OF_TOUCH, core.a.now)
    core.run_candidate(core.a, core.b, core.c)
    assert node.is_primary
    assert node.committed_sequence >= write.sequence
    assert not node.has_committed(write)
    assert not node.is_current(write)


def test_followers_learn_of_a_commit_at_once():
    core = ServingCore()
    core.a.node.propose(WriteKey("g.a", "1", 0), core.a.now)
    core.pump(core.a)
    core.exchange_all()
    sequence = core.a.node.durable.state.sequence
    assert [machine.node.committed_sequence for machine in core.machines] == [sequence] * 3


def test_commits_of_another_term_do_not_advance_the_committed_sequence():
    core = ServingCore()
    context = core.b.node.context
    known = context.committed_sequence
    context.learn_committed(Term(99, "x"), known + 5)
    assert context.committed_sequence == known
    context.learn_committed(context.durable.installed_term, known + 5)
    assert context.committed_sequence == known + 5


def test_a_lagging_store_reports_no_commits_beyond_its_state():
    core = ServingCore()
    node = core.b.node
    node.context.learn_committed(node.durable.installed_term, node.durable.state.sequence + 5)
    assert node.committed_sequence == node.durable.state.sequence

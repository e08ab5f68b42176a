"""Tests commands in situations that the random search reaches too rarely.

These are a deposed primary, calls that are sent again after a long time, callers that have disconnected, and
more commands than may wait.
"""

from __future__ import annotations

import asyncio
import functools
import json
import math
from collections.abc import Callable, Coroutine
from dataclasses import replace

import pytest

from fordtrestle.control_api import commands as commands_module
from fordtrestle.control_api import evaluation as evaluation_module
from fordtrestle.control_api.commands import CommandHandler
from fordtrestle.control_api.evaluation import digest_of, evaluate
from fordtrestle.control_api.requests import (
    CommandResult,
    CommandStatus,
    ConfigRequest,
    ConfigRequestKind,
    EvacuationRequest,
    IsCallerWaiting,
)
from fordtrestle.replication import state as state_module
from fordtrestle.replication.state import ConfigChange, ControlState
from tests.control_api.world import VirtualReplicator
from tests.exchanges import loopback
from tests.replication.deployment import Machine
from tests.replication.serving_core import ServingCore


def document(generation: int, name: str = "pool") -> bytes:
    return json.dumps({"generation": generation, "services": [{"name": name}], "routes": []}).encode()


def is_connected() -> bool:
    return True


def has_disconnected() -> bool:
    return False


def put(base: int, body: bytes, is_caller_waiting: IsCallerWaiting = is_connected) -> ConfigRequest:
    return ConfigRequest(ConfigRequestKind.PUT, base, body, is_caller_waiting)


def patch(base: int, body: bytes) -> ConfigRequest:
    return ConfigRequest(ConfigRequestKind.PATCH, base, body, is_connected)


def evacuation(
    active: bool, is_caller_waiting: IsCallerWaiting = is_connected, deadline: float = math.inf
) -> EvacuationRequest:
    return EvacuationRequest("z-1", active, deadline, is_caller_waiting)


class Core(ServingCore):
    """Three stores that serve, and the command handler of each."""

    def __init__(self) -> None:
        super().__init__()
        self.handlers = {m.address: CommandHandler(VirtualReplicator(self, m)) for m in self.machines}

    def handler_of(self, machine: Machine) -> CommandHandler:
        return self.handlers[machine.address]

    async def run(
        self,
        command: Coroutine[None, None, CommandResult],
        *among: Machine,
        after_start: Callable[[], object] = is_connected,
    ) -> CommandResult:
        """Run a command to its result while these machines exchange messages.

        Args:
            command: The command.
            among: The machines that exchange messages.
            after_start: Called once after the command has started.
        """
        task = asyncio.get_running_loop().create_task(command)
        await asyncio.sleep(0)
        after_start()
        while not task.done():
            self.exchange_all(*among)
            for machine in among:
                self.tick(machine, 0.05)
            await asyncio.sleep(0)
        return task.result()

    async def put(self, base: int, generation: int, name: str = "pool") -> CommandResult:
        command = self.handler_of(self.a).change_config(put(base, document(generation, name)))
        return await self.run(command, *self.machines)

    def depose(self) -> None:
        """Partition A, which does not know yet that B has become primary."""
        self.run_candidate(self.b, self.c)
        assert self.a.node.is_primary
        assert self.b.node.is_primary


@loopback
async def test_a_deposed_primary_answers_no_read():
    core = Core()
    assert (await core.put(0, 3)).status is CommandStatus.DONE
    core.depose()
    command = core.handler_of(core.b).change_config(put(3, document(5)))
    assert (await core.run(command, core.b, core.c)).status is CommandStatus.DONE
    result = await core.run(core.handler_of(core.a).read_config(), core.a)
    assert result.status in (CommandStatus.UNKNOWN, CommandStatus.NOT_PRIMARY)


@pytest.mark.parametrize(
    "body", [document(7), document(5), b"{"], ids=["valid", "current generation", "truncated"]
)
@loopback
async def test_a_deposed_primary_rejects_no_change(body):
    core = Core()
    assert (await core.put(0, 3)).status is CommandStatus.DONE
    core.depose()
    command = core.handler_of(core.b).change_config(put(3, document(5)))
    assert (await core.run(command, core.b, core.c)).status is CommandStatus.DONE
    for base in (3, 5):
        command = core.handler_of(core.a).change_config(put(base, body))
        assert (await core.run(command, core.a)).status in (CommandStatus.UNKNOWN, CommandStatus.NOT_PRIMARY)


@loopback
async def test_a_deposed_primary_does_not_acknowledge_a_resent_evacuation():
    core = Core()
    command = core.handler_of(core.a).evacuate(evacuation(True))
    assert (await core.run(command, *core.machines)).status is CommandStatus.DONE
    core.depose()
    command = core.handler_of(core.b).evacuate(evacuation(False))
    assert (await core.run(command, core.b, core.c)).status is CommandStatus.DONE
    command = core.handler_of(core.a).evacuate(evacuation(True))
    assert (await core.run(command, core.a)).status in (CommandStatus.UNKNOWN, CommandStatus.NOT_PRIMARY)


@loopback
async def test_no_command_of_a_disconnected_caller_is_executed():
    core = Core()
    for command in (
        core.handler_of(core.a).change_config(put(0, document(3), has_disconnected)),
        core.handler_of(core.a).evacuate(evacuation(True, has_disconnected)),
    ):
        assert (await core.run(command, *core.machines)).status is CommandStatus.UNKNOWN
    assert core.a.node.durable.state == ControlState()


@loopback
async def test_no_change_of_a_caller_that_disconnects_during_evaluation_is_written():
    core = Core()
    answers = iter([True, False])
    command = core.handler_of(core.a).change_config(put(0, document(3), lambda: next(answers)))
    assert (await core.run(command, *core.machines)).status is CommandStatus.UNKNOWN
    assert core.a.node.durable.state == ControlState()


@loopback
async def test_no_evacuation_of_a_caller_that_disconnects_while_leadership_is_confirmed_is_written():
    core = Core()
    answers = iter([True, False])
    command = core.handler_of(core.a).evacuate(evacuation(True, lambda: next(answers)))
    assert (await core.run(command, *core.machines)).status is CommandStatus.UNKNOWN
    assert core.a.node.durable.state == ControlState()


@loopback
async def test_no_evacuation_is_written_after_its_caller_has_tried_another_process():
    """A suspended process resumes with a command in its queue and does not see that its caller has left."""
    core = Core()

    def suspend() -> None:
        core.a.now += 1.1

    command = core.handler_of(core.a).evacuate(evacuation(True, deadline=core.a.now + 0.95))
    assert (await core.run(command, *core.machines, after_start=suspend)).status is CommandStatus.UNKNOWN
    assert core.a.node.durable.state == ControlState()


async def fail_over_and_back(core: Core, command: Coroutine[None, None, CommandResult]) -> None:
    """Let B become primary and execute a command, then make A primary again with the resulting state."""
    core.run_candidate(core.b, core.a)
    assert not core.a.node.is_primary
    assert (await core.run(command, core.a, core.b)).status is CommandStatus.DONE
    core.run_candidate(core.a, core.b, core.c)
    assert core.a.node.is_primary


@loopback
async def test_no_change_is_written_on_a_state_that_another_primary_has_changed_since(monkeypatch):
    """A long document is checked in a thread, while A is deposed and becomes primary again."""
    monkeypatch.setattr(commands_module, "MAX_INLINE_BYTES", 0)
    core = Core()
    may_finish_check = asyncio.Event()

    async def to_thread(call, *args):
        outcome = call(*args)
        await may_finish_check.wait()
        return outcome

    with monkeypatch.context() as context:
        context.setattr(commands_module.asyncio, "to_thread", to_thread)
        slow = asyncio.create_task(core.handler_of(core.a).change_config(put(0, document(3, "slow"))))
        await asyncio.sleep(0)
    monkeypatch.setattr(commands_module, "MAX_INLINE_BYTES", 1 << 20)
    await fail_over_and_back(core, core.handler_of(core.b).change_config(put(0, document(3, "other"))))
    may_finish_check.set()
    assert (await core.run(_result(slow), *core.machines)).status is CommandStatus.UNKNOWN
    assert json.loads(core.a.node.durable.state.document)["services"] == [{"name": "other"}]


@loopback
async def test_waiting_commands_are_bounded(monkeypatch):
    monkeypatch.setattr(commands_module, "MAX_WAITING_COMMANDS", 2)
    core = Core()
    loop = asyncio.get_running_loop()
    first = [
        loop.create_task(core.handler_of(core.a).change_config(put(0, document(3, f"s{n}"))))
        for n in range(2)
    ]
    await asyncio.sleep(0)
    result = await core.run(core.handler_of(core.a).change_config(put(0, document(3))))
    assert result.status is CommandStatus.UNKNOWN
    statuses = {(await core.run(_result(task), *core.machines)).status for task in first}
    assert statuses == {CommandStatus.DONE, CommandStatus.STALE}


async def _result(task: asyncio.Task[CommandResult]) -> CommandResult:
    return await task


# Evaluation of a request on a state.


def state_after_changes(changes: int) -> ControlState:
    """Return the state after this many changes, each based on the one before."""
    state = ControlState()
    for number in range(changes):
        evaluated = evaluate(put(number, document(number + 1, f"s{number}")), state)
        assert not isinstance(evaluated, CommandResult)
        state = state.apply(evaluated)
    return state


@functools.cache
def state_after_many_changes() -> ControlState:
    return state_after_changes(2_501)


@pytest.mark.parametrize(
    ("newer", "status"), [(1, "DONE"), (500, "DONE"), (2_000, "DONE"), (2_500, "UNKNOWN")]
)
def test_an_applied_call_is_never_rejected_however_long_ago(newer, status):
    number = 2_500 - newer
    evaluated = evaluate(put(number, document(number + 1, f"s{number}")), state_after_many_changes())
    assert evaluated.status is CommandStatus[status]


def test_another_call_on_an_old_generation_is_stale_as_far_back_as_calls_are_remembered():
    assert (
        evaluate(put(2_400, document(2_401, "another")), state_after_many_changes()).status
        is CommandStatus.STALE
    )
    assert (
        evaluate(patch(2_500, b'{"generation": 2501}'), state_after_many_changes()).status
        is CommandStatus.STALE
    )


def test_calls_are_remembered_across_a_change_of_epoch_and_a_snapshot():
    restored = replace(state_after_many_changes())
    assert evaluate(put(2_000, document(2_001, "s2000")), restored).status is CommandStatus.DONE


def test_the_same_generation_with_another_body_is_another_change():
    state = state_after_changes(1)
    assert evaluate(put(0, document(1, "other")), state).status is CommandStatus.STALE
    assert evaluate(put(1, document(1, "other")), state).status is CommandStatus.INVALID
    assert evaluate(patch(0, document(1, "s0")), state).status is CommandStatus.STALE


def test_a_configuration_that_exceeds_one_message_is_invalid(monkeypatch):
    monkeypatch.setattr(evaluation_module, "MAX_DOCUMENT_BYTES", 1000)
    assert evaluate(put(0, document(1, "s" * 1000)), ControlState()).status is CommandStatus.INVALID
    state = state_after_changes(1)
    changes = {"generation": 2, "upsert": {"services": [{"name": "s" * 990}]}}
    assert evaluate(patch(1, json.dumps(changes).encode()), state).status is CommandStatus.INVALID


def state_with_short_memory(count: int, max_calls: int, monkeypatch, max_prefixes: int = 100) -> ControlState:
    """Return a state after `count` changes, of which the newest `max_calls` are known by their digests."""
    monkeypatch.setattr(state_module, "MAX_APPLIED_CALLS", max_calls)
    monkeypatch.setattr(state_module, "MAX_DIGEST_PREFIXES", max_prefixes)
    state = ControlState()
    for number in range(1, count + 1):
        digest = digest_of(ConfigRequestKind.PUT, number - 1, b"%d" % number)
        state = state.apply(ConfigChange(digest, number, b"{}"))
    return state


def test_a_call_on_an_old_generation_that_was_never_applied_is_stale_however_old(monkeypatch):
    state = state_with_short_memory(20, 3, monkeypatch)
    for base in range(19):
        assert evaluate(put(base, b"another"), state).status is CommandStatus.STALE


def test_a_call_whose_digest_was_shortened_is_never_rejected(monkeypatch):
    state = state_with_short_memory(20, 3, monkeypatch)
    statuses = [evaluate(put(number - 1, b"%d" % number), state).status for number in range(1, 21)]
    assert statuses == 17 * [CommandStatus.UNKNOWN] + 3 * [CommandStatus.DONE]


def test_digests_of_old_calls_are_bounded_and_no_old_call_is_rejected(monkeypatch):
    state = state_with_short_memory(40, 3, monkeypatch, max_prefixes=10)
    assert len(state.digest_prefixes) <= 10 * state_module.DIGEST_PREFIX_BYTES
    statuses = {evaluate(put(number - 1, b"%d" % number), state).status for number in range(1, 38)}
    assert statuses == {CommandStatus.UNKNOWN}
    assert evaluate(put(36, b"another"), state).status is CommandStatus.STALE


def test_a_digest_prefix_is_found_only_where_one_begins():
    state = ControlState(generation=9, digest_prefixes=b"\x01\x02\x03\x04\x05\x06\x07\x08")
    assert state.may_have_applied(b"\x05\x06\x07\x08 and more", 1)
    assert not state.may_have_applied(b"\x03\x04\x05\x06 and more", 1)

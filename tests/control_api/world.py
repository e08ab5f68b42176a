"""Operators before a deployment of control stores in which anything may happen between two steps.

The stores are those of `tests/replication/world.py`. Calls wait, their answers get lost, they are sent again
to any machine. Each answer is compared with what it may be (PROTOCOL: the operator's API; RULES: CONFIG).
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field

from fordtrestle.control_api.commands import CommandHandler
from fordtrestle.control_api.evaluation import digest_of
from fordtrestle.control_api.requests import (
    CommandResult,
    CommandStatus,
    ConfigRequest,
    ConfigRequestKind,
    EvacuationRequest,
    IsCallerWaiting,
)
from fordtrestle.replication.node import Node
from fordtrestle.replication.state import ControlState
from tests.replication.deployment import Machine
from tests.replication.world import InvariantError, World

CALLER_TIMEOUT_S = 1.0  # then a caller tries another machine
MAX_ATTEMPTS = 12  # of a call, each at a machine drawn anew
MAX_CALLS = 8  # in flight at a time
ZONE = "z-1"


class ProcessEndedError(Exception):
    """The process that a call was sent to has ended."""


class VirtualReplicator:
    """What `CommandHandler` needs of a `Replicator`, in the world's time."""

    def __init__(self, world: World, machine: Machine) -> None:
        self.world = world
        self.machine = machine
        self.node: Node = machine.node

    def now(self) -> float:
        return self.machine.now

    def pump(self) -> None:
        self._check_running()
        self.world.pump(self.machine)

    def _check_running(self) -> None:
        if self.machine.node is not self.node:
            raise ProcessEndedError

    async def wait_until(self, reached: Callable[[], bool], seconds: float) -> bool:
        end = self.machine.now + seconds
        self._check_running()
        while not reached():
            if self.machine.now >= end:
                return False
            await asyncio.sleep(0)
            self._check_running()
        return True


@dataclass(eq=False)
class Change:
    """A configuration that an operator wants, sent until there is a clear answer."""

    kind: ConfigRequestKind
    base: int
    generation: int
    body: bytes
    is_valid: bool
    acknowledged: bool = False
    refused: bool = False
    alone: bool = False  # as it was sent first, its base was the newest and no other change was in flight

    @property
    def digest(self) -> bytes:
        return digest_of(self.kind, self.base, self.body)


@dataclass
class Acknowledgements:
    """What operators were answered so far."""

    changes: list[Change] = field(default_factory=list)  # all that were sent
    newest: int = 0  # generation that was acknowledged
    zone_active: bool | None = None  # what was acknowledged of the zone last; `None` while that is not clear
    zone_busy: bool = False  # whether an evacuation of the zone is in flight


class CommandWorld(World):
    """The stores, a `CommandHandler` on each, and the calls in flight. Has to run in an event loop."""

    def __init__(self, seed: int, machines: int = 1) -> None:
        self.answered = Acknowledgements()
        self.calls: set[asyncio.Task[None]] = set()
        self.handlers: dict[Node, CommandHandler] = {}
        super().__init__(seed, machines)
        self.lost_answers = self.rng.choice((0.0, 0.2, 0.6))

    def start(self, machine: Machine) -> None:
        super().start(machine)
        self.handlers[machine.node] = CommandHandler(VirtualReplicator(self, machine))

    # what operators do, in place of the writes and reads of `World`

    def propose(self, machine: Machine) -> None:
        kind = self.rng.random()
        if len(self.calls) >= MAX_CALLS:
            return
        if kind < 0.6:
            self._begin(self._change(self._drawn_change()))
        elif kind < 0.8 and not self.answered.zone_busy:
            self._begin(self._evacuate())
        elif self.answered.changes:
            acknowledged = [change for change in self.answered.changes if change.acknowledged]
            if acknowledged:
                self._begin(self._change(self.rng.choice(acknowledged)))

    def begin_read(self, machine: Machine) -> None:
        if len(self.calls) < MAX_CALLS:
            self._begin(self._read())

    def _begin(self, call: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(call)
        self.calls.add(task)

    def _drawn_change(self) -> Change:
        rng, answered = self.rng, self.answered
        base = answered.newest if rng.random() < 0.8 else rng.randint(0, answered.newest)
        generation = base + rng.randint(1, 2)
        marker = f"m{rng.randint(0, 2)}" if rng.random() < 0.2 else f"n{len(answered.changes)}"
        services = [{"name": marker}]
        if rng.random() < 0.3 and base > 0:
            body, kind = {"generation": generation, "upsert": {"services": services}}, ConfigRequestKind.PATCH
        else:
            body, kind = {"generation": generation, "services": services, "routes": []}, ConfigRequestKind.PUT
        is_valid = rng.random() > 0.1
        if not is_valid:
            body["generation"] = base
        drawn = Change(kind, base, generation, json.dumps(body).encode(), is_valid)
        change = next((known for known in answered.changes if known.digest == drawn.digest), drawn)
        if change is drawn:
            rivals = [other for other in answered.changes if other.base >= base and other.is_valid]
            change.alone = base == answered.newest and not rivals
            answered.changes.append(change)
        return change

    async def _change(self, change: Change) -> None:
        def send(
            handler: CommandHandler, is_waiting: IsCallerWaiting
        ) -> Coroutine[None, None, CommandResult]:
            return handler.change_config(ConfigRequest(change.kind, change.base, change.body, is_waiting))

        status = (await self._send_until_clear(send, self._check_change(change))).status
        if status is CommandStatus.DONE:
            self.answered.newest = max(self.answered.newest, change.generation)

    async def _evacuate(self) -> None:
        self.answered.zone_busy = True
        active = not self.answered.zone_active if self.answered.zone_active is not None else False

        def send(
            handler: CommandHandler, is_waiting: IsCallerWaiting
        ) -> Coroutine[None, None, CommandResult]:
            return handler.evacuate(EvacuationRequest(ZONE, active, is_waiting))

        result = await self._send_until_clear(send, lambda result: None)
        self.answered.zone_active = active if result.status is CommandStatus.DONE else None
        self.answered.zone_busy = False

    async def _read(self) -> None:
        newest = self.answered.newest
        result = await self._send_until_clear(lambda handler, _: handler.read_config(), lambda result: None)
        if result.status is CommandStatus.DONE:
            generation = json.loads(result.document)["generation"] if result.document else 0
            if generation < newest:
                raise InvariantError(f"a read gave {generation} after {newest} was acknowledged")

    async def _send_until_clear(
        self,
        send: Callable[[CommandHandler, IsCallerWaiting], Coroutine[None, None, CommandResult]],
        check: Callable[[CommandResult], None],
    ) -> CommandResult:
        """Send a call to one machine after the other until it has a clear answer."""
        for _ in range(MAX_ATTEMPTS):
            result = await self._attempt(self.rng.choice(self.machines), send, check)
            if result.status not in (CommandStatus.UNKNOWN, CommandStatus.NOT_PRIMARY):
                return result
            for _ in range(self.rng.randint(0, 60)):
                await asyncio.sleep(0)
        return CommandResult(CommandStatus.UNKNOWN)

    async def _attempt(self, machine: Machine, send, check) -> CommandResult:
        node = machine.node
        if node is None:
            return CommandResult(CommandStatus.UNKNOWN)
        has_left = False
        is_seen = self.rng.random() < 0.5  # whether the process notices that

        async def handle() -> CommandResult:
            try:
                result = await send(self.handlers[node], lambda: not (has_left and is_seen))
            except ProcessEndedError:
                return CommandResult(CommandStatus.UNKNOWN)
            check(result)
            return result

        handler = asyncio.get_running_loop().create_task(handle())
        self.calls.add(handler)
        end = machine.now + CALLER_TIMEOUT_S
        while not handler.done() and machine.now < end and machine.node is node:
            await asyncio.sleep(0)
        has_left = True
        if not handler.done() or self.rng.random() < self.lost_answers:
            return CommandResult(CommandStatus.UNKNOWN)
        return handler.result()

    def _check_change(self, change: Change) -> Callable[[CommandResult], None]:
        """What a machine answers binds, whether the answer arrives or not."""

        def check(result: CommandResult) -> None:
            if result.status is CommandStatus.DONE:
                self._acknowledge(change)
            elif result.status in (CommandStatus.STALE, CommandStatus.INVALID):
                if change.acknowledged:
                    raise InvariantError(f"{change.digest.hex()[:6]} was acknowledged and is refused")
                rivals = [c for c in self.answered.changes if c is not change and c.base >= change.base]
                if change.alone and change.is_valid and not any(rival.is_valid for rival in rivals):
                    raise InvariantError("a proper change on the newest version is refused")
                change.refused = True

        return check

    def _acknowledge(self, change: Change) -> None:
        if change.refused:
            raise InvariantError("a change is acknowledged that was refused")
        if not change.is_valid:
            raise InvariantError("an invalid change is acknowledged")
        for other in self.answered.changes:
            if other is not change and other.acknowledged:
                if other.base == change.base:
                    raise InvariantError("two changes on one version are acknowledged")
                if other.generation == change.generation:
                    raise InvariantError("two changes are acknowledged under one number")
        change.acknowledged = True

    # the run

    async def play(self, steps: int) -> ControlState:
        """Play steps and let all heal; the state in the end."""
        for _ in range(steps):
            self.step()
            await self._progress()
        for call in self.calls:
            call.cancel()
        await asyncio.gather(*self.calls, return_exceptions=True)
        state = self.heal().durable.state
        if state.generation < self.answered.newest:
            raise InvariantError(f"{state.generation} is left of {self.answered.newest}")
        for change in self.answered.changes:
            if change.refused and state.has_applied(change.digest):
                raise InvariantError("a change is in force that was refused")
        busy, active = self.answered.zone_busy, self.answered.zone_active
        if active is not None and not busy and (ZONE in state.evacuated) != active:
            raise InvariantError("an evacuation is in force that was overtaken")
        return state

    async def _progress(self) -> None:
        await asyncio.sleep(0)
        for call in [call for call in self.calls if call.done()]:
            self.calls.discard(call)
            if not call.cancelled() and call.exception():
                raise call.exception()


def play(seed: int, machines: int, steps: int) -> CommandWorld:
    """Play one seed. Raises `InvariantError`."""

    async def run() -> CommandWorld:
        world = CommandWorld(seed, machines)
        await world.play(steps)
        return world

    return asyncio.run(run())

"""Simulates operators that call control stores while faults happen between any two steps.

The stores are those of `tests/replication/world.py`. Calls are delayed, their answers get lost, and they are
sent again to any machine. Each answer is checked against the rules (PROTOCOL: the operator's API; RULES:
CONFIG).
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

CALL_TIMEOUT_S = 0.95  # within which a process executes an evacuation
CALLER_TIMEOUT_S = 1.0  # after which a caller tries another machine
MAX_ATTEMPTS = 12  # per call, each at a randomly drawn machine
MAX_CALLS = 8  # in flight at a time
ZONE = "z-1"


class ProcessEndedError(Exception):
    """The process that a call was sent to has ended."""


class VirtualReplicator:
    """The part of a `Replicator` that `CommandHandler` uses, in the simulated time."""

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

    async def wait_until(self, condition: Callable[[], bool], timeout_s: float) -> bool:
        deadline = self.machine.now + timeout_s
        self._check_running()
        while not condition():
            if self.machine.now >= deadline:
                return False
            await asyncio.sleep(0)
            self._check_running()
        return True


@dataclass(eq=False)
class Change:
    """A configuration change that an operator sends until there is a conclusive answer."""

    kind: ConfigRequestKind
    base: int
    generation: int
    body: bytes
    is_valid: bool
    acknowledged: bool = False
    rejected: bool = False
    had_no_rival: bool = False  # when first sent, its base was the newest and no other change was in flight

    @property
    def digest(self) -> bytes:
        return digest_of(self.kind, self.base, self.body)


@dataclass
class Acknowledgements:
    """The answers that operators have received so far."""

    changes: list[Change] = field(default_factory=list)  # all changes that were sent
    newest: int = 0  # the newest acknowledged generation
    zone_active: bool | None = None  # the acknowledged evacuation state; `None` while the outcome is unknown
    is_evacuation_in_flight: bool = False


class CommandWorld(World):
    """The stores, a `CommandHandler` on each, and the calls in flight. Must run in an event loop."""

    def __init__(self, seed: int, machines: int = 1) -> None:
        self.acknowledgements = Acknowledgements()
        self.calls: set[asyncio.Task[None]] = set()
        self.handlers: dict[Node, CommandHandler] = {}
        super().__init__(seed, machines)
        self.answer_loss_rate = self.rng.choice((0.0, 0.2, 0.6))

    def start(self, machine: Machine) -> None:
        super().start(machine)
        self.handlers[machine.node] = CommandHandler(VirtualReplicator(self, machine))

    # Operators' calls, which replace the writes and reads of `World`.

    def propose(self, machine: Machine) -> None:
        draw = self.rng.random()
        if len(self.calls) >= MAX_CALLS:
            return
        if draw < 0.6:
            self._begin(self._change(self._draw_change()))
        elif draw < 0.8 and not self.acknowledgements.is_evacuation_in_flight:
            self._begin(self._evacuate())
        elif self.acknowledgements.changes:
            acknowledged = [change for change in self.acknowledgements.changes if change.acknowledged]
            if acknowledged:
                self._begin(self._change(self.rng.choice(acknowledged)))

    def begin_read(self, machine: Machine) -> None:
        if len(self.calls) < MAX_CALLS:
            self._begin(self._read())

    def _begin(self, call: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(call)
        self.calls.add(task)

    def _draw_change(self) -> Change:
        rng, acknowledgements = self.rng, self.acknowledgements
        base = acknowledgements.newest if rng.random() < 0.8 else rng.randint(0, acknowledgements.newest)
        generation = base + rng.randint(1, 2)
        marker = f"m{rng.randint(0, 2)}" if rng.random() < 0.2 else f"n{len(acknowledgements.changes)}"
        services = [{"name": marker}]
        if rng.random() < 0.3 and base > 0:
            body, kind = {"generation": generation, "upsert": {"services": services}}, ConfigRequestKind.PATCH
        else:
            body, kind = {"generation": generation, "services": services, "routes": []}, ConfigRequestKind.PUT
        is_valid = rng.random() > 0.1
        if not is_valid:
            body["generation"] = base
        drawn = Change(kind, base, generation, json.dumps(body).encode(), is_valid)
        change = next((sent for sent in acknowledgements.changes if sent.digest == drawn.digest), drawn)
        if change is drawn:
            rivals = [other for other in acknowledgements.changes if other.base >= base and other.is_valid]
            change.had_no_rival = base == acknowledgements.newest and not rivals
            acknowledgements.changes.append(change)
        return change

    async def _change(self, change: Change) -> None:
        def send(
            handler: CommandHandler, is_waiting: IsCallerWaiting, _: float
        ) -> Coroutine[None, None, CommandResult]:
            return handler.change_config(ConfigRequest(change.kind, change.base, change.body, is_waiting))

        status = (await self._send_until_conclusive(send, self._check_change(change))).status
        if status is CommandStatus.DONE:
            self.acknowledgements.newest = max(self.acknowledgements.newest, change.generation)

    async def _evacuate(self) -> None:
        self.acknowledgements.is_evacuation_in_flight = True
        active = (
            not self.acknowledgements.zone_active if self.acknowledgements.zone_active is not None else False
        )

        def send(
            handler: CommandHandler, is_waiting: IsCallerWaiting, deadline: float
        ) -> Coroutine[None, None, CommandResult]:
            return handler.evacuate(EvacuationRequest(ZONE, active, deadline, is_waiting))

        result = await self._send_until_conclusive(send, lambda result: None)
        self.acknowledgements.zone_active = active if result.status is CommandStatus.DONE else None
        self.acknowledgements.is_evacuation_in_flight = False

    async def _read(self) -> None:
        newest = self.acknowledgements.newest
        result = await self._send_until_conclusive(
            lambda handler, *_: handler.read_config(), lambda result: None
        )
        if result.status is CommandStatus.DONE:
            generation = json.loads(result.document)["generation"] if result.document else 0
            if generation < newest:
                raise InvariantError(
                    f"a read returned generation {generation} after {newest} was acknowledged"
                )

    async def _send_until_conclusive(
        self,
        send: Callable[[CommandHandler, IsCallerWaiting, float], Coroutine[None, None, CommandResult]],
        check: Callable[[CommandResult], None],
    ) -> CommandResult:
        """Send a call to one machine after another until there is a conclusive answer."""
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
        has_disconnected = False
        is_disconnect_noticed = self.rng.random() < 0.5  # by the process
        arrived_at = machine.now

        async def handle() -> CommandResult:
            try:
                result = await send(
                    self.handlers[node],
                    lambda: not (has_disconnected and is_disconnect_noticed),
                    arrived_at + CALL_TIMEOUT_S,
                )
            except ProcessEndedError:
                return CommandResult(CommandStatus.UNKNOWN)
            check(result)
            return result

        handler = asyncio.get_running_loop().create_task(handle())
        self.calls.add(handler)
        deadline = machine.now + CALLER_TIMEOUT_S
        while not handler.done() and machine.now < deadline and machine.node is node:
            await asyncio.sleep(0)
        has_disconnected = True
        if not handler.done() or self.rng.random() < self.answer_loss_rate:
            return CommandResult(CommandStatus.UNKNOWN)
        return handler.result()

    def _check_change(self, change: Change) -> Callable[[CommandResult], None]:
        """Return the check of a machine's answer, which is binding whether it arrives or not."""

        def check(result: CommandResult) -> None:
            if result.status is CommandStatus.DONE:
                self._acknowledge(change)
            elif result.status in (CommandStatus.STALE, CommandStatus.INVALID):
                if change.acknowledged:
                    raise InvariantError(
                        f"change {change.digest.hex()[:6]} is rejected after its acknowledgement"
                    )
                rivals = [
                    other
                    for other in self.acknowledgements.changes
                    if other is not change and other.base >= change.base
                ]
                if change.had_no_rival and change.is_valid and not any(rival.is_valid for rival in rivals):
                    raise InvariantError("a valid change based on the newest generation is rejected")
                change.rejected = True

        return check

    def _acknowledge(self, change: Change) -> None:
        if change.rejected:
            raise InvariantError("a change is acknowledged after it was rejected")
        if not change.is_valid:
            raise InvariantError("an invalid change is acknowledged")
        for other in self.acknowledgements.changes:
            if other is not change and other.acknowledged:
                if other.base == change.base:
                    raise InvariantError("two changes with the same base generation are acknowledged")
                if other.generation == change.generation:
                    raise InvariantError("two changes with the same generation are acknowledged")
        change.acknowledged = True

    # The run.

    async def run(self, steps: int) -> ControlState:
        """Run this many steps, end all faults and return the final state.

        Raises:
            InvariantError: A rule is broken.
        """
        for _ in range(steps):
            self.step()
            await self._progress()
        for call in self.calls:
            call.cancel()
        await asyncio.gather(*self.calls, return_exceptions=True)
        state = self.heal().durable.state
        if state.generation < self.acknowledgements.newest:
            raise InvariantError(
                f"expected generation {self.acknowledgements.newest} or newer, got {state.generation}"
            )
        for change in self.acknowledgements.changes:
            if change.rejected and state.has_applied(change.digest):
                raise InvariantError("a rejected change is in force")
        in_flight, active = self.acknowledgements.is_evacuation_in_flight, self.acknowledgements.zone_active
        if active is not None and not in_flight and (ZONE in state.evacuated) != active:
            raise InvariantError("the zone's evacuation differs from the newest acknowledged one")
        return state

    async def _progress(self) -> None:
        await asyncio.sleep(0)
        for call in [call for call in self.calls if call.done()]:
            self.calls.discard(call)
            if not call.cancelled() and call.exception():
                raise call.exception()


def run_seed(seed: int, machines: int, steps: int) -> CommandWorld:
    """Run one seed.

    Raises:
        InvariantError: A rule is broken.
    """

    async def run() -> CommandWorld:
        world = CommandWorld(seed, machines)
        await world.run(steps)
        return world

    return asyncio.run(run())

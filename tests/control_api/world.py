"""Operators before a deployment of control stores in which anything may happen between two steps
(`tests/replication/world.py`): calls wait, their answers get lost, they are sent again to any machine.

What operators are told is held against what they may be told (PROTOCOL: the operator's API; RULES: CONFIG).
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field

from fordtrestle.control_api.orders import Orders, Outcome, Verdict, digest_of
from fordtrestle.replication.node import Node
from fordtrestle.replication.state import ControlState
from tests.replication.world import Breach, Machine, World

PATIENCE_S = 1.0  # of silence, then a caller goes elsewhere
TRIES_MOST = 12
CALLS_MOST = 8  # under way at a time
ZONE = "z-1"


class Died(Exception):
    """The process that a call was at has ended."""


class VirtualReplicator:
    """What `Orders` needs of a `Replicator`, in the world's time."""

    def __init__(self, world: World, machine: Machine) -> None:
        self.world = world
        self.machine = machine
        self.node: Node = machine.node

    def now(self) -> float:
        return self.machine.now

    def pump(self) -> None:
        self._live()
        self.world.pump(self.machine)

    def _live(self) -> None:
        if self.machine.node is not self.node:
            raise Died

    async def wait_until(self, reached: Callable[[], bool], seconds: float) -> bool:
        end = self.machine.now + seconds
        self._live()
        while not reached():
            if self.machine.now >= end:
                return False
            await asyncio.sleep(0)
            self._live()
        return True


@dataclass(eq=False)
class Change:
    """A configuration that an operator wants, sent until there is a clear answer."""

    kind: str
    base: int
    generation: int
    body: bytes
    is_valid: bool
    acknowledged: bool = False
    refused: bool = False
    alone: bool = False  # as it was sent first, its base was the newest and no other change was under way

    @property
    def digest(self) -> bytes:
        return digest_of(self.kind, self.base, self.body)


@dataclass
class Told:
    """What operators have been told so far."""

    changes: list[Change] = field(default_factory=list)
    newest: int = 0  # generation that was acknowledged
    zone_active: bool | None = None  # what was acknowledged of the zone last; nothing while that is not clear
    zone_busy: bool = False


class OrderWorld(World):
    """The stores, an `Orders` on each, and the calls under way. Has to run in an event loop."""

    def __init__(self, seed: int, machines: int = 1) -> None:
        self.told = Told()
        self.calls: set[asyncio.Task[None]] = set()
        self.orders: dict[Node, Orders] = {}
        super().__init__(seed, machines)
        self.lost_answers = self.rng.choice((0.0, 0.2, 0.6))

    def start(self, machine: Machine) -> None:
        super().start(machine)
        self.orders[machine.node] = Orders(VirtualReplicator(self, machine))

    # what operators do, in the place of the plain writes and reads of the world

    def propose(self, machine: Machine) -> None:
        kind = self.rng.random()
        if len(self.calls) >= CALLS_MOST:
            return
        if kind < 0.6:
            self._begin(self._change(self._drawn_change()))
        elif kind < 0.8 and not self.told.zone_busy:
            self._begin(self._evacuate())
        elif self.told.changes:
            acknowledged = [change for change in self.told.changes if change.acknowledged]
            if acknowledged:
                self._begin(self._change(self.rng.choice(acknowledged)))

    def ask(self, machine: Machine) -> None:
        if len(self.calls) < CALLS_MOST:
            self._begin(self._read())

    def _begin(self, call: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(call)
        self.calls.add(task)

    def _drawn_change(self) -> Change:
        rng, told = self.rng, self.told
        base = told.newest if rng.random() < 0.8 else rng.randint(0, told.newest)
        generation = base + rng.randint(1, 2)
        marker = f"m{rng.randint(0, 2)}" if rng.random() < 0.2 else f"n{len(told.changes)}"
        services = [{"name": marker}]
        if rng.random() < 0.3 and base > 0:
            body, kind = {"generation": generation, "upsert": {"services": services}}, "patch"
        else:
            body, kind = {"generation": generation, "services": services, "routes": []}, "put"
        is_valid = rng.random() > 0.1
        if not is_valid:
            body["generation"] = base
        drawn = Change(kind, base, generation, json.dumps(body).encode(), is_valid)
        change = next((known for known in told.changes if known.digest == drawn.digest), drawn)
        if change is drawn:
            rivals = [other for other in told.changes if other.base >= base and other.is_valid]
            change.alone = base == told.newest and not rivals
            told.changes.append(change)
        return change

    async def _change(self, change: Change) -> None:
        def send(orders: Orders, is_waiting: Callable[[], bool]) -> Coroutine[None, None, Outcome]:
            return orders.change_config(change.kind, change.base, change.body, is_waiting)

        verdict = (await self._ask_around(send, self._check_change(change))).verdict
        if verdict is Verdict.DONE:
            self.told.newest = max(self.told.newest, change.generation)

    async def _evacuate(self) -> None:
        self.told.zone_busy = True
        active = not self.told.zone_active if self.told.zone_active is not None else False

        def send(orders: Orders, is_waiting: Callable[[], bool]) -> Coroutine[None, None, Outcome]:
            return orders.evacuate(ZONE, active, is_waiting)

        outcome = await self._ask_around(send, lambda outcome: None)
        self.told.zone_active = active if outcome.verdict is Verdict.DONE else None
        self.told.zone_busy = False

    async def _read(self) -> None:
        newest = self.told.newest
        outcome = await self._ask_around(lambda orders, _: orders.current(), lambda outcome: None)
        if outcome.verdict is Verdict.DONE:
            held = json.loads(outcome.document)["generation"] if outcome.document else 0
            if held < newest:
                raise Breach(f"a read gave {held} after {newest} was acknowledged")

    async def _ask_around(
        self,
        send: Callable[[Orders, Callable[[], bool]], Coroutine[None, None, Outcome]],
        check: Callable[[Outcome], None],
    ) -> Outcome:
        """Send a call to one machine after the other until it has a clear answer."""
        for _ in range(TRIES_MOST):
            outcome = await self._try(self.rng.choice(self.machines), send, check)
            if outcome.verdict not in (Verdict.UNCLEAR, Verdict.ELSEWHERE):
                return outcome
            for _ in range(self.rng.randint(0, 60)):
                await asyncio.sleep(0)
        return Outcome(Verdict.UNCLEAR)

    async def _try(self, machine: Machine, send, check) -> Outcome:
        node = machine.node
        if node is None:
            return Outcome(Verdict.UNCLEAR)
        left = False  # whether the caller has left, and whether that is seen
        is_seen = self.rng.random() < 0.5

        async def handle() -> Outcome:
            try:
                outcome = await send(self.orders[node], lambda: not (left and is_seen))
            except Died:
                return Outcome(Verdict.UNCLEAR)
            check(outcome)
            return outcome

        handler = asyncio.get_running_loop().create_task(handle())
        self.calls.add(handler)
        end = machine.now + PATIENCE_S
        while not handler.done() and machine.now < end and machine.node is node:
            await asyncio.sleep(0)
        left = True
        if not handler.done() or self.rng.random() < self.lost_answers:
            return Outcome(Verdict.UNCLEAR)
        return handler.result()

    def _check_change(self, change: Change) -> Callable[[Outcome], None]:
        """What a machine answers binds, whether the answer arrives or not."""

        def check(outcome: Outcome) -> None:
            if outcome.verdict is Verdict.DONE:
                self._acknowledge(change)
            elif outcome.verdict in (Verdict.STALE, Verdict.INVALID):
                if change.acknowledged:
                    raise Breach(f"{change.digest.hex()[:6]} was acknowledged and is refused")
                rivals = [c for c in self.told.changes if c is not change and c.base >= change.base]
                if change.alone and change.is_valid and not any(rival.is_valid for rival in rivals):
                    raise Breach("a proper change on the newest version is refused")
                change.refused = True

        return check

    def _acknowledge(self, change: Change) -> None:
        if change.refused:
            raise Breach("a change is acknowledged that was refused")
        if not change.is_valid:
            raise Breach("an invalid change is acknowledged")
        for other in self.told.changes:
            if other is not change and other.acknowledged:
                if other.base == change.base:
                    raise Breach("two changes on one version are acknowledged")
                if other.generation == change.generation:
                    raise Breach("two changes are acknowledged under one number")
        change.acknowledged = True

    # the play

    async def play(self, steps: int) -> ControlState:
        """Play steps and let all heal; the state in the end."""
        for _ in range(steps):
            self.step()
            await self._progress()
        for call in self.calls:
            call.cancel()
        await asyncio.gather(*self.calls, return_exceptions=True)
        state = self.heal().durable.state
        if state.generation < self.told.newest:
            raise Breach(f"{state.generation} is left of {self.told.newest}")
        for change in self.told.changes:
            if change.refused and state.has_applied(change.digest):
                raise Breach("a change is in force that was refused")
        busy, active = self.told.zone_busy, self.told.zone_active
        if active is not None and not busy and (ZONE in state.evacuated) != active:
            raise Breach("an order of the zone acts that was overtaken")
        return state

    async def _progress(self) -> None:
        await asyncio.sleep(0)
        for call in [call for call in self.calls if call.done()]:
            self.calls.discard(call)
            if not call.cancelled() and call.exception():
                raise call.exception()


def play(seed: int, machines: int, steps: int) -> OrderWorld:
    """Play one seed. Raises `Breach`."""

    async def run() -> OrderWorld:
        world = OrderWorld(seed, machines)
        await world.play(steps)
        return world

    return asyncio.run(run())

"""All interleavings of a few steps of three stores.

They begin where a write is proposed, or where a new store is about to take the slot of one whose disk was
lost. A step syncs one store's oldest records, delivers the oldest message of one link, cuts a store's power
(what was not synced is lost), starts it again, wipes its disk, or lets a store suspect its primary. States
that were reached before are not explored again.
"""

from __future__ import annotations

import copy
from collections.abc import Callable, Iterator

import pytest

from fordtrestle.replication.node import Node
from tests.replication.guards import FOUND_BY_SCHEDULE, FOUND_BY_SEARCH
from tests.replication.serving_core import ServingCore
from tests.replication.world import InvariantError, World

DEPTH = 6
CHANGE_DEPTH = 5  # seven by hand
FOUND_DEPTH = 4
MAX_CRASHES = 2

Step = tuple[str, int]


def start() -> ServingCore:
    """A primary with a write that nobody has synced."""
    core = ServingCore()
    core.propose(core.a)
    return core


def start_of_a_change() -> ServingCore:
    """A primary with an acknowledged write that has just begun to admit a store in the place of C's."""
    core = ServingCore()
    assert core.acknowledge(core.a, core.b)
    core.wipe(core.c)
    core.start(core.c)
    core.announce(core.c)
    core.tick(core.a, 0.05)
    assert core.a.node.candidate.epoch_change
    return core


def steps(world: World) -> Iterator[Step]:
    """What may happen next."""
    links = {(envelope.sender, envelope.receiver) for envelope in world.pending}
    for index in range(len(links)):
        yield "deliver", index
    for index, machine in enumerate(world.machines):
        if machine.node is None:
            yield "start", index
            continue
        if machine.queue:
            yield "sync", index
        if world.crashes < MAX_CRASHES:
            yield "stop", index
            if world.may_wipe(machine):
                yield "wipe", index
        if not machine.node.is_primary:
            yield "suspect", index


def apply_step(world: World, step: Step) -> None:
    """Let a step happen."""
    kind, index = step
    machine = world.machines[index] if kind != "deliver" else None
    if kind == "deliver":
        link = sorted({(envelope.sender, envelope.receiver) for envelope in world.pending})[index]
        oldest = next(e for e in world.pending if (e.sender, e.receiver) == link)
        world.pending.remove(oldest)
        world.deliver(oldest)
    elif kind == "sync":
        world.sync(machine)
    elif kind == "start":
        world.start(machine)
    elif kind == "suspect":
        world.tick(machine, 2.0)
    elif kind == "stop":
        world.crashes += 1
        machine.queue.clear()
        world.stop(machine)
    else:
        world.crashes += 1
        world.wipe(machine)
    world.check()


def state_of_candidate(node: Node) -> tuple[object, ...]:
    """What distinguishes a candidate from another one, with the time at which it sends once more."""
    candidate = node.candidate
    return candidate.epoch_change, candidate.reason, node.context.pre_votes, candidate._resend_at


def state_of(world: World) -> str:
    """What distinguishes a state from another one, but for clocks."""
    parts = [str(world.pending), str([write.acknowledged for write in world.writes])]
    for machine in world.machines:
        node = machine.node
        inner = node and (node.durable, node.is_primary, node.is_ready, state_of_candidate(node))
        parts.append(f"{machine.disk}{machine.queue}{inner}{machine.wiped}")
    return "|".join(parts)


def explore(depth: int, begin: Callable[[], ServingCore] = start) -> int:
    """Go through all interleavings of so many steps; how many states were reached.

    Raises:
        InvariantError: What has to hold did not.
    """
    first = begin()
    first.crashes = 0
    level, reached = [first], {state_of(first)}
    for _ in range(depth):
        following = []
        for world in level:
            for step in list(steps(world)):
                after = copy.deepcopy(world)
                apply_step(after, step)
                state = state_of(after)
                if state not in reached:
                    reached.add(state)
                    following.append(after)
        level = following
    for world in level[:: max(1, len(level) // 50)]:
        acknowledged = [write for write in world.writes if write.acknowledged]
        world.expect(world.heal(), acknowledged, "the primary after all healed lacks")
    return len(reached)


def test_interleavings_after_a_write_lose_nothing_acknowledged():
    assert explore(DEPTH) > 1000


def test_interleavings_of_a_change_of_witnesses_lose_nothing_acknowledged():
    assert explore(CHANGE_DEPTH, start_of_a_change) > 300


def test_exploration_without_two_guards_finds_a_loss(monkeypatch):
    FOUND_BY_SEARCH["all replicas hold a write before it is acknowledged"](monkeypatch)
    FOUND_BY_SCHEDULE["nothing is sent before it is synced"](monkeypatch)
    with pytest.raises(InvariantError):
        explore(FOUND_DEPTH)

"""All interleavings of a few steps of three stores, from the moment in which a write is proposed, or in which
a new store is about to take the place of one whose disk was lost.

A step syncs one store's oldest records, delivers the oldest message of one link, cuts a store's power (what
was not synced is gone), starts it again, wipes its disk, or lets a store miss its primary. States that were
met before are not gone on from.
"""

from __future__ import annotations

import copy
from collections.abc import Callable, Iterator

import pytest

from fordtrestle.replication.node import Node
from tests.replication.guards import FOUND_BY_SCHEDULE, FOUND_BY_SEARCH
from tests.replication.test_hard_cases import Script
from tests.replication.world import Breach, World

DEPTH = 6
CHANGE_DEPTH = 5  # seven by hand
FOUND_DEPTH = 4
CRASHES_MOST = 2

Step = tuple[str, int]


def start() -> Script:
    """A primary with a write that nobody has synced."""
    script = Script()
    script.propose(script.a)
    return script


def start_of_a_change() -> Script:
    """A primary with an acknowledged write that has just begun to admit a store in the place of C's."""
    script = Script()
    assert script.acknowledge(script.a, script.b)
    script.wipe(script.c)
    script.start(script.c)
    script.announce(script.c)
    script.tick(script.a, 0.05)
    assert script.a.node.candidate.epoch_change
    return script


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
        if world.crashes < CRASHES_MOST:
            yield "stop", index
            if world.may_wipe(machine):
                yield "wipe", index
        if not machine.node.is_primary:
            yield "miss", index


def take(world: World, step: Step) -> None:
    """Let it happen."""
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
    elif kind == "miss":
        world.tick(machine, 2.0)
    elif kind == "stop":
        world.crashes += 1
        machine.queue.clear()
        world.stop(machine)
    else:
        world.crashes += 1
        world.wipe(machine)
    world.check()


def mark_of_candidate(node: Node) -> tuple[object, ...]:
    """What tells a candidate from another one, with the times at which it sends once more."""
    candidate = node.candidate
    return candidate.epoch_change, candidate.reason, node.context.pre_votes, candidate._resend_at


def mark(world: World) -> str:
    """What tells a state from another one, but for clocks."""
    parts = [str(world.pending), str([write.acknowledged for write in world.writes])]
    for machine in world.machines:
        node = machine.node
        inner = node and (node.durable, node.is_primary, node.is_ready, mark_of_candidate(node))
        parts.append(f"{machine.disk}{machine.queue}{inner}{machine.wiped}")
    return "|".join(parts)


def explore(depth: int, begin: Callable[[], Script] = start) -> int:
    """Go through all interleavings of so many steps; how many states were met. Raises `Breach`."""
    first = begin()
    first.crashes = 0
    level, met = [first], {mark(first)}
    for _ in range(depth):
        following = []
        for world in level:
            for step in list(steps(world)):
                after = copy.deepcopy(world)
                take(after, step)
                told = mark(after)
                if told not in met:
                    met.add(told)
                    following.append(after)
        level = following
    for world in level[:: max(1, len(level) // 50)]:
        acknowledged = [write for write in world.writes if write.acknowledged]
        world.expect(world.heal(), acknowledged, "the primary after all healed lacks")
    return len(met)


def test_no_interleaving_of_a_few_steps_loses_what_was_acknowledged():
    assert explore(DEPTH) > 1000


def test_no_interleaving_of_a_change_of_members_loses_what_was_acknowledged():
    assert explore(CHANGE_DEPTH, start_of_a_change) > 300


def test_the_exploration_can_fail(monkeypatch):
    FOUND_BY_SEARCH["all replicas hold a write before it is acknowledged"](monkeypatch)
    FOUND_BY_SCHEDULE["nothing is told before it is synced"](monkeypatch)
    with pytest.raises(Breach):
        explore(FOUND_DEPTH)

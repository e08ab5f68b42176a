"""What is unsafe, and for how long, when state that is on no disk is forgotten (`docs/design/control.md`).

That is what servers have said of themselves: that they drain, have departed, or are heard no more. Two
control processes and two sidecars; servers whose heartbeats reach either control process. Processes forget
all that they know at any moment, one of them or all, are partitioned, and bring old items back. Time is in s.
"""

from __future__ import annotations

import json
import random
from dataclasses import dataclass, field

import pytest

from fordtrestle.control_api.heartbeats import MAX_MISSED_HEARTBEATS, HeartbeatMonitor, read_heartbeat
from fordtrestle.dissemination.catalog import Catalog
from fordtrestle.dissemination.messages import Update
from fordtrestle.routing.view import View

HEARTBEAT_S = 1.0
CONTROLS, SIDECARS = ("c-1", "c-2"), ("s-1", "s-2")
SERVERS = ("i-1", "i-2", "i-3")
SEEDS, STEPS = 150, 250
HEALED_S = (MAX_MISSED_HEARTBEATS + 2) * HEARTBEAT_S


@dataclass
class Server:
    """An incarnation of a server as it really is, whatever processes know of it."""

    instance: str
    state: str = "ready"  # or draining, or gone
    sequence: int = 0
    beats_at: float = 0.0

    def body(self) -> bytes:
        told = {"backend": "pool", "address": "10.0.0.9:80", "zone": "z", "state": self.state}
        return json.dumps({**told, "sequence": self.sequence}).encode()


@dataclass
class Process:
    """What one process knows, from one start to the next."""

    node: str
    now: float
    catalog: Catalog = field(default_factory=Catalog)
    left: set[str] = field(default_factory=set)  # servers that it has heard to be draining or gone

    def __post_init__(self) -> None:
        self.heartbeats = HeartbeatMonitor(self.node, HEARTBEAT_S)
        self.view = View({"z": "r"}, HEARTBEAT_S, self.now)

    def take(self, items, now):
        fresh = self.catalog.merge(items, now)
        self.view.apply(fresh, now)

    def usable(self, now):
        return {server.instance for server in self.view.servers.usable("pool", (), (), now)}


class World:
    """All processes and servers, and what may happen to them."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.servers = [Server(instance) for instance in SERVERS]
        self.processes = {node: Process(node, 0.0) for node in (*CONTROLS, *SIDECARS)}
        self.cut: set[str] = set()

    def beat(self) -> None:
        """Let each server whose heartbeat is due send it to a control process that it reaches."""
        reached = [node for node in CONTROLS if node not in self.cut]
        for server in self.servers:
            if server.state == "gone" or self.now < server.beats_at or not reached:
                continue
            server.sequence += 1
            server.beats_at = self.now + HEARTBEAT_S
            control = self.processes[self.rng.choice(reached)]
            beat = read_heartbeat(server.instance, server.body(), control.node).unwrap()
            item = control.heartbeats.on_heartbeat(beat, control.catalog, self.now)
            control.take([item] if item else [], self.now)

    def drain(self) -> None:
        server = self.rng.choice(self.servers)
        if server.state == "ready":
            server.state, server.beats_at = "draining", self.now

    def deregister(self) -> None:
        """Deregister a server, acknowledged once all control processes that can be reached hold that."""
        server = self.rng.choice(self.servers)
        reached = [self.processes[node] for node in CONTROLS if node not in self.cut]
        if server.state != "gone" and len(reached) == len(CONTROLS):
            server.state = "gone"
            item = reached[0].heartbeats.deregister(server.instance, reached[0].catalog)
            for control in reached:
                control.take([item], self.now)

    def restart(self) -> None:
        """Start another incarnation in the place of one that has departed."""
        for place, server in enumerate(self.servers):
            if server.state == "gone" and self.rng.random() < 0.3:
                self.servers[place] = Server(f"{server.instance}+", beats_at=self.now)

    def exchange(self) -> None:
        one, other = self.rng.sample(sorted(set(self.processes) - self.cut), 2)
        self.compare(self.processes[one], self.processes[other])

    def compare(self, one: Process, other: Process) -> None:
        """Compare by digests, and take what is newer."""
        waiting = [(other, one, one.catalog.digests())]
        while waiting:
            receiver, sender, message = waiting.pop()
            if isinstance(message, Update):
                receiver.take(message.items, self.now)
            waiting += [(sender, receiver, answer) for answer in receiver.catalog.answer(message)]

    def forget(self) -> None:
        node = self.rng.choice(sorted(self.processes))
        self.processes[node] = Process(node, self.now)

    def forget_all(self) -> None:
        """All processes that are not partitioned lose power."""
        for node in set(self.processes) - self.cut:
            self.processes[node] = Process(node, self.now)

    def split(self) -> None:
        self.cut = set() if self.cut else {self.rng.choice(sorted(self.processes))}

    def tick(self, seconds: float = 0.25) -> None:
        self.now += seconds
        self.beat()
        for node in CONTROLS:
            control = self.processes[node]
            heir = [other for other in CONTROLS if other not in self.cut] == [node]
            silent = control.heartbeats.find_unresponsive(
                control.catalog, self.now, lambda _, heir=heir: heir
            )
            control.take(silent, self.now)
        for process in self.processes.values():
            process.catalog.expire(self.now)
            process.view.expire(self.now)

    def step(self) -> None:
        kinds = (self.tick, self.exchange, self.drain, self.deregister, self.restart)
        kinds += (self.forget, self.forget_all, self.split)
        self.rng.choices(kinds, (12, 14, 1, 1, 2, 1, 0.3, 1.5))[0]()
        self.check()

    def check(self) -> None:
        """Until it restarts, no sidecar uses a server again that it has heard to leave."""
        for node in SIDECARS:
            process = self.processes[node]
            used = process.usable(self.now)
            assert not used & process.left, (node, used & process.left)
            known = {record.instance for record, _ in process.catalog.servers() if record.phase}
            process.left |= known - used

    def heal(self) -> None:
        """End the partition, and let time pass."""
        self.cut = set()
        until = self.now + HEALED_S
        while self.now < until:
            self.tick()
            for one in self.processes.values():
                for other in self.processes.values():
                    if one is not other:
                        self.compare(one, other)
            self.check()

    @property
    def serving(self) -> set[str]:
        return {server.instance for server in self.servers if server.state == "ready"}


def played(seed: int) -> World:
    world = World(seed)
    for _ in range(STEPS):
        world.step()
    return world


@pytest.mark.parametrize("part", range(5))
def test_whatever_is_forgotten_no_process_goes_back_and_all_converge(part):
    for seed in range(part, SEEDS, 5):
        world = played(seed)
        world.heal()
        for node in SIDECARS:
            assert world.processes[node].usable(world.now) == world.serving, (seed, node)


def known(world: World, server: Server, node: str) -> bool:
    return server.instance in world.processes[node].usable(world.now)


def served() -> World:
    world = World(0)
    for _ in range(4):
        world.tick()
        for node in (*CONTROLS, *SIDECARS):
            for other in (*CONTROLS, *SIDECARS):
                if node != other:
                    world.compare(world.processes[node], world.processes[other])
    assert world.processes["s-1"].usable(world.now) == set(SERVERS)
    return world


def test_a_sidecar_that_has_forgotten_all_uses_no_server_until_it_hears_of_one():
    world = served()
    world.drain()
    world.forget_all()
    assert world.processes["s-1"].usable(world.now) == set()


def test_a_forgotten_deregistration_is_undone_by_a_partitioned_process_until_the_bound():
    """It brings the older item back to all; that no heartbeats come ends that after the bound."""
    world = served()
    world.cut = {"s-2"}
    server = world.servers[0]
    server.state = "gone"
    for node in CONTROLS:
        control = world.processes[node]
        control.take([control.heartbeats.deregister(server.instance, control.catalog)], world.now)
    world.forget_all()
    world.cut = set()
    back = world.now
    for node in CONTROLS:
        world.compare(world.processes["s-2"], world.processes[node])
    world.compare(world.processes["c-1"], world.processes["s-1"])
    assert known(world, server, "s-1")  # requests find no connection there, or another incarnation (421)
    while known(world, server, "s-1"):
        world.tick()
        for node in (*CONTROLS, "s-2"):
            world.compare(world.processes[node], world.processes["s-1"])
    assert world.now - back <= MAX_MISSED_HEARTBEATS * HEARTBEAT_S + 0.5

"""Two control processes, two sidecars and their servers, of which all may forget what they know.

Servers send heartbeats to either control process. Processes forget all that they know at any moment, one of
them or all, are partitioned, and bring old items back. Time is in s.
"""

from __future__ import annotations

import json
import random
from dataclasses import dataclass, field
from enum import Enum

from fordtrestle.control_api.heartbeats import MAX_MISSED_HEARTBEATS, HeartbeatMonitor, read_heartbeat
from fordtrestle.dissemination.catalog import Catalog
from fordtrestle.dissemination.messages import Update
from fordtrestle.routing.view import View

HEARTBEAT_S = 1.0
CONTROLS, SIDECARS = ("c-1", "c-2"), ("s-1", "s-2")
SERVERS = ("i-1", "i-2", "i-3")
STEPS = 250
CONVERGENCE_S = (MAX_MISSED_HEARTBEATS + 2) * HEARTBEAT_S


class ServerState(Enum):
    """What a server is; all but the last are values of its heartbeats."""

    READY = "ready"
    DRAINING = "draining"
    DEPARTED = "departed"


@dataclass
class Server:
    """An incarnation of a server as it really is, whatever processes know of it."""

    instance: str
    state: ServerState = ServerState.READY
    sequence: int = 0
    heartbeat_at: float = 0.0

    def body(self) -> bytes:
        fields = {"backend": "pool", "address": "10.0.0.9:80", "zone": "z", "state": self.state.value}
        return json.dumps({**fields, "sequence": self.sequence}).encode()


@dataclass
class Process:
    """What one process knows, from one start to the next."""

    node: str
    now: float
    catalog: Catalog = field(default_factory=Catalog)
    left: set[str] = field(default_factory=set)  # servers that it has heard to drain or depart

    def __post_init__(self) -> None:
        self.heartbeats = HeartbeatMonitor(self.node, HEARTBEAT_S)
        self.view = View({"z": "r"}, HEARTBEAT_S, self.now)

    def take(self, items, now):
        self.view.apply(self.catalog.merge(items, now), now)

    def usable(self, now):
        return {server.instance for server in self.view.servers.usable("pool", (), (), now)}


class World:
    """All processes and servers, and what may happen to them."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.servers = [Server(instance) for instance in SERVERS]
        self.processes = {node: Process(node, 0.0) for node in (*CONTROLS, *SIDECARS)}
        self.partitioned: set[str] = set()

    def send_heartbeats(self) -> None:
        """Let each server whose heartbeat is due send it to a control process that it reaches."""
        reached = [node for node in CONTROLS if node not in self.partitioned]
        for server in self.servers:
            if server.state is ServerState.DEPARTED or self.now < server.heartbeat_at or not reached:
                continue
            server.sequence += 1
            server.heartbeat_at = self.now + HEARTBEAT_S
            control = self.processes[self.rng.choice(reached)]
            heartbeat = read_heartbeat(server.instance, server.body(), control.node).unwrap()
            item = control.heartbeats.on_heartbeat(heartbeat, control.catalog, self.now)
            control.take([item] if item else [], self.now)

    def drain(self) -> None:
        """Let a server begin to drain."""
        server = self.rng.choice(self.servers)
        if server.state is ServerState.READY:
            server.state, server.heartbeat_at = ServerState.DRAINING, self.now

    def deregister(self) -> None:
        """Deregister a server, acknowledged once all control processes that can be reached hold that."""
        server = self.rng.choice(self.servers)
        reached = [self.processes[node] for node in CONTROLS if node not in self.partitioned]
        if server.state is not ServerState.DEPARTED and len(reached) == len(CONTROLS):
            server.state = ServerState.DEPARTED
            item = reached[0].heartbeats.deregister(server.instance, reached[0].catalog)
            for control in reached:
                control.take([item], self.now)

    def restart(self) -> None:
        """Start another incarnation in the place of one that has departed."""
        for index, server in enumerate(self.servers):
            if server.state is ServerState.DEPARTED and self.rng.random() < 0.3:
                self.servers[index] = Server(f"{server.instance}+", heartbeat_at=self.now)

    def exchange(self) -> None:
        """Let two processes compare their catalogs."""
        one, other = self.rng.sample(sorted(set(self.processes) - self.partitioned), 2)
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
        """One process loses power, partitioned or not."""
        node = self.rng.choice(sorted(self.processes))
        self.processes[node] = Process(node, self.now)

    def forget_all(self) -> None:
        """All processes that are not partitioned lose power."""
        for node in set(self.processes) - self.partitioned:
            self.processes[node] = Process(node, self.now)

    def split(self) -> None:
        """Partition a process from all others, or end that."""
        self.partitioned = set() if self.partitioned else {self.rng.choice(sorted(self.processes))}

    def tick(self, seconds: float = 0.25) -> None:
        self.now += seconds
        self.send_heartbeats()
        for node in CONTROLS:
            control = self.processes[node]
            is_successor = [other for other in CONTROLS if other not in self.partitioned] == [node]
            unresponsive = control.heartbeats.find_unresponsive(
                control.catalog, self.now, lambda _, is_successor=is_successor: is_successor
            )
            control.take(unresponsive, self.now)
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
            departing = {record.instance for record, _ in process.catalog.servers() if record.phase}
            process.left |= departing - used

    def heal(self) -> None:
        """End the partition, and let time pass."""
        self.partitioned = set()
        until = self.now + CONVERGENCE_S
        while self.now < until:
            self.tick()
            for one in self.processes.values():
                for other in self.processes.values():
                    if one is not other:
                        self.compare(one, other)
            self.check()

    @property
    def serving(self) -> set[str]:
        return {server.instance for server in self.servers if server.state is ServerState.READY}


def play(seed: int) -> World:
    world = World(seed)
    for _ in range(STEPS):
        world.step()
    return world


def is_used(world: World, server: Server, node: str) -> bool:
    return server.instance in world.processes[node].usable(world.now)


def world_that_serves() -> World:
    world = World(0)
    for _ in range(4):
        world.tick()
        for node in (*CONTROLS, *SIDECARS):
            for other in (*CONTROLS, *SIDECARS):
                if node != other:
                    world.compare(world.processes[node], world.processes[other])
    assert world.processes["s-1"].usable(world.now) == set(SERVERS)
    return world

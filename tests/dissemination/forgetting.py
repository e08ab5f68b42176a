"""A simulation of two control processes, two sidecars and their servers, with lost state and partitions.

Servers send heartbeats to either control process. At any moment one process or all of them may lose all their
state. Processes are partitioned, and reintroduce old items afterwards. Times are in seconds.
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
    """The state of a server; all but the last are states that heartbeats report."""

    READY = "ready"
    DRAINING = "draining"
    DEPARTED = "departed"


@dataclass
class Server:
    """An incarnation of a server in its actual state, independent of what processes know about it."""

    instance: str
    state: ServerState = ServerState.READY
    sequence: int = 0
    heartbeat_at: float = 0.0

    def heartbeat_body(self) -> bytes:
        fields = {"backend": "pool", "address": "10.0.0.9:80", "zone": "z", "state": self.state.value}
        return json.dumps({**fields, "sequence": self.sequence}).encode()


@dataclass
class Process:
    """The state of one process from one start to the next."""

    node: str
    now: float
    catalog: Catalog = field(default_factory=Catalog)
    departing: set[str] = field(default_factory=set)  # servers that it knows to be draining or departed

    def __post_init__(self) -> None:
        self.heartbeats = HeartbeatMonitor(self.node, HEARTBEAT_S)
        self.view = View({"z": "r"}, HEARTBEAT_S, self.now)

    def merge(self, items, now):
        self.view.apply(self.catalog.merge(items, now), now)

    def usable(self, now):
        return {server.instance for server in self.view.servers.usable("pool", (), (), now)}


class Simulation:
    """All processes and servers, and the random events that change them."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.servers = [Server(instance) for instance in SERVERS]
        self.processes = {node: Process(node, 0.0) for node in (*CONTROLS, *SIDECARS)}
        self.partitioned: set[str] = set()

    def send_heartbeats(self) -> None:
        """Let each server whose heartbeat is due send it to a reachable control process."""
        reachable = [node for node in CONTROLS if node not in self.partitioned]
        for server in self.servers:
            if server.state is ServerState.DEPARTED or self.now < server.heartbeat_at or not reachable:
                continue
            server.sequence += 1
            server.heartbeat_at = self.now + HEARTBEAT_S
            control = self.processes[self.rng.choice(reachable)]
            heartbeat = read_heartbeat(server.instance, server.heartbeat_body(), control.node).unwrap()
            item = control.heartbeats.on_heartbeat(heartbeat, control.catalog, self.now)
            control.merge([item] if item else [], self.now)

    def drain(self) -> None:
        """Let a random server start to drain."""
        server = self.rng.choice(self.servers)
        if server.state is ServerState.READY:
            server.state, server.heartbeat_at = ServerState.DRAINING, self.now

    def deregister(self) -> None:
        """Deregister a random server if all control processes can be reached, in all of their catalogs."""
        server = self.rng.choice(self.servers)
        reachable = [self.processes[node] for node in CONTROLS if node not in self.partitioned]
        if server.state is not ServerState.DEPARTED and len(reachable) == len(CONTROLS):
            server.state = ServerState.DEPARTED
            item = reachable[0].heartbeats.deregister(server.instance, reachable[0].catalog)
            for control in reachable:
                control.merge([item], self.now)

    def restart_servers(self) -> None:
        """Start new incarnations in place of some of the departed servers."""
        for index, server in enumerate(self.servers):
            if server.state is ServerState.DEPARTED and self.rng.random() < 0.3:
                self.servers[index] = Server(f"{server.instance}+", heartbeat_at=self.now)

    def run_anti_entropy(self) -> None:
        """Run anti-entropy between two random processes."""
        one, other = self.rng.sample(sorted(set(self.processes) - self.partitioned), 2)
        self.reconcile(self.processes[one], self.processes[other])

    def reconcile(self, one: Process, other: Process) -> None:
        """Run anti-entropy between two processes, starting with the digests of `one`."""
        pending = [(other, one, one.catalog.digests())]
        while pending:
            receiver, sender, message = pending.pop()
            if isinstance(message, Update):
                receiver.merge(message.items, self.now)
            pending += [(sender, receiver, answer) for answer in receiver.catalog.answer(message)]

    def restart_process(self) -> None:
        """Let a random process lose its state, whether it is partitioned or not."""
        node = self.rng.choice(sorted(self.processes))
        self.processes[node] = Process(node, self.now)

    def restart_all_processes(self) -> None:
        """Let all processes that are not partitioned lose their state."""
        for node in set(self.processes) - self.partitioned:
            self.processes[node] = Process(node, self.now)

    def toggle_partition(self) -> None:
        """Partition a random process from all others, or end the partition."""
        self.partitioned = set() if self.partitioned else {self.rng.choice(sorted(self.processes))}

    def tick(self, step_s: float = 0.25) -> None:
        self.now += step_s
        self.send_heartbeats()
        for node in CONTROLS:
            control = self.processes[node]
            is_successor = [other for other in CONTROLS if other not in self.partitioned] == [node]
            unresponsive = control.heartbeats.find_unresponsive(
                control.catalog, self.now, lambda _, is_successor=is_successor: is_successor
            )
            control.merge(unresponsive, self.now)
        for process in self.processes.values():
            process.catalog.expire(self.now)
            process.view.expire(self.now)

    def step(self) -> None:
        actions = (self.tick, self.run_anti_entropy, self.drain, self.deregister, self.restart_servers)
        actions += (self.restart_process, self.restart_all_processes, self.toggle_partition)
        self.rng.choices(actions, (12, 14, 1, 1, 2, 1, 0.3, 1.5))[0]()
        self.check_departing_servers()

    def check_departing_servers(self) -> None:
        """Check that no sidecar uses a draining or departed server again until the sidecar restarts."""
        for node in SIDECARS:
            process = self.processes[node]
            used = process.usable(self.now)
            assert not used & process.departing, (node, used & process.departing)
            departing = {record.instance for record, _ in process.catalog.servers() if record.phase}
            process.departing |= departing - used

    def heal(self) -> None:
        """End the partition, and run until all processes should have converged."""
        self.partitioned = set()
        until = self.now + CONVERGENCE_S
        while self.now < until:
            self.tick()
            for one in self.processes.values():
                for other in self.processes.values():
                    if one is not other:
                        self.reconcile(one, other)
            self.check_departing_servers()

    @property
    def serving(self) -> set[str]:
        return {server.instance for server in self.servers if server.state is ServerState.READY}


def run_simulation(seed: int) -> Simulation:
    simulation = Simulation(seed)
    for _ in range(STEPS):
        simulation.step()
    return simulation


def is_used(simulation: Simulation, server: Server, node: str) -> bool:
    return server.instance in simulation.processes[node].usable(simulation.now)


def serving_simulation() -> Simulation:
    simulation = Simulation(0)
    for _ in range(4):
        simulation.tick()
        for node in (*CONTROLS, *SIDECARS):
            for other in (*CONTROLS, *SIDECARS):
                if node != other:
                    simulation.reconcile(simulation.processes[node], simulation.processes[other])
    assert simulation.processes["s-1"].usable(simulation.now) == set(SERVERS)
    return simulation

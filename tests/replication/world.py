"""A deployment of control stores with random faults between steps.

Messages are delayed, reordered, lost and duplicated, syncs are delayed, machines lose power at any point and
disks are wiped. Each machine's clock runs at its own speed. `World.step` takes one random action;
`World.check` asserts the invariants that must hold after every step.
"""

from __future__ import annotations

import random

from fordtrestle.replication.node import Node
from tests.replication.deployment import Deployment, Machine, Write

MAX_PENDING = 400
MAX_SPARE_MACHINES = 2  # beyond a complete core
TICK_S = 0.05
EXCHANGES_PER_TICK = 6  # rounds of syncs and deliveries per tick without faults
FAULTS = (
    *(
        "drop",
        "duplicate",
        "advance_clock",
        "crash",
        "crash_all",
        "wipe",
        "partition_pair",
        "partition_halves",
        "reorder",
        "rewrite",
    ),
    *("shut_down", "add", "replace", "disconnect"),
)


class InvariantError(AssertionError):
    """An invariant was violated."""


class World(Deployment):
    """2 * tolerated_failures + 1 machines, driven by random actions and faults."""

    def __init__(self, seed: int, tolerated_failures: int = 1) -> None:
        rng = random.Random(seed)
        self.fault_rate = rng.choice((0.003, 0.01, 0.03, 0.1))
        self.weights = {kind: rng.choice((0.0, 0.2, 1.0, 3.0)) for kind in FAULTS} | {"restart": 3.0}
        self.newest_first = False
        super().__init__(rng, tolerated_failures)

    def step(self) -> None:
        """Take one random action: usually regular progress, sometimes a fault."""
        rng = self.rng
        self.end_leaving_machines()
        if rng.random() < self.fault_rate:
            self.inject_fault()
            self.check()
            return
        up = [machine for machine in self.machines if machine.node]
        waiting = [machine for machine in up if machine.queue]
        kind = rng.random()
        if kind < 0.50 and self.pending:
            near = rng.randrange(min(len(self.pending), 4))
            self.deliver(self.pending.pop(-1 - near if self.newest_first else near))
        elif kind < 0.85 and waiting:
            self.sync(rng.choice(waiting))
        elif kind < 0.92 and up:
            self.tick(rng.choice(up), 0.06)
        elif kind < 0.95 and up:
            self.announce(rng.choice(up))
        elif kind < 0.98 and up:
            self.propose(rng.choice(up))
        elif up:
            self.begin_read(rng.choice(up))
        del self.pending[:-MAX_PENDING]
        self.check()

    def inject_fault(self) -> None:
        """Inject a random fault; the relative frequency of each kind depends on the seed."""
        kinds = list(self.weights)
        kind = self.rng.choices(kinds, [self.weights[kind] for kind in kinds])[0]
        getattr(self, f"_{kind}")()

    def _restart(self) -> None:
        down = [machine for machine in self.machines if not machine.node]
        if down:
            self.start(self.rng.choice(down))

    def _drop(self) -> None:
        if self.pending:
            del self.pending[self.rng.randrange(len(self.pending))]

    def _duplicate(self) -> None:
        if self.pending:
            self.pending.append(self.rng.choice(self.pending))

    def _advance_clock(self) -> None:
        up = [machine for machine in self.machines if machine.node]
        if up:
            self.tick(self.rng.choice(up), self.rng.choice((0.3, 0.9, 1.6)))

    def _crash(self) -> None:
        up = [machine for machine in self.machines if machine.node]
        if up:
            machine = self.rng.choice(up)
            self.stop(machine)
            if self.rng.random() < 0.5:
                self.start(machine)

    def _crash_all(self) -> None:
        for machine in self.machines:
            if machine.node:
                self.stop(machine)

    def _wipe(self) -> None:
        machine = self.rng.choice(self.machines)
        if self.can_wipe(machine):
            self.wipe(machine)

    def _partition_pair(self) -> None:
        ids = [machine.node.me.id for machine in self.machines if machine.node]
        if self.partitioned:
            self.partitioned.clear()
        elif len(ids) > 1:
            one, other = self.rng.sample(ids, 2)
            self.partitioned = {(one, other)} if self.rng.random() < 0.5 else {(one, other), (other, one)}

    def _partition_halves(self) -> None:
        """Partition some stores from all others, in one or both directions."""
        ids = [machine.node.me.id for machine in self.machines if machine.node]
        if self.partitioned:
            self.partitioned.clear()
        elif len(ids) > 1:
            some = set(self.rng.sample(ids, self.rng.randint(1, len(ids) - 1)))
            ways = self.rng.choice(((1, 0), (0, 1), (1, 1)))
            for one in some:
                for other in set(ids) - some:
                    self.partitioned |= {(one, other)} if ways[0] else set()
                    self.partitioned |= {(other, one)} if ways[1] else set()

    def _rewrite(self) -> None:
        """Rewrite a long or failed log as a snapshot, which may include records that wait for a sync."""
        up = [machine for machine in self.machines if machine.node]
        if up:
            machine = self.rng.choice(up)
            machine.disk = list(machine.node.durable.snapshot())

    def _shut_down(self) -> None:
        up = [machine for machine in self.machines if machine.node and machine.leaving_since is None]
        if up:
            machine = self.rng.choice(up)
            machine.node.leave(machine.now)
            machine.leaving_since = machine.now
            self.pump(machine)

    def _add(self) -> None:
        """Add a spare machine; the slot of a machine that is down may be reassigned to it."""
        counted = [machine for machine in self.machines if machine.counts_for_quorum]
        if len(counted) < 2 * self.tolerated_failures + 1 + MAX_SPARE_MACHINES:
            self.addresses += 1
            now = max(machine.now for machine in self.machines)
            machine = Machine(f"10.0.1.{self.addresses}:1", now=now, is_wiped=True)
            self.machines.append(machine)
            self.start(machine)

    def _replace(self) -> None:
        """Replace a machine: either planned, before it shuts down, or after its loss."""
        up = [machine for machine in self.machines if machine.node and machine.leaving_since is None]
        if not up:
            return
        machine = self.rng.choice(up)
        if self.rng.random() < 0.6:
            self._add()
            machine.node.leave(machine.now)
            machine.leaving_since, machine.is_decommissioned = machine.now, True
            self.pump(machine)
        elif len(self.machines) > 1 and self.can_wipe(machine):
            self.machines.remove(machine)
            machine.node = None
            self._add()

    def _disconnect(self) -> None:
        """Report a lost connection to a store, whether or not the other store has ended."""
        up = [machine for machine in self.machines if machine.node]
        if len(up) > 1:
            one, other = self.rng.sample(up, 2)
            one.node.on_connection_lost(other.node.me.id, one.now)
            self.pump(one)

    def _reorder(self) -> None:
        """Toggle delivery of the newest messages first, which delays older ones."""
        self.newest_first = not self.newest_first

    # Invariants

    def check(self) -> None:
        for write in self.writes:
            if write.acknowledged:
                continue
            state = write.node.committed_state
            alive = any(machine.node is write.node for machine in self.machines)
            if alive and state and state.sequence >= write.sequence and write.zone in state.evacuated:
                write.acknowledged = True
        acknowledged = [write for write in self.writes if write.acknowledged]
        for node, number, before in self.reads:
            if any(machine.node is node for machine in self.machines) and node.is_confirmed(number):
                self.expect_writes(node, before, "a confirmed read lacks")
        for machine in self.machines:
            node = machine.node
            if node and node.is_primary and node.is_ready and self._is_newest(node):
                self.expect_writes(node, acknowledged, "the newest primary lacks")

    def _is_newest(self, node: Node) -> bool:
        newest = self.newest_epoch()
        return bool(newest and node.epoch and node.epoch.term == newest.term)

    def expect_writes(self, node: Node, writes: list[Write], failure: str) -> None:
        held = node.durable.state.evacuated
        for write in writes:
            if write.zone not in held:
                raise InvariantError(f"{failure} {write.zone}")

    def run_tick(self) -> None:
        """Tick all running machines, and deliver all their messages at once."""
        up = [machine for machine in self.machines if machine.node]
        for machine in up:
            self.tick(machine, TICK_S)
            self.announce(machine)
        for _ in range(EXCHANGES_PER_TICK):
            for machine in up:
                while machine.queue:
                    self.sync(machine)
            pending, self.pending = self.pending, []
            for envelope in pending:
                self.deliver(envelope)
        self.check()

    def heal(self, seconds: float = 30.0) -> Node:
        """Run all machines without faults until a primary serves, and return its node."""
        self.partitioned.clear()
        for machine in self.machines:
            if machine.leaving_since is not None:
                self.stop(machine)
            if not machine.node:
                self.start(machine)
        start = max(machine.now for machine in self.machines)
        for machine in self.machines:
            machine.now = start
        for _ in range(int(seconds / TICK_S)):
            self.run_tick()
            ready = [m.node for m in self.machines if m.node.is_ready and self._is_newest(m.node)]
            if ready and all(
                m.node.durable.accepted_epoch and m.node.durable.accepted_epoch.term == ready[0].epoch.term
                for m in self.machines
                if m.counts_for_quorum
            ):
                return ready[0]
        raise InvariantError("no primary serves after all faults have ended")

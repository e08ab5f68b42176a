"""A simulated deployment of control stores; tests advance messages, syncs and clocks one by one. No I/O."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from fordtrestle.replication.durable import Durable
from fordtrestle.replication.effects import Effects
from fordtrestle.replication.epochs import Epoch, Store, is_majority
from fordtrestle.replication.messages import Message, Record
from fordtrestle.replication.node import Node
from fordtrestle.replication.state import Evacuation

FOUNDER = "10.0.0.0:1"
SEED_COUNT = 3  # listed in the settings, regardless of the number of stores
SHUTDOWN_GRACE_S = 6.0  # after which a store that is shutting down is ended


@dataclass
class Machine:
    """A machine with one store. Its disk survives a restart of the process.

    Its loss is tolerated whatever else is lost if it does not count for the quorum.
    """

    address: str
    disk: list[Record] = field(default_factory=list)
    node: Node | None = None
    queue: list[Effects] = field(default_factory=list)
    now: float = 0.0
    is_wiped: bool = False  # until it is a witness again
    leaving_since: float | None = None
    is_decommissioned: bool = False  # whether it is removed after its store has shut down
    start_count: int = 0
    counts_for_quorum: bool = True


@dataclass(frozen=True)
class Envelope:
    sender: str
    receiver: str
    message: Message


@dataclass
class Write:
    """A change that was proposed, and whether it was acknowledged."""

    zone: str
    term: object
    sequence: int
    machine: str
    node: Node
    acknowledged: bool = False


class Deployment:
    """2 * tolerated_failures + 1 machines with a store each."""

    def __init__(self, rng: random.Random, tolerated_failures: int) -> None:
        self.rng = rng
        self.tolerated_failures = tolerated_failures
        self.machines = [Machine(f"10.0.0.{index}:1") for index in range(2 * tolerated_failures + 1)]
        self.pending: list[Envelope] = []
        self.partitioned: set[tuple[str, str]] = set()  # (sender id, receiver id) of links that drop messages
        self.writes: list[Write] = []
        self.stores = self.addresses = 0
        # Each: node, heartbeat number, writes acknowledged before the read.
        self.reads: list[tuple[Node, int, list[Write]]] = []
        for machine in self.machines:
            self.start(machine)

    # Machines

    def new_store(self, machine: Machine) -> Durable:
        self.stores += 1
        return Durable(f"s{self.stores}")

    def start(self, machine: Machine) -> None:
        durable = Durable.restore(machine.disk)
        if durable is None:
            durable = self.new_store(machine)
            durable.must_bootstrap = machine.start_count == 0 and machine.address == FOUNDER
            machine.disk = list(durable.snapshot())
        machine.start_count += 1
        store = Store(durable.store, machine.address, machine.address, machine.address)
        machine.queue = []
        machine.node = Node(
            store,
            durable,
            tolerated_failures=self.tolerated_failures,
            counts_for_quorum=machine.counts_for_quorum,
            draw=self.draw,
            now=machine.now,
            seeds=self.seeds,
        )
        machine.leaving_since, machine.is_decommissioned = None, False

    def draw(self) -> float:
        """Draw a random number for a store. As a method, a copied world uses its own random source."""
        return self.rng.random()

    def seeds(self) -> list[str]:
        """Return the control addresses that the settings list."""
        return [machine.address for machine in self.machines[:SEED_COUNT]]

    def stop(self, machine: Machine) -> None:
        """Lose power: a random prefix of the records that were not synced reaches the disk."""
        unsynced = [record for effects in machine.queue for record in effects.records]
        machine.disk += unsynced[: self.rng.randint(0, len(unsynced))]
        machine.node, machine.queue = None, []

    def wipe(self, machine: Machine) -> None:
        machine.node, machine.queue, machine.disk = None, [], []
        machine.is_wiped = True

    def can_wipe(self, machine: Machine) -> bool:
        """Return whether losing this disk stays within the tolerated failures."""
        self.clear_readmitted()
        lost = sum(other.is_wiped for other in self.machines if other is not machine)
        bound = max(lost + 1, len(self.lost_witnesses(machine=machine)))
        is_formed = any(
            durable.accepted_epoch for other in self.machines if (durable := self.restore_disk(other))
        )
        return (
            bound <= self.tolerated_failures
            and not machine.is_wiped
            and (self.is_complete() or not is_formed)
        )

    def lost_witnesses(self, machine: Machine) -> set[str]:
        """Return the witnesses whose disks are lost, counting the disk of one more machine.

        Considers the newest open epoch and accepted epochs of the same or a newer term, which may be open as
        well, and returns the largest set.
        """
        others = [durable for m in self.machines if m is not machine and (durable := self.restore_disk(m))]
        left = {durable.store for durable in others}
        own = self.restore_disk(machine)
        newest = self.newest_epoch()
        known = [
            durable.accepted_epoch for durable in (*others, *([own] if own else ())) if durable.accepted_epoch
        ]
        epochs = [epoch for epoch in known if newest is None or epoch.term >= newest.term]
        lost = [set(epoch.witness_ids) - left for epoch in (*epochs, *([newest] if newest else ()))]
        return max(lost, key=len, default=set())

    def restore_disk(self, machine: Machine) -> Durable | None:
        """Restore the store from a machine's disk, or return None."""
        return Durable.restore(machine.disk)

    def newest_epoch(self) -> Epoch | None:
        """Return the newest open epoch, or None."""
        opened = [m.node.epoch for m in self.machines if m.node and m.node.epoch]
        return max(opened, key=lambda epoch: epoch.term, default=None)

    def clear_readmitted(self) -> None:
        epoch = self.newest_epoch()
        for machine in self.machines:
            if machine.is_wiped and machine.node and epoch and machine.node.me.id in epoch.witness_ids:
                accepted = machine.node.durable.accepted_epoch
                machine.is_wiped = not (accepted and accepted.term >= epoch.term)

    def is_complete(self) -> bool:
        """Return whether the newest epoch is complete, and recorded as open on the disks of a majority."""
        epoch = self.newest_epoch()
        if epoch is None or len(epoch.replicas) <= self.tolerated_failures:
            return False
        if len(epoch.witnesses) <= 2 * self.tolerated_failures:
            return False
        stores_with_epoch = set()
        for machine in self.machines:
            durable = self.restore_disk(machine)
            accepted = durable.accepted_epoch if durable else None
            if accepted and accepted.term == epoch.term and not accepted.earlier_quorums:
                stores_with_epoch.add(durable.store)
        return is_majority(stores_with_epoch, epoch.witness_ids)

    # Events

    def pump(self, machine: Machine) -> None:
        effects = machine.node.drain()
        if effects:
            machine.queue.append(effects)

    def sync(self, machine: Machine) -> None:
        effects = machine.queue.pop(0)
        machine.disk += effects.records
        for receiver, message in effects.messages:
            if receiver == machine.node.me.id:
                machine.node.receive(receiver, message, machine.now)
            else:
                self.send(machine, receiver, message)
        self.pump(machine)

    def send(self, machine: Machine, receiver: str, message: Message) -> None:
        self.pending.append(Envelope(machine.node.me.id, receiver, message))

    def deliver(self, envelope: Envelope) -> None:
        machine = next((m for m in self.machines if m.node and m.node.me.id == envelope.receiver), None)
        if machine is None or (envelope.sender, envelope.receiver) in self.partitioned:
            return
        machine.node.receive(envelope.sender, envelope.message, machine.now)
        self.pump(machine)

    def announce(self, machine: Machine) -> None:
        for other in self.machines:
            if (
                other is not machine
                and other.node
                and (machine.node.me.id, other.node.me.id) not in self.partitioned
            ):
                other.node.receive(machine.node.me.id, machine.node.announcement(), other.now)
                self.pump(other)

    def tick(self, machine: Machine, seconds: float) -> None:
        machine.now += seconds
        machine.node.tick(machine.now)
        self.pump(machine)

    def propose(self, machine: Machine) -> None:
        zone = f"z{len(self.writes)}"
        write = machine.node.propose(Evacuation(zone, True), machine.now)
        if write:
            term = machine.node.durable.installed_term
            self.writes.append(Write(zone, term, write.sequence, machine.address, machine.node))
        self.pump(machine)

    def begin_read(self, machine: Machine) -> None:
        number = machine.node.begin_confirmation(machine.now)
        self.reads.append((machine.node, number, [write for write in self.writes if write.acknowledged]))
        del self.reads[:-20]
        self.pump(machine)

    def end_leaving_machines(self) -> None:
        """End the stores that may leave, and those whose grace period has passed."""
        for machine in list(self.machines):
            if machine.leaving_since is None or machine.node is None:
                continue
            if machine.node.can_leave(machine.now):
                self.end_process(machine, is_lost=False)
            elif machine.now - machine.leaving_since > SHUTDOWN_GRACE_S:
                self.end_process(machine, is_lost=True)

    def end_process(self, machine: Machine, is_lost: bool) -> None:
        """End a process; remove its machine if it is decommissioned and that is tolerated or no loss."""
        newest = self.newest_epoch()
        is_witness = newest is None or machine.node.me.id in newest.witness_ids
        is_no_loss = (
            not (is_witness or is_lost or self.lost_witnesses(machine=machine)) and self.is_complete()
        )
        can_remove = machine.is_decommissioned and (is_no_loss or self.can_wipe(machine))
        self.stop(machine)
        machine.leaving_since, machine.is_decommissioned = None, False
        if can_remove:
            self.machines.remove(machine)

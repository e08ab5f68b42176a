"""A deployment of control stores whose messages, syncs and clocks a test moves one by one. No I/O."""

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
SEEDS = 3  # that settings name, however many stores there are
GRACE_S = 6.0  # for which a store that shuts down may stay


@dataclass
class Machine:
    """One machine: its disk outlives its process."""

    address: str
    disk: list[Record] = field(default_factory=list)
    node: Node | None = None
    queue: list[Effects] = field(default_factory=list)
    now: float = 0.0
    wiped: bool = False  # and not yet a witness again
    leaving_since: float | None = None
    is_decommissioned: bool = False  # once it has left
    start_count: int = 0


@dataclass(frozen=True)
class Envelope:
    sender: str
    receiver: str
    message: Message


@dataclass
class Write:
    """A change that was asked for, and whether it was acknowledged."""

    zone: str
    term: object
    sequence: int
    machine: str
    node: Node
    acknowledged: bool = False


class Deployment:
    """Machines with a store each; `machines` are tolerated to be lost at once, of 2 * machines + 1."""

    def __init__(self, rng: random.Random, machines: int) -> None:
        self.rng = rng
        self.tolerated_failures = machines
        self.machines = [Machine(f"10.0.0.{index}:1") for index in range(2 * machines + 1)]
        self.pending: list[Envelope] = []
        self.partitioned: set[tuple[str, str]] = set()  # ids of senders and receivers
        self.writes: list[Write] = []
        self.stores = self.addresses = 0
        self.reads: list[tuple[Node, int, list[Write]]] = []  # node, number, what was acknowledged by then
        for machine in self.machines:
            self.start(machine)

    # machines

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
            counts_for_quorum=True,
            draw=self.draw,
            now=machine.now,
            seeds=self.seeds,
        )
        machine.leaving_since, machine.is_decommissioned = None, False

    def draw(self) -> float:
        """A draw for a store; a method of ours, so that a copy of the world draws from its own source."""
        return self.rng.random()

    def seeds(self) -> list[str]:
        """The control addresses that settings name."""
        return [machine.address for machine in self.machines[:SEEDS]]

    def stop(self, machine: Machine) -> None:
        """Power is lost: of what was not synced some first records may have reached the disk."""
        unsynced = [record for effects in machine.queue for record in effects.records]
        machine.disk += unsynced[: self.rng.randint(0, len(unsynced))]
        machine.node, machine.queue = None, []

    def wipe(self, machine: Machine) -> None:
        machine.node, machine.queue, machine.disk = None, [], []
        machine.wiped = True

    def may_wipe(self, machine: Machine) -> bool:
        """Whether the loss of this disk is still within what is tolerated."""
        self.readmit()
        lost = sum(other.wiped for other in self.machines if other is not machine)
        bound = max(lost + 1, len(self.lost_witnesses(but=machine)))
        is_formed = any(held.accepted_epoch for other in self.machines if (held := self.on_disk(other)))
        return (
            bound <= self.tolerated_failures and not machine.wiped and (self.is_complete() or not is_formed)
        )

    def lost_witnesses(self, but: Machine) -> set[str]:
        """The witnesses whose disks are lost, once that of one machine is, too.

        They are those of the newest epoch that is open, or of one that may be and has lost more.
        """
        others = [held for m in self.machines if m is not but and (held := self.on_disk(m))]
        left = {held.store for held in others}
        own = self.on_disk(but)
        newest = self.newest()
        known = [held.accepted_epoch for held in (*others, *([own] if own else ())) if held.accepted_epoch]
        epochs = [epoch for epoch in known if newest is None or epoch.term >= newest.term]
        lost = [set(epoch.witness_ids) - left for epoch in (*epochs, *([newest] if newest else ()))]
        return max(lost, key=len, default=set())

    def on_disk(self, machine: Machine) -> Durable | None:
        """What is on a machine's disk."""
        return Durable.restore(machine.disk)

    def newest(self) -> Epoch | None:
        """The newest epoch that is open."""
        opened = [m.node.epoch for m in self.machines if m.node and m.node.epoch]
        return max(opened, key=lambda epoch: epoch.term, default=None)

    def readmit(self) -> None:
        epoch = self.newest()
        for machine in self.machines:
            if machine.wiped and machine.node and epoch and machine.node.me.id in epoch.witness_ids:
                accepted = machine.node.durable.accepted_epoch
                machine.wiped = not (accepted and accepted.term >= epoch.term)

    def is_complete(self) -> bool:
        """Whether all witnesses are there, and most know on disk that the epoch is open."""
        epoch = self.newest()
        if epoch is None or len(epoch.replicas) <= self.tolerated_failures:
            return False
        if len(epoch.witnesses) <= 2 * self.tolerated_failures:
            return False
        knowing = set()
        for machine in self.machines:
            held = self.on_disk(machine)
            accepted = held.accepted_epoch if held else None
            if accepted and accepted.term == epoch.term and not accepted.earlier_quorums:
                knowing.add(held.store)
        return is_majority(knowing, epoch.witness_ids)

    # what happens

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
        ticket = machine.node.propose(Evacuation(zone, True), machine.now)
        if ticket:
            term = machine.node.durable.installed_term
            self.writes.append(Write(zone, term, ticket.sequence, machine.address, machine.node))
        self.pump(machine)

    def ask(self, machine: Machine) -> None:
        asked = machine.node.begin_confirmation(machine.now)
        self.reads.append((machine.node, asked, [write for write in self.writes if write.acknowledged]))
        del self.reads[:-20]
        self.pump(machine)

    def let_leave(self) -> None:
        """End the stores that may leave, and those whose grace is over."""
        for machine in list(self.machines):
            if machine.leaving_since is None or machine.node is None:
                continue
            if machine.node.can_leave(machine.now):
                self.end(machine, is_lost=False)
            elif machine.now - machine.leaving_since > GRACE_S:
                self.end(machine, is_lost=True)

    def end(self, machine: Machine, is_lost: bool) -> None:
        """A process has ended by itself; its machine is removed with it, if that is tolerated or no loss."""
        newest = self.newest()
        is_witness = newest is None or machine.node.me.id in newest.witness_ids
        no_loss = not (is_witness or is_lost or self.lost_witnesses(but=machine)) and self.is_complete()
        may_go = machine.is_decommissioned and (no_loss or self.may_wipe(machine))
        self.stop(machine)
        machine.leaving_since, machine.is_decommissioned = None, False
        if may_go:
            self.machines.remove(machine)

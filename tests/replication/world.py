"""A deployment of control stores in which anything may happen between two steps: messages wait, cross, get
lost and come twice, syncs wait, machines lose power at any point and disks are wiped. Clocks run at their
own pace each.

`World.step` takes one action by a draw. `World.check` says what must hold at every moment.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from fordtrestle.replication.durable import Durable
from fordtrestle.replication.effects import Effects
from fordtrestle.replication.epochs import Epoch, Store, majority
from fordtrestle.replication.messages import Message, Record
from fordtrestle.replication.node import Node
from fordtrestle.replication.state import Evacuation

PENDING_MOST = 400
FOUNDER = "10.0.0.0:1"
SEEDS = 3  # that settings name, however many stores there are
SPARES_MOST = 2  # machines beyond those that are wanted
GRACE_S = 6.0  # for which a store that leaves may stay
TICK_S = 0.05
EXCHANGES = 6  # of messages and syncs in a tick of an undisturbed deployment
DISTURBANCES = (
    *("drop", "double", "hurry", "crash", "crash_all", "wipe", "cut", "split", "hold", "rewrite"),
    *("leave", "add", "replace", "unlink"),
)


class Breach(AssertionError):
    """Something that must never happen has happened."""


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
    gone_for_good: bool = False  # once it has left
    lives: int = 0


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


class World:
    """`machines` are tolerated to be lost at once, of 2 * machines + 1."""

    def __init__(self, seed: int, machines: int = 1) -> None:
        self.rng = random.Random(seed)
        self.trouble = self.rng.choice((0.003, 0.01, 0.03, 0.1))
        self.weights = {kind: self.rng.choice((0.0, 0.2, 1.0, 3.0)) for kind in DISTURBANCES} | {
            "restart": 3.0
        }
        self.late = False
        self.tolerated = machines
        self.machines = [Machine(f"10.0.0.{index}:1") for index in range(2 * machines + 1)]
        self.pending: list[Envelope] = []
        self.cut: set[tuple[str, str]] = set()
        self.writes: list[Write] = []
        self.stores = self.addresses = 0
        self.reads: list[tuple[Node, int, list[Write]]] = []  # node, round, what was acknowledged by then
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
            durable.must_bootstrap = machine.lives == 0 and machine.address == FOUNDER
            machine.disk = list(durable.snapshot())
        machine.lives += 1
        store = Store(durable.store, machine.address, machine.address, machine.address)
        machine.queue = []
        machine.node = Node(
            store,
            durable,
            tolerated_failures=self.tolerated,
            counts_for_quorum=True,
            draw=self.draw,
            now=machine.now,
            seeds=self.seeds,
        )
        machine.leaving_since, machine.gone_for_good = None, False

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
        bound = max(lost + 1, len(self.gone(but=machine)))
        is_formed = any(held.accepted_epoch for other in self.machines if (held := self.held(other)))
        return bound <= self.tolerated and not machine.wiped and (self.is_whole() or not is_formed)

    def gone(self, but: Machine) -> set[str]:
        """The witnesses whose disks are no more, once that of one machine is none either: of the newest epoch
        that is open, or of one that may be and has lost more.
        """
        others = [held for m in self.machines if m is not but and (held := self.held(m))]
        left = {held.store for held in others}
        own = self.held(but)
        newest = self.newest()
        known = [held.accepted_epoch for held in (*others, *([own] if own else ())) if held.accepted_epoch]
        epochs = [epoch for epoch in known if newest is None or epoch.term >= newest.term]
        lost = [set(epoch.witness_ids) - left for epoch in (*epochs, *([newest] if newest else ()))]
        return max(lost, key=len, default=set())

    def held(self, machine: Machine) -> Durable | None:
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

    def is_whole(self) -> bool:
        """Whether the core has caught up: all witnesses are there, and most know on disk that the epoch is
        open.
        """
        epoch = self.newest()
        if not (epoch and len(epoch.replicas) > self.tolerated and len(epoch.witnesses) > 2 * self.tolerated):
            return False
        knowing = set()
        for machine in self.machines:
            held = self.held(machine)
            if (
                held
                and held.accepted_epoch
                and held.accepted_epoch.term == epoch.term
                and not held.accepted_epoch.earlier_quorums
            ):
                knowing.add(held.store)
        return majority(knowing, epoch.witness_ids)

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
        if machine is None or (envelope.sender, envelope.receiver) in self.cut:
            return
        machine.node.receive(envelope.sender, envelope.message, machine.now)
        self.pump(machine)

    def announce(self, machine: Machine) -> None:
        for other in self.machines:
            if other is not machine and other.node and (machine.node.me.id, other.node.me.id) not in self.cut:
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
        """A process has ended by itself; its machine may be gone with it, if that is tolerated or no loss."""
        newest = self.newest()
        is_witness = newest is None or machine.node.me.id in newest.witness_ids
        no_loss = not (is_witness or is_lost or self.gone(but=machine)) and self.is_whole()
        may_go = machine.gone_for_good and (no_loss or self.may_wipe(machine))
        self.stop(machine)
        machine.leaving_since, machine.gone_for_good = None, False
        if may_go:
            self.machines.remove(machine)

    def step(self) -> None:
        """One action, drawn; what is likely keeps the system going, the rest disturbs it."""
        rng = self.rng
        self.let_leave()
        if rng.random() < self.trouble:
            self.disturb()
            self.check()
            return
        up = [machine for machine in self.machines if machine.node]
        waiting = [machine for machine in up if machine.queue]
        kind = rng.random()
        if kind < 0.50 and self.pending:
            near = rng.randrange(min(len(self.pending), 4))
            self.deliver(self.pending.pop(-1 - near if self.late else near))
        elif kind < 0.85 and waiting:
            self.sync(rng.choice(waiting))
        elif kind < 0.92 and up:
            self.tick(rng.choice(up), 0.06)
        elif kind < 0.95 and up:
            self.announce(rng.choice(up))
        elif kind < 0.98 and up:
            self.propose(rng.choice(up))
        elif up:
            self.ask(rng.choice(up))
        del self.pending[:-PENDING_MOST]
        self.check()

    def disturb(self) -> None:
        """Something that an undisturbed deployment does not do; how often each, differs from seed to seed."""
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

    def _double(self) -> None:
        if self.pending:
            self.pending.append(self.rng.choice(self.pending))

    def _hurry(self) -> None:
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
        if self.may_wipe(machine):
            self.wipe(machine)

    def _cut(self) -> None:
        ids = [machine.node.me.id for machine in self.machines if machine.node]
        if self.cut:
            self.cut.clear()
        elif len(ids) > 1:
            one, other = self.rng.sample(ids, 2)
            self.cut = {(one, other)} if self.rng.random() < 0.5 else {(one, other), (other, one)}

    def _split(self) -> None:
        """Cut some off from all others, both ways or one way."""
        ids = [machine.node.me.id for machine in self.machines if machine.node]
        if self.cut:
            self.cut.clear()
        elif len(ids) > 1:
            some = set(self.rng.sample(ids, self.rng.randint(1, len(ids) - 1)))
            ways = self.rng.choice(((1, 0), (0, 1), (1, 1)))
            for one in some:
                for other in set(ids) - some:
                    self.cut |= {(one, other)} if ways[0] else set()
                    self.cut |= {(other, one)} if ways[1] else set()

    def _rewrite(self) -> None:
        """A disk that had got long, or refused, is given a snapshot, which may be ahead of what waits."""
        up = [machine for machine in self.machines if machine.node]
        if up:
            machine = self.rng.choice(up)
            machine.disk = list(machine.node.durable.snapshot())

    def _leave(self) -> None:
        up = [machine for machine in self.machines if machine.node and machine.leaving_since is None]
        if up:
            machine = self.rng.choice(up)
            machine.node.leave(machine.now)
            machine.leaving_since = machine.now
            self.pump(machine)

    def _add(self) -> None:
        """A machine comes that nobody has asked for: one that is down may find its place given away."""
        if len(self.machines) < 2 * self.tolerated + 1 + SPARES_MOST:
            self.addresses += 1
            now = max(machine.now for machine in self.machines)
            machine = Machine(f"10.0.1.{self.addresses}:1", now=now, wiped=True)
            self.machines.append(machine)
            self.start(machine)

    def _replace(self) -> None:
        """Another machine comes in the place of one: planned, before that one leaves, or after it is gone."""
        up = [machine for machine in self.machines if machine.node and machine.leaving_since is None]
        if not up:
            return
        machine = self.rng.choice(up)
        if self.rng.random() < 0.6:
            self._add()
            machine.node.leave(machine.now)
            machine.leaving_since, machine.gone_for_good = machine.now, True
            self.pump(machine)
        elif len(self.machines) > 1 and self.may_wipe(machine):
            self.machines.remove(machine)
            machine.node = None
            self._add()

    def _unlink(self) -> None:
        """A link ends, whether its other side has or not."""
        up = [machine for machine in self.machines if machine.node]
        if len(up) > 1:
            one, other = self.rng.sample(up, 2)
            one.node.on_connection_lost(other.node.me.id, one.now)
            self.pump(one)

    def _hold(self) -> None:
        """The newest messages go first for a while: the older ones are late."""
        self.late = not self.late

    # what must hold

    def check(self) -> None:
        for write in self.writes:
            if write.acknowledged:
                continue
            state = write.node.committed_state
            alive = any(machine.node is write.node for machine in self.machines)
            if alive and state and state.sequence >= write.sequence and write.zone in state.evacuated:
                write.acknowledged = True
        acknowledged = [write for write in self.writes if write.acknowledged]
        for node, asked, before in self.reads:
            if any(machine.node is node for machine in self.machines) and node.is_confirmed(asked):
                self.expect(node, before, "a confirmed read lacks")
        for machine in self.machines:
            node = machine.node
            if node and node.is_primary and node.is_ready and self._is_newest(node):
                self.expect(node, acknowledged, "the newest primary lacks")

    def _is_newest(self, node: Node) -> bool:
        newest = self.newest()
        return bool(newest and node.epoch and node.epoch.term == newest.term)

    def expect(self, node: Node, writes: list[Write], what: str) -> None:
        held = node.durable.state.evacuated
        for write in writes:
            if write.zone not in held:
                raise Breach(f"{what} {write.zone}")

    def round(self) -> None:
        """A tick of all machines that are up, with all that they say delivered at once."""
        up = [machine for machine in self.machines if machine.node]
        for machine in up:
            self.tick(machine, TICK_S)
            self.announce(machine)
        for _ in range(EXCHANGES):
            for machine in up:
                while machine.queue:
                    self.sync(machine)
            pending, self.pending = self.pending, []
            for envelope in pending:
                self.deliver(envelope)
        self.check()

    def heal(self, seconds: float = 30.0) -> Node:
        """Let all machines run undisturbed; the primary that comes of it."""
        self.cut.clear()
        for machine in self.machines:
            if machine.leaving_since is not None:
                self.stop(machine)
            if not machine.node:
                self.start(machine)
        start = max(machine.now for machine in self.machines)
        for machine in self.machines:
            machine.now = start
        for _ in range(int(seconds / TICK_S)):
            self.round()
            ready = [m.node for m in self.machines if m.node.is_ready and self._is_newest(m.node)]
            if ready and all(
                m.node.durable.accepted_epoch and m.node.durable.accepted_epoch.term == ready[0].epoch.term
                for m in self.machines
            ):
                return ready[0]
        raise Breach("no primary serves although nothing is broken any more")

"""Schedules that the search meets too seldom, each played with its guard and seen to breach without it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import pytest

from fordtrestle.replication import messages as wire
from fordtrestle.replication.candidate import RESEND_INTERVAL_S
from fordtrestle.replication.epoch_change import EpochChange
from fordtrestle.replication.epoch_plan import EpochPlan
from fordtrestle.replication.epochs import Term
from fordtrestle.replication.events import Reason
from fordtrestle.replication.peer_table import LIVENESS_TIMEOUT_S
from tests.replication.guards import FOUND_BY_SCHEDULE
from tests.replication.world import Breach, Envelope, Machine, World


class Script(World):
    """Three stores that serve, of which A is primary, B its backup and C the third witness."""

    def __init__(self) -> None:
        super().__init__(seed=5)
        primary = self.heal()
        self.a = next(machine for machine in self.machines if machine.node is primary)
        backup = primary.epoch.replicas[1]
        self.b = next(machine for machine in self.machines if machine.node.me.id == backup)
        (self.c,) = [machine for machine in self.machines if machine not in (self.a, self.b)]
        self.flow()
        for _ in range(60):
            for machine in self.machines:
                self.tick(machine, 0.05)
                self.announce(machine)
            self.flow()
        if not all(self.follows(machine) for machine in self.machines):
            raise Breach("a store never catches up")

    def follows(self, machine: Machine) -> bool:
        """Whether a store holds the primary's state."""
        held, newest = machine.node.durable, self.a.node.durable
        return (held.installed_term, held.state) == (newest.installed_term, newest.state)

    def flow(self, *among: Machine, lost: Callable[[Envelope], bool] = lambda envelope: False) -> None:
        """Sync and deliver until nothing is left, between these machines; other messages are lost."""
        among = among or tuple(self.machines)
        ids = {machine.node.me.id for machine in among if machine.node}
        while True:
            for machine in among:
                while machine.node and machine.queue:
                    self.sync(machine)
            if not self.pending:
                return
            pending, self.pending = self.pending, []
            for envelope in pending:
                if envelope.sender in ids and envelope.receiver in ids and not lost(envelope):
                    self.deliver(envelope)

    def candidate(self, machine: Machine, *among: Machine) -> None:
        """Let a machine open the next epoch as far as these others let it."""
        accepted = machine.node.durable.accepted_epoch
        machine.node.candidate.start(
            EpochPlan(accepted, accepted.witnesses, Reason.PRIMARY_LOST), machine.now
        )
        self.pump(machine)
        self.flow(machine, *among)
        change = machine.node.candidate.epoch_change
        if change and not change.installing:  # it waits for stores that hold its state
            self.tick(machine, RESEND_INTERVAL_S)
            self.flow(machine, *among)

    def acknowledge(self, machine: Machine, *among: Machine) -> bool:
        """Write at a machine that takes itself for primary; whether it was acknowledged."""
        before = len(self.writes)
        self.propose(machine)
        self.flow(machine, *among)
        self.check()
        return len(self.writes) > before and self.writes[-1].acknowledged

    def take(self, kind: type) -> list:
        """Take messages of a kind off the links."""
        taken = [envelope for envelope in self.pending if isinstance(envelope.message, kind)]
        self.pending = [envelope for envelope in self.pending if envelope not in taken]
        return taken

    def settle(self) -> None:
        """Let all heal and hold what was acknowledged against it."""
        primary = self.heal()
        self.expect(primary, [write for write in self.writes if write.acknowledged], "the primary lacks")


def _two_candidates(restart: bool) -> None:
    """C has promised itself to B. A, whose term is older, must not get C's vote any more."""
    script = Script()
    a, b, c = script.a, script.b, script.c
    base = b.node.durable.accepted_epoch
    b.node.context.pre_votes.newest_term = Term(base.term.number, "")
    b.node.candidate.start(EpochPlan(base, base.witnesses, Reason.PRIMARY_LOST), b.now)
    b.node.candidate.epoch_change.term = newer = Term(base.term.number + 1, "z" + b.node.me.id)
    b.node.context.effects.messages = [
        (store, wire.Prepare(newer)) for store, _ in b.node.context.effects.messages
    ]
    script.pump(b)
    while b.queue:
        script.sync(b)
    for envelope in script.take(wire.Prepare):
        if envelope.receiver == c.node.me.id:
            script.deliver(envelope)
    while c.queue:
        script.sync(c)
    promise = script.take(wire.Prepared)
    assert promise
    if restart:
        c.node, c.queue = None, []
        script.start(c)
    script.candidate(a, c)
    script.acknowledge(a, c)
    script.pending = promise
    script.flow(b, c)
    script.settle()


def a_promise_is_on_disk() -> None:
    _two_candidates(restart=True)


def no_older_term_is_promised() -> None:
    _two_candidates(restart=False)


def no_older_epoch_is_accepted() -> None:
    """B's epoch is older than the one that C has accepted from A: it comes late, and A is lost."""
    script = Script()
    a, b, c = script.a, script.b, script.c
    base = b.node.durable.accepted_epoch
    b.node.candidate.start(EpochPlan(base, base.witnesses, Reason.PRIMARY_LOST), b.now)
    script.pump(b)
    for _ in range(20):
        for machine in (b, c):
            while machine.queue:
                script.sync(machine)
        late = script.take(wire.Accept)
        if late:
            break
        pending, script.pending = script.pending, []
        for envelope in pending:
            if envelope.receiver != a.node.me.id:
                script.deliver(envelope)
    while b.queue:
        script.sync(b)
    a.node.context.pre_votes.newest_term = b.node.durable.prepared_term
    script.candidate(a, c)
    script.acknowledge(a, c)
    script.pending = late
    script.flow(b, c)
    script.stop(a)
    script.check()
    script.settle()


def a_replica_refuses_writes_of_older_epochs() -> None:
    """B has opened an epoch with C. What A, cut off, sends to B under the old one must not be
    acknowledged.
    """
    script = Script()
    a, b, c = script.a, script.b, script.c
    b.node.context.pre_votes.newest_term = a.node.durable.prepared_term
    script.candidate(b, c)
    script.flow(b, c)
    script.acknowledge(a, b)
    script.wipe(b)
    script.settle()


def only_a_replica_of_the_newest_epoch_opens_the_next() -> None:
    """A asks to open on top of an epoch that is no more the newest one: C knows better."""
    script = Script()
    a, b, c = script.a, script.b, script.c
    old = a.node.durable.accepted_epoch
    script.candidate(b, c)
    script.acknowledge(b, c)
    change = EpochChange(
        a.node.me, Term(99, a.node.me.id), old, old.witnesses, 2, frozenset(), started_at=0.0
    )
    answers = []
    for machine, accepted in ((a, old), (c, c.node.durable.accepted_epoch)):
        durable = machine.node.durable
        promise = wire.Prepared(change.term, accepted, durable.installed_term, durable.state.sequence)
        answers += change.receive(machine.node.me.id, promise, a.node.durable.state)
    answers += change.repeat(a.node.durable.state)
    if any(isinstance(message, wire.Install | wire.Accept) for _, message in answers):
        raise Breach("a store that lacks an acknowledged write installs its state elsewhere")


def a_read_is_confirmed_after_it_was_asked() -> None:
    """A is cut off and still takes itself for primary: it must not answer reads."""
    script = Script()
    a, b, c = script.a, script.b, script.c
    script.candidate(b, c)
    assert script.acknowledge(b, c)
    script.ask(a)
    script.flow(a)
    script.check()


def nothing_is_told_before_it_is_synced() -> None:
    """B loses power with a write that it has not synced, and then A its disk."""
    script = Script()
    a, b = script.a, script.b
    script.propose(a)
    while a.queue:
        script.sync(a)
    for envelope in script.take(wire.Append):
        script.deliver(envelope)
    unsynced = [record for effects in b.queue for record in effects.records]
    assert unsynced
    script.pending = [e for e in script.pending if e.receiver == a.node.me.id]
    for envelope in script.pending:
        script.deliver(envelope)
    script.pending.clear()
    script.check()
    b.node, b.queue = None, []
    script.wipe(a)
    script.settle()


def the_state_is_on_all_replicas_before_the_epoch() -> None:
    """C has missed a write. A takes it for a replica in the place of B, which is down, the state for C gets
    lost on its way, and A loses its disk.
    """
    script = Script()
    a, b, c = script.a, script.b, script.c
    assert script.acknowledge(a, b)
    script.stop(b)
    accepted = a.node.durable.accepted_epoch
    a.node.candidate.start(EpochPlan(accepted, accepted.witnesses, Reason.PRIMARY_LOST), a.now)
    for _ in range(3):
        script.pump(a)
        script.flow(a, c, lost=lambda envelope: isinstance(envelope.message, wire.Install))
        script.tick(a, RESEND_INTERVAL_S)
    script.check()
    script.wipe(a)
    script.start(b)
    script.tick(c, 3.0)
    script.flow(b, c)
    script.settle()


def earlier_witnesses_vote_until_the_epoch_is_known() -> None:
    """A, cut off from B, takes a new store for a witness in the place of C, which is down. B and C know of
    nothing.
    """
    script = Script()
    a, b, c = script.a, script.b, script.c
    script.stop(c)
    new = Machine("10.0.0.9:1", now=a.now, wiped=True)
    script.machines.append(new)
    script.start(new)
    base = a.node.durable.accepted_epoch
    witnesses = tuple(new.node.me if store.address == c.address else store for store in base.witnesses)
    a.node.candidate.start(EpochPlan(base, witnesses, Reason.PRIMARY_LOST), a.now)
    for _ in range(3):
        script.pump(a)
        script.flow(a, new)
        script.announce(new)
        script.tick(a, RESEND_INTERVAL_S)
    script.acknowledge(a, new)
    script.start(c)
    for machine in (c, b):
        script.tick(machine, 3.0)
    script.flow(b, c)
    script.check()
    script.settle()


def nothing_is_acknowledged_with_too_few_replicas() -> None:
    """A's replica and the third witness are lost one after the other: what A takes then, it holds alone."""
    script = Script()
    a = script.a
    epoch = a.node.durable.accepted_epoch
    alone = replace(epoch, replicas=(a.node.me.id,))
    a.node.primary.begin_epoch(alone, is_committed=True, reason=Reason.REPLICA_LOST, took_s=0.0, now=a.now)
    if script.acknowledge(a):
        raise Breach("a write is acknowledged that one disk alone holds")


SCHEDULES = {
    "earlier witnesses vote until the epoch is known": earlier_witnesses_vote_until_the_epoch_is_known,
    "the state is on all replicas before the epoch": the_state_is_on_all_replicas_before_the_epoch,
    "a promise is on disk before it is told": a_promise_is_on_disk,
    "promises outlive a restart": a_promise_is_on_disk,
    "no older term is promised": no_older_term_is_promised,
    "no older epoch is accepted": no_older_epoch_is_accepted,
    "a replica refuses writes of older epochs": a_replica_refuses_writes_of_older_epochs,
    "only a replica of the newest epoch opens the next": only_a_replica_of_the_newest_epoch_opens_the_next,
    "a read is confirmed after it was asked": a_read_is_confirmed_after_it_was_asked,
    "nothing is told before it is synced": nothing_is_told_before_it_is_synced,
    "nothing is acknowledged with too few replicas": nothing_is_acknowledged_with_too_few_replicas,
}


@pytest.mark.parametrize("guard", SCHEDULES)
def test_the_schedule_breaches_nothing(guard):
    SCHEDULES[guard]()


@pytest.mark.parametrize("guard", FOUND_BY_SCHEDULE)
def test_the_schedule_breaches_without_its_guard(guard, monkeypatch):
    FOUND_BY_SCHEDULE[guard](monkeypatch)
    with pytest.raises(Breach):
        SCHEDULES[guard]()


def test_a_primary_whose_machine_holds_another_store_is_not_waited_for():
    script = Script()
    a, b, c = script.a, script.b, script.c
    for machine in (a, b, c):
        script.stop(machine)
    script.wipe(a)
    for machine in (a, b, c):
        machine.now = 100.0
        script.start(machine)
    script.announce(a)
    for _ in range(6):
        script.tick(b, 0.05)
        script.flow(b, c)
    assert b.node.is_primary
    assert b.now < 100.4


def test_a_primary_that_ends_hands_over_at_once():
    script = Script()
    a, b, c = script.a, script.b, script.c
    assert script.acknowledge(a, b, c)
    began = b.now
    a.node.leave(a.now)
    script.pump(a)
    script.flow()
    script.stop(a)
    assert not b.node.is_primary
    for _ in range(6):
        script.tick(b, 0.05)
        script.flow(b, c)
    assert b.node.is_primary
    assert b.now - began < 0.5
    assert b.node.durable.state.evacuated == ("z0",)
    assert b.node.context.detector._lost == "" == c.node.context.detector._lost, (
        "a later epoch of it is missed as any other"
    )


def leave(script: Script, machine: Machine) -> None:
    """Let a machine's process end as the platform does, once it may or its grace is over."""
    machine.node.leave(machine.now)
    script.pump(machine)
    began = machine.now
    while not machine.node.can_leave(machine.now) and machine.now - began < 4.0:
        for other in script.machines:
            if other.node:
                script.announce(other)
                script.tick(other, 0.05)
        script.flow()
    script.stop(machine)


def replace_disks(script: Script, *machines: Machine) -> None:
    """The machines are gone for good: what they held is no more."""
    for machine in machines:
        script.stop(machine)
        machine.disk = []


def test_a_primary_stays_until_the_state_is_on_others_under_an_epoch_without_it():
    script = Script()
    a, b, c = script.a, script.b, script.c
    assert script.acknowledge(a, b)  # C has missed it
    leave(script, a)
    replace_disks(script, a)
    script.wipe(b)  # the next loss comes at once
    script.check()
    assert c.node.durable.state.evacuated == ("z0",)
    assert c.node.me.id in c.node.durable.accepted_epoch.replicas


def test_a_backup_stays_until_the_state_is_on_others_under_an_epoch_without_it():
    script = Script()
    a, b, c = script.a, script.b, script.c
    assert script.acknowledge(a, b)
    leave(script, b)
    replace_disks(script, b)
    script.wipe(a)
    assert c.node.durable.state.evacuated == ("z0",)
    assert c.node.me.id in c.node.durable.accepted_epoch.replicas


def test_a_store_that_leaves_gives_its_place_to_one_that_waits_before_it_ends():
    script = Script()
    a, b, c = script.a, script.b, script.c
    new = Machine("10.0.0.9:1", now=a.now, wiped=True)
    script.machines.append(new)
    script.start(new)
    for machine in (c, a):
        script.announce(new)
        leave(script, machine)
        replace_disks(script, machine)
        if machine is c:
            newest = a.node.durable.accepted_epoch
            assert {store.id for store in newest.witnesses} == {m.node.me.id for m in (a, b, new)}
            another = Machine("10.0.0.10:1", now=a.now, wiped=True)
            script.machines.append(another)
            script.start(another)
            new = another
    assert all(
        store.address not in (c.address, a.address) for store in b.node.durable.accepted_epoch.witnesses
    )


def test_where_all_leave_nobody_waits_for_another():
    script = Script()
    for machine in script.machines:
        machine.node.leave(machine.now)
        script.pump(machine)
    for machine in script.machines:
        script.announce(machine)
    assert all(machine.node.can_leave(machine.now) for machine in script.machines)


def test_a_store_that_is_cut_off_as_it_is_told_to_end_stays_for_its_grace():
    """It hears nobody, which does not mean that nobody stays: it may be needed as soon as the cut ends."""
    script = Script()
    a, b, c = script.a, script.b, script.c
    a.now += LIVENESS_TIMEOUT_S + 0.1
    a.node.leave(a.now)
    assert not a.node.can_leave(a.now)
    for other in (b, c):
        other.node.leave(other.now)
        script.pump(other)
        script.announce(other)
    assert a.node.can_leave(a.now), "the others have said that they leave, too"


def test_a_store_that_has_missed_writes_is_sent_the_state_before_it_is_needed():
    script = Script()
    a, b, c = script.a, script.b, script.c
    assert script.acknowledge(a, b)
    assert not script.follows(c)
    for _ in range(20):
        for machine in script.machines:
            script.announce(machine)
            script.tick(machine, 0.05)
        script.flow()
    assert script.follows(c)
    assert a.node.durable.accepted_epoch.replicas == (a.node.me.id, b.node.me.id)
    assert script.acknowledge(a, b, c) and script.follows(c), "it takes writes as they come from here on"

"""Schedules that the random search reaches too rarely, each run with and without its guard."""

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
from tests.replication.deployment import Machine
from tests.replication.guards import FOUND_BY_SCHEDULE
from tests.replication.serving_core import ServingCore
from tests.replication.world import InvariantError


def _two_candidates(core: ServingCore, restart: bool) -> None:
    """C has prepared B's term, so A, whose term is older, must not get C's vote."""
    a, b, c = core.a, core.b, core.c
    base = b.node.durable.accepted_epoch
    b.node.context.pre_votes.newest_term = Term(base.term.number, "")
    b.node.candidate.start(EpochPlan(base, base.witnesses, Reason.PRIMARY_LOST), b.now)
    b.node.candidate.epoch_change.term = newer = Term(base.term.number + 1, "z" + b.node.me.id)
    b.node.context.effects.messages = [
        (store, wire.Prepare(newer)) for store, _ in b.node.context.effects.messages
    ]
    core.pump(b)
    while b.queue:
        core.sync(b)
    for envelope in core.take_messages(wire.Prepare):
        if envelope.receiver == c.node.me.id:
            core.deliver(envelope)
    while c.queue:
        core.sync(c)
    prepared = core.take_messages(wire.Prepared)
    assert prepared
    if restart:
        c.node, c.queue = None, []
        core.start(c)
    core.run_candidate(a, c)
    core.acknowledge(a, c)
    core.pending = prepared
    core.exchange_all(b, c)
    core.heal_and_check()


def a_promise_is_synced_before_it_is_sent(core: ServingCore) -> None:
    _two_candidates(core, restart=True)


def no_older_term_is_prepared(core: ServingCore) -> None:
    _two_candidates(core, restart=False)


def no_older_epoch_is_accepted(core: ServingCore) -> None:
    """B's epoch reaches C late, after C has accepted a newer one from A, and then A is lost."""
    a, b, c = core.a, core.b, core.c
    base = b.node.durable.accepted_epoch
    b.node.candidate.start(EpochPlan(base, base.witnesses, Reason.PRIMARY_LOST), b.now)
    core.pump(b)
    for _ in range(20):
        for machine in (b, c):
            while machine.queue:
                core.sync(machine)
        late = core.take_messages(wire.Accept)
        if late:
            break
        pending, core.pending = core.pending, []
        for envelope in pending:
            if envelope.receiver != a.node.me.id:
                core.deliver(envelope)
    while b.queue:
        core.sync(b)
    a.node.context.pre_votes.newest_term = b.node.durable.prepared_term
    core.run_candidate(a, c)
    core.acknowledge(a, c)
    core.pending = late
    core.exchange_all(b, c)
    core.stop(a)
    core.check()
    core.heal_and_check()


def a_replica_rejects_writes_of_older_epochs(core: ServingCore) -> None:
    """B has opened an epoch with C; writes of A, which was partitioned, are not acknowledged."""
    a, b, c = core.a, core.b, core.c
    b.node.context.pre_votes.newest_term = a.node.durable.prepared_term
    core.run_candidate(b, c)
    core.exchange_all(b, c)
    core.acknowledge(a, b)
    core.wipe(b)
    core.heal_and_check()


def only_a_replica_of_the_newest_epoch_opens_the_next(core: ServingCore) -> None:
    """A attempts to succeed an epoch that is no longer the newest; C reports the newer one."""
    a, b, c = core.a, core.b, core.c
    old = a.node.durable.accepted_epoch
    core.run_candidate(b, c)
    core.acknowledge(b, c)
    change = EpochChange(
        a.node.me, Term(99, a.node.me.id), old, old.witnesses, 2, frozenset(), started_at=0.0
    )
    answers = []
    for machine, accepted in ((a, old), (c, c.node.durable.accepted_epoch)):
        durable = machine.node.durable
        prepared = wire.Prepared(change.term, accepted, durable.installed_term, durable.state.sequence)
        answers += change.receive(machine.node.me.id, prepared, a.node.durable.state)
    answers += change.resend(a.node.durable.state)
    if any(isinstance(message, wire.Install | wire.Accept) for _, message in answers):
        raise InvariantError("a store that lacks an acknowledged write installs its state on another store")


def a_read_is_confirmed_after_it_was_asked(core: ServingCore) -> None:
    """A is partitioned and still considers itself primary, so it must not answer reads."""
    a, b, c = core.a, core.b, core.c
    core.run_candidate(b, c)
    assert core.acknowledge(b, c)
    core.begin_read(a)
    core.exchange_all(a)
    core.check()


def nothing_is_sent_before_it_is_synced(core: ServingCore) -> None:
    """B loses power with a write that it has not synced, and then A loses its disk."""
    a, b = core.a, core.b
    core.propose(a)
    while a.queue:
        core.sync(a)
    for envelope in core.take_messages(wire.Append):
        core.deliver(envelope)
    unsynced = [record for effects in b.queue for record in effects.records]
    assert unsynced
    core.pending = [e for e in core.pending if e.receiver == a.node.me.id]
    for envelope in core.pending:
        core.deliver(envelope)
    core.pending.clear()
    core.check()
    b.node, b.queue = None, []
    core.wipe(a)
    core.heal_and_check()


def the_state_is_on_all_replicas_before_the_epoch(core: ServingCore) -> None:
    """C has missed a write, and replaces B, which is down, as a replica.

    The state for C is lost in transit, and then A loses its disk.
    """
    a, b, c = core.a, core.b, core.c
    assert core.acknowledge(a, b)
    core.stop(b)
    accepted = a.node.durable.accepted_epoch
    a.node.candidate.start(EpochPlan(accepted, accepted.witnesses, Reason.PRIMARY_LOST), a.now)
    for _ in range(3):
        core.pump(a)
        core.exchange_all(a, c, lost=lambda envelope: isinstance(envelope.message, wire.Install))
        core.tick(a, RESEND_INTERVAL_S)
    core.check()
    core.wipe(a)
    core.start(b)
    core.tick(c, 3.0)
    core.exchange_all(b, c)
    core.heal_and_check()


def earlier_witnesses_vote_until_it_is_committed(core: ServingCore) -> None:
    """A, partitioned from B, replaces C, which is down, by a new store as witness.

    B and C do not learn of this.
    """
    a, b, c = core.a, core.b, core.c
    core.stop(c)
    new = Machine("10.0.0.9:1", now=a.now, is_wiped=True)
    core.machines.append(new)
    core.start(new)
    base = a.node.durable.accepted_epoch
    witnesses = tuple(new.node.me if store.address == c.address else store for store in base.witnesses)
    a.node.candidate.start(EpochPlan(base, witnesses, Reason.PRIMARY_LOST), a.now)
    for _ in range(3):
        core.pump(a)
        core.exchange_all(a, new)
        core.announce(new)
        core.tick(a, RESEND_INTERVAL_S)
    core.acknowledge(a, new)
    core.start(c)
    for machine in (c, b):
        core.tick(machine, 3.0)
    core.exchange_all(b, c)
    core.check()
    core.heal_and_check()


def nothing_is_acknowledged_with_too_few_replicas(core: ServingCore) -> None:
    """A's replica and the third witness are lost in turn, so that A alone would hold its next writes."""
    a = core.a
    epoch = a.node.durable.accepted_epoch
    alone = replace(epoch, replicas=(a.node.me.id,))
    a.node.primary.begin_epoch(alone, is_committed=True, reason=Reason.REPLICA_LOST, took_s=0.0, now=a.now)
    if core.acknowledge(a):
        raise InvariantError("a write that only one disk holds is acknowledged")


SCHEDULES: dict[str, Callable[[ServingCore], None]] = {
    "earlier witnesses vote until the epoch is committed": earlier_witnesses_vote_until_it_is_committed,
    "the state is on all replicas before the epoch": the_state_is_on_all_replicas_before_the_epoch,
    "a promise is synced before it is sent": a_promise_is_synced_before_it_is_sent,
    "promises outlive a restart": a_promise_is_synced_before_it_is_sent,
    "no older term is prepared": no_older_term_is_prepared,
    "no older epoch is accepted": no_older_epoch_is_accepted,
    "a replica rejects writes of older epochs": a_replica_rejects_writes_of_older_epochs,
    "only a replica of the newest epoch opens the next": only_a_replica_of_the_newest_epoch_opens_the_next,
    "a read is confirmed after it was asked": a_read_is_confirmed_after_it_was_asked,
    "nothing is sent before it is synced": nothing_is_sent_before_it_is_synced,
    "nothing is acknowledged with too few replicas": nothing_is_acknowledged_with_too_few_replicas,
}


@pytest.mark.parametrize("guard", SCHEDULES)
def test_schedule_with_its_guard_breaks_no_invariant(guard, core):
    SCHEDULES[guard](core)


@pytest.mark.parametrize("guard", FOUND_BY_SCHEDULE)
def test_schedule_without_its_guard_breaks_an_invariant(guard, monkeypatch):
    FOUND_BY_SCHEDULE[guard](monkeypatch)
    with pytest.raises(InvariantError):
        SCHEDULES[guard](ServingCore())


def test_primary_whose_machine_holds_another_store_is_replaced_without_a_timeout(core):
    a, b, c = core.a, core.b, core.c
    for machine in (a, b, c):
        core.stop(machine)
    core.wipe(a)
    for machine in (a, b, c):
        machine.now = 100.0
        core.start(machine)
    core.announce(a)
    for _ in range(6):
        core.tick(b, 0.05)
        core.exchange_all(b, c)
    assert b.node.is_primary
    assert b.now < 100.4


def test_primary_that_shuts_down_hands_over_at_once(core):
    a, b, c = core.a, core.b, core.c
    assert core.acknowledge(a, b, c)
    began = b.now
    a.node.leave(a.now)
    core.pump(a)
    core.exchange_all()
    core.stop(a)
    assert not b.node.is_primary
    for _ in range(6):
        core.tick(b, 0.05)
        core.exchange_all(b, c)
    assert b.node.is_primary
    assert b.now - began < 0.5
    assert b.node.durable.state.evacuated == ("z0",)
    assert b.node.context.detector._lost_id == "" == c.node.context.detector._lost_id, (
        "it can be suspected again in a later epoch"
    )


def shut_down(core: ServingCore, machine: Machine) -> None:
    """Shut down a machine's process as the platform does, once it may leave or its grace period is over."""
    machine.node.leave(machine.now)
    core.pump(machine)
    began = machine.now
    while not machine.node.can_leave(machine.now) and machine.now - began < 4.0:
        for other in core.machines:
            if other.node:
                core.announce(other)
                core.tick(other, 0.05)
        core.exchange_all()
    core.stop(machine)


def lose_disks(core: ServingCore, *machines: Machine) -> None:
    """Lose machines for good, with their disks."""
    for machine in machines:
        core.stop(machine)
        machine.disk = []


def test_primary_that_shuts_down_stays_until_an_epoch_without_it_holds_the_state(core):
    a, b, c = core.a, core.b, core.c
    assert core.acknowledge(a, b)  # C has missed the write
    shut_down(core, a)
    lose_disks(core, a)
    core.wipe(b)  # the next loss follows at once
    core.check()
    assert c.node.durable.state.evacuated == ("z0",)
    assert c.node.me.id in c.node.durable.accepted_epoch.replicas


def test_backup_that_shuts_down_stays_until_an_epoch_without_it_holds_the_state(core):
    a, b, c = core.a, core.b, core.c
    assert core.acknowledge(a, b)
    shut_down(core, b)
    lose_disks(core, b)
    core.wipe(a)
    assert c.node.durable.state.evacuated == ("z0",)
    assert c.node.me.id in c.node.durable.accepted_epoch.replicas


def test_store_that_shuts_down_gives_its_slot_to_a_joining_one_before_it_ends(core):
    a, b, c = core.a, core.b, core.c
    new = Machine("10.0.0.9:1", now=a.now, is_wiped=True)
    core.machines.append(new)
    core.start(new)
    for machine in (c, a):
        core.announce(new)
        shut_down(core, machine)
        lose_disks(core, machine)
        if machine is c:
            newest = a.node.durable.accepted_epoch
            assert {store.id for store in newest.witnesses} == {m.node.me.id for m in (a, b, new)}
            another = Machine("10.0.0.10:1", now=a.now, is_wiped=True)
            core.machines.append(another)
            core.start(another)
            new = another
    assert all(
        store.address not in (c.address, a.address) for store in b.node.durable.accepted_epoch.witnesses
    )


def test_all_stores_that_shut_down_together_may_end_at_once(core):
    for machine in core.machines:
        machine.node.leave(machine.now)
        core.pump(machine)
    for machine in core.machines:
        core.announce(machine)
    assert all(machine.node.can_leave(machine.now) for machine in core.machines)


def test_partitioned_store_that_shuts_down_stays_while_others_have_not_said_so(core):
    """It hears no other store, but others may stay and need it once the partition ends."""
    a, b, c = core.a, core.b, core.c
    a.now += LIVENESS_TIMEOUT_S + 0.1
    a.node.leave(a.now)
    assert not a.node.can_leave(a.now)
    for other in (b, c):
        other.node.leave(other.now)
        core.pump(other)
        core.announce(other)
    assert a.node.can_leave(a.now), "the others have announced that they are leaving, too"


def test_witness_that_lags_is_sent_the_state_before_it_is_needed(core):
    a, b, c = core.a, core.b, core.c
    assert core.acknowledge(a, b)
    assert not core.is_caught_up(c)
    for _ in range(20):
        for machine in core.machines:
            core.announce(machine)
            core.tick(machine, 0.05)
        core.exchange_all()
    assert core.is_caught_up(c)
    assert a.node.durable.accepted_epoch.replicas == (a.node.me.id, b.node.me.id)
    assert core.acknowledge(a, b, c)
    assert core.is_caught_up(c), "it receives each write from now on"

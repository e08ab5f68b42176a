"""A core forms despite any tolerated losses during its bootstrap, and never a second core."""

from __future__ import annotations

import pytest

from fordtrestle.replication.bootstrap import UNANIMOUS_DELAY_S, Bootstrap
from fordtrestle.replication.durable import Durable
from fordtrestle.replication.epoch_change import EpochChange
from fordtrestle.replication.epochs import Epoch, Store, Term, no_epoch
from fordtrestle.replication.events import ForeignStoreSeen, Waiting, WaitReason
from fordtrestle.replication.messages import Accepted, Announce, Heartbeat, Prepared, Record
from fordtrestle.replication.state import ControlState
from tests.replication.deployment import Machine
from tests.replication.world import TICK_S, World

STEPS = range(0, 240, 6)  # steps of the bootstrap after which a fault occurs; a bootstrap takes about 150


class FormingCore(World):
    """Stores that have just started for the first time; the first one is told to bootstrap the core."""

    def __init__(self, seed: int, tolerated_failures: int) -> None:
        super().__init__(seed, tolerated_failures)
        self.fault_rate = 0.0

    def run_steps(self, steps: int) -> None:
        """Take random steps."""
        for _ in range(steps):
            self.step()

    def run(self, seconds: float) -> None:
        """Run the machines that are up for a time."""
        for _ in range(int(seconds / TICK_S)):
            self.run_tick()

    def stop_with_empty_disks(self, *machines: Machine) -> None:
        """Stop these machines with empty disks: lost, or never written to."""
        for machine in machines:
            machine.node, machine.queue, machine.disk = None, [], []

    def ready(self) -> list[Machine]:
        return [machine for machine in self.machines if machine.node and machine.node.is_ready]

    def recorded_waits(self) -> list[Waiting]:
        """Return the waits that the machines that are up have recorded."""
        events = [event for machine in self.machines if machine.node for event in machine.node.events.drain()]
        return [event for event in events if isinstance(event, Waiting)]


def isolate(world: World, machine: Machine) -> None:
    """Partition a machine from all others."""
    for other in world.machines:
        world.partitioned |= {
            (machine.node.me.id, other.node.me.id),
            (other.node.me.id, machine.node.me.id),
        }


# Unit tests come first: a run without a guard stops at its first failing test.


ME, B, C, D, E = (Store(name, f"10.0.0.{n}:1", f"10.0.0.{n}:2", f"z-{n}") for n, name in enumerate("abcde"))
SEEDS = [store.control for store in (ME, B, C)]


def announcements_of(*stores: Store, **fields) -> list[Announce]:
    return [Announce(store, True, False, **{"core": "", **fields}) for store in stores]


def test_complete_core_without_a_founder_waits_for_each_seed_and_for_founders():
    def plan_for(announcements, seeds=SEEDS):
        bootstrap = Bootstrap(ME, 1, True, 0.0)
        plans = [bootstrap.plan(False, announcements, seeds, at) for at in (0.0, UNANIMOUS_DELAY_S)]
        assert plans[0] is None
        return plans[1]

    assert not plan_for(announcements_of(B, D)), "a seed is missing; it may know of an epoch"
    assert not plan_for([*announcements_of(B), *announcements_of(C, is_founder=True)])
    assert not plan_for([*announcements_of(B), *announcements_of(C, core="a")])
    assert not plan_for([*announcements_of(B, C), *announcements_of(D, core="a")])
    assert not plan_for(announcements_of(B), [ME.control]), "only two of three stores"
    plan = plan_for(announcements_of(B, C))
    assert plan.required_voters == {"a", "b", "c"}
    assert set(plan.witnesses) == {ME, B, C}
    assert Bootstrap(B, 1, True, 0.0).plan(False, announcements_of(ME, C), SEEDS, 99.0) is None, (
        "not the smallest id"
    )


def unanimous_change() -> EpochChange:
    ids = frozenset("abc")
    return EpochChange(ME, Term(5, "a"), no_epoch(ME), (ME, B, C), 2, frozenset(), 0.0, required_voters=ids)


def prepared_message(accepted: Epoch | None) -> Prepared:
    return Prepared(Term(5, "a"), accepted, Term(0, ""), 0)


def epoch(*witnesses: Store) -> Epoch:
    return Epoch(Term(2, "b"), "b", ("b",), witnesses, core="b")


def test_core_without_a_founder_needs_the_promise_of_all():
    change = unanimous_change()
    for store_id in ("a", "b"):
        assert not change.receive(store_id, prepared_message(None), ControlState())
    assert not change.resend(ControlState())[1:], "only C is asked again, and no store to accept"
    assert change.receive("c", prepared_message(None), ControlState())
    assert change.proposed_epoch
    assert not change.newer_epoch


def test_core_is_not_bootstrapped_over_an_epoch_that_one_store_knows():
    change = unanimous_change()
    for store_id in ("a", "b"):
        change.receive(store_id, prepared_message(None), ControlState())
    assert not change.receive("c", prepared_message(epoch(B, C)), ControlState())
    assert change.newer_epoch == epoch(B, C)
    assert not change.proposed_epoch


def test_founder_votes_before_it_asks_others():
    change = EpochChange(ME, Term(1, "a"), no_epoch(ME), (ME, B, C), 2, frozenset(), 0.0)
    requests = []
    for store_id in ("a", "b", "c"):
        prepared = Prepared(Term(1, "a"), None, Term(0, ""), 0)
        requests += change.receive(store_id, prepared, ControlState())
    assert [receiver for receiver, _ in requests] == ["a"]
    assert [receiver for receiver, _ in change.resend(ControlState())] == ["a"]
    requests = change.receive("a", Accepted(change.term), ControlState())
    assert [receiver for receiver, _ in requests] == ["b", "c"]


def test_founder_record_survives_a_power_loss_and_is_void_with_the_first_vote():
    durable = Durable("a", must_bootstrap=True)
    records: list[Record] = list(durable.snapshot())
    for length in range(1, len(records) + 1):
        assert Durable.restore(records[:length]).is_founder, "any prefix of the records may be on disk"
    records += durable.accept(epoch(ME, B, C))
    assert not Durable.restore(records).is_founder
    assert not Durable.restore(durable.snapshot()).must_bootstrap


# Whole cores


@pytest.mark.parametrize("tolerated_failures", [0, 1, 2, 3])
def test_founder_opens_the_first_epoch_with_all_stores(tolerated_failures):
    world = FormingCore(1, tolerated_failures)
    world.run(1.0)
    (primary,) = world.ready()
    epoch = primary.node.epoch
    assert primary.address == "10.0.0.0:1"
    assert epoch.core == primary.node.me.id
    assert (len(epoch.witnesses), len(epoch.replicas)) == (2 * tolerated_failures + 1, tolerated_failures + 1)


@pytest.mark.parametrize("tolerated_failures", [1, 2])
def test_core_forms_after_a_power_loss_before_anything_is_on_disk(tolerated_failures):
    """No store knows that it is the founder: `bootstrap` only applies at the first start."""
    world = FormingCore(1, tolerated_failures)
    world.stop_with_empty_disks(*world.machines)
    world.heal()


@pytest.mark.parametrize("tolerated_failures", [1, 2])
@pytest.mark.parametrize("seed", range(3))
def test_core_forms_when_all_lose_power_at_any_step(tolerated_failures, seed):
    for steps in STEPS:
        world = FormingCore(seed, tolerated_failures)
        world.run_steps(steps)
        for machine in world.machines:
            world.stop(machine)
        world.heal()


@pytest.mark.parametrize("tolerated_failures", [1, 2])
@pytest.mark.parametrize("seed", range(3))
def test_core_forms_when_the_founder_and_others_lose_their_disks_at_any_step(tolerated_failures, seed):
    for steps in STEPS:
        world = FormingCore(seed, tolerated_failures)
        world.run_steps(steps)
        for machine in world.machines[:tolerated_failures]:
            world.wipe(machine)
        for machine in world.machines[tolerated_failures:]:
            world.stop(machine)
        world.heal()


@pytest.mark.parametrize("tolerated_failures", [1, 2])
def test_core_forms_once_when_the_founder_is_isolated_at_any_step(tolerated_failures):
    for steps in STEPS:
        world = FormingCore(2, tolerated_failures)
        world.run_steps(steps)
        isolate(world, world.machines[0])
        world.run(6.0)
        assert len(world.ready()) <= 1
        world.heal()


@pytest.mark.parametrize("tolerated_failures", [1, 2])
def test_incomplete_core_is_not_bootstrapped_and_reports_who_is_missing(tolerated_failures):
    """Even with one store missing: a disk lost before that store joins would leave no majority."""
    for missing in (1, 1 + tolerated_failures):
        world = FormingCore(1, tolerated_failures)
        late = world.machines[1 : 1 + missing]
        world.stop_with_empty_disks(*late)
        world.run(20.0)
        assert not world.ready()
        waits = [wait for wait in world.recorded_waits() if wait.wait is WaitReason.STORES]
        assert waits[-1].missing == tuple(machine.address for machine in late[:2])
        assert len(waits) == 4, "after 1, 3, 7 and 15 s"
        for machine in late:
            world.start(machine)
        world.run(2.0)
        assert world.ready()


def test_founder_beside_a_core_joins_it():
    """The founder lost its disk, and its settings still say `bootstrap`."""
    world = FormingCore(1, 1)
    world.run(1.0)
    a = world.machines[0]
    world.propose(a)
    world.run(0.5)
    core = a.node.durable.core
    world.wipe(a)
    a.start_count = 0  # it is told to bootstrap again
    world.start(a)
    assert a.node.durable.is_founder
    world.run(8.0)
    (primary,) = world.ready()
    assert primary is not a
    assert primary.node.epoch.core == core
    assert a.node.me.id in primary.node.epoch.witness_ids
    assert not a.node.durable.is_founder


def test_founder_that_hears_one_store_of_a_core_waits():
    world = FormingCore(1, 1)
    world.run(1.0)
    a, b, c = world.machines
    world.propose(a)
    world.run(0.5)
    world.wipe(a)
    a.start_count = 0
    for machine in (b, c):
        world.stop(machine)
    world.start(a)
    world.start(b)
    world.run(10.0)
    assert not world.ready()
    world.start(c)
    world.run(5.0)
    (primary,) = world.ready()
    assert primary.node.durable.state.evacuated == ("z0",)


def test_two_cores_that_hear_each_other_stay_apart_and_report_it():
    """Two cores were bootstrapped by mistake, each with its own state; neither admits the other's stores."""
    one, other = FormingCore(1, 0), FormingCore(2, 0)
    other.machines[0].address = "10.0.9.0:1"
    for world in (one, other):
        world.stores += 10 * (world is other)
        world.stop_with_empty_disks(world.machines[0])
        world.machines[0].start_count = 0
        world.machines[0].address = "10.0.0.0:1"
        world.start(world.machines[0])
        world.run(0.5)
        world.propose(world.machines[0])
        world.run(0.5)
    (a,), (b,) = one.machines, other.machines
    for _ in range(3):
        a.node.receive(b.node.me.id, b.node.announcement(), a.now)
    seen = [event for event in a.node.events.drain() if isinstance(event, ForeignStoreSeen)]
    assert [event.store for event in seen] == [b.node.me.id]
    assert b.node.me.id not in a.node.context.peers.ids()
    a.node.receive(b.node.me.id, Heartbeat(_newer(b), 1), a.now)
    assert a.node.is_primary
    assert a.node.epoch.core == a.node.me.id


def _newer(machine: Machine) -> Epoch:
    """Return an epoch of that machine's core that is newer than any other."""
    return Epoch(Term(99, "z"), "z", ("z",), (machine.node.me,), core=machine.node.me.id)

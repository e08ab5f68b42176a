"""Five stores tolerate two losses: two stores fail, and two more disks are lost at any moment of the repair.

Each scenario disturbs two serving stores. After some random steps two disks are lost, as far as that is
tolerated (`World.can_wipe`), and all other machines lose power. No acknowledged write may be lost, and a
primary must serve once all machines are back.
"""

from __future__ import annotations

import copy
import functools
from collections.abc import Callable

import pytest

from tests.replication.deployment import Machine
from tests.replication.test_bootstrap import isolate
from tests.replication.world import World

MOMENTS = range(0, 700, 50)  # steps after the first losses; a repair takes 200 to 600
SEEDS = 3
WRITES = 3  # acknowledged before the first losses


class FiveStores(World):
    """Five serving stores with acknowledged writes.

    Attributes:
        order: The machines: first the primary, then the other replicas, then the rest.
    """

    def __init__(self, seed: int) -> None:
        super().__init__(seed, tolerated_failures=2)
        self.fault_rate = 0.0
        primary = self.heal()
        replicas = primary.epoch.replicas

        def rank(machine: Machine) -> tuple[bool, bool]:
            return machine.node is not primary, machine.node.me.id not in replicas

        self.order = sorted(self.machines, key=rank)
        self.run_steps(200)
        while self.acknowledged() < WRITES:
            self.step()

    def acknowledged(self) -> int:
        return sum(write.acknowledged for write in self.writes)

    def run_steps(self, steps: int) -> None:
        for _ in range(steps):
            self.step()

    def lose(self, machine: Machine) -> None:
        """Lose a disk if that is tolerated, else only the power."""
        if self.can_wipe(machine):
            self.wipe(machine)
        else:
            self.stop(machine)

    def replace(self, machine: Machine) -> None:
        """Replace a machine that is lost for good, if that loss is tolerated."""
        if self.can_wipe(machine):
            self.machines.remove(machine)
            machine.node = None
            self._add()

    def replace_as_planned(self, machine: Machine) -> None:
        self._add()
        machine.node.leave(machine.now)
        machine.leaving_since, machine.is_decommissioned = machine.now, True
        self.pump(machine)


def kill(*slots: int) -> Callable[[FiveStores], None]:
    def act(world: FiveStores) -> None:
        for slot in slots:
            world.stop(world.order[slot])

    return act


def wipe(*slots: int) -> Callable[[FiveStores], None]:
    def act(world: FiveStores) -> None:
        for slot in slots:
            world.lose(world.order[slot])
            world.start(world.order[slot])

    return act


def replace(*slots: int) -> Callable[[FiveStores], None]:
    return lambda world: [world.replace(world.order[slot]) for slot in slots] and None


def replace_planned(*slots: int) -> Callable[[FiveStores], None]:
    return lambda world: [world.replace_as_planned(world.order[slot]) for slot in slots] and None


def replace_one_planned_one_lost(world: FiveStores) -> None:
    world.replace_as_planned(world.order[1])
    world.replace(world.order[2])


def isolate_all(*slots: int) -> Callable[[FiveStores], None]:
    return lambda world: [isolate(world, world.order[slot]) for slot in slots] and None


def return_after_slots_reassigned(world: FiveStores) -> None:
    for slot in (1, 2):
        world.stop(world.order[slot])
    for machine in world.machines:
        machine.now += 3.0  # after the replacement timeout: their slots are reassigned
    world._add()
    world._add()
    world.run_steps(150)
    for slot in (1, 2):
        world.start(world.order[slot])


def restart_two_at_a_time(world: FiveStores) -> None:
    for slot in (0, 1):
        machine = world.order[slot]
        machine.node.leave(machine.now)
        machine.leaving_since = machine.now
        world.pump(machine)
    world.run_steps(60)
    for machine in world.machines:
        if machine.node is None:
            world.start(machine)


def three_killed_and_restarted(world: FiveStores) -> None:
    kill(0, 1, 2)(world)
    for slot in (0, 1, 2):
        world.run_steps(40)
        world.start(world.order[slot])


SCENARIOS: dict[str, Callable[[FiveStores], None]] = {
    "the primary and a backup killed": kill(0, 1),
    "both backups killed": kill(1, 2),
    "the primary and a backup wiped": wipe(0, 1),
    "both backups wiped": wipe(1, 2),
    "two non-replicas wiped": wipe(3, 4),
    "the primary and another isolated": isolate_all(0, 3),
    "the primary and a backup replaced after their loss": replace(0, 1),
    "two non-replicas replaced after their loss": replace(3, 4),
    "two replaced as planned": replace_planned(0, 1),
    "one replaced as planned, one after its loss": replace_one_planned_one_lost,
    "two return after their slots were reassigned": return_after_slots_reassigned,
    "restarted two at a time": restart_two_at_a_time,
    "three killed and restarted one by one": three_killed_and_restarted,
}


@functools.cache
def serving(seed: int) -> FiveStores:
    return FiveStores(seed)


@pytest.mark.parametrize("name", SCENARIOS)
def test_next_two_losses_at_any_moment_lose_nothing_acknowledged(name):
    later_writes = 0  # acknowledged after the first losses
    for seed in range(SEEDS):
        for moment in MOMENTS:
            world = copy.deepcopy(serving(seed))
            before = world.acknowledged()
            SCENARIOS[name](world)
            world.run_steps(moment)
            later_writes += world.acknowledged() - before
            for machine in world.rng.sample(world.machines, 2):
                world.lose(machine)
            for machine in world.machines:
                world.stop(machine)
            primary = world.heal()
            writes = [write for write in world.writes if write.acknowledged]
            world.expect_writes(
                primary, writes, f"after {name}, {moment} steps, seed {seed}, the primary lacks"
            )
    assert later_writes


def test_drawn_moments_lie_before_and_after_the_repair():
    """The drawn moments cover times before and after the next epoch, and disks are lost at many of them."""
    before = after = lost = 0
    for moment in MOMENTS:
        world = copy.deepcopy(serving(0))
        epoch = world.newest_epoch()
        kill(1, 2)(world)
        world.run_steps(moment)
        is_after = world.newest_epoch().term > epoch.term
        before, after = before + (not is_after), after + is_after
        lost += sum(world.can_wipe(machine) for machine in world.machines)
    assert before
    assert after
    assert lost

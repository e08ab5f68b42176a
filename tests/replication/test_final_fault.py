"""Disks are lost right after a change was acknowledged, and all other machines lose power at that moment.

As many disks are lost as is tolerated. The other machines include those that do not count for the quorum, and
those that have just come.
"""

from __future__ import annotations

import pytest

from tests.replication.deployment import Machine
from tests.replication.world import World

SEEDS = 40
STEPS = 600  # with random faults, before the final one
MAX_STEPS_TO_ACKNOWLEDGEMENT = 3000
UNCOUNTED_MACHINES = 2


class MixedWorld(World):
    """Machines that count for the quorum, and some that do not."""

    def __init__(self, seed: int, tolerated_failures: int) -> None:
        super().__init__(seed, tolerated_failures)
        for index in range(UNCOUNTED_MACHINES):
            machine = Machine(f"10.0.2.{index}:1", counts_for_quorum=False)
            self.machines.append(machine)
            self.start(machine)

    def can_wipe(self, machine: Machine) -> bool:
        """Return whether losing this disk is tolerated: faults before the final one leave uncounted disks."""
        return machine.counts_for_quorum and super().can_wipe(machine)

    def step_until_acknowledged(self) -> bool:
        """Let the machines recover until a write is acknowledged while the loss of a disk is tolerated.

        Returns:
            Whether that happened in time; the recovery need not be complete.
        """
        self.fault_rate = 0.0
        self.partitioned.clear()
        for machine in self.machines:
            if machine.node is None:
                self.start(machine)
        for _ in range(MAX_STEPS_TO_ACKNOWLEDGEMENT):
            before = len(self.acknowledged_writes())
            self.step()
            is_acknowledged = len(self.acknowledged_writes()) > before
            if is_acknowledged and any(self.can_wipe(machine) for machine in self.machines):
                return True
        return False

    def acknowledged_writes(self):
        return [write for write in self.writes if write.acknowledged]

    def lose_disks_and_power(self) -> int:
        """Lose disks, and at that moment the power of all others; return the number of counted disks."""
        wiped = 0
        for machine in self.rng.sample(self.machines, len(self.machines)):
            if not machine.counts_for_quorum and self.rng.random() < 0.5:
                self.wipe(machine)
            elif wiped < self.tolerated_failures and self.can_wipe(machine):
                self.wipe(machine)
                wiped += 1
        for machine in self.machines:
            self.stop(machine)
        self.pending.clear()
        return wiped


@pytest.mark.parametrize("tolerated_failures", [1, 2])
def test_disks_lost_at_the_moment_at_which_all_others_lose_power_lose_nothing_acknowledged(
    tolerated_failures,
):
    acknowledged = wiped = 0
    for seed in range(SEEDS):
        world = MixedWorld(seed, tolerated_failures)
        for _ in range(world.rng.randrange(STEPS)):
            world.step()
        acknowledged += world.step_until_acknowledged()
        wiped += world.lose_disks_and_power()
        primary = world.heal()
        world.expect_writes(primary, world.acknowledged_writes(), f"seed {seed}: the primary lacks")
    assert acknowledged > SEEDS / 2
    assert wiped > SEEDS / 2, "disks are lost in most plays"


def test_machines_that_do_not_count_are_never_witnesses():
    for seed in range(SEEDS):
        world = MixedWorld(seed, 1)
        primary = world.heal()
        uncounted = {m.node.me.id for m in world.machines if not m.counts_for_quorum}
        assert not uncounted & {*primary.epoch.witness_ids, *primary.epoch.replicas}

"""A core of three stores that serves, whose messages and syncs a test lets through one by one."""

from __future__ import annotations

from collections.abc import Callable

from fordtrestle.replication.candidate import RESEND_INTERVAL_S
from fordtrestle.replication.epoch_plan import EpochPlan
from fordtrestle.replication.events import Reason
from tests.replication.deployment import Envelope, Machine
from tests.replication.world import InvariantError, World


class ServingCore(World):
    """Three stores that serve, of which A is primary, B its backup and C the third witness."""

    def __init__(self) -> None:
        super().__init__(seed=5)
        primary = self.heal()
        self.a = next(machine for machine in self.machines if machine.node is primary)
        backup = primary.epoch.replicas[1]
        self.b = next(machine for machine in self.machines if machine.node.me.id == backup)
        (self.c,) = [machine for machine in self.machines if machine not in (self.a, self.b)]
        self.exchange_all()
        for _ in range(60):
            for machine in self.machines:
                self.tick(machine, 0.05)
                self.announce(machine)
            self.exchange_all()
        if not all(self.follows(machine) for machine in self.machines):
            raise InvariantError("a store never catches up")

    def follows(self, machine: Machine) -> bool:
        """Whether a store holds the primary's state."""
        held, newest = machine.node.durable, self.a.node.durable
        return (held.installed_term, held.state) == (newest.installed_term, newest.state)

    def exchange_all(
        self, *among: Machine, lost: Callable[[Envelope], bool] = lambda envelope: False
    ) -> None:
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

    def run_candidate(self, machine: Machine, *among: Machine) -> None:
        """Let a machine open the next epoch as far as these others let it."""
        accepted = machine.node.durable.accepted_epoch
        machine.node.candidate.start(
            EpochPlan(accepted, accepted.witnesses, Reason.PRIMARY_LOST), machine.now
        )
        self.pump(machine)
        self.exchange_all(machine, *among)
        change = machine.node.candidate.epoch_change
        if change and not change.installing:  # it waits for stores that hold its state
            self.tick(machine, RESEND_INTERVAL_S)
            self.exchange_all(machine, *among)

    def acknowledge(self, machine: Machine, *among: Machine) -> bool:
        """Write at a machine that takes itself for primary; whether it was acknowledged."""
        before = len(self.writes)
        self.propose(machine)
        self.exchange_all(machine, *among)
        self.check()
        return len(self.writes) > before and self.writes[-1].acknowledged

    def take_messages(self, kind: type) -> list:
        """Take messages of a kind off the links."""
        taken = [envelope for envelope in self.pending if isinstance(envelope.message, kind)]
        self.pending = [envelope for envelope in self.pending if envelope not in taken]
        return taken

    def heal_and_check(self) -> None:
        """Let all heal and hold what was acknowledged against it."""
        primary = self.heal()
        self.expect(primary, [write for write in self.writes if write.acknowledged], "the primary lacks")

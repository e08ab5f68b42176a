"""Guards of the replication, each with a patch that removes it; the tests must then detect a violation."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import pytest

from fordtrestle.replication import epoch_change as epoch_change_module
from fordtrestle.replication import messages as wire
from fordtrestle.replication import pre_vote as pre_vote_module
from fordtrestle.replication.durable import Durable
from fordtrestle.replication.epoch_change import EpochChange
from fordtrestle.replication.epochs import NO_TERM, Epoch, is_majority
from fordtrestle.replication.node import Node
from fordtrestle.replication.primary import Primary
from tests.replication.deployment import Machine
from tests.replication.world import World

Removal = Callable[[pytest.MonkeyPatch], None]


def _promises_are_forgotten(patch: pytest.MonkeyPatch) -> None:
    original = Durable.prepare
    patch.setattr(Durable, "prepare", lambda self, term: None if original(self, term) is None else [])


def _older_terms_are_prepared(patch: pytest.MonkeyPatch) -> None:
    def prepare(self, term):
        self.prepared_term = term
        return [self._vote()]

    patch.setattr(Durable, "prepare", prepare)


def _older_epochs_are_accepted(patch: pytest.MonkeyPatch) -> None:
    def accept(self, epoch):
        self.prepared_term, self.accepted_epoch = epoch.term, epoch
        return self._adopt(epoch)

    patch.setattr(Durable, "accept", accept)


def _appends_pass_the_fence(patch: pytest.MonkeyPatch) -> None:
    def append(self, term, sequence, change):
        if sequence > self.state.sequence + 1:
            return None
        if sequence <= self.state.sequence:
            return []
        self.state = self.state.apply(change)
        return [wire.Entry(term, sequence, change)]

    patch.setattr(Durable, "append", append)


def _appends_may_leave_gaps(patch: pytest.MonkeyPatch) -> None:
    original = Durable.append

    def append(self, term, sequence, change):
        if term == self.installed_term and term >= self.prepared_term and sequence > self.state.sequence + 1:
            self.state = replace(self.state.apply(change), sequence=sequence)
            return [wire.Entry(term, sequence, change)]
        return original(self, term, sequence, change)

    patch.setattr(Durable, "append", append)


def _earlier_witnesses_are_not_asked(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Epoch, "quorums", property(lambda self: (self.witness_ids,)))
    patch.setattr(
        EpochChange, "quorums", property(lambda self: (tuple(store.id for store in self.witnesses),))
    )


def _any_candidate_may_open(patch: pytest.MonkeyPatch) -> None:
    def patched(self, sender, message, state):
        self.prepared[sender] = (message.installed_term, message.sequence)
        return self._begin_installing(state, may_wait=True)

    patch.setattr(EpochChange, "_on_prepared", patched)


def _state_is_not_installed_first(patch: pytest.MonkeyPatch) -> None:
    original = EpochChange._propose

    def propose(self, base_state=None):
        self.installed.update(self.installing)
        return original(self, base_state)

    patch.setattr(EpochChange, "_propose", propose)


def _one_replica_is_enough(patch: pytest.MonkeyPatch) -> None:
    original = Primary.on_appended

    def patched(self, sender, message):
        if self.leadership and message.term == self.leadership.epoch.term:
            for replica in self.leadership.epoch.replicas:
                original(self, replica, message)

    patch.setattr(Primary, "on_appended", patched)


def _messages_overtake_the_disk(patch: pytest.MonkeyPatch) -> None:
    original = World.pump

    def pump(self, machine: Machine) -> None:
        original(self, machine)
        if machine.queue and machine.queue[-1].messages:
            effects = machine.queue[-1]
            own = [pair for pair in effects.messages if pair[0] == machine.node.me.id]
            others = [pair for pair in effects.messages if pair[0] != machine.node.me.id]
            effects.messages = own
            for receiver, message in others:
                self.send(machine, receiver, message)

    patch.setattr(World, "pump", pump)


def _one_vote_opens(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(epoch_change_module, "has_majorities", lambda voted, quorums: bool(voted))


def _reads_are_not_confirmed(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Node, "is_confirmed", lambda self, number: self.is_primary)


def _a_wiped_disk_keeps_its_name(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(World, "new_store", lambda self, machine: Durable(machine.address))


def _votes_are_lost_at_a_restart(patch: pytest.MonkeyPatch) -> None:
    original = Durable.restore.__func__

    def restore(cls, records):
        restored = original(cls, records)
        if restored and restored.accepted_epoch:
            restored.prepared_term = restored.accepted_epoch.term
        elif restored:
            restored.prepared_term = NO_TERM
        return restored

    patch.setattr(Durable, "restore", classmethod(restore))


def _writes_are_acknowledged_before_the_epoch_is_committed(patch: pytest.MonkeyPatch) -> None:
    def is_ready(self) -> bool:
        return self.is_primary and not self.candidate.epoch_change

    patch.setattr(Node, "is_ready", property(is_ready))


def _half_is_a_majority(patch: pytest.MonkeyPatch) -> None:
    def half(voted, witnesses):
        return 2 * sum(witness in voted for witness in witnesses) >= len(witnesses) - 1

    patch.setattr(
        epoch_change_module, "has_majorities", lambda voted, quorums: all(half(voted, q) for q in quorums)
    )
    patch.setattr(
        pre_vote_module, "has_majorities", lambda voted, quorums: all(half(voted, q) for q in quorums)
    )
    assert is_majority(("a",), ("a",))


FOUND_BY_SEARCH: dict[str, Removal] = {
    "a replica leaves no gap": _appends_may_leave_gaps,
    "all replicas hold a write before it is acknowledged": _one_replica_is_enough,
    "a majority of witnesses opens an epoch": _one_vote_opens,
    "half of the witnesses are no majority": _half_is_a_majority,
    "a wiped disk is another store": _a_wiped_disk_keeps_its_name,
}
FOUND_BY_SCHEDULE: dict[str, Removal] = {
    "earlier witnesses vote until the epoch is committed": _earlier_witnesses_are_not_asked,
    "the state is on all replicas before the epoch": _state_is_not_installed_first,
    "a promise is synced before it is sent": _promises_are_forgotten,
    "promises outlive a restart": _votes_are_lost_at_a_restart,
    "no older term is prepared": _older_terms_are_prepared,
    "no older epoch is accepted": _older_epochs_are_accepted,
    "a replica rejects writes of older epochs": _appends_pass_the_fence,
    "only a replica of the newest epoch opens the next": _any_candidate_may_open,
    "a read is confirmed after it was asked": _reads_are_not_confirmed,
    "nothing is sent before it is synced": _messages_overtake_the_disk,
    "nothing is acknowledged with too few replicas": _writes_are_acknowledged_before_the_epoch_is_committed,
}

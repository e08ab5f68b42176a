"""What one store holds on disk: its votes as a witness and the state as a replica. Pure.

Every method that changes something returns the records that have to be synced before anyone is told.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from fordtrestle.replication.epochs import NO_TERM, Epoch, Term, is_same_core
from fordtrestle.replication.messages import Entry, Founder, Record, Snapshot, Vote
from fordtrestle.replication.state import Change, ControlState


@dataclass(slots=True)
class Durable:
    """One store. `installed` is the term under which its state was last made whole; `must_bootstrap`: as the
    disk was found empty.
    """

    store: str
    must_bootstrap: bool = False
    prepared_term: Term = NO_TERM
    accepted_epoch: Epoch | None = None
    installed_term: Term = NO_TERM
    state: ControlState = field(default_factory=ControlState)

    @classmethod
    def restore(cls, records: Iterable[Record]) -> Durable | None:
        """What the records of a disk come to; nothing if it never held a store."""
        found: Durable | None = None
        for record in records:
            if isinstance(record, Founder):
                found = found or cls(record.store)
                found.must_bootstrap = True
            elif isinstance(record, Vote):
                found = found or cls(record.store)
                found.prepared_term, found.accepted_epoch = record.prepared_term, record.accepted_epoch
            elif found and isinstance(record, Snapshot):
                found.installed_term, found.state = record.term, record.state
            elif found and isinstance(record, Entry) and found._goes_on_with(record):
                found.state = found.state.apply(record.change)
        return found

    @property
    def is_founder(self) -> bool:
        """Whether this store is to found the core, and has not yet voted for any epoch."""
        return self.must_bootstrap and self.accepted_epoch is None

    @property
    def core(self) -> str:
        """The identity of the core that this store belongs to; empty while it knows of no epoch."""
        return self.accepted_epoch.core if self.accepted_epoch else ""

    def snapshot(self) -> Sequence[Record]:
        """The fewest records that restore this store.

        That it is to found goes first: of records that lose power some first ones may stay.
        """
        wish = [Founder(self.store)] if self.is_founder else []
        return [*wish, self._vote(), Snapshot(self.installed_term, self.state)]

    def prepare(self, term: Term) -> Sequence[Record] | None:
        """Promise a term; nothing where a newer one was promised."""
        if term < self.prepared_term:
            return None
        if term == self.prepared_term:
            return []
        self.prepared_term = term
        return [self._vote()]

    def accept(self, epoch: Epoch) -> Sequence[Record] | None:
        """Hold an epoch as the newest; nothing where a newer term was promised.

        A store that holds the candidate's state already (`Epoch.kept`) goes on from there.
        """
        if epoch.term < self.prepared_term:
            return None
        if self.accepted_epoch and epoch.term == self.accepted_epoch.term:
            return []
        self.prepared_term, self.accepted_epoch = epoch.term, epoch
        return self._adopt(epoch)

    def learn_epoch(self, epoch: Epoch) -> Sequence[Record]:
        """Take in an epoch that another store tells of."""
        known = self.accepted_epoch
        if known and (epoch.term < known.term or epoch == known):
            return []
        if self.core and not is_same_core(epoch.core, self.core):
            return []
        if known and epoch.term == known.term and epoch.earlier_quorums:
            return []  # it is known by now that this epoch is open
        self.prepared_term, self.accepted_epoch = max(self.prepared_term, epoch.term), epoch
        return self._adopt(epoch)

    def install(self, term: Term, state: ControlState) -> Sequence[Record] | None:
        """Take over a candidate's state; nothing where a newer term was promised."""
        records = self.prepare(term)
        if records is None or (term == self.installed_term and state.sequence < self.state.sequence):
            return None
        self.installed_term, self.state = term, state
        return [*records, Snapshot(term, state)]

    def append(self, term: Term, sequence: int, change: Change) -> Sequence[Record] | None:
        """Take one write of the epoch that this state was installed for; nothing where it does not fit."""
        if term != self.installed_term or term < self.prepared_term or sequence > self.state.sequence + 1:
            return None
        if sequence <= self.state.sequence:
            return []
        self.state = self.state.apply(change)
        return [Entry(term, sequence, change)]

    def _goes_on_with(self, entry: Entry) -> bool:
        """Whether an entry on disk is the next write of the state before it.

        A snapshot that was written in the place of refused records may hold later entries already, or be the
        state of a later term than theirs: those are void.
        """
        return entry.term == self.installed_term and entry.sequence == self.state.sequence + 1

    def _adopt(self, epoch: Epoch) -> Sequence[Record]:
        """The vote for an epoch, and the state once more as this epoch's where it was kept as it is."""
        records: list[Record] = [self._vote()]
        if epoch.base_state == (self.installed_term, self.state.sequence):
            self.installed_term = epoch.term
            records.append(Snapshot(self.installed_term, self.state))
        return records

    def _vote(self) -> Vote:
        return Vote(self.store, self.prepared_term, self.accepted_epoch)

"""What one store holds on disk: its votes as a witness and the state as a replica. Pure.

Every method that changes something returns the records that have to be synced before any message that rests
on them is sent.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from fordtrestle.replication.epochs import NO_TERM, Epoch, Term, is_same_core
from fordtrestle.replication.messages import Entry, Founder, Record, Snapshot, Vote
from fordtrestle.replication.state import Change, ControlState


@dataclass(slots=True)
class Durable:
    """What one store has promised, accepted and installed.

    Attributes:
        store: Its id.
        must_bootstrap: Whether it was told to bootstrap the core, as its disk was found empty.
        prepared_term: The newest term that it has promised to take no part below.
        accepted_epoch: The newest epoch that it has accepted or learned of.
        installed_term: The term under which its state was last installed whole.
        state: The state.
    """

    store: str
    must_bootstrap: bool = False
    prepared_term: Term = NO_TERM
    accepted_epoch: Epoch | None = None
    installed_term: Term = NO_TERM
    state: ControlState = field(default_factory=ControlState)

    @classmethod
    def restore(cls, records: Iterable[Record]) -> Durable | None:
        """What the records of a disk come to; None if it never held a store."""
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
            elif found and isinstance(record, Entry) and found._is_next(record):
                found.state = found.state.apply(record.change)
        return found

    @property
    def is_founder(self) -> bool:
        """Whether this store is to bootstrap the core, and has not yet voted for any epoch."""
        return self.must_bootstrap and self.accepted_epoch is None

    @property
    def core(self) -> str:
        """The identity of the core that this store belongs to; empty while it knows of no epoch."""
        return self.accepted_epoch.core if self.accepted_epoch else ""

    def snapshot(self) -> Sequence[Record]:
        """The fewest records that restore this store.

        Guards against a loss of power amid the first write: of the records some first ones may stay, and a
        founder's disk has to say that it is one as soon as it says anything. So that record goes first.
        """
        founder = [Founder(self.store)] if self.is_founder else []
        return [*founder, self._vote(), Snapshot(self.installed_term, self.state)]

    def prepare(self, term: Term) -> Sequence[Record] | None:
        """Promise to take no part in any older term (Paxos' phase 1).

        Guards against two candidates at once, and against an older primary that was cut off.

        Returns:
            The records to sync, none where that was promised before; None where a newer term was.
        """
        if term < self.prepared_term:
            return None
        if term == self.prepared_term:
            return []
        self.prepared_term = term
        return [self._vote()]

    def accept(self, epoch: Epoch) -> Sequence[Record] | None:
        """Hold an epoch as the newest (Paxos' phase 2).

        A store that holds the candidate's state already (`Epoch.base_state`) goes on from there. Guards
        against an epoch that comes late, after a newer term was prepared.

        Returns:
            The records to sync, none where it is held already; None where a newer term was prepared.
        """
        if epoch.term < self.prepared_term:
            return None
        if self.accepted_epoch and epoch.term == self.accepted_epoch.term:
            return []
        self.prepared_term, self.accepted_epoch = epoch.term, epoch
        return self._adopt(epoch)

    def learn_epoch(self, epoch: Epoch) -> Sequence[Record]:
        """Take in an epoch that others have accepted, as a learner of Paxos does.

        Guards against what is older than what this store holds, is of another core, or would have earlier
        witness sets asked again where it is known that the epoch is open.

        Returns:
            The records to sync; none where nothing is new.
        """
        known = self.accepted_epoch
        if known and (epoch.term < known.term or epoch == known):
            return []
        if self.core and not is_same_core(epoch.core, self.core):
            return []
        if known and epoch.term == known.term and epoch.earlier_quorums:
            return []
        self.prepared_term, self.accepted_epoch = max(self.prepared_term, epoch.term), epoch
        return self._adopt(epoch)

    def install(self, term: Term, state: ControlState) -> Sequence[Record] | None:
        """Take over the whole state of a candidate or primary.

        Guards against a state that comes late: one that is behind the writes of the same term is not taken.

        Returns:
            The records to sync; None where a newer term was prepared, or the state is behind.
        """
        records = self.prepare(term)
        if records is None or (term == self.installed_term and state.sequence < self.state.sequence):
            return None
        self.installed_term, self.state = term, state
        return [*records, Snapshot(term, state)]

    def append(self, term: Term, sequence: int, change: Change) -> Sequence[Record] | None:
        """Take one write of the epoch that this state was installed for.

        Guards against a primary that was superseded: once a newer term is prepared, its writes are fenced
        off. And against gaps: a write that is not the next one is not taken.

        Returns:
            The records to sync, none where the write is held already; None where it does not fit.
        """
        is_gap = sequence > self.state.sequence + 1
        if term != self.installed_term or term < self.prepared_term or is_gap:
            return None
        if sequence <= self.state.sequence:
            return []
        self.state = self.state.apply(change)
        return [Entry(term, sequence, change)]

    def _is_next(self, entry: Entry) -> bool:
        """Whether an entry on disk is the next write of the state before it.

        A snapshot that was written in the place of refused records may hold later entries already, or be the
        state of a later term than theirs: those are void.
        """
        return entry.term == self.installed_term and entry.sequence == self.state.sequence + 1

    def _adopt(self, epoch: Epoch) -> Sequence[Record]:
        """The vote for an epoch, and the state as this epoch's where it is the epoch's base state."""
        records: list[Record] = [self._vote()]
        if epoch.base_state == (self.installed_term, self.state.sequence):
            self.installed_term = epoch.term
            records.append(Snapshot(self.installed_term, self.state))
        return records

    def _vote(self) -> Vote:
        return Vote(self.store, self.prepared_term, self.accepted_epoch)

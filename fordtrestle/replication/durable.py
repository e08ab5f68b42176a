"""The durable state of one store: its votes as a witness and the control state as a replica. Pure.

Every method that changes the state returns the records that must be synced before any message that depends
on the change is sent.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from fordtrestle.replication.epochs import NO_TERM, Epoch, Term, is_same_core
from fordtrestle.replication.messages import Entry, Founder, Record, Snapshot, Vote
from fordtrestle.replication.state import Change, ControlState


@dataclass(slots=True)
class Durable:
    """The promises, the accepted epoch and the installed state of one store.

    Attributes:
        store: The id of the store.
        must_bootstrap: Whether it was told to bootstrap the core when its disk was found empty.
        prepared_term: The newest term it has prepared; it rejects requests of older terms.
        accepted_epoch: The newest epoch that it has accepted or learned of.
        installed_term: The term under which its whole state was last installed.
        state: The control state.
        replacements: How often the state was replaced as a whole since this process started. Writes that were
            not committed may be missing from the new state, and others may have their sequences.
    """

    store: str
    must_bootstrap: bool = False
    prepared_term: Term = NO_TERM
    accepted_epoch: Epoch | None = None
    installed_term: Term = NO_TERM
    state: ControlState = field(default_factory=ControlState)
    replacements: int = 0

    @classmethod
    def restore(cls, records: Iterable[Record]) -> Durable | None:
        """Rebuild a store from the records on its disk; return None if they contain no store."""
        restored: Durable | None = None
        for record in records:
            if isinstance(record, Founder):
                restored = restored or cls(record.store)
                restored.must_bootstrap = True
            elif isinstance(record, Vote):
                restored = restored or cls(record.store)
                restored.prepared_term, restored.accepted_epoch = record.prepared_term, record.accepted_epoch
            elif restored and isinstance(record, Snapshot):
                restored.installed_term, restored.state = record.term, record.state
            elif restored and isinstance(record, Entry) and restored._is_next(record):
                restored.state = restored.state.apply(record.change)
        return restored

    @property
    def is_founder(self) -> bool:
        """Whether this store is to bootstrap the core and has not voted for any epoch yet."""
        return self.must_bootstrap and self.accepted_epoch is None

    @property
    def core(self) -> str:
        """The id of the core that this store belongs to; empty while it knows of no epoch."""
        return self.accepted_epoch.core if self.accepted_epoch else ""

    def snapshot(self) -> Sequence[Record]:
        """Return the shortest list of records that restores this store.

        Guards against a power loss during the first write, after which only a prefix of the records may be on
        disk: the founder record goes first, so that every non-empty prefix contains it.
        """
        founder = [Founder(self.store)] if self.is_founder else []
        return [*founder, self._vote(), Snapshot(self.installed_term, self.state)]

    def prepare(self, term: Term) -> Sequence[Record] | None:
        """Promise to reject requests of any older term (phase 1 of Paxos).

        Guards against concurrent candidates and against an older primary that was partitioned.

        Returns:
            The records to sync, empty if this term is already prepared; None if a newer term is.
        """
        if term < self.prepared_term:
            return None
        if term == self.prepared_term:
            return []
        self.prepared_term = term
        return [self._vote()]

    def accept(self, epoch: Epoch) -> Sequence[Record] | None:
        """Accept an epoch as the newest (phase 2 of Paxos).

        A store that already holds the candidate's state (`Epoch.base_state`) continues from it. Guards
        against a delayed request that arrives after a newer term was prepared.

        Returns:
            The records to sync, empty if the epoch is already accepted; None if a newer term is prepared.
        """
        if epoch.term < self.prepared_term:
            return None
        if self.accepted_epoch and epoch.term == self.accepted_epoch.term:
            return []
        self.prepared_term, self.accepted_epoch = epoch.term, epoch
        return self._adopt(epoch)

    def learn_epoch(self, epoch: Epoch) -> Sequence[Record]:
        """Adopt an epoch that other stores have accepted, as a Paxos learner does.

        Ignores an epoch that is older than the accepted one or belongs to another core, and a version of the
        accepted epoch that would require votes of earlier witness sets again although it is known to be open.

        Returns:
            The records to sync; empty if the epoch is ignored or already known.
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
        """Replace the state with that of a candidate or primary.

        Guards against a delayed message: a state older than this store's state of the same term is rejected.

        Returns:
            The records to sync; None if a newer term is prepared or the state is older.
        """
        records = self.prepare(term)
        if records is None or (term == self.installed_term and state.sequence < self.state.sequence):
            return None
        self.installed_term, self.state = term, state
        self.replacements += 1
        return [*records, Snapshot(term, state)]

    def append(self, term: Term, sequence: int, change: Change) -> Sequence[Record] | None:
        """Apply one write of the epoch that this state was installed for.

        Guards against a superseded primary, whose writes are fenced off once a newer term is prepared, and
        against gaps: a write that is ahead of the next sequence is rejected.

        Returns:
            The records to sync, empty if the write was applied before; None if it is rejected.
        """
        is_gap = sequence > self.state.sequence + 1
        if term != self.installed_term or term < self.prepared_term or is_gap:
            return None
        if sequence <= self.state.sequence:
            return []
        self.state = self.state.apply(change)
        return [Entry(term, sequence, change)]

    def _is_next(self, entry: Entry) -> bool:
        """Return whether an entry on disk is the next write after the current state.

        A snapshot that was written in place of records that the disk refused may already include later
        entries, or belong to a later term than they do. Such entries are void.
        """
        return entry.term == self.installed_term and entry.sequence == self.state.sequence + 1

    def _adopt(self, epoch: Epoch) -> Sequence[Record]:
        """Return the vote for an epoch and, if the state is its base state, re-install it under its term."""
        records: list[Record] = [self._vote()]
        if epoch.base_state == (self.installed_term, self.state.sequence):
            self.installed_term = epoch.term
            records.append(Snapshot(self.installed_term, self.state))
        return records

    def _vote(self) -> Vote:
        return Vote(self.store, self.prepared_term, self.accepted_epoch)

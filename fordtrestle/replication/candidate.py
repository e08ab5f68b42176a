"""One store's way to become primary: it asks the witnesses whether they miss the primary, too (pre-votes),
and then opens an epoch. Pure.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from fordtrestle.replication.durable import Durable
from fordtrestle.replication.epoch_change import EpochChange, Outgoing
from fordtrestle.replication.epochs import NO_TERM, Epoch, Store, Term, supported
from fordtrestle.replication.events import Reason
from fordtrestle.replication.messages import Message, PreVote, PreVoteGrant

RESEND_INTERVAL_S = 0.4
EPOCH_CHANGE_TIMEOUT_S = 2.5  # an opening that takes longer is begun anew,
INSTALL_TIMEOUT_S = 20.0  # unless the whole state is on its way to replicas that are live


@dataclass(slots=True)
class Candidate:
    """Times are s of a steady clock."""

    me: Store
    replica_count: int
    epoch_change: EpochChange | None = None
    reason: Reason = Reason.BOOTSTRAP  # the opening under way, or the last one, was begun
    newest_term: Term = NO_TERM  # that was heard of: the next one exceeds it
    _granted: set[str] | None = None
    _attempt: int = 0  # of pre-votes
    _repeat_at: float = 0.0

    # pre-votes

    def stop_asking(self) -> None:
        """What was asked is void: a primary is there, or another round begins."""
        self._granted = None

    def ask(self, durable: Durable, known: Collection[str], again: bool) -> list[Outgoing]:
        """Ask the witnesses, or whoever is known where no epoch is; `again`: the same question once more,
        since answers may take longer than its repetition.
        """
        if not (again and self._granted is not None):
            self._granted, self.newest_term = set(), durable.prepared_term
            self._attempt += 1
        quorums = durable.accepted_epoch.quorums if durable.accepted_epoch else ()
        voters = {store_id for quorum in quorums for store_id in quorum} or set(known)
        return [(voter, PreVote(self._attempt)) for voter in sorted(voters)]

    def is_asking(self, grant: PreVoteGrant) -> bool:
        """Whether a grant answers what is asked now."""
        return self._granted is not None and grant.attempt == self._attempt

    def granted(self, sender: str, grant: PreVoteGrant, accepted: Epoch) -> bool:
        """Take in a grant; whether this store may open an epoch on top of the one it has accepted."""
        if self._granted is None:
            return False
        self._granted.add(sender)
        self.newest_term = max(self.newest_term, grant.prepared_term)
        return self.me.id in accepted.replicas and supported(self._granted, accepted.quorums)

    # openings

    def open(
        self,
        base: Epoch,
        witnesses: tuple[Store, ...],
        reason: Reason,
        *,
        prepared_term: Term,
        leaving: frozenset[str],
        unanimous: frozenset[str],
        now: float,
    ) -> list[Outgoing]:
        """Begin to open an epoch on top of another one."""
        newest = max(prepared_term, self.newest_term, base.term)
        term = Term(newest.number + 1, self.me.id)
        self.reason = reason
        count = self.replica_count
        self.epoch_change = EpochChange(self.me, term, base, witnesses, count, leaving, now, unanimous)
        self._granted = None
        self._repeat_at = now + RESEND_INTERVAL_S
        return self.epoch_change.start()

    def is_overdue(self, live: Collection[str], now: float) -> bool:
        """Whether the opening under way has taken too long."""
        change = self.epoch_change
        if change is None:
            return False
        installing = bool(change.installing) and not change.proposed
        bears_long = installing and set(live).issuperset(change.installing)
        return now - change.began_at > (INSTALL_TIMEOUT_S if bears_long else EPOCH_CHANGE_TIMEOUT_S)

    def repeat(self, durable: Durable, now: float) -> list[Outgoing]:
        """What is still unanswered, once more where it is time."""
        if self.epoch_change is None or now < self._repeat_at:
            return []
        self._repeat_at = now + RESEND_INTERVAL_S
        return self.epoch_change.repeat(durable.state)

    def advance(self, sender: str, message: Message, durable: Durable) -> list[Outgoing]:
        """Go on with an answer to the opening under way."""
        return self.epoch_change.receive(sender, message, durable.state) if self.epoch_change else []

    def close(self) -> EpochChange | None:
        """The opening under way is one no more; what it came to."""
        closed, self.epoch_change = self.epoch_change, None
        return closed

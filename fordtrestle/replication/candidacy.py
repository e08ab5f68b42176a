"""One store's way to become primary: it asks the witnesses whether they miss the primary, too (pre-votes),
and then opens an epoch. Pure.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from fordtrestle.replication.durable import Durable
from fordtrestle.replication.epochs import NO_TERM, Epoch, Store, Term, supported
from fordtrestle.replication.events import Why
from fordtrestle.replication.messages import Message, PreVote, PreVoteGrant
from fordtrestle.replication.opening import Opening, Outgoing

REPEAT_S = 0.4
OPENING_MOST_S = 2.5  # an opening that takes longer is begun anew,
INSTALL_MOST_S = 20.0  # unless the whole state is on its way to replicas that are live


@dataclass(slots=True)
class Candidacy:
    """Times are s of a steady clock."""

    me: Store
    replica_count: int
    opening: Opening | None = None
    why: Why = Why.FOUNDING  # the opening under way, or the last one, was begun
    newest_term: Term = NO_TERM  # that was heard of: the next one exceeds it
    _granted: set[str] | None = None
    _round: int = 0  # of pre-votes
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
            self._granted, self.newest_term = set(), durable.promised
            self._round += 1
        quorums = durable.accepted.quorums if durable.accepted else ()
        voters = {store_id for quorum in quorums for store_id in quorum} or set(known)
        return [(voter, PreVote(self._round)) for voter in sorted(voters)]

    def is_asking(self, grant: PreVoteGrant) -> bool:
        """Whether a grant answers what is asked now."""
        return self._granted is not None and grant.round == self._round

    def granted(self, sender: str, grant: PreVoteGrant, accepted: Epoch) -> bool:
        """Take in a grant; whether this store may open an epoch on top of the one it has accepted."""
        if self._granted is None:
            return False
        self._granted.add(sender)
        self.newest_term = max(self.newest_term, grant.promised)
        return self.me.id in accepted.replicas and supported(self._granted, accepted.quorums)

    # openings

    def open(
        self,
        base: Epoch,
        witnesses: tuple[Store, ...],
        why: Why,
        *,
        promised: Term,
        leaving: frozenset[str],
        unanimous: frozenset[str],
        now: float,
    ) -> list[Outgoing]:
        """Begin to open an epoch on top of another one."""
        newest = max(promised, self.newest_term, base.term)
        term = Term(newest.number + 1, self.me.id)
        self.why = why
        count = self.replica_count
        self.opening = Opening(self.me, term, base, witnesses, count, leaving, now, unanimous)
        self._granted = None
        self._repeat_at = now + REPEAT_S
        return self.opening.start()

    def is_overdue(self, live: Collection[str], now: float) -> bool:
        """Whether the opening under way has taken too long."""
        opening = self.opening
        if opening is None:
            return False
        installing = bool(opening.installing) and not opening.proposed
        bears_long = installing and set(live).issuperset(opening.installing)
        return now - opening.began > (INSTALL_MOST_S if bears_long else OPENING_MOST_S)

    def repeat(self, durable: Durable, now: float) -> list[Outgoing]:
        """What is still unanswered, once more where it is time."""
        if self.opening is None or now < self._repeat_at:
            return []
        self._repeat_at = now + REPEAT_S
        return self.opening.repeat(durable.state)

    def advance(self, sender: str, message: Message, durable: Durable) -> list[Outgoing]:
        """Go on with an answer to the opening under way."""
        return self.opening.receive(sender, message, durable.state) if self.opening else []

    def close(self) -> Opening | None:
        """The opening under way is one no more; what it came to."""
        closed, self.opening = self.opening, None
        return closed

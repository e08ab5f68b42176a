"""Who has granted a store's pre-vote: whether a `Prepare` would be granted, asked first. Pure.

Source: Ongaro, *Consensus: Bridging Theory and Practice* (the Raft dissertation), 9.6.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from fordtrestle.replication.durable import Durable
from fordtrestle.replication.epochs import NO_TERM, Epoch, Term, supported
from fordtrestle.replication.messages import Outgoing, PreVote, PreVoteGrant


@dataclass(slots=True)
class PreVoteTally:
    """The pre-vote that is asked for now, if any; `newest_term` is the one that the next term exceeds."""

    newest_term: Term = NO_TERM
    _attempt: int = 0
    _granted: set[str] | None = None  # None while nothing is asked for

    def cancel(self) -> None:
        """Void what was asked for: a primary is there, or an epoch change has started."""
        self._granted = None

    def ask(self, durable: Durable, known: Collection[str], is_repeat: bool) -> list[Outgoing]:
        """Ask the witnesses whether they suspect the primary, too.

        Args:
            durable: What this store holds.
            known: The stores to ask where no epoch is known.
            is_repeat: Whether to ask for the same attempt once more. Guards against a link on which answers
                take longer than the interval of the requests: each new attempt voids grants under way.
        """
        if not (is_repeat and self._granted is not None):
            self._granted, self.newest_term = set(), durable.prepared_term
            self._attempt += 1
        quorums = durable.accepted_epoch.quorums if durable.accepted_epoch else ()
        voters = {store_id for quorum in quorums for store_id in quorum} or set(known)
        return [Outgoing(voter, PreVote(self._attempt)) for voter in sorted(voters)]

    def is_current(self, grant: PreVoteGrant) -> bool:
        """Whether a grant answers what is asked for now, and no earlier attempt."""
        return self._granted is not None and grant.attempt == self._attempt

    def is_granted(self, sender: str, grant: PreVoteGrant, candidate: str, accepted: Epoch) -> bool:
        """Count a grant; whether the candidate may open an epoch on top of the one that it has accepted.

        Only a replica may: it holds all that was acknowledged in that epoch.
        """
        if self._granted is None:
            return False
        self._granted.add(sender)
        self.newest_term = max(self.newest_term, grant.prepared_term)
        return candidate in accepted.replicas and supported(self._granted, accepted.quorums)

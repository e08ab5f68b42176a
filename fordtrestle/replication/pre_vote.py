"""Tally of a store's pre-vote, which asks whether a `Prepare` would be granted before it is sent. Pure.

Source: Ongaro, *Consensus: Bridging Theory and Practice* (the Raft dissertation), 9.6.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from fordtrestle.replication.durable import Durable
from fordtrestle.replication.epochs import NO_TERM, Epoch, Term, has_majorities
from fordtrestle.replication.messages import Outgoing, PreVote, PreVoteGrant


@dataclass(slots=True)
class PreVoteTally:
    """Counts the grants of the current pre-vote, if any.

    Attributes:
        newest_term: The newest term that this store knows of; the term of the next epoch change exceeds it.
    """

    newest_term: Term = NO_TERM
    _attempt: int = 0
    _grants: set[str] | None = None  # by store id; None without a pre-vote

    def cancel(self) -> None:
        """Cancel the current pre-vote, because a primary was heard or an epoch change has started."""
        self._grants = None

    def request(self, durable: Durable, fallback_voters: Collection[str], is_resend: bool) -> list[Outgoing]:
        """Return the requests that ask the witnesses whether they also suspect the primary.

        Args:
            durable: The durable state of this store.
            fallback_voters: Ids of the stores to ask if no epoch is known.
            is_resend: Whether to repeat the current attempt. Guards against a link whose round trip exceeds
                the request interval: each new attempt voids the grants in flight.
        """
        if not (is_resend and self._grants is not None):
            self._grants, self.newest_term = set(), durable.prepared_term
            self._attempt += 1
        quorums = durable.accepted_epoch.quorums if durable.accepted_epoch else ()
        voters = {store_id for quorum in quorums for store_id in quorum} or set(fallback_voters)
        return [Outgoing(voter, PreVote(self._attempt)) for voter in sorted(voters)]

    def is_current(self, grant: PreVoteGrant) -> bool:
        """Return whether a grant belongs to the current attempt."""
        return self._grants is not None and grant.attempt == self._attempt

    def count_grant(self, sender: str, grant: PreVoteGrant, candidate: str, accepted: Epoch) -> bool:
        """Count a grant, and return whether the candidate may now succeed the epoch that it has accepted.

        Only a replica of the accepted epoch may, because it holds all writes acknowledged in that epoch.
        """
        if self._grants is None:
            return False
        self._grants.add(sender)
        self.newest_term = max(self.newest_term, grant.prepared_term)
        return candidate in accepted.replicas and has_majorities(self._grants, accepted.quorums)

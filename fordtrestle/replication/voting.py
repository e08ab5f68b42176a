"""What one store answers as a witness and as a replica: records to sync first, then the answer. Pure."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from fordtrestle.replication.durable import Durable
from fordtrestle.replication.epochs import Term
from fordtrestle.replication.messages import (
    Accept,
    Accepted,
    Append,
    Appended,
    Install,
    Installed,
    Prepare,
    Prepared,
    Record,
    Rejected,
    VoteRequest,
    VoteResponse,
)


@dataclass(frozen=True, slots=True)
class GrantedVote:
    """The request was granted: `records` have to be synced before the response is sent."""

    term: Term
    records: Sequence[Record]
    response: VoteResponse


def cast_vote(durable: Durable, request: VoteRequest) -> GrantedVote | Rejected | None:
    """Vote on a request of a candidate or primary.

    Guards against the race of two candidates, or of a candidate and an older primary: once a newer term was
    prepared, whatever an older one asks for is rejected, also where it was sent earlier and comes late.

    Args:
        durable: What this store holds; changed where the vote is granted.
        request: What it is asked for.

    Returns:
        The vote with its records, the rejection for a newer term, or None where the request does not fit
        what this store holds (a write that is ahead of its state): that is no fault, and is not answered.
    """
    response: VoteResponse
    match request:
        case Prepare(term):
            records = durable.prepare(term)
            response = Prepared(term, durable.accepted_epoch, durable.installed_term, durable.state.sequence)
        case Install(term, state):
            records = durable.install(term, state)
            response = Installed(term)
        case Accept(epoch):
            term = epoch.term
            records = durable.accept(epoch)
            response = Accepted(term)
        case Append(term, sequence, change):
            records = durable.append(term, sequence, change)
            response = Appended(term, durable.state.sequence)
    if records is not None:
        return GrantedVote(term, records, response)
    return Rejected(term, durable.prepared_term) if durable.prepared_term > term else None

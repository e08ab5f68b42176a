"""Decides how a store votes as a witness and as a replica: the records to sync, and the response. Pure."""

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
    """A granted vote request; `records` must be synced before the response is sent."""

    term: Term
    records: Sequence[Record]
    response: VoteResponse


def cast_vote(durable: Durable, request: VoteRequest) -> GrantedVote | Rejected | None:
    """Vote on a request of a candidate or primary.

    Guards against a race between two candidates, or between a candidate and an older primary: once a newer
    term is prepared, all requests of older terms are rejected, including delayed ones.

    Args:
        durable: The durable state of this store; changed if the vote is granted.
        request: The request.

    Returns:
        The granted vote with its records, the rejection because of a newer term, or None if the request does
        not fit the state of this store (a write ahead of its state): that is no error and gets no response.
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

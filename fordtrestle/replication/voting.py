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
)

Question = Prepare | Install | Accept | Append
Answer = Prepared | Installed | Accepted | Appended


@dataclass(frozen=True, slots=True)
class GrantedVote:
    """The question was taken: `records` have to be synced before the answer is told."""

    term: Term
    records: Sequence[Record]
    answer: Answer


def vote(durable: Durable, question: Question) -> GrantedVote | Rejected | None:
    """The answer to a question; nothing where it does not fit what this store holds, which is no fault."""
    answer: Answer
    match question:
        case Prepare(term):
            records = durable.prepare(term)
            answer = Prepared(term, durable.accepted_epoch, durable.installed_term, durable.state.sequence)
        case Install(term, state):
            records = durable.install(term, state)
            answer = Installed(term)
        case Accept(epoch):
            term = epoch.term
            records = durable.accept(epoch)
            answer = Accepted(term)
        case Append(term, sequence, change):
            records = durable.append(term, sequence, change)
            answer = Appended(term, durable.state.sequence)
    if records is not None:
        return GrantedVote(term, records, answer)
    return Rejected(term, durable.prepared_term) if durable.prepared_term > term else None

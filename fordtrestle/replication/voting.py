"""What one store answers as a witness and as a replica: records to sync first, then the answer. Pure."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from fordtrestle.replication.durable import Durable
from fordtrestle.replication.epochs import Ballot
from fordtrestle.replication.messages import (
    Accept,
    Accepted,
    Append,
    Appended,
    Install,
    Installed,
    Prepare,
    Promised,
    Record,
    Rejected,
)

Question = Prepare | Install | Accept | Append
Answer = Promised | Installed | Accepted | Appended


@dataclass(frozen=True, slots=True)
class Given:
    """The question was taken: `records` have to be synced before the answer is told."""

    ballot: Ballot
    records: Sequence[Record]
    answer: Answer


def vote(durable: Durable, question: Question) -> Given | Rejected | None:
    """The answer to a question; nothing where it does not fit what this store holds, which is no fault."""
    answer: Answer
    match question:
        case Prepare(ballot):
            records = durable.promise(ballot)
            answer = Promised(ballot, durable.accepted, durable.installed, durable.state.sequence)
        case Install(ballot, state):
            records = durable.install(ballot, state)
            answer = Installed(ballot)
        case Accept(epoch):
            ballot = epoch.ballot
            records = durable.accept(epoch)
            answer = Accepted(ballot)
        case Append(ballot, sequence, change):
            records = durable.append(ballot, sequence, change)
            answer = Appended(ballot, durable.state.sequence)
    if records is not None:
        return Given(ballot, records, answer)
    return Rejected(ballot, durable.promised) if durable.promised > ballot else None

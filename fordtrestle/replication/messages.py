"""Messages between stores about epochs and writes, and the records that stores keep on disk. Pure.

The protocol is primary-backup replication; a majority of witnesses must agree on each reconfiguration
(Vertical Paxos, Lamport, Malkhi and Zhou 2009). `docs/design/versions.md` describes how messages and records
may change.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from fordtrestle.replication.epochs import UNKNOWN_CORE, Epoch, Store, Term
from fordtrestle.replication.state import Change, ControlState

UNKNOWN_SEQUENCE = -1


@dataclass(frozen=True, slots=True)
class Announce:
    """Announces that a store is up; sent to all stores at a fixed interval.

    Attributes:
        store: The sender.
        counts_for_quorum: Whether its machine may become a witness.
        is_leaving: Whether it is shutting down and waits for another store to take its slot.
        core: Id of the core that it belongs to; empty while it knows of no epoch.
        is_founder: Whether it was told to bootstrap the core and has not voted yet.
    """

    store: Store
    counts_for_quorum: bool
    is_leaving: bool
    core: str = UNKNOWN_CORE
    is_founder: bool = False


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Announces to all stores that the primary's epoch is open.

    Attributes:
        epoch: The epoch.
        number: Increases with each heartbeat of the primary.
        committed_sequence: The newest committed sequence; older versions do not send it.
    """

    epoch: Epoch
    number: int
    committed_sequence: int = UNKNOWN_SEQUENCE


@dataclass(frozen=True, slots=True)
class HeartbeatAck:
    """Acknowledges a heartbeat: the witness has prepared no term newer than this one.

    `installed_term` and `sequence` identify the state that the witness holds, as in `Prepared`.
    """

    term: Term
    number: int
    installed_term: Term
    sequence: int


@dataclass(frozen=True, slots=True)
class Resign:
    """Tells that the primary of this term stepped down: no store must wait for its election timeout."""

    term: Term


@dataclass(frozen=True, slots=True)
class PreVote:
    """Asks whether a `Prepare` would be granted (Raft dissertation, 9.6): the sender suspects the primary."""

    attempt: int


@dataclass(frozen=True, slots=True)
class PreVoteGrant:
    """Grants a pre-vote: the witness also suspects the primary; `prepared_term` is the term to exceed."""

    attempt: int
    prepared_term: Term
    accepted_epoch: Epoch | None


@dataclass(frozen=True, slots=True)
class Prepare:
    """Asks a witness to promise to reject requests of any older term (phase 1 of Paxos)."""

    term: Term


@dataclass(frozen=True, slots=True)
class Prepared:
    """Contains the promise, the newest epoch that the witness has accepted, and the state that it holds.

    A state is identified by its sequence and the term under which it was installed: two stores for which both
    are equal hold the same state.
    """

    term: Term
    accepted_epoch: Epoch | None
    installed_term: Term
    sequence: int


@dataclass(frozen=True, slots=True)
class Install:
    """Carries the whole state to a replica of an epoch that is being opened, or to a lagging store."""

    term: Term
    state: ControlState


@dataclass(frozen=True, slots=True)
class Installed:
    """Confirms that the state of the `Install` is on disk."""

    term: Term


@dataclass(frozen=True, slots=True)
class Accept:
    """Asks a witness to accept this epoch as the newest (phase 2 of Paxos)."""

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class Accepted:
    """Confirms that the epoch of the `Accept` is on disk."""

    term: Term


@dataclass(frozen=True, slots=True)
class Append:
    """Carries one write of the epoch of this term to its replicas and to its other witnesses."""

    term: Term
    sequence: int
    change: Change


@dataclass(frozen=True, slots=True)
class CommitNotice:
    """Tells the witnesses of this term that all replicas hold the writes up to `sequence`."""

    term: Term
    sequence: int


@dataclass(frozen=True, slots=True)
class Appended:
    """Confirms that all writes up to `sequence` are on disk."""

    term: Term
    sequence: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """Rejects a request: the witness has prepared a newer term than that of the request."""

    term: Term
    prepared_term: Term


VoteRequest = Prepare | Install | Accept | Append
VoteResponse = Prepared | Installed | Accepted | Appended

# Grouped by the role of a store that handles them.
ToWitness = Heartbeat | CommitNotice | Resign | PreVote | VoteRequest
ToPrimary = HeartbeatAck | Appended
ToCandidate = PreVoteGrant | Rejected | Prepared | Installed | Accepted
Message = Announce | ToWitness | ToPrimary | ToCandidate


class Outgoing(NamedTuple):
    """A message and the id of the store that it is sent to."""

    receiver: str
    message: Message


@dataclass(frozen=True, slots=True)
class Vote:
    """Record of the term that this store has prepared and the epoch that it has accepted as a witness."""

    store: str
    prepared_term: Term
    accepted_epoch: Epoch | None


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Record of the whole state and the term under which it was installed."""

    term: Term
    state: ControlState


@dataclass(frozen=True, slots=True)
class Entry:
    """Record of one write, which follows the snapshot or entry before it."""

    term: Term
    sequence: int
    change: Change


@dataclass(frozen=True, slots=True)
class Founder:
    """Record that this store was told to bootstrap the core; void once the store has accepted an epoch."""

    store: str


Record = Vote | Snapshot | Entry | Founder

"""Messages that stores exchange about epochs and writes, and the records that they put on disk. Pure.

The protocol is primary-backup replication whose reconfigurations a majority of witnesses agrees on (Vertical
Paxos, Lamport, Malkhi and Zhou 2009). How a message or record may change: `docs/design/versions.md`.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from fordtrestle.replication.epochs import UNKNOWN_CORE, Epoch, Store, Term
from fordtrestle.replication.state import Change, ControlState

UNKNOWN_SEQUENCE = -1


@dataclass(frozen=True, slots=True)
class Announce:
    """A store is up: sent to all stores at a fixed interval.

    Attributes:
        store: The sender.
        counts_for_quorum: Whether its machine may become a witness.
        is_leaving: Whether it shuts down and waits for others to take its slot.
        core: Identity of the core that it belongs to; empty while it knows of no epoch.
        is_founder: Whether it was told to bootstrap the core, and has not voted yet.
    """

    store: Store
    counts_for_quorum: bool
    is_leaving: bool
    core: str = UNKNOWN_CORE
    is_founder: bool = False


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """From the primary to all stores: its epoch is open.

    Attributes:
        epoch: The epoch.
        number: Rises with each heartbeat.
        committed_sequence: The sequence up to which writes are committed; unknown to older versions.
    """

    epoch: Epoch
    number: int
    committed_sequence: int = UNKNOWN_SEQUENCE


@dataclass(frozen=True, slots=True)
class HeartbeatAck:
    """The witness has prepared nothing newer than this term.

    `installed_term` and `sequence` tell which state it holds, as in `Prepared`.
    """

    term: Term
    number: int
    installed_term: Term
    sequence: int


@dataclass(frozen=True, slots=True)
class Resign:
    """The primary of this term has stepped down: nobody has to wait for its election time-out."""

    term: Term


@dataclass(frozen=True, slots=True)
class PreVote:
    """A store suspects its primary: would a `Prepare` be granted (Raft dissertation, 9.6)?"""

    attempt: int


@dataclass(frozen=True, slots=True)
class PreVoteGrant:
    """The witness suspects the primary as well; `prepared_term` is the term to exceed."""

    attempt: int
    prepared_term: Term
    accepted_epoch: Epoch | None


@dataclass(frozen=True, slots=True)
class Prepare:
    """Asks a witness to promise that it takes no part in any older term (Paxos' phase 1)."""

    term: Term


@dataclass(frozen=True, slots=True)
class Prepared:
    """The promise, the newest epoch that the witness has accepted, and which state it holds.

    A state is identified by the term that it was installed under and its sequence: two stores that have both
    alike hold the same state.
    """

    term: Term
    accepted_epoch: Epoch | None
    installed_term: Term
    sequence: int


@dataclass(frozen=True, slots=True)
class Install:
    """The whole state, for a replica of the epoch that a candidate opens, or for a store that lags."""

    term: Term
    state: ControlState


@dataclass(frozen=True, slots=True)
class Installed:
    """The state of that `Install` is on disk."""

    term: Term


@dataclass(frozen=True, slots=True)
class Accept:
    """Asks a witness to hold this epoch as the newest (Paxos' phase 2)."""

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class Accepted:
    """The epoch of that `Accept` is on disk."""

    term: Term


@dataclass(frozen=True, slots=True)
class Append:
    """One write of the epoch of that term, for its replicas and for the witnesses that follow."""

    term: Term
    sequence: int
    change: Change


@dataclass(frozen=True, slots=True)
class CommitNotice:
    """From the primary of that term to its witnesses: all replicas hold the writes up to `sequence`."""

    term: Term
    sequence: int


@dataclass(frozen=True, slots=True)
class Appended:
    """All writes up to `sequence` are on disk."""

    term: Term
    sequence: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """The witness has prepared a newer term than the one that it was asked about."""

    term: Term
    prepared_term: Term


VoteRequest = Prepare | Install | Accept | Append
VoteResponse = Prepared | Installed | Accepted | Appended

# By the part of a store that handles them.
ToWitness = Heartbeat | CommitNotice | Resign | PreVote | VoteRequest
ToPrimary = HeartbeatAck | Appended
ToCandidate = PreVoteGrant | Rejected | Prepared | Installed | Accepted
Message = Announce | ToWitness | ToPrimary | ToCandidate


class Outgoing(NamedTuple):
    """A message, and the id of the store that it goes to."""

    receiver: str
    message: Message


@dataclass(frozen=True, slots=True)
class Vote:
    """On disk: the term that this store has prepared and the epoch that it has accepted as a witness."""

    store: str
    prepared_term: Term
    accepted_epoch: Epoch | None


@dataclass(frozen=True, slots=True)
class Snapshot:
    """On disk: the whole state, as of the term under which it was installed."""

    term: Term
    state: ControlState


@dataclass(frozen=True, slots=True)
class Entry:
    """On disk: one write, which follows the snapshot or entry before it."""

    term: Term
    sequence: int
    change: Change


@dataclass(frozen=True, slots=True)
class Founder:
    """On disk: this store was told to bootstrap the core. Void once it has accepted an epoch."""

    store: str


Record = Vote | Snapshot | Entry | Founder

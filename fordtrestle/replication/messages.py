"""What control processes tell each other about epochs and writes, and what they put on disk."""

from __future__ import annotations

from dataclasses import dataclass

from fordtrestle.replication.epochs import UNKNOWN_CORE, Epoch, Store, Term
from fordtrestle.replication.state import Change, ControlState


@dataclass(frozen=True, slots=True)
class Announce:
    """A store is up. `counts`: whether its machine counts for the quorum; `leaving`: whether it is about to
    end and waits for others to take its place; `core`: the identity of the core that it belongs to, empty
    while it knows of no epoch; `founder`: whether it was told to found the core, and has not voted yet.
    """

    store: Store
    counts_for_quorum: bool
    is_leaving: bool
    core: str = UNKNOWN_CORE
    is_founder: bool = False


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """From the primary: its epoch is open."""

    epoch: Epoch
    number: int


@dataclass(frozen=True, slots=True)
class HeartbeatAck:
    """The witness has promised nothing newer than this term; `installed` and `sequence` tell its state as
    in `Promised`.
    """

    term: Term
    number: int
    installed_term: Term
    sequence: int


@dataclass(frozen=True, slots=True)
class Resign:
    """The primary of this term is one no more: nobody need wait until it is missed."""

    term: Term


@dataclass(frozen=True, slots=True)
class PreVote:
    """A replica misses its primary: would a prepare be heeded?"""

    attempt: int


@dataclass(frozen=True, slots=True)
class PreVoteGrant:
    """The witness misses the primary as well; `promised` is the term to exceed."""

    attempt: int
    prepared_term: Term
    accepted_epoch: Epoch | None


@dataclass(frozen=True, slots=True)
class Prepare:
    """Asks a witness to promise that it takes no part in any older term."""

    term: Term


@dataclass(frozen=True, slots=True)
class Prepared:
    """The promise, the newest epoch that the witness has accepted, and which state it holds.

    A state is told by the term that it was installed under and its sequence: what both have alike is alike.
    """

    term: Term
    accepted_epoch: Epoch | None
    installed_term: Term
    sequence: int


@dataclass(frozen=True, slots=True)
class Install:
    """The whole state, for a replica of the epoch that a candidate opens, or for a store that is behind."""

    term: Term
    state: ControlState


@dataclass(frozen=True, slots=True)
class Installed:
    """That state is on disk."""

    term: Term


@dataclass(frozen=True, slots=True)
class Accept:
    """Asks a witness to hold this epoch as the newest."""

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class Accepted:
    """It is on disk."""

    term: Term


@dataclass(frozen=True, slots=True)
class Append:
    """One write of the epoch of that term, for its replicas and for all that follow."""

    term: Term
    sequence: int
    change: Change


@dataclass(frozen=True, slots=True)
class Appended:
    """All writes up to `sequence` are on disk."""

    term: Term
    sequence: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """The witness has promised a newer term than the one it was asked about."""

    term: Term
    prepared_term: Term


Message = (
    Announce
    | Heartbeat
    | HeartbeatAck
    | Resign
    | PreVote
    | PreVoteGrant
    | Prepare
    | Prepared
    | Install
    | Installed
    | Accept
    | Accepted
    | Append
    | Appended
    | Rejected
)


@dataclass(frozen=True, slots=True)
class Vote:
    """On disk: what this store has promised and accepted as a witness."""

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
    """On disk: one write behind the snapshot or entry before it."""

    term: Term
    sequence: int
    change: Change


@dataclass(frozen=True, slots=True)
class Founder:
    """On disk: this store was told to found the core (`bootstrap`). Void once it has voted for an epoch."""

    store: str


Record = Vote | Snapshot | Entry | Founder

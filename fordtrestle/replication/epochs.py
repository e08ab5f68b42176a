"""Epochs, the terms that open them, and the quorums of witnesses that an epoch change needs. Pure."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace


@dataclass(frozen=True, slots=True, order=True)
class Term:
    """The term of an epoch. It contains the id of the candidate, so two candidates never share a term."""

    number: int
    store: str


NO_TERM = Term(0, "")
UNKNOWN_CORE = "?"  # for an epoch or store of a version that does not report its core: it may belong to any


@dataclass(frozen=True, slots=True)
class Store:
    """The identity of one disk, drawn at random when the disk is found empty, and the machine it is in.

    Attributes:
        id: The identity. A wiped disk gets a new one, so that the store does not count as the one whose
            promises were lost.
        address: HOST:PORT of the machine's internal endpoint.
        control: HOST:PORT of the machine's `control` endpoint, to which callers are redirected.
        zone: The zone that the machine is in.
    """

    id: str
    address: str
    control: str
    zone: str


def is_majority(voted: Collection[str], witnesses: Collection[str]) -> bool:
    """Return whether more than half of these witnesses have voted."""
    return 2 * sum(witness in voted for witness in witnesses) > len(witnesses)


@dataclass(frozen=True, slots=True)
class Epoch:
    """A configuration of the core (Vertical Paxos): its replicas, and the witnesses that vote on the next.

    Attributes:
        term: Its term.
        primary: Id of its primary.
        replicas: Ids of the stores that must all hold a write before it is committed, the primary first.
        witnesses: The stores of which a majority must vote to open a later epoch.
        earlier_quorums: Witness sets whose majorities must vote as well, until it is known that a majority of
            each has accepted this epoch (Raft's joint consensus). Guards against a later candidate that has
            learned of this epoch from a minority only.
        base_state: The state that all replicas held when they prepared (term of installation and sequence),
            if they held the same one; a replica that still holds it continues from it.
        core: Id of the core: the id of the store that opened its first epoch.
    """

    term: Term
    primary: str
    replicas: tuple[str, ...]
    witnesses: tuple[Store, ...]
    earlier_quorums: tuple[tuple[str, ...], ...] = ()
    base_state: tuple[Term, int] | None = None
    core: str = UNKNOWN_CORE

    @property
    def witness_ids(self) -> tuple[str, ...]:
        """The ids of the witnesses."""
        return tuple(store.id for store in self.witnesses)

    @property
    def quorums(self) -> tuple[tuple[str, ...], ...]:
        """The witness sets; a majority of each must vote to open a later epoch."""
        return tuple(quorum for quorum in dict.fromkeys((*self.earlier_quorums, self.witness_ids)) if quorum)

    @property
    def is_committed(self) -> bool:
        """Whether no votes are needed from earlier witness sets that differ from its own."""
        return all(quorum == self.witness_ids for quorum in self.earlier_quorums)

    def committed(self) -> Epoch:
        """Return this epoch as committed: votes of earlier witness sets are no longer needed."""
        return replace(self, earlier_quorums=())

    def with_witnesses(self, witnesses: tuple[Store, ...]) -> Epoch:
        """Return this epoch with other witnesses."""
        return replace(self, witnesses=witnesses)

    def store(self, store_id: str) -> Store | None:
        """Return the witness with this id, or None."""
        return next((store for store in self.witnesses if store.id == store_id), None)


def no_epoch(store: Store) -> Epoch:
    """Return the empty base of a core's first epoch: it has no witnesses, so no votes are needed from it."""
    return Epoch(NO_TERM, store.id, (), (), core="")


def is_same_core(one: str, other: str) -> bool:
    """Return whether two core ids may denote the same core."""
    return one == other or UNKNOWN_CORE in (one, other)


def has_majorities(voted: Collection[str], quorums: Iterable[tuple[str, ...]]) -> bool:
    """Return whether a majority of each of these witness sets has voted."""
    return all(is_majority(voted, quorum) for quorum in quorums)


def choose_replicas(
    primary: Store,
    live: Iterable[Store],
    holders: Collection[str],
    leaving: Collection[str],
    replica_count: int,
) -> tuple[str, ...]:
    """Choose the replicas of an epoch, the primary first, and return their ids.

    Prefers stores that are not shutting down, then stores that hold the state, then stores of zones without a
    replica.

    Args:
        primary: The primary of the epoch.
        live: The stores to choose from.
        holders: Ids of the stores that hold the primary's state.
        leaving: Ids of the stores that are shutting down.
        replica_count: How many replicas to choose, at most.
    """

    def rank(store: Store) -> tuple[bool, bool, bool]:
        return store.id in leaving, store.id not in holders, store.zone in zones

    chosen, zones = [primary.id], {primary.zone}
    others = sorted((store for store in live if store.id != primary.id), key=lambda store: store.id)
    while others and len(chosen) < replica_count:
        best = min(others, key=rank)
        others.remove(best)
        chosen.append(best.id)
        zones.add(best.zone)
    return tuple(chosen)

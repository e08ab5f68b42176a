"""Epochs, the terms that open them, and the quorums of witnesses that an epoch change needs. Pure."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace


@dataclass(frozen=True, slots=True, order=True)
class Term:
    """The number of an epoch. Two candidates never share one: the store's id is part of it."""

    number: int
    store: str


NO_TERM = Term(0, "")
UNKNOWN_CORE = "?"  # of an epoch or store whose version does not tell: it may belong to any core


@dataclass(frozen=True, slots=True)
class Store:
    """One disk's identity, drawn at random when the disk is found empty, and the machine that it is in.

    Attributes:
        id: The identity. Guards against a disk that was wiped: it comes back as another store, which has
            promised nothing.
        address: HOST:PORT of the machine's internal endpoint.
        control: HOST:PORT of its `control` endpoint, to which callers are redirected.
        zone: The zone that the machine is in.
    """

    id: str
    address: str
    control: str
    zone: str


def majority(voted: Collection[str], witnesses: Collection[str]) -> bool:
    """Whether more than half of these witnesses are among those that voted."""
    return 2 * sum(witness in voted for witness in witnesses) > len(witnesses)


@dataclass(frozen=True, slots=True)
class Epoch:
    """A configuration of the core (Vertical Paxos): who serves, and who agrees on the next one.

    Attributes:
        term: Its term.
        primary: Id of the store that leads it.
        replicas: Ids of the stores that each write has to be on, the primary's first.
        witnesses: The stores of which a majority is needed to open a later epoch.
        earlier_quorums: Witness sets whose majorities are needed besides, until it is known that a majority
            of each has accepted this epoch (Raft's joint consensus). Guards against a later candidate that
            has heard of this epoch from a minority alone.
        base_state: The state that all replicas held as they prepared (term of installation and sequence),
            where that was so; a replica that holds it goes on from there.
        core: Identity of the core: the id of the store that opened its first epoch.
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
        """The witness sets of each of which a majority has to vote."""
        return tuple(quorum for quorum in dict.fromkeys((*self.earlier_quorums, self.witness_ids)) if quorum)

    @property
    def is_committed(self) -> bool:
        """Whether no other witnesses have to be asked than its own."""
        return all(quorum == self.witness_ids for quorum in self.earlier_quorums)

    def committed(self) -> Epoch:
        """This epoch once it is open: earlier witness sets are not asked any more."""
        return replace(self, earlier_quorums=())

    def with_witnesses(self, witnesses: tuple[Store, ...]) -> Epoch:
        """This epoch with other witnesses."""
        return replace(self, witnesses=witnesses)

    def store(self, store_id: str) -> Store | None:
        """The witness of that id."""
        return next((store for store in self.witnesses if store.id == store_id), None)


def no_epoch(store: Store) -> Epoch:
    """What the first epoch is opened on top of: there is nobody who might have to be asked."""
    return Epoch(NO_TERM, store.id, (), (), core="")


def is_same_core(one: str, other: str) -> bool:
    """Whether two identities may be of one core."""
    return one == other or UNKNOWN_CORE in (one, other)


def supported(voted: Collection[str], quorums: Iterable[tuple[str, ...]]) -> bool:
    """Whether a majority of each of these witness sets has voted."""
    return all(majority(voted, quorum) for quorum in quorums)


def choose_replicas(
    primary: Store, live: Iterable[Store], holding: Collection[str], leaving: Collection[str], count: int
) -> tuple[str, ...]:
    """The ids of the replicas of an epoch: the primary, and others that are live.

    Stores that shut down come last, those that hold the state first, and among these one of each zone first.

    Args:
        primary: The primary of the epoch.
        live: The stores to choose from.
        holding: Ids of those that hold the primary's state.
        leaving: Ids of those that shut down.
        count: How many replicas are wanted.
    """

    def rank(store: Store) -> tuple[bool, bool, bool]:
        return store.id in leaving, store.id not in holding, store.zone in zones

    chosen, zones = [primary.id], {primary.zone}
    others = sorted((store for store in live if store.id != primary.id), key=lambda store: store.id)
    while others and len(chosen) < count:
        best = min(others, key=rank)
        others.remove(best)
        chosen.append(best.id)
        zones.add(best.zone)
    return tuple(chosen)

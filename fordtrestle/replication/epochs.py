"""Epochs, the terms that open them, and the quorums of witnesses that an opening needs."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace


@dataclass(frozen=True, slots=True, order=True)
class Term:
    """Number of an epoch. Two candidates never share one: the store's id is part of it."""

    number: int
    store: str


NO_TERM = Term(0, "")
UNKNOWN_CORE = "?"  # of an epoch or store whose version does not tell: it may belong to any core


@dataclass(frozen=True, slots=True)
class Store:
    """One disk's identity, drawn at random when it is found empty, and the machine it is in."""

    id: str
    address: str  # HOST:PORT of the machine's internal endpoint
    control: str  # HOST:PORT of its `control` endpoint, to which callers are redirected
    zone: str


def majority(voted: Collection[str], witnesses: Collection[str]) -> bool:
    """Whether more than half of these witnesses are among those that voted."""
    return 2 * sum(witness in voted for witness in witnesses) > len(witnesses)


@dataclass(frozen=True, slots=True)
class Epoch:
    """Who serves: a primary, all replicas that each write needs, the witnesses that a later epoch needs.

    `earlier` holds the witness sets whose majorities are needed besides, until it is known that this epoch
    was accepted by a majority of each: before that, a later candidate may have heard of it from a minority
    alone.
    """

    term: Term
    primary: str
    replicas: tuple[str, ...]
    witnesses: tuple[Store, ...]
    earlier_quorums: tuple[tuple[str, ...], ...] = ()
    base_state: tuple[Term, int] | None = None  # the state that all replicas held as they promised
    core: str = UNKNOWN_CORE  # the core's identity: the store that opened its first epoch

    @property
    def witness_ids(self) -> tuple[str, ...]:
        return tuple(store.id for store in self.witnesses)

    @property
    def quorums(self) -> tuple[tuple[str, ...], ...]:
        """The witness sets of each of which a majority has to vote."""
        return tuple(quorum for quorum in dict.fromkeys((*self.earlier_quorums, self.witness_ids)) if quorum)

    def with_witnesses(self, witnesses: tuple[Store, ...]) -> Epoch:
        """This epoch with other witnesses."""
        return replace(self, witnesses=witnesses)

    def committed(self) -> Epoch:
        """This epoch once it is open: earlier witness sets are not asked any more."""
        return replace(self, earlier_quorums=())

    @property
    def is_committed(self) -> bool:
        """Whether no other witnesses need be asked than those that accepted it."""
        return all(quorum == self.witness_ids for quorum in self.earlier_quorums)

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
    """Whether a majority of each of these sets has voted."""
    return all(majority(voted, quorum) for quorum in quorums)


def choose_replicas(
    primary: Store, live: Iterable[Store], holding: Collection[str], leaving: Collection[str], count: int
) -> tuple[str, ...]:
    """The primary and others that are live: those that are about to end last, those that hold the state
    first, and among these one of each zone first.
    """
    chosen, zones = [primary.id], {primary.zone}
    others = sorted((store for store in live if store.id != primary.id), key=lambda store: store.id)
    while others and len(chosen) < count:
        best = min(
            others, key=lambda store: (store.id in leaving, store.id not in holding, store.zone in zones)
        )
        others.remove(best)
        chosen.append(best.id)
        zones.add(best.zone)
    return tuple(chosen)

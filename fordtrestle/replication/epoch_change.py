"""One try to open an epoch: promises from the witnesses, the state on its replicas, the epoch on the
witnesses.

Safety rests on three things. A majority of every witness set that may hold the newest epoch promises first,
so that an older primary can acknowledge nothing more. The candidate is a replica of the newest epoch that
they tell of, so that it holds all that was acknowledged. All replicas of the new epoch hold that state
before any witness is asked to accept it.

The first epoch of a core has nothing below it (`epochs.no_epoch`): its candidate votes for it before it asks
anyone else to (`founding.py`).
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from fordtrestle.replication.epochs import NO_TERM, Epoch, Store, Term, choose_replicas, supported
from fordtrestle.replication.messages import Accept, Accepted, Install, Installed, Message, Prepare, Prepared
from fordtrestle.replication.state import ControlState

Outgoing = tuple[str, Message]  # store id of the receiver, and what it is sent
Position = tuple[Term, int]  # the term that a state was installed under, and its sequence


@dataclass(slots=True)
class EpochChange:
    """The candidate's side of one term."""

    me: Store
    term: Term
    base: Epoch  # the newest epoch known
    witnesses: tuple[Store, ...]  # of the epoch to be opened
    replica_count: int
    leaving: frozenset[str]  # stores that are about to end: replicas only where there are no others
    began_at: float  # s, steady clock
    unanimous: frozenset[str] = frozenset()  # stores that all have to promise, besides the majorities
    newer: Epoch | None = None  # than the base: to be tried again on top of it, by one of its replicas
    proposed: Epoch | None = None
    opened: Epoch | None = None
    prepared: dict[str, Position] = field(default_factory=dict)  # what each held as it promised
    installed: set[str] = field(default_factory=set)
    accepted: set[str] = field(default_factory=set)
    installing: tuple[str, ...] = ()  # the replicas to be, once they are chosen
    _repeats: int = 0

    @property
    def is_bootstrap(self) -> bool:
        """Whether this would be the first epoch."""
        return self.base.term == NO_TERM

    @property
    def quorums(self) -> tuple[tuple[str, ...], ...]:
        """All witness sets that have to support this epoch."""
        ids = tuple(store.id for store in self.witnesses)
        return tuple(dict.fromkeys((*self.base.quorums, ids)))

    def start(self) -> list[Outgoing]:
        """Ask everyone concerned to promise."""
        return [(store_id, Prepare(self.term)) for store_id in sorted(self._everyone())]

    def receive(self, sender: str, message: Message, state: ControlState) -> list[Outgoing]:
        """Go on with an answer from a store; `state` is this store's own."""
        if self.newer or self.opened:
            return []
        match message:
            case Prepared() if message.term == self.term:
                return self._on_prepared(sender, message, state)
            case Installed() if message.term == self.term and self.installing:
                self.installed.add(sender)
                return self._propose()
            case Accepted() if self.proposed and message.term == self.term:
                return self._on_accepted(sender, self.proposed)
        return []

    def repeat(self, state: ControlState) -> list[Outgoing]:
        """What is still unanswered, once more: links lose messages. Whole states at doubled pauses only."""
        self._repeats += 1
        if self.proposed:
            return self._ask_to_accept(self.proposed)
        if self.installing:
            if self._repeats & (self._repeats - 1):
                return []
            missing = set(self.installing) - self.installed
            return [(store_id, Install(self.term, state)) for store_id in sorted(missing)]
        missing = self._everyone() - set(self.prepared)
        return [
            *((store_id, Prepare(self.term)) for store_id in sorted(missing)),
            *self._begin_installing(state, patient=False),
        ]

    def _everyone(self) -> set[str]:
        return {store_id for quorum in self.quorums for store_id in quorum} | self.unanimous

    def _on_prepared(self, sender: str, message: Prepared, state: ControlState) -> list[Outgoing]:
        known = message.accepted_epoch
        if known and known.term > self.base.term:
            self.newer = known
            return []
        if known and known.term == self.base.term and not known.earlier_quorums:
            self.base = known  # it is known there that this epoch is open
        self.prepared[sender] = (message.installed_term, message.sequence)
        return self._begin_installing(state, patient=True)

    def _begin_installing(self, state: ControlState, patient: bool) -> list[Outgoing]:
        """Choose the replicas once enough have promised, and send the state to them if they lack it.

        A patient candidate waits for stores that hold its state already and mean to stay, as long as some
        have yet to promise.
        """
        held = self.prepared.get(self.me.id)
        if self.installing or held is None or not self._is_prepared():
            return []
        holding = {store_id for store_id, position in self.prepared.items() if position == held}
        live = [store for store in self.witnesses if store.id in self.prepared]
        chosen = choose_replicas(self.me, live, holding, self.leaving, self.replica_count)
        best = holding - self.leaving
        is_best = len(chosen) == self.replica_count and best.issuperset(chosen[1:])
        if patient and not is_best and self._everyone() - set(self.prepared):
            return []
        self.installing = chosen
        if holding.issuperset(chosen):
            return self._propose(held)
        return [(store_id, Install(self.term, state)) for store_id in chosen]

    def _is_prepared(self) -> bool:
        return supported(self.prepared, self.quorums) and self.unanimous.issubset(self.prepared)

    def _on_accepted(self, sender: str, proposed: Epoch) -> list[Outgoing]:
        is_first = not self.accepted
        self.accepted.add(sender)
        if supported(self.accepted, self.quorums):
            self.opened = proposed.committed()
            return []
        return self._ask_to_accept(proposed) if is_first and self.is_bootstrap else []

    def _ask_to_accept(self, proposed: Epoch) -> list[Outgoing]:
        asked = self._everyone() - self.accepted
        if self.is_bootstrap and self.me.id in asked:
            asked = {self.me.id}  # on disk before anyone else votes: who founds knows whether it has
        return [(store_id, Accept(proposed)) for store_id in sorted(asked)]

    def _propose(self, base_state: Position | None = None) -> list[Outgoing]:
        if self.proposed or not (base_state or self.installed.issuperset(self.installing)):
            return []
        self.proposed = Epoch(
            term=self.term,
            primary=self.me.id,
            replicas=self.installing,
            witnesses=self.witnesses,
            earlier_quorums=self.base.quorums,
            base_state=base_state,
            core=self.base.core or self.me.id,
        )
        return self._ask_to_accept(self.proposed)


def plan_witnesses(
    epoch: Epoch, joining: Iterable[Store], giving_up: Sequence[str], target: int
) -> tuple[Store, ...]:
    """The witnesses that the next epoch should have.

    A store in the machine of another takes that one's place: its disk was lost. Others fill up to `target`,
    or take the place of one that gives it up, in the order of `giving_up`: with a place that is lost filled
    first, the loss of the joiner as well leaves a majority. Stores of zones without a witness go first, and
    take a place from a zone that has several, so that the loss of a zone leaves a majority.
    """
    planned = list(epoch.witnesses)
    waiting = list(joining)
    while waiting:
        joiner = min(waiting, key=lambda store: (store.zone in {held.zone for held in planned}, store.id))
        waiting.remove(joiner)
        slot = _slot_for(joiner, planned, giving_up, epoch.replicas)
        if slot is not None:
            planned[slot] = joiner
        elif len(planned) < target:
            planned.append(joiner)
    return tuple(planned)


def _slot_for(
    joiner: Store, planned: Sequence[Store], giving_up: Sequence[str], replicas: Sequence[str]
) -> int | None:
    """The place of which witness a new store may take."""
    ids = [store.id for store in planned]
    for index, store in enumerate(planned):
        if store.address == joiner.address:
            return index
    for store_id in giving_up:
        if store_id in ids:
            return ids.index(store_id)
    zones = [store.zone for store in planned]
    if joiner.zone in zones:
        return None
    spare = (i for i, store in enumerate(planned) if zones.count(store.zone) > 1 and store.id not in replicas)
    return next(spare, None)

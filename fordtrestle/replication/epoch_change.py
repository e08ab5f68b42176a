"""One attempt to open an epoch: prepare the witnesses, install the state, have the epoch accepted. Pure.

Safety rests on three things. A majority of every witness set that may hold the newest epoch prepares first,
so that an older primary can acknowledge nothing more. The candidate is a replica of the newest epoch that
they tell of, so that it holds all that was acknowledged. All replicas of the new epoch hold that state
before any witness is asked to accept it.

The first epoch of a core has nothing below it (`epochs.no_epoch`): its candidate votes for it before it asks
anyone else to (`bootstrap.py`).

Source: Vertical Paxos, Lamport, Malkhi and Zhou 2009; the joint quorums are those of Raft's joint consensus.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from fordtrestle.replication.epochs import NO_TERM, Epoch, Store, Term, choose_replicas, supported
from fordtrestle.replication.messages import (
    Accept,
    Accepted,
    Install,
    Installed,
    Message,
    Outgoing,
    Prepare,
    Prepared,
)
from fordtrestle.replication.state import ControlState

Position = tuple[Term, int]  # the term that a state was installed under, and its sequence


@dataclass(slots=True)
class EpochChange:
    """The candidate's side of one term.

    Attributes:
        me: The candidate.
        term: The term of the epoch to be opened.
        base: The newest epoch that is known.
        witnesses: The witnesses of the epoch to be opened.
        replica_count: How many replicas it is to have.
        leaving: Ids of stores that shut down: replicas only where there are no others.
        started_at: When it was started, in s of a steady clock.
        unanimous: Ids of stores that all have to prepare, besides the majorities.
        newer: An epoch newer than the base, where one was heard of: one of its replicas has to go on from it.
        proposed: The epoch that witnesses are asked to accept.
        opened: That epoch, once it is open.
        prepared: Which state each store held as it prepared.
        installed: Ids of the replicas that hold the state.
        accepted: Ids of the witnesses that have accepted.
        installing: Ids of the replicas to be, once they are chosen.
    """

    me: Store
    term: Term
    base: Epoch
    witnesses: tuple[Store, ...]
    replica_count: int
    leaving: frozenset[str]
    started_at: float
    unanimous: frozenset[str] = frozenset()
    newer: Epoch | None = None
    proposed: Epoch | None = None
    opened: Epoch | None = None
    prepared: dict[str, Position] = field(default_factory=dict)
    installed: set[str] = field(default_factory=set)
    accepted: set[str] = field(default_factory=set)
    installing: tuple[str, ...] = ()
    _repeats: int = 0

    @property
    def is_bootstrap(self) -> bool:
        """Whether this would be the first epoch."""
        return self.base.term == NO_TERM

    @property
    def quorums(self) -> tuple[tuple[str, ...], ...]:
        """All witness sets of each of which a majority has to support this epoch."""
        ids = tuple(store.id for store in self.witnesses)
        return tuple(dict.fromkeys((*self.base.quorums, ids)))

    def start(self) -> list[Outgoing]:
        """Ask everyone concerned to prepare."""
        return [Outgoing(store_id, Prepare(self.term)) for store_id in sorted(self._everyone())]

    def receive(self, sender: str, message: Message, state: ControlState) -> list[Outgoing]:
        """Go on with an answer from a store.

        Guards against answers that come late: those of another term, or to a phase that is not reached, count
        for nothing.

        Args:
            sender: The store's id.
            message: Its answer.
            state: The candidate's own state.

        Returns:
            What is to be asked next.
        """
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
        """What is unanswered, once more, as links lose messages; whole states at doubled intervals only."""
        self._repeats += 1
        if self.proposed:
            return self._ask_to_accept(self.proposed)
        if self.installing:
            is_power_of_two = not self._repeats & (self._repeats - 1)
            missing = set(self.installing) - self.installed
            return self._ask_to_install(sorted(missing), state) if is_power_of_two else []
        missing = self._everyone() - set(self.prepared)
        return [
            *(Outgoing(store_id, Prepare(self.term)) for store_id in sorted(missing)),
            *self._begin_installing(state, is_patient=False),
        ]

    def _everyone(self) -> set[str]:
        return {store_id for quorum in self.quorums for store_id in quorum} | self.unanimous

    def _on_prepared(self, sender: str, message: Prepared, state: ControlState) -> list[Outgoing]:
        """Count a promise.

        Guards against a base that is not the newest epoch: what was acknowledged in a newer one may not be
        held here, so this attempt ends.
        """
        known = message.accepted_epoch
        if known and known.term > self.base.term:
            self.newer = known
            return []
        if known and known.term == self.base.term and not known.earlier_quorums:
            self.base = known  # it is known there that this epoch is open
        self.prepared[sender] = (message.installed_term, message.sequence)
        return self._begin_installing(state, is_patient=True)

    def _begin_installing(self, state: ControlState, is_patient: bool) -> list[Outgoing]:
        """Choose the replicas once enough have prepared, and send the state to them if they lack it.

        A patient candidate waits for stores that hold its state already and stay, as long as some have yet to
        answer. Where all chosen ones hold the state, the epoch is proposed at once.
        """
        held = self.prepared.get(self.me.id)
        if self.installing or held is None or not self._is_prepared():
            return []
        holding = {store_id for store_id, position in self.prepared.items() if position == held}
        chosen = self._choose_replicas(holding)
        best = holding - self.leaving
        is_best = len(chosen) == self.replica_count and best.issuperset(chosen[1:])
        if is_patient and not is_best and self._everyone() - set(self.prepared):
            return []
        self.installing = chosen
        if holding.issuperset(chosen):
            return self._propose(held)
        return self._ask_to_install(chosen, state)

    def _choose_replicas(self, holding: set[str]) -> tuple[str, ...]:
        live = [store for store in self.witnesses if store.id in self.prepared]
        return choose_replicas(self.me, live, holding, self.leaving, self.replica_count)

    def _is_prepared(self) -> bool:
        return supported(self.prepared, self.quorums) and self.unanimous.issubset(self.prepared)

    def _ask_to_install(self, replicas: Iterable[str], state: ControlState) -> list[Outgoing]:
        return [Outgoing(store_id, Install(self.term, state)) for store_id in replicas]

    def _on_accepted(self, sender: str, proposed: Epoch) -> list[Outgoing]:
        is_first = not self.accepted
        self.accepted.add(sender)
        if supported(self.accepted, self.quorums):
            self.opened = proposed.committed()
            return []
        return self._ask_to_accept(proposed) if is_first and self.is_bootstrap else []

    def _ask_to_accept(self, proposed: Epoch) -> list[Outgoing]:
        """Ask those that have not accepted yet.

        Guards against a founder that loses power and bootstraps once more: the first epoch is on its own disk
        before anyone else votes, so that it knows whether anyone may have.
        """
        asked = self._everyone() - self.accepted
        if self.is_bootstrap and self.me.id in asked:
            asked = {self.me.id}
        return [Outgoing(store_id, Accept(proposed)) for store_id in sorted(asked)]

    def _propose(self, base_state: Position | None = None) -> list[Outgoing]:
        """Propose the epoch once all its replicas hold the state.

        Guards against the loss of the candidate's disk as the epoch opens: what was acknowledged before is on
        every replica by then.

        Args:
            base_state: The state that all replicas held as they prepared, where that is so.
        """
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

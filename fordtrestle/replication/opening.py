"""One try to open an epoch: promises from the witnesses, the state on its replicas, the epoch on the
witnesses.

Safety rests on three things. A majority of every witness set that may hold the newest epoch promises first,
so that an older primary can acknowledge nothing more. The candidate is a replica of the newest epoch that
they tell of, so that it holds all that was acknowledged. All replicas of the new epoch hold that state
before any witness is asked to accept it.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from fordtrestle.replication.epochs import NO_BALLOT, Ballot, Epoch, Store, choose_replicas, supported
from fordtrestle.replication.messages import Accept, Accepted, Install, Installed, Message, Prepare, Promised
from fordtrestle.replication.state import ControlState

Outgoing = tuple[str, Message]  # store id of the receiver, and what it is sent


@dataclass(slots=True)
class Opening:
    """The candidate's side of one ballot."""

    me: Store
    ballot: Ballot
    base: Epoch  # the newest epoch known
    witnesses: tuple[Store, ...]  # of the epoch to be opened
    replica_count: int
    began: float  # s, steady clock
    newer: Epoch | None = None  # than the base: to be tried again on top of it, by one of its replicas
    proposed: Epoch | None = None
    opened: Epoch | None = None
    promised: set[str] = field(default_factory=set)
    holding: set[str] = field(default_factory=set)  # stores that hold the candidate's state as it is
    installed_under: Ballot = NO_BALLOT  # the candidate's own
    installed: set[str] = field(default_factory=set)
    accepted: set[str] = field(default_factory=set)
    _installing: tuple[str, ...] = ()

    @property
    def quorums(self) -> tuple[tuple[str, ...], ...]:
        """All witness sets that have to support this epoch."""
        ids = tuple(store.id for store in self.witnesses)
        return tuple(dict.fromkeys((*self.base.quorums, ids)))

    def start(self) -> list[Outgoing]:
        """Ask everyone concerned to promise."""
        return [(store_id, Prepare(self.ballot)) for store_id in sorted(self._everyone())]

    def receive(self, sender: str, message: Message, state: ControlState) -> list[Outgoing]:
        """Go on with an answer from a store; `state` is this store's own."""
        if self.newer or self.opened:
            return []
        match message:
            case Promised() if message.ballot == self.ballot:
                return self._take_promise(sender, message, state)
            case Installed() if message.ballot == self.ballot and self._installing:
                self.installed.add(sender)
                return self._propose()
            case Accepted() if self.proposed and message.ballot == self.ballot:
                self.accepted.add(sender)
                if supported(self.accepted, self.quorums):
                    self.opened = self.proposed.settled()
        return []

    def repeat(self, state: ControlState) -> list[Outgoing]:
        """What is still unanswered, once more: links lose messages."""
        if self.proposed:
            missing = self._everyone() - self.accepted
            return [(store_id, Accept(self.proposed)) for store_id in sorted(missing)]
        if self._installing:
            missing = set(self._installing) - self.installed
            return [(store_id, Install(self.ballot, state)) for store_id in sorted(missing)]
        return [(store_id, Prepare(self.ballot)) for store_id in sorted(self._everyone() - self.promised)]

    def _everyone(self) -> set[str]:
        return {store_id for quorum in self.quorums for store_id in quorum}

    def _take_promise(self, sender: str, message: Promised, state: ControlState) -> list[Outgoing]:
        known = message.accepted
        if known and known.ballot > self.base.ballot:
            self.newer = known
            return []
        if known and known.ballot == self.base.ballot and not known.earlier:
            self.base = known  # it is known there that this epoch is open
        self.promised.add(sender)
        if sender == self.me.id:
            self.installed_under = message.installed
        if (message.installed, message.sequence) == (self.installed_under, state.sequence):
            self.holding.add(sender)
        if self._installing or not supported(self.promised, self.quorums):
            return []
        live = [store for store in self.witnesses if store.id in self.promised]
        self._installing = choose_replicas(self.me, live, self.replica_count)
        if self.holding.issuperset(self._installing):
            return self._propose((self.installed_under, state.sequence))
        return [(store_id, Install(self.ballot, state)) for store_id in self._installing]

    def _propose(self, kept: tuple[Ballot, int] | None = None) -> list[Outgoing]:
        if self.proposed or not (kept or self.installed.issuperset(self._installing)):
            return []
        self.proposed = Epoch(
            ballot=self.ballot,
            primary=self.me.id,
            replicas=self._installing,
            witnesses=self.witnesses,
            earlier=self.base.quorums,
            kept=kept,
        )
        return [(store_id, Accept(self.proposed)) for store_id in sorted(self._everyone())]


def plan_witnesses(
    epoch: Epoch, newcomers: Iterable[Store], silent: set[str], target: int
) -> tuple[Store, ...]:
    """The witnesses that the next epoch should have.

    A store in the machine of another takes that one's place: its disk was lost. Others fill up to `target`,
    or take the place of one that has been silent.
    """
    planned = list(epoch.witnesses)
    for newcomer in newcomers:
        same = [index for index, store in enumerate(planned) if store.address == newcomer.address]
        gone = [index for index, store in enumerate(planned) if store.id in silent]
        if same:
            planned[same[0]] = newcomer
        elif len(planned) < target:
            planned.append(newcomer)
        elif gone:
            planned[gone[0]] = newcomer
    return tuple(planned)

"""One attempt to open an epoch: prepare the witnesses, install the state, get the epoch accepted. Pure.

Safety depends on three conditions. First, a majority of every witness set that may hold the newest epoch
prepares, so that an older primary can acknowledge no more writes. Second, the candidate is a replica of the
newest epoch that these witnesses report, so that it holds all acknowledged writes. Third, all replicas of the
new epoch hold the candidate's state before any witness is asked to accept the epoch.

The first epoch of a core has an empty base (`epochs.no_epoch`). Its candidate accepts it on its own disk
before it asks any other store to accept it (`bootstrap.py`).

Source: Vertical Paxos, Lamport, Malkhi and Zhou 2009; the joint quorums follow Raft's joint consensus.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from fordtrestle.replication.epochs import NO_TERM, Epoch, Store, Term, choose_replicas, has_majorities
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

Position = tuple[Term, int]  # the term under which a state was installed, and its sequence


@dataclass(slots=True)
class EpochChange:
    """An epoch change under one term, as driven by its candidate.

    Attributes:
        me: The candidate.
        term: The term of the epoch to be opened.
        base: The newest epoch that the candidate knows.
        witnesses: The witnesses of the epoch to be opened.
        replica_count: How many replicas the epoch should have.
        leaving: Ids of stores that are shutting down; they become replicas only if no other stores can.
        started_at: When the change was started, in seconds of a monotonic clock.
        required_voters: Ids of stores that must all prepare, in addition to the majorities.
        newer_epoch: An epoch newer than the base, if a store reported one; only one of its replicas may
            succeed it.
        proposed_epoch: The epoch that witnesses are asked to accept.
        opened_epoch: That epoch once it is open.
        prepared: The state that each store held when it prepared, by store id.
        installed: Ids of the replicas that have installed the state.
        accepted: Ids of the witnesses that have accepted the epoch.
        installing: Ids of the replicas of the epoch, once they are chosen.
    """

    me: Store
    term: Term
    base: Epoch
    witnesses: tuple[Store, ...]
    replica_count: int
    leaving: frozenset[str]
    started_at: float
    required_voters: frozenset[str] = frozenset()
    newer_epoch: Epoch | None = None
    proposed_epoch: Epoch | None = None
    opened_epoch: Epoch | None = None
    prepared: dict[str, Position] = field(default_factory=dict)
    installed: set[str] = field(default_factory=set)
    accepted: set[str] = field(default_factory=set)
    installing: tuple[str, ...] = ()
    _resend_count: int = 0

    @property
    def is_bootstrap(self) -> bool:
        """Whether this change opens the first epoch of the core."""
        return self.base.term == NO_TERM

    @property
    def quorums(self) -> tuple[tuple[str, ...], ...]:
        """The witness sets; a majority of each must vote for this epoch."""
        ids = tuple(store.id for store in self.witnesses)
        return tuple(dict.fromkeys((*self.base.quorums, ids)))

    def start(self) -> list[Outgoing]:
        """Return the requests that ask all participants to prepare."""
        return [Outgoing(store_id, Prepare(self.term)) for store_id in sorted(self._participants())]

    def receive(self, sender: str, message: Message, state: ControlState) -> list[Outgoing]:
        """Handle a response from a store.

        Guards against delayed responses: those of another term, or to a phase that has not been reached, are
        ignored.

        Args:
            sender: The id of the store.
            message: Its response.
            state: The candidate's own state.

        Returns:
            The next requests to send.
        """
        if self.newer_epoch or self.opened_epoch:
            return []
        match message:
            case Prepared() if message.term == self.term:
                return self._on_prepared(sender, message, state)
            case Installed() if message.term == self.term and self.installing:
                self.installed.add(sender)
                return self._propose()
            case Accepted() if self.proposed_epoch and message.term == self.term:
                return self._on_accepted(sender, self.proposed_epoch)
        return []

    def resend(self, state: ControlState) -> list[Outgoing]:
        """Return the unanswered requests, as links may lose messages; whole states at doubling intervals."""
        self._resend_count += 1
        if self.proposed_epoch:
            return self._ask_to_accept(self.proposed_epoch)
        if self.installing:
            is_power_of_two = not self._resend_count & (self._resend_count - 1)
            missing = set(self.installing) - self.installed
            return self._ask_to_install(sorted(missing), state) if is_power_of_two else []
        missing = self._participants() - set(self.prepared)
        return [
            *(Outgoing(store_id, Prepare(self.term)) for store_id in sorted(missing)),
            *self._begin_installing(state, may_wait=False),
        ]

    def _participants(self) -> set[str]:
        return {store_id for quorum in self.quorums for store_id in quorum} | self.required_voters

    def _on_prepared(self, sender: str, message: Prepared, state: ControlState) -> list[Outgoing]:
        """Count a promise.

        Guards against a base that is not the newest epoch: this store may lack writes that were acknowledged
        in a newer one, so the attempt ends.
        """
        known = message.accepted_epoch
        if known and known.term > self.base.term:
            self.newer_epoch = known
            return []
        if known and known.term == self.base.term and not known.earlier_quorums:
            self.base = known  # the sender knows that this epoch is open
        self.prepared[sender] = (message.installed_term, message.sequence)
        return self._begin_installing(state, may_wait=True)

    def _begin_installing(self, state: ControlState, may_wait: bool) -> list[Outgoing]:
        """Choose the replicas once enough stores have prepared, and send the state to them if any lacks it.

        If all chosen replicas hold the state, the epoch is proposed at once.

        Args:
            state: The candidate's own state.
            may_wait: Whether to wait, while some stores have not answered, until all chosen replicas can be
                stores that already hold the state and are not shutting down.
        """
        own_position = self.prepared.get(self.me.id)
        if self.installing or own_position is None or not self._has_required_promises():
            return []
        holders = {store_id for store_id, position in self.prepared.items() if position == own_position}
        chosen = self._choose_replicas(holders)
        preferred = holders - self.leaving
        has_preferred = len(chosen) == self.replica_count and preferred.issuperset(chosen[1:])
        if may_wait and not has_preferred and self._participants() - set(self.prepared):
            return []
        self.installing = chosen
        if holders.issuperset(chosen):
            return self._propose(own_position)
        return self._ask_to_install(chosen, state)

    def _choose_replicas(self, holders: set[str]) -> tuple[str, ...]:
        live = [store for store in self.witnesses if store.id in self.prepared]
        return choose_replicas(self.me, live, holders, self.leaving, self.replica_count)

    def _has_required_promises(self) -> bool:
        return has_majorities(self.prepared, self.quorums) and self.required_voters.issubset(self.prepared)

    def _ask_to_install(self, replicas: Iterable[str], state: ControlState) -> list[Outgoing]:
        return [Outgoing(store_id, Install(self.term, state)) for store_id in replicas]

    def _on_accepted(self, sender: str, proposed: Epoch) -> list[Outgoing]:
        is_first = not self.accepted
        self.accepted.add(sender)
        if has_majorities(self.accepted, self.quorums):
            self.opened_epoch = proposed.committed()
            return []
        return self._ask_to_accept(proposed) if is_first and self.is_bootstrap else []

    def _ask_to_accept(self, proposed: Epoch) -> list[Outgoing]:
        """Return the requests to the stores that have not accepted the epoch yet.

        Guards against a founder that loses power and bootstraps again: it syncs its own vote for the first
        epoch before any other store votes, so that its disk tells whether others may have voted.
        """
        recipients = self._participants() - self.accepted
        if self.is_bootstrap and self.me.id in recipients:
            recipients = {self.me.id}
        return [Outgoing(store_id, Accept(proposed)) for store_id in sorted(recipients)]

    def _propose(self, base_state: Position | None = None) -> list[Outgoing]:
        """Propose the epoch once all its replicas hold the state.

        Guards against the loss of the candidate's disk when the epoch opens: by then every replica holds all
        acknowledged writes.

        Args:
            base_state: The state that all replicas held when they prepared, if they held the same one.
        """
        if self.proposed_epoch or not (base_state or self.installed.issuperset(self.installing)):
            return []
        self.proposed_epoch = Epoch(
            term=self.term,
            primary=self.me.id,
            replicas=self.installing,
            witnesses=self.witnesses,
            earlier_quorums=self.base.quorums,
            base_state=base_state,
            core=self.base.core or self.me.id,
        )
        return self._ask_to_accept(self.proposed_epoch)

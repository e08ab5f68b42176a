"""One store that replicates the control state: the interface for its callers. Pure.

Callers pass in messages, the time and the age of the oldest sync. `drain` returns the records to sync, and
the messages that may be sent only after that sync.

The algorithm is primary-backup replication; a majority of witnesses must agree on each reconfiguration
(Vertical Paxos, Lamport, Malkhi and Zhou 2009). Witnesses vote and need not hold the state (Harp, Liskov et
al. 1991), and elections start with a pre-vote (the Raft dissertation, 9.6). Each role of a store is a class
in `witness.py`, `primary.py`, `candidate.py` or `membership.py`; `context.py` contains what the roles share.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass

from fordtrestle.replication.bootstrap import Bootstrap
from fordtrestle.replication.candidate import Candidate
from fordtrestle.replication.context import StoreContext
from fordtrestle.replication.durable import Durable
from fordtrestle.replication.effects import Effects
from fordtrestle.replication.epoch_plan import EpochPlan
from fordtrestle.replication.epochs import Epoch, Store
from fordtrestle.replication.events import Events, Reason
from fordtrestle.replication.failure_detector import PrimaryFailureDetector
from fordtrestle.replication.membership import Membership
from fordtrestle.replication.messages import Announce, Message, ToCandidate, ToPrimary
from fordtrestle.replication.primary import Primary
from fordtrestle.replication.state import Change, ControlState
from fordtrestle.replication.witness import Witness

STALLED_SYNC_S = (
    0.6  # while a sync takes longer, a primary sends no heartbeats, so that another store takes over
)


@dataclass(frozen=True, slots=True)
class PendingWrite:
    """A write that is being replicated.

    Attributes:
        sequence: Its position in the order of writes.
        tenure: The tenure of the primary that started it; in another tenure the same sequence may belong to
            a different write.
    """

    sequence: int
    tenure: int


class Node:
    """A replicated store. Times are in seconds of a monotonic clock.

    Dispatches messages and ticks to the roles of the store, and answers its callers' queries. `primary`,
    `candidate`, `membership` and `context` are public for tests.
    """

    def __init__(
        self,
        me: Store,
        durable: Durable,
        *,
        tolerated_failures: int,
        counts_for_quorum: bool,
        draw: Callable[[], float],
        now: float,
        seeds: Callable[[], Collection[str]] = tuple,
    ) -> None:
        """Create the store from its durable state.

        Args:
            me: This store.
            durable: The state restored from its disk.
            tolerated_failures: How many machines may be lost at once.
            counts_for_quorum: Whether this store may become a witness.
            draw: Returns random numbers, uniform in [0, 1).
            now: The current time.
            seeds: Returns the control addresses currently listed in the settings.
        """
        self.me = me
        self.durable = durable
        self.context = StoreContext(
            me,
            durable,
            PrimaryFailureDetector(me.id, durable.accepted_epoch, draw, now),
            witness_count=2 * tolerated_failures + 1,
            replica_count=tolerated_failures + 1,
            counts_for_quorum=counts_for_quorum,
        )
        bootstrap = Bootstrap(me, tolerated_failures, counts_for_quorum, now)
        self.primary = Primary(self.context, now)
        self.candidate = Candidate(self.context, self.primary, bootstrap)
        self.membership = Membership(self.context, self.primary, self.candidate, bootstrap, seeds)
        self._witness = Witness(self.context, self.primary, self.candidate)

    # Queries

    @property
    def epoch(self) -> Epoch | None:
        """The newest epoch that is known to be open."""
        return self.context.epoch

    @property
    def events(self) -> Events:
        """The events to report to operators."""
        return self.context.events

    @property
    def is_primary(self) -> bool:
        """Whether this store is primary, as far as it knows."""
        return self.primary.leadership is not None

    @property
    def is_ready(self) -> bool:
        """Whether this store is primary and enough stores hold the state to acknowledge writes.

        Guards against a race with a candidate that has learned of the epoch from a minority only: a majority
        of witnesses must have recorded that the epoch is open. Otherwise the next candidate would need votes
        of the earlier witness sets, of which this store may be the last member.
        """
        leadership = self.primary.leadership
        return bool(
            leadership
            and leadership.is_committed
            and not self.candidate.epoch_change
            and len(leadership.epoch.replicas) >= self.context.replica_count
            and len(leadership.epoch.witnesses) >= self.context.witness_count
        )

    @property
    def newest_epoch(self) -> Epoch | None:
        """The newest epoch that this store knows, whether open or only accepted."""
        return self.epoch or self.durable.accepted_epoch

    @property
    def committed_state(self) -> ControlState | None:
        """The newest state that all replicas are known to hold, if this store is primary; None otherwise."""
        leadership = self.primary.leadership
        return leadership.committed_state if leadership else None

    @property
    def committed_sequence(self) -> int:
        """The newest sequence known to be committed, among the writes that this store holds.

        A lagging store may have learned of committed writes that it does not hold yet.
        """
        leadership = self.primary.leadership
        if leadership:
            return leadership.committed_sequence
        return min(self.context.committed_sequence, self.durable.state.sequence)

    @property
    def newest_write(self) -> PendingWrite:
        """The newest write that this store holds; a read of its state is valid once that is committed."""
        return PendingWrite(self.durable.state.sequence, self.primary.tenure)

    def is_current(self, write: PendingWrite) -> bool:
        """Return whether this store is primary, in the same tenure as that of the write."""
        return self.is_primary and write.tenure == self.primary.tenure

    def has_committed(self, write: PendingWrite) -> bool:
        """Return whether a write of the current tenure, with all before it, is held by all replicas."""
        leadership = self.primary.leadership
        if leadership is None or write.tenure != self.primary.tenure:
            return False
        return leadership.committed_sequence >= write.sequence

    def reachable_primary(self, now: float) -> Store | None:
        """Return another store that was primary recently, or None: callers may then try any store."""
        return self.context.detector.reachable_primary(now)

    def can_leave(self, now: float) -> bool:
        """Return whether this store may exit: as far as it knows, the open epoch no longer needs it."""
        return self.membership.can_leave(now)

    def announcement(self) -> Announce:
        """Return the announcement that this store sends to all other stores."""
        return self.membership.announcement()

    # Commands

    def propose(self, change: Change, now: float) -> PendingWrite | None:
        """Start replicating a write.

        Returns:
            The write, to be acknowledged once it is committed; None if this store cannot accept writes.
        """
        sequence = self.primary.propose(change, now) if self.is_ready else None
        return None if sequence is None else PendingWrite(sequence, self.primary.tenure)

    def begin_confirmation(self, now: float) -> int:
        """Ask all witnesses whether this is still the newest epoch (the read index of Raft, 6.4).

        Guards against a primary that was partitioned or paused and would answer a read from an old state.

        Returns:
            The number of the heartbeat to confirm, to be passed to `is_confirmed`.
        """
        if self.candidate.epoch_change:  # the next heartbeat, sent when the epoch opens, will confirm it
            return self.primary.next_heartbeat_number
        return self.primary.send_heartbeats(now)

    def is_confirmed(self, number: int) -> bool:
        """Return whether a majority has acknowledged this heartbeat or a later one."""
        leadership = self.primary.leadership
        return leadership is not None and leadership.confirmed_heartbeat >= number

    def leave(self, now: float) -> None:
        """Start a graceful shutdown: step down, but keep voting and holding the state until `can_leave`."""
        self.context.detector.is_leaving = True
        self.primary.resign(Reason.LEAVING, now)

    # Inputs and effects

    def drain(self) -> Effects:
        """Return and clear the pending effects: records to sync, then messages to send."""
        effects, self.context.effects = self.context.effects, Effects()
        return effects

    def tick(self, now: float, syncing_s: float = 0.0) -> None:
        """Run the timers.

        Args:
            now: The current time.
            syncing_s: How long the oldest sync in progress has taken. Above `STALLED_SYNC_S` the primary
                sends no heartbeats, so that another store takes over from one whose disk hangs.
        """
        is_stalled = syncing_s > STALLED_SYNC_S
        if self.candidate.epoch_change:
            self.candidate.maintain_epoch_change(now)
        elif not is_stalled:
            self._maintain(now)
        if not (self.candidate.epoch_change or is_stalled) and self.primary.is_heartbeat_due(now):
            self.primary.send_heartbeats(now)
        self.membership.record_wait(now)

    def receive(self, sender: str, message: Message, now: float) -> None:
        """Dispatch a message, which may come from this store itself, to the role that handles it."""
        if isinstance(message, Announce):
            self.membership.on_announce(message, now)
        elif isinstance(message, ToPrimary):
            self.primary.receive(sender, message, now)
        elif isinstance(message, ToCandidate):
            self.candidate.receive(sender, message, now)
        else:
            self._witness.receive(sender, message, now)

    def on_connection_lost(self, store_id: str, now: float) -> None:
        """Mark a store as disconnected: its connection ended for good."""
        self.membership.on_connection_lost(store_id, now)

    def _maintain(self, now: float) -> None:
        """As primary, start an epoch change if one is needed; otherwise handle a missing primary."""
        plan = self.primary.maintain_epoch(now) if self.is_primary else self._handle_missing_primary(now)
        if plan:
            self.candidate.start(plan, now)

    def _handle_missing_primary(self, now: float) -> EpochPlan | None:
        """Plan the bootstrap if there is no core, or start a pre-vote if the primary is suspected."""
        plan = self.membership.plan_bootstrap(now)
        if plan is None and self.context.detector.is_election_due(now):
            self.candidate.start_pre_vote(now)
        return plan

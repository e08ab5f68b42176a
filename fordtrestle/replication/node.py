"""One store in the replication of control state, as its callers see it. Pure.

Messages, the time and what the disk has synced are handed in; `drain` gives records to sync, and what may be
sent or acknowledged only after that sync.

The algorithm is primary-backup replication whose reconfigurations a majority of witnesses agrees on (Vertical
Paxos, Lamport, Malkhi and Zhou 2009), with witnesses that vote and need not hold the state (Harp, Liskov et
al. 1991) and with pre-votes (the Raft dissertation, 9.6). Each side of a store is a class of its own, in
`witness.py`, `primary.py`, `candidate.py` and `membership.py`; what they share is in `context.py`.
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

STALLED_SYNC_S = 0.6  # a sync that takes longer: the primary sends nothing, so that another takes over


@dataclass(frozen=True, slots=True)
class PendingWrite:
    """A write that is being replicated.

    Attributes:
        sequence: Its position in the order of writes.
        tenure: Of the primary that began it: another may give the position to another write.
    """

    sequence: int
    tenure: int


class Node:
    """All that one store knows and does. Times are s of a steady clock.

    It hands messages and ticks to the side that they are for, and answers its callers' questions; `primary`,
    `candidate`, `membership` and `context` are open to tests.
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
        """Make a store of what its disk holds.

        Args:
            me: This store.
            durable: What its disk holds.
            tolerated_failures: How many machines may be lost at once.
            counts_for_quorum: Whether this store may become a witness.
            draw: Gives numbers that are uniform in [0, 1).
            now: The time.
            seeds: Gives the control addresses that the settings name now.
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

    # questions of callers

    @property
    def epoch(self) -> Epoch | None:
        """The newest epoch that is known to be open."""
        return self.context.epoch

    @property
    def events(self) -> Events:
        """What operators are to know."""
        return self.context.events

    @property
    def is_primary(self) -> bool:
        """Whether this store acts as primary, as far as it knows."""
        return self.primary.leadership is not None

    @property
    def is_ready(self) -> bool:
        """Whether as many stores hold the state as have to before anything is acknowledged.

        Guards against the race with a candidate that has heard of the epoch from a minority alone: a majority
        of witnesses has to hold that it is open, or the next candidate would need the witness sets before
        it, of which this store may be the last one.
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
        """The newest epoch that this store knows, open or only accepted."""
        return self.epoch or self.durable.accepted_epoch

    @property
    def committed_state(self) -> ControlState | None:
        """The newest state that is known to be on all replicas, of a primary; None otherwise."""
        leadership = self.primary.leadership
        return leadership.committed_state if leadership else None

    @property
    def committed_sequence(self) -> int:
        """The sequence up to which the writes that this store holds are known to be committed.

        A store that lags may have heard of more than it holds.
        """
        leadership = self.primary.leadership
        if leadership:
            return leadership.committed_sequence
        return min(self.context.committed_sequence, self.durable.state.sequence)

    @property
    def newest_write(self) -> PendingWrite:
        """The newest write that this store holds: what rests on its state holds once that is committed."""
        return PendingWrite(self.durable.state.sequence, self.primary.tenure)

    def is_current(self, write: PendingWrite) -> bool:
        """Whether this store has been primary ever since that write was its newest."""
        return self.is_primary and write.tenure == self.primary.tenure

    def has_committed(self, write: PendingWrite) -> bool:
        """Whether a write of this tenure, with all before it, is on all replicas."""
        leadership = self.primary.leadership
        if leadership is None or write.tenure != self.primary.tenure:
            return False
        return leadership.committed_sequence >= write.sequence

    def reachable_primary(self, now: float) -> Store | None:
        """Another store that was primary lately; None where callers had better try any store."""
        return self.context.detector.reachable_primary(now)

    def can_leave(self, now: float) -> bool:
        """Whether this store may end: as far as it knows, an epoch is open that needs it no more."""
        return self.membership.can_leave(now)

    def announcement(self) -> Announce:
        """What this store says of itself."""
        return self.membership.announcement()

    # requests of callers

    def propose(self, change: Change, now: float) -> PendingWrite | None:
        """Begin a write.

        Returns:
            The write, acknowledged once it is committed; None where this store can't take any.
        """
        sequence = self.primary.propose(change, now) if self.is_ready else None
        return None if sequence is None else PendingWrite(sequence, self.primary.tenure)

    def begin_confirmation(self, now: float) -> int:
        """Ask all witnesses whether this is still the newest epoch (the read index of Raft, 6.4).

        Guards against a primary that was cut off, or stood still, and answers a read from an old state.

        Returns:
            The number of the heartbeat that tells; to be handed to `is_confirmed`.
        """
        if self.candidate.epoch_change:  # the epoch that is being opened will tell
            return self.primary.next_heartbeat_number
        return self.primary.send_heartbeats(now)

    def is_confirmed(self, number: int) -> bool:
        """Whether a majority has answered this heartbeat, or one that was sent later."""
        leadership = self.primary.leadership
        return leadership is not None and leadership.confirmed_number >= number

    def leave(self, now: float) -> None:
        """Prepare to end: stay until `can_leave`, as a voter and with the state, but lead no more."""
        self.context.detector.is_leaving = True
        self.primary.resign(Reason.LEAVING, now)

    # what happens to this store

    def drain(self) -> Effects:
        """What is to be synced and then sent, once each."""
        effects, self.context.effects = self.context.effects, Effects()
        return effects

    def tick(self, now: float, syncing_s: float = 0.0) -> None:
        """Let timers act.

        Args:
            now: The time.
            syncing_s: For how long the disk has been at the oldest sync. Where that is too long, the primary
                sends no heartbeats: another store takes over from one whose disk hangs.
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
        """Hand a message from a store, which may be this one, to the side that it is for."""
        if isinstance(message, Announce):
            self.membership.on_announce(message, now)
        elif isinstance(message, ToPrimary):
            self.primary.receive(sender, message, now)
        elif isinstance(message, ToCandidate):
            self.candidate.receive(sender, message, now)
        else:
            self._witness.receive(sender, message, now)

    def on_connection_lost(self, store_id: str, now: float) -> None:
        """The connection to a store has ended and does not come back."""
        self.membership.on_connection_lost(store_id, now)

    def _maintain(self, now: float) -> None:
        """Change the epoch where that is needed, or handle that the primary is missing."""
        plan = self.primary.maintain_epoch(now) if self.is_primary else self._handle_missing_primary(now)
        if plan:
            self.candidate.start(plan, now)

    def _handle_missing_primary(self, now: float) -> EpochPlan | None:
        """Bootstrap the core where there is none, or ask for pre-votes where the primary is suspected."""
        plan = self.membership.plan_bootstrap(now)
        if plan is None and self.context.detector.is_due(now):
            self.candidate.start_pre_vote(now)
        return plan

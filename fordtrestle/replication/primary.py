"""The primary role of a store: replicates writes, sends heartbeats and steps down. Pure."""

from __future__ import annotations

from fordtrestle.replication.context import StoreContext
from fordtrestle.replication.epoch_plan import EpochPlan
from fordtrestle.replication.epochs import Epoch
from fordtrestle.replication.events import EpochOpened, Reason, SteppedDown, WriteLate
from fordtrestle.replication.leadership import Leadership
from fordtrestle.replication.messages import (
    Append,
    Appended,
    CommitNotice,
    Heartbeat,
    HeartbeatAck,
    Install,
    Resign,
    ToPrimary,
)
from fordtrestle.replication.reconfiguration import CoreView, plan_next_epoch
from fordtrestle.replication.state import Change

HEARTBEAT_INTERVAL_S = 0.25  # more than four fit into an election timeout


class Primary:
    """Leads an epoch while this store is its primary. Times are in seconds of a monotonic clock."""

    def __init__(self, context: StoreContext, now: float) -> None:
        self.leadership: Leadership | None = None  # None unless this store is primary
        self.tenure = 0  # how often this store has stepped down
        self._context = context
        self._heartbeat_at = now
        self._heartbeat_number = 0  # of the newest heartbeat sent

    @property
    def next_heartbeat_number(self) -> int:
        """The number that the next heartbeat will have."""
        return self._heartbeat_number + 1

    def begin_epoch(
        self, epoch: Epoch, *, is_committed: bool, reason: Reason, took_s: float, now: float
    ) -> None:
        """Become the primary of an epoch that was opened.

        Args:
            epoch: The epoch.
            is_committed: Whether no votes of earlier witness sets are needed to open a later epoch.
            reason: Why it was opened.
            took_s: How long the epoch change took, in seconds.
            now: The current time.
        """
        context = self._context
        context.epoch = epoch
        context.detector.on_elected()
        state = context.durable.state
        sequence = state.sequence
        self.leadership = Leadership(
            epoch, committed_state=state, confirmed_at=now, is_committed=is_committed
        )
        for replica in epoch.replicas:
            self.leadership.on_appended(replica, sequence)
        context.sync(context.durable.learn_epoch(epoch))
        self.send_heartbeats(now)
        number, witnesses = epoch.term.number, epoch.witness_ids
        context.events.record(EpochOpened(number, epoch.core, reason, epoch.replicas, witnesses, took_s))

    def propose(self, change: Change, now: float) -> int | None:
        """Start replicating a write.

        Guards against a race with a newer candidate: if this store has prepared a newer term, it rejects its
        own write as any other replica would.

        Returns:
            The sequence of the write, or None if this store cannot accept writes.
        """
        leadership, context = self.leadership, self._context
        if leadership is None:
            return None
        term, sequence = context.durable.installed_term, context.durable.state.sequence + 1
        records = context.durable.append(term, sequence, change)
        if records is None:
            return None
        leadership.begin_append(context.durable.state, now)
        context.sync(records)
        context.send(context.me.id, Appended(term, sequence))
        for store_id in leadership.epoch.witness_ids:  # non-replicas too, so that they can step in at once
            if store_id != context.me.id:
                context.send(store_id, Append(term, sequence, change))
        return sequence

    def receive(self, sender: str, message: ToPrimary, now: float) -> None:
        """Handle a message that is addressed to the primary."""
        match message:
            case HeartbeatAck():
                self.on_heartbeat_ack(sender, message, now)
            case Appended():
                self.on_appended(sender, message)

    def on_heartbeat_ack(self, sender: str, message: HeartbeatAck, now: float) -> None:
        """Count a heartbeat acknowledgement, and send the whole state to the witness if it lags."""
        leadership, context = self.leadership, self._context
        if leadership is None or message.term != leadership.epoch.term:
            return
        leadership.on_heartbeat_ack(sender, message.number, now)
        state, term = context.durable.state, leadership.epoch.term
        held_sequence = message.sequence if message.installed_term == term else -1
        if held_sequence >= 0 and context.durable.installed_term == term:
            self._count_appended(leadership, sender, held_sequence)
        is_witness = sender in leadership.epoch.witness_ids
        if is_witness and leadership.catch_up.is_due(sender, held_sequence, state.sequence, now):
            context.send(sender, Install(term, state))

    def on_appended(self, sender: str, message: Appended) -> None:
        """Count the writes that a store has appended.

        Guards against delayed responses: those of another term are ignored.
        """
        leadership = self.leadership
        if leadership and message.term == leadership.epoch.term == self._context.durable.installed_term:
            self._count_appended(leadership, sender, message.sequence)

    def is_heartbeat_due(self, now: float) -> bool:
        """Return whether the heartbeat interval has passed since the last heartbeat."""
        return now >= self._heartbeat_at

    def send_heartbeats(self, now: float) -> int:
        """Send a heartbeat to all known stores, if this store is primary.

        Returns:
            The number of the newest heartbeat.
        """
        leadership, context = self.leadership, self._context
        if leadership:
            self._heartbeat_number += 1
            self._heartbeat_at = now + HEARTBEAT_INTERVAL_S
            message = Heartbeat(leadership.epoch, self._heartbeat_number, leadership.committed_sequence)
            for store_id in sorted(context.peers.ids() | set(leadership.epoch.witness_ids)):
                context.send(store_id, message)
        return self._heartbeat_number

    def maintain_epoch(self, now: float) -> EpochPlan | None:
        """Step down if the majority is lost; otherwise check whether a new epoch is needed.

        Returns:
            The plan for the next epoch, or None if the current epoch can continue.
        """
        leadership, context = self.leadership, self._context
        if leadership is None:
            return None
        if leadership.has_lost_majority(now):
            # If only the path back to this store is broken, the others still receive the resignation.
            self.resign(Reason.OUT_OF_TOUCH, now)
            return None
        if leadership.is_stalled(now) and leadership.record_late_write():
            lagging = tuple(sorted(leadership.lagging()))
            context.events.record(WriteLate(context.durable.state.sequence, lagging))
        return plan_next_epoch(self._core_view(leadership, now))

    def resign(self, reason: Reason, now: float) -> None:
        """Step down, and notify the witnesses so that they need not wait for an election timeout."""
        leadership, context = self.leadership, self._context
        if leadership is None:
            return
        for witness in leadership.epoch.witness_ids:
            if witness != context.me.id:
                context.send(witness, Resign(leadership.epoch.term))
        self.step_down(reason, now)

    def step_down(self, reason: Reason, now: float) -> None:
        """Stop leading, and wait for another primary. Writes in flight are not acknowledged."""
        context = self._context
        if self.leadership:
            context.events.record(SteppedDown(self.leadership.epoch.term.number, reason))
            self.tenure += 1
        self.leadership = None
        context.await_primary(now)

    def _count_appended(self, leadership: Leadership, replica: str, sequence: int) -> None:
        """Count a store's writes, and notify the other witnesses at once if that committed any."""
        if leadership.on_appended(replica, sequence):
            notice = CommitNotice(leadership.epoch.term, leadership.committed_sequence)
            for store_id in leadership.epoch.witness_ids:
                if store_id != self._context.me.id:
                    self._context.send(store_id, notice)

    def _core_view(self, leadership: Leadership, now: float) -> CoreView:
        context, epoch = self._context, leadership.epoch
        others = [store_id for store_id in epoch.witness_ids if store_id != epoch.primary]
        peers, heard_at = context.peers, context.detector.last_heard_at
        return CoreView(
            epoch=epoch,
            live=frozenset({epoch.primary} | peers.live(now)),
            leaving=peers.leaving(),
            joining=tuple(peers.joining(epoch.witness_ids, now)),
            replaceable=tuple(peers.replaceable(others, heard_at, now)),
            is_write_stalled=leadership.is_stalled(now),
            witness_count=context.witness_count,
            replica_count=context.replica_count,
        )

"""The primary's side of one store: it replicates writes, sends heartbeats and steps down. Pure."""

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

HEARTBEAT_INTERVAL_S = 0.25  # four and more fit into an election time-out


class Primary:
    """What a store does while it is primary of an epoch. Times are s of a steady clock."""

    def __init__(self, context: StoreContext, now: float) -> None:
        self.leadership: Leadership | None = None  # while this store is primary
        self.tenure = 0  # how often this store has stepped down
        self._context = context
        self._heartbeat_at = now
        self._heartbeat_number = 0  # of the newest heartbeat

    @property
    def next_heartbeat_number(self) -> int:
        """The number that the next heartbeat will have."""
        return self._heartbeat_number + 1

    def begin_epoch(
        self, epoch: Epoch, *, is_committed: bool, reason: Reason, took_s: float, now: float
    ) -> None:
        """Lead an epoch that was opened.

        Args:
            epoch: The epoch.
            is_committed: Whether no earlier witness set has to be asked about it.
            reason: What it was opened for.
            took_s: How long opening it took.
            now: The time.
        """
        context = self._context
        context.epoch = epoch
        context.detector.on_leading()
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
        """Begin to replicate a write.

        Guards against the race with a newer candidate: where this store has prepared a newer term, its own
        disk refuses the write as any other replica's does.

        Returns:
            The sequence of the write, or None where this store can't take any.
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
        for store_id in leadership.epoch.witness_ids:  # those that are no replicas follow, to step in at once
            if store_id != context.me.id:
                context.send(store_id, Append(term, sequence, change))
        return sequence

    def receive(self, sender: str, message: ToPrimary, now: float) -> None:
        """Take in a message that is meant for the primary."""
        match message:
            case HeartbeatAck():
                self.on_heartbeat_ack(sender, message, now)
            case Appended():
                self.on_appended(sender, message)

    def on_heartbeat_ack(self, sender: str, message: HeartbeatAck, now: float) -> None:
        """Count the answer of a witness, and send it the whole state where it lags."""
        leadership, context = self.leadership, self._context
        if leadership is None or message.term != leadership.epoch.term:
            return
        leadership.on_heartbeat_ack(sender, message.number, now)
        state, term = context.durable.state, leadership.epoch.term
        held = message.sequence if message.installed_term == term else -1
        if held >= 0 and context.durable.installed_term == term:
            self._count_appended(leadership, sender, held)
        follows = sender in leadership.epoch.witness_ids
        if follows and leadership.catch_up.is_due(sender, held, state.sequence, now):
            context.send(sender, Install(term, state))

    def on_appended(self, sender: str, message: Appended) -> None:
        """Count the writes that a replica holds.

        Guards against answers that come late: those of another term count for nothing.
        """
        leadership = self.leadership
        if leadership and message.term == leadership.epoch.term == self._context.durable.installed_term:
            self._count_appended(leadership, sender, message.sequence)

    def is_heartbeat_due(self, now: float) -> bool:
        """Whether the interval since the last heartbeat has passed."""
        return now >= self._heartbeat_at

    def send_heartbeats(self, now: float) -> int:
        """Send a heartbeat to all stores that are known, if this store is primary.

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
        """Step down where no majority answers, else look whether another epoch is needed.

        Returns:
            The epoch that is to be opened next, or None where this one serves.
        """
        leadership, context = self.leadership, self._context
        if leadership is None:
            return None
        if leadership.is_out_of_touch(now):
            # Others hear of it where only the way back to this store is cut.
            self.resign(Reason.OUT_OF_TOUCH, now)
            return None
        if leadership.is_stalled(now) and leadership.record_late():
            lagging = tuple(sorted(leadership.lagging()))
            context.events.record(WriteLate(context.durable.state.sequence, lagging))
        return plan_next_epoch(self._view(leadership, now))

    def resign(self, reason: Reason, now: float) -> None:
        """Step down, and let the witnesses know, so that none waits for its election time-out."""
        leadership, context = self.leadership, self._context
        if leadership is None:
            return
        for witness in leadership.epoch.witness_ids:
            if witness != context.me.id:
                context.send(witness, Resign(leadership.epoch.term))
        self.step_down(reason, now)

    def step_down(self, reason: Reason, now: float) -> None:
        """Lead no more, and wait for another primary; what is under way is left without an answer."""
        context = self._context
        if self.leadership:
            context.events.record(SteppedDown(self.leadership.epoch.term.number, reason))
            self.tenure += 1
        self.leadership = None
        context.await_primary(now)

    def _count_appended(self, leadership: Leadership, replica: str, sequence: int) -> None:
        """Count a replica's writes, and let followers know at once of what is committed by them."""
        if leadership.on_appended(replica, sequence):
            notice = CommitNotice(leadership.epoch.term, leadership.committed_sequence)
            for store_id in leadership.epoch.witness_ids:
                if store_id != self._context.me.id:
                    self._context.send(store_id, notice)

    def _view(self, leadership: Leadership, now: float) -> CoreView:
        context, epoch = self._context, leadership.epoch
        others = [store_id for store_id in epoch.witness_ids if store_id != epoch.primary]
        peers, heard_at = context.peers, context.detector.heard_at
        return CoreView(
            epoch=epoch,
            live=frozenset({epoch.primary} | peers.live(now)),
            leaving=peers.leaving(),
            joining=tuple(peers.joining(epoch.witness_ids, now)),
            giving_up=tuple(peers.giving_up(others, heard_at, now)),
            is_write_stalled=leadership.is_stalled(now),
            witness_count=context.witness_count,
            replica_count=context.replica_count,
        )

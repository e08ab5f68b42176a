"""One control process in the replication of control state: witness, replica, candidate and primary. Pure.

Messages, the time and what the disk has synced are handed in; `drain` gives records to sync, and what may be
sent or said only after that sync. A store sends to itself through the same way, so that its own votes count
no sooner.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass, field

from fordtrestle.replication import messages as wire
from fordtrestle.replication.bootstrap import Bootstrap, BootstrapPlan
from fordtrestle.replication.candidate import Candidate
from fordtrestle.replication.durable import Durable
from fordtrestle.replication.epoch_change import Outgoing
from fordtrestle.replication.epochs import Epoch, Store, Term, is_same_core, no_epoch
from fordtrestle.replication.events import (
    EpochChangeFailed,
    EpochChangeStarted,
    EpochOpened,
    Events,
    ForeignStoreSeen,
    Reason,
    StateSent,
    SteppedDown,
    WaitReason,
    WriteLate,
)
from fordtrestle.replication.failure_detector import PrimaryFailureDetector
from fordtrestle.replication.leadership import Leadership
from fordtrestle.replication.messages import Message, Record
from fordtrestle.replication.peer_table import PeerTable
from fordtrestle.replication.reconfiguration import planned_witnesses, reason_for_new_epoch
from fordtrestle.replication.state import Change, ControlState
from fordtrestle.replication.voting import GrantedVote, Question, vote

HEARTBEAT_INTERVAL_S = 0.25
STALLED_SYNC_S = 0.6  # a sync that takes longer: the primary falls silent, so that another takes over


@dataclass(frozen=True, slots=True)
class PendingWrite:
    """A write under way; `sequence` is its place in the order."""

    sequence: int


@dataclass(slots=True)
class Effects:
    """Records to sync, then messages that may be sent."""

    records: list[Record] = field(default_factory=list)
    messages: list[Outgoing] = field(default_factory=list)

    def __bool__(self) -> bool:
        return bool(self.records or self.messages)


class Node:
    """All that one store knows and does. Times are s of a steady clock."""

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
        """`machines` may be lost at once; `draw` is uniform in [0, 1); `seeds` gives the control addresses
        that the settings name now.
        """
        self.me = me
        self.durable = durable
        self.epoch: Epoch | None = None  # the newest one known to be open
        self.events = Events()
        self._target = 2 * tolerated_failures + 1
        self._replicas = tolerated_failures + 1
        self._counts_for_quorum = counts_for_quorum
        self._seeds = seeds
        self._effects = Effects()
        self._peers = PeerTable()
        self._bootstrap = Bootstrap(me, tolerated_failures, counts_for_quorum, now)
        self._leadership: Leadership | None = None  # as primary
        self._candidate = Candidate(me, tolerated_failures + 1)
        self._heartbeat_at = now
        self._heartbeat_number = 0  # of heartbeats, as primary
        self._detector = PrimaryFailureDetector(me.id, durable.accepted_epoch, draw, now)

    # what callers ask

    @property
    def is_primary(self) -> bool:
        """Whether this store acts as primary, as far as it knows."""
        return self._leadership is not None

    @property
    def is_ready(self) -> bool:
        """Whether as many hold the state as have to before anything is acknowledged.

        A majority of witnesses has to hold that the epoch is open: else the next candidate would need the
        witness sets before it, of which this store may be the last one.
        """
        leadership = self._leadership
        return bool(
            leadership
            and leadership.is_committed
            and not self._candidate.epoch_change
            and len(leadership.epoch.replicas) >= self._replicas
            and len(leadership.epoch.witnesses) >= self._target
        )

    def reachable_primary(self, now: float) -> Store | None:
        """Another store that was heard to be primary lately; nothing where callers had better try anyone."""
        return self._detector.reachable_primary(now)

    def can_leave(self, now: float) -> bool:
        """Whether this store may end: as far as it knows, an epoch is open that needs it no more.

        It is needed as a replica, and as a witness while another store waits for its place. Where all others
        have said that they end, too, there is nothing to wait for; those that are not heard have not said so.
        """
        epoch = self.epoch
        staying = self._peers.ids() - self._peers.leaving() - {self.me.id}
        if not staying:
            return True
        is_active = bool(self._leadership or self._candidate.epoch_change)
        if is_active or epoch is None or self.durable.prepared_term > epoch.term:
            return False
        waiting = self._peers.joining(epoch.witness_ids, now)
        needed = epoch.witness_ids if waiting else epoch.replicas
        return self.me.id not in needed

    @property
    def newest_epoch(self) -> Epoch | None:
        """The newest epoch that this store knows, open or only accepted."""
        return self.epoch or self.durable.accepted_epoch

    @property
    def committed_state(self) -> ControlState | None:
        """The state, where all of it is known to be on all replicas."""
        state = self.durable.state
        leadership = self._leadership
        return state if leadership and leadership.committed == state.sequence else None

    def propose(self, change: Change, now: float) -> PendingWrite | None:
        """Begin a write; nothing where this store can take none."""
        leadership = self._leadership
        if leadership is None or not self.is_ready:
            return None
        term, sequence = self.durable.installed_term, self.durable.state.sequence + 1
        leadership.begin_append(now)
        records = self.durable.append(term, sequence, change)
        if records is None:  # a newer term was promised: this store is being superseded
            return None
        self._write(records)
        self._send(self.me.id, wire.Appended(term, sequence))
        for store_id in leadership.epoch.witness_ids:  # those that are no replicas follow, to step in at once
            if store_id != self.me.id:
                self._send(store_id, wire.Append(term, sequence, change))
        return PendingWrite(sequence)

    def leave(self, now: float) -> None:
        """Make ready to end: stay until `may_leave`, as a voter and with the state, but lead no more."""
        self._detector.is_leaving = True
        if self._leadership:
            self._resign(self._leadership, Reason.LEAVING, now)

    def begin_confirmation(self, now: float) -> int:
        """Ask all witnesses whether this is still the newest epoch; the round that will tell."""
        if self._candidate.epoch_change:
            return self._heartbeat_number + 1  # of the epoch that is being opened
        self._send_heartbeats(now)
        return self._heartbeat_number

    def is_confirmed(self, round_number: int) -> bool:
        """Whether a majority has answered a round that was asked no earlier."""
        return self._leadership is not None and self._leadership.confirmed_number >= round_number

    def announcement(self) -> wire.Announce:
        """What this store says of itself."""
        durable = self.durable
        return wire.Announce(
            self.me, self._counts_for_quorum, self._detector.is_leaving, durable.core, durable.is_founder
        )

    # events

    def drain(self) -> Effects:
        """What is to be synced and then sent."""
        effects, self._effects = self._effects, Effects()
        return effects

    def tick(self, now: float, syncing_s: float = 0.0) -> None:
        """Let timers act; `syncing_s` is for how long the disk has been at the oldest sync."""
        stalled = syncing_s > STALLED_SYNC_S
        if self._candidate.epoch_change:
            self._maintain_epoch_change(now)
        elif self._leadership:
            if not stalled:
                self._maintain_epoch(self._leadership, now)
        elif not stalled:
            self._handle_missing_primary(now)
        if not (self._candidate.epoch_change or stalled) and now >= self._heartbeat_at:
            self._send_heartbeats(now)
        self._record_wait(now)

    def receive(self, sender: str, message: Message, now: float) -> None:
        """Take in a message from a store."""
        match message:
            case wire.Announce():
                self._on_announce(message, now)
            case wire.Heartbeat():
                self._on_heartbeat(sender, message, now)
            case wire.Resign(term):
                self._on_resign(term, now)
            case wire.HeartbeatAck():
                self._on_heartbeat_ack(sender, message, now)
            case wire.PreVote():
                self._on_pre_vote(sender, message, now)
            case wire.PreVoteGrant():
                self._on_pre_vote_grant(sender, message, now)
            case wire.Rejected():
                self._on_rejected(message, now)
            case wire.Appended():
                self._on_appended(sender, message)
            case wire.Prepare() | wire.Install() | wire.Accept() | wire.Append():
                self._vote(sender, message, now)
            case wire.Prepared() | wire.Installed() | wire.Accepted():
                self._advance_epoch_change(sender, message, now)

    # witness and replica

    def _vote(self, sender: str, question: Question, now: float) -> None:
        voted = vote(self.durable, question)
        if not isinstance(voted, GrantedVote):
            if voted:
                self._send(sender, voted)
            return
        if sender != self.me.id:
            self._yield_to(voted.term, now)
        self._write(voted.records)
        self._send(sender, voted.answer)

    def _yield_to(self, term: Term, now: float) -> None:
        """Another store acts under this term: an older primary or candidate is none any more."""
        self._detector.is_returning = False
        change = self._candidate.epoch_change
        if change and term > change.term:
            self._abandon_epoch_change(Reason.NEWER_TERM, now)
        if self._leadership and term > self._leadership.epoch.term:
            self._step_down(Reason.NEWER_TERM, now)
        self._await_primary(now)

    def _resign(self, leadership: Leadership, why: Reason, now: float) -> None:
        for witness in leadership.epoch.witness_ids:
            if witness != self.me.id:
                self._send(witness, wire.Resign(leadership.epoch.term))
        self._step_down(why, now)

    def _step_down(self, why: Reason, now: float) -> None:
        if self._leadership:
            self.events.record(SteppedDown(self._leadership.epoch.term.number, why))
        self._leadership = None
        self._await_primary(now)

    def _on_heartbeat(self, sender: str, message: wire.Heartbeat, now: float) -> None:
        epoch = message.epoch
        core = self.durable.core
        if core and not is_same_core(core, epoch.core):
            return
        if epoch.term < self.durable.prepared_term:
            self._send(sender, wire.Rejected(epoch.term, self.durable.prepared_term))
            return
        durable = self.durable
        self._write(durable.learn_epoch(epoch))
        position = (durable.installed_term, durable.state.sequence)
        self._send(sender, wire.HeartbeatAck(epoch.term, message.number, *position))
        self.epoch = epoch
        if sender == self.me.id:
            return
        self._detector.on_heartbeat(epoch.store(epoch.primary), now)
        self._yield_to(epoch.term, now)

    # primary

    def _send_heartbeats(self, now: float) -> None:
        leadership = self._leadership
        if leadership is None:
            return
        self._heartbeat_number += 1
        self._heartbeat_at = now + HEARTBEAT_INTERVAL_S
        message = wire.Heartbeat(leadership.epoch, self._heartbeat_number)
        for store_id in sorted(self._peers.ids() | set(leadership.epoch.witness_ids)):
            self._send(store_id, message)

    def _on_heartbeat_ack(self, sender: str, message: wire.HeartbeatAck, now: float) -> None:
        leadership = self._leadership
        if leadership is None or message.term != leadership.epoch.term:
            return
        leadership.on_heartbeat_ack(sender, message.number, now)
        state, term = self.durable.state, leadership.epoch.term
        held = message.sequence if message.installed_term == term else -1
        if held >= 0 and self.durable.installed_term == term:
            leadership.on_appended(sender, held)
        follows = sender in leadership.epoch.witness_ids
        if follows and leadership.catch_up.is_due(sender, held, state.sequence, now):
            self._send(sender, wire.Install(term, state))

    def _on_appended(self, sender: str, message: wire.Appended) -> None:
        leadership = self._leadership
        if leadership and message.term == leadership.epoch.term == self.durable.installed_term:
            leadership.on_appended(sender, message.sequence)

    def _maintain_epoch(self, leadership: Leadership, now: float) -> None:
        """Change the epoch where a replica is silent, or a store waits for a place."""
        if leadership.is_out_of_touch(now):
            # Others hear of it where only the way back is cut.
            self._resign(leadership, Reason.OUT_OF_TOUCH, now)
            return
        if leadership.is_stalled(now) and leadership.record_late():
            missing = tuple(sorted(leadership.lagging()))
            self.events.record(WriteLate(self.durable.state.sequence, missing))
        epoch, peers = leadership.epoch, self._peers
        planned = planned_witnesses(epoch, peers, self._detector.heard_at, self._target, now)
        why = reason_for_new_epoch(leadership, peers, planned, self._replicas, now)
        if why:
            self._start_epoch_change(epoch, planned, why, now)

    # without a primary

    def _handle_missing_primary(self, now: float) -> None:
        """Found the core where there is none, or ask for the primary's place where it is missed."""
        plan = self._plan_bootstrap(now)
        if plan:
            self._start_epoch_change(no_epoch(self.me), plan.witnesses, Reason.BOOTSTRAP, now, plan.unanimous)
        elif self._detector.is_due(now):
            self._start_pre_vote(now)

    def _plan_bootstrap(self, now: float) -> BootstrapPlan | None:
        if self.durable.accepted_epoch or self._detector.is_leaving:
            return None
        heard = self._peers.announced(now)
        return self._bootstrap.plan(self.durable.is_founder, heard, self._seeds(), now)

    def _await_primary(self, now: float) -> None:
        """Wait for the primary once more before anything is done about it."""
        self._detector.reset_timer(self.durable.accepted_epoch, now)
        self._candidate.stop_asking()

    def _on_announce(self, message: wire.Announce, now: float) -> None:
        """Another store has announced itself: one of another core has nothing to do with this one."""
        core = self.durable.core
        if self._peers.is_newly_foreign(message, core):
            store = message.store
            self.events.record(ForeignStoreSeen(store.id, store.address, message.core))
        if self._peers.is_foreign(message, core):
            return
        self._peers.on_announce(message, now)
        self._notice_lost_primary(message.store, now)

    def _notice_lost_primary(self, store: Store, now: float) -> None:
        """Another store in the primary's machine: its disk was lost, and waiting for it is in vain."""
        accepted = self.durable.accepted_epoch
        primary = accepted.store(accepted.primary) if accepted else None
        if primary and primary.id != store.id and primary.address == store.address:
            self._detector.mark_lost(primary.id, now)

    def on_connection_lost(self, store_id: str, now: float) -> None:
        """The link to a store has ended and does not come back: the process has ended, or is cut off."""
        if store_id not in self._peers.ids():
            return
        self._peers.mark_disconnected(store_id)
        accepted = self.durable.accepted_epoch
        if accepted and accepted.primary == store_id:
            self._detector.mark_lost(store_id, now)

    def _on_resign(self, term: Term, now: float) -> None:
        accepted = self.durable.accepted_epoch
        if accepted and accepted.term == term:
            self._detector.mark_lost(accepted.primary, now)

    def _start_pre_vote(self, now: float) -> None:
        """Ask the witnesses whether they miss the primary, too.

        Stores that are no replicas ask as well: each may be one of an epoch that it has yet to hear of.
        """
        self._detector.reset_timer(self.durable.accepted_epoch, now)
        again = self._detector.is_returning
        self._send_all(self._candidate.ask(self.durable, self._peers.ids(), again))

    def _on_pre_vote(self, sender: str, message: wire.PreVote, now: float) -> None:
        misses = self._detector.suspects(self.durable.accepted_epoch, sender, now)
        if misses and not (self._leadership and sender != self.me.id):
            answer = wire.PreVoteGrant(
                message.attempt, self.durable.prepared_term, self.durable.accepted_epoch
            )
            self._send(sender, answer)

    def _on_pre_vote_grant(self, sender: str, message: wire.PreVoteGrant, now: float) -> None:
        if not self._candidate.is_asking(message):
            return
        known = self.durable.accepted_epoch
        if message.accepted_epoch:
            self._write(self.durable.learn_epoch(message.accepted_epoch))
        accepted = self.durable.accepted_epoch
        if accepted is None or (known is None or accepted.term > known.term):
            self._await_primary(now)
        elif self._candidate.granted(sender, message, accepted):
            self._start_epoch_change(accepted, accepted.witnesses, Reason.PRIMARY_LOST, now)

    # openings

    def _start_epoch_change(
        self,
        base: Epoch,
        witnesses: tuple[Store, ...],
        why: Reason,
        now: float,
        unanimous: frozenset[str] = frozenset(),
    ) -> None:
        started = self._candidate.open(
            base,
            witnesses,
            why,
            prepared_term=self.durable.prepared_term,
            leaving=self._peers.leaving(),
            unanimous=unanimous,
            now=now,
        )
        assert self._candidate.epoch_change is not None
        number = self._candidate.epoch_change.term.number
        self.events.record(EpochChangeStarted(number, why, tuple(store.id for store in witnesses)))
        self._send_all(started)

    def _maintain_epoch_change(self, now: float) -> None:
        live = {self.me.id} | self._peers.live(now)
        if self._candidate.is_overdue(live, now):
            self._abandon_epoch_change(Reason.TIMED_OUT, now)
        else:
            self._send_all(self._candidate.repeat(self.durable, now))

    def _abandon_epoch_change(self, why: Reason, now: float) -> None:
        change = self._candidate.close()
        if change:
            answered = tuple(sorted(change.prepared))
            self.events.record(EpochChangeFailed(change.term.number, why, answered, now - change.began_at))
            if change.is_bootstrap:
                self._bootstrap.on_failed(now)
        self._step_down(why, now)

    def _advance_epoch_change(self, sender: str, message: Message, now: float) -> None:
        self._send_all(self._candidate.advance(sender, message, self.durable))
        change = self._candidate.epoch_change
        if change is None:
            return
        if change.newer:
            newer = change.newer
            self._abandon_epoch_change(Reason.NEWER_TERM, now)
            self._write(self.durable.learn_epoch(newer))
            self._await_primary(now)
        elif change.opened:
            self._candidate.close()
            known = change.proposed is not None and change.proposed.is_committed
            self._begin_epoch(change.opened, known, now - change.began_at, now)

    def _begin_epoch(self, epoch: Epoch, is_committed: bool, took_s: float, now: float) -> None:
        self.epoch = epoch
        self._detector.on_leading()
        sequence = self.durable.state.sequence
        self._leadership = Leadership(epoch, committed=sequence, confirmed_at=now, is_committed=is_committed)
        for replica in epoch.replicas:
            self._leadership.on_appended(replica, sequence)
        self._write(self.durable.learn_epoch(epoch))
        self._send_heartbeats(now)
        why, witnesses = self._candidate.reason, epoch.witness_ids
        self.events.record(EpochOpened(epoch.term.number, epoch.core, why, epoch.replicas, witnesses, took_s))

    def _on_rejected(self, message: wire.Rejected, now: float) -> None:
        """A newer term is about: stand back, or exceed it at the next try."""
        candidate = self._candidate
        candidate.newest_term = max(candidate.newest_term, message.prepared_term)
        if candidate.epoch_change and message.term == candidate.epoch_change.term:
            self._abandon_epoch_change(Reason.NEWER_TERM, now)
        elif self.epoch and message.term == self.epoch.term and message.prepared_term.store != self.me.id:
            self._step_down(Reason.NEWER_TERM, now)

    # what goes out

    def _record_wait(self, now: float) -> None:
        """Let operators know what this store waits for."""
        wait = self._wait_reason(now)
        if not self.events.is_wait_due(wait, now):
            return
        heard = self._peers.announced(now)
        missing = tuple(self._bootstrap.missing_seeds(heard, self._seeds()))
        self.events.record_wait(len(heard), missing, now)

    def _wait_reason(self, now: float) -> WaitReason | None:
        if self._leadership or self._candidate.epoch_change:
            return None
        if self.durable.accepted_epoch is None:
            return WaitReason.STORES if self.durable.is_founder else WaitReason.FOUNDER
        if self._detector.reachable_primary(now) is None:
            return WaitReason.PRIMARY
        is_in = self.epoch is not None and self.me.id in self.epoch.witness_ids
        return WaitReason.ADMISSION if self._counts_for_quorum and not is_in else None

    def _write(self, records: Sequence[Record]) -> None:
        self._effects.records.extend(records)

    def _send_all(self, messages: Iterable[Outgoing]) -> None:
        for receiver, message in messages:
            self._send(receiver, message)

    def _send(self, receiver: str, message: Message) -> None:
        if isinstance(message, wire.Install) and receiver != self.me.id:
            state = message.state
            self.events.record(StateSent(receiver, state.sequence, len(state.document)))
        self._effects.messages.append((receiver, message))

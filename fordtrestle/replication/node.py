"""One control process in the replication of control state: witness, replica, candidate and primary. Pure.

Messages, the time and what the disk has synced are handed in; `drain` gives records to sync, and what may be
sent or said only after that sync. A store sends to itself through the same way, so that its own votes count
no sooner.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass, field

from fordtrestle.replication import messages as wire
from fordtrestle.replication.candidacy import Candidacy
from fordtrestle.replication.contacts import Contacts
from fordtrestle.replication.durable import Durable
from fordtrestle.replication.epochs import Epoch, Store, Term, is_same_core, no_epoch
from fordtrestle.replication.events import (
    EpochOpened,
    Events,
    OpeningBegan,
    OpeningFailed,
    StateSent,
    SteppedDown,
    StrangerMet,
    Wait,
    Why,
    WriteLate,
)
from fordtrestle.replication.founding import Founding, FoundingPlan
from fordtrestle.replication.leadership import Leadership
from fordtrestle.replication.messages import Message, Record
from fordtrestle.replication.opening import Outgoing
from fordtrestle.replication.primary_watch import PrimaryWatch
from fordtrestle.replication.reconfiguration import planned_witnesses, why_anew
from fordtrestle.replication.state import Change, ControlState
from fordtrestle.replication.voting import Given, Question, vote

HEARTBEAT_S = 0.25
STALLED_S = 0.6  # a sync that takes longer: the primary falls silent, so that another takes over


@dataclass(frozen=True, slots=True)
class Ticket:
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
        machines: int,
        counts: bool,
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
        self._target = 2 * machines + 1
        self._replicas = machines + 1
        self._counts = counts
        self._seeds = seeds
        self._effects = Effects()
        self._contacts = Contacts()
        self._founding = Founding(me, machines, counts, now)
        self._leadership: Leadership | None = None  # as primary
        self._candidacy = Candidacy(me, machines + 1)
        self._heartbeat_at = now
        self._round = 0  # of heartbeats, as primary
        self._watch = PrimaryWatch(me.id, durable.accepted, draw, now)

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
            and leadership.known_open
            and not self._candidacy.opening
            and len(leadership.epoch.replicas) >= self._replicas
            and len(leadership.epoch.witnesses) >= self._target
        )

    def reachable_primary(self, now: float) -> Store | None:
        """Another store that was heard to be primary lately; nothing where callers had better try anyone."""
        return self._watch.reachable(now)

    def may_leave(self, now: float) -> bool:
        """Whether this store may end: as far as it knows, an epoch is open that needs it no more.

        It is needed as a replica, and as a witness while another store waits for its place. Where all others
        have said that they end, too, there is nothing to wait for; those that are not heard have not said so.
        """
        epoch = self.epoch
        staying = self._contacts.ids() - self._contacts.leaving() - {self.me.id}
        if not staying:
            return True
        is_active = bool(self._leadership or self._candidacy.opening)
        if is_active or epoch is None or self.durable.promised > epoch.term:
            return False
        waiting = self._contacts.newcomers(epoch.witness_ids, now)
        needed = epoch.witness_ids if waiting else epoch.replicas
        return self.me.id not in needed

    @property
    def newest_epoch(self) -> Epoch | None:
        """The newest epoch that this store knows, open or only accepted."""
        return self.epoch or self.durable.accepted

    @property
    def committed_state(self) -> ControlState | None:
        """The state, where all of it is known to be on all replicas."""
        state = self.durable.state
        leadership = self._leadership
        return state if leadership and leadership.committed == state.sequence else None

    def propose(self, change: Change, now: float) -> Ticket | None:
        """Begin a write; nothing where this store can take none."""
        leadership = self._leadership
        if leadership is None or not self.is_ready:
            return None
        term, sequence = self.durable.installed, self.durable.state.sequence + 1
        leadership.began_append(now)
        records = self.durable.append(term, sequence, change)
        if records is None:  # a newer term was promised: this store is being superseded
            return None
        self._write(records)
        self._send(self.me.id, wire.Appended(term, sequence))
        for store_id in leadership.epoch.witness_ids:  # those that are no replicas follow, to step in at once
            if store_id != self.me.id:
                self._send(store_id, wire.Append(term, sequence, change))
        return Ticket(sequence)

    def leave(self, now: float) -> None:
        """Make ready to end: stay until `may_leave`, as a voter and with the state, but lead no more."""
        self._watch.leaving = True
        if self._leadership:
            self._resign(self._leadership, Why.LEAVING, now)

    def ask_round(self, now: float) -> int:
        """Ask all witnesses whether this is still the newest epoch; the round that will tell."""
        if self._candidacy.opening:
            return self._round + 1  # of the epoch that is being opened
        self._beat(now)
        return self._round

    def confirmed(self, round_number: int) -> bool:
        """Whether a majority has answered a round that was asked no earlier."""
        return self._leadership is not None and self._leadership.confirmed_round >= round_number

    def announcement(self) -> wire.Announce:
        """What this store says of itself."""
        durable = self.durable
        return wire.Announce(self.me, self._counts, self._watch.leaving, durable.core, durable.is_founder)

    # events

    def drain(self) -> Effects:
        """What is to be synced and then sent."""
        effects, self._effects = self._effects, Effects()
        return effects

    def tick(self, now: float, syncing_s: float = 0.0) -> None:
        """Let timers act; `syncing_s` is for how long the disk has been at the oldest sync."""
        stalled = syncing_s > STALLED_S
        if self._candidacy.opening:
            self._tend_opening(now)
        elif self._leadership:
            if not stalled:
                self._tend_epoch(self._leadership, now)
        elif not stalled:
            self._tend_absence(now)
        if not (self._candidacy.opening or stalled) and now >= self._heartbeat_at:
            self._beat(now)
        self._note_wait(now)

    def receive(self, sender: str, message: Message, now: float) -> None:
        """Take in a message from a store."""
        match message:
            case wire.Announce():
                self._meet(message, now)
            case wire.Heartbeat():
                self._take_heartbeat(sender, message, now)
            case wire.Resign(term):
                self._take_resignation(term, now)
            case wire.HeartbeatAck():
                self._take_heartbeat_ack(sender, message, now)
            case wire.PreVote():
                self._answer_prevote(sender, message, now)
            case wire.PreVoteGrant():
                self._take_prevote_grant(sender, message, now)
            case wire.Rejected():
                self._take_rejection(message, now)
            case wire.Appended():
                self._take_appended(sender, message)
            case wire.Prepare() | wire.Install() | wire.Accept() | wire.Append():
                self._vote(sender, message, now)
            case wire.Promised() | wire.Installed() | wire.Accepted():
                self._advance_opening(sender, message, now)

    # witness and replica

    def _vote(self, sender: str, question: Question, now: float) -> None:
        voted = vote(self.durable, question)
        if not isinstance(voted, Given):
            if voted:
                self._send(sender, voted)
            return
        if sender != self.me.id:
            self._yield_to(voted.term, now)
        self._write(voted.records)
        self._send(sender, voted.answer)

    def _yield_to(self, term: Term, now: float) -> None:
        """Another store acts under this term: an older primary or candidate is none any more."""
        self._watch.is_returning = False
        opening = self._candidacy.opening
        if opening and term > opening.term:
            self._give_up_opening(Why.NEWER, now)
        if self._leadership and term > self._leadership.epoch.term:
            self._step_down(Why.NEWER, now)
        self._miss(now)

    def _resign(self, leadership: Leadership, why: Why, now: float) -> None:
        for witness in leadership.epoch.witness_ids:
            if witness != self.me.id:
                self._send(witness, wire.Resign(leadership.epoch.term))
        self._step_down(why, now)

    def _step_down(self, why: Why, now: float) -> None:
        if self._leadership:
            self.events.tell(SteppedDown(self._leadership.epoch.term.number, why))
        self._leadership = None
        self._miss(now)

    def _take_heartbeat(self, sender: str, message: wire.Heartbeat, now: float) -> None:
        epoch = message.epoch
        core = self.durable.core
        if core and not is_same_core(core, epoch.core):
            return
        if epoch.term < self.durable.promised:
            self._send(sender, wire.Rejected(epoch.term, self.durable.promised))
            return
        durable = self.durable
        self._write(durable.settle(epoch))
        position = (durable.installed, durable.state.sequence)
        self._send(sender, wire.HeartbeatAck(epoch.term, message.round, *position))
        self.epoch = epoch
        if sender == self.me.id:
            return
        self._watch.heard(epoch.store(epoch.primary), now)
        self._yield_to(epoch.term, now)

    # primary

    def _beat(self, now: float) -> None:
        leadership = self._leadership
        if leadership is None:
            return
        self._round += 1
        self._heartbeat_at = now + HEARTBEAT_S
        message = wire.Heartbeat(leadership.epoch, self._round)
        for store_id in sorted(self._contacts.ids() | set(leadership.epoch.witness_ids)):
            self._send(store_id, message)

    def _take_heartbeat_ack(self, sender: str, message: wire.HeartbeatAck, now: float) -> None:
        leadership = self._leadership
        if leadership is None or message.term != leadership.epoch.term:
            return
        leadership.answered(sender, message.round, now)
        state, term = self.durable.state, leadership.epoch.term
        held = message.sequence if message.installed == term else -1
        if held >= 0 and self.durable.installed == term:
            leadership.appended(sender, held)
        follows = sender in leadership.epoch.witness_ids
        if follows and leadership.catch_up.is_due(sender, held, state.sequence, now):
            self._send(sender, wire.Install(term, state))

    def _take_appended(self, sender: str, message: wire.Appended) -> None:
        leadership = self._leadership
        if leadership and message.term == leadership.epoch.term == self.durable.installed:
            leadership.appended(sender, message.sequence)

    def _tend_epoch(self, leadership: Leadership, now: float) -> None:
        """Change the epoch where a replica is silent, or a store waits for a place."""
        if leadership.is_out_of_touch(now):
            self._resign(leadership, Why.OUT_OF_TOUCH, now)  # others hear it where only the way back is cut
            return
        if leadership.is_held_up(now) and leadership.note_late():
            missing = tuple(sorted(leadership.lacking()))
            self.events.tell(WriteLate(self.durable.state.sequence, missing))
        epoch, contacts = leadership.epoch, self._contacts
        planned = planned_witnesses(epoch, contacts, self._watch.heard_at, self._target, now)
        why = why_anew(leadership, contacts, planned, self._replicas, now)
        if why:
            self._open(epoch, planned, why, now)

    # without a primary

    def _tend_absence(self, now: float) -> None:
        """Found the core where there is none, or ask for the primary's place where it is missed."""
        plan = self._plan_founding(now)
        if plan:
            self._open(no_epoch(self.me), plan.witnesses, Why.FOUNDING, now, plan.unanimous)
        elif self._watch.is_due(now):
            self._start_prevote(now)

    def _plan_founding(self, now: float) -> FoundingPlan | None:
        if self.durable.accepted or self._watch.leaving:
            return None
        heard = self._contacts.announced(now)
        return self._founding.plan(self.durable.is_founder, heard, self._seeds(), now)

    def _miss(self, now: float) -> None:
        """Wait for the primary once more before anything is done about it."""
        self._watch.wait(self.durable.accepted, now)
        self._candidacy.stop_asking()

    def _meet(self, message: wire.Announce, now: float) -> None:
        """Another store has announced itself: one of another core has nothing to do with this one."""
        core = self.durable.core
        if self._contacts.is_new_stranger(message, core):
            store = message.store
            self.events.tell(StrangerMet(store.id, store.address, message.core))
        if self._contacts.is_stranger(message, core):
            return
        self._contacts.meet(message, now)
        self._notice_lost_primary(message.store, now)

    def _notice_lost_primary(self, store: Store, now: float) -> None:
        """Another store in the primary's machine: its disk was lost, and waiting for it is in vain."""
        accepted = self.durable.accepted
        primary = accepted.store(accepted.primary) if accepted else None
        if primary and primary.id != store.id and primary.address == store.address:
            self._watch.lose(primary.id, now)

    def unlinked(self, store_id: str, now: float) -> None:
        """The link to a store has ended and does not come back: the process has ended, or is cut off."""
        if store_id not in self._contacts.ids():
            return
        self._contacts.lose(store_id)
        accepted = self.durable.accepted
        if accepted and accepted.primary == store_id:
            self._watch.lose(store_id, now)

    def _take_resignation(self, term: Term, now: float) -> None:
        accepted = self.durable.accepted
        if accepted and accepted.term == term:
            self._watch.lose(accepted.primary, now)

    def _start_prevote(self, now: float) -> None:
        """Ask the witnesses whether they miss the primary, too.

        Stores that are no replicas ask as well: each may be one of an epoch that it has yet to hear of.
        """
        self._watch.wait(self.durable.accepted, now)
        again = self._watch.is_returning
        self._send_all(self._candidacy.ask(self.durable, self._contacts.ids(), again))

    def _answer_prevote(self, sender: str, message: wire.PreVote, now: float) -> None:
        misses = self._watch.misses(self.durable.accepted, sender, now)
        if misses and not (self._leadership and sender != self.me.id):
            answer = wire.PreVoteGrant(message.round, self.durable.promised, self.durable.accepted)
            self._send(sender, answer)

    def _take_prevote_grant(self, sender: str, message: wire.PreVoteGrant, now: float) -> None:
        if not self._candidacy.is_asking(message):
            return
        known = self.durable.accepted
        if message.accepted:
            self._write(self.durable.settle(message.accepted))
        accepted = self.durable.accepted
        if accepted is None or (known is None or accepted.term > known.term):
            self._miss(now)
        elif self._candidacy.granted(sender, message, accepted):
            self._open(accepted, accepted.witnesses, Why.PRIMARY_LOST, now)

    # openings

    def _open(
        self,
        base: Epoch,
        witnesses: tuple[Store, ...],
        why: Why,
        now: float,
        unanimous: frozenset[str] = frozenset(),
    ) -> None:
        started = self._candidacy.open(
            base,
            witnesses,
            why,
            promised=self.durable.promised,
            leaving=self._contacts.leaving(),
            unanimous=unanimous,
            now=now,
        )
        assert self._candidacy.opening is not None
        number = self._candidacy.opening.term.number
        self.events.tell(OpeningBegan(number, why, tuple(store.id for store in witnesses)))
        self._send_all(started)

    def _tend_opening(self, now: float) -> None:
        live = {self.me.id} | self._contacts.live(now)
        if self._candidacy.is_overdue(live, now):
            self._give_up_opening(Why.TIMED_OUT, now)
        else:
            self._send_all(self._candidacy.repeat(self.durable, now))

    def _give_up_opening(self, why: Why, now: float) -> None:
        opening = self._candidacy.close()
        if opening:
            answered = tuple(sorted(opening.promised))
            self.events.tell(OpeningFailed(opening.term.number, why, answered, now - opening.began))
            if opening.is_founding:
                self._founding.failed(now)
        self._step_down(why, now)

    def _advance_opening(self, sender: str, message: Message, now: float) -> None:
        self._send_all(self._candidacy.advance(sender, message, self.durable))
        opening = self._candidacy.opening
        if opening is None:
            return
        if opening.newer:
            newer = opening.newer
            self._give_up_opening(Why.NEWER, now)
            self._write(self.durable.settle(newer))
            self._miss(now)
        elif opening.opened:
            self._candidacy.close()
            known = opening.proposed is not None and opening.proposed.is_known
            self._begin_epoch(opening.opened, known, now - opening.began, now)

    def _begin_epoch(self, epoch: Epoch, known_open: bool, took_s: float, now: float) -> None:
        self.epoch = epoch
        self._watch.leads()
        sequence = self.durable.state.sequence
        self._leadership = Leadership(epoch, committed=sequence, confirmed_at=now, known_open=known_open)
        for replica in epoch.replicas:
            self._leadership.appended(replica, sequence)
        self._write(self.durable.settle(epoch))
        self._beat(now)
        why, witnesses = self._candidacy.why, epoch.witness_ids
        self.events.tell(EpochOpened(epoch.term.number, epoch.core, why, epoch.replicas, witnesses, took_s))

    def _take_rejection(self, message: wire.Rejected, now: float) -> None:
        """A newer term is about: stand back, or exceed it at the next try."""
        candidacy = self._candidacy
        candidacy.newest_term = max(candidacy.newest_term, message.promised)
        if candidacy.opening and message.term == candidacy.opening.term:
            self._give_up_opening(Why.NEWER, now)
        elif self.epoch and message.term == self.epoch.term and message.promised.store != self.me.id:
            self._step_down(Why.NEWER, now)

    # what goes out

    def _note_wait(self, now: float) -> None:
        """Let operators know what this store waits for."""
        wait = self._waits_for(now)
        if not self.events.is_due(wait, now):
            return
        heard = self._contacts.announced(now)
        missing = tuple(self._founding.missing(heard, self._seeds()))
        self.events.tell_wait(len(heard), missing, now)

    def _waits_for(self, now: float) -> Wait | None:
        if self._leadership or self._candidacy.opening:
            return None
        if self.durable.accepted is None:
            return Wait.STORES if self.durable.is_founder else Wait.FOUNDER
        if self._watch.reachable(now) is None:
            return Wait.PRIMARY
        is_in = self.epoch is not None and self.me.id in self.epoch.witness_ids
        return Wait.CORE if self._counts and not is_in else None

    def _write(self, records: Sequence[Record]) -> None:
        self._effects.records.extend(records)

    def _send_all(self, messages: Iterable[Outgoing]) -> None:
        for receiver, message in messages:
            self._send(receiver, message)

    def _send(self, receiver: str, message: Message) -> None:
        if isinstance(message, wire.Install) and receiver != self.me.id:
            state = message.state
            self.events.tell(StateSent(receiver, state.sequence, len(state.document)))
        self._effects.messages.append((receiver, message))

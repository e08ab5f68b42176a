"""One control process in the replication of control state: witness, replica, candidate and primary. Pure.

Messages, the time and what the disk has synced are handed in; `drain` gives records to sync, and what may be
sent or said only after that sync. A store sends to itself through the same way, so that its own votes count
no sooner.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from fordtrestle.replication import messages as wire
from fordtrestle.replication.contacts import Contacts
from fordtrestle.replication.durable import Durable
from fordtrestle.replication.epochs import NO_BALLOT, Ballot, Epoch, Store, majority, supported
from fordtrestle.replication.leadership import Leadership
from fordtrestle.replication.messages import Message, Record
from fordtrestle.replication.opening import Opening, Outgoing, plan_witnesses
from fordtrestle.replication.primary_watch import PrimaryWatch
from fordtrestle.replication.state import Change, ControlState

HEARTBEAT_S = 0.25
REPEAT_S = 0.4
OPENING_MOST_S = 2.5  # an opening that takes longer is begun anew,
INSTALL_MOST_S = 20.0  # unless the whole state is on its way to replicas that are live
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
    ) -> None:
        self.me = me
        self.durable = durable
        self.epoch: Epoch | None = None  # the newest one known to be open
        self._target = 2 * machines + 1
        self._replicas = machines + 1
        self._counts = counts
        self._effects = Effects()
        self._contacts = Contacts()
        self._leadership: Leadership | None = None  # as primary
        self._opening: Opening | None = None
        self._heartbeat_at = self._repeat_at = now
        self._round = 0  # of heartbeats, as primary
        self._prevotes: set[str] | None = None
        self._prevote_round = 0
        self._newest_ballot = NO_BALLOT
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
            and not self._opening
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
        if self._leadership or self._opening or epoch is None or self.durable.promised > epoch.ballot:
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
        ballot, sequence = self.durable.installed, self.durable.state.sequence + 1
        leadership.began_append(now)
        records = self.durable.append(ballot, sequence, change)
        if records is None:  # a newer ballot was promised: this store is being superseded
            return None
        self._write(records)
        self._send(self.me.id, wire.Appended(ballot, sequence))
        for store_id in leadership.epoch.witness_ids:  # those that are no replicas follow, to step in at once
            if store_id != self.me.id:
                self._send(store_id, wire.Append(ballot, sequence, change))
        return Ticket(sequence)

    def leave(self, now: float) -> None:
        """Make ready to end: stay until `may_leave`, as a voter and with the state, but lead no more."""
        self._watch.leaving = True
        if self._leadership:
            self._resign(self._leadership, now)

    def ask_round(self, now: float) -> int:
        """Ask all witnesses whether this is still the newest epoch; the round that will tell."""
        if self._opening:
            return self._round + 1  # of the epoch that is being opened
        self._beat(now)
        return self._round

    def confirmed(self, round_number: int) -> bool:
        """Whether a majority has answered a round that was asked no earlier."""
        return self._leadership is not None and self._leadership.confirmed_round >= round_number

    # events

    def drain(self) -> Effects:
        """What is to be synced and then sent."""
        effects, self._effects = self._effects, Effects()
        return effects

    def tick(self, now: float, syncing_s: float = 0.0) -> None:
        """Let timers act; `syncing_s` is for how long the disk has been at the oldest sync."""
        stalled = syncing_s > STALLED_S
        if self._opening:
            self._tend_opening(now)
        elif self._leadership:
            if not stalled:
                self._tend_epoch(self._leadership, now)
        elif not stalled and self._watch.is_due(now):
            self._start_prevote(now)
        if not (self._opening or stalled) and now >= self._heartbeat_at:
            self._beat(now)

    def receive(self, sender: str, message: Message, now: float) -> None:
        """Take in a message from a store."""
        match message:
            case wire.Announce():
                self._contacts.meet(message, now)
                self._notice_lost_primary(message.store, now)
            case wire.Heartbeat():
                self._take_heartbeat(sender, message, now)
            case wire.Resign(ballot):
                self._take_resignation(ballot, now)
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

    def _vote(
        self, sender: str, message: wire.Prepare | wire.Install | wire.Accept | wire.Append, now: float
    ) -> None:
        answer: Message
        match message:
            case wire.Prepare(ballot):
                records = self.durable.promise(ballot)
                durable = self.durable
                answer = wire.Promised(ballot, durable.accepted, durable.installed, durable.state.sequence)
            case wire.Install(ballot, state):
                records = self.durable.install(ballot, state)
                answer = wire.Installed(ballot)
            case wire.Accept(epoch):
                ballot = epoch.ballot
                records = self.durable.accept(epoch)
                answer = wire.Accepted(ballot)
            case wire.Append(ballot, sequence, change):
                records = self.durable.append(ballot, sequence, change)
                answer = wire.Appended(ballot, self.durable.state.sequence)
        if records is None:
            if self.durable.promised > ballot:
                self._send(sender, wire.Rejected(ballot, self.durable.promised))
            return
        if sender != self.me.id:
            self._yield_to(ballot, now)
        self._write(records)
        self._send(sender, answer)

    def _yield_to(self, ballot: Ballot, now: float) -> None:
        """Another store acts under this ballot: an older primary or candidate is none any more."""
        self._watch.is_returning = False
        if self._leadership and ballot > self._leadership.epoch.ballot:
            self._step_down(now)
        if self._opening and ballot > self._opening.ballot:
            self._opening = None
        self._miss(now)

    def _resign(self, leadership: Leadership, now: float) -> None:
        for witness in leadership.epoch.witness_ids:
            if witness != self.me.id:
                self._send(witness, wire.Resign(leadership.epoch.ballot))
        self._step_down(now)

    def _step_down(self, now: float) -> None:
        self._leadership = None
        self._miss(now)

    def _take_heartbeat(self, sender: str, message: wire.Heartbeat, now: float) -> None:
        epoch = message.epoch
        if epoch.ballot < self.durable.promised:
            self._send(sender, wire.Rejected(epoch.ballot, self.durable.promised))
            return
        durable = self.durable
        self._write(durable.settle(epoch))
        position = (durable.installed, durable.state.sequence)
        self._send(sender, wire.HeartbeatAck(epoch.ballot, message.round, *position))
        self.epoch = epoch
        if sender == self.me.id:
            return
        self._watch.heard(epoch.store(epoch.primary), now)
        self._yield_to(epoch.ballot, now)

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
        if leadership is None or message.ballot != leadership.epoch.ballot:
            return
        leadership.answered(sender, message.round, now)
        state, ballot = self.durable.state, leadership.epoch.ballot
        held = message.sequence if message.installed == ballot else -1
        if held >= 0 and self.durable.installed == ballot:
            leadership.appended(sender, held)
        follows = sender in leadership.epoch.witness_ids
        if follows and leadership.catch_up.is_due(sender, held, state.sequence, now):
            self._send(sender, wire.Install(ballot, state))

    def _take_appended(self, sender: str, message: wire.Appended) -> None:
        leadership = self._leadership
        if leadership and message.ballot == leadership.epoch.ballot == self.durable.installed:
            leadership.appended(sender, message.sequence)

    def _tend_epoch(self, leadership: Leadership, now: float) -> None:
        """Change the epoch where a replica is silent, or a store waits for a place."""
        epoch = leadership.epoch
        if leadership.is_out_of_touch(now):
            self._resign(leadership, now)  # where only the way back is cut, others hear of it
            return
        live = {self.me.id} | self._contacts.live(now)
        planned = self._plan(epoch, now)
        replicas_lost = not live.issuperset(epoch.replicas) or leadership.is_held_up(now)
        spare = live & {store.id for store in planned}
        too_few = len(epoch.replicas) < min(self._replicas, len(spare))
        leaving = self._contacts.leaving()
        if not leaving.isdisjoint(epoch.replicas) and len(spare - leaving) >= self._replicas:
            replicas_lost = True
        if planned != epoch.witnesses or (replicas_lost and majority(live, epoch.witness_ids)) or too_few:
            self._open(epoch, planned, now)

    def _plan(self, epoch: Epoch, now: float) -> tuple[Store, ...]:
        """The witnesses that the epoch should have."""
        others = [store_id for store_id in epoch.witness_ids if store_id != self.me.id]
        giving_up = self._contacts.giving_up(others, self._watch.heard_at, now)
        newcomers = self._contacts.newcomers(epoch.witness_ids, now)
        return plan_witnesses(epoch, newcomers, giving_up, self._target)

    # elections

    def _miss(self, now: float) -> None:
        """Wait for the primary once more before anything is done about it."""
        self._watch.wait(self.durable.accepted, now)
        self._prevotes = None

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

    def _take_resignation(self, ballot: Ballot, now: float) -> None:
        accepted = self.durable.accepted
        if accepted and accepted.ballot == ballot:
            self._watch.lose(accepted.primary, now)

    def _start_prevote(self, now: float) -> None:
        """Ask the witnesses whether they miss the primary, too.

        Stores that are no replicas ask as well: each may be one of an epoch that it has yet to hear of.
        """
        accepted = self.durable.accepted
        asked = self._prevotes
        self._miss(now)
        if self._watch.is_returning and asked is not None:
            self._prevotes = asked  # the same question again: answers may take longer than its repetition
        else:
            self._prevotes, self._newest_ballot = set(), self.durable.promised
            self._prevote_round += 1
        quorums = accepted.quorums if accepted else ()
        voters = {store_id for quorum in quorums for store_id in quorum} or self._contacts.ids()
        for voter in sorted(voters):
            self._send(voter, wire.PreVote(self._prevote_round))

    def _answer_prevote(self, sender: str, message: wire.PreVote, now: float) -> None:
        misses = self._watch.misses(self.durable.accepted, sender, now)
        if misses and not (self._leadership and sender != self.me.id):
            answer = wire.PreVoteGrant(message.round, self.durable.promised, self.durable.accepted)
            self._send(sender, answer)

    def _take_prevote_grant(self, sender: str, message: wire.PreVoteGrant, now: float) -> None:
        if self._prevotes is None or message.round != self._prevote_round:
            return
        known = self.durable.accepted.ballot if self.durable.accepted else NO_BALLOT
        if message.accepted:
            self._write(self.durable.settle(message.accepted))
        accepted = self.durable.accepted
        if accepted is None or accepted.ballot > known:
            self._miss(now)
            return
        self._prevotes.add(sender)
        self._newest_ballot = max(self._newest_ballot, message.promised)
        if self.me.id in accepted.replicas and supported(self._prevotes, accepted.quorums):
            self._prevotes = None
            self._open(accepted, accepted.witnesses, now)

    def _open(self, base: Epoch, witnesses: tuple[Store, ...], now: float) -> None:
        newest = max(self.durable.promised, self._newest_ballot, base.ballot)
        ballot = Ballot(newest.number + 1, self.me.id)
        leaving = self._contacts.leaving()
        self._opening = Opening(self.me, ballot, base, witnesses, self._replicas, leaving, began=now)
        self._repeat_at = now + REPEAT_S
        for receiver, message in self._opening.start():
            self._send(receiver, message)

    def _tend_opening(self, now: float) -> None:
        opening = self._opening
        assert opening is not None
        live = {self.me.id} | self._contacts.live(now)
        installing = bool(opening.installing) and not opening.proposed and live.issuperset(opening.installing)
        if now - opening.began > (INSTALL_MOST_S if installing else OPENING_MOST_S):
            self._opening = None
            self._step_down(now)
        elif now >= self._repeat_at:
            self._repeat_at = now + REPEAT_S
            for receiver, message in opening.repeat(self.durable.state):
                self._send(receiver, message)

    def _advance_opening(self, sender: str, message: Message, now: float) -> None:
        opening = self._opening
        if opening is None:
            return
        for receiver, reply in opening.receive(sender, message, self.durable.state):
            self._send(receiver, reply)
        if opening.newer:
            self._opening = None
            self._write(self.durable.settle(opening.newer))
            self._step_down(now)
        elif opening.opened:
            self._opening = None
            known = opening.proposed is not None and opening.proposed.is_known
            self._begin_epoch(opening.opened, known, now)

    def _begin_epoch(self, epoch: Epoch, known_open: bool, now: float) -> None:
        self.epoch = epoch
        self._watch.leads()
        sequence = self.durable.state.sequence
        self._leadership = Leadership(epoch, committed=sequence, confirmed_at=now, known_open=known_open)
        for replica in epoch.replicas:
            self._leadership.appended(replica, sequence)
        self._write(self.durable.settle(epoch))
        self._beat(now)

    def _take_rejection(self, message: wire.Rejected, now: float) -> None:
        """A newer ballot is about: stand back, or exceed it at the next try."""
        self._newest_ballot = max(self._newest_ballot, message.promised)
        if self._opening and message.ballot == self._opening.ballot:
            self._opening = None
            self._step_down(now)
        elif self.epoch and message.ballot == self.epoch.ballot and message.promised.store != self.me.id:
            self._step_down(now)

    # founding and acquaintance

    def found(self, now: float) -> None:
        """Open the first epoch alone: for the one machine that may (`bootstrap`), while its store
        `is_blank`.
        """
        epoch = Epoch(Ballot(1, self.me.id), self.me.id, (self.me.id,), (self.me,))
        self._write(self.durable.accept(epoch) or ())  # first: one record, whole or not there
        self._write(self.durable.install(epoch.ballot, self.durable.state) or ())
        self._begin_epoch(epoch, known_open=False, now=now)

    def announcement(self) -> wire.Announce:
        """What this store says of itself."""
        return wire.Announce(self.me, self._counts, self._watch.leaving)

    def _write(self, records: Sequence[Record]) -> None:
        self._effects.records.extend(records)

    def _send(self, receiver: str, message: Message) -> None:
        self._effects.messages.append((receiver, message))

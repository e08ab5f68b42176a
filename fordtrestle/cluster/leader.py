"""Replication, seen by who leads: heartbeats, entries, what a majority has, and the leader lease. Pure.

Raft's (Ongaro and Ousterhout 2014, 5.3, 5.4.2 and 7), with check of the own majority (Ongaro 2014, 6.2) and
the lease that its answers give (6.4.1).
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from fordtrestle.cluster.members import Peer, reached, slot_of, voting
from fordtrestle.cluster.messages import (
    AppendEntries,
    AppendEntriesResponse,
    Body,
    Entry,
    InstallSnapshot,
    Noop,
    Voter,
    Voters,
)
from fordtrestle.cluster.raft_state import RaftState
from fordtrestle.cluster.startup import respond


@dataclass(frozen=True, slots=True)
class SlotStatus:
    """What a leader knows of one slot: `match_index`: up to where its disk has the log; `silent_ms`: since
    the last heartbeat that it answered was sent; `counts`: whether it answers by the disk that votes."""

    name: str
    disk: str
    match_index: int
    silent_ms: float
    counts: bool


class Leader:
    """A member's part as leader; of one that does not lead only the figures make sense."""

    def __init__(self, state: RaftState) -> None:
        self._state = state
        self._since = math.inf  # when the own leadership began
        self._sequence = 0
        self._heartbeat_at = math.inf

    @property
    def since_ms(self) -> float:
        """When the own leadership began."""
        return self._since

    def begin(self, now_ms: float) -> None:
        """The election is won."""
        state = self._state
        state.role, state.leader = "leader", state.name
        self._since = now_ms
        state.peers = {}
        state.log_line(f"{state.name} leads in term {state.term}")
        self.append(now_ms, Noop())
        self._send_heartbeats(now_ms)

    def tick(self, now_ms: float) -> None:
        """Who is not answered by a majority can commit nothing, and another may lead: nobody should wait for
        it."""
        if now_ms >= self._lapse():
            self._state.step_down("no majority answers")
            self._state.reset_election_timer(now_ms)
        elif now_ms >= self._heartbeat_at:
            self._send_heartbeats(now_ms)

    def next_ms(self) -> float:
        """When `tick` is wanted next."""
        return min(self._heartbeat_at, self._lapse())

    # --- what is known of the others ----------------------------------------------------------

    def _lapse(self) -> float:
        """When the own majority is given up, unless it answers."""

        def heard(voter: Voter) -> float:
            return max(self._since, self.answered(voter, math.inf))

        return reached(self._state.log.voters, heard) + self._state.config.election_ms

    def lease_until(self, now_ms: float) -> float:
        """As `Order.leader_lease_until` has it."""
        state = self._state
        if not state.ready:
            return -math.inf
        span = state.config.election_ms * (1 - state.config.drift_ppm * 1e-6)
        return reached(state.log.voters, lambda voter: self.answered(voter, now_ms)) + span

    def slots(self, now_ms: float) -> list[SlotStatus]:
        """What is known of each slot, in order; of a follower only the own one."""
        state = self._state
        statuses = []
        for slot in state.log.voters:
            peer = state.peers.get(slot.name)
            if slot.name == state.name:
                durable = state.out.durable_index
                statuses.append(SlotStatus(slot.name, slot.disk, durable, 0.0, state.votes))
            elif peer is not None:
                silent, counts = now_ms - peer.answered_ms, self._sound(slot, peer)
                statuses.append(SlotStatus(slot.name, slot.disk, peer.match_index, silent, counts))
        return statuses

    def answered(self, voter: Voter, now_ms: float) -> float:
        """When the last heartbeat was sent that a voter answered; the own vote is always there."""
        if voter == self._state.me:
            return now_ms
        peer = self._state.peers.get(voter.name)
        return peer.answered_ms if peer is not None and self._sound(voter, peer) else -math.inf

    def _sound(self, voter: Voter, peer: Peer) -> bool:
        """Whether what is known of a peer is of the disk that votes, in an incarnation that is remembered."""
        state = self._state
        if not voter.disk or voter.disk != peer.disk:
            return False
        return state.incarnations.known(peer.disk, peer.incarnation, state.out.durable)

    def _match_index_of(self, voter: Voter) -> float:
        if voter == self._state.me:
            return self._state.out.durable_index
        peer = self._state.peers.get(voter.name)
        return peer.match_index if peer is not None and self._sound(voter, peer) else 0

    # --- sending ------------------------------------------------------------------------------

    def append(self, now_ms: float, body: Body) -> int:
        """Put an entry into the own log and send it; its index."""
        state = self._state
        index = state.log.last_index + 1
        state.log.append(Entry(index, state.term, body))
        state.out.write(index)
        if isinstance(body, Noop | Voters):
            names = {slot.name for slot in state.log.voters} - {state.name}
            state.peers = {name: state.peers.get(name) or Peer(name, index) for name in sorted(names)}
        for peer in state.peers.values():
            self.feed(now_ms, peer)
        return index

    def _send_heartbeats(self, now_ms: float) -> None:
        """To all. A heartbeat has no entries, so that no disk delays the answer; it shows what was lost on
        its way."""
        state = self._state
        self._heartbeat_at = now_ms + state.config.heartbeat_ms
        for peer in state.peers.values():
            self._send(now_ms, peer, max(peer.next_index - 1, state.log.base), ())
            self.feed(now_ms, peer)

    def _send(self, now_ms: float, peer: Peer, index: int, entries: tuple[Entry, ...]) -> None:
        state = self._state
        self._sequence += 1
        peer.ask(now_ms, self._sequence)
        before = state.log.term_at(index)
        message = AppendEntries(state.term, self._sequence, index, before, entries, state.commit_index)
        state.out.send(peer.name, message)

    def feed(self, now_ms: float, peer: Peer) -> None:
        """Send what a member lacks, as far as the window goes."""
        state = self._state
        if peer.next_index <= state.log.base:
            self._send_snapshot(now_ms, peer)
            return
        most = peer.match_index + state.config.window
        while peer.next_index <= min(state.log.last_index, most):
            entries = state.log.batch(peer.next_index)
            self._send(now_ms, peer, peer.next_index - 1, entries)
            peer.next_index += len(entries)

    def _send_snapshot(self, now_ms: float, peer: Peer) -> None:
        state, snapshot = self._state, self._state.log.snapshot
        if now_ms < peer.installed_ms + state.config.election_ms:
            return  # the last one may be on its way
        assert snapshot is not None  # the base is a snapshot's
        peer.installed_ms = now_ms
        self._sequence += 1
        peer.ask(now_ms, self._sequence)
        state.out.send(peer.name, InstallSnapshot(state.term, self._sequence, snapshot))

    # --- answers ------------------------------------------------------------------------------

    def on_append_entries_response(
        self, now_ms: float, sender: str, response: AppendEntriesResponse
    ) -> Peer | None:
        """Take account of an answer. Who sent it, if it still leads and the answer counts: it is to be
        fed."""
        state = self._state
        if response.term > state.term:
            state.adopt(now_ms, response.term, "")
        peer = state.peers.get(sender)
        if state.role != "leader" or response.term != state.term or peer is None:
            return None
        if response.incarnation < state.incarnations.of(response.disk):
            respond(state, sender, response.disk, 0)
            return None
        if not self._same(now_ms, peer, response):
            return None
        voter = Voter(sender, response.disk)
        names_it = response.disk and voter in state.log.voters
        if names_it and not state.counts(voter, response.incarnation):
            return None
        peer.answer(response.sequence)
        if not self._progress(peer, response):
            return None
        self.advance(now_ms)
        if state.role != "leader":
            return None
        self._note()
        return peer

    def _progress(self, peer: Peer, response: AppendEntriesResponse) -> bool:
        """Take account of how far a member's log agrees; whether that is news."""
        state, match_index = self._state, response.match_index
        if response.success:
            peer.match_index = max(peer.match_index, min(match_index, state.log.last_index))
            peer.next_index = max(peer.next_index, peer.match_index + 1)
            return True
        if response.sequence <= peer.back:
            return False  # it was asked before the last one that was gone by: each would have all sent again
        peer.back = self._sequence
        if match_index < state.acknowledged.get(response.disk, 0):
            respond(state, peer.name, response.disk, 0)  # it may have had more, in this incarnation
        if not response.disk:
            peer.match_index = min(peer.match_index, match_index)  # without a disk it may have begun anew
        peer.next_index = max(peer.match_index, min(match_index, peer.next_index - 1)) + 1
        return True

    def _same(self, now_ms: float, peer: Peer, response: AppendEntriesResponse) -> bool:
        """Whether an answer is of the disk and incarnation that answer under this name now, or of ones that
        take their turn."""
        if (response.disk, response.incarnation) == (peer.disk, peer.incarnation):
            return True
        over = response.disk == peer.disk and response.incarnation < peer.incarnation
        if over or response.sequence not in peer.unanswered:
            return False  # late
        slot = slot_of(self._state.log.voters, peer.name)
        answers = now_ms < peer.answered_ms + self._state.config.election_ms
        if answers and slot is not None and slot.disk == peer.disk != response.disk:
            return False  # two under one name: the one that votes stays as long as it answers
        peer.turn(response.disk, response.incarnation, self._state.log.last_index)
        return True

    def advance(self, now_ms: float) -> None:
        """Commit what a majority has on disk; what is of earlier terms only with an entry of the own one."""
        state = self._state
        index = reached(state.log.voters, self._match_index_of)
        if index <= state.commit_index or state.log.term_at(int(index)) != state.term:
            return
        state.commit(int(index))
        if state.log.voters_index <= state.commit_index and state.me not in state.log.voters:
            state.step_down("it has no vote any more")
            state.reset_election_timer(now_ms)

    def _note(self) -> None:
        """Remember, for disks that are put back, what each voter's disk has had. Only what is committed: the
        rest it may have dropped with good reason."""
        state, noted = self._state, {}
        for voter in voting(state.log.voters):
            peer, before = state.peers.get(voter.name), state.acknowledged.get(voter.disk, 0)
            sound = peer is not None and self._sound(voter, peer)
            has = min(peer.match_index, state.commit_index) if peer and sound else 0
            noted[voter.disk] = max(before, has)
        state.acknowledged = noted

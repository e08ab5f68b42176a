"""A member's start: which disk it has, and what the others remember of it. Pure.

Why a start asks at all, and what the answers forbid, is in `members.py`; the words are those of Viewstamped
Replication's recovery (Liskov and Cowling 2012, 4.3).
"""

from __future__ import annotations

import math

from fordtrestle.cluster.members import Recovery, slot_of
from fordtrestle.cluster.messages import RecoveryQuery, RecoveryResponse, Take
from fordtrestle.cluster.raft_state import RaftState


def respond(state: RaftState, to: str, disk: str, nonce: int) -> None:
    """Tell what is remembered of a disk: no less than was ever counted. A failed one vouches for none."""
    by = "" if state.out.failed else state.meta.disk
    incarnation, acknowledged = state.incarnations.of(disk), state.acknowledged.get(disk, 0)
    last = state.log.last_index, state.log.last_term
    state.out.send(to, RecoveryResponse(disk, incarnation, acknowledged, nonce, by, state.term, *last))


class Startup:
    """Begins an incarnation, and asks the others until enough have answered."""

    def __init__(self, state: RaftState, damaged: bool) -> None:
        self._state = state
        self._damaged = damaged
        self._alone_at = self._query_at = math.inf

    def begin(self, now_ms: float) -> None:
        """To be called before anything else; only the first call does anything."""
        state = self._state
        if state.begun:
            return
        state.begun = True
        # A vote in the last incarnation may have been refused for a leader's sake, which this one does not
        # know of.
        state.quiet_until = now_ms + state.config.election_ms
        state.reset_election_timer(now_ms)
        if self._damaged:
            self._new_disk("its disk is damaged")
        elif not state.meta.disk:
            self._new_disk("")
        else:
            state.keep(incarnation=state.meta.incarnation + 1)
            state.recovery = Recovery(state.rng.getrandbits(48))
            self._alone_at = now_ms + state.config.alone_ms
            self._query_at = now_ms
            self._conclude(now_ms)
        if state.machine.books:
            state.out.emit(Take())

    def _new_disk(self, why: str) -> None:
        """Be another disk, which never promised anything: what the one before promised is not known any
        more."""
        state = self._state
        disk = f"{state.rng.getrandbits(64):016x}"
        state.keep(disk=disk, incarnation=1, voted_for="")
        state.recovery = None
        if why:
            state.log_line(f"{why}: {state.name} votes no more until the leader takes it in as disk {disk}")

    def tick(self, now_ms: float) -> None:
        """Ask again, and go by fewer answers once it has waited long enough."""
        state = self._state
        if state.recovery is None:
            return
        if now_ms >= self._query_at:
            self._query_at = now_ms + state.config.heartbeat_ms
            own = state.meta.disk, state.meta.incarnation
            query = RecoveryQuery(*own, state.log.last_index, state.recovery.nonce)
            for slot in state.log.voters:
                if slot.name != state.name:
                    state.out.send(slot.name, query)
        self._conclude(now_ms)

    def next_ms(self) -> float:
        """When `tick` is wanted next."""
        return self._query_at if self._state.recovery is not None else math.inf

    def on_recovery_query(self, now_ms: float, sender: str, query: RecoveryQuery) -> None:
        """Another has started."""
        respond(self._state, sender, query.disk, query.nonce)

    def on_recovery_response(self, now_ms: float, sender: str, response: RecoveryResponse) -> None:
        """Another tells what it remembers of a disk, asked or not."""
        state, recovery = self._state, self._state.recovery
        stranger = not response.by or slot_of(state.log.voters, sender) is None
        if stranger or response.disk != state.meta.disk:
            return
        asked = recovery is not None and response.nonce == recovery.nonce
        # Once it may promise, its own incarnation is remembered too. A higher one was never its own; what is
        # committed and was acknowledged is never dropped: these say so unasked and late too.
        own = state.meta.incarnation
        older = response.incarnation > own or (asked and response.incarnation == own)
        if older or response.acknowledged > state.log.last_index:
            state.step_down("its disk is an older copy")
            state.role = "follower"
            self._new_disk(f"its disk was put back to an older copy, as {sender} remembers")
        elif recovery is not None and asked:
            recovery.responses[sender] = response
            self._conclude(now_ms)

    def _conclude(self, now_ms: float) -> None:
        """Go by the responses, if they are enough."""
        state, recovery, slots = self._state, self._state.recovery, self._state.log.voters
        if recovery is None or not recovery.enough(slots, state.me, now_ms >= self._alone_at):
            return
        state.recovery = None
        state.floor, state.floor_until = recovery.floor(slots), now_ms + state.config.alone_ms
        term = recovery.term()
        if term > state.term or (term == state.term and not state.meta.voted_for):
            # It may have voted in that term and not know any more: the own name bars any other.
            state.keep(term=term, voted_for=state.name)

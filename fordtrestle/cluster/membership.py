"""Membership changes: one voter at a time, by the log, and only ones that a majority can bear. Pure.

Raft's (Ongaro 2014, 4.1 to 4.3). How a lost disk is replaced, and what a change may be, is in `members.py`.
"""

from __future__ import annotations

import math

from fordtrestle.cluster.leader import Leader
from fordtrestle.cluster.members import (
    Peer,
    VoterSlots,
    changed,
    reached,
    slot_of,
    voting,
    with_disk,
)
from fordtrestle.cluster.messages import Voter, Voters
from fordtrestle.cluster.raft_state import RaftState


class Membership:
    """Changes of voters by a leader: those that are asked for, and disks that are taken in."""

    def __init__(self, state: RaftState, leader: Leader) -> None:
        self._state = state
        self._leader = leader

    def change(self, now_ms: float, client: int, away: str, new: str) -> None:
        """Take one name's slot away, give another a vacant one, or both; `client` is answered."""
        state = self._state
        if state.role != "leader":
            state.answer(client, state.elsewhere(""))
            return
        try:
            after = changed(state.log.voters, away, new)
        except ValueError as error:
            why = str(error)
        else:
            why = self._unready() or self.unbacked(now_ms, after)
        if why:
            state.turn_down(client, "", "refused", why)
        else:
            state.wait_for(self._leader.append(now_ms, Voters(after)), client, "")

    def _unready(self) -> str:
        """Why the voters may not change now. A leader that has committed nothing of its term may not know of
        a change that an earlier one made: two changes from one set need have no voter in common (Ongaro,
        raft-dev 2015)."""
        state = self._state
        if not state.ready:
            return "the leader has not committed an entry of its term"
        if state.log.voters_index > state.commit_index:
            return "another change of voters is under way"
        return "too much waits to be committed" if state.full else ""

    def unbacked(self, now_ms: float, after: VoterSlots, newcomer: str = "") -> str:
        """Why a change would leave the cluster without a majority that answers; the newcomer's answer is not
        enough, unless there is but one other."""
        sole = len(voting(after)) <= 2

        def answered(voter: Voter) -> float:
            if voter.name == newcomer:
                return now_ms if sole else -math.inf
            return self._leader.answered(voter, now_ms)

        if reached(after, answered) + self._state.config.election_ms > now_ms:
            return ""
        return "too few of the voters after it answer"

    def fill_slot(self, now_ms: float, peer: Peer) -> None:
        """Take in a member that answers by a new disk, once that has all that was there when it came: first
        its slot is made vacant, then filled, as `members.py` tells."""
        state = self._state
        slot = slot_of(state.log.voters, peer.name)
        if slot is None or not peer.disk or peer.disk in {other.disk for other in state.log.voters}:
            return
        if now_ms >= peer.answered_ms + state.config.election_ms or self._unready():
            return
        if now_ms < self._leader.since_ms + state.config.election_ms:
            return  # the disk that votes may not have come to answer yet
        caught_up = peer.mark if slot.disk else max(peer.mark, state.log.voters_index)
        if peer.match_index < caught_up or state.commit_index < caught_up:
            return
        after = with_disk(state.log.voters, peer.name, "" if slot.disk else peer.disk)
        if self.unbacked(now_ms, after, "" if slot.disk else peer.name):
            return
        self._leader.append(now_ms, Voters(after))
        how = "has lost its disk: its slot is vacant" if slot.disk else f"votes by disk {peer.disk}"
        state.log_line(f"{peer.name} {how}")

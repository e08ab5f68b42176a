"""Replication, seen by who follows: a leader's entries and snapshots go into the own log. Pure.

Raft's AppendEntries and InstallSnapshot (Ongaro and Ousterhout 2014, 5.3 and 7).
"""

from __future__ import annotations

from fordtrestle.cluster.log import StateMachine
from fordtrestle.cluster.messages import (
    AppendEntries,
    AppendEntriesResponse,
    Entry,
    InstallSnapshot,
    Take,
)
from fordtrestle.cluster.raft_state import RaftState


class Follower:
    """Goes by the leader of the highest term, and acknowledges what is on disk."""

    def __init__(self, state: RaftState) -> None:
        self._state = state

    def _follow(self, now_ms: float, sender: str, message: AppendEntries | InstallSnapshot) -> bool:
        """Whether a leader's message is one to go by; its term is answered where not."""
        state = self._state
        if message.term < state.term:
            self._respond(sender, message.sequence, False, 0)
            return False
        if message.term == state.term and state.role == "leader":
            state.log_line(f"{sender} leads in the own term {state.term}: two of one name?")
            return False
        if message.term > state.term:
            state.adopt(now_ms, message.term, sender)
        elif not state.meta.voted_for:
            state.keep(voted_for=sender)  # no other can win this term: a vote for one could only do harm
        state.role, state.leader = "follower", sender
        state.heard = now_ms
        state.reset_election_timer(now_ms)
        return True

    def _respond(self, to: str, sequence: int, success: bool, match_index: int) -> None:
        """At once, since the leader's lease rests on it, but only for what is on disk."""
        state = self._state
        if success and not state.out.failed:
            match_index = min(match_index, state.out.durable_index)
        response = AppendEntriesResponse(state.term, sequence, success, match_index, *state.voice)
        state.out.send(to, response)

    def _promise(self, to: str, sequence: int, match_index: int) -> None:
        """Answer once all that is stored by now is on disk."""
        state = self._state
        response = AppendEntriesResponse(state.term, sequence, True, match_index, *state.voice)
        state.out.promise(to, response)

    def on_append_entries(self, now_ms: float, sender: str, message: AppendEntries) -> None:
        """A leader's entries, or its heartbeat."""
        state = self._state
        if (message.entries and state.out.busy) or not self._follow(now_ms, sender, message):
            return
        hint = self._fits(message)
        if self._unlike(message.entries):
            state.log_line(f"{sender} would change what is committed: not followed")
            return
        if hint is not None:
            self._respond(sender, message.sequence, False, hint)
            return
        match_index = message.prev_log_index + len(message.entries)
        if self._take_in(message.entries):
            self._promise(sender, message.sequence, match_index)
        else:
            self._respond(sender, message.sequence, True, match_index)
        state.commit(min(message.leader_commit, match_index))

    def _unlike(self, entries: tuple[Entry, ...]) -> bool:
        """Whether one of them stands where another is committed."""
        log = self._state.log
        return any(
            log.base < entry.index <= self._state.commit_index and log.term_at(entry.index) != entry.term
            for entry in entries
        )

    def _fits(self, message: AppendEntries) -> int | None:
        """None where the log has what stands before the entries; else from where the leader is to try."""
        state, index = self._state, message.prev_log_index
        if index > state.log.last_index:
            return state.log.last_index
        term = state.log.term_at(index)
        if index < state.log.base or term == message.prev_log_term:
            return None
        while index > state.commit_index and state.log.term_at(index) == term:
            index -= 1
        return index

    def _take_in(self, entries: tuple[Entry, ...]) -> bool:
        """Put a leader's entries into the log, in place of those of other terms; whether any was new."""
        log, out = self._state.log, self._state.out
        new = False
        for entry in entries:
            if entry.index <= log.base or log.term_at(entry.index) == entry.term:
                continue
            if entry.index <= log.last_index:
                log.cut(entry.index)
                out.lower(entry.index - 1)
            log.append(entry)
            out.write(entry.index)
            new = True
        return new

    def on_install_snapshot(self, now_ms: float, sender: str, message: InstallSnapshot) -> None:
        """A leader's snapshot, in place of entries that it no longer has."""
        state, snapshot = self._state, message.snapshot
        if state.out.busy or not self._follow(now_ms, sender, message):
            return
        if snapshot.index <= state.commit_index:
            self._respond(sender, message.sequence, True, snapshot.index)
            return
        other = state.log.term_at(snapshot.index) != snapshot.term
        if other:
            state.out.lower(state.commit_index)
        state.log.shorten(snapshot, whole=other)
        state.out.snapshot(snapshot, cut=other)
        state.machine = StateMachine.of(snapshot)
        state.commit_index = snapshot.index
        state.out.emit(Take())
        self._promise(sender, message.sequence, snapshot.index)

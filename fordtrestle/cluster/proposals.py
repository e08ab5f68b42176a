"""Proposals of rulebooks: numbered by the leader, answered once they are committed, never numbered twice.
Pure."""

from __future__ import annotations

from fordtrestle.cluster.leader import Leader
from fordtrestle.cluster.messages import NAME_MOST, Book, Effective, Proposed
from fordtrestle.cluster.raft_state import RaftState
from fordtrestle.cluster.rulebook import Change, apply, check

FAULTS_MOST = 4  # of a refused rulebook that are told


class Proposals:
    """What clients of a member ask to be put into the log."""

    def __init__(self, state: RaftState, leader: Leader) -> None:
        self._state = state
        self._leader = leader

    def propose(self, now_ms: float, change: Change, proposal: str, base: int, client: int) -> None:
        """As `Order.propose` has it."""
        state = self._state
        number = state.machine.proposals.get(proposal, 0)
        if number:
            state.answer(client, Proposed(proposal, "durable", number, state.machine.effective))
        elif state.role != "leader":
            state.answer(client, state.elsewhere(proposal))
        elif (entry := state.log.proposed(proposal, state.machine.last_applied)) is not None:
            state.wait_for(entry.index, client, proposal)
        else:
            self._number(now_ms, change, proposal, base, client)

    def _number(self, now_ms: float, change: Change, proposal: str, base: int, client: int) -> None:
        state, last = self._state, self._state.log.book
        answer, why = "refused", ""
        book = apply(last, change, last.number + 1)
        if not 0 < len(proposal) <= NAME_MOST:
            why = f"an id has 1 to {NAME_MOST} characters"
        elif base and base != last.number:
            why = f"made on number {base}, and the last is {last.number}"
        elif faults := check(book, last):
            why = "; ".join(faults[:FAULTS_MOST])
        elif last.number - state.machine.effective >= state.config.books_most:
            answer, why = "busy", f"{state.config.books_most} rulebooks wait to take effect"
        elif state.full:
            answer, why = "busy", "too much waits to be committed"
        if why:
            state.turn_down(client, proposal, answer, why)
        else:
            state.wait_for(self._leader.append(now_ms, Book(book, proposal)), client, proposal)

    def propose_effective(self, now_ms: float, number: int) -> None:
        """As `Order.propose_effective` has it."""
        state = self._state
        if state.ready and state.log.effective < number <= state.machine.pending and not state.out.busy:
            self._leader.append(now_ms, Effective(number))

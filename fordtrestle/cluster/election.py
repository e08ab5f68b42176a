"""Elections: who stands for leader, and who gives a vote to whom. Pure.

Raft's (Ongaro and Ousterhout 2014, 5.2 and 5.4.1) with pre-vote (Ongaro 2014, 9.6), and voters that give no
vote within `election_ms` of a leader's heartbeat (4.2.3), on which a leader's lease rests (6.4.1).
"""

from __future__ import annotations

import math

from fordtrestle.cluster.leader import Leader
from fordtrestle.cluster.members import reached, voting
from fordtrestle.cluster.messages import (
    PreVote,
    PreVoteResponse,
    RequestVote,
    RequestVoteResponse,
    Voter,
)
from fordtrestle.cluster.raft_state import RaftState
from fordtrestle.cluster.startup import respond


class Election:
    """A member's part in elections: its own candidacy, and the votes that it gives."""

    def __init__(self, state: RaftState, leader: Leader) -> None:
        self._state = state
        self._leader = leader
        self._votes: set[str] = set()  # who has voted for it, in this term or for the next
        self._vote_token = 0  # the store that makes its own vote durable
        self._ask_at = math.inf  # when to ask again

    def tick(self, now_ms: float) -> None:
        """Stand once no leader was heard of for long enough; ask those again who have not answered."""
        state = self._state
        if now_ms >= state.election_at:
            state.leader = ""
            self._stand(now_ms)
        elif now_ms >= self._ask_at and state.role in ("pre_candidate", "candidate"):
            self._ask(now_ms)

    def next_ms(self) -> float:
        """When `tick` is wanted next; not to be asked of a leader."""
        asks = self._state.role in ("pre_candidate", "candidate")
        return min(self._state.election_at, self._ask_at) if asks else self._state.election_at

    def stored(self, now_ms: float) -> None:
        """A store is durable: the own vote counts once it is."""
        if self._state.role == "candidate" and self._state.out.durable >= self._vote_token:
            self._count(now_ms, self._state.name)

    # --- giving votes -------------------------------------------------------------------------

    def free(self, now_ms: float) -> bool:
        """Whether a vote may be given at all: to no one while a leader may hold the own answer to its
        heartbeat."""
        state = self._state
        if not state.sure or state.role == "leader" or now_ms < state.quiet_until:
            return False
        return now_ms >= state.heard + state.config.election_ms

    def _behind(self, now_ms: float, last: tuple[int, int]) -> bool:
        """Whether a log that ends with this term and index may lack what was committed."""
        state = self._state
        floor = state.floor if now_ms < state.floor_until else (0, 0)
        return last < max(floor, (state.log.last_term, state.log.last_index))

    def _over(self, sender: str, request: PreVote | RequestVote) -> bool:
        """Whether who asks has no disk that votes, or is of an incarnation that is over: then it gets a
        recovery response."""
        over = bool(request.disk) and request.incarnation < self._state.incarnations.of(request.disk)
        if over:
            respond(self._state, sender, request.disk, 0)
        return over or not request.disk

    def on_pre_vote(self, now_ms: float, sender: str, request: PreVote) -> None:
        """Say whether a vote would be given; nothing changes by it."""
        state = self._state
        if state.out.busy or self._over(sender, request):
            return
        if request.term <= state.term:
            state.out.send(sender, PreVoteResponse(state.term, False, *state.voice))
        elif self.free(now_ms) and not self._behind(now_ms, (request.last_log_term, request.last_log_index)):
            state.out.send(sender, PreVoteResponse(request.term, True, *state.voice))

    def on_request_vote(self, now_ms: float, sender: str, request: RequestVote) -> None:
        """Give the one vote of a term, or refuse; be silent while no vote may be given."""
        state = self._state
        if state.out.busy or self._over(sender, request):
            return
        granted = False
        if request.term >= state.term:
            if not self.free(now_ms):
                return
            if request.term > state.term:
                state.adopt(now_ms, request.term, "")
            behind = self._behind(now_ms, (request.last_log_term, request.last_log_index))
            granted = state.meta.voted_for in ("", sender) and not behind
        if granted:
            state.reset_election_timer(now_ms)
            if not state.meta.voted_for:
                state.keep(voted_for=sender)
        state.out.send(sender, RequestVoteResponse(state.term, granted, *state.voice))

    # --- being a candidate --------------------------------------------------------------------

    @property
    def _stands(self) -> bool:
        """Whether it may lead: also to commit a change that takes its own slot, which none but it may have
        (Ongaro 2014, 4.2.2)."""
        state = self._state
        open_change = state.log.voters_index > state.commit_index and state.me in state.log.voters_before
        return state.sure and (state.me in state.log.voters or open_change)

    def _stand(self, now_ms: float) -> None:
        """Ask whether votes would be given: who can't win raises nobody's term."""
        state = self._state
        state.reset_election_timer(now_ms)
        state.role = "follower"
        last = state.log.last_term, state.log.last_index
        if not self._stands or not self.free(now_ms) or self._behind(now_ms, last):
            return
        state.role = "pre_candidate"
        self._votes = set()
        self._ask(now_ms)
        self._count(now_ms, state.name)

    def _run(self, now_ms: float) -> None:
        """Be a candidate of the next term."""
        state = self._state
        state.reset_election_timer(now_ms)
        state.role = "candidate"
        self._votes = set()
        state.keep(term=state.term + 1, voted_for=state.name)
        self._vote_token = state.out.token
        self._ask(now_ms)

    def _ask(self, now_ms: float) -> None:
        """Ask those whose votes are missing, again too: a request or a response may be lost."""
        state = self._state
        self._ask_at = now_ms + state.config.heartbeat_ms
        last = state.log.last_index, state.log.last_term
        own = state.meta.disk, state.meta.incarnation
        request: PreVote | RequestVote
        if state.role == "pre_candidate":
            request = PreVote(state.term + 1, *last, *own)
        else:
            request = RequestVote(state.term, *last, *own)
        for slot in voting(state.log.voters):
            if slot.name != state.name and slot.name not in self._votes:
                state.out.send(slot.name, request)

    def on_pre_vote_response(self, now_ms: float, sender: str, response: PreVoteResponse) -> None:
        """A vote would be given, or another has a higher term."""
        state = self._state
        if not response.vote_granted and response.term > state.term:
            state.adopt(now_ms, response.term, "")
        elif state.role == "pre_candidate" and response.term == state.term + 1:
            self._on_vote(now_ms, sender, response)

    def on_request_vote_response(self, now_ms: float, sender: str, response: RequestVoteResponse) -> None:
        """A vote, or another has a higher term."""
        state = self._state
        if response.term > state.term:
            state.adopt(now_ms, response.term, "")
        elif state.role == "candidate" and response.term == state.term:
            self._on_vote(now_ms, sender, response)

    def _on_vote(self, now_ms: float, sender: str, response: PreVoteResponse | RequestVoteResponse) -> None:
        voter = Voter(sender, response.disk)
        if response.vote_granted and self._state.counts(voter, response.incarnation):
            self._count(now_ms, sender)

    def _count(self, now_ms: float, name: str) -> None:
        self._votes.add(name)
        if reached(self._state.log.voters, lambda voter: float(voter.name in self._votes)) < 1.0:
            return
        if self._state.role == "candidate":
            self._leader.begin(now_ms)
        elif self.free(now_ms):
            self._run(now_ms)

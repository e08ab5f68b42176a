"""One member's part in one order of entries, agreed by a majority of voters. Pure.

Raft (Ongaro and Ousterhout 2014) with what Ongaro's dissertation (2014) adds; each role has a module:
`startup.py`, `election.py`, `follower.py`, `leader.py`, `membership.py` and `proposals.py`, which share
`raft_state.py`. Who votes, and what a lost or older disk may not do, is in `members.py`; that nothing is said
before what it rests on is durable, in `outbox.py`.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from fordtrestle.cluster.election import Election
from fordtrestle.cluster.follower import Follower
from fordtrestle.cluster.leader import Leader, SlotStatus
from fordtrestle.cluster.log import Log, State, StateMachine
from fordtrestle.cluster.members import VoterSlots
from fordtrestle.cluster.membership import Membership
from fordtrestle.cluster.messages import (
    ENTRIES_MOST,
    NAME_MOST,
    Action,
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    Meta,
    PreVote,
    PreVoteResponse,
    RecoveryQuery,
    RecoveryResponse,
    RequestVote,
    RequestVoteResponse,
    Snapshot,
)
from fordtrestle.cluster.proposals import Proposals
from fordtrestle.cluster.raft_state import Draws, OrderConfig, RaftState, Role
from fordtrestle.cluster.rulebook import Change
from fordtrestle.cluster.startup import Startup

NUMBER_MOST = 2**53  # of terms, indexes, sequences and incarnations: what is higher is nobody's


class Order:
    """A voter, or one that learns. `tick` is wanted at `next_ms`; the first call of any kind begins an
    incarnation.

    `rng` draws disk identities too: outside of tests its seed has to come from the system's randomness."""

    def __init__(self, name: str, config: OrderConfig, state: State, rng: Draws) -> None:
        self.state = RaftState(name, config, state, rng)
        self._startup = Startup(self.state, state.damaged or not self.state.log.whole)
        self._leading = Leader(self.state)
        self._following = Follower(self.state)
        self._election = Election(self.state, self._leading)
        self._membership = Membership(self.state, self._leading)
        self._proposals = Proposals(self.state, self._leading)
        self._on: dict[type, Callable[[float, str, Any], None]] = {
            RecoveryQuery: self._startup.on_recovery_query,
            RecoveryResponse: self._startup.on_recovery_response,
            PreVote: self._election.on_pre_vote,
            PreVoteResponse: self._election.on_pre_vote_response,
            RequestVote: self._election.on_request_vote,
            RequestVoteResponse: self._election.on_request_vote_response,
            AppendEntries: self._following.on_append_entries,
            InstallSnapshot: self._following.on_install_snapshot,
            AppendEntriesResponse: self._on_append_entries_response,
        }

    # --- what is known ------------------------------------------------------------------------

    @property
    def name(self) -> str:
        """The own name."""
        return self.state.name

    @property
    def config(self) -> OrderConfig:
        """What it was made with."""
        return self.state.config

    @property
    def role(self) -> Role:
        """What it is in its term."""
        return self.state.role

    @property
    def leader(self) -> str:
        """Who leads, as far as it is known; else empty."""
        return self.state.leader

    @property
    def meta(self) -> Meta:
        """What must not be forgotten beside the log."""
        return self.state.meta

    @property
    def log(self) -> Log:
        """The own log."""
        return self.state.log

    @property
    def machine(self) -> StateMachine:
        """What the committed entries have come to."""
        return self.state.machine

    @property
    def commit_index(self) -> int:
        """The last entry that is known to be committed."""
        return self.state.commit_index

    @property
    def term(self) -> int:
        """The own term."""
        return self.state.term

    @property
    def voters(self) -> VoterSlots:
        """The slots in force: those of the last entry that names them, committed or not."""
        return self.state.log.voters

    @property
    def votes(self) -> bool:
        """Whether this member is a voter, and nothing keeps it from voting."""
        return self.state.votes

    @property
    def ready(self) -> bool:
        """Whether it leads and has committed an entry of its term: before, `machine` may lack what an earlier
        leader committed."""
        return self.state.ready

    def leader_lease_until(self, now_ms: float) -> float:
        """Until when no other leader can exist, on the own clock; -inf if that can't be known, and while not
        `ready`.

        A majority has answered a heartbeat, and gives no other vote within `election_ms` of it. The time
        counts from when the heartbeat was sent, and is shorter by what their clocks may be faster."""
        return self._leading.lease_until(now_ms)

    def slots(self, now_ms: float) -> list[SlotStatus]:
        """What the leader knows of each slot, in order; of a follower only the own one."""
        return self._leading.slots(now_ms)

    # --- events -------------------------------------------------------------------------------

    def receive(self, now_ms: float, sender: str, message: Any) -> list[Action]:
        """A message of a member; one that is not of the order, or makes no sense, is dropped."""
        self._startup.begin(now_ms)
        handler = self._on.get(type(message))
        # A higher term has to be stored.
        late = self.state.out.busy and getattr(message, "term", 0) > self.term
        named = 0 < len(sender) <= NAME_MOST and sender != self.name
        if handler is not None and named and not late and sane(message):
            handler(now_ms, sender, message)
        return self.state.end()

    def _on_append_entries_response(
        self, now_ms: float, sender: str, response: AppendEntriesResponse
    ) -> None:
        peer = self._leading.on_append_entries_response(now_ms, sender, response)
        if peer is not None:
            self._membership.fill_slot(now_ms, peer)
            self._leading.feed(now_ms, peer)

    def tick(self, now_ms: float) -> list[Action]:
        """Time has passed."""
        self._startup.begin(now_ms)
        self._startup.tick(now_ms)
        if self.role == "leader":
            self._leading.tick(now_ms)
        else:
            self._election.tick(now_ms)
        return self.state.end()

    def next_ms(self) -> float:
        """When `tick` is wanted next, on the own clock."""
        if not self.state.begun:
            return -math.inf
        due = self._leading.next_ms() if self.role == "leader" else self._election.next_ms()
        return min(due, self._startup.next_ms())

    def stored(self, now_ms: float, token: int) -> list[Action]:
        """A store and all before it are durable."""
        self._startup.begin(now_ms)
        self.state.out.stored(token)
        if self.role == "leader":
            self._leading.advance(now_ms)
        else:
            self._election.stored(now_ms)
        return self.state.end()

    def failed(self, now_ms: float, token: int) -> list[Action]:
        """A store failed: what it held is in doubt for good. The part as voter and leader ends; it learns
        on."""
        self._startup.begin(now_ms)
        state = self.state
        if not state.out.failed:
            state.out.fail()
            why = "it votes no more until it starts with a sound one"
            state.log_line(f"the disk of {state.name} failed: {why}")
            state.step_down("its disk failed")
            state.role = "follower"
            state.recovery = None
        return state.end()

    def propose(
        self, now_ms: float, change: Change, proposal: str, base: int = 0, client: int = 0
    ) -> list[Action]:
        """Ask for a rulebook with `change`. `client` is answered (`Proposed`) once that is committed, or
        refused.

        One that was asked before is answered with the number it got then, by any member that knows of it."""
        self._startup.begin(now_ms)
        self._proposals.propose(now_ms, change, proposal, base, client)
        return self.state.end()

    def propose_effective(self, now_ms: float, number: int) -> list[Action]:
        """Put into the log that `number` is in effect; nothing unless it is committed and higher than
        before."""
        self._startup.begin(now_ms)
        self._proposals.propose_effective(now_ms, number)
        return self.state.end()

    def add_voter(self, now_ms: float, name: str, client: int = 0) -> list[Action]:
        """Give a name a vacant slot; it votes once its disk has all that is committed."""
        return self._change(now_ms, client, "", name)

    def remove_voter(self, now_ms: float, name: str, client: int = 0) -> list[Action]:
        """Take a name's slot away; a leader that is away with it steps down as soon as that is committed."""
        return self._change(now_ms, client, name, "")

    def replace_voter(self, now_ms: float, name: str, other: str, client: int = 0) -> list[Action]:
        """Take a name's slot away, and give `other` a vacant one."""
        return self._change(now_ms, client, name, other)

    def _change(self, now_ms: float, client: int, away: str, new: str) -> list[Action]:
        self._startup.begin(now_ms)
        self._membership.change(now_ms, client, away, new)
        return self.state.end()


def sane(message: Any) -> bool:
    """Whether the numbers of a message can be anybody's, and its entries follow one another."""
    keys = ("term", "sequence", "incarnation", "last_log_index", "leader_commit", "match_index")
    numbers = [getattr(message, key, 0) for key in keys]
    if not all(0 <= number <= NUMBER_MOST for number in numbers):
        return False
    if isinstance(message, InstallSnapshot):
        return _sane_snapshot(message.snapshot, message.term)
    if not isinstance(message, AppendEntries):
        return True
    index, term = message.prev_log_index, message.prev_log_term
    if index < 0 or len(message.entries) > ENTRIES_MOST:
        return False
    for entry in message.entries:
        if entry.index != index + 1 or not term <= entry.term <= message.term:
            return False
        index, term = entry.index, entry.term
    return True


def _sane_snapshot(snapshot: Snapshot, term: int) -> bool:
    return 0 < snapshot.index <= NUMBER_MOST and 0 <= snapshot.term <= term

"""What all roles of one member of the order share: its log, its term, its clients, its timers. Pure.

Each role (`startup.py`, `election.py`, `follower.py`, `leader.py`) changes it and knows nothing of those who
use that role; `order.py` ties them together.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any, Literal, Protocol

from msgspec.structs import replace

from fordtrestle.cluster.log import Log, State, StateMachine
from fordtrestle.cluster.members import Incarnations, Peer, Recovery
from fordtrestle.cluster.messages import (
    Action,
    Answer,
    Book,
    Entry,
    LogLine,
    Meta,
    Proposed,
    Take,
    Voter,
)
from fordtrestle.cluster.outbox import Outbox

Role = Literal["follower", "pre_candidate", "candidate", "leader"]


@dataclass(frozen=True, slots=True)
class OrderConfig:
    """Times in ms of the own clock; `drift_ppm`: by how much the rates of two clocks may differ."""

    election_ms: float = 1000.0
    heartbeat_ms: float = 100.0
    drift_ppm: float = 1000.0
    alone_ms: float = 10_000.0  # as `members.py` tells
    waiting_most: int = 64  # proposals that are not yet committed
    books_most: int = 16  # rulebooks from the effective one to the last of the log
    entries_most: int = 256  # applied entries that are kept before they go into a snapshot
    window: int = 256  # entries sent to one member and not acknowledged
    stores_most: int = 64
    held_most: int = 1024  # messages that wait for a store


class Draws(Protocol):
    """What is used of a `random.Random`."""

    def getrandbits(self, k: int, /) -> int:
        """So many random bits."""

    def uniform(self, a: float, b: float) -> float:
        """A number between the two."""


class RaftState:
    """The state of one member, and the steps that more than one role takes."""

    def __init__(self, name: str, config: OrderConfig, state: State, rng: Draws) -> None:
        self.name = name
        self.config = config
        self.rng = rng
        self.log = Log(state.snapshot, state.entries)
        self.machine = StateMachine.of(state.snapshot)
        self.commit_index = self.machine.last_applied
        self.meta: Meta = state.meta
        self.out = Outbox(config.stores_most, config.held_most, self.log.last_index)
        self.begun = False
        self.role: Role = "follower"
        self.leader = ""
        # Of the others.
        self.incarnations = Incarnations(state.meta.seen)
        self.acknowledged: dict[str, int] = {}  # by disk: the highest committed index that it said it had
        self.peers: dict[str, Peer] = {}  # of a leader
        # Of the own start.
        self.recovery: Recovery | None = None  # until it is known what this disk may have promised
        self.floor = (0, 0)  # the furthest log of the responses then
        self.floor_until = math.inf
        # Of elections.
        self.quiet_until = math.inf  # no vote is given before
        self.heard = -math.inf  # when a leader was heard of last
        self.election_at = math.inf  # when to stand for leader
        self._waiting: dict[int, list[tuple[int, str]]] = {}  # clients and proposals by index

    # --- who it is ----------------------------------------------------------------------------

    @property
    def term(self) -> int:
        """The own term."""
        return self.meta.term

    @property
    def me(self) -> Voter:
        """The own name with the own disk."""
        return Voter(self.name, self.meta.disk)

    @property
    def sure(self) -> bool:
        """Whether it may promise anything."""
        return self.begun and self.recovery is None and not self.out.failed

    @property
    def votes(self) -> bool:
        """Whether this member is a voter, and nothing keeps it from voting."""
        return self.sure and self.me in self.log.voters

    @property
    def ready(self) -> bool:
        """Whether it leads and has committed an entry of its term: before, `machine` may lack what an earlier
        leader committed."""
        return self.role == "leader" and self.log.term_at(self.commit_index) == self.term

    @property
    def voice(self) -> tuple[str, int]:
        """Disk and incarnation by which it speaks; who may promise nothing has none, and is not counted."""
        return (self.meta.disk, self.meta.incarnation) if self.sure else ("", 0)

    def counts(self, voter: Voter, incarnation: int) -> bool:
        """Whether votes and acknowledgements of a disk count: not before its incarnation is durably
        remembered."""
        known = self.incarnations.of(voter.disk)
        if not voter.disk or voter not in self.log.voters or incarnation < known:
            return False
        if incarnation > known:
            if not self.out.busy:
                token, slots = self.out.token, self.log.voters
                self.keep(seen=self.incarnations.note(voter.disk, incarnation, token, slots))
            return False
        return self.incarnations.known(voter.disk, incarnation, self.out.durable)

    # --- terms and roles ----------------------------------------------------------------------

    def reset_election_timer(self, now_ms: float) -> None:
        """Stand for leader no sooner than after another election time, drawn so that two seldom stand at
        once."""
        self.election_at = now_ms + self.config.election_ms * self.rng.uniform(1.0, 2.0)

    def adopt(self, now_ms: float, term: int, voted_for: str) -> None:
        """Go over to a higher term, as a follower."""
        if self.role == "leader":
            self.step_down("another has a higher term")
            self.reset_election_timer(now_ms)
        self.role = "follower"
        self.leader = ""
        self.keep(term=term, voted_for=voted_for)

    def step_down(self, why: str) -> None:
        """Lead no more; nothing where it does not lead."""
        if self.role != "leader":
            return
        self.role, self.leader = "follower", ""
        self.peers = {}
        self.log_line(f"{self.name} leads no more: {why}")
        for waiting in self._waiting.values():
            for client, proposal in waiting:
                self.answer(client, self.elsewhere(proposal))
        self._waiting = {}

    # --- the log ------------------------------------------------------------------------------

    def commit(self, index: int) -> None:
        """Apply all entries up to `index`, and answer those who waited for them."""
        changed = False
        self.commit_index = max(self.commit_index, index)
        while self.machine.last_applied < self.commit_index:
            entry = self.log.at(self.machine.last_applied + 1)
            changed |= self.machine.apply(entry)
            self._done(entry)
        if changed:
            self.out.emit(Take())

    def shorten(self) -> None:
        """Put the applied entries into a snapshot, once they are many."""
        many = self.machine.last_applied - self.log.base >= self.config.entries_most
        many |= self.log.books >= 2 * self.config.books_most and self.machine.last_applied > self.log.base
        if many and not self.out.writes and not self.out.busy:
            snapshot = self.machine.snapshot()
            self.log.shorten(snapshot)
            self.out.snapshot(snapshot, cut=False)

    # --- clients ------------------------------------------------------------------------------

    @property
    def full(self) -> bool:
        """Whether as much waits to be committed, or to be stored, as may be."""
        return len(self._waiting) >= self.config.waiting_most or self.out.busy

    def wait_for(self, index: int, client: int, proposal: str) -> None:
        """Answer a client once the entry is committed."""
        waiting = self._waiting.setdefault(index, [])
        if len(waiting) < self.config.waiting_most:
            waiting.append((client, proposal))
        else:
            self.turn_down(client, proposal, "busy", "too many ask for it")

    def _done(self, entry: Entry) -> None:
        number = entry.body.book.number if isinstance(entry.body, Book) else 0
        for client, proposal in self._waiting.pop(entry.index, ()):
            self.answer(client, Proposed(proposal, "durable", number, self.machine.effective))

    def elsewhere(self, proposal: str) -> Proposed:
        """That another leads, as far as it is known."""
        leader = "" if self.leader == self.name else self.leader
        return Proposed(proposal, "elsewhere", effective=self.machine.effective, leader=leader)

    def turn_down(self, client: int, proposal: str, state: str, why: str) -> None:
        """Answer that a proposal got no number: refused, or busy."""
        self.answer(client, Proposed(proposal, state, effective=self.machine.effective, why=why))

    def answer(self, client: int, response: Proposed) -> None:
        """Answer a client of this member."""
        self.out.emit(Answer(client, response))

    # --- out ----------------------------------------------------------------------------------

    def keep(self, **changes: Any) -> None:
        """Change, durably, what must not be forgotten beside the log."""
        self.meta = replace(self.meta, **changes)
        self.out.keep(self.meta)

    def log_line(self, text: str) -> None:
        """Tell on-call staff."""
        self.out.emit(LogLine(text))

    def end(self) -> list[Action]:
        """All actions of this call."""
        self.shorten()
        return self.out.end(self.log)

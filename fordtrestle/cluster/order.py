"""One member's part in one order of entries, agreed by a majority of voters. Pure.

Raft (Ongaro and Ousterhout 2014) with pre-vote, check of the own majority, and voters that give no vote
within `election_ms` of a leader's heartbeat (Ongaro 2014, 4.2.3, 6.2, 9.6). Who votes, and what a lost or
older disk may not do, is in `members.py`; that nothing is said before what it rests on is durable, in
`outbox.py`.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Literal, Protocol

from msgspec.structs import replace

from fordtrestle.cluster.log import Log, State, StateMachine
from fordtrestle.cluster.members import (
    Incarnations,
    Peer,
    Recovery,
    VoterSlots,
    changed,
    reached,
    slot_of,
    voting,
    with_disk,
)
from fordtrestle.cluster.messages import (
    ENTRIES_MOST,
    NAME_MOST,
    Action,
    Answer,
    AppendEntries,
    AppendEntriesResponse,
    Body,
    Book,
    Compact,
    Effective,
    Entry,
    InstallSnapshot,
    LogLine,
    Meta,
    Noop,
    PreVote,
    PreVoteResponse,
    Proposed,
    RecoveryQuery,
    RecoveryResponse,
    RequestVote,
    RequestVoteResponse,
    Take,
    Voter,
    Voters,
)
from fordtrestle.cluster.outbox import Outbox
from fordtrestle.cluster.rulebook import Change, apply, check

FAULTS_MOST = 4  # of a refused rulebook that are told
NUMBER_MOST = 2**53  # of terms, indexes, heartbeats and incarnations: what is higher is nobody's
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


@dataclass(frozen=True, slots=True)
class SlotStatus:
    """What a leader knows of one slot: `match_index`: up to where its disk has the log; `silent_ms`: since
    the last heartbeat that it answered was sent; `counts`: whether it answers by the disk that votes."""

    name: str
    disk: str
    match_index: int
    silent_ms: float
    counts: bool


class Draws(Protocol):
    """What is used of a `random.Random`."""

    def getrandbits(self, k: int, /) -> int:
        """So many random bits."""

    def uniform(self, a: float, b: float) -> float:
        """A number between the two."""


class Order:
    """A voter, or one that learns. `tick` is wanted at `next_ms`; the first call of any kind begins an
    incarnation.

    `rng` draws disk identities too: outside of tests its seed has to come from the system's randomness."""

    def __init__(self, name: str, config: OrderConfig, state: State, rng: Draws) -> None:
        self.name = name
        self.config = config
        self.log = Log(state.compact, state.entries)
        self.machine = StateMachine.of(state.compact)
        self.commit_index = self.machine.last_applied
        self.meta: Meta = state.meta
        self.role: Role = "follower"
        self.leader = ""
        self._rng = rng
        self._damaged = state.damaged or not self.log.whole
        self._out = Outbox(config.stores_most, config.held_most, self.log.last_index)
        self._incarnations = Incarnations(state.meta.seen)
        self._recovery: Recovery | None = None  # until it is known what this disk may have promised
        self._floor = (0, 0)  # the furthest log that the others told of then
        self._floor_until = self._alone_at = math.inf
        self._begun = False
        self._quiet_until = self._query_at = math.inf
        self._heard = -math.inf  # when a leader was heard of last
        self._deadline = math.inf  # when to stand for leader
        self._ask_at = math.inf
        self._votes: set[str] = set()
        self._vote_token = 0
        self._peers: dict[str, Peer] = {}
        self._acknowledged: dict[str, int] = {}  # by disk: the highest committed index that it said it had
        self._since = math.inf  # when the own leadership began
        self._sequence = 0
        self._heartbeat_at = math.inf
        self._waiting: dict[int, list[tuple[int, str]]] = {}  # clients and proposals by index
        self._on: dict[type, Callable[[float, str, Any], None]] = {
            RecoveryQuery: self._on_recovery_query,
            RecoveryResponse: self._on_recovery_response,
            PreVote: self._on_pre_vote,
            PreVoteResponse: self._on_pre_vote_response,
            RequestVote: self._on_request_vote,
            RequestVoteResponse: self._on_request_vote_response,
            AppendEntries: self._on_append_entries,
            InstallSnapshot: self._on_install_snapshot,
            AppendEntriesResponse: self._on_append_entries_response,
        }

    # --- what is known ------------------------------------------------------------------------

    @property
    def term(self) -> int:
        """The own term."""
        return self.meta.term

    @property
    def voters(self) -> VoterSlots:
        """The slots in force: those of the last entry that names them, committed or not."""
        return self.log.voters

    @property
    def votes(self) -> bool:
        """Whether this member is a voter, and nothing keeps it from voting."""
        return self._sure and self._me in self.log.voters

    @property
    def ready(self) -> bool:
        """Whether it leads and has committed an entry of its term: before, `machine` may lack what an earlier
        leader committed."""
        return self.role == "leader" and self.log.term_at(self.commit_index) == self.term

    def leader_lease_until(self, now_ms: float) -> float:
        """Until when no other leader can exist, on the own clock; -inf if that can't be known, and while not
        `ready`.

        A majority has answered a heartbeat, and gives no other vote within `election_ms` of it. The time
        counts from when the heartbeat was sent, and is shorter by what their clocks may be faster."""
        if not self.ready:
            return -math.inf
        span = self.config.election_ms * (1 - self.config.drift_ppm * 1e-6)
        return reached(self.log.voters, lambda voter: self._answered(voter, now_ms)) + span

    def slots(self, now_ms: float) -> list[SlotStatus]:
        """What the leader knows of each slot, in order; of a follower only the own one."""
        told = []
        for slot in self.log.voters:
            peer = self._peers.get(slot.name)
            if slot.name == self.name:
                own = SlotStatus(slot.name, slot.disk, self._out.durable_index, 0.0, self.votes)
                told.append(own)
            elif peer is not None:
                silent = now_ms - peer.answered_ms
                counts = self._sound(slot, peer)
                told.append(SlotStatus(slot.name, slot.disk, peer.match_index, silent, counts))
        return told

    @property
    def _me(self) -> Voter:
        return Voter(self.name, self.meta.disk)

    @property
    def _sure(self) -> bool:
        """Whether it may promise anything."""
        return self._begun and self._recovery is None and not self._out.failed

    def _voice(self) -> tuple[str, int]:
        """Disk and incarnation by which it speaks; who may promise nothing has none, and is not counted."""
        return (self.meta.disk, self.meta.incarnation) if self._sure else ("", 0)

    # --- events -------------------------------------------------------------------------------

    def receive(self, now_ms: float, sender: str, message: Any) -> list[Action]:
        """A message of a member; one that is not of the order, or makes no sense, is dropped."""
        self._begin(now_ms)
        handler = self._on.get(type(message))
        late = self._out.busy and getattr(message, "term", 0) > self.term  # a term has to be stored
        named = 0 < len(sender) <= NAME_MOST and sender != self.name
        if handler is not None and named and not late and sane(message):
            handler(now_ms, sender, message)
        return self._end()

    def tick(self, now_ms: float) -> list[Action]:
        """Time has passed."""
        self._begin(now_ms)
        if self._recovery is not None:
            self._query_others(now_ms)
        if self.role == "leader":
            self._lead_on(now_ms)
        elif now_ms >= self._deadline:
            self.leader = ""
            self._stand(now_ms)
        elif now_ms >= self._ask_at and self.role != "follower":
            self._ask(now_ms)
        return self._end()

    def next_ms(self) -> float:
        """When `tick` is wanted next, on the own clock."""
        if not self._begun:
            return -math.inf
        dues = [self._deadline] if self.role != "leader" else [self._heartbeat_at, self._lapse()]
        if self.role in ("pre_candidate", "candidate"):
            dues.append(self._ask_at)
        if self._recovery is not None:
            dues.append(self._query_at)
        return min(dues)

    def stored(self, now_ms: float, token: int) -> list[Action]:
        """A store and all before it are durable."""
        self._begin(now_ms)
        self._out.stored(token)
        if self.role == "candidate" and self._out.durable >= self._vote_token:
            self._count(now_ms, self.name)
        elif self.role == "leader":
            self._advance(now_ms)
        return self._end()

    def failed(self, now_ms: float, token: int) -> list[Action]:
        """A store failed: what it held is in doubt for good. The part as voter and leader ends; it learns
        on."""
        self._begin(now_ms)
        if not self._out.failed:
            self._out.fail()
            why = "it votes no more until it starts with a sound one"
            self._log_line(f"the disk of {self.name} failed: {why}")
            self._step_down("its disk failed")
            self.role = "follower"
            self._recovery = None
        return self._end()

    def propose(
        self, now_ms: float, change: Change, proposal: str, base: int = 0, client: int = 0
    ) -> list[Action]:
        """Ask for a rulebook with `change`. `client` is answered (`Proposed`) once that is committed, or
        refused.

        One that was asked before is answered with the number it got then, by any member that knows of it."""
        self._begin(now_ms)
        number = self.machine.proposals.get(proposal, 0)
        if number:
            self._answer(client, Proposed(proposal, "durable", number, self.machine.effective))
        elif self.role != "leader":
            self._answer(client, self._elsewhere(proposal))
        elif (entry := self.log.proposed(proposal, self.machine.last_applied)) is not None:
            self._wait_for(entry.index, client, proposal)
        else:
            self._propose(now_ms, change, proposal, base, client)
        return self._end()

    def propose_effective(self, now_ms: float, number: int) -> list[Action]:
        """Put into the log that `number` is in effect; nothing unless it is committed and higher than
        before."""
        self._begin(now_ms)
        if self.ready and self.log.effective < number <= self.machine.pending and not self._out.busy:
            self._put(now_ms, Effective(number))
        return self._end()

    def add_voter(self, now_ms: float, name: str, client: int = 0) -> list[Action]:
        """Give a name a vacant slot; it votes once its disk has all that is committed."""
        return self._change(now_ms, client, "", name)

    def remove_voter(self, now_ms: float, name: str, client: int = 0) -> list[Action]:
        """Take a name's slot away; a leader that is away with it steps down as soon as that is committed."""
        return self._change(now_ms, client, name, "")

    def replace_voter(self, now_ms: float, name: str, other: str, client: int = 0) -> list[Action]:
        """Take a name's slot away, and give `other` a vacant one."""
        return self._change(now_ms, client, name, other)

    # --- an incarnation begins ------------------------------------------------------------------------

    def _begin(self, now_ms: float) -> None:
        if self._begun:
            return
        self._begun = True
        # A vote in the last incarnation may have been refused for a leader's sake, which this one doesn't
        # know.
        self._quiet_until = now_ms + self.config.election_ms
        self._rest(now_ms)
        if self._damaged:
            self._new_disk("its disk is damaged")
        elif not self.meta.disk:
            self._new_disk("")
        else:
            self._keep(incarnation=self.meta.incarnation + 1)
            self._recovery = Recovery(self._rng.getrandbits(48))
            self._alone_at = now_ms + self.config.alone_ms
            self._query_at = now_ms
            self._recover(now_ms)
        if self.machine.books:
            self._out.emit(Take())

    def _new_disk(self, why: str) -> None:
        """Be another disk, which never promised anything: what the one before promised is not known any
        more."""
        disk = f"{self._rng.getrandbits(64):016x}"
        self._keep(disk=disk, incarnation=1, voted_for="")
        self._recovery = None
        if why:
            self._log_line(f"{why}: {self.name} votes no more until the leader takes it in as disk {disk}")

    def _query_others(self, now_ms: float) -> None:
        if now_ms >= self._query_at and self._recovery is not None:
            self._query_at = now_ms + self.config.heartbeat_ms
            own = self.meta.disk, self.meta.incarnation
            query = RecoveryQuery(*own, self.log.last_index, self._recovery.nonce)
            for slot in self.log.voters:
                if slot.name != self.name:
                    self._out.send(slot.name, query)
        self._recover(now_ms)

    def _on_recovery_query(self, now_ms: float, sender: str, query: RecoveryQuery) -> None:
        self._respond_to_recovery(sender, query.disk, query.nonce)

    def _respond_to_recovery(self, to: str, disk: str, nonce: int) -> None:
        """Tell what is remembered of a disk: no less than was ever counted. A failed one vouches for none."""
        by = "" if self._out.failed else self.meta.disk
        incarnation, acknowledged = self._incarnations.of(disk), self._acknowledged.get(disk, 0)
        last = self.log.last_index, self.log.last_term
        self._out.send(to, RecoveryResponse(disk, incarnation, acknowledged, nonce, by, self.term, *last))

    def _on_recovery_response(self, now_ms: float, sender: str, told: RecoveryResponse) -> None:
        recovery = self._recovery
        if not told.by or told.disk != self.meta.disk or slot_of(self.log.voters, sender) is None:
            return
        asked = recovery is not None and told.nonce == recovery.nonce
        # Once it may promise, its own incarnation is remembered too. A higher one was never its own; what is
        # committed and was acknowledged is never dropped: these say so unasked and late too.
        own = self.meta.incarnation
        older = told.incarnation > own or (asked and told.incarnation == own)
        if older or told.acknowledged > self.log.last_index:
            self._step_down("its disk is an older copy")
            self.role = "follower"
            self._new_disk(f"its disk was put back to an older copy, as {sender} remembers")
        elif recovery is not None and asked:
            recovery.responses[sender] = told
            self._recover(now_ms)

    def _recover(self, now_ms: float) -> None:
        """Go by what the others told, if they are enough."""
        recovery, slots = self._recovery, self.log.voters
        if recovery is None or not recovery.enough(slots, self._me, now_ms >= self._alone_at):
            return
        self._recovery = None
        self._floor, self._floor_until = recovery.floor(slots), now_ms + self.config.alone_ms
        term = recovery.term()
        if term > self.term or (term == self.term and not self.meta.voted_for):
            # It may have voted in that term and not know any more: the own name bars any other.
            self._keep(term=term, voted_for=self.name)

    # --- votes --------------------------------------------------------------------------------

    @property
    def _stands(self) -> bool:
        """Whether it may lead: also to commit a change that takes its own slot, which none but it may have
        (Ongaro 2014, 4.2.2)."""
        open_change = self.log.voters_index > self.commit_index and self._me in self.log.voters_before
        return self._sure and (self._me in self.log.voters or open_change)

    def _rest(self, now_ms: float) -> None:
        """Stand for leader no sooner than after another election time, drawn so that two seldom stand at
        once."""
        self._deadline = now_ms + self.config.election_ms * self._rng.uniform(1.0, 2.0)

    def _free(self, now_ms: float) -> bool:
        """Whether a vote may be given at all: to no one while a leader may hold the own answer to its
        heartbeat."""
        if not self._sure or self.role == "leader" or now_ms < self._quiet_until:
            return False
        return now_ms >= self._heard + self.config.election_ms

    def _behind(self, now_ms: float, last: tuple[int, int]) -> bool:
        """Whether a log that ends with this term and index may lack what was committed."""
        floor = self._floor if now_ms < self._floor_until else (0, 0)
        return last < max(floor, (self.log.last_term, self.log.last_index))

    def _stand(self, now_ms: float) -> None:
        """Ask whether votes would be given: who can't win raises nobody's term."""
        self._rest(now_ms)
        self.role = "follower"
        last = self.log.last_term, self.log.last_index
        if not self._stands or not self._free(now_ms) or self._behind(now_ms, last):
            return
        self.role = "pre_candidate"
        self._votes = set()
        self._ask(now_ms)
        self._count(now_ms, self.name)

    def _run(self, now_ms: float) -> None:
        self._rest(now_ms)
        self.role = "candidate"
        self._votes = set()
        self._keep(term=self.term + 1, voted_for=self.name)
        self._vote_token = self._out.token
        self._ask(now_ms)

    def _ask(self, now_ms: float) -> None:
        """Ask those whose votes are missing, again too: a question or an answer may be lost."""
        self._ask_at = now_ms + self.config.heartbeat_ms
        last = self.log.last_index, self.log.last_term
        own = self.meta.disk, self.meta.incarnation
        ask: PreVote | RequestVote
        if self.role == "pre_candidate":
            ask = PreVote(self.term + 1, *last, *own)
        else:
            ask = RequestVote(self.term, *last, *own)
        for slot in voting(self.log.voters):
            if slot.name != self.name and slot.name not in self._votes:
                self._out.send(slot.name, ask)

    def _on_pre_vote(self, now_ms: float, sender: str, ask: PreVote) -> None:
        if self._out.busy or self._over(sender, ask):
            return
        if ask.term <= self.term:
            self._out.send(sender, PreVoteResponse(self.term, False, *self._voice()))
        elif self._free(now_ms) and not self._behind(now_ms, (ask.last_log_term, ask.last_log_index)):
            self._out.send(sender, PreVoteResponse(ask.term, True, *self._voice()))

    def _on_request_vote(self, now_ms: float, sender: str, ask: RequestVote) -> None:
        if self._out.busy or self._over(sender, ask):
            return
        granted = False
        if ask.term >= self.term:
            if not self._free(now_ms):
                return
            if ask.term > self.term:
                self._adopt(now_ms, ask.term, "")
            behind = self._behind(now_ms, (ask.last_log_term, ask.last_log_index))
            granted = self.meta.voted_for in ("", sender) and not behind
        if granted:
            self._rest(now_ms)
            if not self.meta.voted_for:
                self._keep(voted_for=sender)
        self._out.send(sender, RequestVoteResponse(self.term, granted, *self._voice()))

    def _over(self, sender: str, ask: PreVote | RequestVote) -> bool:
        """Whether who asks has no disk that votes, or is of an incarnation that is over, which it is told."""
        over = bool(ask.disk) and ask.incarnation < self._incarnations.of(ask.disk)
        if over:
            self._respond_to_recovery(sender, ask.disk, 0)
        return over or not ask.disk

    def _on_pre_vote_response(self, now_ms: float, sender: str, response: PreVoteResponse) -> None:
        if not response.vote_granted and response.term > self.term:
            self._adopt(now_ms, response.term, "")
        elif self.role == "pre_candidate" and response.term == self.term + 1:
            self._on_vote(now_ms, sender, response)

    def _on_request_vote_response(self, now_ms: float, sender: str, response: RequestVoteResponse) -> None:
        if response.term > self.term:
            self._adopt(now_ms, response.term, "")
        elif self.role == "candidate" and response.term == self.term:
            self._on_vote(now_ms, sender, response)

    def _on_vote(self, now_ms: float, sender: str, response: PreVoteResponse | RequestVoteResponse) -> None:
        if response.vote_granted and self._counts(Voter(sender, response.disk), response.incarnation):
            self._count(now_ms, sender)

    def _count(self, now_ms: float, name: str) -> None:
        self._votes.add(name)
        if reached(self.log.voters, lambda voter: float(voter.name in self._votes)) < 1.0:
            return
        if self.role == "candidate":
            self._lead(now_ms)
        elif self._free(now_ms):
            self._run(now_ms)

    def _counts(self, voter: Voter, incarnation: int) -> bool:
        """Whether votes and acknowledgements of a disk count: not before its incarnation is durably
        remembered."""
        known = self._incarnations.of(voter.disk)
        if not voter.disk or voter not in self.log.voters or incarnation < known:
            return False
        if incarnation > known:
            if not self._out.busy:
                token, slots = self._out.token, self.log.voters
                self._keep(seen=self._incarnations.note(voter.disk, incarnation, token, slots))
            return False
        return self._incarnations.known(voter.disk, incarnation, self._out.durable)

    def _adopt(self, now_ms: float, term: int, voted_for: str) -> None:
        """Go over to a higher term, as a follower."""
        if self.role == "leader":
            self._step_down("another has a higher term")
            self._rest(now_ms)
        self.role = "follower"
        self.leader = ""
        self._keep(term=term, voted_for=voted_for)

    # --- following ----------------------------------------------------------------------------

    def _follow(self, now_ms: float, sender: str, message: AppendEntries | InstallSnapshot) -> bool:
        """Whether a leader's message is one to go by; its term is answered where not."""
        if message.term < self.term:
            self._agree(sender, message.sequence, False, 0)
            return False
        if message.term == self.term and self.role == "leader":
            self._log_line(f"{sender} leads in the own term {self.term}: two of one name?")
            return False
        if message.term > self.term:
            self._adopt(now_ms, message.term, sender)
        elif not self.meta.voted_for:
            self._keep(voted_for=sender)  # no other can win this term: a vote for one could only do harm
        self.role, self.leader = "follower", sender
        self._heard = now_ms
        self._rest(now_ms)
        return True

    def _agree(self, to: str, sequence: int, ok: bool, match_index: int) -> None:
        """Answer at once, since the leader's lease rests on it, but only for what is on disk."""
        kept = match_index if self._out.failed or not ok else min(match_index, self._out.durable_index)
        self._out.send(to, AppendEntriesResponse(self.term, sequence, ok, kept, *self._voice()))

    def _promise(self, to: str, sequence: int, match_index: int) -> None:
        """Answer once all that is stored by now is on disk."""
        self._out.promise(to, AppendEntriesResponse(self.term, sequence, True, match_index, *self._voice()))

    def _on_append_entries(self, now_ms: float, sender: str, told: AppendEntries) -> None:
        if (told.entries and self._out.busy) or not self._follow(now_ms, sender, told):
            return
        hint = self._fits(told)
        if any(
            self.log.base < e.index <= self.commit_index and self.log.term_at(e.index) != e.term
            for e in told.entries
        ):
            self._log_line(f"{sender} would change what is committed: not followed")
            return
        if hint is not None:
            self._agree(sender, told.sequence, False, hint)
            return
        match_index = told.prev_log_index + len(told.entries)
        if self._take_in(told.entries):
            self._promise(sender, told.sequence, match_index)
        else:
            self._agree(sender, told.sequence, True, match_index)
        self._commit(now_ms, min(told.leader_commit, match_index))

    def _fits(self, told: AppendEntries) -> int | None:
        """None where the log has what stands before the entries; else from where the leader is to try."""
        index = told.prev_log_index
        if index > self.log.last_index:
            return self.log.last_index
        term = self.log.term_at(index)
        if index < self.log.base or term == told.prev_log_term:
            return None
        while index > self.commit_index and self.log.term_at(index) == term:
            index -= 1
        return index

    def _take_in(self, entries: tuple[Entry, ...]) -> bool:
        """Put a leader's entries into the log, in place of those of other terms; whether any was new."""
        new = False
        for entry in entries:
            if entry.index <= self.log.base or self.log.term_at(entry.index) == entry.term:
                continue
            if entry.index <= self.log.last_index:
                self.log.cut(entry.index)
                self._out.lower(entry.index - 1)
            self.log.append(entry)
            self._out.write(entry.index)
            new = True
        return new

    def _on_install_snapshot(self, now_ms: float, sender: str, told: InstallSnapshot) -> None:
        if self._out.busy or not self._follow(now_ms, sender, told):
            return
        compact = told.snapshot
        if compact.index <= self.commit_index:
            self._agree(sender, told.sequence, True, compact.index)
            return
        other = self.log.term_at(compact.index) != compact.term
        if other:
            self._out.lower(self.commit_index)
        self.log.shorten(compact, whole=other)
        self._out.snapshot(compact, cut=other)
        self.machine = StateMachine.of(compact)
        self.commit_index = compact.index
        self._out.emit(Take())
        self._promise(sender, told.sequence, compact.index)

    def _commit(self, now_ms: float, index: int) -> None:
        """Go by all entries up to `index`."""
        taken = False
        self.commit_index = max(self.commit_index, index)
        while self.machine.last_applied < self.commit_index:
            entry = self.log.at(self.machine.last_applied + 1)
            taken |= self.machine.apply(entry)
            self._done(entry)
        if taken:
            self._out.emit(Take())

    def _shorten(self) -> None:
        """Put the applied entries into a snapshot, once they are many."""
        many = self.machine.last_applied - self.log.base >= self.config.entries_most
        many |= self.log.books >= 2 * self.config.books_most and self.machine.last_applied > self.log.base
        if many and not self._out.writes and not self._out.busy:
            compact = self.machine.compact()
            self.log.shorten(compact)
            self._out.snapshot(compact, cut=False)

    # --- leading ------------------------------------------------------------------------------

    def _lead(self, now_ms: float) -> None:
        self.role, self.leader = "leader", self.name
        self._since = now_ms
        self._peers = {}
        self._log_line(f"{self.name} leads in term {self.term}")
        self._put(now_ms, Noop())
        self._send_heartbeats(now_ms)

    def _step_down(self, why: str) -> None:
        if self.role != "leader":
            return
        self.role, self.leader = "follower", ""
        self._peers = {}
        self._log_line(f"{self.name} leads no more: {why}")
        for waiting in self._waiting.values():
            for client, proposal in waiting:
                self._answer(client, self._elsewhere(proposal))
        self._waiting = {}

    def _lead_on(self, now_ms: float) -> None:
        """Who is not answered by a majority can commit nothing, and another may lead: nobody should wait for
        it."""
        if now_ms >= self._lapse():
            self._step_down("no majority answers")
            self._rest(now_ms)
        elif now_ms >= self._heartbeat_at:
            self._send_heartbeats(now_ms)

    def _lapse(self) -> float:
        """When the own majority is given up, unless it answers."""

        def heard(voter: Voter) -> float:
            return max(self._since, self._answered(voter, math.inf))

        return reached(self.log.voters, heard) + self.config.election_ms

    def _answered(self, voter: Voter, now_ms: float) -> float:
        """When the last heartbeat was sent that a voter answered; the own vote is always there."""
        if voter == self._me:
            return now_ms
        peer = self._peers.get(voter.name)
        return peer.answered_ms if peer is not None and self._sound(voter, peer) else -math.inf

    def _sound(self, voter: Voter, peer: Peer) -> bool:
        """Whether what is known of a peer is of the disk that votes, in an incarnation that is remembered."""
        known = self._incarnations.known(peer.disk, peer.incarnation, self._out.durable)
        return voter.disk == peer.disk and known

    def _put(self, now_ms: float, body: Body) -> int:
        """Put an entry into the own log and send it; its index."""
        index = self.log.last_index + 1
        self.log.append(Entry(index, self.term, body))
        self._out.write(index)
        if isinstance(body, Noop | Voters):
            names = {slot.name for slot in self.log.voters} - {self.name}
            self._peers = {name: self._peers.get(name) or Peer(name, index) for name in sorted(names)}
        for peer in self._peers.values():
            self._feed(now_ms, peer)
        return index

    def _send_heartbeats(self, now_ms: float) -> None:
        """To all. A heartbeat has no entries, so that no disk delays the answer; it shows what was lost on
        its way."""
        self._heartbeat_at = now_ms + self.config.heartbeat_ms
        for peer in self._peers.values():
            self._send(now_ms, peer, max(peer.next_index - 1, self.log.base), ())
            self._feed(now_ms, peer)

    def _send(self, now_ms: float, peer: Peer, index: int, entries: tuple[Entry, ...]) -> None:
        self._sequence += 1
        peer.ask(now_ms, self._sequence)
        before = self.log.term_at(index)
        message = AppendEntries(self.term, self._sequence, index, before, entries, self.commit_index)
        self._out.send(peer.name, message)

    def _feed(self, now_ms: float, peer: Peer) -> None:
        """Send what a member lacks, as far as the window goes."""
        if peer.next_index <= self.log.base:
            if now_ms >= peer.installed_ms + self.config.election_ms:
                peer.installed_ms = now_ms
                self._sequence += 1
                peer.ask(now_ms, self._sequence)
                compact = self.log.compact
                assert compact is not None  # the base is a snapshot's
                self._out.send(peer.name, InstallSnapshot(self.term, self._sequence, compact))
            return
        most = peer.match_index + self.config.window
        while peer.next_index <= min(self.log.last_index, most):
            entries = self.log.batch(peer.next_index)
            self._send(now_ms, peer, peer.next_index - 1, entries)
            peer.next_index += len(entries)

    def _on_append_entries_response(self, now_ms: float, sender: str, told: AppendEntriesResponse) -> None:
        if told.term > self.term:
            self._adopt(now_ms, told.term, "")
        peer = self._peers.get(sender)
        if self.role != "leader" or told.term != self.term or peer is None:
            return
        if told.incarnation < self._incarnations.of(told.disk):
            self._respond_to_recovery(sender, told.disk, 0)
            return
        if not self._same(now_ms, peer, told):
            return
        voter = Voter(sender, told.disk)
        if told.disk and voter in self.log.voters and not self._counts(voter, told.incarnation):
            return
        peer.answer(told.sequence)
        if told.success:
            peer.match_index = max(peer.match_index, min(told.match_index, self.log.last_index))
            peer.next_index = max(peer.next_index, peer.match_index + 1)
        elif told.sequence <= peer.back:
            return  # it was asked before the last one that was gone by: each would have all sent again
        else:
            peer.back = self._sequence
            if told.match_index < self._acknowledged.get(told.disk, 0):
                self._respond_to_recovery(sender, told.disk, 0)  # it may have had more, in this incarnation
            if not told.disk:
                # Without a disk it may have begun anew.
                peer.match_index = min(peer.match_index, told.match_index)
            peer.next_index = max(peer.match_index, min(told.match_index, peer.next_index - 1)) + 1
        self._advance(now_ms)
        if self.role == "leader":
            self._note()
            self._fill_slot(now_ms, peer)
            self._feed(now_ms, peer)

    def _same(self, now_ms: float, peer: Peer, told: AppendEntriesResponse) -> bool:
        """Whether an answer is of the disk and incarnation that answer under this name now, or of ones that
        take their turn."""
        if (told.disk, told.incarnation) == (peer.disk, peer.incarnation):
            return True
        over = told.disk == peer.disk and told.incarnation < peer.incarnation
        if over or told.sequence not in peer.unanswered:
            return False  # late
        slot = slot_of(self.log.voters, peer.name)
        answers = now_ms < peer.answered_ms + self.config.election_ms
        if answers and slot is not None and slot.disk == peer.disk != told.disk:
            return False  # two under one name: the one that votes stays as long as it answers
        peer.turn(told.disk, told.incarnation, self.log.last_index)
        return True

    def _advance(self, now_ms: float) -> None:
        """Commit what a majority has on disk; what is of earlier terms only with an entry of the own one."""
        index = reached(self.log.voters, self._match_index_of)
        if index <= self.commit_index or self.log.term_at(int(index)) != self.term:
            return
        self._commit(now_ms, int(index))
        if self.log.voters_index <= self.commit_index and self._me not in self.log.voters:
            self._step_down("it has no vote any more")
            self._rest(now_ms)

    def _note(self) -> None:
        """Remember, for disks that are put back, what each voter's disk has had. Only what is committed: the
        rest it may have dropped with good reason."""
        noted = {}
        for voter in voting(self.log.voters):
            peer, before = self._peers.get(voter.name), self._acknowledged.get(voter.disk, 0)
            sound = peer is not None and self._sound(voter, peer)
            noted[voter.disk] = max(before, min(peer.match_index, self.commit_index) if peer and sound else 0)
        self._acknowledged = noted

    def _match_index_of(self, voter: Voter) -> float:
        if voter == self._me:
            return self._out.durable_index
        peer = self._peers.get(voter.name)
        return peer.match_index if peer is not None and self._sound(voter, peer) else 0

    # --- proposals and changes of voters ------------------------------------------------------

    def _propose(self, now_ms: float, change: Change, proposal: str, base: int, client: int) -> None:
        last = self.log.book
        state, why = "refused", ""
        book = apply(last, change, last.number + 1)
        if not 0 < len(proposal) <= NAME_MOST:
            why = f"an id has 1 to {NAME_MOST} characters"
        elif base and base != last.number:
            why = f"made on number {base}, and the last is {last.number}"
        elif faults := check(book, last):
            why = "; ".join(faults[:FAULTS_MOST])
        elif last.number - self.machine.effective >= self.config.books_most:
            state, why = "busy", f"{self.config.books_most} rulebooks wait to take effect"
        elif self._full:
            state, why = "busy", "too much waits to be committed"
        if why:
            self._answer(client, Proposed(proposal, state, effective=self.machine.effective, why=why))
            return
        self._wait_for(self._put(now_ms, Book(book, proposal)), client, proposal)

    @property
    def _full(self) -> bool:
        return len(self._waiting) >= self.config.waiting_most or self._out.busy

    def _wait_for(self, index: int, client: int, proposal: str) -> None:
        waiting = self._waiting.setdefault(index, [])
        if len(waiting) < self.config.waiting_most:
            waiting.append((client, proposal))
        else:
            why = "too many ask for it"
            self._answer(client, Proposed(proposal, "busy", effective=self.machine.effective, why=why))

    def _done(self, entry: Entry) -> None:
        """Answer those who waited for a committed entry."""
        number = entry.body.book.number if isinstance(entry.body, Book) else 0
        for client, proposal in self._waiting.pop(entry.index, ()):
            self._answer(client, Proposed(proposal, "durable", number, self.machine.effective))

    def _elsewhere(self, proposal: str) -> Proposed:
        leader = "" if self.leader == self.name else self.leader
        return Proposed(proposal, "elsewhere", effective=self.machine.effective, leader=leader)

    def _change(self, now_ms: float, client: int, away: str, new: str) -> list[Action]:
        self._begin(now_ms)
        if self.role != "leader":
            self._answer(client, self._elsewhere(""))
            return self._end()
        try:
            after = changed(self.log.voters, away, new)
        except ValueError as error:
            why = str(error)
        else:
            why = self._unready() or self._unbacked(now_ms, after)
        if why:
            self._answer(client, Proposed("", "refused", effective=self.machine.effective, why=why))
        else:
            self._wait_for(self._put(now_ms, Voters(after)), client, "")
        return self._end()

    def _unready(self) -> str:
        """Why the voters may not change now. A leader that has committed nothing of its term may not know of
        a change that an earlier one made: two changes from one set need have no voter in common (Ongaro,
        raft-dev 2015)."""
        if not self.ready:
            return "the leader has not committed an entry of its term"
        if self.log.voters_index > self.commit_index:
            return "another change of voters is under way"
        return "too much waits to be committed" if self._full else ""

    def _unbacked(self, now_ms: float, after: VoterSlots, newcomer: str = "") -> str:
        """Why a change would leave the cluster without a majority that answers; the newcomer's answer is not
        enough, unless there is but one other."""
        sole = len(voting(after)) <= 2

        def answered(voter: Voter) -> float:
            if voter.name == newcomer:
                return now_ms if sole else -math.inf
            return self._answered(voter, now_ms)

        if reached(after, answered) + self.config.election_ms > now_ms:
            return ""
        return "too few of the voters after it answer"

    def _fill_slot(self, now_ms: float, peer: Peer) -> None:
        """Take in a member that answers by a new disk, once that has all that was there when it came: first
        its slot is made vacant, then filled, as `members.py` tells."""
        slot = slot_of(self.log.voters, peer.name)
        if slot is None or not peer.disk or peer.disk in {other.disk for other in self.log.voters}:
            return
        if now_ms >= peer.answered_ms + self.config.election_ms or self._unready():
            return
        if now_ms < self._since + self.config.election_ms:
            return  # the disk that votes may not have come to answer yet
        caught_up = peer.mark if slot.disk else max(peer.mark, self.log.voters_index)
        if peer.match_index < caught_up or self.commit_index < caught_up:
            return
        after = with_disk(self.log.voters, peer.name, "" if slot.disk else peer.disk)
        if self._unbacked(now_ms, after, "" if slot.disk else peer.name):
            return
        self._put(now_ms, Voters(after))
        how = "has lost its disk: its slot is vacant" if slot.disk else f"votes by disk {peer.disk}"
        self._log_line(f"{peer.name} {how}")

    # --- out ----------------------------------------------------------------------------------

    def _keep(self, **changes: Any) -> None:
        self.meta = replace(self.meta, **changes)
        self._out.keep(self.meta)

    def _answer(self, client: int, told: Proposed) -> None:
        self._out.emit(Answer(client, told))

    def _log_line(self, text: str) -> None:
        self._out.emit(LogLine(text))

    def _end(self) -> list[Action]:
        self._shorten()
        return self._out.end(self.log)


def sane(message: Any) -> bool:
    """Whether the numbers of a message can be anybody's, and its entries follow one another."""
    keys = ("term", "sequence", "incarnation", "last_log_index", "leader_commit", "match_index")
    numbers = [getattr(message, key, 0) for key in keys]
    if not all(0 <= number <= NUMBER_MOST for number in numbers):
        return False
    if isinstance(message, InstallSnapshot):
        return _sane_compact(message.snapshot, message.term)
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


def _sane_compact(compact: Compact, term: int) -> bool:
    return 0 < compact.index <= NUMBER_MOST and 0 <= compact.term <= term

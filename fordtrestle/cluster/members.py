"""Who votes: majorities, changes of voters one at a time, and disks that were lost or put back. Pure.

A vote that a disk forgot must not be given twice. So a disk has an identity, a voter is a name with a disk,
and votes and acknowledgements of a disk that the log does not name are not counted.

**A lost disk** is replaced in two entries, never in one. The first makes its slot vacant, the second fills it
with the new disk. In one entry, {A, B, C1} to {A, B, C2}, two majorities need have nobody in common: {A, C2}
and {B, C1}, where C1 turns up again; each could commit something else at one index. Taking one voter away, or
adding one, leaves any majority of before and any of after with a voter in common (Ongaro 2014, 4.1), and so
each of the two entries is safe whoever acknowledges it. The first is never harder to commit than without it:
the lost disk acknowledges nothing in any case. The second is not put into the log where its commit would wait
for the newcomer itself, which may be lost again; but where there is a sole other voter, it has to be.

**A disk put back** to an older copy has forgotten what it promised in between. Each start is a new
incarnation, one higher; others store the incarnation before they count anything of it. At its start a disk
asks the others (`RecoveryQuery`), and votes and acknowledges nothing before enough have answered. An
incarnation as high as its own, or a committed entry that it acknowledged and no longer has, says that it was
put back: then it is treated as lost. A copy of the same incarnation shows neither; therefore it also gives no
vote in the terms that the others tell of, and to no candidate whose log ends before theirs, since all that it
can have promised to one of them lies within these.

Enough: one in common with every majority in which the disk was (of 3 both others, of 5 three of the four).
After `alone_ms` as many do as make a majority with it, since a voter that is gone for good would otherwise
stop all: of three, a disk put back while the other that knows of it is away for so long is two failures at
once, and what only these two held can then be lost. `alone_ms` may be infinite.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from fordtrestle.cluster.log import Log, State, StateMachine
from fordtrestle.cluster.messages import NAME_MOST, Entry, Meta, RecoveryResponse, Snapshot, Voter, Voters

SLOTS_MOST = 9  # seven voters, and what a change needs
UNANSWERED_MOST = 64  # heartbeats to one member that may be unanswered
INCARNATIONS_MOST = 64  # disks whose incarnations are remembered
RECOVERED_TERMS = 1000  # by which a recovered log is ahead of any term that the lost ones may have reached

VoterSlots = tuple[Voter, ...]


def voting(slots: VoterSlots) -> VoterSlots:
    """Those that are not vacant."""
    return tuple(slot for slot in slots if slot.disk)


def reached(slots: VoterSlots, value: Callable[[Voter], float]) -> float:
    """The highest value that a majority has reached; -inf where nobody votes."""
    values = sorted(map(value, voting(slots)), reverse=True)
    return values[len(values) // 2] if values else -math.inf


def slot_of(slots: VoterSlots, name: str) -> Voter | None:
    """The slot of a name, if it has one."""
    return next((slot for slot in slots if slot.name == name), None)


def with_disk(slots: VoterSlots, name: str, disk: str) -> VoterSlots:
    """The slots, with another disk in one; `disk` empty: vacant."""
    return tuple(Voter(name, disk) if slot.name == name else slot for slot in slots)


def changed(slots: VoterSlots, away: str = "", new: str = "") -> VoterSlots:
    """The slots without `away`, and with a vacant one for `new`; `ValueError` says why that can't be."""
    if away and slot_of(slots, away) is None:
        raise ValueError(f"{away} has no slot")
    if new and slot_of(slots, new) is not None:
        raise ValueError(f"{new} has a slot")
    if len(new) > NAME_MOST:
        raise ValueError(f"a name has {NAME_MOST} characters at the most")
    after = tuple(slot for slot in slots if slot.name != away) + ((Voter(new, ""),) if new else ())
    if not voting(after):
        raise ValueError("nobody would vote")
    if len(after) > SLOTS_MOST:
        raise ValueError(f"there may be {SLOTS_MOST} slots")
    return after


@dataclass(slots=True)
class Peer:
    """How far a leader is with one member. `disk` and `incarnation` are those of its last answer."""

    name: str
    next_index: int  # the first one to send
    disk: str = ""
    incarnation: int = 0
    match_index: int = 0  # up to where it has the leader's log, on disk
    mark: int = 0  # the leader's last index when this disk came
    back: int = 0  # the last heartbeat when it was gone back to what it lacked
    unanswered: dict[int, float] = field(default_factory=dict)  # when each unanswered heartbeat was sent
    answered_ms: float = -math.inf  # when the last answered heartbeat was sent
    installed_ms: float = -math.inf  # when a snapshot was sent last

    def ask(self, now_ms: float, sequence: int) -> None:
        """A heartbeat is sent; the oldest unanswered ones are forgotten."""
        self.unanswered[sequence] = now_ms
        if len(self.unanswered) > UNANSWERED_MOST:
            del self.unanswered[next(iter(self.unanswered))]

    def answer(self, sequence: int) -> float | None:
        """When an answered heartbeat was sent; None for one that is not awaited (any more)."""
        sent = self.unanswered.get(sequence)
        if sent is not None:
            self.unanswered = {other: ms for other, ms in self.unanswered.items() if other > sequence}
            self.answered_ms = max(self.answered_ms, sent)
        return sent

    def turn(self, disk: str, incarnation: int, last_index: int) -> None:
        """Another disk or incarnation answers under this name: nothing that the one before had is known of
        it."""
        if disk != self.disk:
            self.mark = last_index
        self.disk, self.incarnation, self.match_index = disk, incarnation, 0
        self.next_index = last_index + 1
        self.installed_ms = -math.inf


class Incarnations:
    """The highest incarnation of each disk of which anything was counted, and since which store that is
    durable."""

    def __init__(self, seen: Iterable[tuple[str, int]]) -> None:
        self._seen = dict(seen)
        self._tokens: dict[str, int] = {}

    def of(self, disk: str) -> int:
        """The highest incarnation of a disk; 0 for none."""
        return self._seen.get(disk, 0)

    def note(self, disk: str, incarnation: int, token: int, slots: VoterSlots) -> tuple[tuple[str, int], ...]:
        """All of them with this one, which the store `token` makes durable. The oldest that don't vote go."""
        self._seen.pop(disk, None)
        self._seen[disk], self._tokens[disk] = incarnation, token
        named = {slot.disk for slot in slots}
        unnamed = [disk for disk in self._seen if disk not in named]
        for other in unnamed[: max(0, len(self._seen) - INCARNATIONS_MOST)]:
            del self._seen[other]
            self._tokens.pop(other, None)
        return tuple(self._seen.items())

    def known(self, disk: str, incarnation: int, durable: int) -> bool:
        """Whether this is the highest incarnation and durably remembered."""
        return self.of(disk) == incarnation and self._tokens.get(disk, 0) <= durable


class Recovery:
    """What the others remember of a disk that has started."""

    def __init__(self, nonce: int) -> None:
        self.nonce = nonce
        self.responses: dict[str, RecoveryResponse] = {}  # only of names that have a slot

    def _of_voters(self, slots: VoterSlots) -> list[RecoveryResponse]:
        return [response for name, response in self.responses.items() if Voter(name, response.by) in slots]

    def enough(self, slots: VoterSlots, me: Voter, alone: bool) -> bool:
        """Whether enough have answered; `alone`: after `alone_ms`, when those count too that vote by a
        change that is not known here."""
        others = len([slot for slot in voting(slots) if slot.name != me.name])
        if not others:
            return me in slots  # the sole voter; a disk that knows no voters can't know
        most = (others + 1) // 2 + 1
        return len(self._of_voters(slots)) >= others + 2 - most or (alone and len(self.responses) >= most - 1)

    def term(self) -> int:
        """The highest term of a response."""
        return max((response.term for response in self.responses.values()), default=0)

    def floor(self, slots: VoterSlots) -> tuple[int, int]:
        """Term and index of the last entry of the furthest log of a voter. One who does not vote can't lead
        either, and to wait for it would be for ever."""
        ends = [(response.last_log_term, response.last_log_index) for response in self._of_voters(slots)]
        return max(ends, default=(0, 0))


def init_state(voters: Mapping[str, str], name: str) -> State:
    """What the disk of `name` holds before its first start, where `voters` names the disk of each voter.

    An empty disk is a vacant slot: who starts there with an empty folder is taken in by the first leader."""
    slots = tuple(Voter(other, disk) for other, disk in sorted(voters.items()))
    return State(Meta(disk=voters[name], term=1), (Entry(1, 1, Voters(slots)),))


def position(state: State) -> tuple[int, int]:
    """Term and index of the last entry: of several survivors, the one with the highest is recovered from."""
    log = Log(state.snapshot, state.entries)
    return log.last_term, log.last_index


def recover_state(state: State, name: str, disk: str, names: Iterable[str]) -> State:
    """The way back from a majority lost for good: `name` is the sole voter, by a new disk; `names` get vacant
    slots.

    All that this disk has counts as committed from here on, confirmed or not; what only the lost ones had is
    lost, though it may have been confirmed. None of them may start again but with an empty folder: two of
    them with their old disks could still elect a leader of their own."""
    log = Log(state.snapshot, state.entries)
    machine = StateMachine.of(state.snapshot)
    for entry in log.entries:
        machine.apply(entry)
    term = max(state.meta.term, log.last_term) + RECOVERED_TERMS
    slots = (Voter(name, disk), *(Voter(other, "") for other in sorted(set(names) - {name})))
    last = machine.snapshot()
    snapshot = Snapshot(log.last_index + 1, term, slots, last.effective, last.books, last.proposals)
    return State(Meta(disk=disk, term=term), (), snapshot)

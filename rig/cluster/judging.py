"""What a play showed, and all checkers over it. Pure: values in and out.

The four rules are checked by the ledger, from what servers and callers saw. What a fault of the rig's did to
a call by itself is no breach of the program's: each such call is left out by what it met, and no other.
"""

from __future__ import annotations

import itertools
import math
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import TYPE_CHECKING, NamedTuple

from msgspec.structs import replace

from rig import ledger
from rig.cluster.checkers import Finding, check_rules, check_versions, worst
from rig.cluster.entries import check_entries, contradictions_by_entry, recovery_by_entry_ms
from rig.cluster.history import LIST, Acted, Event, Learned, Started, Stored
from rig.cluster.outages import Down, Faulted
from rig.cluster.promises import check_drains, check_durable
from rig.cluster.schedules import Link, Reload, Schedule, Step, Stop

if TYPE_CHECKING:
    from rig.cluster.checkers import Span
    from rig.cluster.links import Counts

DELAYS = ("cut", "stall", "loss", "late", "narrow")  # what makes bytes late on TCP
HELD_S = 0.1  # after a link's fault until what it held has arrived
AWAKE_S = 0.2  # after a process wakes until it has answered what was due
DRAIN_SLACK_MS = 50.0  # past the grace: a send that was due is on its way
PUT_BACK = ("emptied", "older")  # a disk that is another under a node that is down
DISHONEST = ("lie", "lost_rename", "changed", *PUT_BACK)  # a disk that keeps no promise


class Change(NamedTuple):
    """The registry's list changed: a server's status, at a time of the events' clock."""

    at_ms: float
    server: str
    status: str


@dataclass(frozen=True, slots=True)
class Used:
    """What a node used in a play, over all of its lives; its memory is the most of its last."""

    lives: int = 0
    cpu_s: float = 0.0
    rss_mb: float = 0.0
    syncs: int = 0
    written_bytes: int = 0


@dataclass
class Played:
    """What one play showed. `unsound`: why the rig itself can't be believed; empty where it can."""

    schedule: Schedule
    nodes: list[str]
    began_ms: float  # on the clock of the events
    events: list[Event]
    call_ledger: ledger.Ledger
    changes: list[Change] = field(default_factory=list)
    downs: list[Down] = field(default_factory=list)
    faulted: list[Faulted] = field(default_factory=list)
    answers: dict[str, int] = field(default_factory=dict)
    counts: dict[tuple[str, str], Counts] = field(default_factory=dict)
    used: dict[str, Used] = field(default_factory=dict)
    fallen: list[str] = field(default_factory=list)  # processes that ended by themselves, or not when told to
    unsound: list[str] = field(default_factory=list)
    not_played: list[str] = field(default_factory=list)
    wall_s: float = 0.0
    rig_cpu_s: float = 0.0

    @property
    def healed_ms(self) -> float:
        """When the last fault was over, on the clock of the events."""
        return self.began_ms + self.schedule.healed_ms

    def orders(self) -> dict[str, list[str]]:
        """By rule with no version, the digests of each number of settings, from the lowest number on.

        What a node's file was as it learned a digest tells the digest's number.
        """
        reloads: dict[str, list[tuple[float, int]]] = defaultdict(list)
        for step in self.schedule.steps:
            if isinstance(step, Reload):
                reloads[step.node].append((self.began_ms + step.at_ms, step.settings))
        numbers: dict[str, dict[str, int]] = defaultdict(dict)
        for event in self.events:
            if isinstance(event, Learned) and not event.version:
                before = [number for at_ms, number in reloads[event.node] if at_ms <= event.at_ms]
                numbers[event.rule].setdefault(event.digest, before[-1] if before else 1)
        return {rule: sorted(known, key=known.__getitem__) for rule, known in numbers.items()}

    def longest(self) -> list[Span]:
        """The longest contradiction of each entry and of settings, longest first."""
        return contradictions_by_entry(self.events, self.orders())

    def recovery_ms(self) -> float:
        """How long after the last fault all nodes went by what is newest; infinite where one never did, not
        a number where there was no fault.
        """
        if not self.schedule.healed_ms:
            return math.nan
        return recovery_by_entry_ms(self.events, self.healed_ms, self.nodes, self.orders())


def judge(played: Played, bound_ms: float) -> list[Finding]:
    """The findings of all checkers, breaches first. A contradiction may last for `bound_ms`."""
    excuses = Excuses(played)
    grace_ms = played.call_ledger.limits.drain_grace_s * 1000.0 + DRAIN_SLACK_MS
    return worst(
        [
            *check_entries(played.events, bound_ms, played.orders()),
            *check_versions(played.events, over_restarts=False),
            *check_durable(played.events, Disks(played).excuse),
            *_drains(played, grace_ms),
            *check_rules(played.call_ledger, excuses.of),
            *(Finding("broken", "process", text) for text in played.fallen),
        ]
    )


def _drains(played: Played, grace_ms: float) -> list[Finding]:
    """What a killed node sent last is not in its history, but in the servers' records, by which the ledger
    judges drains: only where a link to them failed do those not say when it was sent.
    """
    found = check_drains(played.events, grace_ms)
    links = [step for step in played.schedule.steps if isinstance(step, Link)]
    if any("servers" in (*step.src, *step.dst) for step in links):
        return found
    return [finding for finding in found if finding.verdict == "broken"]


# --- what nodes were told, as the ledger has it ----------------------------------------------------


def notifications(events: Iterable[Event], changes: Sequence[Change]) -> list[ledger.Notification]:
    """A row for each change of a server in the lists that a node learned.

    The node's own word counts as the time that it was told: one that hears nothing is judged by how long it
    contradicts others, not by the rule that it can't know of.
    """
    held: dict[str, dict[str, str]] = defaultdict(dict)
    last_s: dict[tuple[str, str], float] = {}
    when: dict[tuple[str, str], list[float]] = defaultdict(list)
    for change in changes:
        when[change.server, change.status].append(change.at_ms / 1000.0)
    made = []
    for event in events:
        if not isinstance(event, Learned) or not event.rule.startswith(LIST):
            continue
        at_s = event.at_ms / 1000.0
        for server, status in _changed(held[event.node], event.entries):
            before = [changed_s for changed_s in when[server, status] if changed_s <= at_s]
            changed_s = max(before[-1] if before else at_s, at_s - ledger.MAX_NOTIFY_S)
            changed_s = max(changed_s, last_s.get((event.node, server), changed_s))
            made.append(ledger.Notification(event.node, server, status, changed_s, at_s))
            last_s[event.node, server] = at_s
    return made


def _changed(held: dict[str, str], entries: Mapping[str, str]) -> Iterator[tuple[str, str]]:
    """The servers whose status is another than held, and the new one, which is held from now on."""
    for server in sorted({*held, *entries}):
        status = entries[server].partition("/")[0] if server in entries else "left"
        if held.get(server) != status:
            held[server] = status
            yield server, status


def alike(events: Iterable[Event]) -> list[Event]:
    """The same with lists told apart by all but addresses: each node reaches servers by ones of its own.

    Of one server at one node, the first digest that it told becomes 0, another one 1, and so on.
    """
    numbers: dict[tuple[str, str], dict[str, int]] = defaultdict(dict)
    digests: dict[tuple[str, str], str] = {}
    made: list[Event] = []
    for event in events:
        if isinstance(event, Learned) and event.rule.startswith(LIST):
            entries = {}
            for server, entry in event.entries.items():
                state, _, digest = entry.partition("/")
                known = numbers[event.node, server]
                entries[server] = f"{state}/{known.setdefault(digest, len(known))}"
            whole = blake2b(repr(sorted(entries.items())).encode(), digest_size=8).hexdigest()
            digests[event.node, event.digest] = whole
            made.append(replace(event, entries=entries, digest=whole))
        elif isinstance(event, Acted | Stored) and event.rule.startswith(LIST):
            made.append(replace(event, digest=digests.get((event.node, event.digest), event.digest)))
        else:
            made.append(event)
    return made


# --- what the rig itself did to disks --------------------------------------------------------------


class Disks:
    """When a node's disk kept no promise, by the schedule."""

    def __init__(self, played: Played) -> None:
        self._spans: dict[str, list[tuple[float, float]]] = defaultdict(list)
        self._spared: set[tuple[str, float]] = set()  # starts before which what was there may be gone
        starts: dict[str, list[float]] = defaultdict(list)
        stores: dict[str, list[float]] = defaultdict(list)
        for event in played.events:
            if isinstance(event, Started):
                starts[event.node].append(event.at_ms)
            elif isinstance(event, Stored):
                stores[event.node].append(event.at_ms)
        for fault in played.faulted:
            own = starts[fault.node]
            if fault.writes in DISHONEST:
                end_ms = fault.end_ms
                if fault.writes not in PUT_BACK:
                    # A node has one write under way: what it confirms next may have begun within the fault.
                    later = stores[fault.node]
                    end_ms = max(later[bisect_left(later, end_ms) :][:1], default=end_ms)
                self._spans[fault.node].append((fault.begin_ms, end_ms))
            if fault.writes in PUT_BACK:
                self._spared |= {(fault.node, at_ms) for at_ms in own[bisect_left(own, fault.end_ms) :][:1]}
            # A life that could not be counted as it began is not seen by the one after it.
            for began_ms, next_ms in itertools.pairwise(own):
                if fault.begin_ms <= began_ms <= fault.end_ms:
                    self._spared.add((fault.node, next_ms))

    def excuse(self, node: str, at_ms: float) -> bool:
        """Whether what was confirmed then may be lost, or what was there before a life that began then."""
        within = any(begin_ms <= at_ms <= end_ms for begin_ms, end_ms in self._spans[node])
        return within or (node, at_ms) in self._spared


# --- what the rig itself did to calls --------------------------------------------------------------


class Excuses:
    """Which breaches of the four rules a fault of the rig's explains by itself.

    The program must keep the rules through all faults of its servers' links, its disk and its clocks. What it
    can't do is answer through a link that is cut, while it stands still, or what it was never given; and how
    long a request is on its way to a server is not its doing.
    """

    def __init__(self, played: Played) -> None:
        self._began_s = played.began_ms / 1000.0
        self._downs = played.downs
        self._steps = played.schedule.steps
        self._asked = {row.call: row for row in played.call_ledger.asked}
        self._acted = {event.call for event in played.events if isinstance(event, Acted)}
        self._call_ledger = played.call_ledger
        self._notifications: dict[tuple[str, str], list[ledger.Notification]] = defaultdict(list)
        for notified in played.call_ledger.notifications:
            self._notifications[notified.sidecar, notified.server].append(notified)

    def of(self, breach: ledger.Breach) -> str:
        """Why a breach says nothing; empty where it does."""
        row = self._asked.get(breach.call)
        if row is None:
            flips = any(isinstance(step, Link) and step.way == "flip" for step in self._steps)
            return "flipped bits" if flips else ""
        if self._met(row, "clients", ("flip",)) or self._met(row, "servers", ("flip",)):
            return "flipped bits"
        if breach.rule == ledger.RULES[0]:
            return self._unanswered(row)
        if breach.rule == ledger.RULES[2] and self._active_again(row, breach):
            return "it had been told meanwhile that the server is active"
        timed = breach.rule == ledger.RULES[2] or breach.what.endswith("past the window")
        return "late on its way to a server" if timed and self._met(row, "servers", DELAYS) else ""

    def _active_again(self, row: ledger.Asked, breach: ledger.Breach) -> bool:
        """Whether the server had been active at the node within the grace, by an older list that a restart
        brought back: from the news after that on the grace begins anew.
        """
        grace_s = self._call_ledger.limits.drain_grace_s + ledger.SOCKETS_S
        return any(
            notified.status == "active" and run.first_s - grace_s <= notified.counts_s <= run.first_s
            for run in self._call_ledger.executions
            if run.call == row.call and f" sent to {run.server} " in breach.what
            for notified in self._notifications[row.sidecar, run.server]
        )

    def _unanswered(self, row: ledger.Asked) -> str:
        """Whether the rig kept a call from its answer."""
        if self._met(row, "clients", (*DELAYS, "reset", "half_open")):
            return "a link of its client"
        due_s = row.sent_s + row.budget_s
        for step in self._steps:
            begin_s, end_s = self._span(step)
            if isinstance(step, Stop) and step.node == row.sidecar and begin_s <= due_s <= end_s + AWAKE_S:
                return "its node stood still as it was due"
        # The relay takes a connection that the process behind it does not: what that one never took it
        # can't answer.
        away = any(
            down.node == row.sidecar and down.from_s <= row.ended_s and _begin_s(row) <= down.until_s
            for down in self._downs
        )
        return "its node was away" if away and row.call not in self._acted else ""

    def _met(self, row: ledger.Asked, end: str, ways: Sequence[str]) -> bool:
        """Whether a call met such a fault between its node and an end outside, in either direction."""
        for step in self._steps:
            if not isinstance(step, Link) or step.way not in ways:
                continue
            ends = ((step.src, step.dst), (step.dst, step.src))
            if not any(end in one and row.sidecar in other for one, other in ends):
                continue
            begin_s, end_s = self._span(step)
            # Nobody was told of a connection that is gone at one end: it may be used long after.
            until_s = math.inf if step.way == "half_open" else end_s + HELD_S
            if begin_s <= row.ended_s and _begin_s(row) <= until_s:
                return True
        return False

    def _span(self, step: Step) -> tuple[float, float]:
        begin_s = self._began_s + step.at_ms / 1000.0
        return begin_s, begin_s + step.lasts_ms / 1000.0


def _begin_s(row: ledger.Asked) -> float:
    return row.sent_s if row.first_sent_s is None else row.first_sent_s

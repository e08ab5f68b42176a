"""What a play showed, and all checkers applied to it. Pure: values in and out.

The ledger checks the four rules, from what servers and clients saw. What a fault of the rig did to a call by
itself is no breach of the program: such a call is excused by the fault that it met, and no other call is.
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
from rig.cluster.checkers import Finding, breaches_first, check_rules, check_versions
from rig.cluster.entries import check_entries, contradictions_by_entry, recovery_by_entry_ms
from rig.cluster.history import LIST, Acted, Event, Learned, Started, Stored
from rig.cluster.outages import DiskFaultSpan, Downtime
from rig.cluster.promises import check_drains, check_durable
from rig.cluster.schedules import Link, Reload, Schedule, Step, Stop

if TYPE_CHECKING:
    from rig.cluster.checkers import Span
    from rig.cluster.link_types import Counts

DELAYS = ("cut", "stall", "loss", "late", "narrow")  # faults that delay bytes on TCP
HELD_ARRIVAL_S = 0.1  # from the end of a link's fault until held bytes have arrived
WAKE_UP_S = 0.2  # from SIGCONT until a process has answered what was due
DRAIN_SLACK_MS = 50.0  # past the grace period, for a send that is on its way
REPLACED_DISKS = ("emptied", "older")  # the disk was replaced while the node was down
UNRELIABLE_DISKS = ("lie", "lost_rename", "changed", *REPLACED_DISKS)  # the disk breaks its promises


class Change(NamedTuple):
    """A change of the registry's list: a server's new status, in milliseconds of the events' clock."""

    at_ms: float
    server: str
    status: str


@dataclass(frozen=True, slots=True)
class Used:
    """What a node used in a play, over all of its lives. `rss_mb` is the peak memory of its last life."""

    lives: int = 0
    cpu_s: float = 0.0
    rss_mb: float = 0.0
    syncs: int = 0
    written_bytes: int = 0


@dataclass
class Played:
    """What one play showed. `unsound`: why the rig itself can't be trusted; empty if it can."""

    schedule: Schedule
    nodes: list[str]
    began_ms: float  # on the clock of the events
    events: list[Event]
    call_ledger: ledger.Ledger
    changes: list[Change] = field(default_factory=list)
    downtimes: list[Downtime] = field(default_factory=list)
    disk_faults: list[DiskFaultSpan] = field(default_factory=list)
    answers: dict[str, int] = field(default_factory=dict)
    counts: dict[tuple[str, str], Counts] = field(default_factory=dict)
    used: dict[str, Used] = field(default_factory=dict)
    # Processes that exited by themselves, or did not when told to.
    exit_errors: list[str] = field(default_factory=list)
    unsound: list[str] = field(default_factory=list)
    not_played: list[str] = field(default_factory=list)
    wall_s: float = 0.0
    rig_cpu_s: float = 0.0

    @property
    def healed_ms(self) -> float:
        """The end of the last fault, on the clock of the events."""
        return self.began_ms + self.schedule.healed_ms

    def orders(self) -> dict[str, list[str]]:
        """Return, by rule without a version, the digests in the order of their settings numbers.

        The number of a digest is that of the settings in the node's file when the node learned the digest.
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
        """Return the longest contradiction of each entry and of the settings, longest first."""
        return contradictions_by_entry(self.events, self.orders())

    def recovery_ms(self) -> float:
        """Return the time from the end of the last fault until all nodes acted on the newest rules.

        Infinite if a node never did, not a number if there was no fault.
        """
        if not self.schedule.healed_ms:
            return math.nan
        return recovery_by_entry_ms(self.events, self.healed_ms, self.nodes, self.orders())


def judge(played: Played, bound_ms: float) -> list[Finding]:
    """Return the findings of all checkers, breaches first.

    Args:
        played: What the play showed.
        bound_ms: The longest contradiction that is allowed, in milliseconds.
    """
    excuses = Excuses(played)
    grace_ms = played.call_ledger.limits.drain_grace_s * 1000.0 + DRAIN_SLACK_MS
    return breaches_first(
        [
            *check_entries(played.events, bound_ms, played.orders()),
            *check_versions(played.events, over_restarts=False),
            *check_durable(played.events, Disks(played).excuse),
            *_drains(played, grace_ms),
            *check_rules(played.call_ledger, excuses.excuse),
            *(Finding("broken", "process", text) for text in played.exit_errors),
        ]
    )


def _drains(played: Played, grace_ms: float) -> list[Finding]:
    """Check drains by the nodes' own events.

    The last sends of a killed node are missing from its history, but not from the servers' records, by which
    the ledger judges drains. Only where a link to the servers failed do those records not say when a request
    was sent; elsewhere the unknown findings are dropped.
    """
    found = check_drains(played.events, grace_ms)
    links = [step for step in played.schedule.steps if isinstance(step, Link)]
    if any("servers" in (*step.src, *step.dst) for step in links):
        return found
    return [finding for finding in found if finding.verdict == "broken"]


# --- notifications of nodes, for the ledger ---------------------------------------------------------


def notifications(events: Iterable[Event], changes: Sequence[Change]) -> list[ledger.Notification]:
    """Return a row for each change of a server in the lists that a node learned.

    A node counts as notified when it says that it learned the change. A node that receives no updates is
    judged by how long it contradicts others, not by a rule that it can't know of.
    """
    known_statuses: dict[str, dict[str, str]] = defaultdict(dict)
    last_s: dict[tuple[str, str], float] = {}
    change_times_s: dict[tuple[str, str], list[float]] = defaultdict(list)
    for change in changes:
        change_times_s[change.server, change.status].append(change.at_ms / 1000.0)
    rows = []
    for event in events:
        if not isinstance(event, Learned) or not event.rule.startswith(LIST):
            continue
        at_s = event.at_ms / 1000.0
        for server, status in _changed(known_statuses[event.node], event.entries):
            before = [changed_s for changed_s in change_times_s[server, status] if changed_s <= at_s]
            changed_s = max(before[-1] if before else at_s, at_s - ledger.MAX_NOTIFY_S)
            changed_s = max(changed_s, last_s.get((event.node, server), changed_s))
            rows.append(ledger.Notification(event.node, server, status, changed_s, at_s))
            last_s[event.node, server] = at_s
    return rows


def _changed(known_statuses: dict[str, str], entries: Mapping[str, str]) -> Iterator[tuple[str, str]]:
    """Yield the servers whose status is not the known one, with the new status, and update the known one."""
    for server in sorted({*known_statuses, *entries}):
        status = entries[server].partition("/")[0] if server in entries else "left"
        if known_statuses.get(server) != status:
            known_statuses[server] = status
            yield server, status


def without_addresses(events: Iterable[Event]) -> list[Event]:
    """Return the events with lists that differ only in addresses made equal.

    Each node reaches the servers by addresses of its own. The digests of one server at one node are replaced
    by numbers: the first that the node reported becomes 0, the next one 1, and so on.
    """
    numbers: dict[tuple[str, str], dict[str, int]] = defaultdict(dict)
    digests: dict[tuple[str, str], str] = {}
    rewritten: list[Event] = []
    for event in events:
        if isinstance(event, Learned) and event.rule.startswith(LIST):
            entries = {}
            for server, entry in event.entries.items():
                state, _, digest = entry.partition("/")
                known = numbers[event.node, server]
                entries[server] = f"{state}/{known.setdefault(digest, len(known))}"
            list_digest = blake2b(repr(sorted(entries.items())).encode(), digest_size=8).hexdigest()
            digests[event.node, event.digest] = list_digest
            rewritten.append(replace(event, entries=entries, digest=list_digest))
        elif isinstance(event, Acted | Stored) and event.rule.startswith(LIST):
            rewritten.append(replace(event, digest=digests.get((event.node, event.digest), event.digest)))
        else:
            rewritten.append(event)
    return rewritten


# --- what the rig itself did to disks --------------------------------------------------------------


class Disks:
    """The times in which a node's disk did not keep its promises, by the schedule."""

    def __init__(self, played: Played) -> None:
        self._spans: dict[str, list[tuple[float, float]]] = defaultdict(list)
        # Node and start: what was on disk before that start may be gone.
        self._excused_starts: set[tuple[str, float]] = set()
        starts: dict[str, list[float]] = defaultdict(list)
        stores: dict[str, list[float]] = defaultdict(list)
        for event in played.events:
            if isinstance(event, Started):
                starts[event.node].append(event.at_ms)
            elif isinstance(event, Stored):
                stores[event.node].append(event.at_ms)
        for fault in played.disk_faults:
            node_starts = starts[fault.node]
            if fault.writes in UNRELIABLE_DISKS:
                end_ms = fault.end_ms
                if fault.writes not in REPLACED_DISKS:
                    # A node has one write in flight: the next one confirmed may have begun in the fault.
                    later_stores_ms = stores[fault.node]
                    end_ms = max(later_stores_ms[bisect_left(later_stores_ms, end_ms) :][:1], default=end_ms)
                self._spans[fault.node].append((fault.begin_ms, end_ms))
            if fault.writes in REPLACED_DISKS:
                self._excused_starts |= {
                    (fault.node, at_ms) for at_ms in node_starts[bisect_left(node_starts, fault.end_ms) :][:1]
                }
            # A life whose number could not be stored as it began is unknown to the next life.
            for began_ms, next_ms in itertools.pairwise(node_starts):
                if fault.begin_ms <= began_ms <= fault.end_ms:
                    self._excused_starts.add((fault.node, next_ms))

    def excuse(self, node: str, at_ms: float) -> bool:
        """Return whether a loss is excused.

        That is a loss of what was confirmed at `at_ms`, or of what was on disk before a life that began then.
        """
        is_in_fault = any(begin_ms <= at_ms <= end_ms for begin_ms, end_ms in self._spans[node])
        return is_in_fault or (node, at_ms) in self._excused_starts


# --- what the rig itself did to calls --------------------------------------------------------------


class Excuses:
    """Which breaches of the four rules are explained by a fault of the rig alone.

    The program must keep the rules through all faults of its servers' links, its disk and its clocks. It
    can't answer through a link that is cut, while its process is stopped, or a request that it never
    received; and it does not determine how long a request takes to reach a server.
    """

    def __init__(self, played: Played) -> None:
        self._began_s = played.began_ms / 1000.0
        self._downs = played.downtimes
        self._steps = played.schedule.steps
        self._asked = {row.call: row for row in played.call_ledger.asked}
        self._acted = {event.call for event in played.events if isinstance(event, Acted)}
        self._call_ledger = played.call_ledger
        self._notifications: dict[tuple[str, str], list[ledger.Notification]] = defaultdict(list)
        for notified in played.call_ledger.notifications:
            self._notifications[notified.sidecar, notified.server].append(notified)

    def excuse(self, breach: ledger.Breach) -> str:
        """Return why a breach says nothing about the program; empty if it does."""
        row = self._asked.get(breach.call)
        if row is None:
            flips = any(isinstance(step, Link) and step.way == "flip" for step in self._steps)
            return "flipped bits" if flips else ""
        if self._passed_fault(row, "clients", ("flip",)) or self._passed_fault(row, "servers", ("flip",)):
            return "flipped bits"
        if breach.rule == ledger.RULES[0]:
            return self._unanswered(row)
        if breach.rule == ledger.RULES[2] and self._active_again(row, breach):
            return "its node had learned meanwhile that the server is active"
        timed = breach.rule == ledger.RULES[2] or breach.what.endswith("past the window")
        return (
            "delayed on its way to a server" if timed and self._passed_fault(row, "servers", DELAYS) else ""
        )

    def _active_again(self, row: ledger.Asked, breach: ledger.Breach) -> bool:
        """Return whether the server had become active at the node again within the grace period.

        An older list that a restart brought back can do that: the grace period then begins anew with the next
        notification.
        """
        grace_s = self._call_ledger.limits.drain_grace_s + ledger.SOCKETS_S
        return any(
            notified.status == "active" and run.first_s - grace_s <= notified.counts_s <= run.first_s
            for run in self._call_ledger.executions
            if run.call == row.call and f" sent to {run.server} " in breach.what
            for notified in self._notifications[row.sidecar, run.server]
        )

    def _unanswered(self, row: ledger.Asked) -> str:
        """Return how the rig kept a call from its answer; empty if it did not."""
        if self._passed_fault(row, "clients", (*DELAYS, "reset", "half_open")):
            return "a fault of its client's link"
        due_s = row.sent_s + row.budget_s
        for step in self._steps:
            begin_s, end_s = self._span(step)
            if isinstance(step, Stop) and step.node == row.sidecar and begin_s <= due_s <= end_s + WAKE_UP_S:
                return "its node was stopped when the answer was due"
        # The relay accepts connections while the process behind it is away: it can't answer what it never
        # received.
        away = any(
            down.node == row.sidecar and down.from_s <= row.ended_s and _sent_s(row) <= down.until_s
            for down in self._downs
        )
        return "its node was away" if away and row.call not in self._acted else ""

    def _passed_fault(self, row: ledger.Asked, end: str, ways: Sequence[str]) -> bool:
        """Return whether a call passed a fault of one of `ways` between its node and `end`, either way."""
        for step in self._steps:
            if not isinstance(step, Link) or step.way not in ways:
                continue
            ends = ((step.src, step.dst), (step.dst, step.src))
            if not any(end in one and row.sidecar in other for one, other in ends):
                continue
            begin_s, end_s = self._span(step)
            # Neither side is notified of a half-open connection: it may be used long after the fault.
            until_s = math.inf if step.way == "half_open" else end_s + HELD_ARRIVAL_S
            if begin_s <= row.ended_s and _sent_s(row) <= until_s:
                return True
        return False

    def _span(self, step: Step) -> tuple[float, float]:
        begin_s = self._began_s + step.at_ms / 1000.0
        return begin_s, begin_s + step.lasts_ms / 1000.0


def _sent_s(row: ledger.Asked) -> float:
    return row.sent_s if row.first_sent_s is None else row.first_sent_s

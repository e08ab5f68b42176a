"""Checkers of a history: what several nodes did together, held against what was promised. Pure.

Each checker gives findings of three kinds: a breach, something unknown, or nothing. What a killed node did
last is not in its history: where that could have been a breach the answer is unknown, never that all is well.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Literal

from rig.cluster.history import Acted, Ended, Event, Learned, Started

Verdict = Literal["kept", "unknown", "broken"]
SEARCH_MOST = 200_000  # states of the search for a valid order


@dataclass(frozen=True, slots=True)
class Finding:
    """One thing that a checker found, in one line, with the events that show it."""

    verdict: Verdict
    checker: str
    text: str
    shown: tuple[Event, ...] = ()


@dataclass(frozen=True, slots=True)
class Span:
    """Two nodes that acted on versions of one rule that contradict: `old` did last, after `new` did first."""

    rule: str
    ms: float
    old: Acted
    new: Acted

    def line(self) -> str:
        """As a report shows it."""
        old, new = self.old, self.new
        return (
            f"{self.rule}: {self.ms:.0f} ms: {old.node} {old.what} by version {old.version} at "
            f"{old.at_ms:.0f}, "
            f"{new.node} by {new.version} from {new.at_ms:.0f} on"
        )


def _always(rule: str, one: int, other: int) -> bool:
    return one != other


def contradictions(
    events: Iterable[Event], contradicts: Callable[[str, int, int], bool] = _always
) -> list[Span]:
    """The longest span of each rule in which two nodes acted on versions that contradict, longest first.

    `contradicts(rule, older, newer)` tells whether two versions do. A span lasts from the first act of one
    node on the newer to the last of another on the older. Both must have acted: mere knowledge is no act."""
    first: dict[tuple[str, int], dict[str, Acted]] = defaultdict(dict)  # by rule and version, then by node
    last: dict[tuple[str, int], dict[str, Acted]] = defaultdict(dict)
    versions: dict[str, set[int]] = defaultdict(set)
    for event in events:
        if isinstance(event, Acted):
            key = (event.rule, event.version)
            versions[event.rule].add(event.version)
            first[key].setdefault(event.node, event)
            last[key][event.node] = event
    found = []
    for rule, known in versions.items():
        spans = [
            span
            for newer in known
            for older in known
            if older < newer and contradicts(rule, older, newer)
            for span in _spans(rule, last[rule, older], first[rule, newer])
        ]
        if spans:
            found.append(max(spans, key=lambda span: span.ms))
    return sorted(found, key=lambda span: -span.ms)


def _spans(rule: str, old: Mapping[str, Acted], new: Mapping[str, Acted]) -> Iterable[Span]:
    # The two first acts on the newer: one of them is another node's than any that acts on the older.
    earliest = sorted(new.values(), key=lambda event: event.at_ms)[:2]
    for node, late in old.items():
        for early in earliest:
            if early.node != node and late.at_ms > early.at_ms:
                yield Span(rule, late.at_ms - early.at_ms, late, early)
                break


def check_contradiction(
    events: Sequence[Event], bound_ms: float, contradicts: Callable[[str, int, int], bool] = _always
) -> list[Finding]:
    """Whether no two nodes acted on rules that contradict for longer than the bound.

    A node that was killed, or whose history has a gap, may have acted on its last rule up to its end."""
    found = [
        Finding("broken", "contradiction", span.line(), (span.old, span.new))
        for span in contradictions(events, contradicts)
        if span.ms > bound_ms
    ]
    broken = {finding.shown[0].node for finding in found}
    for life in lives(events):
        if life.whole or life.node in broken:
            continue
        for rule, act in life.last_acts().items():
            early = _first_newer(events, rule, act, contradicts)
            if early is not None and life.until_ms - early.at_ms > bound_ms:
                text = f"{rule}: {life.node} may have acted by {act.version} until {life.until_ms:.0f}"
                found.append(Finding("unknown", "contradiction", text, (act, early)))
    return found


def _first_newer(
    events: Iterable[Event], rule: str, act: Acted, contradicts: Callable[[str, int, int], bool]
) -> Acted | None:
    for event in events:
        if (
            isinstance(event, Acted)
            and event.rule == rule
            and event.node != act.node
            and event.version > act.version
            and contradicts(rule, act.version, event.version)
        ):
            return event
    return None


@dataclass(slots=True)
class Life:
    """One run of a node: its events, and whether they are all that it did."""

    node: str
    started_ms: float
    until_ms: float = math.inf
    whole: bool = False
    events: list[Event] = field(default_factory=list)

    def last_acts(self) -> dict[str, Acted]:
        """Its last act on each rule."""
        return {event.rule: event for event in self.events if isinstance(event, Acted)}


def lives(events: Iterable[Event]) -> list[Life]:
    """Each run of each node, in the order of their starts. One with no end lasts, and is not whole."""
    made: list[Life] = []
    now: dict[str, Life] = {}
    number: dict[str, int] = {}
    whole: dict[str, bool] = {}
    for event in events:
        if isinstance(event, Started) or event.node not in now:
            life = now[event.node] = Life(event.node, event.at_ms)
            made.append(life)
            number[event.node], whole[event.node] = event.number, event.number == 1
        life = now[event.node]
        life.events.append(event)
        if isinstance(event, Ended):
            at_end = event.clean and event.number in (0, number[event.node] + 1)
            life.until_ms, life.whole = event.at_ms, whole[event.node] and at_end
        elif not isinstance(event, Started):
            whole[event.node] = whole[event.node] and event.number == number[event.node] + 1
        number[event.node] = event.number
    return made


def check_versions(events: Iterable[Event]) -> list[Finding]:
    """Whether versions go up only at each node, over its restarts too, and one version has one content."""
    found = []
    highest: dict[tuple[str, str], Acted | Learned] = {}
    content: dict[tuple[str, int], Acted | Learned] = {}
    for event in events:
        if not isinstance(event, Acted | Learned):
            continue
        before = highest.get((event.node, event.rule))
        if before is not None and event.version < before.version:
            text = f"{event.rule}: {event.node} went from version {before.version} back to {event.version}"
            found.append(Finding("broken", "versions", text, (before, event)))
        else:
            highest[event.node, event.rule] = event
        first = content.setdefault((event.rule, event.version), event)
        if first.digest != event.digest:
            text = (
                f"{event.rule}: version {event.version} is {first.digest or '-'} at {first.node} and "
                f"{event.digest or '-'} at {event.node}"
            )
            found.append(Finding("broken", "versions", text, (first, event)))
    return found


# --- what was confirmed, what was refused ------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Operation:
    """One proposal or read as its client saw it. `end_ms` is infinite where no answer came.

    A write of `value` was confirmed (`ok`), refused (not `ok`) or is open; a read gave `value`."""

    client: str
    kind: Literal["write", "read"]
    value: str
    begin_ms: float
    end_ms: float = math.inf
    ok: bool = True


def check_register(
    operations: Sequence[Operation], initial: str = "", most: int = SEARCH_MOST
) -> list[Finding]:
    """Whether some order of the operations explains every answer (linearizable, Herlihy and Wing 1990).

    Searched depth first with states remembered (Wing and Gong 1993, Lowe 2017), for `most` states; past that
    the answer is unknown. An open write may have happened at any time from its begin on, or never."""
    wanted = [op for op in operations if op.kind == "read" or op.ok or op.end_ms == math.inf]
    refused = {op.value for op in operations if op.kind == "write" and not op.ok and op.end_ms < math.inf}
    for op in wanted:
        if op.kind == "read" and op.value in refused:
            text = f"{op.client} read {op.value!r}, which was refused"
            return [Finding("broken", "register", text)]
    must = frozenset(place for place, op in enumerate(wanted) if op.end_ms < math.inf)
    stack: list[tuple[frozenset[int], str]] = [(frozenset(), initial)]
    seen = set(stack)
    while stack:
        if len(seen) > most:
            return [Finding("unknown", "register", f"no order found within {most} states")]
        done, value = stack.pop()
        if must <= done:
            return []
        # Only what began before every operation still to come has ended may be next.
        bound = min((wanted[place].end_ms for place in must - done), default=math.inf)
        for place, op in enumerate(wanted):
            if place in done or op.begin_ms > bound:
                continue
            if op.kind == "read":
                if op.value != value or op.end_ms == math.inf:
                    continue
                after = (done | {place}, value)
            else:
                after = (done | {place}, op.value)
            if after not in seen:
                seen.add(after)
                stack.append(after)
    text = f"no order of {len(wanted)} operations explains what was answered"
    return [Finding("broken", "register", text)]


# --- recovery ----------------------------------------------------------------------------------


def recovery_ms(events: Iterable[Event], healed_ms: float, nodes: Iterable[str]) -> float:
    """How long after the last healed fault all nodes act on the newest version of each rule for good.

    Infinite where some node that acts after it does so on an older one at its end, or does not act at all."""
    newest: dict[str, int] = {}
    acts = [event for event in events if isinstance(event, Acted)]
    for event in acts:
        newest[event.rule] = max(newest.get(event.rule, event.version), event.version)
    stale_until = healed_ms
    fresh_from: dict[str, float] = {}
    for event in acts:
        if event.at_ms < healed_ms:
            continue
        if event.version < newest[event.rule]:
            stale_until = max(stale_until, event.at_ms)
            fresh_from.pop(event.node, None)
        else:
            fresh_from.setdefault(event.node, event.at_ms)
    if any(node not in fresh_from for node in nodes):
        return math.inf
    return max([stale_until, *fresh_from.values()]) - healed_ms


def verdict(findings: Iterable[Finding]) -> Verdict:
    """The worst of all."""
    seen = {finding.verdict for finding in findings}
    return "broken" if "broken" in seen else "unknown" if "unknown" in seen else "kept"

"""Checkers of a history: what several nodes did together, held against what was promised. Pure.

Each checker gives findings of three kinds: a breach, something unknown, or nothing. What a killed node did
last is not in its history: where that could have been a breach the answer is unknown, never that all is well.
The order of events of different nodes at one time changes no answer.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Literal, TypeVar

from rig.cluster.history import Acted, Event, Learned, Started, Stored
from rig.cluster.lives import Missing, lives
from rig.ledger import Breach, Ledger

Key = TypeVar("Key")
Verdict = Literal["kept", "unknown", "broken"]
SEARCH_MOST = 200_000  # states of the search for a valid order
FINDINGS_MOST = 200  # of one checker
UNSEEN = "unseen"  # what an act is called that may have been, where a history has a gap


@dataclass(frozen=True, slots=True)
class Finding:
    """One thing that a checker found, in one line, with the events that show it."""

    verdict: Verdict
    checker: str
    text: str
    shown: tuple[Event, ...] = ()


def verdict(findings: Iterable[Finding]) -> Verdict:
    """The worst of all."""
    seen = {finding.verdict for finding in findings}
    return "broken" if "broken" in seen else "unknown" if "unknown" in seen else "kept"


def worst(findings: Iterable[Finding]) -> list[Finding]:
    """Breaches first, `FINDINGS_MOST` at most."""
    return sorted(findings, key=lambda finding: finding.verdict != "broken")[:FINDINGS_MOST]


# --- contradiction -----------------------------------------------------------------------------


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


def widen(ends: dict[Key, list[Acted]], key: Key, act: Acted) -> None:
    """Keep the first and the last act of each key."""
    pair = ends.get(key)
    if pair is None:
        ends[key] = [act, act]
    elif act.at_ms < pair[0].at_ms:
        pair[0] = act
    elif act.at_ms > pair[1].at_ms:
        pair[1] = act


def contradictions(
    events: Iterable[Event], contradicts: Callable[[str, int, int], bool] = _always
) -> list[Span]:
    """The longest span of each rule in which two nodes acted on versions that contradict, longest first.

    `contradicts(rule, older, newer)` tells whether two versions do. A span lasts from the first act of one
    node on the newer to the last of another on the older. Both must have acted: mere knowledge is no act.
    Versions are ordered by their numbers, whenever they were acted on.
    """
    ends: dict[tuple[str, int, str], list[Acted]] = {}  # first and last act, by rule, version and node
    for event in events:
        if isinstance(event, Acted):
            widen(ends, (event.rule, event.version, event.node), event)
    rules: dict[str, dict[int, list[list[Acted]]]] = defaultdict(lambda: defaultdict(list))
    for (rule, version, _), pair in ends.items():
        rules[rule][version].append(pair)
    spans = [_longest(rule, versions, contradicts) for rule, versions in rules.items()]
    return sorted((span for span in spans if span is not None), key=lambda span: -span.ms)


def _longest(
    rule: str, versions: Mapping[int, list[list[Acted]]], contradicts: Callable[[str, int, int], bool]
) -> Span | None:
    # Of two nodes each, one differs from any other node: no more are needed.
    early = {v: sorted((p[0] for p in pairs), key=lambda e: e.at_ms)[:2] for v, pairs in versions.items()}
    late = {v: sorted((p[1] for p in pairs), key=lambda e: -e.at_ms)[:2] for v, pairs in versions.items()}
    best: Span | None = None
    most_ms = 0.0
    for older, olds in late.items():
        for newer, news in early.items():
            if newer <= older or olds[0].at_ms - news[0].at_ms <= most_ms:
                continue
            if not contradicts(rule, older, newer):
                continue
            for old in olds:
                for new in news:
                    if old.node != new.node and old.at_ms - new.at_ms > most_ms:
                        most_ms = old.at_ms - new.at_ms
                        best = Span(rule, most_ms, old, new)
    return best


def check_contradiction(
    events: Sequence[Event], bound_ms: float, contradicts: Callable[[str, int, int], bool] = _always
) -> list[Finding]:
    """Whether no two nodes acted on rules that contradict for longer than the bound.

    Where a history has a gap, its node may have acted on the rules that it went by until the gap's end.
    """
    gaps = [gap for life in lives(events) for gap in life.missing]
    unseen = [
        Acted(by.node, by.number, at_ms, by.rule, by.version, by.digest, UNSEEN)
        for gap in gaps
        for at_ms, by in gap.acts()
    ]
    return judged(
        [act for act in events if isinstance(act, Acted)], unseen, bound_ms, contradicts
    ) + headless(gaps)


def headless(gaps: Iterable[Missing]) -> list[Finding]:
    """Lives whose beginning is missing may have gone by any rule."""
    texts = {
        f"how a life of {gap.node} that was at work at {gap.until_ms:.0f} began"
        for gap in gaps
        if gap.since_ms == -math.inf
    }
    return [Finding("unknown", "contradiction", f"missing: {text}") for text in sorted(texts)][:FINDINGS_MOST]


def judged(
    acts: list[Acted], unseen: list[Acted], bound_ms: float, contradicts: Callable[[str, int, int], bool]
) -> list[Finding]:
    """Breaches of the bound by acts, and of further rules what acts that were not seen may have broken."""
    found = [
        Finding("broken", "contradiction", span.line(), (span.old, span.new))
        for span in contradictions(acts, contradicts)
        if span.ms > bound_ms
    ]
    broken = {finding.shown[0].rule for finding in found if isinstance(finding.shown[0], Acted)}
    rules = {act.rule for act in unseen} - broken
    some = [act for act in acts if act.rule in rules] if unseen else []
    for span in contradictions([*some, *unseen], contradicts):
        # The longest of a rule that is not broken is over the bound only by what was not seen.
        if span.rule in rules and span.ms > bound_ms:
            found.append(
                Finding("unknown", "contradiction", f"it may be that {span.line()}", (span.old, span.new))
            )
    return worst(found)


# --- versions ----------------------------------------------------------------------------------


def check_versions(events: Iterable[Event], over_restarts: bool = True) -> list[Finding]:
    """Whether versions go up only at each node, and one version has one content everywhere.

    `over_restarts`: at a restart, too; else each life counts for itself, and what must outlive it is for
    `check_durable`. Rules that have no version (0) have no order and any content.
    """
    found: dict[str, Finding] = {}
    highest: dict[tuple[str, str], Acted | Learned] = {}
    content: dict[tuple[str, int], Acted | Learned | Stored] = {}
    for event in events:
        if isinstance(event, Started) and not over_restarts:
            highest = {key: before for key, before in highest.items() if key[0] != event.node}
        if not isinstance(event, Acted | Learned | Stored) or not event.version:
            continue
        first = content.setdefault((event.rule, event.version), event)
        if first.digest != event.digest:
            text = (
                f"{event.rule}: version {event.version} is {first.digest or '-'} at {first.node} and "
                f"{event.digest or '-'} at {event.node}"
            )
            found.setdefault(text, Finding("broken", "versions", text, (first, event)))
        if isinstance(event, Stored):
            continue  # a disk lags behind
        before = highest.get((event.node, event.rule))
        if before is not None and event.version < before.version:
            text = f"{event.rule}: {event.node} went from version {before.version} back to {event.version}"
            found.setdefault(text, Finding("broken", "versions", text, (before, event)))
        else:
            highest[event.node, event.rule] = event
    return worst(found.values())


# --- the four rules ----------------------------------------------------------------------------


def _never(breach: Breach) -> str:
    return ""


def check_rules(ledger: Ledger, excuse: Callable[[Breach], str] = _never) -> list[Finding]:
    """Whether the four rules were kept, by what servers and clients saw; its crashes are excused there.

    `excuse` tells why a breach says nothing of the program; empty where it does.
    """
    return worst(
        Finding("broken", "rules", ": ".join([breach.rule, breach.what, *breach.story[:1]]))
        for breaches in ledger.check().values()
        for breach in breaches
        if not excuse(breach)
    )


# --- what was confirmed, what was refused ------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Operation:
    """One proposal or read as its client saw it. `end_ms` is infinite where no answer came.

    A write of `value` was confirmed (`ok`), refused (not `ok`) or is open; a read gave `value`.
    """

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
    the answer is unknown. An open write may have happened at any time from its begin on, or never.
    """
    # A read that got no answer says nothing.
    wanted = [op for op in operations if op.kind == "write" or op.end_ms < math.inf]
    wanted = [op for op in wanted if op.kind == "read" or op.ok or op.end_ms == math.inf]
    refused = {op.value for op in operations if op.kind == "write" and not op.ok and op.end_ms < math.inf}
    for op in wanted:
        if op.kind == "read" and op.value in refused:
            text = f"{op.client} read {op.value!r}, which was refused"
            return [Finding("broken", "register", text)]
    must = frozenset(index for index, op in enumerate(wanted) if op.end_ms < math.inf)
    stack: list[tuple[frozenset[int], str]] = [(frozenset(), initial)]
    seen = set(stack)
    while stack:
        if len(seen) > most:
            return [Finding("unknown", "register", f"no order found within {most} states")]
        done, value = stack.pop()
        if must <= done:
            return []
        # Only what began before every operation still to come has ended may be next.
        bound = min((wanted[index].end_ms for index in must - done), default=math.inf)
        for index, op in enumerate(wanted):
            if index in done or op.begin_ms > bound:
                continue
            if op.kind == "read":
                if op.value != value or op.end_ms == math.inf:
                    continue
                after = (done | {index}, value)
            else:
                after = (done | {index}, op.value)
            if after not in seen:
                seen.add(after)
                stack.append(after)
    text = f"no order of {len(wanted)} operations explains what was answered"
    return [Finding("broken", "register", text)]


# --- recovery ----------------------------------------------------------------------------------


def recovery_ms(events: Iterable[Event], healed_ms: float, nodes: Iterable[str]) -> float:
    """How long after the last healed fault all nodes act on the newest version of each rule for good.

    Infinite where some node that acts after it does so on an older one at its end, or does not act at all.
    """
    newest: dict[str, int] = {}
    acts = [event for event in events if isinstance(event, Acted)]
    for event in acts:
        newest[event.rule] = max(newest.get(event.rule, event.version), event.version)
    marks = ((event, event.version == newest[event.rule]) for event in acts)
    return recovered_ms(marks, healed_ms, nodes)


def recovered_ms(marks: Iterable[tuple[Acted, bool | None]], healed_ms: float, nodes: Iterable[str]) -> float:
    """The same, for acts in the order of their times, each with whether it rests on the newest.

    None: it rests on an older one, by nothing that has changed since: it says neither.
    """
    stale_until = healed_ms
    fresh_from: dict[str, float] = {}
    for event, fresh in marks:
        if event.at_ms < healed_ms or fresh is None:
            continue
        if fresh:
            fresh_from.setdefault(event.node, event.at_ms)
        else:
            stale_until = max(stale_until, event.at_ms)
            fresh_from.pop(event.node, None)
    if any(node not in fresh_from for node in nodes):
        return math.inf
    return max([stale_until, *fresh_from.values()]) - healed_ms

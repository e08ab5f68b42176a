"""Checkers that hold the history of several nodes against what the program promises. Pure.

Each checker returns findings that are either a breach or unknown; no finding means that the promise was kept.
What a killed node did last is missing from its history: where that could have been a breach, the finding is
unknown and never a pass. The order of events of different nodes at the same time changes no answer.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Literal, TypeVar

from rig.cluster.history import Acted, Event, Learned, Started, Stored
from rig.cluster.lives import Gap, lives
from rig.ledger import Breach, Ledger

Key = TypeVar("Key")
Verdict = Literal["kept", "unknown", "broken"]
MAX_SEARCH_STATES = 200_000  # of the search for a valid order in `check_register`
MAX_FINDINGS = 200  # per checker
UNSEEN = "unseen"  # kind of an act that may have happened within a gap of a history


@dataclass(frozen=True, slots=True)
class Finding:
    """One result of a checker: a line of text and the events that show it."""

    verdict: Verdict
    checker: str
    text: str
    shown: tuple[Event, ...] = ()


def verdict(findings: Iterable[Finding]) -> Verdict:
    """Return the worst verdict among the findings, "kept" if there are none."""
    seen = {finding.verdict for finding in findings}
    return "broken" if "broken" in seen else "unknown" if "unknown" in seen else "kept"


def breaches_first(findings: Iterable[Finding]) -> list[Finding]:
    """Return at most `MAX_FINDINGS` findings, breaches before unknowns."""
    return sorted(findings, key=lambda finding: finding.verdict != "broken")[:MAX_FINDINGS]


# --- contradiction -----------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Span:
    """How long two nodes acted on contradicting versions of one rule.

    Attributes:
        rule: The rule that both acted on.
        ms: Time from `new` to `old`, in milliseconds.
        old: The last act of one node on the older version.
        new: The first act of another node on the newer version.
    """

    rule: str
    ms: float
    old: Acted
    new: Acted

    def line(self) -> str:
        """Format the span as one line of a report."""
        old, new = self.old, self.new
        return (
            f"{self.rule}: {self.ms:.0f} ms: {old.node} {old.what} by version {old.version} at "
            f"{old.at_ms:.0f}, "
            f"{new.node} by {new.version} from {new.at_ms:.0f} on"
        )


def _versions_differ(rule: str, one: int, other: int) -> bool:
    return one != other


def record_first_and_last(ends: dict[Key, list[Acted]], key: Key, act: Acted) -> None:
    """Update the first and the last act, by time, of a key."""
    pair = ends.get(key)
    if pair is None:
        ends[key] = [act, act]
    elif act.at_ms < pair[0].at_ms:
        pair[0] = act
    elif act.at_ms > pair[1].at_ms:
        pair[1] = act


def contradictions(
    events: Iterable[Event], contradicts: Callable[[str, int, int], bool] = _versions_differ
) -> list[Span]:
    """Return the longest span of each rule in which two nodes acted on contradicting versions, longest first.

    A span lasts from the first act of one node on the newer version to the last act of another node on the
    older one. Both nodes must have acted: to know a version is no act. Versions are ordered by their numbers,
    whatever the order in which nodes acted on them.

    Args:
        events: The history of all nodes.
        contradicts: `contradicts(rule, older, newer)` tells whether two versions contradict each other.
    """
    ends: dict[tuple[str, int, str], list[Acted]] = {}  # first and last act, by rule, version and node
    for event in events:
        if isinstance(event, Acted):
            record_first_and_last(ends, (event.rule, event.version, event.node), event)
    rules: dict[str, dict[int, list[list[Acted]]]] = defaultdict(lambda: defaultdict(list))
    for (rule, version, _), pair in ends.items():
        rules[rule][version].append(pair)
    spans = [_longest_span(rule, versions, contradicts) for rule, versions in rules.items()]
    return sorted((span for span in spans if span is not None), key=lambda span: -span.ms)


def _longest_span(
    rule: str, versions: Mapping[int, list[list[Acted]]], contradicts: Callable[[str, int, int], bool]
) -> Span | None:
    # Two nodes per version are enough: whatever the node on the other side, one of the two differs from it.
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
    events: Sequence[Event], bound_ms: float, contradicts: Callable[[str, int, int], bool] = _versions_differ
) -> list[Finding]:
    """Check that no two nodes acted on contradicting rules for longer than `bound_ms`.

    A node whose history has a gap may have acted, until the end of the gap, on the rules that were in force
    for it when the gap began.
    """
    gaps = [gap for life in lives(events) for gap in life.gaps]
    unseen = [
        Acted(by.node, by.number, at_ms, by.rule, by.version, by.digest, UNSEEN)
        for gap in gaps
        for at_ms, by in gap.acts()
    ]
    return judge_acts(
        [act for act in events if isinstance(act, Acted)], unseen, bound_ms, contradicts
    ) + missing_starts(gaps)


def missing_starts(gaps: Iterable[Gap]) -> list[Finding]:
    """Report lives whose beginning is missing: such a node may have acted on any rule."""
    texts = {
        f"how a life of {gap.node} that was at work at {gap.until_ms:.0f} began"
        for gap in gaps
        if gap.since_ms == -math.inf
    }
    return [Finding("unknown", "contradiction", f"missing: {text}") for text in sorted(texts)][:MAX_FINDINGS]


def judge_acts(
    acts: list[Acted], unseen: list[Acted], bound_ms: float, contradicts: Callable[[str, int, int], bool]
) -> list[Finding]:
    """Return breaches of the bound by recorded acts, and possible breaches by acts that a gap may hide.

    A rule that recorded acts already break is not reported a second time for hidden acts.

    Args:
        acts: Recorded acts.
        unseen: Acts that may have happened within gaps.
        bound_ms: The longest contradiction that is allowed.
        contradicts: As for `contradictions`.
    """
    found = [
        Finding("broken", "contradiction", span.line(), (span.old, span.new))
        for span in contradictions(acts, contradicts)
        if span.ms > bound_ms
    ]
    broken = {finding.shown[0].rule for finding in found if isinstance(finding.shown[0], Acted)}
    rules = {act.rule for act in unseen} - broken
    some = [act for act in acts if act.rule in rules] if unseen else []
    for span in contradictions([*some, *unseen], contradicts):
        # Recorded acts keep these rules within the bound, so a longer span comes from hidden acts.
        if span.rule in rules and span.ms > bound_ms:
            found.append(
                Finding("unknown", "contradiction", f"it may be that {span.line()}", (span.old, span.new))
            )
    return breaches_first(found)


# --- versions ----------------------------------------------------------------------------------


def check_versions(events: Iterable[Event], over_restarts: bool = True) -> list[Finding]:
    """Check that versions only increase at each node, and that a version has the same content everywhere.

    Rules without a version (0) have no order and may have any content.

    Args:
        events: The history of all nodes.
        over_restarts: Whether versions must also increase across a restart. If False, each life is checked
            by itself, and `check_durable` checks what must survive a restart.
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
            continue  # storing lags behind learning, so it says nothing about the order
        before = highest.get((event.node, event.rule))
        if before is not None and event.version < before.version:
            text = f"{event.rule}: {event.node} went from version {before.version} back to {event.version}"
            found.setdefault(text, Finding("broken", "versions", text, (before, event)))
        else:
            highest[event.node, event.rule] = event
    return breaches_first(found.values())


# --- the four rules ----------------------------------------------------------------------------


def _no_excuse(breach: Breach) -> str:
    return ""


def check_rules(ledger: Ledger, excuse: Callable[[Breach], str] = _no_excuse) -> list[Finding]:
    """Check the four rules by the ledger of what servers and clients saw.

    Args:
        ledger: The ledger; it excuses what crashes explain by itself.
        excuse: Returns why a breach says nothing about the program; empty where it does.
    """
    return breaches_first(
        Finding("broken", "rules", ": ".join([breach.rule, breach.what, *breach.story[:1]]))
        for breaches in ledger.check().values()
        for breach in breaches
        if not excuse(breach)
    )


# --- linearizability ---------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Operation:
    """One proposal or read as its client saw it.

    A write of `value` was confirmed (`ok`), refused (not `ok`) or is still open; a read returned `value`.
    `end_ms` is infinite if no answer came.
    """

    client: str
    kind: Literal["write", "read"]
    value: str
    begin_ms: float
    end_ms: float = math.inf
    ok: bool = True


def check_register(
    operations: Sequence[Operation], initial: str = "", most: int = MAX_SEARCH_STATES
) -> list[Finding]:
    """Check that some order of the operations explains every answer (linearizable, Herlihy and Wing 1990).

    The search is depth-first and remembers visited states (Wing and Gong 1993, Lowe 2017). An open write may
    have taken effect at any time after it began, or never.

    Args:
        operations: What clients saw.
        initial: The value before the first write.
        most: The number of states after which the search stops and the answer is unknown.
    """
    # A read without an answer constrains nothing.
    wanted = [op for op in operations if op.kind == "write" or op.end_ms < math.inf]
    wanted = [op for op in wanted if op.kind == "read" or op.ok or op.end_ms == math.inf]
    refused = {op.value for op in operations if op.kind == "write" and not op.ok and op.end_ms < math.inf}
    for op in wanted:
        if op.kind == "read" and op.value in refused:
            text = f"{op.client} read {op.value!r}, which was refused"
            return [Finding("broken", "register", text)]
    completed = frozenset(index for index, op in enumerate(wanted) if op.end_ms < math.inf)
    stack: list[tuple[frozenset[int], str]] = [(frozenset(), initial)]
    seen = set(stack)
    while stack:
        if len(seen) > most:
            return [Finding("unknown", "register", f"no order found within {most} states")]
        done, value = stack.pop()
        if completed <= done:
            return []
        # An operation can be next only if it began before the first end among the remaining ones.
        bound = min((wanted[index].end_ms for index in completed - done), default=math.inf)
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
    """Return the time from the end of the last fault until all nodes act on the newest version of each rule.

    Infinite if a node that acts after the fault ends on an older version, or does not act at all.
    """
    newest: dict[str, int] = {}
    acts = [event for event in events if isinstance(event, Acted)]
    for event in acts:
        newest[event.rule] = max(newest.get(event.rule, event.version), event.version)
    marks = ((event, event.version == newest[event.rule]) for event in acts)
    return recovered_ms(marks, healed_ms, nodes)


def recovered_ms(marks: Iterable[tuple[Acted, bool | None]], healed_ms: float, nodes: Iterable[str]) -> float:
    """Return the recovery time, in milliseconds, from acts that are already compared with the newest rules.

    Args:
        marks: Acts in the order of their times, each with True if it was based on the newest rules, False if
            it was based on outdated ones, and None if it tells neither: it was based on an older version, of
            which nothing that the act used has changed since.
        healed_ms: When the last fault ended.
        nodes: The nodes that must recover.
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

"""Checks of what each node promises by itself, by its own events: durability and drains. Pure."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Sequence

from rig.cluster.checkers import Finding, Verdict, breaches_first
from rig.cluster.history import ACTIVE, LIST, Acted, Event, Learned, Started, Stored, Unstored
from rig.cluster.lives import Life, lives

STORED_WITHIN_MS = 5000.0

Excused = Callable[[str, float], bool]


def check_durable(
    events: Iterable[Event], excused: Excused, within_ms: float = STORED_WITHIN_MS
) -> list[Finding]:
    """Check that no life falls behind what its node reported as stored, and that it stores what it learns.

    Args:
        events: The history of all nodes.
        excused: `excused(node, at_ms)` tells whether a fault of the schedule may have lost what was confirmed
            at that time, or what was on disk before a life that began at that time. Such a loss is unknown
            and not broken.
        within_ms: How long a life may go without storing a rule that it has learned.
    """
    found: list[Finding] = []
    floors: dict[str, dict[str, Stored]] = defaultdict(dict)
    began: dict[str, Started] = {}
    for life in lives(events):
        floor = floors[life.node]
        spared = excused(life.node, life.started_ms)
        found += _check_life_numbers(life, began, spared)
        found += _check_confirmed(life, floor, excused, spared)
        found += _check_stored(life, floor, excused, within_ms)
        if spared:
            floor.clear()
        for event in life.events:
            if isinstance(event, Stored) and event.version >= _version(floor, event.rule):
                floor[event.rule] = event
    return breaches_first(found)


def _version(floor: dict[str, Stored], rule: str) -> int:
    return floor[rule].version if rule in floor else 0


def _check_life_numbers(life: Life, began: dict[str, Started], spared: bool) -> Iterator[Finding]:
    """Check that the life number on a node's disk increases with each life."""
    first = life.events[0]
    if not isinstance(first, Started) or not first.life:
        return
    before = began.get(life.node)
    if before is not None and first.life <= before.life and not spared:
        text = f"{life.node}: life {first.life} after life {before.life}: started from an older disk"
        yield Finding("broken", "durable", text, (before, first))
    began[life.node] = first


def _check_confirmed(
    life: Life, floor: dict[str, Stored], excused: Excused, spared: bool
) -> Iterator[Finding]:
    """Report rules that were confirmed as stored before this life and that this life is behind."""
    reported: set[str] = set()
    for event in life.events:
        confirmed = floor.get(event.rule) if isinstance(event, Acted | Learned) else None
        if not isinstance(event, Acted | Learned) or confirmed is None or event.rule in reported:
            continue
        if event.version < confirmed.version:
            reported.add(event.rule)
            text = (
                f"{event.rule}: {life.node} went by version {event.version} after it had confirmed"
                f" {confirmed.version}: confirmed version lost"
            )
            lied = spared or excused(life.node, confirmed.at_ms)
            said: Verdict = "unknown" if lied else "broken"
            yield Finding(said, "durable", text, (confirmed, event))
    for rule, confirmed in floor.items():
        # The gap may hide the first event about the rule.
        if rule not in reported and any(rule not in gap.in_force for gap in life.gaps):
            text = f"{rule}: the version that {life.node} started with at {life.started_ms:.0f} is missing"
            yield Finding("unknown", "durable", text, (confirmed,))


def _check_stored(
    life: Life, floor: dict[str, Stored], excused: Excused, within_ms: float
) -> Iterator[Finding]:
    """Report rules that were in force for longer than `within_ms` and of which the life stored no version."""
    first = life.events[0]
    if not isinstance(first, Started) or not first.life:
        return  # no disk
    if any(isinstance(event, Unstored) for event in life.events):
        return
    stored = {event.rule for event in life.events if isinstance(event, Stored)}
    learned: dict[str, Learned] = {}
    for event in life.events:
        if (
            isinstance(event, Learned)
            and event.form != "remembered"
            and event.rule not in stored
            and event.version > _version(floor, event.rule)
        ):
            learned.setdefault(event.rule, event)
    seen_until = life.gaps[0].since_ms if life.gaps else life.until_ms
    for rule, event in learned.items():
        if life.until_ms - event.at_ms <= within_ms:
            continue
        sure = seen_until - event.at_ms > within_ms and not excused(life.node, event.at_ms)
        text = (
            f"{rule}: {life.node} learned version {event.version} at {event.at_ms:.0f} and never stored any"
        )
        yield Finding("broken" if sure else "unknown", "durable", text, (event,))


# --- drains ------------------------------------------------------------------------------------


class _Drains:
    """The servers that a node knew to be not active, and since when, in one life."""

    def __init__(self) -> None:
        self._active: dict[str, set[str]] = {}  # by list: the active servers of the version learned last
        self._since: dict[tuple[str, str], float] = {}
        self._first_ms: dict[str, float] = {}
        self.spans: list[tuple[str, str, float, float]] = []  # completed drains

    def learn(self, event: Learned) -> None:
        """Record a list that came into force."""
        before = self._active.get(event.rule, set())
        now = {server for server, entry in event.entries.items() if entry.startswith(ACTIVE)}
        self._first_ms.setdefault(event.rule, event.at_ms)
        for server in before - now:
            self._since[event.rule, server] = event.at_ms
        for server in now - before:
            since_ms = self._since.pop((event.rule, server), None)
            if since_ms is not None:
                self.spans.append((event.rule, server, since_ms, event.at_ms))
        self._active[event.rule] = now

    def since_ms(self, act: Acted) -> float | None:
        """Return since when the node knew that the act's server is not active; None if active or unknown."""
        if act.rule not in self._active or act.server in self._active[act.rule]:
            return None
        return self._since.get((act.rule, act.server), self._first_ms[act.rule])

    def all(self) -> Iterator[tuple[str, str, float, float]]:
        """Yield the list, server, begin and end of each time in which a server drained after being active."""
        yield from self.spans
        for (rule, server), since_ms in self._since.items():
            yield rule, server, since_ms, math.inf


def check_drains(events: Sequence[Event], grace_ms: float) -> list[Finding]:
    """Check that no node sent to a server later than `grace_ms` after it had learned that it is not active.

    The answer is unknown where a gap overlaps such a time.
    """
    found = []
    for life in lives(events):
        drains = _Drains()
        reported: set[tuple[str, str]] = set()
        for event in life.events:
            if isinstance(event, Learned) and event.rule.startswith(LIST):
                drains.learn(event)
            elif isinstance(event, Acted) and event.server and (event.rule, event.server) not in reported:
                since_ms = drains.since_ms(event)
                if since_ms is not None and event.at_ms - since_ms > grace_ms:
                    reported.add((event.rule, event.server))
                    text = (
                        f"{event.rule}: {life.node} sent to {event.server} {event.at_ms - since_ms:.0f} ms"
                        " after it learned that it is not active"
                    )
                    found.append(Finding("broken", "drains", text, (event,)))
        found += _unseen_sends(life, drains, grace_ms)
    return breaches_first(found)


def _unseen_sends(life: Life, drains: _Drains, grace_ms: float) -> Iterator[Finding]:
    for gap in life.gaps:
        for rule, server, since_ms, until_ms in drains.all():
            if gap.until_ms > since_ms + grace_ms and gap.since_ms < until_ms:
                text = (
                    f"{rule}: sends of {life.node} after {gap.since_ms:.0f}, as {server} drained, are missing"
                )
                yield Finding("unknown", "drains", text)
                break

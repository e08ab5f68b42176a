"""The lives of nodes in a history, and what is missing from each. Pure.

What is missing lies between two events of one life whose numbers do not follow each other, or between its
last event and its end where it was killed. What a node did then is not known, only which rules it went by.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from rig.cluster.history import Acted, Ended, Event, Learned, Started

Standing = dict[str, Acted | Learned]  # by rule: what a node said last of it


@dataclass(frozen=True, slots=True)
class Missing:
    """A node's history says nothing from `since_ms` to `until_ms`.

    `standing`: what it went by as that began; `learned`: what it goes by after it, and was not seen to learn.
    `since_ms` is minus infinity where the beginning of a life is missing.
    """

    node: str
    since_ms: float
    until_ms: float
    standing: Standing
    learned: Standing = field(default_factory=dict)

    def acts(self) -> Iterator[tuple[float, Acted | Learned]]:
        """When it may have gone by what, first and last."""
        for by in self.standing.values():
            yield self.since_ms, by
            yield self.until_ms, by
        for by in self.learned.values():
            yield self.since_ms, by


@dataclass(slots=True)
class Life:
    """One run of a node: its events, and what is missing of them. `until_ms` is infinite while it lasts."""

    node: str
    started_ms: float
    until_ms: float = math.inf
    events: list[Event] = field(default_factory=list)
    missing: list[Missing] = field(default_factory=list)
    _number: int = 0
    _last_ms: float = -math.inf
    _standing: Standing = field(default_factory=dict)

    @property
    def whole(self) -> bool:
        """Whether its events are all that it did."""
        return not self.missing

    def take(self, event: Event) -> None:
        """Its next event."""
        if isinstance(event, Ended):
            self.until_ms = event.at_ms
            if not event.clean or event.number not in (0, self._number + 1):
                self._miss(event.at_ms)
        elif event.number != self._number + 1:
            self._miss(event.at_ms)
        self._number, self._last_ms = event.number, event.at_ms
        if isinstance(event, Acted) and self.missing:
            self._explain(event)
        if isinstance(event, (Acted, Learned)):
            self._standing[event.rule] = event
        self.events.append(event)

    def break_off(self, at_ms: float) -> None:
        """Nothing more of it is told, and it lasted until then at most."""
        self.until_ms = at_ms
        self._miss(at_ms)

    def _explain(self, act: Acted) -> None:
        """What it was not seen to learn it learned in a gap."""
        before = self._standing.get(act.rule)
        if before is not None and (before.version, before.digest) == (act.version, act.digest):
            return
        since_ms = -math.inf if before is None else before.at_ms
        gap = next((gap for gap in self.missing if gap.until_ms >= since_ms), self.missing[-1])
        gap.learned.setdefault(act.rule, act)

    def _miss(self, until_ms: float) -> None:
        self.missing.append(Missing(self.node, self._last_ms, until_ms, dict(self._standing)))


def lives(events: Iterable[Event]) -> list[Life]:
    """Each run of each node, in the order of their starts. One with no end lasts, and is not whole."""
    made: list[Life] = []
    now: dict[str, Life] = {}
    for event in events:
        life = now.get(event.node)
        if life is None or isinstance(event, Started):
            if life is not None:
                life.break_off(event.at_ms)
            if isinstance(event, Ended):
                continue  # of a life that told nothing
            life = now[event.node] = Life(event.node, event.at_ms)
            made.append(life)
        life.take(event)
        if isinstance(event, Ended):
            del now[event.node]
    for life in now.values():
        life.break_off(math.inf)
    return made

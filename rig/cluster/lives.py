"""The lives of nodes in a history, and the gaps in each. Pure.

A gap lies between two events of one life whose numbers are not consecutive, or between the last event and the
end of a life that was killed. What a node did in a gap is unknown; which rules were in force for it is known.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from rig.cluster.history import Acted, Ended, Event, Learned, Started

RulesInForce = dict[str, Acted | Learned]  # by rule: the node's last event about it


@dataclass(frozen=True, slots=True)
class Gap:
    """A gap: a node's history has no events from `since_ms` to `until_ms`.

    Attributes:
        node: The node.
        since_ms: The time of the event before the gap; minus infinity if the beginning of a life is missing.
        until_ms: The time of the event after the gap.
        in_force: The rules in force as the gap began.
        learned: Rules that the node acts on after the gap and was not seen to learn.
    """

    node: str
    since_ms: float
    until_ms: float
    in_force: RulesInForce
    learned: RulesInForce = field(default_factory=dict)

    def acts(self) -> Iterator[tuple[float, Acted | Learned]]:
        """Yield the first and the last time at which the node may have acted on each rule."""
        for by in self.in_force.values():
            yield self.since_ms, by
            yield self.until_ms, by
        for by in self.learned.values():
            yield self.since_ms, by


@dataclass(slots=True)
class Life:
    """One run of a node: its events and its gaps. `until_ms` is infinite until the life ends."""

    node: str
    started_ms: float
    until_ms: float = math.inf
    events: list[Event] = field(default_factory=list)
    gaps: list[Gap] = field(default_factory=list)
    _number: int = 0
    _last_ms: float = -math.inf
    _in_force: RulesInForce = field(default_factory=dict)

    @property
    def is_whole(self) -> bool:
        """Whether the events cover all that the node did in this life."""
        return not self.gaps

    def add(self, event: Event) -> None:
        """Add the next event."""
        if isinstance(event, Ended):
            self.until_ms = event.at_ms
            if not event.clean or event.number not in (0, self._number + 1):
                self._add_gap(event.at_ms)
        elif event.number != self._number + 1:
            self._add_gap(event.at_ms)
        self._number, self._last_ms = event.number, event.at_ms
        if isinstance(event, Acted) and self.gaps:
            self._note_unseen_learning(event)
        if isinstance(event, (Acted, Learned)):
            self._in_force[event.rule] = event
        self.events.append(event)

    def end_early(self, at_ms: float) -> None:
        """End the life at `at_ms` at the latest; whatever it did after its last event is missing."""
        self.until_ms = at_ms
        self._add_gap(at_ms)

    def _note_unseen_learning(self, act: Acted) -> None:
        """Note in a gap the rule of an act that the node was not seen to learn."""
        before = self._in_force.get(act.rule)
        if before is not None and (before.version, before.digest) == (act.version, act.digest):
            return
        since_ms = -math.inf if before is None else before.at_ms
        gap = next((gap for gap in self.gaps if gap.until_ms >= since_ms), self.gaps[-1])
        gap.learned.setdefault(act.rule, act)

    def _add_gap(self, until_ms: float) -> None:
        self.gaps.append(Gap(self.node, self._last_ms, until_ms, dict(self._in_force)))


def lives(events: Iterable[Event]) -> list[Life]:
    """Return each run of each node, in the order of their starts. A run without an end is not whole."""
    runs: list[Life] = []
    current: dict[str, Life] = {}
    for event in events:
        life = current.get(event.node)
        if life is None or isinstance(event, Started):
            if life is not None:
                life.end_early(event.at_ms)
            if isinstance(event, Ended):
                continue  # a life without events
            life = current[event.node] = Life(event.node, event.at_ms)
            runs.append(life)
        life.add(event)
        if isinstance(event, Ended):
            del current[event.node]
    for life in current.values():
        life.end_early(math.inf)
    return runs

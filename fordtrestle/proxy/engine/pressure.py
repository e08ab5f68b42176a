"""Whether a process is overloaded, and what it does about it: readings in, actions out. Pure.

A rule names a monitor, the reading from which an action is on and a lower one below which it is off again
(hysteresis). An action is on while any of its rules is; a graded one has a level between 0 and 1, which
grows with the reading. Each action that goes on or off is reported once, with its cause.

Resident memory may raise pressure but does not end it, since the interpreter gives little back of what it
once used. What releases it is the accounting of the bytes that are held. From then on memory counts only if
it has grown past where it stood.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum


class Monitor(Enum):
    """What is measured; readings are shares of a limit, those of `LAG` milliseconds.

    The values are shown in log lines.
    """

    DESCRIPTORS = "descriptors held"
    BUFFERED = "bytes held"
    CALLS = "calls open"
    MEMORY = "resident memory"
    LAG = "loop lag, ms"
    CPU = "CPU"
    BACKLOG = "accept backlog"


class PressureAction(Enum):
    """What is done about pressure; the values are shown in log lines."""

    SHORTEN_IDLE = "close clients' connections at rest sooner"
    SHRINK_POOLS = "close idle connections to servers"
    STOP_OPTIONAL = "stop optional work"
    REFUSE_BY_WORTH = "refuse what is worth least"
    PAUSE_ACCEPTING = "pause accepting"


@dataclass(frozen=True, slots=True)
class PressureRule:
    """When one monitor turns one action on and off.

    Attributes:
        action: What is done.
        monitor: What is measured.
        on_at: The action goes on at a reading of at least this.
        off_below: It goes off again at a reading below this.
        full_at: A graded action's level is 0 at `on_at` and 1 from here on; 0: it is not graded.
    """

    action: PressureAction
    monitor: Monitor
    on_at: float
    off_below: float
    full_at: float = 0.0


# Cheap actions come first and refusals last; each goes off well below where it goes on, so that none flaps.
RULES = (
    PressureRule(PressureAction.SHORTEN_IDLE, Monitor.DESCRIPTORS, 0.90, 0.75),
    PressureRule(PressureAction.SHORTEN_IDLE, Monitor.MEMORY, 0.80, 0.70),
    PressureRule(PressureAction.SHORTEN_IDLE, Monitor.BACKLOG, 0.50, 0.10),
    PressureRule(PressureAction.SHRINK_POOLS, Monitor.DESCRIPTORS, 0.95, 0.80),
    PressureRule(PressureAction.SHRINK_POOLS, Monitor.MEMORY, 0.80, 0.70),
    PressureRule(PressureAction.STOP_OPTIONAL, Monitor.BUFFERED, 0.60, 0.40),
    PressureRule(PressureAction.STOP_OPTIONAL, Monitor.MEMORY, 0.80, 0.70),
    PressureRule(PressureAction.STOP_OPTIONAL, Monitor.CPU, 0.85, 0.70),
    PressureRule(PressureAction.STOP_OPTIONAL, Monitor.LAG, 50.0, 20.0),
    PressureRule(PressureAction.REFUSE_BY_WORTH, Monitor.BUFFERED, 0.80, 0.60, full_at=1.0),
    PressureRule(PressureAction.REFUSE_BY_WORTH, Monitor.CALLS, 0.80, 0.60, full_at=1.0),
    PressureRule(PressureAction.REFUSE_BY_WORTH, Monitor.MEMORY, 0.90, 0.85, full_at=1.0),
    PressureRule(PressureAction.REFUSE_BY_WORTH, Monitor.LAG, 100.0, 40.0, full_at=500.0),
    PressureRule(PressureAction.PAUSE_ACCEPTING, Monitor.LAG, 200.0, 80.0),
    PressureRule(PressureAction.PAUSE_ACCEPTING, Monitor.MEMORY, 0.95, 0.90),
)
# Of the bytes that may be held: with less held, resident memory is what the interpreter keeps, and not load.
MEMORY_RELEASE_BUFFERED_SHARE = 0.25
# Of the memory limit: growth past where it was released that counts again; less is noise.
MEMORY_GROWTH_SHARE = 0.02


@dataclass(frozen=True, slots=True)
class PressureChange:
    """An action that has gone on or off.

    Attributes:
        action: The action.
        is_on: Whether it is on now.
        cause: The monitor and its reading.
        lasted_ms: How long it was on, for one that has gone off.
    """

    action: PressureAction
    is_on: bool
    cause: str
    lasted_ms: float = 0.0


@dataclass(slots=True)
class _ActionState:
    """Which rules keep an action on, and since when it is on or off."""

    since_ms: float = 0.0
    rules: set[PressureRule] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class _Evaluation:
    """What turned an action on or off (empty if nothing did), and its level."""

    cause: str
    level: float


class PressureRules:
    """Decides which actions are on, and how far."""

    def __init__(self, rules: Iterable[PressureRule] = RULES) -> None:
        """Create it with all actions off.

        Raises:
            ValueError: A rule's figures are out of order.
        """
        self._rules = tuple(rules)
        for rule in self._rules:
            if not rule.off_below < rule.on_at or 0.0 < rule.full_at <= rule.on_at:
                raise ValueError(f"{rule.action.name} by {rule.monitor.name}: figures out of order")
        self._states = {action: _ActionState() for action in PressureAction}
        self._levels = dict.fromkeys(PressureAction, 0.0)
        self._memory_floor = 0.0  # a reading of resident memory up to which it does not count

    def is_on(self, action: PressureAction) -> bool:
        """Return whether an action is on."""
        return bool(self._states[action].rules)

    def level(self, action: PressureAction) -> float:
        """Return how far an action is to go, 0 (off) to 1; 1 for one that is on and not graded."""
        return self._levels[action]

    def update(self, now: float, readings: Mapping[Monitor, float]) -> list[PressureChange]:
        """Apply readings, of which some may be missing.

        Args:
            now: The time in milliseconds.
            readings: By monitor; the rules of one that is missing stay as they are.

        Returns:
            The actions that went on or off.
        """
        known = dict(readings)
        if Monitor.MEMORY in known:
            known[Monitor.MEMORY] = self._effective_memory(known)
        changes = []
        for action, state in self._states.items():
            was_on = bool(state.rules)
            evaluation = self._evaluate(action, state, known)
            self._levels[action] = evaluation.level
            if bool(state.rules) != was_on:
                lasted_ms = 0.0 if not was_on else now - state.since_ms
                state.since_ms = now
                changes.append(PressureChange(action, not was_on, evaluation.cause, lasted_ms))
        return changes

    def _evaluate(
        self, action: PressureAction, state: _ActionState, readings: Mapping[Monitor, float]
    ) -> _Evaluation:
        """Turn an action's rules on and off."""
        cause, level = "", 0.0
        for rule in self._rules:
            reading = readings.get(rule.monitor)
            if rule.action is not action or reading is None:
                continue
            if rule in state.rules:
                if reading < rule.off_below:
                    state.rules.discard(rule)
                    cause = cause or f"{rule.monitor.value} {reading:.2f}"
            elif reading >= rule.on_at:
                state.rules.add(rule)
                cause = f"{rule.monitor.value} {reading:.2f}"
            if rule in state.rules:
                level = max(level, _grade(rule, reading))
        return _Evaluation(cause, level)

    def _effective_memory(self, readings: Mapping[Monitor, float]) -> float:
        """Return what resident memory counts as: nothing while the quotas show that little of it is held."""
        reading = readings[Monitor.MEMORY]
        if readings.get(Monitor.BUFFERED, 1.0) < MEMORY_RELEASE_BUFFERED_SHARE:
            self._memory_floor = max(self._memory_floor, reading)
            return 0.0
        if reading <= self._memory_floor + MEMORY_GROWTH_SHARE:
            return 0.0
        return reading


def _grade(rule: PressureRule, reading: float) -> float:
    """Return the level that a rule which is on asks for."""
    if not rule.full_at:
        return 1.0
    return min(1.0, max(0.0, (reading - rule.on_at) / (rule.full_at - rule.on_at)))

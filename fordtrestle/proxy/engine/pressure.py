"""Decides from readings whether a process is overloaded and which actions it takes. Pure.

A rule names a monitor, the reading at which an action is turned on and a lower reading below which it is
turned off again (hysteresis). An action is on while any of its rules is on; a graded action has a level
between 0 and 1 that grows with the reading. Each change of an action is reported once, with its cause.

Resident memory can turn an action on, but can't be relied on to turn it off, because the interpreter returns
little of the memory that it once used. The action is turned off when the quotas show that few bytes are
buffered. From then on, resident memory counts only if it grows beyond its level at that time.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum


class Monitor(Enum):
    """A measured quantity. Readings are shares of a limit, except those of `LAG`, which are milliseconds.

    The values appear in log lines.
    """

    DESCRIPTORS = "descriptors held"
    BUFFERED = "bytes held"
    CALLS = "calls open"
    MEMORY = "resident memory"
    LAG = "loop lag, ms"
    CPU = "CPU"
    BACKLOG = "accept backlog"


class PressureAction(Enum):
    """A measure against overload; the values appear in log lines."""

    SHORTEN_IDLE = "close clients' connections at rest sooner"
    SHRINK_POOLS = "close idle connections to servers"
    STOP_OPTIONAL = "stop optional work"
    REFUSE_BY_WORTH = "refuse what is worth least"
    PAUSE_ACCEPTING = "pause accepting"


@dataclass(frozen=True, slots=True)
class PressureRule:
    """The thresholds at which one monitor turns one action on and off.

    Attributes:
        action: The action.
        monitor: The monitor.
        on_at: The lowest reading that turns the action on.
        off_below: A reading below this turns it off again.
        full_at: The level of a graded action rises from 0 at `on_at` to 1 at this reading; 0 if the action is
            not graded.
    """

    action: PressureAction
    monitor: Monitor
    on_at: float
    off_below: float
    full_at: float = 0.0


# Cheap actions come first and refusals last. Each turns off well below where it turns on, to avoid flapping.
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
# The share of the byte quota below which resident memory is not load but memory that the interpreter keeps.
MEMORY_RELEASE_BUFFERED_SHARE = 0.25
# The growth, as a share of the memory limit, beyond the released level that counts again; less is noise.
MEMORY_GROWTH_SHARE = 0.02


@dataclass(frozen=True, slots=True)
class PressureChange:
    """The change of an action to on or off.

    Attributes:
        action: The action.
        is_on: Whether it is on now.
        cause: The monitor and its reading.
        lasted_ms: How long the action was on, if it was turned off.
    """

    action: PressureAction
    is_on: bool
    cause: str
    lasted_ms: float = 0.0


@dataclass(slots=True)
class _ActionState:
    """The rules that keep an action on, and the time of its last change."""

    since_ms: float = 0.0
    rules: set[PressureRule] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class _Evaluation:
    """The cause of an action's change (empty if it did not change), and its level."""

    cause: str
    level: float


class PressureRules:
    """Decides which actions are on, and at which level."""

    def __init__(self, rules: Iterable[PressureRule] = RULES) -> None:
        """Start with all actions off.

        Raises:
            ValueError: The thresholds of a rule are out of order.
        """
        self._rules = tuple(rules)
        for rule in self._rules:
            if not rule.off_below < rule.on_at or 0.0 < rule.full_at <= rule.on_at:
                raise ValueError(f"{rule.action.name} by {rule.monitor.name}: thresholds out of order")
        self._states = {action: _ActionState() for action in PressureAction}
        self._levels = dict.fromkeys(PressureAction, 0.0)
        self._memory_floor = 0.0  # resident memory up to this reading is ignored

    def is_on(self, action: PressureAction) -> bool:
        """Return whether an action is on."""
        return bool(self._states[action].rules)

    def level(self, action: PressureAction) -> float:
        """Return the level of an action from 0 (off) to 1; 1 for one that is on and not graded."""
        return self._levels[action]

    def update(self, now: float, readings: Mapping[Monitor, float]) -> list[PressureChange]:
        """Apply readings and return the changes.

        Args:
            now: The time in milliseconds.
            readings: The readings by monitor; the rules of a missing monitor stay as they are.

        Returns:
            The actions that were turned on or off.
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
        """Turn the rules of an action on and off."""
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
        """Return the reading of resident memory that counts: 0 while the quotas show few buffered bytes."""
        reading = readings[Monitor.MEMORY]
        if readings.get(Monitor.BUFFERED, 1.0) < MEMORY_RELEASE_BUFFERED_SHARE:
            self._memory_floor = max(self._memory_floor, reading)
            return 0.0
        if reading <= self._memory_floor + MEMORY_GROWTH_SHARE:
            return 0.0
        return reading


def _grade(rule: PressureRule, reading: float) -> float:
    """Return the level that an active rule asks for."""
    if not rule.full_at:
        return 1.0
    return min(1.0, max(0.0, (reading - rule.on_at) / (rule.full_at - rule.on_at)))

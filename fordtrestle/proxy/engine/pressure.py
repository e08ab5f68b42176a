"""How pressed a process is, and what it does about it: readings in, actions out, with hysteresis. Pure.

A rule names a monitor, the reading from which an action is on and the lower one from which it is off
again. An action is on while any of its rules is; one that is graded has a level between 0 and 1, which
grows with the reading. Each action that goes on or off is told once, with its cause.

Resident memory may raise pressure but does not end it: the interpreter gives little back of what was
once used. What releases it is the accounting of the bytes that are held. From then on memory counts as
pressing only if it has grown past where it stood.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum


class Monitor(Enum):
    """What is looked at. Readings are shares of a limit but for `LAG`, which is in milliseconds."""

    DESCRIPTORS = "descriptors held"
    BUFFERED = "bytes held"
    CALLS = "calls open"
    MEMORY = "resident memory"
    LAG = "loop lag, ms"
    CPU = "CPU"
    BACKLOG = "accept backlog"


class Action(Enum):
    """What is done about it."""

    SHORTEN_IDLE = "close clients' connections at rest sooner"
    SHRINK_POOLS = "close idle connections to servers"
    STOP_OPTIONAL = "stop optional work"
    REFUSE_BY_WORTH = "refuse what is worth least"
    PAUSE_ACCEPTING = "pause accepting"


@dataclass(frozen=True, slots=True)
class Rule:
    """An action is on from `on_from` of a monitor's reading until it is under `off_under`.

    A graded action's level is 0 at `on_from` and 1 at `full_at`.
    """

    action: Action
    monitor: Monitor
    on_from: float
    off_under: float
    full_at: float = 0.0


RULES = (
    Rule(Action.SHORTEN_IDLE, Monitor.DESCRIPTORS, 0.90, 0.75),
    Rule(Action.SHORTEN_IDLE, Monitor.MEMORY, 0.80, 0.70),
    Rule(Action.SHORTEN_IDLE, Monitor.BACKLOG, 0.50, 0.10),
    Rule(Action.SHRINK_POOLS, Monitor.DESCRIPTORS, 0.95, 0.80),
    Rule(Action.SHRINK_POOLS, Monitor.MEMORY, 0.80, 0.70),
    Rule(Action.STOP_OPTIONAL, Monitor.BUFFERED, 0.60, 0.40),
    Rule(Action.STOP_OPTIONAL, Monitor.MEMORY, 0.80, 0.70),
    Rule(Action.STOP_OPTIONAL, Monitor.CPU, 0.85, 0.70),
    Rule(Action.STOP_OPTIONAL, Monitor.LAG, 50.0, 20.0),
    Rule(Action.REFUSE_BY_WORTH, Monitor.BUFFERED, 0.80, 0.60, full_at=1.0),
    Rule(Action.REFUSE_BY_WORTH, Monitor.CALLS, 0.80, 0.60, full_at=1.0),
    Rule(Action.REFUSE_BY_WORTH, Monitor.MEMORY, 0.90, 0.85, full_at=1.0),
    Rule(Action.REFUSE_BY_WORTH, Monitor.LAG, 100.0, 40.0, full_at=500.0),
    Rule(Action.PAUSE_ACCEPTING, Monitor.LAG, 200.0, 80.0),
    Rule(Action.PAUSE_ACCEPTING, Monitor.MEMORY, 0.95, 0.90),
)
RELEASED_BY_BOOK = 0.25  # of the bytes that may be held: under it resident memory presses no more
GROWN = 0.02  # of the memory limit: growth past where it was released that presses again


@dataclass(frozen=True, slots=True)
class Change:
    """An action that goes on, or off after so long; `cause` names the monitor and its reading."""

    action: Action
    on: bool
    cause: str
    lasted_ms: float = 0.0


@dataclass(slots=True)
class _State:
    since_ms: float = 0.0
    rules: set[Rule] = field(default_factory=set)  # that are on


class Pressure:
    """Which actions are on, and how far."""

    def __init__(self, rules: Iterable[Rule] = RULES) -> None:
        self._rules = tuple(rules)
        for rule in self._rules:
            if not rule.off_under < rule.on_from or 0.0 < rule.full_at <= rule.on_from:
                raise ValueError(f"{rule.action.name} by {rule.monitor.name}: figures out of order")
        self._states = {action: _State() for action in Action}
        self._levels = dict.fromkeys(Action, 0.0)
        self._memory_floor = 0.0  # resident memory under which it does not press

    def on(self, action: Action) -> bool:
        """Whether an action is on."""
        return bool(self._states[action].rules)

    def level(self, action: Action) -> float:
        """How far an action is to go: 0 off, 1 the most; 1 for one that is on and not graded."""
        return self._levels[action]

    def update(self, now: float, readings: Mapping[Monitor, float]) -> list[Change]:
        """Take in readings, of which some may be missing; which actions went on or off."""
        known = dict(readings)
        if Monitor.MEMORY in known:
            known[Monitor.MEMORY] = self._memory(known)
        changes = []
        for action, state in self._states.items():
            was_on = bool(state.rules)
            cause, level = self._judge(action, state, known)
            self._levels[action] = level
            if bool(state.rules) != was_on:
                lasted = 0.0 if not was_on else now - state.since_ms
                state.since_ms = now
                changes.append(Change(action, not was_on, cause, lasted))
        return changes

    def _judge(self, action: Action, state: _State, readings: Mapping[Monitor, float]) -> tuple[str, float]:
        """Move an action's rules on and off; what did it, and the action's level."""
        cause, level = "", 0.0
        for rule in self._rules:
            reading = readings.get(rule.monitor)
            if rule.action is not action or reading is None:
                continue
            if rule in state.rules:
                if reading < rule.off_under:
                    state.rules.discard(rule)
                    cause = cause or f"{rule.monitor.value} {reading:.2f}"
            elif reading >= rule.on_from:
                state.rules.add(rule)
                cause = f"{rule.monitor.value} {reading:.2f}"
            if rule in state.rules:
                level = max(level, _grade(rule, reading))
        return cause, level

    def _memory(self, readings: Mapping[Monitor, float]) -> float:
        """What resident memory counts as: nothing while the accounting shows that little is held of it."""
        reading = readings[Monitor.MEMORY]
        if readings.get(Monitor.BUFFERED, 1.0) < RELEASED_BY_BOOK:
            self._memory_floor = max(self._memory_floor, reading)
            return 0.0
        if reading <= self._memory_floor + GROWN:
            return 0.0
        return reading


def _grade(rule: Rule, reading: float) -> float:
    if not rule.full_at:
        return 1.0
    return min(1.0, max(0.0, (reading - rule.on_from) / (rule.full_at - rule.on_from)))

"""Draws the schedule of a play from a seed. Pure."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from itertools import accumulate

SETTLE_S = 3.0  # without further steps at the end
MIN_GAP_S, MAX_GAP_S = 0.3, 3.0
FREEZE_S = (0.5, 3.0)


class Action(Enum):
    """An action on a machine, a zone or the configuration. The value describes it."""

    ROLL = "SIGTERM, and a start once the process is gone"
    HUP = "SIGHUP"
    KILL = "SIGKILL, and a start"
    FREEZE = "SIGSTOP, and SIGCONT after a while"
    CHANGE = "a change of the configuration"
    EVACUATE = "a zone is emptied and taken back after a while"
    UPDATE = "a roll to the next version of the program"
    REVERT = "a roll back to this version"
    SERVER_CRASH = "a model server ends, and another comes to its address after a while"
    SERVER_REUSE = "a model server ends, and one of another service has its address for a while"
    CROWD = "a crowd of misbehaving clients comes to a machine and stays for a while"
    SERVER_FREEZE = "a model server stops answering for a while"


UPDATES = frozenset({Action.UPDATE, Action.REVERT})  # planned too, but drawn only by `draw_update`
PLANNED = frozenset({Action.ROLL, Action.HUP, Action.CHANGE, Action.EVACUATE})
MACHINE_ACTIONS = UPDATES | {Action.ROLL, Action.HUP, Action.KILL, Action.FREEZE}
SERVER_ACTIONS = (Action.SERVER_CRASH, Action.SERVER_REUSE, Action.SERVER_FREEZE)
SERVER_FAULT_S = (0.5, 4.0)  # how long a server is away or frozen
LONG_FREEZE_S = (2.0, 6.0)  # of a sidecar: longer than a change may take to be active
CORE_FREEZE_S = (0.3, 4.0)  # of a control process
CROWD_S = (2.0, 8.0)  # how long a crowd stays
SERIES_SIGNALS = (Action.ROLL, Action.HUP, Action.KILL, Action.FREEZE)
PLANNED_SIGNALS = (Action.ROLL, Action.HUP)
SERIES_LENGTH = (2, 4)  # signals of one series to one machine
SERIES_GAP_S = (0.05, 1.5)  # between two of them: a process may still be starting, or already leaving
SERIES_FREEZE_S = (0.1, 1.0)
CHANGES_LENGTH = (3, 8)  # changes of one series
CHANGES_GAP_S = (0.02, 0.4)
UPDATE_GAP_S = 1.5  # between the updates of two machines


@dataclass(frozen=True, slots=True)
class Step:
    """An action at a time. `at` and `for_s` are s."""

    at: float
    action: Action
    target: str = ""  # name of a machine or a region
    for_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Targets:
    """The names of what a schedule acts on."""

    sidecars: list[str]
    controls: list[str]
    regions: list[str]
    servers: list[str]


@dataclass(frozen=True, slots=True)
class Schedule:
    """The duration of a play, whether it has only planned work, and its steps in order of time."""

    seed: int
    duration_s: float
    planned_only: bool
    steps: tuple[Step, ...]


def _draw_series(rng: random.Random, at: float, machines: list[str], action: Action) -> list[Step]:
    """Draw steps that apply an action to the machines in random order, singly or in batches, at one gap."""
    order, batch_size = rng.sample(machines, len(machines)), rng.choice((1, 1, 1, 2, len(machines)))
    gap_s = rng.uniform(MIN_GAP_S, MAX_GAP_S)
    return [Step(at + gap_s * (index // batch_size), action, name) for index, name in enumerate(order)]


def _order(steps: list[Step], until: float) -> tuple[Step, ...]:
    """Return the steps before a time in their order."""
    return tuple(sorted((step for step in steps if step.at < until), key=lambda step: step.at))


def draw(seed: int, duration_s: float, targets: Targets) -> Schedule:
    """Draw a schedule of overlapping rolls and changes. Even seeds have failures, too."""
    rng = random.Random(seed)
    planned_only = seed % 2 == 1
    until = duration_s - SETTLE_S
    steps: list[Step] = []
    for at in _draw_times(rng, until, 4.0, 9.0):
        steps += _draw_series(rng, at, targets.sidecars, Action.ROLL)
    for at in _draw_times(rng, until, 6.0, 12.0):
        steps += _draw_series(rng, at, targets.controls, Action.ROLL)
    for at in _draw_times(rng, until, 0.2, 1.0):
        steps.append(Step(at, Action.CHANGE))
    for at in _draw_times(rng, until, 3.0, 8.0):
        steps += _draw_series(
            rng, at, rng.sample(targets.sidecars, 1 + len(targets.sidecars) // 3), Action.HUP
        )
    for at in _draw_times(rng, until, 5.0, 15.0):
        steps.append(Step(at, Action.EVACUATE, rng.choice(targets.regions), rng.uniform(1.0, 4.0)))
    if not planned_only:
        for at in _draw_times(rng, until, 3.0, 8.0):
            action = rng.choice((Action.KILL, Action.FREEZE))
            target = rng.choice(targets.sidecars + targets.controls)
            steps.append(Step(at, action, target, rng.uniform(*FREEZE_S)))
    return Schedule(seed, duration_s, planned_only, _order(steps, until))


def draw_with_server_faults(seed: int, duration_s: float, targets: Targets) -> Schedule:
    """Draw a schedule with failures of all kinds, which overlap: those of `draw`, and those of servers.

    Args:
        seed: Seed of the random source.
        duration_s: The duration of the play.
        targets: What the schedule acts on.
    """
    rng = random.Random(f"storm {seed}")
    even_seed = 2 * seed  # with failures
    steps = list(draw(even_seed, duration_s, targets).steps)
    until = duration_s - SETTLE_S
    for at in _draw_times(rng, until, 1.0, 4.0):
        action = rng.choice(SERVER_ACTIONS)
        steps.append(Step(at, action, rng.choice(targets.servers), rng.uniform(*SERVER_FAULT_S)))
    steps += [
        Step(at, Action.FREEZE, rng.choice(targets.sidecars), rng.uniform(*LONG_FREEZE_S))
        for at in _draw_times(rng, until, 3.0, 8.0)
    ]
    return Schedule(seed, duration_s, False, _order(steps, until))


def draw_with_core_freezes(seed: int, duration_s: float, targets: Targets) -> Schedule:
    """Draw a schedule with failures, and with freezes of control processes that may overlap.

    In even seeds nothing else happens to control processes, so that locks are granted most of the time.

    Args:
        seed: Seed of the random source.
        duration_s: The duration of the play.
        targets: What the schedule acts on.
    """
    rng = random.Random(f"core freezes {seed}")
    seed_with_failures = 2 * seed
    steps = list(draw(seed_with_failures, duration_s, targets).steps)
    if seed % 2 == 0:
        steps = [step for step in steps if step.target not in targets.controls]
    until = duration_s - SETTLE_S
    steps += [
        Step(at, Action.FREEZE, rng.choice(targets.controls), rng.uniform(*CORE_FREEZE_S))
        for at in _draw_times(rng, until, 1.0, 5.0)
    ]
    return Schedule(seed, duration_s, False, _order(steps, until))


def draw_with_crowds(seed: int, duration_s: float, targets: Targets) -> Schedule:
    """Draw a schedule with failures and with crowds of misbehaving clients, which overlap.

    In odd seeds nothing fails, so that processes end only by planned work.

    Args:
        seed: Seed of the random source.
        duration_s: The duration of the play.
        targets: What the schedule acts on.
    """
    rng = random.Random(f"crowds {seed}")
    base = draw(seed, duration_s, targets)
    until = duration_s - SETTLE_S
    crowds = [
        Step(at, Action.CROWD, rng.choice(targets.sidecars + targets.controls), rng.uniform(*CROWD_S))
        for at in _draw_times(rng, until, 1.0, 4.0)
    ]
    return Schedule(seed, duration_s, base.planned_only, _order([*base.steps, *crowds], until))


def draw_with_overlaps(seed: int, duration_s: float, targets: Targets) -> Schedule:
    """Draw a schedule with failures of all kinds, and with series of signals and changes that overlap.

    A series sends signals to one machine faster than its process can start or leave.

    Args:
        seed: Seed of the random source.
        duration_s: The duration of the play.
        targets: What the schedule acts on.
    """
    rng = random.Random(f"overlaps {seed}")
    base = draw_with_server_faults(seed, duration_s, targets)
    until = duration_s - SETTLE_S
    steps = list(base.steps)
    for at in _draw_times(rng, until, 1.0, 4.0):
        steps += _draw_signals(rng, at, rng.choice(targets.sidecars))
    for at in _draw_times(rng, until, 8.0, 16.0):
        steps += _draw_signals(rng, at, rng.choice(targets.controls))
    steps += _draw_changes(rng, until)
    return Schedule(seed, duration_s, False, _order(steps, until))


def draw_with_slow_servers(seed: int, duration_s: float, targets: Targets) -> Schedule:
    """Draw a schedule of planned work only, with further series of signals and changes that overlap.

    Args:
        seed: Seed of the random source.
        duration_s: The duration of the play.
        targets: What the schedule acts on.
    """
    rng = random.Random(f"slow servers {seed}")
    seed_with_planned_work = 2 * seed + 1
    until = duration_s - SETTLE_S
    steps = list(draw(seed_with_planned_work, duration_s, targets).steps)
    for at in _draw_times(rng, until, 2.0, 6.0):
        steps += _draw_signals(rng, at, rng.choice(targets.sidecars), PLANNED_SIGNALS)
    steps += _draw_changes(rng, until)
    return Schedule(seed, duration_s, True, _order(steps, until))


def _draw_changes(rng: random.Random, until: float) -> list[Step]:
    """Draw series of changes of the configuration that overlap."""
    return [
        Step(change_at, Action.CHANGE)
        for at in _draw_times(rng, until, 2.0, 6.0)
        for change_at in _draw_series_times(rng, at, CHANGES_LENGTH, CHANGES_GAP_S)
    ]


def _draw_signals(
    rng: random.Random, at: float, machine: str, signals: Sequence[Action] = SERIES_SIGNALS
) -> list[Step]:
    """Draw a series of signals to one machine."""
    times = _draw_series_times(rng, at, SERIES_LENGTH, SERIES_GAP_S)
    return [
        Step(signal_at, rng.choice(signals), machine, rng.uniform(*SERIES_FREEZE_S)) for signal_at in times
    ]


def _draw_series_times(
    rng: random.Random, at: float, length: tuple[int, int], gap_s: tuple[float, float]
) -> list[float]:
    """Draw the times of a series that begins at a time."""
    gaps = [rng.uniform(*gap_s) for _ in range(rng.randint(*length) - 1)]
    return list(accumulate(gaps, initial=at))


def draw_update(seed: int, sidecars: list[str], controls: list[str], with_versions: bool = True) -> Schedule:
    """Draw a schedule that updates all machines one by one and then reverts them, with configuration changes.

    A control process is killed during the update and during the reversion.

    Args:
        seed: Seed of the random source.
        sidecars: Names of the sidecars.
        controls: Names of the control processes.
        with_versions: Whether the version changes. Otherwise the machines are rolled at the same times.
    """
    rng = random.Random(seed)
    machines = sidecars + controls
    steps, at = [], 1.0
    for action in (Action.UPDATE, Action.REVERT):
        kill_at = at + rng.uniform(0.3, 0.7) * UPDATE_GAP_S * len(machines)
        steps.append(Step(kill_at, Action.KILL, rng.choice(controls)))
        for name in rng.sample(machines, len(machines)):
            steps.append(Step(at, action if with_versions else Action.ROLL, name))
            at += UPDATE_GAP_S
    until = at + SETTLE_S
    steps += [Step(change_at, Action.CHANGE) for change_at in _draw_times(rng, until - SETTLE_S, 0.2, 1.0)]
    steps.sort(key=lambda step: step.at)
    return Schedule(seed, until, False, tuple(steps))


def _draw_times(rng: random.Random, until: float, min_gap_s: float, max_gap_s: float) -> list[float]:
    """Draw times at random gaps."""
    times = [rng.uniform(0.5, max_gap_s)]
    while times[-1] < until:
        times.append(times[-1] + rng.uniform(min_gap_s, max_gap_s))
    return times[:-1]

"""What happens in one play, drawn from a seed. Pure."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

SETTLE_S = 3.0  # at the end, with nothing more happening
LEAST_GAP_S, MOST_GAP_S = 0.3, 3.0
FREEZE_S = (0.5, 3.0)


class Action(Enum):
    """What is done to a machine, or to the configuration. The value says whether it is planned work."""

    ROLL = "SIGTERM, and a start once the process is gone"
    HUP = "SIGHUP"
    KILL = "SIGKILL, and a start"
    FREEZE = "SIGSTOP, and SIGCONT after a while"
    CHANGE = "a change of the configuration"
    EVACUATE = "a zone is emptied and taken back after a while"
    UPDATE = "a roll to the next version of the program"
    REVERT = "a roll back to this version"


UPDATES = frozenset({Action.UPDATE, Action.REVERT})  # planned too, but drawn by `draw_update` alone
PLANNED = frozenset({Action.ROLL, Action.HUP, Action.CHANGE, Action.EVACUATE})
OF_MACHINES = UPDATES | {Action.ROLL, Action.HUP, Action.KILL, Action.FREEZE}
UPDATE_GAP_S = 1.5  # between two machines that are updated


@dataclass(frozen=True, slots=True)
class Step:
    """One thing that happens; `at` and `for_s` in s."""

    at: float
    action: Action
    target: str = ""  # a machine's or a region's name
    for_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Schedule:
    """A play: how long it lasts, whether only planned work happens, and its steps in order."""

    seed: int
    lasts_s: float
    planned_only: bool
    steps: tuple[Step, ...]


def _series(rng: random.Random, at: float, names: list[str], action: Action) -> list[Step]:
    """The machines one after the other, or some at a time, at a gap."""
    order, width = rng.sample(names, len(names)), rng.choice((1, 1, 1, 2, len(names)))
    gap = rng.uniform(LEAST_GAP_S, MOST_GAP_S)
    return [Step(at + gap * (index // width), action, name) for index, name in enumerate(order)]


def draw(seed: int, lasts_s: float, sidecars: list[str], controls: list[str], regions: list[str]) -> Schedule:
    """The play of a seed: rolls over rolls beside changes, and on every other seed failures, too."""
    rng = random.Random(seed)
    planned_only = seed % 2 == 1
    until = lasts_s - SETTLE_S
    steps: list[Step] = []
    for at in _times(rng, until, 4.0, 9.0):
        steps += _series(rng, at, sidecars, Action.ROLL)
    for at in _times(rng, until, 6.0, 12.0):
        steps += _series(rng, at, controls, Action.ROLL)
    for at in _times(rng, until, 0.2, 1.0):
        steps.append(Step(at, Action.CHANGE))
    for at in _times(rng, until, 3.0, 8.0):
        steps += _series(rng, at, rng.sample(sidecars, 1 + len(sidecars) // 3), Action.HUP)
    for at in _times(rng, until, 5.0, 15.0):
        steps.append(Step(at, Action.EVACUATE, rng.choice(regions), rng.uniform(1.0, 4.0)))
    if not planned_only:
        for at in _times(rng, until, 3.0, 8.0):
            action = rng.choice((Action.KILL, Action.FREEZE))
            target = rng.choice(sidecars + controls)
            steps.append(Step(at, action, target, rng.uniform(*FREEZE_S)))
    kept = sorted((step for step in steps if step.at < until), key=lambda step: step.at)
    return Schedule(seed, lasts_s, planned_only, tuple(kept))


def draw_update(seed: int, sidecars: list[str], controls: list[str], versions: bool = True) -> Schedule:
    """All machines are replaced by the next version one by one, then by this one again, beside changes, with
    a control process killed amid each way. Without `versions` they are rolled at the same times.
    """
    rng = random.Random(seed)
    names = sidecars + controls
    steps, at = [], 1.0
    for action in (Action.UPDATE, Action.REVERT):
        kill_at = at + rng.uniform(0.3, 0.7) * UPDATE_GAP_S * len(names)
        steps.append(Step(kill_at, Action.KILL, rng.choice(controls)))
        for name in rng.sample(names, len(names)):
            steps.append(Step(at, action if versions else Action.ROLL, name))
            at += UPDATE_GAP_S
    until = at + SETTLE_S
    steps += [Step(change_at, Action.CHANGE) for change_at in _times(rng, until - SETTLE_S, 0.2, 1.0)]
    steps.sort(key=lambda step: step.at)
    return Schedule(seed, until, False, tuple(steps))


def _times(rng: random.Random, until: float, least_s: float, most_s: float) -> list[float]:
    """Times at drawn gaps."""
    times = [rng.uniform(0.5, most_s)]
    while times[-1] < until:
        times.append(times[-1] + rng.uniform(least_s, most_s))
    return times[:-1]

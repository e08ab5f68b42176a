"""Schedules of faults: read from TOML or made in Python, expanded by a seed into a timeline of steps.

    seed = 1
    duration_s = 30.0

    [[fault]]
    kind = "die"              # and come back cold
    at_s = 5.0
    lasts_s = [7.7, 21.0]     # a figure, or two bounds between which it is drawn for each target
    share = 0.23              # of the servers; or servers = ["s3", "s7"]

The same schedule and seed give the same steps, byte for byte, whatever is under test. Bad input raises
`ScheduleError`, whose text is one line that names the file, the line and the field.
`python -m rig.faults FILE` prints the timeline; exit code 2 for a schedule that is none.
"""

from __future__ import annotations

import argparse
import math
import random
import re
import sys
import tomllib
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

DURATION_MOST_S = 3600.0
FAULTS_MOST = 1000
STEPS_MOST = 100_000
SHOWN, BAD_INPUT = 0, 2

Bounds = tuple[float, float]

SERVER_KINDS = (
    "die",  # its process ends; it comes back cold
    "vanish",  # says nothing; later it is back, and resets what was open
    "fail",  # fails a share quickly
    "stall",  # stands still for a moment, every few seconds
    "drain",  # is told to leave, then has left
    "lose",  # loses a share of its answers
    "spoil",  # spoils a share of its answers
    "half_open",  # a share of its connections swallows what comes
    "slow_accept",  # serves a new connection late
)
REGISTRY_KINDS = ("registry_delay", "registry_silence")
SIDECAR_KINDS = ("sidecar_crash",)
KINDS = (*SERVER_KINDS, *REGISTRY_KINDS, *SIDECAR_KINDS)
DEGREES = ("fail", "lose", "spoil", "half_open")  # of a share of requests or connections

# How long after what becomes of a server the registry changes its list, in seconds.
NOTICE_S: Bounds = (1.0, 4.5)  # that a process has ended
SILENT_NOTICE_S: Bounds = (4.4, 12.0)  # that a machine has vanished
ADD_S: Bounds = (0.28, 1.6)  # that one has started


class ScheduleError(ValueError):
    """A schedule that is none; its text is one line."""


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault. Fields that its kind has no use for stay as they are.

    `lasts_s`: how long it lasts, for `drain` from being told to leave to having left. `degree`: the share
    of requests, answers or connections. `pause_ms` and `every_s`: of each pause and from one to the next.
    `delay_ms`: of an accepted connection, or of the registry's news. `away_s`: how long a server that was
    drained stays away, 0 for good.
    """

    kind: str
    at_s: float
    lasts_s: Bounds = (5.0, 5.0)
    share: float = 0.0
    targets: tuple[str, ...] = ()
    degree: Bounds = (0.5, 0.5)
    pause_ms: Bounds = (150.0, 500.0)
    every_s: Bounds = (2.0, 4.0)
    delay_ms: Bounds = (300.0, 300.0)
    away_s: float = 0.0

    def wrong(self) -> tuple[str, str] | None:
        """The first field that makes no sense, and why; None where all do."""
        if self.kind not in KINDS:
            return "kind", f"no kind {self.kind!r}; there are {', '.join(KINDS)}"
        if not 0.0 <= self.at_s <= DURATION_MOST_S:
            return "at_s", f"{self.at_s:g} is not from 0 to {DURATION_MOST_S:g}"
        if not 0.0 <= self.share <= 1.0:
            return "share", f"{self.share:g} is not from 0 to 1"
        if not 0.0 <= self.away_s <= DURATION_MOST_S:
            return "away_s", f"{self.away_s:g} is not from 0 to {DURATION_MOST_S:g}"
        if self.kind not in REGISTRY_KINDS and bool(self.share) == bool(self.targets):
            return "share", "either a share or names of targets"
        limits = {
            "lasts_s": (0.0, DURATION_MOST_S),
            "degree": (0.0, 1.0),
            "pause_ms": (0.0, 60_000.0),
            "every_s": (0.05, DURATION_MOST_S),
            "delay_ms": (0.0, 60_000.0),
        }
        for name, (least, most) in limits.items():
            low, high = getattr(self, name)
            if not least <= low <= high <= most:
                return name, f"{low:g} to {high:g} is not from {least:g} to {most:g}"
        return None


class Step(NamedTuple):
    """One thing that is done at a time. `what`: an act of `rig.portservers`, `list`, `registry`, `kill` or
    `restart`; `target`: a server, a sidecar or empty.
    """

    at_s: float
    what: str
    target: str
    figures: tuple[tuple[str, Any], ...] = ()

    def line(self) -> str:
        """As the timeline shows it."""
        figures = " ".join(f"{name}={value}" for name, value in self.figures)
        return f"{self.at_s:8.3f} s  {self.what:<9} {self.target:<6} {figures}".rstrip()

    @property
    def options(self) -> dict[str, Any]:
        """Its figures by name."""
        return dict(self.figures)


@dataclass(frozen=True, slots=True)
class Schedule:
    """Faults of one run."""

    duration_s: float
    faults: tuple[Fault, ...] = ()
    seed: int = 1

    def __post_init__(self) -> None:
        """`ScheduleError` for what makes no sense."""
        if not 0.0 < self.duration_s <= DURATION_MOST_S:
            raise ScheduleError(f"duration_s: {self.duration_s:g} is not from 0 to {DURATION_MOST_S:g}")
        if len(self.faults) > FAULTS_MOST:
            raise ScheduleError(f"fault: {len(self.faults)} of them, {FAULTS_MOST} at most")
        for number, fault in enumerate(self.faults, 1):
            if wrong := fault.wrong():
                raise ScheduleError(f"fault {number}: {wrong[0]}: {wrong[1]}")

    def steps(self, servers: Sequence[str], sidecars: Sequence[str] = ()) -> list[Step]:
        """All steps in the order of time, within the duration; `ScheduleError` for an unknown target."""
        made: list[Step] = []
        for number, fault in enumerate(self.faults):
            rng = random.Random(f"fault/{self.seed}/{number}")
            known = sidecars if fault.kind in SIDECAR_KINDS else servers
            unknown = [name for name in fault.targets if name not in known]
            if unknown:
                raise ScheduleError(f"fault {number + 1}: targets: no {unknown[0]!r}")
            if fault.kind in REGISTRY_KINDS:
                made += _registry(fault, rng)
                continue
            count = max(1, round(fault.share * len(known))) if known else 0
            for target in fault.targets or sorted(rng.sample(list(known), count)):
                made += EXPAND[fault.kind](fault, target, rng, self.duration_s)
        made = [step for step in made if step.at_s <= self.duration_s]
        if len(made) > STEPS_MOST:
            raise ScheduleError(f"fault: {len(made)} steps, {STEPS_MOST} at most")
        return sorted(made, key=lambda step: (step.at_s, step.target, step.what))

    def timeline(self, servers: Sequence[str], sidecars: Sequence[str] = ()) -> str:
        """The steps to read, one a line; the same for the same seed, byte for byte."""
        return "".join(step.line() + "\n" for step in self.steps(servers, sidecars))


# --- from faults to steps -----------------------------------------------------------------


def _drawn(rng: random.Random, bounds: Bounds) -> float:
    return round(rng.uniform(*bounds), 4)


def _step(at_s: float, what: str, target: str, **figures: Any) -> Step:
    return Step(round(at_s, 4), what, target, tuple(figures.items()))


def _listed(at_s: float, server: str, status: str) -> Step:
    return _step(at_s, "list", server, status=status)


def _die(fault: Fault, server: str, rng: random.Random, end_s: float) -> list[Step]:
    back_s = fault.at_s + _drawn(rng, fault.lasts_s)
    notice_s = fault.at_s + _drawn(rng, NOTICE_S)
    steps = [_step(fault.at_s, "die", server), _step(back_s, "start", server)]
    if notice_s < back_s:
        steps.append(_listed(notice_s, server, "left"))
    return [*steps, _listed(back_s + _drawn(rng, ADD_S), server, "active")]


def _vanish(fault: Fault, server: str, rng: random.Random, end_s: float) -> list[Step]:
    back_s = fault.at_s + _drawn(rng, fault.lasts_s)
    notice_s = fault.at_s + _drawn(rng, SILENT_NOTICE_S)
    steps = [_step(fault.at_s, "vanish", server), _step(back_s, "back", server)]
    if notice_s < back_s:
        steps += [
            _listed(notice_s, server, "left"),
            _listed(back_s + _drawn(rng, ADD_S), server, "active"),
        ]
    return steps


def _degree(fault: Fault, server: str, rng: random.Random, end_s: float) -> list[Step]:
    bounds = fault.degree if fault.kind in DEGREES else fault.delay_ms
    degree, lasts_s = _drawn(rng, bounds), _drawn(rng, fault.lasts_s)
    return [
        _step(fault.at_s, "fault", server, kind=fault.kind, degree=degree),
        _step(fault.at_s + lasts_s, "fault", server, kind=fault.kind, degree=0.0),
    ]


def _stall(fault: Fault, server: str, rng: random.Random, end_s: float) -> list[Step]:
    steps, last_s = [], min(end_s, fault.at_s + _drawn(rng, fault.lasts_s))
    at_s = fault.at_s + rng.uniform(0.0, fault.every_s[1])
    while at_s < last_s:
        steps.append(_step(at_s, "stall", server, for_ms=_drawn(rng, fault.pause_ms)))
        at_s += rng.uniform(*fault.every_s)
    return steps


def _drain(fault: Fault, server: str, rng: random.Random, end_s: float) -> list[Step]:
    left_s = fault.at_s + _drawn(rng, fault.lasts_s)
    steps = [
        _listed(fault.at_s, server, "leaving"),
        _step(fault.at_s, "drain", server),
        _listed(left_s, server, "left"),
        _step(left_s, "die", server),
    ]
    if fault.away_s:
        back_s = left_s + fault.away_s
        steps += [_step(back_s, "start", server), _listed(back_s + _drawn(rng, ADD_S), server, "active")]
    return steps


def _registry(fault: Fault, rng: random.Random) -> list[Step]:
    end_s = fault.at_s + _drawn(rng, fault.lasts_s)
    if fault.kind == "registry_silence":
        return [
            _step(fault.at_s, "registry", "", silent=True),
            _step(end_s, "registry", "", silent=False),
        ]
    return [
        _step(fault.at_s, "registry", "", delay_ms=_drawn(rng, fault.delay_ms)),
        _step(end_s, "registry", "", delay_ms=0.0),
    ]


def _crash(fault: Fault, sidecar: str, rng: random.Random, end_s: float) -> list[Step]:
    back_s = fault.at_s + _drawn(rng, fault.lasts_s)
    return [_step(fault.at_s, "kill", sidecar), _step(back_s, "restart", sidecar)]


EXPAND: dict[str, Callable[[Fault, str, random.Random, float], list[Step]]] = {
    "die": _die,
    "vanish": _vanish,
    "stall": _stall,
    "drain": _drain,
    "sidecar_crash": _crash,
    **dict.fromkeys((*DEGREES, "slow_accept"), _degree),
}


# --- from TOML ----------------------------------------------------------------------------


@dataclass(slots=True)
class _Reader:
    """One text that is read; it knows where each field stands."""

    name: str
    text: str
    lines: list[str] = field(default_factory=list)

    def wrong(self, why: str, key: str = "", number: int = 0) -> ScheduleError:
        """An error at a field: `number` counts the faults from 1, 0 is what stands before them."""
        where = f"{self.name}:{self._line(key, number)}: "
        return ScheduleError(where + (f"{key}: " if key else "") + " ".join(why.split()))

    def _line(self, key: str, number: int) -> int:
        seen, header = 0, 1
        for line_number, line in enumerate(self.text.splitlines(), 1):
            if re.match(r"\s*\[\[\s*fault\s*\]\]", line):
                seen += 1
                header = line_number if seen == number else header
            elif key and seen == number and re.match(rf"\s*[\"']?{re.escape(key)}[\"']?\s*=", line):
                return line_number
        return header

    def parse(self) -> Schedule:
        """The schedule; `ScheduleError` if it is none."""
        try:
            raw = tomllib.loads(self.text)
        except tomllib.TOMLDecodeError as error:
            line = re.search(r"at line (\d+)", str(error))
            line_number = line.group(1) if line else str(len(self.text.splitlines()))
            raise ScheduleError(f"{self.name}:{line_number}: {' '.join(str(error).split())}") from error
        for key in raw:
            if key not in ("seed", "duration_s", "fault"):
                raise self.wrong("unknown", key)
        seed = raw.get("seed", 1)
        if not isinstance(seed, int) or isinstance(seed, bool):
            raise self.wrong("not a whole number", "seed")
        duration_s = self._figure(raw, "duration_s", 0)
        if not 0.0 < duration_s <= DURATION_MOST_S:
            raise self.wrong(f"{duration_s:g} is not from 0 to {DURATION_MOST_S:g}", "duration_s")
        rows = raw.get("fault", [])
        if not isinstance(rows, list) or not all(isinstance(row, dict) for row in rows):
            raise self.wrong("each stands under [[fault]]", "fault")
        faults = tuple(self._fault(row, number) for number, row in enumerate(rows, 1))
        try:
            return Schedule(duration_s, faults, seed)
        except ScheduleError as error:
            raise self.wrong(str(error)) from error

    def _fault(self, row: Mapping[str, Any], number: int) -> Fault:
        figures: dict[str, Any] = {}
        for key in row:
            figures[self._own_name(key, number)] = self._value(row, key, number)
        for key in ("kind", "at_s"):
            if key not in figures:
                raise self.wrong("is missing", key, number)
        made = Fault(**figures)
        if wrong := made.wrong():
            raise self.wrong(wrong[1], self._as_written(wrong[0], row), number)
        return made

    def _as_written(self, name: str, row: Mapping[str, Any]) -> str:
        if name == "share" and "share" not in row:
            return next((key for key in ("servers", "sidecars") if key in row), name)
        return name

    def _own_name(self, key: str, number: int) -> str:
        names = {"servers": "targets", "sidecars": "targets"}
        known = set(Fault.__dataclass_fields__) - {"targets"} | set(names)
        if key not in known:
            raise self.wrong("unknown", key, number)
        return names.get(key, key)

    def _value(self, row: Mapping[str, Any], key: str, number: int) -> Any:
        value = row[key]
        if key == "kind":
            if not isinstance(value, str):
                raise self.wrong("not a name", key, number)
            return value
        if key in ("servers", "sidecars"):
            if not isinstance(value, list) or not value or not all(isinstance(name, str) for name in value):
                raise self.wrong("not a list of names", key, number)
            return tuple(value)
        if key in ("at_s", "share", "away_s"):
            return self._figure(row, key, number)
        if isinstance(value, list):
            if len(value) != 2:
                raise self.wrong("not a figure or two bounds", key, number)
            return tuple(self._figure({key: part}, key, number) for part in value)
        figure = self._figure(row, key, number)
        return figure, figure

    def _figure(self, row: Mapping[str, Any], key: str, number: int) -> float:
        if key not in row:
            raise self.wrong("is missing", key, number)
        value = row[key]
        if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
            raise self.wrong("not a figure", key, number)
        return float(value)


def parse(text: str, name: str = "schedule") -> Schedule:
    """A schedule from TOML; `ScheduleError` says in one line where it is wrong."""
    return _Reader(name, text).parse()


def load(path: Path) -> Schedule:
    """A schedule from a file; `ScheduleError` says in one line where it is wrong."""
    try:
        return parse(path.read_text(encoding="utf-8"), str(path))
    except OSError as error:
        raise ScheduleError(f"{path}: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise ScheduleError(f"{path}: no UTF-8 at byte {error.start}") from error


def main(arguments: Sequence[str] | None = None) -> int:
    """Print the timeline of a file; the exit code."""
    made = argparse.ArgumentParser(prog="python -m rig.faults", description=__doc__)
    made.add_argument("file", type=Path)
    made.add_argument("--servers", type=int, default=33, help="named s0, s1 and on")
    made.add_argument("--sidecars", type=int, default=6, help="named n0, n1 and on")
    given = made.parse_args(arguments)
    servers = [f"s{number}" for number in range(given.servers)]
    sidecars = [f"n{number}" for number in range(given.sidecars)]
    try:
        print(load(given.file).timeline(servers, sidecars), end="")
    except ScheduleError as error:
        print(error, file=sys.stderr)
        return BAD_INPUT
    return SHOWN


if __name__ == "__main__":
    sys.exit(main())

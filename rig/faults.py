"""Fault schedules, from TOML or Python, which a seed expands into a timeline of steps.

    seed = 1
    duration_s = 30.0

    [[fault]]
    kind = "die"              # and restart cold
    at_s = 5.0
    lasts_s = [7.7, 21.0]     # a number, or two bounds between which it is drawn for each target
    share = 0.23              # of the servers; or servers = ["s3", "s7"]

The same schedule and seed give the same steps, byte for byte, whatever is under test. Bad input raises
`ScheduleError`, whose text is one line that names the file, the line and the field.
`python -m rig.faults FILE` prints the timeline; the exit code is 2 for an invalid schedule.
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

MAX_DURATION_S = 3600.0
MAX_FAULTS = 1000
MAX_STEPS = 100_000
SHOWN, BAD_INPUT = 0, 2

Bounds = tuple[float, float]

SERVER_KINDS = (
    "die",  # its process ends and later restarts cold
    "vanish",  # is unreachable; once it is back, it resets open connections
    "fail",  # fails a share of requests quickly
    "stall",  # pauses briefly every few seconds
    "drain",  # drains and then leaves
    "lose",  # loses a share of its answers
    "spoil",  # sends a share of its answers malformed
    "half_open",  # discards the input of a share of its connections
    "slow_accept",  # serves new connections with a delay
)
REGISTRY_KINDS = ("registry_delay", "registry_silence")
SIDECAR_KINDS = ("sidecar_crash",)
KINDS = (*SERVER_KINDS, *REGISTRY_KINDS, *SIDECAR_KINDS)
DEGREES = ("fail", "lose", "spoil", "half_open")  # kinds with a share of requests or connections

# Delay of a change of the registry list after the event, in seconds.
NOTICE_S: Bounds = (1.0, 4.5)  # the end of a process
SILENT_NOTICE_S: Bounds = (4.4, 12.0)  # a vanished machine
ADD_S: Bounds = (0.28, 1.6)  # a start


class ScheduleError(ValueError):
    """Raised for an invalid schedule; its text is one line."""


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault. Fields that its kind does not use keep their defaults.

    Attributes:
        lasts_s: Duration; for `drain` the time from the start of the drain until the server leaves.
        degree: Share of requests, answers or connections.
        pause_ms: Length of each pause.
        every_s: Time between pauses.
        delay_ms: Delay of an accepted connection, or of changes from the registry.
        away_s: Time for which a drained server stays away; 0 for good.
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
        """Return the first invalid field and the reason, or None."""
        if self.kind not in KINDS:
            return "kind", f"no kind {self.kind!r}; there are {', '.join(KINDS)}"
        if not 0.0 <= self.at_s <= MAX_DURATION_S:
            return "at_s", f"{self.at_s:g} is not from 0 to {MAX_DURATION_S:g}"
        if not 0.0 <= self.share <= 1.0:
            return "share", f"{self.share:g} is not from 0 to 1"
        if not 0.0 <= self.away_s <= MAX_DURATION_S:
            return "away_s", f"{self.away_s:g} is not from 0 to {MAX_DURATION_S:g}"
        if self.kind not in REGISTRY_KINDS and bool(self.share) == bool(self.targets):
            return "share", "either a share or names of targets"
        limits = {
            "lasts_s": (0.0, MAX_DURATION_S),
            "degree": (0.0, 1.0),
            "pause_ms": (0.0, 60_000.0),
            "every_s": (0.05, MAX_DURATION_S),
            "delay_ms": (0.0, 60_000.0),
        }
        for name, (least, most) in limits.items():
            low, high = getattr(self, name)
            if not least <= low <= high <= most:
                return name, f"{low:g} to {high:g} is not from {least:g} to {most:g}"
        return None


class Step(NamedTuple):
    """An action at a time.

    `what` is an act of `rig.portservers`, `list`, `registry`, `kill` or `restart`. `target` is a server, a
    sidecar or empty.
    """

    at_s: float
    what: str
    target: str
    figures: tuple[tuple[str, Any], ...] = ()

    def line(self) -> str:
        """Return its line in the timeline."""
        figures = " ".join(f"{name}={value}" for name, value in self.figures)
        return f"{self.at_s:8.3f} s  {self.what:<9} {self.target:<6} {figures}".rstrip()

    @property
    def options(self) -> dict[str, Any]:
        """Its options by name."""
        return dict(self.figures)


@dataclass(frozen=True, slots=True)
class Schedule:
    """Faults of a run."""

    duration_s: float
    faults: tuple[Fault, ...] = ()
    seed: int = 1

    def __post_init__(self) -> None:
        """Check the fields.

        Raises:
            ScheduleError: If a field is invalid.
        """
        if not 0.0 < self.duration_s <= MAX_DURATION_S:
            raise ScheduleError(f"duration_s: {self.duration_s:g} is not from 0 to {MAX_DURATION_S:g}")
        if len(self.faults) > MAX_FAULTS:
            raise ScheduleError(f"fault: {len(self.faults)} of them, {MAX_FAULTS} at most")
        for number, fault in enumerate(self.faults, 1):
            if wrong := fault.wrong():
                raise ScheduleError(f"fault {number}: {wrong[0]}: {wrong[1]}")

    def steps(self, servers: Sequence[str], sidecars: Sequence[str] = ()) -> list[Step]:
        """Return all steps within the duration in the order of time.

        Raises:
            ScheduleError: If a target is unknown or there are too many steps.
        """
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
        if len(made) > MAX_STEPS:
            raise ScheduleError(f"fault: {len(made)} steps, {MAX_STEPS} at most")
        return sorted(made, key=lambda step: (step.at_s, step.target, step.what))

    def timeline(self, servers: Sequence[str], sidecars: Sequence[str] = ()) -> str:
        """Return the steps as text, one per line; the same seed gives the same bytes."""
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
    """Parser of a schedule that finds the line of each field for errors."""

    name: str
    text: str
    lines: list[str] = field(default_factory=list)

    def wrong(self, why: str, key: str = "", number: int = 0) -> ScheduleError:
        """Return an error at a field of fault `number`, from 1 on; 0 is for fields before the faults."""
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
        """Return the schedule.

        Raises:
            ScheduleError: If the text is invalid.
        """
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
        if not 0.0 < duration_s <= MAX_DURATION_S:
            raise self.wrong(f"{duration_s:g} is not from 0 to {MAX_DURATION_S:g}", "duration_s")
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
    """Parse a schedule from TOML.

    Raises:
        ScheduleError: If it is invalid; the text names the place in one line.
    """
    return _Reader(name, text).parse()


def load(path: Path) -> Schedule:
    """Read a schedule from a file.

    Raises:
        ScheduleError: If it is unreadable or invalid; the text names the place in one line.
    """
    try:
        return parse(path.read_text(encoding="utf-8"), str(path))
    except OSError as error:
        raise ScheduleError(f"{path}: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise ScheduleError(f"{path}: invalid UTF-8 at byte {error.start}") from error


def main(arguments: Sequence[str] | None = None) -> int:
    """Print the timeline of a file; return the exit code."""
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

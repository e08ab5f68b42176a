"""Reads what the users' bench has printed, and lists lines that tell of trouble, on days that passed, too.

    python -m rig.system.read_reports FILE ...

Broken rules, failed gates, processes that were killed at the end of their grace, failed look-ups, processes
that ended by themselves, requests cut or not served: each with its day. What is listed is traced, or stands
as open in `docs/system-test.md`. The exit code is 1 where a rule was broken.
"""

from __future__ import annotations

import re
import sys
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

BROKEN = "broken"


@dataclass(frozen=True, slots=True)
class Remark:
    """A line worth tracing."""

    kind: str
    day: str
    text: str


KINDS = {
    BROKEN: re.compile(r"BROKEN: .*|^rules broken: .*"),
    "gate": re.compile(r"GATE failed.*|gate failed.*"),
    "killed at the end of grace": re.compile(
        r"\d+ process(es)? (was|were) still there at the end of the grace.*"
    ),
    "look-ups": re.compile(r"\d+ of \d+ look-ups at the directory failed"),
    "own ends": re.compile(r"\b[1-9][\d.]* exits of its own"),
    "fault": re.compile(r"\bfault: .*|gave up.*|is given up.*"),
    "not served": re.compile(r"^not served, last try '(?:no answer|closed without an answer|cut[^']*)': \d+"),
    "duties": re.compile(r"\b[1-9][\d.]* duties missed"),
    "untried": re.compile(r"\b[1-9][\d.]* worth (?:held to the end|failed untried|broken off midway).*"),
}
DAY = re.compile(r"^(?P<name>\S.*?)\s{2,}\d+/\d+\s+-?\d\.\d+")


def remarks(lines: Iterable[str]) -> list[Remark]:
    """What stands in a report; `day` is the last one that was named before."""
    found, day = [], ""
    for line in lines:
        named = DAY.match(line)
        day = named.group("name") if named else day
        for kind, form in KINDS.items():
            told = form.search(line)
            if told:
                found.append(Remark(kind, day, told.group().strip()))
    return found


def main(files: list[str]) -> int:
    """List the remarks of some files; the exit code."""
    broken = False
    for file in files:
        try:
            lines = Path(file).read_text(errors="replace").splitlines()
        except OSError as error:
            print(f"read_reports: {error}", file=sys.stderr)
            return 2
        for remark in remarks(lines):
            broken |= remark.kind == BROKEN
            print(f"{Path(file).name}: {remark.day or '(all days)'}: {remark.kind}: {remark.text}")
    return int(broken)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

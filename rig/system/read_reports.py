"""Reads reports that the users' bench has printed, and lists the lines that indicate trouble.

    python -m rig.system.read_reports FILE ...

Lists broken rules, failed gates, processes that were killed at the end of their grace time, failed lookups,
processes that exited by themselves, and requests that were cut or not served, each with its day, also on days
that passed. The cause of each listed line is traced, or the line stands as open in `docs/system-test.md`. The
exit code is 1 if a rule was broken.
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
    """A line of a report that indicates trouble, and the day that it belongs to."""

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


def find_remarks(lines: Iterable[str]) -> list[Remark]:
    """Find the remarks in the lines of a report. Each belongs to the last day named before it."""
    result, day = [], ""
    for line in lines:
        day_line = DAY.match(line)
        day = day_line.group("name") if day_line else day
        for kind, pattern in KINDS.items():
            match = pattern.search(line)
            if match:
                result.append(Remark(kind, day, match.group().strip()))
    return result


def main(files: list[str]) -> int:
    """Print the remarks of some files.

    Returns:
        The exit code: 0, 1 if a rule was broken, or 2 if a file cannot be read.
    """
    broken = False
    for file in files:
        try:
            lines = Path(file).read_text(errors="replace").splitlines()
        except OSError as error:
            print(f"read_reports: {error}", file=sys.stderr)
            return 2
        for remark in find_remarks(lines):
            broken |= remark.kind == BROKEN
            print(f"{Path(file).name}: {remark.day or '(all days)'}: {remark.kind}: {remark.text}")
    return int(broken)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

"""Traces: one request a line, read and written as a stream; `.gz` is compressed.

The format is told in docs/operate/load.md. A reader names what is wrong by file, line and field. `inspect`
reads a whole file before anything is sent; what `replay` then reads once more was good then.
"""

from __future__ import annotations

import gzip
import math
import re
import zlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import IO

from fordtrestle.load.arrivals import US
from fordtrestle.load.errors import TraceError
from fordtrestle.load.mix import SIZE_MOST, Request

VERSION = 1
HEAD = f"#fordtrestle-trace {VERSION}"
END = "#end"
NONE = "-"
LINE_MOST = 512  # bytes; guards against a file of another kind that has no lines
NAMES_MOST = 64  # classes, and tenants; each has statistics of its own
OFFSET_MOST_US = 7 * 24 * 3600 * US
BUDGET_MOST_US = 60 * US
WORD = re.compile(r"[A-Za-z0-9_][A-Za-z0-9_-]{0,63}")
NUMBER = re.compile(r"[0-9]{1,15}")
FIELDS = ("offset_us", "class", "tenant", "key", "budget_us", "size")


@dataclass(slots=True)
class Summary:
    """What a whole trace holds."""

    requests: int = 0
    length_us: int = 0
    kinds: dict[str, int] = field(default_factory=dict)
    tenants: dict[str, int] = field(default_factory=dict)
    most_in_a_second: int = 0
    budget_most_us: int = 0


@dataclass(frozen=True, slots=True)
class Cut:
    """Which part of a trace is replayed, how fast, and how often; times are the trace's own."""

    from_us: int = 0
    to_us: int | None = None
    speed: float = 1.0
    loop: int = 1

    def __post_init__(self) -> None:
        if not (0.0 < self.speed < math.inf and self.loop >= 1 and self.from_us >= 0):
            raise ValueError("a speed above 0, a loop of 1 at least, a begin from 0")
        if self.to_us is not None and self.to_us <= self.from_us:
            raise ValueError("a cut ends after it begins")


def _open(path: Path, mode: str) -> IO[bytes]:
    if path.suffix == ".gz":
        # No name and no time in it: the same requests are the same bytes.
        return gzip.GzipFile("", mode, 6, path.open(mode), 0)  # type: ignore[return-value]
    return path.open(mode)


class Writer:
    """A trace that is being written; it is whole once it is closed. Raises `OSError`."""

    def __init__(self, path: Path) -> None:
        self._file = _open(path, "wb")
        self._raw = getattr(self._file, "fileobj", None)
        self.count = 0
        self.bytes = 0  # of lines, before any compression
        self._last_us = 0
        self._put(f"{HEAD}\n")

    def add(self, request: Request) -> None:
        """The next request; `ValueError` if the format has no place for it, or it is out of order."""
        if request.at_us < self._last_us:
            raise ValueError(f"request {self.count + 1} is meant for before the one ahead of it")
        self._put(line(request))
        self.count, self._last_us = self.count + 1, request.at_us

    def close(self, length_us: int = 0) -> None:
        """The end of it; it lasts so long, or up to its last request."""
        try:
            self._put(f"{END} {self.count} {max(self._last_us, length_us)}\n")
        finally:
            self.drop()

    def drop(self) -> None:
        """Close the file as it is: what is not whole is refused by every reader."""
        self._file.close()
        if self._raw is not None:
            self._raw.close()  # GzipFile leaves what it was given open

    def _put(self, text: str) -> None:
        self._file.write(text.encode())
        self.bytes += len(text)


def write(path: Path, requests: Iterable[Request], length_us: int | None = None) -> int:
    """Write a trace and return its number of requests.

    `length_us`: how long it lasts; without it, up to its last request. Raises `OSError`, and `ValueError`
    for a request that the format has no place for, or one out of order.
    """
    writer = Writer(path)
    try:
        for request in requests:
            writer.add(request)
    except BaseException:
        writer.drop()
        raise
    writer.close(length_us or 0)
    return writer.count


def line(request: Request) -> str:
    """A request as its line; `ValueError` where it has none."""
    text = f"{request.at_us} {request.kind} {request.tenant or NONE} {request.key or NONE} "
    text += f"{request.budget_us} {request.size}\n"
    parse(text.rstrip("\n"))
    return text


def parse(text: str) -> Request:
    """A line without its end; `ValueError` names the field that is wrong."""
    words = text.split(" ")
    if len(words) != len(FIELDS):
        raise ValueError(f"{len(words)} fields, not {len(FIELDS)}")
    at_us = _number(words[0], 0, 0, OFFSET_MOST_US)
    for place in (1, 2, 3):
        if WORD.fullmatch(words[place]) is None and (place == 1 or words[place] != NONE):
            raise ValueError(f"{FIELDS[place]}: {words[place][:40]!r} is no plain word")
    budget_us = _number(words[4], 4, 1, BUDGET_MOST_US)
    size = _number(words[5], 5, 0, SIZE_MOST)
    tenant, key = ("" if word == NONE else word for word in words[2:4])
    return Request(at_us, words[1], tenant, key, budget_us, size)


def _number(word: str, place: int, low: int, high: int) -> int:
    if NUMBER.fullmatch(word) is None:
        raise ValueError(f"{FIELDS[place]}: {word[:40]!r} is no whole number")
    value = int(word)
    if not low <= value <= high:
        raise ValueError(f"{FIELDS[place]}: {value} is not within {low} to {high}")
    return value


class Reader:
    """The requests of a file, one by one; once all have been given, `length_us` tells how long it lasts."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._number = 0
        self.length_us = 0

    def __iter__(self) -> Iterator[Request]:
        """Raises `TraceError` at what is wrong, also where the file can't be read."""
        try:
            file = _open(self._path, "rb")
        except OSError as error:
            raise TraceError(f"{self._path}: {error.strerror}") from error
        raw = getattr(file, "fileobj", None)
        try:
            yield from self._requests(file)
        except (OSError, EOFError, zlib.error) as error:
            raise self.wrong(f"can't be read: {error}") from error
        finally:
            file.close()
            if raw is not None:
                raw.close()

    def wrong(self, reason: str) -> TraceError:
        """An error that names the line at hand."""
        return TraceError(f"{self._path}:{self._number}: {reason}")

    def _requests(self, file: IO[bytes]) -> Iterator[Request]:
        head = self._line(file)
        if head != HEAD:
            raise self.wrong(f"expected {HEAD!r}, not {head[:40]!r}")
        count, last = 0, 0
        while not (text := self._line(file)).startswith("#"):
            try:
                request = parse(text)
            except ValueError as error:
                raise self.wrong(str(error)) from None
            if request.at_us < last:
                raise self.wrong(f"offset_us: the clock goes back from {last} to {request.at_us}")
            count, last = count + 1, request.at_us
            yield request
        self._end(text, count, last)
        if file.read(1):
            self._number += 1
            raise self.wrong(f"a line after {END!r}")

    def _end(self, text: str, count: int, last: int) -> None:
        words = text.split(" ")
        if len(words) != 3 or words[0] != END or not all(NUMBER.fullmatch(word) for word in words[1:]):
            raise self.wrong(f"expected '{END} REQUESTS LENGTH_US', not {text[:40]!r}")
        if int(words[1]) != count:
            raise self.wrong(f"requests: {count} lines, but {words[1]} were written")
        if not last <= int(words[2]) <= OFFSET_MOST_US:
            raise self.wrong(f"length_us: {words[2]} is not within {last} to {OFFSET_MOST_US}")
        self.length_us = int(words[2])

    def _line(self, file: IO[bytes]) -> str:
        self._number += 1
        read = file.readline(LINE_MOST)
        if not read.endswith(b"\n"):
            cut = (
                f"longer than {LINE_MOST} bytes" if len(read) == LINE_MOST else "the file ends amid its lines"
            )
            raise self.wrong(cut)
        try:
            return read[:-1].decode("ascii")
        except UnicodeDecodeError:
            raise self.wrong("not ASCII") from None


def inspect(path: Path) -> Summary:
    """Read the whole of a file; `TraceError` at the first thing that is wrong with it."""
    summary = Summary()
    reader = Reader(path)
    second, in_second = 0, 0
    for request in reader:
        summary.requests += 1
        for names, name, what in (
            (summary.kinds, request.kind, "class"),
            (summary.tenants, request.tenant, "tenant"),
        ):
            names[name] = names.get(name, 0) + 1
            if len(names) > NAMES_MOST:
                raise reader.wrong(f"{what}: more than {NAMES_MOST} different ones")
        in_second = in_second + 1 if request.at_us // US == second else 1
        second = request.at_us // US
        summary.budget_most_us = max(summary.budget_most_us, request.budget_us)
        summary.most_in_a_second = max(summary.most_in_a_second, in_second)
    summary.length_us = reader.length_us
    return summary


def replay(path: Path, cut: Cut, length_us: int) -> Iterator[Request]:
    """The requests of a file of this length, cut, sped up and looped; their times begin at 0."""
    to_us = length_us if cut.to_us is None else min(cut.to_us, length_us)
    lap_us = (to_us - cut.from_us) / cut.speed
    for lap in range(cut.loop):
        for request in Reader(path):
            if cut.to_us is not None and request.at_us >= cut.to_us:
                break
            if request.at_us >= cut.from_us:
                at_us = lap * lap_us + (request.at_us - cut.from_us) / cut.speed
                yield request._replace(at_us=int(at_us))

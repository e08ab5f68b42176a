"""Traces: one request a line, read and written as a stream; `.gz` is compressed.

The format is described in docs/operate/load.md. A reader names what is wrong by file, line and field.
`inspect` reads a complete file before anything is sent; `replay` then reads it once more.
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

from fordtrestle.load.arrivals import US_PER_S
from fordtrestle.load.errors import TraceError
from fordtrestle.load.mix import MAX_BODY_BYTES, Request

VERSION = 1
HEADER = f"#fordtrestle-trace {VERSION}"
END_MARKER = "#end"
ABSENT = "-"  # in place of a tenant or key
MAX_LINE_BYTES = 512  # so that a file of another kind, without lines, is not read into memory
MAX_NAMES = 64  # of classes, and of tenants, since each has statistics of its own
MAX_OFFSET_US = 7 * 24 * 3600 * US_PER_S
MAX_BUDGET_US = 60 * US_PER_S
COMPRESSION_LEVEL = 6  # zlib's default; another level would change the bytes of the same requests
NAME = re.compile(r"[A-Za-z0-9_][A-Za-z0-9_-]{0,63}")
NUMBER = re.compile(r"[0-9]{1,15}")
FIELDS = ("offset_us", "class", "tenant", "key", "budget_us", "size")


@dataclass(slots=True)
class TraceSummary:
    """What a complete trace holds.

    Attributes:
        requests: Their number.
        length_us: How long it lasts, in microseconds.
        classes: The number of requests by class.
        tenants: The number of requests by tenant; an empty name: none.
        max_requests_per_second: The most in any second, counted from the start.
        max_budget_us: The longest budget, in microseconds.
    """

    requests: int = 0
    length_us: int = 0
    classes: dict[str, int] = field(default_factory=dict)
    tenants: dict[str, int] = field(default_factory=dict)
    max_requests_per_second: int = 0
    max_budget_us: int = 0


@dataclass(frozen=True, slots=True)
class ReplayRange:
    """Which part of a trace is replayed, how fast, and how often.

    Attributes:
        from_us: The first offset of the trace that is replayed, in microseconds.
        to_us: The offset before which the part ends; None: the end of the trace.
        speed: How many times faster than it was recorded.
        loop: How often the part is replayed.

    Raises:
        ValueError: One of them is out of range.
    """

    from_us: int = 0
    to_us: int | None = None
    speed: float = 1.0
    loop: int = 1

    def __post_init__(self) -> None:
        if not (0.0 < self.speed < math.inf and self.loop >= 1 and self.from_us >= 0):
            raise ValueError("a speed above 0, a loop of 1 at least, a begin from 0")
        if self.to_us is not None and self.to_us <= self.from_us:
            raise ValueError("a cut ends after it begins")


class _TraceFile:
    """A file of a trace, compressed where its name ends with `.gz`."""

    def __init__(self, path: Path, mode: str) -> None:
        """Open the file in binary mode; `OSError` where it can't be."""
        self._raw = path.open(mode)
        self.data: IO[bytes] = self._raw
        if path.suffix == ".gz":
            # Without a name and a time in it the same requests are the same bytes.
            self.data = gzip.GzipFile("", mode, COMPRESSION_LEVEL, self._raw, 0)  # type: ignore[assignment]

    def close(self) -> None:
        """Close the file; `GzipFile` leaves open what it was given."""
        self.data.close()
        self._raw.close()


class TraceWriter:
    """Writes a trace, which is complete once `close` has returned.

    Attributes:
        count: Requests written.
        bytes: Bytes of lines, before any compression.
    """

    def __init__(self, path: Path) -> None:
        """Create the file; `OSError` where it can't be."""
        self._file = _TraceFile(path, "wb")
        self.count = 0
        self.bytes = 0
        self._last_us = 0
        self._write(f"{HEADER}\n")

    def add(self, request: Request) -> None:
        """Write the next request.

        Raises:
            ValueError: The format can't hold it, or it is due before the one ahead of it.
            OSError: It can't be written.
        """
        if request.at_us < self._last_us:
            raise ValueError(f"request {self.count + 1} is meant for before the one ahead of it")
        self._write(encode_line(request))
        self.count, self._last_us = self.count + 1, request.at_us

    def close(self, length_us: int = 0) -> None:
        """Write the end and close the file.

        Args:
            length_us: How long the trace lasts; at least up to its last request.

        Raises:
            OSError: It can't be written; the file is closed and not complete.
        """
        try:
            self._write(f"{END_MARKER} {self.count} {max(self._last_us, length_us)}\n")
        finally:
            self.abort()

    def abort(self) -> None:
        """Close the file as it is; readers reject it, since it has no end."""
        self._file.close()

    def _write(self, text: str) -> None:
        self._file.data.write(text.encode())
        self.bytes += len(text)


def write(path: Path, requests: Iterable[Request], length_us: int | None = None) -> int:
    """Write a trace.

    Args:
        path: The file.
        requests: The requests in order of time.
        length_us: How long the trace lasts; None: up to its last request.

    Returns:
        The number of requests.

    Raises:
        ValueError: The format can't hold a request, or one is out of order.
        OSError: The file can't be written.
    """
    writer = TraceWriter(path)
    try:
        for request in requests:
            writer.add(request)
    except BaseException:
        writer.abort()
        raise
    writer.close(length_us or 0)
    return writer.count


def encode_line(request: Request) -> str:
    """A request as its line, with the newline; `ValueError` where the format can't hold it."""
    text = f"{request.at_us} {request.class_name} {request.tenant or ABSENT} {request.key or ABSENT} "
    text += f"{request.budget_us} {request.size}\n"
    parse_line(text.rstrip("\n"))
    return text


def parse_line(text: str) -> Request:
    """The request of a line without its newline; `ValueError` names the field that is wrong."""
    words = text.split(" ")
    if len(words) != len(FIELDS):
        raise ValueError(f"{len(words)} fields, not {len(FIELDS)}")
    offset, class_name, tenant, key, budget, size = words
    at_us = _parse_number("offset_us", offset, 0, MAX_OFFSET_US)
    if NAME.fullmatch(class_name) is None:
        raise _name_error("class", class_name)
    tenant = _parse_optional_name("tenant", tenant)
    key = _parse_optional_name("key", key)
    budget_us = _parse_number("budget_us", budget, 1, MAX_BUDGET_US)
    return Request(at_us, class_name, tenant, key, budget_us, _parse_number("size", size, 0, MAX_BODY_BYTES))


def _parse_optional_name(name: str, word: str) -> str:
    """The name that a field holds, empty where it is absent."""
    if word == ABSENT:
        return ""
    if NAME.fullmatch(word) is None:
        raise _name_error(name, word)
    return word


def _name_error(name: str, word: str) -> ValueError:
    return ValueError(f"{name}: {word[:40]!r} is no plain word")


def _parse_number(name: str, word: str, low: int, high: int) -> int:
    """The whole number within `low` to `high` that a field holds."""
    if NUMBER.fullmatch(word) is None:
        raise ValueError(f"{name}: {word[:40]!r} is no whole number")
    value = int(word)
    if not low <= value <= high:
        raise ValueError(f"{name}: {value} is not within {low} to {high}")
    return value


class TraceReader:
    """Iterates over the requests of a file.

    Attributes:
        length_us: How long the trace lasts, in microseconds; known once all requests have been read.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._line_number = 0
        self.length_us = 0

    def __iter__(self) -> Iterator[Request]:
        """The requests in order of time.

        Raises:
            TraceError: The file can't be read, or is no complete trace.
        """
        try:
            file = _TraceFile(self._path, "rb")
        except OSError as error:
            raise TraceError(f"{self._path}: {error.strerror}") from error
        try:
            yield from self._requests(file.data)
        except (OSError, EOFError, zlib.error) as error:
            raise self.error(f"can't be read: {error}") from error
        finally:
            file.close()

    def error(self, reason: str) -> TraceError:
        """An error that names the line that was read last."""
        return TraceError(f"{self._path}:{self._line_number}: {reason}")

    def _requests(self, file: IO[bytes]) -> Iterator[Request]:
        header = self._read_line(file)
        if header != HEADER:
            raise self.error(f"expected {HEADER!r}, not {header[:40]!r}")
        count, last_us = 0, 0
        while not (text := self._read_line(file)).startswith("#"):
            try:
                request = parse_line(text)
            except ValueError as error:
                raise self.error(str(error)) from None
            if request.at_us < last_us:
                raise self.error(f"offset_us: the clock goes back from {last_us} to {request.at_us}")
            count, last_us = count + 1, request.at_us
            yield request
        self._parse_end(text, count, last_us)
        if file.read(1):
            self._line_number += 1
            raise self.error(f"a line after {END_MARKER!r}")

    def _parse_end(self, text: str, count: int, last_us: int) -> None:
        """Take the length from the last line, which must agree with the requests before it."""
        words = text.split(" ")
        is_end = len(words) == 3 and words[0] == END_MARKER
        if not is_end or not all(NUMBER.fullmatch(word) for word in words[1:]):
            raise self.error(f"expected '{END_MARKER} REQUESTS LENGTH_US', not {text[:40]!r}")
        if int(words[1]) != count:
            raise self.error(f"requests: {count} lines, but {words[1]} were written")
        if not last_us <= int(words[2]) <= MAX_OFFSET_US:
            raise self.error(f"length_us: {words[2]} is not within {last_us} to {MAX_OFFSET_US}")
        self.length_us = int(words[2])

    def _read_line(self, file: IO[bytes]) -> str:
        """The next line without its newline."""
        self._line_number += 1
        data = file.readline(MAX_LINE_BYTES)
        if not data.endswith(b"\n"):
            if len(data) == MAX_LINE_BYTES:
                raise self.error(f"longer than {MAX_LINE_BYTES} bytes")
            raise self.error("the file ends amid its lines")
        try:
            return data[:-1].decode("ascii")
        except UnicodeDecodeError:
            raise self.error("not ASCII") from None


def inspect(path: Path) -> TraceSummary:
    """Read a complete file and return what it holds; `TraceError` at the first thing that is wrong."""
    summary = TraceSummary()
    reader = TraceReader(path)
    second, count_in_second = 0, 0  # requests are in order of time
    for request in reader:
        summary.requests += 1
        _count_name(reader, summary.classes, "class", request.class_name)
        _count_name(reader, summary.tenants, "tenant", request.tenant)
        second_before, second = second, request.at_us // US_PER_S
        count_in_second = count_in_second + 1 if second == second_before else 1
        summary.max_requests_per_second = max(summary.max_requests_per_second, count_in_second)
        summary.max_budget_us = max(summary.max_budget_us, request.budget_us)
    summary.length_us = reader.length_us
    return summary


def _count_name(reader: TraceReader, counts: dict[str, int], what: str, name: str) -> None:
    """Count one more request of a class or tenant; `TraceError` where there are too many of them."""
    counts[name] = counts.get(name, 0) + 1
    if len(counts) > MAX_NAMES:
        raise reader.error(f"{what}: more than {MAX_NAMES} different ones")


def replay(path: Path, part: ReplayRange, length_us: int) -> Iterator[Request]:
    """The requests of a part of a trace, with times that begin at 0.

    Args:
        path: The file.
        part: What is replayed, how fast and how often.
        length_us: How long the trace lasts, in microseconds (`TraceSummary.length_us`).

    Raises:
        TraceError: The file can't be read, or is no complete trace.
    """
    to_us = length_us if part.to_us is None else min(part.to_us, length_us)
    lap_us = (to_us - part.from_us) / part.speed
    for lap in range(part.loop):
        for request in TraceReader(path):
            if part.to_us is not None and request.at_us >= part.to_us:
                break
            if request.at_us >= part.from_us:
                at_us = lap * lap_us + (request.at_us - part.from_us) / part.speed
                yield request._replace(at_us=int(at_us))

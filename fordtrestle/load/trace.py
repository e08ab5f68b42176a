"""Reads and writes traces as streams: one request per line, compressed if the file name ends with `.gz`.

docs/operate/load.md describes the format. Errors name the file, the line and the field. `inspect` reads a
complete file before anything is sent; `replay` then reads it again.
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
ABSENT = "-"  # stands for no tenant or no key
MAX_LINE_BYTES = 512  # so that a file without lines, such as a binary one, is not read into memory
MAX_NAMES = 64  # classes, or tenants; each has statistics of its own
MAX_OFFSET_US = 7 * 24 * 3600 * US_PER_S
MAX_BUDGET_US = 60 * US_PER_S
COMPRESSION_LEVEL = 6  # the default of zlib; another level would give other bytes for the same requests
NAME = re.compile(r"[A-Za-z0-9_][A-Za-z0-9_-]{0,63}")
NUMBER = re.compile(r"[0-9]{1,15}")
FIELDS = ("offset_us", "class", "tenant", "key", "budget_us", "size")


@dataclass(slots=True)
class TraceSummary:
    """Summary of a complete trace.

    Attributes:
        requests: The number of requests.
        length_us: The duration of the trace, in microseconds.
        classes: The number of requests by class.
        tenants: The number of requests by tenant; the empty name stands for no tenant.
        max_requests_per_second: The most requests in a second; seconds are counted from the start.
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
    """The part of a trace to replay, how fast, and how many times.

    Attributes:
        from_us: The first offset of the trace that is replayed, in microseconds.
        to_us: The offset before which the part ends; None for the end of the trace.
        speed: The factor by which the replay is faster than the recording.
        loop: How many times the part is replayed.

    Raises:
        ValueError: An attribute is out of range.
    """

    from_us: int = 0
    to_us: int | None = None
    speed: float = 1.0
    loop: int = 1

    def __post_init__(self) -> None:
        if not (0.0 < self.speed < math.inf and self.loop >= 1 and self.from_us >= 0):
            raise ValueError(
                "expected a finite speed above 0, a loop of at least 1, and a start of at least 0"
            )
        if self.to_us is not None and self.to_us <= self.from_us:
            raise ValueError("expected a range that ends after its start")


class _TraceFile:
    """The file of a trace, which is compressed if its name ends with `.gz`."""

    def __init__(self, path: Path, mode: str) -> None:
        """Open the file in a binary mode; `OSError` if that fails."""
        self._raw = path.open(mode)
        self.data: IO[bytes] = self._raw
        if path.suffix == ".gz":
            # No file name or time is stored, so that the same requests give the same bytes.
            self.data = gzip.GzipFile("", mode, COMPRESSION_LEVEL, self._raw, 0)  # type: ignore[assignment]

    def close(self) -> None:
        """Close the file; `GzipFile` does not close the file that it is given."""
        self.data.close()
        self._raw.close()


class TraceWriter:
    """Writes a trace, which is complete once `close` has returned.

    Attributes:
        count: The number of requests written.
        bytes: The number of bytes written, before compression.
    """

    def __init__(self, path: Path) -> None:
        """Create the file; `OSError` if that fails."""
        self._file = _TraceFile(path, "wb")
        self.count = 0
        self.bytes = 0
        self._last_us = 0
        self._write(f"{HEADER}\n")

    def add(self, request: Request) -> None:
        """Write the next request.

        Raises:
            ValueError: The format can't represent the request, or it is due before the previous one.
            OSError: The file can't be written.
        """
        if request.at_us < self._last_us:
            raise ValueError(f"request {self.count + 1} is due before the previous one")
        self._write(encode_line(request))
        self.count, self._last_us = self.count + 1, request.at_us

    def close(self, length_us: int = 0) -> None:
        """Write the end marker and close the file.

        Args:
            length_us: The duration of the trace; extended to its last request if that is later.

        Raises:
            OSError: The file can't be written; it is closed and not complete.
        """
        try:
            self._write(f"{END_MARKER} {self.count} {max(self._last_us, length_us)}\n")
        finally:
            self.abort()

    def abort(self) -> None:
        """Close the file without an end marker; readers reject such a file."""
        self._file.close()

    def _write(self, text: str) -> None:
        self._file.data.write(text.encode())
        self.bytes += len(text)


def write(path: Path, requests: Iterable[Request], length_us: int | None = None) -> int:
    """Write a trace.

    Args:
        path: The file.
        requests: The requests in order of time.
        length_us: The duration of the trace; None for the time of its last request.

    Returns:
        The number of requests.

    Raises:
        ValueError: The format can't represent a request, or one is out of order.
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
    """Return the line of a request, with a newline; `ValueError` if the format can't represent it."""
    text = f"{request.at_us} {request.class_name} {request.tenant or ABSENT} {request.key or ABSENT} "
    text += f"{request.budget_us} {request.size}\n"
    parse_line(text.rstrip("\n"))
    return text


def parse_line(text: str) -> Request:
    """Parse a line without its newline; `ValueError` names the invalid field."""
    words = text.split(" ")
    if len(words) != len(FIELDS):
        raise ValueError(f"expected {len(FIELDS)} fields, not {len(words)}")
    offset, class_name, tenant, key, budget, size = words
    at_us = _parse_number("offset_us", offset, 0, MAX_OFFSET_US)
    if NAME.fullmatch(class_name) is None:
        raise _name_error("class", class_name)
    tenant = _parse_optional_name("tenant", tenant)
    key = _parse_optional_name("key", key)
    budget_us = _parse_number("budget_us", budget, 1, MAX_BUDGET_US)
    return Request(at_us, class_name, tenant, key, budget_us, _parse_number("size", size, 0, MAX_BODY_BYTES))


def _parse_optional_name(name: str, word: str) -> str:
    """Return the name in a field; empty if it is absent."""
    if word == ABSENT:
        return ""
    if NAME.fullmatch(word) is None:
        raise _name_error(name, word)
    return word


def _name_error(name: str, word: str) -> ValueError:
    return ValueError(f"{name}: {word[:40]!r} is not a name (up to 64 letters, digits, _ and -, not - first)")


def _parse_number(name: str, word: str, low: int, high: int) -> int:
    """Return the integer in a field, which must be from `low` to `high`."""
    if NUMBER.fullmatch(word) is None:
        raise ValueError(f"{name}: {word[:40]!r} is no whole number")
    value = int(word)
    if not low <= value <= high:
        raise ValueError(f"{name}: {value} is not within {low} to {high}")
    return value


class TraceReader:
    """Iterates over the requests of a trace file.

    Attributes:
        length_us: The duration of the trace, in microseconds; 0 until all requests have been read.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._line_number = 0
        self.length_us = 0

    def __iter__(self) -> Iterator[Request]:
        """Generate the requests in order of time.

        Raises:
            TraceError: The file can't be read, or is not a complete trace.
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
        """Return an error that names the line that was read last."""
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
                raise self.error(
                    f"offset_us: expected at least {last_us} as in the line before, not {request.at_us}"
                )
            count, last_us = count + 1, request.at_us
            yield request
        self._parse_end(text, count, last_us)
        if file.read(1):
            self._line_number += 1
            raise self.error(f"expected no line after {END_MARKER!r}")

    def _parse_end(self, text: str, count: int, last_us: int) -> None:
        """Store the length from the last line, which must match the requests before it."""
        words = text.split(" ")
        is_end = len(words) == 3 and words[0] == END_MARKER
        if not is_end or not all(NUMBER.fullmatch(word) for word in words[1:]):
            raise self.error(f"expected '{END_MARKER} REQUESTS LENGTH_US', not {text[:40]!r}")
        if int(words[1]) != count:
            raise self.error(f"requests: the file has {count}, but its last line says {words[1]}")
        if not last_us <= int(words[2]) <= MAX_OFFSET_US:
            raise self.error(f"length_us: {words[2]} is not within {last_us} to {MAX_OFFSET_US}")
        self.length_us = int(words[2])

    def _read_line(self, file: IO[bytes]) -> str:
        """Read the next line and return it without its newline."""
        self._line_number += 1
        data = file.readline(MAX_LINE_BYTES)
        if not data.endswith(b"\n"):
            if len(data) == MAX_LINE_BYTES:
                raise self.error(f"the line is longer than {MAX_LINE_BYTES} bytes")
            raise self.error("the file is truncated")
        try:
            return data[:-1].decode("ascii")
        except UnicodeDecodeError:
            raise self.error("not ASCII") from None


def inspect(path: Path) -> TraceSummary:
    """Read a complete trace and return its summary; `TraceError` at the first error."""
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


def _count_name(reader: TraceReader, counts: dict[str, int], field_name: str, name: str) -> None:
    """Count a request of a class or tenant; `TraceError` if there are too many different ones."""
    counts[name] = counts.get(name, 0) + 1
    if len(counts) > MAX_NAMES:
        raise reader.error(f"{field_name}: more than {MAX_NAMES} different names")


def replay(path: Path, replay_range: ReplayRange, length_us: int) -> Iterator[Request]:
    """Generate the requests of a part of a trace, with send times that begin at 0.

    Args:
        path: The file.
        replay_range: The part to replay, how fast, and how many times.
        length_us: The duration of the trace, in microseconds (`TraceSummary.length_us`).

    Raises:
        TraceError: The file can't be read, or is not a complete trace.
    """
    to_us = length_us if replay_range.to_us is None else min(replay_range.to_us, length_us)
    repetition_us = (to_us - replay_range.from_us) / replay_range.speed
    for repetition in range(replay_range.loop):
        for request in TraceReader(path):
            if replay_range.to_us is not None and request.at_us >= replay_range.to_us:
                break
            if request.at_us >= replay_range.from_us:
                at_us = (
                    repetition * repetition_us + (request.at_us - replay_range.from_us) / replay_range.speed
                )
                yield request._replace(at_us=int(at_us))

"""What nodes did, as events on one clock: written by each node, merged, and read back. Pure but for `Writer`.

An event is a line of JSON. A node tells which rule it *acted* on, not what it knew: a pick, a retry, a repeat
or a refusal, with the version that it stood on. Events of a node carry a running number, so that a gap shows.
"""

from __future__ import annotations

import heapq
import io
from collections import Counter
from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec
from msgspec import Struct

BUFFERED_MOST = 64 * 1024  # bytes that a kill may take
EVENTS_MOST = 5_000_000


class Started(Struct, frozen=True, tag_field="event", tag="started"):
    """A node begins, for the `life`-th time."""

    node: str
    number: int
    at_ms: float
    life: int = 0


class Acted(Struct, frozen=True, tag_field="event", tag="acted"):
    """A node did something that rests on a rule: `rule` names it, `version` and `digest` which one it was."""

    node: str
    number: int
    at_ms: float
    rule: str
    version: int
    digest: str = ""
    what: str = "pick"
    call: str = ""


class Learned(Struct, frozen=True, tag_field="event", tag="learned"):
    """A rule came into force at a node."""

    node: str
    number: int
    at_ms: float
    rule: str
    version: int
    digest: str = ""


class Ended(Struct, frozen=True, tag_field="event", tag="ended"):
    """A node ended: `clean` by itself with all of its events written, else it was killed at `at_ms`."""

    node: str
    number: int
    at_ms: float
    clean: bool = True


Event = Started | Acted | Learned | Ended
DECODER: msgspec.json.Decoder[Event] = msgspec.json.Decoder(Event)


class Writer:
    """One node's events, as lines in a file. Past `EVENTS_MOST` no more are written; `dropped` counts them.

    `flush` after what must survive a kill; what is buffered is lost with the process."""

    def __init__(self, file: io.BufferedWriter | Path, node: str) -> None:
        # The file is given up with the writer, by `close`.
        self._file = open(file, "ab", buffering=BUFFERED_MOST) if isinstance(file, Path) else file  # noqa: SIM115
        self._node = node
        self._number = 0
        self.dropped = 0

    def started(self, at_ms: float, life: int) -> None:
        """See `Started`."""
        self._write(Started(self._node, self._next(), at_ms, life))

    def acted(
        self, at_ms: float, rule: str, version: int, digest: str = "", what: str = "pick", call: str = ""
    ) -> None:
        """See `Acted`."""
        self._write(Acted(self._node, self._next(), at_ms, rule, version, digest, what, call))

    def learned(self, at_ms: float, rule: str, version: int, digest: str = "") -> None:
        """See `Learned`."""
        self._write(Learned(self._node, self._next(), at_ms, rule, version, digest))

    def close(self, at_ms: float) -> None:
        """The node ends by itself."""
        self._write(Ended(self._node, self._next(), at_ms))
        self._file.close()

    def flush(self) -> None:
        """Hand all to the system."""
        self._file.flush()

    def _next(self) -> int:
        self._number += 1
        return self._number

    def _write(self, event: Event) -> None:
        if self._number > EVENTS_MOST:
            self.dropped += 1
            return
        self._file.write(msgspec.json.encode(event) + b"\n")


class HistoryError(ValueError):
    """A history that can't be read; its text is one line."""


def parse(text: bytes, file: str) -> Iterator[Event]:
    """The events of one node's file; a torn last line is passed over, since a kill leaves one."""
    lines = text.split(b"\n")
    last = lines.pop()
    for number, line in enumerate(lines, 1):
        try:
            yield DECODER.decode(line)
        except msgspec.MsgspecError as error:
            raise HistoryError(f"{file}:{number}: {error}") from None
    if last:
        try:
            yield DECODER.decode(last)
        except msgspec.MsgspecError:
            return


def merged(histories: Iterable[Iterable[Event]]) -> list[Event]:
    """All events in the order of their times; those of one node keep their order."""
    return list(heapq.merge(*histories, key=lambda event: event.at_ms))


def gaps(events: Iterable[Event]) -> dict[str, int]:
    """Events that are missing between others of the same life of a node, by node."""
    last: dict[str, int] = {}
    missing: Counter[str] = Counter()
    for event in events:
        if isinstance(event, Started):
            last[event.node] = event.number
            continue
        if event.node in last and not (isinstance(event, Ended) and not event.clean):
            missing[event.node] += max(0, event.number - last[event.node] - 1)
        last[event.node] = max(event.number, last.get(event.node, 0))
    return {node: count for node, count in missing.items() if count}

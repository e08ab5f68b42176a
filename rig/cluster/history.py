"""Events of nodes: parsed from the files that the nodes write, and merged into one history.

Pure but for `read_folder`. An event is one line of JSON. A node reports which rule it *acted* on (a pick, a
retry, a repeat or a refusal, with the version that the act was based on), not what it knew. Events of one
life are numbered consecutively, so that a gap is visible. Times are milliseconds of one clock for all nodes.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Sequence
from operator import itemgetter
from pathlib import Path

import msgspec
from msgspec import Struct

MAX_BYTES = 2 * 1024**3  # all files of a folder together
LIST, SETTINGS = "list:", "settings:"  # prefixes of rules: the server list of a service, and its settings
ACTIVE = "active/"  # prefix of the list entry of a server that may receive new work


class Started(Struct, frozen=True, tag_field="event", tag="started"):
    """A node's start. `life`: the number of the life by the node's disk; 0 without a disk."""

    node: str
    number: int
    at_ms: float
    life: int = 0


class Acted(Struct, frozen=True, tag_field="event", tag="acted", gc=False):
    """An act of a node that is based on version `version` with content `digest` of the rule `rule`.

    `server` is the server that a request was sent to, as its attempt number `hop`; empty if it was sent to
    none. `settings` is the digest of the settings in force.
    """

    node: str
    number: int
    at_ms: float
    rule: str
    version: int
    digest: str = ""
    what: str = "pick"
    call: str = ""
    server: str = ""
    hop: int = 0
    settings: str = ""


class Learned(Struct, frozen=True, tag_field="event", tag="learned"):
    """A rule came into force at a node. `entries` of a list: "STATE/DIGEST" of each listed server."""

    node: str
    number: int
    at_ms: float
    rule: str
    version: int
    digest: str = ""
    form: str = ""
    entries: dict[str, str] = {}


class Stored(Struct, frozen=True, tag_field="event", tag="stored"):
    """A rule is on the node's disk: a start with this disk begins with this version or a newer one."""

    node: str
    number: int
    at_ms: float
    rule: str
    version: int
    digest: str = ""


class Unstored(Struct, frozen=True, tag_field="event", tag="unstored"):
    """The node's store failed: it stores nothing more in this life."""

    node: str
    number: int
    at_ms: float
    rule: str = ""
    why: str = ""


class Draining(Struct, frozen=True, tag_field="event", tag="draining"):
    """The node was told to shut down."""

    node: str
    number: int
    at_ms: float


class Ended(Struct, frozen=True, tag_field="event", tag="ended"):
    """A node's end: `clean` if it exited by itself with all of its events written, else killed at `at_ms`."""

    node: str
    number: int
    at_ms: float
    clean: bool = True


Event = Started | Acted | Learned | Stored | Unstored | Draining | Ended
DECODER: msgspec.json.Decoder[Event] = msgspec.json.Decoder(Event)


class HistoryError(ValueError):
    """A history that can't be read. The text is one line."""


def parse(text: bytes, file: str) -> Iterator[Event]:
    """Parse the events of one node's file, which spans all of its lives.

    A kill can leave an incomplete line. It is skipped at the end of the file and where a life begins after
    it.

    Raises:
        HistoryError: Another line can't be parsed; the text names the file and the line.
    """
    lines = text.split(b"\n")
    last = lines.pop()
    pending_error = ""  # the error of an incomplete line, until a life begins after it
    for number, line in enumerate(lines, 1):
        try:
            event = DECODER.decode(line)
        except msgspec.MsgspecError as error:
            joined = _joined(line)
            yield from joined
            pending_error = "" if joined else pending_error or f"{file}:{number}: {error}"
            continue
        if pending_error and not isinstance(event, Started):
            raise HistoryError(pending_error)
        pending_error = ""
        yield event
    if pending_error and not last:
        raise HistoryError(pending_error)
    if last:
        try:
            yield DECODER.decode(last)
        except msgspec.MsgspecError:
            yield from _joined(last)


def _joined(line: bytes) -> list[Event]:
    """Return the events of a line in which a new life begins right after a line cut off by a kill.

    Empty if the line is of another kind.
    """
    brace = line.rfind(b"{")
    try:
        started = DECODER.decode(line[brace:])
    except msgspec.MsgspecError:
        return []
    if brace < 1 or not isinstance(started, Started):
        return []
    try:
        return [DECODER.decode(line[:brace]), started]  # only the line's end was lost
    except msgspec.MsgspecError:
        return [started]


def read_folder(folder: Path) -> list[Event]:
    """Read and merge all `*.jsonl` files of a folder, one per node.

    Raises:
        HistoryError: A file can't be read.
    """
    files = sorted(folder.glob("*.jsonl"))
    try:
        if sum(file.stat().st_size for file in files) > MAX_BYTES:
            raise HistoryError(f"{folder}: more than {MAX_BYTES} bytes")
        return merged([list(parse(file.read_bytes(), str(file))) for file in files])
    except OSError as error:
        raise HistoryError(f"{error.filename}: {error.strerror}") from None


def merged(histories: Iterable[Iterable[Event]]) -> list[Event]:
    """Return all events in the order of their times; events of the same history keep their order."""
    rows: list[tuple[float, Event]] = []
    for history in histories:
        latest_ms = float("-inf")
        for event in history:
            latest_ms = max(latest_ms, event.at_ms)
            rows.append((latest_ms, event))
    rows.sort(key=itemgetter(0))
    return [event for _, event in rows]


def with_kills(events: Iterable[Event], kills: Iterable[tuple[str, float]]) -> list[Event]:
    """Return the merged events with an `Ended` that is not clean for each kill of a life that has events.

    Args:
        events: The events of all nodes.
        kills: Node and time in milliseconds of each kill.
    """
    histories: dict[str, list[Event]] = defaultdict(list)
    for event in events:
        histories[event.node].append(event)
    times: dict[str, list[float]] = defaultdict(list)
    for node, at_ms in kills:
        times[node].append(at_ms)
    return merged(_with_kills(history, sorted(times[node])) for node, history in histories.items())


def _with_kills(history: Sequence[Event], times: Sequence[float]) -> Iterator[Event]:
    """Add the kills to one node's history.

    A kill ends the last life that began before it, after all events of that life.
    """
    waiting = list(reversed(times))
    before: Event | None = None
    for event in history:
        if isinstance(event, Started):
            yield from _ended(before, waiting, event.at_ms)
        yield event
        before = event
    yield from _ended(before, waiting, float("inf"))


def _ended(last: Event | None, waiting: list[float], until_ms: float) -> Iterator[Ended]:
    """Yield the end of a life whose last event is `last` if a waiting kill came before the next life."""
    kill_ms = None
    while waiting and waiting[-1] <= until_ms:
        at_ms = waiting.pop()
        kill_ms = at_ms if kill_ms is None else kill_ms
    if kill_ms is not None and last is not None and not isinstance(last, Ended):
        yield Ended(last.node, 0, max(kill_ms, last.at_ms), clean=False)


def gaps(events: Iterable[Event]) -> dict[str, int]:
    """Return, by node, how many events are missing between events of the same life."""
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

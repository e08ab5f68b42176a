"""What nodes did, as events on one clock: read from the files that they wrote, and merged.

Pure but for `read_folder`. An event is a line of JSON. A node tells which rule it *acted* on, not what it
knew: a pick, a retry, a repeat or a refusal, with the version that it stood on. Events of one life carry a
running number, so that a gap shows. Times are milliseconds of one clock.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Sequence
from operator import itemgetter
from pathlib import Path

import msgspec
from msgspec import Struct

BYTES_MOST = 2 * 1024**3  # of all files of a folder
LIST, SETTINGS = "list:", "settings:"  # what rules begin with: the list of a service, and its settings
ACTIVE = "active/"  # what a list's entry begins with whose server may be sent new work


class Started(Struct, frozen=True, tag_field="event", tag="started"):
    """A node begins, for the `life`-th time by its disk; 0 where it has none."""

    node: str
    number: int
    at_ms: float
    life: int = 0


class Acted(Struct, frozen=True, tag_field="event", tag="acted", gc=False):
    """A node did something that rests on a rule: `rule` names it, `version` and `digest` which one it was.

    `server`: whom a request was sent to, as its attempt number `hop`; empty where it was to none. `settings`:
    the digest of those in force.
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
    """A rule came into force at a node. `entries` of a list: "STATE/DIGEST" of each server that is listed."""

    node: str
    number: int
    at_ms: float
    rule: str
    version: int
    digest: str = ""
    form: str = ""
    entries: dict[str, str] = {}


class Stored(Struct, frozen=True, tag_field="event", tag="stored"):
    """A rule is on the node's disk: a start with this disk begins with it, or with a newer one."""

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
    """The node was told to end."""

    node: str
    number: int
    at_ms: float


class Ended(Struct, frozen=True, tag_field="event", tag="ended"):
    """A node ended: `clean` by itself with all of its events written, else it was killed at `at_ms`."""

    node: str
    number: int
    at_ms: float
    clean: bool = True


Event = Started | Acted | Learned | Stored | Unstored | Draining | Ended
DECODER: msgspec.json.Decoder[Event] = msgspec.json.Decoder(Event)


class HistoryError(ValueError):
    """A history that can't be read; its text is one line."""


def parse(text: bytes, file: str) -> Iterator[Event]:
    """The events of one node's file, which spans its lives; `HistoryError` names the file and the line.

    A kill leaves a torn line: it is passed over at the end of the file, and where a life begins after it.
    """
    lines = text.split(b"\n")
    last = lines.pop()
    torn = ""  # what to say of a torn line, until a life is seen to begin after it
    for number, line in enumerate(lines, 1):
        try:
            event = DECODER.decode(line)
        except msgspec.MsgspecError as error:
            joined = _joined(line)
            yield from joined
            torn = "" if joined else torn or f"{file}:{number}: {error}"
            continue
        if torn and not isinstance(event, Started):
            raise HistoryError(torn)
        torn = ""
        yield event
    if torn and not last:
        raise HistoryError(torn)
    if last:
        try:
            yield DECODER.decode(last)
        except msgspec.MsgspecError:
            yield from _joined(last)


def _joined(line: bytes) -> list[Event]:
    """What a line holds in which a life begins right after one that was killed; nothing where it is none."""
    brace = line.rfind(b"{")
    try:
        began = DECODER.decode(line[brace:])
    except msgspec.MsgspecError:
        return []
    if brace < 1 or not isinstance(began, Started):
        return []
    try:
        return [DECODER.decode(line[:brace]), began]  # only its line's end was lost
    except msgspec.MsgspecError:
        return [began]


def read_folder(folder: Path) -> list[Event]:
    """The merged events of all `*.jsonl` of a folder, a node a file; `HistoryError` if one can't be read."""
    files = sorted(folder.glob("*.jsonl"))
    try:
        if sum(file.stat().st_size for file in files) > BYTES_MOST:
            raise HistoryError(f"{folder}: more than {BYTES_MOST} bytes")
        return merged([list(parse(file.read_bytes(), str(file))) for file in files])
    except OSError as error:
        raise HistoryError(f"{error.filename}: {error.strerror}") from None


def merged(histories: Iterable[Iterable[Event]]) -> list[Event]:
    """All events in the order of their times; those of one history keep their order."""
    rows: list[tuple[float, Event]] = []
    for history in histories:
        latest_ms = float("-inf")
        for event in history:
            latest_ms = max(latest_ms, event.at_ms)
            rows.append((latest_ms, event))
    rows.sort(key=itemgetter(0))
    return [event for _, event in rows]


def with_kills(events: Iterable[Event], kills: Iterable[tuple[str, float]]) -> list[Event]:
    """The same, merged, with each kill (node, ms) of a life that told anything, as an `Ended` not clean."""
    histories: dict[str, list[Event]] = defaultdict(list)
    for event in events:
        histories[event.node].append(event)
    times: dict[str, list[float]] = defaultdict(list)
    for node, at_ms in kills:
        times[node].append(at_ms)
    return merged(_with_kills(history, sorted(times[node])) for node, history in histories.items())


def _with_kills(history: Sequence[Event], times: Sequence[float]) -> Iterator[Event]:
    """One node's. A kill ends the last life that began before it, after all that this one told."""
    waiting = list(reversed(times))
    before: Event | None = None
    for event in history:
        if isinstance(event, Started):
            yield from _ended(before, waiting, event.at_ms)
        yield event
        before = event
    yield from _ended(before, waiting, float("inf"))


def _ended(last: Event | None, waiting: list[float], until_ms: float) -> Iterator[Ended]:
    """The kill of a life whose last event was `last`, if one of those that wait came before the next life."""
    kill_ms = None
    while waiting and waiting[-1] <= until_ms:
        at_ms = waiting.pop()
        kill_ms = at_ms if kill_ms is None else kill_ms
    if kill_ms is not None and last is not None and not isinstance(last, Ended):
        yield Ended(last.node, 0, max(kill_ms, last.at_ms), clean=False)


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

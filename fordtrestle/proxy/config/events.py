"""The table `[events]`: where the process reports what it learned, stored and acted on. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from fordtrestle.proxy.engine.schema import TomlTable

DEFAULT_MAX_MB = 64


@dataclass(frozen=True, slots=True)
class EventsSpec:
    """`[events]`.

    Attributes:
        file: Is appended to, a line of JSON for each event.
        mb_most: Megabytes (2^20 bytes) that the file may have; events beyond that are only counted.
    """

    file: str
    mb_most: int = DEFAULT_MAX_MB


def read_events(table: TomlTable) -> EventsSpec:
    """Read the table; faults are recorded in it."""
    if not table.has("file"):
        table.add_error("file", "missing")
    spec = EventsSpec(
        file=table.file("file") or "",
        mb_most=table.integer("mb_most", DEFAULT_MAX_MB, 1, 2**20) or DEFAULT_MAX_MB,
    )
    table.reject_unknown_keys()
    return spec

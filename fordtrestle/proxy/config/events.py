"""The table `[events]`: the file that records what the process learned, stored and did. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from fordtrestle.proxy.engine.schema import TomlTable

DEFAULT_MAX_MB = 64


@dataclass(frozen=True, slots=True)
class EventsSpec:
    """`[events]`.

    Attributes:
        file: The path of the file, to which a line of JSON is appended for each event.
        mb_most: The largest size of the file in megabytes (2^20 bytes); events beyond it are only counted.
    """

    file: str
    mb_most: int = DEFAULT_MAX_MB


def read_events(table: TomlTable) -> EventsSpec:
    """Read the table, and record its faults in it."""
    if not table.has("file"):
        table.add_error("file", "missing")
    spec = EventsSpec(
        file=table.file("file") or "",
        mb_most=table.integer("mb_most", DEFAULT_MAX_MB, 1, 2**20) or DEFAULT_MAX_MB,
    )
    table.reject_unknown_keys()
    return spec

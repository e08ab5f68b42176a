"""The table `[events]`: where the process tells what it learned, kept and acted on. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from fordtrestle.proxy.engine.schema import Table

MB_MOST = 64


@dataclass(frozen=True, slots=True)
class EventsSpec:
    """`[events]`: `file` is appended to, a line of JSON an event.

    `mb_most`: megabytes (2^20 bytes) that it has at the most; what comes past that is counted only.
    """

    file: str
    mb_most: int = MB_MOST


def read_events(table: Table) -> EventsSpec:
    """What the table says; faults are noted in it."""
    if not table.has("file"):
        table.fault("file", "missing")
    read = EventsSpec(
        file=table.file("file") or "",
        mb_most=table.count("mb_most", MB_MOST, 1, 2**20) or MB_MOST,
    )
    table.end()
    return read

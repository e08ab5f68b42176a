"""The table `[state]`: where what must outlive the process is kept. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from fordtrestle.proxy.engine.schema import Table


@dataclass(frozen=True, slots=True)
class StateSpec:
    """`[state]`: `folder`, of this process alone; it is made where it is missing."""

    folder: str


def read_state(table: Table) -> StateSpec:
    """What the table says; faults are noted in it."""
    if not table.has("folder"):
        table.fault("folder", "missing")
    read = StateSpec(table.file("folder") or "")
    table.end()
    return read

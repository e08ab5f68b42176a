"""The table `[state]`: where state is stored that outlives the process. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from fordtrestle.proxy.engine.schema import Table


@dataclass(frozen=True, slots=True)
class StateSpec:
    """`[state]`.

    Attributes:
        folder: Is used by this process alone, and created if it is missing.
    """

    folder: str


def read_state(table: Table) -> StateSpec:
    """Read the table; faults are recorded in it."""
    if not table.has("folder"):
        table.fault("folder", "missing")
    spec = StateSpec(table.file("folder") or "")
    table.end()
    return spec

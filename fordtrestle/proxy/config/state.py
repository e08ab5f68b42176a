"""The table `[state]`: where state is stored that outlives the process. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from fordtrestle.proxy.engine.schema import TomlTable


@dataclass(frozen=True, slots=True)
class StateSpec:
    """`[state]`.

    Attributes:
        folder: Is used by this process alone, and created if it is missing.
    """

    folder: str


def read_state(table: TomlTable) -> StateSpec:
    """Read the table; faults are recorded in it."""
    if not table.has("folder"):
        table.add_error("folder", "missing")
    spec = StateSpec(table.file("folder") or "")
    table.reject_unknown_keys()
    return spec

"""The table `[state]`: the folder for state that outlives the process. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from fordtrestle.proxy.engine.schema import TomlTable


@dataclass(frozen=True, slots=True)
class StateSpec:
    """`[state]`.

    Attributes:
        folder: The path of a folder that only this process uses; created if it is missing.
    """

    folder: str


def read_state(table: TomlTable) -> StateSpec:
    """Read the table, and record its faults in it."""
    if not table.has("folder"):
        table.add_error("folder", "missing")
    spec = StateSpec(table.file("folder") or "")
    table.reject_unknown_keys()
    return spec

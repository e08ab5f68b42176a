"""The state that survives: the configuration, the evacuated zones, the calls that were taken."""

from __future__ import annotations

from dataclasses import dataclass, replace

TAKEN_MOST = 2048  # calls remembered, so that one sent again is acknowledged again


@dataclass(frozen=True, slots=True)
class ConfigChange:
    """A new configuration; `document` is the whole of it, as JSON, also after a patch."""

    digest: bytes  # of the call that brought it
    generation: int
    document: bytes


@dataclass(frozen=True, slots=True)
class Evacuation:
    """A zone is emptied (`active`) or taken back."""

    zone: str
    active: bool


Change = ConfigChange | Evacuation


@dataclass(frozen=True, slots=True)
class ControlState:
    """Everything that was decided, in the order of `sequence`."""

    sequence: int = 0
    generation: int = 0
    document: bytes = b""
    evacuated: tuple[str, ...] = ()
    taken: tuple[bytes, ...] = ()

    def apply(self, change: Change) -> ControlState:
        """The state after one more change."""
        after = replace(self, sequence=self.sequence + 1)
        if isinstance(change, ConfigChange):
            taken = (*self.taken[1 - TAKEN_MOST :], change.digest)
            return replace(after, generation=change.generation, document=change.document, taken=taken)
        others = tuple(zone for zone in self.evacuated if zone != change.zone)
        return replace(after, evacuated=(*others, change.zone) if change.active else others)

"""The state that survives: the configuration, the evacuated zones, the calls that were taken."""

from __future__ import annotations

from dataclasses import dataclass, replace

TAKEN_MOST = 2048  # calls remembered, so that one sent again is acknowledged again


@dataclass(frozen=True, slots=True)
class TakenCall:
    """A call that changed the configuration, and the generation that it built on."""

    digest: bytes
    base: int


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
    taken: tuple[TakenCall, ...] = ()  # the newest calls, in their order
    forgotten_base: int = -1  # the newest generation that a call built on that is not in `taken` any more

    def has_taken(self, digest: bytes) -> bool:
        """Whether this very call is known to have been taken."""
        return any(call.digest == digest for call in self.taken)

    def may_have_taken(self, base: int) -> bool:
        """Whether a call on that generation may have been taken and forgotten since."""
        return base <= self.forgotten_base

    def apply(self, change: Change) -> ControlState:
        """The state after one more change."""
        after = replace(self, sequence=self.sequence + 1)
        if isinstance(change, ConfigChange):
            taken = (*self.taken, TakenCall(change.digest, self.generation))
            forgotten = taken[:-TAKEN_MOST]
            return replace(
                after,
                generation=change.generation,
                document=change.document,
                taken=taken[-TAKEN_MOST:],
                forgotten_base=forgotten[-1].base if forgotten else self.forgotten_base,
            )
        others = tuple(zone for zone in self.evacuated if zone != change.zone)
        return replace(after, evacuated=(*others, change.zone) if change.active else others)

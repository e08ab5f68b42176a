"""The state that survives: the configuration, the evacuated zones, the calls that were taken."""

from __future__ import annotations

from dataclasses import dataclass, replace

MAX_APPLIED_CALLS = 2048  # calls remembered, so that one sent again is acknowledged again
DIGEST_PREFIX_BYTES = 4  # of the digest of a call from before those: who has another print was never taken
MAX_DIGEST_PREFIXES = 1_000_000  # three years at 900 changes a day; then they begin anew


@dataclass(frozen=True, slots=True)
class AppliedCall:
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


def _holds_prefix(digest_prefixes: bytes, wanted: bytes) -> bool:
    """Whether a print is among others, which stand one behind the other."""
    at = digest_prefixes.find(wanted)
    while at >= 0 and at % DIGEST_PREFIX_BYTES:
        at = digest_prefixes.find(wanted, at + 1)
    return at >= 0


@dataclass(frozen=True, slots=True)
class ControlState:
    """Everything that was decided, in the order of `sequence`."""

    sequence: int = 0
    generation: int = 0
    document: bytes = b""
    evacuated: tuple[str, ...] = ()
    applied_calls: tuple[AppliedCall, ...] = ()  # the newest calls, in their order
    forgotten_base: int = -1  # the newest generation that a call built on of which nothing is known any more
    digest_prefixes: bytes = b""  # of the calls from before `taken`, in their order

    def has_applied(self, digest: bytes) -> bool:
        """Whether this very call is known to have been taken."""
        return any(call.digest == digest for call in self.applied_calls)

    def may_have_applied(self, digest: bytes, base: int) -> bool:
        """Whether a call on that generation may have been taken before those that are known by their digests.

        One of `PRINTS_MOST` / 2 ** 32, 0.02%, of those that were not is held to be.
        """
        prefix = digest[:DIGEST_PREFIX_BYTES]
        return base <= self.forgotten_base or _holds_prefix(self.digest_prefixes, prefix)

    def apply(self, change: Change) -> ControlState:
        """The state after one more change."""
        after = replace(self, sequence=self.sequence + 1)
        if isinstance(change, ConfigChange):
            applied_calls = (*self.applied_calls, AppliedCall(change.digest, self.generation))
            digest_prefixes = self.digest_prefixes + b"".join(
                call.digest[:DIGEST_PREFIX_BYTES] for call in applied_calls[:-MAX_APPLIED_CALLS]
            )
            is_full = len(digest_prefixes) > MAX_DIGEST_PREFIXES * DIGEST_PREFIX_BYTES
            kept = applied_calls[-MAX_APPLIED_CALLS:]
            return replace(
                after,
                generation=change.generation,
                document=change.document,
                applied_calls=kept,
                forgotten_base=kept[0].base - 1 if is_full else self.forgotten_base,
                digest_prefixes=b"" if is_full else digest_prefixes,
            )
        others = tuple(zone for zone in self.evacuated if zone != change.zone)
        return replace(after, evacuated=(*others, change.zone) if change.active else others)

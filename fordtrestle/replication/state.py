"""The state that survives: configuration, evacuated zones, calls that were applied, coordination. Pure."""

from __future__ import annotations

from dataclasses import dataclass, replace

from fordtrestle.coordination.changes import CoordinationChange
from fordtrestle.coordination.state import EMPTY, CoordinationState

MAX_APPLIED_CALLS = 2048  # calls remembered, so that one sent again is acknowledged again
DIGEST_PREFIX_BYTES = (
    4  # of the digest of a call from before those: one with another prefix was never applied
)
MAX_DIGEST_PREFIXES = 1_000_000  # three years at 900 changes a day; then they begin anew


@dataclass(frozen=True, slots=True)
class AppliedCall:
    """A call that changed the configuration, by its digest, and the generation that it built on."""

    digest: bytes
    base: int


@dataclass(frozen=True, slots=True)
class ConfigChange:
    """A new configuration.

    Attributes:
        digest: Digest of the call that brought it.
        generation: Its generation.
        document: The whole configuration as JSON, also after a patch.
    """

    digest: bytes
    generation: int
    document: bytes


@dataclass(frozen=True, slots=True)
class Evacuation:
    """A zone is evacuated (`active`) or taken back into service."""

    zone: str
    active: bool


Change = ConfigChange | Evacuation | CoordinationChange


def _holds_prefix(prefixes: bytes, wanted: bytes) -> bool:
    """Whether a digest's prefix is among others, which stand one behind the other."""
    at = prefixes.find(wanted)
    while at >= 0 and at % DIGEST_PREFIX_BYTES:
        at = prefixes.find(wanted, at + 1)
    return at >= 0


@dataclass(frozen=True, slots=True)
class ControlState:
    """Everything that was decided, in the order of `sequence`.

    Attributes:
        sequence: The number of writes up to here.
        generation: The generation of the configuration.
        document: The configuration as JSON.
        evacuated: The evacuated zones, the newest last.
        applied_calls: The newest calls, in their order.
        forgotten_base: The newest generation that a call built on of which nothing is known any more.
        digest_prefixes: First bytes of the digests of the calls before `applied_calls`, in their order.
        coordination: Locks, counters and keys.
    """

    sequence: int = 0
    generation: int = 0
    document: bytes = b""
    evacuated: tuple[str, ...] = ()
    applied_calls: tuple[AppliedCall, ...] = ()
    forgotten_base: int = -1
    digest_prefixes: bytes = b""
    coordination: CoordinationState = EMPTY

    def has_applied(self, digest: bytes) -> bool:
        """Whether this very call is known to have been applied."""
        return any(call.digest == digest for call in self.applied_calls)

    def may_have_applied(self, digest: bytes, base: int) -> bool:
        """Whether a call may have been applied before those that are known by their digests.

        Guards against refusing a call that was applied long ago, and is sent again after an outage. One of
        `MAX_DIGEST_PREFIXES` / 2 ** 32, 0.02%, of those that were not applied is held to be.

        Args:
            digest: The call's digest.
            base: The generation that it builds on.
        """
        prefix = digest[:DIGEST_PREFIX_BYTES]
        return base <= self.forgotten_base or _holds_prefix(self.digest_prefixes, prefix)

    def apply(self, change: Change) -> ControlState:
        """The state after one more change."""
        after = replace(self, sequence=self.sequence + 1)
        match change:
            case ConfigChange():
                return after._with_configuration(change)
            case Evacuation():
                others = tuple(zone for zone in self.evacuated if zone != change.zone)
                return replace(after, evacuated=(*others, change.zone) if change.active else others)
            case _:
                coordination = self.coordination.apply(change, after.sequence)
                return replace(after, coordination=coordination)

    def _with_configuration(self, change: ConfigChange) -> ControlState:
        """This state with another configuration, and its call remembered.

        The oldest calls are cut to prefixes of their digests; once there are too many of these, they are
        forgotten, and calls that build on generations from before are of unknown outcome.
        """
        calls = (*self.applied_calls, AppliedCall(change.digest, self.generation))
        applied_calls, older = calls[-MAX_APPLIED_CALLS:], calls[:-MAX_APPLIED_CALLS]
        digest_prefixes = self.digest_prefixes + b"".join(call.digest[:DIGEST_PREFIX_BYTES] for call in older)
        is_full = len(digest_prefixes) > MAX_DIGEST_PREFIXES * DIGEST_PREFIX_BYTES
        return replace(
            self,
            generation=change.generation,
            document=change.document,
            applied_calls=applied_calls,
            forgotten_base=applied_calls[0].base - 1 if is_full else self.forgotten_base,
            digest_prefixes=b"" if is_full else digest_prefixes,
        )

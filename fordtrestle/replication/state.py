"""The replicated state: configuration, evacuated zones, applied calls, coordination. Pure."""

from __future__ import annotations

from dataclasses import dataclass, replace

from fordtrestle.coordination.changes import CoordinationChange
from fordtrestle.coordination.state import EMPTY, CoordinationState

MAX_APPLIED_CALLS = 2048  # remembered, so that a repeated call is acknowledged again
DIGEST_PREFIX_BYTES = 4  # kept of older calls; a call with an unknown prefix was never applied
MAX_DIGEST_PREFIXES = 1_000_000  # three years at 900 changes a day; then the list is cleared


@dataclass(frozen=True, slots=True)
class AppliedCall:
    """The digest of a call that changed the configuration, and the generation that it was based on."""

    digest: bytes
    base: int


@dataclass(frozen=True, slots=True)
class ConfigChange:
    """A new configuration.

    Attributes:
        digest: Digest of the call that set it.
        generation: The generation of the configuration.
        document: The whole configuration as JSON, even if the call was a patch.
    """

    digest: bytes
    generation: int
    document: bytes


@dataclass(frozen=True, slots=True)
class Evacuation:
    """Evacuates a zone (`active`) or returns it to service."""

    zone: str
    active: bool


Change = ConfigChange | Evacuation | CoordinationChange


def _contains_prefix(prefixes: bytes, prefix: bytes) -> bool:
    """Return whether a digest prefix is among concatenated prefixes of `DIGEST_PREFIX_BYTES` each."""
    index = prefixes.find(prefix)
    while index >= 0 and index % DIGEST_PREFIX_BYTES:
        index = prefixes.find(prefix, index + 1)
    return index >= 0


@dataclass(frozen=True, slots=True)
class ControlState:
    """The state after the writes up to `sequence`.

    Attributes:
        sequence: The number of writes applied so far.
        generation: The generation of the configuration.
        document: The configuration as JSON.
        evacuated: The evacuated zones, newest last.
        applied_calls: The newest applied calls, oldest first.
        forgotten_base: The newest base generation of the calls that are no longer known even by a prefix.
        digest_prefixes: Concatenated digest prefixes of the calls before `applied_calls`, oldest first.
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
        """Return whether the call with this digest is known to have been applied."""
        return any(call.digest == digest for call in self.applied_calls)

    def may_have_applied(self, digest: bytes, base: int) -> bool:
        """Return whether a call may have been applied before the calls whose full digests are known.

        Guards against refusing a call that was applied long ago and is repeated after an outage. At
        most `MAX_DIGEST_PREFIXES` / 2 ** 32, 0.02%, of the calls that were not applied are false positives.

        Args:
            digest: The digest of the call.
            base: The generation that the call is based on.
        """
        prefix = digest[:DIGEST_PREFIX_BYTES]
        return base <= self.forgotten_base or _contains_prefix(self.digest_prefixes, prefix)

    def apply(self, change: Change) -> ControlState:
        """Return the state after one more change."""
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
        """Return this state with a new configuration, and with its call remembered.

        The oldest calls are reduced to digest prefixes. Once there are too many prefixes they are cleared,
        and the outcome of a call based on a generation of that time is unknown.
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

"""The types that are sent between processes or stored on disk: tags, fields and enumerations. Pure.

Rules for changes (`docs/design/versions.md`): fields may be appended to a type, each with a default that
gives the meaning of a missing field. Any other change needs a new type with a new tag.
"""

from __future__ import annotations

from dataclasses import MISSING, dataclass, fields
from enum import IntEnum
from typing import Any

from fordtrestle.coordination import answers, calls, changes, commands
from fordtrestle.coordination import state as coordination
from fordtrestle.dissemination import delta, items, messages
from fordtrestle.peer import remote_clock
from fordtrestle.peer.handshake import PROTOCOL_VERSION
from fordtrestle.peer.messages import Envelope, Hello
from fordtrestle.replication import epochs, state
from fordtrestle.replication import messages as replication


class Retired:
    """Placeholder for the tag of a former type with other fields, so that the tag is never reused."""


FIRST_TAG = 48_100  # start of a range of CBOR tags that IANA has not assigned

# The position of a type determines its tag, so types are appended, and never moved or removed.
_TYPES: tuple[type, ...] = (
    Hello,
    Envelope,
    epochs.Term,
    epochs.Store,
    epochs.Epoch,
    state.ConfigChange,
    state.Evacuation,
    Retired,  # ControlState with digests alone
    Retired,  # Announce without `leaving`
    replication.Heartbeat,
    Retired,  # HeartbeatAck without the state's position
    replication.PreVote,
    replication.PreVoteGrant,
    replication.Prepare,
    replication.Prepared,
    replication.Install,
    replication.Installed,
    replication.Accept,
    replication.Accepted,
    replication.Append,
    replication.Appended,
    replication.Rejected,
    replication.Vote,
    replication.Snapshot,
    replication.Entry,
    items.ControlView,
    items.ServerRecord,
    items.MemberRecord,
    items.Item,
    messages.Update,
    messages.RangeDigests,
    messages.RangeVersions,
    messages.Want,
    messages.IndirectProbe,
    messages.IndirectProbeAck,
    replication.Resign,
    replication.Announce,
    replication.HeartbeatAck,
    state.AppliedCall,
    state.ControlState,
    messages.Confirm,
    messages.Confirmed,
    messages.Offer,
    messages.Prune,
    delta.Copy,
    delta.ControlDelta,
    replication.Founder,
    items.EjectionRecord,
    messages.Outcomes,
    messages.OutcomeReport,
    replication.CommitNotice,
    coordination.Lock,
    coordination.StoredValue,
    coordination.KeyEvent,
    coordination.KeyGroup,
    coordination.CoordinationState,
    changes.GrantLock,
    changes.ExtendLock,
    changes.FreeLock,
    changes.AdvanceCounter,
    changes.WriteKey,
    commands.AcquireLock,
    commands.RenewLock,
    commands.ReleaseLock,
    commands.IssueNumber,
    commands.PutKey,
    commands.GetKey,
    commands.ReadIndex,
    answers.LockGranted,
    answers.LockRenewed,
    answers.LockReleased,
    answers.LockUnavailable,
    answers.NumberIssued,
    answers.KeyWritten,
    answers.RevisionMismatch,
    answers.KeyFound,
    answers.KeyMissing,
    answers.IndexRead,
    answers.Overloaded,
    answers.Unavailable,
    answers.OutcomeUnknown,
    answers.NotPrimary,
    calls.CoordinationCall,
    calls.CoordinationReply,
    remote_clock.ClockReading,
)

_ENUMERATIONS: dict[tuple[type, str], type[IntEnum]] = {
    (items.ServerRecord, "phase"): items.Phase,
    (items.MemberRecord, "availability"): items.Availability,
}


@dataclass(frozen=True, slots=True)
class WireType:
    """The encoding of one type.

    Attributes:
        kind: the type.
        tag: the CBOR tag of the type.
        fields: the names of its fields, in the order of encoding.
        required: the number of fields without a default.
        enumerations: the enumeration of each enum field, by the field's position.
    """

    kind: type
    tag: int
    fields: tuple[str, ...]
    required: int
    enumerations: dict[int, type[IntEnum]]


def _wire_type(kind: type, tag: int) -> WireType:
    names = tuple(field.name for field in fields(kind))
    return WireType(
        kind=kind,
        tag=tag,
        fields=names,
        required=sum(field.default is MISSING for field in fields(kind)),
        enumerations={
            position: _ENUMERATIONS[kind, name]
            for position, name in enumerate(names)
            if (kind, name) in _ENUMERATIONS
        },
    )


BY_TYPE: dict[type, WireType] = {
    kind: _wire_type(kind, FIRST_TAG + position)
    for position, kind in enumerate(_TYPES)
    if kind is not Retired
}
BY_TAG: dict[int, WireType] = {wire_type.tag: wire_type for wire_type in BY_TYPE.values()}


def wire_table() -> dict[str, Any]:
    """Return all types with their tags, fields and enum values, for comparison with recorded versions."""
    by_tag = sorted(BY_TAG.items())
    return {
        "protocol": PROTOCOL_VERSION,
        "types": {str(tag): [known.kind.__name__, *known.fields] for tag, known in by_tag},
        "optional": {str(tag): len(known.fields) - known.required for tag, known in by_tag},
        "values": {
            f"{kind.__name__}.{name}": {member.name: int(member) for member in enumeration}
            for (kind, name), enumeration in _ENUMERATIONS.items()
        },
    }

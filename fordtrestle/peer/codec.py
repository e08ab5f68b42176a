"""Messages and records as CBOR: each type is a tag, its fields are an array in their order.

How they may change (`docs/design/versions.md`): a type may gain fields behind its last one, each with a
default that says what their lack means; whoever does not know them leaves them out. Anything else is another
type with another tag. A message that holds an unknown type is skipped by links, a record that does is
refused.
"""

from __future__ import annotations

from dataclasses import MISSING, dataclass, fields
from enum import IntEnum
from typing import Any

import cbor2

from fordtrestle.dissemination import delta, items, messages
from fordtrestle.replication import epochs, state
from fordtrestle.replication import messages as replication

PROTOCOL = 1  # the newest version of the protocol between processes that this program speaks
PROTOCOL_OLDEST = 1  # the oldest one
_UNTOLD = 0  # of the versions that did not tell


@dataclass(frozen=True, slots=True)
class Hello:
    """The first message of a connection: who has dialled, or who answers, and which versions it speaks."""

    node: str
    peer: str  # HOST:PORT that the sender listens at
    newest: int = _UNTOLD
    oldest: int = _UNTOLD


@dataclass(frozen=True, slots=True)
class Envelope:
    """A message from one store to another: a store that is no more must not be taken for its heir."""

    sender: str
    receiver: str
    message: replication.Message


class Retired:
    """Holds the tag of a type that had other fields, so that it is never used again."""


class CodecError(Exception):
    """Bytes that are no message of this protocol."""


class UnknownMessageError(CodecError):
    """A message of another version of the protocol: it holds a type or a value that is not known here."""


_FIRST_TAG = 48_100  # unassigned by IANA
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
)
_TAGS = {kind: _FIRST_TAG + index for index, kind in enumerate(_TYPES) if kind is not Retired}
_BY_TAG = {tag: kind for kind, tag in _TAGS.items()}
_FIELDS = {kind: tuple(field.name for field in fields(kind)) for kind in _TAGS}
_NEEDED = {kind: sum(field.default is MISSING for field in fields(kind)) for kind in _TAGS}
_ENUMS: dict[tuple[type, str], type[IntEnum]] = {
    (items.ServerRecord, "phase"): items.Phase,
    (items.MemberRecord, "availability"): items.Availability,
}

_ENUMS_OF = {
    kind: [(index, _ENUMS[kind, name]) for index, name in enumerate(names) if (kind, name) in _ENUMS]
    for kind, names in _FIELDS.items()
}


def _encode(encoder: cbor2.CBOREncoder, value: Any) -> None:
    kind = type(value)
    if isinstance(value, IntEnum):
        encoder.encode(int(value))
    elif kind in _TAGS:
        encoder.encode(cbor2.CBORTag(_TAGS[kind], [getattr(value, name) for name in _FIELDS[kind]]))
    else:
        raise CodecError(f"{kind.__name__} is no message")


def _decode(tag: Any, *_: Any) -> Any:
    kind = _BY_TAG.get(tag.tag)
    if kind is None:
        raise UnknownMessageError(f"unknown tag {tag.tag}")
    names, values = _FIELDS[kind], tag.value
    if not isinstance(values, list | tuple) or len(values) < _NEEDED[kind]:
        raise CodecError(f"{kind.__name__}: {_NEEDED[kind]} fields expected")
    # Fields beyond those known are of a later version, those that lack have their defaults.
    known = list(values[: len(names)])
    for index, enum in _ENUMS_OF[kind]:
        if index < len(known):
            known[index] = _member(enum, known[index])
    return kind(*known)


def _member(enum: type[IntEnum], value: Any) -> IntEnum:
    try:
        return enum(value)
    except ValueError as error:
        raise UnknownMessageError(str(error)) from error


def agreed_version(mine: Hello, other: Hello) -> int | None:
    """The newest version that both sides of a connection speak; nothing where there is none."""
    version = min(mine.newest, other.newest)
    return version if version >= max(mine.oldest, other.oldest) else None


def table() -> dict[str, Any]:
    """All types with their tags, fields and values by name, as they are on wires and disks."""
    return {
        "protocol": PROTOCOL,
        "types": {str(tag): [kind.__name__, *_FIELDS[kind]] for tag, kind in sorted(_BY_TAG.items())},
        "optional": {str(_TAGS[kind]): len(names) - _NEEDED[kind] for kind, names in _FIELDS.items()},
        "values": {
            f"{kind.__name__}.{name}": {member.name: int(member) for member in enum}
            for (kind, name), enum in _ENUMS.items()
        },
    }


def encode(message: Any) -> bytes:
    """The bytes of a message or record."""
    return cbor2.dumps(message, default=_encode)


def _ours(error: BaseException) -> CodecError:
    """What went wrong, in our terms: cbor2 wraps what the decoding of a tag raises, once a nested tag."""
    cause: BaseException | None = error
    while cause is not None:
        if isinstance(cause, CodecError):
            return cause
        cause = cause.__cause__
    return CodecError(str(error))


def decode(data: bytes) -> Any:
    """The message or record of these bytes; `CodecError` where there is none."""
    try:
        value = cbor2.loads(data, tag_hook=_decode, immutable=True)
    except (cbor2.CBORDecodeError, ValueError, TypeError, RecursionError) as error:
        raise _ours(error) from error
    if type(value) not in _TAGS:
        raise CodecError("no message")
    return value

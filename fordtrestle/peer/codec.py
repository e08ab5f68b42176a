"""Messages and records as CBOR: each type is a tag, its fields are an array in their order.

The tags are the protocol's version: a type that changes its fields gets a new tag, and unknown ones are
refused.
"""

from __future__ import annotations

from dataclasses import dataclass, fields
from enum import IntEnum
from typing import Any

import cbor2

from fordtrestle.dissemination import delta, items, messages
from fordtrestle.replication import epochs, state
from fordtrestle.replication import messages as replication


@dataclass(frozen=True, slots=True)
class Hello:
    """The first message of a connection: who has dialled, or who answers."""

    node: str
    peer: str  # HOST:PORT that the sender listens at


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


_FIRST_TAG = 48_100  # unassigned by IANA
_TYPES: tuple[type, ...] = (
    Hello,
    Envelope,
    epochs.Ballot,
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
    replication.Promised,
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
    messages.HasLink,
    messages.Vouch,
    replication.Resign,
    replication.Announce,
    replication.HeartbeatAck,
    state.TakenCall,
    state.ControlState,
    messages.Confirm,
    messages.Confirmed,
    messages.Offer,
    messages.Prune,
    delta.Copy,
    delta.ControlDelta,
    replication.Founder,
)
_TAGS = {kind: _FIRST_TAG + index for index, kind in enumerate(_TYPES) if kind is not Retired}
_BY_TAG = {tag: kind for kind, tag in _TAGS.items()}
_FIELDS = {kind: tuple(field.name for field in fields(kind)) for kind in _TAGS}
_ENUMS: dict[tuple[type, str], type[IntEnum]] = {
    (items.ServerRecord, "phase"): items.Phase,
    (items.MemberRecord, "availability"): items.Availability,
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
        raise CodecError(f"unknown tag {tag.tag}")
    names, values = _FIELDS[kind], tag.value
    if not isinstance(values, list | tuple) or len(values) != len(names):
        raise CodecError(f"{kind.__name__}: {len(names)} fields expected")
    given = {
        name: _ENUMS[kind, name](value) if (kind, name) in _ENUMS else value
        for name, value in zip(names, values, strict=True)
    }
    return kind(**given)


def encode(message: Any) -> bytes:
    """The bytes of a message or record."""
    return cbor2.dumps(message, default=_encode)


def decode(data: bytes) -> Any:
    """The message or record of these bytes; `CodecError` where there is none."""
    try:
        value = cbor2.loads(data, tag_hook=_decode, immutable=True)
    except CodecError:
        raise
    except (cbor2.CBORDecodeError, ValueError, TypeError, RecursionError) as error:
        raise CodecError(str(error)) from error
    if type(value) not in _TAGS:
        raise CodecError("no message")
    return value

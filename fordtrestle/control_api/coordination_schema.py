"""Parses and checks the names, bodies and queries of applications' coordination calls."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from marshmallow import EXCLUDE, Schema, fields, validate
from returns.result import Failure, Result, Success

from fordtrestle.control_api.configuration import ValidationErrors
from fordtrestle.control_api.json_body import check_object, is_storable, read_object
from fordtrestle.coordination.commands import (
    AcquireLock,
    Command,
    IssueNumber,
    PutKey,
    ReleaseLock,
    RenewLock,
)
from fordtrestle.coordination.limits import MAX_HOLD_MS, MAX_NAME_CHARACTERS, MAX_VALUE_CHARACTERS

MAX_BODY_BYTES = 64 * 1024
MAX_WAIT_MS = 60_000.0  # for which a watch may stay open
MAX_INTEGER = 2**63 - 1  # for fencing tokens and revisions

_HOLD_RANGE = validate.Range(min=0, min_inclusive=False, max=MAX_HOLD_MS)
_NAME_LENGTH = validate.Length(min=1, max=MAX_NAME_CHARACTERS)
_INTEGER_RANGE = validate.Range(min=0, max=MAX_INTEGER)


class _BodySchema(Schema):
    class Meta:
        unknown = EXCLUDE


class _AcquireSchema(_BodySchema):
    holder = fields.String(required=True, validate=_NAME_LENGTH)
    hold_ms = fields.Float(required=True, validate=_HOLD_RANGE)


class _RenewSchema(_AcquireSchema):
    fence = fields.Integer(required=True, strict=True, validate=_INTEGER_RANGE)


class _ReleaseSchema(_BodySchema):
    holder = fields.String(required=True, validate=_NAME_LENGTH)
    fence = fields.Integer(required=True, strict=True, validate=_INTEGER_RANGE)


class _PutSchema(_BodySchema):
    value = fields.String(required=True, validate=validate.Length(max=MAX_VALUE_CHARACTERS))
    if_revision = fields.Integer(load_default=None, allow_none=True, strict=True, validate=_INTEGER_RANGE)


class _WatchSchema(_BodySchema):
    after = fields.Integer(load_default=0, validate=_INTEGER_RANGE)
    wait_ms = fields.Float(load_default=0.0, validate=validate.Range(min=0, max=MAX_WAIT_MS))


@dataclass(frozen=True, slots=True)
class WatchQuery:
    """The query of a watch.

    Attributes:
        after: The revision after which events are wanted.
        wait_s: For how long to wait for an event, in seconds.
    """

    after: int
    wait_s: float


def read_lock_command(name: str, step: str, body: bytes) -> Result[Command, ValidationErrors]:
    """Parse a call on a lock.

    Args:
        name: The lock's name.
        step: The last segment of the path: `start`, `heartbeat` or `finish`.
        body: The body in JSON.

    Returns:
        The command, or all errors in the call.
    """
    match step:
        case "start":
            return _load(_AcquireSchema(), name, body).map(lambda data: AcquireLock(name, **data))
        case "heartbeat":
            return _load(_RenewSchema(), name, body).map(lambda data: RenewLock(name, **data))
        case _:
            return _load(_ReleaseSchema(), name, body).map(lambda data: ReleaseLock(name, **data))


def read_number_command(name: str, body: bytes) -> Result[Command, ValidationErrors]:
    """Parse a call for a number, whose body may be empty."""
    return _load(_BodySchema(), name, body or b"{}").map(lambda _: IssueNumber(name))


def read_put_command(key: str, body: bytes) -> Result[Command, ValidationErrors]:
    """Parse a put of a key."""
    return _load(_PutSchema(), key, body).map(lambda data: PutKey(key, data["value"], data["if_revision"]))


def read_watch_query(group: str, query: Mapping[str, str]) -> Result[WatchQuery, ValidationErrors]:
    """Parse the query of a watch."""
    return _check(_WatchSchema(), group, dict(query)).map(
        lambda data: WatchQuery(data["after"], data["wait_ms"] / 1000.0)
    )


def _load(schema: Schema, name: str, body: bytes) -> Result[dict[str, Any], ValidationErrors]:
    return check_name(name).bind(lambda _: read_object(schema, body))


def _check(schema: Schema, name: str, raw: Any) -> Result[dict[str, Any], ValidationErrors]:
    return check_name(name).bind(lambda _: check_object(schema, raw))


def check_name(name: str) -> Result[str, ValidationErrors]:
    """Check a name from a path, and return it or all errors in it."""
    if len(name) > MAX_NAME_CHARACTERS:
        return Failure(ValidationErrors((f"a name has {MAX_NAME_CHARACTERS} characters at most",)))
    if not is_storable(name):
        return Failure(ValidationErrors(("a name holds a lone surrogate",)))
    return Success(name)

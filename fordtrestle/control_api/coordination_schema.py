"""Reads and checks what applications send: names, bodies and queries of coordination calls."""

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
MAX_WAIT_MS = 60_000.0  # that a watch may be held
MAX_WHOLE_NUMBER = 2**63 - 1  # of fencing tokens and revisions

_HOLD = validate.Range(min=0, min_inclusive=False, max=MAX_HOLD_MS)
_NAME = validate.Length(min=1, max=MAX_NAME_CHARACTERS)
_WHOLE_NUMBER = validate.Range(min=0, max=MAX_WHOLE_NUMBER)


class _BodySchema(Schema):
    class Meta:
        unknown = EXCLUDE


class _AcquireSchema(_BodySchema):
    holder = fields.String(required=True, validate=_NAME)
    hold_ms = fields.Float(required=True, validate=_HOLD)


class _RenewSchema(_AcquireSchema):
    fence = fields.Integer(required=True, strict=True, validate=_WHOLE_NUMBER)


class _ReleaseSchema(_BodySchema):
    holder = fields.String(required=True, validate=_NAME)
    fence = fields.Integer(required=True, strict=True, validate=_WHOLE_NUMBER)


class _PutSchema(_BodySchema):
    value = fields.String(required=True, validate=validate.Length(max=MAX_VALUE_CHARACTERS))
    if_revision = fields.Integer(load_default=None, allow_none=True, strict=True, validate=_WHOLE_NUMBER)


class _WatchSchema(_BodySchema):
    after = fields.Integer(load_default=0, validate=_WHOLE_NUMBER)
    wait_ms = fields.Float(load_default=0.0, validate=validate.Range(min=0, max=MAX_WAIT_MS))


@dataclass(frozen=True, slots=True)
class WatchQuery:
    """What a watch asks for: the events after a revision, waited for that long."""

    after: int
    wait_s: float


def read_lock_command(name: str, step: str, body: bytes) -> Result[Command, ValidationErrors]:
    """Read a call on a lock; `step` is the last part of its path, `start`, `heartbeat` or `finish`."""
    match step:
        case "start":
            return _load(_AcquireSchema(), name, body).map(lambda data: AcquireLock(name, **data))
        case "heartbeat":
            return _load(_RenewSchema(), name, body).map(lambda data: RenewLock(name, **data))
        case _:
            return _load(_ReleaseSchema(), name, body).map(lambda data: ReleaseLock(name, **data))


def read_number_command(name: str, body: bytes) -> Result[Command, ValidationErrors]:
    """Read a call for a number. The body may be empty."""
    return _load(_BodySchema(), name, body or b"{}").map(lambda _: IssueNumber(name))


def read_put_command(key: str, body: bytes) -> Result[Command, ValidationErrors]:
    """Read a put."""
    return _load(_PutSchema(), key, body).map(lambda data: PutKey(key, data["value"], data["if_revision"]))


def read_watch_query(group: str, query: Mapping[str, str]) -> Result[WatchQuery, ValidationErrors]:
    """Read the query of a watch."""
    return _check(_WatchSchema(), group, dict(query)).map(
        lambda data: WatchQuery(data["after"], data["wait_ms"] / 1000.0)
    )


def _load(schema: Schema, name: str, body: bytes) -> Result[dict[str, Any], ValidationErrors]:
    return check_name(name).bind(lambda _: read_object(schema, body))


def _check(schema: Schema, name: str, raw: Any) -> Result[dict[str, Any], ValidationErrors]:
    return check_name(name).bind(lambda _: check_object(schema, raw))


def check_name(name: str) -> Result[str, ValidationErrors]:
    """Check the name in a path."""
    if len(name) > MAX_NAME_CHARACTERS:
        return Failure(ValidationErrors((f"a name has {MAX_NAME_CHARACTERS} characters at most",)))
    if not is_storable(name):
        return Failure(ValidationErrors(("a name holds a lone surrogate",)))
    return Success(name)

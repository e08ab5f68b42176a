"""Reads the JSON objects that callers send, so that each text in them can be stored and sent on."""

from __future__ import annotations

import json
from typing import Any

from marshmallow import Schema, ValidationError
from returns.result import Failure, Result, Success

from fordtrestle.control_api.configuration import ValidationErrors
from fordtrestle.settings.schema import flatten_errors


def read_object(schema: Schema, body: bytes) -> Result[dict[str, Any], ValidationErrors]:
    """Read and check an object.

    Args:
        schema: What its members have to be.
        body: The object in JSON.

    Returns:
        Its members, or all that is wrong with it.
    """
    try:
        raw = json.loads(body)
    except (ValueError, RecursionError) as error:
        return Failure(ValidationErrors((f"not JSON: {error}",)))
    return check_object(schema, raw)


def check_object(schema: Schema, raw: Any) -> Result[dict[str, Any], ValidationErrors]:
    """Check what was read from JSON or from a query, as `read_object` does."""
    if not isinstance(raw, dict):
        return Failure(ValidationErrors(("expected a JSON object",)))
    if not is_storable(raw):
        return Failure(ValidationErrors(("text holds a lone surrogate",)))
    try:
        data: dict[str, Any] = schema.load(raw)
    except ValidationError as error:
        return Failure(ValidationErrors(flatten_errors(error.messages)))
    return Success(data)


def is_storable(value: Any) -> bool:
    """Whether all text in a value is Unicode that UTF-8 can hold: records and messages are written in it.

    JSON allows half of a surrogate pair by itself (RFC 8259, section 8.2).
    """
    try:
        json.dumps(value, ensure_ascii=False).encode()
    except UnicodeEncodeError:
        return False
    return True

"""Parses and checks the JSON objects that callers send, whose strings all have to be storable."""

from __future__ import annotations

import json
from typing import Any

from marshmallow import Schema, ValidationError
from returns.result import Failure, Result, Success

from fordtrestle.control_api.configuration import ValidationErrors
from fordtrestle.settings.schema import flatten_errors


def read_object(schema: Schema, body: bytes) -> Result[dict[str, Any], ValidationErrors]:
    """Parse and check a JSON object.

    Args:
        schema: The schema of the object.
        body: The object in JSON.

    Returns:
        The members of the object, or all errors in it.
    """
    try:
        raw = json.loads(body)
    except (ValueError, RecursionError) as error:
        return Failure(ValidationErrors((f"not JSON: {error}",)))
    return check_object(schema, raw)


def check_object(schema: Schema, raw: Any) -> Result[dict[str, Any], ValidationErrors]:
    """Check a value that was parsed from JSON or from a query, as `read_object` does."""
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
    """Whether UTF-8, in which records and messages are written, can encode all strings in a value.

    JSON allows one half of a surrogate pair by itself (RFC 8259, section 8.2).
    """
    try:
        json.dumps(value, ensure_ascii=False).encode()
    except UnicodeEncodeError:
        return False
    return True

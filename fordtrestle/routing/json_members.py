"""Parses a JSON object member by member, and its lists row by row. Pure.

This allows a long document to be parsed in steps, with other work between them. The `json` module can only
parse a document as a whole.
"""

from __future__ import annotations

import json
import re
from collections.abc import Generator, Iterator
from typing import Any

from fordtrestle.routing.errors import JsonSyntaxError

_DECODER = json.JSONDecoder()
_WHITESPACE = re.compile(r"[ \t\r\n]*")


def iter_members(text: str) -> Iterator[tuple[str, Any]]:
    """Iterate over the members of a JSON object.

    Args:
        text: A JSON object.

    Yields:
        The name and value of each member. For a list, the name of the list and one row, once per row.

    Raises:
        JsonSyntaxError: The text is not a JSON object. Members before the error have been yielded.
    """
    position = _expect(text, 0, "{")
    if text[position] == "}":
        return
    while True:
        name, position = _decode(text, position)
        position = _expect(text, position, ":")
        if text[position] == "[":
            position = yield from _iter_rows(text, position, name)
        else:
            value, position = _decode(text, position)
            yield name, value
        position = _skip_whitespace(text, position)
        if text[position] == "}":
            return
        position = _expect(text, position, ",")


def _iter_rows(text: str, position: int, name: str) -> Generator[tuple[str, Any], None, int]:
    """Iterate over the rows of the list that starts at a position; return the position after the list."""
    position = _expect(text, position, "[")
    while text[position] != "]":
        row, position = _decode(text, position)
        yield name, row
        position = _skip_whitespace(text, position)
        if text[position] != "]":
            position = _expect(text, position, ",")
    return position + 1


def _decode(text: str, position: int) -> tuple[Any, int]:
    """Decode the value that starts at a position; return the value and the position after it."""
    try:
        return _DECODER.raw_decode(text, position)
    except json.JSONDecodeError as error:
        raise JsonSyntaxError(str(error)) from error


def _skip_whitespace(text: str, position: int) -> int:
    """Return the position of the next character that is not whitespace."""
    match = _WHITESPACE.match(text, position)
    end = match.end() if match else position
    if end == len(text):
        raise JsonSyntaxError(f"unexpected end of the text at position {end}")
    return end


def _expect(text: str, position: int, character: str) -> int:
    """Return the position after an expected character and the whitespace around it."""
    position = _skip_whitespace(text, position)
    if text[position] != character:
        raise JsonSyntaxError(f"found {text[position]!r} but expected {character!r} at position {position}")
    return _skip_whitespace(text, position + 1)

"""Reads a JSON object member by member, and lists in it row by row, so that a long one can be read in steps.
Pure.
"""

from __future__ import annotations

import json
import re
from collections.abc import Iterator
from typing import Any

_DECODER = json.JSONDecoder()
_SPACE = re.compile(r"[ \t\r\n]*")


def members(text: str) -> Iterator[tuple[str, Any]]:
    """Each member of the object that a text is, with its name; of a list its rows, each with the list's name.
    `ValueError` where the text is none.
    """
    at = _expect(text, 0, "{")
    if text[at] == "}":
        return
    while True:
        name, at = _DECODER.raw_decode(text, at)
        at = _expect(text, at, ":")
        if text[at] == "[":
            for row, behind in _rows(text, at):
                if row is not _END:
                    yield name, row
                at = behind
        else:
            value, at = _DECODER.raw_decode(text, at)
            yield name, value
        at = _skip(text, at)
        if text[at] == "}":
            return
        at = _expect(text, at, ",")


_END = object()


def _rows(text: str, at: int) -> Iterator[tuple[Any, int]]:
    """The rows of the list that begins there, each with the place behind it; last `_END`, behind the list."""
    at = _expect(text, at, "[")
    while text[at] != "]":
        row, at = _DECODER.raw_decode(text, at)
        yield row, at
        at = _skip(text, at)
        if text[at] != "]":
            at = _expect(text, at, ",")
    yield _END, at + 1


def _skip(text: str, at: int) -> int:
    """The place of the next character that is no blank. `ValueError` where there is none."""
    match = _SPACE.match(text, at)
    behind = match.end() if match else at
    if behind == len(text):
        raise ValueError("the text ends too early")
    return behind


def _expect(text: str, at: int, sign: str) -> int:
    """The place behind a sign and the blanks around it. `ValueError` where another one stands there."""
    at = _skip(text, at)
    if text[at] != sign:
        raise ValueError(f"{text[at]!r} stands in the place of {sign!r}")
    return _skip(text, at + 1)

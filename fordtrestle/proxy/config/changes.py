"""What differs between two readings of an operator file, and what of it can change at run time. Pure."""

from __future__ import annotations

import dataclasses
import re
from collections.abc import Iterator, Mapping
from typing import Any

# Fields that stand for a table by another name than their own.
TABLES = {
    "services": "service",
    "fronts": "front",
    "sources": "source",
    "classes": "class",
    "servers": "server",
}
AT_RUN_TIME = re.compile(
    r"source\.[^.]+\.(server|address)|limits\.(descriptors|buffered_bytes_most|open_calls_most)"
)


def changed(old: Any, new: Any) -> list[str]:
    """The full names of all keys that differ; a table that only one of the two has is named whole."""
    return list(_differ("", old, new))


def restarts(keys: list[str]) -> list[str]:
    """Those of them that only a new start can change."""
    return [key for key in keys if AT_RUN_TIME.fullmatch(key) is None]


def _differ(at: str, old: Any, new: Any) -> Iterator[str]:
    if old == new:
        return
    if type(old) is not type(new) or not (dataclasses.is_dataclass(old) or isinstance(old, Mapping)):
        yield at
        return
    before, after = _fields(old), _fields(new)
    for key in dict.fromkeys((*before, *after)):
        yield from _differ(f"{at}.{key}" if at else key, before.get(key), after.get(key))


def _fields(value: Any) -> Mapping[str, Any]:
    if isinstance(value, Mapping):
        return value
    names = [field.name for field in dataclasses.fields(value)]
    return {TABLES.get(name, name): getattr(value, name) for name in names}

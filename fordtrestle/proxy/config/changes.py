"""Finds the keys that differ between two operator files, and those that need a restart. Pure."""

from __future__ import annotations

import dataclasses
import re
from collections.abc import Iterator, Mapping
from typing import Any

# Fields of the configuration whose tables in the file have other names.
TABLE_NAMES = {
    "services": "service",
    "fronts": "front",
    "sources": "source",
    "classes": "class",
    "servers": "server",
}
RELOADABLE_KEY = re.compile(
    r"source\.[^.]+\.(server|address)|limits\.(descriptors|buffered_bytes_most|open_calls_most)"
)


def changed_keys(old: Any, new: Any) -> list[str]:
    """Return the full names of all keys that differ.

    A table that only one of the files has is reported by its own name, without its keys.
    """
    return list(_differences("", old, new))


def keys_needing_restart(keys: list[str]) -> list[str]:
    """Return the keys that a reload can't change."""
    return [key for key in keys if RELOADABLE_KEY.fullmatch(key) is None]


def _differences(path: str, old: Any, new: Any) -> Iterator[str]:
    if old == new:
        return
    if type(old) is not type(new) or not (dataclasses.is_dataclass(old) or isinstance(old, Mapping)):
        yield path
        return
    before, after = _fields(old), _fields(new)
    for key in dict.fromkeys((*before, *after)):
        yield from _differences(f"{path}.{key}" if path else key, before.get(key), after.get(key))


def _fields(value: Any) -> Mapping[str, Any]:
    if isinstance(value, Mapping):
        return value
    names = [field.name for field in dataclasses.fields(value)]
    return {TABLE_NAMES.get(name, name): getattr(value, name) for name in names}

"""The registry's JSON format of an endpoint list, parsed into typed values. Pure."""

from __future__ import annotations

import json
import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from fordtrestle.balancer import model
from fordtrestle.proxy.engine.ports import Address, ServerList, parse_address
from fordtrestle.proxy.membership.errors import ListError

STATES = frozenset(("active", "leaving", "left"))
MAX_VERSION = 2**63 - 1  # the largest signed 64-bit integer, as the stored format holds it
# What parsing raises on JSON of any shape; RecursionError on deeply nested JSON.
PARSE_ERRORS = (ValueError, KeyError, TypeError, AttributeError, ArithmeticError, RecursionError)


@dataclass(frozen=True, slots=True)
class NameIndices:
    """The index in the settings of each zone and each kind of machine, by the names that lists use."""

    zones: Mapping[str, int]
    kinds: Mapping[str, int]


def decode_list(text: bytes | bytearray, indices: NameIndices) -> ServerList:
    """Decode and parse a list.

    Raises:
        ListError: The text is no JSON or no list; the message is the reason.
    """
    try:
        return parse_list(json.loads(text), indices)
    except PARSE_ERRORS as error:
        raise ListError(str(error)) from error


def parse_list(raw: Any, indices: NameIndices) -> ServerList:
    """Parse a list from decoded JSON.

    Raises:
        ValueError: A field has a value out of range.
        KeyError: A field is missing.
        TypeError: A value has another type. Nested values may also raise what `PARSE_ERRORS` lists.
    """
    version, is_complete = int(raw["index"]), raw.get("snapshot") or False
    # A version out of range would make all later ones look old; a flag of another type, such as the text
    # "false", would turn changes into a complete list.
    if not 0 <= version <= MAX_VERSION or not isinstance(is_complete, bool):
        raise ValueError(f"index {version!r} or snapshot {is_complete!r} is none")
    entries: list[model.Listing] = []
    addresses: dict[str, Address] = {}
    for row in raw["endpoints"]:
        entry = _parse_entry(row, indices)
        entries.append(entry)
        if row.get("address"):
            addresses[entry.server] = parse_address(row["address"])
    return ServerList(version, is_complete, entries, addresses)


def _parse_entry(row: Mapping[str, Any], indices: NameIndices) -> model.Listing:
    state = row.get("status", "active")
    if state not in STATES:
        raise ValueError(f"status {state!r} is not known")
    return model.Listing(
        server=_parse_name(row["name"]),
        zone=indices.zones.get(row.get("zone", ""), 0),
        kind=indices.kinds.get(row.get("type", ""), 0),
        cell=int(row.get("group") or 0),
        state=state,
        weight=float(row.get("weight") or 1.0),
        # Unix time in milliseconds, on the clock that the decision module is given; 0 is long ago.
        started=parse_amount(row.get("since_ms") or 0.0),
    )


def _parse_name(value: Any) -> str:
    """Return a name that can be written to servers and to the log, or raise `ValueError`.

    A name that can't be encoded would raise only when the engine uses it, with half of the list taken in.
    """
    if not isinstance(value, str) or not value or not value.isprintable():
        raise ValueError(f"name {value!r} is none")
    return value


def parse_amount(value: Any) -> float:
    """Return a finite number of at least 0.

    Raises:
        ValueError: It is negative, infinite or no number.
        TypeError: It has another type.
    """
    amount = float(value)
    if not math.isfinite(amount) or amount < 0.0:
        raise ValueError(f"{value!r} is no amount")
    return amount

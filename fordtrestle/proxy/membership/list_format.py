"""Parses the registry's JSON format of an endpoint list into typed values. Pure."""

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
MAX_VERSION = 2**63 - 1  # the largest signed 64-bit integer, the limit of the stored format
# The errors that parsing raises on arbitrary JSON; RecursionError on deeply nested JSON.
PARSE_ERRORS = (ValueError, KeyError, TypeError, AttributeError, ArithmeticError, RecursionError)


@dataclass(frozen=True, slots=True)
class NameIndices:
    """The index in the settings of each zone and each machine kind, by its name in lists."""

    zones: Mapping[str, int]
    kinds: Mapping[str, int]


def decode_list(text: bytes | bytearray, indices: NameIndices) -> ServerList:
    """Decode and parse a list.

    Raises:
        ListError: The text is not JSON or not a list; the message says why.
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
        TypeError: A value has a wrong type. Nested values may also raise the other `PARSE_ERRORS`.
    """
    version, is_complete = int(raw["index"]), raw.get("snapshot") or False
    # A version out of range would make all later ones look old; a flag of a wrong type, such as the text
    # "false", would turn changes into a complete list.
    if not 0 <= version <= MAX_VERSION or not isinstance(is_complete, bool):
        raise ValueError(
            f"expected index 0 to 2^63 - 1 and a boolean snapshot, not {version!r} and {is_complete!r}"
        )
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
        raise ValueError(f"expected status active, leaving or left, not {state!r}")
    return model.Listing(
        server=_parse_name(row["name"]),
        zone=indices.zones.get(row.get("zone", ""), 0),
        kind=indices.kinds.get(row.get("type", ""), 0),
        cell=int(row.get("group") or 0),
        state=state,
        weight=float(row.get("weight") or 1.0),
        # Unix time in milliseconds, on the clock that the decision module gets; 0 means long ago.
        started=parse_amount(row.get("since_ms") or 0.0),
    )


def _parse_name(value: Any) -> str:
    """Return a name that can be sent to servers and logged.

    A name that can't be encoded would otherwise raise in the engine, when half of the list is applied.

    Raises:
        ValueError: The value is no text, empty, or has characters that are not printable.
    """
    if not isinstance(value, str) or not value or not value.isprintable():
        raise ValueError(f"expected a name of printable characters, not {value!r}")
    return value


def parse_amount(value: Any) -> float:
    """Return a finite number of at least 0.

    Raises:
        ValueError: The value is negative, infinite or not a number.
        TypeError: The value has a wrong type.
    """
    amount = float(value)
    if not math.isfinite(amount) or amount < 0.0:
        raise ValueError(f"expected a finite number of at least 0, not {value!r}")
    return amount

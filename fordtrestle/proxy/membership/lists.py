"""Discovery's form of a server list, read into values. Pure."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from fordtrestle.balancer import model
from fordtrestle.proxy.engine.ports import ServerList, parse_address

STATES = frozenset(("active", "leaving", "left"))
VERSION_MOST = 2**63 - 1


@dataclass(frozen=True, slots=True)
class NameIndices:
    """The zones and kinds of machine as lists name them, and the index in the settings of each."""

    zones: Mapping[str, int]
    kinds: Mapping[str, int]


def parse_list(raw: Any, indices: NameIndices) -> ServerList:
    """Read discovery's form of a list; `ValueError`, `KeyError` or `TypeError` if it is none."""
    version, whole = int(raw["index"]), raw.get("snapshot") or False
    # Guards against a line for which all others would be older, and against changes read as a whole list.
    if not 0 <= version <= VERSION_MOST or not isinstance(whole, bool):
        raise ValueError(f"index {version!r} or snapshot {whole!r} is none")
    entries, addresses = [], {}
    for row in raw["endpoints"]:
        entry = _listing(row, indices)
        entries.append(entry)
        if row.get("address"):
            addresses[entry.server] = parse_address(row["address"])
    return ServerList(version, whole, entries, addresses)


def _listing(row: Mapping[str, Any], indices: NameIndices) -> model.Listing:
    state = row.get("status", "active")
    if state not in STATES:
        raise ValueError(f"status {state!r} is not known")
    return model.Listing(
        server=_name(row["name"]),
        zone=indices.zones.get(row.get("zone", ""), 0),
        kind=indices.kinds.get(row.get("type", ""), 0),
        cell=int(row.get("group") or 0),
        state=state,
        weight=float(row.get("weight") or 1.0),
        # Unix time, on the clock that the module is given; 0 stays 0, which is long ago.
        started=amount(row.get("since_ms") or 0.0),
    )


def _name(value: Any) -> str:
    """Text that can be written to servers and to the log; `ValueError` if it is none.

    Guards against a list of which the engine takes in one half: a name that can't be encoded raised there.
    """
    if not isinstance(value, str) or not value or not value.isprintable():
        raise ValueError(f"name {value!r} is none")
    return value


def amount(value: Any) -> float:
    """A finite number of at least 0; `ValueError` or `TypeError` if it is none."""
    figure = float(value)
    if not math.isfinite(figure) or figure < 0.0:
        raise ValueError(f"{value!r} is no amount")
    return figure

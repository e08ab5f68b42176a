"""The home regions of a host's routes, for who does not route (RULES: HOME). Pure."""

from __future__ import annotations

import json
from collections.abc import Mapping


class Homes:
    """By host, as one configuration tells."""

    def __init__(self, by_host: Mapping[str, frozenset[str]]) -> None:
        self._by_host = by_host

    def of(self, host: str) -> frozenset[str] | None:
        """The regions that are home to each route of that host that has homes; nothing where none has any."""
        found = self._by_host.get(host.lower())
        if found is None and ":" in host:
            found = self._by_host.get(host.rpartition(":")[0].lower())
        return found


def read_homes(document: bytes) -> Homes:
    """Read a configuration that was checked when it was taken. A long one takes long: not for a busy loop."""
    by_host: dict[str, frozenset[str]] = {}
    for row in json.loads(document).get("routes", ()):
        homes = frozenset(row.get("home_regions") or ())
        if homes:
            host = row["authority"].lower()
            by_host[host] = by_host.get(host, homes) & homes
    return Homes(by_host)

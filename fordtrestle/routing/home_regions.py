"""Looks up the home regions of a host, for processes that do not route requests (RULES: HOME). Pure."""

from __future__ import annotations

import json
from collections.abc import Mapping

from fordtrestle.routing.common import RegionName


class HomeRegions:
    """The home regions of each host in one configuration."""

    def __init__(self, by_host: Mapping[str, frozenset[RegionName]]) -> None:
        """Wrap a mapping from hosts, in lower case, to their home regions."""
        self._by_host = by_host

    def of_host(self, host: str) -> frozenset[RegionName] | None:
        """Return the regions that are home regions of every route of a host.

        Routes without home regions are ignored.

        Args:
            host: The host, with or without a port.

        Returns:
            The regions; `None` if no route of the host has home regions.
        """
        home_regions = self._by_host.get(host.lower())
        if home_regions is None and ":" in host:
            home_regions = self._by_host.get(host.rpartition(":")[0].lower())
        return home_regions


def parse_home_regions(document: bytes) -> HomeRegions:
    """Parse the home regions from a configuration that was validated before it was activated.

    Parsing a long configuration would block the event loop: call this in another thread.
    """
    by_host: dict[str, frozenset[RegionName]] = {}
    for row in json.loads(document).get("routes", ()):
        home_regions = frozenset(row.get("home_regions") or ())
        if home_regions:
            host = row["authority"].lower()
            by_host[host] = by_host.get(host, home_regions) & home_regions
    return HomeRegions(by_host)

"""Subsetting: each sidecar keeps to a few servers: few connections, and something learned of each. Pure.

All sidecars lay the known servers on one ring, by name; each starts at a place of its own, spread evenly
(deterministic subsetting of Google's SRE book, chapter 20, on a ring, so that a changed list moves little).
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sized

from fordtrestle.balancer import model
from fordtrestle.balancer.servers import Server

SUBSET_SERVERS = 8
PRICED_SUBSET_SERVERS = 4  # where open connections cost: full tables also slow servers down
SERVERS_PER_IN_FLIGHT = 2  # a busy sidecar widens with its own requests in flight
GOLDEN_RATIO = (math.sqrt(5.0) - 1.0) / 2.0  # spreads sidecars' starting places evenly
RECENT_SERVERS_MS = 60_000.0  # in which a larger number of servers is forgotten


class Subset:
    """The servers that may be drawn, in the order in which this sidecar prefers them.

    Servers that are gone keep their places on the ring, so a crash moves few subsets. Zones are mixed: a
    local zone may have more traffic than its own servers can carry.

    Attributes:
        servers: All usable servers, from this sidecar's place on the ring on.
        local: Those of its own zone.
        remote: Those of other zones.
        groups: Those of each zone and cell.
        top_weight: The largest weight among them.
        recent_servers: How many there were of late, at least 1.
    """

    def __init__(self, now: float, settings: model.Settings) -> None:
        self.servers: list[Server] = []
        self.local: list[Server] = []
        self.remote: list[Server] = []
        self.groups: dict[tuple[str, int], list[Server]] = {}
        self.top_weight = 1.0
        self.recent_servers = 1.0
        self._recent_at = now
        self.apply_settings(settings, ())

    def apply_settings(self, settings: model.Settings, known: Iterable[Server]) -> None:
        """Go by these settings, with all known servers."""
        self._place = settings.me * GOLDEN_RATIO % 1.0
        self._zone = settings.locality
        self._size = PRICED_SUBSET_SERVERS if settings.prices.get("Connection") else SUBSET_SERVERS
        self._lay_out(known)

    def update(self, now: float, known: Iterable[Server]) -> None:
        """Draw from these servers from now on, as far as they are usable."""
        self._lay_out(known)
        faded = self.recent_servers * math.exp((self._recent_at - now) / RECENT_SERVERS_MS)
        self.recent_servers, self._recent_at = max(1.0, len(self.servers), faded), now

    def reach(self, servers: Sized, attempts: int, in_flight: int) -> int:
        """How many of these, from the first on, a request is drawn to.

        Args:
            servers: A list that is drawn from: all servers, or some of them in their order.
            attempts: How many the request has had: each widens the reach.
            in_flight: Own attempts that are out.
        """
        reach = self._size * (1 + attempts)
        if self._size > PRICED_SUBSET_SERVERS:
            reach += SERVERS_PER_IN_FLIGHT * in_flight
        return min(reach, len(servers))

    def _lay_out(self, known: Iterable[Server]) -> None:
        ring = sorted(known, key=lambda server: server.name)
        start = int(self._place * len(ring))
        self.servers = [server for server in ring[start:] + ring[:start] if server.is_usable]
        self.local = [server for server in self.servers if server.zone == self._zone]
        self.remote = [server for server in self.servers if server.zone != self._zone]
        self.groups = {}
        for server in self.servers:
            for group in ("zone", "cell"):
                self.groups.setdefault(server.group(group), []).append(server)
        self.top_weight = max((server.weight for server in self.servers), default=1.0)

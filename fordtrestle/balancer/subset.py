"""Subsetting: each sidecar uses a few servers, so that it needs few connections and learns about each. Pure.

All sidecars place the known servers on the same ring, ordered by name, and start at evenly spread positions
(deterministic subsetting of Google's SRE book, chapter 20; with a ring, a changed list changes few subsets).
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sized

from fordtrestle.balancer import model
from fordtrestle.balancer.servers import Server

SUBSET_SERVERS = 8
PRICED_SUBSET_SERVERS = 4  # if open connections have a cost; full connection tables also slow servers down
SERVERS_PER_IN_FLIGHT = 2  # further servers for each of the sidecar's own requests in flight
GOLDEN_RATIO = (math.sqrt(5.0) - 1.0) / 2.0  # spreads the start positions of sidecars evenly
RECENT_SERVERS_MS = 60_000.0  # time constant in which a larger number of servers is forgotten


class Subset:
    """The usable servers, in the order in which this sidecar prefers them.

    Servers that have left keep their positions on the ring, so that a crash changes few subsets. Zones are
    mixed, since a local zone may have more traffic than its own servers can carry.

    Attributes:
        servers: All usable servers, from this sidecar's position on the ring on.
        local: Those of its own zone.
        remote: Those of other zones.
        groups: Those of each zone and cell.
        top_weight: The largest weight among them.
        recent_server_count: The recent maximum of their number, which decays; at least 1.
    """

    def __init__(self, now: float, settings: model.Settings) -> None:
        self.servers: list[Server] = []
        self.local: list[Server] = []
        self.remote: list[Server] = []
        self.groups: dict[tuple[str, int], list[Server]] = {}
        self.top_weight = 1.0
        self.recent_server_count = 1.0
        self._recent_count_at = now
        self.apply_settings(settings, ())

    def apply_settings(self, settings: model.Settings, known: Iterable[Server]) -> None:
        """Apply changed settings to all known servers."""
        self._ring_position = settings.me * GOLDEN_RATIO % 1.0
        self._zone = settings.locality
        self._size = PRICED_SUBSET_SERVERS if settings.prices.get("Connection") else SUBSET_SERVERS
        self._rebuild(known)

    def update(self, now: float, known: Iterable[Server]) -> None:
        """Replace the known servers; those that are not usable are left out."""
        self._rebuild(known)
        faded = self.recent_server_count * math.exp((self._recent_count_at - now) / RECENT_SERVERS_MS)
        self.recent_server_count, self._recent_count_at = max(1.0, len(self.servers), faded), now

    def reach(self, servers: Sized, attempts: int, in_flight: int) -> int:
        """Return how many of these servers, from the first on, a request may be sent to.

        Args:
            servers: All usable servers, or some of them in their order.
            attempts: The number of attempts that the request has had; each one widens the reach.
            in_flight: This sidecar's attempts in flight.
        """
        reach = self._size * (1 + attempts)
        if self._size > PRICED_SUBSET_SERVERS:
            reach += SERVERS_PER_IN_FLIGHT * in_flight
        return min(reach, len(servers))

    def _rebuild(self, known: Iterable[Server]) -> None:
        ring = sorted(known, key=lambda server: server.name)
        start = int(self._ring_position * len(ring))
        self.servers = [server for server in ring[start:] + ring[:start] if server.is_usable]
        self.local = [server for server in self.servers if server.zone == self._zone]
        self.remote = [server for server in self.servers if server.zone != self._zone]
        self.groups = {}
        for server in self.servers:
            for group in ("zone", "cell"):
                self.groups.setdefault(server.group(group), []).append(server)
        self.top_weight = max((server.weight for server in self.servers), default=1.0)

"""Key affinity: a key is drawn to few servers, where they serve warm keys with less work. Pure.

Rendezvous hashing (Thaler and Ravishankar 1998) puts the servers of a key in the same order at all sidecars.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, MutableSequence
from typing import Any, Protocol

from fordtrestle.balancer import model
from fordtrestle.balancer.own_load import OwnLoad
from fordtrestle.balancer.requests import Request
from fordtrestle.balancer.servers import HASH_MASK, HASH_MULTIPLIER, Server
from fordtrestle.balancer.slow_start import SlowStart
from fordtrestle.balancer.subset import Subset
from fordtrestle.balancer.zones import ZoneFailover

SPREAD = 3.0  # servers for a key, as a multiple of its share of all servers: a popular key needs more
MIN_SERVERS_PER_KEY = 2  # one that fails or is full must not leave a key without any
USES_PER_CONNECTION = 2.0  # in the time that it may lie unused: a sidecar's keys reach so few servers
MIN_REACH = 8
OVERLOAD_IN_FLIGHT = 2.0  # times the mean in flight: a server with more passes its keys down the order
MIN_OVERLOAD_IN_FLIGHT = 3  # requests in flight that are no overload, whatever the mean
KEY_MEMORY = 128  # arrivals by which a key's share is judged

MayDraw = Callable[[float, Request, Server, list[Server], int], bool]


class RandomSource(Protocol):
    """What is drawn by here of a seeded generator."""

    def random(self) -> float:
        """A number from 0 to 1."""

    def shuffle(self, x: MutableSequence[Any]) -> None:
        """Put a list in random order."""


class KeyAffinity:
    """Knows the popular keys of late, and draws the servers of a key."""

    def __init__(
        self,
        settings: model.Settings,
        subset: Subset,
        own: OwnLoad,
        zones: ZoneFailover,
        slow_start: SlowStart,
        generator: RandomSource,
    ) -> None:
        """No key is known.

        Args:
            settings: The sidecar's settings.
            subset: The servers that are drawn from.
            own: The own rate of sends and attempts in flight.
            zones: Which zones can be reached.
            slow_start: How warm servers are.
            generator: A seeded generator.
        """
        self._subset = subset
        self._own = own
        self._zones = zones
        self._slow_start = slow_start
        self._generator = generator
        self._keys: deque[int] = deque()  # of the last arrivals, oldest first
        self._key_counts: dict[int, int] = {}
        self.apply_settings(settings)

    def apply_settings(self, settings: model.Settings) -> None:
        """Go by these settings."""
        self.is_on = settings.warm_keys
        self._is_handshake_priced = bool(settings.prices.get("Handshake"))
        self._idle_close = settings.idle_close

    def record_arrival(self, key: int) -> None:
        """Remember a key among the last arrivals, to know the popular ones."""
        self._keys.append(key)
        self._key_counts[key] = self._key_counts.get(key, 0) + 1
        if len(self._keys) > KEY_MEMORY:
            old = self._keys.popleft()
            self._key_counts[old] -= 1
            if not self._key_counts[old]:
                del self._key_counts[old]

    def draw(self, now: float, request: Request, key: int, may_draw: MayDraw) -> list[Server]:
        """The first servers in a key's rendezvous order, more of them for a popular key.

        A server that is cold or keeps pace badly passes a part of its keys down the order, as it would be
        drawn less often at random: hashing alone leaves hot servers hot.

        Args:
            now: The time in ms.
            request: The request.
            key: Its key.
            may_draw: Whether a request may go to a server, drawn from so many of a list.
        """
        ring = self._within_reach(now) if self._is_handshake_priced else self._subset.servers
        share = (self._key_counts.get(key, 1) - 1) / KEY_MEMORY
        width = max(MIN_SERVERS_PER_KEY, round(SPREAD * share * len(ring)))
        mixed_key = key * HASH_MULTIPLIER & HASH_MASK
        tried = [attempt.server for attempt in request.attempts]
        mean_in_flight = OVERLOAD_IN_FLIGHT * self._own.in_flight / max(1, len(self._subset.servers))
        overload = max(MIN_OVERLOAD_IN_FLIGHT, mean_in_flight)
        drawn: list[Server] = []
        for server in sorted(ring, key=lambda server: server.rank(mixed_key)):
            warmth = self._slow_start.warmth(now, server)
            if (warmth < 1.0 and request.attempts) or server.in_flight >= overload:
                continue
            fitness = warmth * server.pace.speed
            is_passed = fitness < 1.0 and self._generator.random() >= fitness
            if is_passed or server in tried or not may_draw(now, request, server, ring, len(ring)):
                continue
            drawn.append(server)
            if len(drawn) >= width:
                break
        # Own requests in flight are mostly none: ties must not all fall to the first.
        self._generator.shuffle(drawn)
        return drawn

    def _within_reach(self, now: float) -> list[Server]:
        """So many servers, from this sidecar's place on, as its own rate keeps connections to.

        Guards against a handshake for most requests where hundreds of sidecars ask little each, and spread
        keys over all servers. As many for a rate everywhere, so that all servers get alike; those in trouble
        are passed over for the next, so that the others never narrow.
        """
        servers = self._subset.servers
        reach = max(MIN_REACH, self._own.rate_per_ms(now) * self._idle_close / USES_PER_CONNECTION)
        if reach >= len(servers):
            return servers
        near: list[Server] = []
        for server in servers:
            if server.ejections or now < server.rest_until or self._zones.is_partitioned(now, server):
                continue
            near.append(server)
            if len(near) >= reach:
                return near
        return servers

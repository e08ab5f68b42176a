"""Key affinity: requests of a key go to few servers, since servers do less work for warm keys. Pure.

Rendezvous hashing (Thaler and Ravishankar 1998) orders the servers of a key identically in all sidecars.
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

SPREAD = 3.0  # servers per key, as a multiple of the key's share of all servers: a popular key needs more
MIN_SERVERS_PER_KEY = 2  # one server that fails or is full must not leave a key without a server
USES_PER_CONNECTION = 2.0  # minimum within the idle timeout; bounds the servers that a sidecar's keys reach
MIN_REACH = 8
OVERLOAD_IN_FLIGHT = 2.0  # times the mean in flight; a server with more passes its keys down the order
MIN_OVERLOAD_IN_FLIGHT = 3  # fewer requests in flight are no overload, whatever the mean
KEY_MEMORY = 128  # arrivals from which a key's share is computed

CandidateCheck = Callable[[float, Request, Server, list[Server], int], bool]


class RandomSource(Protocol):
    """The methods of a seeded random generator that this module uses."""

    def random(self) -> float:
        """Return a random number in [0, 1)."""

    def shuffle(self, x: MutableSequence[Any]) -> None:
        """Shuffle a list in place."""


class KeyAffinity:
    """Tracks recently popular keys, and selects the servers of a key."""

    def __init__(
        self,
        settings: model.Settings,
        subset: Subset,
        own: OwnLoad,
        zones: ZoneFailover,
        slow_start: SlowStart,
        generator: RandomSource,
    ) -> None:
        """Start without known keys.

        Args:
            settings: The sidecar's settings.
            subset: The servers to select from.
            own: This sidecar's send rate and attempts in flight.
            zones: Tells which zones are partitioned.
            slow_start: Tells how warm servers are.
            generator: A seeded random generator.
        """
        self._subset = subset
        self._own = own
        self._zones = zones
        self._slow_start = slow_start
        self._generator = generator
        self._keys: deque[int] = deque()  # of the latest arrivals, oldest first
        self._key_counts: dict[int, int] = {}
        self.apply_settings(settings)

    def apply_settings(self, settings: model.Settings) -> None:
        """Apply changed settings."""
        self.is_on = settings.warm_keys
        self._is_handshake_priced = bool(settings.prices.get("Handshake"))
        self._idle_close = settings.idle_close

    def record_arrival(self, key: int) -> None:
        """Count an arrival of a key."""
        self._keys.append(key)
        self._key_counts[key] = self._key_counts.get(key, 0) + 1
        if len(self._keys) > KEY_MEMORY:
            oldest_key = self._keys.popleft()
            self._key_counts[oldest_key] -= 1
            if not self._key_counts[oldest_key]:
                del self._key_counts[oldest_key]

    def select(self, now: float, request: Request, key: int, is_candidate: CandidateCheck) -> list[Server]:
        """Select the first servers in a key's rendezvous order, more of them for a popular key.

        A cold or slow server passes a part of its keys down the order, just as a random selection would
        choose it less often: with hashing alone, overloaded servers stay overloaded.

        Args:
            now: The time in ms.
            request: The request.
            key: The request's key.
            is_candidate: Tells whether the request may go to a server; it is also given the list that the
                server was selected from, and how many servers of the list, from the first on, were eligible
                for selection.

        Returns:
            The selected servers in random order; empty if the request may go to none of them.
        """
        ring = self._reachable_servers(now) if self._is_handshake_priced else self._subset.servers
        share = (self._key_counts.get(key, 1) - 1) / KEY_MEMORY
        max_candidates = max(MIN_SERVERS_PER_KEY, round(SPREAD * share * len(ring)))
        mixed_key = key * HASH_MULTIPLIER & HASH_MASK
        tried = [attempt.server for attempt in request.attempts]
        mean_in_flight = OVERLOAD_IN_FLIGHT * self._own.in_flight / max(1, len(self._subset.servers))
        overload_in_flight = max(MIN_OVERLOAD_IN_FLIGHT, mean_in_flight)
        candidates: list[Server] = []
        for server in sorted(ring, key=lambda server: server.rank(mixed_key)):
            warmth = self._slow_start.warmth(now, server)
            if (warmth < 1.0 and request.attempts) or server.in_flight >= overload_in_flight:
                continue
            fitness = warmth * server.pace.speed
            is_skipped = fitness < 1.0 and self._generator.random() >= fitness
            if is_skipped or server in tried or not is_candidate(now, request, server, ring, len(ring)):
                continue
            candidates.append(server)
            if len(candidates) >= max_candidates:
                break
        # Most servers have no requests of this sidecar in flight: ties must not always go to the first.
        self._generator.shuffle(candidates)
        return candidates

    def _reachable_servers(self, now: float) -> list[Server]:
        """Return as many servers, from this sidecar's ring position on, as its send rate keeps connected.

        Guards against a handshake for most requests, which occurs if hundreds of sidecars send few requests
        each and spread their keys over all servers. The count depends on the rate alone, so that all servers
        get similar load. Ejected, unavailable and partitioned servers are replaced by the next ones on the
        ring, so that the number of servers does not shrink.
        """
        servers = self._subset.servers
        reach = max(MIN_REACH, self._own.rate_per_ms(now) * self._idle_close / USES_PER_CONNECTION)
        if reach >= len(servers):
            return servers
        reachable: list[Server] = []
        for server in servers:
            if server.ejections or now < server.unavailable_until or self._zones.is_partitioned(now, server):
                continue
            reachable.append(server)
            if len(reachable) >= reach:
                return reachable
        return servers

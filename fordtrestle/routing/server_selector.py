"""Selects the server for one send: local region first, others by their share, warm-up last. Pure."""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence

from fordtrestle.admission.cross_region_share import CrossRegionShare
from fordtrestle.admission.warm_up_budget import WarmUpBudget
from fordtrestle.routing.common import Draw, InstanceId, Prompt, RegionName, ServiceName, ZoneName
from fordtrestle.routing.pick_server import pick_server
from fordtrestle.routing.prefill_rate import PrefillRate
from fordtrestle.routing.route import Route
from fordtrestle.routing.server import Server
from fordtrestle.routing.server_table import split_by_region
from fordtrestle.routing.view import View

# Weight of prefill time against the round trip to another region: prefill also delays the queued requests.
PREFILL_WEIGHT = 2.0
MEAN_GAIN = 0.02  # weight of the newest prompt in the mean size, which covers about fifty prompts
INITIAL_MEAN_TOKENS = 1000.0  # initial mean size of the unshared part of a prompt


class ServerSelector:
    """Selects servers by the state that a sidecar knows at the time of a send."""

    def __init__(
        self,
        view: View,
        warm_up_budget: WarmUpBudget,
        zone: ZoneName,
        region: RegionName,
        draw: Draw,
        round_trip_s: Callable[[RegionName], float | None],
    ) -> None:
        """Create a selector without learned rates.

        Args:
            view: The newest state that this sidecar knows.
            warm_up_budget: This sidecar's share of the request rate of servers in warm-up.
            zone: The zone of this sidecar.
            region: The region of this sidecar.
            draw: The random source.
            round_trip_s: Returns the round-trip time to a region, in seconds; `None` while it is unknown.
        """
        self._view = view
        self._warm_up_budget = warm_up_budget
        self._zone = zone
        self._region = region
        self._draw = draw
        self._round_trip_s = round_trip_s
        self._prefill_rates: dict[ServiceName, PrefillRate] = {}
        self._cross_region_shares: dict[ServiceName, CrossRegionShare] = {}
        self._mean_tokens = INITIAL_MEAN_TOKENS

    def select(
        self, route: Route, callee: ServiceName, prompt: Prompt, tried: Collection[InstanceId], now: float
    ) -> Server | None:
        """Select a server.

        Args:
            route: The route of the request.
            callee: The service that the request goes to.
            prompt: The description of its prompt.
            tried: Servers that were already sent the request.
            now: Seconds of the loop's clock.

        Returns:
            The server; `None` if none can accept the request now.
        """
        if prompt.own_tokens:
            self._mean_tokens += MEAN_GAIN * (prompt.own_tokens - self._mean_tokens)
        usable = self._view.servers.usable(callee, self._view.evacuated_zones, route.home_regions, now)
        local, remote = split_by_region(usable, self._zone, self._region)
        cache_candidates = [*local, *self._faster_than_prefill(callee, prompt, remote)]
        first, second = local, remote
        if local and remote and self._draw() < self._cross_region_share(callee).share:
            first, second = remote, local
        preferred = cache_candidates if len(cache_candidates) > len(first) else first
        for candidates in (preferred, first, second):
            warm = [server for server in candidates if not server.is_warming_up(now)]
            server = pick_server(warm, prompt, tried, now, self._draw, self._mean_tokens)
            if server:
                return server
        return self._select_warming([*first, *second], callee, tried, now)

    def on_answer(
        self,
        callee: ServiceName,
        server: Server,
        prompt: Prompt,
        delay_s: float,
        latency_target_s: float,
        now: float,
    ) -> None:
        """Update the delays and the prefill rate with a response.

        Args:
            callee: The service.
            server: The server that responded.
            prompt: The description of the request's prompt.
            delay_s: The time from the send to the start of the response, in seconds.
            latency_target_s: The latency target of the route, in seconds.
            now: Seconds of the loop's clock.
        """
        delay = delay_s / latency_target_s
        server.record_delay(delay, now)
        share = self._cross_region_share(callee)
        if server.region != self._region:
            share.record_remote_delay(delay)
            return
        share.record_local_delay(delay)
        if prompt.own_tokens:
            self._prefill_rate(callee).record(prompt.own_tokens, delay_s)

    def _faster_than_prefill(
        self, callee: ServiceName, prompt: Prompt, remote: Sequence[Server]
    ) -> list[Server]:
        """Return the remote servers whose round trip takes less time than (weighted) prefill of shared parts.

        For such prompts the cache holders are selected among the servers of these regions as well. Otherwise
        each region would compute and cache the shared parts, and have less cache memory for others.
        """
        saved_s = PREFILL_WEIGHT * self._prefill_rate(callee).duration_s(prompt.shared_tokens)
        round_trips = {server.region: self._round_trip_s(server.region) for server in remote}
        close_regions = {
            region
            for region, round_trip_s in round_trips.items()
            if round_trip_s is not None and round_trip_s < saved_s
        }
        return [server for server in remote if server.region in close_regions]

    def _select_warming(
        self, servers: Sequence[Server], callee: ServiceName, tried: Collection[InstanceId], now: float
    ) -> Server | None:
        """Return the least loaded server in warm-up whose rate limit permits one more request."""
        table = self._view.table
        service = table.services.get(callee) if table else None
        rate_per_s = service.warm_up_rate_per_s if service else 0.0
        for server in sorted(servers, key=lambda server: server.in_flight):
            if server.instance in tried or not server.is_warming_up(now):
                continue
            if rate_per_s <= 0 or self._try_acquire_warm_up(server, rate_per_s, now):
                return server
        return None

    def _try_acquire_warm_up(self, server: Server, rate_per_s: float, now: float) -> bool:
        """Acquire a request from this sidecar's share of a warm-up rate; return whether it succeeded.

        A sidecar that has just started does not know how many sidecars share the rate, and sends no requests.
        """
        if not self._view.knows_peers(now):
            return False
        return self._warm_up_budget.try_acquire(server.instance, rate_per_s, self._view.sidecars, now)

    def _prefill_rate(self, callee: ServiceName) -> PrefillRate:
        return self._prefill_rates.setdefault(callee, PrefillRate())

    def _cross_region_share(self, callee: ServiceName) -> CrossRegionShare:
        return self._cross_region_shares.setdefault(callee, CrossRegionShare())

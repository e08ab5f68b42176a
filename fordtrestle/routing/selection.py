"""The server for one send: the near region first, others by what spills over, cold servers by their budget.
Pure.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence

from fordtrestle.admission.budgets import ColdBudget
from fordtrestle.admission.spill import Spill
from fordtrestle.routing.pick import Prompt, pick
from fordtrestle.routing.reading import ReadingRate
from fordtrestle.routing.servers import Server, nearest
from fordtrestle.routing.table import Route
from fordtrestle.routing.view import View

READING_WEIGHT = 2.0  # of reading against crossing: it holds up the requests behind it as well
MEAN_GAIN = 0.02
FIRST_MEAN = 1000.0


class Selection:
    """Chooses by what a sidecar knows at the moment of the send."""

    def __init__(
        self,
        view: View,
        cold: ColdBudget,
        zone: str,
        region: str,
        draw: Callable[[], float],
        crossing_s: Callable[[str], float | None],
    ) -> None:
        self._view = view
        self._cold = cold
        self._zone = zone
        self._region = region
        self._draw = draw
        self._crossing_s = crossing_s  # there and back to a region, where that is known
        self._reading: dict[str, ReadingRate] = {}
        self._spills: dict[str, Spill] = {}
        self._mean_tokens = FIRST_MEAN  # of a prompt's own part

    def choose(
        self, route: Route, callee: str, prompt: Prompt, tried: Collection[str], now: float
    ) -> Server | None:
        """A server that may take the request now and is not among those tried; nothing where there is
        none.
        """
        view = self._view
        if prompt.own:
            self._mean_tokens += MEAN_GAIN * (prompt.own - self._mean_tokens)
        usable = view.servers.usable(callee, view.evacuated, route.home_regions, now)
        near, far = nearest(usable, self._zone, self._region)
        holders = [*near, *self._worth_crossing(callee, prompt, far)]
        if near and far and self._draw() < self._spill(callee).share:
            near, far = far, near
        for among in (holders if len(holders) > len(near) else near, near, far):
            warm = [server for server in among if not server.is_cold(now)]
            server = pick(warm, prompt, tried, now, self._draw, self._mean_tokens)
            if server:
                return server
        return self._choose_cold(callee, [*near, *far], tried, now)

    def answered(
        self, callee: str, server: Server, prompt: Prompt, waited_s: float, target_s: float, now: float
    ) -> None:
        """Learn how long a server's answer began to come after the send."""
        is_near = server.region == self._region
        server.record_delay(waited_s / target_s, now)
        self._spill(callee).learn(is_near, waited_s / target_s)
        if is_near and prompt.own:
            self._rate(callee).learn(prompt.own, waited_s)

    def _worth_crossing(self, callee: str, prompt: Prompt, far: Sequence[Server]) -> list[Server]:
        """The servers of other regions that a prompt reaches sooner than its shared parts are read anew.

        Such prompts have one holder among all regions: each region that held their parts as well would read
        them as well, and have less room for others.
        """
        reading_s = self._rate(callee).seconds(prompt.shared_tokens)
        crossings = {server.region: self._crossing_s(server.region) for server in far}
        saved_s = READING_WEIGHT * reading_s
        near_enough = {region for region, took in crossings.items() if took is not None and took < saved_s}
        return [server for server in far if server.region in near_enough]

    def _rate(self, callee: str) -> ReadingRate:
        return self._reading.setdefault(callee, ReadingRate())

    def _choose_cold(
        self, callee: str, servers: Sequence[Server], tried: Collection[str], now: float
    ) -> Server | None:
        table = self._view.table
        service = table.services.get(callee) if table else None
        rate = service.cold_rate_s if service else 0.0
        for server in sorted(servers, key=lambda server: server.in_flight):
            if server.instance in tried or not server.is_cold(now):
                continue
            if rate <= 0 or self._allows_cold(server, rate, now):
                return server
        return None

    def _allows_cold(self, server: Server, rate: float, now: float) -> bool:
        """Whether this sidecar's part of a cold server's rate has room.

        One that has just started does not know among how many the rate is shared, and sends none.
        """
        if not self._view.knows_peers(now):
            return False
        return self._cold.allows(server.instance, rate, self._view.sidecars, now)

    def _spill(self, callee: str) -> Spill:
        return self._spills.setdefault(callee, Spill())

"""Limits how long and how many outlier servers are ejected. Pure.

An ejection expires by itself, and each further one within a short time lasts twice as long. This dampens a
flapping server, returns a recovered one to use quickly, and needs no notification. However many servers are
ejected, at most a share of each region's servers is excluded, so that neither a faulty link of the caller nor
a wrong report can exclude a whole region.

Source: Envoy's documentation, "Outlier detection" (base ejection time, maximum ejection percentage).
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from typing import Protocol, TypeVar

from more_itertools import map_reduce

from fordtrestle.routing.outcome_counts import OutcomeCounts
from fordtrestle.routing.outlier_detection import is_outlier

BASE_EJECTION_S = 2.0  # duration of a first ejection; each expiry is a trial that costs some requests
MAX_DOUBLINGS = 4  # limits an ejection to 32 s
FLAP_WINDOW_S = 20.0  # a new ejection within this time after the last one's end lasts longer
MAX_EJECTED_SHARE = 0.34  # of the usable servers of a service in a region: one of three, none of two


@dataclass(slots=True)
class Ejection:
    """The last ejection of a server, and the number of ejections in succession.

    Attributes:
        until: The end of the last ejection, in seconds of a monotonic clock.
        count: The number of ejections in succession, including the last one; at most `MAX_DOUBLINGS` + 1.
    """

    until: float = float("-inf")
    count: int = 0

    def start(self, now: float) -> float:
        """Eject the server from now on; return the duration of the ejection, in seconds."""
        follows_soon = now < self.until + FLAP_WINDOW_S
        self.count = min(self.count, MAX_DOUBLINGS) + 1 if follows_soon else 1
        duration_s = BASE_EJECTION_S * 2.0 ** (self.count - 1)
        self.until = now + duration_s
        return duration_s


@dataclass(slots=True)
class ServerHealth:
    """The outcomes and ejections of one server, as one sidecar knows them.

    Attributes:
        outcomes: The outcomes of this sidecar's own requests.
        own_ejection: The ejection based on these outcomes.
        fleet_ejected_until: The end of the ejection by a control process, which is based on the reports of
            several sidecars, in seconds of a monotonic clock.
    """

    outcomes: OutcomeCounts = field(default_factory=OutcomeCounts)
    own_ejection: Ejection = field(default_factory=Ejection)
    fleet_ejected_until: float = float("-inf")

    def record_outcome(self, failed: bool, others: Iterable[OutcomeCounts], now: float) -> bool:
        """Count the outcome of a request, and eject the server if it is an outlier.

        A failure during an ejection does not extend the ejection, because requests that were sent before it
        may still be in flight.

        Args:
            failed: Whether the request failed.
            others: The outcomes of the other servers of its service.
            now: Seconds of a monotonic clock.

        Returns:
            Whether the server was ejected by this call.
        """
        self.outcomes.add(not failed, failed, now)
        if not failed or now < self.own_ejection.until or not is_outlier(self.outcomes, others, now):
            return False
        self.own_ejection.start(now)
        return True

    def is_ejected(self, now: float) -> bool:
        """Return whether the server is ejected. It is used anyway if its region has too few other servers."""
        return now < self.own_ejection.until or now < self.fleet_ejected_until

    def ejection_rank(self, now: float) -> tuple[bool, float]:
        """Return a sort key: if not all ejected servers may be excluded, those with the largest key are.

        Ejections by this sidecar rank above those by a control process, and later ends above earlier ones.
        """
        return now < self.own_ejection.until, max(self.own_ejection.until, self.fleet_ejected_until)


class Ejectable(Protocol):
    """The attributes of a server that ejection depends on."""

    health: ServerHealth

    @property
    def region(self) -> str:
        """The region of the server."""


AnyServer = TypeVar("AnyServer", bound=Ejectable)


def without_ejected(usable: Collection[AnyServer], now: float) -> list[AnyServer]:
    """Return the usable servers without the ejected ones, in their order.

    At least the greater part of each region's servers remains, however many are ejected.
    """
    ejected = [server for server in usable if server.health.is_ejected(now)]
    if not ejected:
        return list(usable)
    region_sizes = map_reduce(usable, keyfunc=lambda server: server.region, reducefunc=len)
    ejected_by_region = map_reduce(ejected, keyfunc=lambda server: server.region)
    excluded = {
        id(server)
        for region, region_ejected in ejected_by_region.items()
        for server in _limit_ejected(region_ejected, region_sizes[region], now)
    }
    return [server for server in usable if id(server) not in excluded]


def _limit_ejected(ejected: Iterable[AnyServer], region_size: int, now: float) -> list[AnyServer]:
    """Return the ejected servers of a region that are excluded, up to `MAX_EJECTED_SHARE`."""
    ranked = sorted(ejected, key=lambda server: server.health.ejection_rank(now), reverse=True)
    return ranked[: int(MAX_EJECTED_SHARE * region_size)]

"""For how long outliers are left out of use, and how many of them at most. Pure.

An ejection ends by itself, and each that follows soon lasts twice as long: a server that flaps is damped, one
that has recovered is back soon, and nobody has to be told of it. However many are ejected, at most a part of
each region's servers is left out, so that neither a caller's own bad link nor a wrong report empties one.

Source: Envoy's documentation, "Outlier detection" (base ejection time, maximum ejection percentage).
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from typing import Protocol, TypeVar

from more_itertools import map_reduce

from fordtrestle.routing.outcome_counts import OutcomeCounts
from fordtrestle.routing.outlier_detection import is_outlier

BASE_EJECTION_S = 2.0  # of a first ejection: the end of each is a trial that costs some requests
MAX_DOUBLINGS = 4  # so that no ejection lasts longer than 32 s
FLAP_WINDOW_S = 20.0  # after the end of an ejection, in which the next one lasts longer
MAX_EJECTED_SHARE = 0.34  # of a region's usable servers of a service: one of three, none of two


@dataclass(slots=True)
class Ejection:
    """For how long a server is left out, and how often it was lately.

    Attributes:
        until: The end of the last ejection, in seconds of a monotonic clock.
        count: Ejections that followed one another, this one included; bounded by `MAX_DOUBLINGS` + 1.
    """

    until: float = float("-inf")
    count: int = 0

    def start(self, now: float) -> float:
        """Leave the server out from now on; return for how long, in seconds."""
        follows_soon = now < self.until + FLAP_WINDOW_S
        self.count = min(self.count, MAX_DOUBLINGS) + 1 if follows_soon else 1
        duration_s = BASE_EJECTION_S * 2.0 ** (self.count - 1)
        self.until = now + duration_s
        return duration_s


@dataclass(slots=True)
class ServerHealth:
    """What a sidecar knows of how a server's requests end.

    Attributes:
        outcomes: The outcomes of this sidecar's own requests.
        own_ejection: The ejection that follows from them.
        fleet_ejected_until: Until when a control process has it ejected on the evidence of several sidecars,
            in seconds of a monotonic clock.
    """

    outcomes: OutcomeCounts = field(default_factory=OutcomeCounts)
    own_ejection: Ejection = field(default_factory=Ejection)
    fleet_ejected_until: float = float("-inf")

    def record_outcome(self, failed: bool, others: Iterable[OutcomeCounts], now: float) -> bool:
        """Count the end of a request.

        A failure while the server is ejected does not prolong the ejection: requests that were sent before
        it are still to end.

        Args:
            failed: Whether the request failed.
            others: The outcomes of the other servers of its service.
            now: Seconds of a monotonic clock.

        Returns:
            Whether this ejects the server.
        """
        self.outcomes.add(not failed, failed, now)
        if not failed or now < self.own_ejection.until or not is_outlier(self.outcomes, others, now):
            return False
        self.own_ejection.start(now)
        return True

    def is_ejected(self, now: float) -> bool:
        """Return whether the server is to be left out, as far as its region has enough others."""
        return now < self.own_ejection.until or now < self.fleet_ejected_until

    def ejection_rank(self, now: float) -> tuple[bool, float]:
        """Return a sort key: where not all may be left out, those with the greatest are.

        A sidecar's own evidence goes before that of others, and later ends before earlier ones.
        """
        return now < self.own_ejection.until, max(self.own_ejection.until, self.fleet_ejected_until)


class Ejectable(Protocol):
    """A server as far as ejection looks at it."""

    health: ServerHealth

    @property
    def region(self) -> str:
        """The region of the server."""


AnyServer = TypeVar("AnyServer", bound=Ejectable)


def without_ejected(usable: Collection[AnyServer], now: float) -> list[AnyServer]:
    """Return the usable servers without those that are ejected, in their order.

    Of each region at least the greater part is left, whatever is ejected.
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
    """Return those of a region's ejected servers that are really left out."""
    ranked = sorted(ejected, key=lambda server: server.health.ejection_rank(now), reverse=True)
    return ranked[: int(MAX_EJECTED_SHARE * region_size)]

"""Servers that fail more of their requests than the others of their service do: outlier detection. Pure.

A server is compared with the median of the others of its service: what befalls most of them ejects none, and
several that fail do not hide one another. An ejection ends by itself; each that follows soon lasts twice as
long. However many are ejected, at most a share of each region's servers is left out of use, so that neither a
caller's own bad link nor a wrong word empties one.

Source: Envoy's documentation, "Outlier detection"; Huang et al., "Gray Failure" (HotOS 2017).
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from statistics import median
from typing import Protocol, TypeVar

from more_itertools import map_reduce

HALF_LIFE_S = 5.0  # of the outcomes that are counted
FAILURES_LEAST = 1.5  # of late: one is chance
SHARE_LEAST = 0.25  # of a server's requests that have to fail
TIMES_OTHERS = 3.0  # that this share has to be of the median of the others' shares
OUTCOMES_LEAST = 0.5  # of late, that let a server be compared with
EJECTION_S = 2.0  # of the first one
DOUBLINGS_MOST = 4
FORGIVEN_S = 20.0  # after the end of an ejection, in which the next one is longer
EJECTED_MOST = 0.34  # of a region's usable servers of a service

FAILURE_STATUSES = frozenset({500, 501, 502, 505, 506, 507, 508, 510, 511})  # 503 and 504 tell of load


@dataclass(slots=True)
class Tally:
    """How many requests ended well and how many failed, of late. Times are s of a steady clock."""

    good: float = 0.0
    bad: float = 0.0
    at: float = 0.0

    def add(self, good: float, bad: float, now: float) -> None:
        """Count outcomes."""
        self._decay(now)
        self.good += good
        self.bad += bad

    def recent(self, now: float) -> Tally:
        """What is left of it now."""
        self._decay(now)
        return self

    @property
    def total(self) -> float:
        """All outcomes."""
        return self.good + self.bad

    @property
    def bad_share(self) -> float:
        """The failures' share of all outcomes, of which there must be some."""
        return self.bad / self.total

    def _decay(self, now: float) -> None:
        left = 0.5 ** (max(0.0, now - self.at) / HALF_LIFE_S)
        self.good *= left
        self.bad *= left
        self.at = max(self.at, now)


def is_outlier(server: Tally, others: Iterable[Tally], now: float) -> bool:
    """Whether a server fails so much more than the others of its service."""
    if server.recent(now).bad < FAILURES_LEAST:
        return False
    shares = [other.bad_share for other in others if other.recent(now).total >= OUTCOMES_LEAST]
    if not shares:
        return False  # there is nobody to compare with
    return server.bad_share >= max(SHARE_LEAST, TIMES_OTHERS * median(shares))


@dataclass(slots=True)
class Ejection:
    """For how long a server is left out, and how often it was of late."""

    until: float = float("-inf")
    count: int = 0

    def begin(self, now: float) -> float:
        """Leave it out from now on; for how long, in s."""
        soon = now < self.until + FORGIVEN_S
        self.count = min(self.count, DOUBLINGS_MOST) + 1 if soon else 1
        lasts_s = EJECTION_S * 2.0 ** (self.count - 1)
        self.until = now + lasts_s
        return lasts_s


@dataclass(slots=True)
class Health:
    """What a sidecar knows of how a server's requests end: what it saw itself, and what it was told."""

    outcomes: Tally = field(default_factory=Tally)
    own: Ejection = field(default_factory=Ejection)
    told_until: float = float("-inf")

    def note(self, failed: bool, others: Iterable[Tally], now: float) -> bool:
        """Count the end of a request; whether that ejects the server, among the others of its service."""
        self.outcomes.add(not failed, failed, now)
        if not failed or now < self.own.until or not is_outlier(self.outcomes, others, now):
            return False
        self.own.begin(now)
        return True

    def is_ejected(self, now: float) -> bool:
        """Whether it is to be left out, as far as there are others."""
        return now < self.own.until or now < self.told_until

    def weight(self, now: float) -> tuple[bool, float]:
        """Which ejections go first where not all may: one's own evidence before what was told."""
        return now < self.own.until, max(self.own.until, self.told_until)


class Ejectable(Protocol):
    """A server as far as it is looked at here."""

    health: Health

    @property
    def region(self) -> str: ...


AnyServer = TypeVar("AnyServer", bound=Ejectable)


def without_ejected(usable: Collection[AnyServer], now: float) -> list[AnyServer]:
    """Those that are left, at least the greater part of each region's, in their order."""
    ejected = [server for server in usable if server.health.is_ejected(now)]
    if not ejected:
        return list(usable)
    sizes = map_reduce(usable, keyfunc=lambda server: server.region, reducefunc=len)
    by_region = map_reduce(ejected, keyfunc=lambda server: server.region)
    left_out = [server for region, some in by_region.items() for server in _first(some, sizes[region], now)]
    kept_out = set(map(id, left_out))
    return [server for server in usable if id(server) not in kept_out]


def _first(ejected: Iterable[AnyServer], of: int, now: float) -> list[AnyServer]:
    """Of a region's ejected servers those that are left out."""
    ranked = sorted(ejected, key=lambda server: server.health.weight(now), reverse=True)
    return ranked[: int(EJECTED_MOST * of)]

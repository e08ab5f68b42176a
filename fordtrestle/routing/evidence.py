"""How sidecars' outcomes are put together, so that what each sees little of is seen by all. Pure.

A sidecar that has seen requests fail reports the outcomes of all servers of a service since its last report
to one control process, which rendezvous hashing draws for the service. That one ejects a server once sidecars
of two zones have seen it fail, one of them in the own region: bad links are seen from one side alone.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field

from fordtrestle.dissemination.items import EjectionRecord
from fordtrestle.dissemination.messages import OutcomeReport, Outcomes
from fordtrestle.routing.outliers import HALF_LIFE_S, Ejection, Tally, is_outlier

REPORT_S = 0.5  # between reports of one sidecar
SERVERS_MOST = 256  # in a report
TRACKED_MOST = 4096  # servers that one control process holds evidence of
ZONES_LEAST = 2  # that have to have seen a server fail
NOTHING = 0.01  # outcomes, of which nothing is left to tell
SEEN_S = 2 * HALF_LIFE_S  # for which a zone's having seen that counts


class Reporter:
    """What one sidecar has seen since its last reports, by service."""

    def __init__(self) -> None:
        self._counts: dict[str, dict[str, list[int]]] = defaultdict(dict)
        self._failed: set[str] = set()

    def note(self, service: str, instance: str, failed: bool) -> None:
        """Count the end of a request."""
        counts = self._counts[service]
        if instance not in counts and len(counts) >= SERVERS_MOST:
            return
        counts.setdefault(instance, [0, 0])[failed] += 1
        if failed:
            self._failed.add(service)

    def take(self) -> list[OutcomeReport]:
        """The reports that are due. Where nothing of a service has failed nothing is told of it."""
        due = [OutcomeReport(service, self._of(service)) for service in sorted(self._failed)]
        self._failed.clear()
        for counts in self._counts.values():
            counts.clear()
        return due

    def _of(self, service: str) -> tuple[Outcomes, ...]:
        counts = self._counts[service]
        return tuple(Outcomes(instance, good, bad) for instance, (good, bad) in counts.items())


@dataclass(slots=True)
class _Case:
    """The evidence of one server."""

    outcomes: Tally = field(default_factory=Tally)
    zones: dict[str, float] = field(default_factory=dict)  # when sidecars of a zone last saw it fail
    ejection: Ejection = field(default_factory=Ejection)

    def seen_from(self, now: float) -> set[str]:
        """The zones that have seen it fail of late."""
        return {zone for zone, at in self.zones.items() if now - at <= SEEN_S}


class Evidence:
    """What one control process was told of the services that are its own. Times are s of a steady clock.

    `regions` by zone.
    """

    def __init__(self, regions: Mapping[str, str]) -> None:
        self._regions = regions
        self._cases: dict[str, _Case] = {}
        self._services: dict[str, Tally] = defaultdict(Tally)

    def take(
        self, report: OutcomeReport, zone: str, zones: Mapping[str, str], now: float
    ) -> list[EjectionRecord]:
        """Count a report of a sidecar of that zone; the ejections that come of it. `zones` of servers, by
        instance: others are not counted.
        """
        total = self._services[report.service]
        failed = []
        for outcomes in report.outcomes:
            if outcomes.instance not in zones or not self._may_track(outcomes.instance):
                continue
            case = self._cases.setdefault(outcomes.instance, _Case())
            case.outcomes.add(outcomes.good, outcomes.bad, now)
            total.add(outcomes.good, outcomes.bad, now)
            if outcomes.bad:
                case.zones[zone] = now
                failed.append(outcomes.instance)
        return [
            EjectionRecord(instance, self._cases[instance].ejection.begin(now))
            for instance in failed
            if self._is_to_be_ejected(self._cases[instance], total, self._regions.get(zones[instance]), now)
        ]

    def forget(self, now: float) -> None:
        """Drop what tells nothing any more."""
        for instance, case in list(self._cases.items()):
            if case.outcomes.recent(now).total < NOTHING and now > case.ejection.until + SEEN_S:
                del self._cases[instance]
        for service, tally in list(self._services.items()):
            if tally.recent(now).total < NOTHING:
                del self._services[service]

    def _may_track(self, instance: str) -> bool:
        return instance in self._cases or len(self._cases) < TRACKED_MOST

    def _is_to_be_ejected(self, case: _Case, total: Tally, region: str | None, now: float) -> bool:
        seen_from = case.seen_from(now)
        if now < case.ejection.until or len(seen_from) < ZONES_LEAST:
            return False
        if region not in {self._regions.get(zone) for zone in seen_from}:
            return False
        return is_outlier(case.outcomes.recent(now), total)

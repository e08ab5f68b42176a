"""How sidecars' outcomes are put together, so that what each sees little of is seen by all. Pure.

A sidecar that has seen requests fail reports the outcomes of all servers of a service since its last report
to one control process, which rendezvous hashing draws for the service. That one ejects a server once sidecars
of two zones have seen it fail, one of them in the own region: bad links are seen from one side alone.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from fordtrestle.dissemination.items import EjectionRecord
from fordtrestle.dissemination.messages import OutcomeReport, Outcomes
from fordtrestle.routing.outliers import FORGIVEN_S, HALF_LIFE_S, Ejection, Tally, is_outlier

REPORT_S = 0.5  # between reports of one sidecar
KEPT_S = HALF_LIFE_S  # that outcomes are kept for a report while nothing fails
SERVERS_MOST = 256  # in a report
TRACKED_MOST = 4096  # servers of a service that one control process holds evidence of
ZONES_LEAST = 2  # that have to have seen a server fail
NOTHING = 0.01  # outcomes, of which nothing is left to tell
SEEN_S = 2 * HALF_LIFE_S  # for which a zone's having seen that counts


@dataclass(slots=True)
class _Seen:
    """What one sidecar has seen of a service."""

    since: float
    failed: bool = False
    servers: dict[str, list[int]] = field(default_factory=dict)  # good and bad outcomes

    def report(self, service: str) -> OutcomeReport:
        outcomes = (Outcomes(instance, good, bad) for instance, (good, bad) in self.servers.items())
        return OutcomeReport(service, tuple(outcomes))


class Reporter:
    """What one sidecar has seen since its last reports. Times are s of a steady clock."""

    def __init__(self) -> None:
        self._services: dict[str, _Seen] = {}

    def note(self, service: str, instance: str, failed: bool, now: float) -> None:
        """Count the end of a request."""
        seen = self._services.setdefault(service, _Seen(now))
        if instance not in seen.servers and len(seen.servers) >= SERVERS_MOST:
            return
        seen.servers.setdefault(instance, [0, 0])[failed] += 1
        seen.failed |= failed

    def take(self, now: float) -> list[OutcomeReport]:
        """The reports that are due. Where nothing has failed nothing is told, and forgotten after a while."""
        failed = [service for service, seen in self._services.items() if seen.failed]
        reports = [self._services.pop(service).report(service) for service in failed]
        for service, seen in list(self._services.items()):
            if now - seen.since >= KEPT_S:
                del self._services[service]
        return reports


@dataclass(slots=True)
class _Case:
    """The evidence of one server."""

    outcomes: Tally = field(default_factory=Tally)
    zones: dict[str, float] = field(default_factory=dict)  # when sidecars of a zone last saw it fail
    ejection: Ejection = field(default_factory=Ejection)

    def add(self, outcomes: Outcomes, zone: str, now: float) -> None:
        """Count what a sidecar of a zone has seen."""
        self.outcomes.add(outcomes.good, outcomes.bad, now)
        if outcomes.bad:
            self.zones[zone] = now

    def is_over(self, now: float) -> bool:
        """Whether nothing is left of it."""
        return self.outcomes.recent(now).total < NOTHING and now > self.ejection.until + FORGIVEN_S

    def seen_from(self, now: float) -> set[str]:
        """The zones that have seen it fail of late."""
        return {zone for zone, at in self.zones.items() if now - at <= SEEN_S}


class Evidence:
    """What one control process was told of the services that are its own. Times are s of a steady clock.

    `regions` by zone.
    """

    def __init__(self, regions: Mapping[str, str]) -> None:
        self._regions = regions
        self._services: dict[str, dict[str, _Case]] = {}

    def take(
        self, report: OutcomeReport, zone: str, zones: Mapping[str, str], now: float
    ) -> list[EjectionRecord]:
        """Count a report of a sidecar of that zone; the ejections that come of it. `zones` of the service's
        servers, by instance: others are not counted.
        """
        known = [outcomes for outcomes in report.outcomes if outcomes.instance in zones]
        if not known:
            return []
        cases = self._services.setdefault(report.service, {})
        for outcomes in known:
            if outcomes.instance in cases or len(cases) < TRACKED_MOST:
                cases.setdefault(outcomes.instance, _Case()).add(outcomes, zone, now)
        failed = [outcomes.instance for outcomes in known if outcomes.bad and outcomes.instance in cases]
        return [
            EjectionRecord(instance, cases[instance].ejection.begin(now))
            for instance in failed
            if self._is_to_be_ejected(instance, cases, self._regions.get(zones[instance]), now)
        ]

    def forget(self, now: float) -> None:
        """Drop what tells nothing any more."""
        for service, cases in list(self._services.items()):
            for instance in [instance for instance, case in cases.items() if case.is_over(now)]:
                del cases[instance]
            if not cases:
                del self._services[service]

    def _is_to_be_ejected(
        self, instance: str, cases: Mapping[str, _Case], region: str | None, now: float
    ) -> bool:
        case = cases[instance]
        seen_from = case.seen_from(now)
        if now < case.ejection.until or len(seen_from) < ZONES_LEAST:
            return False
        if region not in {self._regions.get(zone) for zone in seen_from}:
            return False
        return is_outlier(case.outcomes, [c.outcomes for name, c in cases.items() if name != instance], now)

"""Which servers are outliers by the reports of all sidecars together. Pure.

Each sidecar sees little of each server: what it learns alone it learns too late. One control process a
service, the one that rendezvous hashing draws, puts their reports together. It ejects a server only once
sidecars of two zones have seen it fail, one of them in the server's own region: a bad link is seen from one
side alone, and a zone or region that is cut off sees all others fail.

Sources: Envoy's documentation, "Outlier detection"; Dadgar et al., "Lifeguard" (2018), for what one's own
fault does to one's judgement of others.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from fordtrestle.dissemination.items import EjectionRecord
from fordtrestle.dissemination.messages import OutcomeReport, Outcomes
from fordtrestle.routing.common import InstanceId, RegionName, ServiceName, ZoneName
from fordtrestle.routing.outcome_counts import HALF_LIFE_S, OutcomeCounts
from fordtrestle.routing.outlier_detection import is_outlier
from fordtrestle.routing.outlier_ejection import FLAP_WINDOW_S, Ejection

MAX_TRACKED_SERVERS = 4096  # of a service that one control process keeps: a bound on memory
MIN_ZONES = 2  # that have to have seen a server fail
ZONE_FAILURE_WINDOW_S = 2 * HALF_LIFE_S  # for which it counts that a zone has seen a server fail
NEGLIGIBLE_OUTCOMES = 0.01  # decayed outcomes below which a server is closed


@dataclass(slots=True)
class TrackedServer:
    """The evidence on one server.

    Attributes:
        outcomes: What sidecars have reported, decayed.
        last_failure_at: When sidecars of a zone last reported failures, by zone.
        ejection: The last ejection.
    """

    outcomes: OutcomeCounts = field(default_factory=OutcomeCounts)
    last_failure_at: dict[ZoneName, float] = field(default_factory=dict)
    ejection: Ejection = field(default_factory=Ejection)

    def record(self, outcomes: Outcomes, zone: ZoneName, now: float) -> None:
        """Count what a sidecar of a zone has reported."""
        self.outcomes.add(outcomes.good, outcomes.bad, now)
        if outcomes.bad:
            self.last_failure_at[zone] = now

    def has_expired(self, now: float) -> bool:
        """Return whether nothing of it counts any more."""
        is_negligible = self.outcomes.decayed(now).total < NEGLIGIBLE_OUTCOMES
        return is_negligible and now > self.ejection.until + FLAP_WINDOW_S

    def zones_with_failures(self, now: float) -> set[ZoneName]:
        """Return the zones that have seen it fail within `ZONE_FAILURE_WINDOW_S`."""
        return {zone for zone, at in self.last_failure_at.items() if now - at <= ZONE_FAILURE_WINDOW_S}


class FleetOutliers:
    """Judges the servers of the services that one control process owns.

    Times are seconds of a monotonic clock. Two processes may take themselves for the owner of a service for a
    while: each judges by the reports that reach it, and the newest ejection counts.
    """

    def __init__(self, regions: Mapping[ZoneName, RegionName]) -> None:
        """Begin without evidence; `regions` has the region of each zone."""
        self._regions = regions
        self._services: dict[ServiceName, dict[InstanceId, TrackedServer]] = {}

    def on_report(
        self,
        report: OutcomeReport,
        reporter_zone: ZoneName,
        server_zones: Mapping[InstanceId, ZoneName],
        now: float,
    ) -> list[EjectionRecord]:
        """Take a report into account.

        Args:
            report: The report of a sidecar.
            reporter_zone: The zone of that sidecar.
            server_zones: The zones of the service's servers; others that the report names are not counted.
            now: Seconds of a monotonic clock.

        Returns:
            The ejections that follow from it.
        """
        known = [outcomes for outcomes in report.outcomes if outcomes.instance in server_zones]
        if not known:
            return []
        tracked = self._services.setdefault(report.service, {})
        for outcomes in known:
            if outcomes.instance in tracked or len(tracked) < MAX_TRACKED_SERVERS:
                tracked.setdefault(outcomes.instance, TrackedServer()).record(outcomes, reporter_zone, now)
        failed = [outcomes.instance for outcomes in known if outcomes.bad and outcomes.instance in tracked]
        return [
            EjectionRecord(instance, tracked[instance].ejection.start(now))
            for instance in failed
            if self._should_eject(instance, tracked, self._regions.get(server_zones[instance]), now)
        ]

    def expire(self, now: float) -> None:
        """Drop the tracked of which nothing counts any more."""
        for service, tracked in list(self._services.items()):
            for instance in [instance for instance, server in tracked.items() if server.has_expired(now)]:
                del tracked[instance]
            if not tracked:
                del self._services[service]

    def _should_eject(
        self,
        instance: InstanceId,
        tracked: Mapping[InstanceId, TrackedServer],
        region: RegionName | None,
        now: float,
    ) -> bool:
        server = tracked[instance]
        zones = server.zones_with_failures(now)
        if now < server.ejection.until or len(zones) < MIN_ZONES:
            return False
        if region not in {self._regions.get(zone) for zone in zones}:
            return False
        others = [other.outcomes for name, other in tracked.items() if name != instance]
        return is_outlier(server.outcomes, others, now)

"""Detects outlier servers from the combined outcome reports of all sidecars. Pure.

A single sidecar sends too few requests to each server to detect an outlier quickly. For each service, one
control process, selected by rendezvous hashing, aggregates the reports. It ejects a server only when sidecars
in two zones have seen it fail, at least one of them in the server's own region: a faulty link is visible from
one side only, and a partitioned zone or region sees all other servers fail.

Sources: Envoy's documentation, "Outlier detection"; Dadgar et al., "Lifeguard" (2018), on how a local fault
of the observer distorts its failure detection.
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

MAX_TRACKED_SERVERS = 4096  # per service, to bound memory
MIN_ZONES = 2  # zones that must have reported failures before an ejection
ZONE_FAILURE_WINDOW_S = 2 * HALF_LIFE_S  # how long a zone's failure report counts
NEGLIGIBLE_OUTCOMES = 0.01  # a server with fewer decayed outcomes is no longer tracked


@dataclass(slots=True)
class TrackedServer:
    """The reported outcomes and the ejection state of one server.

    Attributes:
        outcomes: The outcomes that sidecars have reported, decayed.
        last_failure_at: When sidecars last reported failures, by zone of the sidecars.
        ejection: The last ejection.
    """

    outcomes: OutcomeCounts = field(default_factory=OutcomeCounts)
    last_failure_at: dict[ZoneName, float] = field(default_factory=dict)
    ejection: Ejection = field(default_factory=Ejection)

    def record(self, outcomes: Outcomes, zone: ZoneName, now: float) -> None:
        """Add the outcomes that a sidecar in a zone has reported."""
        self.outcomes.add(outcomes.good, outcomes.bad, now)
        if outcomes.bad:
            self.last_failure_at[zone] = now

    def has_expired(self, now: float) -> bool:
        """Return whether neither the outcomes nor the last ejection affect any decision."""
        is_negligible = self.outcomes.decayed(now).total < NEGLIGIBLE_OUTCOMES
        return is_negligible and now > self.ejection.until + FLAP_WINDOW_S

    def zones_with_failures(self, now: float) -> set[ZoneName]:
        """Return the zones that reported failures of the server within `ZONE_FAILURE_WINDOW_S`."""
        return {zone for zone, at in self.last_failure_at.items() if now - at <= ZONE_FAILURE_WINDOW_S}


class FleetOutliers:
    """Ejects outlier servers of the services that one control process owns.

    Times are seconds of a monotonic clock. Two processes may both consider themselves the owner of a service
    for a while. Each then decides from the reports that it receives, and the newest ejection takes effect.
    """

    def __init__(self, regions: Mapping[ZoneName, RegionName]) -> None:
        """Create a detector without reports; `regions` maps each zone to its region."""
        self._regions = regions
        self._services: dict[ServiceName, dict[InstanceId, TrackedServer]] = {}

    def on_report(
        self,
        report: OutcomeReport,
        reporter_zone: ZoneName,
        server_zones: Mapping[InstanceId, ZoneName],
        now: float,
    ) -> list[EjectionRecord]:
        """Process the report of a sidecar.

        Args:
            report: The report.
            reporter_zone: The zone of the sidecar.
            server_zones: The zone of each known server of the service; outcomes of other servers are ignored.
            now: Seconds of a monotonic clock.

        Returns:
            The ejections that result from the report.
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
        """Drop the servers whose outcomes and ejections no longer affect any decision."""
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

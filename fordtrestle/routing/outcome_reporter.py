"""What one sidecar reports of how its requests ended. Pure.

A sidecar that has seen requests fail reports the outcomes of all servers of that service to one control
process, which puts the reports of all sidecars together (`fleet_outliers`).
"""

from __future__ import annotations

from dataclasses import dataclass, field

from fordtrestle.dissemination.messages import OutcomeReport, Outcomes
from fordtrestle.routing.common import InstanceId, ServiceName
from fordtrestle.routing.outcome_counts import HALF_LIFE_S

REPORT_INTERVAL_S = 0.5  # bounds the number of reports, and adds to the delay of an ejection by the fleet
RETENTION_S = HALF_LIFE_S  # that outcomes are kept for a report while nothing fails
MAX_REPORTED_SERVERS = 256  # in a report: a bound on its bytes


@dataclass(slots=True)
class _ServerOutcomes:
    """Requests to one server since the last report, by how they ended."""

    good: int = 0
    bad: int = 0


@dataclass(slots=True)
class _ServiceOutcomes:
    """What this sidecar has seen of one service since the last report."""

    since: float
    has_failures: bool = False
    servers: dict[InstanceId, _ServerOutcomes] = field(default_factory=dict)

    def record(self, instance: InstanceId, failed: bool) -> None:
        """Count the end of a request; beyond `MAX_REPORTED_SERVERS` servers nothing is counted."""
        if instance not in self.servers and len(self.servers) >= MAX_REPORTED_SERVERS:
            return
        outcomes = self.servers.setdefault(instance, _ServerOutcomes())
        if failed:
            outcomes.bad += 1
            self.has_failures = True
        else:
            outcomes.good += 1

    def report(self, service: ServiceName) -> OutcomeReport:
        """Return the report of this."""
        outcomes = (Outcomes(instance, counts.good, counts.bad) for instance, counts in self.servers.items())
        return OutcomeReport(service, tuple(outcomes))


class OutcomeReporter:
    """Collects the outcomes of one sidecar's requests; times are seconds of a monotonic clock."""

    def __init__(self) -> None:
        """Begin without outcomes."""
        self._services: dict[ServiceName, _ServiceOutcomes] = {}

    def record(self, service: ServiceName, instance: InstanceId, failed: bool, now: float) -> None:
        """Count the end of a request."""
        self._services.setdefault(service, _ServiceOutcomes(now)).record(instance, failed)

    def take_reports(self, now: float) -> list[OutcomeReport]:
        """Return the reports that are due, and forget what they hold.

        Of a service of which nothing has failed nothing is reported, and what was counted is dropped after
        `RETENTION_S`.
        """
        due = [service for service, outcomes in self._services.items() if outcomes.has_failures]
        reports = [self._services.pop(service).report(service) for service in due]
        for service, outcomes in list(self._services.items()):
            if now - outcomes.since >= RETENTION_S:
                del self._services[service]
        return reports

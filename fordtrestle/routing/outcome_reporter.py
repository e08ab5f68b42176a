"""Collects the outcomes of one sidecar's requests and builds reports of them. Pure.

When requests to a service fail, the sidecar reports the outcomes of all servers of that service to one
control process, which aggregates the reports of all sidecars (`fleet_outliers`).
"""

from __future__ import annotations

from dataclasses import dataclass, field

from fordtrestle.dissemination.messages import OutcomeReport, Outcomes
from fordtrestle.routing.common import InstanceId, ServiceName
from fordtrestle.routing.outcome_counts import HALF_LIFE_S

# Limits the rate of reports, and adds to the delay of an ejection by a control process.
REPORT_INTERVAL_S = 0.5
RETENTION_S = HALF_LIFE_S  # how long outcomes are kept for a report while no request fails
MAX_REPORTED_SERVERS = 256  # per report, to bound its size


@dataclass(slots=True)
class _ServerOutcomes:
    """The outcomes of requests to one server since the last report."""

    good: int = 0
    bad: int = 0


@dataclass(slots=True)
class _ServiceOutcomes:
    """The outcomes of this sidecar's requests to one service since the last report."""

    since: float
    has_failures: bool = False
    servers: dict[InstanceId, _ServerOutcomes] = field(default_factory=dict)

    def record(self, instance: InstanceId, failed: bool) -> None:
        """Count the outcome of a request; servers beyond `MAX_REPORTED_SERVERS` are ignored."""
        if instance not in self.servers and len(self.servers) >= MAX_REPORTED_SERVERS:
            return
        outcomes = self.servers.setdefault(instance, _ServerOutcomes())
        if failed:
            outcomes.bad += 1
            self.has_failures = True
        else:
            outcomes.good += 1

    def report(self, service: ServiceName) -> OutcomeReport:
        """Return a report of these outcomes."""
        outcomes = (Outcomes(instance, counts.good, counts.bad) for instance, counts in self.servers.items())
        return OutcomeReport(service, tuple(outcomes))


class OutcomeReporter:
    """Collects the outcomes of one sidecar's requests; times are seconds of a monotonic clock."""

    def __init__(self) -> None:
        """Create a reporter without outcomes."""
        self._services: dict[ServiceName, _ServiceOutcomes] = {}

    def record(self, service: ServiceName, instance: InstanceId, failed: bool, now: float) -> None:
        """Count the outcome of a request."""
        self._services.setdefault(service, _ServiceOutcomes(now)).record(instance, failed)

    def take_reports(self, now: float) -> list[OutcomeReport]:
        """Return the reports that are due, and reset the counts that they contain.

        A service without failures is not reported, and its counts are dropped after `RETENTION_S`.
        """
        due = [service for service, outcomes in self._services.items() if outcomes.has_failures]
        reports = [self._services.pop(service).report(service) for service in due]
        for service, outcomes in list(self._services.items()):
            if now - outcomes.since >= RETENTION_S:
                del self._services[service]
        return reports

"""Ejects outliers among the servers of the services that this control process owns, by sidecars' reports."""

from __future__ import annotations

import eliot

from fordtrestle.dissemination.items import EJECTION_PREFIX, MEMBER_PREFIX, MemberRecord, ejection_item
from fordtrestle.dissemination.messages import OutcomeReport
from fordtrestle.peer.gossip import Gossip
from fordtrestle.routing.fleet_outliers import FleetOutliers


class OutlierDetector:
    """Collects sidecars' reports and publishes the ejections that result from them."""

    def __init__(self, gossip: Gossip, regions: dict[str, str]) -> None:
        """Create a detector without reports.

        Args:
            gossip: Holds the table of members and servers and spreads ejections.
            regions: The region of each zone.
        """
        self._gossip = gossip
        self._fleet_outliers = FleetOutliers(regions)

    def on_report(self, node: str, report: OutcomeReport, now: float) -> None:
        """Evaluate a report; a report from a process that is not a member is ignored.

        The versions of ejections continue from the version in the catalog. The owner of the service may have
        changed, and what the earlier owner published must not override newer ejections.

        Args:
            node: The sidecar that reports.
            report: The outcomes of its requests to the servers of one service.
            now: The current time, in seconds of a monotonic clock.
        """
        catalog = self._gossip.catalog
        reporter = catalog.get(MEMBER_PREFIX + node)
        if reporter is None or not isinstance(reporter.value, MemberRecord):
            return
        zones = {
            record.instance: record.zone
            for record, _ in catalog.servers()
            if record.service == report.service
        }
        items = []
        for ejection in self._fleet_outliers.on_report(report, reporter.value.zone, zones, now):
            eliot.log_message(
                "servers:ejected-by-control", instance=ejection.instance, lasts_s=ejection.lasts_s
            )
            known = catalog.get(EJECTION_PREFIX + ejection.instance)
            items.append(ejection_item(ejection, known.version if known else None))
        if items:
            self._gossip.publish(items)

    def expire(self, now: float) -> None:
        """Drop reports that are too old to count.

        Args:
            now: The current time, in seconds of a monotonic clock.
        """
        self._fleet_outliers.expire(now)

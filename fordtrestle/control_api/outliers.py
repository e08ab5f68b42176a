"""Judges the servers of the services that this control process owns by what sidecars report of them."""

from __future__ import annotations

import eliot

from fordtrestle.dissemination.items import EJECTION_PREFIX, MEMBER_PREFIX, MemberRecord, ejection_item
from fordtrestle.dissemination.messages import OutcomeReport
from fordtrestle.peer.gossip import Gossip
from fordtrestle.routing.fleet_outliers import FleetOutliers


class OutlierDetector:
    """Collects sidecars' reports and spreads the ejections that follow from them."""

    def __init__(self, gossip: Gossip, regions: dict[str, str]) -> None:
        """Begin without evidence.

        Args:
            gossip: The table of members and servers, and who is to learn of ejections.
            regions: The region of each zone.
        """
        self._gossip = gossip
        self._outliers = FleetOutliers(regions)

    def on_report(self, node: str, report: OutcomeReport, now: float) -> None:
        """Weigh a report. One of a process that is no member counts for nothing.

        Ejections continue from the version in the catalog: the owner of the service may have changed, and
        what the earlier one published must not outdo them.

        Args:
            node: The sidecar that reports.
            report: How its requests to the servers of one service ended.
            now: Seconds of a monotonic clock.
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
        for ejection in self._outliers.on_report(report, reporter.value.zone, zones, now):
            eliot.log_message(
                "servers:ejected-by-control", instance=ejection.instance, lasts_s=ejection.lasts_s
            )
            known = catalog.get(EJECTION_PREFIX + ejection.instance)
            items.append(ejection_item(ejection, known.version if known else None))
        if items:
            self._gossip.publish(items)

    def expire(self, now: float) -> None:
        """Drop evidence that is too old to count; `now` in seconds of a monotonic clock."""
        self._outliers.expire(now)

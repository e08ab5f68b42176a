"""Judges the servers of the services that this control process owns by what sidecars report of them."""

from __future__ import annotations

import eliot

from fordtrestle.dissemination.items import EJECTION_PREFIX, MEMBER_PREFIX, MemberRecord, ejection_item
from fordtrestle.dissemination.messages import OutcomeReport
from fordtrestle.peer.gossip import Gossip
from fordtrestle.routing.evidence import Evidence


class Outliers:
    """Takes reports and spreads the ejections that come of them."""

    def __init__(self, gossip: Gossip, regions: dict[str, str]) -> None:
        self._gossip = gossip
        self._evidence = Evidence(regions)

    def received(self, node: str, report: OutcomeReport, now: float) -> None:
        """A sidecar's report; `now` in s of a steady clock."""
        catalog = self._gossip.catalog
        reporter = catalog.get(MEMBER_PREFIX + node)
        if reporter is None or not isinstance(reporter.value, MemberRecord):
            return
        zones = {r.instance: r.zone for r, _ in catalog.servers() if r.service == report.service}
        items = []
        for record in self._evidence.take(report, reporter.value.zone, zones, now):
            eliot.log_message("servers:ejected-for-all", instance=record.instance, lasts_s=record.lasts_s)
            known = catalog.get(EJECTION_PREFIX + record.instance)
            items.append(ejection_item(record, known.version if known else None))
        if items:
            self._gossip.publish(items)

    def forget(self, now: float) -> None:
        """Drop evidence that tells nothing any more."""
        self._evidence.forget(now)

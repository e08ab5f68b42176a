"""A control process ejects servers by sidecars' reports and publishes the ejections."""

from __future__ import annotations

from fordtrestle.control_api.outliers import OutlierDetector
from fordtrestle.dissemination.catalog import Catalog
from fordtrestle.dissemination.items import (
    EJECTION_PREFIX,
    Availability,
    EjectionRecord,
    MemberRecord,
    Phase,
    ServerRecord,
    member_item,
    server_item,
)
from fordtrestle.dissemination.messages import OutcomeReport, Outcomes
from fordtrestle.routing.outlier_ejection import BASE_EJECTION_S

REGIONS = {"z-1": "r-1", "z-2": "r-1"}


class FakeGossip:
    """The part of `Gossip` that the detector uses: the catalog and the published items."""

    def __init__(self):
        self.catalog = Catalog()
        self.published = []

    def publish(self, items):
        self.published += self.catalog.merge(items, 0.0)


def member(node, zone):
    record = MemberRecord(node, "sidecar", zone, "r-1", "10.0.0.1:1", "", Availability.READY)
    return member_item(record, 1, 1)


def server(instance, service="pool"):
    phase = Phase.SERVING
    return server_item(
        ServerRecord(instance, service, "10.0.0.9:1", "z-1", 1, phase, False, 0.0, None, (), "c"), 1
    )


def detector_and_gossip():
    gossip = FakeGossip()
    gossip.catalog.merge([member("s-1", "z-1"), member("s-2", "z-2")], 0.0)
    gossip.catalog.merge([server("bad"), server("good"), server("other", "other-pool")], 0.0)
    return OutlierDetector(gossip, REGIONS), gossip


def report(bad="bad", service="pool"):
    return OutcomeReport(service, (Outcomes("good", 6, 0), Outcomes(bad, 0, 2)))


def test_an_ejection_after_reports_from_two_zones_is_published_once():
    detector, gossip = detector_and_gossip()
    for node in ("s-1", "s-2", "s-1"):
        detector.on_report(node, report(), 1.0)
    assert [(item.key, item.value) for item in gossip.published] == [
        (EJECTION_PREFIX + "bad", EjectionRecord("bad", BASE_EJECTION_S))
    ]


def test_the_next_ejection_of_a_server_is_published_too():
    detector, gossip = detector_and_gossip()
    for now in (1.0, 1.0 + BASE_EJECTION_S):
        for node in ("s-1", "s-2"):
            detector.on_report(node, report(), now)
    assert [item.value.lasts_s for item in gossip.published] == [BASE_EJECTION_S, 2 * BASE_EJECTION_S]


def test_a_new_owner_continues_from_the_known_version():
    detector, gossip = detector_and_gossip()
    for owner in (detector, OutlierDetector(gossip, REGIONS)):
        for node in ("s-1", "s-2"):
            owner.on_report(node, report(), 1.0)
    assert len(gossip.published) == 2


def test_reports_of_unknown_sidecars_and_on_servers_of_another_service_are_ignored():
    detector, gossip = detector_and_gossip()
    for node in ("s-1", "unknown"):
        detector.on_report(node, report(), 1.0)
    for node in ("s-1", "s-2"):
        detector.on_report(node, report(bad="other"), 1.0)
    assert not gossip.published

"""When a control process ejects a server for all sidecars."""

from __future__ import annotations

import random

import pytest

from fordtrestle.dissemination.messages import OutcomeReport, Outcomes
from fordtrestle.routing.fleet_outliers import MAX_TRACKED_SERVERS, ZONE_FAILURE_WINDOW_S, FleetOutliers
from fordtrestle.routing.outcome_reporter import OutcomeReporter
from fordtrestle.routing.outlier_ejection import BASE_EJECTION_S

REGIONS = {"a-1": "a", "a-2": "a", "b-1": "b", "b-2": "b"}
ZONES = {"bad": "a-1", "good": "a-2", "other": "b-1"}
HEALTHY_OUTCOMES = (Outcomes("good", 6, 0), Outcomes("other", 6, 0))


def report(*outcomes, service="pool"):
    return OutcomeReport(service, (*HEALTHY_OUTCOMES, *outcomes))


def ejected_servers(*reports):
    """Return the servers that are ejected by reports, each given as zone, outcomes and time."""
    outliers = FleetOutliers(REGIONS)
    ejected = []
    for zone, outcomes, now in reports:
        ejected += outliers.on_report(report(outcomes), zone, ZONES, now)
    return [record.instance for record in ejected]


FAILURES = Outcomes("bad", 0, 2)


@pytest.mark.parametrize(
    ("reports", "expected"),
    [
        pytest.param([("a-1", FAILURES, 0.0), ("a-2", FAILURES, 0.1)], ["bad"], id="two zones of its region"),
        pytest.param(
            [("a-2", FAILURES, 0.0), ("b-1", FAILURES, 0.1)],
            ["bad"],
            id="one zone of its region, one of another",
        ),
        pytest.param(
            [("a-1", FAILURES, 0.0), ("a-1", FAILURES, 0.1)], [], id="one zone, whose links may be faulty"
        ),
        pytest.param(
            [("b-1", FAILURES, 0.0), ("b-2", FAILURES, 0.1)],
            [],
            id="another region, which may be partitioned",
        ),
        pytest.param(
            [("a-1", FAILURES, 0.0), ("a-2", FAILURES, 2 * ZONE_FAILURE_WINDOW_S)], [], id="too long apart"
        ),
        pytest.param([("a-1", Outcomes("bad", 0, 1), 0.0)], [], id="one failure"),
        pytest.param(
            [("a-1", Outcomes("bad", 20, 1), 0.0), ("a-2", Outcomes("bad", 20, 1), 0.1)],
            [],
            id="few failures among many requests",
        ),
        pytest.param(
            [("a-1", FAILURES, 0.0), ("x", FAILURES, 0.1)], ["bad"], id="a zone that is not in the settings"
        ),
    ],
)
def test_a_server_is_ejected_if_two_zones_report_failures_one_of_them_in_its_region(reports, expected):
    assert ejected_servers(*reports) == expected


def test_if_all_servers_fail_none_is_ejected():
    outliers = FleetOutliers(REGIONS)
    all_bad = OutcomeReport("pool", tuple(Outcomes(name, 0, 5) for name in ZONES))
    assert not outliers.on_report(all_bad, "a-1", ZONES, 0.0)
    assert not outliers.on_report(all_bad, "a-2", ZONES, 0.1)


def test_a_server_that_fails_again_after_its_ejection_is_ejected_for_twice_as_long():
    outliers, durations_s, now = FleetOutliers(REGIONS), [], 0.0
    for _ in range(3):
        for zone in ("a-1", "a-2"):
            durations_s += [
                record.lasts_s for record in outliers.on_report(report(FAILURES), zone, ZONES, now)
            ]
        now += durations_s[-1] + 0.5
    assert durations_s == [BASE_EJECTION_S, 2 * BASE_EJECTION_S, 4 * BASE_EJECTION_S]


def test_reports_on_an_ejected_server_change_nothing():
    outliers = FleetOutliers(REGIONS)
    for zone in ("a-1", "a-2"):
        outliers.on_report(report(FAILURES), zone, ZONES, 0.0)
    assert not outliers.on_report(report(FAILURES), "b-1", ZONES, BASE_EJECTION_S / 2)


def test_servers_that_are_not_in_the_catalog_are_ignored():
    outliers = FleetOutliers(REGIONS)
    unknown = OutcomeReport(
        "pool", tuple(Outcomes(str(name), 0, 9) for name in range(2 * MAX_TRACKED_SERVERS))
    )
    assert not outliers.on_report(unknown, "a-1", ZONES, 0.0)
    assert not outliers._services


def test_no_more_servers_are_tracked_than_the_bound():
    outliers = FleetOutliers(REGIONS)
    zones = {str(name): "a-1" for name in range(2 * MAX_TRACKED_SERVERS)}
    outliers.on_report(OutcomeReport("pool", tuple(Outcomes(n, 0, 9) for n in zones)), "a-1", zones, 0.0)
    assert len(outliers._services["pool"]) == MAX_TRACKED_SERVERS


def test_servers_with_old_outcomes_expire():
    outliers = FleetOutliers(REGIONS)
    outliers.on_report(report(FAILURES), "a-1", ZONES, 0.0)
    outliers.expire(1.0)
    assert set(outliers._services["pool"]) == {"bad", "good", "other"}
    outliers.expire(500.0)
    assert not outliers._services


def test_several_bad_servers_seen_by_many_sidecars_are_each_ejected():
    """Three of ten servers fail 40% of their requests; 40 sidecars in four zones send 1 request/s each."""
    outliers, zones = FleetOutliers(REGIONS), {f"i-{n}": sorted(REGIONS)[n % 4] for n in range(10)}
    reporters = [OutcomeReporter() for _ in range(40)]
    rng, ejected = random.Random(1), set()
    for step in range(400):
        now, sidecar, instance = step / 40, step % 40, f"i-{rng.randrange(10)}"
        failed = instance in ("i-0", "i-1", "i-2") and rng.random() < 0.4
        reporters[sidecar].record("pool", instance, failed, now)
        for report in reporters[sidecar].take_reports(now):
            ejected |= {
                r.instance for r in outliers.on_report(report, sorted(REGIONS)[sidecar % 4], zones, now)
            }
    assert ejected == {"i-0", "i-1", "i-2"}


def test_a_report_on_a_service_without_known_servers_leaves_no_state():
    outliers = FleetOutliers(REGIONS)
    outliers.on_report(OutcomeReport("unknown", (Outcomes("x", 0, 1),)), "a-1", ZONES, 0.0)
    assert not outliers._services

"""What sidecars report of servers, and when one control process ejects a server for all of them."""

from __future__ import annotations

import random

import pytest

from fordtrestle.dissemination.messages import OutcomeReport, Outcomes
from fordtrestle.routing.fleet_outliers import MAX_TRACKED_SERVERS, SIGHTING_WINDOW_S, FleetOutliers
from fordtrestle.routing.outcome_reporter import MAX_REPORTED_SERVERS, RETENTION_S, OutcomeReporter
from fordtrestle.routing.outlier_ejection import BASE_EJECTION_S

REGIONS = {"a-1": "a", "a-2": "a", "b-1": "b", "b-2": "b"}
ZONES = {"bad": "a-1", "good": "a-2", "other": "b-1"}
GOODS = (Outcomes("good", 6, 0), Outcomes("other", 6, 0))


def report(*outcomes, service="pool"):
    return OutcomeReport(service, (*GOODS, *outcomes))


def judged(*reports):
    """The servers that reports of some zones, at some moments, eject."""
    evidence = FleetOutliers(REGIONS)
    ejected = []
    for zone, outcomes, now in reports:
        ejected += evidence.on_report(report(outcomes), zone, ZONES, now)
    return [record.instance for record in ejected]


BAD = Outcomes("bad", 0, 2)


@pytest.mark.parametrize(
    ("reports", "expected"),
    [
        pytest.param([("a-1", BAD, 0.0), ("a-2", BAD, 0.1)], ["bad"], id="two zones of its region"),
        pytest.param([("a-2", BAD, 0.0), ("b-1", BAD, 0.1)], ["bad"], id="one of its region, one of another"),
        pytest.param([("a-1", BAD, 0.0), ("a-1", BAD, 0.1)], [], id="one zone, whose links may be bad"),
        pytest.param([("b-1", BAD, 0.0), ("b-2", BAD, 0.1)], [], id="another region, which may be cut off"),
        pytest.param(
            [("a-1", BAD, 0.0), ("a-2", BAD, 2 * SIGHTING_WINDOW_S)], [], id="too long after one another"
        ),
        pytest.param([("a-1", Outcomes("bad", 0, 1), 0.0)], [], id="one failure"),
        pytest.param(
            [("a-1", Outcomes("bad", 20, 1), 0.0), ("a-2", Outcomes("bad", 20, 1), 0.1)], [], id="few of many"
        ),
        pytest.param([("a-1", BAD, 0.0), ("x", BAD, 0.1)], ["bad"], id="a zone that settings do not name"),
    ],
)
def test_what_two_zones_have_seen_one_of_them_in_its_own_region_ejects_a_server(reports, expected):
    assert judged(*reports) == expected


def test_where_all_servers_fail_none_is_ejected():
    evidence = FleetOutliers(REGIONS)
    all_bad = OutcomeReport("pool", tuple(Outcomes(name, 0, 5) for name in ZONES))
    assert not evidence.on_report(all_bad, "a-1", ZONES, 0.0)
    assert not evidence.on_report(all_bad, "a-2", ZONES, 0.1)


def test_a_server_that_fails_on_once_its_time_is_over_is_ejected_for_twice_that():
    evidence, lasted, now = FleetOutliers(REGIONS), [], 0.0
    for _ in range(3):
        for zone in ("a-1", "a-2"):
            lasted += [record.lasts_s for record in evidence.on_report(report(BAD), zone, ZONES, now)]
        now += lasted[-1] + 0.5
    assert lasted == [BASE_EJECTION_S, 2 * BASE_EJECTION_S, 4 * BASE_EJECTION_S]


def test_reports_while_it_is_ejected_change_nothing():
    evidence = FleetOutliers(REGIONS)
    for zone in ("a-1", "a-2"):
        evidence.on_report(report(BAD), zone, ZONES, 0.0)
    assert not evidence.on_report(report(BAD), "b-1", ZONES, BASE_EJECTION_S / 2)


def test_servers_that_the_catalog_does_not_know_are_not_counted():
    evidence = FleetOutliers(REGIONS)
    made_up = OutcomeReport(
        "pool", tuple(Outcomes(str(name), 0, 9) for name in range(2 * MAX_TRACKED_SERVERS))
    )
    assert not evidence.on_report(made_up, "a-1", ZONES, 0.0)
    assert not evidence._services


def test_no_more_servers_are_held_than_the_bound():
    evidence = FleetOutliers(REGIONS)
    zones = {str(name): "a-1" for name in range(2 * MAX_TRACKED_SERVERS)}
    evidence.on_report(OutcomeReport("pool", tuple(Outcomes(n, 0, 9) for n in zones)), "a-1", zones, 0.0)
    assert len(evidence._services["pool"]) == MAX_TRACKED_SERVERS


def test_old_evidence_is_dropped():
    evidence = FleetOutliers(REGIONS)
    evidence.on_report(report(BAD), "a-1", ZONES, 0.0)
    evidence.expire(1.0)
    assert set(evidence._services["pool"]) == {"bad", "good", "other"}
    evidence.expire(500.0)
    assert not evidence._services


def seen(*ends, service="pool", now=0.0):
    """A reporter after requests that ended well or failed at servers."""
    reporter = OutcomeReporter()
    for instance, failed in ends:
        reporter.record(service, instance, failed, now)
    return reporter


def test_a_sidecar_reports_all_outcomes_of_a_service_in_which_some_have_failed_and_only_once():
    reporter = seen(("i-1", False), ("i-2", True), ("i-1", False))
    reporter.record("calm", "i-3", False, 0.0)
    assert reporter.take_reports(0.1) == [
        OutcomeReport("pool", (Outcomes("i-1", 2, 0), Outcomes("i-2", 0, 1)))
    ]
    assert reporter.take_reports(0.2) == []


def test_what_went_well_before_a_failure_is_told_with_it_or_the_bad_would_seem_to_be_all():
    reporter = seen(("i-1", False), ("i-2", False))
    assert reporter.take_reports(RETENTION_S / 2) == []
    reporter.record("pool", "i-2", True, RETENTION_S / 2)
    [told] = reporter.take_reports(RETENTION_S / 2 + 0.1)
    assert told.outcomes == (Outcomes("i-1", 1, 0), Outcomes("i-2", 1, 1))


def test_what_went_well_long_ago_is_not_told():
    reporter = seen(("i-1", False))
    assert reporter.take_reports(RETENTION_S) == []
    reporter.record("pool", "i-2", True, RETENTION_S)
    [told] = reporter.take_reports(RETENTION_S + 0.1)
    assert told.outcomes == (Outcomes("i-2", 0, 1),)


def test_several_bad_servers_seen_by_many_sidecars_are_each_ejected():
    """Three of ten fail two of five requests; 40 sidecars in four zones send one request a second each."""
    evidence, zones = FleetOutliers(REGIONS), {f"i-{n}": sorted(REGIONS)[n % 4] for n in range(10)}
    reporters = [OutcomeReporter() for _ in range(40)]
    rng, ejected = random.Random(1), set()
    for step in range(400):
        now, sidecar, instance = step / 40, step % 40, f"i-{rng.randrange(10)}"
        failed = instance in ("i-0", "i-1", "i-2") and rng.random() < 0.4
        reporters[sidecar].record("pool", instance, failed, now)
        for report in reporters[sidecar].take_reports(now):
            ejected |= {
                r.instance for r in evidence.on_report(report, sorted(REGIONS)[sidecar % 4], zones, now)
            }
    assert ejected == {"i-0", "i-1", "i-2"}


def test_a_report_names_no_more_servers_than_the_bound():
    reporter = seen(*((str(number), True) for number in range(2 * MAX_REPORTED_SERVERS)))
    assert len(reporter.take_reports(0.1)[0].outcomes) == MAX_REPORTED_SERVERS


def test_a_service_of_which_no_server_is_known_leaves_nothing_behind():
    evidence = FleetOutliers(REGIONS)
    evidence.on_report(OutcomeReport("made up", (Outcomes("x", 0, 1),)), "a-1", ZONES, 0.0)
    assert not evidence._services

"""What sidecars report of servers, and when one control process ejects a server for all of them."""

from __future__ import annotations

import pytest

from fordtrestle.dissemination.messages import OutcomeReport, Outcomes
from fordtrestle.routing.evidence import SEEN_S, SERVERS_MOST, TRACKED_MOST, Evidence, Reporter
from fordtrestle.routing.outliers import EJECTION_S

REGIONS = {"a-1": "a", "a-2": "a", "b-1": "b", "b-2": "b"}
ZONES = {"bad": "a-1", "good": "a-2", "other": "b-1"}
GOODS = (Outcomes("good", 6, 0), Outcomes("other", 6, 0))


def report(*outcomes, service="pool"):
    return OutcomeReport(service, (*GOODS, *outcomes))


def judged(*reports):
    """The servers that reports of some zones, at some moments, eject."""
    evidence = Evidence(REGIONS)
    ejected = []
    for zone, outcomes, now in reports:
        ejected += evidence.take(report(outcomes), zone, ZONES, now)
    return [record.instance for record in ejected]


BAD = Outcomes("bad", 0, 2)


@pytest.mark.parametrize(
    ("reports", "expected"),
    [
        pytest.param([("a-1", BAD, 0.0), ("a-2", BAD, 0.1)], ["bad"], id="two zones of its region"),
        pytest.param([("a-2", BAD, 0.0), ("b-1", BAD, 0.1)], ["bad"], id="one of its region, one of another"),
        pytest.param([("a-1", BAD, 0.0), ("a-1", BAD, 0.1)], [], id="one zone, whose links may be bad"),
        pytest.param([("b-1", BAD, 0.0), ("b-2", BAD, 0.1)], [], id="another region, which may be cut off"),
        pytest.param([("a-1", BAD, 0.0), ("a-2", BAD, 2 * SEEN_S)], [], id="too long after one another"),
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
    evidence = Evidence(REGIONS)
    all_bad = OutcomeReport("pool", tuple(Outcomes(name, 0, 5) for name in ZONES))
    assert not evidence.take(all_bad, "a-1", ZONES, 0.0)
    assert not evidence.take(all_bad, "a-2", ZONES, 0.1)


def test_a_server_that_fails_on_once_its_time_is_over_is_ejected_for_twice_that():
    evidence, lasted, now = Evidence(REGIONS), [], 0.0
    for _ in range(3):
        for zone in ("a-1", "a-2"):
            lasted += [record.lasts_s for record in evidence.take(report(BAD), zone, ZONES, now)]
        now += lasted[-1] + 0.5
    assert lasted == [EJECTION_S, 2 * EJECTION_S, 4 * EJECTION_S]


def test_reports_while_it_is_ejected_change_nothing():
    evidence = Evidence(REGIONS)
    for zone in ("a-1", "a-2"):
        evidence.take(report(BAD), zone, ZONES, 0.0)
    assert not evidence.take(report(BAD), "b-1", ZONES, EJECTION_S / 2)


def test_servers_that_the_catalog_does_not_know_are_not_counted():
    evidence = Evidence(REGIONS)
    made_up = OutcomeReport("pool", tuple(Outcomes(str(name), 0, 9) for name in range(2 * TRACKED_MOST)))
    assert not evidence.take(made_up, "a-1", ZONES, 0.0)
    assert not evidence._cases


def test_no_more_servers_are_held_than_the_bound():
    evidence = Evidence(REGIONS)
    zones = {str(name): "a-1" for name in range(2 * TRACKED_MOST)}
    evidence.take(OutcomeReport("pool", tuple(Outcomes(n, 0, 9) for n in zones)), "a-1", zones, 0.0)
    assert len(evidence._cases) == TRACKED_MOST


def test_old_evidence_is_dropped():
    evidence = Evidence(REGIONS)
    evidence.take(report(BAD), "a-1", ZONES, 0.0)
    evidence.forget(1.0)
    assert evidence._cases and evidence._services
    evidence.forget(500.0)
    assert not evidence._cases and not evidence._services


def test_a_sidecar_reports_all_outcomes_of_a_service_in_which_some_have_failed_and_only_once():
    reporter = Reporter()
    for service, instance, failed in (
        ("pool", "i-1", False),
        ("pool", "i-2", True),
        ("pool", "i-1", False),
        ("calm", "i-3", False),
    ):
        reporter.note(service, instance, failed)
    assert reporter.take() == [OutcomeReport("pool", (Outcomes("i-1", 2, 0), Outcomes("i-2", 0, 1)))]
    assert reporter.take() == []


def test_a_report_names_no_more_servers_than_the_bound():
    reporter = Reporter()
    for number in range(2 * SERVERS_MOST):
        reporter.note("pool", str(number), failed=True)
    assert len(reporter.take()[0].outcomes) == SERVERS_MOST

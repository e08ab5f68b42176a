"""Which outcomes a sidecar reports, and when."""

from __future__ import annotations

from fordtrestle.dissemination.messages import OutcomeReport, Outcomes
from fordtrestle.routing.outcome_reporter import MAX_REPORTED_SERVERS, RETENTION_S, OutcomeReporter


def make_reporter(*outcomes, service="pool", now=0.0):
    """Return a reporter with outcomes, each given as instance and whether the request failed."""
    reporter = OutcomeReporter()
    for instance, failed in outcomes:
        reporter.record(service, instance, failed, now)
    return reporter


def test_all_outcomes_of_a_service_with_failures_are_reported_once():
    reporter = make_reporter(("i-1", False), ("i-2", True), ("i-1", False))
    reporter.record("healthy", "i-3", False, 0.0)
    assert reporter.take_reports(0.1) == [
        OutcomeReport("pool", (Outcomes("i-1", 2, 0), Outcomes("i-2", 0, 1)))
    ]
    assert reporter.take_reports(0.2) == []


def test_successes_before_a_failure_are_reported_with_it():
    reporter = make_reporter(("i-1", False), ("i-2", False))
    assert reporter.take_reports(RETENTION_S / 2) == []
    reporter.record("pool", "i-2", True, RETENTION_S / 2)
    [report] = reporter.take_reports(RETENTION_S / 2 + 0.1)
    assert report.outcomes == (Outcomes("i-1", 1, 0), Outcomes("i-2", 1, 1))


def test_successes_long_ago_are_not_reported():
    reporter = make_reporter(("i-1", False))
    assert reporter.take_reports(RETENTION_S) == []
    reporter.record("pool", "i-2", True, RETENTION_S)
    [report] = reporter.take_reports(RETENTION_S + 0.1)
    assert report.outcomes == (Outcomes("i-2", 0, 1),)


def test_a_report_contains_no_more_servers_than_the_bound():
    reporter = make_reporter(*((str(number), True) for number in range(2 * MAX_REPORTED_SERVERS)))
    assert len(reporter.take_reports(0.1)[0].outcomes) == MAX_REPORTED_SERVERS

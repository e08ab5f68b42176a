"""Sidecars report failed requests to the control process that owns the service, which evaluates them."""

from __future__ import annotations

import asyncio
import json

from fordtrestle.dissemination.items import Availability, MemberRecord, member_item
from fordtrestle.dissemination.messages import OutcomeReport, Outcomes
from fordtrestle.roles.control_process import ControlProcess
from fordtrestle.roles.process import Process
from fordtrestle.roles.sidecar_process import report_outcomes
from fordtrestle.routing.outcome_reporter import REPORT_INTERVAL_S, OutcomeReporter
from fordtrestle.settings.boot import parse_settings
from tests.settings.test_boot import BOOT
from tests.virtual import virtual

REPORT = OutcomeReport("pool", (Outcomes("i-1", 0, 1),))


def now():
    return asyncio.get_running_loop().time()


class RecordingLink:
    """A link that records sent messages."""

    def __init__(self, node):
        self.node = node
        self.sent = []

    def send(self, message):
        self.sent.append(message)
        return True


def process_among(controls, monkeypatch):
    """Return a sidecar that has a link to each of these control processes, and its links by node."""
    process = Process(parse_settings(json.dumps(BOOT)), "sidecar")
    links = {node: RecordingLink(node) for node in controls}
    for number, node in enumerate(controls):
        record = MemberRecord(node, "control", "z", "r", f"10.0.0.{number}:1", "", Availability.READY)
        process.gossip.publish([member_item(record, 1, 1)])
    monkeypatch.setattr(process.mesh, "link", links.get)
    return process, links


def publish_down(process, node):
    item = process.gossip.catalog.get(f"member/{node}")
    record = MemberRecord(node, "control", "z", "r", item.value.peer, "", Availability.DOWN)
    process.gossip.publish([member_item(record, *item.version[:2])])


@virtual
async def test_the_owner_of_a_service_receives_all_reports_and_its_successor_the_later_ones(monkeypatch):
    process, links = process_among(["c-1", "c-2", "c-3"], monkeypatch)
    reporter = OutcomeReporter()
    task = asyncio.create_task(report_outcomes(process, reporter))
    owners = []
    for _ in range(2):
        for _ in range(2):
            reporter.record("pool", "i-1", True, now())
            await asyncio.sleep(1.5 * REPORT_INTERVAL_S)
        owners += [node for node, link in links.items() if len(link.sent) == 2]
        publish_down(process, owners[-1])
        for link in links.values():
            assert link.sent in ([], [REPORT, REPORT])
            link.sent.clear()
    task.cancel()
    assert len(set(owners)) == 2


@virtual
async def test_without_a_link_to_the_owner_or_an_owner_the_report_is_dropped(monkeypatch):
    process, _ = process_among([], monkeypatch)
    assert process.owner_link("pool") is None
    reporter = OutcomeReporter()
    reporter.record("pool", "i-1", True, now())
    task = asyncio.create_task(report_outcomes(process, reporter))
    await asyncio.sleep(1.5 * REPORT_INTERVAL_S)
    assert not task.done()
    assert reporter.take_reports(now()) == []
    task.cancel()


@virtual
async def test_a_control_process_passes_reports_to_its_outlier_detector():
    class RecordingDetector:
        def __init__(self):
            self.reports = []

        def on_report(self, node, report, now):
            self.reports.append((node, report))

    control = ControlProcess.__new__(ControlProcess)
    control.outliers = RecordingDetector()
    control._on_message(RecordingLink("s-1"), REPORT)
    assert control.outliers.reports == [("s-1", REPORT)]

"""Tests which heartbeats are published and when a server becomes unresponsive."""

from __future__ import annotations

import json

from fordtrestle.control_api.heartbeats import HeartbeatMonitor, read_heartbeat
from fordtrestle.dissemination.catalog import Catalog
from tests.control_api.test_exchanges import HEARTBEAT


class ControlProcess:
    """The heartbeat monitor and the catalog of one control process."""

    def __init__(self, name="core-1", catalog=None):
        self.name = name
        self.catalog = catalog or Catalog()
        self.heartbeats = HeartbeatMonitor(name, 1.0)

    def receive(self, now, **fields):
        """Receive a heartbeat and return whether it was published."""
        heartbeat = read_heartbeat("i-1", json.dumps({**HEARTBEAT, **fields}).encode(), self.name).unwrap()
        item = self.heartbeats.on_heartbeat(heartbeat, self.catalog, now)
        return bool(item and self.catalog.merge([item], now))

    def find_unresponsive(self, now, is_successor_of=lambda node: False):
        items = self.heartbeats.find_unresponsive(self.catalog, now, is_successor_of)
        self.catalog.merge(items, now)
        return [item.key for item in items]


def test_only_a_heartbeat_that_changes_something_is_published():
    control = ControlProcess()
    assert control.receive(0.0, sequence=1)
    assert not control.receive(1.0, sequence=2)
    assert control.receive(2.0, sequence=3, zone="z-2")
    assert not control.receive(2.1, sequence=2, zone="z-9"), "an older heartbeat is ignored"
    assert control.receive(3.0, sequence=4, zone="z-2", state="draining")
    assert not control.receive(4.0, sequence=5, zone="z-2"), "draining is final for an incarnation"


def test_a_new_warm_up_is_published_and_one_in_progress_is_not():
    control = ControlProcess()
    assert control.receive(0.0, sequence=1, cold_remaining_ms=3000)
    assert not control.receive(1.0, sequence=2, cold_remaining_ms=2000)
    assert not control.receive(4.0, sequence=5, cold_remaining_ms=0)
    assert control.receive(5.0, sequence=6, cold_remaining_ms=3000)


def test_a_server_without_heartbeats_is_reported_once_until_its_next_heartbeat():
    control = ControlProcess()
    control.receive(0.0, sequence=1)
    assert control.find_unresponsive(3.5) == []
    assert control.find_unresponsive(3.6) == ["server/i-1"]
    assert control.find_unresponsive(9.0) == []
    assert control.receive(10.0, sequence=2)
    record, _ = next(control.catalog.servers())
    assert not record.is_unresponsive


def test_a_server_that_moved_to_another_process_is_monitored_there():
    first = ControlProcess()
    first.receive(0.0, sequence=1)
    other = ControlProcess("core-2", first.catalog)
    assert other.receive(2.0, sequence=3), "all processes must learn which one receives its heartbeats now"
    assert first.find_unresponsive(9.0) == []
    assert other.find_unresponsive(5.6) == ["server/i-1"]


def test_a_restarted_process_monitors_the_servers_of_its_earlier_incarnation():
    control = ControlProcess()
    control.receive(0.0, sequence=1)
    restarted = ControlProcess(catalog=control.catalog)
    assert restarted.find_unresponsive(10.0) == []
    assert restarted.find_unresponsive(13.6) == ["server/i-1"]


def test_the_successor_of_a_process_that_is_down_monitors_its_servers():
    departed = ControlProcess()
    departed.receive(0.0, sequence=1)
    successor, other = ControlProcess("core-2", departed.catalog), ControlProcess("core-3", departed.catalog)
    is_departed = "core-1".__eq__
    assert successor.find_unresponsive(10.0, is_departed) == [] == other.find_unresponsive(10.0)
    assert other.find_unresponsive(20.0) == []
    assert successor.find_unresponsive(13.6, is_departed) == ["server/i-1"]
    assert other.receive(21.0, sequence=2), "the server is alive and has moved to another process"
    assert successor.find_unresponsive(40.0, is_departed) == []

"""Which heartbeats are news, and when a server has fallen silent."""

from __future__ import annotations

import json

from fordtrestle.control_api.heartbeats import Heartbeats, read_heartbeat
from fordtrestle.dissemination.catalog import Catalog
from tests.control_api.test_exchanges import BEAT


class Core:
    """One control process's heartbeats and catalog."""

    def __init__(self, name="core-1", catalog=None):
        self.name = name
        self.catalog = catalog or Catalog()
        self.heartbeats = Heartbeats(name, 1.0)

    def hear(self, now, **fields):
        """Take a heartbeat; whether it was news."""
        beat = read_heartbeat("i-1", json.dumps({**BEAT, **fields}).encode(), self.name).unwrap()
        item = self.heartbeats.take(beat, self.catalog, now)
        return bool(item and self.catalog.merge([item], now))

    def silent(self, now, inherits=lambda node: False):
        items = self.heartbeats.fallen_silent(self.catalog, now, inherits)
        self.catalog.merge(items, now)
        return [item.key for item in items]


def test_only_what_changes_is_news():
    core = Core()
    assert core.hear(0.0, sequence=1)
    assert not core.hear(1.0, sequence=2)
    assert core.hear(2.0, sequence=3, zone="z-2")
    assert not core.hear(2.1, sequence=2, zone="z-9"), "it has come late"
    assert core.hear(3.0, sequence=4, zone="z-2", state="draining")
    assert not core.hear(4.0, sequence=5, zone="z-2"), "draining is final for an incarnation"


def test_turning_cold_is_news_and_becoming_less_cold_is_not():
    core = Core()
    assert core.hear(0.0, sequence=1, cold_remaining_ms=3000)
    assert not core.hear(1.0, sequence=2, cold_remaining_ms=2000)
    assert not core.hear(4.0, sequence=5, cold_remaining_ms=0)
    assert core.hear(5.0, sequence=6, cold_remaining_ms=3000)


def test_a_server_whose_heartbeats_stop_is_told_to_be_silent_once_and_taken_back():
    core = Core()
    core.hear(0.0, sequence=1)
    assert core.silent(3.5) == []
    assert core.silent(3.6) == ["server/i-1"]
    assert core.silent(9.0) == []
    assert core.hear(10.0, sequence=2)
    record, _ = next(core.catalog.servers())
    assert not record.is_unresponsive


def test_a_server_that_has_gone_over_to_another_process_is_left_to_that_one():
    one = Core()
    one.hear(0.0, sequence=1)
    other = Core("core-2", one.catalog)
    assert other.hear(2.0, sequence=3), "everyone has to know who hears it now"
    assert one.silent(9.0) == []
    assert other.silent(5.6) == ["server/i-1"]


def test_a_process_that_has_started_anew_watches_the_servers_that_it_heard_before():
    core = Core()
    core.hear(0.0, sequence=1)
    again = Core(catalog=core.catalog)
    assert again.silent(10.0) == []
    assert again.silent(13.6) == ["server/i-1"]


def test_the_servers_of_a_process_that_is_gone_are_watched_by_its_heir():
    gone = Core()
    gone.hear(0.0, sequence=1)
    heir, other = Core("core-2", gone.catalog), Core("core-3", gone.catalog)
    of_gone = "core-1".__eq__
    assert heir.silent(10.0, of_gone) == [] == other.silent(10.0)
    assert other.silent(20.0) == []
    assert heir.silent(13.6, of_gone) == ["server/i-1"]
    assert other.hear(21.0, sequence=2), "it is there after all, and goes to another process"
    assert heir.silent(40.0, of_gone) == []

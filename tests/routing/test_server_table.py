"""Which servers can accept a request, and how long servers are kept."""

from __future__ import annotations

from fordtrestle.dissemination.items import Phase
from fordtrestle.routing.server_table import DEPARTED_RETENTION_S, ServerTable, split_by_region
from tests.routing.records import ZONES, make_record


def test_only_servers_that_can_accept_requests_are_usable():
    servers = ServerTable(ZONES)
    for version, record in enumerate(
        [
            make_record("serving"),
            make_record("draining", phase=Phase.DRAINING),
            make_record("departed", phase=Phase.DEPARTED),
            make_record("silent", is_unresponsive=True),
            make_record("evacuated", zone="z-2"),
            make_record("remote", zone="z-3"),
            make_record("other", service="other"),
            make_record("backing-off"),
        ]
    ):
        servers.update(record, (0, version, 0), 0.0)
    next(
        server for server in servers.of_service("pool") if server.instance == "backing-off"
    ).on_connection_failure(0.0)
    usable = servers.usable("pool", {"z-2"}, ("r-1",), 0.1)
    assert [server.instance for server in usable] == ["serving"]
    assert {server.instance for server in servers.usable("pool", (), (), 0.3)} == {
        "serving",
        "evacuated",
        "remote",
        "backing-off",
    }


def test_the_backoff_doubles_with_each_failed_connection_and_is_reset_by_a_response():
    servers = ServerTable(ZONES)
    servers.update(make_record("i-1"), (0, 1, 0), 0.0)
    (server,) = servers.of_service("pool")
    backoffs_s = []
    for _ in range(7):
        server.on_connection_failure(0.0)
        backoffs_s.append(server.backoff_until)
    assert backoffs_s == [0.25, 0.5, 1.0, 2.0, 4.0, 4.0, 4.0]
    server.on_answer(0.0)
    server.on_connection_failure(0.0)
    assert server.backoff_until == 0.25


def test_an_older_record_changes_nothing_and_a_departed_server_expires():
    servers = ServerTable(ZONES)
    servers.update(make_record("i-1", phase=Phase.DRAINING), (1, 5, 0), 0.0)
    servers.update(make_record("i-1"), (0, 9, 0), 0.0)
    assert not servers.usable("pool", (), (), 0.0)
    servers.update(make_record("i-1", phase=Phase.DEPARTED), (2, 5, 0), 0.0)
    servers.expire(DEPARTED_RETENTION_S + 1.0)
    assert not servers.of_service("pool")


def test_servers_are_split_by_region_and_those_in_the_zone_come_first():
    servers = ServerTable(ZONES)
    for instance, zone in (("far", "z-3"), ("region", "z-2"), ("zone", "z-1")):
        servers.update(make_record(instance, zone), (0, 1, 0), 0.0)
    local, remote = split_by_region(servers.of_service("pool"), "z-1", "r-1")
    assert [server.instance for server in local] == ["zone", "region"]
    assert [server.instance for server in remote] == ["far"]

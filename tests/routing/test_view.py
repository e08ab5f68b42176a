"""How the view applies the items of the catalog."""

from __future__ import annotations

from fordtrestle.dissemination.items import (
    Availability,
    ControlView,
    MemberRecord,
    control_item,
    member_item,
    server_item,
)
from fordtrestle.routing.view import DOWN_RETENTION_S, View
from tests.routing.records import ZONES, make_document, make_record


def test_the_view_applies_items_and_an_evacuation_alone_keeps_the_routes():
    view = View(ZONES, heartbeat_s=1.0, started_at=0.0)
    view.apply([control_item(ControlView(1, 1, make_document({"name": "r", "path_prefix": "/"}), ()))], 0.0)
    table = view.table
    view.apply(
        [control_item(ControlView(2, 1, make_document({"name": "r", "path_prefix": "/"}), ("z-1",)))], 0.0
    )
    assert view.table is table
    assert view.evacuated_zones == {"z-1"}
    sidecar = MemberRecord("front-1", "sidecar", "z-1", "r-1", "p", "f", Availability.READY)
    view.apply([member_item(sidecar, 1, 1), server_item(make_record("i-1"), 1)], 0.0)
    assert view.sidecars == {"front-1"}
    assert len(view.servers.of_service("pool")) == 1
    down = MemberRecord("front-1", "sidecar", "z-1", "r-1", "p", "f", Availability.DOWN)
    view.apply([member_item(down, 1, 1)], 1.0)
    view.expire(DOWN_RETENTION_S)
    assert view.sidecars == {"front-1"}, "it may be partitioned, and spend its share of the budgets"
    view.expire(DOWN_RETENTION_S + 2.0)
    assert not view.sidecars


def test_servers_count_as_warming_up_after_an_evacuation_until_their_next_heartbeats():
    view = View(ZONES, heartbeat_s=1.2, started_at=0.0)
    view.apply([server_item(make_record("i-1"), 1), server_item(make_record("i-2", "z-2"), 1)], 0.0)
    view.apply([control_item(ControlView(1, 1, b"", ("z-1",)))], 0.0)
    view.apply([control_item(ControlView(2, 1, b"", ()))], 10.0)
    warming = {server.instance: server.is_warming_up(11.7) for server in view.servers.of_service("pool")}
    assert warming == {"i-1": True, "i-2": False}
    assert not any(server.is_warming_up(11.9) for server in view.servers.of_service("pool"))

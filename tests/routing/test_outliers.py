"""Outlier detection: which servers a sidecar ejects, for how long, and how many at most."""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest

from fordtrestle.dissemination.items import EjectionRecord, Phase, ServerRecord, ejection_item, server_item
from fordtrestle.routing.outcome_counts import HALF_LIFE_S, OutcomeCounts
from fordtrestle.routing.outlier_detection import is_outlier
from fordtrestle.routing.outlier_ejection import (
    BASE_EJECTION_S,
    FLAP_WINDOW_S,
    Ejection,
    ServerHealth,
    without_ejected,
)
from fordtrestle.routing.view import PEER_DISCOVERY_S, View


@dataclass(eq=False)
class FakeServer:
    """The attributes of a server that outlier detection depends on."""

    name: str
    region: str = "r-1"
    health: ServerHealth = field(default_factory=ServerHealth)


@pytest.mark.parametrize(
    ("server", "others", "expected"),
    [
        pytest.param((0, 3), [(3, 0)] * 3, True, id="it alone fails, all requests"),
        pytest.param((3, 2), [(3, 0)] * 3, True, id="it alone fails, some requests"),
        pytest.param((9, 2), [(3, 0)] * 3, False, id="it fails few requests"),
        pytest.param((0, 1), [(3, 0)] * 3, False, id="it has failed once"),
        pytest.param((0, 3), [(0, 3)] * 3, False, id="all servers fail all requests"),
        pytest.param((3, 3), [(4, 1)] * 3, False, id="others fail two fifths as often"),
        pytest.param((2, 3), [(9, 1)] * 3, True, id="others fail a sixth as often"),
        pytest.param(
            (3, 2), [(3, 2)] * 2 + [(3, 0)] * 3, True, id="it is one of three failing servers of six"
        ),
        pytest.param(
            (3, 2), [(3, 2)] * 3 + [(3, 0)] * 2, False, id="it is one of four failing servers of six"
        ),
        pytest.param((0, 3), [], False, id="there is no other server"),
        pytest.param((0, 3), [(0, 0)], False, id="the others have no outcomes"),
    ],
)
def test_a_server_is_an_outlier_if_it_fails_far_more_often_than_most_others(server, others, expected):
    assert is_outlier(OutcomeCounts(*server), [OutcomeCounts(*other) for other in others], 0.0) is expected


def test_outcomes_decay_with_time_and_an_earlier_time_changes_nothing():
    counts = OutcomeCounts()
    counts.add(0.0, 4.0, 10.0)
    assert counts.decayed(10.0).bad == 4.0
    assert counts.decayed(10.0 + HALF_LIFE_S).bad == pytest.approx(2.0)
    assert counts.decayed(10.0).bad == pytest.approx(2.0)


def test_ejections_in_succession_double_in_duration_up_to_a_bound():
    ejection, now, durations_s = Ejection(), 100.0, []
    for _ in range(7):
        durations_s.append(ejection.start(now))
        now = ejection.until + 1.0
    assert durations_s == [BASE_EJECTION_S * times for times in (1, 2, 4, 8, 16, 16, 16)]


def test_an_ejection_long_after_the_last_one_has_the_base_duration():
    ejection = Ejection()
    ejection.start(0.0)
    ejection.start(3.0)
    assert ejection.start(ejection.until + FLAP_WINDOW_S) == BASE_EJECTION_S


def test_two_failures_beside_healthy_servers_eject_a_server_until_the_ejection_expires():
    bad, good = ServerHealth(), ServerHealth()
    assert not good.record_outcome(False, [bad.outcomes], 0.0)
    assert not bad.record_outcome(True, [good.outcomes], 0.0)
    assert bad.record_outcome(True, [good.outcomes], 0.1)
    assert bad.is_ejected(0.2)
    assert not good.is_ejected(0.2)
    assert not bad.is_ejected(0.1 + BASE_EJECTION_S)


def test_a_failure_during_an_ejection_does_not_extend_it():
    others, bad = [OutcomeCounts(9.0, 0.0)], ServerHealth()
    bad.record_outcome(True, others, 0.0)
    bad.record_outcome(True, others, 0.1)
    until = bad.own_ejection.until
    assert not bad.record_outcome(True, others, 0.2)
    assert bad.own_ejection.until == until


def eject(servers, now=0.0):
    for server in servers:
        server.health.fleet_ejected_until = now + 5.0


@pytest.mark.parametrize(("servers", "remaining"), [(1, 1), (2, 2), (3, 2), (6, 4), (30, 20)])
def test_at_least_two_thirds_of_a_region_s_servers_remain_however_many_are_ejected(servers, remaining):
    server_list = [FakeServer(str(number)) for number in range(servers)]
    eject(server_list)
    assert len(without_ejected(server_list, 1.0)) == remaining


def test_the_ejection_limit_applies_per_region_and_the_order_is_kept():
    server_list = [FakeServer(str(number), region) for number, region in enumerate(("r-1", "r-2") * 3)]
    eject(server for server in server_list if server.region == "r-2")
    remaining = without_ejected(server_list, 1.0)
    assert [server.name for server in remaining if server.region == "r-1"] == ["0", "2", "4"]
    assert len([server for server in remaining if server.region == "r-2"]) == 2
    assert remaining == sorted(remaining, key=lambda server: int(server.name))


def test_own_ejections_rank_above_those_of_the_fleet_if_not_all_may_be_excluded():
    server_list = [FakeServer(str(number)) for number in range(3)]
    eject(server_list)
    server_list[1].health.own_ejection.start(0.0)
    assert [server.name for server in without_ejected(server_list, 1.0)] == ["0", "2"]


def make_record(instance):
    return ServerRecord(
        instance, "pool", f"10.0.0.{instance}:1", "z-1", 1, Phase.SERVING, False, 0, None, (), "c"
    )


def make_view(*instances, started_at=0.0):
    view = View({"z-1": "r-1"}, 1.0, started_at)
    for instance in instances:
        item = server_item(make_record(instance), 1)
        view.servers.update(item.value, item.version, started_at)
    return view


def usable_instances(view, now):
    return {server.instance for server in view.servers.usable("pool", (), (), now)}


def make_ejection_item(instance, lasts_s=5.0):
    return ejection_item(EjectionRecord(instance, lasts_s), None)


def test_a_server_that_the_fleet_has_ejected_is_not_usable_until_the_ejection_expires():
    view, now = make_view("1", "2", "3"), PEER_DISCOVERY_S
    view.apply([make_ejection_item("2")], now)
    assert usable_instances(view, now) == {"1", "3"}
    assert usable_instances(view, now + 5.0) == {"1", "2", "3"}


def test_a_sidecar_that_has_just_started_ignores_ejections():
    view = make_view("1", "2", "3")
    view.apply([make_ejection_item("2")], PEER_DISCOVERY_S / 2)
    assert usable_instances(view, PEER_DISCOVERY_S / 2) == {"1", "2", "3"}


def test_an_ejection_of_an_unknown_server_changes_nothing():
    view = make_view("1")
    view.apply([make_ejection_item("9")], PEER_DISCOVERY_S)
    assert usable_instances(view, PEER_DISCOVERY_S) == {"1"}


def test_the_last_two_servers_of_a_service_are_used_even_if_ejected():
    view, now = make_view("1", "2"), PEER_DISCOVERY_S
    view.apply([make_ejection_item("1"), make_ejection_item("2")], now)
    assert usable_instances(view, now) == {"1", "2"}

"""Routes, servers and the draw among them."""

from __future__ import annotations

import json
import random

import pytest

from fordtrestle.admission.warm_up_budget import WarmUpBudget
from fordtrestle.control_api.configuration import read_put
from fordtrestle.dissemination.items import (
    Availability,
    ControlView,
    MemberRecord,
    Phase,
    ServerRecord,
    control_item,
    member_item,
    server_item,
)
from fordtrestle.routing.common import Prompt, PromptPart
from fordtrestle.routing.pick_server import pick_server
from fordtrestle.routing.prefill_rate import PrefillRate
from fordtrestle.routing.prompt_headers import read_prompt
from fordtrestle.routing.route_table import parse_table
from fordtrestle.routing.server_selector import ServerSelector
from fordtrestle.routing.server_table import DEPARTED_RETENTION_S, ServerTable, split_by_region
from fordtrestle.routing.view import DOWN_RETENTION_S, View

NO_PROMPT = Prompt()
ZONES = {"z-1": "r-1", "z-2": "r-1", "z-3": "r-2"}


def prompt_of(tokens_in, tokens_out, *parts):
    return Prompt(tokens_in, tokens_out, tuple(PromptPart(*part) for part in parts))


def record(instance, zone="z-1", service="pool", **fields):
    told = {
        "slots": 4,
        "phase": Phase.SERVING,
        "is_unresponsive": False,
        "warm_up_ms": 0.0,
        "remaining_ms": None,
        "models": (),
        "heard_by": "core-1",
        **fields,
    }
    return ServerRecord(instance, service, "10.0.0.1:80", zone, **told)


def document(*routes):
    defaults = {"authority": "A.example", "timeout_ms": 1000, "backend": "pool"}
    return json.dumps(
        {
            "generation": 1,
            "routes": [{**defaults, **route} for route in routes],
            "services": [{"name": "pool"}],
        }
    ).encode()


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("a.example", "/x/y/z", "long"),
        ("A.EXAMPLE:8080", "/x/z", "short"),
        ("a.example", "/x", None),
        ("b.example", "/x/", None),
        ("", "", None),
    ],
)
def test_the_longest_prefix_of_the_host_wins(host, path, name):
    table = parse_table(
        document({"name": "short", "path_prefix": "/x/"}, {"name": "long", "path_prefix": "/x/y/"})
    )
    route = table.match(host, path)
    assert (route.name if route else None) == name


def test_services_are_drawn_by_weight():
    weighted = [
        {"backend": "pool", "weight": 9},
        {"backend": "other", "weight": 1},
        {"backend": "none", "weight": 0},
    ]
    table = parse_table(document({"name": "r", "path_prefix": "/", "weighted_backends": weighted}))
    route = table.match("a.example", "/")
    draw = random.Random(1).random
    drawn = [route.draw_backend(draw) for _ in range(2000)]
    assert 0.85 < drawn.count("pool") / 2000 < 0.95
    assert "none" not in drawn
    assert route.draw_backend(lambda: 1.0) == "pool"


def test_only_servers_that_may_take_requests_are_usable():
    servers = ServerTable(ZONES)
    for version, told in enumerate(
        [
            record("serving"),
            record("draining", phase=Phase.DRAINING),
            record("gone", phase=Phase.DEPARTED),
            record("silent", is_unresponsive=True),
            record("evacuated", zone="z-2"),
            record("abroad", zone="z-3"),
            record("other", service="other"),
            record("resting"),
        ]
    ):
        servers.update(told, (0, version, 0), 0.0)
    next(
        server for server in servers.of_service("pool") if server.instance == "resting"
    ).on_connection_failure(0.0)
    usable = servers.usable("pool", {"z-2"}, ("r-1",), 0.1)
    assert [server.instance for server in usable] == ["serving"]
    assert {server.instance for server in servers.usable("pool", (), (), 0.3)} == {
        "serving",
        "evacuated",
        "abroad",
        "resting",
    }


def test_a_server_rests_longer_with_each_connection_that_fails_and_not_after_an_answer():
    servers = ServerTable(ZONES)
    servers.update(record("i-1"), (0, 1, 0), 0.0)
    (server,) = servers.of_service("pool")
    rests = []
    for _ in range(7):
        server.on_connection_failure(0.0)
        rests.append(server.backoff_until)
    assert rests == [0.25, 0.5, 1.0, 2.0, 4.0, 4.0, 4.0]
    server.on_answer(0.0)
    server.on_connection_failure(0.0)
    assert server.backoff_until == 0.25


def test_an_older_record_changes_nothing_and_what_is_gone_is_forgotten():
    servers = ServerTable(ZONES)
    servers.update(record("i-1", phase=Phase.DRAINING), (1, 5, 0), 0.0)
    servers.update(record("i-1"), (0, 9, 0), 0.0)
    assert not servers.usable("pool", (), (), 0.0)
    servers.update(record("i-1", phase=Phase.DEPARTED), (2, 5, 0), 0.0)
    servers.expire(DEPARTED_RETENTION_S + 1.0)
    assert not servers.of_service("pool")


def test_the_own_zone_goes_before_the_region_and_that_before_others():
    servers = ServerTable(ZONES)
    for instance, zone in (("far", "z-3"), ("region", "z-2"), ("zone", "z-1")):
        servers.update(record(instance, zone), (0, 1, 0), 0.0)
    near, far = split_by_region(servers.of_service("pool"), "z-1", "r-1")
    assert [server.instance for server in near] == ["zone", "region"]
    assert [server.instance for server in far] == ["far"]


def known(*loads):
    servers = ServerTable(ZONES)
    for index in range(len(loads)):
        servers.update(record(f"i-{index}"), (0, 1, 0), 0.0)
    for server, load in zip(servers.of_service("pool"), loads, strict=True):
        server.in_flight = load
    return list(servers.of_service("pool"))


def test_the_fewest_own_in_flight_of_a_few_drawn_wins():
    draw = random.Random(1).random
    assert pick_server(known(3, 0, 2), NO_PROMPT, (), 0.0, draw).instance == "i-1"
    assert pick_server(known(3, 0, 2), NO_PROMPT, {"i-1"}, 0.0, draw).instance == "i-2"
    assert pick_server(known(1), NO_PROMPT, {"i-0"}, 0.0, draw) is None
    drawn = {pick_server(known(*[0] * 10), NO_PROMPT, (), 0.0, draw).instance for _ in range(200)}
    assert len(drawn) == 10
    worst = [pick_server(known(*range(10)), NO_PROMPT, (), 0.0, draw).in_flight for _ in range(500)]
    assert 0 < worst.count(0) < 400
    assert max(worst) <= 7


def test_requests_with_one_prompt_keep_to_one_server_until_it_holds_far_more():
    draw = random.Random(1).random
    prompt = prompt_of(10, 10, ("aa", 5), ("bb", 5), ("own", 1))
    servers = known(0, 0, 0, 0)
    first = pick_server(servers, prompt, (), 0.0, draw)
    assert {pick_server(servers, prompt, (), 0.0, draw) for _ in range(20)} == {first}
    assert pick_server(servers, prompt_of(10, 10, ("aa", 5), ("bb", 5), ("other", 1)), (), 0.0, draw) is first
    first.in_flight = 5
    assert pick_server(servers, prompt, (), 0.0, draw) is first
    first.in_flight = 9
    assert pick_server(servers, prompt, (), 0.0, draw) is not first


def test_a_prompt_that_is_still_to_be_read_counts_by_its_size():
    draw = random.Random(1).random
    servers = known(1, 3)
    servers[0].prefill_tokens = 5000
    assert pick_server(servers, NO_PROMPT, (), 0.0, draw, mean_tokens=1000.0) is servers[1]
    assert pick_server(servers, NO_PROMPT, (), 0.0, draw, mean_tokens=50_000.0) is servers[0]


def test_only_the_last_part_of_a_prompt_is_its_own():
    assert prompt_of(9000, 10, ("aa", 9000), ("own", 7)).own_tokens == 7
    assert NO_PROMPT.own_tokens is None


def test_a_server_whose_answers_begin_late_counts_as_holding_more_until_that_is_forgotten():
    draw = random.Random(1).random
    servers = known(0, 2)
    for _ in range(20):
        servers[0].record_delay(2.0, 0.0)
        servers[1].record_delay(0.4, 0.0)
    assert pick_server(servers, NO_PROMPT, (), 0.0, draw) is servers[1]
    assert pick_server(servers, NO_PROMPT, (), 30.0, draw) is servers[0]


@pytest.mark.parametrize(
    ("count", "prefix", "prompt"),
    [
        ("1460,80", "5c:800,91:410,e4:250", prompt_of(1460, 80, ("5c", 800), ("91", 410), ("e4", 250))),
        ("", "", NO_PROMPT),
        ("x,y", "5c,91:z,:3,e4:1", prompt_of(0, 0, ("", 3), ("e4", 1))),
        ("-5,3", "", Prompt(0, 3, ())),
    ],
)
def test_what_a_request_says_of_its_prompt_is_read_as_far_as_it_can_be(count, prefix, prompt):
    assert read_prompt(count, prefix) == prompt


def test_the_view_follows_items_and_a_change_of_zones_alone_keeps_the_routes():
    view = View(ZONES, heartbeat_s=1.0, started_at=0.0)
    view.apply([control_item(ControlView(1, 1, document({"name": "r", "path_prefix": "/"}), ()))], 0.0)
    table = view.table
    view.apply([control_item(ControlView(2, 1, document({"name": "r", "path_prefix": "/"}), ("z-1",)))], 0.0)
    assert view.table is table
    assert view.evacuated_zones == {"z-1"}
    sidecar = MemberRecord("front-1", "sidecar", "z-1", "r-1", "p", "f", Availability.READY)
    view.apply([member_item(sidecar, 1, 1), server_item(record("i-1"), 1)], 0.0)
    assert view.sidecars == {"front-1"}
    assert len(view.servers.of_service("pool")) == 1
    down = MemberRecord("front-1", "sidecar", "z-1", "r-1", "p", "f", Availability.DOWN)
    view.apply([member_item(down, 1, 1)], 1.0)
    view.expire(DOWN_RETENTION_S)
    assert view.sidecars == {"front-1"}, "it may be behind a cut, and spend its part of the budgets"
    view.expire(DOWN_RETENTION_S + 2.0)
    assert not view.sidecars


def test_servers_of_a_zone_that_is_taken_back_are_held_to_be_cold_until_they_have_spoken():
    view = View(ZONES, heartbeat_s=1.2, started_at=0.0)
    view.apply([server_item(record("i-1"), 1), server_item(record("i-2", "z-2"), 1)], 0.0)
    view.apply([control_item(ControlView(1, 1, b"", ("z-1",)))], 0.0)
    view.apply([control_item(ControlView(2, 1, b"", ()))], 10.0)
    cold = {server.instance: server.is_warming_up(11.7) for server in view.servers.of_service("pool")}
    assert cold == {"i-1": True, "i-2": False}
    assert not any(server.is_warming_up(11.9) for server in view.servers.of_service("pool"))


def test_a_sidecar_that_has_just_started_sends_nothing_to_cold_servers():
    view = View(ZONES, heartbeat_s=1.0, started_at=5.0)
    service = {"name": "pool", "cold_rate_s": 9.9}
    route = {"name": "r", "authority": "a", "path_prefix": "/", "timeout_ms": 1, "backend": "pool"}
    text = json.dumps({"generation": 1, "routes": [route], "services": [service]}).encode()
    view.apply(
        [control_item(ControlView(1, 1, text, ())), server_item(record("i-1", warm_up_ms=9000.0), 1)], 5.0
    )
    selection = ServerSelector(
        view, WarmUpBudget(1.5, 5.0, "front-1"), "z-1", "r-1", lambda: 0.5, lambda _: None
    )
    taken = view.table.match("a", "/")
    assert selection.select(taken, "pool", NO_PROMPT, (), 6.9) is None
    assert selection.select(taken, "pool", NO_PROMPT, (), 7.1).instance == "i-1"


def selection_of(view, crossing_s):
    return ServerSelector(
        view, WarmUpBudget(1.5, 5.0, "front-1"), "z-1", "r-1", lambda: 0.9, lambda _: crossing_s
    )


def test_prompts_whose_shared_parts_take_longer_to_read_than_a_crossing_have_one_holder_in_all_regions():
    view = View(ZONES, heartbeat_s=1.0, started_at=0.0)
    document_ = document({"name": "r", "path_prefix": "/"})
    servers = [server_item(record(f"i-{n}", "z-1" if n < 2 else "z-3"), 1) for n in range(6)]
    view.apply([control_item(ControlView(1, 1, document_, ())), *servers], 0.0)
    route = view.table.match("a.example", "/")
    long = [prompt_of(9000, 10, (f"{n:x}", 8000), ("own", 1000)) for n in range(40)]
    short = [prompt_of(1100, 10, (f"{n:x}", 100), ("own", 1000)) for n in range(40)]

    def regions(selection, prompts):
        return {selection.select(route, "pool", prompt, (), 1.0).region for prompt in prompts}

    selection = selection_of(view, crossing_s=0.1)
    assert regions(selection, long) == {"r-1"}, "nothing is known yet of how fast prompts are read"
    near = next(server for server in view.servers.of_service("pool") if server.region == "r-1")
    selection.on_answer("pool", near, long[0], 0.025, 0.8, 1.0)  # 40,000 tokens a second: 0.2 s for 8,000
    assert regions(selection, long) == {"r-1", "r-2"}
    assert regions(selection, short) == {"r-1"}
    holders = [selection.select(route, "pool", prompt, (), 1.0) for prompt in long]
    assert holders == [selection.select(route, "pool", prompt, (), 1.0) for prompt in long]
    for crossing_s in (0.5, None):
        selection = selection_of(view, crossing_s)
        selection.on_answer("pool", near, long[0], 0.025, 0.8, 1.0)
        assert regions(selection, long) == {"r-1"}


def test_the_rate_of_reading_is_that_of_the_quickest_answers_of_late():
    rate = PrefillRate()
    assert rate.duration_s(1000) == 0.0
    rate.record(1000, 0.1)
    rate.record(1000, 3.0)
    rate.record(10, 0.0001)
    assert 0.1 <= rate.duration_s(1000) < 0.103
    for _ in range(300):
        rate.record(1000, 0.5)
    assert rate.duration_s(1000) > 0.45


def test_what_the_checks_let_pass_can_be_read():
    """Every configuration that is acknowledged has to be usable by all sidecars."""
    route = {"name": "r", "authority": "a", "path_prefix": "/", "timeout_ms": "3000", "backend": "pool"}
    odd = {"priority": None, "max_attempts": None, "home_regions": None, "weighted_backends": []}
    service = {"name": "pool", "cold_rate_s": None, "max_connections": None, "engine": {"slots": "many"}}
    raw = {"generation": 1, "routes": [{**route, **odd}], "services": [service], "limits": None}
    body = json.dumps(raw).encode()
    assert read_put(body).unwrap() == raw
    table = parse_table(body)
    assert table.match("a", "/").timeout_s == 3.0
    assert table.match("a", "/").max_attempts == 1

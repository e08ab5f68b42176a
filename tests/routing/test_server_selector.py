"""Which region's server is selected, and when a server in warm-up is selected."""

from __future__ import annotations

import json

from fordtrestle.admission.warm_up_budget import WarmUpBudget
from fordtrestle.dissemination.items import ControlView, control_item, server_item
from fordtrestle.routing.common import Prompt
from fordtrestle.routing.server_selector import ServerSelector
from fordtrestle.routing.view import View
from tests.routing.records import ZONES, make_document, make_prompt, make_record


def make_selector(view, round_trip_s):
    return ServerSelector(
        view, WarmUpBudget(1.5, 5.0, "front-1"), "z-1", "r-1", lambda: 0.9, lambda _: round_trip_s
    )


def test_a_sidecar_that_has_just_started_selects_no_server_in_warm_up():
    view = View(ZONES, heartbeat_s=1.0, started_at=5.0)
    service = {"name": "pool", "cold_rate_s": 9.9}
    route = {"name": "r", "authority": "a", "path_prefix": "/", "timeout_ms": 1, "backend": "pool"}
    document = json.dumps({"generation": 1, "routes": [route], "services": [service]}).encode()
    view.apply(
        [
            control_item(ControlView(1, 1, document, ())),
            server_item(make_record("i-1", warm_up_ms=9000.0), 1),
        ],
        5.0,
    )
    selector = ServerSelector(
        view, WarmUpBudget(1.5, 5.0, "front-1"), "z-1", "r-1", lambda: 0.5, lambda _: None
    )
    matched_route = view.table.match("a", "/")
    assert selector.select(matched_route, "pool", Prompt(), (), 6.9) is None
    assert selector.select(matched_route, "pool", Prompt(), (), 7.1).instance == "i-1"


def test_long_shared_prefixes_have_one_holder_in_all_regions_if_prefill_takes_longer_than_the_round_trip():
    view = View(ZONES, heartbeat_s=1.0, started_at=0.0)
    routes = make_document({"name": "r", "path_prefix": "/"})
    servers = [server_item(make_record(f"i-{n}", "z-1" if n < 2 else "z-3"), 1) for n in range(6)]
    view.apply([control_item(ControlView(1, 1, routes, ())), *servers], 0.0)
    route = view.table.match("a.example", "/")
    long = [make_prompt(9000, 10, (f"{n:x}", 8000), ("own", 1000)) for n in range(40)]
    short = [make_prompt(1100, 10, (f"{n:x}", 100), ("own", 1000)) for n in range(40)]

    def regions(selector, prompts):
        return {selector.select(route, "pool", prompt, (), 1.0).region for prompt in prompts}

    selector = make_selector(view, round_trip_s=0.1)
    assert regions(selector, long) == {"r-1"}, "the prefill rate is not known yet"
    near = next(server for server in view.servers.of_service("pool") if server.region == "r-1")
    selector.on_answer("pool", near, long[0], 0.025, 0.8, 1.0)  # 40,000 tokens per second: 0.2 s for 8,000
    assert regions(selector, long) == {"r-1", "r-2"}
    assert regions(selector, short) == {"r-1"}
    holders = [selector.select(route, "pool", prompt, (), 1.0) for prompt in long]
    assert holders == [selector.select(route, "pool", prompt, (), 1.0) for prompt in long]
    for round_trip_s in (0.5, None):
        selector = make_selector(view, round_trip_s)
        selector.on_answer("pool", near, long[0], 0.025, 0.8, 1.0)
        assert regions(selector, long) == {"r-1"}

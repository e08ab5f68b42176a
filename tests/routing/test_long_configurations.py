"""A long configuration is parsed in steps, and becomes active when it is complete."""

from __future__ import annotations

import json

from fordtrestle.dissemination.items import ControlView, control_item
from fordtrestle.routing import route_table as table_module
from fordtrestle.routing.route_table import ROWS_PER_STEP, parse_table, parse_table_in_steps
from fordtrestle.routing.view import MAX_IMMEDIATE_PARSE_BYTES, View

ROUTE = {"authority": "a.example", "route_type": "safe", "timeout_ms": 3000, "backend": "pool"}
LONG_ROUTE_COUNT = 1000


def make_document(generation: int, routes: int) -> bytes:
    rows = [{**ROUTE, "name": f"r-{n}", "path_prefix": f"/{generation}/{n}/"} for n in range(routes)]
    return json.dumps({"generation": generation, "routes": rows, "services": [{"name": "pool"}]}).encode()


def make_view() -> View:
    return View({"z": "r"}, 1.0, 0.0)


def apply_configuration(view: View, generation: int, routes: int, evacuated: tuple[str, ...] = ()) -> None:
    body = make_document(generation, routes)
    assert (len(body) > MAX_IMMEDIATE_PARSE_BYTES) == (routes == LONG_ROUTE_COUNT)
    view.apply([control_item(ControlView(generation, generation, body, evacuated))], 0.0)


def parse_all(view: View) -> int:
    """Parse until nothing is left, and return the number of steps."""
    steps = 0
    while view.has_pending_parse:
        view.parse_step()
        steps += 1
    return steps


def test_a_short_configuration_is_active_immediately():
    view = make_view()
    apply_configuration(view, 1, 10)
    assert view.generation == 1
    assert not view.has_pending_parse
    view.parse_step()
    assert view.table.match("a.example", "/1/7/x").name == "r-7"


def test_a_long_configuration_is_parsed_in_steps_and_the_previous_one_is_active_until_then():
    view = make_view()
    apply_configuration(view, 1, 10)
    apply_configuration(view, 2, LONG_ROUTE_COUNT, evacuated=("z",))
    assert view.evacuated_zones == {"z"}, "an evacuation does not wait for parsing"
    for _ in range(LONG_ROUTE_COUNT // ROWS_PER_STEP - 1):
        view.parse_step()
        assert view.generation == 1
        assert view.table.match("a.example", "/1/7/")
    parse_all(view)
    assert view.generation == 2
    assert view.table.match("a.example", f"/2/{LONG_ROUTE_COUNT - 1}/")
    assert not view.table.match("a.example", "/1/7/")


def test_a_parse_in_progress_is_completed_and_then_the_newest_configuration_is_parsed():
    view = make_view()
    apply_configuration(view, 1, LONG_ROUTE_COUNT)
    view.parse_step()
    apply_configuration(view, 2, LONG_ROUTE_COUNT)
    apply_configuration(view, 3, LONG_ROUTE_COUNT)
    generations = set()
    while view.has_pending_parse:
        view.parse_step()
        generations.add(view.generation)
    assert generations == {0, 1, 3}


def test_a_short_configuration_that_arrives_during_a_parse_replaces_it():
    view = make_view()
    apply_configuration(view, 1, LONG_ROUTE_COUNT)
    view.parse_step()
    apply_configuration(view, 2, LONG_ROUTE_COUNT)
    apply_configuration(view, 3, 10)
    assert view.generation == 3
    assert not view.has_pending_parse


def test_a_step_parses_no_more_rows_than_the_bound(monkeypatch):
    rows = []
    parse_route = table_module._parse_route
    monkeypatch.setattr(table_module, "_parse_route", lambda row: rows.append(row) or parse_route(row))
    steps = parse_table_in_steps(make_document(1, LONG_ROUTE_COUNT))
    before = 0
    for _ in steps:
        assert len(rows) - before <= ROWS_PER_STEP
        before = len(rows)
    assert len(rows) == LONG_ROUTE_COUNT


def test_parsing_at_once_and_in_steps_gives_the_same_routes():
    body = make_document(1, 10)
    table = parse_table(body)
    assert [table.match("a.example", f"/1/{n}/").name for n in range(10)] == [f"r-{n}" for n in range(10)]

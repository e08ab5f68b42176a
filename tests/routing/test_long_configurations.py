"""A long configuration is read in steps, and is in force once it is whole."""

from __future__ import annotations

import json

from fordtrestle.dissemination.items import ControlView, control_item
from fordtrestle.routing import route_table as table_module
from fordtrestle.routing.route_table import ROWS_PER_STEP, parse_table, parse_table_in_steps
from fordtrestle.routing.view import MAX_IMMEDIATE_PARSE_BYTES, View

ROUTE = {"authority": "a.example", "route_type": "safe", "timeout_ms": 3000, "backend": "pool"}
MANY = 1000


def document(generation: int, routes: int) -> bytes:
    rows = [{**ROUTE, "name": f"r-{n}", "path_prefix": f"/{generation}/{n}/"} for n in range(routes)]
    return json.dumps({"generation": generation, "routes": rows, "services": [{"name": "pool"}]}).encode()


def view() -> View:
    return View({"z": "r"}, 1.0, 0.0)


def configure(view: View, generation: int, routes: int, evacuated: tuple[str, ...] = ()) -> None:
    body = document(generation, routes)
    assert (len(body) > MAX_IMMEDIATE_PARSE_BYTES) == (routes == MANY)
    view.apply([control_item(ControlView(generation, generation, body, evacuated))], 0.0)


def read(view: View) -> int:
    """Read on until nothing is left; in how many steps."""
    steps = 0
    while view.has_pending_parse:
        view.parse_step()
        steps += 1
    return steps


def test_a_short_one_is_in_force_at_once():
    seen = view()
    configure(seen, 1, 10)
    assert seen.generation == 1
    assert not seen.has_pending_parse
    seen.parse_step()
    assert seen.table.match("a.example", "/1/7/x").name == "r-7"


def test_a_long_one_is_read_in_steps_and_the_one_before_holds_until_then():
    seen = view()
    configure(seen, 1, 10)
    configure(seen, 2, MANY, evacuated=("z",))
    assert seen.evacuated_zones == {"z"}, "an evacuation waits for nothing"
    for _ in range(MANY // ROWS_PER_STEP - 1):
        seen.parse_step()
        assert seen.generation == 1
        assert seen.table.match("a.example", "/1/7/")
    read(seen)
    assert seen.generation == 2
    assert seen.table.match("a.example", f"/2/{MANY - 1}/")
    assert not seen.table.match("a.example", "/1/7/")


def test_one_that_is_begun_is_finished_and_then_the_newest_is_read():
    seen = view()
    configure(seen, 1, MANY)
    seen.parse_step()
    configure(seen, 2, MANY)
    configure(seen, 3, MANY)
    generations = set()
    while seen.has_pending_parse:
        seen.parse_step()
        generations.add(seen.generation)
    assert generations == {0, 1, 3}


def test_a_short_one_that_comes_meanwhile_is_newer():
    seen = view()
    configure(seen, 1, MANY)
    seen.parse_step()
    configure(seen, 2, MANY)
    configure(seen, 3, 10)
    assert seen.generation == 3
    assert not seen.has_pending_parse


def test_a_step_parses_no_more_rows_than_the_bound(monkeypatch):
    rows = []
    whole = table_module._parse_route
    monkeypatch.setattr(table_module, "_parse_route", lambda row: rows.append(row) or whole(row))
    steps = parse_table_in_steps(document(1, MANY))
    before = 0
    for _ in steps:
        assert len(rows) - before <= ROWS_PER_STEP
        before = len(rows)
    assert len(rows) == MANY


def test_parsing_at_once_and_in_steps_gives_the_same_routes():
    body = document(1, 10)
    table = parse_table(body)
    assert [table.match("a.example", f"/1/{n}/").name for n in range(10)] == [f"r-{n}" for n in range(10)]

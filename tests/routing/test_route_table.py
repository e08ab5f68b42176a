"""Which route matches a request, and which service of the route receives it."""

from __future__ import annotations

import json
import random

import pytest

from fordtrestle.control_api.configuration import read_put
from fordtrestle.routing.route_table import parse_table
from tests.routing.records import make_document


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
def test_a_request_matches_the_route_of_its_host_with_the_longest_prefix(host, path, name):
    table = parse_table(
        make_document({"name": "short", "path_prefix": "/x/"}, {"name": "long", "path_prefix": "/x/y/"})
    )
    route = table.match(host, path)
    assert (route.name if route else None) == name


def test_backends_are_drawn_in_proportion_to_their_weights():
    weighted = [
        {"backend": "pool", "weight": 9},
        {"backend": "other", "weight": 1},
        {"backend": "none", "weight": 0},
    ]
    table = parse_table(make_document({"name": "r", "path_prefix": "/", "weighted_backends": weighted}))
    route = table.match("a.example", "/")
    draw = random.Random(1).random
    drawn = [route.draw_backend(draw) for _ in range(2000)]
    assert 0.85 < drawn.count("pool") / 2000 < 0.95
    assert "none" not in drawn
    assert route.draw_backend(lambda: 1.0) == "pool"


def test_whatever_passes_validation_can_be_parsed():
    """Every acknowledged configuration must be usable by all sidecars."""
    route = {"name": "r", "authority": "a", "path_prefix": "/", "timeout_ms": "3000", "backend": "pool"}
    optional = {"priority": None, "max_attempts": None, "home_regions": None, "weighted_backends": []}
    service = {"name": "pool", "cold_rate_s": None, "max_connections": None, "engine": {"slots": "many"}}
    configuration = {
        "generation": 1,
        "routes": [{**route, **optional}],
        "services": [service],
        "limits": None,
    }
    body = json.dumps(configuration).encode()
    assert read_put(body).unwrap() == configuration
    table = parse_table(body)
    assert table.match("a", "/").timeout_s == 3.0
    assert table.match("a", "/").max_attempts == 1

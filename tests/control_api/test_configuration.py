"""Tests the checks of a configuration, and that rows that were checked before are not checked again."""

from __future__ import annotations

import json

import pytest
from returns.result import Failure

from fordtrestle.control_api import configuration
from fordtrestle.control_api.configuration import read_patch, read_put

ROUTE = {"authority": "a.example", "route_type": "safe", "timeout_ms": 3000, "backend": "pool"}
ROUTES = [{**ROUTE, "name": f"r-{n}", "path_prefix": f"/{n}/"} for n in range(50)]
CONFIG = {"generation": 1, "routes": ROUTES, "services": [{"name": "pool"}]}


def encode(document) -> bytes:
    return json.dumps(document).encode()


def with_route(position: int, **fields) -> dict:
    """Return the configuration with some fields of one route replaced."""
    routes = [{**route, **(fields if index == position else {})} for index, route in enumerate(ROUTES)]
    return {**CONFIG, "generation": 2, "routes": routes}


def errors(result) -> tuple[str, ...]:
    return result.failure().errors if isinstance(result, Failure) else ()


@pytest.mark.parametrize(
    ("document", "expected"),
    [
        (with_route(7, timeout_ms=0), ["routes.7.timeout_ms: Must be greater than 0."]),
        (with_route(7, backend="nowhere"), ["routes: r-7: no service 'nowhere'"]),
        (with_route(7, path_prefix="/3/"), ["routes: two routes at a.example/3/"]),
        (with_route(7, name="r-3", path_prefix="/7/"), ["routes: two routes are called 'r-3'"]),
        (with_route(7, name=7), ["routes.7.name: Not a valid string."]),
        ({**with_route(7), "services": []}, [f"routes: r-{n}: no service 'pool'" for n in range(50)]),
        ({**with_route(7), "routes": "none"}, ["routes: Not a valid list."]),
        (
            {**with_route(7), "routes": [7]},
            [
                "routes.0._schema: Invalid input type.",
                "routes.0.backend: a backend is needed",
            ],
        ),
        ({**with_route(7), "generation": "2"}, ["generation: Not a valid integer."]),
    ],
)
def test_a_changed_row_has_the_same_errors_as_in_a_check_of_all_rows(document, expected):
    complete, incremental = read_put(encode(document)), read_put(encode(document), encode(CONFIG))
    assert list(errors(complete)) == list(errors(incremental)) == expected


def test_rows_of_the_previous_configuration_are_not_checked_again(monkeypatch):
    checked = []
    validate_all = configuration._ConfigurationSchema.validate

    def validate(self, data, **kwargs):
        checked.append([route["name"] for route in data["routes"]])
        return validate_all(self, data, **kwargs)

    monkeypatch.setattr(configuration._ConfigurationSchema, "validate", validate)
    assert read_put(encode(with_route(7, timeout_ms=5)), encode(CONFIG)).unwrap()["generation"] == 2
    upsert, delete = {"routes": [{**ROUTES[9], "timeout_ms": 5}]}, {"routes": ["r-3"]}
    patch = {"generation": 2, "upsert": upsert, "delete": delete}
    merged = read_patch(encode(patch), encode(CONFIG)).unwrap()
    assert checked == [["r-7"], ["r-9"]]
    assert len(merged["routes"]) == 49


def test_a_patch_that_deletes_a_service_in_use_is_invalid():
    patch = {"generation": 2, "delete": {"services": ["pool"]}}
    assert errors(read_patch(encode(patch), encode(CONFIG)))[0] == "routes: r-0: no service 'pool'"

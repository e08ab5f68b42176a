"""What is checked of a configuration, and that rows that were checked before are not checked again."""

from __future__ import annotations

import json

import pytest
from returns.result import Failure

from fordtrestle.control_api import configuration
from fordtrestle.control_api.configuration import read_patch, read_put

ROUTE = {"authority": "a.example", "route_type": "safe", "timeout_ms": 3000, "backend": "pool"}
ROUTES = [{**ROUTE, "name": f"r-{n}", "path_prefix": f"/{n}/"} for n in range(50)]
CONFIG = {"generation": 1, "routes": ROUTES, "services": [{"name": "pool"}]}


def bytes_of(document) -> bytes:
    return json.dumps(document).encode()


def changed(at: int, **fields) -> dict:
    """The configuration with other fields in one route."""
    routes = [{**route, **(fields if place == at else {})} for place, route in enumerate(ROUTES)]
    return {**CONFIG, "generation": 2, "routes": routes}


def faults(read) -> tuple[str, ...]:
    return read.failure().faults if isinstance(read, Failure) else ()


@pytest.mark.parametrize(
    ("document", "told"),
    [
        (changed(7, timeout_ms=0), ["routes.7.timeout_ms: Must be greater than 0."]),
        (changed(7, backend="nowhere"), ["routes: r-7: no service 'nowhere'"]),
        (changed(7, path_prefix="/3/"), ["routes: two routes at a.example/3/"]),
        (changed(7, name="r-3", path_prefix="/7/"), ["routes: two routes are called 'r-3'"]),
        (changed(7, name=7), ["routes.7.name: Not a valid string."]),
        ({**changed(7), "services": []}, [f"routes: r-{n}: no service 'pool'" for n in range(50)]),
        ({**changed(7), "routes": "none"}, ["routes: Not a valid list."]),
        (
            {**changed(7), "routes": [7]},
            ["routes.0._schema: Invalid input type.", "routes.0.backend: a backend is needed"],
        ),
        ({**changed(7), "generation": "2"}, ["generation: Not a valid integer."]),
    ],
)
def test_what_has_changed_is_checked_as_if_all_had(document, told):
    alone, after = read_put(bytes_of(document)), read_put(bytes_of(document), bytes_of(CONFIG))
    assert list(faults(alone)) == list(faults(after)) == told


def test_rows_that_stand_in_the_one_before_are_not_checked_again(monkeypatch):
    checked = []
    whole = configuration._Configuration.validate

    def validate(self, data, **kwargs):
        checked.append([route["name"] for route in data["routes"]])
        return whole(self, data, **kwargs)

    monkeypatch.setattr(configuration._Configuration, "validate", validate)
    assert read_put(bytes_of(changed(7, timeout_ms=5)), bytes_of(CONFIG)).unwrap()["generation"] == 2
    upsert, delete = {"routes": [{**ROUTES[9], "timeout_ms": 5}]}, {"routes": ["r-3"]}
    patch = {"generation": 2, "upsert": upsert, "delete": delete}
    merged = read_patch(bytes_of(patch), bytes_of(CONFIG)).unwrap()
    assert checked == [["r-7"], ["r-9"]]
    assert len(merged["routes"]) == 49


def test_a_patch_that_takes_away_a_service_that_is_used_is_refused():
    patch = {"generation": 2, "delete": {"services": ["pool"]}}
    assert faults(read_patch(bytes_of(patch), bytes_of(CONFIG)))[0] == "routes: r-0: no service 'pool'"

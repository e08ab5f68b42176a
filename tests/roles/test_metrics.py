"""Metrics as text, served if the settings name a port."""

from __future__ import annotations

import json

import pytest

from fordtrestle.dissemination.catalog import Catalog
from fordtrestle.dissemination.items import ControlView, Phase, ServerRecord, control_item, server_item
from fordtrestle.roles.metrics import application, of_catalog, render
from fordtrestle.settings.boot import parse_settings
from fordtrestle.settings.records import Address, MetricsEndpoint
from tests.exchanges import Client, loopback, request, serve
from tests.settings.test_boot import BOOT


def test_metrics_are_rendered_one_per_line_sorted_by_name():
    assert render({"b": 2, "a": 1.5, "is_primary": True}) == (
        "fordtrestle_a 1.5\nfordtrestle_b 2\nfordtrestle_is_primary 1\n"
    )


def test_the_items_of_a_catalog_are_counted():
    catalog = Catalog()
    for number, (phase, is_unresponsive) in enumerate(
        ((Phase.SERVING, False), (Phase.SERVING, True), (Phase.DEPARTED, False))
    ):
        record = ServerRecord(
            f"i-{number}", "pool", "10.0.0.1:80", "z", 4, phase, is_unresponsive, 0.0, None, (), "c"
        )
        catalog.merge([server_item(record, 1)], 0.0)
    catalog.merge([control_item(ControlView(1, 7, b"{}", ("z",)))], 0.0)
    figures = of_catalog(catalog)
    assert (figures["generation"], figures["zones_evacuated"]) == (7, 1)
    assert (figures["servers_serving"], figures["servers_silent"], figures["servers_draining"]) == (1, 1, 0)


@pytest.mark.parametrize("setting", ["", "nowhere", "99999/metrics", None])
def test_an_unusable_metrics_setting_is_ignored(setting):
    assert parse_settings(json.dumps({**BOOT, "metrics": setting})).metrics is None


@loopback
async def test_metrics_are_served_at_the_port_and_path_of_the_settings():
    endpoint = parse_settings(json.dumps({**BOOT, "metrics": "8149/own/figures"})).metrics
    assert endpoint == MetricsEndpoint(Address("10.1.0.35", 8149), "/own/figures")
    path = endpoint.path
    runner, port = await serve(application(path, lambda: {"open_requests": 3}))
    async with Client(port) as client:
        assert (await client.exchange(request("GET", path))).endswith("fordtrestle_open_requests 3\n")
        assert (await client.exchange(request("GET", "/"))).startswith("HTTP/1.1 404")
    await runner.cleanup()

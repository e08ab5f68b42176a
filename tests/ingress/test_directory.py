"""Whom the directory names, as clients ask it over loopback."""

from __future__ import annotations

import json
import random

from fordtrestle.dissemination.catalog import Catalog
from fordtrestle.dissemination.items import Availability, ControlView, MemberRecord, control_item, member_item
from fordtrestle.ingress.directory import Directory
from tests.exchanges import Client, loopback, request, serve
from tests.ingress.stage import HOST, route

REGIONS = ("r-1", "r-2", "r-3")
READY, LEAVING = Availability.READY, Availability.LEAVING


def member(name: str, availability: Availability = READY) -> MemberRecord:
    """A sidecar of region r-N, named N and a letter."""
    zone, region = f"z-{name[0]}", f"r-{name[0]}"
    return MemberRecord(name, "sidecar", zone, region, f"{name}:1", f"{name}:80", availability)


async def named(members, *routes, region="r-1", name=HOST, linked=None):
    """The sidecars that a client is told; nothing where it is told none."""
    catalog = Catalog()
    catalog.merge([member_item(one, 1, 1) for one in members], 0.0)
    document = {"generation": 1, "routes": routes or [route()], "services": [{"name": "pool"}]}
    catalog.merge([control_item(ControlView(1, 1, json.dumps(document).encode(), ()))], 0.0)
    links = {one.node for one in members} if linked is None else linked
    directory = Directory(catalog, lambda: links, REGIONS, 5.0, random.Random(1))
    directory.settle()
    runner, port = await serve(directory.application())
    async with Client(port) as client:
        target = f"/v1/resolve?name={name}&region={region}&zone=z-{region[-1]}"
        head, _, body = (await client.exchange(request("GET", target))).partition("\r\n\r\n")
    await runner.cleanup()
    if not head.startswith("HTTP/1.1 200"):
        return None
    return sorted(address.partition(":")[0] for address in json.loads(body)["addresses"])


@loopback
async def test_a_region_whose_sidecars_all_leave_is_named_them_while_they_serve():
    members = [member("1a", LEAVING), member("1b", LEAVING), member("2a"), member("3a")]
    assert await named(members) == ["1a", "1b"]


@loopback
async def test_a_host_with_homes_is_led_to_homes_where_its_client_s_region_has_nobody():
    bound = route(home_regions=["r-1", "r-2"])
    assert await named([member("2a"), member("3a")], bound, route("r-2", "/b/")) == ["2a"]

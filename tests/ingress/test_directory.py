"""Which sidecars the directory returns to clients over loopback."""

from __future__ import annotations

import asyncio
import json
import random
import threading

from fordtrestle.dissemination.catalog import Catalog
from fordtrestle.dissemination.items import Availability, ControlView, MemberRecord, control_item, member_item
from fordtrestle.ingress import directory as directory_module
from fordtrestle.ingress.directory import Directory
from fordtrestle.routing.home_regions import parse_home_regions
from tests.exchanges import Client, loopback, request, serve, until
from tests.ingress.stage import HOST, route

REGIONS = ("r-1", "r-2", "r-3")
READY, LEAVING = Availability.READY, Availability.LEAVING


def make_member(name: str, availability: Availability = READY) -> MemberRecord:
    """Return a sidecar in region r-N; its name is N and a letter."""
    zone, region = f"z-{name[0]}", f"r-{name[0]}"
    return MemberRecord(name, "sidecar", zone, region, f"{name}:1", f"{name}:80", availability)


def make_configuration(generation: int, *routes) -> ControlView:
    document = {"generation": generation, "routes": routes, "services": [{"name": "pool"}]}
    return ControlView(generation, generation, json.dumps(document).encode(), ())


async def resolve(members, *routes, region="r-1", name=HOST, linked=None):
    """Return the names of the sidecars that a client receives; `None` if it receives none."""
    catalog = Catalog()
    catalog.merge([member_item(member, 1, 1) for member in members], 0.0)
    catalog.merge([control_item(make_configuration(1, *routes or [route()]))], 0.0)
    links = {member.node for member in members} if linked is None else linked
    directory = Directory(catalog, lambda: links, REGIONS, 5.0, random.Random(1))
    directory.assume_settled()
    runner, port = await serve(directory.application())
    async with Client(port) as client:
        target = f"/v1/resolve?name={name}&region={region}&zone=z-{region[-1]}"
        head, _, body = (await client.exchange(request("GET", target))).partition("\r\n\r\n")
    await runner.cleanup()
    if not head.startswith("HTTP/1.1 200"):
        return None
    return sorted(address.partition(":")[0] for address in json.loads(body)["addresses"])


@loopback
async def test_leaving_sidecars_are_returned_while_their_region_has_no_others():
    members = [make_member("1a", LEAVING), make_member("1b", LEAVING), make_member("2a"), make_member("3a")]
    assert await resolve(members) == ["1a", "1b"]


@loopback
async def test_clients_are_directed_to_home_regions_if_their_own_region_has_no_sidecar():
    with_homes = route(home_regions=["r-1", "r-2"])
    assert await resolve([make_member("2a"), make_member("3a")], with_homes, route("r-2", "/b/")) == ["2a"]


@loopback
async def test_only_home_regions_that_all_routes_of_a_host_share_count():
    routes = (route(home_regions=["r-1", "r-2"]), route("r-2", "/b/", home_regions=["r-1", "r-3"]))
    closing = make_member("1a", Availability.CLOSING)
    assert await resolve([closing, make_member("2a"), make_member("3a")], *routes) == ["1a"]
    assert await resolve([closing, make_member("2a"), make_member("3a")], *routes, name="other.example") == [
        "2a",
        "3a",
    ]


@loopback
async def test_home_regions_follow_the_configuration():
    catalog, links = Catalog(), {"1a", "2a", "3a"}
    members = [make_member("1a", Availability.DOWN), make_member("2a"), make_member("3a")]
    catalog.merge([member_item(member, 1, 1) for member in members], 0.0)
    directory = Directory(catalog, lambda: links, REGIONS, 5.0, random.Random(1))
    for sequence, home in enumerate(("r-2", "r-3"), start=1):
        catalog.merge([control_item(make_configuration(sequence, route(home_regions=[home])))], 0.0)
        await directory._home_regions_of(HOST)
        await until(lambda: directory._parsing is None)
        assert await directory._home_regions_of(HOST) == {home}
    assert await directory._home_regions_of("") is None


@loopback
async def test_a_configuration_is_parsed_once_and_in_a_thread(monkeypatch):
    catalog, loop_thread, threads = Catalog(), threading.get_ident(), []

    def parse_and_record_thread(document):
        threads.append(threading.get_ident())
        return parse_home_regions(document)

    monkeypatch.setattr(directory_module, "parse_home_regions", parse_and_record_thread)
    directory = Directory(catalog, set, REGIONS, 5.0, random.Random(1))
    assert await directory._home_regions_of(HOST) is None, "there is no configuration yet"
    catalog.merge([control_item(make_configuration(1, route(home_regions=["r-2"])))], 0.0)
    results = await asyncio.gather(*(directory._home_regions_of(HOST) for _ in range(9)))
    assert results == [{"r-2"}] * 9, "all calls wait for the first configuration"
    assert len(threads) == 1
    assert loop_thread not in threads


@loopback
async def test_responses_are_counted_by_the_distance_of_the_sidecars():
    catalog, links = Catalog(), {"1a", "2a"}
    directory = Directory(catalog, lambda: links, REGIONS, 5.0, random.Random(1))
    directory.assume_settled()
    runner, port = await serve(directory.application())
    async with Client(port) as client:
        for availability in (Availability.READY, Availability.DOWN):
            catalog.merge([member_item(make_member("1a", availability), 1, availability + 1)], 0.0)
            await client.exchange(request("GET", f"/v1/resolve?name={HOST}&region=r-1&zone=z-1"))
    await runner.cleanup()
    figures = {"directory_zone": 1, "directory_region": 0, "directory_elsewhere": 0, "directory_nobody": 1}
    assert directory.figures() == figures

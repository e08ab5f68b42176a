"""The `directory` endpoint, which returns the sidecars that a client may connect to (PROTOCOL: ingress)."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Collection

import eliot
from aiohttp import web

from fordtrestle.dissemination.catalog import Catalog
from fordtrestle.dissemination.items import ControlView, MemberRecord
from fordtrestle.routing.home_regions import HomeRegions, parse_home_regions
from fordtrestle.routing.sidecar_selector import (
    STARTUP_SETTLE_S,
    ClientLocation,
    Reach,
    SidecarSelector,
    reach_of,
)

MAX_ADDRESSES = 64  # per response

# The longest time for which a client may cache a response; the settings may lower it. With 0.5 s restarts
# scored the same, for twice as many calls (docs/design/admission.md).
RESPONSE_TTL_S = 1.0
FIRST_PARSE_TIMEOUT_S = 0.5  # how long a client waits for the first configuration to be parsed
NO_SEQUENCE = -1  # lower than every sequence number


class Directory:
    """Endpoint of a control process that selects sidecars from the catalog."""

    def __init__(
        self,
        catalog: Catalog,
        linked_nodes: Callable[[], Collection[str]],
        regions: Collection[str],
        max_ttl_s: float,
        rng: random.Random,
    ) -> None:
        """Create the endpoint in its startup phase.

        In this phase it knows few sidecars, and selects none in other regions.

        Args:
            catalog: The members and the configuration that this process knows.
            linked_nodes: Returns the nodes that this process has a link to.
            regions: All regions of the site; clients may name other regions.
            max_ttl_s: The longest time for which a response may be cached according to the settings.
            rng: The random source for the order of the addresses.
        """
        self._catalog = catalog
        self._linked_nodes = linked_nodes
        self._regions = frozenset(regions)
        self._ttl_s = min(RESPONSE_TTL_S, max_ttl_s)
        self._settled_at = asyncio.get_running_loop().time() + STARTUP_SETTLE_S
        self._rng = rng
        self._home_regions: HomeRegions | None = None
        self._sequence = NO_SEQUENCE  # of the configuration that contains the home regions
        self._parsing: asyncio.Task[None] | None = None
        self._reaches: dict[str, Reach] = {}  # of the last response, by region of the clients
        self._counts = dict.fromkeys(Reach, 0)

    def figures(self) -> dict[str, float]:
        """Return the number of responses by the distance between the client and the selected sidecars."""
        return {f"directory_{reach.name.lower()}": count for reach, count in self._counts.items()}

    def assume_settled(self) -> None:
        """End the startup phase now: assume that all reachable sidecars are known."""
        self._settled_at = asyncio.get_running_loop().time()

    def application(self) -> web.Application:
        """Return the web application of the endpoint."""
        application = web.Application()
        application.add_routes([web.get("/v1/resolve", self._resolve)])
        return application

    async def _resolve(self, request: web.Request) -> web.StreamResponse:
        query = request.query
        home_regions = await self._home_regions_of(query.get("name", ""))
        client = ClientLocation(query.get("region", ""), query.get("zone", ""), home_regions)
        members = [member for member, _ in self._catalog.members()]
        is_settled = asyncio.get_running_loop().time() >= self._settled_at
        sidecars = SidecarSelector(members, self._linked_nodes()).select(client, is_settled)
        self._record(client, reach_of(sidecars, client), members)
        if not sidecars:
            return web.json_response({"errors": ["no sidecar is ready"]}, status=503)
        selected = self._rng.sample(sidecars, min(len(sidecars), MAX_ADDRESSES))
        return web.json_response({"addresses": [member.front for member in selected], "ttl_s": self._ttl_s})

    async def _home_regions_of(self, host: str) -> frozenset[str] | None:
        """Return the home regions of a host's routes.

        The configuration is parsed in a thread, because a long one would keep the event loop from answering
        heartbeats. Until it is parsed the previous one applies. If there is none, this call waits for up to
        `FIRST_PARSE_TIMEOUT_S`.
        """
        control = self._catalog.control
        if control and control.document and control.sequence != self._sequence and self._parsing is None:
            self._parsing = asyncio.create_task(self._parse(control))
        if self._parsing and self._home_regions is None:
            await asyncio.wait([self._parsing], timeout=FIRST_PARSE_TIMEOUT_S)
        return self._home_regions.of_host(host) if self._home_regions else None

    async def _parse(self, control: ControlView) -> None:
        try:
            self._home_regions = await asyncio.to_thread(parse_home_regions, control.document)
            self._sequence = control.sequence
        finally:
            self._parsing = None

    def _record(self, client: ClientLocation, reach: Reach, members: list[MemberRecord]) -> None:
        """Count a response, and log it if the distance has changed for a region of the site."""
        self._counts[reach] += 1
        region = client.region
        if region not in self._regions or self._reaches.get(region, Reach.ZONE) is reach:
            return
        self._reaches[region] = reach
        self._log_reach(client, reach, members)

    def _log_reach(self, client: ClientLocation, reach: Reach, members: list[MemberRecord]) -> None:
        linked = self._linked_nodes()
        local = [member for member in members if member.front and member.region == client.region]
        eliot.log_message(
            "directory:reach",
            region=client.region,
            reach=reach.name.lower(),
            homes=None if client.home_regions is None else sorted(client.home_regions),
            members={member.node: member.availability.name.lower() for member in local},
            linked=[member.node for member in local if member.node in linked],
        )

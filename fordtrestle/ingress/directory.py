"""The `directory` endpoint: which sidecars a client may connect to (PROTOCOL: ingress)."""

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

MAX_ADDRESSES = 64  # in a response

# For which a client may keep a response, at most; the settings may say less. With 0.5 s restarts scored the
# same, for twice the calls (docs/design/admission.md).
RESPONSE_TTL_S = 1.0
FIRST_PARSE_TIMEOUT_S = 0.5  # for which a client waits for the first configuration to be parsed
NO_SEQUENCE = -1  # below all sequences


class Directory:
    """Responds from the catalog; a control process has one."""

    def __init__(
        self,
        catalog: Catalog,
        linked_nodes: Callable[[], Collection[str]],
        regions: Collection[str],
        max_ttl_s: float,
        rng: random.Random,
    ) -> None:
        """Make an endpoint that has just started: it knows few sidecars, and names no distant ones yet.

        Args:
            catalog: What this process knows of members and configuration.
            linked_nodes: The nodes that a link is up to.
            regions: All regions of the site; clients may name others.
            max_ttl_s: The longest time for which the settings let a response be kept.
            rng: Draws the order of the addresses.
        """
        self._catalog = catalog
        self._linked_nodes = linked_nodes
        self._regions = frozenset(regions)
        self._ttl_s = min(RESPONSE_TTL_S, max_ttl_s)
        self._settled_at = asyncio.get_running_loop().time() + STARTUP_SETTLE_S
        self._rng = rng
        self._home_regions: HomeRegions | None = None
        self._sequence = NO_SEQUENCE  # of the configuration that the home regions are of
        self._parsing: asyncio.Task[None] | None = None
        self._reaches: dict[str, Reach] = {}  # by region of clients, as last responded
        self._counts = dict.fromkeys(Reach, 0)

    def figures(self) -> dict[str, float]:
        """Responses so far, by how far from the client the sidecars are that they name."""
        return {f"directory_{reach.name.lower()}": count for reach, count in self._counts.items()}

    def assume_settled(self) -> None:
        """Take what is known to be all there is, whatever the time since the start."""
        self._settled_at = asyncio.get_running_loop().time()

    def application(self) -> web.Application:
        """The routes of the endpoint."""
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
        """The home regions of a host's routes.

        A long configuration is parsed in a thread, as the loop has heartbeats to answer. Until then the one
        before counts; only where there is none is the first one waited for, for a while.
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
        """Count a response, and log it where a region's clients are sent farther or nearer than before."""
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

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

ADDRESSES_MOST = 64
TTL_S = 1.0
FIRST_READ_S = 0.5  # that a client waits for the first configuration to be read


class Directory:
    """Answers from the catalog."""

    def __init__(
        self,
        catalog: Catalog,
        in_touch: Callable[[], Collection[str]],
        regions: Collection[str],
        ttl_most_s: float,
        rng: random.Random,
    ) -> None:
        self._catalog = catalog
        self._in_touch = in_touch
        self._regions = frozenset(regions)
        self._ttl_s = min(TTL_S, ttl_most_s)
        self._settled_at = asyncio.get_running_loop().time() + STARTUP_SETTLE_S
        self._rng = rng
        self._homes: HomeRegions | None = None
        self._sequence = -1  # of what was decided, as the homes were read
        self._reading: asyncio.Task[None] | None = None
        self._reaches: dict[str, Reach] = {}  # by region of clients, as last answered
        self._answers = dict.fromkeys(Reach, 0)

    def figures(self) -> dict[str, float]:
        """Answers so far, by how far from the client the sidecars are that they name."""
        return {f"directory_{reach.name.lower()}": count for reach, count in self._answers.items()}

    def settle(self) -> None:
        """Take what is known for all there is, whatever the time since the start."""
        self._settled_at = asyncio.get_running_loop().time()

    def application(self) -> web.Application:
        """The routes of the endpoint."""
        application = web.Application()
        application.add_routes([web.get("/v1/resolve", self._resolve)])
        return application

    async def _resolve(self, request: web.Request) -> web.StreamResponse:
        query = request.query
        homes = await self._homes_of(query.get("name", ""))
        asker = ClientLocation(query.get("region", ""), query.get("zone", ""), homes)
        members = [member for member, _ in self._catalog.members()]
        settled = asyncio.get_running_loop().time() >= self._settled_at
        fronts = SidecarSelector(members, self._in_touch()).select(asker, settled)
        self._note(asker, reach_of(fronts, asker), members)
        if not fronts:
            return web.json_response({"errors": ["no sidecar is ready"]}, status=503)
        drawn = self._rng.sample(fronts, min(len(fronts), ADDRESSES_MOST))
        return web.json_response({"addresses": [member.front for member in drawn], "ttl_s": self._ttl_s})

    async def _homes_of(self, host: str) -> frozenset[str] | None:
        """The homes of a host's routes.

        A long configuration is read beside the loop, which has heartbeats to answer: until then the one
        before counts, if there is one.
        """
        control = self._catalog.control
        if control and control.document and control.sequence != self._sequence and self._reading is None:
            self._reading = asyncio.create_task(self._read(control))
        if self._reading and self._homes is None:
            await asyncio.wait([self._reading], timeout=FIRST_READ_S)
        return self._homes.of_host(host) if self._homes else None

    async def _read(self, control: ControlView) -> None:
        try:
            self._homes = await asyncio.to_thread(parse_home_regions, control.document)
            self._sequence = control.sequence
        finally:
            self._reading = None

    def _note(self, asker: ClientLocation, reach: Reach, members: list[MemberRecord]) -> None:
        """Count the answer, and log it where a region's clients are sent farther or nearer than before."""
        self._answers[reach] += 1
        region = asker.region
        if region not in self._regions or self._reaches.get(region, Reach.ZONE) is reach:
            return
        self._reaches[region] = reach
        in_touch = self._in_touch()
        own = [member for member in members if member.front and member.region == region]
        eliot.log_message(
            "directory:reach",
            region=region,
            reach=reach.name.lower(),
            homes=None if asker.homes is None else sorted(asker.homes),
            members={member.node: member.availability.name.lower() for member in own},
            linked=[member.node for member in own if member.node in in_touch],
        )

"""The `directory` endpoint: which sidecars a client may connect to (PROTOCOL: ingress)."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Collection

import eliot
from aiohttp import web

from fordtrestle.dissemination.catalog import Catalog
from fordtrestle.dissemination.items import MemberRecord
from fordtrestle.routing.fronts import SETTLED_S, Asker, Fronts, Reach, reach_of
from fordtrestle.routing.table import RouteTable, parse_table

ADDRESSES_MOST = 64
TTL_S = 1.0


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
        self._settled_at = asyncio.get_running_loop().time() + SETTLED_S
        self._rng = rng
        self._table: RouteTable | None = None
        self._sequence = -1  # of what was decided, as the table was read
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
        asker = Asker(query.get("region", ""), query.get("zone", ""), self._homes(query.get("name", "")))
        members = [member for member, _ in self._catalog.members()]
        settled = asyncio.get_running_loop().time() >= self._settled_at
        fronts = Fronts(members, self._in_touch()).choose(asker, settled)
        self._note(asker, reach_of(fronts, asker), members)
        if not fronts:
            return web.json_response({"errors": ["no sidecar is ready"]}, status=503)
        drawn = self._rng.sample(fronts, min(len(fronts), ADDRESSES_MOST))
        return web.json_response({"addresses": [member.front for member in drawn], "ttl_s": self._ttl_s})

    def _homes(self, host: str) -> frozenset[str] | None:
        """The homes of a host's routes, by the newest configuration that has come here."""
        control = self._catalog.control
        if control and control.document and control.sequence != self._sequence:
            self._table, self._sequence = parse_table(control.document), control.sequence
        return self._table.homes(host) if self._table else None

    def _note(self, asker: Asker, reach: Reach, members: list[MemberRecord]) -> None:
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

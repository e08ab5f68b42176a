"""The `directory` endpoint: which sidecars a client may connect to (PROTOCOL: ingress)."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Collection

from aiohttp import web

from fordtrestle.dissemination.catalog import Catalog
from fordtrestle.routing.fronts import SETTLED_S, choose_fronts

ADDRESSES_MOST = 64
TTL_S = 1.0


class Directory:
    """Answers from the catalog."""

    def __init__(
        self, catalog: Catalog, in_touch: Callable[[], Collection[str]], ttl_most_s: float, rng: random.Random
    ) -> None:
        self._catalog = catalog
        self._in_touch = in_touch
        self._ttl_s = min(TTL_S, ttl_most_s)
        self._settled_at = asyncio.get_running_loop().time() + SETTLED_S
        self._rng = rng

    def application(self) -> web.Application:
        """The routes of the endpoint."""
        application = web.Application()
        application.add_routes([web.get("/v1/resolve", self._resolve)])
        return application

    async def _resolve(self, request: web.Request) -> web.StreamResponse:
        members = [member for member, _ in self._catalog.members()]
        region, zone = request.query.get("region", ""), request.query.get("zone", "")
        settled = asyncio.get_running_loop().time() >= self._settled_at
        fronts = choose_fronts(members, self._in_touch(), region, zone, settled)
        if not fronts:
            return web.json_response({"errors": ["no sidecar is ready"]}, status=503)
        drawn = self._rng.sample(fronts, min(len(fronts), ADDRESSES_MOST))
        return web.json_response({"addresses": [member.front for member in drawn], "ttl_s": self._ttl_s})

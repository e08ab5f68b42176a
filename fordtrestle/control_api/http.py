"""The `control` endpoint: operators' orders and servers' heartbeats over HTTP."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web
from returns.result import Failure, Success

from fordtrestle.control_api import listings
from fordtrestle.control_api.heartbeats import BODY_MOST, Heartbeats, read_heartbeat
from fordtrestle.control_api.orders import IsWaiting, Orders, Outcome, Verdict
from fordtrestle.control_api.withdrawals import Withdrawals
from fordtrestle.dissemination.items import MAX_DOCUMENT_BYTES, Phase
from fordtrestle.peer.gossip import Gossip
from fordtrestle.replication.node import Node

BODY_S = 5.0
RETRY_AFTER_S = 0.3
BASE_HEADER = "X-Base-Version"

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def reply(status: int, *faults: str, **headers: str) -> web.Response:
    """An answer in JSON, with its faults where it has some."""
    body: dict[str, Any] = {"errors": list(faults)} if faults else {}
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    return web.json_response(body, status=status, headers=named)


class ControlApi:
    """Turns calls into orders and heartbeats, and what comes of them into answers."""

    def __init__(
        self,
        orders: Orders,
        heartbeats: Heartbeats,
        withdrawals: Withdrawals,
        gossip: Gossip,
        zones: frozenset[str],
        node: Node,
    ) -> None:
        self._orders = orders
        self._heartbeats = heartbeats
        self._withdrawals = withdrawals
        self._gossip = gossip
        self._zones = zones
        self._node = node

    def application(self) -> web.Application:
        """The routes of the endpoint."""
        application = web.Application(middlewares=[errors], client_max_size=MAX_DOCUMENT_BYTES)
        application.add_routes(
            [
                web.post("/v1/config/{kind:put|patch}", self._change),
                web.get("/v1/config/get", self._get),
                web.post("/v1/evacuations/{zone}/{step:start|finish}", self._evacuate),
                web.get("/v1/{listing:epoch|members|servers}", self._list),
                web.post("/v1/instances/{instance}/heartbeat", self._heartbeat),
                web.post("/v1/instances/{instance}/deregister", self._deregister),
            ]
        )
        return application

    async def _change(self, request: web.Request) -> web.StreamResponse:
        base = request.headers.get(BASE_HEADER, "0")
        if not (base.isascii() and base.isdigit()):
            return reply(400, f"{BASE_HEADER}: expected a whole number")
        body = await read_body(request)
        kind = request.match_info["kind"]
        outcome = await self._orders.change_config(kind, int(base), body, is_waiting(request))
        return self._answer(request, outcome)

    async def _get(self, request: web.Request) -> web.StreamResponse:
        outcome = await self._orders.current()
        if outcome.verdict is not Verdict.DONE:
            return self._answer(request, outcome)
        if not outcome.document:
            return reply(404, "there is no configuration yet")
        return web.Response(body=outcome.document, content_type="application/json")

    async def _evacuate(self, request: web.Request) -> web.StreamResponse:
        zone = request.match_info["zone"]
        if zone not in self._zones:
            return reply(404, f"no zone {zone!r}")
        active = request.match_info["step"] == "start"
        outcome = await self._orders.evacuate(zone, active, is_waiting(request))
        return self._answer(request, outcome)

    async def _list(self, request: web.Request) -> web.StreamResponse:
        """What this process knows, as rows for `fordtrestle ctl`."""
        catalog = self._gossip.catalog
        match request.match_info["listing"]:
            case "members":
                rows = listings.members(catalog)
            case "servers":
                rows = listings.servers(catalog)
            case _:
                rows = listings.epoch(self._node.newest_epoch)
        return web.json_response({"rows": rows})

    async def _heartbeat(self, request: web.Request) -> web.StreamResponse:
        instance = request.match_info["instance"]
        body = await read_body(request)
        if len(body) > BODY_MOST:
            return reply(413, f"a heartbeat holds {BODY_MOST} bytes at most")
        match read_heartbeat(instance, body, self._gossip.me.node):
            case Failure(invalid):
                return reply(400, *invalid.faults)
            case Success(beat):
                now = asyncio.get_running_loop().time()
                item = self._heartbeats.take(beat, self._gossip.catalog, now)
                if item:
                    self._gossip.publish([item])
                if beat.record.phase is not Phase.SERVING:
                    return await self._acknowledge_withdrawal(instance)
        return reply(200)

    async def _deregister(self, request: web.Request) -> web.StreamResponse:
        instance = request.match_info["instance"]
        self._gossip.publish([self._heartbeats.deregister(instance, self._gossip.catalog)])
        return await self._acknowledge_withdrawal(instance)

    async def _acknowledge_withdrawal(self, instance: str) -> web.StreamResponse:
        """200 binds all sidecars, so it is withheld where they might not learn of it in time."""
        if await self._withdrawals.confirm(instance):
            return reply(200)
        return _come_back("not known to enough control processes yet")

    def _answer(self, request: web.Request, outcome: Outcome) -> web.StreamResponse:
        match outcome.verdict:
            case Verdict.DONE:
                return reply(200)
            case Verdict.STALE:
                return reply(412, "another version is current")
            case Verdict.INVALID:
                return reply(400, *outcome.faults)
            case Verdict.ELSEWHERE:
                primary = self._node.reachable_primary(asyncio.get_running_loop().time())
                if primary:
                    return reply(307, Location=f"http://{primary.control}{request.raw_path}")
        return _come_back("no answer yet")


def _come_back(reason: str) -> web.Response:
    return reply(503, f"{reason}: send it again", Retry_After=str(RETRY_AFTER_S))


def is_waiting(request: web.Request) -> IsWaiting:
    """Whether a call's connection is still there, as far as this process has read."""

    def check() -> bool:
        transport = request.transport
        return transport is not None and not transport.is_closing()

    return check


async def read_body(request: web.Request) -> bytes:
    """The whole body, in good time. Raises `TimeoutError`, or aiohttp's answer for one that is too large."""
    async with asyncio.timeout(BODY_S):
        return await request.read()


@web.middleware
async def errors(request: web.Request, handler: Handler) -> web.StreamResponse:
    """No call ends without an answer in JSON."""
    try:
        return await handler(request)
    except web.HTTPException as error:
        return reply(error.status, error.reason)
    except TimeoutError:
        return reply(408, "the body did not come in time")
    except json.JSONDecodeError as error:
        return reply(400, str(error))

"""The `control` endpoint: operators' commands, servers' heartbeats and listings over HTTP.

Applications' calls are in `coordination_http.py`.

Paths, statuses, bodies and header fields are part of the protocol and must not change.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from functools import partial

from aiohttp import web
from returns.result import Failure, Success

from fordtrestle.control_api import listings
from fordtrestle.control_api.callers import deadline_of, is_connected, track_arrival
from fordtrestle.control_api.commands import CommandHandler
from fordtrestle.control_api.coordination_http import CoordinationApi
from fordtrestle.control_api.heartbeats import MAX_HEARTBEAT_BYTES, HeartbeatMonitor, read_heartbeat
from fordtrestle.control_api.open_calls import OpenCalls
from fordtrestle.control_api.requests import (
    CommandResult,
    CommandStatus,
    ConfigRequest,
    ConfigRequestKind,
    EvacuationRequest,
)
from fordtrestle.control_api.responses import RETRY_AFTER_S, read_body, reply
from fordtrestle.control_api.unrouted_calls import UnroutedCalls
from fordtrestle.control_api.withdrawals import WithdrawalConfirmer
from fordtrestle.dissemination.items import Phase
from fordtrestle.listener.errors import RequestRefusedError
from fordtrestle.peer.gossip import Gossip
from fordtrestle.replication.node import Node

BASE_HEADER = "X-Base-Version"  # the generation that a change is based on

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class ControlApi:
    """Translates HTTP requests into commands and heartbeats, and their results into responses.

    Attributes:
        open_calls: Tracks the calls in flight.
        unrouted_calls: Counts the calls that match no route.
    """

    def __init__(
        self,
        commands: CommandHandler,
        heartbeats: HeartbeatMonitor,
        withdrawals: WithdrawalConfirmer,
        coordination: CoordinationApi,
        gossip: Gossip,
        zones: frozenset[str],
        node: Node,
    ) -> None:
        """Create an API over these services.

        Args:
            commands: Executes operators' commands.
            heartbeats: Records servers' heartbeats.
            withdrawals: Confirms that a majority holds a server's withdrawal.
            coordination: Answers applications' calls for locks, numbers, keys and watches.
            gossip: The table of members and servers.
            zones: The zones that can be evacuated.
            node: The replication of this store, which knows the primary.
        """
        self._commands = commands
        self._heartbeats = heartbeats
        self._withdrawals = withdrawals
        self._coordination = coordination
        self._gossip = gossip
        self._zones = zones
        self._node = node
        self.open_calls = OpenCalls()
        self.unrouted_calls = UnroutedCalls()

    def application(self) -> web.Application:
        """Return the application that serves all routes of the endpoint."""
        application = web.Application(
            middlewares=[
                track_arrival,
                self.open_calls.middleware,
                self.unrouted_calls.middleware,
                answer_errors,
            ]
        )
        application.add_routes(
            [
                web.post("/v1/config/{kind:put|patch}", self._change_config),
                web.get("/v1/config/get", self._read_config),
                web.post("/v1/evacuations/{zone}/{step:start|finish}", self._evacuate),
                web.get("/v1/{listing:epoch|members|servers}", self._list),
                web.post("/v1/instances/{instance}/heartbeat", self._heartbeat),
                web.post("/v1/instances/{instance}/deregister", self._deregister),
                *self._coordination.routes(),
            ]
        )
        return application

    def figures(self) -> dict[str, float]:
        """Return the metrics of this endpoint, by name."""
        return {"control_calls_without_route": self.unrouted_calls.count}

    async def _change_config(self, request: web.Request) -> web.StreamResponse:
        base = request.headers.get(BASE_HEADER, "0")
        if not (base.isascii() and base.isdigit()):
            return reply(400, f"{BASE_HEADER}: expected a whole number")
        body = await read_body(request)
        kind = ConfigRequestKind(request.match_info["kind"])
        command = ConfigRequest(kind, int(base), body, partial(is_connected, request))
        return self._to_response(request, await self._commands.change_config(command))

    async def _read_config(self, request: web.Request) -> web.StreamResponse:
        result = await self._commands.read_config()
        if result.status is not CommandStatus.DONE:
            return self._to_response(request, result)
        if not result.document:
            return reply(404, "there is no configuration yet")
        return web.Response(body=result.document, content_type="application/json")

    async def _evacuate(self, request: web.Request) -> web.StreamResponse:
        zone = request.match_info["zone"]
        if zone not in self._zones:
            return reply(404, f"no zone {zone!r}")
        is_start = request.match_info["step"] == "start"
        command = EvacuationRequest(zone, is_start, deadline_of(request), partial(is_connected, request))
        return self._to_response(request, await self._commands.evacuate(command))

    async def _list(self, request: web.Request) -> web.StreamResponse:
        """Return what this process knows, as rows for `fordtrestle ctl`."""
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
        if len(body) > MAX_HEARTBEAT_BYTES:
            return reply(413, f"a heartbeat holds {MAX_HEARTBEAT_BYTES} bytes at most")
        match read_heartbeat(instance, body, self._gossip.me.node):
            case Failure(invalid):
                return reply(400, *invalid.errors)
            case Success(heartbeat):
                now = asyncio.get_running_loop().time()
                if now >= deadline_of(request):
                    return _retry_later("the heartbeat was read too late")
                item = self._heartbeats.on_heartbeat(heartbeat, self._gossip.catalog, now)
                if item:
                    self._gossip.publish([item])
                if heartbeat.record.phase is not Phase.SERVING:
                    return await self._acknowledge_withdrawal(instance)
        return reply(200)

    async def _deregister(self, request: web.Request) -> web.StreamResponse:
        instance = request.match_info["instance"]
        self._gossip.publish([self._heartbeats.deregister(instance, self._gossip.catalog)])
        return await self._acknowledge_withdrawal(instance)

    async def _acknowledge_withdrawal(self, instance: str) -> web.StreamResponse:
        """Acknowledge a withdrawal once it is confirmed.

        A 200 binds all sidecars, so it is withheld if some might not learn of the withdrawal in time.
        """
        if await self._withdrawals.confirm(instance):
            return reply(200)
        return _retry_later("not known to enough control processes yet")

    def _to_response(self, request: web.Request, result: CommandResult) -> web.StreamResponse:
        match result.status:
            case CommandStatus.DONE:
                return reply(200)
            case CommandStatus.STALE:
                return reply(412, "another version is current")
            case CommandStatus.INVALID:
                return reply(400, *result.errors)
            case CommandStatus.NOT_PRIMARY:
                return self._redirect_to_primary(request)
            case CommandStatus.UNKNOWN:
                return _retry_later("no answer yet")

    def _redirect_to_primary(self, request: web.Request) -> web.StreamResponse:
        """Redirect the caller to the primary, or ask it to retry if there was no recent sign of a primary.

        Without a recent sign of it, another store may have become primary.
        """
        primary = self._node.reachable_primary(asyncio.get_running_loop().time())
        if primary is None:
            return _retry_later("no answer yet")
        return reply(307, Location=f"http://{primary.control}{request.raw_path}")


def _retry_later(reason: str) -> web.Response:
    return reply(503, f"{reason}: send it again", Retry_After=str(RETRY_AFTER_S))


@web.middleware
async def answer_errors(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Return errors in JSON, like all other responses."""
    try:
        return await handler(request)
    except web.HTTPException as error:
        return reply(error.status, error.reason)
    except TimeoutError:
        return reply(408, "the body did not come in time")
    except RequestRefusedError as error:
        return _retry_later(str(error))
    except json.JSONDecodeError as error:
        return reply(400, str(error))

"""One client's request from its arrival to its final answer: the order in which things are decided."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass

from aiohttp import web
from multidict import CIMultiDict

from fordtrestle.admission.budgets import ColdBudget, RetryBudget
from fordtrestle.admission.window import Admission
from fordtrestle.forward import client
from fordtrestle.forward.client import Forwarder, Outbound
from fordtrestle.forward.headers import DEADLINE, for_server
from fordtrestle.ingress import answers
from fordtrestle.ingress.relay import relay
from fordtrestle.routing.pick import Prompt, pick
from fordtrestle.routing.servers import Server, nearest
from fordtrestle.routing.table import Route
from fordtrestle.routing.view import View

UNREACHABLE_MOST = 4  # servers that a request may find unreachable before it is refused
MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class Inbound:
    """A request as it came, read whole."""

    method: str
    host: str
    target: str
    headers: CIMultiDict[str]  # end to end
    body: bytes
    request_id: str
    prompt: Prompt
    arrived: float  # s, loop clock

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


@dataclass(slots=True)
class Decisions:
    """What all requests of a sidecar are decided by."""

    view: View
    admission: Admission
    retries: RetryBudget
    cold: ColdBudget
    forwarder: Forwarder
    rng: random.Random
    zone: str
    region: str


@dataclass(slots=True)
class _Progress:
    """What has become of a request so far."""

    tried: set[str]
    sends: int = 0  # that reached a server
    unreachable: int = 0
    admitted: bool = False
    may_have_run: bool = False


class Exchange:
    """Decides for one request until it has its answer."""

    def __init__(self, shared: Decisions, inbound: Inbound, request: web.BaseRequest) -> None:
        self._shared = shared
        self._inbound = inbound
        self._request = request
        self._progress = _Progress(set())

    async def run(self) -> web.StreamResponse:
        """The final answer; it may have been written already."""
        while True:
            final = await self._try_once()
            if final is not None:
                return final

    async def _try_once(self) -> web.StreamResponse | None:
        """One send, by what is in force at this moment; nothing where another one may follow."""
        shared, inbound = self._shared, self._inbound
        now = asyncio.get_running_loop().time()
        table = shared.view.table
        if table is None:
            return answers.refused(inbound.request_id, 1.0, shared.rng, "no configuration yet")
        route = table.match(inbound.host, inbound.path)
        if route is None:
            return self._give_up(answers.unknown_route(inbound.request_id))
        deadline = inbound.arrived + min(route.timeout_s, self._deadline_s(route))
        if now >= deadline:
            return self._expire()
        callee = route.backend(shared.rng.random)
        if not self._admit(callee, now):
            return self._refuse(route, "too many requests are turned away")
        server = self._choose(route, callee, now)
        if server is None:
            return self._refuse(route, "no server may take it")
        if self._progress.sends and not shared.retries.allows(callee, len(shared.view.sidecars), now):
            return self._refuse(route, "the budget of second sends is used up")
        return await self._send(route, callee, server, deadline)

    def _deadline_s(self, route: Route) -> float:
        given = self._inbound.headers.get(DEADLINE, "")
        try:
            return float(given) / MS_PER_S
        except ValueError:
            return route.timeout_s

    def _admit(self, callee: str, now: float) -> bool:
        """The window's word, asked once a request and before any send."""
        progress, shared = self._progress, self._shared
        if not progress.admitted:
            shared.retries.request(callee, now)
            progress.admitted = shared.admission.admits(callee, now)
        return progress.admitted

    def _choose(self, route: Route, callee: str, now: float) -> Server | None:
        shared, tried = self._shared, self._progress.tried
        view = shared.view
        usable = view.servers.usable(callee, view.evacuated, route.home_regions, now)
        near, far = nearest(usable, shared.zone, shared.region)
        for among in (near, far):
            warm = [server for server in among if not server.is_cold(now)]
            server = pick(warm, self._inbound.prompt, tried, shared.rng.random)
            if server:
                return server
        rate = view.table.services[callee].cold_rate_s if view.table else 0.0
        for server in sorted(near, key=lambda server: server.in_flight) + far:
            if server.instance in tried or not server.is_cold(now):
                continue
            if rate <= 0 or shared.cold.allows(server.instance, rate, view.sidecars, now):
                return server
        return None

    async def _send(
        self, route: Route, callee: str, server: Server, deadline: float
    ) -> web.StreamResponse | None:
        inbound, progress, shared = self._inbound, self._progress, self._shared
        loop = asyncio.get_running_loop()
        left = deadline - loop.time()
        headers = for_server(inbound.headers, server.instance, left)
        outbound = Outbound(inbound.method, inbound.target, headers, inbound.body, inbound.request_id)
        progress.tried.add(server.instance)
        server.in_flight += 1
        try:
            outcome = await shared.forwarder.send(server.record.address, outbound, deadline)
            match outcome:
                case client.Answered(response):
                    server.answered()
                    shared.admission.accepted(callee, loop.time())
                    return await relay(self._request, response, inbound.request_id, deadline, route)
                case client.Rejected(status):
                    return self._rejected(route, callee, server, status, loop.time())
                case client.Unreachable():
                    server.failed(loop.time())
                    progress.unreachable += 1
                    if progress.unreachable >= UNREACHABLE_MOST:
                        return self._refuse(route, "no server can be reached")
                    return None
                case client.Broken():
                    server.failed(loop.time())
                    progress.sends += 1
                    progress.may_have_run = True
                    if route.repeatable and progress.sends < route.max_attempts:
                        return None
                    return answers.broken(inbound.request_id)
                case client.Overdue():
                    progress.may_have_run = True
                    return answers.overdue(inbound.request_id)
        finally:
            server.in_flight -= 1

    def _rejected(
        self, route: Route, callee: str, server: Server, status: int, now: float
    ) -> web.StreamResponse | None:
        progress = self._progress
        progress.sends += 1
        server.answered()
        if status in (429, 503):
            self._shared.admission.rejected(callee, now)
        elif status == 421:
            server.failed(now)  # another incarnation is at its address
        if progress.sends < route.max_attempts:
            return None
        return self._refuse(route, "the servers are full")

    def _refuse(self, route: Route, reason: str) -> web.StreamResponse:
        return self._give_up(
            answers.refused(self._inbound.request_id, route.target_s, self._shared.rng, reason)
        )

    def _expire(self) -> web.StreamResponse:
        return answers.overdue(self._inbound.request_id)

    def _give_up(self, promise: web.Response) -> web.StreamResponse:
        """The answer that promises that nothing has run, or another one where something may have."""
        return answers.broken(self._inbound.request_id) if self._progress.may_have_run else promise

"""One client's request from its arrival to its final answer: the order in which things are decided."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

import aiohttp
from aiohttp import web
from multidict import CIMultiDict

from fordtrestle.admission.budgets import RetryBudget
from fordtrestle.admission.urgency import Urgency
from fordtrestle.admission.window import Admission
from fordtrestle.forward import client
from fordtrestle.forward.client import Forwarder, Outbound
from fordtrestle.forward.headers import DEADLINE, LAST_EVENT_ID, PRIORITY, for_server
from fordtrestle.ingress import answers
from fordtrestle.ingress.relay import OK, End, StreamRelay, is_short, relay_whole
from fordtrestle.ingress.waiting import Waiting, longest
from fordtrestle.routing.intake import Intake
from fordtrestle.routing.pick import Prompt
from fordtrestle.routing.selection import Selection
from fordtrestle.routing.servers import Server
from fordtrestle.routing.table import Route
from fordtrestle.routing.view import View

FULL_STATUSES = (429, 503)
MISDIRECTED = 421
PEERS_UNKNOWN = 1000  # sidecars that share a budget, while it is not known how many
SENDS_MOST = 4  # of one request, those that servers rejected included
UNREACHABLE_MOST = 4  # servers that a request may find unreachable before it is refused
NO_CONFIGURATION_S = 5.0  # that a request is taken to have where its route is not known
BACK_S = 4.0  # in which this sidecar, or another one of its region, is ready again
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
    selection: Selection
    urgency: Urgency
    waiting: Waiting
    forwarder: Forwarder
    rng: random.Random
    intake: Intake = field(default_factory=Intake)


@dataclass(slots=True)
class _Progress:
    """What has become of a request so far."""

    level: int | None  # of urgency, where it is told
    tried: set[str] = field(default_factory=set)
    held: list[Server] = field(default_factory=list)  # servers that are at work on it
    sends: int = 0  # that reached a server
    runs: int = 0  # sends that a server may have begun to work on
    unreachable: int = 0
    admitted: bool = False
    may_have_run: bool = False


class Exchange:
    """Decides for one request until it has its answer."""

    def __init__(self, shared: Decisions, inbound: Inbound, request: web.BaseRequest) -> None:
        self._shared = shared
        self._inbound = inbound
        self._request = request
        self._progress = _Progress(level=shared.urgency.level(inbound.prompt.own))

    async def run(self) -> web.StreamResponse:
        """The final answer; it may have been written already."""
        try:
            while True:
                final = await self._try_once()
                if final is not None:
                    return final
        finally:
            self._release()

    async def _try_once(self) -> web.StreamResponse | None:
        """One send, by what is in force at this moment; nothing where another look is worth it."""
        shared, inbound, progress = self._shared, self._inbound, self._progress
        now = asyncio.get_running_loop().time()
        table = shared.view.table
        if table is None:
            return await self._wait(NO_CONFIGURATION_S, "no configuration yet")
        route = table.match(inbound.host, inbound.path)
        if route is None:
            return self._give_up(answers.unknown_route(inbound.request_id))
        if not shared.intake.takes(route.type, inbound.prompt.tokens_out, inbound.arrived):
            return self._refuse(BACK_S, "this sidecar ends")
        deadline = inbound.arrived + self._has_s(route.timeout_s)
        if now >= deadline:
            return self._refuse(route.target_s, "the time is up")
        callee = route.backend(shared.rng.random)
        if not self._admit(callee, now):
            return self._refuse(route.target_s, "too many requests are turned away")
        server = shared.selection.choose(route, callee, inbound.prompt, progress.tried, now)
        if server is None:
            return await self._wait(route.timeout_s, "no server may take it", route.target_s)
        if progress.sends and not self._may_send_again(callee, now):
            return self._refuse(route.target_s, "the budget of second sends is used up")
        return await self._send(route, callee, server, deadline)

    def _may_send_again(self, callee: str, now: float) -> bool:
        """Whether this sidecar's part of the budget of second sends has room, and count it if so."""
        view = self._shared.view
        sidecars = len(view.sidecars) if view.knows_peers(now) else PEERS_UNKNOWN
        return self._shared.retries.allows(callee, sidecars, now)

    def _has_s(self, at_most: float) -> float:
        """The time that the request has in all."""
        given = self._inbound.headers.get(DEADLINE, "")
        try:
            return min(at_most, float(given) / MS_PER_S)
        except ValueError:
            return at_most

    async def _wait(self, timeout_s: float, reason: str, target_s: float = 1.0) -> web.StreamResponse | None:
        """Nothing once it is worth looking again, or the refusal where the time to wait is over."""
        waited = asyncio.get_running_loop().time() - self._inbound.arrived
        over = waited >= longest(self._has_s(timeout_s))
        if over or self._progress.sends or not await self._shared.waiting.wait():
            return self._refuse(target_s, reason)
        return None

    def _admit(self, callee: str, now: float) -> bool:
        """The window's word, asked once a request and before any send."""
        progress, shared = self._progress, self._shared
        if not progress.admitted:
            shared.retries.request(callee, now)
            progress.admitted = shared.admission.admits(callee, now)
        return progress.admitted

    async def _send(
        self, route: Route, callee: str, server: Server, deadline: float
    ) -> web.StreamResponse | None:
        outcome = await self._ask(callee, route.target_s, server, deadline)
        request_id = self._inbound.request_id
        match outcome:
            case client.Answered(response):
                if is_short(response, route):
                    return await relay_whole(response, request_id, deadline)
                return await self._stream(route, response, deadline)
            case client.Rejected():
                return self._may_go_on(route, "the servers are full")
            case client.Unreachable():
                if self._progress.unreachable >= UNREACHABLE_MOST:
                    return self._refuse(route.target_s, "no server can be reached")
                return None
            case client.Unsent():
                return self._refuse(route.target_s, "the time is up")
            case client.Broken():
                if route.repeatable and self._progress.runs < route.max_attempts:
                    return None
                return answers.broken(request_id)
            case client.Overdue():
                return answers.overdue(request_id)

    async def _ask(
        self, callee: str, target_s: float, server: Server, deadline: float, last_event_id: str = ""
    ) -> client.Outcome:
        """Send to one server, and note what the outcome proves of it and of the service."""
        inbound, progress, shared = self._inbound, self._progress, self._shared
        loop = asyncio.get_running_loop()
        headers = for_server(inbound.headers, server.instance, deadline - loop.time())
        if last_event_id:
            headers[LAST_EVENT_ID] = last_event_id
        if self._progress.level is not None:
            headers[PRIORITY] = str(self._progress.level)
        outbound = Outbound(inbound.method, inbound.target, headers, inbound.body, inbound.request_id)
        self._release()
        self._hold(server)
        sent = loop.time()
        tokens = inbound.prompt.own or 0
        server.reading += tokens
        try:
            outcome = await shared.forwarder.send(server.record.address, outbound, deadline)
        finally:
            server.reading -= tokens
        now = loop.time()
        was_sent = not isinstance(outcome, client.Unreachable | client.Unsent)
        progress.sends += was_sent
        progress.runs += was_sent and not isinstance(outcome, client.Rejected)
        if was_sent:
            progress.tried.add(server.instance)
        match outcome:
            case client.Answered():
                server.answered()
                shared.admission.accepted(callee, now)
                shared.selection.answered(callee, server, inbound.prompt, now - sent, target_s, now)
            case client.Rejected(status):
                server.answered()
                if status in FULL_STATUSES:
                    shared.admission.rejected(callee, now)
                elif status == MISDIRECTED:
                    server.misdirected = True  # another incarnation is at its address
            case client.Unreachable():
                server.failed(now)
                progress.unreachable += 1
            case client.Broken():
                server.failed(now)
                progress.may_have_run = True
            case client.Overdue():
                progress.may_have_run = True
        return outcome

    async def _stream(
        self, route: Route, response: aiohttp.ClientResponse, deadline: float
    ) -> web.StreamResponse:
        """Pass a stream on; where it breaks off and may be resumed, another server goes on with it."""
        relay = StreamRelay(self._request, response, route.resumable)
        try:
            return await self._relay(relay, response, deadline)
        except asyncio.CancelledError:
            relay.cut()  # the client has gone, or this sidecar ends
            raise

    async def _relay(
        self, relay: StreamRelay, response: aiohttp.ClientResponse, deadline: float
    ) -> web.StreamResponse:
        await relay.begin()
        while True:
            client.notice_silence(response, wanted=relay.can_resume)
            end = await relay.feed(response, deadline)
            if end is End.COMPLETE:
                return await relay.finish()
            following = None
            if end is End.BROKEN and relay.can_resume:
                following = await self._resume(relay.last_event_id, deadline)
            if following is None:
                return relay.cut()
            response = following

    async def _resume(self, last_event_id: str, deadline: float) -> aiohttp.ClientResponse | None:
        """The rest of a stream from another server; nothing where none may or can give it."""
        shared, progress = self._shared, self._progress
        loop = asyncio.get_running_loop()
        while progress.unreachable < UNREACHABLE_MOST and loop.time() < deadline:
            table = shared.view.table
            route = table.match(self._inbound.host, self._inbound.path) if table else None
            if route is None or not route.resumable or progress.runs >= route.max_attempts:
                return None
            callee = route.backend(shared.rng.random)
            server = shared.selection.choose(route, callee, self._inbound.prompt, progress.tried, loop.time())
            if server is None or not self._may_send_again(callee, loop.time()):
                return None
            outcome = await self._ask(callee, route.target_s, server, deadline, last_event_id)
            if isinstance(outcome, client.Answered):
                if outcome.response.status == OK:
                    return outcome.response
                outcome.response.close()
                return None
            if isinstance(outcome, client.Overdue | client.Unsent):
                return None
        return None

    def _hold(self, server: Server) -> None:
        server.in_flight += 1
        self._progress.held.append(server)

    def _release(self) -> None:
        """No server is at work on it any more."""
        for server in self._progress.held:
            server.in_flight -= 1
        self._progress.held.clear()

    def _may_go_on(self, route: Route, reason: str) -> web.StreamResponse | None:
        """Nothing where another server may be asked, or else the refusal."""
        progress = self._progress
        if progress.runs < route.max_attempts and progress.sends < SENDS_MOST:
            return None
        return self._refuse(route.target_s, reason)

    def _refuse(self, target_s: float, reason: str) -> web.StreamResponse:
        return self._give_up(answers.refused(self._inbound.request_id, target_s, self._shared.rng, reason))

    def _give_up(self, promise: web.Response) -> web.StreamResponse:
        """The answer that promises that nothing has run, or another one where something may have."""
        return answers.broken(self._inbound.request_id) if self._progress.may_have_run else promise

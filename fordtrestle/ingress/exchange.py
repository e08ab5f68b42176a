"""One client's request from its arrival to its final answer: sends, answers, and what each outcome proves."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass

import aiohttp
import eliot
from aiohttp import web
from multidict import CIMultiDict

from fordtrestle.admission.priority_assigner import PriorityAssigner
from fordtrestle.forward import connections, results
from fordtrestle.forward.client import Forwarder, OutboundRequest
from fordtrestle.forward.headers import (
    DEADLINE,
    LAST_EVENT_ID,
    MISDIRECTED_STATUS,
    PRIORITY,
    headers_for_server,
)
from fordtrestle.ingress import answers
from fordtrestle.ingress.relay import OK, End, StreamRelay, give_back, is_short, relay_whole
from fordtrestle.ingress.waiting import Waiting
from fordtrestle.routing.common import Prompt, RequestMetadata
from fordtrestle.routing.decisions import Reject, SendTo, UnknownRoute, WaitFor
from fordtrestle.routing.outlier_detection import FAILURE_STATUSES
from fordtrestle.routing.request_attempts import RequestAttempts
from fordtrestle.routing.route import Route
from fordtrestle.routing.router import Router
from fordtrestle.routing.server import Server

FULL_STATUSES = (429, 503)
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
    def metadata(self) -> RequestMetadata:
        """What is decided by."""
        path = self.target.partition("?")[0]
        return RequestMetadata(self.host, path, self.prompt, self.arrived, self._client_timeout_s())

    def _client_timeout_s(self) -> float | None:
        try:
            return float(self.headers.get(DEADLINE, "")) / MS_PER_S
        except ValueError:
            return None


@dataclass(slots=True)
class Shared:
    """What all requests of a sidecar share."""

    router: Router
    priority_assigner: PriorityAssigner
    waiting: Waiting
    forwarder: Forwarder
    rng: random.Random


class Exchange:
    """Carries one request to its answer."""

    def __init__(self, shared: Shared, inbound: Inbound, request: web.BaseRequest) -> None:
        self._shared = shared
        self._inbound = inbound
        self._metadata = inbound.metadata
        self._request = request
        self._attempts = RequestAttempts()
        self._level = shared.priority_assigner.assign(inbound.prompt.own_tokens)
        self._held: list[Server] = []  # servers that are at work on it

    async def run(self) -> web.StreamResponse:
        """The final answer; it may have been written already."""
        try:
            while True:
                final = await self._step()
                if final is not None:
                    return final
        finally:
            self._release()

    async def _step(self) -> web.StreamResponse | None:
        """Do what is decided now; nothing where another look is worth it."""
        now = asyncio.get_running_loop().time()
        match self._shared.router.next_step(self._metadata, self._attempts, now):
            case SendTo() as send:
                return await self._send(send)
            case WaitFor(until, refusal):
                if now < until and await self._shared.waiting.wait():
                    return None
                return self._refuse(refusal)
            case Reject() as refusal:
                return self._refuse(refusal)
            case UnknownRoute():
                return self._give_up(answers.unknown_route(self._inbound.request_id))

    async def _send(self, send: SendTo) -> web.StreamResponse | None:
        outcome = await self._ask(send)
        route, attempts, request_id = send.route, self._attempts, self._inbound.request_id
        match outcome:
            case results.Answered(response):
                if response.status in FAILURE_STATUSES and (again := self._again(route)):
                    give_back(response)
                    return await self._send(again)
                if is_short(response, route):
                    return await self._whole(send, response)
                return await self._stream(route, response, send.deadline)
            case results.RejectedByServer():
                if attempts.can_retry_rejected(route):
                    return None
                return self._refuse(Reject(route.latency_target_s, "the servers are full"))
            case results.ConnectFailed():
                if not attempts.has_exhausted_connects():
                    return None
                return self._refuse(Reject(route.latency_target_s, "no server can be reached"))
            case results.NotSent():
                return self._refuse(Reject(route.latency_target_s, "the time is up"))
            case results.ConnectionBroken():
                return None if attempts.can_run_again(route) else answers.broken(request_id)
            case results.DeadlineExceeded():
                return answers.overdue(request_id)

    def _again(self, route: Route) -> SendTo | None:
        """Where a request goes that a server ran and failed, if it may be run once more."""
        if not self._attempts.can_run_again(route):
            return None
        now = asyncio.get_running_loop().time()
        decision = self._shared.router.next_step(self._metadata, self._attempts, now)
        return decision if isinstance(decision, SendTo) else None

    async def _whole(self, send: SendTo, response: aiohttp.ClientResponse) -> web.StreamResponse | None:
        """A short answer, read whole; nothing where it broke off and another server may be asked."""
        attempts, request_id = self._attempts, self._inbound.request_id
        whole = await relay_whole(response, send.deadline)
        if isinstance(whole, web.Response):
            return whole
        if whole is End.OVERDUE:
            return answers.overdue(request_id)
        self._ended(send.server, failed=True)
        attempts.may_have_run = True
        return None if attempts.can_run_again(send.route) else answers.broken(request_id)

    def _ended(self, server: Server, failed: bool) -> None:
        """A request ended at a server, well or not."""
        if self._shared.router.record_outcome(server, failed, asyncio.get_running_loop().time()):
            eliot.log_message("servers:ejected", instance=server.instance)

    async def _ask(self, send: SendTo, last_event_id: str = "") -> results.SendResult:
        """Send to one server, and note what the outcome proves of it and of the service."""
        inbound, server = self._inbound, send.server
        loop = asyncio.get_running_loop()
        headers = headers_for_server(inbound.headers, server.instance, send.deadline - loop.time())
        if last_event_id:
            headers[LAST_EVENT_ID] = last_event_id
        if self._level is not None:
            headers[PRIORITY] = str(self._level)
        outbound = OutboundRequest(inbound.method, inbound.target, headers, inbound.body, inbound.request_id)
        self._release()
        self._hold(server)
        sent = loop.time()
        tokens = inbound.prompt.own_tokens or 0
        server.prefill_tokens += tokens
        try:
            outcome = await self._shared.forwarder.send(server.record.address, outbound, send.deadline)
        finally:
            server.prefill_tokens -= tokens
        self._note(send, outcome, loop.time() - sent, loop.time())
        return outcome

    def _note(self, send: SendTo, outcome: results.SendResult, took_s: float, now: float) -> None:
        """What an outcome proves: load, absence, or that the request may have run."""
        server, callee, attempts, router = send.server, send.callee, self._attempts, self._shared.router
        if not isinstance(outcome, results.ConnectFailed | results.NotSent):
            attempts.record_send(server.instance, rejected=isinstance(outcome, results.RejectedByServer))
        match outcome:
            case results.Answered(response):
                server.on_answer(now)
                failed = response.status in FAILURE_STATUSES
                attempts.may_have_run |= failed
                self._ended(server, failed)
                router.admission.record_accepted(callee, now)
                target_s = send.route.latency_target_s
                router.selector.on_answer(callee, server, self._inbound.prompt, took_s, target_s, now)
            case results.RejectedByServer(status):
                server.on_answer(now)
                if status in FULL_STATUSES:
                    router.admission.record_rejected(callee, now)
                elif status == MISDIRECTED_STATUS:
                    server.is_misdirected = True  # another incarnation is at its address
            case results.ConnectFailed():
                server.on_connection_failure(now)
                attempts.connect_failures += 1
            case results.ConnectionBroken():
                server.on_connection_failure(now)
                self._ended(server, failed=True)
                attempts.may_have_run = True
            case results.DeadlineExceeded():
                if server.has_answered_nothing_since(now - took_s):
                    self._ended(server, failed=True)
                attempts.may_have_run = True

    async def _stream(
        self, route: Route, response: aiohttp.ClientResponse, deadline: float
    ) -> web.StreamResponse:
        """Pass a stream on; where it breaks off and may be resumed, another server goes on with it."""
        relay = StreamRelay(self._request, response, route.is_resumable)
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
            connections.probe_while_silent(response, relay.can_resume)
            end = await relay.feed(response, deadline)
            if end is End.COMPLETE:
                return await relay.finish()
            following = None
            if end is End.BROKEN:
                self._ended(self._held[-1], failed=True)
            if end is End.BROKEN and relay.can_resume:
                following = await self._resume(relay.last_event_id, deadline)
            if following is None:
                return relay.cut()
            response = following

    async def _resume(self, last_event_id: str, deadline: float) -> aiohttp.ClientResponse | None:
        """The rest of a stream from another server; nothing where none may or can give it."""
        loop = asyncio.get_running_loop()
        while send := self._shared.router.resume(self._metadata, self._attempts, loop.time(), deadline):
            outcome = await self._ask(send, last_event_id)
            if isinstance(outcome, results.Answered):
                if outcome.response.status == OK:
                    return outcome.response
                outcome.response.close()
                return None
            if isinstance(outcome, results.DeadlineExceeded | results.NotSent):
                return None
        return None

    def _hold(self, server: Server) -> None:
        server.in_flight += 1
        self._held.append(server)

    def _release(self) -> None:
        """No server is at work on it any more."""
        for server in self._held:
            server.in_flight -= 1
        self._held.clear()

    def _refuse(self, refusal: Reject) -> web.StreamResponse:
        request_id, rng = self._inbound.request_id, self._shared.rng
        return self._give_up(answers.refused(request_id, refusal.retry_scale_s, rng, refusal.reason))

    def _give_up(self, promise: web.Response) -> web.StreamResponse:
        """The answer that promises that nothing has run, or another one where something may have."""
        return answers.broken(self._inbound.request_id) if self._attempts.may_have_run else promise

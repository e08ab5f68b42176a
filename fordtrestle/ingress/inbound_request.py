"""A client's complete request, and the context that all requests of a sidecar share."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from aiohttp import web
from multidict import CIMultiDict

from fordtrestle.admission.priority_assigner import PriorityAssigner
from fordtrestle.forward.client import Forwarder
from fordtrestle.forward.headers import DEADLINE, MS_PER_S, REQUEST_ID, end_to_end
from fordtrestle.ingress.send_log import SendLog
from fordtrestle.ingress.wait_queue import WaitQueue
from fordtrestle.listener.request_body import BodyParts
from fordtrestle.routing.common import Prompt, RequestMetadata
from fordtrestle.routing.prompt_headers import read_prompt
from fordtrestle.routing.router import Router

TOKEN_COUNT = "X-Token-Count"
PROMPT_PREFIX = "X-Prompt-Prefix"


@dataclass(slots=True)
class HandlerContext:
    """The objects that the handlers of all requests of a sidecar share.

    Attributes:
        router: Decides the next step of a request.
        priority_assigner: Assigns priorities by prompt size.
        wait_queue: Holds requests that no server can accept yet.
        forwarder: Sends requests to servers.
        rng: The random source for `Retry-After` times.
        send_log: Logs the sends to servers.
    """

    router: Router
    priority_assigner: PriorityAssigner
    wait_queue: WaitQueue
    forwarder: Forwarder
    rng: random.Random
    send_log: SendLog = field(default_factory=SendLog)


@dataclass(frozen=True, slots=True)
class InboundRequest:
    """A client's complete request.

    Attributes:
        method: The HTTP method.
        host: The `Host` header.
        target: Path and query, exactly as the client sent them.
        headers: The end-to-end headers.
        body: The complete body, in parts.
        request_id: The client's request id; empty if it sent none.
        prompt: The description of the prompt in the headers.
        arrived_at: The earliest possible arrival, in seconds of the loop's clock.
        client: HOST:PORT of the client's connection; empty if it is closed.
    """

    method: str
    host: str
    target: str
    headers: CIMultiDict[str]
    body: BodyParts
    request_id: str
    prompt: Prompt
    arrived_at: float
    client: str

    @classmethod
    def from_aiohttp(cls, request: web.BaseRequest, body: BodyParts, arrived_at: float) -> InboundRequest:
        """Create the request from aiohttp's request and its body."""
        headers = request.headers
        return cls(
            method=request.method,
            host=headers.get("Host", ""),
            target=request.raw_path,
            headers=end_to_end(headers, headers.items()),
            body=body,
            request_id=headers.get(REQUEST_ID, ""),
            prompt=read_prompt(headers.get(TOKEN_COUNT, ""), headers.get(PROMPT_PREFIX, "")),
            arrived_at=arrived_at,
            client=_client_address(request),
        )

    @property
    def metadata(self) -> RequestMetadata:
        """The properties of the request that routing depends on."""
        path = self.target.partition("?")[0]
        return RequestMetadata(self.host, path, self.prompt, self.arrived_at, self._client_timeout_s())

    def _client_timeout_s(self) -> float | None:
        """Return the client's timeout, in seconds; `None` if it is missing or not a number."""
        try:
            return float(self.headers.get(DEADLINE, "")) / MS_PER_S
        except ValueError:
            return None


def _client_address(request: web.BaseRequest) -> str:
    """Return HOST:PORT of a request's client; empty if its connection is closed."""
    peer = request.transport.get_extra_info("peername") if request.transport else None
    return f"{peer[0]}:{peer[1]}" if peer else ""

"""A client's request, read to its end, and what all requests of a sidecar share."""

from __future__ import annotations

import random
from dataclasses import dataclass

from aiohttp import web
from multidict import CIMultiDict

from fordtrestle.admission.priority_assigner import PriorityAssigner
from fordtrestle.forward.client import Forwarder
from fordtrestle.forward.headers import DEADLINE, MS_PER_S, REQUEST_ID, end_to_end
from fordtrestle.ingress.wait_queue import WaitQueue
from fordtrestle.routing.common import Prompt, RequestMetadata
from fordtrestle.routing.prompt_headers import read_prompt
from fordtrestle.routing.router import Router

TOKEN_COUNT = "X-Token-Count"
PROMPT_PREFIX = "X-Prompt-Prefix"


@dataclass(slots=True)
class HandlerContext:
    """What the handlers of all requests of a sidecar share.

    Attributes:
        router: Decides what is done next with a request.
        priority_assigner: Ranks prompts by their size.
        wait_queue: Requests that no server can take yet.
        forwarder: Sends to servers.
        rng: Draws the times after which rejected clients come back.
    """

    router: Router
    priority_assigner: PriorityAssigner
    wait_queue: WaitQueue
    forwarder: Forwarder
    rng: random.Random


@dataclass(frozen=True, slots=True)
class InboundRequest:
    """A client's request, read to its end.

    Attributes:
        method: The HTTP method.
        host: The `Host` header.
        target: Path and query, as the client wrote them.
        headers: The end-to-end headers.
        body: The whole body.
        request_id: The client's; empty where it named none.
        prompt: What the headers say about the prompt.
        arrived_at: s, loop clock; the earliest that is possible.
    """

    method: str
    host: str
    target: str
    headers: CIMultiDict[str]
    body: bytes
    request_id: str
    prompt: Prompt
    arrived_at: float

    @classmethod
    def from_aiohttp(cls, request: web.BaseRequest, body: bytes, arrived_at: float) -> InboundRequest:
        """Take from aiohttp's request what handling it needs."""
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
        )

    @property
    def metadata(self) -> RequestMetadata:
        """What the router decides by."""
        path = self.target.partition("?")[0]
        return RequestMetadata(self.host, path, self.prompt, self.arrived_at, self._client_timeout_s())

    def _client_timeout_s(self) -> float | None:
        """The time that the client gives; none where it names none, or no number."""
        try:
            return float(self.headers.get(DEADLINE, "")) / MS_PER_S
        except ValueError:
            return None

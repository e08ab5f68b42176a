"""Ids and records that the routing modules share. Pure."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple, TypeAlias

InstanceId: TypeAlias = str  # one incarnation of a server: a server that restarts has a new one
NodeName: TypeAlias = str  # the name of a control process or sidecar
ServiceName: TypeAlias = str
ZoneName: TypeAlias = str
RegionName: TypeAlias = str

Draw: TypeAlias = Callable[[], float]  # a random source, uniform in [0, 1)


class PromptPart(NamedTuple):
    """A segment of a prompt. Prompts that share a prefix have the same part ids in it."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """The prompt of a request, as its headers describe it (`X-Token-Count`, `X-Prompt-Prefix`).

    Attributes:
        tokens_in: Tokens of the prompt; 0 if unknown.
        tokens_out: The maximum number of tokens in the response; 0 if unknown.
        parts: The parts of the prompt, in order. The last one belongs to this request alone; those before it
            may be shared with other requests.
    """

    tokens_in: int = 0
    tokens_out: int = 0
    parts: tuple[PromptPart, ...] = ()

    @property
    def own_tokens(self) -> int | None:
        """The tokens of the part that is not shared; `None` if the parts are unknown."""
        return self.parts[-1].tokens if self.parts else None

    @property
    def shared_tokens(self) -> int:
        """The tokens of all parts that other requests may share."""
        return sum(part.tokens for part in self.parts[:-1])

    @property
    def shared_prefix(self) -> str:
        """The id of the last part that other requests may share; empty if there is none."""
        return self.parts[-2].id if len(self.parts) > 1 else ""


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """The properties of a request that routing depends on.

    Attributes:
        host: The requested host.
        path: The path, without its query.
        prompt: The description of the request's prompt.
        arrived_at: When the request arrived, in seconds of the loop's clock.
        client_timeout_s: The client's timeout, in seconds; `None` if it set none.
    """

    host: str
    path: str
    prompt: Prompt
    arrived_at: float
    client_timeout_s: float | None

    def timeout_s(self, route_timeout_s: float) -> float:
        """Return the timeout of the request, in seconds: the shorter of the route's and the client's."""
        if self.client_timeout_s is None:
            return route_timeout_s
        return min(route_timeout_s, self.client_timeout_s)

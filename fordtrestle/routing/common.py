"""Ids and records that the parts of routing hand to one another. Pure."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple, TypeAlias

InstanceId: TypeAlias = str  # one incarnation of a server: a server that restarts has a new one
NodeName: TypeAlias = str  # a process of the system
ServiceName: TypeAlias = str
ZoneName: TypeAlias = str
RegionName: TypeAlias = str

Draw: TypeAlias = Callable[[], float]  # a random source, uniform in [0, 1)


class PromptPart(NamedTuple):
    """A part of a prompt. Prompts that begin with the same parts have the same ids there."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """What a request to a model says of its prompt (`X-Token-Count`, `X-Prompt-Prefix`).

    Attributes:
        tokens_in: Tokens of the prompt; 0 where the request does not say.
        tokens_out: Tokens of the answer at the most; 0 where the request does not say.
        parts: The parts of the prompt, in order. The last one is the request's own, those before it may be
            shared by other requests.
    """

    tokens_in: int = 0
    tokens_out: int = 0
    parts: tuple[PromptPart, ...] = ()

    @property
    def own_tokens(self) -> int | None:
        """The tokens of the part that no other request has; `None` where the parts are not known."""
        return self.parts[-1].tokens if self.parts else None

    @property
    def shared_tokens(self) -> int:
        """The tokens of all parts that other requests may have, too."""
        return sum(part.tokens for part in self.parts[:-1])

    @property
    def shared_prefix(self) -> str:
        """The id of the last part that other requests may have, too; empty where there is none."""
        return self.parts[-2].id if len(self.parts) > 1 else ""


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """What a request is routed by.

    Attributes:
        host: The host that the client asked for.
        path: The path, without its query.
        prompt: What the request says of its prompt.
        arrived_at: When it arrived, in seconds of the loop's clock.
        client_timeout_s: The time that the client gives it, in seconds; `None` where it says none.
    """

    host: str
    path: str
    prompt: Prompt
    arrived_at: float
    client_timeout_s: float | None

    def timeout_s(self, route_timeout_s: float) -> float:
        """Return the time that the request has in all, given that of its route."""
        if self.client_timeout_s is None:
            return route_timeout_s
        return min(route_timeout_s, self.client_timeout_s)

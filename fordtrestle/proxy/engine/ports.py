"""What the engine and its neighbours say to one another: plain values and protocols, no I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple, Protocol

from fordtrestle.balancer import model
from fordtrestle.balancer.model import Outcome


class Address(NamedTuple):
    """Where to listen or connect."""

    host: str
    port: int


def parse_address(text: Any) -> Address:
    """`host:port` to an address; `ValueError` if it is none."""
    host, found, port = str(text).rpartition(":")
    if not found or not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ValueError(f"{text!r} is not an address")
    return Address(host.strip("[]"), int(port))


@dataclass(frozen=True, slots=True)
class ServerList:
    """One message of discovery."""

    version: int
    is_complete: bool
    entries: list[model.Listing]
    addresses: dict[str, Address]


@dataclass(slots=True)
class Answer:
    """What a server answered, for the client."""

    headers: list[tuple[bytes, bytes]]
    body: bytes


@dataclass(slots=True)
class Result:
    """How an attempt or a probe ended."""

    outcome: Outcome
    answer: Answer | None = None
    report: dict[str, float] | None = None


class Handle(Protocol):
    """Something that will happen unless it is cancelled."""

    def cancel(self) -> None:
        """It is not to happen."""


class Scheduler(Protocol):
    """What an engine needs of an event loop; times are the scheduler's own seconds."""

    def time(self) -> float:
        """The time now."""

    def call_at(self, when: float, callback: Callable[..., object], *args: Any) -> Handle:
        """Call at that time."""

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> Handle:
        """Call once so many seconds have passed."""

    def call_soon(self, callback: Callable[..., object], *args: Any) -> Handle:
        """Call in the next turn."""


class Call(Protocol):
    """A request as the application sent it."""

    traffic_class: int
    tenant: int
    key: int | None
    work: float | None
    again: bool
    mutates: bool
    budget: float

    def wire(self, left: float) -> bytes | None:
        """The request for a server that has `left` milliseconds; None where its client has left."""

    def served(self, answer: Answer) -> None:
        """The final answer: a server's."""

    def refused(self, retry_after: float) -> None:
        """The final answer: refused."""

    def failed(self, late: bool) -> None:
        """The final answer: failed."""

    def over(self) -> None:
        """Answered or given up, and no attempt is out: nothing of it can come any more."""


class AttemptHandle(Protocol):
    """One attempt or probe on its way."""

    def abandon(self) -> None:
        """Stop waiting: its connection is closed, and nothing more comes of it."""


class Upstreams(Protocol):
    """The servers, seen as somewhere to send."""

    def send(
        self,
        server: str,
        message: Callable[[float], bytes | None],
        expires: float,
        done: Callable[[Result], None],
    ) -> AttemptHandle:
        """Begin an attempt; `done` is called once, later, unless it is abandoned first.

        `message` is asked as the attempt begins and once more where it had to wait for a connection; it is
        given the milliseconds left, and where it says None nothing is written: the attempt is abandoned.
        """

    def probe(self, server: str, done: Callable[[Result], None]) -> AttemptHandle:
        """Begin a probe, likewise."""

    def update(self, now: float, whole: bool, news: ServerList) -> list[str]:
        """What discovery said of the servers; the names whose address has gone to another."""

    def close_idle(self, server: str) -> None:
        """Close the idle connections to a server."""


class Registry(Protocol):
    """Discovery, seen as something to ask."""

    def watch(self, on: bool) -> None:
        """Ask for changes from now on, or stop."""

    def fetch(self) -> None:
        """Ask for the whole list once."""


class Gossip(Protocol):
    """The way to other sidecars."""

    def tell(self, peer: int | None, data: bytes) -> None:
        """Send a message to one peer, or to all."""

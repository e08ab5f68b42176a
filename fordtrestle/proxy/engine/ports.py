"""Values and protocols between the engine and its neighbours. No I/O.

The engine (`driver.py`) runs the decision module and knows no sockets. `http`, `membership` and `daemon`
implement the protocols here and hand them in.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple, Protocol

from fordtrestle.balancer import model
from fordtrestle.balancer.model import Outcome

MAX_PORT = 65535


class Address(NamedTuple):
    """Where to listen or connect: the arguments that sockets take."""

    host: str
    port: int


def parse_address(text: Any) -> Address:
    """Parse `host:port`, an IPv6 host in brackets.

    Raises:
        ValueError: It is no such text.
    """
    host, found, port = str(text).rpartition(":")
    if not found or not host or not port.isdigit() or not 0 <= int(port) <= MAX_PORT:
        raise ValueError(f"{text!r} is not an address")
    return Address(host.strip("[]"), int(port))


@dataclass(frozen=True, slots=True)
class ServerList:
    """One update of a service's servers.

    Attributes:
        version: The registry's index of it.
        is_complete: Whether it lists all servers; otherwise it has only what changed.
        entries: The servers, as the decision module takes them.
        addresses: Where each of them listens, by name.
    """

    version: int
    is_complete: bool
    entries: list[model.Listing]
    addresses: dict[str, Address]


@dataclass(slots=True)
class UpstreamResponse:
    """What a server answered, for the client: the headers that are passed on, and the body."""

    headers: list[tuple[bytes, bytes]]
    body: bytes


@dataclass(slots=True)
class AttemptResult:
    """How an attempt or a probe ended.

    Attributes:
        outcome: The outcome, as the decision module takes it.
        response: The server's response, where the outcome is OK.
        report: The server's load, by the fields that are configured.
    """

    outcome: Outcome
    response: UpstreamResponse | None = None
    report: dict[str, float] | None = None


class TimerHandle(Protocol):
    """A callback that is scheduled, as asyncio has it."""

    def cancel(self) -> None:
        """Cancel the callback; one that has run or was cancelled is passed over."""


class Scheduler(Protocol):
    """What the engine needs of an event loop; times are the loop's own seconds."""

    def time(self) -> float:
        """Return the time now."""

    def call_at(self, when: float, callback: Callable[..., object], *args: Any) -> TimerHandle:
        """Call back at a time."""

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> TimerHandle:
        """Call back after so many seconds."""

    def call_soon(self, callback: Callable[..., object], *args: Any) -> TimerHandle:
        """Call back in the next turn."""


class Call(Protocol):
    """A request as a client sent it, and the way to answer it.

    Exactly one of `served`, `refused` and `failed` is called, unless the client leaves first.

    Attributes:
        traffic_class: The index of its class in the settings.
        tenant: The index of its tenant; 0 if it has none.
        key: Its key, where its class is keyed or has one that is warm.
        work: How much work it asks for, where that is known.
        again: Whether its client sent it before, and sends it again.
        mutates: Whether it changes anything at a server.
        budget: Milliseconds from its last byte until its client gives up.
    """

    traffic_class: int
    tenant: int
    key: int | None
    work: float | None
    again: bool
    mutates: bool
    budget: float

    def wire(self, left: float) -> bytes | None:
        """Return the request for a server that has `left` milliseconds; None if its client has left."""

    def served(self, answer: UpstreamResponse) -> None:
        """Answer it with a server's response."""

    def refused(self, retry_after: float) -> None:
        """Answer that it is refused, and to come back after so many ms; 0: no time is told."""

    def failed(self, late: bool) -> None:
        """Answer that it failed; `late`: since its time is over."""

    def on_finished(self) -> None:
        """It is answered or given up, and no attempt is open: nothing of it can come any more."""


class AttemptHandle(Protocol):
    """An attempt or probe that is on its way."""

    def abandon(self) -> None:
        """Stop waiting: its connection is closed, and its `done` is not called."""


class Upstreams(Protocol):
    """The servers: where attempts and probes are sent."""

    def send(
        self,
        server: str,
        message: Callable[[float], bytes | None],
        expires: float,
        done: Callable[[AttemptResult], None],
    ) -> AttemptHandle:
        """Begin an attempt.

        Args:
            server: The server's name.
            message: Returns the bytes to write, given the milliseconds left. It is called as the attempt
                begins, and once more if it had to wait for a connection. If it returns None nothing is
                written and the attempt is abandoned.
            expires: When its time is over, in the clock's milliseconds.
            done: Called once with the result, in a later turn of the loop, unless the attempt is abandoned
                first.
        """

    def probe(self, server: str, done: Callable[[AttemptResult], None]) -> AttemptHandle:
        """Begin a health probe; `done` is as for `send`."""

    def update(self, now: float, is_complete: bool, update: ServerList) -> list[str]:
        """Apply an update of the servers.

        Args:
            now: When it was read, in the clock's milliseconds.
            is_complete: Whether it lists all servers.
            update: The update.

        Returns:
            The names whose address now belongs to another server.
        """

    def close_idle(self, server: str) -> None:
        """Close the idle connections to a server."""


class Registry(Protocol):
    """The discovery of servers."""

    def watch(self, on: bool) -> None:
        """Ask for changes from now on, or stop."""

    def fetch(self) -> None:
        """Ask for the complete list once."""


class Gossip(Protocol):
    """The way to other sidecars."""

    def send(self, peer: int | None, data: bytes) -> None:
        """Send a message to one peer, or to all if `peer` is None."""

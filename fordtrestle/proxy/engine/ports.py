"""Values and protocols between the engine and the packages around it. No I/O.

The engine (`driver.py`) runs the decision module and uses no sockets. `http`, `membership` and `daemon`
implement these protocols, and their objects are passed to the engine.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple, Protocol

from fordtrestle.balancer import model
from fordtrestle.balancer.model import Outcome

MAX_PORT = 65535


class Address(NamedTuple):
    """A host and a port to listen on or connect to, as socket functions take them."""

    host: str
    port: int


def parse_address(text: Any) -> Address:
    """Parse `host:port`; an IPv6 host is in brackets.

    Raises:
        ValueError: The text does not have this form, or the port is out of range.
    """
    host, found, port = str(text).rpartition(":")
    if not found or not host or not port.isdigit() or not 0 <= int(port) <= MAX_PORT:
        raise ValueError(f"expected an address as host:port, not {text!r}")
    return Address(host.strip("[]"), int(port))


@dataclass(frozen=True, slots=True)
class ServerList:
    """An update of the servers of a service.

    Attributes:
        version: Its index in the registry.
        is_complete: Whether it lists all servers; otherwise it lists only changes.
        entries: The servers, as the decision module takes them.
        addresses: Where each of them listens, by name.
    """

    version: int
    is_complete: bool
    entries: list[model.Listing]
    addresses: dict[str, Address]


@dataclass(slots=True)
class UpstreamResponse:
    """The response of a server to pass on to the client: the end-to-end headers and the body."""

    headers: list[tuple[bytes, bytes]]
    body: bytes


@dataclass(slots=True)
class AttemptResult:
    """The result of an attempt or a probe.

    Attributes:
        outcome: The outcome, as the decision module takes it.
        response: The server's response if the outcome is OK.
        report: The load that the server reported, by configured field.
    """

    outcome: Outcome
    response: UpstreamResponse | None = None
    report: dict[str, float] | None = None


class TimerHandle(Protocol):
    """A scheduled callback, like asyncio's handles."""

    def cancel(self) -> None:
        """Cancel the callback; does nothing if it has run or was cancelled before."""


class Scheduler(Protocol):
    """The part of an event loop that the engine uses; times are in the loop's seconds."""

    def time(self) -> float:
        """Return the current time."""

    def call_at(self, when: float, callback: Callable[..., object], *args: Any) -> TimerHandle:
        """Schedule a callback at a time."""

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> TimerHandle:
        """Schedule a callback after a delay in seconds."""

    def call_soon(self, callback: Callable[..., object], *args: Any) -> TimerHandle:
        """Schedule a callback in the next iteration of the loop."""


class Call(Protocol):
    """A request from a client, and the methods that answer it.

    Exactly one of `served`, `refused` and `failed` is called, unless the client disconnects first.

    Attributes:
        traffic_class: The index of its class in the settings.
        tenant: The index of its tenant; 0 if it has none.
        key: Its key, where its class is keyed or has one that is warm.
        work: The work that it is expected to cost, in seconds; None if that is unknown.
        again: Whether the client has sent it before and now retries it.
        mutates: Whether it changes anything on a server.
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
        """Encode the request for a server that has `left` ms to answer; None if its client disconnected."""

    def served(self, answer: UpstreamResponse) -> None:
        """Answer it with the response of a server."""

    def refused(self, retry_after: float) -> None:
        """Answer that it is refused and may be retried after `retry_after` ms; 0 gives no time."""

    def failed(self, late: bool) -> None:
        """Answer that it failed; `late` says that its deadline has passed."""

    def on_finished(self) -> None:
        """Handle that it is answered or abandoned and has no attempt in flight: no further event follows."""


class AttemptHandle(Protocol):
    """A handle of an attempt or a probe in flight."""

    def abandon(self) -> None:
        """Abandon it: its connection is closed, and its `done` callback is not called."""


class Upstreams(Protocol):
    """The transport of attempts and probes to servers."""

    def send(
        self,
        server: str,
        message: Callable[[float], bytes | None],
        expires_ms: float,
        done: Callable[[AttemptResult], None],
    ) -> AttemptHandle:
        """Start an attempt.

        Args:
            server: The server's name.
            message: Returns the bytes to write, given the milliseconds left. It is called when the attempt
                starts, and again if the attempt had to wait for a connection. If it returns None, nothing is
                written and the attempt is abandoned.
            expires_ms: When the attempt times out, in the clock's milliseconds.
            done: Called once with the result, in a later iteration of the loop, unless the attempt is
                abandoned first.
        """

    def probe(self, server: str, done: Callable[[AttemptResult], None]) -> AttemptHandle:
        """Start a health probe; `done` is as for `send`."""

    def update(self, now: float, is_complete: bool, update: ServerList) -> list[str]:
        """Apply an update of the server list.

        Args:
            now: When it was read, in the clock's milliseconds.
            is_complete: Whether it lists all servers.
            update: The update.

        Returns:
            The names of servers whose address now belongs to another server.
        """

    def close_idle(self, server: str) -> None:
        """Close the idle connections to a server."""


class Registry(Protocol):
    """The service discovery that lists the servers."""

    def watch(self, on: bool) -> None:
        """Start or stop watching for changes."""

    def fetch(self) -> None:
        """Request the complete list once."""


class Gossip(Protocol):
    """The transport of messages to other sidecars."""

    def send(self, peer: int | None, data: bytes) -> None:
        """Send a message to one peer, or to all if `peer` is None."""

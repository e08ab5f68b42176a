"""The possible results of sending a request to one server, classified by what they prove.

The key distinction is whether the server may have run the request. A request that may have run is retried
only if its route allows it to run more than once.
"""

from __future__ import annotations

from dataclasses import dataclass

import aiohttp


@dataclass(frozen=True, slots=True)
class Answered:
    """The server accepted the request: the head of its response was received."""

    response: aiohttp.ClientResponse


@dataclass(frozen=True, slots=True)
class RejectedByServer:
    """The server rejected the request and guarantees that it has not run and never will."""

    status: int


@dataclass(frozen=True, slots=True)
class ConnectFailed:
    """No connection could be established: the request was not sent."""


@dataclass(frozen=True, slots=True)
class NotSent:
    """The deadline passed before a connection was established: the request was not sent."""


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """When a connection was ready, the send was no longer allowed: the request was not sent."""


@dataclass(frozen=True, slots=True)
class ConnectionBroken:
    """The connection ended, or received data that is no response to this request: it may have run."""


@dataclass(frozen=True, slots=True)
class Revoked:
    """This sidecar reset the connection, because a new configuration forbids the run: it may have run."""


@dataclass(frozen=True, slots=True)
class DeadlineExceeded:
    """The deadline passed after the request was sent: the server may still be running it."""


SendResult = (
    Answered
    | RejectedByServer
    | ConnectFailed
    | NotSent
    | Withdrawn
    | ConnectionBroken
    | Revoked
    | DeadlineExceeded
)

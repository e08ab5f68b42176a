"""What sending a request to one server came to, each result by what it proves.

The distinction that matters is whether the server may have run the request: one that may have run is sent
again only where its route says that it may run twice.
"""

from __future__ import annotations

from dataclasses import dataclass

import aiohttp


@dataclass(frozen=True, slots=True)
class Answered:
    """The head of the server's answer has come: the server took the request."""

    response: aiohttp.ClientResponse


@dataclass(frozen=True, slots=True)
class RejectedByServer:
    """The server says that it has not run the request and never will."""

    status: int


@dataclass(frozen=True, slots=True)
class ConnectFailed:
    """No connection came up: the request was not sent."""


@dataclass(frozen=True, slots=True)
class NotSent:
    """The deadline passed before a connection came up: the request was not sent."""


@dataclass(frozen=True, slots=True)
class ConnectionBroken:
    """The connection ended, or what came was no answer to this request: it may have run."""


@dataclass(frozen=True, slots=True)
class DeadlineExceeded:
    """The deadline passed after the request was sent: the server may still be running it."""


SendResult = Answered | RejectedByServer | ConnectFailed | NotSent | ConnectionBroken | DeadlineExceeded

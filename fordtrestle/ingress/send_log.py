"""Logs each attempt to send a request to a server, and what became of it there.

An attempt is logged before anything is written to the server, so that the log tells who sent a request where
also if the process is killed meanwhile. The result of an attempt that was simply answered is logged only if
the settings ask for it (`log_sends`).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

import eliot

from fordtrestle.forward.results import (
    Answered,
    ConnectFailed,
    ConnectionBroken,
    DeadlineExceeded,
    NotSent,
    RejectedByServer,
    Revoked,
    SendResult,
    Withdrawn,
)
from fordtrestle.routing.decisions import SendTo
from fordtrestle.routing.outlier_detection import FAILURE_STATUSES

ATTEMPT_EVENT = "request:attempt"  # before an attempt
EVENT = "request:send"  # the result of an attempt
MAX_REQUEST_ID_CHARACTERS = 128  # of a client's request id in an event
MS_PER_S = 1000.0
CANCELLED = "Cancelled"  # the client disconnected, or this sidecar aborted the request


class Proof(StrEnum):
    """What a result proves about the request at that server."""

    RAN = "it has run"
    MAY_HAVE_RUN = "it may have run"
    NOT_RUN = "it has not run"
    NOT_SENT = "it was not sent"


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt to send a request to a server.

    Attributes:
        request_id: The client's request id.
        client: HOST:PORT of the client's connection; empty if it is closed.
        number: Counted from 1 among the attempts of the request in this process.
        after: What the result of the attempt before proves; `None` for the first one.
    """

    request_id: str
    client: str
    number: int
    after: Proof | None


@dataclass(frozen=True, slots=True)
class SentRequest:
    """A send whose end is logged.

    Attributes:
        request_id: The client's request id.
        send: The decision to send the request.
        elapsed_s: The time since the send, in seconds.
        port: This process's port of the connection; `None` if there was none. Two sends of the same id with
            the same port went over the same connection.
    """

    request_id: str
    send: SendTo
    elapsed_s: float
    port: int | None


class SendLog:
    """Writes the events of one sidecar's sends."""

    def __init__(self, logs_all: Callable[[], bool] = lambda: False) -> None:
        """Create a log; `logs_all` returns whether sends that were simply answered are logged too."""
        self._logs_all = logs_all

    def record_attempt(self, attempt: Attempt, send: SendTo) -> None:
        """Log that a request is about to be sent to a server.

        Args:
            attempt: The attempt.
            send: The decision to send the request.
        """
        eliot.log_message(
            ATTEMPT_EVENT,
            request_id=attempt.request_id[:MAX_REQUEST_ID_CHARACTERS],
            client=attempt.client,
            attempt=attempt.number,
            after=attempt.after.value if attempt.after else None,
            route=send.route.name,
            route_type=send.route.route_type.value,
            resumable=send.route.is_resumable,
            max_attempts=send.route.max_attempts,
            generation=send.generation,
            server=send.server.instance,
            address=send.server.record.address,
        )

    def record_result(self, sent: SentRequest, result: SendResult) -> None:
        """Log the result of a send."""
        is_simple = isinstance(result, Answered) and result.response.status not in FAILURE_STATUSES
        if is_simple and not self._logs_all():
            return
        self._write(sent, type(result).__name__, proof_of(result), status_of(result))

    def record_cancelled(self, sent: SentRequest) -> None:
        """Log a send that was cancelled before its result was known."""
        self._write(sent, CANCELLED, Proof.MAY_HAVE_RUN, None)

    def record_incomplete(self, sent: SentRequest, end: str) -> None:
        """Log a response that ended early, after its head was received; `end` says how."""
        self._write(sent, end, Proof.RAN, None)

    @staticmethod
    def _write(sent: SentRequest, result: str, proof: Proof, status: int | None) -> None:
        send = sent.send
        eliot.log_message(
            EVENT,
            request_id=sent.request_id[:MAX_REQUEST_ID_CHARACTERS],
            route=send.route.name,
            route_type=send.route.route_type.value,
            resumable=send.route.is_resumable,
            generation=send.generation,
            server=send.server.instance,
            port=sent.port,
            result=result,
            status=status,
            proves=proof.value,
            took_ms=round(sent.elapsed_s * MS_PER_S),
        )


def proof_of(result: SendResult) -> Proof:
    """Return what a result proves."""
    match result:
        case Answered():
            return Proof.RAN
        case RejectedByServer():
            return Proof.NOT_RUN
        case ConnectFailed() | NotSent() | Withdrawn():
            return Proof.NOT_SENT
        case ConnectionBroken() | Revoked() | DeadlineExceeded():
            return Proof.MAY_HAVE_RUN


def status_of(result: SendResult) -> int | None:
    """Return the status of the server's response; `None` if there is no response."""
    match result:
        case Answered(response):
            return response.status
        case RejectedByServer(status):
            return status
    return None

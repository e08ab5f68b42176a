"""Creates the responses that a sidecar itself sends to clients (PROTOCOL: answers).

503 and 408 guarantee that the request has not run. After 502 and 504 it may have run.
"""

from __future__ import annotations

import random

from aiohttp import web

from fordtrestle.forward.headers import REQUEST_ID
from fordtrestle.ingress.errors import (
    BodyTimeoutError,
    BodyTooLargeError,
    IngressError,
    OverCapacityError,
    ShuttingDownError,
)

# Bounds of `Retry-After` in multiples of the route's latency target. The time is drawn at random between
# them, so that clients that were rejected together do not retry together.
MIN_RETRY_TARGETS, MAX_RETRY_TARGETS = 0.25, 0.75
DEFAULT_TARGET_S = 1.0  # latency target of a request that is rejected before its route is known


def rejected(request_id: str, target_s: float, rng: random.Random, reason: str) -> web.Response:
    """Create a 503 response: the request has not run and never will, and the client may retry.

    Args:
        request_id: The client's request id; empty if it sent none.
        target_s: The latency target of the request's route, in seconds.
        rng: The random source for `Retry-After`.
        reason: The text of the response.
    """
    retry_after_s = target_s * rng.uniform(MIN_RETRY_TARGETS, MAX_RETRY_TARGETS)
    headers = {"Retry-After": f"{retry_after_s:.3f}"}
    return make_response(503, request_id, reason, headers)


def over_capacity(request_id: str, rng: random.Random) -> web.Response:
    """Create a 503 response: the sidecar is at its limits; the request was not fully read and has not run."""
    response = rejected(request_id, DEFAULT_TARGET_S, rng, "no room for more requests")
    response.force_close()
    return response


def shutting_down(request_id: str, rng: random.Random) -> web.Response:
    """Create a 503 response: this sidecar is shutting down; the request has not run."""
    response = rejected(request_id, DEFAULT_TARGET_S, rng, "this sidecar ends")
    response.force_close()
    return response


def rejection_for(error: IngressError, request_id: str, rng: random.Random) -> web.Response:
    """Create the response to a request that is rejected before it is routed.

    Args:
        error: The reason for the rejection.
        request_id: The client's request id; empty if it sent none.
        rng: The random source for `Retry-After`.

    Returns:
        The response.

    Raises:
        IngressError: The error itself, if no response is defined for it.
    """
    match error:
        case ShuttingDownError():
            return shutting_down(request_id, rng)
        case OverCapacityError():
            return over_capacity(request_id, rng)
        case BodyTooLargeError():
            return body_too_large(request_id)
        case BodyTimeoutError():
            return body_timeout(request_id)
    raise error


def unknown_route(request_id: str) -> web.Response:
    """Create a 404 response: the active configuration has no such route."""
    return make_response(404, request_id, "no such route")


def body_too_large(request_id: str) -> web.Response:
    """Create a 413 response: the body exceeds the limit of the configuration."""
    response = make_response(413, request_id, "the body is too large")
    response.force_close()
    return response


def body_timeout(request_id: str) -> web.Response:
    """Create a 408 response: the body was not received in time; the request has not run."""
    response = make_response(408, request_id, "the body did not come in time")
    response.force_close()
    return response


def connection_broken(request_id: str) -> web.Response:
    """Create a 502 response: the server's connection broke; the request may have run."""
    return make_response(502, request_id, "the server broke off")


def deadline_exceeded(request_id: str) -> web.Response:
    """Create a 504 response: the deadline has passed; the request may have run."""
    return make_response(504, request_id, "the time is up")


def make_response(
    status: int, request_id: str, reason: str, headers: dict[str, str] | None = None
) -> web.Response:
    """Create a short text response that contains the request id."""
    response = web.Response(status=status, text=reason + "\n", headers=headers)
    if request_id:
        response.headers[REQUEST_ID] = request_id
    return response

"""Responses of the system's own to clients, and what each promises (PROTOCOL: answers).

503 and 408 promise that the request has not run. After 502 and 504 it may have run.
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

# `Retry-After` in multiples of the route's latency target. It is drawn between the two, so that clients that
# were rejected together do not come back together.
MIN_RETRY_TARGETS, MAX_RETRY_TARGETS = 0.25, 0.75
DEFAULT_TARGET_S = 1.0  # where a request is rejected before its route is known


def rejected(request_id: str, target_s: float, rng: random.Random, reason: str) -> web.Response:
    """503: the request has not run and never will; the client may come back.

    Args:
        request_id: The client's; empty where it named none.
        target_s: The latency target of the request's route.
        rng: Draws the time after which the client may come back.
        reason: The text of the response.
    """
    retry_after_s = target_s * rng.uniform(MIN_RETRY_TARGETS, MAX_RETRY_TARGETS)
    headers = {"Retry-After": f"{retry_after_s:.3f}"}
    return make_response(503, request_id, reason, headers)


def over_capacity(request_id: str, rng: random.Random) -> web.Response:
    """503: this sidecar holds as much as it may; the request was not read to its end and has not run."""
    response = rejected(request_id, DEFAULT_TARGET_S, rng, "no room for more requests")
    response.force_close()
    return response


def shutting_down(request_id: str, rng: random.Random) -> web.Response:
    """503: this sidecar shuts down; the request has not run."""
    response = rejected(request_id, DEFAULT_TARGET_S, rng, "this sidecar ends")
    response.force_close()
    return response


def rejection_for(error: IngressError, request_id: str, rng: random.Random) -> web.Response:
    """The response to a request that is rejected before it is routed.

    Args:
        error: Why it is rejected.
        request_id: The client's; empty where it named none.
        rng: Draws the time after which the client may come back.

    Raises:
        IngressError: The error itself, where there is no response to it.
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
    """404: the configuration in force has no such route."""
    return make_response(404, request_id, "no such route")


def body_too_large(request_id: str) -> web.Response:
    """413: the body is larger than the configuration allows."""
    response = make_response(413, request_id, "the body is too large")
    response.force_close()
    return response


def body_timeout(request_id: str) -> web.Response:
    """408: the body did not come in time; the request has not run."""
    response = make_response(408, request_id, "the body did not come in time")
    response.force_close()
    return response


def connection_broken(request_id: str) -> web.Response:
    """502: the server's connection broke; the request may have run."""
    return make_response(502, request_id, "the server broke off")


def deadline_exceeded(request_id: str) -> web.Response:
    """504: the deadline has passed; the request may have run."""
    return make_response(504, request_id, "the time is up")


def make_response(
    status: int, request_id: str, reason: str, headers: dict[str, str] | None = None
) -> web.Response:
    """A short text response that names its request."""
    response = web.Response(status=status, text=reason + "\n", headers=headers)
    if request_id:
        response.headers[REQUEST_ID] = request_id
    return response

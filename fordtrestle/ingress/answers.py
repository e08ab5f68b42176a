"""Answers of the system's own to clients, and what each promises (PROTOCOL: answers)."""

from __future__ import annotations

import random

from aiohttp import web

RETRY_LEAST, RETRY_MOST = 0.25, 0.75  # of the objective, so that refused clients do not come back together
REQUEST_ID = "X-Request-Id"


def refused(request_id: str, target_s: float, rng: random.Random, reason: str) -> web.Response:
    """The request has not run and never will: the client may come back."""
    wait = target_s * rng.uniform(RETRY_LEAST, RETRY_MOST)
    headers = {"Retry-After": f"{wait:.3f}"}
    return answer(503, request_id, reason, headers)


def no_room(request_id: str, rng: random.Random) -> web.Response:
    """This sidecar holds as much as it may; the request was not read whole and has not run."""
    response = refused(request_id, 1.0, rng, "no room for more requests")
    response.force_close()
    return response


def ending(request_id: str, rng: random.Random) -> web.Response:
    """This sidecar ends; the request has not run."""
    response = refused(request_id, 1.0, rng, "this sidecar ends")
    response.force_close()
    return response


def unknown_route(request_id: str) -> web.Response:
    """No configuration in force has such a route."""
    return answer(404, request_id, "no such route")


def too_large(request_id: str) -> web.Response:
    """The body is larger than the configuration allows."""
    response = answer(413, request_id, "the body is too large")
    response.force_close()
    return response


def body_late(request_id: str) -> web.Response:
    """The body did not come in time; the request has not run."""
    response = answer(408, request_id, "the body did not come in time")
    response.force_close()
    return response


def broken(request_id: str) -> web.Response:
    """The server broke off: the request may have run."""
    return answer(502, request_id, "the server broke off")


def overdue(request_id: str) -> web.Response:
    """The time is up: the request may have run."""
    return answer(504, request_id, "the time is up")


def answer(status: int, request_id: str, reason: str, headers: dict[str, str] | None = None) -> web.Response:
    """A short answer that names its request."""
    response = web.Response(status=status, text=reason + "\n", headers=headers)
    if request_id:
        response.headers[REQUEST_ID] = request_id
    return response

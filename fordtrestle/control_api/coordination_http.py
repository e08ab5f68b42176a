"""The HTTP API for locks, numbers, keys and watches, which every control process serves.

Paths, statuses and bodies are part of the protocol and must not change. 409, 412, 429 and 503 guarantee that
the call was not executed and never will be; 504 leaves that open.
"""

from __future__ import annotations

from functools import partial
from typing import Any

from aiohttp import web
from returns.result import Failure, Result, Success

from fordtrestle.control_api.callers import deadline_of, is_connected
from fordtrestle.control_api.configuration import ValidationErrors
from fordtrestle.control_api.coordination_router import CallCommand
from fordtrestle.control_api.coordination_schema import (
    MAX_BODY_BYTES,
    check_name,
    read_lock_command,
    read_number_command,
    read_put_command,
    read_watch_query,
)
from fordtrestle.control_api.responses import RETRY_AFTER_S, read_body, reply
from fordtrestle.control_api.watches import WatchAnswer, WatchService
from fordtrestle.coordination.answers import (
    Answer,
    KeyFound,
    KeyMissing,
    KeyWritten,
    LockGranted,
    LockReleased,
    LockRenewed,
    LockUnavailable,
    NumberIssued,
    Overloaded,
    RevisionMismatch,
    Unavailable,
)
from fordtrestle.coordination.commands import Command, GetKey
from fordtrestle.coordination.history import Compacted, WatchEvents
from fordtrestle.coordination.state import KeyEvent


class CoordinationApi:
    """Translates HTTP requests into commands and watches, and their answers into responses."""

    def __init__(self, call: CallCommand, watches: WatchService) -> None:
        """Create an API over these services.

        Args:
            call: Has the primary execute a command.
            watches: Answers watches.
        """
        self._call = call
        self._watches = watches

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of this API."""
        return [
            web.post("/v1/locks/{name}/{step:start|heartbeat|finish}", self._lock),
            web.post("/v1/numbers/{name}", self._number),
            web.post("/v1/cells/{key}/put", self._put),
            web.get("/v1/cells/{key}/get", self._get),
            web.get("/v1/watch/{group}", self._watch),
        ]

    async def _lock(self, request: web.Request) -> web.StreamResponse:
        name, step = request.match_info["name"], request.match_info["step"]
        return await self._execute(request, read_lock_command(name, step, await _read_body(request)))

    async def _number(self, request: web.Request) -> web.StreamResponse:
        name = request.match_info["name"]
        return await self._execute(request, read_number_command(name, await _read_body(request)))

    async def _put(self, request: web.Request) -> web.StreamResponse:
        return await self._execute(
            request, read_put_command(request.match_info["key"], await _read_body(request))
        )

    async def _get(self, request: web.Request) -> web.StreamResponse:
        command: Result[Command, ValidationErrors] = check_name(request.match_info["key"]).map(GetKey)
        return await self._execute(request, command)

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        group = request.match_info["group"]
        match read_watch_query(group, request.query):
            case Success(query):
                return _to_watch_response(await self._watches.watch(group, query.after, query.wait_s))
            case Failure(invalid):
                return reply(400, *invalid.errors)
        raise AssertionError("a result is a success or a failure")

    async def _execute(
        self, request: web.Request, command: Result[Command, ValidationErrors]
    ) -> web.StreamResponse:
        match command:
            case Success(valid):
                answer = await self._call(valid, deadline_of(request), partial(is_connected, request))
                return _to_response(answer)
            case Failure(invalid):
                return reply(400, *invalid.errors)
        raise AssertionError("a result is a success or a failure")


async def _read_body(request: web.Request) -> bytes:
    """Read the body of a request.

    Raises:
        TimeoutError: The body did not arrive in time.
        aiohttp.web.HTTPRequestEntityTooLarge: The body is longer than `MAX_BODY_BYTES`.
    """
    length = request.content_length or 0
    body = await read_body(request) if length <= MAX_BODY_BYTES else b""
    if max(length, len(body)) > MAX_BODY_BYTES:
        raise web.HTTPRequestEntityTooLarge(MAX_BODY_BYTES, max(length, len(body)))
    return body


def _to_response(answer: Answer) -> web.Response:
    match answer:
        case LockGranted(fence):
            return web.json_response({"fence": fence})
        case LockRenewed() | LockReleased():
            return web.json_response({})
        case LockUnavailable():
            return reply(409, "the lock is not held by this holder")
        case NumberIssued(value):
            return web.json_response({"value": value})
        case KeyWritten(revision):
            return web.json_response({"revision": revision})
        case RevisionMismatch(revision):
            return web.json_response({"revision": revision}, status=412)
        case KeyFound(value, revision):
            return web.json_response({"value": value, "revision": revision})
        case KeyMissing():
            return reply(404, "no such key")
    return _undecided_response(answer)


def _undecided_response(answer: object) -> web.Response:
    """Return the response to an undecided call; its status tells whether the call may still be executed."""
    retry_after = str(RETRY_AFTER_S)
    match answer:
        case Overloaded():
            return reply(429, "too much is stored or under way", Retry_After=retry_after)
        case Unavailable():
            return reply(503, "not carried out: send it again", Retry_After=retry_after)
    return reply(504, "no decision in time: send it again", Retry_After=retry_after)


def _to_watch_response(answer: WatchAnswer) -> web.Response:
    match answer:
        case WatchEvents(events, revision):
            return web.json_response({"events": [_to_json(event) for event in events], "revision": revision})
        case Compacted():
            return reply(410, "the events after that revision are forgotten")
    return _undecided_response(answer)


def _to_json(event: KeyEvent) -> dict[str, Any]:
    return {"name": event.key, "value": event.value, "revision": event.revision}

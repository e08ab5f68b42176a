"""Calls without a route are answered 404, counted, and logged once per part of the API."""

from __future__ import annotations

import asyncio

import eliot
from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer

from fordtrestle.control_api.unrouted_calls import MAX_LOGGED_PATHS, UnroutedCalls


async def handle(_):
    return web.Response()


def send_calls(*paths):
    """Send calls and return their count without a route, their statuses and the logged paths."""
    calls, logged = UnroutedCalls(), []

    async def run():
        application = web.Application(middlewares=[calls.middleware])
        application.add_routes([web.get("/v1/known", handle)])
        async with TestClient(TestServer(application)) as client:
            return [(await client.get(path)).status for path in paths]

    eliot.add_destinations(logged.append)  # receives at once the messages buffered so far
    before = len(logged)
    try:
        statuses = asyncio.run(run())
    finally:
        eliot.remove_destination(logged.append)
    new_messages = logged[before:]
    return (
        calls.count,
        statuses,
        [row["path"] for row in new_messages if row["message_type"] == "control:no-route"],
    )


def test_calls_without_a_route_are_counted_and_logged_once():
    count, statuses, logged = send_calls("/v1/later/a/start", "/v1/known", "/v1/later/b/finish", "/")
    assert (count, statuses) == (3, [404, 200, 404, 404])
    assert logged == ["/v1/later", "/"]


def test_the_number_of_logged_paths_is_bounded():
    count, _, logged = send_calls(*(f"/v1/{number}" for number in range(MAX_LOGGED_PATHS + 5)))
    assert (count, len(logged)) == (MAX_LOGGED_PATHS + 5, MAX_LOGGED_PATHS)

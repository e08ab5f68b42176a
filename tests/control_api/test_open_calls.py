"""A control process that shuts down answers the calls in flight and rejects new ones.

A call for a lock waits for replicas in other regions, for longer than the tenth of a second in which an
endpoint closes. Without the wait for open calls, the soak test saw callers without an answer and an exception
of aiohttp in the log (`InvalidStateError` in `web_protocol.py`): a handler ended just as its connection was
closed.
"""

from __future__ import annotations

import asyncio

import aiohttp
from aiohttp import web

from fordtrestle.control_api.open_calls import OpenCalls
from tests.exchanges import loopback, serve, until


@loopback
async def test_calls_in_flight_are_answered_before_the_endpoint_closes_and_new_ones_are_rejected():
    calls, may_finish, has_started = OpenCalls(), asyncio.Event(), asyncio.Event()

    async def wait(_):
        has_started.set()
        await may_finish.wait()
        return web.Response(text="done")

    application = web.Application(middlewares=[calls.middleware])
    application.add_routes([web.get("/", wait)])
    runner, port = await serve(application)

    async def send_call():
        async with aiohttp.ClientSession() as session, session.get(f"http://127.0.0.1:{port}/") as answer:
            return answer.status

    first = asyncio.create_task(send_call())
    await has_started.wait()
    closing = asyncio.create_task(calls.close())
    await asyncio.sleep(0.05)
    assert not closing.done()
    assert await send_call() == 503
    may_finish.set()
    await until(closing.done)
    await runner.cleanup()
    assert await first == 200


@loopback
async def test_closing_without_calls_in_flight_returns_at_once():
    await asyncio.wait_for(OpenCalls().close(), 0.1)

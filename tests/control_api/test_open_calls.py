"""A control process that ends answers the calls that it has taken, and takes no others.

A call for a lock waits for replicas in other regions, longer than the tenth of a second that an endpoint
takes to close. The soak found what came of that: the caller got no answer, and the log an exception of
aiohttp (`InvalidStateError` in `web_protocol.py`), as the handler ended just when it was cut.
"""

from __future__ import annotations

import asyncio

import aiohttp
from aiohttp import web

from fordtrestle.control_api.open_calls import OpenCalls
from tests.exchanges import loopback, serve, until


@loopback
async def test_open_calls_are_answered_before_the_endpoint_is_closed_and_new_ones_are_refused():
    calls, may_end, begun = OpenCalls(), asyncio.Event(), asyncio.Event()

    async def wait(_):
        begun.set()
        await may_end.wait()
        return web.Response(text="done")

    application = web.Application(middlewares=[calls.middleware])
    application.add_routes([web.get("/", wait)])
    runner, port = await serve(application)

    async def ask():
        async with aiohttp.ClientSession() as session, session.get(f"http://127.0.0.1:{port}/") as answer:
            return answer.status

    first = asyncio.create_task(ask())
    await begun.wait()
    closing = asyncio.create_task(calls.close())
    await asyncio.sleep(0.05)
    assert not closing.done()
    assert await ask() == 503
    may_end.set()
    await until(closing.done)
    await runner.cleanup()
    assert await first == 200


@loopback
async def test_without_open_calls_there_is_nothing_to_wait_for():
    await asyncio.wait_for(OpenCalls().close(), 0.1)

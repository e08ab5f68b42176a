"""How a front ends: what its clients hold open when it closes, and how long that takes."""

from __future__ import annotations

import asyncio

from tests.exchanges import Client, loopback, request
from tests.ingress.stage import Stage, StandIn, ok, route

CLOSING_S = 1.0  # more than any step of it has


@loopback
async def test_a_connection_that_rests_does_not_hold_up_the_end():
    async with StandIn(ok("q1")) as server, Stage(route()) as stage, Client(stage.port) as client:
        stage.add(server)
        await client.exchange(request("POST", "/a/x", "hello", X_Request_Id="q1"))
        async with asyncio.timeout(CLOSING_S):
            await stage.front.close()

"""The budget that an attempt sends to its server never exceeds the time left to the client."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from fordtrestle.balancer.model import Cancel, Send, Timer
from tests import loopback as partners
from tests.loopback import OK, App, Scripted, Upstream, read_message, running
from tests.virtual import virtual

LIMITS = {**partners.SETTINGS["PolicyLimits"], "ConnectTimeout": 10_000.0, "MaxAttempts": 4}
BUDGET_S = 3.0
TURN_S = 0.001  # the step of the virtual clock, which stands still while there is work to do


class BudgetRecorder(Upstream):
    """A server that records when each request arrived and its budget, and answers late."""

    def __init__(self, after_s=0.4, reply=b""):
        super().__init__()
        self.after_s, self.reply = after_s, reply
        self.received = []

    async def _serve(self, reader, writer):
        self.writers.append(writer)
        loop = asyncio.get_running_loop()
        with contextlib.suppress(ConnectionError):
            while (message := await read_message(reader)) is not None:
                self.received.append((loop.time(), int(message.headers["x-budget"].removesuffix("u")) / 1e6))
                await asyncio.sleep(self.after_s)
                if not self.reply:
                    break
                writer.write(self.reply)
        writer.transport.abort()


def next_server(now, number, hop, status, spent, last, report):
    return [] if last else [Send(number, f"s{hop + 1}", 0.0)]


def second_copy(now, token):
    return [Send(int(token), "s1", 0.0)]


def other_copy(now, token):
    return [Cancel(int(token), 0)]


SCRIPTS = {
    "after a reset": {"outcome": next_server},
    "after a time-out": {
        "request": lambda now, arrival: [Send(arrival.request, "s0", 300.0)],
        "outcome": next_server,
    },
    "beside another": {
        "request": lambda now, arrival: [
            Send(arrival.request, "s0", 0.0),
            Timer(300.0, str(arrival.request)),
        ],
        "timer": second_copy,
    },
    "after one that was cancelled": {
        "request": lambda now, arrival: [
            Send(arrival.request, "s0", 0.0),
            Timer(300.0, str(arrival.request)),
        ],
        "timer": other_copy,
        "outcome": next_server,
    },
    "after a wait": {
        "request": lambda now, arrival: [Timer(700.0, str(arrival.request))],
        "timer": second_copy,
    },
}


async def ask(sidecar, sent):
    app = await App.connect(sidecar.address)
    sent.append(asyncio.get_running_loop().time())
    answer = await app.ask(X_Budget=f"{BUDGET_S * 1000.0:.0f}m")
    app.close()
    return answer


@pytest.mark.parametrize("kept", [False, True], ids=["new connections", "kept connections"])
@pytest.mark.parametrize("what", SCRIPTS)
@virtual
async def test_no_attempt_sends_a_budget_above_the_time_left(what, kept):
    servers = [await BudgetRecorder(0.0 if kept else 0.4, OK if kept else b"").start() for _ in range(3)]
    servers.append(await BudgetRecorder(0.0, OK).start())
    module = Scripted(**SCRIPTS[what])
    async with running(*servers, balancer=module, PolicyLimits=LIMITS) as sidecar:
        if kept:  # open an idle connection to each server
            plain = dict(module.scripts)
            for number in range(3):
                module.scripts = {"request": lambda now, a, n=number: [Send(a.request, f"s{n}", 0.0)]}
                await ask(sidecar, [])
            await asyncio.sleep(0.1)
            module.scripts = plain
            for server in servers[:3]:
                server.received.clear()
                server.after_s, server.reply = 0.4, b""
        sent: list[float] = []
        await ask(sidecar, sent)
        received = [row for server in servers for row in server.received]
        assert len(received) >= (1 if what == "after a wait" else 2)
        for at, left in received:
            assert 0.0 < left <= BUDGET_S - (at - sent[0]) + TURN_S


@virtual
async def test_an_attempt_with_a_slow_connect_sends_the_time_left_when_it_starts():
    server, module, loop = await BudgetRecorder(0.0, OK).start(), Scripted(), asyncio.get_running_loop()
    async with running(server, balancer=module, PolicyLimits=LIMITS) as sidecar:
        app = await App.connect(sidecar.address)
        dial = loop.create_connection

        async def late(*args):
            await asyncio.sleep(0.9)
            return await dial(*args)

        loop.create_connection = late
        sent = loop.time()
        answer = await app.ask(X_Budget=f"{BUDGET_S * 1000.0:.0f}m")
        assert answer.body == b"done"
        ((at, left),) = server.received
        assert at - sent >= 0.9 - TURN_S
        assert 0.0 < left <= BUDGET_S - (at - sent) + TURN_S
        app.close()

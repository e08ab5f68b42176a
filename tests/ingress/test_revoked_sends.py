"""Second runs that were sent and have no response when a new configuration forbids them.

Their server may stand still, or keep them in its queue, and begin them long after the change.
"""

from __future__ import annotations

import pytest

from tests.exchanges import Client, loopback, until
from tests.ingress.stage import FakeServer, IngressHarness, IngressLimits, ok, route
from tests.ingress.test_late_sends import BROKEN_STREAM, HeldServer, make_call, second_run
from tests.ingress.test_send_log import events  # noqa: F401  (a fixture)

SAFE = route(route_type="safe", max_attempts=2)
STREAM = route(route_type="streaming", resumable=True, max_attempts=2)
LARGE = "x" * 3_000_000  # more than the buffers of a connection hold
LARGE_LIMITS = IngressLimits(max_requests=100, max_body_bytes=100_000_000)
FORBIDDING = {
    "unsafe": route(route_type="unsafe", max_attempts=2),
    "one attempt": route(route_type="safe", max_attempts=1),
}


@pytest.mark.parametrize("forbidding", FORBIDDING.values(), ids=FORBIDDING)
@loopback
async def test_a_second_run_that_its_server_has_not_answered_is_reset_when_its_route_forbids_it(
    forbidding,
    events,  # noqa: F811
):
    """Incident TWICE: a frozen server began such a run 3 s after the configuration that forbids it."""
    second = HeldServer(ok())
    async with second_run(None, second, SAFE) as (harness, client):
        await until(lambda: second.requests)
        harness.configure(forbidding)
        reply = await client.answer()
        second.released.set()
        await until(lambda: second.ended_connections)
    assert len(second.requests) == 1
    assert reply.startswith("HTTP/1.1 502")
    assert [(event["result"], event["proves"]) for event in events] == [
        ("ConnectionBroken", "it may have run"),
        ("Revoked", "it may have run"),
    ]


@loopback
async def test_a_continuation_that_its_server_has_not_answered_is_reset_when_its_route_forbids_it(
    events,  # noqa: F811
):
    second = HeldServer(ok())
    async with second_run(BROKEN_STREAM, second, STREAM) as (harness, client):
        await until(lambda: second.requests)
        harness.configure(route(route_type="streaming", max_attempts=2))
        reply = await client.answer()
        second.released.set()
    assert reply.endswith("(the connection ends)")
    assert [event["result"] for event in events] == ["BROKEN", "Revoked"]


class UnreadServer(FakeServer):
    """A server that reads the head of a request, and the rest only once it is released."""

    def __init__(self):
        super().__init__(ok())
        self.has_begun, self.is_released = False, False

    async def _answer_all(self, reader, writer):
        await reader.readexactly(1)
        self.has_begun = True
        await until(lambda: self.is_released)
        await super()._answer_all(reader, writer)


@loopback
async def test_a_server_does_not_get_the_rest_of_a_second_run_that_is_forbidden(
    events,  # noqa: F811
):
    second = UnreadServer()
    async with second_run(None, second, SAFE, body=LARGE, limits=LARGE_LIMITS) as (harness, client):
        await until(lambda: second.has_begun)
        harness.configure(FORBIDDING["unsafe"])
        reply = await client.answer()
        second.is_released = True
        await until(lambda: second.ended_connections)
    assert second.requests == []
    assert reply.startswith("HTTP/1.1 502")
    assert [event["result"] for event in events] == ["ConnectionBroken", "Revoked"]


@pytest.mark.parametrize(
    "changed",
    [
        pytest.param([route(route_type="safe", max_attempts=3)], id="its route"),
        pytest.param([SAFE, route("r-2", "/b/")], id="other routes"),
    ],
)
@loopback
async def test_a_second_run_that_stays_allowed_is_answered(changed):
    second = HeldServer(ok())
    async with second_run(None, second, SAFE) as (harness, client):
        await until(lambda: second.requests)
        harness.configure(*changed)
        second.released.set()
        reply = await client.answer()
    assert reply.startswith("HTTP/1.1 200")


@loopback
async def test_a_first_run_is_answered_after_its_route_became_unsafe():
    async with (
        HeldServer(ok()) as server,
        IngressHarness(SAFE) as harness,
        Client(harness.port) as client,
    ):
        harness.add(server)
        await client.send(make_call())
        await until(lambda: server.requests)
        harness.configure(FORBIDDING["unsafe"])
        server.released.set()
        reply = await client.answer()
    assert reply.startswith("HTTP/1.1 200")


class HalfServer(FakeServer):
    """A server that sends the last byte of a response once it is released."""

    def __init__(self):
        super().__init__(None)
        self.is_released = False

    async def _answer_all(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(ok()[:-1])
        await until(lambda: self.is_released)
        writer.write(ok()[-1:])


@loopback
async def test_a_second_run_whose_response_has_begun_is_answered():
    """It has run: a reset would only take the response from the client."""
    second = HalfServer()
    async with second_run(None, second, SAFE) as (harness, client):
        await until(lambda: any(attempts.runs == 2 for attempts in harness.router._open_requests))
        harness.configure(FORBIDDING["unsafe"])
        second.is_released = True
        reply = await client.answer()
    assert reply.startswith("HTTP/1.1 200")
    assert reply.endswith("done")

"""Server responses that never end, trickle, or are delimited only by the end of the connection."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

import pytest

from fordtrestle.balancer.model import Outcome, Send
from fordtrestle.proxy.http import wire
from fordtrestle.proxy.http.errors import RemoteProtocolError
from tests.loopback import OK, App, Scripted, Upstream, running, until
from tests.proxy.http.test_upstream import CHUNKED, fail_unless_last
from tests.virtual import virtual

BARE = b"HTTP/1.1 200 OK\r\n"


@pytest.mark.parametrize(
    ("start", "more"),
    [
        (CHUNKED + b"4\r\ndone\r\n0\r\nX-A: ", b"x" * 4096),
        (CHUNKED + b"4\r\ndone\r\n0\r\n", b"x" * 4096),
        (CHUNKED + b"4\r\ndone\r\n0\r\n", b"X-A: b\r\n" * 512),
        (CHUNKED + b"4;a=", b"x" * 4096),
        (CHUNKED, b"0" * 4096),
        (CHUNKED, b"1\r\nx\r\n" * 512),
        (BARE + b"X-A: ", b"x" * 4096),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
        (BARE + b"Transfer-Encoding: gzip\r\n\r\n", b"x" * 4096),
    ],
)
def test_each_endless_part_of_a_response_is_bounded(start, more):
    """Guards against unbounded memory and CPU time while an attempt is in flight."""
    parser = wire.ResponseParser()
    fed = []

    def feed_on():
        parser.feed(start)
        while sum(fed) < 2 * wire.MAX_FRAMED_BYTES:
            parser.feed(more)
            fed.append(len(more))

    with pytest.raises(RemoteProtocolError):
        feed_on()
    assert sum(fed) <= wire.MAX_FRAMED_BYTES


def test_a_body_in_chunks_of_one_byte_is_complete():
    parser = wire.ResponseParser()
    parser.feed(CHUNKED)
    for _ in range(wire.MAX_BODY_BYTES // 1024):
        parser.feed(b"1\r\nx\r\n" * 1024)
    parser.feed(b"0\r\n\r\n")
    assert parser.is_complete
    assert parser.body == b"x" * wire.MAX_BODY_BYTES


@virtual
async def test_an_endless_trailer_fails_its_attempt_and_closes_its_connection():
    async def endless(reader, writer):
        writer.write(CHUNKED + b"4\r\ndone\r\n0\r\nX-A: ")
        with contextlib.suppress(ConnectionError):
            while not writer.is_closing():
                writer.write(b"x" * 4096)
                await writer.drain()
        closed.set()

    closed = asyncio.Event()
    upstream = await Upstream([endless]).start()
    module = Scripted(outcome=fail_unless_last)
    async with running(upstream, balancer=module) as sidecar:
        app = await App.connect(sidecar.address)
        assert (await app.ask(X_Budget="3600000m")).start.split(" ")[1] == "502"
        assert module.outcomes() == [(0, Outcome.ERROR, False)]
        await closed.wait()


@virtual
async def test_a_trickling_answer_ends_with_the_time_out_of_its_attempt():
    async def trickling(reader, writer):
        writer.write(BARE + b"Content-Length: 60000\r\n\r\n")
        with contextlib.suppress(ConnectionError):
            while not writer.is_closing():
                writer.write(b"x")
                await asyncio.sleep(0.01)

    upstream = await Upstream([trickling]).start()
    module = Scripted(
        request=lambda now, arrival: [Send(arrival.request, "s0", 300.0)], outcome=fail_unless_last
    )
    async with running(upstream, balancer=module) as sidecar:
        app = await App.connect(sidecar.address)
        assert (await app.ask(X_Budget="3600000m")).start.split(" ")[1] == "502"
        assert module.outcomes()[0][1] in (Outcome.TIMEOUT, Outcome.CANCELLED)  # the latter after a stall
        await until(lambda: upstream.writers[0].is_closing() and not sidecar.pool._connections)


@pytest.mark.parametrize("ends", ["whole", "reset"])
@pytest.mark.parametrize(
    "answer",
    [
        BARE + b"\r\ndone",
        BARE + b"Connection: close\r\n\r\ndone",
        b"HTTP/1.0 200 OK\r\n\r\ndone",
        BARE + b"Transfer-Encoding: gzip\r\n\r\ndone",
        CHUNKED + b"4\r\ndone\r\n",
        CHUNKED + b"4\r\ndone\r\n0\r\n",
        BARE + b"Content-Length: 5\r\n\r\ndone",
    ],
)
@virtual
async def test_a_response_delimited_only_by_the_connection_end_is_never_served(answer, ends):
    """The end may be a reset, so the response may be truncated; the request may have run: no retry."""

    async def then_end(reader, writer):
        writer.write(answer)
        await asyncio.sleep(0)
        if ends == "reset":
            await until(lambda: begun() or module.outcomes())  # a reset discards unread bytes
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

    def begun():
        return any(connection._parser.status for connection in sidecar.pool._connections)

    upstreams = [await Upstream([then_end]).start() for _ in range(2)]
    module = Scripted(outcome=fail_unless_last)
    async with running(*upstreams, balancer=module) as sidecar:
        app = await App.connect(sidecar.address)
        reply = await app.ask("POST", "/pay", b"now")
        assert reply.start.split(" ")[1] == "502"
        assert reply.body == b""
        assert module.outcomes()[0][1] in (Outcome.ERROR, Outcome.RESET)


@pytest.mark.parametrize("ends", ["whole", "reset"])
@virtual
async def test_an_unsafe_request_with_a_truncated_answer_fails_and_is_not_retried(ends):
    async def cut(reader, writer):
        writer.write(BARE + b"Content-Length: 5\r\n\r\ndone")
        if ends == "reset":
            writer.transport.abort()

    upstreams = [await Upstream([cut]).start() for _ in range(3)]
    async with running(*upstreams) as sidecar:
        reply = await (await App.connect(sidecar.address)).ask("POST", "/pay", b"now")
        assert reply.start.split(" ")[1] == "502"
        assert sum(len(upstream.seen) for upstream in upstreams) == 1


@virtual
async def test_noise_after_an_answer_only_closes_its_connection():
    async def noisy(reader, writer):
        writer.write(OK + b"HTTP/1.1 200 OK\r\nX-A: " + b"x" * 200_000)
        return None

    upstream = await Upstream([noisy, OK]).start()
    async with running(upstream, balancer=Scripted()) as sidecar:
        app = await App.connect(sidecar.address)
        assert (await app.ask()).body == b"done"
        assert (await app.ask()).body == b"done"
        assert [seen.connection for seen in upstream.seen] == [0, 1]
        await until(lambda: len(sidecar.pool._connections) == 1)

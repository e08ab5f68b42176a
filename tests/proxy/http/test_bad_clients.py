"""Misbehaving clients beside a good one: they are ended in time, release everything and forward nothing late.

When a client leaves is compared with what the server received in the same loop and by its events, so no
result depends on the speed of the machine.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

import pytest

from fordtrestle.proxy.http import client_connection, client_stream
from tests.loopback import App, Upstream, read_message, request, running, until
from tests.virtual import virtual

GONE_S = 0.3  # the time after a client leaves in which its request may still be forwarded
CLIENTS = 20  # of one kind at the same time
GOOD, BAD = "acme", "globex"


class Echo(Upstream):
    """A server that answers with the call id, for bad clients only once the test allows it."""

    def __init__(self):
        super().__init__()
        self.open = asyncio.Event()
        self.open.set()

    async def _serve(self, reader, writer):
        self.writers.append(writer)
        with contextlib.suppress(ConnectionError):
            while (message := await read_message(reader)) is not None:
                self.seen.append(message)
                name = message.headers["x-call-id"]
                if not name.startswith("good"):
                    await self.open.wait()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(name), name.encode()))
        writer.close()

    def of_bad_clients(self):
        """Return the call ids that were forwarded for clients other than the good one."""
        names = [message.headers["x-call-id"] for message in self.seen]
        return [name for name in names if not name.startswith("good")]


@contextlib.asynccontextmanager
async def beside_a_good_client(address):
    """Run a good client that sends requests one after the other and checks each answer."""
    over = asyncio.Event()

    async def ask_on():
        app = await App.connect(address)
        turn = 0
        while not over.is_set() or turn < 10:
            name = f"good-{turn}"
            answer = await app.ask(X_Call_Id=name, X_Caller=GOOD)
            assert answer is not None
            assert answer.start.startswith("HTTP/1.1 200 ")
            assert answer.body == name.encode()
            turn += 1
            await asyncio.sleep(0.02)
        app.close()

    asking = asyncio.create_task(ask_on())
    try:
        yield
    finally:
        over.set()
        await asking


@contextlib.asynccontextmanager
async def everything_released(upstream, **changes):
    """Run a sidecar with a good client, and check that the other clients release everything."""
    raised = []
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: raised.append(context))
    async with running(upstream, **changes) as sidecar:
        # Servers and clients load this core as well, which would count as overload of the sidecar.
        sidecar.front.wake = sidecar.front.lag.wake
        async with beside_a_good_client(sidecar.address):
            yield sidecar
            await until(lambda: len(sidecar.front.table) <= 1)
        await until(lambda: not len(sidecar.front.table) and sidecar.driver.is_idle)
        await until(lambda: not sidecar.front.intake.open_call_ids)
    await until(lambda: not sidecar.limits.unreleased())
    assert [
        context for context in raised if "exception" in context and "StreamReader" not in str(context)
    ] == []


def leave(writer, how):
    """End a connection by a close, by shutting down writing, or by a reset."""
    if how == "end":
        writer.write_eof()
        return
    if how == "reset":
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def calls(name, count, target="/look", **headers):
    """Return complete requests with distinct call ids."""
    method = "GET" if target == "/look" else "POST"
    body = b"" if method == "GET" else b"x" * 100
    return [
        request(method, target, body, X_Call_Id=f"{name}-{turn}", X_Caller=BAD, **headers)
        for turn in range(count)
    ]


HEAD = calls("half", 1, "/pay")[0].partition(b"\r\n\r\n")[0]
CHUNKED = request("POST", "/pay", X_Call_Id="chunked", Content_Length=None, Transfer_Encoding="chunked")


async def half_a_head(writer, number):
    writer.write(HEAD[: 20 + number])


async def a_head_that_trickles(writer, number):
    for byte in HEAD * 20:
        writer.write(bytes([byte]))
        await asyncio.sleep(0.005)


async def a_head_without_end(writer, number):
    writer.write(HEAD)
    while True:
        writer.write(b"\r\nX-Pad: " + b"p" * 1000)
        await writer.drain()


async def a_target_without_end(writer, number):
    writer.write(b"GET /look")
    while True:
        writer.write(b"a" * 1000)
        await writer.drain()


async def a_body_that_trickles(writer, number):
    writer.write(b"%b\r\nX-Other: %d\r\n\r\n" % (HEAD, number))
    while True:
        writer.write(b"x")
        await asyncio.sleep(0.005)


async def chunks_that_trickle(writer, number):
    writer.write(CHUNKED.replace(b"chunked-", b""))
    while True:
        writer.write(b"1\r\nx\r\n")
        await asyncio.sleep(0.005)


async def chunks_without_end(writer, number):
    writer.write(CHUNKED)
    while True:
        writer.write(b"400\r\n" + b"x" * 1024 + b"\r\n")
        await writer.drain()


async def an_extension_without_end(writer, number):
    writer.write(CHUNKED + b"1;")
    while True:
        writer.write(b"e" * 1000)
        await writer.drain()


async def trailers_without_end(writer, number):
    writer.write(CHUNKED + b"1\r\nx\r\n0\r\n")
    while True:
        writer.write(b"X-Trailer: " + b"t" * 1000 + b"\r\n")
        await writer.drain()


async def an_expectation_and_no_more(writer, number):
    writer.write(
        request("POST", "/pay", X_Call_Id=f"expects-{number}", Content_Length="4", Expect="100-continue")
    )


INCOMPLETE_REQUESTS = (
    half_a_head,
    a_head_that_trickles,
    a_head_without_end,
    a_target_without_end,
    a_body_that_trickles,
    chunks_that_trickle,
    chunks_without_end,
    an_extension_without_end,
    trailers_without_end,
    an_expectation_and_no_more,
)


@pytest.mark.parametrize("send", INCOMPLETE_REQUESTS, ids=lambda send: send.__name__)
@virtual
async def test_a_flood_of_incomplete_requests_ends_soon_and_forwards_nothing(send, monkeypatch):
    """Each client sends for as long as it can and is disconnected by the sidecar."""
    monkeypatch.setattr(client_connection, "REQUEST_TIMEOUT_S", 0.3)
    monkeypatch.setattr(client_stream, "LINGER_TIMEOUT_S", 0.2)
    upstream = await Echo().start()

    async def bad(address, number):
        reader, writer = await asyncio.open_connection(*address)
        sending = asyncio.create_task(send(writer, number))
        with contextlib.suppress(ConnectionError):
            while await reader.read(65536):
                pass
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        writer.transport.abort()

    async with everything_released(upstream) as sidecar:
        await asyncio.gather(*(bad(sidecar.address, number) for number in range(CLIENTS)))
    assert upstream.of_bad_clients() == []


@pytest.mark.parametrize("how", ["close", "reset"])
@virtual
async def test_a_request_whose_client_leaves_at_once_is_at_most_one_attempt(how):
    upstream = await Echo().start()
    upstream.open.clear()
    async with everything_released(upstream) as sidecar:
        for number in range(CLIENTS):
            sock = socket.create_connection(sidecar.address)
            sock.sendall(calls(f"gone-{number}", 1, "/pay")[0])
            if how == "reset":
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock.close()
        await asyncio.sleep(GONE_S)
        in_time = upstream.of_bad_clients()
        upstream.open.set()
        for _ in range(20):
            await asyncio.sleep(0.02)
        assert upstream.of_bad_clients()[len(in_time) :] == []
        assert len(set(in_time)) == len(in_time)


@pytest.mark.parametrize(
    ("behind", "answers"),
    [
        (b"\x00\x01 noise", 1),
        (b"GET /look HTTP/1.1\r\nHost: a\r\n", 1),
        (calls("second", 1, "/pay")[0], 1),
        (b"\r\n\r\n", 1),
    ],
)
@virtual
async def test_bytes_after_the_last_request_are_not_a_request(behind, answers):
    upstream = await Echo().start()
    async with everything_released(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        app.writer.write(calls("last", 1, "/pay", Connection="close")[0] + behind)
        answer = await app.answer()
        assert answer.start.startswith("HTTP/1.1 200 ")
        assert answer.body == b"last-0"
        assert await app.reader.read() == b""
        app.close()
    assert upstream.of_bad_clients() == ["last-0"]


@pytest.mark.parametrize("how", ["close", "reset", "end"])
@pytest.mark.parametrize("target", ["/look", "/pay"])
@virtual
async def test_a_burst_whose_client_leaves_at_once_is_not_forwarded_later(target, how):
    """Only a few of the 50 complete requests on each connection are forwarded, and none of them late."""
    upstream = await Echo().start()
    upstream.open.clear()

    async def bad(address, number):
        _, writer = await asyncio.open_connection(*address)
        writer.write(b"".join(calls(f"burst-{number}", 50, target)))
        await asyncio.sleep(0.0)
        leave(writer, how)
        return writer

    async with everything_released(upstream) as sidecar:
        writers = [await bad(sidecar.address, number) for number in range(CLIENTS)]
        await asyncio.sleep(GONE_S)
        in_time = upstream.of_bad_clients()
        upstream.open.set()
        for _ in range(20):
            await asyncio.sleep(0.02)
        assert upstream.of_bad_clients()[len(in_time) :] == []
        assert len(in_time) <= CLIENTS * client_connection.MAX_OPEN_CALLS
        for writer in writers:
            writer.transport.abort()

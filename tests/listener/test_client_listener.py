"""A listener and its connections: the account, the time bounds, and who loses in a shortage."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time

import pytest
from aiohttp import web

from fordtrestle.listener import client_listener
from fordtrestle.listener.client_connection import KERNEL_BYTES, MAX_HEAD_BYTES, UNCHARGED_BYTES
from fordtrestle.listener.client_listener import ClientListener, ListenerOptions
from fordtrestle.listener.client_quotas import ClientQuotas
from fordtrestle.listener.errors import RequestRefusedError
from fordtrestle.listener.request_body import read_body_parts
from rig.system.process_usage import unread_bytes
from tests.exchanges import Client, loopback, request, until

HEAD_TIMEOUT_S = 0.2
MAX_BODY_BYTES = 4_000_000


class Stage:
    """A listener whose handler reads bodies and waits until it may answer."""

    def __init__(self, max_connections=50, max_bytes=300_000):
        self.quotas = ClientQuotas(max_connections, max_bytes)
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self.handled: list[int] = []  # sizes of complete bodies
        self.refused = 0
        self.answer = b"ok"

    async def handle(self, call):
        try:
            parts = await read_body_parts(call, MAX_BODY_BYTES)
        except RequestRefusedError:
            self.refused += 1
            response = web.Response(status=503)
            response.force_close()
            return response
        self.handled.append(sum(map(len, parts)))
        await self.may_answer.wait()
        return web.Response(body=self.answer)

    async def __aenter__(self):
        self.server = web.Server(self.handle, handler_cancellation=True)
        options = ListenerOptions(lambda: HEAD_TIMEOUT_S)
        self.listener = ClientListener(self.server, self.quotas.budget("front"), options)
        self.listener.listen("127.0.0.1", 0)
        return self

    async def __aexit__(self, *_):
        self.listener.close()
        await self.server.shutdown(0.1)

    def client(self):
        return Client(self.listener.port)

    @property
    def used_bytes(self):
        return self.quotas.memory.used

    async def until_released(self):
        await until(lambda: self.quotas.figures() == {"client_connections": 0, "client_bytes": 0})


def upload(size_bytes):
    return request("POST", "/", b"b" * size_bytes)


@loopback
async def test_everything_is_released_when_connections_end():
    async with Stage() as stage:
        async with stage.client() as client:
            assert (await client.exchange(upload(100_000))).startswith("HTTP/1.1 200")
            assert stage.used_bytes == 0
            assert stage.quotas.connections.used == 1
            await client.send(upload(100_000)[:-1])
            await until(lambda: stage.used_bytes >= 100_000 - UNCHARGED_BYTES)
        await stage.until_released()


@loopback
async def test_a_small_request_does_not_use_the_quota():
    async with Stage(max_bytes=1) as stage, stage.client() as client:
        assert (await client.exchange(upload(UNCHARGED_BYTES // 2))).startswith("HTTP/1.1 200")


@loopback
async def test_a_body_without_room_is_refused_and_not_handled():
    async with Stage() as stage, stage.client() as client:
        assert (await client.exchange(upload(600_000))).startswith("HTTP/1.1 503")
        assert (stage.refused, stage.handled, stage.used_bytes) == (1, [], 0)


@loopback
async def test_the_largest_incomplete_body_makes_room_for_a_smaller_one():
    async with Stage() as stage, stage.client() as large, stage.client() as small:
        await large.send(upload(250_000)[:-1])
        await until(lambda: stage.used_bytes >= 230_000)
        assert (await small.exchange(upload(120_000))).startswith("HTTP/1.1 200")
        assert (await large.answer()).startswith("HTTP/1.1 503")
        assert stage.handled == [120_000]


@loopback
async def test_a_head_that_does_not_end_in_time_is_answered_408():
    async with Stage() as stage, stage.client() as client:
        await client.send(b"POST / HTTP/1.1\r\nHost: x\r\n")
        assert (await client.answer()).startswith("HTTP/1.1 408")
        assert not stage.handled


@loopback
async def test_a_head_that_is_too_long_is_answered_431():
    async with Stage() as stage, stage.client() as client:
        field = b"X-Field: " + b"h" * 8000 + b"\r\n"
        head = b"POST / HTTP/1.1\r\n" + field * (MAX_HEAD_BYTES // len(field) + 2)
        with contextlib.suppress(ConnectionError):
            await client.send(head)
        assert (await client.answer()).startswith("HTTP/1.1 431")
        assert stage.used_bytes == 0


@loopback
async def test_requests_ahead_are_answered_in_order_and_few_of_them_are_read_meanwhile():
    async with Stage() as stage, stage.client() as client:
        stage.may_answer.clear()
        count = 20
        await client.send(upload(10_000) * count)
        await until(lambda: stage.handled)
        await asyncio.sleep(0.1)
        assert stage.handled == [10_000]
        assert stage.used_bytes < 300_000
        stage.may_answer.set()
        for _ in range(count):
            assert (await client.answer()).startswith("HTTP/1.1 200")
        await until(lambda: stage.used_bytes == 0)


@loopback
async def test_a_client_that_does_not_read_is_closed_after_the_bound(monkeypatch):
    monkeypatch.setattr(client_listener, "SEND_TIMEOUT_S", 0.3)
    async with Stage(max_bytes=100_000_000) as stage, stage.client() as client:
        stage.answer = b"a" * 20_000_000  # more than the buffers of a connection
        await client.send(upload(10))
        await until(lambda: stage.used_bytes > 0)
        await stage.until_released()


@loopback
async def test_a_client_that_does_not_read_is_closed_first_for_memory():
    async with Stage(max_bytes=30_000_000) as stage, stage.client() as unread, stage.client() as client:
        stage.answer = b"a" * 25_000_000
        await unread.send(upload(10))
        await until(lambda: stage.used_bytes > 1_000_000)
        stage.answer = b"ok"
        size_bytes = 3_900_000
        while stage.quotas.memory.free > size_bytes:
            assert stage.quotas.memory.shares[0].acquire(1_000_000)
        answer = await client.exchange(upload(size_bytes))
        assert answer.startswith("HTTP/1.1 200")
        await until(lambda: stage.quotas.connections.used == 1)


@pytest.mark.parametrize("sent", [b"", b"POST / HTTP/1.1\r\n"])
@loopback
async def test_connections_without_a_request_make_room_for_one_with_a_request(sent):
    async with Stage(max_connections=16) as stage, contextlib.AsyncExitStack() as stack:
        for _ in range(40):
            idle = await stack.enter_async_context(stage.client())
            await idle.send(sent)
        client = await stack.enter_async_context(stage.client())
        assert (await client.exchange(upload(10))).startswith("HTTP/1.1 200")
        assert stage.quotas.connections.used <= 16


@loopback
async def test_a_connection_with_a_call_is_not_closed_for_another():
    async with Stage(max_connections=16) as stage, contextlib.AsyncExitStack() as stack:
        stage.may_answer.clear()
        busy = await stack.enter_async_context(stage.client())
        await busy.send(upload(10))
        await until(lambda: stage.handled)
        for _ in range(40):
            await stack.enter_async_context(stage.client())
        await asyncio.sleep(0.2)
        stage.may_answer.set()
        assert (await busy.answer()).startswith("HTTP/1.1 200")


@pytest.mark.parametrize(
    "sent",
    [
        b"\x16\x03\x01\x02garbage\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost x\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    ],
)
@loopback
async def test_malformed_bytes_are_answered_400_and_not_logged(caplog, sent):
    async with Stage() as stage, stage.client() as client:
        answer = await client.exchange(sent)
        assert answer.partition("\r\n")[0].endswith(" 400 Bad Request")
        assert not stage.handled
    assert not caplog.records


@loopback
async def test_a_client_that_leaves_within_its_body_is_not_logged(caplog):
    async with Stage() as stage:
        async with stage.client() as client:
            await client.send(upload(100)[:-1])
            await until(lambda: stage.quotas.connections.used)
            await asyncio.sleep(0.05)
        await stage.until_released()
    assert not caplog.records


async def read_slowly(reader, size_bytes, pause_s):
    """Read a response of a size, with a pause after each part, and return how much of it came."""
    head = await reader.readuntil(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200")
    received = 0
    while received < size_bytes and (part := await reader.read(256 * 1024)):
        received += len(part)
        await asyncio.sleep(pause_s)
    return received


@loopback
async def test_a_client_that_reads_slowly_gets_its_whole_answer(monkeypatch):
    monkeypatch.setattr(client_listener, "SEND_TIMEOUT_S", 0.5)
    async with Stage(max_bytes=100_000_000) as stage:
        stage.answer = b"a" * 20_000_000
        reader, writer = await asyncio.open_connection("127.0.0.1", stage.listener.port, limit=64 * 1024)
        began = asyncio.get_running_loop().time()
        writer.write(upload(10))
        assert await read_slowly(reader, 20_000_000, 0.02) == 20_000_000
        assert asyncio.get_running_loop().time() - began > 1.0, "the reader is too fast for this test"
        writer.close()


@loopback
async def test_a_part_of_a_head_that_came_with_a_request_is_accounted_for():
    async with Stage() as stage, stage.client() as client:
        head = b"POST / HTTP/1.1\r\nX-Field: " + b"h" * 30_000
        assert (await client.exchange(upload(10) + head)).startswith("HTTP/1.1 200")
        await until(lambda: stage.used_bytes >= 30_000 - UNCHARGED_BYTES)


@loopback
async def test_a_part_of_a_head_that_came_during_a_call_is_bounded_in_time():
    async with Stage() as stage, stage.client() as client:
        stage.may_answer.clear()
        await client.send(upload(10))
        await until(lambda: stage.handled)
        await client.send(b"POST / HTTP/1.1\r\nX-Field: h")
        await asyncio.sleep(0.05)
        stage.may_answer.set()
        assert (await client.answer()).startswith("HTTP/1.1 200")
        assert (await client.answer()).startswith("HTTP/1.1 408")


@loopback
async def test_an_idle_connection_that_may_hold_a_part_of_a_head_is_closed_for_memory():
    async with Stage(max_bytes=60_000) as stage, stage.client() as idle, stage.client() as client:
        head = b"POST / HTTP/1.1\r\nX-Field: " + b"h" * 50_000
        assert (await idle.exchange(upload(10) + head)).startswith("HTTP/1.1 200")
        await until(lambda: stage.used_bytes > 30_000)
        assert (await client.exchange(upload(60_000))).startswith("HTTP/1.1 200")
        assert "(the connection ends)" in await idle.answer()


@loopback
async def test_an_idle_connection_is_not_refused():
    async with Stage() as stage, stage.client() as client:
        assert (await client.exchange(upload(10))).startswith("HTTP/1.1 200")
        stage.server.connections[0].refuse()
        assert (await client.exchange(upload(20))).startswith("HTTP/1.1 200")
        assert stage.handled == [10, 20]


@loopback
async def test_requests_are_served_in_calm_beside_long_bodies_and_answers_and_slow_readers():
    """No client here does what the protocol forbids, and nothing is short."""
    async with Stage(max_bytes=60_000_000) as stage:
        stage.answer = b"a" * 900_000

        async def slow():
            reader, writer = await asyncio.open_connection("127.0.0.1", stage.listener.port, limit=64 * 1024)
            writer.write(upload(10))
            size_bytes = await read_slowly(reader, 900_000, 0.05)
            writer.close()
            return size_bytes

        async def ordinary(size_bytes):
            async with stage.client() as client:
                return [(await client.exchange(upload(size_bytes)))[:12] for _ in range(5)]

        sizes = (10, 18_000, 200_000, 3_900_000)
        results = await asyncio.gather(*(slow() for _ in range(5)), *(ordinary(size) for size in sizes))
        assert results[:5] == [900_000] * 5
        assert results[5:] == [["HTTP/1.1 200"] * 5] * len(sizes)
        await stage.until_released()


def send_until_full(client: socket.socket, seconds: float) -> None:
    """Send until the kernel takes no more, and on as the receiver grants more."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            client.send(b"b" * KERNEL_BYTES)
        except BlockingIOError:
            time.sleep(0.01)


@loopback
async def test_a_connection_that_waits_to_be_accepted_holds_little_in_the_kernel():
    """Nothing counts its bytes, and a crowd of them may wait; the loop does not run while it sends."""
    host, waiting = "127.0.0.86", 3
    async with Stage() as stage:
        listener = ClientListener(stage.server, stage.quotas.budget("spare"))
        listener.listen(host, 0)
        with contextlib.ExitStack() as sockets:
            for _ in range(waiting):
                client = sockets.enter_context(socket.create_connection((host, listener.port)))
                client.setblocking(False)
                send_until_full(client, 0.2)
            assert KERNEL_BYTES < unread_bytes(host) <= waiting * 3 * KERNEL_BYTES
        listener.close()

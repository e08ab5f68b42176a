"""Bytes that a server buffers for its clients: unread responses, incomplete requests, and aborts for them."""

from __future__ import annotations

import asyncio
import functools
import socket

import pytest

from fordtrestle.proxy.config.limits import LimitsSpec
from fordtrestle.proxy.http import client_buffers
from fordtrestle.proxy.http.client_stream import ClientConnectionState
from tests import loopback as partners
from tests.loopback import OK, App, Upstream, until
from tests.virtual import virtual

LARGE = b"HTTP/1.1 200 OK\r\nContent-Length: 65536\r\n\r\n" + b"x" * 65536

# Without the rules of the overload monitor: if a test fills the quota, the monitor would also refuse requests
# by priority weight when it samples, which happens during the test on a slow machine and not on a fast one.
running = functools.partial(partners.running, rules=())

NO_GUARANTEES = LimitsSpec(fronts_guaranteed_share=0.0, upstreams_guaranteed_share=0.0)


async def connect_socket(address, receive_buffer_bytes=4096):
    """Connect a client socket with a small receive buffer."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, address)
    return sock


async def connect_small_buffer(address):
    """Connect a client with a small receive buffer that reads complete answers."""
    return App(*await asyncio.open_connection(sock=await connect_socket(address), limit=2**17))


def pipelined(count, **headers):
    return b"".join(partners.request(**headers) for _ in range(count))


def stalled_addresses(sidecar):
    """Return the addresses of the clients that do not read, the longest stalled first."""
    return [connection._transport.get_extra_info("peername") for connection in sidecar.front.buffers.stalled]


def buffered_bytes(sidecar):
    return sidecar.limits.buffered.used


@virtual
async def test_clients_that_pipeline_and_read_nothing_use_bounded_memory():
    """Guards against unbounded memory: a fifth of this would kill the process on the platform."""
    upstream = await Upstream([LARGE]).start()
    async with running(upstream) as sidecar:
        sidecar.limits.buffered.resize(4 * 2**20)
        most, deaf = 0, [await connect_small_buffer(sidecar.address) for _ in range(60)]
        for app in deaf:
            app.writer.write(pipelined(16))
        good = await App.connect(sidecar.address)
        for _ in range(60):
            assert (await good.ask()).start.split(" ")[1] == "200"
            # The accounting covers what the transports really buffer.
            real = sum(getattr(entry.owner, "unsent_bytes", 0) for entry in sidecar.front.table)
            most = max(most, real)
            assert real <= buffered_bytes(sidecar) <= 4 * 2**20
        assert most > 2**20
        for app in deaf:
            app.close()
        await until(lambda: buffered_bytes(sidecar) == 0 and len(sidecar.front.table) == 1)
        assert sidecar.limits.calls.used == 0


@virtual
async def test_a_stalled_client_is_aborted_and_a_slow_reader_is_not(monkeypatch):
    monkeypatch.setattr(client_buffers, "STALL_TIMEOUT_MS", 200.0)
    upstream = await Upstream([LARGE]).start()
    async with running(upstream) as sidecar:
        loop = asyncio.get_running_loop()
        deaf, slow = await connect_socket(sidecar.address), await connect_socket(sidecar.address, 32_768)
        for sock in (deaf, slow):
            await loop.sock_sendall(sock, pipelined(9))
        await until(lambda: len(sidecar.front.buffers.stalled) == 2)
        got = b""
        while got.count(b"x") < 9 * 65536:
            await asyncio.sleep(0.02)  # in total far longer than a stall may last
            got += await loop.sock_recv(slow, 8000)
        assert got.count(b"HTTP/1.1 200 OK") == 9
        await until(lambda: len(sidecar.front.table) == 1)
        assert buffered_bytes(sidecar) == 0
        deaf.close()
        slow.close()


@virtual
async def test_in_a_shortage_the_client_stalled_for_longest_is_aborted_first():
    upstream = await Upstream([LARGE]).start()
    async with running(upstream, limits=NO_GUARANTEES) as sidecar:
        loop = asyncio.get_running_loop()
        deaf = [await connect_socket(sidecar.address) for _ in range(2)]
        for sock in deaf:
            await loop.sock_sendall(sock, pipelined(16))
            await until(lambda sock=sock: sock.getsockname() in stalled_addresses(sidecar))
        oldest, newest = sidecar.front.buffers.stalled
        sidecar.limits.buffered.resize(buffered_bytes(sidecar) + 1000)
        upstream.replies = [OK]
        good = await App.connect(sidecar.address)
        assert (await good.ask("POST", "/pay", b"x" * 4000)).body == b"done"
        assert list(sidecar.front.buffers.stalled) == [newest]
        assert oldest.state is ClientConnectionState.CLOSED
        for sock in deaf:
            sock.close()


@virtual
async def test_requests_of_a_stalled_client_wait_until_it_reads():
    upstream = await Upstream([LARGE]).start()
    async with running(upstream) as sidecar:
        app = await connect_small_buffer(sidecar.address)
        app.writer.write(pipelined(16))
        await until(lambda: sidecar.front.buffers.stalled)
        await asyncio.sleep(0.1)
        assert len(upstream.seen) < 16
        assert sidecar.limits.calls.used == 0  # all accepted requests are answered
        for _ in range(16):
            assert (await app.answer()).body == LARGE[-65536:]
        assert len(upstream.seen) == 16


@virtual
async def test_incomplete_requests_are_rejected_without_memory_for_them():
    """Guards against endless bodies: their bytes count, and above the quota they are rejected with 503."""
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        sidecar.limits.buffered.resize(200_000)
        incomplete = [await App.connect(sidecar.address) for _ in range(10)]
        for app in incomplete:
            app.writer.write(partners.request("POST", "/pay", b"x" * 60_000)[:-1])
        statuses = [(await app.answer()).start.split(" ")[1] for app in incomplete[:7]]
        assert statuses == ["503"] * 7  # the oldest
        assert not incomplete[-1].reader._buffer
        assert buffered_bytes(sidecar) <= 200_000
        good = await App.connect(sidecar.address)
        assert (await good.ask()).body == b"done"
        for app in incomplete:
            app.close()
        await until(lambda: buffered_bytes(sidecar) == 0)


@virtual
async def test_a_request_without_memory_for_it_is_refused_and_not_sent():
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        sidecar.limits.buffered.resize(10_000)
        app = await App.connect(sidecar.address)
        assert (await app.ask("POST", "/pay", b"x" * 20_000)).start.split(" ")[1] == "503"
        assert (await app.ask("POST", "/pay", b"x" * 2000)).body == b"done"
        assert len(upstream.seen) == 1
        assert buffered_bytes(sidecar) == 0


@pytest.mark.parametrize("count", [1, 40])
@virtual
async def test_a_request_beyond_the_call_quota_is_refused_at_once(count):
    wait = asyncio.Event()

    async def answer_later(reader, writer):
        await wait.wait()
        return OK

    upstream = await Upstream([answer_later]).start()
    async with running(upstream) as sidecar:
        sidecar.limits.calls.resize(count)
        apps = [await App.connect(sidecar.address) for _ in range(count + 2)]
        for app in apps:
            app.send()
        assert (await apps[-1].answer()).start.split(" ")[1] == "503"
        wait.set()
        statuses = [(await app.answer()).start.split(" ")[1] for app in apps[:-1]]
        assert statuses.count("503") == 1
        assert sidecar.limits.calls.used == 0

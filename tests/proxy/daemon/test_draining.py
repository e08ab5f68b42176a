"""Graceful shutdown: until when requests are accepted, how others are answered, and how long it takes."""

from __future__ import annotations

import asyncio
import signal
import socket
import time
from pathlib import Path

import pytest

from fordtrestle.proxy.daemon import process, runner
from fordtrestle.proxy.daemon.signals import Signals
from fordtrestle.proxy.http import server as server_module
from tests.loopback import OK, PATIENCE_S, App, Scripted, Upstream, loopback, request, running, until
from tests.proxy.daemon.test_process import Process
from tests.proxy.daemon.test_signals import handlers, reaped, started  # noqa: F401

SERVED = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"


def status_of(answer):
    return None if answer is None else int(answer.start.split(" ")[1])


def respond_after(event):
    async def wait(reader, writer):
        await event.wait()
        return OK

    return wait


def queued(address, count, *sent):
    """Return connected sockets that have sent their data, while the event loop is blocked."""
    socks = []
    for _ in range(count):
        sock = socket.create_connection(tuple(address))
        sock.sendall(b"".join(make() for make in sent))
        sock.setblocking(False)
        socks.append(sock)
    return socks


async def statuses(socks):
    """Return the statuses that each socket receives until its connection ends, which must not be a reset."""
    loop, results = asyncio.get_running_loop(), []
    for sock in socks:
        received = b""
        async with asyncio.timeout(PATIENCE_S):
            while data := await loop.sock_recv(sock, 65536):
                received += data
        results.append([int(row[:3]) for row in received.split(b"HTTP/1.1 ")[1:]])
        sock.close()
    return results


# --- until when requests are accepted ------------------------------------------------


@loopback
async def test_an_incomplete_request_gets_503_once_none_is_accepted_and_its_remainder_is_dropped():
    """Guards against a call accepted so late that SIGKILL interrupts it, while others prolong the drain."""
    release = asyncio.Event()
    upstream = await Upstream([respond_after(release)]).start()
    async with running(upstream) as sidecar:
        busy, half = await App.connect(sidecar.address), await App.connect(sidecar.address)
        busy.send()
        complete = request("POST", "/pay", b"hello")
        half.writer.write(complete[:-2])
        await until(lambda: upstream.seen and sidecar.front.buffers.unfinished)
        drain = asyncio.create_task(sidecar.drain())
        answer = await half.answer()
        assert (status_of(answer), answer.headers["connection"]) == (503, "close")
        half.writer.write(complete[-2:])
        assert await half.answer() is None
        assert len(upstream.seen) == 1
        release.set()
        assert status_of(await busy.answer()) == 200
        await drain


@loopback
async def test_a_request_completed_too_late_is_rejected_in_order_and_not_forwarded():
    release = asyncio.Event()
    upstream = await Upstream([respond_after(release)]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        app.writer.write(request() + (complete := request())[:-2])
        await until(lambda: upstream.seen)
        drain = asyncio.create_task(sidecar.drain())
        late_s = process.ACCEPT_AFTER_SIGNAL_S - process.LISTEN_AFTER_SIGNAL_S
        await asyncio.sleep(late_s + 3 * process.DRAIN_POLL_S)
        app.writer.write(complete[-2:])
        await until(lambda: any(len(entry.owner._unanswered) == 2 for entry in sidecar.front.table))
        release.set()
        assert [status_of(await app.answer()) for _ in range(2)] == [200, 503]
        await drain
        assert len(upstream.seen) == 1


@pytest.mark.parametrize("before", [0, 20])
@loopback
async def test_a_request_completed_in_time_is_answered_however_long_the_server_takes(before, monkeypatch):
    """A new connection without bytes, or with half a request, when the drain begins.

    Guards against a drain that ends LAST_BYTES_TIMEOUT_S after an earlier response.
    """
    monkeypatch.setattr(process, "ACCEPT_AFTER_SIGNAL_S", PATIENCE_S)
    release = asyncio.Event()
    upstream = await Upstream([respond_after(release)]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        complete = request("POST", "/pay", b"hello")
        app.writer.write(complete[:before])
        await until(
            lambda: len(sidecar.front.table) == 1 and (not before or sidecar.front.buffers.unfinished)
        )
        drain = asyncio.create_task(sidecar.drain())
        await asyncio.sleep(0)  # the drain is in its first wait
        app.writer.write(complete[before:])
        await until(lambda: upstream.seen)
        await asyncio.sleep(2 * process.LAST_BYTES_TIMEOUT_S)
        assert not drain.done()
        release.set()
        assert status_of(await app.answer()) == 200
        await drain


@loopback
async def test_a_connection_without_a_request_does_not_delay_the_end():
    async with running() as sidecar:
        silent = await App.connect(sidecar.address)
        await until(lambda: len(sidecar.front.table) == 1)
        await asyncio.wait_for(sidecar.drain(), PATIENCE_S)
        assert await silent.answer() is None
        assert sidecar.front.is_empty


@loopback
async def test_queued_connections_get_503_when_it_is_too_late_to_accept_them(monkeypatch):
    """As after a start or stall longer than the time to end; a reset would not inform the client."""
    monkeypatch.setattr(server_module, "BACKLOG_TIMEOUT_S", PATIENCE_S)
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        socks = queued(sidecar.address, 60, request)
        now = asyncio.get_running_loop().time()
        drain = asyncio.create_task(sidecar.drain(now - process.ACCEPT_AFTER_SIGNAL_S))
        assert await statuses(socks) == [[503]] * 60
        await drain
        assert not upstream.seen


# --- how long a drain takes -------------------------------------------------------------


@loopback
async def test_a_request_lost_together_with_its_guard_fails_after_its_deadline():
    """Guards against a drain without a time limit of its own."""
    module = Scripted(request=lambda now, arrival: [])
    async with running(balancer=module) as sidecar:
        app = await App.connect(sidecar.address)
        app.send(X_Budget="300m")
        await until(lambda: module.named("request"))
        for request_ in sidecar.driver._requests.values():
            request_.guard.cancel()
        await asyncio.wait_for(sidecar.drain(), PATIENCE_S)
        answer = await app.answer()
        assert (status_of(answer), answer.headers["connection"]) == (502, "close")
        assert sidecar.driver.is_idle


@loopback
async def test_a_client_that_does_not_read_its_response_does_not_delay_the_end(monkeypatch):
    """The connection is aborted LAST_BYTES_TIMEOUT_S after the last response, and no quota stays in use."""
    monkeypatch.setattr(server_module, "SEND_BUFFER_BYTES", 4096)
    large = b"HTTP/1.1 200 OK\r\nContent-Length: 65536\r\n\r\n" + b"x" * 65536
    upstream = await Upstream([large]).start()
    async with running(upstream) as sidecar:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, tuple(sidecar.address))
        await loop.sock_sendall(sock, request())
        await until(lambda: sidecar.front.buffers.stalled)
        await asyncio.wait_for(sidecar.drain(), PATIENCE_S)
        assert sidecar.front.is_empty
        assert sidecar.limits.buffered.used == 0
        sock.close()


# --- signals ------------------------------------------------------------------------------


class Counting:
    """A program that records its calls, and raises signals during its start."""

    def __init__(self, signals, *numbers, late_s=0.0):
        self.calls = []
        self._signals = signals
        self._numbers = numbers
        self._late_s = late_s

    async def start(self):
        for number in self._numbers:
            signal.raise_signal(number)
        self._signals.signalled_at -= self._late_s  # as if the start had taken this long

    def reload(self):
        self.calls.append("reload")

    async def drain(self, signalled_at=None):
        self.calls.append(signalled_at)

    def close(self):
        self.calls.append("close")

    def unreleased(self):
        return []


@loopback
async def test_signals_during_the_start_are_handled_and_the_time_to_end_counts_from_the_first(
    handlers,  # noqa: F811
    monkeypatch,
):
    """Guards against listening for a period that already ended during the start: SIGKILL would follow."""
    monkeypatch.setattr(runner, "LISTEN_AFTER_SIGNAL_S", 3600.0)
    signals = Signals()
    signals.install()
    numbers = (signal.SIGHUP, signal.SIGTERM, signal.SIGTERM, signal.SIGHUP, signal.SIGINT)
    program = Counting(signals, *numbers, late_s=3600.0)
    before = time.monotonic()
    await asyncio.wait_for(runner.run(lambda loop: program, signals), PATIENCE_S)
    first_call, signalled_at, closed = program.calls
    assert (first_call, closed) == ("reload", "close")
    assert before - 3600.0 <= signalled_at <= time.monotonic() - 3600.0


def catches(pid, number):
    """Return whether a process has a handler for a signal (proc(5))."""
    rows = Path(f"/proc/{pid}/status").read_text().splitlines()
    caught = next(row for row in rows if row.startswith("SigCgt:"))
    return bool(int(caught.split()[1], 16) >> (number - 1) & 1)


@loopback
async def test_sigterm_during_the_start_ends_the_process_gracefully(tmp_path, reaped, monkeypatch):  # noqa: F811
    """Before the process listens, as soon as it handles signals."""
    made = await started(tmp_path, wait=False)
    reaped.append(made)
    await until(lambda: catches(made.pid, signal.SIGTERM) and catches(made.pid, signal.SIGHUP))
    for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
        made.send_signal(number)
    await until(lambda: made.poll() is not None)
    assert made.returncode == 0
    assert (tmp_path / "log").read_text() == ""


@loopback
async def test_connections_queued_during_a_stop_are_answered_when_signals_follow(tmp_path):
    upstream = await Upstream([SERVED]).start()
    made = await Process.start(tmp_path, upstream)
    made.process.send_signal(signal.SIGSTOP)
    socks = await asyncio.to_thread(queued, made.address, 60, request)
    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGTERM, signal.SIGCONT):
        made.process.send_signal(number)
    assert set(map(tuple, await statuses(socks))) <= {(200,), (503,)}
    assert await made.process.wait() == 0
    upstream.stop()

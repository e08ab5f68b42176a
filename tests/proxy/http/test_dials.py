"""Races of connects and idle connections: nothing leaks, and a request that may have run is not retried."""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
import struct
import time

import pytest

from fordtrestle.balancer.model import Cancel, Outcome, Send
from fordtrestle.proxy.http import idle_connections
from fordtrestle.proxy.http.upstream_connection import UpstreamConnection
from tests.loopback import (
    OK,
    PATIENCE_S,
    App,
    Scripted,
    Upstream,
    break_off,
    hang,
    running,
    until,
)
from tests.proxy.http.test_client_gone import HeldConnects
from tests.proxy.http.test_upstream import fail_unless_last
from tests.virtual import virtual


async def nothing_leaks(sidecar):
    """Wait until no connect is left and all connections are accounted for."""
    pool = sidecar.pool
    await until(lambda: not pool._dialer.connecting and not sidecar.driver._requests)
    await until(lambda: pool.budget.descriptors.used == len(pool._connections))
    assert pool._connections == set(pool._idle)


# --- connects and their ends ------------------------------------------------------------


@pytest.mark.parametrize("after", range(10))
@pytest.mark.parametrize("how", ["cancel", "expire"])
@virtual
async def test_a_connect_that_is_abandoned_in_any_iteration_leaks_nothing(how, after):
    """Before it starts, while it connects, as it completes, and after its request is written."""
    upstream = await Upstream([hang]).start()
    module = Scripted(outcome=fail_unless_last)
    async with running(upstream, balancer=module) as sidecar:
        app, tasks = await App.connect(sidecar.address), []

        async def give_up(number):
            for _ in range(after):
                await asyncio.sleep(0)
            if how == "cancel":
                sidecar.driver._perform(Cancel(number, 0))
            else:
                sidecar.driver._on_attempt_timeout(sidecar.driver._requests[number].attempts[0])

        def begin(now, arrival):
            tasks.append(asyncio.get_running_loop().create_task(give_up(arrival.request)))
            return [Send(arrival.request, "s0", 0.0)]

        module.scripts["request"] = begin
        app.send()
        assert (await app.answer()).start.split(" ")[1] == "502"
        assert len(module.outcomes()) == 1
        await nothing_leaks(sidecar)
        assert not sidecar.pool._connections
        await until(lambda: all(writer.is_closing() for writer in upstream.writers))


@pytest.mark.parametrize("first", ["dial", "end"])
@virtual
async def test_a_connect_that_completes_in_the_iteration_of_its_time_out_writes_nothing(first, monkeypatch):
    upstream = await Upstream().start()
    module = Scripted(outcome=fail_unless_last)
    async with running(upstream, balancer=module) as sidecar:
        app, held = await App.connect(sidecar.address), HeldConnects(monkeypatch)
        app.send()
        await until(lambda: held.up)
        (request,) = sidecar.driver._requests.values()
        if first == "dial":
            held.gate.set()
        sidecar.driver._on_attempt_timeout(request.attempts[0])
        held.gate.set()
        assert (await app.answer()).start.split(" ")[1] == "502"
        assert module.outcomes() == [(0, Outcome.TIMEOUT, False)]
        # A connection that was established by then is closed by its connect task.
        await until(lambda: not sidecar.pool._dialer.connecting)
        assert upstream.seen == []


@virtual
async def test_a_connect_that_completes_as_its_own_time_out_expires_ends_once_and_leaks_nothing(monkeypatch):
    """After a stall the loop handles the established connection and the time-out in one iteration."""
    upstream = await Upstream().start()
    module = Scripted(outcome=fail_unless_last)
    async with running(upstream, balancer=module) as sidecar:
        app = await App.connect(sidecar.address)
        sidecar.pool._dialer.connect_timeout_s = 0.05
        loop = asyncio.get_running_loop()
        real = loop.sock_connect

        async def stands_still(sock, address):
            loop.call_soon(loop.stall, 0.1)
            await real(sock, address)
            await asyncio.sleep(0)

        monkeypatch.setattr(loop, "sock_connect", stands_still)
        assert (await app.ask()).start.split(" ")[1] == "502"
        assert module.outcomes() == [(0, Outcome.CONNECT_FAILED, False)]
        assert upstream.seen == []
        await nothing_leaks(sidecar)


@contextlib.contextmanager
def unreachable():
    """Provide an address where connects never complete, because its accept queue is full."""
    with socket.socket() as listening, contextlib.ExitStack() as queue:
        listening.bind(("127.0.0.1", 0))
        listening.listen(0)
        for _ in range(4):
            sock = queue.enter_context(socket.socket())
            sock.setblocking(False)
            sock.connect_ex(listening.getsockname())
        yield listening.getsockname()


@virtual
async def test_a_connect_slower_than_its_request_ends_with_the_request():
    upstream = await Upstream().start()
    module = Scripted(outcome=fail_unless_last)
    limits = {"MaxAttempts": 3, "ConnectTimeout": 3_600_000.0, "IdleClose": 5000.0}
    with unreachable() as (host, port):
        upstream.address = f"{host}:{port}"
        async with running(upstream, balancer=module, PolicyLimits=limits) as sidecar:
            app = await App.connect(sidecar.address)
            app.send(X_Budget="300m")
            await until(lambda: sidecar.pool._dialer.connecting)
            assert sidecar.pool.budget.descriptors.used == 1
            assert (await app.answer()).start.split(" ")[1] == "504"
            assert module.outcomes()[0][1] in (Outcome.TIMEOUT, Outcome.CANCELLED)  # the latter after a stall
            await nothing_leaks(sidecar)
            assert not sidecar.pool._connections


@virtual
async def test_a_connect_time_out_reports_that_the_request_did_not_run():
    upstream = await Upstream().start()
    module = Scripted(outcome=fail_unless_last)
    with unreachable() as (host, port):
        upstream.address = f"{host}:{port}"
        async with running(upstream, balancer=module) as sidecar:
            sidecar.pool._dialer.connect_timeout_s = 0.05
            app = await App.connect(sidecar.address)
            assert (await app.ask()).start.split(" ")[1] == "502"
            assert module.outcomes() == [(0, Outcome.CONNECT_FAILED, False)]
            await nothing_leaks(sidecar)


# --- idle connections and their ends ----------------------------------------------------------


@pytest.fixture
def end_after_check(monkeypatch):
    """Let a server end an idle connection between the check and the write: `ends.append(callback)`."""
    monkeypatch.setattr(idle_connections, "REUSE_DELAY_MS", 0.0)
    ends, real = [], UpstreamConnection.is_available

    def is_available(connection):
        was = real(connection)
        if ends and connection.idle_since_ms:
            poll = select.poll()
            poll.register(connection._transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
            ends.pop()()
            assert poll.poll(PATIENCE_S * 1000.0)
        return was

    monkeypatch.setattr(UpstreamConnection, "is_available", is_available)
    return ends


@pytest.mark.parametrize("real", [True, False])
@virtual
async def test_a_close_after_the_availability_check_may_have_let_the_request_run(real, end_after_check):
    """The kernel accepts the write, and a reset comes back.

    An unsafe request then fails; it is neither retried nor refused.
    """
    upstreams = [await Upstream([OK]).start() for _ in range(2 if real else 1)]
    module = None if real else Scripted(outcome=fail_unless_last)
    async with running(*upstreams, balancer=module) as sidecar:
        app = await App.connect(sidecar.address)
        while not all(upstream.seen for upstream in upstreams):
            await app.ask("POST", "/pay")
        before = sum(len(upstream.seen) for upstream in upstreams)

        def end():
            for upstream in upstreams:
                upstream.replies = [break_off]
                for writer in upstream.writers:
                    writer.get_extra_info("socket").shutdown(socket.SHUT_WR)

        end_after_check.append(end)
        assert (await app.ask("POST", "/pay")).start.split(" ")[1] == "502"
        assert not end_after_check
        assert sum(len(upstream.seen) for upstream in upstreams) <= before + 1
        if module:
            assert module.outcomes()[-1] == (0, Outcome.RESET, False)


@virtual
async def test_a_reset_after_the_availability_check_proves_that_nothing_was_written(end_after_check):
    upstream = await Upstream([OK]).start()
    module = Scripted(outcome=fail_unless_last)
    async with running(upstream, balancer=module) as sidecar:
        app = await App.connect(sidecar.address)
        await app.ask("POST", "/pay")
        sock = upstream.writers[0].get_extra_info("socket")

        def end():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock._sock.close()

        end_after_check.append(end)
        await app.ask("POST", "/pay")
        assert [status for _, status, _ in module.outcomes()] == [Outcome.OK, Outcome.CONNECT_FAILED]
        assert len(upstream.seen) == 1


@virtual
async def test_a_reset_after_the_write_fails_an_unsafe_request(monkeypatch):
    monkeypatch.setattr(idle_connections, "REUSE_DELAY_MS", 0.0)
    upstream = await Upstream([OK, break_off, OK]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        await app.ask("POST", "/pay")
        assert (await app.ask("POST", "/pay")).start.split(" ")[1] == "502"
        assert len(upstream.seen) == 2


@virtual
async def test_a_partial_line_on_an_idle_connection_being_closed_harms_nothing():
    upstream = await Upstream([OK]).start()
    async with running(upstream, balancer=Scripted()) as sidecar:
        app = await App.connect(sidecar.address)
        await app.ask()
        upstream.writers[0].write(b"HTTP/1.1 200 O")
        sidecar.pool.close_idle("s0")
        upstream.writers[0].write(b"K\r\nContent-Length: 5\r\n\r\nother")
        await nothing_leaks(sidecar)
        assert (await (await App.connect(sidecar.address)).ask()).body == b"done"
        assert [seen.connection for seen in upstream.seen] == [0, 1]


# --- a stalled process -------------------------------------------------------------------------


@pytest.mark.parametrize(("wait", "budget"), [(100.0, "4000m"), (0.0, "250m")])
@virtual
async def test_an_answer_that_arrived_before_a_late_time_out_is_served(wait, budget):
    """It is read in the iteration in which the time-out or the guard of the deadline is due."""

    async def then_stand_still(reader, writer):
        writer.write(OK)
        time.sleep(0.4)  # the whole process, as if it had been stopped
        return b""

    upstream = await Upstream([then_stand_still]).start()
    module = Scripted(
        request=lambda now, arrival: [Send(arrival.request, "s0", wait)], outcome=fail_unless_last
    )
    async with running(upstream, balancer=module) as sidecar:
        app = await App.connect(sidecar.address)
        answer = await app.ask(X_Budget=budget)
        assert (answer.start.split(" ")[1], answer.body) == ("200", b"done")
        assert module.outcomes() == [(0, Outcome.OK, True)]


# --- small writes -------------------------------------------------------------------------------


@virtual
async def test_tcp_nodelay_is_set_on_both_sides():
    upstream = await Upstream([hang]).start()
    async with running(upstream, balancer=Scripted()) as sidecar:
        app = await App.connect(sidecar.address)
        app.send()
        await until(lambda: upstream.seen)
        (to_server,) = sidecar.pool._connections
        (entry,) = sidecar.front.table
        for end in (to_server, entry.owner):
            sock = end._transport.get_extra_info("socket")
            assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

"""Schedules that once broke a rule or the accounting, found by reading and kept for good."""

from __future__ import annotations

import asyncio
import gc
import socket
from collections import Counter

import pytest

from fordtrestle.balancer.model import Cancel, Outcome, Send
from fordtrestle.proxy.engine.connection_table import ConnectionTable, EvictionClass, TableOptions
from fordtrestle.proxy.engine.limits import Limits
from fordtrestle.proxy.http import idle_connections
from fordtrestle.proxy.http import server as server_module
from fordtrestle.proxy.http.client_connection import ClientConnection
from tests.loopback import OK, App, Scripted, Upstream, hang, request, running, until
from tests.virtual import virtual

LARGE = b"HTTP/1.1 200 OK\r\nContent-Length: 65536\r\n\r\n" + b"x" * 65536


def status_of(answer):
    return None if answer is None else int(answer.start.split(" ")[1])


async def later(reader, writer):
    await asyncio.sleep(0.3)
    return OK


@virtual
async def test_what_is_turned_away_keeps_its_place_while_what_came_before_it_is_open():
    """Guards against cutting the answer of an unsafe request that runs, for a place."""
    upstream = await Upstream([later]).start()
    async with running(upstream, raw={"limits": {"sockets": 96}}) as sidecar:
        good = await App.connect(sidecar.address)
        good.writer.write(request("POST", "/pay", b"x") + b"\x00")
        await until(lambda: upstream.seen)
        crowd = [await App.connect(sidecar.address) for _ in range(60)]
        assert [status_of(await good.answer()) for _ in range(2)] == [200, 400]
        for app in crowd:
            app.close()


@virtual
async def test_an_attempt_cancelled_before_it_began_to_connect_gives_its_descriptor_back():
    """Guards against a task that never enters its own clean-up."""
    upstream = await Upstream([OK]).start()

    def send_and_cancel(now, arrival):
        return [Send(arrival.request, "s0", 0.0), Cancel(arrival.request, 0)]

    module = Scripted(request=send_and_cancel)
    async with running(upstream, balancer=module) as sidecar:
        for _ in range(5):
            app = await App.connect(sidecar.address)
            app.send(X_Budget="50m")
            await until(lambda: not sidecar.pool._dialer.connecting)
        await until(lambda: len(module.outcomes()) == 5)
        assert sidecar.pool.budget.descriptors.used == len(sidecar.pool._connections) == 0


@virtual
async def test_who_stands_at_the_limit_and_gives_way_leaves_no_place():
    """Guards against refusing a client while others are at rest: the first to go may free none."""
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        limits = Limits(6, 2**20, 1000)
        sidecar.front.budget = limits.budget("clients")
        sidecar.front.reserve = limits.descriptors.add_share("at the limit", 2, weight=0.0)
        sidecar.front.table = ConnectionTable(TableOptions(100))
        resting = [await App.connect(sidecar.address) for _ in range(4)]
        for app in resting:
            await app.ask()
        upstream.replies = [later]
        for app in resting:
            app.send()
        await until(lambda: len(upstream.seen) == 8)
        silent = await App.connect(sidecar.address)
        await until(lambda: sidecar.front.reserve.used == 1)
        good = await App.connect(sidecar.address)
        await until(lambda: sidecar.front.reserve.used == 2)
        for app in resting:
            await app.answer()
        await asyncio.sleep(0.15)  # the silent one has had its time
        upstream.replies = [OK]
        assert status_of(await good.ask()) == 200
        silent.close()


@pytest.mark.parametrize("queued", [15, 16, 40])
@virtual
async def test_a_wait_is_charged_to_who_waited_and_to_nobody_later(queued):
    """Guards against a wait that never ends: good clients would be refused at once, for good."""
    upstream = await Upstream([OK]).start()
    module = Scripted()
    async with running(upstream, balancer=module) as sidecar:
        warm = await App.connect(sidecar.address)
        await warm.ask()
        await asyncio.sleep(0.15)
        silent = [socket.socket() for _ in range(queued)]
        for sock in silent:
            sock.setblocking(False)
            with pytest.raises(BlockingIOError):
                sock.connect(tuple(sidecar.address))
        asking = socket.create_connection(tuple(sidecar.address))
        asking.sendall(request(X_Budget="2000m"))
        asyncio.get_running_loop().stall(0.4)  # the process stands still
        await until(lambda: len(sidecar.front.table) == queued + 2)
        await until(lambda: len(module.named("request")) == 2)
        after = socket.create_connection(tuple(sidecar.address))
        after.sendall(request(X_Budget="2000m"))  # it has asked by the time it is accepted
        await until(lambda: len(module.named("request")) == 3)
        # Who connected in the stall and has sent nothing has not waited either.
        late = App(*await asyncio.open_connection(sock=silent.pop()))
        assert status_of(await late.ask(X_Budget="2000m")) == 200
        now = sidecar.driver._clock.now()
        _, waited, fresh, asked_later = [arrival.give_up_at for (arrival,) in module.named("request")]
        assert waited < now + 2000.0 - 250.0
        assert fresh > now + 2000.0 - 150.0
        assert asked_later > now + 2000.0 - 150.0
        for sock in (*silent, asking, after):
            sock.close()


@virtual
async def test_a_full_table_that_stays_full_charges_nobody_with_the_time_since_it_filled():
    upstream = await Upstream([OK]).start()
    async with running(upstream, raw={"limits": {"sockets": 96}}) as sidecar:
        crowd = [await App.connect(sidecar.address) for _ in range(60)]

        async def trickle():
            while True:
                crowd.append(await App.connect(sidecar.address))
                await asyncio.sleep(0.02)

        loop = asyncio.get_running_loop()
        task = asyncio.create_task(trickle())
        statuses = []
        for _ in range(10):
            await asyncio.sleep(0.2)
            good = await App.connect(sidecar.address)
            statuses.append(status_of(await good.ask(X_Budget="1000m")))
            good.close()
            (acceptor,) = sidecar.front._acceptors
            assert acceptor._full_since_s is None or loop.time() - acceptor._full_since < 0.15
        task.cancel()
        assert statuses == [200] * 10
        for app in crowd:
            app.close()


@virtual
async def test_a_byte_behind_an_answer_keeps_no_place():
    """Guards against a connection that is in no queue, and so is never evicted."""
    upstream = await Upstream([OK]).start()
    async with running(upstream, raw={"limits": {"sockets": 96}}) as sidecar:
        crowd = []
        for _ in range(60):
            crowd.append(await App.connect(sidecar.address))
            crowd[-1].writer.write(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\nG")
        await asyncio.sleep(0.2)
        standing = Counter(entry.eviction_class for entry in sidecar.front.table)
        assert standing[EvictionClass.RECEIVING]
        assert not standing[EvictionClass.IN_CALL]
        for _ in range(10):
            async with asyncio.timeout(1.0):  # halves are only ended after 2 s
                good = await App.connect(sidecar.address)
                assert status_of(await good.ask(X_Budget="900m")) == 200
        for app in crowd:
            app.close()


@virtual
async def test_what_comes_behind_the_last_request_that_is_read_raises_nothing():
    upstream = await Upstream([hang]).start()
    raised = []
    asyncio.get_running_loop().set_exception_handler(lambda loop, told: raised.append(told))
    async with running(upstream) as sidecar:
        sidecar.front.budget = Limits(1, 2**20, 1000).budget("clients")
        sidecar.front.reserve = Limits(2, 0, 0).descriptors.add_share("at the limit")
        busy = await App.connect(sidecar.address)
        busy.send()
        await until(lambda: upstream.seen)
        app = await App.connect(sidecar.address)
        app.writer.write(b"\r\n")
        await asyncio.sleep(0.05)  # it has a transport by now
        app.writer.write(request() + b"GET /look HTTP/1.1\r\nX-Pad: " + b"y" * 200_000)
        assert status_of(await app.answer()) == 503
        await until(lambda: len(sidecar.front.table) == 1)
        await asyncio.sleep(0.05)
        assert [
            told for told in raised if not isinstance(told.get("exception"), asyncio.CancelledError)
        ] == []


@virtual
async def test_what_the_machine_has_accepted_as_the_drain_begins_is_answered():
    upstream = await Upstream([later]).start()
    async with running(upstream) as sidecar:
        sidecar.front.budget = Limits(2, 2**20, 1000).budget("clients")
        sidecar.front.reserve = Limits(1, 0, 0).descriptors.add_share("at the limit")
        busy = [await App.connect(sidecar.address) for _ in range(2)]
        for app in busy:
            app.send()
        await until(lambda: len(upstream.seen) == 2)
        silent = await App.connect(sidecar.address)
        await until(lambda: sidecar.front.reserve.used == 1)
        queued = await App.connect(sidecar.address)
        queued.send()
        silent.close()
        drain = asyncio.create_task(sidecar.drain())
        assert status_of(await queued.answer()) == 503
        assert [status_of(await app.answer()) for app in busy] == [200, 200]
        await drain


@virtual
async def test_a_pause_under_pressure_lasts_though_others_close():
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        apps = [await App.connect(sidecar.address) for _ in range(3)]
        await until(lambda: len(sidecar.front.table) == 3)
        sidecar.front.pause()
        (acceptor,) = sidecar.front._acceptors
        apps[0].close()
        await until(lambda: len(sidecar.front.table) == 2)
        assert acceptor._pause is not None
        assert status_of(await (await App.connect(sidecar.address)).ask()) == 200  # it ends


@virtual
async def test_halves_of_requests_give_way_to_whole_ones_when_bytes_run_short():
    """Guards against bodies that never end and fill the buffers: good requests would be refused for seconds.

    What the watch does about full buffers when it looks is another matter.
    """
    upstream = await Upstream([OK]).start()
    async with running(upstream, rules=()) as sidecar:
        sidecar.limits.buffered.resize(600_000)
        halves = []
        for size in [60_000] * 12 + [6000] * 12 + [500] * 60 + [100] * 60:
            halves.append(await App.connect(sidecar.address))
            halves[-1].writer.write(request("POST", "/pay", b"x" * size)[:-1])
        await until(lambda: sidecar.front.budget.buffered.available < 60_000)
        for _ in range(12):
            good = await App.connect(sidecar.address)
            assert status_of(await good.ask("POST", "/pay", b"x" * 50_000)) == 200
        for app in halves:
            app.close()


@virtual
async def test_a_slow_reader_stands_in_no_queue_of_who_is_at_rest(monkeypatch):
    """Guards against looks that are spent on clients that read a little now and then."""
    monkeypatch.setattr(server_module, "SEND_BUFFER_BYTES", 4096)
    upstream = await Upstream([LARGE]).start()
    async with running(upstream) as sidecar:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, sidecar.address)
        await loop.sock_sendall(sock, request())
        await until(lambda: sidecar.front.buffers.stalled)
        (entry,) = sidecar.front.table
        assert entry.eviction_class is EvictionClass.IN_CALL
        assert sidecar.front.table.idle_count == 0
        got = 0
        while got < len(LARGE) - 100:
            got += len(await loop.sock_recv(sock, 65536))
        await until(lambda: entry.eviction_class is EvictionClass.IDLE)
        sock.close()


@virtual
async def test_a_connection_that_is_closed_is_free_at_once():
    """Without a collection: cycles would let memory grow with every client there ever was."""
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        gc.collect()
        gc.disable()
        try:
            for _ in range(50):
                app = await App.connect(sidecar.address)
                await app.ask()
                app.close()
            await until(lambda: not len(sidecar.front.table))
            await asyncio.sleep(0.05)
            left = sum(isinstance(thing, ClientConnection) for thing in gc.get_objects())
        finally:
            gc.enable()
        assert left <= 2


@virtual
async def test_timers_for_answers_that_wait_for_room_do_not_multiply():
    upstream = await Upstream([OK]).start()
    async with running(upstream, balancer=Scripted()) as sidecar:
        await (await App.connect(sidecar.address)).ask()
        (connection,) = sidecar.pool._connections
        sidecar.limits.buffered.resize(100)
        for _ in range(100):
            assert not sidecar.pool.reserve_buffer(connection, 1000)
            sidecar.pool.release_buffer(connection)
        scheduled = asyncio.get_running_loop()._scheduled
        pending = [timer for timer in scheduled if "_retry_buffers" in repr(timer)]
        assert len(pending) == 1


@virtual
async def test_a_second_answer_that_comes_late_marks_its_server_and_the_mark_goes():
    """Point 4 of the limits: after the first sign each connection carries one request."""

    async def twice(reader, writer):
        asyncio.get_running_loop().call_later(0.06, writer.write, OK.replace(b"done", b"copy"))
        return OK

    upstream = await Upstream([twice]).start()
    module = Scripted()
    async with running(upstream, balancer=module) as sidecar:
        app = await App.connect(sidecar.address)
        assert (await app.ask()).body == b"done"
        (server,) = sidecar.pool._servers.values()
        await until(lambda: server.reuse_from_ms > 0.0)
        for _ in range(5):
            assert (await app.ask()).body == b"done"
            assert not server.idle
        assert len(upstream.writers) == 6
        assert {status for _, status, _ in module.outcomes()} == {Outcome.OK}
        server.reuse_from_ms = 0.0
        upstream.replies = [OK]
        for _ in range(3):
            assert (await app.ask()).body == b"done"
            await asyncio.sleep(0.03)
        assert len(upstream.writers) == 7


@virtual
async def test_a_second_answer_that_comes_before_the_connection_is_used_again_marks_nothing(monkeypatch):
    monkeypatch.setattr(idle_connections, "REUSE_DELAY_MS", 60_000.0)

    async def twice(reader, writer):
        asyncio.get_running_loop().call_later(0.005, writer.write, OK)
        return OK

    upstream = await Upstream([OK + OK, twice, OK]).start()
    async with running(upstream, balancer=Scripted()) as sidecar:
        app = await App.connect(sidecar.address)
        for _ in range(3):
            assert (await app.ask()).body == b"done"
            await asyncio.sleep(0.02)
        (server,) = sidecar.pool._servers.values()
        assert server.reuse_from_ms == 0.0
        assert len(server.idle) == 1
        assert len(upstream.writers) == 3

"""A client that disconnects just as an attempt for its request starts: nothing is sent for it."""

from __future__ import annotations

import asyncio
import select
import socket
import struct

import pytest

from fordtrestle.balancer.model import Fail, Outcome, Refuse, Send, Timer
from fordtrestle.proxy.http import client_buffers, client_connection, idle_connections, stream
from fordtrestle.proxy.http import server as server_module
from fordtrestle.proxy.http.client_connection import ClientConnection
from tests import loopback as partners
from tests.loopback import OK, PATIENCE_S, App, Scripted, Upstream, hang, request, running, until
from tests.proxy.http.test_holding import LARGE, connect_socket
from tests.proxy.http.test_upstream import FULL
from tests.virtual import virtual

LIMITS = {**partners.SETTINGS["PolicyLimits"], "ConnectTimeout": 10_000.0}
READINESS_REQUEST = b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"


@pytest.fixture
def no_reuse_delay(monkeypatch):
    """Allow a connection to be reused at once."""
    monkeypatch.setattr(idle_connections, "REUSE_DELAY_MS", 0.0)


@pytest.fixture
def no_sweep(monkeypatch):
    """Disable the periodic sweep, so that it detects nothing."""
    monkeypatch.setattr(server_module, "SWEEP_INTERVAL_S", 3600.0)


def close(sock):
    sock.close()


def reset(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def shut(sock):
    sock.shutdown(socket.SHUT_WR)


def connections(sidecar):
    return [entry.owner for entry in sidecar.front.table]


def leave(sidecar, sock, how):
    """Disconnect the client in this iteration: the kernel has its end, and the loop can't have seen it."""
    (connection,) = connections(sidecar)
    source = connection._transport.get_extra_info("socket")
    poll = select.poll()
    poll.register(source.fileno(), select.POLLRDHUP)
    how(sock)
    assert poll.poll(PATIENCE_S * 1000.0)


async def connect_idle(sidecar):
    """Connect a client whose connection has its transport and is idle."""
    sock = await connect_socket(sidecar.address, 2**16)
    await asyncio.get_running_loop().sock_sendall(sock, READINESS_REQUEST)
    assert b" 200 " in await asyncio.get_running_loop().sock_recv(sock, 1000)
    await until(lambda: isinstance(connections(sidecar)[0]._transport, asyncio.Transport))
    return sock


async def everything_is_released(sidecar):
    await until(lambda: not connections(sidecar) and not sidecar.driver._requests)
    assert sidecar.limits.calls.used == 0
    assert not sidecar.front.reading_paused


@pytest.mark.parametrize("how", [close, reset, shut])
@virtual
async def test_no_attempt_starts_from_a_timer_in_the_iteration_in_which_the_client_leaves(how):
    upstream = await Upstream().start()
    module = Scripted(request=lambda now, arrival: [Timer(0.0, str(arrival.request))])
    async with running(upstream, balancer=module) as sidecar:
        sock = await connect_idle(sidecar)

        def due(now, token):
            leave(sidecar, sock, how)
            return [Send(int(token), "s0", 0.0)]

        module.scripts["timer"] = due
        await asyncio.get_running_loop().sock_sendall(sock, request())
        await until(lambda: module.outcomes())
        assert module.outcomes() == [(0, Outcome.ABANDONED, True)]  # `client_gone` was reported before
        assert len(module.named("client_gone")) == 1
        assert upstream.writers == []  # no connection is made for it either
        await everything_is_released(sidecar)
        sock.close()


@pytest.mark.usefixtures("no_reuse_delay")
@pytest.mark.parametrize("how", [close, reset])
@virtual
async def test_no_retry_starts_in_the_iteration_in_which_the_client_leaves(how):
    upstream = await Upstream([FULL, OK]).start()
    module = Scripted()
    async with running(upstream, balancer=module) as sidecar:
        sock = await connect_idle(sidecar)

        def again(now, number, hop, *rest):
            if hop:
                return []
            leave(sidecar, sock, how)
            return [Send(number, "s0", 0.0)]

        module.scripts["outcome"] = again
        await asyncio.get_running_loop().sock_sendall(sock, request())
        await until(lambda: len(module.outcomes()) == 2)
        assert module.outcomes()[1] == (1, Outcome.ABANDONED, True)
        assert len(upstream.seen) == 1
        assert len(sidecar.pool._idle) == 1  # nothing was written on the connection that became idle
        await everything_is_released(sidecar)


@pytest.mark.parametrize("how", [close, reset])
@pytest.mark.parametrize("first", [True, False])
@virtual
async def test_a_request_that_arrives_together_with_its_clients_disconnect_is_not_sent(first, how):
    """The request is read in one iteration and the disconnect is reported only in the next one."""
    upstream = await Upstream().start()
    module = Scripted()
    async with running(upstream, balancer=module) as sidecar:
        if first:
            sock = await connect_socket(sidecar.address, 2**16)
            await until(lambda: connections(sidecar))
            fd = connections(sidecar)[0].sock.fileno()
        else:
            sock = await connect_idle(sidecar)
            fd = connections(sidecar)[0]._transport.get_extra_info("socket").fileno()
        # No await from here on: the loop reads the request with the end already behind it.
        poll = select.poll()
        poll.register(fd, select.POLLRDHUP)
        if how is reset:
            arrive = module.scripts["request"]

            def reset_then_send(now, arrival):
                leave(sidecar, sock, reset)  # a reset before the read would discard the request
                return arrive(now, arrival)

            module.scripts["request"] = reset_then_send
            sock.send(request())
        else:
            sock.send(request())
            sock.close()
            assert poll.poll(PATIENCE_S * 1000.0)
        await until(lambda: module.named("client_gone") and module.outcomes())
        assert [status for _, status, _ in module.outcomes()] == [Outcome.ABANDONED]
        assert upstream.writers == []
        await everything_is_released(sidecar)


@pytest.mark.parametrize("how", [close, reset])
@pytest.mark.parametrize("after", range(6))
@virtual
async def test_no_attempt_starts_for_a_client_that_leaves_while_its_transport_is_set_up(after, how):
    """Covers each iteration from reading the first bytes until the transport exists."""
    upstream = await Upstream().start()
    raised, transport_states = [], []
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: raised.append(context))
    module = Scripted()
    async with running(upstream, balancer=module) as sidecar:
        sock = await connect_socket(sidecar.address, 2**16)

        async def leave_then_send(number):
            for _ in range(after):
                await asyncio.sleep(0)
            transport_states.append(isinstance(connections(sidecar)[0]._transport, asyncio.Transport))
            leave(sidecar, sock, how)
            sidecar.driver._perform(Send(number, "s0", 0.0))

        def begin(now, arrival):
            transport_states.append(asyncio.get_running_loop().create_task(leave_then_send(arrival.request)))
            return []

        module.scripts["request"] = begin
        await asyncio.get_running_loop().sock_sendall(sock, request())
        await until(lambda: module.outcomes())
        assert [status for _, status, _ in module.outcomes()] == [Outcome.ABANDONED]
        assert len(module.named("client_gone")) == 1
        assert upstream.writers == []
        await everything_is_released(sidecar)
        assert sidecar.limits.descriptors.used == 0
        assert not raised
        assert (after, transport_states[1]) not in ((0, True), (5, False))  # the iterations cover both states


@pytest.mark.usefixtures("no_sweep")
@pytest.mark.parametrize("how", [close, reset, shut])
@virtual
async def test_queued_requests_are_not_served_after_the_client_has_left(how, monkeypatch):
    """Reading is paused meanwhile, so the loop does not report the disconnect."""
    monkeypatch.setattr(client_connection, "MAX_OPEN_CALLS", 1)
    module = Scripted()
    upstream = await Upstream().start()
    async with running(upstream, balancer=module) as sidecar:
        sock = await connect_idle(sidecar)

        async def leaves_then_ok(reader, writer):
            leave(sidecar, sock, how)
            return OK

        upstream.replies = [leaves_then_ok]
        await asyncio.get_running_loop().sock_sendall(sock, request() + request())
        await everything_is_released(sidecar)
        assert len(upstream.seen) == 1
        assert len(module.named("request")) == 1
        sock.close()


@pytest.mark.parametrize("how", [close, reset, shut])
@virtual
async def test_a_client_that_leaves_while_reading_is_paused_is_noticed_soon(how, monkeypatch):
    monkeypatch.setattr(client_connection, "MAX_OPEN_CALLS", 2)
    module = Scripted()
    upstream = await Upstream([hang]).start()
    async with running(upstream, balancer=module) as sidecar:
        sock = await connect_idle(sidecar)
        await asyncio.get_running_loop().sock_sendall(sock, b"".join(request() for _ in range(3)))
        await until(lambda: len(upstream.seen) == 2 and connections(sidecar)[0]._unserved)
        how(sock)
        await until(lambda: not connections(sidecar))
        assert len(module.named("client_gone")) == 2
        assert len(upstream.seen) == 2
        assert not sidecar.front.reading_paused
        sock.close()


@virtual
async def test_a_stalled_client_that_shuts_down_writing_is_noticed_soon(monkeypatch):
    monkeypatch.setattr(client_buffers, "STALL_TIMEOUT_MS", 3_600_000.0)
    monkeypatch.setattr(client_buffers, "UNSENT_TIMEOUT_MS", 3_600_000.0)
    upstream = await Upstream([LARGE]).start()
    async with running(upstream) as sidecar:
        sock = await connect_socket(sidecar.address)
        await asyncio.get_running_loop().sock_sendall(sock, b"".join(request() for _ in range(16)))
        await until(lambda: sidecar.front.buffers.stalled)
        seen = len(upstream.seen)
        sock.shutdown(socket.SHUT_WR)
        await until(lambda: not connections(sidecar))
        assert len(upstream.seen) - seen < 16
        assert sidecar.limits.calls.used == 0
        assert not sidecar.front.reading_paused
        sock.close()


@pytest.mark.parametrize("open_attempt", [True, False])
@pytest.mark.parametrize("how", [shut, close])
@virtual
async def test_a_client_that_shuts_down_writing_counts_as_gone(how, open_attempt):
    """The protocol says that a client that closes its connection has gone away.

    On the wire a close and a shutdown of writing are the same segment. What distinguishes them, a reset,
    comes only after something is written back: too late for a further attempt, which may start for at most
    0.1 s. So both count as gone, and a client that still reads gets the end of the connection without an
    answer.
    """
    upstream = await Upstream([hang]).start()
    module = Scripted(
        request=lambda now, arrival: [
            *([Send(arrival.request, "s0", 0.0)] if open_attempt else []),
            Timer(300.0, str(arrival.request)),
        ],
        timer=lambda now, token: [Send(int(token), "s0", 0.0)],
    )
    async with running(upstream, balancer=module) as sidecar:
        sock = await connect_idle(sidecar)
        await asyncio.get_running_loop().sock_sendall(sock, request())
        await until(lambda: len(upstream.seen) == open_attempt and module.named("request"))
        how(sock)
        await until(lambda: module.named("client_gone"))
        if how is shut:
            assert await asyncio.get_running_loop().sock_recv(sock, 1000) == b""
        await until(lambda: module.named("timer"))
        await asyncio.sleep(0.05)
        assert len(upstream.seen) == open_attempt
        assert len(module.named("client_gone")) == 1
        sock.close()


@virtual
async def test_reading_paused_before_the_transport_exists_stays_paused():
    upstream = await Upstream([hang]).start()
    async with running(upstream, balancer=Scripted()) as sidecar:
        sock = await connect_socket(sidecar.address, 2**16)
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(sock, b"".join(request() for _ in range(5)))
        await until(lambda: connections(sidecar) and isinstance(connections(sidecar)[0], ClientConnection))
        (connection,) = connections(sidecar)
        await until(lambda: isinstance(connection._transport, asyncio.Transport) and len(upstream.seen) == 4)
        assert len(connection._unanswered) == 5
        assert len(connection._unserved) == 1
        late = request()
        await loop.sock_sendall(sock, late)
        # Any bytes that are read would be read before those of another connection made later.
        await (await App.connect(sidecar.address)).ask("GET", "/health/ready", X_Call_Id=None)
        assert len(connection._unanswered) == 5
        assert stream.unread_bytes(connection._transport) == len(late)
        sock.close()


@pytest.mark.parametrize("hung_up", [stream.PEER_CLOSED, 0])
@pytest.mark.parametrize(("before", "how"), [(b"", close), (b"", reset), (b"x", close), (b"x", reset)])
def test_an_end_is_detected_behind_unread_bytes_and_bytes_alone_are_not_an_end(
    before, how, hung_up, monkeypatch
):
    """Without a hang-up event from the kernel, an end behind no unread bytes is still detected."""
    monkeypatch.setattr(stream, "PEER_CLOSED", hung_up)
    with socket.create_server(("127.0.0.1", 0)) as listening:
        sock = socket.create_connection(listening.getsockname())
        there = stream.EarlyTransport(listening.accept()[0])
        assert not stream.is_closed_by_peer(there)
        sock.sendall(before)
        assert not stream.is_closed_by_peer(there)
        poll = select.poll()
        poll.register(there.sock.fileno(), select.POLLRDHUP)
        how(sock)
        assert poll.poll(PATIENCE_S * 1000.0)
        assert stream.is_closed_by_peer(there) is (hung_up != 0 or not before or how is reset)
        there.sock.close()
        assert stream.is_closed_by_peer(there)


# --- dials ----------------------------------------------------------------------------


class HeldConnects:
    """Connections to servers that are established but reported only once the test allows it."""

    def __init__(self, monkeypatch):
        self.loop, self.up, self.gate = asyncio.get_running_loop(), 0, asyncio.Event()
        self._real = self.loop.create_connection
        monkeypatch.setattr(self.loop, "create_connection", self)

    async def __call__(self, make, host, port):
        made = await self._real(make, host, port)
        self.up += 1
        await self.gate.wait()
        return made


@pytest.mark.usefixtures("no_reuse_delay")
@virtual
async def test_a_connect_that_completes_after_the_client_left_carries_nothing_and_is_reused(monkeypatch):
    """Also if the settings forbid cancelling, so that the attempt continues."""
    upstream = await Upstream().start()
    module = Scripted()
    async with running(upstream, balancer=module) as sidecar:
        app, held = await App.connect(sidecar.address), HeldConnects(monkeypatch)
        app.send()
        await until(lambda: held.up)
        app.close()
        await until(lambda: module.named("client_gone"))
        held.gate.set()
        await until(lambda: module.outcomes())
        assert module.outcomes() == [(0, Outcome.ABANDONED, True)]
        assert upstream.seen == []
        other = await App.connect(sidecar.address)
        assert (await other.ask()).body == b"done"
        assert [seen.connection for seen in upstream.seen] == [0]


@virtual
async def test_a_connect_that_completes_as_the_client_leaves_carries_nothing(monkeypatch):
    upstream = await Upstream().start()
    module = Scripted()
    async with running(upstream, balancer=module) as sidecar:
        sock, held = await connect_idle(sidecar), HeldConnects(monkeypatch)
        await asyncio.get_running_loop().sock_sendall(sock, request())
        await until(lambda: held.up)
        held.gate.set()
        leave(sidecar, sock, close)
        await until(lambda: module.outcomes())
        assert module.outcomes() == [(0, Outcome.ABANDONED, True)]
        assert upstream.seen == []
        await everything_is_released(sidecar)


@pytest.mark.parametrize("served", [True, False])
@virtual
async def test_a_connect_that_completes_after_the_final_answer_carries_nothing(served, monkeypatch):
    first, second = await Upstream().start(), await Upstream().start()
    module = Scripted()

    def twice(now, arrival):
        other = Send(arrival.request, "s1", 0.0) if served else Refuse(arrival.request, 0.0)
        return [Send(arrival.request, "s0", 0.0), other]

    async with running(first, second, balancer=module) as sidecar:
        app, held = await App.connect(sidecar.address), HeldConnects(monkeypatch)
        real, only = held._real, sidecar.pool._servers["s0"].address

        async def held_for_first(make, host, port):
            return await (held if (host, port) == only else real)(make, host, port)

        monkeypatch.setattr(held.loop, "create_connection", held_for_first)
        module.scripts["request"] = twice
        assert (await app.ask()).start.split(" ")[1] == ("200" if served else "503")
        await until(lambda: held.up)
        held.gate.set()
        await until(lambda: len(module.outcomes()) == 1 + served)
        assert module.outcomes()[-1] == (0, Outcome.ABANDONED, True)
        assert first.seen == []
        await until(lambda: not sidecar.driver._requests)


@pytest.mark.parametrize(("begin_within", "outcome"), [(20.0, Outcome.ABANDONED), (3_600_000.0, Outcome.OK)])
@virtual
async def test_an_attempt_whose_connect_completes_too_late_writes_nothing(begin_within, outcome, monkeypatch):
    """Guards against a keyed retry that waits for its connection until the server forgot its key."""
    upstream = await Upstream().start()
    module = Scripted(
        request=lambda now, arrival: [Send(arrival.request, "s0", 0.0, begin_within)],
        outcome=lambda now, number, hop, status, spent, last, report: [] if last else [Fail(number)],
    )
    async with running(upstream, balancer=module, PolicyLimits=LIMITS) as sidecar:
        app, held = await App.connect(sidecar.address), HeldConnects(monkeypatch)
        app.send("POST", "/book", b"x")
        await until(lambda: held.up)
        await asyncio.sleep(0.03)
        held.gate.set()
        await until(lambda: module.outcomes())
        assert [status for _, status, _ in module.outcomes()] == [outcome]
        assert len(upstream.seen) == (outcome is Outcome.OK)
        assert (await app.answer()).start.split(" ")[1] == ("200" if outcome is Outcome.OK else "502")

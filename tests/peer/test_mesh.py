"""Meshes: processes link up, detect that a peer has ended, and close without waiting for peers."""

from __future__ import annotations

import asyncio

from fordtrestle.dissemination.messages import Want
from tests.exchanges import loopback, until
from tests.peer.peers import listen, make_mesh


@loopback
async def test_an_exception_in_the_message_handler_does_not_end_the_link():
    received = []

    def handle(link, message):
        received.append(message)
        if len(received) == 1:
            raise ValueError("the handler fails")

    one, other = make_mesh("one"), make_mesh("other", handle)
    one.dial([await listen(other)])
    await until(lambda: one.links())
    one.link("other").send(Want(("a",)))
    one.link("other").send(Want(("b",)))
    await until(lambda: len(received) == 2)
    await one.close()
    await other.close()


@loopback
async def test_processes_link_up_and_detect_that_a_peer_has_ended():
    received = []

    def handle(link, message):
        received.append((link.node, message))

    one, other = make_mesh("one", handle), make_mesh("other", handle)
    address = await listen(other)
    one.dial([address])
    await until(lambda: one.links() and other.links())
    assert one.round_trips[address] < 1.0
    one.link("other").send(Want(("a",)))
    other.link("one").send(Want(("b",)))
    await until(lambda: len(received) == 2)
    assert sorted(received, key=str) == [("one", Want(("a",))), ("other", Want(("b",)))]
    await one.close()
    await until(lambda: not other.links())
    await other.close()


@loopback
async def test_connections_before_their_handshake_do_not_delay_closing():
    """A dial to a silent machine, a dial to a closed port, and an accepted connection without a hello."""
    mesh = make_mesh("one")
    await listen(mesh)
    accepted = asyncio.Event()

    async def accept_silently(reader, writer):
        accepted.set()
        await reader.read()
        writer.close()

    unresponsive = await asyncio.start_server(accept_silently, "127.0.0.1", 0)
    absent = await asyncio.start_server(accept_silently, "127.0.0.1", 0)
    ports = [server.sockets[0].getsockname()[1] for server in (unresponsive, absent)]
    absent.close()
    mesh.dial([f"127.0.0.1:{port}" for port in ports])
    await accepted.wait()
    _, writer = await asyncio.open_connection(*mesh._server.sockets[0].getsockname())
    await until(lambda: mesh._accepted)
    dials = list(mesh._dials.values())
    async with asyncio.timeout(1.0):
        await mesh.close()
        await asyncio.wait(dials)
    writer.close()
    unresponsive.close()


@loopback
async def test_a_link_that_is_cancelled_at_process_exit_is_not_logged_as_an_error():
    """Two sides that close at the same time may miss the other's close; the remaining task is cancelled."""
    errors = []
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: errors.append(context))
    one, other = make_mesh("one"), make_mesh("other")
    one.dial([await listen(other)])
    await until(lambda: one.links() and other.links())
    (accepted,) = other._accepted
    accepted.cancel()
    await asyncio.wait([accepted])
    await asyncio.sleep(0)
    assert not errors
    assert not accepted.cancelled()
    await one.close()
    await other.close()

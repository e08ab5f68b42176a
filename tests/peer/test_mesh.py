"""Meshes: processes link up, notice that one has gone, and end without waiting for anyone."""

from __future__ import annotations

import asyncio

from fordtrestle.dissemination.messages import Want
from tests.exchanges import loopback, until
from tests.peer.peers import listen, quiet_mesh


@loopback
async def test_a_fault_in_handling_a_message_does_not_end_the_link():
    received = []

    def handle(link, message):
        received.append(message)
        if len(received) == 1:
            raise ValueError("a fault of ours")

    one, other = quiet_mesh("one"), quiet_mesh("other", handle)
    one.dial([await listen(other)])
    await until(lambda: one.links())
    one.link("other").send(Want(("a",)))
    one.link("other").send(Want(("b",)))
    await until(lambda: len(received) == 2)
    await one.close()
    await other.close()


@loopback
async def test_processes_link_up_and_notice_that_one_has_ended():
    received = []

    def handle(link, message):
        received.append((link.node, message))

    one, other = quiet_mesh("one", handle), quiet_mesh("other", handle)
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
async def test_links_that_are_coming_up_do_not_hold_up_the_end():
    """One whose machine says nothing, one that nobody listens for, one that has not said who it is."""
    mesh = quiet_mesh("one")
    await listen(mesh)
    accepted = asyncio.Event()

    async def say_nothing(reader, writer):
        accepted.set()
        await reader.read()
        writer.close()

    unresponsive = await asyncio.start_server(say_nothing, "127.0.0.1", 0)
    absent = await asyncio.start_server(say_nothing, "127.0.0.1", 0)
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
async def test_a_link_that_is_cancelled_as_the_process_ends_is_not_logged_as_a_fault():
    """Two sides that close at once may not notice each other in time; what is left is cancelled."""
    faults = []
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: faults.append(context))
    one, other = quiet_mesh("one"), quiet_mesh("other")
    one.dial([await listen(other)])
    await until(lambda: one.links() and other.links())
    (accepted,) = other._accepted
    accepted.cancel()
    await asyncio.wait([accepted])
    await asyncio.sleep(0)
    assert not faults
    assert not accepted.cancelled()
    await one.close()
    await other.close()

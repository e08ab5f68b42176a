"""Races between two events of the discovery client, in both orders."""

from __future__ import annotations

import asyncio

import pytest

from fordtrestle.proxy.engine.ports import parse_address
from fordtrestle.proxy.membership.registry_call import RegistryConnection
from tests.loopback import Registry, entry, listed
from tests.proxy.membership.stand_ins import Outage, UpdateRecorder, chunk, line, make_client, until_virtual
from tests.virtual import virtual


async def two_registries():
    """Return a registry that is watched from version 41, and one with a version sequence of its own."""
    return await Registry().start(), await Registry(listed(3, entry("s1"))).start()


@virtual
async def test_an_update_of_the_old_registry_received_at_a_move_is_not_reported(connections, recorder):
    """Otherwise all lists of the new registry would look older than those of the old one."""
    old, new = await two_registries()
    client = make_client(old.address, recorder)
    client.start()
    await until_virtual(lambda: old.watches)
    await asyncio.sleep(0.05)
    client.move(parse_address(new.address))
    connections[0].data_received(chunk(line(50, "late")))
    assert recorder.versions() == [("remembered", 41)]
    await until_virtual(lambda: new.watches)
    new.send_update(4, entry("s2"))
    await recorder.until(lambda update: update[1] == 4)
    assert recorder.versions() == [("remembered", 41), ("all", 3), ("changes", 4)]
    client.close()
    old.stop()
    new.stop()


@virtual
async def test_an_update_whose_listener_moves_the_client_is_the_last_of_that_registry(recorder):
    old, new = await two_registries()
    client = make_client(old.address, recorder)
    recorder.react = lambda form: form == "changes" and client.move(parse_address(new.address))
    client.start()
    await until_virtual(lambda: old.watches)
    old.write(line(42, "a") + line(43, "b"))
    await recorder.until(lambda update: update[1] == 3)
    assert recorder.versions() == [("remembered", 41), ("changes", 42), ("all", 3)]
    client.close()
    old.stop()
    new.stop()


@pytest.mark.parametrize("stop", ["off", "closed"])
@pytest.mark.parametrize("when", ["before", "in the listener"])
@virtual
async def test_a_watch_stopped_when_its_response_arrives_reports_nothing_more(
    when, stop, connections, recorder
):
    """Guards against a late update as well as a late failure."""
    registry = await Registry().start()
    client = make_client(registry.address, recorder, is_pushed=False)
    client.start()
    client.watch(True)
    await until_virtual(lambda: registry.watches)
    await asyncio.sleep(0.05)

    def end(form):
        if stop == "off":
            client.watch(False)
        else:
            client.close()

    both = chunk(line(42, "a") + line(43, "b"))
    if when == "before":
        end("")
    else:
        recorder.react = end
    connections[0].data_received(both)
    await asyncio.sleep(30.0)
    assert recorder.versions() == [("remembered", 41)] + ([("changes", 42)] if when != "before" else [])
    assert registry.watches[0].is_closing()
    assert len(registry.targets) == 1
    client.close()
    registry.stop()


@virtual
async def test_a_watch_that_fails_in_the_loop_iteration_of_its_stop_is_no_failure(connections, recorder):
    registry = await Registry().start()
    client = make_client(registry.address, recorder, is_pushed=False)
    client.watch(True)
    await until_virtual(lambda: registry.watches)
    await asyncio.sleep(0.05)
    connections[0].connection_lost(None)
    client.watch(False)
    await asyncio.sleep(10.0)
    assert recorder.updates == []
    client.close()
    registry.stop()


@virtual
async def test_a_list_completed_in_the_loop_iteration_of_a_move_is_not_reported(connections, recorder):
    old, new = await Outage("mute").start(), await Registry(listed(3, entry("s1"))).start()
    client = make_client(old.address, recorder, is_pushed=False)
    client.fetch()
    await old.has_request.wait()
    body = line(60, "late", snapshot=True)
    connections[0].data_received(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
    assert connections[0].is_complete
    client.move(parse_address(new.address))
    await recorder.until(lambda update: update[1] == 3)
    await asyncio.sleep(10.0)
    assert recorder.versions() == [("all", 3)]
    client.close()
    old.stop()
    new.stop()


@pytest.mark.parametrize("action", ["move", "off", "close"])
@virtual
async def test_a_connect_that_succeeds_in_the_loop_iteration_of_its_cancellation_sends_nothing(
    action, monkeypatch
):
    old, new = await two_registries()
    client = make_client(old.address, UpdateRecorder(), is_pushed=False)
    connection_made = RegistryConnection.connection_made
    cancelled = []

    def cancel_as_made(self, transport):
        connection_made(self, transport)
        if not cancelled:
            cancelled.append(transport)
            if action == "move":
                client.move(parse_address(new.address))
            elif action == "off":
                client.watch(False)
            else:
                client.close()

    monkeypatch.setattr(RegistryConnection, "connection_made", cancel_as_made)
    client.watch(True)
    await until_virtual(lambda: cancelled)
    await asyncio.sleep(1.0)
    assert old.targets == []
    assert cancelled[0].is_closing()
    assert bool(new.watches) == (action == "move")
    client.close()
    old.stop()
    new.stop()


@virtual
async def test_a_list_older_than_what_a_malformed_watch_reported_is_rejected(connections, capfd, recorder):
    """Otherwise leaving servers would be listed as active again."""
    registry = await Registry(listed(45, entry("old"))).start()
    client = make_client(registry.address, recorder, is_pushed=False)
    client.watch(True)
    await until_virtual(lambda: registry.watches)
    registry.send_update(50, entry("new"))
    await recorder.until(lambda update: update[1] == 50)
    connections[0].data_received(chunk(b"{}}\n"))
    client.fetch()
    await asyncio.sleep(1.0)
    assert recorder.versions() == [("changes", 50), ("refused", None), ("refused", None)]
    client.watch(True)
    await until_virtual(lambda: len(registry.watches) == 2)
    assert (
        registry.targets[-1] == "/registry/instances?watch=1&from=0"
    )  # the content of the malformed line is unknown
    assert len(capfd.readouterr().err.splitlines()) == 1
    client.close()
    registry.stop()


@virtual
async def test_a_closed_client_sends_nothing():
    registry = await Registry().start()
    client = make_client(registry.address, UpdateRecorder(), is_pushed=False)
    client.close()
    client.watch(True)
    client.fetch()
    client.move(parse_address("127.0.0.1:9"))
    await asyncio.sleep(1.0)
    assert registry.targets == []
    registry.stop()


@virtual
async def test_repeated_moves_end_at_the_last_registry_with_any_calls_in_flight(recorder):
    """Moves back and forth while a connect hangs, then to a registry with a version sequence of its own."""
    old, new = await two_registries()
    hangs = await Outage("hangs").start()
    client = make_client(old.address, recorder)
    client.start()
    await until_virtual(lambda: old.watches)
    client.move(parse_address(hangs.address))
    await asyncio.sleep(0.4)
    client.move(parse_address(hangs.address))
    client.move(parse_address(old.address))
    client.move(parse_address(hangs.address))
    await asyncio.sleep(7.0)
    client.move(parse_address(new.address))
    moved_at = asyncio.get_running_loop().time()
    await recorder.until(lambda update: update[1] == 3)
    assert recorder.last_at - moved_at < 0.1  # at once, without a backoff
    assert recorder.versions() == [("remembered", 41), ("all", 3)]
    client.close()
    for registry in (old, new, hangs):
        registry.stop()

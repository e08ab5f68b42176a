"""The discovery client and the messages between peers, on real sockets."""

from __future__ import annotations

import asyncio
import json
import socket

import pytest

from fordtrestle.balancer.model import Fetch, Tell, Watch
from fordtrestle.proxy.engine.ports import parse_address
from fordtrestle.proxy.membership import timing
from tests.loopback import Registry, Scripted, entry, listed, loopback, running, until


def updates_of(module):
    """Return the form and server names of each list event."""
    return [(form, [row.server for row in rows]) for form, rows in module.named("server_list")]


@loopback
async def test_the_known_list_is_reported_first_and_a_watch_starts_from_its_version():
    registry = await Registry().start()
    module = Scripted()
    known = listed(41, entry("s0"))
    async with running(balancer=module, registry=registry, raw={"known": known}):
        await until(lambda: registry.watches)
        assert registry.targets == ["/registry/instances?watch=1&from=41"]
        registry.send_update(43, entry("s1", status="leaving"))
        registry.write(b"\n")
        registry.send_update(50, entry("s2"), snapshot=True)
        await until(lambda: len(updates_of(module)) == 3)
        assert updates_of(module) == [("remembered", ["s0"]), ("changes", ["s1"]), ("all", ["s2"])]


@loopback
async def test_lines_are_assembled_from_any_chunks():
    registry = await Registry().start()
    module = Scripted()
    async with running(balancer=module, registry=registry):
        await until(lambda: registry.watches)
        line = json.dumps(listed(42, entry("s1"), snapshot=False)).encode() + b"\n\n"
        for i in range(0, len(line), 9):
            registry.write(line[i : i + 9])
            await asyncio.sleep(0)
        await until(lambda: len(updates_of(module)) == 2)
        assert updates_of(module)[1] == ("changes", ["s1"])


@loopback
async def test_a_complete_list_drops_servers_from_the_pool():
    registry = await Registry().start()
    async with running(registry=registry, raw={"known": listed(41, entry("s0"), entry("s1"))}) as sidecar:
        await until(lambda: registry.watches)
        registry.send_update(42, entry("s1", "127.0.0.1:10"), snapshot=True)
        await until(lambda: set(sidecar.pool._servers) == {"s1"})
        assert sidecar.pool._servers["s1"].address.port == 10


@loopback
async def test_older_changes_are_not_reported_but_the_current_version_is_accepted():
    registry = await Registry().start()
    module = Scripted()
    async with running(balancer=module, registry=registry):
        await until(lambda: registry.watches)
        registry.send_update(41)
        registry.send_update(40, entry("old"))
        registry.send_update(42, entry("new"))
        await until(lambda: len(updates_of(module)) == 3)
        assert updates_of(module)[1:] == [("changes", []), ("changes", ["new"])]


@pytest.mark.parametrize("fault", ["ended", "garbage", "silent"])
@loopback
async def test_a_failed_watch_is_restarted_if_lists_are_pushed(fault, monkeypatch):
    monkeypatch.setattr(timing, "MIN_BACKOFF_S", 0.01)
    if fault == "silent":
        monkeypatch.setattr(timing, "WATCH_TIMEOUT_S", 1.0)
    registry = await Registry().start()
    module = Scripted()
    async with running(balancer=module, registry=registry):
        await until(lambda: registry.watches)
        registry.send_update(44, entry("s1"))
        await until(lambda: len(updates_of(module)) == 2)
        if fault == "ended":
            registry.watches[0].close()
        elif fault == "garbage":
            registry.write(b'{"endpoints": 7}\n')
        await until(lambda: len(registry.targets) > 1)
        expected_version = 0 if fault == "garbage" else 44
        assert registry.targets[1] == f"/registry/instances?watch=1&from={expected_version}"
        assert "refused" not in [form for form, _ in updates_of(module)]


@loopback
async def test_a_moved_watch_accepts_a_complete_list_of_any_version_at_once(monkeypatch):
    """The client does not wait for a backoff, and does not compare the versions of the two registries."""
    monkeypatch.setattr(timing, "MIN_BACKOFF_S", 3600.0)
    monkeypatch.setattr(timing, "MAX_BACKOFF_S", 3600.0)
    old, new = await Registry().start(), await Registry(listed(3, entry("s1"))).start()
    module = Scripted()
    known = listed(41, entry("s0"))
    async with running(balancer=module, registry=old, raw={"known": known}) as sidecar:
        await until(lambda: old.watches)
        sidecar.discovery.move(parse_address(new.address))
        sidecar.discovery.move(parse_address(new.address))
        await until(lambda: new.watches)
        assert new.targets == ["/registry/instances", "/registry/instances?watch=1&from=3"]
        await until(lambda: old.watches[0].is_closing())
        new.send_update(4, entry("s2"))
        await until(lambda: len(updates_of(module)) == 3)
        assert updates_of(module)[1:] == [("all", ["s1"]), ("changes", ["s2"])]
        assert set(sidecar.pool._servers) == {"s1", "s2"}
    new.stop()


@loopback
async def test_a_fetch_in_flight_is_repeated_at_the_new_registry():
    old, new = await Registry().start(), await Registry(listed(3, entry("s1"))).start()
    module = Scripted()
    raw = {"known": listed(41, entry("s0"))}
    async with running(balancer=module, registry=old, raw=raw, Discovery="subscribe") as sidecar:
        sidecar.driver._perform(Fetch())
        sidecar.discovery.move(parse_address(new.address))
        await until(lambda: len(updates_of(module)) == 2)
        assert updates_of(module)[1:] == [("all", ["s1"])]
    new.stop()


@loopback
async def test_if_lists_are_not_pushed_the_module_requests_them_and_gets_failures():
    registry = await Registry(listed(60, entry("s5"))).start()
    module = Scripted()
    async with running(balancer=module, registry=registry, Discovery="subscribe") as sidecar:
        assert registry.targets == []
        sidecar.driver._perform(Watch(True))
        await until(lambda: registry.watches)
        registry.watches[0].close()
        await until(lambda: len(updates_of(module)) == 2)
        sidecar.driver._perform(Fetch())
        await until(lambda: len(updates_of(module)) == 3)
        registry.stop()
        sidecar.driver._perform(Fetch())
        await until(lambda: len(updates_of(module)) == 4)
        assert updates_of(module)[1:] == [("refused", []), ("all", ["s5"]), ("refused", [])]
        assert len(registry.watches) == 1


def udp():
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(("127.0.0.1", 0))
    sock.settimeout(10.0)
    return sock


@loopback
async def test_peers_are_identified_by_their_address_and_invalid_messages_are_dropped():
    own_socket, peer, stranger, everyone = udp(), udp(), udp(), udp()
    address, other, broadcast = (
        f"127.0.0.1:{sock.getsockname()[1]}" for sock in (own_socket, peer, everyone)
    )
    own_socket.close()
    raw = {"peer_listen": address, "peers": [address, other], "peers_all": broadcast}
    module = Scripted()
    async with running(balancer=module, raw=raw) as sidecar:
        own_address = (address.split(":")[0], int(address.split(":")[1]))
        stranger.sendto(b"who", own_address)
        peer.sendto(b"x" * 257, own_address)
        peer.sendto(b"x" * 256, own_address)
        await until(lambda: module.named("peer_message"))
        assert module.named("peer_message") == [[1, b"x" * 256]]
        sidecar.driver._perform(Tell(1, b"x" * 257))
        sidecar.driver._perform(Tell(1, b"one"))
        sidecar.driver._perform(Tell(None, b"all"))
        loop = asyncio.get_running_loop()
        assert await loop.run_in_executor(None, peer.recv, 999) == b"one"
        assert await loop.run_in_executor(None, everyone.recv, 999) == b"all"
    for sock in (peer, stranger, everyone):
        sock.close()

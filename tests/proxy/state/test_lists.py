"""Lists kept over restarts: what was told as stored is there after a crash, and no disk ends a start."""

from __future__ import annotations

import asyncio
import time

import pytest

from fordtrestle.balancer.model import Listing
from fordtrestle.proxy.engine.ports import Address, ServerList
from fordtrestle.proxy.state import lists
from fordtrestle.proxy.state.files import Files
from fordtrestle.proxy.state.lists import ListKeeper
from tests.loopback import loopback, until
from tests.proxy.state.standin import Memory


def servers(version):
    return ServerList(version, True, [Listing(f"s{version}")], {f"s{version}": Address("127.0.0.1", 80)})


class Held:
    """A keeper and what it told, in order."""

    def __init__(self, store, bases=None):
        loop = asyncio.get_running_loop()
        self.told = []
        self.keeper = ListKeeper(loop, store, self.stored, self.failed, bases)

    def stored(self, service, version, digest):
        self.told.append((service, version, digest))

    def failed(self, service, why):
        self.told.append((service, why))

    @property
    def failures(self):
        return [row for row in self.told if len(row) == 2]

    async def keep(self, service, version):
        self.keeper.keep(service, servers(version), f"d{version}")
        told = len(self.told)
        await until(lambda: len(self.told) > told)


@loopback
async def test_the_next_life_begins_with_the_last_lists(tmp_path):
    for life in (1, 2, 3):
        held = Held(Files(str(tmp_path / "state")))
        kept = held.keeper.load(["a", "b-2"])
        assert kept.life == life
        assert kept.lists == ({} if life == 1 else {name: servers(life - 1) for name in ("a", "b-2")})
        cold = [
            f"state: list-{name}: none kept; service {name} starts without a list" for name in ("a", "b-2")
        ]
        assert kept.log_lines == (cold if life == 1 else [])
        await held.keep("a", life)
        await held.keep("b-2", life)
        assert held.told == [("a", life, f"d{life}"), ("b-2", life, f"d{life}")]
        held.keeper.close(30.0)
        held.keeper.keep("a", servers(9), "late")
        await asyncio.sleep(0)
        assert len(held.told) == 2


@loopback
async def test_a_list_is_told_as_stored_only_once_it_and_its_name_are_synced():
    store = Memory()
    held = Held(store)
    held.keeper.load(["a"])
    store.calls.clear()
    store.free.clear()
    held.keeper.keep("a", servers(1), "d1")
    assert store.blocked.wait(30.0)
    for version in (2, 3, 4):  # while the disk is busy with the first
        held.keeper.keep("a", servers(version), f"d{version}")
    await asyncio.sleep(0)
    assert held.told == []
    store.free.set()
    await until(lambda: len(held.told) == 2)
    assert held.told == [("a", 1, "d1"), ("a", 4, "d4")]
    write = ["remove", "append", "sync", "replace", "sync_folder"]
    assert [call[0] for call in store.calls] == write * 2
    held.keeper.close(30.0)
    assert store.closed


@pytest.mark.parametrize("names_kept", [True, False])
@loopback
async def test_wherever_the_disk_fails_what_was_told_as_stored_is_there(names_kept):
    for fail_at in range(1, 30):
        store = Memory(fail_at)
        held = Held(store)
        life = held.keeper.load(["a", "b"]).life
        calls = len(store.calls)
        for service, version in (("a", 1), ("b", 2), ("a", 3), ("b", 4)):
            if life and not held.failures:
                await held.keep(service, version)
            else:
                held.keeper.keep(service, servers(version), "later")
        held.keeper.close(30.0)
        await asyncio.sleep(0)
        last = dict(row[:2] for row in held.told if len(row) == 3)
        failed = fail_at <= len(store.calls)
        assert len(held.failures) == (1 if life and failed else 0)
        assert len(store.calls) == ((fail_at if failed else 28) if life else calls)
        found = Held(store.crash(names_kept)).keeper.load(["a", "b"])
        assert found.life > life
        assert all(found.lists[service].version >= version for service, version in last.items())
        assert all("none kept" in line for line in found.log_lines)
    assert not failed, "every call has failed once"
    assert last == {"a": 3, "b": 4}


@loopback
async def test_a_damaged_list_is_a_cold_start_of_its_service_alone():
    store = Memory()
    held = Held(store)
    held.keeper.load(["a", "b"])
    for service in "ab":
        await held.keep(service, 5)
    held.keeper.close(30.0)
    left = store.crash(True)
    left.files["list-a"][-1] ^= 1
    left.files["life"] = bytearray(left.files["list-b"])
    held = Held(left)
    kept = held.keeper.load(["a", "b"])
    assert (kept.life, kept.lists) == (1, {"b": servers(5)})
    assert kept.log_lines == [
        "state: life: too long: more than 64 bytes; lives count from 1 again",
        "state: list-a: wrong checksum; service a starts without a list",
    ]
    assert left.names() == ["life", "life.damaged", "list-a.damaged", "list-b"]
    await held.keep("a", 6)
    assert held.told == [("a", 6, "d6")]


@loopback
async def test_a_list_under_other_zones_or_of_another_service_is_not_used():
    store = Memory()
    held = Held(store, {"a": "east,west"})
    held.keeper.load(["a"])
    await held.keep("a", 1)
    held.keeper.close(30.0)
    left = store.crash(True)
    left.files["list-b"] = left.files["list-a"]
    assert Held(left, {"a": "east,west"}).keeper.load(["a"]).lists == {"a": servers(1)}
    kept = Held(left, {"a": "west,east"}).keeper.load(["a", "b"])
    assert kept.lists == {}
    assert ["other zones" in kept.log_lines[0], "another service" in kept.log_lines[1]] == [True, True]


@loopback
async def test_a_disk_that_does_not_answer_delays_a_start_and_an_end_by_their_bounds_only():
    store = Memory()
    first = Held(store)
    first.keeper.load(["a"])
    await first.keep("a", 1)
    store.free.clear()
    held = Held(store)
    began = time.monotonic()
    kept = held.keeper.load(["a"], 0.2)
    held.keeper.keep("a", servers(2), "d2")
    held.keeper.close(0.2)
    assert time.monotonic() - began < 5.0
    assert kept.life == 0
    assert kept.lists == {"a": servers(1)}  # read before the disk stood still
    assert kept.log_lines == [
        "state: the disk did not answer in time",
        "state: nothing is stored until a restart",
    ]
    assert not store.closed, "a store is not closed under the thread that waits in it"
    store.free.set()
    held.keeper.close(30.0)
    assert store.closed
    assert held.told == []


@loopback
async def test_a_list_that_can_not_be_kept_is_told_once(monkeypatch):
    for version, why in ((2**70, "OverflowError"), (1, "more than 10 bytes")):
        held = Held(Memory())
        held.keeper.load(["a"])
        if version == 1:
            monkeypatch.setattr(lists, "LIST_BYTES_MOST", 10)
        await held.keep("a", version)
        held.keeper.keep("a", servers(2), "d2")
        held.keeper.close(30.0)
        await asyncio.sleep(0)
        assert len(held.told) == 1
        assert why in held.told[0][1]

"""Stored lists: one reported as stored survives a crash, and no disk failure prevents a start."""

from __future__ import annotations

import asyncio
import time

import pytest

from fordtrestle.balancer.model import Listing
from fordtrestle.proxy.engine.ports import Address, ServerList
from fordtrestle.proxy.state import endpoint_list_store
from fordtrestle.proxy.state.endpoint_list_store import EndpointListStore
from fordtrestle.proxy.state.posix_file_store import PosixFileStore
from tests.loopback import loopback, until
from tests.proxy.state.memory_file_store import MemoryFileStore


def servers(version):
    return ServerList(version, True, [Listing(f"s{version}")], {f"s{version}": Address("127.0.0.1", 80)})


class RecordedStore:
    """An endpoint list store; `reports` lists, in order, what it reported as stored or failed."""

    def __init__(self, store, bases=None):
        loop = asyncio.get_running_loop()
        self.reports = []
        self.lists = EndpointListStore(loop, store, self.on_stored, self.on_failed, bases)

    def on_stored(self, service, version, digest):
        self.reports.append((service, version, digest))

    def on_failed(self, service, reason):
        self.reports.append((service, reason))

    @property
    def failures(self):
        return [row for row in self.reports if len(row) == 2]

    async def save(self, service, version):
        self.lists.save(service, servers(version), f"d{version}")
        before = len(self.reports)
        await until(lambda: len(self.reports) > before)


@loopback
async def test_the_next_incarnation_starts_with_the_last_lists(tmp_path):
    for incarnation in (1, 2, 3):
        recorded = RecordedStore(PosixFileStore(str(tmp_path / "state")))
        restored = recorded.lists.load(["a", "b-2"])
        assert restored.incarnation == incarnation
        assert restored.lists == (
            {} if incarnation == 1 else {name: servers(incarnation - 1) for name in ("a", "b-2")}
        )
        cold = [
            f"state: list-{name}: not found; service {name} starts without a list" for name in ("a", "b-2")
        ]
        assert restored.log_lines == (cold if incarnation == 1 else [])
        await recorded.save("a", incarnation)
        await recorded.save("b-2", incarnation)
        assert recorded.reports == [
            ("a", incarnation, f"d{incarnation}"),
            ("b-2", incarnation, f"d{incarnation}"),
        ]
        recorded.lists.close(30.0)
        recorded.lists.save("a", servers(9), "late")
        await asyncio.sleep(0)
        assert len(recorded.reports) == 2


@loopback
async def test_a_list_is_reported_as_stored_only_once_it_and_its_name_are_synced(store):
    recorded = RecordedStore(store)
    recorded.lists.load(["a"])
    store.calls.clear()
    store.released.clear()
    recorded.lists.save("a", servers(1), "d1")
    assert store.blocked.wait(30.0)
    for version in (2, 3, 4):  # while the first list is being written
        recorded.lists.save("a", servers(version), f"d{version}")
    await asyncio.sleep(0)
    assert recorded.reports == []
    store.released.set()
    await until(lambda: len(recorded.reports) == 2)
    assert recorded.reports == [("a", 1, "d1"), ("a", 4, "d4")]
    write = ["remove", "append", "sync", "replace", "sync_folder"]
    assert [call[0] for call in store.calls] == write * 2
    recorded.lists.close(30.0)
    assert store.closed


@pytest.mark.parametrize("has_current_names", [True, False])
@loopback
async def test_wherever_the_disk_fails_a_list_reported_as_stored_is_there(has_current_names):
    for fail_at in range(1, 30):
        store = MemoryFileStore(fail_at)
        recorded = RecordedStore(store)
        incarnation = recorded.lists.load(["a", "b"]).incarnation
        calls = len(store.calls)
        for service, version in (("a", 1), ("b", 2), ("a", 3), ("b", 4)):
            if incarnation and not recorded.failures:
                await recorded.save(service, version)
            else:
                recorded.lists.save(service, servers(version), "later")
        recorded.lists.close(30.0)
        await asyncio.sleep(0)
        last = dict(row[:2] for row in recorded.reports if len(row) == 3)
        failed = fail_at <= len(store.calls)
        assert len(recorded.failures) == (1 if incarnation and failed else 0)
        assert len(store.calls) == ((fail_at if failed else 28) if incarnation else calls)
        found = RecordedStore(store.crash(has_current_names)).lists.load(["a", "b"])
        assert found.incarnation > incarnation
        assert all(found.lists[service].version >= version for service, version in last.items())
        assert all("not found" in line for line in found.log_lines)
    assert not failed, "every call has failed once"
    assert last == {"a": 3, "b": 4}


@loopback
async def test_a_corrupt_list_is_a_cold_start_of_its_service_alone(store):
    recorded = RecordedStore(store)
    recorded.lists.load(["a", "b"])
    for service in "ab":
        await recorded.save(service, 5)
    recorded.lists.close(30.0)
    after_crash = store.crash(True)
    after_crash.files["list-a"][-1] ^= 1
    after_crash.files["life"] = bytearray(after_crash.files["list-b"])
    recorded = RecordedStore(after_crash)
    restored = recorded.lists.load(["a", "b"])
    assert (restored.incarnation, restored.lists) == (1, {"b": servers(5)})
    assert restored.log_lines == [
        "state: life: too long: more than 64 bytes; incarnations count from 1 again",
        "state: list-a: wrong checksum; service a starts without a list",
    ]
    assert after_crash.names() == ["life", "life.damaged", "list-a.damaged", "list-b"]
    await recorded.save("a", 6)
    assert recorded.reports == [("a", 6, "d6")]


@loopback
async def test_a_list_of_other_zones_or_of_another_service_is_not_used(store):
    recorded = RecordedStore(store, {"a": "east,west"})
    recorded.lists.load(["a"])
    await recorded.save("a", 1)
    recorded.lists.close(30.0)
    after_crash = store.crash(True)
    after_crash.files["list-b"] = after_crash.files["list-a"]
    assert RecordedStore(after_crash, {"a": "east,west"}).lists.load(["a"]).lists == {"a": servers(1)}
    restored = RecordedStore(after_crash, {"a": "west,east"}).lists.load(["a", "b"])
    assert restored.lists == {}
    assert ["other zones" in restored.log_lines[0], "another service" in restored.log_lines[1]] == [
        True,
        True,
    ]


@loopback
async def test_a_disk_that_does_not_answer_delays_a_start_and_an_end_by_their_time_outs_only(store):
    first = RecordedStore(store)
    first.lists.load(["a"])
    await first.save("a", 1)
    store.released.clear()
    recorded = RecordedStore(store)
    started_at = time.monotonic()
    restored = recorded.lists.load(["a"], 0.2)
    recorded.lists.save("a", servers(2), "d2")
    recorded.lists.close(0.2)
    assert time.monotonic() - started_at < 5.0
    assert restored.incarnation == 0
    assert restored.lists == {"a": servers(1)}  # read before the disk stalled
    assert restored.log_lines == [
        "state: the disk did not answer in time",
        "state: nothing is stored until a restart",
    ]
    assert not store.closed, "a store is not closed while a thread waits in it"
    store.released.set()
    recorded.lists.close(30.0)
    assert store.closed
    assert recorded.reports == []


@loopback
async def test_a_list_that_can_not_be_stored_is_reported_once(monkeypatch):
    for version, reason in ((2**70, "OverflowError"), (1, "more than 10 bytes")):
        recorded = RecordedStore(MemoryFileStore())
        recorded.lists.load(["a"])
        if version == 1:
            monkeypatch.setattr(endpoint_list_store, "MAX_LIST_BYTES", 10)
        await recorded.save("a", version)
        recorded.lists.save("a", servers(2), "d2")
        recorded.lists.close(30.0)
        await asyncio.sleep(0)
        assert len(recorded.reports) == 1
        assert reason in recorded.reports[0][1]

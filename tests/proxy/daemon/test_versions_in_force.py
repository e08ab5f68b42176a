"""Versions in force: recorded before any action, stored, and restored without a registry."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import json
import signal
import threading

import pytest

from fordtrestle.balancer.model import Send
from fordtrestle.proxy.config import operator_file
from fordtrestle.proxy.daemon import versions_in_force
from fordtrestle.proxy.daemon.seams import Seams
from fordtrestle.proxy.daemon.standalone import Standalone
from fordtrestle.proxy.state.posix_file_store import PosixFileStore
from rig.registry import Registry, entry
from tests.loopback import App, Scripted, loopback, until
from tests.proxy.daemon.polling import poll
from tests.proxy.daemon.test_standalone import (
    SERVICE,
    Serving,
    fetch_body,
    listening,
    running_standalone,
    servers,
    upstream_returning,
)

SOURCE = '[source.a]\nkind = "registry"\naddress = "{}"\n'
TABLES = """
[process]
name = "n1"
[state]
folder = "{folder}/state"
[events]
file = "{folder}/events"
"""


def text(folder, address):
    return SERVICE.format(name="a") + SOURCE.format(address) + TABLES.format(folder=folder)


def recorded(folder, kind="", incarnation=None):
    """Return the events of the file, optionally of one kind and one incarnation."""
    rows, current = [], 0
    if (folder / "events").exists():
        for line in (folder / "events").read_text().splitlines():
            row = json.loads(line)
            current = row.get("life", current)
            if row["event"].startswith(kind) and incarnation in (None, current):
                rows.append(row)
    return rows


def version_and_digest(row):
    return row["version"], row["digest"]


def stored(folder, version):
    return any(row["version"] == version for row in recorded(folder, "stored"))


async def wait_until_served(fronts, answer):
    """Send requests until the response is `answer`; calls are rejected before the list is applied."""

    async def is_served():
        return await fetch_body(fronts["a"]) == answer

    async with asyncio.timeout(10.0):
        await poll(is_served)


# --- the program --------------------------------------------------------------------------


@loopback
async def test_a_killed_process_serves_from_its_stored_list_without_a_registry(tmp_path):
    """When a registry is available again, its updates apply."""
    one, two = await upstream_returning("one"), await upstream_returning("two")
    first, second = Registry([entry("s0", one.address)]), Registry([entry("s1", two.address)], index=50)
    for registry in (first, second):
        await registry.start()
    path = tmp_path / "operator.toml"
    path.write_text(text(tmp_path, first.address))
    made = await Serving.start(path)
    await wait_until_served(made.fronts, "one")
    await until(lambda: stored(tmp_path, 41))
    made.process.kill()
    await made.process.wait()
    await first.stop()

    made = await Serving.start(path)
    assert await fetch_body(made.fronts["a"], X_Call_Id="abc") == "one"
    await until(lambda: recorded(tmp_path, "acted", 2))
    known, action = recorded(tmp_path, "learned", 2)[1], recorded(tmp_path, "acted", 2)[0]
    assert known["form"] == "remembered"
    assert version_and_digest(known) == version_and_digest(recorded(tmp_path, "stored", 1)[-1])
    assert known["entries"].keys() == {"s0"}
    assert known["entries"]["s0"].startswith("active/")
    assert (version_and_digest(action), action["what"], action["call"], action["server"]) == (
        version_and_digest(known),
        "pick",
        "abc",
        "s0",
    )
    assert action["settings"] == recorded(tmp_path, "learned", 2)[0]["digest"]

    path.write_text(text(tmp_path, second.address))
    made.process.send_signal(signal.SIGHUP)
    await wait_until_served(made.fronts, "two")
    await until(lambda: stored(tmp_path, 50))
    assert recorded(tmp_path, "learned", 2)[-1]["form"] == "all"
    assert await made.stop() == 0
    # Guards against storing a remembered list: after a corrupt file it would be empty.
    assert {row["version"] for row in recorded(tmp_path, "stored", 2)} == {50}
    rows = recorded(tmp_path, incarnation=2)
    assert [row["number"] for row in rows] == list(range(1, len(rows) + 1))
    assert [row["event"] for row in rows if row["event"] in ("draining", "ended")] == ["draining", "ended"]
    assert rows[-1]["event"] == "ended"
    assert {row["node"] for row in rows} == {"n1"}
    await second.stop()


@loopback
async def test_a_folder_locked_by_another_process_is_one_line_and_no_start(tmp_path):
    path = tmp_path / "operator.toml"
    path.write_text(text(tmp_path, "127.0.0.1:9"))
    with (
        contextlib.closing(PosixFileStore(str(tmp_path / "state"))),
        pytest.raises(AssertionError),
    ):  # the process has ended
        await Serving.start(path)
    logged = path.with_suffix(".log").read_text()
    assert "can't start" in logged
    assert "another process has locked" in logged
    assert logged.count("\n") == 1
    assert not recorded(tmp_path)


# --- in one process -----------------------------------------------------------------------


@loopback
async def test_a_corrupt_list_is_a_cold_start_and_is_renamed(tmp_path, capfd):
    one = await upstream_returning("one")
    registry = await Registry([entry("s0", one.address)]).start()
    async with running_standalone(tmp_path, text(tmp_path, registry.address), capfd):
        await until(lambda: stored(tmp_path, 41))
    kept = tmp_path / "state" / "list-a"
    kept.write_bytes(kept.read_bytes()[:-1] + b"!")
    async with running_standalone(tmp_path, text(tmp_path, registry.address), capfd) as made:
        await wait_until_served(made.fronts, "one")
        await until(lambda: len(recorded(tmp_path, "stored")) == 2)
    start = recorded(tmp_path, "learned", 2)[1]
    assert (start["form"], start["version"], start["entries"]) == ("remembered", 0, {})
    assert (tmp_path / "state" / "list-a.damaged").exists()
    await registry.stop()


@loopback
async def test_without_a_usable_folder_one_line_is_logged_and_requests_are_served(tmp_path, capfd):
    one = await upstream_returning("one")
    registry = await Registry([entry("s0", one.address)]).start()
    (tmp_path / "state").write_text("a file")
    path = tmp_path / "operator.toml"
    path.write_text(text(tmp_path, registry.address))
    made = Standalone(asyncio.get_running_loop(), str(path), operator_file.read(str(path)))
    await made.start()
    logged = capfd.readouterr().err
    assert len(logged.splitlines()) == 2
    assert "nothing is stored" in logged.splitlines()[0]
    await wait_until_served(listening(logged), "one")
    await made.drain()
    made.close()
    assert recorded(tmp_path)[0]["life"] == 0
    assert not recorded(tmp_path, "stored")
    assert [row["rule"] for row in recorded(tmp_path, "unstored")] == ["list:a"]
    await registry.stop()


class FailingStore(PosixFileStore):
    """A disk that rejects all lists; counts the attempts to write one."""

    attempts = 0

    def append(self, name, data):
        if name.startswith("list-"):
            self.attempts += 1
            raise OSError(errno.ENOSPC, "full")
        super().append(name, data)


@loopback
async def test_a_disk_failure_stops_storing_and_nothing_else(tmp_path, capfd):
    one, two = await upstream_returning("one"), await upstream_returning("two")
    registry = await Registry([entry("s0", one.address)]).start()
    path, disks = tmp_path / "operator.toml", []
    path.write_text(text(tmp_path, registry.address))

    def store(folder):
        disks.append(FailingStore(folder))
        return disks[0]

    seams = Seams(store=store, stamp=lambda: 7.0, wall=lambda: 1e9)
    made = Standalone(asyncio.get_running_loop(), str(path), operator_file.read(str(path)), seams)
    await made.start()
    fronts = listening(capfd.readouterr().err)
    await until(lambda: recorded(tmp_path, "unstored"))
    registry.change(entry("s1", two.address), entry("s0", one.address, status="left"))
    await wait_until_served(fronts, "two")
    await made.drain()
    made.close()
    assert capfd.readouterr().err.count("nothing is stored until a restart") == 1
    assert disks[0].attempts == 1
    assert not recorded(tmp_path, "stored")
    last = recorded(tmp_path, "learned")[-1]
    assert (last["form"], last["version"], list(last["entries"])) == ("changes", 42, ["s1"])
    assert {row["at_ms"] for row in recorded(tmp_path)} == {7000.0}
    assert 1e12 <= made._clock.now() < 1e12 + 6e4
    await registry.stop()


@loopback
async def test_an_action_is_recorded_with_the_list_that_caused_it(tmp_path, capfd):
    """Guards against an action whose list is not recorded yet, or that is recorded with the previous list."""
    one, two = await upstream_returning("one"), await upstream_returning("two")
    requests = []

    def listed(now, form, rows):
        return [Send(number, "s0", 0.0) for number in requests]

    module = Scripted(request=lambda now, arrival: requests.append(arrival.request) or [], server_list=listed)
    tables = TABLES.format(folder=tmp_path)
    async with running_standalone(
        tmp_path, SERVICE.format(name="a") + servers("a", one) + tables, capfd, {"a": module}
    ) as made:
        app = await App.connect(made.fronts["a"])
        app.send()
        await until(lambda: requests)
        made.path.write_text(SERVICE.format(name="a") + servers("a", two) + tables)
        made.reload()
        assert (await app.answer()).body == b"two"
    last, action = recorded(tmp_path, "learned")[-1], recorded(tmp_path, "acted")[0]
    assert (last["form"], last["digest"], last["number"] + 1) == (
        "reload",
        action["digest"],
        action["number"],
    )


@loopback
async def test_with_a_full_disk_for_events_requests_are_served(tmp_path, capfd):
    one = await upstream_returning("one")
    both = SERVICE.format(name="a") + servers("a", one) + '[events]\nfile = "/dev/full"\n'
    async with running_standalone(tmp_path, both, capfd) as made:
        await until(lambda: made._versions._events._file.has_failed)
        assert await fetch_body(made.fronts["a"]) == "one"
    assert capfd.readouterr().err.endswith("events were not written\n")


@loopback
async def test_lists_of_a_file_have_no_version_and_a_reload_records_only_what_is_new(tmp_path, capfd):
    one, two = await upstream_returning("one"), await upstream_returning("two")
    tables = TABLES.format(folder=tmp_path)
    async with running_standalone(
        tmp_path, SERVICE.format(name="a") + servers("a", one) + tables, capfd
    ) as made:
        made.path.write_text(SERVICE.format(name="a") + servers("a", two) + tables + "[limits]\n")
        made.reload()
        made.reload()
        limits = "[limits]\nopen_calls_most = 9\n"
        made.path.write_text(SERVICE.format(name="a") + servers("a", two) + tables + limits)
        made.reload()
    rows = recorded(tmp_path, "learned")
    assert [(row["rule"][:4], row["form"]) for row in rows] == [
        ("sett", "file"),
        ("list", "file"),
        ("list", "reload"),
        ("sett", "reload"),
    ]
    assert {row["version"] for row in rows} == {0}
    assert len({row["digest"] for row in rows}) == 4
    assert "list-a" not in {path.name for path in (tmp_path / "state").iterdir()}


@loopback
async def test_a_folder_that_does_not_open_does_not_block_the_start(tmp_path, capfd, monkeypatch):
    """Guards against a mount that hangs: the process must start, without storing anything."""
    monkeypatch.setattr(versions_in_force, "OPEN_TIMEOUT_S", 0.05)
    one, released = await upstream_returning("one"), threading.Event()

    def store(folder):
        released.wait(20.0)
        return PosixFileStore(folder)

    path = tmp_path / "operator.toml"
    path.write_text(SERVICE.format(name="a") + servers("a", one) + TABLES.format(folder=tmp_path))
    made = Standalone(
        asyncio.get_running_loop(),
        str(path),
        operator_file.read(str(path)),
        Seams(store=store, stamp=lambda: 7.0),
    )
    waited = not released.is_set()
    released.set()
    await made.start()
    assert await fetch_body(listening(logged := capfd.readouterr().err)["a"]) == "one"
    await made.drain()
    made.close()
    assert waited
    assert "did not answer in time; nothing is stored until a restart" in logged
    assert recorded(tmp_path)[0]["life"] == 0

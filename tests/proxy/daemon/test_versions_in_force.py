"""Versions in force: recorded before they are acted on, stored, and restored without a registry."""

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
    answering,
    asked,
    listening,
    servers,
    standing,
)

SOURCE = '[source.a]\nkind = "registry"\naddress = "{}"\n'
TABLES = """
[process]
name = "n1"
[state]
folder = "{at}/state"
[events]
file = "{at}/events"
"""


def text(at, address):
    return SERVICE.format(name="a") + SOURCE.format(address) + TABLES.format(at=at)


def recorded(at, kind="", life=None):
    """The events of the file, of one kind and of one life."""
    rows, now = [], 0
    if (at / "events").exists():
        for line in (at / "events").read_text().splitlines():
            row = json.loads(line)
            now = row.get("life", now)
            if row["event"].startswith(kind) and life in (None, now):
                rows.append(row)
    return rows


def rule(row):
    return row["version"], row["digest"]


def stored(at, version):
    return any(row["version"] == version for row in recorded(at, "stored"))


async def served(fronts, answer):
    """Ask until the answer is this one: before the list is there calls are refused."""

    async def is_served():
        return await asked(fronts["a"]) == answer

    async with asyncio.timeout(10.0):
        await poll(is_served)


# --- the program --------------------------------------------------------------------------


@loopback
async def test_a_killed_process_serves_from_its_stored_list_without_a_registry(tmp_path):
    """And hears what is new once a registry is there again."""
    one, two = await answering("one"), await answering("two")
    first, second = Registry([entry("s0", one.address)]), Registry([entry("s1", two.address)], index=50)
    for registry in (first, second):
        await registry.start()
    path = tmp_path / "operator.toml"
    path.write_text(text(tmp_path, first.address))
    made = await Serving.start(path)
    await served(made.fronts, "one")
    await until(lambda: stored(tmp_path, 41))
    made.process.kill()
    await made.process.wait()
    await first.stop()

    made = await Serving.start(path)
    assert await asked(made.fronts["a"], X_Call_Id="abc") == "one"
    await until(lambda: recorded(tmp_path, "acted", 2))
    known, act = recorded(tmp_path, "learned", 2)[1], recorded(tmp_path, "acted", 2)[0]
    assert known["form"] == "remembered"
    assert rule(known) == rule(recorded(tmp_path, "stored", 1)[-1])
    assert known["entries"].keys() == {"s0"}
    assert known["entries"]["s0"].startswith("active/")
    assert (rule(act), act["what"], act["call"], act["server"]) == (rule(known), "pick", "abc", "s0")
    assert act["settings"] == recorded(tmp_path, "learned", 2)[0]["digest"]

    path.write_text(text(tmp_path, second.address))
    made.process.send_signal(signal.SIGHUP)
    await served(made.fronts, "two")
    await until(lambda: stored(tmp_path, 50))
    assert recorded(tmp_path, "learned", 2)[-1]["form"] == "all"
    assert await made.stop() == 0
    # Guards against storing what was remembered: after a damaged file, that would be an empty list.
    assert {row["version"] for row in recorded(tmp_path, "stored", 2)} == {50}
    rows = recorded(tmp_path, life=2)
    assert [row["number"] for row in rows] == list(range(1, len(rows) + 1))
    assert [row["event"] for row in rows if row["event"] in ("draining", "ended")] == ["draining", "ended"]
    assert rows[-1]["event"] == "ended"
    assert {row["node"] for row in rows} == {"n1"}
    await second.stop()


@loopback
async def test_a_folder_that_another_process_holds_is_one_line_and_no_start(tmp_path):
    path = tmp_path / "operator.toml"
    path.write_text(text(tmp_path, "127.0.0.1:9"))
    with (
        contextlib.closing(PosixFileStore(str(tmp_path / "state"))),
        pytest.raises(AssertionError),
    ):  # it ended
        await Serving.start(path)
    said = path.with_suffix(".log").read_text()
    assert "can't start" in said
    assert "another process holds" in said
    assert said.count("\n") == 1
    assert not recorded(tmp_path)


# --- in one process -----------------------------------------------------------------------


@loopback
async def test_a_damaged_list_is_a_cold_start_and_is_kept_aside(tmp_path, capfd):
    one = await answering("one")
    registry = await Registry([entry("s0", one.address)]).start()
    async with standing(tmp_path, text(tmp_path, registry.address), capfd):
        await until(lambda: stored(tmp_path, 41))
    kept = tmp_path / "state" / "list-a"
    kept.write_bytes(kept.read_bytes()[:-1] + b"!")
    async with standing(tmp_path, text(tmp_path, registry.address), capfd) as made:
        await served(made.fronts, "one")
        await until(lambda: len(recorded(tmp_path, "stored")) == 2)
    start = recorded(tmp_path, "learned", 2)[1]
    assert (start["form"], start["version"], start["entries"]) == ("remembered", 0, {})
    assert (tmp_path / "state" / "list-a.damaged").exists()
    await registry.stop()


@loopback
async def test_a_folder_that_cannot_be_used_is_one_line_and_it_serves(tmp_path, capfd):
    one = await answering("one")
    registry = await Registry([entry("s0", one.address)]).start()
    (tmp_path / "state").write_text("a file")
    path = tmp_path / "operator.toml"
    path.write_text(text(tmp_path, registry.address))
    made = Standalone(asyncio.get_running_loop(), str(path), operator_file.read(str(path)))
    await made.start()
    said = capfd.readouterr().err
    assert len(said.splitlines()) == 2
    assert "nothing is stored" in said.splitlines()[0]
    await served(listening(said), "one")
    await made.drain()
    made.close()
    assert recorded(tmp_path)[0]["life"] == 0
    assert not recorded(tmp_path, "stored")
    assert [row["rule"] for row in recorded(tmp_path, "unstored")] == ["list:a"]
    await registry.stop()


class Failing(PosixFileStore):
    """A disk that takes no list, and is asked once."""

    asked = 0

    def append(self, name, data):
        if name.startswith("list-"):
            self.asked += 1
            raise OSError(errno.ENOSPC, "full")
        super().append(name, data)


@loopback
async def test_a_disk_that_fails_ends_the_storing_and_nothing_else(tmp_path, capfd):
    one, two = await answering("one"), await answering("two")
    registry = await Registry([entry("s0", one.address)]).start()
    path, disks = tmp_path / "operator.toml", []
    path.write_text(text(tmp_path, registry.address))

    def store(folder):
        disks.append(Failing(folder))
        return disks[0]

    seams = Seams(store=store, stamp=lambda: 7.0, wall=lambda: 1e9)
    made = Standalone(asyncio.get_running_loop(), str(path), operator_file.read(str(path)), seams)
    await made.start()
    fronts = listening(capfd.readouterr().err)
    await until(lambda: recorded(tmp_path, "unstored"))
    registry.change(entry("s1", two.address), entry("s0", one.address, status="left"))
    await served(fronts, "two")
    await made.drain()
    made.close()
    assert capfd.readouterr().err.count("nothing is stored until a restart") == 1
    assert disks[0].asked == 1
    assert not recorded(tmp_path, "stored")
    last = recorded(tmp_path, "learned")[-1]
    assert (last["form"], last["version"], list(last["entries"])) == ("changes", 42, ["s1"])
    assert {row["at_ms"] for row in recorded(tmp_path)} == {7000.0}
    assert 1e12 <= made._clock.now() < 1e12 + 6e4
    await registry.stop()


@loopback
async def test_what_a_list_causes_is_recorded_as_done_by_that_list(tmp_path, capfd):
    """Guards against an act on a list that is not told yet, or is told as an act on the one before."""
    one, two = await answering("one"), await answering("two")
    held = []

    def listed(now, form, rows):
        return [Send(number, "s0", 0.0) for number in held]

    module = Scripted(request=lambda now, arrival: held.append(arrival.request) or [], server_list=listed)
    tables = TABLES.format(at=tmp_path)
    async with standing(
        tmp_path, SERVICE.format(name="a") + servers("a", one) + tables, capfd, {"a": module}
    ) as made:
        app = await App.connect(made.fronts["a"])
        app.send()
        await until(lambda: held)
        made.path.write_text(SERVICE.format(name="a") + servers("a", two) + tables)
        made.reload()
        assert (await app.answer()).body == b"two"
    last, act = recorded(tmp_path, "learned")[-1], recorded(tmp_path, "acted")[0]
    assert (last["form"], last["digest"], last["number"] + 1) == ("reload", act["digest"], act["number"])


@loopback
async def test_a_full_disk_under_the_events_is_one_line_and_it_serves(tmp_path, capfd):
    one = await answering("one")
    both = SERVICE.format(name="a") + servers("a", one) + '[events]\nfile = "/dev/full"\n'
    async with standing(tmp_path, both, capfd) as made:
        await until(lambda: made._versions._events._file.has_failed)
        assert await asked(made.fronts["a"]) == "one"
    assert capfd.readouterr().err.endswith("events were not written\n")


@loopback
async def test_lists_of_a_file_have_no_version_and_a_reload_records_only_what_is_new(tmp_path, capfd):
    one, two = await answering("one"), await answering("two")
    tables = TABLES.format(at=tmp_path)
    async with standing(tmp_path, SERVICE.format(name="a") + servers("a", one) + tables, capfd) as made:
        made.path.write_text(SERVICE.format(name="a") + servers("a", two) + tables + "[limits]\n")
        made.reload()
        made.reload()
        more = "[limits]\nopen_calls_most = 9\n"
        made.path.write_text(SERVICE.format(name="a") + servers("a", two) + tables + more)
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
async def test_a_folder_that_does_not_open_holds_no_start(tmp_path, capfd, monkeypatch):
    """Guards against a mount that hangs: the process starts and stores nothing."""
    monkeypatch.setattr(versions_in_force, "OPEN_TIMEOUT_S", 0.05)
    one, opens = await answering("one"), threading.Event()

    def store(folder):
        opens.wait(20.0)
        return PosixFileStore(folder)

    path = tmp_path / "operator.toml"
    path.write_text(SERVICE.format(name="a") + servers("a", one) + TABLES.format(at=tmp_path))
    made = Standalone(
        asyncio.get_running_loop(),
        str(path),
        operator_file.read(str(path)),
        Seams(store=store, stamp=lambda: 7.0),
    )
    waited = not opens.is_set()
    opens.set()
    await made.start()
    assert await asked(listening(said := capfd.readouterr().err)["a"]) == "one"
    await made.drain()
    made.close()
    assert waited
    assert "did not answer in time; nothing is stored until a restart" in said
    assert recorded(tmp_path)[0]["life"] == 0

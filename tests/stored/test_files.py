"""Recorded files are still read, and the program writes files with identical bytes."""

from __future__ import annotations

import asyncio
import gzip
import json
import shutil
from pathlib import Path

import pytest

from fordtrestle.balancer.model import Listing
from fordtrestle.coordination.changes import AdvanceCounter, GrantLock, WriteKey
from fordtrestle.load import trace
from fordtrestle.load.mix import Request
from fordtrestle.peer import codec
from fordtrestle.proxy.daemon.events import Events
from fordtrestle.proxy.engine.ports import Address, ServerList
from fordtrestle.proxy.state.endpoint_list_store import EndpointListStore
from fordtrestle.proxy.state.posix_file_store import PosixFileStore
from fordtrestle.replication.durable import Durable
from fordtrestle.replication.epochs import Epoch, Store, Term
from fordtrestle.replication.state import ConfigChange, Evacuation
from fordtrestle.storage.log import FILE_NAME, RecordLog
from rig.cluster.history import gaps, parse
from tests.loopback import loopback, until
from tests.stored.samples import DOCUMENT, gains_defaults_only, to_plain

DATA = Path(__file__).parent / "data"
STORE = Store("s1", "10.0.0.1:7000", "10.0.0.1:7001", "z-1")
TERM = Term(1, "s1")
COORDINATION_CHANGES = (
    GrantLock("l-1", "a1", 2500.0),
    AdvanceCounter("n-1"),
    WriteKey("g.k", "v-1", 0),
)
LATER_DOCUMENT = b'{"generation": 8, "routes": [], "services": [{"name": "pool"}]}'


def write_control_file(directory: Path) -> RecordLog:
    """Write the log of a control store through bootstrap, writes, a rewrite and more writes.

    The writes are a configuration, an evacuation and coordination changes before the rewrite, and the end of
    the evacuation and another configuration after it.
    """
    log = RecordLog(directory)
    log.open()
    durable = Durable("s1", must_bootstrap=True)
    log.append(map(codec.encode, durable.snapshot()))
    log.append(map(codec.encode, durable.prepare(TERM) or ()))
    log.append(map(codec.encode, durable.install(TERM, durable.state) or ()))
    epoch = Epoch(TERM, "s1", ("s1",), (STORE,), core="s1")
    log.append(map(codec.encode, durable.accept(epoch) or ()))
    log.append(map(codec.encode, durable.append(TERM, 1, ConfigChange(b"d" * 32, 7, DOCUMENT)) or ()))
    log.append(map(codec.encode, durable.append(TERM, 2, Evacuation("z-1", True)) or ()))
    for sequence, change in enumerate(COORDINATION_CHANGES, start=3):
        log.append(map(codec.encode, durable.append(TERM, sequence, change) or ()))
    shutil.copy(directory / FILE_NAME, directory / "before-rewrite.log")
    log.rewrite(map(codec.encode, durable.snapshot()))
    log.append(map(codec.encode, durable.append(TERM, 6, Evacuation("z-1", False)) or ()))
    log.append(map(codec.encode, durable.append(TERM, 7, ConfigChange(b"e" * 32, 8, LATER_DOCUMENT)) or ()))
    return log


@pytest.mark.parametrize(
    ("name", "values"),
    [
        ("control-before-rewrite-1.log", "control-before-rewrite-1.json"),
        ("control-1.log", "control-1.json"),
        ("control-before-rewrite-2.log", "control-before-rewrite-2.json"),
        ("control-2.log", "control-2.json"),
    ],
)
def test_a_recorded_control_file_restores_the_same_store(name, values, tmp_path):
    shutil.copy(DATA / name, tmp_path / FILE_NAME)
    log = RecordLog(tmp_path)
    records = [codec.decode(payload) for payload in log.open()]
    log.close()
    assert (tmp_path / FILE_NAME).read_bytes() == (DATA / name).read_bytes()
    recorded = json.loads((DATA / values).read_text())
    assert gains_defaults_only(recorded["records"], [to_plain(record) for record in records])
    durable = Durable.restore(records)
    assert durable is not None
    assert gains_defaults_only(recorded["restored"], [to_plain(record) for record in durable.snapshot()])


def test_a_control_file_is_written_identically_to_the_recorded_one(tmp_path):
    write_control_file(tmp_path).close()
    assert (tmp_path / FILE_NAME).read_bytes() == (DATA / "control-2.log").read_bytes()
    before = (tmp_path / "before-rewrite.log").read_bytes()
    assert before == (DATA / "control-before-rewrite-2.log").read_bytes()


LISTED = ServerList(
    41,
    True,
    [Listing("s1"), Listing("s2", 1, 2, 3, "draining", 0.5, 12.5)],
    {"s1": Address("10.0.1.1", 80), "s2": Address("10.0.1.2", 8080)},
)


def list_store(directory: Path) -> tuple[EndpointListStore, list[tuple[object, ...]]]:
    """Create an endpoint list store in a directory; return it and the calls of its `on_stored`."""
    stored_calls: list[tuple[object, ...]] = []
    loop = asyncio.get_running_loop()
    return EndpointListStore(
        loop,
        PosixFileStore(str(directory)),
        lambda *row: stored_calls.append(row),
        lambda *row: None,
        {"a": "b"},
    ), stored_calls


@loopback
async def test_recorded_lists_and_incarnation_are_read(tmp_path):
    shutil.copytree(DATA / "lists", tmp_path / "lists")
    lists, _ = list_store(tmp_path / "lists")
    loaded = lists.load(["a"])
    lists.close()
    assert loaded.incarnation == 2
    assert loaded.lists == {"a": LISTED}
    assert loaded.log_lines == []


@loopback
async def test_lists_and_incarnation_are_written_identically_to_the_recorded_ones(tmp_path):
    lists, stored_calls = list_store(tmp_path / "lists")
    lists.load(["a"])
    lists.save("a", LISTED, "digest")
    await until(lambda: stored_calls)
    lists.close()
    written = {path.name: path.read_bytes() for path in (tmp_path / "lists").iterdir()}
    assert written == {path.name: path.read_bytes() for path in (DATA / "lists").iterdir()}


REQUESTS = [
    Request(0, "look", "acme", "00ff", 500_000, 0),
    Request(10, "pay", "", "", 900_000, 65_536),
    Request(2_500_000, "look", "other", "k-1", 1, 0),
]


def test_a_recorded_trace_is_read_and_written_identically(tmp_path):
    assert list(trace.TraceReader(DATA / "requests.trace")) == REQUESTS
    trace.write(tmp_path / "requests.trace", REQUESTS, 3_000_000)
    assert (tmp_path / "requests.trace").read_bytes() == (DATA / "requests.trace").read_bytes()


def test_a_recorded_compressed_trace_is_read_and_written_with_the_same_content(tmp_path):
    """Compares the content: the compressed bytes differ between releases of the zlib library."""
    assert list(trace.TraceReader(DATA / "requests.trace.gz")) == REQUESTS
    trace.write(tmp_path / "requests.trace.gz", REQUESTS, 3_000_000)
    written = gzip.decompress((tmp_path / "requests.trace.gz").read_bytes())
    assert written == gzip.decompress((DATA / "requests.trace.gz").read_bytes())


def write_events(path: Path) -> None:
    """Write an event of each kind with all its fields. Must run in an event loop."""
    events = Events(asyncio.get_running_loop(), str(path), 100_000, "n0", lambda: 12.5)
    events.started(3)
    events.learned("settings:a", 0, "d1", "file")
    events.learned("list:a", 1, "d2", "all", {"s0": "active/0"})
    events.acted("list:a", 1, "d2", "pick", "call-1", "s0", 0, "d1")
    events.acted("list:a", 1, "d2", "refusal", "call-2", "", 0, "d1", "cold")
    events.stored("list:a", 1, "d2")
    events.unstored("list:a", "the disk is full")
    events.draining()
    events.ended()


@loopback
async def test_a_recorded_event_file_is_read_and_written_identically(tmp_path):
    recorded = (DATA / "events.jsonl").read_bytes()
    read = list(parse(recorded, "events.jsonl"))
    assert len(read) == 9
    assert not gaps(read)
    write_events(tmp_path / "events.jsonl")
    assert (tmp_path / "events.jsonl").read_bytes() == recorded

"""The disk of a node: no write is committed before it is synced, and failed writes are applied once."""

from __future__ import annotations

import asyncio
import contextlib
import random
import threading

import pytest

from fordtrestle.peer import record_writer as record_writer_module
from fordtrestle.peer.codec import decode
from fordtrestle.peer.mesh import Mesh
from fordtrestle.peer.messages import Envelope, Hello
from fordtrestle.peer.replicator import Replicator
from fordtrestle.replication.durable import Durable
from fordtrestle.replication.epochs import Store, Term
from fordtrestle.replication.messages import Prepare
from fordtrestle.replication.node import Node
from fordtrestle.replication.state import Evacuation
from fordtrestle.storage.errors import StorageError
from fordtrestle.storage.log import RecordLog
from tests.exchanges import loopback, until


class Disk(RecordLog):
    """A log whose appends can be blocked, and can fail a number of times."""

    def __init__(self, folder):
        super().__init__(folder)
        self.failures = 0
        self.may_append = threading.Event()
        self.may_append.set()

    def append(self, payloads):
        self.may_append.wait(10)
        if self.failures:
            self.failures -= 1
            raise StorageError("disk full")
        super().append(payloads)


@contextlib.asynccontextmanager
async def running_store(folder):
    """Run a single store, and yield its replicator and disk."""
    disk = Disk(folder)
    disk.open()
    node = Node(
        Store("s1", "127.0.0.1:1", "127.0.0.1:2", "z-1"),
        Durable("s1", must_bootstrap=True),
        tolerated_failures=0,
        counts_for_quorum=True,
        draw=random.Random(1).random,
        now=asyncio.get_running_loop().time(),
    )
    mesh = Mesh(Hello("core-1", "127.0.0.1:1"), lambda link, message: None, lambda link: None)
    replicator = Replicator(node, disk, mesh, lambda peer: True, lambda: None)
    run_task = asyncio.create_task(replicator.run())
    await until(lambda: node.is_ready)
    try:
        yield replicator, disk
    finally:
        disk.may_append.set()
        run_task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await run_task
        disk.close()


def write(replicator, zone):
    """Propose an evacuation, and return the pending write."""
    pending = replicator.node.propose(Evacuation(zone, True), replicator.now())
    replicator.pump()
    return pending


def has_committed(replicator, sequence):
    """Return whether the committed state is known and has reached this sequence number.

    It is None while the store is not the primary, which happens for a moment if its ticks are late.
    """
    state = replicator.node.committed_state
    return state is not None and state.sequence == sequence


def state_on_disk(folder):
    log = RecordLog(folder)
    restored = Durable.restore(map(decode, log.open()))
    log.close()
    return restored.state


@loopback
async def test_a_write_is_not_committed_before_it_is_on_disk(tmp_path):
    async with running_store(tmp_path) as (replicator, disk):
        disk.may_append.clear()
        assert write(replicator, "z-1")
        await until(lambda: replicator._writer.is_syncing)
        assert replicator.node.committed_state.sequence == 0
        disk.may_append.set()
        await until(lambda: replicator.node.committed_state.sequence == 1)
        assert state_on_disk(tmp_path).evacuated == ("z-1",)


@pytest.mark.parametrize("failures", [1, 3])
@loopback
async def test_writes_that_fail_at_first_are_applied_once(tmp_path, monkeypatch, failures):
    monkeypatch.setattr(record_writer_module, "DISK_RETRY_S", 0.01)
    async with running_store(tmp_path) as (replicator, disk):
        disk.failures = failures
        disk.may_append.clear()
        write(replicator, "z-1")
        await until(lambda: replicator._writer.is_syncing)  # so the second write waits for the first
        write(replicator, "z-2")
        disk.may_append.set()
        await until(lambda: has_committed(replicator, 2))
    state = state_on_disk(tmp_path)
    assert (state.sequence, state.evacuated) == (2, ("z-1", "z-2"))


@loopback
async def test_a_long_log_is_rewritten_without_losing_writes(tmp_path, monkeypatch):
    monkeypatch.setattr(record_writer_module, "MIN_REWRITE_BYTES", 400)
    async with running_store(tmp_path) as (replicator, disk):
        for number in range(60):
            write(replicator, f"z-{number % 3}")
            await until(lambda number=number: has_committed(replicator, number + 1))
        assert disk.size < 1_500
    state = state_on_disk(tmp_path)
    assert (state.sequence, sorted(state.evacuated)) == (60, ["z-0", "z-1", "z-2"])


@loopback
async def test_a_message_to_an_earlier_store_of_this_machine_is_dropped(tmp_path):
    async with running_store(tmp_path) as (replicator, _):
        term = Term(99, "s9")
        replicator.on_message(Envelope("s9", "s0", Prepare(term)))
        assert replicator.node.durable.prepared_term < term
        replicator.on_message(Envelope("s9", "s1", Prepare(term)))
        assert replicator.node.durable.prepared_term == term

"""Randomized search with the program's record log, on disks that lose unsynced writes."""

from __future__ import annotations

import pytest

from fordtrestle.storage.log import RecordLog
from tests.replication.serving_core import ServingCore
from tests.replication.stored import StoredWorld, disks
from tests.replication.test_search import play
from tests.replication.world import InvariantError
from tests.storage.disk import Disk

SEEDS = 40
MAX_SEEDS = 300  # within which missing syncs of appends must be found


@pytest.mark.parametrize("tolerated_failures", [1, 2])
@pytest.mark.parametrize("part", range(2))
def test_disks_that_lose_unsynced_writes_lose_nothing_acknowledged(tolerated_failures, part):
    with disks():
        acknowledged = [
            play(seed, tolerated_failures, StoredWorld) for seed in range(part * SEEDS, (part + 1) * SEEDS)
        ]
    assert sum(acknowledged) > SEEDS / 2


def test_log_that_syncs_no_append_is_found_by_the_search(monkeypatch):
    monkeypatch.setattr(Disk, "fdatasync", lambda self, descriptor: None)
    with disks(), pytest.raises(InvariantError):
        play_until_broken()


def play_until_broken() -> None:
    """Run schedules of three stores until one violates an invariant."""
    for seed in range(MAX_SEEDS):
        play(seed, 1, StoredWorld)


class StoredServingCore(ServingCore, StoredWorld):
    """Three serving stores, on disks that lose unsynced writes."""


def acknowledge_what_was_read_at_a_start(core: StoredServingCore) -> None:
    """Kill B during a write. B acknowledges what it reads at its restart, loses power; A loses its disk."""
    a, b = core.a, core.b
    core.propose(a)
    while a.queue:
        core.sync(a)
    appends = [envelope for envelope in core.pending if envelope.receiver == b.node.me.id]
    core.pending = [envelope for envelope in core.pending if envelope.receiver != b.node.me.id]
    disk = core.disks[b.address]
    disk.rng.random = lambda: 0.9  # writes are complete; the call at which the process ends has no effect
    for envelope in appends:
        core.deliver(envelope)
    disk.stop_at = len(disk.calls) + 2  # after the write, before its sync
    core._end = lambda machine: disk.kill()
    core.sync(b)
    assert b.node is None
    core.start(b)
    for envelope in appends:
        core.deliver(envelope)
    core.exchange_all(a, b)
    core.check()
    assert core.writes[-1].acknowledged
    disk.rng.random = lambda: 0.1  # at a power loss all unsynced writes are lost
    core._end = lambda machine: disk.lose_power()
    core.stop(b)
    core.wipe(a)
    core.heal_and_check()


def test_write_that_a_killed_process_left_unsynced_is_synced_before_it_is_acknowledged():
    with disks():
        acknowledge_what_was_read_at_a_start(StoredServingCore())


def test_write_that_is_read_but_not_synced_is_lost(monkeypatch):
    monkeypatch.setattr(Disk, "fsync", lambda self, descriptor: None)
    monkeypatch.setattr(RecordLog, "_sync_directory", lambda self: None)
    with disks():
        core = StoredServingCore()
        with pytest.raises(InvariantError):
            acknowledge_what_was_read_at_a_start(core)

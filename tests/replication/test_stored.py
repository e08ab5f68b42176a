"""The search over the record log of the program, on disks that lose what was not synced."""

from __future__ import annotations

import pytest

from fordtrestle.storage.log import RecordLog
from tests.replication.stored import StoredWorld, disks
from tests.replication.test_hard_cases import Script
from tests.replication.test_search import play
from tests.replication.world import Breach
from tests.storage.disk import Disk

SEEDS = 40


@pytest.mark.parametrize("machines", [1, 2])
@pytest.mark.parametrize("part", range(2))
def test_nothing_is_lost_on_disks_that_lose_what_was_not_synced(machines, part):
    with disks():
        acknowledged = [play(seed, machines, StoredWorld) for seed in range(part * SEEDS, (part + 1) * SEEDS)]
    assert sum(acknowledged) > SEEDS / 2


def test_a_log_that_syncs_no_append_is_found(monkeypatch):
    monkeypatch.setattr(Disk, "fdatasync", lambda self, descriptor: None)
    with disks(), pytest.raises(Breach):
        for seed in range(300):
            play(seed, 1, StoredWorld)


class StoredScript(Script, StoredWorld):
    """Three stores that serve, on disks that lose what was not synced."""


def what_was_read_is_told(script: StoredScript) -> None:
    """B is killed as it writes, tells of what it reads again, and loses power; then A loses its disk."""
    a, b = script.a, script.b
    script.propose(a)
    while a.queue:
        script.sync(a)
    appends = [envelope for envelope in script.pending if envelope.receiver == b.node.me.id]
    script.pending = [envelope for envelope in script.pending if envelope.receiver != b.node.me.id]
    disk = script.disks[b.address]
    disk.rng.random = lambda: 0.9  # whole writes, and no effect of the call at which the process ends
    for envelope in appends:
        script.deliver(envelope)
    disk.stop_at = len(disk.calls) + 2  # behind the write, before its sync
    script._end = lambda machine: disk.kill()
    script.sync(b)
    assert b.node is None
    script.start(b)
    for envelope in appends:
        script.deliver(envelope)
    script.flow(a, b)
    script.check()
    assert script.writes[-1].acknowledged
    disk.rng.random = lambda: 0.1  # at a loss of power all later writes are gone
    script._end = lambda machine: disk.lose_power()
    script.stop(b)
    script.wipe(a)
    script.settle()


def test_what_a_killed_process_left_unsynced_is_not_told_before_it_is_synced():
    with disks():
        what_was_read_is_told(StoredScript())


def test_without_the_sync_it_is_lost(monkeypatch):
    monkeypatch.setattr(Disk, "fsync", lambda self, descriptor: None)
    monkeypatch.setattr(RecordLog, "_sync_folder", lambda self: None)
    with disks():
        script = StoredScript()
        with pytest.raises(Breach):
            what_was_read_is_told(script)

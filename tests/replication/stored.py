"""The simulated deployment of control stores with the program's record log on simulated disks.

Each disk loses unsynced writes at a power loss (`tests/storage/disk.py`). Processes are killed, or machines
lose power, at any disk call.
"""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from pathlib import Path

from fordtrestle.peer.codec import decode, encode
from fordtrestle.replication.durable import Durable
from fordtrestle.replication.node import Node
from fordtrestle.storage import log as log_module
from fordtrestle.storage.errors import StorageError
from fordtrestle.storage.log import RecordLog
from tests.replication.deployment import Machine
from tests.replication.world import World
from tests.storage.disk import Disk, StoppedError

MAX_DISK_CALLS = 8  # within which a process is ended


class StoredWorld(World):
    """A world whose stores write record logs. Must run within `disks()`."""

    current: Disk

    def __init__(self, seed: int, tolerated_failures: int = 1) -> None:
        self.disks: dict[str, Disk] = {}
        self.logs: dict[str, RecordLog] = {}
        super().__init__(seed, tolerated_failures)

    @contextlib.contextmanager
    def open_log_of(self, machine: Machine) -> Iterator[RecordLog]:
        """Yield the log of a machine, and direct `os` calls to its disk."""
        self.disks.setdefault(machine.address, Disk(self.rng.getrandbits(32)))
        StoredWorld.current = self.disks[machine.address]
        yield self.logs.setdefault(machine.address, RecordLog(Path("data")))

    def start(self, machine: Machine) -> None:
        self.logs.pop(machine.address, None)
        with self.open_log_of(machine) as log:
            machine.disk = [decode(record) for record in log.open()]
            is_new = Durable.restore(machine.disk) is None
        super().start(machine)
        if is_new:
            with self.open_log_of(machine) as log:
                log.append(map(encode, machine.disk))

    def sync(self, machine: Machine) -> None:
        """Write the oldest effects; the process may be killed, or its machine lose power, meanwhile."""
        records = machine.queue[0].records
        try:
            if records:
                self._write(machine, records)
        except StoppedError:
            machine.node, machine.queue = None, []
            self._end(machine)
            return
        super().sync(machine)

    def _write(self, machine: Machine, records: list) -> None:
        with self.open_log_of(machine) as log:
            disk = self.disks[machine.address]
            if self.rng.random() < self.fault_rate / 3:
                disk.stop_at = len(disk.calls) + self.rng.randint(1, MAX_DISK_CALLS)
            refused = self.rng.random() < self.fault_rate / 10
            disk.failing_calls = {self.rng.choice(("pwrite", "fdatasync"))} if refused else set()
            try:
                log.append(map(encode, records))
            except StorageError:
                disk.failing_calls = set()
                log.rewrite(map(encode, machine.node.durable.snapshot()))
            disk.stop_at = None

    def heal(self, seconds: float = 30.0) -> Node:
        self.fault_rate = 0.0
        return super().heal(seconds)

    def stop(self, machine: Machine) -> None:
        super().stop(machine)
        self._end(machine)

    def _end(self, machine: Machine) -> None:
        disk = self.disks[machine.address]
        if self.rng.random() < 0.5:
            disk.kill()
        else:
            disk.lose_power()

    def wipe(self, machine: Machine) -> None:
        super().wipe(machine)
        self.disks[machine.address] = Disk(self.rng.getrandbits(32))

    def _rewrite(self) -> None:
        up = [machine for machine in self.machines if machine.node]
        if up:
            machine = self.rng.choice(up)
            with self.open_log_of(machine) as log:
                log.rewrite(map(encode, machine.node.durable.snapshot()))
            machine.disk = list(machine.node.durable.snapshot())


class _CurrentDisk:
    """Forwards `os` calls to the disk of the current machine."""

    def __getattr__(self, name: str) -> object:
        return getattr(StoredWorld.current, name)


@contextlib.contextmanager
def disks() -> Iterator[None]:
    """Redirect the record logs to the disks of the world."""
    machine_os = log_module.os
    log_module.os = _CurrentDisk()  # type: ignore[assignment]
    try:
        yield
    finally:
        log_module.os = machine_os

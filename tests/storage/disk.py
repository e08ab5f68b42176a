"""A simulated disk that loses unsynced changes at a power loss.

A file loses the writes since its last sync, and the directory the names that were added or removed since its
last sync.

A `Disk` replaces `os` in `fordtrestle.storage.log`. Killing the process (`kill`) loses nothing. At a power
loss (`lose_power`) each unsynced write is kept, lost or torn, and each unsynced change of a name is kept or
lost, independently, as on the platform's disks: a file's name is only durable once its directory is synced.
`stop_at` ends the process at a call, before or after its effect.
"""

from __future__ import annotations

import errno
import os
import random
from dataclasses import dataclass, field
from pathlib import Path

DIRECTORY = "the directory"


class StoppedError(BaseException):
    """The process ended during a disk call. A `BaseException`, so that the program does not catch it."""


@dataclass(eq=False)
class File:
    """A file: its synced content, its current content and the unsynced writes in between."""

    synced: bytes = b""
    data: bytearray = field(default_factory=bytearray)
    writes: list[tuple[int, bytes]] = field(default_factory=list)  # offset -1 - n: truncation to n bytes

    def write(self, at: int, data: bytes) -> None:
        self.writes.append((at, bytes(data)))
        _apply(self.data, at, data)

    def truncate(self, length: int) -> None:
        if length != len(self.data):
            self.writes.append((-1 - length, b""))
            _apply(self.data, -1 - length, b"")

    def sync(self) -> None:
        self.synced, self.writes = bytes(self.data), []

    def lose(self, rng: random.Random) -> None:
        left = bytearray(self.synced)
        loses_all = rng.random() < 0.3
        for at, data in self.writes:
            remaining = 0 if loses_all else rng.choice((0, rng.randint(0, len(data)), len(data)))
            if at < 0:
                if not loses_all and rng.random() < 0.5:
                    _apply(left, at, b"")
            elif remaining:
                _apply(left, at, data[:remaining])
        self.data, self.writes, self.synced = left, [], bytes(left)


def _apply(data: bytearray, at: int, written: bytes) -> None:
    if at < 0:
        del data[-1 - at :]
        return
    data.extend(bytes(max(0, at - len(data))))
    data[at : at + len(written)] = written


class Disk:
    """The disk of one machine, with the `os` calls that a process makes on it."""

    O_RDWR, O_CREAT, O_TRUNC, O_RDONLY = os.O_RDWR, os.O_CREAT, os.O_TRUNC, os.O_RDONLY

    def __init__(self, seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.names: dict[str, File] = {}  # as the process sees them
        self.synced_names: dict[str, File] = {}
        self.calls: list[str] = []
        self.stop_at: int | None = None  # number of the call at which the process ends
        self.failing_calls: set[str] = set()  # fail with ENOSPC
        self._open: dict[int, File | str] = {}
        self._next_descriptor = 100

    # Events

    def kill(self) -> None:
        """End the process; the files keep their content."""
        self._open.clear()
        self.stop_at = None

    def lose_power(self) -> None:
        """Lose or keep each unsynced write and each unsynced change of a name independently."""
        self.kill()
        for name in {*self.names, *self.synced_names}:
            if self.names.get(name) is not self.synced_names.get(name) and self.rng.random() < 0.5:
                _put(self.synced_names, name, self.names.get(name))
        self.names = dict(self.synced_names)
        for file in set(self.names.values()):
            file.lose(self.rng)

    # Calls of `os`

    def makedirs(self, directory: Path, exist_ok: bool) -> None:
        self._call("makedirs")

    def open(self, path: Path, flags: int, mode: int = 0) -> int:
        self._next_descriptor += 1
        if not flags & (os.O_RDWR | os.O_CREAT):
            self._open[self._next_descriptor] = DIRECTORY
            return self._next_descriptor
        self._call("open")
        file = self.names.setdefault(path.name, File())
        if flags & os.O_TRUNC:
            file.truncate(0)
        self._open[self._next_descriptor] = file
        return self._next_descriptor

    def close(self, descriptor: int) -> None:
        del self._open[descriptor]

    def pread(self, descriptor: int, size: int, at: int) -> bytes:
        return bytes(self._file(descriptor).data[at : at + size])

    def pwrite(self, descriptor: int, data: memoryview, at: int) -> int:
        part = bytes(data[: max(1, len(data) // 2)]) if self.rng.random() < 0.3 else bytes(data)
        self._call("pwrite", lambda: self._file(descriptor).write(at, part))
        return len(part)

    def ftruncate(self, descriptor: int, length: int) -> None:
        self._call("ftruncate", lambda: self._file(descriptor).truncate(length))

    def fdatasync(self, descriptor: int) -> None:
        self._call("fdatasync", self._file(descriptor).sync)

    def fsync(self, descriptor: int) -> None:
        target = self._open[descriptor]
        if isinstance(target, File):
            self._call("fsync", lambda: self._sync_file(target))
        else:
            self._call("fsync-directory", self._sync_directory)

    def rename(self, old: Path, new: Path) -> None:
        def effect() -> None:
            self.names[new.name] = self.names.pop(old.name)

        self._call("rename", effect)

    def unlink(self, path: Path) -> None:
        if path.name not in self.names:
            raise FileNotFoundError(path)
        self._call("unlink", lambda: self.names.pop(path.name))

    def _sync_file(self, file: File) -> None:
        """Sync a file, and its name if it is new; a renamed file also needs a sync of the directory."""
        file.sync()
        if file not in self.synced_names.values():
            for name, known in self.names.items():
                if known is file:
                    self.synced_names.setdefault(name, file)

    def _sync_directory(self) -> None:
        self.synced_names = dict(self.names)

    def _file(self, descriptor: int) -> File:
        file = self._open[descriptor]
        assert isinstance(file, File)
        return file

    def _call(self, name: str, effect=lambda: None) -> None:
        self.calls.append(name)
        if name in self.failing_calls:
            raise OSError(errno.ENOSPC, "full")
        stops = self.stop_at is not None and len(self.calls) >= self.stop_at
        if not stops or self.rng.random() < 0.5:
            effect()
        if stops:
            raise StoppedError(name)


def _put(names: dict[str, File], name: str, file: File | None) -> None:
    names.pop(name, None)
    if file is not None:
        names[name] = file

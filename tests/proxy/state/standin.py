"""A store in memory that keeps no more than POSIX promises: it records calls, fails and blocks at will."""

from __future__ import annotations

import errno
import threading


class Memory:
    """`calls`: what was asked of it, in order. The `fail_at`-th call raises EIO and does half of its work."""

    def __init__(self, fail_at: int = 0) -> None:
        self.calls: list[tuple[str, ...]] = []
        self.fail_at = fail_at
        self.free = threading.Event()  # while it is not set, syncs wait
        self.free.set()
        self.blocked = threading.Event()
        self.files: dict[str, bytearray] = {}  # by name, as they are now; content by identity
        self.synced: dict[int, bytes] = {}
        self.on_disk: dict[str, bytearray] = {}  # the names as of the last `sync_folder`
        self.closed = False

    def crash(self, names_kept: bool) -> Memory:
        """What a power cut leaves: synced bytes alone, under the names now or those last synced."""
        left = Memory()
        for name, file in (self.files if names_kept else self.on_disk).items():
            left.files[name] = bytearray(self.synced.get(id(file), b""))
        return left

    def _called(self, *call: str) -> bool:
        """Whether this call is to fail, half done."""
        assert not self.closed
        self.calls.append(call)
        return len(self.calls) == self.fail_at

    @staticmethod
    def _end(failed: bool) -> None:
        if failed:
            raise OSError(errno.EIO, "Input/output error")

    def names(self) -> list[str]:
        return sorted(self.files)

    def read(self, name: str, most: int) -> bytes:
        self._end(self._called("read", name))
        if name not in self.files:
            raise FileNotFoundError(errno.ENOENT, "No such file", name)
        if len(self.files[name]) > most:
            raise OSError(errno.EFBIG, "too long")
        return bytes(self.files[name])

    def append(self, name: str, data: bytes) -> None:
        failed = self._called("append", name)
        self.files.setdefault(name, bytearray()).extend(data[: len(data) // 2] if failed else data)
        self._end(failed)

    def sync(self, name: str) -> None:
        failed = self._called("sync", name)
        self._wait()
        self._end(failed)
        self.synced[id(self.files[name])] = bytes(self.files[name])

    def sync_folder(self) -> None:
        self._end(self._called("sync_folder"))
        self.on_disk = dict(self.files)

    def replace(self, name: str, other: str) -> None:
        failed = self._called("replace", name, other)
        self.files[other] = self.files.pop(name)
        self._end(failed)

    def remove(self, name: str) -> None:
        self._end(self._called("remove", name))
        self.files.pop(name, None)

    def close(self) -> None:
        self.closed = True

    def _wait(self) -> None:
        if not self.free.is_set():
            self.blocked.set()
            assert self.free.wait(30.0)

"""A file store in memory with the guarantees of POSIX and no others, which fails and blocks on demand."""

from __future__ import annotations

import errno
import threading

PATIENCE_S = 30.0  # for a blocked sync to be released


class MemoryFileStore:
    """A `FileStore` whose `fail_at`-th call raises EIO after half of its work; `calls` lists all calls."""

    def __init__(self, fail_at: int = 0) -> None:
        self.calls: list[tuple[str, ...]] = []
        self.fail_at = fail_at
        self.released = threading.Event()  # syncs wait until this is set
        self.released.set()
        self.blocked = threading.Event()  # set when a sync waits
        self.files: dict[str, bytearray] = {}  # by name, as reads see them
        self.synced: dict[int, bytes] = {}  # synced content, by the identity of the file
        self.on_disk: dict[str, bytearray] = {}  # the names as of the last `sync_folder`
        self.closed = False

    def crash(self, has_current_names: bool) -> MemoryFileStore:
        """Return the store after a power failure: synced bytes, under the current or last synced names."""
        after = MemoryFileStore()
        for name, file in (self.files if has_current_names else self.on_disk).items():
            after.files[name] = bytearray(self.synced.get(id(file), b""))
        return after

    def _record(self, *call: str) -> bool:
        """Record a call; return whether it has to fail after half of its work."""
        assert not self.closed
        self.calls.append(call)
        return len(self.calls) == self.fail_at

    @staticmethod
    def _raise_if(fails: bool) -> None:
        if fails:
            raise OSError(errno.EIO, "Input/output error")

    def names(self) -> list[str]:
        return sorted(self.files)

    def read(self, name: str, max_bytes: int) -> bytes:
        self._raise_if(self._record("read", name))
        if name not in self.files:
            raise FileNotFoundError(errno.ENOENT, "No such file", name)
        if len(self.files[name]) > max_bytes:
            raise OSError(errno.EFBIG, "too long")
        return bytes(self.files[name])

    def append(self, name: str, data: bytes) -> None:
        fails = self._record("append", name)
        self.files.setdefault(name, bytearray()).extend(data[: len(data) // 2] if fails else data)
        self._raise_if(fails)

    def sync(self, name: str) -> None:
        fails = self._record("sync", name)
        self._wait_until_released()
        self._raise_if(fails)
        self.synced[id(self.files[name])] = bytes(self.files[name])

    def sync_folder(self) -> None:
        self._raise_if(self._record("sync_folder"))
        self.on_disk = dict(self.files)

    def replace(self, name: str, new_name: str) -> None:
        fails = self._record("replace", name, new_name)
        self.files[new_name] = self.files.pop(name)
        self._raise_if(fails)

    def remove(self, name: str) -> None:
        self._raise_if(self._record("remove", name))
        self.files.pop(name, None)

    def close(self) -> None:
        self.closed = True

    def _wait_until_released(self) -> None:
        if not self.released.is_set():
            self.blocked.set()
            assert self.released.wait(PATIENCE_S)

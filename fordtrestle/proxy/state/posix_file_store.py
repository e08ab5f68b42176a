"""The file store of a real disk: one folder of this machine, locked by one process at a time.

Linux reports a failed write-back once to each descriptor that was open at that time (since 4.13; fsync(2)).
Therefore a file is synced through the descriptor that wrote it, and a descriptor with unsynced data is not
closed as long as its file is needed.
"""

from __future__ import annotations

import contextlib
import errno
import fcntl
import os
import re
from collections import OrderedDict

from fordtrestle.proxy.state.file_store import MAX_NAME_CHARS

NAME = re.compile(rf"[A-Za-z0-9_-][A-Za-z0-9_.-]{{0,{MAX_NAME_CHARS - 1}}}")
# Open descriptors of appended files. Lists are written one file at a time, so few are in use at once.
MAX_OPEN_FILES = 4
# No symbolic links, which may point outside the folder; non-blocking, since opening a named pipe waits for
# its other end.
OPEN_FLAGS = os.O_CLOEXEC | os.O_NOFOLLOW | os.O_NONBLOCK
APPEND_FLAGS = OPEN_FLAGS | os.O_WRONLY | os.O_APPEND


class PosixFileStore:
    """A `FileStore` in a folder; if the folder is missing, it is created with access for its owner alone.

    After a failed sync nothing is written any more: `append`, `sync`, `sync_folder` and `replace` raise EIO,
    since a later sync proves nothing.
    """

    def __init__(self, folder: str) -> None:
        """Create, open and lock the folder.

        Raises:
            OSError: The folder can't be created or opened; with EBUSY if another process, or another store of
                this process, has locked it.
        """
        self._path = os.path.abspath(folder)
        self._descriptors: OrderedDict[str, int] = OrderedDict()  # by name, the most recently used last
        self._has_failed = False
        _make_folder(self._path)
        self._folder = os.open(self._path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            fcntl.flock(self._folder, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._folder)
            if error.errno == errno.EWOULDBLOCK:
                raise OSError(errno.EBUSY, "another process has locked this folder", self._path) from None
            raise

    def names(self) -> list[str]:
        """Return the names of all files, sorted; entries that no store can have created are left out."""
        with os.scandir(self._folder) as entries:
            return sorted(
                entry.name
                for entry in entries
                if NAME.fullmatch(entry.name) and entry.is_file(follow_symlinks=False)
            )

    def read(self, name: str, max_bytes: int) -> bytes:
        """Return the content of a file.

        Raises:
            FileNotFoundError: There is no such file.
            OSError: With EFBIG if the file is larger than `max_bytes`.
        """
        descriptor = os.open(_checked_name(name), OPEN_FLAGS | os.O_RDONLY, dir_fd=self._folder)
        with open(descriptor, "rb") as file:
            is_too_long = os.fstat(descriptor).st_size > max_bytes
            data = b"" if is_too_long else file.read(max_bytes + 1)
        if is_too_long or len(data) > max_bytes:
            raise OSError(errno.EFBIG, f"more than {max_bytes} bytes", name)
        return data

    def append(self, name: str, data: bytes) -> None:
        """Write all of `data` at the end of a file, which is created if it is missing.

        Raises:
            OSError: Any part of `data` may have been written.
        """
        descriptor = self._open_descriptor(name, APPEND_FLAGS | os.O_CREAT)
        unwritten = memoryview(data)
        while unwritten:
            unwritten = unwritten[os.write(descriptor, unwritten) :]

    def sync(self, name: str) -> None:
        """Return once all bytes appended to a file are on disk."""
        self._sync(self._open_descriptor(name, APPEND_FLAGS))

    def sync_folder(self) -> None:
        """Return once all changes of names in the folder are on disk."""
        self._sync(self._folder)

    def replace(self, name: str, new_name: str) -> None:
        """Rename a file atomically; a file that has the new name is replaced."""
        self._check_usable()
        os.rename(
            _checked_name(name), _checked_name(new_name), src_dir_fd=self._folder, dst_dir_fd=self._folder
        )
        descriptor = self._descriptors.pop(name, None)
        self._close_descriptor(new_name)
        if descriptor is not None:
            self._descriptors[new_name] = descriptor

    def remove(self, name: str) -> None:
        """Remove a file; does nothing if it is missing."""
        with contextlib.suppress(FileNotFoundError):
            os.unlink(_checked_name(name), dir_fd=self._folder)
        self._close_descriptor(name)

    def close(self) -> None:
        """Close all descriptors and unlock the folder, without a sync; may be called again."""
        for name in list(self._descriptors):
            self._close_descriptor(name)
        if self._folder >= 0:
            os.close(self._folder)
            self._folder = -1  # every later call raises EBADF

    def _open_descriptor(self, name: str, flags: int) -> int:
        """Return the descriptor of an appended file; may sync and close the least recently used one."""
        self._check_usable()
        if name not in self._descriptors:
            self._descriptors[name] = os.open(_checked_name(name), flags, 0o600, dir_fd=self._folder)
        self._descriptors.move_to_end(name)
        if len(self._descriptors) > MAX_OPEN_FILES:
            _, oldest = self._descriptors.popitem(last=False)
            try:
                self._sync(oldest)
            finally:
                os.close(oldest)
        return self._descriptors[name]

    def _sync(self, descriptor: int) -> None:
        self._check_usable()
        try:
            os.fsync(descriptor)
        except OSError:
            # A later sync may succeed although the kernel has dropped the data that it could not write.
            self._has_failed = True
            raise

    def _check_usable(self) -> None:
        if self._has_failed:
            raise OSError(errno.EIO, "an earlier sync failed", self._path)

    def _close_descriptor(self, name: str) -> None:
        """Close the descriptor of a file that was replaced or removed."""
        descriptor = self._descriptors.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)


def _checked_name(name: str) -> str:
    if not NAME.fullmatch(name):
        raise ValueError(f"{name!r} is not a valid file name")
    return name


def _make_folder(path: str) -> None:
    """Create a folder and its missing parents, and sync the name of each to disk."""
    parent = os.path.dirname(path)
    if os.path.isdir(path):
        return
    if parent != path:
        _make_folder(parent)
    # Another process may have created it in the meantime; opening it fails if it is not a folder.
    with contextlib.suppress(FileExistsError):
        os.mkdir(path, 0o700)
    descriptor = os.open(parent, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)

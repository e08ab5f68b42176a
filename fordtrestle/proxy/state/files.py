"""The real store: one folder of this machine, held by one process at a time.

Linux tells of a failed write-back once to each descriptor that was open then (since 4.13; fsync(2)).
So a file is synced through the descriptor that wrote it, and none that a file still needs is closed unsynced.
"""

from __future__ import annotations

import contextlib
import errno
import fcntl
import os
import re
from collections import OrderedDict

from fordtrestle.proxy.state.ports import NAME_MOST

NAME = re.compile(rf"[A-Za-z0-9_-][A-Za-z0-9_.-]{{0,{NAME_MOST - 1}}}")
HELD_MOST = 4  # descriptors of appended files
# Guards against links that lead out of the folder, and against pipes, which would be waited for.
PLAIN = os.O_CLOEXEC | os.O_NOFOLLOW | os.O_NONBLOCK
APPEND = PLAIN | os.O_WRONLY | os.O_APPEND


class Files:
    """A `Store` on a folder, made for the owner alone if it is missing.

    `OSError` if it can't be made or opened, or with EBUSY if another process (or another `Files`) holds it.
    Once a sync has failed, nothing is written any more: appending, syncing and replacing raise EIO.
    """

    def __init__(self, folder: str) -> None:
        self._path = os.path.abspath(folder)
        self._held: OrderedDict[str, int] = OrderedDict()  # descriptors by name, the latest used last
        self._failed = False
        _make(self._path)
        self._folder = os.open(self._path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            fcntl.flock(self._folder, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._folder)
            if error.errno == errno.EWOULDBLOCK:
                raise OSError(errno.EBUSY, "another process holds this folder", self._path) from None
            raise

    def names(self) -> list[str]:
        """All files of the folder, sorted; what a store could not have made is left out."""
        with os.scandir(self._folder) as entries:
            return sorted(
                entry.name
                for entry in entries
                if NAME.fullmatch(entry.name) and entry.is_file(follow_symlinks=False)
            )

    def read(self, name: str, most: int) -> bytes:
        """A file's bytes; `FileNotFoundError` if there is none, EFBIG if it has more than `most` of them."""
        descriptor = os.open(_plain(name), PLAIN | os.O_RDONLY, dir_fd=self._folder)
        with open(descriptor, "rb") as file:
            too_long = os.fstat(descriptor).st_size > most
            data = b"" if too_long else file.read(most + 1)
        if too_long or len(data) > most:
            raise OSError(errno.EFBIG, f"more than {most} bytes", name)
        return data

    def append(self, name: str, data: bytes) -> None:
        """Write at the end of a file, made if there is none; `OSError`: any part of it may stand there."""
        descriptor = self._descriptor(name, APPEND | os.O_CREAT)
        left = memoryview(data)
        while left:
            left = left[os.write(descriptor, left) :]

    def sync(self, name: str) -> None:
        """Return once all that was appended to a file is on disk."""
        self._sync(self._descriptor(name, APPEND))

    def sync_folder(self) -> None:
        """Return once the folder's names are on disk."""
        self._sync(self._folder)

    def replace(self, name: str, other: str) -> None:
        """Give a file the name `other`, in place of the file that had it, if any."""
        self._check()
        os.rename(_plain(name), _plain(other), src_dir_fd=self._folder, dst_dir_fd=self._folder)
        moved = self._held.pop(name, None)
        self._drop(other)
        if moved is not None:
            self._held[other] = moved

    def remove(self, name: str) -> None:
        """Take a file away; nothing if there is none."""
        with contextlib.suppress(FileNotFoundError):
            os.unlink(_plain(name), dir_fd=self._folder)
        self._drop(name)

    def close(self) -> None:
        """Hold no descriptors any more and let the folder go; nothing is synced by it."""
        for name in list(self._held):
            self._drop(name)
        if self._folder >= 0:
            os.close(self._folder)
            self._folder = -1  # every later call raises EBADF

    def _descriptor(self, name: str, flags: int) -> int:
        """The descriptor of an appended file; the one used least lately makes room for a new one."""
        self._check()
        if name not in self._held:
            self._held[name] = os.open(_plain(name), flags, 0o600, dir_fd=self._folder)
        self._held.move_to_end(name)
        if len(self._held) > HELD_MOST:
            _, oldest = self._held.popitem(last=False)
            try:
                self._sync(oldest)
            finally:
                os.close(oldest)
        return self._held[name]

    def _sync(self, descriptor: int) -> None:
        self._check()
        try:
            os.fsync(descriptor)
        except OSError:
            self._failed = True  # a second sync may return though the kernel dropped what it could not write
            raise

    def _check(self) -> None:
        if self._failed:
            raise OSError(errno.EIO, "a sync failed before", self._path)

    def _drop(self, name: str) -> None:
        """Close the descriptor of a file that is gone."""
        descriptor = self._held.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)


def _plain(name: str) -> str:
    if not NAME.fullmatch(name):
        raise ValueError(f"{name!r} is no name of a file")
    return name


def _make(path: str) -> None:
    """Make a folder and what is missing above it, with their names on disk."""
    above = os.path.dirname(path)
    if os.path.isdir(path):
        return
    if above != path:
        _make(above)
    with contextlib.suppress(
        FileExistsError
    ):  # another process made it meanwhile; opening it tells what it is
        os.mkdir(path, 0o700)
    descriptor = os.open(above, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)

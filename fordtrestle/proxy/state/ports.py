"""The port to a disk: one folder of files, with what POSIX promises of them and no more. Pure.

What a store's user may build on (POSIX.1-2017, fsync(2), rename(2); Pillai and others, OSDI 2014):

- what was appended is on disk after a `sync` of that file that returned, and may be there, whole, in part or
  not at all, before;
- a name (a new file, one replaced, one removed) is on disk after a `sync_folder` that returned;
- after a `sync` or `sync_folder` that raised, what had been written since the last one is in doubt for good:
  the kernel may have dropped it, and a second sync that returns proves nothing (Rebello and others,
  ATC 2020).

All calls block, and each may take seconds: they are made from one thread that is not the loop's.
"""

from __future__ import annotations

from typing import Protocol

NAME_MOST = 128  # characters of a file's name


class Store(Protocol):
    """One folder. Each method raises `OSError` with the system's errno (EIO, ENOSPC, EROFS, ...).

    Names are plain: letters, digits, `-`, `_` and `.`, not beginning with a dot, `NAME_MOST` at most;
    `ValueError` for any other.
    """

    def names(self) -> list[str]:
        """All files of the folder, sorted."""

    def read(self, name: str, most: int) -> bytes:
        """A file's bytes; `FileNotFoundError` if there is none, EFBIG if it has more than `most` of them."""

    def append(self, name: str, data: bytes) -> None:
        """Write at the end of a file, which is made if there is none. All of it, or `OSError`: then any
        part of it may stand there.
        """

    def sync(self, name: str) -> None:
        """Return once all that was appended to a file is on disk."""

    def sync_folder(self) -> None:
        """Return once the folder's names are on disk."""

    def replace(self, name: str, other: str) -> None:
        """Give a file the name `other`, in place of the file that had it, if any: always one or the other."""

    def remove(self, name: str) -> None:
        """Take a file away; nothing if there is none."""

    def close(self) -> None:
        """Hold no descriptors any more; nothing is synced by it."""

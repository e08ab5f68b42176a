"""Interface to a folder of files on disk, with the guarantees of POSIX and no others. Pure.

The guarantees of a store (POSIX.1-2017, fsync(2), rename(2); Pillai and others, OSDI 2014):

- Appended bytes are on disk after a `sync` of the file has returned. Before that, all, some or none of them
  may be on disk.
- A change of names (a file created, replaced or removed) is on disk after a `sync_folder` has returned.
- After a `sync` or `sync_folder` has raised, everything written since the last successful one is in doubt
  permanently: the kernel may have dropped it, and a later sync that returns proves nothing (Rebello and
  others, ATC 2020).

All calls block, and each may take seconds, so they are made from one thread other than the event loop's.
"""

from __future__ import annotations

from typing import Protocol

MAX_NAME_CHARS = 128  # half of the 255 bytes that Linux allows, which leaves room for suffixes


class FileStore(Protocol):
    """One folder of files.

    Each method raises `OSError` with the system's errno (EIO, ENOSPC, EROFS, ...). Names consist of letters,
    digits, `-`, `_` and `.`, don't begin with a dot and have at most `MAX_NAME_CHARS` characters; any other
    name raises `ValueError`.
    """

    def names(self) -> list[str]:
        """Return the names of all files of the folder, sorted."""

    def read(self, name: str, max_bytes: int) -> bytes:
        """Return the content of a file.

        Raises:
            FileNotFoundError: There is no such file.
            OSError: With EFBIG if the file is larger than `max_bytes`.
        """

    def append(self, name: str, data: bytes) -> None:
        """Write all of `data` at the end of a file, which is created if it is missing.

        Raises:
            OSError: Any part of `data` may have been written.
        """

    def sync(self, name: str) -> None:
        """Return once all bytes appended to a file are on disk."""

    def sync_folder(self) -> None:
        """Return once all changes of names in the folder are on disk."""

    def replace(self, name: str, new_name: str) -> None:
        """Rename a file atomically; a file that has the new name is replaced."""

    def remove(self, name: str) -> None:
        """Remove a file; does nothing if it is missing."""

    def close(self) -> None:
        """Close all descriptors, without a sync."""

"""A small file replaced whole: after a crash at any point it is the old one or the new one, and damage shows.

The new file is written beside the old one and synced before it takes the old one's name (Pillai and others,
OSDI 2014, on what goes wrong where it is not).
"""

from __future__ import annotations

import errno

from fordtrestle.proxy.state.ports import Store
from fordtrestle.proxy.state.records import HEADER, SnapshotError, seal, unseal

__all__ = ["SnapshotError", "read", "set_aside", "write"]


def write(store: Store, name: str, data: bytes) -> None:
    """Put `data` in the place of a file, on disk by the time this returns.

    `OSError`: the old one or the new one stands there, whole; which of them is not known.
    """
    beside = f"{name}.tmp"
    store.remove(beside)  # what a crash left there would be appended to
    store.append(beside, seal(data))
    store.sync(beside)
    store.replace(beside, name)
    store.sync_folder()


def read(store: Store, name: str, most: int) -> bytes:
    """What a file holds, `most` bytes at most.

    `FileNotFoundError` if there is none; `SnapshotError` if it is damaged, too long or of another format;
    `OSError` if it can't be read.
    """
    try:
        return unseal(store.read(name, HEADER.size + most))
    except OSError as error:
        if error.errno == errno.EFBIG:
            raise SnapshotError(f"too long: more than {most} bytes") from error
        raise


def set_aside(store: Store, name: str) -> None:
    """Keep a file that can't be used as NAME.damaged, in place of an earlier one, or `OSError`."""
    store.replace(name, f"{name}.damaged")

"""Replaces small files atomically: after a crash at any point, a file has the old or the new content.

The new content is written to a temporary file and synced before that file takes the name of the old one
(Pillai and others, OSDI 2014, on what goes wrong otherwise).
"""

from __future__ import annotations

import errno

from fordtrestle.proxy.state.errors import SnapshotError
from fordtrestle.proxy.state.file_store import FileStore
from fordtrestle.proxy.state.records import HEADER, seal, unseal


def write(store: FileStore, name: str, payload: bytes) -> None:
    """Replace a file, or create it; the new content is on disk when this returns.

    Raises:
        OSError: The write failed; the file has its old or its new content, and it is not known which.
    """
    temporary = f"{name}.tmp"
    store.remove(temporary)  # otherwise the content would be appended to a file that a crash left behind
    store.append(temporary, seal(payload))
    store.sync(temporary)
    store.replace(temporary, name)
    store.sync_folder()


def read(store: FileStore, name: str, max_bytes: int) -> bytes:
    """Return the payload of a file.

    Raises:
        FileNotFoundError: There is no such file.
        SnapshotError: The file is corrupt, of another format, or its payload is larger than `max_bytes`.
        OSError: The file can't be read.
    """
    try:
        return unseal(store.read(name, HEADER.size + max_bytes))
    except OSError as error:
        if error.errno == errno.EFBIG:
            raise SnapshotError(f"too long: more than {max_bytes} bytes") from error
        raise


def set_aside(store: FileStore, name: str) -> None:
    """Rename a file that can't be used to NAME.damaged, which replaces an earlier file of that name.

    Raises:
        OSError: The file can't be renamed.
    """
    store.replace(name, f"{name}.damaged")

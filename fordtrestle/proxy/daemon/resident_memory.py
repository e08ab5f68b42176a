"""The resident memory of this process."""

from __future__ import annotations

import io
import os

from fordtrestle.proxy.engine.log import log

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MAX_STATM_BYTES = 200  # the file is one line of seven numbers


class ResidentMemory:
    """Reads the resident memory of this process (proc(5), statm).

    The file stays open, since it could not be opened again when no descriptor is free. On systems without
    such a file the reading is 0, so that memory causes no pressure.
    """

    def __init__(self, path: str = "/proc/self/statm") -> None:
        self._file: io.FileIO | None
        try:
            self._file = open(path, "rb", buffering=0)  # noqa: SIM115
        except OSError as error:
            log(f"resident memory is not watched: {path}: {error.strerror}")
            self._file = None

    def read(self) -> int:
        """Return the resident memory in bytes; 0 if it can't be read."""
        if self._file is None:
            return 0
        try:
            self._file.seek(0)
            return int(self._file.read(MAX_STATM_BYTES).split()[1]) * PAGE_BYTES
        except (OSError, ValueError, IndexError):
            return 0

    def close(self) -> None:
        """Close the file; later readings are 0."""
        if self._file is not None:
            self._file.close()
            self._file = None

"""One append-only file of checksummed records, rewritten when it gets long.

Calls block on the disk: they belong into a thread. What `append` and `rewrite` return from has been synced.
"""

from __future__ import annotations

import contextlib
import os
from collections.abc import Iterable, Iterator
from pathlib import Path
from types import TracebackType

from fordtrestle.storage.errors import StorageError, UnknownFormatError
from fordtrestle.storage.records import ScannedRecord, frame, scan

NAME = "control.log"
NEW_NAME = "control.log.new"  # a rewrite that has not replaced the file yet

MAGIC = b"fordtrestle log "  # what the first record begins with, before its format
FORMAT = b"2"  # that is written: states may hold locks, counters and keys
READABLE_FORMATS = (b"1", FORMAT)

# A record of its own, so that versions that know of no header refuse it as a message, and leave the file.
HEADER = frame(MAGIC + FORMAT)

READ_CHUNK_BYTES = 1 << 20
FILE_MODE = 0o644

# Of an unknown format, in the message of the error: the rest may be anything.
MAX_SHOWN_FORMAT_BYTES = 16


class RecordLog:
    """The log of one store, to be used by one thread at a time. `with` closes it."""

    def __init__(self, folder: Path) -> None:
        """Open nothing yet; `folder` is where the file lies."""
        self._folder = folder
        self._path = folder / NAME
        self._new_path = folder / NEW_NAME
        self._file = -1  # descriptor
        self._is_folder_synced = True
        self._has_refused_tail = False  # what a refused append wrote may still stand behind the last record
        self.size = 0  # bytes of the records in force
        self.is_outdated = False  # whether an older version may read the file, and drop what it does not know

    def __enter__(self) -> RecordLog:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()

    def open(self) -> list[bytes]:
        """Read all complete records, truncate a torn tail and sync what is left.

        The sync guards against a loss of power after a kill: what a killed process wrote may not have been
        synced, nor the name of a file that it rewrote, and whoever reads it here acts on it.

        Returns:
            The payloads in order.

        Raises:
            StorageError: The disk refuses.
            UnknownFormatError: The file is of another version; it stays as it is.
        """
        try:
            os.makedirs(self._folder, exist_ok=True)
            with contextlib.suppress(FileNotFoundError):
                os.unlink(self._new_path)
            self.close()
            self._file = os.open(self._path, os.O_RDWR | os.O_CREAT, FILE_MODE)
            records = list(scan(self._read_all()))
            self.is_outdated = bool(records) and records[0].payload != MAGIC + FORMAT
            payloads = [record.payload for record in self._without_header(records)]
            self.size = records[-1].end if records else 0
            os.ftruncate(self._file, self.size)
            os.fsync(self._file)
            self._sync_folder()
        except OSError as error:
            raise StorageError(f"cannot open {self._path}: {error}") from error
        return payloads

    def append(self, payloads: Iterable[bytes]) -> None:
        """Write records behind the last one and sync.

        A refused append may leave complete records on the disk all the same. They are truncated before the
        next one is written: behind that they would be read as if they had been accepted.

        Args:
            payloads: The records, in order.

        Raises:
            StorageError: The disk refuses; the records in force are those from before.
        """
        data = (b"" if self.size else HEADER) + b"".join(map(frame, payloads))
        try:
            if not self._is_folder_synced:
                self._sync_folder()
            if self._has_refused_tail:
                self._truncate_refused_tail()
            _write_all(self._file, data, self.size)
            os.fdatasync(self._file)
        except OSError as error:
            self._has_refused_tail = True
            raise StorageError(
                f"cannot append {len(data)} bytes at {self.size} of {self._path}: {error}"
            ) from error
        self.size += len(data)

    def rewrite(self, payloads: Iterable[bytes]) -> None:
        """Put these records in place of all others, at once.

        The new file is synced before it gets the name, and the folder after that: a loss of power in between
        brings back the old file or the new one, each complete.

        Args:
            payloads: The records, in order.

        Raises:
            StorageError: The disk refuses. The old file is in force, or, where the folder alone was not
                synced, the new one; the next append syncs the folder first then.
        """
        data = HEADER + b"".join(map(frame, payloads))
        try:
            old, self._file = self._file, self._write_new_file(data)
            os.close(old)
            self.size = len(data)
            self._has_refused_tail = False
            self.is_outdated = False
            self._is_folder_synced = False
            self._sync_folder()
        except OSError as error:
            raise StorageError(f"cannot rewrite {self._path} with {len(data)} bytes: {error}") from error

    def close(self) -> None:
        """Close the file, if it is open."""
        if self._file >= 0:
            os.close(self._file)
            self._file = -1

    def _without_header(self, records: list[ScannedRecord]) -> list[ScannedRecord]:
        """The records behind the one that tells the format, which files of the first versions do not have."""
        if not records or not records[0].payload.startswith(MAGIC):
            return records
        found = records[0].payload[len(MAGIC) :]
        if found not in READABLE_FORMATS:
            shown = found[:MAX_SHOWN_FORMAT_BYTES].decode(errors="replace")
            readable = b", ".join(READABLE_FORMATS).decode()
            raise UnknownFormatError(f"{self._path} has format {shown}; this version reads {readable}")
        return records[1:]

    def _read_all(self) -> bytes:
        data = bytearray()
        while chunk := os.pread(self._file, READ_CHUNK_BYTES, len(data)):
            data += chunk
        return bytes(data)

    def _write_new_file(self, data: bytes) -> int:
        """Write and sync a new file and give it the log's name; its descriptor."""
        new = os.open(self._new_path, os.O_RDWR | os.O_CREAT | os.O_TRUNC, FILE_MODE)
        try:
            _write_all(new, data, 0)
            os.fsync(new)
            os.rename(self._new_path, self._path)
        except OSError:
            os.close(new)
            raise
        return new

    def _truncate_refused_tail(self) -> None:
        os.ftruncate(self._file, self.size)
        self._has_refused_tail = False

    def _sync_folder(self) -> None:
        """Make the file's name last through a loss of power."""
        with _opened_folder(self._folder) as folder:
            os.fsync(folder)
        self._is_folder_synced = True


def _write_all(file: int, data: bytes, offset: int) -> None:
    """Write all bytes at an offset: one call may take only a part of them."""
    rest = memoryview(data)
    while rest:
        written = os.pwrite(file, rest, offset)
        rest = rest[written:]
        offset += written


@contextlib.contextmanager
def _opened_folder(folder: Path) -> Iterator[int]:
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        yield descriptor
    finally:
        os.close(descriptor)

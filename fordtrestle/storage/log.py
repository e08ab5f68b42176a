"""An append-only file of checksummed records that can be rewritten atomically when it gets long.

Calls block on disk I/O and should run in a thread. `append` and `rewrite` sync before they return.
"""

from __future__ import annotations

import contextlib
import os
from collections.abc import Iterable, Iterator
from pathlib import Path
from types import TracebackType

from fordtrestle.storage.errors import StorageError, UnknownFormatError
from fordtrestle.storage.records import ScannedRecord, frame, scan

FILE_NAME = "control.log"
NEW_FILE_NAME = "control.log.new"  # a rewritten file that has not replaced the log yet

MAGIC = b"fordtrestle log "  # prefix of the header record; the format version follows
FORMAT = b"2"  # the version that is written; added locks, counters and keys to the state
READABLE_FORMATS = (b"1", FORMAT)

# A separate record, so that versions without headers fail to decode it as a message and leave the file alone.
HEADER = frame(MAGIC + FORMAT)

READ_CHUNK_BYTES = 1 << 20
FILE_MODE = 0o644

# Of an unknown format version, in the error message: the rest of the header may be arbitrary bytes.
MAX_SHOWN_FORMAT_BYTES = 16


class RecordLog:
    """The record log of one store. Not thread-safe. As a context manager it closes the file on exit.

    Attributes:
        size: Length of the valid records in the file, in bytes.
        is_outdated: Whether the file has an older format, so that an older version of the program may read it
            and drop what it does not know.
    """

    def __init__(self, directory: Path) -> None:
        """Create the log without opening its file.

        Args:
            directory: Where the file is stored.
        """
        self._directory = directory
        self._path = directory / FILE_NAME
        self._new_path = directory / NEW_FILE_NAME
        self._file = -1  # descriptor; -1 while closed
        self._is_directory_synced = True
        self._has_failed_tail = False  # whether a failed append may have left data after the last record
        self.size = 0
        self.is_outdated = False

    def __enter__(self) -> RecordLog:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()

    def open(self) -> list[bytes]:
        """Read all complete records, truncate a torn tail and sync the file and its directory.

        The sync guards against a power loss after the process was killed: records that it wrote, or the name
        of a file that it rewrote, may not have been synced, but the caller acts on them once they are read.

        Returns:
            The payloads in order.

        Raises:
            StorageError: A disk operation failed.
            UnknownFormatError: The file has a format that this version cannot read; it is left unchanged.
        """
        try:
            os.makedirs(self._directory, exist_ok=True)
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
            self._sync_directory()
        except OSError as error:
            raise StorageError(f"cannot open {self._path}: {error}") from error
        return payloads

    def append(self, payloads: Iterable[bytes]) -> None:
        """Append records and sync.

        A failed append may still leave complete records on disk. They are truncated before the next append:
        otherwise they would be read after its records, as if they had been accepted.

        Args:
            payloads: The records, in order.

        Raises:
            StorageError: A disk operation failed; the valid records are those from before the call.
        """
        data = (b"" if self.size else HEADER) + b"".join(map(frame, payloads))
        try:
            if not self._is_directory_synced:
                self._sync_directory()
            if self._has_failed_tail:
                self._truncate_failed_tail()
            _write_all(self._file, data, self.size)
            os.fdatasync(self._file)
        except OSError as error:
            self._has_failed_tail = True
            raise StorageError(
                f"cannot append {len(data)} bytes at {self.size} of {self._path}: {error}"
            ) from error
        self.size += len(data)

    def rewrite(self, payloads: Iterable[bytes]) -> None:
        """Replace all records atomically.

        The new file is synced before it is renamed, and the directory afterwards: after a power loss in
        between, either the old or the new file is there, complete.

        Args:
            payloads: The records, in order.

        Raises:
            StorageError: A disk operation failed. The old file is valid, or the new one if only the sync of
                the directory failed; in that case the next append syncs the directory first.
        """
        data = HEADER + b"".join(map(frame, payloads))
        try:
            old, self._file = self._file, self._write_new_file(data)
            os.close(old)
            self.size = len(data)
            self._has_failed_tail = False
            self.is_outdated = False
            self._is_directory_synced = False
            self._sync_directory()
        except OSError as error:
            raise StorageError(f"cannot rewrite {self._path} with {len(data)} bytes: {error}") from error

    def close(self) -> None:
        """Close the file, if it is open."""
        if self._file >= 0:
            os.close(self._file)
            self._file = -1

    def _without_header(self, records: list[ScannedRecord]) -> list[ScannedRecord]:
        """Return the records after the header, which files of the first versions do not have."""
        if not records or not records[0].payload.startswith(MAGIC):
            return records
        format_version = records[0].payload[len(MAGIC) :]
        if format_version not in READABLE_FORMATS:
            shown = format_version[:MAX_SHOWN_FORMAT_BYTES].decode(errors="replace")
            readable = b", ".join(READABLE_FORMATS).decode()
            raise UnknownFormatError(f"{self._path} has format {shown}; this version reads {readable}")
        return records[1:]

    def _read_all(self) -> bytes:
        data = bytearray()
        while chunk := os.pread(self._file, READ_CHUNK_BYTES, len(data)):
            data += chunk
        return bytes(data)

    def _write_new_file(self, data: bytes) -> int:
        """Write and sync a new file, rename it to the log file, and return its descriptor."""
        new = os.open(self._new_path, os.O_RDWR | os.O_CREAT | os.O_TRUNC, FILE_MODE)
        try:
            _write_all(new, data, 0)
            os.fsync(new)
            os.rename(self._new_path, self._path)
        except OSError:
            os.close(new)
            raise
        return new

    def _truncate_failed_tail(self) -> None:
        os.ftruncate(self._file, self.size)
        self._has_failed_tail = False

    def _sync_directory(self) -> None:
        """Sync the directory, so that the file name survives a power loss."""
        with _opened_directory(self._directory) as directory:
            os.fsync(directory)
        self._is_directory_synced = True


def _write_all(file: int, data: bytes, offset: int) -> None:
    """Write all bytes at an offset; `os.pwrite` may write only part of them per call."""
    remaining = memoryview(data)
    while remaining:
        written = os.pwrite(file, remaining, offset)
        remaining = remaining[written:]
        offset += written


@contextlib.contextmanager
def _opened_directory(directory: Path) -> Iterator[int]:
    descriptor = os.open(directory, os.O_RDONLY)
    try:
        yield descriptor
    finally:
        os.close(descriptor)

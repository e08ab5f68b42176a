"""One append-only file of checksummed records, rewritten when it gets long.

Calls block on the disk: they belong into a thread. What `append` and `rewrite` return from has been synced.
"""

from __future__ import annotations

import contextlib
import os
from collections.abc import Iterable
from pathlib import Path

from fordtrestle.storage.records import frame, scan

NAME = "control.log"
MAGIC = b"fordtrestle log "  # what the first record begins with, before its format
FORMAT = b"1"
HEADER = frame(MAGIC + FORMAT)  # a record: versions that know of no header refuse it, and leave the file
NEW_NAME = "control.log.new"
READ_BYTES = 1 << 20
FORMAT_TOLD_MOST = 16  # bytes


class StorageError(Exception):
    """The disk did not take or give what was asked; the cause is chained."""


class UnknownFormatError(StorageError):
    """The file was written by a version of the program whose format this one does not read."""


class RecordLog:
    """The file of one store. One thread at a time."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._file = -1
        self._folder_synced = True
        self._tail_refused = False  # what a refused append wrote may still stand behind the last record
        self.size = 0

    def open(self) -> list[bytes]:
        """Read all whole records, cut off a torn tail and sync what is left. `StorageError` if the disk
        refuses; `UnknownFormatError`, with the file untouched, if it is of another version.
        """
        try:
            os.makedirs(self._folder, exist_ok=True)
            with contextlib.suppress(FileNotFoundError):
                os.unlink(self._folder / NEW_NAME)
            self.close()
            self._file = os.open(self._folder / NAME, os.O_RDWR | os.O_CREAT, 0o644)
            data = self._read_all()
            whole = list(scan(data))
            records = self._without_header(whole)
            self.size = whole[-1][1] if whole else 0
            os.ftruncate(self._file, self.size)
            # What a killed process wrote may not have been synced, nor the name of a file that it rewrote:
            # whoever reads it here rests on it.
            os.fsync(self._file)
            self._sync_folder()
        except OSError as error:
            raise StorageError(f"cannot open {self._folder / NAME}") from error
        return [payload for payload, _ in records]

    def append(self, payloads: Iterable[bytes]) -> None:
        """Write records behind the last one and sync. `StorageError` leaves the file as it was."""
        data = (b"" if self.size else HEADER) + b"".join(map(frame, payloads))
        try:
            if not self._folder_synced:
                self._sync_folder()
            if self._tail_refused:
                self._cut_back()
            self._write_all(data, self.size)
            os.fdatasync(self._file)
        except OSError as error:
            self._tail_refused = True
            raise StorageError("cannot append") from error
        self.size += len(data)

    def rewrite(self, payloads: Iterable[bytes]) -> None:
        """Put these records in the place of all others, at once. `StorageError` leaves the old file in
        force.
        """
        data = HEADER + b"".join(map(frame, payloads))
        new = -1
        try:
            new = os.open(self._folder / NEW_NAME, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o644)
            old, self._file = self._file, new
            try:
                self._write_all(data, 0)
                os.fsync(new)
                os.rename(self._folder / NEW_NAME, self._folder / NAME)
            except OSError:
                self._file = old
                os.close(new)
                raise
            os.close(old)
            self.size = len(data)
            self._tail_refused = False
            self._folder_synced = False  # until it is, a loss of power may bring the old file back
            self._sync_folder()
        except OSError as error:
            raise StorageError("cannot rewrite") from error

    def close(self) -> None:
        """Give the descriptor back."""
        if self._file >= 0:
            os.close(self._file)
            self._file = -1

    def _without_header(self, records: list[tuple[bytes, int]]) -> list[tuple[bytes, int]]:
        """The records behind the one that tells the format, which files of the first versions do not have."""
        if not records or not records[0][0].startswith(MAGIC):
            return records
        told = records[0][0][len(MAGIC) :]
        if told != FORMAT:
            name = self._folder / NAME
            text = told[:FORMAT_TOLD_MOST].decode(errors="replace")
            raise UnknownFormatError(f"{name} has format {text}; this version reads {FORMAT.decode()}")
        return records[1:]

    def _read_all(self) -> bytes:
        data = bytearray()
        while part := os.pread(self._file, READ_BYTES, len(data)):
            data += part
        return bytes(data)

    def _write_all(self, data: bytes, at: int) -> None:
        view = memoryview(data)
        while view:
            written = os.pwrite(self._file, view, at)
            view = view[written:]
            at += written

    def _cut_back(self) -> None:
        """Take away what a refused append wrote: whole records of it would be read behind the next one."""
        os.ftruncate(self._file, self.size)
        self._tail_refused = False

    def _sync_folder(self) -> None:
        folder = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(folder)
            self._folder_synced = True
        finally:
            os.close(folder)

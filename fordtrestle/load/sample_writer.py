"""Writes samples to the pipe of the recorder without ever waiting for it."""

from __future__ import annotations

import os

from fordtrestle.load.samples import FRAME, RECORD, SAMPLES

FLUSH_INTERVAL_NS = 50_000_000  # often enough for a progress line, seldom enough to make frames of many
MAX_UNSENT_BYTES = 64 * 1024 * 1024  # some 1.6 million samples that a slow recorder has not read
WRITE_BYTES = 65_536  # what a pipe holds on Linux


class SampleWriter:
    """Batches samples into frames; those that find no room are counted as lost.

    Attributes:
        lost: The number of samples lost.
    """

    def __init__(self, pipe: int) -> None:
        """Make the pipe's end of this file descriptor non-blocking."""
        self._pipe = pipe
        self._batch = bytearray()
        self._unsent = bytearray()
        self._flushed_ns = 0
        self.lost = 0
        os.set_blocking(pipe, False)

    def add(self, *values: int) -> None:
        """Add a sample, given by the values of `RECORD` in their order."""
        self._batch += RECORD.pack(*values)

    def is_due(self, now_ns: int) -> bool:
        """Whether it is time for `flush`."""
        return bool(self._unsent) or (bool(self._batch) and now_ns - self._flushed_ns >= FLUSH_INTERVAL_NS)

    def flush(self, now_ns: int) -> None:
        """Write as much as the pipe takes."""
        self._flushed_ns = now_ns
        if self._batch:
            if len(self._unsent) > MAX_UNSENT_BYTES:
                self.lost += len(self._batch) // RECORD.size
            else:
                self._unsent += FRAME.pack(SAMPLES, len(self._batch)) + self._batch
            self._batch.clear()
        try:
            del self._unsent[: os.write(self._pipe, self._unsent[:WRITE_BYTES])]
        except BlockingIOError:
            return

    def close(self, frame_type: bytes, body: bytes) -> None:
        """Write all samples that are left and a last frame, and wait for the reader."""
        self.flush(0)
        os.set_blocking(self._pipe, True)
        left = memoryview(bytes(self._unsent) + FRAME.pack(frame_type, len(body)) + body)
        while left:
            left = left[os.write(self._pipe, left) :]

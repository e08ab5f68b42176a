"""Writes samples to a pipe without blocking."""

from __future__ import annotations

import os

from fordtrestle.load.samples import FRAME, RECORD, SAMPLES

FLUSH_INTERVAL_NS = 50_000_000  # short enough for the progress line, long enough to fill frames
MAX_UNSENT_BYTES = 64 * 1024 * 1024  # some 1.6 million samples; they queue up if the recorder reads slowly
WRITE_BYTES = 65_536  # the capacity of a pipe on Linux


class SampleWriter:
    """Batches samples into frames and drops them once too many bytes are unsent.

    Attributes:
        lost: The number of samples that were dropped.
    """

    def __init__(self, pipe: int) -> None:
        """Make a pipe's file descriptor non-blocking."""
        self._pipe = pipe
        self._batch = bytearray()
        self._unsent = bytearray()
        self._flushed_ns = 0
        self.lost = 0
        os.set_blocking(pipe, False)

    def add(self, *values: int) -> None:
        """Add a sample, given as the fields of `RECORD` in order."""
        self._batch += RECORD.pack(*values)

    def is_due(self, now_ns: int) -> bool:
        """Return whether `flush` is due."""
        return bool(self._unsent) or (bool(self._batch) and now_ns - self._flushed_ns >= FLUSH_INTERVAL_NS)

    def flush(self, now_ns: int) -> None:
        """Write as much as the pipe accepts, up to `WRITE_BYTES`."""
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
        """Write all remaining samples and a last frame; blocks until the reader has room for them."""
        self.flush(0)
        os.set_blocking(self._pipe, True)
        remaining = memoryview(bytes(self._unsent) + FRAME.pack(frame_type, len(body)) + body)
        while remaining:
            remaining = remaining[os.write(self._pipe, remaining) :]

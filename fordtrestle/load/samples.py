"""How requests ended, as workers report it to the recorder: records of one fixed size, in frames. Pure."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from enum import IntEnum
from typing import NamedTuple

# outcome, tries, class, tenant, status; at_us, lag_ns, latency_ns, service_ns
RECORD = struct.Struct("<BBHHHqqqq")
FRAME = struct.Struct("<cI")  # the header of a frame: its type, and how many bytes follow

# Types of frames.
SAMPLES = b"s"  # records
SUMMARY = b"e"  # a JSON object; the last frame of a worker
READY = b"r"  # empty
FAILURE = b"f"  # one line of text; the last frame of a worker that failed


class Outcome(IntEnum):
    """How an intended request ended; each has exactly one outcome."""

    SERVED = 0  # a complete 200 within its budget
    LATE = 1  # a complete 200 after its budget
    REFUSED = 2  # 429 or 503
    FAILED = 3  # any other status, or a malformed answer
    CUT = 4  # the connection ended before the answer was complete
    UNREACHABLE = 5  # no connection came up
    UNANSWERED = 6  # no complete answer until its client gave up
    OPEN = 7  # the run was stopped before it ended
    NO_ROOM = 8  # not sent: the maximum of open requests was reached
    NO_CONNECTION = 9  # not sent: the maximum of connections was reached, all of them busy
    NO_SOCKET = 10  # not sent: the system had no socket or port left
    RETRY = 255  # no outcome: the record tells how late a retry was sent


NOT_SENT_OUTCOMES = (Outcome.NO_ROOM, Outcome.NO_CONNECTION, Outcome.NO_SOCKET)
# Outcomes that have a latency; a request that was given up counts with the time it had waited by then.
TIMED_OUTCOMES = (Outcome.SERVED, Outcome.LATE, Outcome.UNANSWERED)


class Sample(NamedTuple):
    """One request, or one retry for `Outcome.RETRY`."""

    outcome: int
    tries: int
    class_index: int
    tenant_index: int
    status: int  # HTTP status; 0: none came
    at_us: int  # intended send time, in microseconds from the start
    lag_ns: int  # from the intended time to the send
    latency_ns: int  # from the intended time to the end
    service_ns: int  # from the send of the last try to the end


def decode_samples(data: bytes) -> Iterator[Sample]:
    """The records of a `SAMPLES` frame; `struct.error` where its length is no multiple of a record's."""
    return map(Sample._make, RECORD.iter_unpack(data))


class FrameDecoder:
    """Splits a stream of bytes into frames."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[tuple[bytes, bytes]]:
        """The type and the body of each frame that is complete with these bytes."""
        self._buffer += data
        while len(self._buffer) >= FRAME.size:
            frame_type, size = FRAME.unpack_from(self._buffer)
            end = FRAME.size + size
            if len(self._buffer) < end:
                return
            body = bytes(self._buffer[FRAME.size : end])
            del self._buffer[:end]
            yield frame_type, body

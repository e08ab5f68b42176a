"""Splits a stream of server-sent events, so that only complete ones are passed on. Pure.

Source: HTML standard, section 9.2 (server-sent events).
"""

from __future__ import annotations

import re

from fordtrestle.forward.errors import EventTooLargeError

MAX_EVENT_BYTES = 1024 * 1024  # more without an end is no stream of events
_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_EVENT_ID = re.compile(rb"(?:^|[\r\n])id: ?([^\r\n]*)")


class EventSplitter:
    """Takes bytes in any pieces and gives complete events back; what is not complete yet is buffered."""

    def __init__(self) -> None:
        """Begin with a stream of which nothing has come."""
        self._buffer = b""
        self.last_id = ""  # of the newest complete event that has one

    def feed(self, data: bytes) -> bytes:
        """Take the next bytes of the stream.

        Args:
            data: As many as have come.

        Returns:
            The events that these bytes completed, unchanged.

        Raises:
            EventTooLargeError: The event that is buffered has more than `MAX_EVENT_BYTES`.
        """
        data = self._buffer + data
        end = 0
        for match in _EVENT_END.finditer(data):
            end = match.end()
        complete, self._buffer = data[:end], data[end:]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLargeError(f"an event of more than {MAX_EVENT_BYTES} bytes")
        for match in _EVENT_ID.finditer(complete):
            self.last_id = match.group(1).decode("latin-1")
        return complete

    def discard_incomplete(self) -> None:
        """Drop the buffered part of an event: the stream broke in the middle of it."""
        self._buffer = b""

    def take_incomplete(self) -> bytes:
        """What follows the last complete event of a stream that has ended as it should."""
        incomplete, self._buffer = self._buffer, b""
        return incomplete

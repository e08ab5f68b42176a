"""Splits a stream of server-sent events, so that only complete events are forwarded. Pure.

Source: HTML standard, section 9.2 (server-sent events).
"""

from __future__ import annotations

import re

from fordtrestle.forward.errors import EventTooLargeError

MAX_EVENT_BYTES = 1024 * 1024  # a longer event indicates that the data is not an event stream
_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_EVENT_ID = re.compile(rb"(?:^|[\r\n])id: ?([^\r\n]*)")


class EventSplitter:
    """Incremental splitter that returns complete events and buffers an incomplete one."""

    def __init__(self) -> None:
        """Create a splitter for the start of a stream."""
        self._buffer = b""
        self.last_id = ""  # the id of the last complete event that has one

    def feed(self, data: bytes) -> bytes:
        """Process the next bytes of the stream.

        Args:
            data: The received bytes, split at any position.

        Returns:
            The bytes of the events that are now complete, unchanged.

        Raises:
            EventTooLargeError: The buffered event is longer than `MAX_EVENT_BYTES`.
        """
        data = self._buffer + data
        end = 0
        for match in _EVENT_END.finditer(data):
            end = match.end()
        complete, self._buffer = data[:end], data[end:]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLargeError(f"event exceeds the maximum of {MAX_EVENT_BYTES} bytes")
        for match in _EVENT_ID.finditer(complete):
            self.last_id = match.group(1).decode("latin-1")
        return complete

    def discard_incomplete(self) -> None:
        """Drop the buffered part of an event after the stream broke off."""
        self._buffer = b""

    def take_incomplete(self) -> bytes:
        """Return and clear the buffered bytes after the last complete event, when the stream has ended."""
        incomplete, self._buffer = self._buffer, b""
        return incomplete

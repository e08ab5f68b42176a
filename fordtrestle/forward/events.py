"""Splits a stream of server-sent events, and tells whether it has ended inside an event. Pure.

Source: HTML standard, section 9.2 (server-sent events).
"""

from __future__ import annotations

import re

from fordtrestle.forward.errors import EventTooLargeError

MAX_EVENT_BYTES = 1024 * 1024  # a longer event indicates that the data is not an event stream
MAX_COMMENT_BYTES = 1024  # more bytes without the end of an event contain a field, not only comments
_EVENT_END_BYTES = 4  # of the longest end of an event
_EVENT_END = re.compile(rb"\r?\n\r?\n|\r\r")
_EVENT_ID = re.compile(rb"(?:^|[\r\n])id: ?([^\r\n]*)")
_FIELD = re.compile(rb"(?:^|[\r\n])[^:\r\n]")  # the first byte of a line that is no comment


def _end_of_last_event(data: bytes) -> int:
    """Return the position after the last complete event; 0 if there is none."""
    end = 0
    for match in _EVENT_END.finditer(data):
        end = match.end()
    return end


def _has_field(data: bytes) -> bool:
    """Return whether the bytes after an event are part of another one: neither line ends nor comments."""
    return _FIELD.search(data) is not None


class EventTracker:
    """Incremental tracker that passes a stream on unchanged and buffers almost nothing of it."""

    last_id = ""  # a stream that is only tracked is not resumed

    def __init__(self) -> None:
        """Create a tracker for the start of a stream."""
        self._rest = b""  # bytes after the last complete event
        self._is_rest_cut = False  # whether `_rest` holds only the last ones

    @property
    def is_inside_event(self) -> bool:
        """Whether the stream would lack the rest of an event if it ended here."""
        return self._is_rest_cut or _has_field(self._rest)

    def feed(self, data: bytes) -> bytes:
        """Process the next bytes of the stream, split at any position, and return them."""
        received = self._rest + data
        end = _end_of_last_event(received)
        rest = received[end:]
        self._is_rest_cut = (self._is_rest_cut and not end) or len(rest) > MAX_COMMENT_BYTES
        self._rest = rest[-_EVENT_END_BYTES:] if self._is_rest_cut else rest
        return data

    def discard_incomplete(self) -> None:
        """Do nothing: the bytes have been passed on."""

    def take_incomplete(self) -> bytes:
        """Return no bytes: all have been passed on."""
        return b""


class EventSplitter:
    """Incremental splitter that returns complete events and buffers an incomplete one."""

    def __init__(self) -> None:
        """Create a splitter for the start of a stream."""
        self._buffer = b""
        self.last_id = ""  # the id of the last complete event that has one

    @property
    def is_inside_event(self) -> bool:
        """Whether the stream would lack the rest of an event if it ended here."""
        return _has_field(self._buffer)

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
        end = _end_of_last_event(data)
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

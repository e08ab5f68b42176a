"""Splits a stream of server-sent events, so that only whole ones are passed on. Pure.

Source: HTML standard, section 9.2 (server-sent events).
"""

from __future__ import annotations

import re

EVENT_MOST = 1024 * 1024  # bytes of one event; more is no stream of events
_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID = re.compile(rb"(?:^|[\r\n])id: ?([^\r\n]*)")


class EventTooLarge(ValueError):
    """An event that has no end within bounds."""


class EventSplitter:
    """Takes bytes as they come and gives whole events back; what is not whole yet stays."""

    def __init__(self) -> None:
        self._rest = b""
        self.last_id = ""  # of the newest whole event that has one

    def feed(self, data: bytes) -> bytes:
        """The whole events that have come with these bytes, as they stood. Raises `EventTooLarge`."""
        data = self._rest + data
        end = 0
        for match in _END.finditer(data):
            end = match.end()
        whole, self._rest = data[:end], data[end:]
        if len(self._rest) > EVENT_MOST:
            raise EventTooLarge(f"an event of more than {EVENT_MOST} bytes")
        for found in _ID.finditer(whole):
            self.last_id = found.group(1).decode("latin-1")
        return whole

    def cut(self) -> None:
        """The stream has broken: what was not whole is void."""
        self._rest = b""

    def rest(self) -> bytes:
        """What stands behind the last whole event once the stream has ended as it should."""
        rest, self._rest = self._rest, b""
        return rest

"""The registry's protocol without I/O: HTTP/1.1 responses whose bodies are lines of JSON. Pure.

A GET of `PATH` returns the complete list. With `watch=1` the response never ends: it delivers a list after
each change, and empty lines as heartbeats. Each list is a line of its own, or several lines if it is
indented.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

import httptools

from fordtrestle.proxy.engine.ports import Address
from fordtrestle.proxy.membership.errors import ListError, ResponseError

PATH = "/registry/instances"
# These bound the memory that a registry can make this process use.
MAX_LINE_BYTES = 4 * 1024 * 1024
MAX_LIST_BYTES = 4 * 1024 * 1024


def encode_request(address: Address, target: str) -> bytes:
    """Return the bytes of a GET request."""
    return f"GET {target} HTTP/1.1\r\nHost: {address.host}:{address.port}\r\n\r\n".encode()


def watch_target(version: int) -> str:
    """Return the request target of a watch for changes after `version`; 0 requests everything."""
    return f"{PATH}?watch=1&from={version}"


class ResponseState(Enum):
    """The state of a response."""

    READING = "reading"
    COMPLETE = "complete"  # the end of the response has been parsed
    STOPPED = "stopped"  # the lines are no longer needed


class ResponseReader:
    """Parses one response, and calls `on_line` with each complete line of its body, without the line end.

    An error raised by `on_line` ends the response with a `ResponseError` of the same text.
    """

    def __init__(self, on_line: Callable[[bytes], None]) -> None:
        self._on_line = on_line
        self._parser = httptools.HttpResponseParser(self)
        self._partial_line = bytearray()  # a line whose end is not received yet
        self.state = ResponseState.READING

    def feed(self, data: bytes) -> None:
        """Parse a part of the response, unless it is complete or stopped.

        Raises:
            ResponseError: The response is not HTTP, its status is not 200, or a line is too long or rejected.
        """
        if self.state is not ResponseState.READING:
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise ResponseError(str(error.__context__ or error)) from error

    def stop(self) -> None:
        """Deliver no more lines, not even those of data that is being parsed."""
        if self.state is ResponseState.READING:
            self.state = ResponseState.STOPPED

    # --- callbacks of the parser, whose `feed_data` reports the errors that they raise ---

    def on_headers_complete(self) -> None:
        """Check the status of the response."""
        status = self._parser.get_status_code()
        if status != 200:
            raise ResponseError(f"status {status}")

    def on_body(self, data: bytes) -> None:
        """Deliver all complete lines."""
        self._partial_line += data
        if len(self._partial_line) > MAX_LINE_BYTES:
            raise ResponseError("a line is too long")
        # Without this check, a long line received in small parts would be searched again for each part.
        if b"\n" not in data:
            return
        *lines, partial_line = self._partial_line.split(b"\n")
        self._partial_line = partial_line
        for line in lines:
            self._deliver(line)

    def on_message_complete(self) -> None:
        """Deliver the last line, which may have no line end."""
        self._deliver(self._partial_line)
        self._partial_line = bytearray()
        if self.state is ResponseState.READING:
            self.state = ResponseState.COMPLETE

    def _deliver(self, line: bytearray) -> None:
        if self.state is ResponseState.READING:
            self._on_line(bytes(line))


class WatchReader:
    """Assembles the lists of a watch from its lines, and calls `on_list` with the text of each.

    A list ends with the line that closes its last brace. Braces inside names are counted as well: with an
    unbalanced one, a list never ends, or ends too early and is rejected; in both cases the watch is
    restarted.
    """

    def __init__(self, on_list: Callable[[bytes], None]) -> None:
        self._on_list = on_list
        self._text = bytearray()  # a list whose end is not received yet
        self._open_braces = 0

    def add_line(self, line: bytes) -> bool:
        """Add a line.

        Returns:
            Whether the line is a proof of liveness: a heartbeat, or the end of a list.

        Raises:
            ListError: The list is too long or contains a heartbeat, or `on_list` rejected it.
        """
        if not line.strip():
            if self._text:
                raise ListError("a heartbeat within a list")
            return True
        self._text += line + b"\n"
        if len(self._text) > MAX_LIST_BYTES:
            raise ListError("the list is too long")
        self._open_braces += line.count(b"{") - line.count(b"}")
        if self._open_braces > 0:
            return False
        text, self._text, self._open_braces = bytes(self._text), bytearray(), 0
        self._on_list(text)
        return True


class ListReader:
    """Collects the lines of a complete list in `text`."""

    def __init__(self) -> None:
        self.text = bytearray()

    def add_line(self, line: bytes) -> bool:
        """Add a line, which is always a proof of liveness.

        Raises:
            ListError: The list is too long.
        """
        self.text += line + b"\n"
        if len(self.text) > MAX_LIST_BYTES:
            raise ListError("the list is too long")
        return True

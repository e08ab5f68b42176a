"""The registry's protocol without I/O: HTTP/1.1 responses whose bodies are lines of JSON. Pure.

A request is a GET of `PATH`, answered with the complete list. With `watch=1` the response never ends: it
brings a list whenever something has changed, and an empty line as a heartbeat. Each list is a line of its
own, or several lines if it is indented.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

import httptools

from fordtrestle.proxy.engine.ports import Address
from fordtrestle.proxy.membership.errors import ListError, ResponseError

PATH = "/registry/instances"
# These bound the memory that a registry can make this process hold.
MAX_LINE_BYTES = 4 * 1024 * 1024
MAX_LIST_BYTES = 4 * 1024 * 1024


def encode_request(address: Address, target: str) -> bytes:
    """Return the bytes of a GET request."""
    return f"GET {target} HTTP/1.1\r\nHost: {address.host}:{address.port}\r\n\r\n".encode()


def watch_target(version: int) -> str:
    """Return the request target of a watch for changes after `version`; 0 asks for everything."""
    return f"{PATH}?watch=1&from={version}"


class ResponseState(Enum):
    """Where a response stands."""

    READING = "reading"
    COMPLETE = "complete"  # its end has been parsed
    STOPPED = "stopped"  # its lines are no longer wanted


class ResponseReader:
    """Parses one response, and calls `on_line` with each complete line of its body, without its end.

    An error that `on_line` raises ends the response with a `ResponseError` of the same text.
    """

    def __init__(self, on_line: Callable[[bytes], None]) -> None:
        self._on_line = on_line
        self._parser = httptools.HttpResponseParser(self)
        self._rest = bytearray()  # of a line whose end has not come
        self.state = ResponseState.READING

    def feed(self, data: bytes) -> None:
        """Parse a part of the response; does nothing unless it is being read.

        Raises:
            ResponseError: It is no HTTP, has another status than 200, or a line is too long or rejected.
        """
        if self.state is not ResponseState.READING:
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise ResponseError(str(error.__context__ or error)) from error

    def stop(self) -> None:
        """Deliver no more lines, not even of data that is being parsed."""
        if self.state is ResponseState.READING:
            self.state = ResponseState.STOPPED

    # --- called by the parser, which reports what they raise from `feed_data` --------

    def on_headers_complete(self) -> None:
        """Check the status."""
        status = self._parser.get_status_code()
        if status != 200:
            raise ResponseError(f"status {status}")

    def on_body(self, data: bytes) -> None:
        """Deliver all lines that are complete now."""
        self._rest += data
        if len(self._rest) > MAX_LINE_BYTES:
            raise ResponseError("a line is too long")
        # Without this, a long line that comes in small pieces would be searched anew for each of them.
        if b"\n" not in data:
            return
        *lines, rest = self._rest.split(b"\n")
        self._rest = rest
        for line in lines:
            self._deliver(line)

    def on_message_complete(self) -> None:
        """Deliver the last line, which may lack its end."""
        self._deliver(self._rest)
        self._rest = bytearray()
        if self.state is ResponseState.READING:
            self.state = ResponseState.COMPLETE

    def _deliver(self, line: bytearray) -> None:
        if self.state is ResponseState.READING:
            self._on_line(bytes(line))


class WatchReader:
    """Assembles the lists of a watch from its lines, and calls `on_list` with the text of each.

    A list ends with the line after which all its braces are closed. Braces inside of names are counted as
    well: a list with an unbalanced one never ends, or ends too soon and is rejected; either way the watch is
    started anew.
    """

    def __init__(self, on_list: Callable[[bytes], None]) -> None:
        self._on_list = on_list
        self._text = bytearray()  # of a list whose end has not come
        self._open_braces = 0

    def add_line(self, line: bytes) -> bool:
        """Add a line.

        Returns:
            Whether the line is a proof of liveness: a heartbeat, or the end of a list.

        Raises:
            ListError: The list is too long, or a heartbeat came within it.
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
        """Add a line; always a proof of liveness.

        Raises:
            ListError: The list is too long.
        """
        self.text += line + b"\n"
        if len(self.text) > MAX_LIST_BYTES:
            raise ListError("the list is too long")
        return True

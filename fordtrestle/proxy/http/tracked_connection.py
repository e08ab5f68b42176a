"""A client connection as an entry of a server's table, before or after its first byte."""

from __future__ import annotations

from typing import Protocol

from fordtrestle.resources.connection_table import TableEntry


class TrackedConnection(Protocol):
    """The interface that a server uses for each of its connections.

    Attributes:
        entry: Its entry in the server's table.
    """

    entry: TableEntry[TrackedConnection]

    @property
    def is_idle(self) -> bool:
        """Whether it is between requests, with no unread bytes on either side."""

    @property
    def is_evictable(self) -> bool:
        """Whether it may be closed to free its descriptor for another connection."""

    def close(self) -> None:
        """Close the connection between requests."""

    def abort(self) -> None:
        """Close the connection at once and drop what it buffers."""

    def on_request_overdue(self) -> None:
        """Handle that it has sent no complete request for longer than any healthy client takes."""

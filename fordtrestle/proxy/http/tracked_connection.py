"""A client's connection as a server's table holds it, before or after its first byte."""

from __future__ import annotations

from typing import Protocol

from fordtrestle.proxy.engine.connection_table import TableEntry


class TrackedConnection(Protocol):
    """What a server asks of each of its connections.

    Attributes:
        entry: Its place in the server's table.
    """

    entry: TableEntry[TrackedConnection]

    @property
    def is_idle(self) -> bool:
        """Whether it stands between requests, with nothing unread on either side."""

    @property
    def is_evictable(self) -> bool:
        """Whether it may be closed for another's sake."""

    def close(self) -> None:
        """Close it, between requests."""

    def abort(self) -> None:
        """Close it whatever it holds."""

    def on_request_overdue(self) -> None:
        """It has not sent a whole request for longer than any healthy client takes."""

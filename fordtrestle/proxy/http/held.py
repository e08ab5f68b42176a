"""A client's connection as a front's table holds it, whether or not it has said anything."""

from __future__ import annotations

from typing import Protocol

from fordtrestle.proxy.engine.connection_table import TableEntry


class HeldConnection(Protocol):
    """A client's connection, before or after its first byte."""

    entry: TableEntry[HeldConnection]

    @property
    def idle(self) -> bool:
        """Whether it stands between requests, with nothing unread on either side."""

    @property
    def quiet(self) -> bool:
        """Whether it may be closed for another's sake."""

    def close(self) -> None:
        """Close it, between requests."""

    def abort(self) -> None:
        """Close it whatever it holds."""

    def first_is_overdue(self) -> None:
        """It has not sent a whole request for longer than any healthy client takes."""

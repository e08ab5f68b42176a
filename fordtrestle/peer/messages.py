"""Messages of the transport itself. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from fordtrestle.replication import messages as replication

NO_VERSION = 0  # of processes from before there were versions


@dataclass(frozen=True, slots=True)
class Hello:
    """The first message of a connection, by the side that has dialled, and then by the one that answers.

    Attributes:
        node: the sender.
        peer: HOST:PORT that the sender listens at.
        newest: the newest version of the protocol that it speaks.
        oldest: the oldest version that it speaks.
    """

    node: str
    peer: str
    newest: int = NO_VERSION
    oldest: int = NO_VERSION


@dataclass(frozen=True, slots=True)
class Envelope:
    """A message from one store to another.

    It names both: a store that is no more must not be taken for the one that now runs at its address.
    """

    sender: str
    receiver: str
    message: replication.Message

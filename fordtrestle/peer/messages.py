"""Messages of the transport itself. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from fordtrestle.replication import messages as replication

NO_VERSION = 0  # in the hello of a process from before the protocol had versions


@dataclass(frozen=True, slots=True)
class Hello:
    """The first message on a connection, sent by the dialling side and then by the accepting side.

    Attributes:
        node: the sender's node.
        peer: HOST:PORT that the sender listens on.
        newest: the newest protocol version that the sender supports.
        oldest: the oldest protocol version that the sender supports.
    """

    node: str
    peer: str
    newest: int = NO_VERSION
    oldest: int = NO_VERSION


@dataclass(frozen=True, slots=True)
class Envelope:
    """A message from one store to another.

    It names both stores, so that a message to a former store is not handled by the store that now runs at its
    address.
    """

    sender: str
    receiver: str
    message: replication.Message

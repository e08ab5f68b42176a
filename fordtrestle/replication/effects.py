"""The pending effects of a store: records to sync, then messages to send. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field

from fordtrestle.replication.messages import Outgoing, Record


@dataclass(slots=True)
class Effects:
    """Records to sync, and the messages that may be sent after that sync.

    The order guards against a power loss: a store that sent a vote before syncing it could forget it and vote
    for another candidate.
    """

    records: list[Record] = field(default_factory=list)
    messages: list[Outgoing] = field(default_factory=list)

    def __bool__(self) -> bool:
        return bool(self.records or self.messages)

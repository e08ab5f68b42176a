"""What a store does next: records to sync, then messages to send. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field

from fordtrestle.replication.messages import Outgoing, Record


@dataclass(slots=True)
class Effects:
    """Records to sync, then messages that may be sent.

    The order guards against a loss of power: a vote that was sent before it was synced could be given again
    to another candidate.
    """

    records: list[Record] = field(default_factory=list)
    messages: list[Outgoing] = field(default_factory=list)

    def __bool__(self) -> bool:
        return bool(self.records or self.messages)

"""The messages with which a control process forwards a command to the primary. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from fordtrestle.coordination.answers import Answer
from fordtrestle.coordination.commands import Command


@dataclass(frozen=True, slots=True)
class CoordinationCall:
    """A command that is forwarded to the primary.

    Attributes:
        token: Identifies the call on this link.
        command: The command.
        timeout_ms: For how long the caller still waits, in milliseconds. A receiver counts them from the
            arrival of the call if the call names no clock, as those of older versions do.
        clock: The steady clock of the receiver's process; empty if the sender does not know it.
        deadline: When the caller stops waiting at the earliest, in seconds of that clock. The command is not
            started after that, however long the call was on its way.
    """

    token: int
    command: Command
    timeout_ms: float
    clock: str = ""
    deadline: float = 0.0


@dataclass(frozen=True, slots=True)
class CoordinationReply:
    """The answer to the call with this token."""

    token: int
    answer: Answer

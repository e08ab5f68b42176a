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
        timeout_ms: For how long the caller still waits, in milliseconds. The command is not started after
            that.
    """

    token: int
    command: Command
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class CoordinationReply:
    """The answer to the call with this token."""

    token: int
    answer: Answer

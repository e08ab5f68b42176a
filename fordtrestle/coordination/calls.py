"""How a control process has the primary carry a command out for it. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from fordtrestle.coordination.answers import Answer
from fordtrestle.coordination.commands import Command


@dataclass(frozen=True, slots=True)
class CoordinationCall:
    """A command for the primary.

    Attributes:
        token: Names the call on this link.
        command: The command.
        timeout_ms: For how long its caller still waits: it is not begun after that.
    """

    token: int
    command: Command
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class CoordinationReply:
    """What the call of that token came to."""

    token: int
    answer: Answer

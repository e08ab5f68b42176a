"""Requests of operators to a control process, and what comes of them. Pure."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, StrEnum, auto

IsCallerWaiting = Callable[[], bool]
"""Whether the caller of a request is still connected."""


class ConfigRequestKind(StrEnum):
    """How a request changes the configuration. The values are part of the URL and of stored digests."""

    PUT = "put"
    PATCH = "patch"


@dataclass(frozen=True, slots=True)
class ConfigRequest:
    """An operator's call to change the configuration.

    Attributes:
        kind: Whether the body is a complete configuration or a patch.
        base: The generation that the change builds on.
        body: The body as it came, in JSON.
        is_caller_waiting: Whether the caller is still connected.
    """

    kind: ConfigRequestKind
    base: int
    body: bytes
    is_caller_waiting: IsCallerWaiting


@dataclass(frozen=True, slots=True)
class EvacuationRequest:
    """An operator's call to empty a zone (`active`) or to take it back.

    Attributes:
        zone: The zone's name.
        active: Whether the zone is to be evacuated.
        is_caller_waiting: Whether the caller is still connected.
    """

    zone: str
    active: bool
    is_caller_waiting: IsCallerWaiting


class CommandStatus(Enum):
    """What became of a command."""

    DONE = auto()  # in force on all replicas
    STALE = auto()  # built on another generation than the current one
    INVALID = auto()  # refused for its content
    NOT_PRIMARY = auto()  # another store is primary
    UNKNOWN = auto()  # it may or may not be in force: the caller has to send it again


@dataclass(frozen=True, slots=True)
class CommandResult:
    """The status of a command, why, and for reads the document.

    Attributes:
        status: What became of the command.
        errors: All that is wrong with an invalid one, a line each.
        document: The configuration in JSON, for reads that are done; empty while there is none.
    """

    status: CommandStatus
    errors: tuple[str, ...] = ()
    document: bytes = b""

"""Operators' requests to a control process and their results. Pure."""

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
        base: The generation that the change is based on.
        body: The body as received, in JSON.
        is_caller_waiting: Whether the caller is still connected.
    """

    kind: ConfigRequestKind
    base: int
    body: bytes
    is_caller_waiting: IsCallerWaiting


@dataclass(frozen=True, slots=True)
class EvacuationRequest:
    """An operator's call to evacuate a zone or to end its evacuation.

    Attributes:
        zone: The zone's name.
        active: Whether the zone is to be evacuated; otherwise its evacuation is to end.
        deadline: When the caller stops waiting, in seconds of the steady clock. The call names no version, so
            executing it later could undo a newer one.
        is_caller_waiting: Whether the caller is still connected.
    """

    zone: str
    active: bool
    deadline: float
    is_caller_waiting: IsCallerWaiting


class CommandStatus(Enum):
    """The status of a command."""

    DONE = auto()  # in force on all replicas
    STALE = auto()  # based on another generation than the current one
    INVALID = auto()  # rejected for its content
    NOT_PRIMARY = auto()  # this store is not primary
    UNKNOWN = auto()  # may or may not be in force: the caller has to send it again


@dataclass(frozen=True, slots=True)
class CommandResult:
    """The result of a command.

    Attributes:
        status: The status of the command.
        errors: The error messages of an invalid command, one per line.
        document: The configuration in JSON, if a read is done; empty while there is no configuration.
    """

    status: CommandStatus
    errors: tuple[str, ...] = ()
    document: bytes = b""

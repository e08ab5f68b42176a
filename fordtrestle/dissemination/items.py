"""What is spread to all processes: versioned items, of which the newest wins everywhere."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

Version = tuple[int, ...]

MAX_DOCUMENT_BYTES = (
    8 * 1024 * 1024
)  # bytes of a configuration: it has to fit into one message to each replica

CONTROL_KEY = "control"
SERVER_PREFIX = "server/"
MEMBER_PREFIX = "member/"
EJECTION_PREFIX = "ejection/"


@dataclass(frozen=True, slots=True)
class ControlView:
    """What was decided, as far as those that only act by it need it. Versioned by `sequence`."""

    sequence: int
    generation: int
    document: bytes  # the whole configuration, as JSON
    evacuated: tuple[str, ...]


class Phase(IntEnum):
    """How far an incarnation of a server has come; later ones are final."""

    SERVING = 0
    DRAINING = 1
    DEPARTED = 2


@dataclass(frozen=True, slots=True)
class ServerRecord:
    """One incarnation of a server, as its newest heartbeat told."""

    instance: str
    service: str
    address: str
    zone: str
    slots: int
    phase: Phase
    is_unresponsive: bool  # its heartbeats have stopped
    warm_up_ms: float  # how much longer it is cold, as of that heartbeat
    remaining_ms: float | None  # until it is taken away, where it said so
    models: tuple[str, ...]
    heard_by: str  # the control process that took the heartbeat


class Availability(IntEnum):
    """What a member says of itself."""

    STARTING = 0
    READY = 1
    LEAVING = 2  # told to end: it serves on, for clients whose region has nobody else
    DOWN = 3  # what others say of it once they have lost it
    CLOSING = 4  # about to end: its clients are to go elsewhere


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """One process of the system."""

    node: str
    role: str
    zone: str
    region: str
    peer: str  # HOST:PORT for other processes
    front: str  # HOST:PORT for clients; empty where it serves none
    availability: Availability


@dataclass(frozen=True, slots=True)
class EjectionRecord:
    """A server whose requests fail is to be left out for some s, from when that is heard."""

    instance: str
    lasts_s: float


Value = ControlView | ServerRecord | MemberRecord | EjectionRecord


@dataclass(frozen=True, slots=True)
class Item:
    """One key's value at one version."""

    key: str
    version: Version
    value: Value


def control_item(view: ControlView) -> Item:
    """The item of what was decided."""
    return Item(CONTROL_KEY, (view.sequence,), view)


def server_item(record: ServerRecord, sequence: int) -> Item:
    """The item of a server. A final phase outdoes all heartbeats of an earlier one, and silence only the one
    that it followed.
    """
    version = (int(record.phase), sequence, int(record.is_unresponsive))
    return Item(SERVER_PREFIX + record.instance, version, record)


def ejection_item(record: EjectionRecord, known: Version | None) -> Item:
    """The item of an ejection, newer than the last one that is known of that server."""
    return Item(EJECTION_PREFIX + record.instance, (known[0] + 1 if known else 1,), record)


def member_item(record: MemberRecord, incarnation: int, counter: int) -> Item:
    """The item of a member. Being down is said at the counter that was known, and refuted by the next."""
    down = int(record.availability is Availability.DOWN)
    return Item(MEMBER_PREFIX + record.node, (incarnation, counter, down), record)

"""The versioned items that are disseminated to all processes; the newest version wins. Pure.

The records are sent between processes (`peer/codec.py`). Rules for changes: `docs/design/versions.md`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

Version = tuple[int, ...]  # compared lexicographically

# A configuration has to fit into one message to each replica.
MAX_DOCUMENT_BYTES = 8 * 1024 * 1024

CONTROL_KEY = "control"
SERVER_PREFIX = "server/"
MEMBER_PREFIX = "member/"
EJECTION_PREFIX = "ejection/"


@dataclass(frozen=True, slots=True)
class ControlView:
    """The part of the control state that is published to all processes.

    Attributes:
        sequence: the number of changes applied so far; also its version.
        generation: the generation of the configuration.
        document: the complete configuration, as JSON.
        evacuated: the evacuated zones.
    """

    sequence: int
    generation: int
    document: bytes
    evacuated: tuple[str, ...]


class Phase(IntEnum):
    """The lifecycle phase of a server incarnation; a phase never goes back to an earlier one."""

    SERVING = 0
    DRAINING = 1
    DEPARTED = 2


@dataclass(frozen=True, slots=True)
class ServerRecord:
    """One incarnation of a server, as described by its newest heartbeat.

    Attributes:
        instance: the incarnation's identity.
        service: the service that it belongs to.
        address: HOST:PORT for requests.
        zone: its zone.
        slots: how many requests it serves concurrently.
        phase: its lifecycle phase.
        is_unresponsive: whether its heartbeats have stopped.
        warm_up_ms: the remaining warm-up time as of that heartbeat, in ms.
        remaining_ms: how much longer it serves while it drains, in ms; `None` if unknown.
        models: the models that it has loaded.
        heard_by: the control process that received the heartbeat.
    """

    instance: str
    service: str
    address: str
    zone: str
    slots: int
    phase: Phase
    is_unresponsive: bool
    warm_up_ms: float
    remaining_ms: float | None
    models: tuple[str, ...]
    heard_by: str


class Availability(IntEnum):
    """The state that a member announces, or `DOWN` if its monitors have declared it down."""

    STARTING = 0
    READY = 1
    LEAVING = 2  # shutting down: still serves clients whose region has no other process
    DOWN = 3
    CLOSING = 4  # about to exit: its clients have to move to other processes


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """One process of the system.

    Attributes:
        node: its name, unique in the deployment.
        role: `control` or `sidecar`.
        zone: its zone.
        region: its region.
        peer: HOST:PORT for other processes.
        front: HOST:PORT for clients; empty if it does not serve clients.
        availability: its current availability.
    """

    node: str
    role: str
    zone: str
    region: str
    peer: str
    front: str
    availability: Availability


@dataclass(frozen=True, slots=True)
class EjectionRecord:
    """Ejects a server whose requests fail.

    Attributes:
        instance: the server's incarnation.
        lasts_s: how long each process excludes the server, counted from when it receives the record.
    """

    instance: str
    lasts_s: float


Value = ControlView | ServerRecord | MemberRecord | EjectionRecord


@dataclass(frozen=True, slots=True)
class Item:
    """The value of one key at one version."""

    key: str
    version: Version
    value: Value


def control_item(view: ControlView) -> Item:
    """Return the item of the control state."""
    return Item(CONTROL_KEY, (view.sequence,), view)


def server_item(record: ServerRecord, sequence: int) -> Item:
    """Return the item of a server.

    A later phase is newer than every heartbeat of an earlier phase, however late that arrives: a server that
    drains or has departed is never used again. The item that marks a server unresponsive is newer than its
    last heartbeat, but older than the next one.

    Args:
        record: the server.
        sequence: the sequence number of the heartbeat.
    """
    version = (int(record.phase), sequence, int(record.is_unresponsive))
    return Item(SERVER_PREFIX + record.instance, version, record)


def ejection_item(record: EjectionRecord, known: Version | None) -> Item:
    """Return the item of an ejection, newer than the last known ejection of that server.

    Args:
        record: the ejection.
        known: the version of the last known ejection; `None` if there is none.
    """
    return Item(EJECTION_PREFIX + record.instance, (known[0] + 1 if known else 1,), record)


def member_item(record: MemberRecord, incarnation: int, counter: int) -> Item:
    """Return the item of a member.

    Monitors declare a member down at the last counter that they know, so the member's next item refutes them
    (the suspicion mechanism of SWIM: Das, Gupta, Motivala 2002).

    Args:
        record: the member.
        incarnation: increases with each start of the process.
        counter: increases with each item of one incarnation.
    """
    down = int(record.availability is Availability.DOWN)
    return Item(MEMBER_PREFIX + record.node, (incarnation, counter, down), record)

"""What is spread to all processes: versioned items, of which the newest wins everywhere. Pure.

The records travel between processes (`peer/codec.py`). Rules for changes: `docs/design/versions.md`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

Version = tuple[int, ...]  # compared as tuples are: the first number that differs decides

# Of a configuration: it has to fit into one message to each replica.
MAX_DOCUMENT_BYTES = 8 * 1024 * 1024

CONTROL_KEY = "control"
SERVER_PREFIX = "server/"
MEMBER_PREFIX = "member/"
EJECTION_PREFIX = "ejection/"


@dataclass(frozen=True, slots=True)
class ControlView:
    """The control state, as far as processes that only act by it need it.

    Attributes:
        sequence: the number of changes that led to it; its version.
        generation: the generation of the configuration.
        document: the whole configuration, as JSON.
        evacuated: the zones that are evacuated.
    """

    sequence: int
    generation: int
    document: bytes
    evacuated: tuple[str, ...]


class Phase(IntEnum):
    """How far an incarnation of a server has come; none goes back to an earlier phase."""

    SERVING = 0
    DRAINING = 1
    DEPARTED = 2


@dataclass(frozen=True, slots=True)
class ServerRecord:
    """One incarnation of a server, as its newest heartbeat described it.

    Attributes:
        instance: the incarnation's identity.
        service: the service that it belongs to.
        address: HOST:PORT for requests.
        zone: the zone that it is in.
        slots: how many requests it serves at once.
        phase: how far it has come.
        is_unresponsive: whether its heartbeats have stopped.
        warm_up_ms: how much longer it is warming up, in ms, as of that heartbeat.
        remaining_ms: for how much longer it serves while it drains, in ms; `None` where that is not known.
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
    """What a member says of itself, and others of it once they have lost it (`DOWN`)."""

    STARTING = 0
    READY = 1
    LEAVING = 2  # asked to end: it still serves clients whose region has no other process
    DOWN = 3
    CLOSING = 4  # about to end: its clients have to go elsewhere


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """One process of the system.

    Attributes:
        node: its name, unique in the deployment.
        role: what it does: `control` or `sidecar`.
        zone: the zone that it is in.
        region: the region that it is in.
        peer: HOST:PORT for other processes.
        front: HOST:PORT for clients; empty where it serves none.
        availability: what it can do now.
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
    """A server whose requests fail is left out by all, for some s from when a process hears of it."""

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
    """Return the item of the control state."""
    return Item(CONTROL_KEY, (view.sequence,), view)


def server_item(record: ServerRecord, sequence: int) -> Item:
    """Return the item of a server.

    A later phase is newer than all heartbeats of an earlier one, however late those come: a server that
    drains or has departed is never used again. An unresponsive server's item is newer only than its last
    heartbeat.

    Args:
        record: the server.
        sequence: the number of the heartbeat.
    """
    version = (int(record.phase), sequence, int(record.is_unresponsive))
    return Item(SERVER_PREFIX + record.instance, version, record)


def ejection_item(record: EjectionRecord, known: Version | None) -> Item:
    """Return the item of an ejection, newer than the last one that is known of that server.

    Args:
        record: the ejection.
        known: the version of that last one; `None` where none is known.
    """
    return Item(EJECTION_PREFIX + record.instance, (known[0] + 1 if known else 1,), record)


def member_item(record: MemberRecord, incarnation: int, counter: int) -> Item:
    """Return the item of a member.

    Others declare a member down at the counter that they know of it, so the member's next item refutes that
    (SWIM's suspicion, Das, Gupta, Motivala 2002).

    Args:
        record: the member.
        incarnation: rises with each start of the process.
        counter: rises with each item of one incarnation.
    """
    down = int(record.availability is Availability.DOWN)
    return Item(MEMBER_PREFIX + record.node, (incarnation, counter, down), record)

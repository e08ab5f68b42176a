"""What a play has seen: requests, answers of directories, lives of processes, versions. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field

from rig.coordination.history import Call
from rig.system.model_server import Run

# Times are s of the monotonic clock.


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request of the stand-in clients."""

    name: str
    path: str
    tokens_out: int
    streaming: bool = True
    resumable: bool = False
    homes: tuple[str, ...] = ()


@dataclass(slots=True)
class Asked:
    """One request of a client, and what came of it."""

    request_id: str
    kind: Kind
    region: str  # of the client
    front: str  # HOST:PORT that it was sent to
    sent: float  # its last byte
    ended: float = 0.0
    status: int = 0  # 0: no head came
    whole: bool = False


@dataclass(frozen=True, slots=True)
class Named:
    """An answer of a directory."""

    at: float
    region: str
    fronts: tuple[str, ...]


@dataclass(slots=True)
class Life:
    """One process, from its start to its end."""

    machine: str
    role: str
    region: str
    front: str  # HOST:PORT for clients; empty where it serves none
    began: float
    told_at: float | None = None  # of the first SIGTERM
    ended: float | None = None
    code: int | None = None
    overdue: str = ""  # the state in which it was killed at the end of its grace
    disturbed: list[float] = field(default_factory=list)  # by what was not planned


@dataclass(frozen=True, slots=True)
class Read:
    """A configuration that was read, and the newest that had been acknowledged when it was asked for."""

    at: float
    generation: int
    acknowledged: int


@dataclass(slots=True)
class Record:
    """All of one play."""

    grace_s: float
    asked: list[Asked] = field(default_factory=list)
    named: list[Named] = field(default_factory=list)
    lives: list[Life] = field(default_factory=list)
    reads: list[Read] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    log_lines: list[tuple[str, str]] = field(default_factory=list)  # machine and line
    changes: int = 0  # acknowledged
    calls: list[Call] = field(default_factory=list)  # for locks, numbers, keys and watches
    unanswered: list[str] = field(default_factory=list)  # of these, at the end

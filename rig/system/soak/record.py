"""Record of a play: requests, directory answers, process lifetimes and configuration versions. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field

from rig.coordination.history import Call
from rig.system.model_server import Run, event_count
from rig.system.soak.route_changes import ConfigurationVersion

# Times are s of the monotonic clock.

OK = 200
DEADLINE_S = 15.0  # of each request, and the timeout of each route


@dataclass(frozen=True, slots=True)
class RequestKind:
    """A kind of request that simulated clients send."""

    name: str
    path: str
    tokens_out: int
    streaming: bool = True
    resumable: bool = False
    home_regions: tuple[str, ...] = ()

    @property
    def events(self) -> int:
        """The number of events in a whole response."""
        return event_count(self.tokens_out)


# Each promises that the request has not run and never will (PROTOCOL: answers).
REFUSED_STATUSES = (408, 421, 429, 503)


@dataclass(slots=True)
class ClientRequest:
    """A request that a client has sent once, and its result; it may be sent again with the same id."""

    request_id: str
    kind: RequestKind
    region: str  # of the client
    front: str  # HOST:PORT that it was sent to
    sent: float  # when its last byte was written
    ended: float = 0.0
    status: int = 0  # 0: no response head was received
    is_complete: bool = False
    answered_id: str = ""  # the request id in the head of the response
    events: int | None = None  # in the body of the response, the last one perhaps in part; `None` if not read

    @property
    def path(self) -> str:
        """The path of the request."""
        return f"{self.kind.path}x/1"

    @property
    def key(self) -> tuple[str, float]:
        """The id and the time of sending, which are unique together."""
        return self.request_id, self.sent

    @property
    def is_served(self) -> bool:
        """Whether the response is complete and successful."""
        return self.is_complete and self.status == OK

    @property
    def is_refused(self) -> bool:
        """Whether the response promises that it has not run and never will."""
        return self.is_complete and self.status in REFUSED_STATUSES


@dataclass(frozen=True, slots=True)
class DirectoryAnswer:
    """Fronts that a directory returned to a client."""

    at: float
    region: str
    fronts: tuple[str, ...]


@dataclass(slots=True)
class ProcessLifetime:
    """One process from its start to its exit."""

    machine: str
    role: str
    region: str
    front: str  # HOST:PORT for clients; empty for a control process
    started: float
    sigterm_at: float | None = None  # when the first SIGTERM was sent
    ended: float | None = None
    code: int | None = None
    overdue_state: str = ""  # kernel state in which it was killed at the end of its grace time
    disturbed_at: list[float] = field(default_factory=list)  # times of unplanned signals


@dataclass(frozen=True, slots=True)
class ConfigurationRead:
    """A read of the configuration, and the newest generation acknowledged when the read was sent."""

    at: float
    generation: int
    acknowledged: int


@dataclass(frozen=True, slots=True)
class Finding:
    """A breach of a rule."""

    rule: str
    text: str


@dataclass(slots=True)
class MemoryPeak:
    """The most resident memory of any process of a machine, and its limit, in MB."""

    machine: str
    limit_mb: float
    used_mb: float = 0.0


@dataclass(slots=True)
class Record:
    """Everything recorded in one play."""

    grace_s: float
    requests: list[ClientRequest] = field(default_factory=list)
    directory_answers: list[DirectoryAnswer] = field(default_factory=list)
    lifetimes: list[ProcessLifetime] = field(default_factory=list)
    reads: list[ConfigurationRead] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    log_lines: list[tuple[str, str]] = field(default_factory=list)  # machine and line
    changes: int = 0  # acknowledged
    calls: list[Call] = field(default_factory=list)  # of locks, numbers, keys and watches
    unanswered: list[str] = field(default_factory=list)  # final calls without a clear answer
    versions: list[ConfigurationVersion] = field(default_factory=list)  # sent, in order of generation
    has_server_faults: bool = False
    memory_peaks: list[MemoryPeak] = field(default_factory=list)

    def final_sends(self) -> list[ClientRequest]:
        """Return the requests without those sends that were refused and followed by another one."""
        last_sent: dict[str, float] = {}
        for request in self.requests:
            last_sent[request.request_id] = max(request.sent, last_sent.get(request.request_id, 0.0))
        return [
            request
            for request in self.requests
            if not request.is_refused or request.sent == last_sent[request.request_id]
        ]

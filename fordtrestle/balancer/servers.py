"""What a balancer knows of one server, and of one attempt that was sent to it. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from fordtrestle.balancer import model
from fordtrestle.balancer.baselines import MAX_SPEED, Pace

HASH_MULTIPLIER = 0x9E3779B97F4A7C15  # 2^64 over the golden ratio: spreads bits upwards
HASH_MASK = 0xFFFFFFFFFFFFFFFF


@dataclass(slots=True, eq=False)
class Server:
    """What this balancer knows of one server."""

    name: str
    salt: int  # of its name, for the order of a key's servers
    kind_pace: Pace
    departed_at: float
    zone: int = 0
    kind: int = 0
    cell: int = 0
    weight: float = 1.0
    started_at: float = 0.0  # as discovery says; 0 where it doesn't
    is_usable: bool = True
    in_flight: int = 0  # own attempts there
    attempts: dict[Attempt, None] = field(default_factory=dict)  # those in flight, oldest first
    ejections: int = 0  # since the last success
    ejected_at: float = -math.inf
    rejections: int = 0  # in a row
    refused_connections: int = 0  # in a row
    max_in_flight: int = 0  # own requests that it held as it turned one more away, which is all that it takes
    max_in_flight_at: float = -math.inf
    error_weight: float = 0.0  # fading share of faults
    rest_until: float = 0.0
    reported_load: float = 0.0  # requests that it held by its newest report
    mean_reported_load: float = 0.0
    reported_at: float = -math.inf
    pace: Pace = field(default_factory=Pace)
    closings_left: int = 0  # of its idle connections, while it leaves
    idle_connections: int = 0  # thought to be open and unused
    last_used_at: float = 0.0  # last send or outcome there; 0 before the first

    def update(self, entry: model.Listing) -> None:
        """Take in its entry of the endpoint list; figures that make no sense are passed over."""
        self.zone = entry.zone
        self.kind = entry.kind
        self.cell = entry.cell
        self.weight = entry.weight if 0.0 < entry.weight < math.inf else 1.0
        self.started_at = entry.started if math.isfinite(entry.started) else 0.0
        self.is_usable = entry.state == "active"

    def forget_faults(self) -> None:
        """It may be drawn again at once: what was held against it had another cause."""
        self.rest_until, self.ejections, self.error_weight = 0.0, 0, 0.0

    def capacity(self) -> float:
        """What it carries once it is warm, by weight and by pace; no unit, compared among servers."""
        speed = self.kind_pace.speed * self.pace.speed
        return self.weight * (speed if speed < MAX_SPEED else MAX_SPEED)

    def group(self, group: str) -> tuple[str, int]:
        """The group of servers that it is in, by what groups go by: `zone` or `cell`."""
        return group, self.zone if group == "zone" else self.cell

    def rank(self, mixed_key: int) -> float:
        """Its place in a key's rendezvous order, lowest first, weighted by size and kind."""
        drawn = ((mixed_key ^ self.salt) * HASH_MULTIPLIER & HASH_MASK | 1) / HASH_MASK
        return -math.log(drawn) / (self.weight * self.kind_pace.speed)


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a request."""

    server: Server
    sent_at: float
    stalls_at: float  # from then on its server may be hung
    unused_ms: float  # how long its server's connections were unused before it; 0 for the first
    is_in_flight: bool = True
    may_have_run: bool = True
    is_new_connection: bool = False  # whether it had to open a connection
    met_dropped_connection: bool = False

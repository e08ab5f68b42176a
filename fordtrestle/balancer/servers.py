"""The state that a balancer keeps of one server, and of one attempt that was sent to it. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from fordtrestle.balancer import model
from fordtrestle.balancer.baselines import MAX_SPEED, Pace

HASH_MULTIPLIER = 0x9E3779B97F4A7C15  # 2^64 over the golden ratio: mixes low bits into high ones
HASH_MASK = 0xFFFFFFFFFFFFFFFF


@dataclass(slots=True, eq=False)
class Server:
    """The state of one server, as far as this balancer knows it; times are in milliseconds."""

    name: str
    salt: int  # hash of its name, for the rendezvous order of a key's servers
    kind_pace: Pace
    departed_at: float
    zone: int = 0
    kind: int = 0
    cell: int = 0
    weight: float = 1.0
    started_at: float = 0.0  # from discovery; 0 if it is unknown
    is_usable: bool = True
    in_flight: int = 0  # own attempts in flight
    attempts: dict[Attempt, None] = field(default_factory=dict)  # own attempts in flight, oldest first
    ejections: int = 0  # since the last success
    ejected_at: float = -math.inf
    rejections: int = 0  # in a row
    refused_connections: int = 0  # in a row
    max_in_flight: int = 0  # own requests in flight at its last rejection
    max_in_flight_at: float = -math.inf
    error_weight: float = 0.0  # exponentially weighted share of faults
    unavailable_until: float = 0.0  # ejected, or backed off after a rejection or a refused connection
    reported_load: float = 0.0  # requests in flight by its latest report
    mean_reported_load: float = 0.0
    reported_at: float = -math.inf
    pace: Pace = field(default_factory=Pace)
    closes_left: int = 0  # how many more times its idle connections are closed while it leaves
    idle_connections: int = 0  # estimate of its open idle connections
    last_used_at: float = 0.0  # time of the last send or outcome; 0 before the first

    def update(self, entry: model.Listing) -> None:
        """Apply its entry of the endpoint list; invalid figures are replaced by defaults."""
        self.zone = entry.zone
        self.kind = entry.kind
        self.cell = entry.cell
        self.weight = entry.weight if 0.0 < entry.weight < math.inf else 1.0
        self.started_at = entry.started if math.isfinite(entry.started) else 0.0
        self.is_usable = entry.state == "active"

    def forget_faults(self) -> None:
        """Make it selectable again at once, since its faults had another cause."""
        self.unavailable_until, self.ejections, self.error_weight = 0.0, 0, 0.0

    def capacity(self) -> float:
        """Return its capacity when warm, from weight and pace, for comparison among servers."""
        speed = self.kind_pace.speed * self.pace.speed
        return self.weight * (speed if speed < MAX_SPEED else MAX_SPEED)

    def group(self, group: str) -> tuple[str, int]:
        """Return the group of servers that it belongs to; `group` is `zone` or `cell`."""
        return group, self.zone if group == "zone" else self.cell

    def rank(self, mixed_key: int) -> float:
        """Return its rank in a key's rendezvous order, lowest first, weighted by weight and kind."""
        drawn = ((mixed_key ^ self.salt) * HASH_MULTIPLIER & HASH_MASK | 1) / HASH_MASK
        return -math.log(drawn) / (self.weight * self.kind_pace.speed)


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request; times are in milliseconds."""

    server: Server
    sent_at: float
    stalls_at: float  # if it is still in flight then, its server may be hung
    idle_ms: float  # how long its server's connections had been idle; 0 for the first attempt there
    is_in_flight: bool = True
    may_have_run: bool = True
    is_new_connection: bool = False  # whether no idle connection was available
    used_dropped_connection: bool = False

"""The servers of all services as one sidecar sees them, and which of them it may send to now. Pure."""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from fordtrestle.dissemination.catalog import UNRESPONSIVE_RETENTION_S
from fordtrestle.dissemination.items import EjectionRecord, Phase, ServerRecord, Version
from fordtrestle.routing.outliers import Health, without_ejected

MS_PER_S = 1000.0
REST_S = 0.25  # after a connection to a server failed; doubles with each further one
REST_DOUBLINGS = 4
DELAY_GAIN = 0.2  # weight of the newest answer
DELAY_S = 3.0  # in which lateness is forgotten
FORGET_S = 30.0  # a server that is gone and holds nothing of ours


@dataclass(slots=True, eq=False)
class Server:
    """One incarnation of a server: what was told of it, and what this sidecar has seen."""

    record: ServerRecord
    region: str
    told_at: float
    version: Version
    in_flight: int = 0  # this sidecar's own requests
    reading: int = 0  # tokens of this sidecar's own prompts there, of which no answer has begun
    cold_until: float = 0.0
    rest_until: float = 0.0
    answered_at: float = float("-inf")  # when it last answered anything
    failures: int = 0  # connections that did not come up, in a row
    delay: float = 0.0  # mean of how late its answers began, in shares of their objectives, as of `delay_at`
    delay_at: float = 0.0
    health: Health = field(default_factory=Health)
    misdirected: bool = False  # another incarnation has its address, until a newer word of this one

    @property
    def instance(self) -> str:
        return self.record.instance

    def take(self, record: ServerRecord, version: Version, now: float) -> None:
        """Follow a newer record."""
        if self.record.is_unresponsive and not record.is_unresponsive:
            self.rest_until, self.failures = now, 0
        self.misdirected = False
        self.record, self.version, self.told_at = record, version, now
        self.cold_until = max(self.cold_until, now + record.warm_up_ms / MS_PER_S)

    def failed(self, now: float) -> None:
        """No connection came up, or one broke: absence, which says nothing of load."""
        self.rest_until = now + REST_S * 2 ** min(self.failures, REST_DOUBLINGS)
        self.failures += 1

    def answered(self, now: float) -> None:
        """It has answered something."""
        self.failures, self.answered_at = 0, now

    def is_silent_since(self, sent: float) -> bool:
        """Whether it has answered nothing to this sidecar since then: load lets a server answer some."""
        return self.answered_at < sent

    def record_delay(self, delay: float, now: float) -> None:
        """An answer began so late, in shares of its objective."""
        recent = self.lateness(now)
        self.delay, self.delay_at = recent + DELAY_GAIN * (delay - recent), now

    def lateness(self, now: float) -> float:
        """How late its answers begin; forgotten while none comes."""
        return self.delay * math.exp((self.delay_at - now) / DELAY_S)

    def is_usable(self, now: float) -> bool:
        """Whether it may take a request now, as far as it is itself concerned."""
        record = self.record
        if record.phase is not Phase.SERVING or record.is_unresponsive or self.misdirected:
            return False
        return now >= self.rest_until

    def is_cold(self, now: float) -> bool:
        """Whether its cold rate binds."""
        return now < self.cold_until


class Servers:
    """All servers by service."""

    def __init__(self, zones: dict[str, str]) -> None:
        self._regions = zones
        self._servers: dict[str, Server] = {}
        self._by_service: dict[str, dict[str, Server]] = {}

    def take(self, record: ServerRecord, version: Version, now: float) -> None:
        """Follow what the catalog tells of one server."""
        server = self._servers.get(record.instance)
        if server is None:
            server = Server(record, self._regions.get(record.zone, record.zone), now, version)
            self._servers[record.instance] = server
        elif server.version >= version:
            return
        if server.record.service != record.service:
            self._by_service.get(server.record.service, {}).pop(record.instance, None)
        server.take(record, version, now)
        self._by_service.setdefault(record.service, {})[record.instance] = server

    def note_end(self, server: Server, failed: bool, now: float) -> bool:
        """How a request ended at a server; whether that ejects it."""
        others = (other.health.outcomes for other in self.of(server.record.service) if other is not server)
        return server.health.note(failed, others, now)

    def eject(self, record: EjectionRecord, now: float) -> None:
        """Leave a server out, as was told."""
        server = self._servers.get(record.instance)
        if server:
            server.health.told_until = now + record.lasts_s

    def ejected(self, now: float) -> int:
        """How many servers are ejected."""
        return sum(server.health.is_ejected(now) for server in self._servers.values())

    def mark_cold(self, zones: Collection[str], until: float) -> None:
        """Hold the servers of these zones to be cold until then at least."""
        for server in self._servers.values():
            if server.record.zone in zones:
                server.cold_until = max(server.cold_until, until)

    def forget(self, now: float) -> None:
        """Drop servers that are gone for good, and those that the catalog forgets."""
        for instance, server in list(self._servers.items()):
            record = server.record
            gone = record.phase is Phase.DEPARTED and now - server.told_at > FORGET_S
            unheard = record.is_unresponsive or record.phase is Phase.DRAINING
            gone = gone or (unheard and now - server.told_at > UNRESPONSIVE_RETENTION_S)
            if gone and server.in_flight == 0:
                del self._servers[instance]
                self._by_service[server.record.service].pop(instance, None)

    def instances(self) -> set[str]:
        """All incarnations that are known."""
        return set(self._servers)

    def of(self, service: str) -> Collection[Server]:
        """All servers of a service that are known."""
        return self._by_service.get(service, {}).values()

    def usable(
        self, service: str, evacuated: Collection[str], homes: Collection[str], now: float
    ) -> list[Server]:
        """The servers that a request of this service may go to."""
        usable = [
            server
            for server in self.of(service)
            if server.is_usable(now)
            and server.record.zone not in evacuated
            and (not homes or server.region in homes)
        ]
        return without_ejected(usable, now)


def nearest(servers: Iterable[Server], zone: str, region: str) -> tuple[list[Server], list[Server]]:
    """The servers of one's own region, those of one's zone first, and all others."""
    near: list[Server] = []
    far: list[Server] = []
    for server in servers:
        (near if server.region == region else far).append(server)
    near.sort(key=lambda server: server.record.zone != zone)
    return near, far

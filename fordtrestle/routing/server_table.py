"""Tracks the servers of all services and selects those that can accept a request. Pure."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from fordtrestle.dissemination.catalog import UNRESPONSIVE_RETENTION_S
from fordtrestle.dissemination.items import EjectionRecord, Phase, ServerRecord, Version
from fordtrestle.routing.common import InstanceId, RegionName, ServiceName, ZoneName
from fordtrestle.routing.outlier_ejection import without_ejected
from fordtrestle.routing.server import Server

DEPARTED_RETENTION_S = 30.0  # how long a departed server is kept: older records of it may still arrive


class ServersByRegion(NamedTuple):
    """The servers in this sidecar's region, and those in all other regions."""

    local: list[Server]
    remote: list[Server]


class ServerTable:
    """The servers of all services, as one sidecar knows them."""

    def __init__(self, regions: Mapping[ZoneName, RegionName]) -> None:
        """Create an empty table; `regions` maps each zone to its region."""
        self._regions = regions
        self._servers: dict[InstanceId, Server] = {}
        self._by_service: dict[ServiceName, dict[InstanceId, Server]] = {}

    def update(self, record: ServerRecord, version: Version, now: float) -> None:
        """Apply a record of the catalog if it is newer than the known one."""
        server = self._servers.get(record.instance)
        if server is None:
            server = Server(record, self._regions.get(record.zone, record.zone), now, version)
            self._servers[record.instance] = server
        elif server.version >= version:
            return
        if server.record.service != record.service:
            self._by_service.get(server.record.service, {}).pop(record.instance, None)
        server.update(record, version, now)
        self._by_service.setdefault(record.service, {})[record.instance] = server

    def record_outcome(self, server: Server, failed: bool, now: float) -> bool:
        """Record the outcome of a request at a server; return whether this ejects the server."""
        others = (
            other.health.outcomes for other in self.of_service(server.record.service) if other is not server
        )
        return server.health.record_outcome(failed, others, now)

    def eject(self, record: EjectionRecord, now: float) -> None:
        """Apply an ejection by a control process; ignore it if the server is unknown."""
        server = self._servers.get(record.instance)
        if server:
            server.health.fleet_ejected_until = now + record.lasts_s

    def ejected_count(self, now: float) -> int:
        """Return the number of ejected servers."""
        return sum(server.health.is_ejected(now) for server in self._servers.values())

    def mark_warming_up(self, zones: Collection[ZoneName], until: float) -> None:
        """Treat the servers in these zones as warming up at least until this time."""
        for server in self._servers.values():
            if server.record.zone in zones:
                server.warming_up_until = max(server.warming_up_until, until)

    def expire(self, now: float) -> None:
        """Drop departed servers, and those that the catalog drops, once they have no requests in flight."""
        for instance, server in list(self._servers.items()):
            if _has_expired(server, now) and server.in_flight == 0:
                del self._servers[instance]
                self._by_service[server.record.service].pop(instance, None)

    def instances(self) -> set[InstanceId]:
        """Return the ids of all known servers."""
        return set(self._servers)

    def of_service(self, service: ServiceName) -> Collection[Server]:
        """Return all known servers of a service."""
        return self._by_service.get(service, {}).values()

    def usable(
        self,
        service: ServiceName,
        evacuated_zones: Collection[ZoneName],
        home_regions: Collection[RegionName],
        now: float,
    ) -> list[Server]:
        """Return the servers that can accept a request.

        Args:
            service: The service that the request goes to.
            evacuated_zones: Zones whose servers receive no requests.
            home_regions: The only regions whose servers may receive the request; empty if all regions may.
            now: Seconds of the loop's clock.
        """
        usable = [
            server
            for server in self.of_service(service)
            if server.is_usable(now)
            and server.record.zone not in evacuated_zones
            and (not home_regions or server.region in home_regions)
        ]
        return without_ejected(usable, now)


def _has_expired(server: Server, now: float) -> bool:
    age_s = now - server.updated_at
    if server.record.phase is Phase.DEPARTED and age_s > DEPARTED_RETENTION_S:
        return True
    is_inactive = server.record.is_unresponsive or server.record.phase is Phase.DRAINING
    return is_inactive and age_s > UNRESPONSIVE_RETENTION_S


def split_by_region(servers: Iterable[Server], zone: ZoneName, region: RegionName) -> ServersByRegion:
    """Split servers into those in a region and all others; those in the zone come first."""
    local: list[Server] = []
    remote: list[Server] = []
    for server in servers:
        (local if server.region == region else remote).append(server)
    local.sort(key=lambda server: server.record.zone != zone)
    return ServersByRegion(local, remote)

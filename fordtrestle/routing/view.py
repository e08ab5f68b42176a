"""What one sidecar decides by: routes, servers, evacuated zones, the other sidecars. Pure.

It follows the catalog, whose items only move forward, so that nothing here goes back while the process lives.
Each decision looks here anew.
"""

from __future__ import annotations

from collections.abc import Generator, Iterable, Mapping

from fordtrestle.dissemination.items import (
    Availability,
    ControlView,
    EjectionRecord,
    Item,
    MemberRecord,
    ServerRecord,
)
from fordtrestle.routing.common import NodeName, RegionName, ZoneName
from fordtrestle.routing.route_table import RouteTable, parse_table, parse_table_in_steps
from fordtrestle.routing.server_table import ServerTable

SIDECAR_ROLE = "sidecar"
DOWN_RETENTION_S = 120.0  # that a sidecar which is down counts as sharing budgets: it may be partitioned
PEER_DISCOVERY_S = 2.0  # after the start, until all other sidecars are known from the catalog
# Heartbeat intervals for which the servers of a zone that is taken back count as warming up: their next
# heartbeats tell whether they do.
ASSUMED_WARM_UP_HEARTBEATS = 1.5
MAX_IMMEDIATE_PARSE_BYTES = 64 * 1024  # of a configuration: parsing a longer one at once would stall the loop


class _ParseInProgress:
    """A long configuration that is being parsed."""

    def __init__(self, control: ControlView) -> None:
        """Begin to parse."""
        self.control = control
        self.steps: Generator[None, None, RouteTable] = parse_table_in_steps(control.document)


class View:
    """The newest state that has come to this process.

    Attributes:
        table: The routes in force; `None` before the first configuration.
        generation: The generation of the configuration in force.
        evacuated_zones: Zones whose servers take no requests.
        servers: All servers.
        sidecars: The names of all sidecars that share the fleet's budgets, among them those that have been
            down for less than `DOWN_RETENTION_S`.
    """

    def __init__(self, zones: Mapping[ZoneName, RegionName], heartbeat_s: float, started_at: float) -> None:
        """Begin without any state.

        Args:
            zones: The region of each zone.
            heartbeat_s: The interval of servers' heartbeats, in seconds.
            started_at: When this process started, in seconds of the loop's clock.
        """
        self._heartbeat_s = heartbeat_s
        self._started_at = started_at
        self.table: RouteTable | None = None
        self.generation = 0
        self.evacuated_zones: frozenset[ZoneName] = frozenset()
        self.servers = ServerTable(zones)
        self.sidecars: set[NodeName] = set()
        self._down_since: dict[NodeName, float] = {}
        self._pending_control: ControlView | None = None  # the newest long configuration
        self._parse: _ParseInProgress | None = None

    def apply(self, items: Iterable[Item], now: float) -> None:
        """Follow items that are new to the catalog; `now` in seconds of the loop's clock."""
        for item in items:
            match item.value:
                case ControlView() as control:
                    self._apply_control(control, now)
                case ServerRecord() as record:
                    self.servers.update(record, item.version, now)
                case EjectionRecord() as record if self.knows_peers(now):
                    self.servers.eject(record, now)  # those that come at the start may be long over
                case MemberRecord() as record if record.role == SIDECAR_ROLE:
                    self._apply_sidecar(record, now)

    def expire(self, now: float) -> None:
        """Drop servers that have departed, and sidecars that have been down for long.

        A sidecar behind a partition is reported to be down, too, and goes on spending its part of the fleet's
        budgets: so the part stays reserved for a while.
        """
        self.servers.expire(now)
        for node, since in list(self._down_since.items()):
            if now - since > DOWN_RETENTION_S:
                del self._down_since[node]
                self.sidecars.discard(node)

    def knows_peers(self, now: float) -> bool:
        """Return whether this process runs for long enough to know who shares the fleet's budgets."""
        return now - self._started_at >= PEER_DISCOVERY_S

    @property
    def has_pending_parse(self) -> bool:
        """Whether a long configuration has come that is not in force yet: call `parse_step` until it is."""
        return self._parse is not None or self._pending_control is not None

    def parse_step(self) -> None:
        """Parse some more rows of a long configuration, and put it in force after the last one.

        One that is begun is finished first: where newer ones come faster than they are parsed, none would
        ever be in force otherwise.
        """
        if self._parse is None:
            if self._pending_control is None:
                return
            self._parse, self._pending_control = _ParseInProgress(self._pending_control), None
        parse = self._parse
        try:
            next(parse.steps)
        except StopIteration as done:
            self._parse = None
            self._activate(parse.control, done.value)

    def _apply_sidecar(self, record: MemberRecord, now: float) -> None:
        self.sidecars.add(record.node)
        if record.availability is Availability.DOWN:
            self._down_since.setdefault(record.node, now)
        else:
            self._down_since.pop(record.node, None)

    def _apply_control(self, control: ControlView, now: float) -> None:
        """Follow the committed state: evacuations at once, a long configuration once it is parsed."""
        reinstated = self.evacuated_zones.difference(control.evacuated)
        self.evacuated_zones = frozenset(control.evacuated)
        if reinstated:
            assumed_until = now + ASSUMED_WARM_UP_HEARTBEATS * self._heartbeat_s
            self.servers.mark_warming_up(reinstated, assumed_until)
        if not control.document or control.generation == self.generation:
            return
        if len(control.document) > MAX_IMMEDIATE_PARSE_BYTES:
            self._pending_control = control
            return
        self._pending_control = self._parse = None  # whatever is being parsed is older
        self._activate(control, parse_table(control.document))

    def _activate(self, control: ControlView, table: RouteTable) -> None:
        self.table = table
        self.generation = control.generation

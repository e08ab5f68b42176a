"""Holds the state that a sidecar routes by: routes, servers, evacuated zones, other sidecars. Pure.

The view applies the items of the catalog, whose versions only increase, so that it never reverts to an older
state while the process runs. Each decision reads the current view.
"""

from __future__ import annotations

from collections.abc import Callable, Generator, Iterable, Mapping

from fordtrestle.dissemination.items import (
    Availability,
    ControlView,
    EjectionRecord,
    Item,
    MemberRecord,
    Phase,
    ServerRecord,
)
from fordtrestle.routing.common import NodeName, RegionName, ZoneName
from fordtrestle.routing.route_table import RouteTable, parse_table, parse_table_in_steps
from fordtrestle.routing.server import Server
from fordtrestle.routing.server_table import ServerTable

SIDECAR_ROLE = "sidecar"
DOWN_RETENTION_S = 120.0  # how long a down sidecar counts as sharing budgets: it may be partitioned
PEER_DISCOVERY_S = 2.0  # time after the start until the catalog contains all other sidecars
# Number of heartbeat intervals for which the servers in a zone whose evacuation has ended are assumed to be
# warming up. Their next heartbeats report whether they are.
ASSUMED_WARM_UP_HEARTBEATS = 1.5
MAX_IMMEDIATE_PARSE_BYTES = 64 * 1024  # parsing a longer configuration in one step would block the loop


class _ParseInProgress:
    """A long configuration that is being parsed in steps."""

    def __init__(self, control: ControlView) -> None:
        """Start parsing a configuration."""
        self.control = control
        self.steps: Generator[None, None, RouteTable] = parse_table_in_steps(control.document)


class View:
    """The newest state that this process has received.

    Attributes:
        table: The active routes; `None` before the first configuration.
        generation: The generation of the active configuration.
        evacuated_zones: Zones whose servers receive no requests.
        servers: All servers.
        sidecars: The names of all sidecars that share the fleet's budgets, including those that have been
            down for at most `DOWN_RETENTION_S`.
        on_activated: Called with the route table of each configuration that becomes active.
    """

    def __init__(self, zones: Mapping[ZoneName, RegionName], heartbeat_s: float, started_at: float) -> None:
        """Create an empty view.

        Args:
            zones: The region of each zone.
            heartbeat_s: The heartbeat interval of servers, in seconds.
            started_at: When this process started, in seconds of the loop's clock.
        """
        self._heartbeat_s = heartbeat_s
        self._started_at = started_at
        self.table: RouteTable | None = None
        self.generation = 0
        self.evacuated_zones: frozenset[ZoneName] = frozenset()
        self.servers = ServerTable(zones)
        self.sidecars: set[NodeName] = set()
        self.on_activated: Callable[[RouteTable], None] = lambda table: None
        self._down_since: dict[NodeName, float] = {}
        self._pending_control: ControlView | None = None  # the newest long configuration
        self._parse: _ParseInProgress | None = None

    def apply(self, items: Iterable[Item], now: float) -> None:
        """Apply items that are new in the catalog.

        Args:
            items: The new items.
            now: Seconds of the loop's clock.
        """
        for item in items:
            match item.value:
                case ControlView() as control:
                    self._apply_control(control, now)
                case ServerRecord() as record:
                    self.servers.update(record, item.version, now)
                case EjectionRecord() as record if self.knows_peers(now):
                    self.servers.eject(record, now)  # those received at startup may have expired
                case MemberRecord() as record if record.role == SIDECAR_ROLE:
                    self._apply_sidecar(record, now)

    def expire(self, now: float) -> None:
        """Drop expired servers, and sidecars that have been down for longer than `DOWN_RETENTION_S`.

        A partitioned sidecar is also reported down, but continues to spend its share of the fleet's budgets.
        Its share therefore stays reserved for this time.
        """
        self.servers.expire(now)
        for node, since in list(self._down_since.items()):
            if now - since > DOWN_RETENTION_S:
                del self._down_since[node]
                self.sidecars.discard(node)

    def can_receive(self, server: Server) -> bool:
        """Return whether a server serves, and its zone is not evacuated."""
        return server.record.phase is Phase.SERVING and server.record.zone not in self.evacuated_zones

    def knows_peers(self, now: float) -> bool:
        """Return whether this process has run long enough to know all sidecars that share budgets."""
        return now - self._started_at >= PEER_DISCOVERY_S

    @property
    def has_pending_parse(self) -> bool:
        """Whether a long configuration still has to be parsed; call `parse_step` until this is false."""
        return self._parse is not None or self._pending_control is not None

    def parse_step(self) -> None:
        """Parse the next rows of a long configuration, and activate it after the last row.

        A configuration that is being parsed is completed before a newer one is started. Otherwise, if new
        configurations arrived faster than they are parsed, none would ever become active.
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
        """Apply the committed state: evacuations immediately, a long configuration once it is parsed."""
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
        self._pending_control = self._parse = None  # drops any older configuration
        self._activate(control, parse_table(control.document))

    def _activate(self, control: ControlView, table: RouteTable) -> None:
        self.table = table
        self.generation = control.generation
        self.on_activated(table)

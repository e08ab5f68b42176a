"""What one sidecar decides by: routes, servers, evacuated zones, its fellow sidecars. Pure.

It follows the catalog, of which every item only moves forward, so that nothing here goes back within one
life of the process. A request looks here anew before each send.
"""

from __future__ import annotations

from collections.abc import Generator, Iterable

from fordtrestle.dissemination.items import (
    Availability,
    ControlView,
    EjectionRecord,
    Item,
    MemberRecord,
    ServerRecord,
)
from fordtrestle.routing.servers import Servers
from fordtrestle.routing.table import RouteTable, parse_table, read_table

SIDECAR_ROLE = "sidecar"
DOWN_S = 120.0
PEERS_KNOWN_S = 2.0
HEARTBEATS_OF_DOUBT = 1.5  # for which servers that were out of use are held to be cold
AT_ONCE_MOST = 64 * 1024  # bytes of a configuration that is read at once; a longer one is read in steps


class _Reading:
    """A long configuration that is being read."""

    def __init__(self, control: ControlView) -> None:
        self.control = control
        self.steps: Generator[None, None, RouteTable] = read_table(control.document)


class View:
    """The newest state that has come to this process."""

    def __init__(self, zones: dict[str, str], heartbeat_s: float, born: float) -> None:
        self._heartbeat_s = heartbeat_s
        self._born = born  # s, steady clock
        self.table: RouteTable | None = None
        self.generation = 0
        self.evacuated: frozenset[str] = frozenset()
        self.servers = Servers(zones)
        self.sidecars: set[str] = set()  # that share the fleet's budgets, those lately told to be down too
        self._down_since: dict[str, float] = {}
        self._unread: ControlView | None = None  # the newest long one
        self._reading: _Reading | None = None

    def apply(self, items: Iterable[Item], now: float) -> None:
        """Follow items that are new to the catalog."""
        for item in items:
            match item.value:
                case ControlView() as control:
                    self._follow(control, now)
                case ServerRecord() as record:
                    self.servers.take(record, item.version, now)
                case EjectionRecord() as record if self.knows_peers(now):
                    self.servers.eject(record, now)  # what is told at the start may be long over
                case MemberRecord(role=role, node=node, availability=availability) if role == SIDECAR_ROLE:
                    self.sidecars.add(node)
                    if availability is Availability.DOWN:
                        self._down_since.setdefault(node, now)
                    else:
                        self._down_since.pop(node, None)

    def forget(self, now: float) -> None:
        """Drop servers that are gone, and sidecars that have been down for long.

        Those behind a cut are told to be down too, and go on spending their part: it stays theirs a while.
        """
        self.servers.forget(now)
        for node, since in list(self._down_since.items()):
            if now - since > DOWN_S:
                del self._down_since[node]
                self.sidecars.discard(node)

    def knows_peers(self, now: float) -> bool:
        """Whether this process has been there for long enough to know who shares the fleet's budgets."""
        return now - self._born >= PEERS_KNOWN_S

    def _follow(self, control: ControlView, now: float) -> None:
        taken_back = self.evacuated.difference(control.evacuated)
        self.evacuated = frozenset(control.evacuated)
        if taken_back:
            # They may have turned cold shortly before; their next heartbeats tell.
            self.servers.mark_cold(taken_back, now + HEARTBEATS_OF_DOUBT * self._heartbeat_s)
        if not control.document or control.generation == self.generation:
            return
        if len(control.document) > AT_ONCE_MOST:
            self._unread = control
            return
        self._unread = self._reading = None  # what is read is older
        self._take(control, parse_table(control.document))

    @property
    def has_unread(self) -> bool:
        """Whether a long configuration has come that is not in force yet: `read_on` until it is."""
        return self._reading is not None or self._unread is not None

    def read_on(self) -> None:
        """Read some more of a long configuration. One that is begun is finished first: where they come faster
        than they are read, none would ever be.
        """
        if self._reading is None:
            if self._unread is None:
                return
            self._reading, self._unread = _Reading(self._unread), None
        reading = self._reading
        try:
            next(reading.steps)
        except StopIteration as done:
            self._reading = None
            self._take(reading.control, done.value)

    def _take(self, control: ControlView, table: RouteTable) -> None:
        self.table = table
        self.generation = control.generation

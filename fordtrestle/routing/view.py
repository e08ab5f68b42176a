"""What one sidecar decides by: routes, servers, evacuated zones, its fellow sidecars. Pure.

It follows the catalog, of which every item only moves forward, so that nothing here goes back within one
life of the process. A request looks here anew before each send.
"""

from __future__ import annotations

from collections.abc import Iterable

from fordtrestle.dissemination.items import Availability, ControlView, Item, MemberRecord, ServerRecord
from fordtrestle.routing.servers import Servers
from fordtrestle.routing.table import RouteTable, parse_table

SIDECAR_ROLE = "sidecar"
DOWN_S = 120.0
PEERS_KNOWN_S = 2.0
HEARTBEATS_OF_DOUBT = 1.5  # for which servers that were out of use are held to be cold


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

    def apply(self, items: Iterable[Item], now: float) -> None:
        """Follow items that are new to the catalog."""
        for item in items:
            match item.value:
                case ControlView() as control:
                    self._follow(control, now)
                case ServerRecord() as record:
                    self.servers.take(record, item.version, now)
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
        if control.document and control.generation != self.generation:
            self.table = parse_table(control.document)
            self.generation = control.generation

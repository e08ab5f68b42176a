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


class View:
    """The newest state that has come to this process."""

    def __init__(self, zones: dict[str, str]) -> None:
        self.table: RouteTable | None = None
        self.generation = 0
        self.evacuated: frozenset[str] = frozenset()
        self.servers = Servers(zones)
        self.sidecars: set[str] = set()

    def apply(self, items: Iterable[Item], now: float) -> None:
        """Follow items that are new to the catalog."""
        for item in items:
            match item.value:
                case ControlView() as control:
                    self._follow(control)
                case ServerRecord() as record:
                    self.servers.take(record, item.version, now)
                case MemberRecord(role=role, node=node, availability=availability) if role == SIDECAR_ROLE:
                    if availability is Availability.DOWN:
                        self.sidecars.discard(node)
                    else:
                        self.sidecars.add(node)

    def _follow(self, control: ControlView) -> None:
        self.evacuated = frozenset(control.evacuated)
        if control.document and control.generation != self.generation:
            self.table = parse_table(control.document)
            self.generation = control.generation

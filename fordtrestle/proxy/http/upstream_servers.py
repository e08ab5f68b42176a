"""Tracks the servers that discovery lists, and how long requests may be sent to each."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

from fordtrestle.balancer.model import Listing
from fordtrestle.proxy.engine.ports import Address, ServerList
from fordtrestle.proxy.http.upstream_connection import UpstreamServer

# A request sent this close to the end of the grace might arrive after it.
GRACE_MARGIN_MS = 50.0


class UpstreamServers:
    """Keeps one record per incarnation of a server and replaces it when the server restarts or moves.

    Attributes:
        by_name: The servers that discovery lists, by name. A connection whose server is missing here, or is
            not the same record, belongs to an earlier incarnation.
    """

    def __init__(self, retire_idle: Callable[[UpstreamServer], None]) -> None:
        """Start without servers.

        Args:
            retire_idle: Closes the idle connections to a server that left or was replaced.
        """
        self.by_name: dict[str, UpstreamServer] = {}
        self._grace_ms = 0.0
        self._retire_idle = retire_idle

    def set_drain_grace(self, drain_grace_ms: float, dialled: Iterable[UpstreamServer]) -> None:
        """Set how long requests may still be sent to a server after the update by which it leaves.

        A shorter grace also applies to servers that are already leaving.

        Args:
            drain_grace_ms: The grace in milliseconds.
            dialled: The servers of connects in progress, which may no longer be in the list.
        """
        grace_ms = max(0.0, drain_grace_ms - GRACE_MARGIN_MS)
        shorter_by_ms, self._grace_ms = max(0.0, self._grace_ms - grace_ms), grace_ms
        affected = {id(server): server for server in (*self.by_name.values(), *dialled)}
        for server in affected.values():
            server.closed_from_ms -= shorter_by_ms

    def update(self, now_ms: float, is_complete: bool, update: ServerList) -> list[str]:
        """Apply an update of discovery; the grace of a server that leaves runs from `now_ms`.

        A server whose address now belongs to a new name is removed, even if it was never reported to leave.
        Otherwise requests for it would be sent to the new server.

        Returns:
            The names of the servers whose address was taken over.
        """
        named = {entry.server for entry in update.entries}
        taken = {address for name, address in update.addresses.items() if name not in self.by_name}
        replaced = [
            name for name, server in self.by_name.items() if server.address in taken and name not in named
        ]
        for name in replaced:
            self._supersede(now_ms, self.by_name[name])
        for entry in update.entries:
            self._apply_entry(now_ms, entry, update.addresses.get(entry.server))
        if is_complete:
            for name in [name for name in self.by_name if name not in named]:
                self._on_leaving(now_ms, name, "left")
        return replaced

    def _apply_entry(self, now_ms: float, entry: Listing, address: Address | None) -> None:
        known = self.by_name.get(entry.server)
        if known is None:
            if address is None:
                return
            known = UpstreamServer(entry.server, address, started=entry.started)
            self.by_name[entry.server] = known
        elif (address or known.address, entry.started) != (known.address, known.started):
            known = self._restart(now_ms, known, address or known.address, entry.started)
        if entry.state == "active":
            known.closed_from_ms = math.inf
        else:
            self._on_leaving(now_ms, known.name, entry.state)

    def _restart(
        self, now_ms: float, known: UpstreamServer, address: Address, started: float
    ) -> UpstreamServer:
        """Replace the record of a server that restarted or moved, but keep its drain and reuse times."""
        restarted = UpstreamServer(
            known.name,
            address,
            started=started,
            closed_from_ms=known.closed_from_ms,
            reuse_from_ms=known.reuse_from_ms,
        )
        self._supersede(now_ms, known)
        self.by_name[known.name] = restarted
        return restarted

    def _supersede(self, now_ms: float, server: UpstreamServer) -> None:
        """Remove a server that was replaced by another one.

        Guards against sending to the replaced server: at best that ends in a reset, and a connect in progress
        or a connection that becomes idle later may reach another server.
        """
        self._retire_idle(server)
        server.closed_from_ms = min(server.closed_from_ms, now_ms)
        del self.by_name[server.name]

    def _on_leaving(self, now_ms: float, name: str, state: str) -> None:
        """Start the grace of a server that drains or left; a repeated update does not extend it."""
        server = self.by_name[name]
        server.closed_from_ms = min(server.closed_from_ms, now_ms + self._grace_ms)
        if state == "left":
            self._retire_idle(server)
            del self.by_name[name]

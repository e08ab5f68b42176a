"""The servers by the updates of discovery, and until when each may be written to."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

from fordtrestle.balancer.model import Listing
from fordtrestle.proxy.engine.ports import Address, ServerList
from fordtrestle.proxy.http.upstream_connection import UpstreamServer

# A send that begins this close to the end of the grace might be seen past it.
GRACE_MARGIN_MS = 50.0


class UpstreamServers:
    """Keeps one record for each start of a server, and replaces it when the server starts anew or moves.

    Attributes:
        by_name: The servers that discovery names, by their names. A connection whose server is not found
            here, or is another one, belongs to what stood there before.
    """

    def __init__(self, retire_idle: Callable[[UpstreamServer], None]) -> None:
        """Start without servers.

        Args:
            retire_idle: Closes the idle connections of a server that left or was replaced.
        """
        self.by_name: dict[str, UpstreamServer] = {}
        self._grace_ms = 0.0
        self._retire_idle = retire_idle

    def set_drain_grace(self, drain_grace_ms: float, dialled: Iterable[UpstreamServer]) -> None:
        """Let nothing new go to a server for longer than this after the update by which it leaves.

        A shorter grace holds for servers that leave already, too. `dialled` are the servers that are being
        connected to, which may be in the list no more.
        """
        grace_ms = max(0.0, drain_grace_ms - GRACE_MARGIN_MS)
        shorter_by_ms, self._grace_ms = max(0.0, self._grace_ms - grace_ms), grace_ms
        affected = {id(server): server for server in (*self.by_name.values(), *dialled)}
        for server in affected.values():
            server.closed_from_ms -= shorter_by_ms

    def update(self, now_ms: float, is_complete: bool, update: ServerList) -> list[str]:
        """Apply one update of discovery; the grace of a server that leaves runs from `now_ms`.

        Guards against connections, and sends, to a new server under the name of one that was never reported
        to leave: its address has been taken over by a new name.

        Returns:
            The names whose address was taken over.
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
        """Replace a server that started anew, or moved; what was seen of it under its name stays known."""
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
        """Take out a server in whose place another stands.

        Guards against writing to what stood before: that is a reset at best, and what is being connected, or
        becomes idle later, may reach another server.
        """
        self._retire_idle(server)
        server.closed_from_ms = min(server.closed_from_ms, now_ms)
        del self.by_name[server.name]

    def _on_leaving(self, now_ms: float, name: str, state: str) -> None:
        """A server drains or has left; a repeated update does not prolong the grace."""
        server = self.by_name[name]
        server.closed_from_ms = min(server.closed_from_ms, now_ms + self._grace_ms)
        if state == "left":
            self._retire_idle(server)
            del self.by_name[name]

"""Known servers: the servers of the endpoint list, and when to query discovery again. Pure."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from hashlib import blake2b

from fordtrestle.balancer import model
from fordtrestle.balancer.baselines import ServiceTimes
from fordtrestle.balancer.servers import Server

FORGET_MS = 60_000.0  # servers that left longer ago are forgotten, since sidecars run for months
DISCOVERY_SPREAD_MS = 2500.0  # jitter of the first query, for sidecars that start together
DISCOVERY_RETRY_MS = 500.0  # backoff after a failed query; up to three times as long, at random
REPEATED_CLOSES = 2  # after the last list update or outcome, since a connection may become idle late
CLOSE_INTERVAL_SHARE = 0.4  # of the time within which a leaving server's connections must be closed

WATCH_TIMER = "watch"  # token: discovery is to be queried
CLOSE_TIMER = "close:"  # token prefix: idle connections of a leaving server are to be closed again


class KnownServers:
    """Keeps all known servers, including those that left less than `FORGET_MS` ago.

    Attributes:
        servers: Each known server by its name.
    """

    def __init__(
        self,
        settings: model.Settings,
        actions: list[model.Action],
        times: ServiceTimes,
        uniform: Callable[[], float],
    ) -> None:
        """Start without servers.

        Args:
            settings: The sidecar's settings.
            actions: The list that actions are appended to.
            times: Holds the pace of each kind of server.
            uniform: Returns random numbers in [0, 1).
        """
        self.servers: dict[str, Server] = {}
        self._actions = actions
        self._times = times
        self._uniform = uniform
        self._is_discovery_pending = False
        self._release_within = settings.release_within
        self.apply_settings(settings)

    def apply_settings(self, settings: model.Settings) -> None:
        """Apply changed settings; a changed time for closing connections applies from now on."""
        self._is_subscribing = settings.discovery == "subscribe"
        self._discovery_within = settings.ask_within
        self._release_within = settings.release_within

    def close_all_idle_connections(self) -> None:
        """Close idle connections to all servers that are leaving or have left."""
        for server in self.servers.values():
            self.close_idle_connections(server)

    def apply(self, now: float, form: str, entries: Iterable[model.Listing]) -> bool:
        """Apply an answer of discovery.

        Args:
            now: The time in ms.
            form: `all` and `remembered` (from the last run) are complete lists, `changes` is a partial one;
                `refused` means that discovery did not answer, and there are no entries.
            entries: The servers.

        Returns:
            Whether the list may have changed.
        """
        if form == "refused":
            # No exponential backoff: changes are expected to be known soon after discovery is back.
            retry_ms = min(DISCOVERY_RETRY_MS, self._discovery_within / 6.0)
            self._schedule_discovery(retry_ms * (1.0 + 2.0 * self._uniform()))
            return False
        if form == "remembered" and self._is_subscribing:
            spread_ms = min(DISCOVERY_SPREAD_MS, self._discovery_within / 4.0)
            self._schedule_discovery(self._uniform() * spread_ms)
        if form != "changes":
            entries = list(entries)
            self._mark_unlisted(now, {entry.server for entry in entries})
        for entry in entries:
            self._update(now, entry)
        self._forget_gone(now)
        return True

    def close_idle_connections(self, server: Server, closes: int = REPEATED_CLOSES) -> None:
        """Close idle connections to a server that leaves, now and again before the time limit.

        A connection may become idle late, after a timeout that is not reported here.

        Args:
            server: Any server; nothing is done for one that does not leave.
            closes: How many further times the connections are closed.
        """
        if self._release_within > 0.0 and not server.is_usable:
            self._actions.append(model.CloseIdle(server.name))
            if closes and (closes < REPEATED_CLOSES or not server.closes_left):
                interval_ms = self._release_within * CLOSE_INTERVAL_SHARE
                self._actions.append(model.Timer(interval_ms, CLOSE_TIMER + server.name))
            server.closes_left = closes

    def on_close_timer(self, token: str) -> None:
        """Close a leaving server's idle connections again."""
        server = self.servers.get(token[len(CLOSE_TIMER) :])
        if server is not None and server.closes_left:
            closes, server.closes_left = server.closes_left - 1, 0
            self.close_idle_connections(server, closes)

    def on_watch_timer(self) -> None:
        """Subscribe to discovery if that is pending."""
        if self._is_discovery_pending:
            self._is_discovery_pending = False
            self._actions.append(model.Watch(True))

    def _schedule_discovery(self, delay_ms: float) -> None:
        """Query discovery after a delay, which the caller has jittered, since all sidecars query it."""
        if not self._is_discovery_pending:
            self._is_discovery_pending = True
            self._actions.append(model.Timer(delay_ms, WATCH_TIMER))

    def _mark_unlisted(self, now: float, listed: set[str]) -> None:
        """Mark servers that are missing from a complete list as having left."""
        for name, server in self.servers.items():
            if name not in listed and server.is_usable:
                server.is_usable = False
                server.departed_at = now
                self.close_idle_connections(server)

    def _update(self, now: float, entry: model.Listing) -> None:
        server = self.servers.get(entry.server)
        if server is None:
            salt = int.from_bytes(blake2b(entry.server.encode(), digest_size=8).digest())
            server = Server(entry.server, salt, self._times.kind_pace(entry.kind), now)
            self.servers[entry.server] = server
        elif entry.started != server.started_at:  # a new process: the old faults are void
            server.forget_faults()
            server.idle_connections = 0
        if server.is_usable and entry.state != "active":
            server.departed_at = now
        server.update(entry)
        self.close_idle_connections(server)

    def _forget_gone(self, now: float) -> None:
        """Drop servers that left long ago, since months of churn would otherwise fill the memory."""
        for name, server in list(self.servers.items()):
            if not server.is_usable and not server.in_flight and now - server.departed_at > FORGET_MS:
                del self.servers[name]

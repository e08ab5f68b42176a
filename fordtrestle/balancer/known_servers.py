"""Known servers: which there are by the endpoint list, and when discovery is asked again. Pure."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from hashlib import blake2b

from fordtrestle.balancer import model
from fordtrestle.balancer.baselines import ServiceTimes
from fordtrestle.balancer.servers import Server

FORGET_MS = 60_000.0  # servers gone for longer are forgotten: sidecars run for months
ASK_SPREAD_MS = 2500.0  # over which sidecars that start together ask discovery
ASK_RETRY_MS = 500.0  # after a call to discovery that failed; up to three times that, at random
CLOSINGS = 2  # after the last notice or outcome: a connection may come free late
CLOSE_INTERVAL_SHARE = 0.4  # of the time in which a leaving server's connections are to be closed

WATCH_TIMER = "watch"
CLOSE_TIMER = "close:"


class KnownServers:
    """Holds all known servers, those that left a while ago among them.

    Attributes:
        servers: Each known server by its name.
    """

    def __init__(
        self,
        settings: model.Settings,
        actions: list[model.Action],
        times: ServiceTimes,
        draw: Callable[[], float],
    ) -> None:
        """An empty list.

        Args:
            settings: The sidecar's settings.
            actions: What is to be done is added here.
            times: Where kinds of server have their pace.
            draw: Random numbers from 0 to 1.
        """
        self.servers: dict[str, Server] = {}
        self._actions = actions
        self._times = times
        self._draw = draw
        self._is_ask_pending = False
        self._release_within = settings.release_within
        self.apply_settings(settings)

    def apply_settings(self, settings: model.Settings) -> None:
        """Go by these settings; where connections are to be released in another time, that begins now."""
        self._is_asked_for = settings.discovery == "subscribe"
        self._ask_within = settings.ask_within
        self._release_within = settings.release_within

    def release_all(self) -> None:
        """Close idle connections to all servers that leave."""
        for server in self.servers.values():
            self.release(server)

    def apply(self, now: float, form: str, entries: Iterable[model.Listing]) -> bool:
        """Take in what discovery says.

        Args:
            now: The time in ms.
            form: `all` and `remembered` (from the last run) hold all servers, `changes` some; `refused` says
                that discovery did not answer, and no entries come.
            entries: The servers.

        Returns:
            Whether the list may have changed.
        """
        if form == "refused":
            # No longer each time: what discovery has to tell counts as told soon after its return.
            retry_ms = min(ASK_RETRY_MS, self._ask_within / 6.0)
            self._ask_later(retry_ms * (1.0 + 2.0 * self._draw()))
            return False
        if form == "remembered" and self._is_asked_for:
            spread_ms = min(ASK_SPREAD_MS, self._ask_within / 4.0)
            self._ask_later(self._draw() * spread_ms)
        if form != "changes":
            entries = list(entries)
            self._mark_unlisted(now, {entry.server for entry in entries})
        for entry in entries:
            self._update(now, entry)
        self._forget_gone(now)
        return True

    def release(self, server: Server, closings: int = CLOSINGS) -> None:
        """Close idle connections to a server that leaves: now, and again before the time is up.

        One may come free late, after a time-out without a word.

        Args:
            server: Any server; nothing is done for one that does not leave.
            closings: How many more are to follow.
        """
        if self._release_within > 0.0 and not server.is_usable:
            self._actions.append(model.CloseIdle(server.name))
            if closings and (closings < CLOSINGS or not server.closings_left):
                interval_ms = self._release_within * CLOSE_INTERVAL_SHARE
                self._actions.append(model.Timer(interval_ms, CLOSE_TIMER + server.name))
            server.closings_left = closings

    def on_close_timer(self, token: str) -> None:
        """Close a leaving server's idle connections again."""
        server = self.servers.get(token[len(CLOSE_TIMER) :])
        if server is not None and server.closings_left:
            closings, server.closings_left = server.closings_left - 1, 0
            self.release(server, closings)

    def on_watch_timer(self) -> None:
        """Ask discovery, if that is due."""
        if self._is_ask_pending:
            self._is_ask_pending = False
            self._actions.append(model.Watch(True))

    def _ask_later(self, delay_ms: float) -> None:
        """Ask discovery after that; jittered by the caller, since every sidecar does."""
        if not self._is_ask_pending:
            self._is_ask_pending = True
            self._actions.append(model.Timer(delay_ms, WATCH_TIMER))

    def _mark_unlisted(self, now: float, listed: set[str]) -> None:
        """Servers that a complete list does not name have left."""
        for name, server in self.servers.items():
            if name not in listed and server.is_usable:
                server.is_usable = False
                server.departed_at = now
                self.release(server)

    def _update(self, now: float, entry: model.Listing) -> None:
        server = self.servers.get(entry.server)
        if server is None:
            salt = int.from_bytes(blake2b(entry.server.encode(), digest_size=8).digest())
            server = Server(entry.server, salt, self._times.kind_pace(entry.kind), now)
            self.servers[entry.server] = server
        elif entry.started != server.started_at:  # another process: nothing of the old one holds
            server.forget_faults()
            server.idle_connections = 0
        if server.is_usable and entry.state != "active":
            server.departed_at = now
        server.update(entry)
        self.release(server)

    def _forget_gone(self, now: float) -> None:
        """Keep no record of servers long gone, or months of churn would fill the memory."""
        for name, server in list(self.servers.items()):
            if not server.is_usable and not server.in_flight and now - server.departed_at > FORGET_MS:
                del self.servers[name]

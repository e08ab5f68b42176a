"""Zone failover: a zone that is partitioned from this sidecar gets only occasional trial requests. Pure.

A zone is suspected once answers of two of its servers are overdue and none of its servers has answered since.
An overload looks the same, so the zone counts as partitioned only once new connections to two of its servers
were never established while another zone answers.
"""

from __future__ import annotations

import math
from collections.abc import Container, Iterator
from dataclasses import dataclass, field

from fordtrestle.balancer import model
from fordtrestle.balancer.connections import REFUSED_SHARE, ConnectionHealth
from fordtrestle.balancer.outcomes import ANSWERS, CONNECT_FAILED, TIMEOUT
from fordtrestle.balancer.servers import Attempt, Server
from fordtrestle.balancer.subset import Subset

UNRESPONSIVE_SERVERS = 2  # a single server may be down for a reason of its own
TRIAL_INTERVAL_MS = 500.0  # between single trials of a partitioned zone
SHORT_OF_TIME_INTERVALS = 4.0  # factor on this interval while requests have no time for a trial
FAILED_CONNECT_TIMEOUTS = 2.0  # after this many connect timeouts, a new connection that has not failed is up


@dataclass(slots=True, eq=False)
class Zone:
    """Tracks whether the servers of one zone can be reached at all; times are in milliseconds."""

    last_response_at: float = -math.inf  # when one of its servers last answered, or accepted a connection
    attempts: dict[Attempt, None] = field(default_factory=dict)  # those in flight, oldest first
    unanswered_servers: set[str] = field(default_factory=set)  # with a timeout since the last response
    # By server, the send time of the first attempt since the last response whose connection never came up.
    failed_connects: dict[str, float] = field(default_factory=dict)
    last_trial_at: float = -math.inf

    def record_response(self, now: float) -> None:
        """Record that one of its servers responded, or accepted a new connection."""
        self.last_response_at, self.failed_connects, self.unanswered_servers = now, {}, set()

    def is_suspected(self, now: float, failed_by: float) -> bool:
        """Return whether answers of several servers are overdue and there has been no response since.

        A new connection that was started before `failed_by` counts as a response, since it would have failed
        by now if it had not been established.

        Args:
            now: The time in ms.
            failed_by: The latest time, in ms, at which such a connection was started.
        """
        recent = [attempt for attempt in self.attempts if attempt.sent_at >= self.last_response_at]
        if any(attempt.is_new_connection and attempt.sent_at < failed_by for attempt in recent):
            self.record_response(now)
            return False
        unanswered = {attempt.server.name for attempt in recent if now >= attempt.stalls_at}
        return len(unanswered | self.unanswered_servers | self.failed_connects.keys()) >= UNRESPONSIVE_SERVERS

    def needs_trial(self) -> bool:
        """Return whether too few new connections are in progress to decide about a partition."""
        connecting = {
            a.server.name for a in self.attempts if a.is_new_connection and a.sent_at >= self.last_response_at
        }
        return len(connecting | self.failed_connects.keys()) < UNRESPONSIVE_SERVERS


class ZoneFailover:
    """Tracks which zones are suspected, and which are partitioned."""

    def __init__(
        self,
        settings: model.Settings,
        actions: list[model.Action],
        subset: Subset,
        connections: ConnectionHealth,
    ) -> None:
        """Start with all zones reachable.

        Args:
            settings: The sidecar's settings.
            actions: The list that actions are appended to.
            subset: The servers that requests are sent to.
            connections: Its failures are forgotten when a partition explains them.
        """
        self._actions = actions
        self._subset = subset
        self._connections = connections
        self._zones: dict[int, Zone] = {}
        self._partitioned: set[int] = set()
        self._suspected: set[int] = set()
        self._checked_at = -math.inf
        self.apply_settings(settings)

    def apply_settings(self, settings: model.Settings) -> None:
        """Apply changed settings."""
        self._connect_timeout = settings.connect_timeout

    def forget_unknown(self, known: Container[str]) -> None:
        """Drop the records of servers that are no longer known."""
        for zone in self._zones.values():
            zone.unanswered_servers = {name for name in zone.unanswered_servers if name in known}
            zone.failed_connects = {
                name: sent_at for name, sent_at in zone.failed_connects.items() if name in known
            }

    def on_send(self, attempt: Attempt) -> None:
        """Record the start of an attempt."""
        self._zone(attempt.server).attempts[attempt] = None

    def on_outcome(
        self, now: float, attempt: Attempt, status: int, spent_ms: float, servers: dict[str, Server]
    ) -> None:
        """Record the end of an attempt, which shows whether its server's zone can be reached.

        Args:
            now: The time in ms.
            attempt: The attempt.
            status: Its outcome, as a `model.Outcome`.
            spent_ms: How long it took, in ms.
            servers: All known servers, by name; when a partition ends, their faults in it are forgotten.
        """
        zone = self._zone(attempt.server)
        zone.attempts.pop(attempt, None)
        if status in ANSWERS:
            for name in zone.failed_connects if attempt.server.zone in self._partitioned else ():
                if name in servers:  # the network was at fault
                    servers[name].forget_faults()
            zone.record_response(now)
        elif attempt.sent_at >= zone.last_response_at and self.is_unresponsive(status, spent_ms):
            if status == CONNECT_FAILED:
                zone.failed_connects.setdefault(attempt.server.name, attempt.sent_at)
            else:
                zone.unanswered_servers.add(attempt.server.name)

    def is_unresponsive(self, status: int, spent_ms: float) -> bool:
        """Return whether an attempt got no response; a refused connection counts as a response."""
        never_connected = status == CONNECT_FAILED and spent_ms >= REFUSED_SHARE * self._connect_timeout
        return never_connected or status == TIMEOUT

    def is_partitioned(self, now: float, server: Server) -> bool:
        """Return whether a server's zone does not respond while another one does."""
        if now != self._checked_at:
            self.check(now)
        return server.zone in self._partitioned

    def is_suspected_or_partitioned(self, server: Server) -> bool:
        """Return whether a server's zone was suspected or partitioned when zones were last checked."""
        return server.zone in self._partitioned or server.zone in self._suspected

    def any_suspected_or_partitioned(self, now: float) -> bool:
        """Return whether any zone is suspected or partitioned."""
        if now != self._checked_at:
            self.check(now)
        return bool(self._partitioned or self._suspected)

    def check(self, now: float) -> None:
        """Recompute which zones are suspected and which are partitioned."""
        self._checked_at = now
        zones = self._zones
        # If no zone has responded since, this sidecar itself may be cut off, which is no evidence of a zone.
        latest_response_at = max((zone.last_response_at for zone in zones.values()), default=-math.inf)
        connect_times = {name: zone.failed_connects.values() for name, zone in zones.items()}
        partitioned = {
            name
            for name, times in connect_times.items()
            if len(times) >= UNRESPONSIVE_SERVERS and min(times) < latest_response_at
        }
        failed_by = now - FAILED_CONNECT_TIMEOUTS * self._connect_timeout
        self._suspected = {name for name, zone in zones.items() if zone.is_suspected(now, failed_by)}
        self._begin_partitions(now, partitioned - self._partitioned)
        self._partitioned = partitioned

    def _begin_partitions(self, now: float, names: set[int]) -> None:
        for server in self._subset.servers if names else ():
            if server.zone in names and server.idle_connections:
                # Open connections will not recover, and a request that is sent on one is lost.
                self._actions.append(model.CloseIdle(server.name))
                server.idle_connections = 0
        for name in names:
            self._zones[name].last_trial_at = now
            self._connections.forget_failures()  # the partition explains them, and few more will follow

    def due_for_trial(self, now: float, is_short_of_time: bool) -> Iterator[tuple[int, Zone]]:
        """Yield the zones of which one server is to be tried now; each counts as tried once it is yielded.

        Args:
            now: The time in ms.
            is_short_of_time: Whether the request has no time for a trial and another attempt after it. Such
                requests still try a partitioned zone, at longer intervals: during an overload elsewhere no
                request has the time, and the zone would otherwise never be used again.
        """
        for name in sorted(self._partitioned | self._suspected):
            zone = self._zones[name]
            if name in self._partitioned:
                interval_ms = TRIAL_INTERVAL_MS * (SHORT_OF_TIME_INTERVALS if is_short_of_time else 1.0)
                is_due = now - zone.last_trial_at >= interval_ms
            else:
                is_due = zone.needs_trial() and not is_short_of_time
            if is_due:
                zone.last_trial_at = now
                yield name, zone

    def _zone(self, server: Server) -> Zone:
        return self._zones.setdefault(server.zone, Zone())

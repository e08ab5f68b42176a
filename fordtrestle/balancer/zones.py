"""Zone failover: a zone that is partitioned from this sidecar is left, and tried again now and then. Pure.

A zone is suspected once two of its servers owe answers and none has answered since. An overload looks alike:
it is held to be partitioned once as many new connections never came up, while another zone answers.
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

UNRESPONSIVE_SERVERS = 2  # one may be down by itself
TRIAL_INTERVAL_MS = 500.0  # between single trials of a partitioned zone
HURRIED_INTERVALS = 4.0  # so many of them, where requests have no time for a trial
FAILED_CONNECT_TIMEOUTS = 2.0  # after so many a new connection would have failed if it had not come up


@dataclass(slots=True, eq=False)
class Zone:
    """Whether the servers of one zone can be reached at all."""

    heard_at: float = -math.inf  # when one of them last answered, or took a new connection
    attempts: dict[Attempt, None] = field(default_factory=dict)  # those in flight, oldest first
    owing: set[str] = field(default_factory=set)  # servers that never answered
    unresponsive: dict[str, float] = field(
        default_factory=dict
    )  # where no new connection came up, by when asked
    tried_at: float = -math.inf

    def record_response(self, now: float) -> None:
        """One of its servers responded, or took a new connection."""
        self.heard_at, self.unresponsive, self.owing = now, {}, set()

    def is_suspected(self, now: float, failed_by: float) -> bool:
        """Whether several servers owe answers, with no response since.

        A new connection that was begun before `failed_by`, and would have failed by now if it had not come
        up, counts as one.
        """
        since = [attempt for attempt in self.attempts if attempt.sent_at >= self.heard_at]
        if any(attempt.is_new_connection and attempt.sent_at < failed_by for attempt in since):
            self.record_response(now)
            return False
        owing = {attempt.server.name for attempt in since if now >= attempt.stalls_at}
        return len(owing | self.owing | self.unresponsive.keys()) >= UNRESPONSIVE_SERVERS

    def wants_trial(self) -> bool:
        """Whether too few new connections are under way."""
        trying = {a.server.name for a in self.attempts if a.is_new_connection and a.sent_at >= self.heard_at}
        return len(trying | self.unresponsive.keys()) < UNRESPONSIVE_SERVERS


class ZoneFailover:
    """Holds which zones are suspected, and which partitioned."""

    def __init__(
        self,
        settings: model.Settings,
        actions: list[model.Action],
        subset: Subset,
        connections: ConnectionHealth,
    ) -> None:
        """All zones can be reached.

        Args:
            settings: The sidecar's settings.
            actions: What is to be done is added here.
            subset: The servers that are drawn from.
            connections: Whose faults are forgotten where a partition explains them.
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
        """Go by these settings."""
        self._connect_timeout = settings.connect_timeout

    def forget_unknown(self, known: Container[str]) -> None:
        """Keep no record of servers that the endpoint list has forgotten."""
        for zone in self._zones.values():
            zone.owing = {name for name in zone.owing if name in known}
            zone.unresponsive = {name: since for name, since in zone.unresponsive.items() if name in known}

    def on_send(self, attempt: Attempt) -> None:
        """An attempt is sent."""
        self._zone(attempt.server).attempts[attempt] = None

    def on_outcome(
        self, now: float, attempt: Attempt, status: int, spent_ms: float, servers: dict[str, Server]
    ) -> None:
        """An attempt has ended: that its server's zone can be reached, or a sign that it can't.

        Args:
            now: The time in ms.
            attempt: Which one.
            status: How it ended.
            spent_ms: How long it took.
            servers: All known servers; where a partition ends, it counts as no fault of theirs.
        """
        zone = self._zone(attempt.server)
        zone.attempts.pop(attempt, None)
        if status in ANSWERS:
            for name in zone.unresponsive if attempt.server.zone in self._partitioned else ():
                if name in servers:  # the way to it was at fault
                    servers[name].forget_faults()
            zone.record_response(now)
        elif attempt.sent_at >= zone.heard_at and self.is_unresponsive(status, spent_ms):
            if status == CONNECT_FAILED:
                zone.unresponsive.setdefault(attempt.server.name, attempt.sent_at)
            else:
                zone.owing.add(attempt.server.name)

    def is_unresponsive(self, status: int, spent_ms: float) -> bool:
        """Whether an attempt got no response; a refused connection is one."""
        never_up = status == CONNECT_FAILED and spent_ms >= REFUSED_SHARE * self._connect_timeout
        return never_up or status == TIMEOUT

    def is_partitioned(self, now: float, server: Server) -> bool:
        """Whether a server's zone is silent while another is not."""
        if now != self._checked_at:
            self.check(now)
        return server.zone in self._partitioned

    def is_suspected_or_partitioned(self, server: Server) -> bool:
        """Whether a server's zone was suspected or partitioned as zones were last checked."""
        return server.zone in self._partitioned or server.zone in self._suspected

    def any_suspected_or_partitioned(self, now: float) -> bool:
        """Whether any zone is suspected or partitioned."""
        if now != self._checked_at:
            self.check(now)
        return bool(self._partitioned or self._suspected)

    def check(self, now: float) -> None:
        """Judge all zones anew."""
        self._checked_at = now
        zones = self._zones
        # Where none has answered since, this sidecar itself may be cut off: that is no evidence of a zone.
        heard_at = max((zone.heard_at for zone in zones.values()), default=-math.inf)
        silent = {name: zone.unresponsive.values() for name, zone in zones.items()}
        partitioned = {
            name
            for name, since in silent.items()
            if len(since) >= UNRESPONSIVE_SERVERS and min(since) < heard_at
        }
        failed_by = now - FAILED_CONNECT_TIMEOUTS * self._connect_timeout
        self._suspected = {name for name, zone in zones.items() if zone.is_suspected(now, failed_by)}
        self._begin_partitions(now, partitioned - self._partitioned)
        self._partitioned = partitioned

    def _begin_partitions(self, now: float, names: set[int]) -> None:
        for server in self._subset.servers if names else ():
            if server.zone in names and server.idle_connections:
                # Its open connections are silent for good, and a request on one is lost.
                self._actions.append(model.CloseIdle(server.name))
                server.idle_connections = 0
        for name in names:
            self._zones[name].tried_at = now
            self._connections.forget_failures()  # connections failed for that, and fail there no more

    def due_for_trial(self, now: float, is_hurried: bool) -> Iterator[tuple[int, Zone]]:
        """The zones of which one server is to be tried now; each counts as tried once it is given.

        Args:
            now: The time in ms.
            is_hurried: Whether the request has no time for a trial and another attempt after it. Guards
                against an overload elsewhere, in which no request has the time, that bars the zone for good.
        """
        for name in sorted(self._partitioned | self._suspected):
            zone = self._zones[name]
            if name in self._partitioned:
                interval_ms = TRIAL_INTERVAL_MS * (HURRIED_INTERVALS if is_hurried else 1.0)
                is_due = now - zone.tried_at >= interval_ms
            else:
                is_due = zone.wants_trial() and not is_hurried
            if is_due:
                zone.tried_at = now
                yield name, zone

    def _zone(self, server: Server) -> Zone:
        return self._zones.setdefault(server.zone, Zone())

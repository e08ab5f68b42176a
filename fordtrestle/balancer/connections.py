"""Connection health: idle connections that were dropped unnoticed, and new ones that fail. Pure."""

from __future__ import annotations

import math

from fordtrestle.balancer import model
from fordtrestle.balancer.outcomes import RESET
from fordtrestle.balancer.servers import Attempt

REFUSED_SHARE = 0.5  # of the connect timeout; an earlier failure is a refusal, which costs a server nothing

# Connections that were dropped unnoticed while idle: once one has failed, connections that have been idle for
# this share of its idle time are closed before the next send.
TRUSTED_IDLE_SHARE = 0.7
MIN_TRUSTED_IDLE_MS = 200.0  # a connection that fails after less was not idle
DROPPED_SPENT_SHARE = 0.2  # of the idle time: a dropped connection is reset at once
REGAIN_TRUST_MS = 30_000.0  # time constant in which such a failure is forgotten

# While new connections fail, a server without an open connection counts as more loaded.
CONNECT_ERROR_GAIN = 1.0 - 0.7  # weight of the latest new connection in the share that fails
MIN_CONNECT_ERRORS = 0.3  # the share that fails after the crash of one server
CONNECT_ERRORS_IN_FLIGHT = 30.0  # requests in flight; enough to prefer any server with an open connection
MORE_CANDIDATES = 12  # maximum while new connections fail, to include a server with an open connection


class ConnectionHealth:
    """Learns for how long idle connections can be reused, and whether new ones can be established.

    Attributes:
        error_weight: The exponentially weighted share of new connections that fail.
    """

    def __init__(self, now: float, settings: model.Settings) -> None:
        self.error_weight = 0.0
        self._trusted_idle_ms = settings.idle_close
        self._learned_at = now
        self.apply_settings(settings)

    def apply_settings(self, settings: model.Settings) -> None:
        """Apply changed settings."""
        self._idle_close = settings.idle_close

    def record_connect(self, failed: bool) -> None:
        """Record whether a new connection failed."""
        self.error_weight += CONNECT_ERROR_GAIN * (failed - self.error_weight)

    def forget_failures(self) -> None:
        """Forget failures of new connections, whose cause is gone."""
        self.error_weight = 0.0

    def excess_errors(self) -> float:
        """Return by how much the share of new connections that fail exceeds what a crash explains."""
        return max(0.0, self.error_weight - MIN_CONNECT_ERRORS)

    def trusted_idle_ms(self, now: float) -> float:
        """Return for how many ms a connection can be idle and still be reused."""
        regained = math.exp(min(10.0, (now - self._learned_at) / REGAIN_TRUST_MS))
        return min(self._idle_close, self._trusted_idle_ms * regained)

    def used_dropped_connection(self, now: float, attempt: Attempt, status: int, spent_ms: float) -> bool:
        """Return whether an attempt used a connection that had been dropped while idle, and remember it.

        Middleboxes and servers close idle connections, which is no fault of the server. A server that crashes
        just after a send looks the same; its next attempt is then counted as a fault.

        Args:
            now: The time in ms.
            attempt: The attempt; it is marked if it used such a connection.
            status: Its outcome.
            spent_ms: How long it took, in ms.
        """
        idle_ms = attempt.idle_ms
        if status != RESET or idle_ms < MIN_TRUSTED_IDLE_MS or spent_ms > DROPPED_SPENT_SHARE * idle_ms:
            return False
        attempt.used_dropped_connection = True
        if idle_ms <= self.trusted_idle_ms(now):
            self._trusted_idle_ms = max(MIN_TRUSTED_IDLE_MS, TRUSTED_IDLE_SHARE * idle_ms)
            self._learned_at = now
        return True

"""Connection health: connections dropped unseen while idle, and new ones that fail. Pure."""

from __future__ import annotations

import math

from fordtrestle.balancer import model
from fordtrestle.balancer.outcomes import RESET
from fordtrestle.balancer.servers import Attempt

REFUSED_SHARE = 0.5  # of the connect time-out: a sooner end is a refusal, which cost the server nothing

# Connections dropped unseen while idle: those unused for so much of the time at which one failed are closed.
TRUSTED_IDLE_SHARE = 0.7
MIN_TRUSTED_IDLE_MS = 200.0  # what fails sooner than that was not idle
DROPPED_SPENT_SHARE = 0.2  # of the time unused: a dropped connection answers at once
REGAIN_TRUST_MS = 30_000.0  # in which such a fault is forgotten again

# Where new connections fail, a server without an open one counts as so much more in flight.
CONNECT_ERROR_GAIN = 1.0 - 0.7  # weight of the newest one in their share of failures
MIN_CONNECT_ERRORS = 0.3  # a crash alone makes so many fail
CONNECT_ERRORS_IN_FLIGHT = 30.0  # enough to prefer any server with an open connection
MORE_CANDIDATES = 12  # at the most, while new connections fail: one that has an open one may be among them


class ConnectionHealth:
    """Learns for how long idle connections can be trusted, and whether new ones come up.

    Attributes:
        error_weight: The fading share of new connections that fail.
    """

    def __init__(self, now: float, settings: model.Settings) -> None:
        self.error_weight = 0.0
        self._trusted_idle_ms = settings.idle_close
        self._learned_at = now
        self.apply_settings(settings)

    def apply_settings(self, settings: model.Settings) -> None:
        """Go by these settings."""
        self._idle_close = settings.idle_close

    def record_connect(self, failed: bool) -> None:
        """Take in whether a new connection failed."""
        self.error_weight += CONNECT_ERROR_GAIN * (failed - self.error_weight)

    def forget_failures(self) -> None:
        """New connections failed for a cause that is gone."""
        self.error_weight = 0.0

    def excess_errors(self) -> float:
        """How far the share of new connections that fail is above what a crash explains."""
        return max(0.0, self.error_weight - MIN_CONNECT_ERRORS)

    def trusted_idle_ms(self, now: float) -> float:
        """How long a connection may lie unused and still be trusted."""
        regained = math.exp(min(10.0, (now - self._learned_at) / REGAIN_TRUST_MS))
        return min(self._idle_close, self._trusted_idle_ms * regained)

    def met_dropped(self, now: float, attempt: Attempt, status: int, spent_ms: float) -> bool:
        """Whether an attempt met a connection dropped unseen while unused: no fault of the server.

        Guards against middle boxes and servers that reap idle connections. A server that dies just as it is
        sent to looks alike, and is blamed at the next attempt.
        """
        unused_ms = attempt.unused_ms
        if status != RESET or unused_ms < MIN_TRUSTED_IDLE_MS or spent_ms > DROPPED_SPENT_SHARE * unused_ms:
            return False
        attempt.met_dropped_connection = True
        if unused_ms <= self.trusted_idle_ms(now):
            self._trusted_idle_ms = max(MIN_TRUSTED_IDLE_MS, TRUSTED_IDLE_SHARE * unused_ms)
            self._learned_at = now
        return True

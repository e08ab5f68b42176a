"""Decides which requests a sidecar accepts while it shuts down. Pure.

A request that was sent more than 3 s after SIGTERM must not be aborted at the end of the grace period (RULES:
LOST). How fast a server responds is not bounded. Only the request's deadline bounds its duration.
"""

from __future__ import annotations

from dataclasses import dataclass

# Every request is accepted for this long after SIGTERM: the rules tolerate that these are aborted.
ACCEPT_ALL_S = 3.0
# Upper bound of that period, as a share of the time until the abort; applies to short grace periods.
ACCEPT_ALL_SHARE = 3.0 / 8.0


@dataclass(frozen=True, slots=True)
class DrainPolicy:
    """Admission policy by the time of a send; the default policy accepts every request.

    Attributes:
        accept_all_until: Every request is accepted up to this time, in seconds of the loop's clock.
        abort_at: When requests that are still open are aborted, in seconds of the loop's clock.
    """

    accept_all_until: float = float("inf")
    abort_at: float = float("inf")

    @classmethod
    def draining(cls, started_at: float, abort_at: float) -> DrainPolicy:
        """Return the policy of a sidecar whose shutdown began at `started_at`."""
        accept_s = min(ACCEPT_ALL_S, ACCEPT_ALL_SHARE * (abort_at - started_at))
        return cls(started_at + accept_s, abort_at)

    def accepts(self, deadline: float, sent_at: float) -> bool:
        """Return whether a request may be sent to a server, which includes each retry.

        Args:
            deadline: When the request ends at the latest, in seconds of the loop's clock.
            sent_at: When it would be sent, in seconds of the loop's clock.
        """
        return sent_at <= self.accept_all_until or deadline <= self.abort_at

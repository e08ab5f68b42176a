"""Decides which requests a sidecar accepts while it shuts down: those it can complete in time. Pure.

A stream that was sent more than 3 s after SIGTERM must not be aborted at the end of the grace period (RULES:
LOST). The maximum duration of a stream follows from its maximum number of tokens.
"""

from __future__ import annotations

from dataclasses import dataclass

from fordtrestle.routing.route import RouteType

# Streams of any length are accepted for this long after SIGTERM: the rules tolerate that these are aborted.
ACCEPT_ALL_STREAMS_S = 3.0
# Upper bound of that period, as a share of the time until the abort; applies to short grace periods.
ACCEPT_ALL_STREAMS_SHARE = 3.0 / 8.0
MAX_FIRST_TOKEN_S = 1.2  # longest expected time to the first token of a stream
MAX_TOKEN_INTERVAL_S = (
    0.02  # longest expected interval between tokens: two to three times that of model servers
)
MAX_SHORT_REQUEST_S = 1.5  # longest expected duration of a request that is not a stream


@dataclass(frozen=True, slots=True)
class DrainPolicy:
    """Admission policy by the time of a send; the default policy accepts every request.

    Attributes:
        accept_all_streams_until: Streams of any length are accepted up to this time, in seconds of the loop's
            clock.
        abort_at: When requests that are still open are aborted, in seconds of the loop's clock.
    """

    accept_all_streams_until: float = float("inf")
    abort_at: float = float("inf")

    @classmethod
    def draining(cls, started_at: float, abort_at: float) -> DrainPolicy:
        """Return the policy of a sidecar whose shutdown began at `started_at`."""
        accept_s = min(ACCEPT_ALL_STREAMS_S, ACCEPT_ALL_STREAMS_SHARE * (abort_at - started_at))
        return cls(started_at + accept_s, abort_at)

    def accepts(self, route_type: RouteType, tokens_out: int, sent_at: float) -> bool:
        """Return whether a request may be sent to a server, which includes each retry.

        Args:
            route_type: The type of the request's route.
            tokens_out: The maximum number of tokens in the response; 0 if unknown.
            sent_at: When it would be sent, in seconds of the loop's clock.
        """
        if route_type is not RouteType.STREAMING:
            return sent_at + MAX_SHORT_REQUEST_S <= self.abort_at
        if sent_at <= self.accept_all_streams_until:
            return True
        latest_end = sent_at + MAX_FIRST_TOKEN_S + MAX_TOKEN_INTERVAL_S * tokens_out
        return tokens_out > 0 and latest_end <= self.abort_at

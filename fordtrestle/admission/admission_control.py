"""Load shedding at the caller: requests are rejected locally while a callee rejects them. Pure.

Source: Google SRE book, chapter 21, "Client-Side Throttling", with the formula of
`fordtrestle.balancer.throttle`. `docs/design/admission.md` says how each outcome of a send counts. Outcomes
that show an absent server (a connection that failed or broke, no answer in time) are not counted: they are no
evidence of load, and since the window spans all servers, they would cause rejections of requests that healthy
servers could take.
"""

from __future__ import annotations

from collections.abc import Callable

from fordtrestle.balancer.throttle import Throttle

MS_PER_S = 1000.0


class AdmissionControl:
    """Decides whether a request may be sent to its callee, with one throttle per callee."""

    def __init__(self, uniform: Callable[[], float]) -> None:
        """Start with empty windows; `uniform` returns random numbers in [0, 1)."""
        self._uniform = uniform
        self._throttles: dict[str, Throttle] = {}

    def admit(self, callee: str, now: float) -> bool:
        """Return whether a request may be sent; `now` is in seconds of a monotonic clock.

        A local rejection is counted as a request that was not accepted, as the formula requires: otherwise
        the rejection probability would oscillate.
        """
        throttle = self._throttle(callee)
        if self._uniform() >= throttle.drop_chance(now * MS_PER_S):
            return True
        throttle.add(now * MS_PER_S, 0.0)
        return False

    def record_accepted(self, callee: str, now: float) -> None:
        """Count a request that a server accepted: the head of its response arrived and was no rejection."""
        self._throttle(callee).add(now * MS_PER_S, 1.0)

    def record_rejected(self, callee: str, now: float) -> None:
        """Count a request that a server rejected without running it (503 or 429, `X-Not-Executed`)."""
        self._throttle(callee).add(now * MS_PER_S, 0.0)

    def figures(self) -> dict[str, float]:
        """Return the metrics: requests and accepts in all windows, as of the latest entry of each window."""
        throttles = self._throttles.values()
        return {
            "window_requests": sum(throttle.requests for throttle in throttles),
            "window_accepts": sum(throttle.accepts for throttle in throttles),
        }

    def _throttle(self, callee: str) -> Throttle:
        throttle = self._throttles.get(callee)
        if throttle is None:
            throttle = self._throttles[callee] = Throttle()  # with its default window
        return throttle

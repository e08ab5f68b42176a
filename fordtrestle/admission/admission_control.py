"""Load shedding at the caller: requests are rejected locally while a callee rejects them. Pure.

Source: Google SRE book, chapter 21, "Client-Side Throttling"; the formula is that of the decision module.
What each outcome of a send counts as stands in `docs/design/admission.md`. Outcomes that show absence (a
connection that failed or broke, no answer in time) count as nothing: they say nothing of load, and in a
window that spans all servers they would reject requests that healthy servers could take.
"""

from __future__ import annotations

from collections.abc import Callable

from fordtrestle.balancer.throttle import Throttle

MS_PER_S = 1000.0


class AdmissionControl:
    """Decides whether a request may be sent to its callee, by one throttle a callee."""

    def __init__(self, draw: Callable[[], float]) -> None:
        """Begin with empty windows; `draw` is uniform in [0, 1)."""
        self._draw = draw
        self._throttles: dict[str, Throttle] = {}

    def admit(self, callee: str, now: float) -> bool:
        """Return whether a request may be sent; `now` in seconds of a monotonic clock.

        A local rejection counts as a request that was not accepted, as the formula asks for: otherwise the
        chance of rejection would swing.
        """
        throttle = self._throttle(callee)
        if self._draw() >= throttle.drop_chance(now * MS_PER_S):
            return True
        throttle.add(now * MS_PER_S, 0.0)
        return False

    def record_accepted(self, callee: str, now: float) -> None:
        """Count a request that a server took: its head came, and it was no rejection."""
        self._throttle(callee).add(now * MS_PER_S, 1.0)

    def record_rejected(self, callee: str, now: float) -> None:
        """Count a request that a server did not run for want of capacity (503 or 429, `X-Not-Executed`)."""
        self._throttle(callee).add(now * MS_PER_S, 0.0)

    def figures(self) -> dict[str, float]:
        """Return requests and accepts in all windows, as of the newest entry of each, for the metrics."""
        throttles = self._throttles.values()
        return {
            "window_requests": sum(throttle.requests for throttle in throttles),
            "window_accepts": sum(throttle.accepts for throttle in throttles),
        }

    def _throttle(self, callee: str) -> Throttle:
        throttle = self._throttles.get(callee)
        if throttle is None:
            throttle = self._throttles[callee] = Throttle()  # of the module's own length of window
        return throttle

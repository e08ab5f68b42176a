"""Local refusal by the decision module's window and formula, one window a callee. Pure.

Counted are requests and accepts. A server's explicit rejection counts as not accepted, and so does a local
refusal. What shows absence (a connection that failed or broke, silence) counts as neither: it says nothing of
load, and in a window that spans all servers it would refuse calls that healthy ones could take.
"""

from __future__ import annotations

from collections.abc import Callable

from fordtrestle.balancer.throttle import Throttle

MS_PER_S = 1000.0


class Admission:
    """The windows of all callees."""

    def __init__(self, draw: Callable[[], float]) -> None:
        self._draw = draw  # uniform in [0, 1)
        self._windows: dict[str, Throttle] = {}

    def admits(self, callee: str, now: float) -> bool:
        """Whether a request may be sent; a refusal counts as a request that was not accepted."""
        window = self._window(callee)
        if self._draw() >= window.drop_chance(now * MS_PER_S):
            return True
        window.add(now * MS_PER_S, 0.0)
        return False

    def accepted(self, callee: str, now: float) -> None:
        """A server took the request: its head came, and it was no rejection."""
        self._window(callee).add(now * MS_PER_S, 1.0)

    def rejected(self, callee: str, now: float) -> None:
        """A server said that it did not run the request for want of room (503 or 429, `X-Not-Executed`)."""
        self._window(callee).add(now * MS_PER_S, 0.0)

    def figures(self) -> dict[str, float]:
        """Requests and accepts in all windows, as of the newest of each."""
        windows = self._windows.values()
        return {
            "window_requests": sum(window.requests for window in windows),
            "window_accepts": sum(window.accepts for window in windows),
        }

    def _window(self, callee: str) -> Throttle:
        window = self._windows.get(callee)
        if window is None:
            window = self._windows[callee] = Throttle()  # its own length: two minutes outlast an overload
        return window

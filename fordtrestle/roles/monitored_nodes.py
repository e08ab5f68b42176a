"""Selects the nodes that this process monitors, again whenever the membership changes."""

from __future__ import annotations

from fordtrestle.dissemination.suspicion import monitored_by

# Between two selections among many nodes: the cost of each is quadratic in their number.
MIN_RESELECT_INTERVAL_S = 5.0
MAX_CHEAP_NODES = 64  # up to which a selection is cheap and not rate-limited


class MonitoredNodes:
    """The nodes that one process monitors.

    Attributes:
        names: The names of the selected nodes.
    """

    def __init__(self, me: str) -> None:
        """Start without any nodes; `me` is the name of this process's node."""
        self.names: set[str] = set()
        self._me = me
        self._members: set[str] = set()  # of the last selection
        self._selected_at = 0.0  # seconds, loop clock

    def update(self, members: set[str], now: float) -> None:
        """Select again if the members have changed, unless the last selection is too recent.

        Args:
            members: The nodes that are not known to be down.
            now: The current time in seconds, loop clock.
        """
        can_reselect = len(members) <= MAX_CHEAP_NODES or now - self._selected_at >= MIN_RESELECT_INTERVAL_S
        if members != self._members and can_reselect:
            self._members, self._selected_at = members, now
            self.names = monitored_by(self._me, members)

"""Which nodes this process monitors, drawn anew as the membership changes."""

from __future__ import annotations

from fordtrestle.dissemination.suspicion import monitored_by

# Between two draws where there are many nodes: each costs the square of their number.
MIN_REDRAW_INTERVAL_S = 5.0
MAX_CHEAP_NODES = 64  # among which a draw costs next to nothing


class MonitoredNodes:
    """The nodes that one process monitors.

    Attributes:
        names: As last drawn.
    """

    def __init__(self, me: str) -> None:
        """Begin with none; `me` is the name of this process's node."""
        self.names: set[str] = set()
        self._me = me
        self._members: set[str] = set()  # among which was last drawn
        self._drawn_at = 0.0  # s, loop clock

    def update(self, members: set[str], now: float) -> None:
        """Draw anew if the members are others than before, and it is not too soon.

        Args:
            members: The nodes that are not known to be down.
            now: s, loop clock.
        """
        can_redraw = len(members) <= MAX_CHEAP_NODES or now - self._drawn_at >= MIN_REDRAW_INTERVAL_S
        if members != self._members and can_redraw:
            self._members, self._drawn_at = members, now
            self.names = monitored_by(self._me, members)

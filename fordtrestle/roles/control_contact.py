"""Tracks whether a sidecar is in contact with the control processes, and so may trust its configuration."""

from __future__ import annotations

from collections.abc import Callable

# Without a link to any control process for longer than this, a newer configuration may be active elsewhere.
# A silent link ends after `PEER_TIMEOUT_S` (1.6 s); both together stay below `config_apply_ms` (3 s).
MAX_UNLINKED_S = 1.0


class ControlContact:
    """When this process last had a link to a control process. Times are seconds of the loop's clock."""

    def __init__(self, has_control_link: Callable[[], bool]) -> None:
        """Create a record without contact; `has_control_link` returns whether there is a link now."""
        self._has_control_link = has_control_link
        self._linked_at = float("-inf")

    def refresh(self, now: float) -> None:
        """Record whether there is a link now."""
        if self._has_control_link():
            self._linked_at = now

    def is_recent(self, now: float) -> bool:
        """Return whether there was a link within the last `MAX_UNLINKED_S`."""
        self.refresh(now)
        return now - self._linked_at <= MAX_UNLINKED_S

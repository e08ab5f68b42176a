"""Tracks whether a sidecar is in contact with the control processes, and so may trust its configuration."""

from __future__ import annotations

from collections.abc import Callable, Collection

# Without contact for longer than this, a newer configuration may be active elsewhere. A link that is silent
# for `PEER_TIMEOUT_S` (1.6 s) is no contact; both together stay below `config_apply_ms` (3 s).
MAX_UNLINKED_S = 1.0


def has_majority(linked: Collection[str], known: Collection[str]) -> bool:
    """Return whether a process is linked to a majority of the control processes.

    A configuration is acknowledged only by an epoch that a majority of witnesses has accepted, and any two
    majorities have a process in common. One control process alone may be cut off from the primary.

    Args:
        linked: The control processes that this process has links to.
        known: All control processes that it knows, including those that are down.
    """
    return 2 * len(set(linked)) > len({*linked, *known})


class ControlContact:
    """When this process was last linked to a majority. Times are seconds of the loop's clock."""

    def __init__(self, is_linked: Callable[[float], bool]) -> None:
        """Create a record without contact; `is_linked` returns whether a time is one of contact."""
        self._is_linked = is_linked
        self._linked_at = float("-inf")

    def refresh(self, now: float) -> None:
        """Record whether there is contact now."""
        if self._is_linked(now):
            self._linked_at = now

    def is_recent(self, now: float) -> bool:
        """Return whether there was contact within the last `MAX_UNLINKED_S`, as of the last refresh."""
        return now - self._linked_at <= MAX_UNLINKED_S

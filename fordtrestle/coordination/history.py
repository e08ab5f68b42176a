"""What a watch of a group is answered from the state of a store that follows the primary. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from fordtrestle.coordination.limits import MAX_WATCH_EVENTS
from fordtrestle.coordination.state import KeyEvent, KeyGroup


@dataclass(frozen=True, slots=True)
class WatchEvents:
    """The committed events after a revision.

    Attributes:
        events: In the order of their revisions.
        revision: The newest one that they reach; no event up to it is missing.
    """

    events: tuple[KeyEvent, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Compacted:
    """The events after that revision are not all remembered."""


def events_after(group: KeyGroup, revision: int, committed_sequence: int) -> WatchEvents | Compacted:
    """The committed events of a group after a revision, as many as one answer takes.

    Events that are not known to be on all replicas are left out: a new primary may not have them.

    Args:
        group: The group, as this store holds it.
        revision: What the watch was sent last.
        committed_sequence: The sequence up to which writes are known to be committed.
    """
    if revision < group.compacted_revision:
        return Compacted()
    events = tuple(
        event for event in group.history if event.revision > revision and event.sequence <= committed_sequence
    )[:MAX_WATCH_EVENTS]
    return WatchEvents(events, events[-1].revision if events else revision)


def committed_revision(group: KeyGroup, committed_sequence: int) -> int:
    """The newest revision of a group that is known to be committed."""
    for event in reversed(group.history):
        if event.sequence <= committed_sequence:
            return event.revision
    return group.compacted_revision

"""Answers watches of a group of keys from the state of a store that follows the primary. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from fordtrestle.coordination.limits import MAX_WATCH_EVENTS
from fordtrestle.coordination.state import KeyEvent, KeyGroup


@dataclass(frozen=True, slots=True)
class WatchEvents:
    """The committed events after a revision.

    Attributes:
        events: The events, in the order of their revisions.
        revision: The revision from which to continue the watch: no event up to it is missing.
    """

    events: tuple[KeyEvent, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Compacted:
    """Some events after the requested revision have been compacted."""


def events_after(group: KeyGroup, revision: int, committed_sequence: int) -> WatchEvents | Compacted:
    """Return the committed events of a group after a revision, up to `MAX_WATCH_EVENTS`.

    Events that are not known to be on all replicas are left out, because a new primary may not have them.

    Args:
        group: The group, as this store holds it.
        revision: The revision that the watch received last.
        committed_sequence: The sequence up to which writes are known to be committed.

    Returns:
        The events, or `Compacted` if some of them have been compacted.
    """
    if revision < group.compacted_revision:
        return Compacted()
    events = tuple(
        event for event in group.history if event.revision > revision and event.sequence <= committed_sequence
    )[:MAX_WATCH_EVENTS]
    return WatchEvents(events, events[-1].revision if events else revision)


def committed_revision(group: KeyGroup, committed_sequence: int) -> int:
    """Return the newest revision of a group that is known to be committed."""
    for event in reversed(group.history):
        if event.sequence <= committed_sequence:
            return event.revision
    return group.compacted_revision

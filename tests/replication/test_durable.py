"""A store is restored from its disk, also after the disk refused writes."""

from __future__ import annotations

from fordtrestle.replication.durable import Durable
from fordtrestle.replication.epochs import Term
from fordtrestle.replication.messages import Entry, Snapshot, Vote
from fordtrestle.replication.state import ControlState, Evacuation

OLD, NEW = Term(1, "a"), Term(2, "b")


def state(*zones):
    """Return the state after these zones were evacuated."""
    restored = ControlState()
    for zone in zones:
        restored = restored.apply(Evacuation(zone, True))
    return restored


def test_entries_of_an_older_term_behind_a_snapshot_are_void():
    """Entries of the previous primary follow a snapshot.

    The disk refused writes, a snapshot replaced them, and older entries were still written after it before
    the power loss.
    """
    records = [Vote("s", NEW, None), Snapshot(NEW, state("z-1")), Entry(OLD, 2, Evacuation("z-old", True))]
    assert Durable.restore(records).state == state("z-1")
    records.append(Entry(NEW, 2, Evacuation("z-new", True)))
    assert Durable.restore(records).state == state("z-1", "z-new")


def test_entries_that_a_snapshot_holds_already_are_not_applied_twice():
    records = [
        Vote("s", NEW, None),
        Snapshot(NEW, state("z-1", "z-2")),
        Entry(NEW, 2, Evacuation("z-2", True)),
        Entry(NEW, 3, Evacuation("z-3", True)),
    ]
    assert Durable.restore(records).state == state("z-1", "z-2", "z-3")

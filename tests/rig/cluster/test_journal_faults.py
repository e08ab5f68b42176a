"""A voter's journal on a disk that fails: what the disk says it has is there after a kill, unless it lied."""

from __future__ import annotations

import errno
import itertools

import pytest

from fordtrestle.cluster import messages
from fordtrestle.cluster.messages import Effective, Entry, Meta, Snapshot
from fordtrestle.state.journal import Journal
from rig.cluster.disks import FaultyStore

SEGMENT_BYTES = 600
ROUNDS = 40


def group(number):
    """A vote, an entry, and now and then one written again or a snapshot."""
    first = number - (number // 7) % 2
    entries = tuple(Entry(index, number, Effective(index)) for index in range(first, number + 1))
    snapshot = Snapshot(number - 3, 1, (), 0, ()) if number % 10 == 0 else None
    meta = Meta("d", number, number, "v" * (number % 50))
    return [messages.Store(0, meta), messages.Store(0, snapshot=snapshot), messages.Store(0, entries=entries)]


def opened_at(folder, seed=0):
    made = FaultyStore(folder, seed, "n0", sleep=lambda seconds: None)
    journal = Journal(made, SEGMENT_BYTES)
    return made, journal, journal.open()


def told_until_failure(folder, seed, word, rounds=ROUNDS):
    """The last group that was confirmed, with the fault on after the first 3; a kill follows."""
    made, journal, _ = opened_at(folder, seed)
    confirmed = 0
    try:
        for number in range(1, rounds + 1):
            if number == 4:
                made.begin(word)
            journal.write(group(number))
            confirmed = number
    except OSError:
        with pytest.raises(OSError, match="failed before"):
            journal.write(group(confirmed + 1))
    return confirmed


def standing(opened):
    """Term of the meta, and of the last entry."""
    return opened.meta.term, opened.entries[-1].term if opened.entries else opened.snapshot.index


@pytest.mark.parametrize("word", ["lose", "torn", "eio_once", "eio", "full", "slow"])
def test_what_was_confirmed_is_there_after_a_kill(tmp_path, word):
    failed = 0
    for seed in range(6):
        folder = tmp_path / str(seed)
        confirmed = told_until_failure(folder, seed, word)
        failed += confirmed < ROUNDS
        _, _, opened = opened_at(folder)
        assert opened.whole and not opened.damaged
        assert all(confirmed <= term <= confirmed + 1 for term in standing(opened))
        assert opened.snapshot is None or opened.snapshot.index + 3 <= confirmed + 1
        assert standing(opened_at(folder)[2]) == standing(opened)
    assert bool(failed) == (word not in ("torn", "slow"))


def test_a_disk_that_is_full_at_the_vote_confirms_it_not(tmp_path):
    for seed in range(20):
        made, journal, _ = opened_at(tmp_path / str(seed), seed)
        journal.write([messages.Store(0, Meta("d", 1, 4))])
        made.begin("full")
        with pytest.raises(OSError) as raised:
            journal.write([messages.Store(0, Meta("d", 1, 5, "them"))])
        assert raised.value.errno == errno.ENOSPC
        _, _, opened = opened_at(tmp_path / str(seed))
        assert opened.whole and opened.meta in (Meta("d", 1, 4), Meta("d", 1, 5, "them"))


@pytest.mark.parametrize("word", ["lie", "lost_rename"])
def test_a_disk_that_lied_can_have_gone_back_without_a_trace(tmp_path, word):
    """The journal can't know: this is what asking others about the incarnation is for (`Recovery`)."""
    gone_back = 0
    for seed, rounds in itertools.product(range(10), (6, ROUNDS)):
        folder = tmp_path / f"{seed}-{rounds}"
        assert told_until_failure(folder, seed, word, rounds) == rounds
        _, _, opened = opened_at(folder)
        gone_back += opened.whole and opened.meta.incarnation < rounds
    assert gone_back


def test_a_disk_that_changes_what_is_read_is_not_believed(tmp_path):
    confirmed = told_until_failure(tmp_path, 1, "slow")
    for seed in range(60):
        opened = Journal(FaultyStore(tmp_path, seed, "n0", ["changed"]), SEGMENT_BYTES).read()
        assert not opened.whole or standing(opened) == (confirmed, confirmed)
    assert standing(opened_at(tmp_path)[2]) == (confirmed, confirmed)

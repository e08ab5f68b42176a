"""A voter's journal: what was confirmed is there after anything, or is named as missing; nothing else is."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import threading
from random import Random

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from fordtrestle.cluster import messages
from fordtrestle.cluster.messages import Entry, Meta, Snapshot, Voter, Voters
from fordtrestle.state import journal as journals
from fordtrestle.state import records
from fordtrestle.state.frames import FormatError
from fordtrestle.state.journal import Journal, JournalWriter
from tests.loopback import loopback, until
from tests.state.platter import Platter, PowerCut

SIZES = (0, 5, 100, 700, 1500)


def packed(value):
    return msgspec.msgpack.encode(value)


def store(meta=None, entries=(), snapshot=None, cut=False, token=0):
    return messages.Store(token, meta, tuple(entries), snapshot, cut)


def meta(term=1, disk="d", incarnation=1, voted_for=""):
    return Meta(disk, incarnation, term, voted_for)


def entry(index, term=1, size=0):
    return Entry(index, term, Voters((Voter(f"{index}/{term}", "x" * size),)))


def entries(first, last, term=1, size=0):
    return [entry(index, term, size) for index in range(first, last + 1)]


def snapshot(index, term=1, size=0):
    return Snapshot(index, term, (Voter("c", "x" * size),), 0, ())


def kept(opened):
    return opened.meta, opened.snapshot, opened.entries


NOTHING = (None, None, ())


def base_of(state):
    return state[1].index if state[1] else 0


def steps(state, actions):
    """What stands before any of these, and after each part of them."""
    made = [state]
    for action in actions:
        told, held, log = made[-1]
        if action.meta is not None:
            made.append((action.meta, held, log))
        if action.snapshot is not None:
            index = action.snapshot.index
            left = () if action.cut else tuple(one for one in log if one.index > index)
            made.append((made[-1][0], action.snapshot, left))
        for one in action.entries:
            told, held, log = made[-1]
            made.append((told, held, (*(old for old in log if old.index < one.index), one)))
    return made


def opened_at(disk, segment_bytes=500):
    journal = Journal(disk, segment_bytes)
    return journal, journal.open()


def check(opened, state, known=()):
    """That an answer is right where `state` was confirmed. `known`: entries of before its snapshot."""
    _, _, log = state
    want = {one.index: one for one in (*known, *log)}
    base = opened.snapshot.index if opened.snapshot else 0
    have = {one.index for one in opened.entries}
    assert all(want[one.index] == one for one in opened.entries if one.index > base_of(state))
    missing = set(range(base + 1, (log[-1].index if log else base_of(state)) + 1)) - have
    if opened.whole:
        assert opened.meta == state[0] and not missing
        assert not opened.damaged and opened.doubtful_from is None
    named = {index for first, last in opened.damaged for index in range(first, last + 1)}
    if opened.doubtful_from is not None:
        assert max(have, default=0) < opened.doubtful_from
        named |= {index for index in missing if index >= opened.doubtful_from}
    assert missing <= named
    assert opened.whole or opened.log_lines


# --- power cuts --------------------------------------------------------------------------------------------


@st.composite
def actions_of(draw, state, term):
    """Some actions that may come next."""
    made = []
    for _ in range(draw(st.integers(1, 3))):
        base, log = base_of(state), state[2]
        last = log[-1].index if log else base
        told = Meta("d", 1, term, "v" * draw(st.sampled_from(SIZES))) if draw(st.booleans()) else None
        taken, cut = None, draw(st.booleans())
        if draw(st.integers(0, 3)) == 0 and (cut or last > base):
            index = draw(st.integers(base + 1, last + 4 if cut else last))
            taken = snapshot(index, term, draw(st.sampled_from(SIZES)))
            base, last = index, index if cut else last
        first = draw(st.integers(max(base + 1, last - 3), last + 1))
        count = draw(st.integers(0, 4))
        log = [entry(first + n, term, draw(st.sampled_from(SIZES))) for n in range(count)]
        made.append(store(told, log, taken, cut))
        state = steps(state, made[-1:])[-1]
        term += 1
    return made, term


class PowerCuts(RuleBasedStateMachine):
    """A journal whose power goes before any call. Any of what was not synced may be left, also with holes;
    then the answer may be that it is in doubt."""

    torn = "sectors"

    @initialize(segment_bytes=st.sampled_from((300, 2000, 2**20)))
    def begin(self, segment_bytes):
        self.disk, self.segment_bytes = Platter(), segment_bytes
        self.allowed, self.term, self.incarnation = [NOTHING], 1, 0
        self.reopen()

    def reopen(self):
        self.disk.arm()
        self.journal, opened = opened_at(self.disk, self.segment_bytes)
        assert opened.damaged == ()
        if opened.whole:
            assert kept(opened) in self.allowed
        else:
            assert self.torn == "sectors"
            log = opened.entries
            assert any(log == one[2][: len(log)] for one in self.allowed if one[1] == opened.snapshot)
            self.incarnation += 1
            self.journal.write([store(Meta(f"d{self.incarnation}"))])
            opened = self.journal.read()
            assert opened.whole
        self.allowed = [kept(opened)]

    @rule(data=st.data())
    def write(self, data):
        actions, self.term = data.draw(actions_of(self.allowed[0], self.term))
        self.journal.write(actions)
        self.allowed = steps(self.allowed[0], actions)[-1:]

    @rule(data=st.data(), cut=st.integers(1, 14), seed=st.integers(0, 2**32))
    def write_and_lose_power(self, data, cut, seed):
        actions, self.term = data.draw(actions_of(self.allowed[0], self.term))
        self.disk.arm(cut)
        try:
            self.journal.write(actions)
            self.allowed = steps(self.allowed[0], actions)[-1:]
        except PowerCut:
            self.allowed = steps(self.allowed[0], actions)
        self.lose_power(seed, 0)

    @rule(seed=st.integers(0, 2**32), cut=st.integers(0, 6))
    def lose_power(self, seed, cut):
        rng = Random(seed)
        self.disk = self.disk.after_power_cut(rng, self.torn)
        if cut:
            self.disk.arm(cut)
            try:
                Journal(self.disk, self.segment_bytes).open()
            except PowerCut:
                self.disk = self.disk.after_power_cut(rng, self.torn)
        self.reopen()


class TornEnds(PowerCuts):
    """The same where what is left is a prefix, as of one append it is on most: nothing is ever in doubt."""

    torn = "prefix"


TestPowerCuts = PowerCuts.TestCase
TestTornEnds = TornEnds.TestCase
TestPowerCuts.settings = TestTornEnds.settings = settings(
    max_examples=80, stateful_step_count=12, deadline=None
)

HISTORY = [
    [store(meta(), entries(1, 3))],
    [store(meta(2, voted_for="n"), entries(2, 4, 2, 200))],
    [store(None, entries(5, 6, 2), snapshot(3, 2))],
    [store(meta(3)), store(None, entries(6, 6, 3)), store(None, [], snapshot(5, 3))],
    [store(None, entries(10, 11, 4, 300), snapshot(9, 4), True)],
    [store(None, [], snapshot(10, 4)), store(meta(5), entries(12, 12, 5))],
]


def played(actions=HISTORY, segment_bytes=500):
    """A disk after these, and what stands there."""
    disk, state = Platter(), NOTHING
    journal, _ = opened_at(disk, segment_bytes)
    for group in actions:
        journal.write(group)
        state = steps(state, group)[-1]
    return disk, state


@pytest.mark.parametrize("segment_bytes", [1, 500])
@pytest.mark.parametrize("torn", ["none", "prefix"])
def test_a_power_cut_before_any_call_loses_nothing_confirmed(torn, segment_bytes):
    for seed in range(4):
        rng = Random(seed)
        for at in range(1, len(played(HISTORY, segment_bytes)[0].calls) + 1):
            disk, allowed = interrupted(segment_bytes, cut=at)
            disk = disk.after_power_cut(rng, torn)
            _, opened = opened_at(disk, segment_bytes)
            assert opened.whole and kept(opened) in allowed
            _, again = opened_at(disk.after_power_cut(rng))
            assert kept(again) == kept(opened)


def interrupted(segment_bytes, cut=0, fail=0):
    """A disk on which the history ended at a call, and what may stand there."""
    disk, allowed = Platter(), [NOTHING]
    disk.arm(cut, fail)
    try:
        journal, _ = opened_at(disk, segment_bytes)
        for group in HISTORY:
            allowed = steps(allowed[-1], group)
            journal.write(group)
            allowed = allowed[-1:]
    except (PowerCut, OSError):
        pass
    disk.arm()
    return disk, allowed


@pytest.mark.parametrize("segment_bytes", [500, 2**20])
def test_a_call_that_fails_before_an_opening_that_loses_power_loses_nothing_confirmed(segment_bytes):
    for at in range(1, len(played(HISTORY, segment_bytes)[0].calls) + 1):
        for cut in range(1, 6):
            disk, allowed = interrupted(segment_bytes, fail=at)
            disk.arm(cut)
            with contextlib.suppress(PowerCut):
                opened_at(disk, segment_bytes)
            _, opened = opened_at(disk.after_power_cut(Random(at)))
            assert opened.whole and kept(opened) in allowed


# --- rot ---------------------------------------------------------------------------------------------------


def rotted(disk, name, bit):
    files = disk.files()
    data = bytearray(files[name])
    data[bit // 8] ^= 1 << bit % 8
    return Platter(files | {name: bytes(data)})


def test_a_flipped_bit_anywhere_gives_a_right_answer_now_and_later():
    disk, state = played()
    known = [one for group in HISTORY for action in group for one in action.entries]
    answers = set()
    for name, data in disk.files().items():
        for bit in range(0, 8 * len(data), 5):
            bad = rotted(disk, name, bit)
            journal, opened = opened_at(bad)
            check(opened, state, known)
            answers.add((opened.whole, bool(opened.damaged), opened.doubtful_from is not None))
            again = journal.read()
            assert again.whole == opened.whole and set(again.entries) <= set(opened.entries)
    assert answers >= {(True, False, False), (False, True, False), (False, False, True)}


def bit_of(disk, text):
    """Where a text stands."""
    return next((name, 8 * data.find(text)) for name, data in disk.files().items() if text in data)


def header_of(disk, text):
    """Where the header of the record begins that a text stands in."""
    name, bit = bit_of(disk, text)
    return name, 8 * disk.files()[name].rfind(b"FTJ", 0, bit // 8)


def test_a_confirmed_entry_that_rotted_is_named_and_stays_so_until_it_is_written_again():
    disk, _ = played([[store(meta(), [one])] for one in entries(1, 5)], 2**20)
    bad = rotted(disk, *bit_of(disk, b"3/1"))
    journal, opened = opened_at(bad)
    assert opened.damaged == ((3, 3),) and not opened.whole and opened.doubtful_from is None
    assert [one.index for one in opened.entries] == [1, 2, 4, 5]
    journal, opened = opened_at(bad)
    assert opened.damaged == ((3, 3),)
    journal.write([store(meta(disk="new"), entries(3, 4, 2))])
    _, opened = opened_at(bad.after_power_cut(Random(1)))
    assert opened.whole and opened.entries == (*entries(1, 2), *entries(3, 4, 2))


def test_what_was_superseded_does_not_stand_in_for_what_rotted():
    disk, _ = played(
        [[store(meta(), entries(1, 3))], [store(None, entries(2, 3, 2))], [store(meta(2))]], 2**20
    )
    _, opened = opened_at(rotted(disk, *header_of(disk, b"2/2")))
    assert opened.damaged == ((2, 2),) and opened.entries == (entry(1), entry(3, 2))


def test_a_last_batch_that_rotted_is_in_doubt_until_another_disk_is_named():
    disk, _ = played([[store(meta(), entries(1, 2))], [store(meta(2), entries(3, 5))]], 2**20)
    bad = rotted(disk, *bit_of(disk, b"4/1"))
    journal, opened = opened_at(bad)
    assert (opened.doubtful_from, opened.damaged, opened.whole) == (4, (), False)
    assert opened.entries == tuple(entries(1, 3)) and opened.meta == meta(2)
    journal.write([store(meta(3), entries(4, 4, 3))])
    journal, opened = opened_at(bad)
    assert not opened.whole and opened.entries == (*entries(1, 3), entry(4, 3))
    journal.write([store(meta(3, disk="new"))])
    assert opened_at(bad)[1].whole


@pytest.mark.parametrize("place", [bit_of, header_of])
def test_a_vote_that_rotted_is_not_forgotten_silently(place):
    voted = store(meta(2, voted_for="them"))
    disk, _ = played([[store(meta())], [voted], [store(None, entries(1, 1))]], 2**20)
    _, opened = opened_at(rotted(disk, *place(disk, b"them")))
    assert opened.meta == meta() and not opened.whole


def test_a_start_that_rotted_is_missed():
    disk, _ = played([[store(meta(), entries(1, 2))]], 2**20)
    opened_at(disk, 2**20)
    name, data = next(iter(disk.files().items()))
    for at in (8 * data.rfind(b"2/1"), 8 * data.rfind(b"FTJ")):
        _, opened = opened_at(rotted(disk, name, at))
        assert opened.doubtful_from == 1 and opened.entries == () and not opened.whole


def test_what_is_written_again_after_a_doubt_is_in_doubt_too():
    group = [store(meta(), entries(1, 5)), store(None, entries(4, 5, 2)), store(None, entries(3, 3, 3))]
    disk, _ = played([[store(meta())], group], 2**20)
    _, opened = opened_at(rotted(disk, *bit_of(disk, b"5/2")))
    assert opened.doubtful_from == 3 and opened.entries == tuple(entries(1, 2))


def test_a_doubt_is_over_with_another_disk_also_in_later_files():
    disk, _ = played([[store(meta(), entries(1, 2))]], 2**20)
    bad = rotted(disk, *header_of(disk, b"2/1"))
    journal, opened = opened_at(bad)
    assert opened.doubtful_from == 1
    journal.write([store(meta(disk="new"), entries(1, 2, 2, 600))])
    journal.write([store(None, entries(3, 3, 2))])  # begins a file
    assert len(bad.names()) == 3
    journal, opened = opened_at(bad)
    assert opened.whole and opened.entries == (*entries(1, 2, 2, 600), entry(3, 2))


def test_a_log_that_lost_its_end_is_missed_where_a_snapshot_proves_it():
    disk, _ = played([[store(meta(2), entries(1, 3))], [store(None, [], snapshot(1))]], 2**20)
    (name, data), *_ = disk.files().items()
    for size, left, missing in ((60, [], 2), (len(data) - 100, [], 2), (len(data) - 10, entries(2, 2), 3)):
        _, opened = opened_at(Platter(disk.files() | {name: data[:size]}))
        assert opened.snapshot == snapshot(1) and opened.entries == tuple(left)
        assert opened.damaged == ((missing, missing),) and not opened.whole


def test_a_file_that_turns_up_again_under_a_later_name_counts_for_nothing():
    disk, state = played()
    older = disk.files()[disk.names()[0]]
    _, opened = opened_at(Platter(disk.files() | {"log-0000000000009999": older}))
    assert kept(opened) == state and "out of their order" in "".join(opened.log_lines)


GROUPS = [[store(meta(n), entries(2 * n - 1, 2 * n, n))] for n in range(1, 4)]


def test_every_truncation_leaves_whole_batches_and_the_start_of_one_or_says_so():
    disk, _ = played(GROUPS, 2**20)
    (name, data), allowed = next(iter(disk.files().items())), [NOTHING]
    for group in GROUPS:
        allowed += steps(allowed[-1], group)[1:]
    found = [kept(opened_at(Platter({name: data[:size]}))[1]) for size in range(len(data) + 1)]
    assert sorted(map(allowed.index, found)) == list(map(allowed.index, found))
    assert found[-1] == allowed[-1]


def test_a_file_that_is_gone_from_the_middle_is_missed():
    disk, _ = played([[store(meta(n), entries(n, n, 1, 300))] for n in range(1, 6)])
    files = disk.files()
    del files[disk.names()[2]]
    _, opened = opened_at(Platter(files))
    assert opened.damaged and not opened.whole


# --- snapshots ---------------------------------------------------------------------------------------------


def test_of_two_snapshots_the_older_one_with_the_log_gives_the_same():
    disk, state = played([*HISTORY, [store(None, entries(13, 13, 5), snapshot(11, 5))]])
    names = [name for name in disk.names() if name.startswith("snapshot")]
    assert len(names) == 2
    _, opened = opened_at(rotted(disk, names[-1], 700))
    assert opened.snapshot == snapshot(10, 4) and opened.whole and names[-1] in opened.log_lines[0]
    assert opened.entries == (entry(11, 4, 300), *entries(12, 13, 5))
    _, opened = opened_at(rotted(rotted(disk, names[-1], 700), names[0], 700))
    assert opened.snapshot is None and not opened.whole and opened.damaged[0][0] == 1
    assert kept(opened_at(disk)[1]) == state


def test_of_one_snapshot_the_whole_log_is_kept():
    disk, _ = played(
        [*([store(meta(n), entries(n, n, 1, 300))] for n in range(1, 5)), [store(None, [], snapshot(4))]]
    )
    _, opened = opened_at(rotted(disk, disk.names()[-1], 200))
    assert opened.whole and opened.snapshot is None and opened.entries == tuple(entries(1, 4, 1, 300))


BEFORE = [[store(meta(), entries(1, 6))], [store(None, [], snapshot(2))], [store(meta(2))]]
CUTTING = [store(None, entries(6, 6, 9), snapshot(5, 9), True)]


def test_what_a_snapshot_cut_does_not_come_back_though_the_snapshot_rots():
    for at in range(1, 12):
        disk, state = played(BEFORE)
        journal, _ = opened_at(disk)
        disk.arm(at)
        try:
            journal.write(CUTTING)
        except PowerCut:
            disk = disk.after_power_cut(Random(at))
        disk.arm()
        opened = opened_at(disk)[1]
        assert kept(opened) in steps(state, CUTTING)
        if opened.snapshot == snapshot(5, 9):
            _, opened = opened_at(rotted(disk, disk.names()[-1], 200))
            assert not opened.whole and opened.snapshot == snapshot(2)
            assert all(one.term == 9 for one in opened.entries)


def test_nor_though_the_record_that_tells_of_it_rots_too():
    disk, _ = played([*BEFORE, CUTTING, [store(meta(3))]])
    bad = rotted(rotted(disk, disk.names()[-1], 200), *bit_of(disk, b"FTJ\x01\x04"))
    _, opened = opened_at(bad)
    assert not opened.whole and all(one.term == 9 for one in opened.entries)


def test_nor_where_the_file_that_would_tell_of_it_was_cut_short():
    disk, state = played([*BEFORE, CUTTING], 1)
    name, _ = bit_of(disk, b"FTJ\x01\x04")
    for size in range(len(disk.files()[name])):
        _, opened = opened_at(Platter(disk.files() | {name: disk.files()[name][:size]}))
        assert opened.whole and kept(opened) in ((meta(2), snapshot(5, 9), ()), state)


def test_what_an_opening_wrote_again_is_kept_by_snapshots():
    disk = Platter()
    journal, _ = opened_at(disk, 1)
    journal.write([store(meta(), entries(1, 3))])
    opened_at(disk, 1)[0].write([store(meta(2))])
    journal, _ = opened_at(disk, 1)
    for index in (1, 2):
        journal.write([store(None, [], snapshot(index))])
        journal.write([store(meta(index + 2))])
    assert kept(opened_at(disk)[1]) == (meta(4), snapshot(2), (entry(3),))


def test_what_a_crash_left_of_a_snapshot_goes():
    disk, _ = played()
    left = Platter(disk.files() | {"snapshot-0000000000000777.tmp": b"half of"})
    opened_at(left)
    assert not [name for name in left.names() if name.endswith(".tmp")]


def test_the_log_goes_with_snapshots_and_stays_bounded():
    disk = Platter()
    journal, _ = opened_at(disk)
    for index in range(1, 200):
        journal.write([store(meta(index), [entry(index, 1, 100)])])
        if index % 10 == 0:
            journal.write([store(None, [], snapshot(index))])
    assert len(disk.names()) < 40 and sum(map(len, disk.files().values())) < 20_000
    _, opened = opened_at(disk.after_power_cut(Random(1)))
    assert kept(opened) == (meta(199), snapshot(190), tuple(entries(191, 199, 1, 100)))


def test_a_full_log_takes_a_snapshot_and_then_entries_again():
    journal = Journal(Platter(), 500, 2000)
    journal.open()
    last = 0
    with pytest.raises(OSError, match="more than 2000") as raised:
        while True:
            journal.write([store(None, [entry(last + 1, 1, 100)])])
            last += 1
    assert raised.value.errno == errno.ENOSPC
    journal.write([store(meta(), [], snapshot(last - 1)), store(meta(2), [], snapshot(last))])
    journal.write([store(None, entries(last + 1, last + 3, 1, 100))])


# --- three answers -----------------------------------------------------------------------------------------


def test_an_empty_folder_a_damaged_one_and_another_version_are_told_apart():
    assert kept(opened_at(Platter({"life": b"1", "list-a": b""}))[1]) == NOTHING
    assert opened_at(Platter())[1].whole
    disk, _ = played()
    gone = {name: data for name, data in disk.files().items() if name.startswith("snapshot")}
    for left in (gone, {max(gone): b""}):
        opened = opened_at(Platter(left))[1]
        assert opened.meta is None and not opened.whole
    name = max(gone)
    for raw in (packed([1, "two"]), packed({"other": 1})):
        with pytest.raises(FormatError, match=rf"^{name}: no snapshot of this format: [^\n]+$"):
            opened_at(Platter(gone | {name: records.seal(raw)}))


def test_a_snapshot_of_another_version_is_refused_and_a_flipped_one_is_not(monkeypatch):
    disk, _ = played()
    name = max(name for name in disk.names() if name.startswith("snapshot"))
    with monkeypatch.context() as patch:
        patch.setattr(records, "FORMAT", 2)
        raw = records.seal(b"x")
    with pytest.raises(FormatError, match="format version 2"):
        opened_at(Platter(disk.files() | {name: raw}))
    assert opened_at(rotted(disk, name, 8 * 11))[1].snapshot != snapshot(10, 4)


# --- calls -------------------------------------------------------------------------------------------------


def test_a_vote_and_entries_cost_one_sync():
    disk, _ = played(HISTORY[:1])
    journal, _ = opened_at(disk, 2**20)
    calls = len(disk.calls)
    voted = store(meta(2, voted_for="n"), entries(4, 6))
    journal.write([voted, store(meta(3)), store(None, entries(6, 9, 3))])
    assert [call.split()[0] for call in disk.calls[calls:]] == ["append", "sync"]


def test_a_failed_sync_is_the_end_and_what_it_was_for_is_written_again_at_the_next_opening():
    for fail in (1, 2):
        disk, state = played(HISTORY[:1])
        journal, _ = opened_at(disk)
        disk.arm(fail=fail)
        with pytest.raises(OSError, match="Input/output error"):
            journal.write(HISTORY[1])
        calls = len(disk.calls)
        with pytest.raises(OSError, match="failed before"):
            journal.write(HISTORY[1])
        assert len(disk.calls) == calls
        _, opened = opened_at(disk)  # of a new process, which reads what the kernel dropped
        assert kept(opened) in steps(state, HISTORY[1])
        assert kept(opened_at(disk.after_power_cut(Random(1)))[1]) == kept(opened)


def test_entries_that_leave_a_gap_are_refused_before_anything_is_written():
    disk, _ = played()
    journal, _ = opened_at(disk)
    calls = len(disk.calls)
    for bad in ([entry(14, 6)], [entry(10, 6)], [entry(13, 6), entry(15, 6)]):
        with pytest.raises(ValueError):
            journal.write([store(meta(9), bad)])
    with pytest.raises(ValueError):
        journal.write([store(meta(9), [], snapshot(9))])
    assert len(disk.calls) == calls
    journal.write([store(None, entries(11, 13, 6))])


def test_an_older_folder_can_not_be_told_but_by_its_life():
    disk, _ = played([[store(meta(incarnation=1))]])
    older = Platter(disk.files())
    journal, _ = opened_at(disk)
    journal.write([store(meta(7, incarnation=2, voted_for="them"))])
    opened = opened_at(older)[1]
    # What others remember of incarnation 2 will tell.
    assert opened.whole and opened.meta == meta(incarnation=1)


# --- in a thread -------------------------------------------------------------------------------------------


class Slow(Platter):
    """Its first sync of `held` waits."""

    def __init__(self):
        super().__init__()
        self.hold, self.held, self.free = False, threading.Event(), threading.Event()

    def sync(self, name):
        if self.hold:
            self.hold = False
            self.held.set()
            assert self.free.wait(30.0)
        super().sync(name)


def desk():
    """A journal's writer that is busy with action 1, and what it told."""
    told, disk = [], Slow()
    made = JournalWriter(
        asyncio.get_running_loop(),
        Journal(disk),
        lambda token: told.append(token),
        lambda token, why: told.append((token, why)),
    )
    assert made.open(30.0).whole
    disk.hold = True
    made.submit(store(meta(), token=1))
    assert disk.held.wait(30.0)
    return made, disk, told


@loopback
async def test_what_waits_is_written_together_and_told_in_order():
    made, disk, told = desk()
    for token in range(2, 100):
        made.submit(store(meta(token), [entry(token - 1, token)], token=token))
    calls = len(disk.calls)
    disk.free.set()
    await until(lambda: len(told) == 99)
    assert told == list(range(1, 100))
    assert sum(call.startswith("sync") for call in disk.calls[calls:]) == 1 + 2
    assert made.close(30.0)
    opened = Journal(Platter(disk.files())).open()
    assert opened.meta == meta(99) and [one.term for one in opened.entries] == list(range(2, 100))


@loopback
async def test_a_failure_is_told_to_all_for_good():
    made, disk, told = desk()
    for token in (2, 3):
        made.submit(store(meta(token), token=token))
    disk.arm(fail=2)  # after the sync that is waited for
    disk.free.set()
    await until(lambda: len(told) == 3)
    made.submit(store(meta(4), token=4))
    await until(lambda: len(told) == 4)
    assert told == [1, *((token, "Input/output error") for token in (2, 3, 4))]
    assert made.close(30.0)


@loopback
async def test_the_queue_is_bounded_and_closing_writes_no_more(monkeypatch):
    monkeypatch.setattr(journals, "QUEUED_MOST", 2)
    made, disk, told = desk()
    for token in (2, 3, 4):
        made.submit(store(meta(token), token=token))
    disk.free.set()
    await until(lambda: len(told) == 4)
    assert sorted(told[:3]) == [(token, "more than 2 actions wait to be written") for token in (2, 3, 4)]
    assert told[3] == 1 and made.close(30.0)
    other, disk, told = desk()
    other.submit(store(meta(2), token=2))
    disk.free.set()
    assert other.close(30.0)
    await until(lambda: len(told) == 2)
    assert told == [1, (2, "the store is closed")]


@loopback
async def test_a_journal_of_another_version_is_told_through_the_thread():
    disk = Platter({"snapshot-0000000000000001": records.seal(b"x")})
    made = JournalWriter(asyncio.get_running_loop(), Journal(disk), print, print)
    with pytest.raises(FormatError, match="no snapshot"):
        made.open(30.0)
    assert made.close(30.0)

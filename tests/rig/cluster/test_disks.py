"""What a faulty disk leaves behind: probes killed at given points, and a model of strict POSIX."""

from __future__ import annotations

import errno
import itertools
import json
import os
import select
import subprocess
import sys
import tempfile
import threading
from contextlib import ExitStack, contextmanager, suppress
from pathlib import Path
from unittest import mock

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from rig.cluster import disks
from rig.cluster.disks import FaultyStore
from rig.cluster.schedules import WRITES
from rig.helper import ROOT

WAIT_S = 20.0
PROBE = """
import json, sys, time
from pathlib import Path
from rig.cluster.disks import FaultyStore

def say(what):
    print(json.dumps(what), flush=True)

def stall(seconds):
    say(["stalls", seconds])
    time.sleep(seconds)

store = FaultyStore(Path(sys.argv[1]), int(sys.argv[2]), "n0", slow_ms=60_000.0, sleep=stall)
say("ready")
for line in sys.stdin:
    call, *args = json.loads(line)
    try:
        if call == "snapshots":
            for number in range(1, 100_000):
                store.remove("tmp")
                store.append("tmp", b"%d " % number * 3000)
                store.sync("tmp")
                store.replace("tmp", "state")
                store.sync_folder()
                say(number)
        if call == "append":
            args[1] = args[1].encode("latin-1")
        answer = getattr(store, call)(*args)
        say(answer.decode("latin-1") if isinstance(answer, bytes) else answer)
    except OSError as error:
        say(["error", error.errno])
"""
EIO, ENOSPC = ["error", errno.EIO], ["error", errno.ENOSPC]


class Probe:
    """Process with a store, called by one line per call; `kill` ends it at once by SIGKILL."""

    def __init__(self, folder, seed=1):
        self.folder = folder
        self._process = subprocess.Popen(
            [sys.executable, "-c", PROBE, str(folder), str(seed)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            bufsize=0,
            cwd=ROOT,
        )
        assert self.answer() == "ready"

    def __enter__(self):
        return self

    def __exit__(self, *_):
        if self._process.returncode is None:
            self.kill()

    def tell(self, *call):
        self._process.stdin.write(json.dumps(call).encode() + b"\n")

    def answer(self):
        assert select.select([self._process.stdout], [], [], WAIT_S)[0], "the probe says nothing"
        return json.loads(self._process.stdout.readline())

    def ask(self, *call):
        self.tell(*call)
        return self.answer()

    def play(self, calls):
        assert [self.ask(*call) for call in calls] == [None] * len(calls)

    def kill(self):
        """Kill the process; return what the folder holds and the lines that were not read."""
        self._process.kill()
        unheard = self._process.stdout.read().split(b"\n")[:-1]
        self._process.wait(WAIT_S)
        for pipe in (self._process.stdin, self._process.stdout):
            pipe.close()
        return held(self.folder), [json.loads(line) for line in unheard]


def held(folder):
    return {path.name: path.read_bytes() for path in folder.iterdir() if not path.name.startswith(".")}


OLD = [("append", "a", "old"), ("sync", "a"), ("sync_folder",)]


@contextmanager
def probe(folder, word="", seed=1):
    """Run a probe whose file `a` is durably "old", with a fault active."""
    with Probe(folder, seed) as made:
        made.play(OLD)
        if word:
            made.ask("begin", word)
        yield made


# --- each instant and each fault, by SIGKILL -----------------------------------------------------

LAST = {
    "between write and sync": ([("append", "a", "+")], {"a": b"old"}),
    "after a sync": ([("append", "a", "+"), ("sync", "a")], {"a": b"old+"}),
    "a new file's name": ([("append", "b", "+"), ("sync", "b")], {"a": b"old"}),
    "between replace and sync_folder": (
        [("append", "b", "+"), ("sync", "b"), ("sync_folder",), ("replace", "b", "a")],
        {"a": b"old", "b": b"+"},
    ),
    "after remove": ([("remove", "a")], {"a": b"old"}),
    "after a file that took a name went": (
        [
            ("append", "b", "+"),
            ("replace", "b", "a"),
            ("replace", "a", "c"),
            ("remove", "c"),
            ("sync_folder",),
        ],
        {},
    ),
    "after remove and sync_folder": ([("remove", "a"), ("sync_folder",)], {}),
}


@pytest.mark.parametrize("instant", LAST)
def test_a_kill_keeps_what_was_synced_and_no_more(tmp_path, instant):
    calls, left = LAST[instant]
    with probe(tmp_path) as made:
        made.play(calls)
        assert made.kill()[0] == left


def test_lose_drops_bytes_silently_and_only_one_sync_reports_it(tmp_path):
    with probe(tmp_path) as made:
        made.play([("append", "a", "new")])
        made.ask("begin", "lose")
        assert made.ask("read", "a", 9) in ("old", "old\0\0\0")
        assert made.ask("sync", "a") == EIO
        assert made.ask("sync", "a") is None
        assert made.kill()[0]["a"] in (b"old", b"old\0\0\0")


def test_torn_leaves_part_of_what_was_never_synced(tmp_path):
    text = "0123456789abcdef" * 125
    with probe(tmp_path, "torn") as made:
        made.play([("append", "a", text)])
        assert made.ask("read", "a", 9999) == "old" + text
        left = made.kill()[0]["a"]
    whole = b"old" + text.encode()
    assert b"old" != left != whole
    assert left[:3] == b"old"
    assert all(byte in (0, whole[at]) for at, byte in enumerate(left))


def test_a_lie_reports_bytes_as_synced_and_a_kill_loses_them(tmp_path):
    with probe(tmp_path, "lie") as made:
        made.play([("append", "a", "+"), ("sync", "a"), ("sync_folder",)])
        assert made.ask("read", "a", 9) == "old+"
        assert made.kill()[0] == {"a": b"old"}


def test_after_a_failed_sync_the_next_one_succeeds_with_the_bytes_gone(tmp_path):
    seed = next(n for n in range(99) if disks.random.Random(f"{n}/disk/n0/eio_once").random() < 1 / 3)
    with probe(tmp_path, seed=seed) as made:
        made.play([("append", "a", "new")])
        made.ask("begin", "eio_once")
        assert made.ask("sync", "a") == EIO
        assert made.ask("sync", "a") is None
        assert made.ask("read", "a", 9) in ("old", "old\0\0\0")
        made.play([("append", "b", "+"), ("sync", "b"), ("sync_folder",)])
        left = made.kill()[0]
    assert left["a"] in (b"old", b"old\0\0\0")
    assert left["b"] == b"+"


def test_eio_fails_each_call_and_drops_what_was_not_synced(tmp_path):
    with probe(tmp_path) as made:
        made.play([("replace", "a", "c"), ("sync_folder",), ("append", "c", "new"), ("append", "b", "new")])
        made.ask("begin", "eio")
        for call in (("append", "c", "x"), ("read", "c", 9), ("names",), ("replace", "c", "d")):
            assert made.ask(*call) == EIO
        for call in (("remove", "c"), ("sync", "c"), ("sync_folder",)):
            assert made.ask(*call) == EIO
        made.ask("end", "eio")
        assert made.ask("names") == ["c"]
        assert made.ask("sync", "c") is None
        assert made.ask("sync_folder") is None
        left = made.kill()[0]
    assert list(left) == ["c"]
    assert left["c"].rstrip(b"\0") == b"old"


def test_full_writes_part_and_fails(tmp_path):
    with probe(tmp_path, "full") as made:
        assert made.ask("append", "a", "+" * 99) == ENOSPC
        stands = made.ask("read", "a", 999)
        assert 3 < len(stands) < 102
        assert made.ask("sync", "a") is None
        assert made.kill()[0] == {"a": stands.encode()}


def test_a_kill_during_a_stalled_sync_loses_its_bytes(tmp_path):
    with probe(tmp_path, "slow") as made:
        made.play([("append", "a", "+")])
        made.tell("sync", "a")
        word, seconds = made.answer()
        assert word == "stalls"
        assert 30.0 <= seconds <= 90.0
        assert made.kill()[0] == {"a": b"old"}


def test_changed_flips_a_bit_or_returns_the_previous_version_also_in_the_next_life(tmp_path):
    with probe(tmp_path) as made:
        made.play([("append", "b", "new"), ("sync", "b"), ("replace", "b", "a"), ("sync_folder",)])
        made.kill()
    with Probe(tmp_path) as made:
        made.ask("begin", "changed")
        came = {made.ask("read", "a", 9).encode("latin-1") for _ in range(20)}
        assert made.kill()[0] == {"a": b"new"}
    assert b"old" in came
    assert b"new" not in came
    for other in came - {b"old"}:
        assert (int.from_bytes(other, "big") ^ int.from_bytes(b"new", "big")).bit_count() == 1


def test_a_lost_rename_is_visible_until_the_kill(tmp_path):
    with probe(tmp_path, "lost_rename") as made:
        made.play([("append", "b", "new"), ("sync", "b"), ("replace", "b", "a"), ("sync_folder",)])
        assert made.ask("read", "a", 9) == "new"
        assert made.ask("names") == ["a"]
        assert made.kill()[0]["a"] == b"old"


# --- a writer of snapshots -----------------------------------------------------------------------


def snapshot(text):
    return [
        ("remove", "tmp"),
        ("append", "tmp", text),
        ("sync", "tmp"),
        ("replace", "tmp", "a"),
        ("sync_folder",),
    ]


def losses(folder, leave_out=""):
    """Kill a writer after each of its calls; return the calls after which no valid version is left."""
    calls = [call for call in snapshot("new") if call[0] != leave_out]
    found = []
    for count in range(len(calls) + 1):
        with probe(folder / str(count)) as made:
            made.play(calls[:count])
            left = made.kill()[0].get("a")
        if left != b"new" and (left != b"old" or count == len(calls)):
            found.append((calls[count - 1][0], left))
    return found


def test_a_snapshot_survives_a_kill_between_any_two_calls(tmp_path):
    assert losses(tmp_path) == []


@pytest.mark.parametrize(("leave_out", "left"), [("sync", b""), ("sync_folder", b"old")])
def test_a_snapshot_that_leaves_out_a_sync_is_caught(tmp_path, leave_out, left):
    assert losses(tmp_path, leave_out)[-1][1] == left


@pytest.mark.parametrize("word", ["", "torn"])
def test_a_snapshot_survives_kills_at_any_instant(tmp_path, word):
    for number in range(4):
        with Probe(tmp_path / str(number), number) as made:
            if word:
                made.ask("begin", word)
            made.tell("snapshots")
            while made.answer() < 10 + 7 * number:
                pass
            left, unheard = made.kill()
        there = int(left["state"].split()[0])
        assert left["state"] == b"%d " % there * 3000
        assert there >= max([10 + 7 * number, *unheard])


# --- in one process ------------------------------------------------------------------------------


def played(folder, seed):
    """Return the results of calls under all faults but the slow one, errors included, and what is left."""
    store, results = FaultyStore(folder, seed, "n0"), []
    for number, word in enumerate([*WRITES, *WRITES, "", ""]):
        if word not in ("", "slow"):
            (store.begin if number < len(WRITES) else store.end)(word)
        for call, *args in [("read", "a", 9999), *snapshot(bytes([number]) * 1500), ("names",)]:
            try:
                results.append(getattr(store, call)(*args))
            except OSError as error:
                results.append(error.errno)
    return results, held(folder), store.counters()


def test_the_same_seed_and_calls_meet_the_same_faults(tmp_path):
    one, two, other = (played(tmp_path / name, seed) for name, seed in (("1", 5), ("2", 5), ("3", 6)))
    assert one == two
    assert one[:2] != other[:2]
    assert set(one[2].faults) == set(WRITES) - {"slow"}


def test_a_stall_holds_no_lock_and_its_length_is_drawn(tmp_path):
    seen = []

    def sleep(seconds):
        thread = threading.Thread(target=lambda: (store.begin("lie"), seen.append(store.counters())))
        thread.start()
        thread.join(WAIT_S)
        stalls.append(seconds)

    stalls = []
    store = FaultyStore(tmp_path, 1, "n0", faults=["slow"], sleep=sleep)
    store.append("a", b"x")
    store.sync("a")
    store.sync_folder()
    assert len(seen) == 2
    assert len(set(stalls)) == 2
    assert all(1.5 <= stall <= 4.5 for stall in stalls)
    counters = store.counters()
    assert (counters.appends, counters.syncs, counters.written_bytes) == (1, 2, 1)
    assert counters.faults == {"slow": 2, "lie": 1}


def test_memory_and_names_are_bounded_and_bad_names_refused(tmp_path, monkeypatch):
    monkeypatch.setattr(disks, "MAX_HELD_BYTES", 100)
    monkeypatch.setattr(disks, "MAX_NAMES", 3)
    store = FaultyStore(tmp_path, 1, "n0")
    store.append("a", bytes(100))
    for name in ("a", "b"):
        with pytest.raises(OSError, match="No space"):
            store.append(name, b"x")
    store.sync("a")
    store.sync_folder()
    for name in ("b", "c"):
        store.append(name, b"x")
    with pytest.raises(OSError, match="No space"):
        store.append("d", b"x")
    for _ in range(500):  # files created and removed between two syncs of the folder use up no names
        store.replace("c", "b")
        store.append("c", b"x")
    with pytest.raises(OSError, match="No space"):
        for name, other in [("a", "e"), ("e", "a")] * 2:
            store.replace(name, other)
    with pytest.raises(OSError, match="too large"):
        store.read("b", 0)
    for name in ("", ".a", "a/b", "x" * 129, "é"):
        with pytest.raises(ValueError, match="plain name"):
            store.append(name, b"x")
    with pytest.raises(ValueError, match="writes"):
        store.begin("gone")


# --- against a model of strict POSIX -------------------------------------------------------------


class File:
    def __init__(self, data=b""):
        self.data, self.synced = data, len(data)

    def may_be(self, left):
        """Return whether a crash may leave these bytes: all synced ones, others as written or zero."""
        if left == self.data[: len(left)]:
            return len(left) >= self.synced
        return (
            left[: self.synced] == self.data[: self.synced]
            and len(left) <= len(self.data)
            and all(byte in (0, self.data[at]) for at, byte in enumerate(left))
        )


class Killed(BaseException):
    """Stands for a SIGKILL during a change of the platter."""


@contextmanager
def killed_at(change):
    """Die at the n-th change of the real folder, with half of a write done; -1: never."""
    left = itertools.count(change, -1)

    def dies(real):
        def call(*args, **kwargs):
            if next(left) == 0:
                if real is os_pwrite:
                    real(args[0], args[1][: len(args[1]) // 2], args[2])
                raise Killed
            return real(*args, **kwargs)

        return call

    os_pwrite = os.pwrite
    with ExitStack() as stack:
        for name in ("pwrite", "replace", "unlink", "link") if change >= 0 else ():
            stack.enter_context(mock.patch.object(os, name, dies(getattr(os, name))))
        yield


NAMES = st.sampled_from(["a", "b", "c"])
KILLS = st.sampled_from([-1] * 12 + [0, 1, 2, 3])
DURING = st.sampled_from([-1] * 4 + [0, 1, 2, 3])  # for calls that mostly change the folder


@pytest.mark.parametrize("word", ["", "torn"])
@pytest.mark.parametrize(
    ("calls", "new"), [(snapshot(b"new"), b"new"), ([("append", "a", b"+"), ("sync", "a")], b"old+")]
)
def test_a_kill_during_any_change_of_the_folder_leaves_one_complete_version(tmp_path, word, calls, new):
    for change in range(99):
        store, lived = FaultyStore(tmp_path / str(change), change, "n0"), False
        for call, *args in snapshot(b"old"):
            getattr(store, call)(*args)
        if word:
            store.begin(word)
        with suppress(Killed), killed_at(change):
            for call, *args in calls:
                getattr(store, call)(*args)
            lived = True
        left = held(tmp_path / str(change))["a"]
        assert left == new or (left == b"old" and not lived) or (word and left == b"old\0")
        if lived:
            break
    assert lived
    assert change >= 1


class Posix(RuleBasedStateMachine):
    """The store beside a model: which names and bytes a crash may leave."""

    def __init__(self):
        super().__init__()
        self.place = tempfile.TemporaryDirectory()
        self.folder = Path(self.place.name)
        self.start()

    def teardown(self):
        self.crash()
        self.place.cleanup()

    def start(self):
        self.store = FaultyStore(self.folder, 1, "n0")
        self.down = {name: File(data) for name, data in held(self.folder).items()}
        self.seen = dict(self.down)
        self.changes = []  # (old name or "", new name or "", file), since the last sync of the folder

    def tables(self):
        """All tables of names that a crash may leave: any of the changes may be down."""
        for picks in itertools.product((False, True), repeat=len(self.changes)):
            table = dict(self.down)
            for old, new, file in itertools.compress(self.changes, picks):
                if table.get(old) is file:
                    del table[old]
                if new:
                    table[new] = file
            yield table

    def change(self, old, new, file):
        self.changes.append((old, new, file))
        self.seen.pop(old, None)
        if new:
            self.seen[new] = file

    @rule()
    def crash(self):
        self.check()
        self.start()

    @invariant()
    def check(self):
        """The folder is at any time what a kill leaves."""
        left = held(self.folder)
        assert any(
            table.keys() == left.keys() and all(file.may_be(left[name]) for name, file in table.items())
            for table in self.tables()
        ), (left, self.changes)

    @rule(on=st.booleans())
    def tear(self, on):
        (self.store.begin if on else self.store.end)("torn")

    @rule(name=NAMES, size=st.integers(0, 1500), first=st.integers(1, 255), kill=KILLS)
    def append(self, name, size, first, kill):
        data = bytes((first + at) % 256 for at in range(size))
        if name not in self.seen:
            self.change("", name, File())
        self.seen[name].data += data
        self.run(kill, "append", name, data)

    @rule(name=NAMES, kill=DURING)
    def sync(self, name, kill):
        if name in self.seen and self.run(kill, "sync", name):
            self.seen[name].synced = len(self.seen[name].data)

    @rule(kill=DURING)
    def sync_folder(self, kill):
        if self.run(kill, "sync_folder"):
            self.down, self.changes = dict(self.seen), []

    @rule(name=NAMES, other=NAMES, kill=KILLS)
    def replace(self, name, other, kill):
        if name in self.seen and name != other:
            self.change(name, other, self.seen[name])
            self.run(kill, "replace", name, other)

    @rule(name=NAMES, kill=KILLS)
    def remove(self, name, kill):
        if name in self.seen:
            self.change(name, "", self.seen[name])
        self.run(kill, "remove", name)

    def run(self, kill, call, *args):
        """Whether it lived to the call's end."""
        try:
            with killed_at(kill):
                getattr(self.store, call)(*args)
        except Killed:
            self.crash()
            return False
        assert self.store.names() == sorted(self.seen)
        assert {name: self.store.read(name, 99_999) for name in self.seen} == {
            name: file.data for name, file in self.seen.items()
        }
        if len(self.changes) > 5 and call != "sync_folder":  # `tables` doubles with each
            self.sync_folder(-1)
        return True


TestPosix = Posix.TestCase
TestPosix.settings = settings(max_examples=200, stateful_step_count=30, deadline=None, derandomize=True)

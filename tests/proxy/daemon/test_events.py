"""Events as lines in a file: numbered, bounded, and never in the way of the process."""

from __future__ import annotations

import asyncio
import json
import threading

import pytest

from fordtrestle.proxy.daemon import append_file
from fordtrestle.proxy.daemon import events as module
from fordtrestle.proxy.daemon.events import Events
from rig.cluster.history import gaps, parse
from tests.loopback import loopback, until


def opened(path, most=10_000):
    return Events(asyncio.get_running_loop(), str(path), most, "n0", lambda: 12.5)


def act(events, call="c"):
    events.acted("list:a", 1, "d", "pick", call, "s0", 0, "e")


def lines(path):
    return [json.loads(row) for row in path.read_text().splitlines()]


@loopback
async def test_each_event_is_a_line_that_the_rig_reads_and_numbers_have_no_gap(tmp_path):
    events = opened(tmp_path / "e")
    events.started(3)
    events.learned("settings:a", 0, "d", "file")
    events.learned("list:a", 1, "d", "all", {"s0": "active/0"})
    act(events)
    events.stored("list:a", 1, "d")
    events.unstored("list:a", "it broke")
    events.draining()
    events.ended()
    act(events)
    rows = lines(tmp_path / "e")
    kinds = "started learned learned acted stored unstored draining ended"
    assert [row["event"] for row in rows] == kinds.split()
    assert [row["number"] for row in rows] == list(range(1, 9))
    assert {(row["node"], row["at_ms"]) for row in rows} == {("n0", 12_500.0)}
    assert ("entries" in rows[1], rows[2]["entries"]) == (False, {"s0": "active/0"})
    assert rows[3] | {"what": "pick", "call": "c", "server": "s0", "hop": 0, "settings": "e"} == rows[3]
    assert rows[7]["clean"] is True
    assert events.dropped == 1
    told = list(parse((tmp_path / "e").read_bytes(), "e"))
    assert [type(event).__name__.lower() for event in told] == kinds.split()
    assert not gaps(told)


@loopback
async def test_a_refusal_tells_its_cause_and_an_attempt_none(tmp_path):
    events = opened(tmp_path / "e")
    events.started(1)
    act(events)
    events.acted("list:a", 1, "d", "refusal", "c", "", 0, "e", "cold")
    events.ended()
    _, attempt, refusal, _ = lines(tmp_path / "e")
    assert "cause" not in attempt
    assert (refusal["what"], refusal["cause"]) == ("refusal", "cold")
    assert not gaps(list(parse((tmp_path / "e").read_bytes(), "e")))


@loopback
async def test_a_line_is_there_soon_and_what_must_outlive_a_kill_at_once(tmp_path, monkeypatch):
    path = tmp_path / "e"
    events = opened(path, 2**20)
    act(events)
    await until(lambda: path.read_text().endswith("\n"))
    monkeypatch.setattr(module, "FLUSH_INTERVAL_S", 3600.0)
    act(events, "late")
    events.draining()
    await until(lambda: path.read_text().count("\n") == 3)
    for _ in range(2 * module.MAX_BUFFERED_BYTES // 100):
        act(events)
    await until(lambda: path.stat().st_size > module.MAX_BUFFERED_BYTES // 2)
    assert len(events._buffer) <= module.MAX_BUFFERED_BYTES
    events.ended()


@loopback
async def test_past_its_most_nothing_is_written_and_all_is_counted(tmp_path, capsys):
    """Guards against a number that is missing in the midst, and against a shorter line that still fits."""
    path = tmp_path / "e"
    for life in (1, 2):
        events = opened(path, 1000)
        events.started(life)
        for number in range(20):
            act(events, "c" * 100 if number % 2 else "c")
        events.ended()
    await asyncio.sleep(0)  # lines of the log come in the next turn
    rows = lines(path)
    numbers = [row["number"] for row in rows]
    again = numbers.index(1, 1)  # what little room there was
    assert path.stat().st_size <= 1000
    assert [rows[0]["life"], rows[again]["life"]] == [1, 2]
    assert numbers == [*range(1, again + 1), *range(1, len(rows) - again + 1)]
    assert events.dropped == 22 - (len(rows) - again)
    said = sorted(capsys.readouterr().err.splitlines())
    assert len(said) == 4
    assert f"events {path}: {22 - again} events were not written" in said


@loopback
async def test_a_full_disk_is_one_line_and_no_event_after_it_matters(capsys):
    events = opened("/dev/full")
    events.draining()
    await until(lambda: events._file.has_failed)
    for _ in range(3):
        act(events)
    events.ended()
    said = capsys.readouterr().err.splitlines()
    assert [row.split(": ")[1] for row in said] == [
        "No space left on device; no more events are written",
        "4 events were not written",
    ]


@loopback
async def test_a_disk_that_stands_holds_up_nobody_and_ends_the_events(tmp_path, monkeypatch, capsys):
    stands = threading.Event()
    real = append_file.AppendFile._append
    monkeypatch.setattr(append_file.AppendFile, "_append", lambda *args: (stands.wait(), real(*args)))
    monkeypatch.setattr(append_file, "MAX_QUEUED_BYTES", 1000)
    events = opened(tmp_path / "e")
    for _ in range(20):
        events.draining()
    assert events._file._queued_bytes <= 1000
    assert events.dropped
    stands.set()
    events.ended()
    await asyncio.sleep(0)
    assert "too slow" in capsys.readouterr().err


@loopback
async def test_a_line_that_a_kill_left_torn_is_taken_away_before_others_follow(tmp_path):
    path = tmp_path / "e"
    whole = b'{"event":"draining","node":"n0","number":1,"at_ms":1}\n'
    for before in (whole, b"", whole * 3000):
        path.write_bytes(before + b'{"event":"acted","no')
        opened(path, 10**6).ended()
        rows = lines(path)
        assert [row["event"] for row in rows] == ["draining"] * before.count(b"\n") + ["ended"]


@loopback
async def test_a_file_of_something_else_is_left_alone(tmp_path):
    for text in ("[process]", "a\nb"):
        (tmp_path / "e").write_text(text)
        with pytest.raises(OSError, match="not an event file"):
            opened(tmp_path / "e")
        assert (tmp_path / "e").read_text() == text
    with pytest.raises(OSError, match="No such file"):
        opened(tmp_path / "missing" / "e")


@loopback
async def test_what_has_no_form_in_json_is_left_out_and_leaves_no_gap(tmp_path):
    events = opened(tmp_path / "e")
    events.learned("list:a", 1, "d", "all", {"\ud800": "active/0"})
    events.ended()
    assert [(row["event"], row["number"]) for row in lines(tmp_path / "e")] == [("ended", 1)]
    assert events.dropped == 1

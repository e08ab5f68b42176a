"""The event file: its lines are numbered and bounded, and writing them never blocks the process."""

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


def open_events(path, max_bytes=10_000):
    return Events(asyncio.get_running_loop(), str(path), max_bytes, "n0", lambda: 12.5)


def record_action(events, call="c"):
    events.acted("list:a", 1, "d", "pick", call, "s0", 0, "e")


def lines(path):
    return [json.loads(row) for row in path.read_text().splitlines()]


@loopback
async def test_each_event_is_a_line_that_the_rig_can_parse_and_numbers_have_no_gap(tmp_path):
    events = open_events(tmp_path / "e")
    events.started(3)
    events.learned("settings:a", 0, "d", "file")
    events.learned("list:a", 1, "d", "all", {"s0": "active/0"})
    record_action(events)
    events.stored("list:a", 1, "d")
    events.unstored("list:a", "it broke")
    events.draining()
    events.ended()
    record_action(events)
    rows = lines(tmp_path / "e")
    kinds = "started learned learned acted stored unstored draining ended"
    assert [row["event"] for row in rows] == kinds.split()
    assert [row["number"] for row in rows] == list(range(1, 9))
    assert {(row["node"], row["at_ms"]) for row in rows} == {("n0", 12_500.0)}
    assert ("entries" in rows[1], rows[2]["entries"]) == (False, {"s0": "active/0"})
    assert rows[3] | {"what": "pick", "call": "c", "server": "s0", "hop": 0, "settings": "e"} == rows[3]
    assert rows[7]["clean"] is True
    assert events.dropped == 1
    parsed = list(parse((tmp_path / "e").read_bytes(), "e"))
    assert [type(event).__name__.lower() for event in parsed] == kinds.split()
    assert not gaps(parsed)


@loopback
async def test_a_refusal_has_a_cause_and_an_attempt_has_none(tmp_path):
    events = open_events(tmp_path / "e")
    events.started(1)
    record_action(events)
    events.acted("list:a", 1, "d", "refusal", "c", "", 0, "e", "cold")
    events.ended()
    _, attempt, refusal, _ = lines(tmp_path / "e")
    assert "cause" not in attempt
    assert (refusal["what"], refusal["cause"]) == ("refusal", "cold")
    assert not gaps(list(parse((tmp_path / "e").read_bytes(), "e")))


@loopback
async def test_lines_are_flushed_soon_and_events_that_must_survive_a_kill_at_once(tmp_path, monkeypatch):
    path = tmp_path / "e"
    events = open_events(path, 2**20)
    record_action(events)
    await until(lambda: path.read_text().endswith("\n"))
    monkeypatch.setattr(module, "FLUSH_INTERVAL_S", 3600.0)
    record_action(events, "late")
    events.draining()
    await until(lambda: path.read_text().count("\n") == 3)
    for _ in range(2 * module.MAX_BUFFERED_BYTES // 100):
        record_action(events)
    await until(lambda: path.stat().st_size > module.MAX_BUFFERED_BYTES // 2)
    assert len(events._buffer) <= module.MAX_BUFFERED_BYTES
    events.ended()


@loopback
async def test_past_the_size_limit_events_are_counted_and_not_written(tmp_path, capsys):
    """Guards against gaps: no shorter line may be written after a longer one did not fit."""
    path = tmp_path / "e"
    for incarnation in (1, 2):
        events = open_events(path, 1000)
        events.started(incarnation)
        for number in range(20):
            record_action(events, "c" * 100 if number % 2 else "c")
        events.ended()
    await asyncio.sleep(0)  # log lines are written in the next iteration of the loop
    rows = lines(path)
    numbers = [row["number"] for row in rows]
    restart = numbers.index(1, 1)  # the second incarnation had little space left
    assert path.stat().st_size <= 1000
    assert [rows[0]["life"], rows[restart]["life"]] == [1, 2]
    assert numbers == [*range(1, restart + 1), *range(1, len(rows) - restart + 1)]
    assert events.dropped == 22 - (len(rows) - restart)
    logged = sorted(capsys.readouterr().err.splitlines())
    assert len(logged) == 4
    assert f"events {path}: {22 - restart} events were not written" in logged


@loopback
async def test_a_full_disk_is_logged_once_and_later_events_are_dropped(capsys):
    events = open_events("/dev/full")
    events.draining()
    await until(lambda: events._file.has_failed)
    for _ in range(3):
        record_action(events)
    events.ended()
    logged = capsys.readouterr().err.splitlines()
    assert [row.split(": ")[1] for row in logged] == [
        "No space left on device; no more events are written",
        "4 events were not written",
    ]


@loopback
async def test_a_stalled_disk_blocks_nothing_and_stops_the_recording(tmp_path, monkeypatch, capsys):
    released = threading.Event()
    real = append_file.AppendFile._append
    monkeypatch.setattr(append_file.AppendFile, "_append", lambda *args: (released.wait(), real(*args)))
    monkeypatch.setattr(append_file, "MAX_QUEUED_BYTES", 1000)
    events = open_events(tmp_path / "e")
    for _ in range(20):
        events.draining()
    assert events._file._queued_bytes <= 1000
    assert events.dropped
    released.set()
    events.ended()
    await asyncio.sleep(0)
    assert "too slow" in capsys.readouterr().err


@loopback
async def test_an_incomplete_last_line_is_truncated_before_others_are_appended(tmp_path):
    path = tmp_path / "e"
    complete = b'{"event":"draining","node":"n0","number":1,"at_ms":1}\n'
    for before in (complete, b"", complete * 3000):
        path.write_bytes(before + b'{"event":"acted","no')
        open_events(path, 10**6).ended()
        rows = lines(path)
        assert [row["event"] for row in rows] == ["draining"] * before.count(b"\n") + ["ended"]


@loopback
async def test_a_file_of_another_format_is_not_changed(tmp_path):
    for text in ("[process]", "a\nb"):
        (tmp_path / "e").write_text(text)
        with pytest.raises(OSError, match="not an event file"):
            open_events(tmp_path / "e")
        assert (tmp_path / "e").read_text() == text
    with pytest.raises(OSError, match="No such file"):
        open_events(tmp_path / "missing" / "e")


@loopback
async def test_an_event_that_json_can_not_represent_is_dropped_without_a_gap(tmp_path):
    events = open_events(tmp_path / "e")
    events.learned("list:a", 1, "d", "all", {"\ud800": "active/0"})
    events.ended()
    assert [(row["event"], row["number"]) for row in lines(tmp_path / "e")] == [("ended", 1)]
    assert events.dropped == 1

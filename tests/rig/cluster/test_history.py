"""Histories: what nodes write is read back, also over kills and restarts, and damage is reported."""

from __future__ import annotations

import msgspec
import pytest

from rig.cluster.history import (
    Acted,
    Draining,
    Ended,
    HistoryError,
    Learned,
    Started,
    Stored,
    Unstored,
    gaps,
    merged,
    parse,
    read_folder,
    with_kills,
)
from tests.rig.cluster.logs import Log


def lines(events):
    return b"".join(msgspec.json.encode(event) + b"\n" for event in events)


def life(number=1, at=0.0):
    log = Log().start("a", at, number).learn("a", at + 1.0, 7, digest="d", s1="active/1", s2="leaving/2")
    return log.act("a", at + 2.0, 7, server="s1").events


def test_all_events_of_a_node_are_read_back():
    log = Log().start("a", 1.0, 3).learn("a", 2.0, 5, form="changes", s1="active/1f")
    log.act("a", 3.0, 5, digest="d", server="s1", what="retry", settings="e").store("a", 4.0, 5)
    log.fail("a", 5.0).drain("a", 6.0).end("a", 7.0)
    read = list(parse(lines(log.events), "a.jsonl"))
    assert read == log.events
    assert [type(event) for event in read] == [Started, Learned, Acted, Stored, Unstored, Draining, Ended]


def test_the_programs_own_events_are_read_and_unknown_fields_ignored():
    text = (
        b'{"node":"n3","number":4,"at_ms":12.5,"rule":"list:s","version":9,"digest":"ab","what":"repeat",'
        b'"call":"c1","server":"s2","hop":0,"settings":"cd","more":[1],"event":"acted"}\n'
    )
    (event,) = parse(text, "n3.jsonl")
    assert event == Acted("n3", 4, 12.5, "list:s", 9, "ab", "repeat", "c1", "s2", 0, "cd")


def test_a_file_cut_off_by_a_kill_is_read_but_for_its_incomplete_end():
    whole = lines(life())
    for cut in range(len(whole) + 1):
        events = list(parse(whole[:cut], "a.jsonl"))
        assert events == life()[: len(events)]
        assert len(events) >= whole[:cut].count(b"\n")


@pytest.mark.parametrize("between", [b"", b"\n"])
def test_an_incomplete_line_before_the_next_life_is_a_gap_and_no_error(between):
    first, second = life(), life(2, at=100.0)
    whole = lines(first)
    for cut in range(whole.rindex(b"\n", 0, -1) + 2, len(whole)):
        events = list(parse(whole[:cut] + between + lines(second), "a.jsonl"))
        assert events[-3:] == second
        assert events[:2] == first[:2]
        # Only the end of the line was lost: the event is complete.
        assert len(events) == (6 if cut == len(whole) - 1 else 5)


@pytest.mark.parametrize(
    ("text", "line"),
    [
        (b"{oops}\n" + lines(life()[1:]), 1),
        (lines(life()) + b"{oops}\n", 4),
        (lines(life()) + b"{oops\n" + lines(life()[2:]) + lines(life(2)), 4),
        (lines(life()[:1]) + b'{"event":"acted","node":"a"}\n' + lines(life()[2:]), 2),
        (lines(life()[:2]) + b'{"event":"act' + lines(life()[2:]), 3),  # no life begins after the damage
        (b'{"event":"sung","node":"a","number":1,"at_ms":0}\n' + lines(life()[1:]), 1),
    ],
)
def test_a_bad_line_elsewhere_is_named(text, line):
    with pytest.raises(HistoryError, match=rf"^a\.jsonl:{line}: [^\n]+$"):
        list(parse(text, "a.jsonl"))


def test_a_folder_is_read_as_one_history(tmp_path, monkeypatch):
    (tmp_path / "a.jsonl").write_bytes(lines(life()))
    (tmp_path / "b.jsonl").write_bytes(lines([Started("b", 1, 0.5)]))
    (tmp_path / "c.txt").write_bytes(b"no history")
    assert [event.node for event in read_folder(tmp_path)] == ["a", "b", "a", "a"]
    (tmp_path / "d.jsonl").mkdir()
    with pytest.raises(HistoryError, match=r"d\.jsonl: "):
        read_folder(tmp_path)
    monkeypatch.setattr("rig.cluster.history.MAX_BYTES", 10)
    with pytest.raises(HistoryError, match="more than 10 bytes"):
        read_folder(tmp_path)


def test_histories_are_merged_by_time_and_each_keeps_its_order():
    one = [Acted("a", 1, 1.0, "r", 1), Acted("a", 2, 5.0, "r", 1), Acted("a", 3, 4.0, "r", 1)]
    other = [Acted("b", 1, 2.0, "r", 1), Acted("b", 2, 5.0, "r", 1), Acted("b", 3, 6.0, "r", 1)]
    order = [(event.node, event.number) for event in merged([one, other])]
    assert order == [("a", 1), ("b", 1), ("a", 2), ("a", 3), ("b", 2), ("b", 3)]


def test_a_kill_ends_its_life_after_all_events_of_that_life():
    log = Log().start("a", 0.0).act("a", 11.0, 1).start("a", 50.0, 2).act("a", 60.0, 1).end("a", 70.0)
    log.start("b", 0.0).act("b", 80.0, 1)
    events = with_kills(log.events, [("a", 10.0), ("a", 75.0), ("b", 90.0), ("c", 5.0)])
    kills = [event for event in events if isinstance(event, Ended) and not event.clean]
    # The rig's clock was read before the kill, so events after that time came before the kill took effect.
    assert kills == [Ended("a", 0, 11.0, False), Ended("b", 0, 90.0, False)]
    assert events.index(kills[0]) == events.index(Started("a", 1, 50.0, 2)) - 1
    assert [event.at_ms for event in events] == sorted(event.at_ms for event in events)


def test_gaps_are_counted_in_each_life_and_none_between_lives():
    log = Log().start("a", 0.0).act("a", 1.0, 1).lose("a", 3).act("a", 2.0, 1)
    log.end("a", 3.0, clean=False).start("a", 4.0).act("a", 5.0, 1).lose("a", 1).end("a", 6.0)
    assert gaps(log.events) == {"a": 4}

"""Streams of events, split as they come in any pieces."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fordtrestle.forward import events
from fordtrestle.forward.events import EventSplitter, EventTooLarge

EVENTS = [
    b"id: 1\ndata: a\n\n",
    b"versions: 3\nid: 2\ndata: b\r\n\r\n",
    b": note\n\n",
    b"id:3\ndata: id: 9\n\n",
]


@given(st.lists(st.integers(0, len(b"".join(EVENTS))), max_size=8))
def test_only_whole_events_come_through_and_all_of_them(cuts):
    whole = b"".join(EVENTS)
    splitter, passed = EventSplitter(), b""
    places = [0, *sorted(cuts), len(whole)]
    ends = [len(b"".join(EVENTS[:count])) for count in range(len(EVENTS) + 1)]
    for start, end in itertools.pairwise(places):
        passed += splitter.feed(whole[start:end])
        assert whole.startswith(passed)
        assert any(len(passed) in (at, at - 1) for at in ends)
    assert passed + splitter.rest() == whole
    assert splitter.last_id == "3"


def test_what_was_not_whole_when_the_stream_broke_is_void():
    splitter = EventSplitter()
    assert splitter.feed(EVENTS[0] + EVENTS[1][:10]) == EVENTS[0]
    splitter.cut()
    assert splitter.last_id == "1"
    assert splitter.feed(EVENTS[1]) == EVENTS[1]


def test_an_event_without_end_is_bounded(monkeypatch):
    monkeypatch.setattr(events, "EVENT_MOST", 8)
    with pytest.raises(EventTooLarge):
        EventSplitter().feed(b"data: 123456")

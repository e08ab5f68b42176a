"""The splitter returns the same events however the stream is divided into chunks."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fordtrestle.forward import events
from fordtrestle.forward.errors import EventTooLargeError
from fordtrestle.forward.events import EventSplitter

EVENTS = [
    b"id: 1\ndata: a\n\n",
    b"versions: 3\nid: 2\ndata: b\r\n\r\n",
    b": note\n\n",
    b"id:3\ndata: id: 9\n\n",
]


@given(st.lists(st.integers(0, len(b"".join(EVENTS))), max_size=8))
def test_a_stream_in_any_pieces_gives_all_its_events_and_complete_ones_only(cuts):
    stream = b"".join(EVENTS)
    splitter, passed = EventSplitter(), b""
    positions = [0, *sorted(cuts), len(stream)]
    ends = [len(b"".join(EVENTS[:count])) for count in range(len(EVENTS) + 1)]
    for start, end in itertools.pairwise(positions):
        passed += splitter.feed(stream[start:end])
        assert stream.startswith(passed)
        assert any(len(passed) in (at, at - 1) for at in ends)
    assert passed + splitter.take_incomplete() == stream
    assert splitter.last_id == "3"


def test_an_incomplete_event_is_discarded_when_the_stream_breaks():
    splitter = EventSplitter()
    assert splitter.feed(EVENTS[0] + EVENTS[1][:10]) == EVENTS[0]
    splitter.discard_incomplete()
    assert splitter.last_id == "1"
    assert splitter.feed(EVENTS[1]) == EVENTS[1]


def test_an_event_without_end_raises_above_the_limit(monkeypatch):
    monkeypatch.setattr(events, "MAX_EVENT_BYTES", 8)
    with pytest.raises(EventTooLargeError):
        EventSplitter().feed(b"data: 123456")

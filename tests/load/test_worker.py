"""A worker without a run: what it hands on, and to whom it does not wait."""

from __future__ import annotations

import os

import pytest

from fordtrestle.load import worker
from fordtrestle.load.generator import _part
from fordtrestle.load.samples import FRAME, RECORD, SAMPLES, SUMMARY, FrameDecoder
from fordtrestle.load.worker import Outbox


@pytest.fixture
def pipe():
    ends = os.pipe()
    yield ends
    for end in ends:
        os.close(end)


def test_a_reader_that_does_not_read_is_not_waited_for_and_what_is_lost_is_counted(pipe, monkeypatch):
    monkeypatch.setattr(worker, "OUT_MOST", 100_000)
    outbox = Outbox(pipe[1])
    for _ in range(200):
        for _ in range(100):
            outbox.put(*range(9))
        outbox.flush(0)
    assert outbox.lost > 0
    assert outbox.lost % 100 == 0
    frames, found, left = FrameDecoder(), 0, True
    while left:  # one write behind each read: what was written last is still read
        left = outbox.due(0)
        found += sum(len(body) // RECORD.size for _, body in frames.feed(os.read(pipe[0], 1 << 20)))
        outbox.flush(0)
    assert found + outbox.lost == 200 * 100


def test_the_last_frame_comes_after_all_samples(pipe):
    outbox = Outbox(pipe[1])
    outbox.put(*range(9))
    outbox.end(SUMMARY, b"{}")
    data = os.read(pipe[0], 1 << 16)
    assert [what for what, _ in FrameDecoder().feed(data)] == [SAMPLES, SUMMARY]
    assert len(data) == 2 * FRAME.size + RECORD.size + 2


@pytest.mark.parametrize(("whole", "workers"), [(10, 3), (3, 3), (7, 1), (100, 64)])
def test_caps_are_shared_out_whole(whole, workers):
    parts = [_part(whole, number, workers) for number in range(workers)]
    assert sum(parts) == whole
    assert max(parts) - min(parts) <= 1

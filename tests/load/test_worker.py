"""Parts of a worker without a run: the writer of samples, and the split of maxima."""

from __future__ import annotations

import os

import pytest

from fordtrestle.load import sample_writer
from fordtrestle.load.generator import split_evenly
from fordtrestle.load.sample_writer import SampleWriter
from fordtrestle.load.samples import FRAME, RECORD, SAMPLES, SUMMARY, FrameDecoder


@pytest.fixture
def pipe():
    ends = os.pipe()
    yield ends
    for end in ends:
        os.close(end)


def test_samples_that_a_slow_reader_leaves_no_room_for_are_counted_as_lost(pipe, monkeypatch):
    monkeypatch.setattr(sample_writer, "MAX_UNSENT_BYTES", 100_000)
    writer = SampleWriter(pipe[1])
    for _ in range(200):
        for _ in range(100):
            writer.add(*range(9))
        writer.flush(0)
    assert writer.lost > 0
    assert writer.lost % 100 == 0
    frames, found, left = FrameDecoder(), 0, True
    while left:  # one write behind each read: what was written last is still read
        left = writer.is_due(0)
        found += sum(len(body) // RECORD.size for _, body in frames.feed(os.read(pipe[0], 1 << 20)))
        writer.flush(0)
    assert found + writer.lost == 200 * 100


def test_the_last_frame_comes_after_all_samples(pipe):
    writer = SampleWriter(pipe[1])
    writer.add(*range(9))
    writer.close(SUMMARY, b"{}")
    data = os.read(pipe[0], 1 << 16)
    assert [what for what, _ in FrameDecoder().feed(data)] == [SAMPLES, SUMMARY]
    assert len(data) == 2 * FRAME.size + RECORD.size + 2


@pytest.mark.parametrize(("whole", "workers"), [(10, 3), (3, 3), (7, 1), (100, 64)])
def test_maxima_are_split_evenly_and_completely(whole, workers):
    parts = [split_evenly(whole, number, workers) for number in range(workers)]
    assert sum(parts) == whole
    assert max(parts) - min(parts) <= 1

"""Parts of a worker, without a run: the sample writer, and how maxima are split between workers."""

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
    frames, received, has_unsent = FrameDecoder(), 0, True
    while has_unsent:  # each read precedes a write, so that the last write is also read
        has_unsent = writer.is_due(0)
        received += sum(len(body) // RECORD.size for _, body in frames.feed(os.read(pipe[0], 1 << 20)))
        writer.flush(0)
    assert received + writer.lost == 200 * 100


def test_the_last_frame_comes_after_all_samples(pipe):
    writer = SampleWriter(pipe[1])
    writer.add(*range(9))
    writer.close(SUMMARY, b"{}")
    data = os.read(pipe[0], 1 << 16)
    assert [frame_type for frame_type, _ in FrameDecoder().feed(data)] == [SAMPLES, SUMMARY]
    assert len(data) == 2 * FRAME.size + RECORD.size + 2


@pytest.mark.parametrize(("total", "workers"), [(10, 3), (3, 3), (7, 1), (100, 64)])
def test_maxima_are_split_evenly_and_completely(total, workers):
    parts = [split_evenly(total, number, workers) for number in range(workers)]
    assert sum(parts) == total
    assert max(parts) - min(parts) <= 1

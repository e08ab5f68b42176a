"""Statistics: independent of order, by second of the intended time, and weighted by the latency target."""

from __future__ import annotations

import gc
import random
import sys
import weakref

import pytest
from hdrh.histogram import HdrHistogram

from fordtrestle.load import recorder
from fordtrestle.load.errors import MissingLibraryError
from fordtrestle.load.recorder import Histogram, Recorder
from fordtrestle.load.records import TrafficClass
from fordtrestle.load.samples import (
    FRAME,
    RECORD,
    SAMPLES,
    SUMMARY,
    FrameDecoder,
    Outcome,
    Sample,
    decode_samples,
)

CLASSES = (
    TrafficClass("look", "pure", 1.0, 500.0, 100.0, 1.0, "/look"),
    TrafficClass("pay", "unsafe", 1.0, 500.0, 200.0, 5.0, "/pay"),
)
TENANTS = ("acme", "other")


def sample(outcome=Outcome.SERVED, class_index=0, tenant_index=0, at_us=0, latency_ms=1.0, lag_ms=0.0):
    latency_ns = round(latency_ms * 1e6)
    status = 200 if outcome <= Outcome.LATE else 0
    return Sample(
        outcome, 1, class_index, tenant_index, status, at_us, round(lag_ms * 1e6), latency_ns, latency_ns // 2
    )


def record_all(rows):
    result = Recorder(CLASSES, TENANTS)
    for row in rows:
        result.add(row)
    return result


def random_samples(count=3000, seed=1):
    rng = random.Random(seed)
    outcomes = (Outcome.SERVED, Outcome.SERVED, Outcome.REFUSED, Outcome.UNANSWERED, Outcome.NO_ROOM)
    return [
        sample(
            rng.choice(outcomes),
            rng.randrange(2),
            rng.randrange(2),
            rng.randrange(3_000_000),
            rng.random() * 400,
        )
        for _ in range(count)
    ]


def statistics(result):
    result.close_seconds()
    parts = [result.whole, *result.classes.values(), *result.tenants.values()]
    return (
        [part.summary() for part in parts],
        result.seconds(),
        result.whole.latency.encode(),
        result.service.summary(),
    )


def test_samples_in_any_order_give_the_same_statistics():
    rows = random_samples()
    shuffled = rows[:]
    random.Random(2).shuffle(shuffled)
    assert statistics(record_all(rows)) == statistics(record_all(shuffled))


def test_worth_in_aim_is_of_served_requests_and_worth_asked_of_all():
    result = record_all(
        [
            sample(latency_ms=100.0),
            sample(latency_ms=100.1),
            sample(class_index=1, latency_ms=150.0),
            sample(Outcome.REFUSED, class_index=1, latency_ms=1.0),
            sample(Outcome.NO_ROOM, class_index=1),
        ]
    )
    assert (result.whole.worth_in_aim, result.whole.worth_asked) == (6.0, 17.0)
    assert result.classes["look"].share_in_aim() == 0.5
    assert result.whole.summary()["not_sent"] == 1


def test_quantiles_have_four_digits():
    result = record_all([sample(latency_ms=n / 10.0) for n in range(1, 10_001)])
    for name, true in (("p50", 500.0), ("p99", 990.0), ("p999", 999.0), ("max", 1000.0)):
        assert result.whole.latency.summary()[name] == pytest.approx(true, rel=1e-4)


def test_latency_includes_unanswered_requests_and_excludes_refused_ones():
    result = record_all(
        [sample(), sample(Outcome.UNANSWERED, latency_ms=500.0), sample(Outcome.REFUSED, latency_ms=900.0)]
    )
    assert result.whole.latency.summary()["max"] == pytest.approx(500.0, rel=1e-4)
    assert result.whole.latency.count == 2


def test_lag_is_of_sent_requests_and_retries():
    result = record_all(
        [sample(lag_ms=1.0), sample(Outcome.NO_ROOM, lag_ms=9.0), sample(Outcome.RETRY, lag_ms=3.0)]
    )
    assert result.lag.count == 2
    assert result.retries == 1
    assert result.whole.asked == 2
    assert result.lag.summary()["max"] == pytest.approx(3.0, rel=1e-4)


def test_requests_belong_to_the_second_of_their_intended_time():
    result = record_all([sample(at_us=at) for at in (0, 999_999, 1_000_000, 2_500_000)])
    result.close_seconds(2.0)
    assert [(row["second"], row["asked"]) for row in result.seconds()] == [(0, 2), (1, 1)]
    assert result.latest_second()["second"] == 1
    result.add(sample(at_us=5))
    assert result.late_samples == 1
    assert result.whole.asked == 5
    result.close_seconds()
    assert [row["second"] for row in result.seconds()] == [0, 1, 2]


def test_statistics_of_no_samples_are_none():
    assert set(record_all([]).whole.latency.summary().values()) == {None}
    assert record_all([]).whole.share_in_aim() is None


def test_durations_out_of_range_are_counted_at_its_ends():
    result = Histogram()
    for value in (0, -5, 10**15):
        result.add(value)
    assert result.count == 3
    assert result.percentiles_ms([0.0, 100.0]) == [0.001, pytest.approx(600_000.0, rel=1e-4)]


def test_an_encoded_histogram_is_the_librarys_own():
    result = Histogram()
    for n in range(1000):
        result.add(n * 1_000_000)
    library_histogram = HdrHistogram.decode(result.encode())
    assert library_histogram.get_total_count() == 1000
    assert library_histogram.get_max_value() >= 998_900


def test_a_missing_library_names_the_extra(monkeypatch):
    monkeypatch.setitem(sys.modules, "hdrh.histogram", None)
    with pytest.raises(MissingLibraryError, match=r"hdrh is missing: pip install 'fordtrestle\[load\]'"):
        recorder.Histogram()


def test_frames_are_decoded_from_any_pieces():
    rows = random_samples(50)
    body = b"".join(RECORD.pack(*row) for row in rows)
    data = FRAME.pack(SAMPLES, len(body)) + body + FRAME.pack(SUMMARY, 2) + b"{}"
    frames, decoded = FrameDecoder(), []
    for at in range(0, len(data), 7):
        decoded += frames.feed(data[at : at + 7])
    assert [frame_type for frame_type, _ in decoded] == [SAMPLES, SUMMARY]
    assert list(decode_samples(decoded[0][1])) == rows
    assert decoded[1][1] == b"{}"


def test_closed_seconds_keep_no_histogram():
    """Guards against a memory leak: histograms of the library are reference cycles of some megabytes.

    Without an explicit garbage collection each closed second would keep its own.
    """
    result = record_all([sample(at_us=second * 1_000_000) for second in range(5)])
    references = [weakref.ref(part.latency._counts) for part in result._open_seconds.values()]
    gc.disable()
    try:
        result.close_seconds()
        assert [ref() for ref in references] == [None] * 5
    finally:
        gc.enable()

"""Tools of the accuracy benchmark: its distance, noise control, reference server and replayed trace."""

from __future__ import annotations

import time
from itertools import pairwise
from pathlib import Path

import pytest

from benchmarks import load_accuracy
from benchmarks.load_accuracy import Bench, Figures, distance_to_even, write_trace
from benchmarks.load_truth import Plan, Truth
from benchmarks.noise import Control, Gaps, Noise, stolen, stolen_share
from fordtrestle.load import trace
from tests.load.standin import load_toml


def test_the_distance_is_the_kolmogorov_smirnov_statistic():
    assert distance_to_even([(i + 0.5) / 100 for i in range(100)], 1.0) == pytest.approx(0.005)
    assert distance_to_even([0.0] * 10, 1.0) == 1.0
    # The last tenth of the interval is missing.
    assert distance_to_even([x / 100 * 0.9 for x in range(100)], 1.0) > 0.09
    assert distance_to_even([], 1.0) == 1.0


def test_the_trace_has_its_rate_and_its_bursts(tmp_path):
    path = tmp_path / "t.trace.gz"
    count = write_trace(path, 1, 2.0)
    rows = list(trace.TraceReader(path))
    assert len(rows) == count == pytest.approx(5000, abs=300)
    assert [int(row.key) for row in rows] == list(range(count))
    for burst in range(49):
        begin = round(burst * load_accuracy.BURST_EVERY_S * 1e6)
        assert sum(begin - 5 <= row.at_us <= begin + 1005 for row in rows) >= load_accuracy.BURST


def test_stolen_cpu_time_is_read():
    before = stolen()
    assert 0 <= before[0] <= before[1]
    assert stolen_share((10, 1000), (15, 2000)) == 0.005


def test_gaps_between_readings_are_summed_up_as_noise():
    gaps = Gaps(0)
    for now in (50_000, 150_000, 350_000, 1_350_000, 1_400_000):  # two long gaps, of 0.2 ms and of 1 ms
        gaps.read(now)
    assert gaps.summary() == Noise(0.0014, 1.0, 1_200_000 / 1_400_000, 1_000_000 / 1_400_000)


def test_a_row_of_a_noisy_machine_is_void_and_counts_as_not_met():
    figures = Figures()
    quiet, noisy = Noise(long_share=0.0004), Noise(long_share=0.0006)
    assert figures.judge(True, "a", quiet) == "met"
    assert not figures.not_met
    assert figures.judge(False, "b", quiet) == "NOT MET"
    assert figures.judge(True, "c", noisy) == "void, met"
    assert figures.judge(False, "d", noisy) == "void"
    assert [row[0] for row in figures.not_met] == ["b", "c", "d"]


def test_a_void_run_is_repeated_whatever_its_result_and_the_last_one_counts(monkeypatch):
    class ScriptedControl:
        def __init__(self, *shares):
            self.shares = list(shares)

        def __enter__(self):
            return self

        def __exit__(self, *_):
            self.share = self.shares.pop(0)

        def read(self):
            return Noise(long_share=self.share)

    runs = []

    def send_once(*_):
        runs.append(1)
        return load_accuracy.Sent(None, [], [])

    monkeypatch.setattr(load_accuracy, "_send_once", send_once)
    bench = Bench(None, ScriptedControl(0.5, 0.5, 0.0, 0.0), 3)
    assert bench.send("", Path("."), Plan()).noise.long_share == 0.0
    assert len(runs) == 3
    bench = Bench(None, ScriptedControl(0.5, 0.5, 0.0), 1)
    assert bench.send("", Path("."), Plan()).noise.long_share == 0.5
    assert len(runs) == 5


def test_the_control_measures_only_within_its_context():
    control = Control()
    try:
        with control:
            pass
        first = control.read()
        assert control.read() is first
        for seconds in (0.05, 0.2, 1.0, 5.0):  # a busy machine may wake the control late
            with control:
                time.sleep(seconds)
            if control.read().length_s >= 0.05:
                break
        assert control.read().length_s >= 0.05
        assert control.read() is not first
    finally:
        control.stop()


def test_the_scripted_server_records_its_responses_and_stalls_as_planned():
    truth, control = Truth(), Control()
    send = Bench(truth, control, 0).send
    try:
        plain = send(load_toml(truth.port, rate=200), Path("."), Plan(fixed_ms=3.0))
        text = load_toml(truth.port, rate=100, length_s=0.5, budget_ms=5000)
        stalled = send(text, Path("."), Plan(), (0.1, 0.4))
        queued = send(text, Path("."), Plan(per_s=200.0), (0.1, 0.4))
    finally:
        truth.stop()
        control.stop()
    assert len(plain.records) == len(plain.samples) == 40
    assert all(r.came + 3_000_000 == r.due <= r.went for r in plain.records)
    start = stalled.run.start_ns
    delayed = [r for r in stalled.records if start + 100_000_000 <= r.came < start + 400_000_000]
    assert len(delayed) > 20
    assert {r.due for r in delayed} == {start + 400_000_000}
    assert all(r.due == r.came for r in stalled.records if r not in delayed)
    dues = sorted(r.due for r in queued.records)
    assert all(b - a >= 5_000_000 for a, b in pairwise(dues))
    assert not [due for due in dues if 105_000_000 < due - queued.run.start_ns < 405_000_000]

"""Recorded days: decisions are the same as when the days were recorded, to the last digit."""

from __future__ import annotations

import pytest

from tests.balancer import recording

DAYS = sorted(recording.FOLDER.glob("*.jsonl.xz"))
MIN_EVENTS = 15_000  # of all days together


def test_there_is_a_recording_of_each_day():
    assert {path.name.removesuffix(".jsonl.xz") for path in DAYS} == {*recording.SITES, "rules"}
    assert sum(1 for path in DAYS for _ in recording.read(path)) >= MIN_EVENTS


@pytest.mark.parametrize("path", DAYS, ids=lambda path: path.name.removesuffix(".jsonl.xz"))
def test_events_of_a_recorded_day_lead_to_the_recorded_actions(path):
    for line, (row, actions) in enumerate(recording.replay(recording.read(path)), start=1):
        number, now, name, arguments, expected = row
        assert actions == expected, f"event {line}, balancer {number} at {now} ms: {name} {arguments}"


@pytest.mark.parametrize("name", ["roll", "rules"])
def test_a_recorded_day_that_is_recorded_again_is_the_same(name):
    """The recorder depends on seeds alone, so that a day can be recorded again when decisions change."""
    path = recording.FOLDER / f"{name}.jsonl.xz"
    assert recording.record(name) == list(recording.read(path))

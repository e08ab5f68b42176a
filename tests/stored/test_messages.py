"""Every message and record type: recorded bytes are decoded, and encoded identically again."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from fordtrestle.peer import codec
from fordtrestle.peer.wire_types import BY_TYPE
from tests.stored.samples import SAMPLES, gains_defaults_only, to_plain

DATA = Path(__file__).parent / "data"
RECORDED = json.loads((DATA / "messages-3.json").read_text())
RECORDED_BEFORE = [
    row for version in (1, 2) for row in json.loads((DATA / f"messages-{version}.json").read_text())
]


def test_every_type_has_a_sample():
    assert {type(sample) for sample in SAMPLES} == set(BY_TYPE)
    assert len(RECORDED) == len(SAMPLES) == len(BY_TYPE)


@pytest.mark.parametrize("index", range(len(SAMPLES)), ids=[type(sample).__name__ for sample in SAMPLES])
def test_recorded_bytes_have_the_same_values_and_are_written_identically(index):
    row, sample = RECORDED[index], SAMPLES[index]
    data = bytes.fromhex(row["data"])
    message = codec.decode(data)
    assert message == sample
    assert to_plain(message) == row["values"]
    assert codec.encode(message) == data
    assert codec.encode(sample) == data


@pytest.mark.parametrize("row", RECORDED_BEFORE, ids=[str(row["values"]["tag"]) for row in RECORDED_BEFORE])
def test_bytes_of_earlier_versions_have_the_same_values_and_defaults_for_added_fields(row):
    message = codec.decode(bytes.fromhex(row["data"]))
    assert gains_defaults_only(row["values"], to_plain(message))

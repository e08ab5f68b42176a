"""Every message and record type: bytes that were recorded once are read, and written the same again."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from fordtrestle.peer import codec
from fordtrestle.peer.wire_types import BY_TYPE
from tests.stored.samples import SAMPLES, plain

RECORDED = json.loads((Path(__file__).parent / "data" / "messages.json").read_text())


def test_every_type_has_a_sample():
    assert {type(sample) for sample in SAMPLES} == set(BY_TYPE)
    assert len(RECORDED) == len(SAMPLES) == len(BY_TYPE)


@pytest.mark.parametrize("index", range(len(SAMPLES)), ids=[type(sample).__name__ for sample in SAMPLES])
def test_recorded_bytes_have_the_same_values_and_are_written_the_same_again(index):
    row, sample = RECORDED[index], SAMPLES[index]
    data = bytes.fromhex(row["data"])
    message = codec.decode(data)
    assert message == sample
    assert plain(message) == row["values"]
    assert codec.encode(message) == data
    assert codec.encode(sample) == data

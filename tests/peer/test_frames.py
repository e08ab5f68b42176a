"""Frames: payloads are decoded however the bytes are split, and invalid frames are rejected."""

from __future__ import annotations

import contextlib
import itertools
import struct
import zlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fordtrestle.dissemination.messages import Want
from fordtrestle.peer import frames as frames_module
from fordtrestle.peer.codec import decode, encode
from fordtrestle.peer.errors import CodecError, FrameError, FrameTooLargeError
from fordtrestle.peer.frames import (
    KEEPALIVE_FRAME,
    MIN_COMPRESSED_BYTES,
    FrameDecoder,
    decompress,
    encode_frame,
    frame_message,
)


def payloads_of(decoder: FrameDecoder) -> list[bytes]:
    return list(iter(decoder.next_payload, None))


@given(st.binary(max_size=2000))
def test_a_frame_holds_its_payload(payload):
    head = struct.unpack(">I", encode_frame(payload)[:4])[0]
    body = encode_frame(payload)[4:]
    assert (decompress(body) if head >> 31 else body) == payload
    assert len(body) == head & 0x7FFFFFFF


@given(st.lists(st.binary(min_size=1, max_size=600), max_size=5), st.lists(st.integers(0, 3000), max_size=6))
def test_payloads_come_in_order_wherever_the_bytes_are_cut(payloads, cuts):
    data = KEEPALIVE_FRAME.join(map(encode_frame, payloads)) + KEEPALIVE_FRAME
    decoder, found = FrameDecoder(), []
    for start, end in itertools.pairwise([0, *sorted(cuts), max(len(data), 3000)]):
        decoder.receive_data(data[start:end])
        found += payloads_of(decoder)
    assert found == payloads


def test_a_payload_is_compressed_from_the_minimum_size_on():
    for size, is_compressed in ((MIN_COMPRESSED_BYTES - 1, False), (MIN_COMPRESSED_BYTES, True)):
        assert bool(encode_frame(bytes(size))[0] >> 7) is is_compressed


def test_an_incomplete_frame_has_no_payload():
    decoder = FrameDecoder()
    decoder.receive_data(encode_frame(b"payload")[:-1])
    assert decoder.next_payload() is None


def test_a_frame_that_is_too_large_is_rejected_on_its_header():
    decoder = FrameDecoder()
    decoder.receive_data(struct.pack(">I", frames_module.MAX_FRAME_BYTES + 1))
    with pytest.raises(FrameTooLargeError) as raised:
        decoder.next_payload()
    assert raised.value.limit_bytes == frames_module.MAX_FRAME_BYTES


def test_bytes_that_are_not_compressed_data_are_rejected():
    decoder = FrameDecoder()
    decoder.receive_data(struct.pack(">I", (1 << 31) | 3) + b"abc")
    with pytest.raises(FrameError):
        decoder.next_payload()


def test_a_message_that_its_receiver_would_reject_is_not_framed(monkeypatch):
    """The limit applies before compression, since the receiver would close the link."""
    monkeypatch.setattr(frames_module, "MAX_FRAME_BYTES", 1000)
    oversized = Want(("a" * 2000,))
    assert len(encode_frame(encode(oversized))) < 1000
    assert frame_message(oversized) is None
    assert frame_message(Want(("a" * 500,))) is not None


def test_a_compressed_payload_that_is_too_large_or_truncated_is_rejected(monkeypatch):
    monkeypatch.setattr(frames_module, "MAX_FRAME_BYTES", 1000)
    with pytest.raises(FrameTooLargeError):
        decompress(zlib.compress(bytes(2000)))
    with pytest.raises(FrameError):
        decompress(zlib.compress(bytes(500))[:-3])


@given(st.binary(max_size=200))
def test_arbitrary_bytes_raise_no_other_error_than_the_codecs(data):
    with contextlib.suppress(CodecError):
        decode(data)

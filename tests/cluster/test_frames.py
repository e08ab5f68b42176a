"""Frames: whatever is said comes out as it went in, wherever its bytes are cut, and nothing else does."""

from __future__ import annotations

import random
import tracemalloc
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from fordtrestle.cluster import frames
from fordtrestle.cluster.frames import (
    BARE,
    GREETING_MOST,
    HEAD,
    PROBE,
    FrameError,
    Greeting,
    Packer,
    Splitter,
)
from fordtrestle.cluster.messages import (
    AnyMessage,
    AppendEntriesResponse,
    Denied,
    Envelope,
    Fetch,
    Propose,
    Reply,
)
from tests.cluster.books import books

GREETING = Greeting("c", "n0", 7)
SESSION = 123_456_789

TEXTS = st.text(max_size=8)
NUMBERS = st.integers(0, 2**63 - 1)
PLAIN = st.none() | st.booleans() | NUMBERS | st.floats(allow_nan=False) | TEXTS
ANYTHING = st.recursive(
    PLAIN, lambda inner: st.lists(inner, max_size=3) | st.dictionaries(TEXTS, inner, max_size=3), max_leaves=6
)


def drawn(kind):
    """Values of a type of `messages.py`."""
    told = msgspec.inspect.type_info(kind)
    return _drawn(told)


def _drawn(told):
    match told:
        case msgspec.inspect.StructType(cls=cls) if cls.__name__ == "Rulebook":
            return books
        case msgspec.inspect.StructType(cls=cls, fields=fields):
            return st.builds(cls, **{field.name: _drawn(field.type) for field in fields})
        case msgspec.inspect.UnionType(types=types):
            return st.one_of(*map(_drawn, types))
        case msgspec.inspect.VarTupleType(item_type=item):
            return st.lists(_drawn(item), max_size=3).map(tuple)
        case msgspec.inspect.TupleType(item_types=items):
            return st.tuples(*map(_drawn, items))
    kinds = {
        "IntType": NUMBERS,
        "FloatType": st.floats(allow_nan=False),
        "StrType": TEXTS,
        "BoolType": st.booleans(),
    }
    return {**kinds, "AnyType": ANYTHING, "NoneType": st.none()}[type(told).__name__]


MESSAGES = {kind.__name__: kind for kind in AnyMessage.__args__}
SAID = [
    Envelope("c", "n0", "n1", message)
    for message in (
        Fetch(1, 2),
        Denied(1, "w" * 300, "n2", 40.0),
        AppendEntriesResponse(1, 2, True, 3, "d", 4),
        Fetch(0, 0),
    )
]


def packed(*said, greeting=GREETING, session=SESSION):
    """A connection's bytes; None: a probe."""
    packer = Packer()
    data = packer.pack(frames.payload_of(greeting))
    packer.begin(session)
    return data + packer.pack(*(PROBE if one is None else frames.payload_of(one) for one in said))


def read(*pieces):
    """What comes of a connection's bytes, and why no more does; empty where it could go on."""
    splitter, came = Splitter(SESSION), []
    try:
        for piece in pieces:
            came.extend(splitter.feed(piece))
    except FrameError as error:
        return came, error.kind
    return came, ""


@pytest.mark.parametrize("kind", MESSAGES)
@given(st.data())
def test_every_message_comes_out_as_it_went_in(kind, data):
    body = data.draw(drawn(MESSAGES[kind]))
    said = Envelope("c", "n0", "n1", body)
    (_, came), why = read(packed(said))
    assert (came, why) == (said, "") and type(came.body) is MESSAGES[kind]


def test_bytes_may_be_cut_anywhere():
    said = [*SAID[:2], None, *SAID[2:]]
    data = packed(*said)
    for at in range(len(data) + 1):
        assert read(data[:at], data[at:]) == ([GREETING, *said], "")
    assert read(*(data[at : at + 1] for at in range(len(data)))) == ([GREETING, *said], "")
    splitter = Splitter(SESSION)
    assert [*splitter.feed(data)] and splitter.held == 0


def test_what_is_cut_short_is_waited_for_and_nothing_comes_of_it():
    data = packed(SAID[0])
    for at in range(len(data)):
        assert read(data[:at]) in (([], ""), ([GREETING], ""))


def test_every_flipped_bit_is_seen_and_nothing_comes_of_its_frame():
    """Guards against a length that was hit, for which a reader would wait for ever."""
    data = packed(*SAID[:2])
    for bit in range(8 * len(data)):
        bad = bytearray(data)
        bad[bit // 8] ^= 1 << bit % 8
        came, why = read(bytes(bad))
        assert why in ("checksum", "long") and came == [GREETING, *SAID[:2]][: len(came)] and len(came) < 3


def test_what_is_missing_doubled_out_of_place_or_of_another_connection_is_seen():
    greeting, *parts = (packed(*SAID[:n])[len(packed(*SAID[: n - 1])) if n else 0 :] for n in range(4))
    for order in ([0, 0], [0, 1, 0], [0, 1, 1], [1, 0], [0, 2], [2]):
        came, why = read(greeting, *(parts[n] for n in order))
        kept = 0
        while kept < len(order) and order[kept] == kept:
            kept += 1
        assert (came, why) == ([GREETING, *SAID[:kept]], "checksum")
    assert read(packed(SAID[0], session=SESSION + 1)) == ([GREETING], "checksum")
    assert read(greeting, greeting) == ([GREETING], "checksum")


def test_another_format_is_told_as_such(monkeypatch):
    monkeypatch.setattr(frames, "FORMAT", 2)
    data = packed(SAID[0])
    monkeypatch.undo()
    assert read(data) == ([], "format")


@pytest.mark.parametrize(
    "payload",
    [
        b"\xc1",
        b"\x80",
        b"\x91" * 300,
        b"\xdd\xff\xff\xff\xff",
        msgspec.msgpack.encode({"cluster": "c"}),
        b"\xa1\xff",
    ],
)
def test_what_is_no_message_is_told_as_such(payload):
    packer = Packer()
    assert read(packer.pack(payload)) == ([], "undecodable")
    packer = Packer()
    greeting = packer.pack(frames.payload_of(GREETING))
    packer.begin(SESSION)
    assert read(greeting + packer.pack(payload)) == ([GREETING], "undecodable")


def test_what_is_nested_too_deeply_is_told_as_such():
    payload = frames.payload_of(Envelope("c", "n0", "n1", Propose("id", 0, 0)))
    assert payload.endswith(b"content\0")
    packer = Packer()
    greeting = packer.pack(frames.payload_of(GREETING))
    packer.begin(SESSION)
    assert read(greeting + packer.pack(payload[:-1] + b"\x91" * 100_000)) == ([GREETING], "undecodable")


@pytest.mark.parametrize(
    "greeting",
    [Greeting("c", "", 1), Greeting("c", "a b", 1), Greeting("c" * 65, "n", 1), Greeting("c", "n", 2**32),
     Greeting("c", "n", -1)],
)  # fmt: skip
def test_a_greeting_holds_names_and_a_number_within_bounds(greeting):
    assert read(Packer().pack(frames.payload_of(greeting))) == ([], "undecodable")


def test_a_length_is_refused_before_anything_is_kept_for_it():
    for most, before in ((GREETING_MOST, b""), (frames.FRAME_MOST, packed())):
        length = HEAD.pack(most + 1, 0, 0, 0)[:4]
        assert read(before, length)[1] == "long"
        splitter = Splitter(SESSION)
        came = [*splitter.feed(before + BARE.pack(most, 0, 0)[:4])]
        assert len(came) == bool(before) and splitter.held == 4
    with pytest.raises(FrameError, match="2097152 at the most"):
        frames.payload_of(Envelope("c", "n0", "n1", Denied(1, "w" * frames.FRAME_MOST, "", 1.0)))


def test_what_has_no_form_is_told_as_such():
    for content in (object(), 2**70):
        with pytest.raises(FrameError) as raised:
            frames.payload_of(Envelope("c", "n0", "n1", Reply(1, content)))
        assert raised.value.kind == "unencodable"


@given(st.binary(max_size=400), st.integers(0, 2**32))
def test_whatever_comes_is_a_frame_or_an_error(data, seed):
    """Guards against another exception, from bytes at random and from such as are nearly good."""
    rng = random.Random(seed)
    bad = bytearray(packed(*SAID))
    for _ in range(rng.randrange(1, 4)):
        at = rng.randrange(len(bad))
        bad[at : at + rng.randrange(5)] = data[: rng.randrange(1 + min(len(data), 5))]
    for text in (data, bytes(bad), packed() + data):
        came, _ = read(text)
        assert came == [GREETING, *SAID][: len(came)]
    content = Envelope("c", "n0", "n1", Propose("id", 0, 0))
    payload = frames.payload_of(content)[:-9] + data  # whole frames of what may be no message
    packer = Packer()
    head = packer.pack(frames.payload_of(GREETING))
    packer.begin(SESSION)
    came, why = read(head + packer.pack(payload))
    assert why in ("", "undecodable") and len(came) == 1 + (why == "")


def test_a_frame_in_a_thousand_pieces_costs_its_own_size_and_no_more():
    said: Any = Envelope("c", "n0", "n1", Denied(1, "w" * (frames.FRAME_MOST - 200), "", 1.0))
    data, splitter = packed(said), Splitter(SESSION)
    tracemalloc.start()
    for at in range(0, len(data) - 4000, 2000):
        assert len([*splitter.feed(data[at : at + 2000])]) == (at == 0)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert peak < 1.5 * len(data) and splitter.held > frames.FRAME_MOST - 5000

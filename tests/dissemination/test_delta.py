"""Deltas of a configuration: how they are made, applied, forwarded and rejected."""

from __future__ import annotations

import itertools
import json
import random
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fordtrestle.dissemination import delta as delta_module
from fordtrestle.dissemination.broadcast import Broadcast, OutgoingMessage
from fordtrestle.dissemination.catalog import Catalog
from fordtrestle.dissemination.delta import ControlDelta, Copy, apply_delta, make_delta
from fordtrestle.dissemination.errors import DeltaError
from fordtrestle.dissemination.items import CONTROL_KEY, ControlView, control_item
from fordtrestle.dissemination.messages import Prune, Update, Want
from fordtrestle.dissemination.missing_items import WANT_RETRY_S
from fordtrestle.peer.codec import decode, encode

MAX_DELTA_BYTES = 1_000  # for a change of one route


def routes(count, seed=1):
    rng = random.Random(seed)
    return [
        {"name": f"r-{number}", "path_prefix": f"/{rng.getrandbits(40):x}/", "timeout_ms": 3000}
        for number in range(count)
    ]


def view(sequence, rows, evacuated=()):
    document = json.dumps({"generation": sequence, "routes": rows}).encode()
    return ControlView(sequence, sequence, document, evacuated)


def with_one_route_changed(rows):
    return [*rows[:100], {**rows[100], "timeout_ms": 1}, *rows[101:]]


@pytest.mark.parametrize(
    "change",
    [
        pytest.param(with_one_route_changed, id="one route changed"),
        pytest.param(lambda rows: [*rows, {"name": "new"}], id="one added at the end"),
        pytest.param(lambda rows: [{"name": "new"}, *rows], id="one added at the beginning"),
        pytest.param(lambda rows: rows[:200] + rows[201:], id="one removed"),
        pytest.param(lambda rows: rows[250:] + rows[:250], id="halves swapped"),
        pytest.param(lambda rows: [*rows, rows[7]], id="one duplicated"),
        pytest.param(lambda rows: rows, id="none"),
    ],
)
def test_the_delta_of_a_long_configuration_is_short(change):
    rows = routes(500)
    old, new = view(1, rows), view(2, change(rows))
    delta = make_delta(old, new)
    assert len(encode(delta)) < MAX_DELTA_BYTES < len(old.document)
    assert apply_delta(old, decode(encode(delta))) == new


def test_a_configuration_without_common_pieces_has_no_delta():
    assert make_delta(view(1, routes(100, seed=1)), view(2, routes(100, seed=2))) is None


@given(st.binary(max_size=60), st.binary(max_size=60))
def test_applying_the_delta_of_any_two_documents_gives_the_new_one(old, new):
    before, after = ControlView(1, 1, old, ()), ControlView(2, 2, new, ("z-1",))
    delta = make_delta(before, after)
    assert delta is None or apply_delta(before, delta) == after


def test_a_delta_of_another_document_raises():
    old, new = view(1, routes(50)), view(2, routes(51))
    delta = make_delta(old, new)
    for other in (replace(old, sequence=3), replace(old, document=old.document[1:])):
        with pytest.raises(DeltaError):
            apply_delta(other, delta)
    with pytest.raises(DeltaError):
        apply_delta(old, replace(delta, parts=(Copy(0, 5),)))


def peer_with(known):
    peer = Broadcast(Catalog())
    peer.publish([control_item(known)], [], 0.0)
    return peer


def test_a_delta_is_forwarded_as_received():
    old, new = view(1, routes(50)), view(2, routes(51))
    (outgoing,) = peer_with(old).publish([control_item(new)], ["a"], 1.0).outgoing
    delta = outgoing.message
    assert isinstance(delta, ControlDelta)
    effects = peer_with(old).on_message(delta, ["a", "b"], 1.0, "a")
    assert effects.new_items == [control_item(new)]
    assert effects.outgoing == [OutgoingMessage("b", delta)]


def test_a_process_without_children_makes_no_delta(monkeypatch):
    def fail(old, new):
        raise AssertionError("documents were compared")

    monkeypatch.setattr("fordtrestle.dissemination.broadcast.make_delta", fail)
    peer = peer_with(view(1, routes(50)))
    peer.on_message(Prune(), ["a", "b"], 1.0, "b")
    assert peer.on_message(Update((control_item(view(2, routes(51))),)), ["a", "b"], 1.0, "a").outgoing == []


def test_a_process_without_the_base_of_a_delta_requests_the_whole_state():
    first, old, new = (view(number, routes(50 + number)) for number in (1, 2, 3))
    delta = make_delta(old, new)
    for peer in (peer_with(first), Broadcast(Catalog())):
        effects = peer.on_message(delta, ["a", "b"], 1.0, "a")
        assert effects.new_items == []
        assert effects.outgoing == [OutgoingMessage("a", Want((CONTROL_KEY,)))]
        effects = peer.on_message(Update((control_item(new),)), ["a", "b"], 1.1, "a")
        assert effects.new_items == [control_item(new)]


def test_a_delta_that_is_no_longer_new_prunes_the_link_that_delivered_it():
    old, new = view(1, routes(50)), view(2, routes(51))
    peer = peer_with(new)
    (outgoing,) = peer.on_message(make_delta(old, new), ["a"], 1.0, "a").outgoing
    assert outgoing.peer == "a"
    assert peer.publish([control_item(view(3, []))], ["a"], 1.0).outgoing == []


def test_the_whole_state_is_requested_from_one_peer_at_a_time_however_many_deltas_arrive():
    views = [view(number, routes(50 + number)) for number in range(1, 6)]
    peer = peer_with(views[0])
    changes = [make_delta(old, new) for old, new in itertools.pairwise(views[1:])]
    want = Want((CONTROL_KEY,))
    sent = [
        peer.on_message(change, ["a", "b"], 1.0, source).outgoing
        for change, source in zip(changes, "aab", strict=True)
    ]
    assert sent == [[OutgoingMessage("a", want)], [], []]
    assert peer.tick(1.0 + WANT_RETRY_S) == [OutgoingMessage("b", want)], "it is requested from the next peer"


def test_a_delta_that_would_exceed_a_bound_raises(monkeypatch):
    old, new = view(1, routes(50)), view(2, routes(51))
    delta = make_delta(old, new)
    oversized = replace(delta, parts=(Copy(0, len(old.document)),) * 3)
    monkeypatch.setattr(delta_module, "MAX_DOCUMENT_BYTES", 2 * len(old.document))
    with pytest.raises(DeltaError, match="bytes"):
        apply_delta(old, oversized)
    monkeypatch.setattr(delta_module, "MAX_PARTS", 1)
    with pytest.raises(DeltaError, match="parts"):
        apply_delta(old, delta)

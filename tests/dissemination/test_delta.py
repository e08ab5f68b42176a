"""A configuration that is told by its change is what it was, and what does not fit is refused."""

from __future__ import annotations

import itertools
import json
import random
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fordtrestle.dissemination import delta as delta_module
from fordtrestle.dissemination.broadcast import WANT_RETRY_S, Broadcast, OutgoingMessage
from fordtrestle.dissemination.catalog import Catalog
from fordtrestle.dissemination.delta import ControlDelta, Copy, DeltaError, apply, difference
from fordtrestle.dissemination.items import CONTROL_KEY, ControlView, control_item
from fordtrestle.dissemination.messages import Prune, Update, Want
from fordtrestle.peer.codec import decode, encode

SHORT = 1_000  # bytes that the change of one route may take


def routes(count, seed=1):
    draw = random.Random(seed)
    return [
        {"name": f"r-{number}", "path_prefix": f"/{draw.getrandbits(40):x}/", "timeout_ms": 3000}
        for number in range(count)
    ]


def view(sequence, rows, evacuated=()):
    document = json.dumps({"generation": sequence, "routes": rows}).encode()
    return ControlView(sequence, sequence, document, evacuated)


def changed(rows):
    return [*rows[:100], {**rows[100], "timeout_ms": 1}, *rows[101:]]


@pytest.mark.parametrize(
    "change",
    [
        pytest.param(changed, id="one route changed"),
        pytest.param(lambda rows: [*rows, {"name": "new"}], id="one added at the end"),
        pytest.param(lambda rows: [{"name": "new"}, *rows], id="one added at the beginning"),
        pytest.param(lambda rows: rows[:200] + rows[201:], id="one removed"),
        pytest.param(lambda rows: rows[250:] + rows[:250], id="halves exchanged"),
        pytest.param(lambda rows: [*rows, rows[7]], id="one twice"),
        pytest.param(lambda rows: rows, id="none"),
    ],
)
def test_the_change_of_a_long_configuration_is_short(change):
    rows = routes(500)
    old, new = view(1, rows), view(2, change(rows))
    delta = difference(old, new)
    assert len(encode(delta)) < SHORT < len(old.document)
    assert apply(old, decode(encode(delta))) == new


def test_a_configuration_that_is_another_one_is_sent_whole():
    assert difference(view(1, routes(100, seed=1)), view(2, routes(100, seed=2))) is None


@given(st.binary(max_size=60), st.binary(max_size=60))
def test_whatever_the_documents_hold_the_new_one_comes_out(old, new):
    before, after = ControlView(1, 1, old, ()), ControlView(2, 2, new, ("z-1",))
    delta = difference(before, after)
    assert delta is None or apply(before, delta) == after


def test_what_does_not_fit_is_refused():
    old, new = view(1, routes(50)), view(2, routes(51))
    delta = difference(old, new)
    for other in (replace(old, sequence=3), replace(old, document=old.document[1:])):
        with pytest.raises(DeltaError):
            apply(other, delta)
    with pytest.raises(DeltaError):
        apply(old, replace(delta, parts=(Copy(0, 5),)))


def peer_with(known):
    peer = Broadcast(Catalog())
    peer.publish([control_item(known)], [], 0.0)
    return peer


def test_a_change_is_passed_on_as_it_came():
    old, new = view(1, routes(50)), view(2, routes(51))
    (sending,) = peer_with(old).publish([control_item(new)], ["a"], 1.0).outgoing
    delta = sending.message
    assert isinstance(delta, ControlDelta)
    steps = peer_with(old).on_message(delta, ["a", "b"], 1.0, "a")
    assert steps.new_items == [control_item(new)]
    assert steps.outgoing == [OutgoingMessage("b", delta)]


def test_who_passes_nothing_on_compares_no_documents(monkeypatch):
    def fail(old, new):
        raise AssertionError("documents were compared")

    monkeypatch.setattr("fordtrestle.dissemination.broadcast.difference", fail)
    peer = peer_with(view(1, routes(50)))
    peer.on_message(Prune(), ["a", "b"], 1.0, "b")
    assert peer.on_message(Update((control_item(view(2, routes(51))),)), ["a", "b"], 1.0, "a").outgoing == []


def test_who_lacks_what_a_change_rests_on_asks_for_the_whole():
    first, old, new = (view(number, routes(50 + number)) for number in (1, 2, 3))
    delta = difference(old, new)
    for peer in (peer_with(first), Broadcast(Catalog())):
        steps = peer.on_message(delta, ["a", "b"], 1.0, "a")
        assert steps.new_items == []
        assert steps.outgoing == [OutgoingMessage("a", Want((CONTROL_KEY,)))]
        whole = peer.on_message(Update((control_item(new),)), ["a", "b"], 1.1, "a")
        assert whole.new_items == [control_item(new)]


def test_a_change_that_was_had_before_shows_a_link_that_the_tree_does_without():
    old, new = view(1, routes(50)), view(2, routes(51))
    peer = peer_with(new)
    (sending,) = peer.on_message(difference(old, new), ["a"], 1.0, "a").outgoing
    assert sending.peer == "a"
    assert peer.publish([control_item(view(3, []))], ["a"], 1.0).outgoing == []


def test_the_whole_is_asked_for_once_at_a_time_however_many_changes_come():
    views = [view(number, routes(50 + number)) for number in range(1, 6)]
    peer = peer_with(views[0])
    changes = [difference(old, new) for old, new in itertools.pairwise(views[1:])]
    whole = Want((CONTROL_KEY,))
    sent = [
        peer.on_message(change, ["a", "b"], 1.0, source).outgoing
        for change, source in zip(changes, "aab", strict=True)
    ]
    assert sent == [[OutgoingMessage("a", whole)], [], []]
    assert peer.tick(1.0 + WANT_RETRY_S) == [OutgoingMessage("b", whole)], "who was not asked yet is next"


def test_a_change_that_would_grow_too_large_is_refused(monkeypatch):
    old, new = view(1, routes(50)), view(2, routes(51))
    delta = difference(old, new)
    large = replace(delta, parts=(Copy(0, len(old.document)),) * 3)
    monkeypatch.setattr(delta_module, "MAX_DOCUMENT_BYTES", 2 * len(old.document))
    with pytest.raises(DeltaError, match="bytes"):
        apply(old, large)
    monkeypatch.setattr(delta_module, "MAX_PARTS", 1)
    with pytest.raises(DeltaError, match="parts"):
        apply(old, delta)

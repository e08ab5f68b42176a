"""Items spread in any order, twice and late: all catalogs come to hold the same, and nothing goes back."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from fordtrestle.dissemination import catalog as catalog_module
from fordtrestle.dissemination.catalog import TOMBSTONE_S, UNRESPONSIVE_RETENTION_S, Catalog, range_of
from fordtrestle.dissemination.items import (
    Availability,
    ControlView,
    MemberRecord,
    Phase,
    ServerRecord,
    control_item,
    member_item,
    server_item,
)
from fordtrestle.dissemination.messages import RangeDigests, Update
from fordtrestle.dissemination.rendezvous import ranked


def server(instance="i-1", sequence=1, phase=Phase.SERVING, silent=False):
    record = ServerRecord(instance, "pool", "10.0.0.1:80", "z-1", 4, phase, silent, 0.0, None, (), "core-1")
    return server_item(record, sequence)


def member(node="n-1", incarnation=1, counter=1, availability=Availability.READY):
    record = MemberRecord(node, "sidecar", "z-1", "r-1", "10.0.0.2:7661", "10.0.0.2:80", availability)
    return member_item(record, incarnation, counter)


ITEMS = st.one_of(
    st.builds(
        server,
        st.sampled_from(["i-1", "i-2", "i-3"]),
        st.integers(1, 6),
        st.sampled_from(Phase),
        st.booleans(),
    ),
    st.builds(member, st.sampled_from(["n-1", "n-2"]), st.integers(1, 2), st.integers(1, 3)),
    st.builds(lambda n: control_item(ControlView(n, n, b"{}", ())), st.integers(1, 9)),
)


def reconcile(one: Catalog, other: Catalog) -> None:
    """What two processes tell each other after one has sent its digests."""
    messages = [(other, one, one.digests())]
    while messages:
        receiver, sender, message = messages.pop(0)
        if isinstance(message, Update):
            receiver.merge(message.items, 0.0)
        messages += [(sender, receiver, answer) for answer in receiver.answer(message)]


def held(catalog: Catalog) -> dict[str, object]:
    return {key: item.version for key, item in catalog._items.items()}


@given(st.lists(ITEMS, max_size=30), st.lists(ITEMS, max_size=30))
def test_catalogs_that_have_compared_hold_the_same(ours, theirs):
    one, other = Catalog(), Catalog()
    one.merge(ours, 0.0)
    other.merge(theirs, 0.0)
    reconcile(one, other)
    assert held(one) == held(other)
    assert one.digests() == other.digests()
    assert other.answer(one.digests()) == []


@given(st.lists(ITEMS, max_size=30), st.randoms())
def test_the_order_in_which_items_come_does_not_matter(items, random):
    one, other = Catalog(), Catalog()
    one.merge(items, 0.0)
    random.shuffle(items)
    for item in items:
        other.merge([item, item], 0.0)
    assert held(one) == held(other)
    assert one.digests() == other.digests()


def test_draining_and_gone_outdo_any_heartbeat_and_silence_only_the_one_it_followed():
    catalog = Catalog()
    catalog.merge([server(sequence=5)], 0.0)
    assert catalog.merge([server(sequence=5, silent=True)], 0.0)
    assert catalog.merge([server(sequence=6)], 0.0)
    assert not catalog.merge([server(sequence=5, silent=True)], 0.0)
    assert catalog.merge([server(sequence=6, phase=Phase.DRAINING)], 0.0)
    assert not catalog.merge([server(sequence=9)], 0.0)
    assert catalog.merge([server(sequence=1, phase=Phase.DEPARTED)], 0.0)
    assert not catalog.merge([server(sequence=9, phase=Phase.DRAINING)], 0.0)


def test_a_member_refutes_that_it_is_down_by_its_next_word():
    catalog = Catalog()
    catalog.merge([member(counter=2)], 0.0)
    assert catalog.merge([member(counter=2, availability=Availability.DOWN)], 0.0)
    assert not catalog.merge([member(counter=2)], 0.0)
    assert catalog.merge([member(counter=3)], 0.0)
    assert catalog.merge([member(incarnation=2, counter=1)], 0.0)


def test_tombstones_stay_as_long_as_an_old_message_may_travel():
    catalog = Catalog()
    catalog.merge([server(phase=Phase.DEPARTED), server("i-2")], 0.0)
    catalog.expire(TOMBSTONE_S)
    assert not catalog.merge([server(sequence=9)], TOMBSTONE_S)
    catalog.expire(TOMBSTONE_S + 1.0)
    assert [record.instance for record, _ in catalog.servers()] == ["i-2"]
    other = Catalog()
    other.merge([server("i-2")], 0.0)
    assert catalog.digests() == other.digests()


def test_what_one_process_has_forgotten_is_not_taken_back_from_another_that_has_not():
    """Each would go on giving it to the other, and none would ever forget it."""
    one, other = Catalog(), Catalog()
    one.merge([server(phase=Phase.DEPARTED)], 0.0)
    other.merge([server(phase=Phase.DEPARTED)], 1.0)
    for tenth in range(10 * int(TOMBSTONE_S), 10 * int(TOMBSTONE_S) + 30):
        now = tenth / 10
        for catalog, peer in ((one, other), (other, one)):
            catalog.expire(now)
            messages = [(peer, catalog, catalog.digests())]
            while messages:
                receiver, sender, message = messages.pop(0)
                if isinstance(message, Update):
                    receiver.merge(message.items, now)
                messages += [(sender, receiver, answer) for answer in receiver.answer(message)]
    assert not held(one)
    assert not held(other)
    assert one.merge([server(sequence=1, phase=Phase.DEPARTED)], 3 * TOMBSTONE_S) == [], (
        "an old word travels yet"
    )
    one.expire(3 * TOMBSTONE_S)
    assert one.merge([server(sequence=1)], 3 * TOMBSTONE_S)


def test_servers_that_nobody_hears_any_more_are_forgotten_and_heard_again():
    catalog = Catalog()
    items = [server("i-1", silent=True), server("i-2", phase=Phase.DRAINING), server("i-3")]
    catalog.merge(items, 0.0)
    catalog.expire(UNRESPONSIVE_RETENTION_S)
    assert len(held(catalog)) == 3
    catalog.expire(UNRESPONSIVE_RETENTION_S + 1.0)
    assert set(held(catalog)) == {"server/i-3"}
    assert catalog.merge([server("i-1", sequence=2)], UNRESPONSIVE_RETENTION_S + 2.0)
    catalog.expire(3 * UNRESPONSIVE_RETENTION_S)
    assert set(held(catalog)) == {"server/i-1", "server/i-3"}, "those that are heard last for good"


def test_the_catalog_is_bounded(monkeypatch):
    monkeypatch.setattr(catalog_module, "MAX_ITEMS", 2)
    catalog = Catalog()
    assert len(catalog.merge([server(f"i-{n}") for n in range(5)], 0.0)) == 2
    assert catalog.merge([server("i-0", sequence=2)], 0.0)


def test_only_ranges_that_differ_are_told_of():
    one, other = Catalog(), Catalog()
    items = [server(f"i-{n}") for n in range(100)]
    one.merge(items, 0.0)
    other.merge(items[1:], 0.0)
    (answer,) = other.answer(one.digests())
    assert answer.ranges == (range_of("server/i-0"),)
    assert len(answer.versions) < 30
    assert other.answer(RangeDigests(())) == []


def test_rendezvous_moves_only_what_the_one_who_is_gone_had():
    names = [f"n-{n}" for n in range(10)]
    keys = [f"k-{n}" for n in range(200)]
    owners = {key: ranked(key, names)[0] for key in keys}
    after = {key: ranked(key, names[1:])[0] for key in keys}
    assert all(after[key] == owner for key, owner in owners.items() if owner != "n-0")
    assert len(set(owners.values())) == 10

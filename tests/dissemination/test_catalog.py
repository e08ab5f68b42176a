"""Catalogs converge whatever the order, duplication and delay of items, and versions never go back."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from fordtrestle.dissemination import catalog as catalog_module
from fordtrestle.dissemination.catalog import TOMBSTONE_S, UNRESPONSIVE_RETENTION_S, Catalog
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
from fordtrestle.dissemination.range_digests import range_of
from fordtrestle.dissemination.rendezvous import ranked


def server(instance="i-1", sequence=1, phase=Phase.SERVING, is_unresponsive=False):
    record = ServerRecord(
        instance, "pool", "10.0.0.1:80", "z-1", 4, phase, is_unresponsive, 0.0, None, (), "core-1"
    )
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


def reconcile(one: Catalog, other: Catalog, now: float = 0.0) -> None:
    """Run anti-entropy between two catalogs, starting with the digests of `one`."""
    pending = [(other, one, one.digests())]
    while pending:
        receiver, sender, message = pending.pop(0)
        if isinstance(message, Update):
            receiver.merge(message.items, now)
        pending += [(sender, receiver, answer) for answer in receiver.answer(message)]


def versions_in(catalog: Catalog) -> dict[str, object]:
    return {key: item.version for key, item in catalog._items.items()}


@given(st.lists(ITEMS, max_size=30), st.lists(ITEMS, max_size=30))
def test_catalogs_hold_the_same_after_anti_entropy(our_items, their_items):
    one, other = Catalog(), Catalog()
    one.merge(our_items, 0.0)
    other.merge(their_items, 0.0)
    reconcile(one, other)
    assert versions_in(one) == versions_in(other)
    assert one.digests() == other.digests()
    assert other.answer(one.digests()) == []


@given(st.lists(ITEMS, max_size=30), st.randoms())
def test_the_order_in_which_items_come_does_not_matter(items, random):
    one, other = Catalog(), Catalog()
    one.merge(items, 0.0)
    random.shuffle(items)
    for item in items:
        other.merge([item, item], 0.0)
    assert versions_in(one) == versions_in(other)
    assert one.digests() == other.digests()


def test_a_later_phase_is_newer_than_any_heartbeat_and_unresponsive_only_than_the_last_one():
    catalog = Catalog()
    catalog.merge([server(sequence=5)], 0.0)
    assert catalog.merge([server(sequence=5, is_unresponsive=True)], 0.0)
    assert catalog.merge([server(sequence=6)], 0.0)
    assert not catalog.merge([server(sequence=5, is_unresponsive=True)], 0.0)
    assert catalog.merge([server(sequence=6, phase=Phase.DRAINING)], 0.0)
    assert not catalog.merge([server(sequence=9)], 0.0)
    assert catalog.merge([server(sequence=1, phase=Phase.DEPARTED)], 0.0)
    assert not catalog.merge([server(sequence=9, phase=Phase.DRAINING)], 0.0)


def test_a_member_refutes_that_it_is_down_with_its_next_item():
    catalog = Catalog()
    catalog.merge([member(counter=2)], 0.0)
    assert catalog.merge([member(counter=2, availability=Availability.DOWN)], 0.0)
    assert not catalog.merge([member(counter=2)], 0.0)
    assert catalog.merge([member(counter=3)], 0.0)
    assert catalog.merge([member(incarnation=2, counter=1)], 0.0)


def test_tombstones_expire_only_once_no_old_message_can_be_in_flight():
    catalog = Catalog()
    catalog.merge([server(phase=Phase.DEPARTED), server("i-2")], 0.0)
    catalog.expire(TOMBSTONE_S)
    assert not catalog.merge([server(sequence=9)], TOMBSTONE_S)
    catalog.expire(TOMBSTONE_S + 1.0)
    assert [record.instance for record, _ in catalog.servers()] == ["i-2"]
    other = Catalog()
    other.merge([server("i-2")], 0.0)
    assert catalog.digests() == other.digests()


def test_an_expired_item_is_not_accepted_again_from_a_process_that_still_holds_it():
    """Otherwise each process would keep sending it to the other, and neither would ever drop it."""
    one, other = Catalog(), Catalog()
    one.merge([server(phase=Phase.DEPARTED)], 0.0)
    other.merge([server(phase=Phase.DEPARTED)], 1.0)
    for tenth in range(10 * int(TOMBSTONE_S), 10 * int(TOMBSTONE_S) + 30):
        now = tenth / 10
        for catalog, peer in ((one, other), (other, one)):
            catalog.expire(now)
            reconcile(catalog, peer, now)
    assert not versions_in(one)
    assert not versions_in(other)
    assert one.merge([server(sequence=1, phase=Phase.DEPARTED)], 3 * TOMBSTONE_S) == [], (
        "an old message may still be in flight"
    )
    one.expire(3 * TOMBSTONE_S)
    assert one.merge([server(sequence=1)], 3 * TOMBSTONE_S)


def test_unresponsive_servers_expire_and_are_accepted_again_after_a_new_heartbeat():
    catalog = Catalog()
    items = [server("i-1", is_unresponsive=True), server("i-2", phase=Phase.DRAINING), server("i-3")]
    catalog.merge(items, 0.0)
    catalog.expire(UNRESPONSIVE_RETENTION_S)
    assert len(versions_in(catalog)) == 3
    catalog.expire(UNRESPONSIVE_RETENTION_S + 1.0)
    assert set(versions_in(catalog)) == {"server/i-3"}
    assert catalog.merge([server("i-1", sequence=2)], UNRESPONSIVE_RETENTION_S + 2.0)
    catalog.expire(3 * UNRESPONSIVE_RETENTION_S)
    assert set(versions_in(catalog)) == {"server/i-1", "server/i-3"}, "servers with heartbeats do not expire"


def test_a_full_catalog_accepts_newer_versions_but_no_new_keys(monkeypatch):
    monkeypatch.setattr(catalog_module, "MAX_ITEMS", 2)
    catalog = Catalog()
    assert len(catalog.merge([server(f"i-{n}") for n in range(5)], 0.0)) == 2
    assert catalog.merge([server("i-0", sequence=2)], 0.0)


def test_only_versions_in_ranges_that_differ_are_sent():
    one, other = Catalog(), Catalog()
    items = [server(f"i-{n}") for n in range(100)]
    one.merge(items, 0.0)
    other.merge(items[1:], 0.0)
    (answer,) = other.answer(one.digests())
    assert answer.ranges == (range_of("server/i-0"),)
    assert len(answer.versions) < 30
    assert other.answer(RangeDigests(())) == []


def test_rendezvous_moves_only_the_keys_of_the_name_that_was_removed():
    names = [f"n-{n}" for n in range(10)]
    keys = [f"k-{n}" for n in range(200)]
    owners = {key: ranked(key, names)[0] for key in keys}
    after = {key: ranked(key, names[1:])[0] for key in keys}
    assert all(after[key] == owner for key, owner in owners.items() if owner != "n-0")
    assert len(set(owners.values())) == 10

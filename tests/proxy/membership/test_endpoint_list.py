"""An endpoint list after updates: equal content gives an equal list, regardless of the updates."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from fordtrestle.balancer.model import Listing
from fordtrestle.proxy.engine.ports import Address, ServerList
from fordtrestle.proxy.membership.endpoint_list import EndpointList

NAMES = [f"s{i}" for i in range(6)]
FIELDS = {"zone": 1, "kind": 2, "cell": 3, "weight": 2.5, "started": 7.0, "state": "leaving"}


def update(version, *listings, is_complete=True, ports=None):
    addresses = {row.server: Address("127.0.0.1", (ports or {}).get(row.server, 1)) for row in listings}
    return ServerList(version, is_complete, list(listings), addresses)


def list_after(*updates):
    endpoints = EndpointList()
    for form, applied in updates:
        endpoints.apply(form, applied)
    return endpoints


ROWS = st.builds(
    Listing,
    st.sampled_from(NAMES),
    zone=st.integers(0, 2),
    cell=st.integers(0, 2),
    state=st.sampled_from(["active", "leaving", "left"]),
    weight=st.sampled_from([1.0, 2.0]),
    started=st.sampled_from([0.0, 5.0]),
)
PORTS = {name: 1 + i for i, name in enumerate(NAMES)}


@given(
    st.lists(ROWS), st.lists(st.lists(ROWS, max_size=3), max_size=6), st.sampled_from(["remembered", "all"])
)
def test_changes_one_by_one_equal_the_complete_list_at_once(first, changes, form):
    steps = [(form, update(1, *first, ports=PORTS))]
    steps += [
        ("changes", update(2 + i, *rows, is_complete=False, ports=PORTS)) for i, rows in enumerate(changes)
    ]
    made = list_after(*steps)
    last = {row.server: row for rows in (first, *changes) for row in rows}
    stay = [row for row in last.values() if row.state != "left"]
    at_once = list_after(("all", update(1 + len(changes), *stay, ports=PORTS)))
    assert (made.version, made.digest, made.entry_digests()) == (
        at_once.version,
        at_once.digest,
        at_once.entry_digests(),
    )
    assert made.to_server_list() == at_once.to_server_list()
    assert sorted(made.entry_digests()) == sorted(row.server for row in stay)
    again = list_after(("remembered", made.to_server_list()))  # as the next start of the process does
    assert (again.digest, again.to_server_list()) == (made.digest, made.to_server_list())


def test_the_digest_covers_each_field_and_the_address():
    """Different contents have different digests."""
    rows = [Listing("a"), *(Listing("a")._replace(**{name: value}) for name, value in FIELDS.items())]
    made = [list_after(("all", update(1, row))) for row in (*rows, Listing("b"))]
    made.append(list_after(("all", update(1, Listing("a"), ports={"a": 2}))))
    assert len({endpoints.digest for endpoints in made}) == len(made)
    digests = [endpoints.entry_digests() for endpoints in made[:-2]]
    assert digests[-1]["a"] == digests[0]["a"].replace("active", "leaving")
    assert len({str(entries) for entries in digests}) == len(digests)


def test_apply_returns_whether_the_version_or_the_content_has_changed():
    made = list_after(("all", update(1, Listing("a"), Listing("b"))))
    assert not made.apply("changes", update(1, is_complete=False))
    assert not made.apply("all", update(1, Listing("b"), Listing("a")))
    assert made.apply("changes", update(2, is_complete=False))
    assert made.apply("changes", update(2, Listing("a", state="left"), is_complete=False))
    assert list(made.entry_digests()) == ["b"]


def test_a_new_server_at_the_address_of_another_replaces_it_as_in_the_engine():
    made = list_after(("all", update(1, Listing("a"), Listing("b"), ports={"a": 1, "b": 2})))
    made.apply("changes", update(2, Listing("c"), is_complete=False, ports={"c": 1}))
    assert sorted(made.entry_digests()) == ["b", "c"]


def test_an_entry_without_an_address_keeps_its_previous_address():
    made = list_after(("all", update(1, Listing("a"), ports={"a": 4})))
    made.apply("changes", ServerList(2, False, [Listing("a", weight=2.0)], {}))
    assert made.to_server_list().addresses == {"a": Address("127.0.0.1", 4)}

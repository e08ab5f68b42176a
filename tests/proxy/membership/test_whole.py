"""A list as it stands after all that was said of it, whatever the way there."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from fordtrestle.balancer.model import Listing
from fordtrestle.proxy.engine.ports import Address, ServerList
from fordtrestle.proxy.membership.whole import Whole

NAMES = [f"s{i}" for i in range(6)]
FIELDS = {"zone": 1, "kind": 2, "cell": 3, "weight": 2.5, "started": 7.0, "state": "leaving"}


def news(version, *listings, whole=True, ports=None):
    addresses = {row.server: Address("127.0.0.1", (ports or {}).get(row.server, 1)) for row in listings}
    return ServerList(version, whole, list(listings), addresses)


def taken(*said):
    made = Whole()
    for form, told in said:
        made.take(form, told)
    return made


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
def test_changes_one_by_one_are_the_whole_at_once(first, changes, form):
    steps = [(form, news(1, *first, ports=PORTS))]
    steps += [("changes", news(2 + i, *rows, whole=False, ports=PORTS)) for i, rows in enumerate(changes)]
    made = taken(*steps)
    last = {row.server: row for rows in (first, *changes) for row in rows}
    stay = [row for row in last.values() if row.state != "left"]
    at_once = taken(("all", news(1 + len(changes), *stay, ports=PORTS)))
    assert (made.version, made.digest, made.entries()) == (at_once.version, at_once.digest, at_once.entries())
    assert made.listed() == at_once.listed()
    assert sorted(made.entries()) == sorted(row.server for row in stay)
    again = taken(("remembered", made.listed()))  # as a later life begins with it
    assert (again.digest, again.listed()) == (made.digest, made.listed())


def test_each_field_and_the_address_tell_lists_apart():
    """Guards against two contents under one digest."""
    rows = [Listing("a"), *(Listing("a")._replace(**{name: value}) for name, value in FIELDS.items())]
    made = [taken(("all", news(1, row))) for row in (*rows, Listing("b"))]
    made.append(taken(("all", news(1, Listing("a"), ports={"a": 2}))))
    assert len({whole.digest for whole in made}) == len(made)
    shown = [whole.entries() for whole in made[:-2]]
    assert shown[-1]["a"] == shown[0]["a"].replace("active", "leaving")
    assert len({str(entries) for entries in shown}) == len(shown)


def test_only_what_is_new_counts_as_news():
    made = taken(("all", news(1, Listing("a"), Listing("b"))))
    assert not made.take("changes", news(1, whole=False))
    assert not made.take("all", news(1, Listing("b"), Listing("a")))
    assert made.take("changes", news(2, whole=False))
    assert made.take("changes", news(2, Listing("a", state="left"), whole=False))
    assert list(made.entries()) == ["b"]


def test_a_newcomer_at_the_address_of_another_takes_its_place_as_it_does_in_the_engine():
    made = taken(("all", news(1, Listing("a"), Listing("b"), ports={"a": 1, "b": 2})))
    made.take("changes", news(2, Listing("c"), whole=False, ports={"c": 1}))
    assert sorted(made.entries()) == ["b", "c"]


def test_an_entry_without_an_address_keeps_the_one_it_had():
    made = taken(("all", news(1, Listing("a"), ports={"a": 4})))
    made.take("changes", ServerList(2, False, [Listing("a", weight=2.0)], {}))
    assert made.listed().addresses == {"a": Address("127.0.0.1", 4)}

"""Proposals as operators write them, and what a process is told by the rules in force."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given, settings
from msgspec.structs import replace

from fordtrestle.cluster.rulebook import EMPTY, Act, Change, allows, apply, check, floor, meet
from fordtrestle.config import operator, options, rulebooks
from fordtrestle.config.operator import OperatorError
from fordtrestle.config.options import Start
from fordtrestle.config.sources import StaticSpec
from fordtrestle.engine.ports import Address, ServerList
from poppypulley.model import Listing
from tests.cluster.books import CLASSES, pairs

DEPLOY = Path(__file__).resolve().parents[2] / "deploy"
EXAMPLES = sorted(str(path) for path in DEPLOY.glob("example-*.toml") if "\n[front." in path.read_text())
START = Start(number=7, seed=1, granted=1024)

GOOD = """
remove = ["old"]
[service.shop]
source = "fleet"
zones = ["east", "west"]
drain_grace_ms = 250
[service.shop.class.look]
semantics = "safe"
deadline_ms = 1000
[source.fleet]
kind = "static"
server = [
    { name = "s1", address = "[::1]:9001", weight = 2 },
    { name = "s0", address = "127.0.0.1:9000", zone = "west", cell = 3 },
]
"""


def read(tmp_path, text):
    path = tmp_path / "rules.toml"
    path.write_text(text)
    return rulebooks.read(str(path))


def lines(tmp_path, text):
    with pytest.raises(OperatorError) as raised:
        read(tmp_path, text)
    return [line.removeprefix(f"{tmp_path / 'rules.toml'}: ") for line in raised.value.lines]


def acting_of(told):
    book = apply(EMPTY, rulebooks.change_of(told), 1)
    assert check(book, EMPTY) == []
    return meet([book])


# --- there and back -------------------------------------------------------------------


@pytest.mark.parametrize("file", EXAMPLES, ids=[Path(file).name for file in EXAMPLES])
def test_what_an_operator_file_says_reaches_the_parts_unchanged_by_way_of_a_book(file):
    told = operator.read(file)
    acting = acting_of(told)
    acted = rulebooks.acted_on(told, acting)
    assert acted == told
    for name, service in told.services.items():
        assert rulebooks.settings_of(acting, told, name, START) == options.settings(told, name, START)
        assert rulebooks.names_of(acting, name) == options.names(service)
        assert options.pool_options(acted, name, START) == options.pool_options(told, name, START)
        if isinstance(source := told.sources[service.source], StaticSpec):
            listed, usual = rulebooks.server_list_of(acting, name, 4), options.server_list(source, service, 4)
            assert sorted(listed.entries) == sorted(usual.entries)
            assert (listed.version, listed.whole, listed.addresses) == (4, True, usual.addresses)


def test_the_examples_are_there():
    assert {"example-http.toml", "example-registry.toml"} <= {Path(file).name for file in EXAMPLES}


def test_a_registrys_list_becomes_rules_and_back():
    told = operator.read(str(DEPLOY / "example-http.toml"))
    entries = [
        Listing("s9", 1, 0, 4, "leaving", 2.0, 1700000000123.0),
        Listing("s1", 0, 0, 0, "active"),
        Listing("s2", 0, 0, 0, "left"),
        Listing("s3"),
    ]
    addresses = {"s9": Address("::1", 80), "s1": Address("h", 81), "s2": Address("h", 82)}
    rows = rulebooks.from_listing(ServerList(5, True, entries, addresses), told.services["shop"])
    assert [(row.name, row.address, row.status, row.zone) for row in rows] == [
        ("s1", "h:81", "active", "east"),
        ("s9", "[::1]:80", "leaving", "west"),
    ]
    book = apply(EMPTY, rulebooks.change_of(told), 1)
    book = apply(book, Change(lists={"shop": rows}), 2)
    assert check(book) == []
    listed = rulebooks.server_list_of(meet([book]), "shop", 5)
    assert listed.entries == [entries[1], entries[0]]
    assert listed.addresses == {name: addresses[name] for name in ("s1", "s9")}


@pytest.mark.parametrize(
    "entry", [Listing("a b"), Listing("\ud800"), Listing("s", cell=2**60), Listing("s", weight=0.0)]
)
def test_a_server_of_which_no_rule_can_tell_is_named(entry):
    told = operator.read(str(DEPLOY / "example-http.toml"))
    listed = ServerList(1, True, [entry], {entry.server: Address("h", 1)})
    with pytest.raises(ValueError, match="server '"):
        rulebooks.from_listing(listed, told.services["shop"])


# --- proposals ------------------------------------------------------------------------------


def test_the_example_is_a_good_proposal():
    change = rulebooks.read(str(DEPLOY / "example-rules.toml"))
    assert check(apply(EMPTY, change, 1), EMPTY) == []
    assert [row.name for row in change.lists["shop"]] == ["s1", "s2", "s3"]


def test_a_proposal_is_read(tmp_path):
    change = read(tmp_path, GOOD)
    assert change.removed == ("old",)
    assert change.services["shop"].drain_grace_ms == 250.0
    assert [(row.name, row.address, row.group) for row in change.lists["shop"]] == [
        ("s0", "127.0.0.1:9000", 3),
        ("s1", "[::1]:9001", 0),
    ]


def test_a_proposal_of_lists_alone_names_them_by_service(tmp_path):
    change = read(tmp_path, '[source.shop]\nkind = "static"\nserver = [{ name = "s", address = "[::1]:1" }]')
    assert change.services == {}
    assert [row.name for row in change.lists["shop"]] == ["s"]


def test_a_service_whose_source_is_elsewhere_keeps_its_list(tmp_path):
    change = read(tmp_path, GOOD[: GOOD.index("[source")])
    assert list(change.services) == ["shop"]
    assert change.lists == {}


# Three lines each: what stands in the good file, what takes its place, and what is told of it.
FAULTS = r"""
remove = ["old"]
remov = ["old"]
remov: no such key; did you mean remove?
remove = ["old"]
remove = ["shop"]
remove: shop is proposed here, too
drain_grace_ms = 250
zone = "east"
service.shop.zone: each process has its own, and it is no rule
drain_grace_ms = 250
drain_grace = 250
service.shop.drain_grace: no such key; did you mean drain_grace_ms?
deadline_ms = 1000
deadline_ms = "1"
service.shop.class.look.deadline_ms: expected a number, not "1"
[source.fleet]
[front.web]\n[source.fleet]
front: no such key
[source.fleet]
[source.other]\nkind = "static"\nserver = [{ name = "s", address = "[::1]:1" }]\n[source.fleet]
source.other: no service of this file has it
[source.fleet]
[source.r]\nkind = "registry"\naddress = "[::1]:1"\n[source.fleet]
source.r: only lists can be proposed; a registry is asked by each process
zone = "west"
zone = "north"
source.fleet.server[1].zone: north is not among service.shop.zones
127.0.0.1:9000
127.0.0.1:0
list.shop.s0.address: '127.0.0.1:0' is not an address (host:port)
""".strip().splitlines()


@pytest.mark.parametrize(("old", "new", "told"), list(zip(*[iter(FAULTS)] * 3, strict=True)))
def test_a_bad_proposal_is_told_what_is_wrong(tmp_path, old, new, told):
    assert GOOD.count(old) == 1
    assert told in lines(tmp_path, GOOD.replace(old, new.replace(r"\n", "\n")))


def test_all_that_is_wrong_is_told_at_once(tmp_path):
    bad = GOOD.replace("weight = 2", "weight = -1").replace("250", "-250").replace("remove", "removed")
    assert [line.split(":")[0] for line in lines(tmp_path, bad)] == [
        "service.shop.drain_grace_ms",
        "source.fleet.server[0].weight",
        "removed",
    ]


def test_an_empty_proposal_is_refused(tmp_path):
    assert lines(tmp_path, "") == ["proposes nothing"]


# --- what the decision module keeps to ----------------------------------------------------


TOLD = operator.read(str(DEPLOY / "example-http.toml"))


def module_repeats(acting, service, act):
    """Whether the decision module may send a call again that may have run, by what it is told."""
    told = rulebooks.acted_on(operator_of(service), acting)
    spec = told.services[service].classes.get(act.name)
    cells = {row.server: row for row in rulebooks.server_list_of(acting, service, 1).entries}
    ran, to = cells.get(act.ran_at), cells.get(act.server)
    if spec is None or to is None or to.state != "active":
        return False
    if spec.semantics != "keyed" or act.amount >= spec.key_window_ms:
        return spec.semantics == "safe"
    if spec.group == "all" or ran is None:
        return spec.group == "all"
    return ran.zone == to.zone if spec.group == "zone" else ran.cell == to.cell


def operator_of(service):
    """An operator file with that service."""
    shop = TOLD.services["shop"]
    return operator.Operator({service: shop}, {}, TOLD.sources, TOLD.limits, TOLD.process)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(pairs)
def test_the_decision_module_repeats_only_what_the_rules_in_force_allow(pair):
    acting = meet(pair)
    for service, acted in acting.services.items():
        names = rulebooks.names_of(acting, service).classes
        if not acted.rules.classes:
            assert names == {}
            continue
        profiles = rulebooks.settings_of(acting, operator_of(service), service, START).profiles
        assert [kind.traffic_class for kind in names.values()] == list(range(len(profiles)))
        for name in CLASSES:
            for ran_at in acted.servers:
                for server in acted.servers.values():
                    act = Act(
                        service,
                        "repeat",
                        name,
                        server.rules.name,
                        server.rules.incarnation,
                        server.rules.address,
                    )
                    act = replace(act, ran_at=ran_at, amount=1.0, keyed=name in names and names[name].keyed)
                    if module_repeats(acting, service, act):
                        assert allows(acting, act)


def test_where_zones_are_about_to_be_one_cells_keep_them_apart(tmp_path):
    text = GOOD.replace('"safe"', '"keyed"\ngroup = "zone"\nkey_window_ms = 10').replace(", cell = 3", "")
    old = apply(EMPTY, read(tmp_path, text), 1)
    rows = tuple(replace(row, zone="east") for row in old.lists["shop"])
    new = apply(old, Change(lists={"shop": rows}), 2)
    for books, group, apart in (([old, new], "cell", True), ([new], "zone", False)):
        acting = meet(books)
        listed = rulebooks.server_list_of(acting, "shop", 1).entries
        told = rulebooks.acted_on(operator_of("shop"), acting).services["shop"]
        assert told.classes["look"].group == group
        assert [row.zone for row in listed] == [0, 0]  # placed by the new one
        assert (listed[0].cell != listed[1].cell) == apart


def test_cells_tell_zones_and_cells_apart_where_classes_go_by_both():
    shop = apply(EMPTY, rulebooks.change_of(TOLD), 1).services["shop"]
    keyed = [replace(shop.classes[1], name=name, group=name) for name in ("zone", "cell")]
    rows = [
        replace(row, name=f"{zone}{cell}", zone=zone, group=cell)
        for row in rulebooks.change_of(TOLD).lists["shop"][:1]
        for zone in ("east", "west")
        for cell in (1, 2)
    ]
    rules = {"shop": replace(shop, classes=tuple(keyed))}
    old = apply(EMPTY, Change(rules, {"shop": tuple(rows)}), 1)
    new = apply(old, Change(lists={"shop": tuple(replace(row, zone="east") for row in rows)}), 2)
    assert len({row.cell for row in rulebooks.server_list_of(meet([old, new]), "shop", 1).entries}) == 4


def test_a_zone_that_the_rules_lack_counts_as_none():
    book = apply(EMPTY, rulebooks.change_of(TOLD), 1)
    other = apply(book, Change({"shop": replace(book.services["shop"], zones=("north",))}), 2)
    assert TOLD.services["shop"].zone == "east"
    assert rulebooks.settings_of(meet([other]), TOLD, "shop", START).locality == 0


def test_meet_and_floor_reach_the_settings():
    old = apply(EMPTY, rulebooks.change_of(TOLD), 1)
    shop = old.services["shop"]
    new = apply(old, Change({"shop": replace(shop, attempts_most=2, retry_after_most_ms=9000.0)}), 2)
    both = rulebooks.settings_of(meet([old, new]), TOLD, "shop", START)
    assert (both.max_attempts, both.max_retry_after) == (2, 2000.0)
    acting = floor(meet([old]))
    left = rulebooks.settings_of(acting, TOLD, "shop", START)
    assert (left.max_attempts, left.may_probe, left.over_share_worth) == (1, False, 1.0)
    assert {row.semantics for row in left.profiles} == {"side_effect"}
    assert {row.worth for row in left.profiles} == {1.0}
    # requests are written as ever
    assert rulebooks.names_of(acting, "shop") == options.names(TOLD.services["shop"])


def test_a_call_without_a_key_is_not_repeated_where_it_is_about_to_need_one(tmp_path):
    old = apply(EMPTY, read(tmp_path, GOOD), 1)
    shop = old.services["shop"]
    keyed = replace(shop.classes[0], semantics="keyed", group="all", key_window_ms=5.0)
    acting = meet([old, apply(old, Change({"shop": replace(shop, classes=(keyed,))}), 2)])
    told = rulebooks.acted_on(operator_of("shop"), acting).services["shop"]
    assert told.classes["look"].semantics == "unsafe"
    assert rulebooks.names_of(acting, "shop").classes["look"].method == "GET"


def test_a_service_that_the_rules_lack_stays_as_the_file_has_it():
    assert rulebooks.acted_on(TOLD, meet([EMPTY])) == TOLD
    book = apply(EMPTY, rulebooks.change_of(TOLD), 1)
    shop = book.services["shop"]
    other = apply(book, Change({"shop": replace(shop, classes=(replace(shop.classes[0], name="other"),))}), 2)
    assert rulebooks.acted_on(TOLD, meet([book, other])) == TOLD
    assert rulebooks.names_of(meet([book, other]), "shop").classes == {}

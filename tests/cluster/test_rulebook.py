"""Rulebooks: one digest a content, what two contradict in, and what is allowed while one follows another."""

from __future__ import annotations

import os
import subprocess
import sys

import msgspec
import pytest
from hypothesis import given, settings

from fordtrestle.cluster import rulebook
from fordtrestle.cluster.messages import Books
from fordtrestle.cluster.rulebook import (
    EMPTY,
    SENDS,
    Act,
    Change,
    ClassRules,
    Rulebook,
    ServerRules,
    ServiceRules,
    TenantRules,
    View,
    allows,
    apply,
    check,
    contradicts,
    decode,
    delta,
    difference,
    digest_of,
    encode,
    floor,
    meet,
    patch,
    permissions,
)
from tests.cluster.books import acts, books, pairs

EXAMPLES = settings(max_examples=150, deadline=None, derandomize=True)

SAFE = ClassRules("look", "safe", 100, 1000)
KEYED = ClassRules("book", "keyed", 100, 1000, group="zone", key_window_ms=500.0)
SHOP = ServiceRules((SAFE, KEYED), zones=("east", "west"), drain_grace_ms=100.0)
ROWS = (
    ServerRules("s0", "h0:1", zone="east", group=1),
    ServerRules("s1", "h1:1", zone="east", group=1),
    ServerRules("s2", "h2:1", zone="west", group=2),
    ServerRules("s3", "h3:1", zone="east", group=3),
)
BASE = apply(EMPTY, Change({"shop": SHOP}, {"shop": ROWS}), 1)


def shop(**changes):
    """The second book: the first with its service changed."""
    return apply(BASE, Change({"shop": msgspec.structs.replace(SHOP, **changes)}), 2)


def with_class(row, **changes):
    rows = {kind.name: kind for kind in SHOP.classes} | {row.name: msgspec.structs.replace(row, **changes)}
    return shop(classes=tuple(rows.values()))


def with_server(at, **changes):
    rows = list(ROWS)
    rows[at] = msgspec.structs.replace(ROWS[at], **changes)
    return apply(BASE, Change(lists={"shop": tuple(rows)}), 2)


def send(what="first", name="look", server="s0", **changes):
    row = next((row for row in ROWS if row.name == server), ServerRules(server, "h9:1"))
    act = Act("shop", what, name, server, row.incarnation, row.address)
    return msgspec.structs.replace(act, **changes)


def repeat(ran_at="s1", amount=1.0, **changes):
    return send("repeat", "book", ran_at=ran_at, amount=amount, keyed=True, hop=1, **changes)


def may(act, *made):
    return allows(meet(made), act)


# --- content and digests --------------------------------------------------------------


@EXAMPLES
@given(books)
def test_a_book_is_the_same_after_the_wire(book):
    again = msgspec.msgpack.decode(msgspec.msgpack.encode(Books((book,))), type=Books).books[0]
    assert again == book == decode(encode(book))
    assert again.digest == digest_of(book)


def test_a_change_is_the_same_after_the_wire():
    change = Change({"shop": SHOP}, {"shop": ROWS}, ("old",))
    assert msgspec.convert(msgspec.msgpack.decode(msgspec.msgpack.encode(change)), Change) == change


def test_digests_do_not_hang_on_the_order_of_names_or_on_whole_numbers():
    one = Rulebook(1, "", {"a": SHOP, "b": SHOP}, {})
    other = Rulebook(1, "", {"b": SHOP, "a": msgspec.structs.replace(SHOP, drain_grace_ms=100)}, {})
    assert one == other
    assert one.digest == other.digest
    assert rulebook.content_digest(one) == rulebook.content_digest(msgspec.structs.replace(other, number=2))
    assert one.digest != msgspec.structs.replace(other, number=2).digest


@EXAMPLES
@given(pairs)
def test_a_digest_tells_contents_apart(pair):
    one, other = pair
    assert (one.content == other.content) == (one == other)


def test_a_digest_is_the_same_in_every_process():
    code = "import sys, fordtrestle.cluster.rulebook as r; print(r.decode(sys.stdin.buffer.read()).digest)"
    for seed in ("1", "77"):
        env = os.environ | {"PYTHONHASHSEED": seed}
        ran = subprocess.run(
            [sys.executable, "-c", code],
            input=encode(BASE),
            env=env,
            capture_output=True,
            timeout=60,
            check=True,
        )
        assert ran.stdout.decode().strip() == digest_of(BASE)


@pytest.mark.parametrize("figure", [float("nan"), float("inf"), -1.0, 1e12])
def test_a_figure_out_of_its_bounds_does_not_pass_the_wire(figure):
    with pytest.raises(msgspec.ValidationError):
        decode(encode(shop(drain_grace_ms=figure)))


def test_a_book_that_is_too_large_is_not_decoded():
    with pytest.raises(msgspec.ValidationError, match="at the most"):
        decode(encode(BASE) + b"0" * rulebook.BYTES_MOST)


# --- checks -----------------------------------------------------------------------------


MANY = tuple(ServerRules(f"s{i:05}", f"h{i}:1") for i in range(rulebook.SERVERS_MOST + 1))
LONG = tuple(ServerRules(f"{i:0128}", f"{i:0250}:1") for i in range(4000))
TWICE = (TenantRules("t", share=0.7), TenantRules("t", share=0.7))
FAULTS = [
    (shop(drain_grace_ms=-1.0), "service.shop.drain_grace_ms: expected float >= 0.0"),
    (shop(attempts_most=0), "service.shop.attempts_most: expected int >= 1"),
    (shop(classes=()), "service.shop.class: at least one is needed"),
    (shop(classes=(SAFE, SAFE)), "service.shop.class.look: there more than once"),
    (with_class(SAFE, aim_ms=2000.0), "service.shop.class.look.deadline_ms: 1000 is less than aim_ms, 2000"),
    (
        with_class(KEYED, key_window_ms=0.0),
        "service.shop.class.book.key_window_ms: a keyed class needs one of 1 at the least",
    ),
    (shop(tenants=TWICE), "service.shop.tenants.t: there more than once"),
    (shop(tenants=TWICE), "service.shop.tenants: their shares make 1.4, which is more than 1"),
    (
        shop(tenants=(TenantRules("t"),)),
        "service.shop.tenants.t: one of share and allowance_per_s is needed, and no more",
    ),
    (
        shop(tenants=(TenantRules("t", 0.1), TenantRules("u", None, 5.0))),
        "service.shop.tenants: all with share or all with allowance_per_s",
    ),
    (shop(zones=("east",)), "list.shop.s2.zone: west is not among the zones of its service"),
    (with_server(0, kind="big"), "list.shop.s0.kind: big is not among the kinds of its service"),
    (with_server(0, address="h0"), "list.shop.s0.address: 'h0' is not an address (host:port)"),
    (with_server(0, address="h0:0"), "list.shop.s0.address: 'h0:0' is not an address (host:port)"),
    (with_server(0, address="[::g]:1"), "list.shop.s0.address: '[::g]:1' is not an address (host:port)"),
    (with_server(1, address="h0:1"), "list.shop.s1.address: taken by s0"),
    (with_server(1, name="s0"), "list.shop.s0: there more than once"),
    (with_server(1, weight=float("nan")), "list.shop.s1.weight: expected float >= 1e-09"),
    (apply(BASE, Change(lists={"other": ROWS}), 2), "list.other: there is no service other"),
    (Rulebook(2, BASE.digest, {"shop": SHOP}, {"shop": ROWS[::-1]}), "list.shop: not sorted by name"),
    (
        apply(BASE, Change({f"s{i}": SHOP for i in range(16)}), 2),
        "service: 17, and there may be 16",
    ),
    (apply(BASE, Change(lists={"shop": MANY}), 2), "list: 10001 servers, and there may be 10000"),
    (apply(BASE, Change(lists={"shop": LONG}), 2), "bytes, and a rulebook has 1048576 at the most"),
    (apply(BASE, Change(), 3), "number: 3 does not follow 1"),
    (
        Rulebook(2, "0" * 16, BASE.services, BASE.lists),
        "parent: 0000000000000000 is not the digest of number 1",
    ),
]


@pytest.mark.parametrize(("book", "line"), FAULTS, ids=[line[:50] for _, line in FAULTS])
def test_a_bad_book_is_told_what_is_wrong_with_it(book, line):
    assert [told for told in check(book, BASE) if told.endswith(line)]


def test_a_good_book_has_no_faults():
    assert check(BASE, EMPTY) == check(BASE) == check(shop(), BASE) == []
    full = tuple(msgspec.structs.replace(row, zone="east") for row in MANY[:-1])
    assert check(apply(BASE, Change(lists={"shop": full}), 2), BASE) == []
    assert check(with_server(1, address="[::1]:80"), BASE) == []


def test_a_service_that_is_removed_goes_with_its_list():
    assert apply(BASE, Change(removed=("shop",)), 2) == Rulebook(2, BASE.digest, {}, {})


# --- meet: laws ---------------------------------------------------------------------------


@EXAMPLES
@given(pairs, books)
def test_the_meet_is_commutative_associative_and_idempotent_in_what_it_allows(pair, third):
    one, other = pair
    assert permissions(meet([one, other])) == permissions(meet([other, one]))
    assert permissions(meet([one, one])) == permissions(meet([one]))
    assert permissions(meet([one, other, third])) == permissions(meet([third, one, other, one]))


@EXAMPLES
@given(pairs, acts)
def test_the_meet_allows_what_both_allow_and_nothing_else(pair, some):
    """But for repeats of a class whose group differs, or whether it has one (see `meet`)."""
    one, other, both = (meet(made) for made in ([pair[0]], [pair[1]], pair))
    for act in some:
        if allows(both, act):
            assert allows(one, act)
            assert allows(other, act)
        elif act.what != "repeat" or grouped(pair[0], act) == grouped(pair[1], act):
            assert not (allows(one, act) and allows(other, act))


def grouped(book, act):
    """By what the class of an act may be repeated."""
    rows = book.services[act.service].classes if act.service in book.services else ()
    return next(((row.semantics, row.group) for row in rows if row.name == act.name), None)


@EXAMPLES
@given(pairs, acts)
def test_what_one_allows_and_the_other_does_not_is_told_of_its_service_or_server(pair, some):
    found = contradicts(*pair)
    assert found == sorted(contradicts(*pair[::-1]))
    assert contradicts(pair[0], pair[0]) == []
    rules = {row.rule for row in found if row.kind == "permission"}
    one, other = meet(pair[:1]), meet(pair[1:])
    for act in some:
        if allows(one, act) != allows(other, act):
            about = {f"list:{act.service}/{server}" for server in (act.server, act.ran_at)}
            assert rules & {f"settings:{act.service}", *about}, act


@EXAMPLES
@given(pairs, acts)
def test_what_is_done_with_the_lease_run_out_all_allow_that_know_class_and_server(pair, some):
    left, other = floor(meet(pair[:1])), pair[1]
    for act in some:
        if act.what not in SENDS or not allows(left, act):
            continue
        assert act.what == "first"
        assert may(act, pair[0])
        if grouped(other, act) and sendable(other, act) and not act.beside:
            assert may(act, other)


def sendable(book, act):
    """Whether the server of an act is active there as it is in the act."""
    rows = [row for row in book.lists.get(act.service, ()) if row.name == act.server]
    return [(row.status, row.address, row.incarnation) for row in rows] == [
        ("active", act.address, act.incarnation)
    ]


def test_with_the_lease_run_out_only_first_attempts_are_left_and_nothing_is_enforced():
    left = floor(
        meet(
            [
                shop(
                    tenants=(TenantRules("t", 0.1),),
                    over_share_worth=0.0,
                    retry_after_most_ms=50.0,
                    probes=True,
                )
            ]
        )
    )
    assert allows(left, send())
    for act in (send("retry", hop=1), repeat(), Act("shop", "probes"), Act("shop", "cancel")):
        assert not allows(left, act)
    assert not allows(left, Act("shop", "drain_grace_ms", amount=1.0))
    assert left.services["shop"].rules.over_share_worth == 1.0
    assert not allows(floor(meet([apply(BASE, Change(removed=("shop",)), 2)])), send())


# --- what takes effect at once, and what waits ------------------------------------------------


GROWN = (*ROWS, ServerRules("s9", "h9:1"))
TIGHTER = [  # a book, and an act that it forbids and the first allows
    (with_server(0, status="leaving"), send()),
    (apply(BASE, Change(lists={"shop": ROWS[1:]}), 2), send()),
    (with_server(0, incarnation=5), send()),
    (with_server(0, address="h7:1"), send()),
    (apply(BASE, Change(removed=("shop",)), 2), send()),
    (shop(classes=(KEYED,)), send()),
    (shop(attempts_most=1), send("retry", hop=1)),
    (with_class(KEYED, key_window_ms=50.0), repeat(amount=60.0)),
    (with_class(KEYED, semantics="unsafe"), repeat()),
    (with_class(SAFE, semantics="keyed", key_window_ms=50.0), send("repeat", hop=1)),
    (with_class(KEYED, group="cell"), repeat(server="s3")),
    (with_server(1, zone="west"), repeat()),
    (with_class(SAFE, in_turn=True), send(beside=True)),
    (shop(drain_grace_ms=10.0), Act("shop", "drain_grace_ms", amount=50.0)),
    (shop(open_most=5), Act("shop", "open_most", amount=6.0)),
    (shop(connect_timeout_ms=5.0), Act("shop", "connect_timeout_ms", amount=6.0)),
    (shop(idle_close_ms=5.0), Act("shop", "idle_close_ms", amount=6.0)),
    (shop(release_ms=5.0), Act("shop", "release_ms", amount=6.0)),
    (shop(settle_ms=5.0), Act("shop", "settle_ms", amount=1.0)),
    (shop(cancel=False), Act("shop", "cancel")),
]
WIDER = [  # a book, and an act that it allows and the first forbids
    (apply(BASE, Change(lists={"shop": GROWN}), 2), send(server="s9")),
    (with_server(0, address="h7:1"), send(address="h7:1")),
    (with_server(0, incarnation=5), send(incarnation=5)),
    (shop(classes=(*SHOP.classes, ClassRules("pay", "unsafe", 1, 2))), send(name="pay")),
    (shop(attempts_most=3), send("retry", hop=2)),
    (with_class(KEYED, key_window_ms=5000.0), repeat(amount=600.0)),
    (with_class(KEYED, semantics="safe"), repeat(ran_at="s2")),
    (with_class(KEYED, group="all"), repeat(ran_at="s2")),
    (with_server(2, zone="east"), repeat(ran_at="s2")),
    (shop(probes=True), Act("shop", "probes")),
    (shop(parallel_tries=True), send("repeat", hop=1, parallel=True)),
    (shop(retry_after_most_ms=9.0), Act("shop", "retry_after_most_ms", amount=8.0)),
    (shop(drain_grace_ms=200.0), Act("shop", "drain_grace_ms", amount=150.0)),
]


@pytest.mark.parametrize(("book", "act"), TIGHTER)
def test_a_restriction_holds_as_soon_as_it_is_heard(book, act):
    assert may(act, BASE) > may(act, book)
    assert not allows(View(BASE, book).acting, act)
    assert [row for row in contradicts(BASE, book) if row.kind == "permission"]


@pytest.mark.parametrize(("book", "act"), WIDER)
def test_a_permission_waits_until_it_is_effective(book, act):
    assert may(act, book) > may(act, BASE)
    assert not allows(View(BASE, book).acting, act)
    assert allows(View(book, book).acting, act)
    assert [row for row in contradicts(BASE, book) if row.kind == "permission"]


ORDERED = [
    (with_class(SAFE, worth=5.0), "settings:shop", "class look: worth: 1 and 5"),
    (with_class(SAFE, aim_ms=50.0), "settings:shop", "class look: aim_ms: 100 and 50"),
    (shop(tenants=(TenantRules("t", 0.5),)), "settings:shop", "tenants: {'t': 0.5} and {}"),
    (shop(over_share_worth=0.5), "settings:shop", "over_share_worth: 0.5 and 1"),
    (with_server(0, weight=2.0), "list:shop/s0", "weight: 1 and 2"),
]


@pytest.mark.parametrize(("book", "rule", "why"), ORDERED)
def test_what_only_orders_is_told_apart_and_stays_as_it_is_effective(book, rule, why):
    assert [(row.rule, row.kind, row.why) for row in contradicts(BASE, book)] == [(rule, "order", why)]
    both = meet([BASE, book])
    assert permissions(both) == permissions(meet([BASE]))
    if rule.startswith("settings"):
        assert both.services["shop"].rules == SHOP
    else:  # for placement, the newest counts
        assert both.services["shop"].servers["s0"].rules.weight == 2.0


def test_zones_under_other_names_split_servers_as_before():
    rows = tuple(msgspec.structs.replace(row, zone={"east": "e", "west": "w"}[row.zone]) for row in ROWS)
    book = apply(BASE, Change({"shop": msgspec.structs.replace(SHOP, zones=("e", "w"))}, {"shop": rows}), 2)
    assert {row.kind for row in contradicts(BASE, book)} == {"order"}
    assert may(repeat(), BASE, book)


def test_a_repeat_needs_a_key_within_its_window_and_a_server_that_is_known():
    assert may(repeat(amount=499.0), BASE)
    assert not may(repeat(amount=500.0), BASE)
    assert not may(msgspec.structs.replace(repeat(), keyed=False), BASE)
    assert not may(repeat(ran_at="s8"), BASE)
    # one that has no zone counts as of the first
    assert may(repeat(), with_server(1, zone=""))
    assert not may(repeat(ran_at="s2"), with_server(1, zone=""))


def test_what_may_have_run_at_a_server_that_leaves_is_repeated_only_where_both_list_it():
    leaves, gone = with_server(1, status="leaving"), apply(BASE, Change(lists={"shop": (ROWS[0],)}), 2)
    gone = msgspec.structs.replace(leaves, lists={"shop": gone.lists["shop"] + leaves.lists["shop"][2:]})
    assert may(repeat(), leaves) > may(repeat(), gone)
    assert [(row.rule, row.kind) for row in contradicts(leaves, gone)] == [("list:shop/s1", "permission")]


def test_of_zone_and_cell_neither_holds_the_other():
    both = meet([BASE, with_class(KEYED, group="cell")])
    assert not allows(both, repeat())
    assert allows(both, send(name="book"))


def test_a_view_counts_the_books_between():
    between, last = shop(attempts_most=1), apply(shop(), Change(), 3)
    assert not allows(View(BASE, last, (between,)).acting, send("retry", hop=1))
    assert allows(View(BASE, last).acting, send("retry", hop=1))
    assert View(BASE, BASE).books == (BASE,)


def test_no_book_has_no_meet():
    with pytest.raises(ValueError, match="no rulebook"):
        meet([])


# --- differences --------------------------------------------------------------------------


@EXAMPLES
@given(pairs)
def test_a_difference_is_empty_only_where_the_content_is_the_same(pair):
    old, new = pair
    assert (difference(old, new) == []) == (old.content == new.content)


def test_a_difference_is_told_key_by_key():
    rows = (ROWS[0], msgspec.structs.replace(ROWS[1], status="leaving"), ROWS[3], GROWN[-1])
    changed = msgspec.structs.replace(SHOP, classes=(KEYED, msgspec.structs.replace(SAFE, worth=5.0)))
    book = apply(BASE, Change({"shop": changed}, {"shop": rows}), 2)
    assert [row.line for row in difference(BASE, book)] == [
        "service.shop.class.look.worth: 1 -> 5",
        "service.shop.class: order: [look, book] -> [book, look]",
        "list.shop.s1.status: active -> leaving",
        "list.shop.s2: address h2:1, status active, incarnation 0, zone west, group 2, weight 1 -> (none)",
        "list.shop.s9: (none) -> address h9:1, status active, incarnation 0, group 0, weight 1",
    ]


@EXAMPLES
@given(pairs)
def test_a_delta_makes_the_new_book_of_the_old(pair):
    old, new = pair
    made = msgspec.msgpack.decode(msgspec.msgpack.encode(delta(old, new)), type=rulebook.Delta)
    assert patch(old, made) == new
    if old != new:
        with pytest.raises(ValueError, match="made for"):
            patch(new, made)


def test_a_delta_holds_only_what_differs_and_is_checked():
    made = delta(BASE, with_server(0, status="leaving"))
    assert [row.name for row in made.lists["shop"].put] == ["s0"]
    assert made.services == {}
    with pytest.raises(ValueError, match="makes the rulebook"):
        patch(BASE, msgspec.structs.replace(made, number=7))

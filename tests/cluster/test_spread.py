"""From whom nodes renew and what they fetch: bounded, flat in cost, and never a wrong book."""

from __future__ import annotations

import random
from collections import Counter

import msgspec
import pytest
from msgspec.structs import replace

from fordtrestle.cluster import spread
from fordtrestle.cluster.grantor import CHILDREN_MOST, LEADER_CHILDREN_MOST
from fordtrestle.cluster.lease import DEPTH_MOST, Known, LeaseConfig
from fordtrestle.cluster.messages import Envelope, Grant, Renew
from fordtrestle.cluster.rulebook import EMPTY, Change, ClassRules, ServerRules, ServiceRules, apply
from fordtrestle.cluster.spread import Parents, Shelf, levels, parents, top_rank

VOTERS = ("v0", "v1", "v2")
CONFIG = LeaseConfig()
SERVICE = ServiceRules((ClassRules("get", "safe", 10.0, 100.0),))


def names(count):
    return [f"node-{i}" for i in range(count)]


# --- the tree ---------------------------------------------------------------------------------


def placed(count, seed=1):
    """Depth and parent of each node, as they come to be when all ask in a drawn order until one has room."""
    followers = names(count)
    depth, parent = {"v0": 0, "v1": 1, "v2": 1}, {"v1": "v0", "v2": "v0"}
    children = Counter(parent.values())
    by_rank = levels(followers)
    for level in sorted(by_rank, reverse=True):
        for name in random.Random(seed).sample(by_rank[level], len(by_rank[level])):
            for above in parents(name, VOTERS, followers):
                if children[above] < (LEADER_CHILDREN_MOST if above == "v0" else CHILDREN_MOST):
                    children[above] += 1
                    depth[name], parent[name] = depth[above] + 1, above
                    break
    return depth, parent


def costs(parent):
    """Messages and bytes a second that each member sends and receives for its leases."""
    asked = Envelope("c" * 16, "node-1234", "node-5678", Renew(2**62, 123456, (123456, 123457)))
    granted = Grant(2**62, 12, "v0", 3, 1234.5678, 123456, 123457, "f" * 16, "f" * 16)
    size = sum(map(len, map(msgspec.msgpack.encode, (asked, replace(asked, body=granted)))))
    inner = set(parent.values())
    renewals = Counter()
    for name, above in parent.items():
        a_second = (2.0 if name in inner else 1.0) / (0.875 * CONFIG.renew_ms / 1000.0)
        renewals[name] += a_second
        renewals[above] += a_second
    return {name: (2.0 * rate, size * rate) for name, rate in renewals.items()}


@pytest.mark.parametrize(("count", "roots"), [(10, 96), (100, 96), (500, 96), (500, 24)])
def test_cost_is_flat_and_depth_bounded_however_many_there_are(count, roots, monkeypatch):
    monkeypatch.setattr(spread, "ROOTS_MOST", roots)
    depth, parent = placed(count)
    assert len(depth) == count + len(VOTERS), "someone found no room"
    assert max(depth.values()) <= top_rank(count) + 2 <= DEPTH_MOST - 2
    cost = costs(parent)
    messages = [cost[name][0] for name in names(count)]
    assert sum(messages) / count < 14.0
    assert max(messages) <= 2.0 * (2.0 + CHILDREN_MOST * 2.0) / (0.875 * CONFIG.renew_ms / 1000.0)
    assert sum(cost[name][1] for name in names(count)) / count < 2500.0


def test_the_tree_is_low_enough_for_ten_thousand():
    assert [top_rank(count) for count in (10, 96, 97, 1153, 10_000)] == [0, 0, 1, 2, 2]


def test_a_node_that_comes_or_goes_moves_few_others():
    many = names(200)
    before = {name: parents(name, VOTERS, many)[0] for name in many}
    by_rank = levels(many)
    leaf, inner = by_rank[0][0], by_rank[1][0]
    for gone, most in ((leaf, 0), (inner, 30)):
        left = [name for name in many if name != gone]
        moved = [name for name in left if parents(name, VOTERS, left)[0] != before[name]]
        assert len(moved) <= most
        assert all(before[name] == gone for name in moved)


def test_parents_stand_higher_and_voters_come_last():
    many = names(200)
    by_rank = levels(many)
    rank_of = {name: level for level, found in by_rank.items() for name in found}
    for name in many:
        order = parents(name, VOTERS, many)
        assert sorted(order[-3:]) == sorted(VOTERS)
        assert all(rank_of[above] > rank_of[name] for above in order[:-3])
        assert len(order) == len(set(order)) <= 3 + 1 + spread.RANKS_MOST + len(VOTERS)
    assert sorted(parents("v1", VOTERS, many)) == ["v0", "v2"]
    assert sorted(parents("node-1", VOTERS, [])) == sorted(VOTERS)


def test_who_fails_is_left_aside_for_longer_each_time_and_never_all():
    many = names(400)
    it = Parents("node-7", 100.0)
    assert it.choose(0.0, "") == ""
    it.members(VOTERS, many)
    first, second, *_ = it.order("v0")
    assert it.order("v0")[-1] == "v0"
    assert it.choose(0.0, "v0") == first
    it.failed(0.0, first)
    assert [it.choose(now_ms, "v0") for now_ms in (99.0, 100.0)] == [second, first]
    it.failed(100.0, first)
    assert [it.choose(now_ms, "v0") for now_ms in (299.0, 300.0)] == [second, first]
    for who in it.order("v0"):
        it.failed(300.0, who)
    assert it.choose(301.0, "v0") == second  # the one that is back the soonest
    assert it.choose(301.0, "v0", hint="node-9") == "node-9"
    it.worked("node-9")
    it.failed(301.0, first, full=True)
    assert it.choose(302.0, "v0") == "node-9"
    assert it.choose(301.0 + spread.FULL_MS, "v0") == first
    for i in range(100):
        it.failed(302.0, f"other-{i}")
    assert len(it._aside) == spread.ASIDE_MOST


def test_a_voter_asks_the_leader_first():
    it = Parents("v1", 100.0)
    it.members(VOTERS, names(10))
    assert [it.order(leader)[0] for leader in ("v0", "v2")] == ["v0", "v2"]
    assert sorted(it.order("v1")) == ["v0", "v2"]


# --- books ------------------------------------------------------------------------------------


def chain(count, servers=3):
    books, book = {}, EMPTY
    rows = tuple(ServerRules(f"s{i:04}", f"10.0.{i // 250}.{i % 250}:80") for i in range(servers))
    for number in range(1, count + 1):
        rows = (replace(rows[0], incarnation=number), *rows[1:])
        book = apply(book, Change({"a": SERVICE}, {"a": rows}), number)
        books[number] = book
    return books


BOOKS = chain(12)


def known(effective, pending, books=BOOKS):
    return Known(1, "l", effective, pending, books[effective].digest, books[pending].digest)


def full(books=BOOKS):
    shelf = Shelf(100.0)
    for book in books.values():
        shelf.hold(book)
    return shelf


def test_of_a_storm_only_what_is_needed_is_fetched_in_one_question():
    it, source = Shelf(100.0), full()
    it.hold(BOOKS[2])
    for pending in range(3, 10):
        assert it.want(known(2 if pending < 9 else 6, pending))
    wanted = it.fetch(0.0, ["p"])
    assert (wanted.first, wanted.last, wanted.base) == (6, 9, "")
    assert it.fetch(50.0, ["p"]) is None
    whole, deltas = source.answer(6, 9, "")
    assert ([b.number for b in whole], [d.number for d in deltas]) == ([6], [7, 8, 9])
    assert it.take(60.0, "p", whole, deltas)
    assert [book.number for book in it.books(6, 9)] == [6, 7, 8, 9]
    assert it.digests[9] == BOOKS[9].digest
    assert it.next_ms() == float("inf")
    it.want(known(9, 10))
    wanted = it.fetch(70.0, ["p"])
    assert (wanted.first, wanted.base) == (10, BOOKS[9].digest)
    assert [len(part) for part in source.answer(10, 10, wanted.base)] == [0, 1]
    it.keep_from(9)
    assert min(it.digests) == 9 - spread.OLDER_KEPT


def test_a_wrong_book_is_dropped_and_fetched_elsewhere():
    forged = replace(BOOKS[4], lists={})
    it = Shelf(100.0)
    it.want(known(3, 5))
    assert it.fetch(0.0, ["p", "q"]).to == "p"
    assert not it.take(1.0, "q", [BOOKS[4]])
    it.take(1.0, "p", [BOOKS[3], forged, BOOKS[5]])
    assert sorted(it.digests) == [3, 5]
    assert it.counts == {"unasked": 1, "wrong": 1}
    wanted = it.fetch(2.0, ["p", "q"])
    assert (wanted.to, wanted.first, wanted.last) == ("q", 4, 4)
    assert it.take(3.0, "q", [BOOKS[4]])
    assert it.missing() == []


def test_a_delta_that_makes_another_book_is_followed_by_the_whole_one():
    it, source = Shelf(100.0), full()
    it.hold(BOOKS[3])
    it.want(known(3, 4))
    _, (made,) = source.answer(4, 4, it.fetch(0.0, ["p"]).base)
    assert not it.take(1.0, "p", [], [replace(made, parent="0" * 16)])
    wanted = it.fetch(2.0, ["p", "q"])
    assert (wanted.to, wanted.base) == ("q", "")
    assert source.answer(4, 4, "0" * 16) == ((BOOKS[4],), ())
    assert it.take(3.0, "q", *source.answer(4, 4, ""))


def test_who_is_silent_or_has_nothing_is_left_aside():
    it = Shelf(100.0)
    it.want(known(3, 5))
    assert it.fetch(0.0, ["p", "q"]).to == "p"
    assert it.next_ms() == 100.0
    assert it.fetch(100.0, ["p", "q"]).to == "q"
    it.take(101.0, "q", [])
    assert it.counts == {"silent": 1, "empty": 1}
    assert it.fetch(102.0, ["p", "q", "r"]).to == "r"


def test_what_was_not_asked_for_takes_no_room():
    it = Shelf(100.0)
    it.want(known(3, 5))
    it.fetch(0.0, ["p"])
    it.take(1.0, "p", list(BOOKS.values()))
    assert sorted(it.digests) == [3, 4, 5]
    assert not it._loose
    assert not it.want(Known(1, "l", 1, 1 + spread.RANGE_MOST, "", ""))
    assert it.missing() == []


def test_a_part_of_a_range_waits_until_its_successor_says_that_it_is_right():
    it = Shelf(100.0)
    it.want(known(3, 6))
    it.fetch(0.0, ["p"])
    assert it.take(1.0, "p", [BOOKS[3], BOOKS[4]])
    assert sorted(it.digests) == [3]
    wanted = it.fetch(2.0, ["p"])
    assert (wanted.first, wanted.last, wanted.base) == (5, 6, BOOKS[4].digest)
    assert it.take(3.0, "p", [BOOKS[5], BOOKS[6]])
    assert sorted(it.digests) == [3, 4, 5, 6]


@pytest.mark.parametrize("servers", [10, 4000])
def test_an_answer_is_bounded_and_a_change_costs_little(servers):
    books = chain(3, servers)
    source = full(books)
    whole, deltas = source.answer(1, 3, "")
    size = len(msgspec.msgpack.encode(deltas))
    assert (len(whole), len(deltas)) == (1, 2)
    assert size < 1000
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(spread, "ANSWER_BYTES_MOST", 100)
        assert [len(part) for part in source.answer(1, 3, "")] == [1, 0]

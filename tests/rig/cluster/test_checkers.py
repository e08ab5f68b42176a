"""Checkers of histories: which breaches each must find, what stays unknown, and what changes no answer."""

from __future__ import annotations

import itertools
import math
from collections import defaultdict
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rig.cluster.checkers import (
    Finding,
    Operation,
    check_contradiction,
    check_register,
    check_rules,
    check_versions,
    contradictions,
    recovery_ms,
    verdict,
)
from rig.cluster.costs import NodeCost, check_flat, costs, growth
from rig.cluster.history import Acted, gaps, merged
from rig.cluster.lives import lives
from rig.helper import ROOT
from rig.ledger import Asked, Crash, Execution, Ledger
from tests.rig.cluster.logs import Log
from tests.test_layout import FORBIDDEN, imported_names


def two_nodes(old_until, new_from):
    log = Log().start("a", 0.0).start("b", 0.0).act("a", 10.0, 1).act("b", 10.0, 1)
    log.act("b", new_from, 2).act("a", old_until, 1).act("a", old_until + 1.0, 2)
    return log.end("a", 9000.0).end("b", 9000.0)


def test_the_longest_contradiction_its_nodes_and_its_acts():
    (span,) = contradictions(two_nodes(900.0, 500.0).events)
    assert (span.ms, span.old.node, span.new.node, span.old.version) == (400.0, "a", "b", 1)
    assert "400 ms" in span.line()
    assert "a pick by version 1" in span.line()
    assert not contradictions(two_nodes(400.0, 500.0).events)


@pytest.mark.parametrize(("bound", "expected"), [(399.0, "broken"), (400.0, "kept")])
def test_a_bound_is_kept_or_broken(bound, expected):
    assert verdict(check_contradiction(two_nodes(900.0, 500.0).events, bound)) == expected


def test_one_node_alone_never_contradicts_itself():
    log = Log().start("a", 0.0).act("a", 10.0, 2).act("a", 900.0, 1).end("a", 1000.0)
    assert not contradictions(log.events)


def test_learning_is_no_act_and_versions_that_agree_do_not_contradict():
    log = Log().start("a", 0.0).start("b", 0.0).learn("b", 100.0, 2).act("a", 900.0, 1)
    assert not contradictions(log.events)
    assert not contradictions(two_nodes(900.0, 500.0).events, lambda rule, old, new: rule != "list:s1")


def test_the_first_act_on_the_newer_version_is_taken_from_another_node():
    # The first act on the newer version is a's own: for a's old act, b's first one counts.
    log = Log().start("a", 0.0).start("b", 0.0)
    log.act("a", 100.0, 2).act("b", 300.0, 2).act("a", 500.0, 1)
    (span,) = contradictions(log.events)
    assert (span.ms, span.new.node) == (200.0, "b")


@given(
    st.lists(
        st.tuples(st.sampled_from("abc"), st.integers(0, 50), st.integers(1, 3)), min_size=1, max_size=25
    )
)
@settings(max_examples=200, deadline=None)
def test_the_longest_span_is_that_of_all_pairs_tried_one_by_one(rows):
    log = Log()
    for node, at, version in sorted(rows, key=lambda row: row[1]):
        log.act(node, float(at), version)
    acts = log.events
    spans = [
        old.at_ms - new.at_ms
        for old in acts
        for new in acts
        if old.node != new.node and old.version < new.version and old.at_ms > new.at_ms
    ]
    found = contradictions(acts)
    assert (found[0].ms if found else 0.0) == max(spans, default=0.0)


def test_a_killed_node_whose_last_events_are_missing_is_unknown():
    log = Log().start("a", 0.0).start("b", 0.0).act("a", 10.0, 1).act("b", 100.0, 2)
    log.end("a", 5000.0, clean=False).end("b", 9000.0)
    (found,) = check_contradiction(log.events, 2000.0)
    assert found.verdict == "unknown"
    assert "a unseen by version 1 at 5000" in found.text
    # A node killed before the bound was over can't have broken it.
    short = Log().start("a", 0.0).start("b", 0.0).act("a", 10.0, 1).act("b", 100.0, 2)
    short.end("a", 1500.0, clean=False).end("b", 9000.0)
    assert check_contradiction(short.events, 2000.0) == []


def test_a_gap_in_the_middle_is_unknown_too():
    log = Log().start("a", 0.0).start("b", 0.0).act("a", 10.0, 1).act("b", 100.0, 2)
    log.act("a", 120.0, 1).lose("a", 3).end("a", 8000.0).end("b", 9000.0)
    assert gaps(log.events) == {"a": 3}
    assert verdict(check_contradiction(log.events, 2000.0)) == "unknown"
    # A gap hides only acts within it.
    log = Log().start("a", 0.0).start("b", 0.0).act("a", 10.0, 1).lose("a", 3).act("b", 100.0, 2)
    log.act("a", 120.0, 1).end("a", 8000.0).end("b", 9000.0)
    assert verdict(check_contradiction(log.events, 2000.0)) == "kept"


def test_a_gap_may_hide_the_first_act_on_the_newer_version():
    log = Log().start("a", 0.0).start("b", 0.0).act("a", 10.0, 1).learn("b", 20.0, 2)
    log.end("b", 50.0, clean=False).act("a", 3000.0, 1).end("a", 9000.0)
    assert verdict(check_contradiction(log.events, 2960.0)) == "unknown"
    assert verdict(check_contradiction(log.events, 2980.0)) == "kept"


def test_a_gap_may_hide_acts_on_the_version_before_and_on_one_learned_within_it():
    # a acts on the newer version after the gap; within the gap it may have acted on the older one.
    log = Log().start("a", 0.0).start("b", 0.0).act("a", 10.0, 1).act("b", 100.0, 2).lose("a", 2)
    log.act("a", 5000.0, 2).end("a", 8000.0).end("b", 9000.0)
    assert verdict(check_contradiction(log.events, 2000.0)) == "unknown"
    # a learned the newer version somewhere in the gap, and may have been the first to act on it.
    log = Log().start("a", 0.0).start("b", 0.0).act("a", 10.0, 1).lose("a", 2).act("a", 5000.0, 2)
    log.act("b", 4900.0, 1).end("a", 8000.0).end("b", 9000.0)
    assert verdict(check_contradiction(log.events, 2000.0)) == "unknown"


def test_a_life_whose_beginning_is_missing_is_unknown():
    log = Log().start("a", 0.0).start("b", 0.0).act("b", 1.0, 1).end("b", 9.0).lose("a", 2)
    log.events.pop(0)
    log.act("a", 5.0, 1).end("a", 9.0)
    (found,) = check_contradiction(log.events, 2000.0)
    assert found.verdict == "unknown"
    assert "a life of a" in found.text


def test_lives_are_split_at_restarts():
    log = Log().start("a", 0.0).act("a", 1.0, 1).end("a", 2.0).start("a", 5.0, 1).act("a", 6.0, 1)
    first, second = lives(log.events)
    assert first.is_whole
    assert first.until_ms == 2.0
    assert not second.is_whole
    assert second.until_ms == math.inf
    # A life without an end lasts until the next one begins, at most.
    first, _ = lives(Log().start("a", 0.0).act("a", 1.0, 1).start("a", 5.0, 1).events)
    assert not first.is_whole
    assert first.until_ms == 5.0


def test_versions_that_go_back_are_broken_also_across_a_restart():
    log = Log().start("a", 0.0).act("a", 1.0, 5).end("a", 2.0, clean=False).start("a", 3.0, 1)
    log.learn("a", 4.0, 4)
    (found,) = check_versions(log.events)
    assert found.verdict == "broken"
    assert "from version 5 back to 4" in found.text
    assert check_versions(two_nodes(900.0, 500.0).events) == []


def test_one_version_has_one_content():
    log = Log().start("a", 0.0).start("b", 0.0).act("a", 1.0, 3, digest="x").learn("b", 2.0, 3, digest="y")
    (found,) = check_versions(log.events)
    assert "version 3 is x at a and y at b" in found.text


def test_rules_without_a_version_have_no_order_and_lives_can_be_checked_separately():
    log = Log().start("a", 0.0).learn("a", 1.0, 5).act("a", 2.0, 0, digest="x").act("a", 3.0, 0, digest="y")
    assert check_versions(log.act("a", 4.0, 5).events) == []
    log.end("a", 5.0).start("a", 6.0).act("a", 7.0, 4)
    assert verdict(check_versions(log.events)) == "broken"
    assert check_versions(log.events, over_restarts=False) == []
    log.act("a", 8.0, 3)
    assert verdict(check_versions(log.events, over_restarts=False)) == "broken"


def test_a_stored_version_has_the_content_that_was_learned():
    log = Log().start("a", 0.0).learn("a", 1.0, 4).learn("a", 2.0, 5, digest="x").store("a", 3.0, 4)
    assert check_versions(log.events) == []
    assert verdict(check_versions(log.store("a", 4.0, 5, digest="y").events)) == "broken"


def write(value, begin, end=math.inf, ok=True, client="p"):
    return Operation(client, "write", value, begin, end, ok)


def reading(value, begin, end, client="r"):
    return Operation(client, "read", value, begin, end)


@pytest.mark.parametrize(
    ("operations", "expected"),
    [
        ([write("x", 0, 1), reading("x", 2, 3)], "kept"),
        ([write("x", 0, 1), reading("", 2, 3)], "broken"),  # confirmed and lost
        ([write("x", 0, 5), reading("", 2, 3)], "kept"),  # not confirmed yet
        ([write("x", 0, 1, ok=False), reading("x", 2, 3)], "broken"),  # refused, but read
        ([write("x", 0), reading("x", 2, 3), reading("", 4, 5)], "broken"),  # read, then gone
        ([write("x", 0), reading("", 2, 3), reading("x", 4, 5)], "kept"),  # open: takes effect late
        ([write("x", 0), reading("", 2, 3)], "kept"),  # open: never takes effect
        ([write("x", 0, 9), write("y", 0, 9), reading("x", 10, 11), reading("y", 12, 13)], "broken"),
        ([write("x", 0, 9), write("y", 0, 9), reading("x", 1, 4), reading("y", 5, 8)], "kept"),
    ],
)
def test_confirmed_writes_are_kept_and_refused_ones_never_read(operations, expected):
    assert verdict(check_register(operations)) == expected


@st.composite
def operations(draw):
    made = []
    for number in range(draw(st.integers(1, 5))):
        begin = draw(st.integers(0, 8))
        end = draw(st.sampled_from([math.inf, *range(begin, 10)]))
        if draw(st.booleans()):
            made.append(write(f"v{number}", begin, end, ok=end == math.inf or draw(st.integers(0, 3)) > 0))
        else:
            made.append(reading(draw(st.sampled_from(["", "v0", "v1", "v2"])), begin, end))
    return made


def explained(order):
    value = ""
    for op in order:
        if op.kind == "read" and op.value != value:
            return False
        value = op.value if op.kind == "write" else value
    return all(not late.end_ms < early.begin_ms for early, late in itertools.combinations(order, 2))


@given(operations())
@settings(max_examples=300, deadline=None)
def test_the_search_says_what_all_orders_tried_one_by_one_say(made):
    must = [op for op in made if op.end_ms < math.inf and (op.kind == "read" or op.ok)]
    may = [op for op in made if op.end_ms == math.inf and op.kind == "write"]
    chosen = itertools.chain.from_iterable(itertools.combinations(may, n) for n in range(len(may) + 1))
    valid = any(explained(order) for some in chosen for order in itertools.permutations([*must, *some]))
    assert verdict(check_register(made)) == ("kept" if valid else "broken")


def test_a_search_beyond_its_bound_is_unknown():
    many = [write(str(number), 0.0, 100.0) for number in range(18)] + [reading("none", 1.0, 99.0)]
    (found,) = check_register(many, most=500)
    assert found.verdict == "unknown"


def test_recovery_lasts_from_the_last_fault_to_the_last_stale_act():
    log = Log().start("a", 0.0).start("b", 0.0).act("a", 100.0, 1).act("b", 150.0, 2)
    log.act("a", 1200.0, 1).act("b", 1300.0, 2).act("a", 1500.0, 2)
    assert recovery_ms(log.events, 1000.0, ["a", "b"]) == 500.0
    assert recovery_ms(log.events, 1000.0, ["a", "b", "c"]) == math.inf
    log.act("b", 1600.0, 1)
    assert recovery_ms(log.events, 1000.0, ["a", "b"]) == math.inf


def test_the_worst_verdict_counts():
    made = [Finding("unknown", "x", ""), Finding("broken", "x", "")]
    assert verdict(made) == "broken"
    assert verdict(made[:1]) == "unknown"
    assert verdict([]) == "kept"


# --- changes that must not affect an answer ----------------------------------------------------

acts = st.lists(
    st.tuples(st.sampled_from("abc"), st.integers(0, 9), st.integers(1, 3), st.integers(0, 5)),
    min_size=1,
    max_size=20,
)


def nodes_of(rows, killed):
    """Return the histories of a, b and c: acts, lost events before some of them, and ends or kills."""
    log = Log().start("a", 0.0).start("b", 0.0).start("c", 0.0)
    for node, at, version, lost in sorted(rows, key=lambda row: row[1]):
        log.lose(node, lost == 5).act(node, float(at), version)
    for node in "abc":
        log.end(node, 10.0, clean=node not in killed)
    by_node = defaultdict(list)
    for event in log.events:
        by_node[event.node].append(event)
    return by_node


@given(acts, st.sets(st.sampled_from("abc")), st.integers(0, 9), st.permutations("abc"))
@settings(max_examples=200, deadline=None)
def test_the_order_of_nodes_at_one_time_changes_no_verdict(rows, killed, bound, order):
    by_node = nodes_of(rows, killed)
    one = check_contradiction(merged(by_node[node] for node in "abc"), bound)
    other = check_contradiction(merged(by_node[node] for node in order), bound)
    assert verdict(one) == verdict(other)


@given(acts, st.integers(0, 9), st.lists(st.tuples(st.sampled_from("abc"), st.integers(0, 9)), max_size=5))
@settings(max_examples=200, deadline=None)
def test_what_keeps_a_rule_breaks_none(rows, bound, more):
    """Acts on the newest version by any node after all others, and acts on another rule that all agree on."""
    before = merged(nodes_of(rows, ()).values())
    after = [act for act in before if isinstance(act, Acted)]
    after += [Acted(node, 99, 10.0, "list:s1", 3) for node, _ in more]
    after += [Acted(node, 99, float(at), "list:s2", 1) for node, at in more]
    assert len(contradictions(after)) == len(contradictions(before))
    if verdict(check_contradiction(before, bound)) == "kept":
        assert not [span for span in contradictions(after) if span.ms > bound]


# --- the four rules, and cost ------------------------------------------------------------------


def call_ledger(**crashes):
    asked = Asked("c1", "c1", "n0", "safe", "look", "t", 1.0, 1.0, "unanswered", 1.5)
    run = Execution("c1", "t", "s0", "west", "safe", 1.1, 1.1)
    return Ledger(executions=[run], asked=[asked], crashes=[Crash(node, at) for node, at in crashes.items()])


def test_a_broken_rule_is_reported_with_its_first_event():
    (found,) = check_rules(call_ledger())
    assert found.verdict == "broken"
    assert found.text.startswith("one final answer: call c1 was taken and not answered: 1.000 client of n0")
    assert check_rules(call_ledger(n0=1.2)) == []
    assert check_rules(call_ledger(n1=1.2)) != []
    assert check_rules(call_ledger(), lambda breach: "a link" if breach.call == "c1" else "") == []


def test_the_cost_of_a_node_counts_sent_and_received_traffic_per_second():
    links = {
        ("n0", "n1"): SimpleNamespace(passed=1000, messages=10),
        ("registry", "n0"): SimpleNamespace(passed=500, messages=0),
    }
    used = {node: SimpleNamespace(cpu_s=0.5, rss_mb=40.0, syncs=4) for node in ("n0", "n1")}
    first, second = costs(["n0", "n1"], links, used, 2.0)
    assert first == NodeCost("n0", 5.0, 750.0, 2.0, 40.0, 250.0)
    assert (second.messages_s, second.bytes_s) == (5.0, 500.0)
    first, _ = costs(["n0", "n1"], links, used, 2.0, others=["n0", "n1"])
    assert first.bytes_s == 500.0


def cost(messages=1.0, syncs=0.0):
    return NodeCost("n0", messages, 1.0, syncs, 1.0, 1.0)


def test_a_cost_per_node_that_grows_with_the_number_of_nodes_is_broken():
    rows = {3: [cost(1.0), cost(3.0)], 10: [cost(9.0)], 40: [cost(2.4)]}
    assert growth(rows)["messages_s"] == pytest.approx(0.2)
    assert growth(rows)["syncs_s"] == 0.0
    assert check_flat(rows, share=0.21) == []
    (found,) = check_flat({3: [cost(2.0)], 40: [cost(2.5)]})
    assert found.verdict == "broken"
    assert "messages_s a node grows by 25% from 3 to 40" in found.text
    assert check_flat({3: [cost(2.0)], 40: [cost(2.5)]}, figures=["bytes_s"]) == []
    assert verdict(check_flat({3: [cost()], 40: [cost(syncs=0.1)]})) == "broken"
    assert verdict(check_flat({3: [cost()]})) == "unknown"
    assert verdict(check_flat({3: [], 4: []})) == "unknown"


@pytest.mark.parametrize("name", ["checkers", "lives", "entries", "promises", "costs"])
def test_checkers_import_only_pure_modules(name):
    imported = imported_names(ROOT / "rig" / "cluster" / f"{name}.py")
    assert not {one.split(".")[0] for one in imported} & FORBIDDEN
    allowed = {"rig.ledger", *(f"rig.cluster.{one}" for one in ("checkers", "lives", "history"))}
    ours = {one for one in imported if one.startswith("rig.")}
    assert all(any(one.startswith(may) for may in allowed) for one in ours)

"""Contradiction by entry: which acts contradict, in which order, and what a history leaves unknown."""

from __future__ import annotations

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rig.cluster.checkers import verdict
from rig.cluster.entries import check_entries, contradictions_by_entry, recovery_by_entry_ms
from rig.cluster.history import merged
from tests.rig.cluster.logs import Log

A, LEFT = "active/1", "leaving/1"


def begun():
    """Return a log of two nodes that know version 1 of a list of s1 and s2."""
    log = Log().start("a", 0.0).start("b", 0.0)
    return log.learn("a", 1.0, 1, s1=A, s2=A).learn("b", 1.0, 1, s1=A, s2=A)


def ended(log):
    return log.end("a", 9000.0).end("b", 9000.0).events


@pytest.mark.parametrize("second", [{"s1": LEFT, "s2": A}, {"s2": A}])
def test_a_send_by_the_old_list_after_any_send_by_the_newer_one_contradicts(second):
    log = (
        begun().learn("b", 100.0, 2, **second).act("b", 200.0, 2, server="s2").act("a", 900.0, 1, server="s1")
    )
    log.learn("a", 1000.0, 2, **second).act("a", 1001.0, 2, server="s2")
    (span,) = contradictions_by_entry(log.events)
    assert (span.rule, span.ms, span.old.version, span.new.version) == ("list:s1/s1", 700.0, 1, 2)
    assert "a pick by version 1" in span.line()
    assert verdict(check_entries(ended(log), 699.0)) == "broken"
    assert check_entries(log.events, 700.0) == []


def test_only_sends_to_a_server_whose_entry_changed_count():
    log = begun().learn("b", 100.0, 2, s1=LEFT, s2=A).act("b", 200.0, 2, server="s2")
    log.act("a", 900.0, 1, server="s2").act("a", 910.0, 1, what="refusal").act("a", 920.0, 1, what="failure")
    assert contradictions_by_entry(log.events) == []
    # A refusal is no send by the newer list, either.
    log = begun().learn("b", 100.0, 2, s1=LEFT, s2=A).act("b", 200.0, 2, what="refusal")
    assert contradictions_by_entry(log.act("a", 900.0, 1, server="s1").events) == []


def test_the_version_of_an_entry_is_the_lowest_since_which_it_has_not_changed():
    log = (
        begun()
        .learn("a", 2.0, 2, s1=A, s2=A, s3=A)
        .learn("b", 100.0, 7, s2=A)
        .learn("b", 101.0, 8, s2=A, s3=A)
    )
    log.act("b", 200.0, 8, server="s2").act("a", 300.0, 2, server="s1")
    (span,) = contradictions_by_entry(log.events)
    assert (span.old.version, span.new.version, span.ms) == (1, 7, 100.0)


def test_an_entry_with_another_content_is_a_rule_for_sends_to_its_server():
    log = begun().learn("a", 2.0, 2, s1=LEFT, s2=A).learn("b", 100.0, 3, s1="active/2", s2=A)
    log.act("b", 150.0, 3, server="s2").act("a", 900.0, 2, server="s1")
    assert contradictions_by_entry(log.events) == []
    log.act("b", 200.0, 3, server="s1").act("a", 901.0, 2, server="s1")
    (span,) = contradictions_by_entry(log.events)
    assert (span.rule, span.ms, span.old.version) == ("entry:s1/s1", 701.0, 1)


def test_a_rewound_registry_is_ordered_by_versions_and_not_by_time():
    # a rightly stays on version 2; b goes back to version 1 and sends to a server that has left.
    log = begun().learn("a", 2.0, 2, s2=A).learn("b", 2.0, 2, s2=A).act("a", 3.0, 2, server="s2")
    log.learn("b", 500.0, 1, s1=A, s2=A).act("b", 600.0, 1, server="s1").act("a", 700.0, 2, server="s2")
    (span,) = contradictions_by_entry(log.events)
    assert (span.old.node, span.new.node, span.ms) == ("b", "a", 597.0)


def test_settings_are_ordered_by_the_digests_that_are_given():
    log = begun().act("a", 10.0, 1, server="s2", settings="x").act("b", 500.0, 1, server="s2", settings="y")
    log.act("a", 900.0, 1, what="refusal", settings="x").act("a", 901.0, 1, server="s2", settings="y")
    order = {"settings:s1": ["x", "y"]}
    (span,) = contradictions_by_entry(log.events, order)
    assert (span.rule, span.ms, span.old.digest, span.new.digest) == ("settings:s1", 400.0, "x", "y")
    assert verdict(check_entries(ended(log), 500.0, order)) == "kept"
    for wrong in ({}, {"settings:s1": ["x"]}, {"settings:s1": ["x", "y", "x"]}):
        (found,) = check_entries(log.events, 500.0, wrong)
        assert found.verdict == "unknown"
        assert "order" in found.text
    assert contradictions_by_entry(log.events, {"settings:s1": ["y", "x"]})[0].ms == 490.0


def test_a_list_without_a_version_is_older_than_any_that_has_one():
    log = Log().start("a", 0.0).start("b", 0.0).learn("a", 1.0, 0, digest="old", s1=A, s2=A)
    log.learn("b", 1.0, 0, digest="old", s1=A, s2=A).learn("b", 2.0, 3, digest="new", s2=A)
    log.act("b", 10.0, 3, server="s2", digest="new").act("a", 50.0, 0, server="s1", digest="old")
    (span,) = contradictions_by_entry(log.events)
    assert (span.ms, span.old.version, span.new.version) == (40.0, 0, 3)
    log.learn("a", 60.0, 0, digest="other", s1=A, s2=A)
    assert "order" in check_entries(ended(log), 500.0)[0].text
    assert check_entries(log.events, 500.0, {"list:s1": ["old", "other"]}) == []


def test_acts_on_lists_that_no_node_reported_are_unknown():
    log = begun().act("a", 10.0, 5, server="s1").act("b", 10.0, 1, server="s9")
    found = check_entries(ended(log), 500.0)
    assert [finding.verdict for finding in found] == ["unknown", "unknown"]
    assert "s1 in version 5" in found[0].text + found[1].text


# --- gaps --------------------------------------------------------------------------------------


def test_a_killed_node_may_have_acted_on_its_last_list_until_the_kill():
    log = begun().act("a", 10.0, 1, server="s2").learn("b", 100.0, 2, s2=A).act("b", 110.0, 2, server="s2")
    log.kill("a", 3000.0).end("b", 9000.0)
    (found,) = check_entries(log.events, 2000.0)
    assert found.verdict == "unknown"
    assert "list:s1/s1" in found.text
    assert "a unseen by version 1" in found.text
    assert check_entries(log.events, 2890.0) == []


def test_a_killed_node_that_had_learned_the_newer_list_is_kept():
    log = begun().learn("b", 100.0, 2, s2=A).act("b", 110.0, 2, server="s2").act("a", 150.0, 1, server="s1")
    log.learn("a", 200.0, 2, s2=A).kill("a", 8000.0).end("b", 9000.0)
    assert check_entries(log.events, 2000.0) == []


def test_a_killed_node_may_have_been_the_first_to_act_on_the_newer_list():
    log = (
        begun().learn("b", 100.0, 2, s2=A).kill("b", 150.0).act("a", 5000.0, 1, server="s1").end("a", 9000.0)
    )
    assert verdict(check_entries(log.events, 2000.0)) == "unknown"


def test_a_killed_node_may_have_acted_on_its_last_settings_until_the_kill():
    order = {"settings:s1": ["x", "y"]}
    log = begun().act("a", 10.0, 1, server="s2", settings="x").act("b", 500.0, 1, server="s2", settings="y")
    log.kill("a", 4000.0).end("b", 9000.0)
    assert verdict(check_entries(log.events, 2000.0, order)) == "unknown"
    log = begun().act("a", 10.0, 1, server="s2", settings="x").act("b", 500.0, 1, server="s2", settings="y")
    log.learn("a", 600.0, 0, rule="settings:s1", digest="y").kill("a", 4000.0).end("b", 9000.0)
    assert check_entries(log.events, 2000.0, order) == []


def test_a_paused_node_has_no_gap():
    log = begun().learn("b", 100.0, 2, s2=A).act("b", 110.0, 2, server="s2").learn("a", 8000.0, 2, s2=A)
    assert check_entries(ended(log), 2000.0) == []


# --- against a comparison of all pairs ---------------------------------------------------------

LISTS = {
    1: {"s1": A, "s2": A},
    2: {"s1": LEFT, "s2": A, "s3": A},
    3: {"s2": "active/2", "s3": A},
    4: {"s1": "active/3", "s2": "active/2"},
    5: {"s1": A, "s2": A},
}
rows = st.lists(
    st.tuples(
        st.sampled_from("abc"),
        st.integers(0, 30),
        st.sampled_from(sorted(LISTS)),
        st.sampled_from(["s1", "s2", "s3", ""]),
        st.sampled_from(["x", "y"]),
    ),
    max_size=15,
)


def history(acts):
    log = Log()
    for node in "abc":
        log.start(node, -2.0)
        for version, entries in LISTS.items():
            log.learn(node, -1.0, version, **entries)
    for node, at, version, server, digest in sorted(acts, key=lambda act: act[1]):
        log.act(
            node, float(at), version, server=server, settings=digest, what="pick" if server else "refusal"
        )
    return log.events


def pairs(acts):
    """Yield each contradiction of two acts, by its rule, by comparing all pairs."""
    for old in acts:
        for new in acts:
            ms = old[1] - new[1]
            if old[0] == new[0] or ms <= 0:
                continue
            if (old[4], new[4]) == ("x", "y"):
                yield "settings:s1", ms
            server, before = old[3], LISTS[old[2]].get(old[3], "")
            after = LISTS[new[2]].get(server, "")
            if not server or not new[3] or new[2] <= old[2]:
                continue
            if before.startswith("active") and not after.startswith("active"):
                yield f"list:s1/{server}", ms
            if new[3] == server and before and after and before[-1] != after[-1]:
                yield f"entry:s1/{server}", ms


@given(rows)
@settings(max_examples=500, deadline=None)
def test_the_longest_of_each_entry_is_that_of_all_acts_tried_one_by_one(acts):
    longest: dict[str, float] = {}
    for rule, ms in pairs(acts):
        longest[rule] = max(ms, longest.get(rule, 0.0))
    spans = contradictions_by_entry(history(acts), {"settings:s1": ["x", "y"]})
    assert {span.rule: span.ms for span in spans} == longest


@given(rows, st.integers(0, 30), st.permutations("abc"))
@settings(max_examples=100, deadline=None)
def test_neither_the_order_of_nodes_nor_acts_on_what_is_newest_change_a_verdict(acts, bound, order):
    events = history(acts)
    by_node = {node: [event for event in events if event.node == node] for node in "abc"}
    given_order = {"settings:s1": ["x", "y"]}
    one = contradictions_by_entry(events, given_order)
    other = contradictions_by_entry(merged(by_node[node] for node in order), given_order)
    assert [span.ms for span in one] == [span.ms for span in other]
    more = history([*acts, *((node, 31, 5, "s1", "y") for node in "abc")])
    assert [span.ms for span in contradictions_by_entry(more, given_order)] == [span.ms for span in one]


# --- recovery ----------------------------------------------------------------------------------


def test_recovery_ends_with_the_last_send_by_an_old_entry_and_an_act_by_the_newest_list():
    log = begun().learn("b", 100.0, 2, s2=A).act("b", 150.0, 2, server="s2").act("b", 1100.0, 2, server="s2")
    log.act("a", 1200.0, 1, server="s1").act("a", 1300.0, 1, server="s2")
    assert recovery_by_entry_ms(log.events, 1000.0, ["a", "b"]) == math.inf
    log.learn("a", 1400.0, 2, s2=A).act("a", 1500.0, 2, server="s2")
    # An act on an old list counts only if it used an entry that has changed.
    log.act("b", 1550.0, 1, server="s2")
    assert recovery_by_entry_ms(log.events, 1000.0, ["a", "b"]) == 500.0
    assert recovery_by_entry_ms(log.events, 1000.0, ["a", "b", "c"]) == math.inf
    log.act("b", 1600.0, 1, server="s1")
    assert recovery_by_entry_ms(log.events, 1000.0, ["a", "b"]) == math.inf


def test_recovery_needs_the_newest_settings_too():
    order = {"settings:s1": ["x", "y"]}
    log = (
        begun().act("a", 1100.0, 1, server="s2", settings="x").act("b", 1200.0, 1, server="s2", settings="y")
    )
    assert recovery_by_entry_ms(log.events, 1000.0, ["a", "b"], order) == math.inf
    log.act("a", 1700.0, 1, server="s2", settings="y")
    assert recovery_by_entry_ms(log.events, 1000.0, ["a", "b"], order) == 700.0

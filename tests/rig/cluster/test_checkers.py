"""Checkers of histories: what each must find, what each must not call well, and a history's own gaps."""

from __future__ import annotations

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rig.cluster.checkers import (
    Finding,
    Operation,
    check_contradiction,
    check_register,
    check_versions,
    contradictions,
    lives,
    recovery_ms,
    verdict,
)
from rig.cluster.history import Acted, Ended, HistoryError, Learned, Started, Writer, gaps, merged, parse


class Log:
    """Builds the histories of several nodes, numbered as a writer would."""

    def __init__(self):
        self.events = []
        self._numbers = {}

    def _next(self, node):
        self._numbers[node] = self._numbers.get(node, 0) + 1
        return self._numbers[node]

    def start(self, node, at, life=0):
        self._numbers[node] = 0
        self.events.append(Started(node, self._next(node), at, life))
        return self

    def act(self, node, at, version, rule="list:s1", digest=""):
        self.events.append(Acted(node, self._next(node), at, rule, version, digest))
        return self

    def learn(self, node, at, version, rule="list:s1", digest=""):
        self.events.append(Learned(node, self._next(node), at, rule, version, digest))
        return self

    def end(self, node, at, clean=True):
        self.events.append(Ended(node, self._next(node) if clean else 0, at, clean))
        return self

    def lose(self, node, count):
        self._numbers[node] += count
        return self


def two(old_until, new_from):
    log = Log().start("a", 0.0).start("b", 0.0).act("a", 10.0, 1).act("b", 10.0, 1)
    log.act("b", new_from, 2).act("a", old_until, 1).act("a", old_until + 1.0, 2)
    return log.end("a", 9000.0).end("b", 9000.0)


def test_the_longest_contradiction_its_nodes_and_its_acts():
    (span,) = contradictions(two(900.0, 500.0).events)
    assert (span.ms, span.old.node, span.new.node, span.old.version) == (400.0, "a", "b", 1)
    assert "400 ms" in span.line() and "a pick by version 1" in span.line()
    assert not contradictions(two(400.0, 500.0).events)


@pytest.mark.parametrize(("bound", "said"), [(399.0, "broken"), (400.0, "kept")])
def test_a_bound_is_kept_or_broken(bound, said):
    assert verdict(check_contradiction(two(900.0, 500.0).events, bound)) == said


def test_one_node_alone_never_contradicts_itself():
    log = Log().start("a", 0.0).act("a", 10.0, 2).act("a", 900.0, 1).end("a", 1000.0)
    assert not contradictions(log.events)


def test_knowing_is_not_acting_and_versions_that_agree_do_not_contradict():
    log = Log().start("a", 0.0).start("b", 0.0).learn("b", 100.0, 2).act("a", 900.0, 1)
    assert not contradictions(log.events)
    assert not contradictions(two(900.0, 500.0).events, lambda rule, old, new: rule != "list:s1")


def test_the_newer_of_two_nodes_that_act_on_both_is_another_ones():
    # The first on the newer is a itself: b's first counts, not its own.
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


def test_a_killed_node_whose_last_events_are_missing_is_unknown_and_never_well():
    log = Log().start("a", 0.0).start("b", 0.0).act("a", 10.0, 1).act("b", 100.0, 2)
    log.end("a", 5000.0, clean=False).end("b", 9000.0)
    (found,) = check_contradiction(log.events, 2000.0)
    assert found.verdict == "unknown" and "until 5000" in found.text
    # Killed before the bound was over it can't have broken it.
    short = Log().start("a", 0.0).start("b", 0.0).act("a", 10.0, 1).act("b", 100.0, 2)
    short.end("a", 1500.0, clean=False).end("b", 9000.0)
    assert check_contradiction(short.events, 2000.0) == []


def test_a_gap_in_the_middle_is_unknown_too():
    log = Log().start("a", 0.0).start("b", 0.0).act("a", 10.0, 1).lose("a", 3).act("b", 100.0, 2)
    log.act("a", 120.0, 1).end("a", 8000.0).end("b", 9000.0)
    assert gaps(log.events) == {"a": 3}
    assert verdict(check_contradiction(log.events, 2000.0)) == "unknown"


def test_lives_are_told_apart_over_restarts():
    log = Log().start("a", 0.0).act("a", 1.0, 1).end("a", 2.0).start("a", 5.0, 1).act("a", 6.0, 1)
    first, second = lives(log.events)
    assert first.whole and first.until_ms == 2.0 and not second.whole and second.until_ms == math.inf


def test_versions_that_go_back_also_over_a_restart():
    log = Log().start("a", 0.0).act("a", 1.0, 5).end("a", 2.0, clean=False).start("a", 3.0, 1)
    log.learn("a", 4.0, 4)
    (found,) = check_versions(log.events)
    assert found.verdict == "broken" and "from version 5 back to 4" in found.text
    assert check_versions(two(900.0, 500.0).events) == []


def test_one_version_has_one_content():
    log = Log().start("a", 0.0).start("b", 0.0).act("a", 1.0, 3, digest="x").learn("b", 2.0, 3, digest="y")
    (found,) = check_versions(log.events)
    assert "version 3 is x at a and y at b" in found.text


def write(value, begin, end=math.inf, ok=True, client="p"):
    return Operation(client, "write", value, begin, end, ok)


def reading(value, begin, end, client="r"):
    return Operation(client, "read", value, begin, end)


@pytest.mark.parametrize(
    ("operations", "said"),
    [
        ([write("x", 0, 1), reading("x", 2, 3)], "kept"),
        ([write("x", 0, 1), reading("", 2, 3)], "broken"),  # confirmed and lost
        ([write("x", 0, 5), reading("", 2, 3)], "kept"),  # not confirmed yet
        ([write("x", 0, 1, ok=False), reading("x", 2, 3)], "broken"),  # refused and there
        ([write("x", 0), reading("x", 2, 3), reading("", 4, 5)], "broken"),  # seen, then gone
        ([write("x", 0), reading("", 2, 3), reading("x", 4, 5)], "kept"),  # open: late
        ([write("x", 0), reading("", 2, 3)], "kept"),  # open: never
        ([write("x", 0, 9), write("y", 0, 9), reading("x", 10, 11), reading("y", 12, 13)], "broken"),
        ([write("x", 0, 9), write("y", 0, 9), reading("x", 1, 4), reading("y", 5, 8)], "kept"),
    ],
)
def test_what_was_confirmed_is_kept_and_what_was_refused_never_appears(operations, said):
    assert verdict(check_register(operations)) == said


def test_a_search_that_would_not_end_is_unknown():
    many = [write(str(number), 0.0, 100.0) for number in range(18)] + [reading("none", 1.0, 99.0)]
    (found,) = check_register(many, most=500)
    assert found.verdict == "unknown"


def test_recovery_counts_from_the_last_heal_to_the_last_stale_act():
    log = Log().start("a", 0.0).start("b", 0.0).act("a", 100.0, 1).act("b", 150.0, 2)
    log.act("a", 1200.0, 1).act("b", 1300.0, 2).act("a", 1500.0, 2)
    assert recovery_ms(log.events, 1000.0, ["a", "b"]) == 500.0
    assert recovery_ms(log.events, 1000.0, ["a", "b", "c"]) == math.inf
    log.act("b", 1600.0, 1)
    assert recovery_ms(log.events, 1000.0, ["a", "b"]) == math.inf


def test_the_worst_verdict_counts():
    made = [Finding("unknown", "x", ""), Finding("broken", "x", "")]
    assert verdict(made) == "broken" and verdict(made[:1]) == "unknown" and verdict([]) == "kept"


# --- what a history holds ----------------------------------------------------------------------


def test_a_history_is_written_and_read_back(tmp_path):
    made = Writer(tmp_path / "a.jsonl", "a")
    made.started(1.0, 0)
    made.learned(2.0, "settings", 1, "d1")
    made.acted(3.0, "settings", 1, "d1", "refuse", "c9")
    made.close(4.0)
    started, learned, acted, ended = parse((tmp_path / "a.jsonl").read_bytes(), "a.jsonl")
    assert isinstance(started, Started) and isinstance(learned, Learned) and isinstance(ended, Ended)
    assert acted == Acted("a", 3, 3.0, "settings", 1, "d1", "refuse", "c9")
    assert gaps([started, learned, acted, ended]) == {}


def test_what_a_kill_leaves_is_read_but_for_its_torn_end(tmp_path):
    made = Writer(tmp_path / "a.jsonl", "a")
    made.started(1.0, 0)
    made.acted(2.0, "settings", 1)
    made.flush()
    whole = (tmp_path / "a.jsonl").read_bytes()
    for cut in range(len(whole)):
        events = list(parse(whole[:cut], "a.jsonl"))
        assert len(events) <= 2
    with pytest.raises(HistoryError, match=r"a\.jsonl:1: "):
        list(parse(b"{oops}\n" + whole, "a.jsonl"))


def test_histories_are_merged_by_time_and_each_keeps_its_order():
    one = [Acted("a", 1, 1.0, "r", 1), Acted("a", 2, 5.0, "r", 1)]
    other = [Acted("b", 1, 2.0, "r", 1), Acted("b", 2, 5.0, "r", 1)]
    order = [(event.node, event.number) for event in merged([one, other])]
    assert order == [("a", 1), ("b", 1), ("a", 2), ("b", 2)]


def test_a_writer_is_bounded(tmp_path, monkeypatch):
    monkeypatch.setattr("rig.cluster.history.EVENTS_MOST", 3)
    made = Writer(tmp_path / "a.jsonl", "a")
    for number in range(5):
        made.acted(float(number), "r", 1)
    made.flush()
    assert made.dropped == 2 and len(list(parse((tmp_path / "a.jsonl").read_bytes(), "f"))) == 3

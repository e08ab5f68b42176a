"""Promises of one node: what it confirmed survives a restart, and nothing is sent to a drained server."""

from __future__ import annotations

import pytest

from rig.cluster.checkers import verdict
from rig.cluster.promises import check_drains, check_durable
from tests.rig.cluster.logs import Log

A, LEFT = "active/1", "leaving/1"


def never(node, at_ms):
    return False


def confirmed():
    """Return a log of a life of a that learned versions 4 and 5, stored both, and was killed."""
    log = Log().start("a", 0.0, 1).learn("a", 1.0, 4).store("a", 2.0, 4).learn("a", 3.0, 5).store("a", 4.0, 5)
    return log.kill("a", 50.0)


def again(log, at, life, *versions):
    log.start("a", at, life)
    for version in versions:
        log.learn("a", at + 1.0, version, form="remembered")
    return log.end("a", at + 10.0)


@pytest.mark.parametrize(("version", "expected"), [(4, "broken"), (5, "kept"), (6, "kept"), (0, "broken")])
def test_the_next_life_starts_from_the_confirmed_version_or_a_newer_one(version, expected):
    found = check_durable(again(confirmed(), 100.0, 2, version).events, never)
    assert verdict(found) == expected
    assert expected == "kept" or f"went by version {version} after it had confirmed 5" in found[0].text


def test_each_act_of_the_next_life_counts_and_each_life_after_it():
    log = confirmed().start("a", 100.0, 2).learn("a", 101.0, 5).act("a", 102.0, 4).end("a", 110.0)
    assert verdict(check_durable(log.events, never)) == "broken"
    log = again(again(confirmed(), 100.0, 2, 5), 200.0, 3, 4)
    assert verdict(check_durable(log.events, never)) == "broken"


def test_the_newest_confirmed_version_counts():
    log = Log().start("a", 0.0, 1).store("a", 1.0, 5).store("a", 2.0, 4).end("a", 3.0)
    assert verdict(check_durable(again(log, 100.0, 2, 4).events, never)) == "broken"


def test_an_unconfirmed_version_may_be_lost():
    log = Log().start("a", 0.0, 1).learn("a", 1.0, 4).store("a", 2.0, 4).learn("a", 3.0, 5).kill("a", 4.0)
    assert check_durable(again(log, 100.0, 2, 4).events, never) == []


@pytest.mark.parametrize("when", [100.0, 4.0])
def test_a_disk_that_the_schedule_emptied_or_that_lied_is_unknown(when):
    log = again(confirmed(), 100.0, 2, 4)
    assert verdict(check_durable(log.events, lambda node, at_ms: node == "a" and at_ms == when)) == "unknown"
    assert verdict(check_durable(log.events, lambda node, at_ms: node == "b")) == "broken"


def test_after_a_disk_was_emptied_confirmed_versions_count_anew():
    def emptied(node, at_ms):
        return at_ms == 100.0

    log = confirmed().start("a", 100.0, 1).learn("a", 101.0, 2).store("a", 102.0, 2).end("a", 110.0)
    assert verdict(check_durable(again(log, 200.0, 2, 2).events, emptied)) == "unknown"
    log.events = log.events[7:]  # only the events of the new disk
    assert check_durable(log.events, emptied) == []
    assert verdict(check_durable(again(log, 300.0, 3, 1).events, emptied)) == "broken"


def test_a_life_killed_before_it_reported_its_first_version_is_unknown():
    log = confirmed().start("a", 100.0, 2).kill("a", 110.0)
    (found,) = check_durable(log.events, never)
    assert found.verdict == "unknown"
    assert "is missing" in found.text
    assert (
        check_durable(confirmed().start("a", 100.0, 2).learn("a", 101.0, 5).kill("a", 110.0).events, never)
        == []
    )


def test_lives_are_counted_up_or_the_disk_is_an_older_one():
    log = again(confirmed(), 100.0, 1, 5)
    (found,) = check_durable(log.events, never)
    assert found.verdict == "broken"
    assert "life 1 after life 1" in found.text
    assert check_durable(log.events, lambda node, at_ms: at_ms == 100.0) == []


def test_a_life_that_never_stores_what_it_learned_is_broken():
    def learned(life=1, form="all"):
        return Log().start("a", 0.0, life).learn("a", 1.0, 4, form=form)

    (found,) = check_durable(learned().end("a", 5002.0).events, never)
    assert found.verdict == "broken"
    assert "never stored" in found.text
    assert check_durable(learned().end("a", 5000.0).events, never) == []  # within the time allowed
    assert check_durable(learned().store("a", 4000.0, 4).end("a", 9000.0).events, never) == []
    assert check_durable(learned().fail("a", 4000.0).end("a", 9000.0).events, never) == []
    assert check_durable(learned(life=0).end("a", 9000.0).events, never) == []  # no disk
    assert check_durable(learned(form="remembered").end("a", 9000.0).events, never) == []
    # The missing events may report that it was stored.
    assert verdict(check_durable(learned().kill("a", 9000.0).events, never)) == "unknown"
    assert verdict(check_durable(learned().act("a", 8000.0, 4).kill("a", 9000.0).events, never)) == "broken"


# --- drains ------------------------------------------------------------------------------------


def drained(sent_ms, what="pick", second=None):
    log = Log().start("a", 0.0).learn("a", 1.0, 1, s1=A, s2=A).act("a", 2.0, 1, server="s1")
    log.learn("a", 100.0, 2, **({"s1": LEFT, "s2": A} if second is None else second))
    return log.learn("a", 200.0, 3, s2=A).act("a", sent_ms, 2, server="s1", what=what)


@pytest.mark.parametrize("what", ["pick", "retry", "repeat"])
def test_nothing_is_sent_after_the_grace_period_of_a_drain(what):
    (found,) = check_drains(drained(601.0, what).end("a", 900.0).events, 500.0)
    assert found.verdict == "broken"
    assert "s1 501 ms after" in found.text
    assert check_drains(drained(600.0, what).end("a", 900.0).events, 500.0) == []


def test_sends_to_a_server_that_is_active_again_and_to_other_servers_are_allowed():
    log = drained(300.0).learn("a", 700.0, 4, s1=A, s2=A).act("a", 800.0, 4, server="s1")
    assert check_drains(log.act("a", 801.0, 4, server="s2").end("a", 900.0).events, 500.0) == []
    # A server that was never listed may not be sent to.
    log = drained(300.0).act("a", 850.0, 3, server="s9").end("a", 900.0)
    assert verdict(check_drains(log.events, 500.0)) == "broken"


def test_a_new_life_has_a_grace_period_of_its_own():
    log = drained(300.0).end("a", 400.0).start("a", 500.0).learn("a", 501.0, 3, s2=A)
    assert check_drains(log.act("a", 900.0, 3, server="s1").end("a", 950.0).events, 500.0) == []
    log = drained(300.0).end("a", 400.0).start("a", 500.0).learn("a", 501.0, 3, s2=A)
    assert (
        verdict(check_drains(log.act("a", 1100.0, 3, server="s1").end("a", 1200.0).events, 500.0)) == "broken"
    )


def test_sends_of_a_killed_node_during_a_drain_are_unknown():
    (found,) = check_drains(drained(300.0).kill("a", 700.0).events, 500.0)
    assert found.verdict == "unknown"
    assert "s1 drained" in found.text
    assert check_drains(drained(300.0).kill("a", 600.0).events, 500.0) == []  # within the grace
    back = drained(300.0).learn("a", 400.0, 4, s1=A, s2=A)
    assert check_drains(back.kill("a", 5000.0).events, 500.0) == []

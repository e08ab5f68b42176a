"""A member is told to be down only once nobody who was asked can reach it."""

from __future__ import annotations

from fordtrestle.dissemination.suspicion import CONFIRM_S, SUSPECT_S, WATCHERS, Suspicion, watchers

NODES = [f"n-{number}" for number in range(12)]
GONE = "n-0"
WATCHER = watchers(GONE, NODES)[0]
LINKED = [node for node in NODES if node != GONE]


def test_each_member_is_watched_by_a_few_and_all_agree_on_whom():
    watched = {node: watchers(node, NODES) for node in NODES}
    assert all(len(by) == WATCHERS and node not in by for node, by in watched.items())
    assert watchers(GONE, reversed(NODES)) == watched[GONE]


def test_a_member_that_nobody_reaches_is_down_after_others_were_asked():
    suspicion = Suspicion(WATCHER)
    assert suspicion.tick(NODES, LINKED, 0.0).ask == ()
    assert suspicion.tick(NODES, LINKED, SUSPECT_S - 0.1).ask == ()
    assert suspicion.tick(NODES, LINKED, SUSPECT_S).ask == (GONE,)
    assert suspicion.tick(NODES, LINKED, SUSPECT_S + CONFIRM_S - 0.1).down == ()
    assert suspicion.tick(NODES, LINKED, SUSPECT_S + CONFIRM_S).down == (GONE,)


def test_a_member_that_another_reaches_is_not_down():
    suspicion = Suspicion(WATCHER)
    suspicion.tick(NODES, LINKED, 0.0)
    suspicion.tick(NODES, LINKED, SUSPECT_S)
    suspicion.vouched(GONE, SUSPECT_S + 1.0)
    assert suspicion.tick(NODES, LINKED, SUSPECT_S + CONFIRM_S).down == ()
    assert suspicion.tick(NODES, LINKED, SUSPECT_S + 1.0 + SUSPECT_S).ask == (GONE,)


def test_a_link_that_comes_back_ends_the_suspicion():
    suspicion = Suspicion(WATCHER)
    suspicion.tick(NODES, LINKED, 0.0)
    suspicion.tick(NODES, LINKED, SUSPECT_S)
    suspicion.tick(NODES, NODES, SUSPECT_S + 1.0)
    assert suspicion.tick(NODES, LINKED, SUSPECT_S + CONFIRM_S).down == ()


def test_who_does_not_watch_a_member_never_tells_of_it():
    for node in LINKED:
        suspicion = Suspicion(node)
        for second in range(20):
            steps = suspicion.tick(NODES, LINKED, float(second))
            if node not in watchers(GONE, NODES):
                assert not steps.ask and not steps.down

"""A member is told to be down only once nobody who was asked can reach it."""

from __future__ import annotations

from fordtrestle.dissemination.items import Availability, MemberRecord
from fordtrestle.dissemination.suspicion import (
    CONFIRM_S,
    SUSPECT_S,
    WATCHERS,
    Suspicion,
    successor_of,
    watched_by,
    watchers,
)

NODES = [f"n-{number}" for number in range(12)]
GONE = "n-0"
WATCHER = watchers(GONE, NODES)[0]
MINE = watched_by(WATCHER, NODES)
LINKED = [node for node in NODES if node != GONE]


def test_each_member_is_watched_by_a_few_and_all_agree_on_whom():
    watched = {node: watchers(node, NODES) for node in NODES}
    assert all(len(by) == WATCHERS and node not in by for node, by in watched.items())
    assert watchers(GONE, reversed(NODES)) == watched[GONE]


def test_a_member_that_nobody_reaches_is_down_after_others_were_asked():
    suspicion = Suspicion()
    assert suspicion.tick(MINE, LINKED, 0.0).ask == ()
    assert suspicion.tick(MINE, LINKED, SUSPECT_S - 0.1).ask == ()
    assert suspicion.tick(MINE, LINKED, SUSPECT_S).ask == (GONE,)
    assert suspicion.tick(MINE, LINKED, SUSPECT_S + CONFIRM_S - 0.1).down == ()
    assert suspicion.tick(MINE, LINKED, SUSPECT_S + CONFIRM_S).down == (GONE,)


def test_a_member_that_another_reaches_is_not_down():
    suspicion = Suspicion()
    suspicion.tick(MINE, LINKED, 0.0)
    suspicion.tick(MINE, LINKED, SUSPECT_S)
    suspicion.vouched(GONE, SUSPECT_S + 1.0)
    assert suspicion.tick(MINE, LINKED, SUSPECT_S + CONFIRM_S).down == ()
    assert suspicion.tick(MINE, LINKED, SUSPECT_S + 1.0 + SUSPECT_S).ask == (GONE,)


def test_a_link_that_comes_back_ends_the_suspicion():
    suspicion = Suspicion()
    suspicion.tick(MINE, LINKED, 0.0)
    suspicion.tick(MINE, LINKED, SUSPECT_S)
    suspicion.tick(MINE, NODES, SUSPECT_S + 1.0)
    assert suspicion.tick(MINE, LINKED, SUSPECT_S + CONFIRM_S).down == ()


def test_each_watches_those_that_it_is_drawn_for():
    watched = {node: watched_by(node, NODES) for node in NODES}
    assert all(node in watched[by] for node in NODES for by in watchers(node, NODES))
    assert sum(map(len, watched.values())) == WATCHERS * len(NODES)


def test_all_agree_on_one_heir_of_a_member_that_is_gone():
    def member(node, role="control", availability=Availability.READY):
        return MemberRecord(node, role, "z", "r", f"{node}:1", "", availability)

    members = [member(f"c-{n}") for n in range(4)] + [member("s-1", "sidecar")]
    assert successor_of("c-2", members, "control") is None, "it is there"
    down = [*members[:2], member("c-2", availability=Availability.DOWN), *members[3:]]
    heir = successor_of("c-2", down, "control")
    assert heir in {"c-0", "c-1", "c-3"}
    assert heir == successor_of("c-2", reversed(down), "control")
    assert successor_of("forgotten", members, "control") in {f"c-{n}" for n in range(4)}
    assert successor_of("c-2", [member("s-1", "sidecar")], "control") is None

"""A member is told to be down only once nobody who was asked can reach it."""

from __future__ import annotations

from fordtrestle.dissemination.items import Availability, MemberRecord
from fordtrestle.dissemination.suspicion import (
    INDIRECT_PROBE_TIMEOUT_S,
    MONITORS_PER_NODE,
    SUSPICION_TIMEOUT_S,
    Suspicion,
    monitored_by,
    monitors_of,
    successor_of,
)

NODES = [f"n-{number}" for number in range(12)]
GONE = "n-0"
WATCHER = monitors_of(GONE, NODES)[0]
MINE = monitored_by(WATCHER, NODES)
LINKED = [node for node in NODES if node != GONE]


def test_each_member_is_watched_by_a_few_and_all_agree_on_whom():
    watched = {node: monitors_of(node, NODES) for node in NODES}
    assert all(len(by) == MONITORS_PER_NODE and node not in by for node, by in watched.items())
    assert monitors_of(GONE, reversed(NODES)) == watched[GONE]


def test_a_member_that_nobody_reaches_is_down_after_others_were_asked():
    suspicion = Suspicion()
    assert suspicion.tick(MINE, LINKED, 0.0).probe == ()
    assert suspicion.tick(MINE, LINKED, SUSPICION_TIMEOUT_S - 0.1).probe == ()
    assert suspicion.tick(MINE, LINKED, SUSPICION_TIMEOUT_S).probe == (GONE,)
    assert suspicion.tick(MINE, LINKED, SUSPICION_TIMEOUT_S + INDIRECT_PROBE_TIMEOUT_S - 0.1).down == ()
    assert suspicion.tick(MINE, LINKED, SUSPICION_TIMEOUT_S + INDIRECT_PROBE_TIMEOUT_S).down == (GONE,)


def test_a_member_that_another_reaches_is_not_down():
    suspicion = Suspicion()
    suspicion.tick(MINE, LINKED, 0.0)
    suspicion.tick(MINE, LINKED, SUSPICION_TIMEOUT_S)
    suspicion.on_probe_ack(GONE, SUSPICION_TIMEOUT_S + 1.0)
    assert suspicion.tick(MINE, LINKED, SUSPICION_TIMEOUT_S + INDIRECT_PROBE_TIMEOUT_S).down == ()
    assert suspicion.tick(MINE, LINKED, SUSPICION_TIMEOUT_S + 1.0 + SUSPICION_TIMEOUT_S).probe == (GONE,)


def test_a_link_that_comes_back_ends_the_suspicion():
    suspicion = Suspicion()
    suspicion.tick(MINE, LINKED, 0.0)
    suspicion.tick(MINE, LINKED, SUSPICION_TIMEOUT_S)
    suspicion.tick(MINE, NODES, SUSPICION_TIMEOUT_S + 1.0)
    assert suspicion.tick(MINE, LINKED, SUSPICION_TIMEOUT_S + INDIRECT_PROBE_TIMEOUT_S).down == ()


def test_each_watches_those_that_it_is_drawn_for():
    watched = {node: monitored_by(node, NODES) for node in NODES}
    assert all(node in watched[by] for node in NODES for by in monitors_of(node, NODES))
    assert sum(map(len, watched.values())) == MONITORS_PER_NODE * len(NODES)


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

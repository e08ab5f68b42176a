"""A member is declared down only if no probed process can reach it."""

from __future__ import annotations

from fordtrestle.dissemination.suspicion import (
    INDIRECT_PROBE_TIMEOUT_S,
    MONITORS_PER_NODE,
    SUSPICION_TIMEOUT_S,
    Suspicion,
    monitored_by,
    monitors_of,
)

NODES = [f"n-{number}" for number in range(12)]
LOST_NODE = "n-0"
MONITOR = monitors_of(LOST_NODE, NODES)[0]
MONITORED = monitored_by(MONITOR, NODES)
LINKED = [node for node in NODES if node != LOST_NODE]
DOWN_AFTER_S = SUSPICION_TIMEOUT_S + INDIRECT_PROBE_TIMEOUT_S


def test_all_processes_agree_on_the_few_monitors_of_a_member():
    monitors = {node: monitors_of(node, NODES) for node in NODES}
    assert all(
        len(monitoring) == MONITORS_PER_NODE and node not in monitoring
        for node, monitoring in monitors.items()
    )
    assert monitors_of(LOST_NODE, reversed(NODES)) == monitors[LOST_NODE]


def test_a_member_that_no_process_reaches_is_down_once_indirect_probes_time_out():
    suspicion = Suspicion()
    assert suspicion.tick(MONITORED, LINKED, 0.0).probe == ()
    assert suspicion.tick(MONITORED, LINKED, SUSPICION_TIMEOUT_S - 0.1).probe == ()
    assert suspicion.tick(MONITORED, LINKED, SUSPICION_TIMEOUT_S).probe == (LOST_NODE,)
    assert suspicion.tick(MONITORED, LINKED, DOWN_AFTER_S - 0.1).down == ()
    assert suspicion.tick(MONITORED, LINKED, DOWN_AFTER_S).down == (LOST_NODE,)


def test_a_probe_ack_from_another_process_restarts_the_suspicion():
    suspicion = Suspicion()
    suspicion.tick(MONITORED, LINKED, 0.0)
    suspicion.tick(MONITORED, LINKED, SUSPICION_TIMEOUT_S)
    acknowledged_at = SUSPICION_TIMEOUT_S + 1.0
    suspicion.on_probe_ack(LOST_NODE, acknowledged_at)
    assert suspicion.tick(MONITORED, LINKED, DOWN_AFTER_S).down == ()
    assert suspicion.tick(MONITORED, LINKED, acknowledged_at + SUSPICION_TIMEOUT_S).probe == (LOST_NODE,)


def test_a_link_that_comes_back_ends_the_suspicion():
    suspicion = Suspicion()
    suspicion.tick(MONITORED, LINKED, 0.0)
    suspicion.tick(MONITORED, LINKED, SUSPICION_TIMEOUT_S)
    suspicion.tick(MONITORED, NODES, SUSPICION_TIMEOUT_S + 1.0)
    assert suspicion.tick(MONITORED, LINKED, DOWN_AFTER_S).down == ()


def test_each_process_monitors_the_nodes_whose_monitor_it_is():
    monitored = {node: monitored_by(node, NODES) for node in NODES}
    assert all(node in monitored[monitor] for node in NODES for monitor in monitors_of(node, NODES))
    assert sum(map(len, monitored.values())) == MONITORS_PER_NODE * len(NODES)

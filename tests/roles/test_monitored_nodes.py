"""The nodes that a process monitors, when the membership changes."""

from __future__ import annotations

from fordtrestle.dissemination.suspicion import monitored_by
from fordtrestle.roles.monitored_nodes import MAX_CHEAP_NODES, MIN_RESELECT_INTERVAL_S, MonitoredNodes

FEW = {"n-1", "n-2", "n-3"}
MANY = {f"n-{number}" for number in range(2 * MAX_CHEAP_NODES)}


def test_among_few_nodes_a_change_of_the_membership_is_applied_at_once():
    monitored = MonitoredNodes("n-1")
    monitored.update(FEW, 10.0)
    assert monitored.names == monitored_by("n-1", FEW)
    monitored.update(FEW - {"n-2"}, 10.1)
    assert monitored.names == monitored_by("n-1", FEW - {"n-2"})


def test_among_many_nodes_a_change_is_applied_once_the_interval_is_over():
    monitored = MonitoredNodes("n-1")
    monitored.update(MANY, 10.0)
    before = monitored.names
    fewer = MANY - before
    monitored.update(fewer, 10.0 + MIN_RESELECT_INTERVAL_S / 2)
    assert monitored.names == before
    monitored.update(fewer, 10.0 + MIN_RESELECT_INTERVAL_S)
    assert monitored.names == monitored_by("n-1", fewer) != before

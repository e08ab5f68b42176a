"""The effects of losing state that is not on disk, and how long they last (`docs/design/control.md`).

That state is whether a server drains, has departed or is unresponsive. To search more seeds by hand:

    FORGETTING_SEEDS=3000 python -m pytest tests/dissemination/test_forgetting.py
"""

from __future__ import annotations

import os

import pytest

from fordtrestle.control_api.heartbeats import MAX_MISSED_HEARTBEATS
from tests.dissemination.forgetting import (
    CONTROLS,
    HEARTBEAT_S,
    SIDECARS,
    ServerState,
    is_used,
    run_simulation,
    serving_simulation,
)

MIN_SEEDS = 150
SEEDS = max(MIN_SEEDS, int(os.environ.get("FORGETTING_SEEDS", MIN_SEEDS)))


@pytest.mark.parametrize("part", range(5))
def test_lost_state_never_makes_a_process_reuse_a_server_and_all_converge(part):
    for seed in range(part, SEEDS, 5):
        simulation = run_simulation(seed)
        simulation.heal()
        for node in SIDECARS:
            assert simulation.processes[node].usable(simulation.now) == simulation.serving, (seed, node)


def test_a_sidecar_that_has_lost_its_state_uses_no_server_until_it_receives_its_item():
    simulation = serving_simulation()
    simulation.drain()
    simulation.restart_all_processes()
    assert simulation.processes["s-1"].usable(simulation.now) == set()


def test_a_lost_deregistration_is_undone_by_a_partitioned_process_for_a_bounded_time():
    """The process reintroduces the older item, until missing heartbeats make the server unusable."""
    simulation = serving_simulation()
    simulation.partitioned = {"s-2"}
    server = simulation.servers[0]
    server.state = ServerState.DEPARTED
    for node in CONTROLS:
        control = simulation.processes[node]
        control.merge([control.heartbeats.deregister(server.instance, control.catalog)], simulation.now)
    simulation.restart_all_processes()
    simulation.partitioned = set()
    healed_at = simulation.now
    for node in CONTROLS:
        simulation.reconcile(simulation.processes["s-2"], simulation.processes[node])
    simulation.reconcile(simulation.processes["c-1"], simulation.processes["s-1"])
    assert is_used(simulation, server, "s-1")  # requests fail to connect, or reach another incarnation (421)
    while is_used(simulation, server, "s-1"):
        simulation.tick()
        for node in (*CONTROLS, "s-2"):
            simulation.reconcile(simulation.processes[node], simulation.processes["s-1"])
    assert simulation.now - healed_at <= MAX_MISSED_HEARTBEATS * HEARTBEAT_S + 0.5

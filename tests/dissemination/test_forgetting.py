"""What is unsafe, and for how long, when state that is on no disk is forgotten (`docs/design/control.md`).

That is whether a server drains, has departed or is unresponsive. More seeds are searched by hand:

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
    play,
    world_that_serves,
)

MIN_SEEDS = 150
SEEDS = max(MIN_SEEDS, int(os.environ.get("FORGETTING_SEEDS", MIN_SEEDS)))


@pytest.mark.parametrize("part", range(5))
def test_whatever_is_forgotten_no_process_goes_back_and_all_converge(part):
    for seed in range(part, SEEDS, 5):
        world = play(seed)
        world.heal()
        for node in SIDECARS:
            assert world.processes[node].usable(world.now) == world.serving, (seed, node)


def test_a_sidecar_that_has_forgotten_all_uses_no_server_until_it_hears_of_one():
    world = world_that_serves()
    world.drain()
    world.forget_all()
    assert world.processes["s-1"].usable(world.now) == set()


def test_a_forgotten_deregistration_is_undone_by_a_partitioned_process_until_the_bound():
    """It brings the older item back to all; that no heartbeats come ends that after the bound."""
    world = world_that_serves()
    world.partitioned = {"s-2"}
    server = world.servers[0]
    server.state = ServerState.DEPARTED
    for node in CONTROLS:
        control = world.processes[node]
        control.take([control.heartbeats.deregister(server.instance, control.catalog)], world.now)
    world.forget_all()
    world.partitioned = set()
    healed_at = world.now
    for node in CONTROLS:
        world.compare(world.processes["s-2"], world.processes[node])
    world.compare(world.processes["c-1"], world.processes["s-1"])
    assert is_used(world, server, "s-1")  # requests find no connection there, or another incarnation (421)
    while is_used(world, server, "s-1"):
        world.tick()
        for node in (*CONTROLS, "s-2"):
            world.compare(world.processes[node], world.processes["s-1"])
    assert world.now - healed_at <= MAX_MISSED_HEARTBEATS * HEARTBEAT_S + 0.5

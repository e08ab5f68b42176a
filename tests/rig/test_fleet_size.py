"""Tests of the full-size simulation on a small scale: faults of its world, and its figures."""

from __future__ import annotations

import asyncio

import pytest

from benchmarks import fleet_size, small_shares
from benchmarks.fleet_size import DAYS, Day, Size
from fordtrestle.balancer import Balancer
from fordtrestle.balancer.model import Listing, Outcome
from rig.helper import ROOT
from rig.model import Make
from rig.sim.policy import Flow, World

SMALL = Size(servers=18, sidecars=24, length_ms=6000.0)


def played(name, seed=1, size=SMALL):
    day = Day(size, seed, Balancer)
    DAYS[name](day)
    return day.play(), day


def world(**changes):
    """Return a world with three zones, each with one server and one sidecar."""
    names = ["a", "b", "c"]
    made = World(
        {name: Make(handshake_ms=0.0) for name in names},
        balancer=lambda me, seed: Balancer(0.0, fleet_size.settings(me, 3), seed),
        sidecars=3,
        zones={name: number for number, name in enumerate(names)},
        **changes,
    )
    made.zone_of = lambda number: number
    return made


def ask(made, until_ms, rate_per_s=20.0, from_ms=0.0, **changes):
    made.flow(Flow(rate_per_s, 1000.0, work_ms=2.0, io_ms=10.0, from_ms=from_ms, **changes), until_ms)
    made.run(until_ms + 1500.0)


def test_a_day_is_reproducible_by_seed():
    assert played("herd")[0] == played("herd")[0]
    assert played("calm", seed=2)[0] != played("calm", seed=3)[0]


@pytest.mark.parametrize("name", [name for name in DAYS if name not in ("herd", "roll")])
def test_most_requests_are_served_while_servers_fail(name):
    figures, _ = played(name)
    assert figures["served"] > 0.85
    assert figures["failed"] < 0.1


def test_an_idle_connection_is_closed_and_a_new_one_opened():
    made = world(idle_ms=500.0)
    ask(made, 1000.0, rate_per_s=2.0)
    assert made.counts.opened >= 1
    made.run(5000.0)
    assert not any(host.held for host in made.hosts.values())
    assert all(host.machine.connections == 0 for host in made.hosts.values())


def test_a_partition_is_silent_in_both_directions_and_ends():
    made = world()
    made.cut([(0, 1), (1, 0)], 1500.0)
    host, sidecar = made.hosts["b"], made.sidecars[0]
    assert made.is_cut(sidecar, host)
    assert not made.is_cut(made.sidecars[2], host)
    ask(made, 1000.0, sidecars=(0,))
    assert made.counts.sends["b"] == 0
    assert made.counts.sends["a"] > 0
    assert made.outcomes[Outcome.CONNECT_FAILED] > 0
    made.run(3000.0)
    assert not made.is_cut(sidecar, host)
    ask(made, 20_000.0, from_ms=made.now, sidecars=(0,))  # a failed server is rarely retried
    assert made.counts.sends["b"] > 0


def test_a_killed_sidecar_loses_its_requests_and_restarts_with_its_list():
    made = world()
    made.at(500.0, lambda: made.kill(0, 900.0, [Listing("a")]))
    ask(made, 1500.0, rate_per_s=100.0, sidecars=(0,))
    shares = made.shares()
    assert shares["unanswered"] > 0.2
    assert shares["served"] > 0.4
    late = [client_request for client_request in made.asked if client_request.at_ms > 900.0]
    assert all(client_request.end == "served" for client_request in late)
    assert made.sidecars[0].alive
    assert not made.sidecars[0].open_requests


def test_a_new_server_gets_work_once_it_is_announced():
    made = world()
    made.add("d", Make(), Listing("d", started=0.0))
    ask(made, 500.0)
    assert made.counts.sends["d"] == 0
    made.tell("changes", [Listing("d", started=0.0)])
    ask(made, 4000.0, from_ms=made.now, rate_per_s=60.0)
    assert made.counts.sends["d"] > 0


def test_keys_by_zipf_and_sidecars_by_weight():
    made = world()
    ask(made, 20_000.0, rate_per_s=50.0, keys=100, key_zipf=1.0, weights=(0.8, 0.1, 0.1))
    first = sum(client_request.sidecar == 0 for client_request in made.asked) / len(made.asked)
    assert 0.7 < first < 0.9
    keys = [client_request.key for client_request in made.asked]
    assert keys.count(0) > 5 * max(1, keys.count(50))


@pytest.mark.parametrize("arguments", [["--only", "storm"], ["--sidecars", "0"], ["--tree", "/no/such/tree"]])
def test_bad_input_is_exit_code_2(arguments, monkeypatch, capsys):
    monkeypatch.setattr("sys.argv", ["fleet_size", *arguments])
    with pytest.raises(SystemExit) as ended:
        fleet_size.main()
    assert ended.value.code == 2
    assert "error" in capsys.readouterr().err


def test_a_module_that_fails_to_load_is_reported(tmp_path):
    (tmp_path / "fordtrestle" / "balancer").mkdir(parents=True)
    (tmp_path / "fordtrestle" / "balancer" / "balancer.py").write_text("def broken(:\n")
    with pytest.raises(ValueError, match=r"balancer\.py"):
        fleet_size.balancer_of(tmp_path)


def test_the_cost_of_a_sidecar_is_measured_on_processes(capsys):
    figures = asyncio.run(small_shares.measure(2, 0.5, 1, ROOT))
    assert figures["start_cpu_ms"] > 10.0
    assert 5.0 < figures["rss_mb"] < 96.0
    assert figures["idle_wakes_a_s"] < figures["busy_wakes_a_s"]
    assert figures["asked_a_s"] > 4.0


@pytest.mark.parametrize("arguments", [["--processes", "0"], ["--processes", "999"], ["--seed", "x"]])
def test_bad_input_of_small_shares_is_exit_code_2(arguments, monkeypatch, capsys):
    monkeypatch.setattr("sys.argv", ["small_shares", *arguments])
    with pytest.raises(SystemExit) as ended:
        small_shares.main()
    assert ended.value.code == 2
    assert "error" in capsys.readouterr().err

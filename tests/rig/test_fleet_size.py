"""The small twin of the days at full size: its world's own faults, and what its figures say."""

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
    """Three servers, one to a zone, and three sidecars in the same zones."""
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


def test_the_same_seed_gives_the_same_day():
    assert played("herd")[0] == played("herd")[0]
    assert played("calm", seed=2)[0] != played("calm", seed=3)[0]


@pytest.mark.parametrize("name", [name for name in DAYS if name not in ("herd", "roll")])
def test_most_is_served_while_servers_fail(name):
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


def test_a_cut_is_silent_both_ways_and_ends():
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
    ask(made, 20_000.0, from_ms=made.now, sidecars=(0,))  # one that failed is tried seldom
    assert made.counts.sends["b"] > 0


def test_a_killed_sidecar_loses_what_it_had_taken_and_returns_with_its_list():
    made = world()
    made.at(500.0, lambda: made.kill(0, 900.0, [Listing("a")]))
    ask(made, 1500.0, rate_per_s=100.0, sidecars=(0,))
    shares = made.shares()
    assert shares["unanswered"] > 0.2
    assert shares["served"] > 0.4
    late = [asked for asked in made.asked if asked.at_ms > 900.0]
    assert all(asked.end == "served" for asked in late)
    assert made.sidecars[0].alive
    assert not made.sidecars[0].open_requests


def test_a_new_server_takes_work_once_its_news_has_come():
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
    first = sum(asked.sidecar == 0 for asked in made.asked) / len(made.asked)
    assert 0.7 < first < 0.9
    keys = [asked.key for asked in made.asked]
    assert keys.count(0) > 5 * max(1, keys.count(50))


@pytest.mark.parametrize("arguments", [["--only", "storm"], ["--sidecars", "0"], ["--tree", "/no/such/tree"]])
def test_bad_input_is_exit_code_2(arguments, monkeypatch, capsys):
    monkeypatch.setattr("sys.argv", ["fleet_size", *arguments])
    with pytest.raises(SystemExit) as ended:
        fleet_size.main()
    assert ended.value.code == 2
    assert "error" in capsys.readouterr().err


def test_a_module_that_does_not_load_is_told(tmp_path):
    (tmp_path / "fordtrestle" / "balancer").mkdir(parents=True)
    (tmp_path / "fordtrestle" / "balancer" / "balancer.py").write_text("def broken(:\n")
    with pytest.raises(ValueError, match=r"balancer\.py"):
        fleet_size.balancer_of(tmp_path)


def test_what_each_sidecar_costs_is_measured_on_processes(capsys):
    told = asyncio.run(small_shares.measure(2, 0.5, 1, ROOT))
    assert told["start_cpu_ms"] > 10.0
    assert 5.0 < told["rss_mb"] < 96.0
    assert told["idle_wakes_a_s"] < told["busy_wakes_a_s"]
    assert told["asked_a_s"] > 4.0


@pytest.mark.parametrize("arguments", [["--processes", "0"], ["--processes", "999"], ["--seed", "x"]])
def test_bad_input_of_small_shares_is_exit_code_2(arguments, monkeypatch, capsys):
    monkeypatch.setattr("sys.argv", ["small_shares", *arguments])
    with pytest.raises(SystemExit) as ended:
        small_shares.main()
    assert ended.value.code == 2
    assert "error" in capsys.readouterr().err

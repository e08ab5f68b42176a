"""Tests of the port server model: it reads no clock, so each test passes the times."""

from __future__ import annotations

import math
import random

import pytest

from rig.model import Job, Machine, Make, Repeats


def machine(cold=False, repeats=None, **changes):
    return Machine(
        Make(handshake_ms=0.0, **changes), Repeats(1200.0) if repeats is None else repeats, 0.0, cold
    )


def run(made, until_ms=math.inf):
    """Advance to a time and return the ended jobs as (job, end, time)."""
    ended = []
    while (at_ms := made.next_ms()) is not None and at_ms <= until_ms:
        ended += [(one.job, one.end, one.at_ms) for one in made.advance(at_ms)]
    return ended


def ends(made, until_ms=math.inf):
    return [at_ms for _, _, at_ms in run(made, until_ms)]


def test_jobs_share_a_core_in_order_and_io_waits_hold_a_slot_but_no_core():
    made = machine(speed=0.5)
    jobs = [Job(10.0, io_ms=100.0) for _ in range(3)]
    assert [made.offer(0.0, job) for job in jobs] == [""] * 3
    assert ends(made) == [120.0, 140.0, 160.0]  # 20 ms on the core each, one after the other
    assert made.in_flight == 0


def test_cores_work_in_parallel():
    made = machine(cores=2)
    for _ in range(4):
        made.offer(0.0, Job(10.0))
    assert ends(made) == [10.0, 10.0, 20.0, 20.0]


def test_a_slot_is_held_to_the_end_and_a_full_queue_rejects_requests():
    made = machine(slots=1, queue=1)
    assert [made.offer(0.0, Job(10.0, io_ms=40.0)) for _ in range(3)] == ["", "", "full"]
    assert ends(made) == [50.0, 100.0]


def test_a_cold_server_has_part_of_its_capacity_and_warms_up():
    made = machine(cold=True, cold_from=0.25, warm_up_ms=1000.0)
    assert [made.share(at) for at in (0.0, 500.0, 1000.0, 9000.0)] == [0.25, 0.625, 1.0, 1.0]
    made.offer(0.0, Job(10.0))
    assert ends(made) == [40.0]
    assert machine().share(0.0) == 1.0


@pytest.mark.parametrize(("every_ms", "falls"), [(9.0, True), (11.0, False)])
def test_a_cold_server_fails_when_sent_more_than_its_multiple(every_ms, falls):
    """At half capacity and a multiple of 2, it survives 100 ms of work in 100 ms; each job takes 10 ms."""
    made = machine(cold=True, cold_from=0.5, warm_up_ms=1e9, fall_multiple=2.0, overload_ms=100.0, queue=0)
    for turn in range(1, 60):
        made.offer(turn * every_ms, Job(10.0))  # rejected requests count as well
    assert (made.fallen_ms is not None) is falls
    if falls:
        assert made.offer(1000.0, Job(1.0)) == "down"
        assert run(made) == []


def test_a_warm_server_does_not_fail_from_load():
    made = machine(fall_multiple=1.0, overload_ms=10.0)
    for _ in range(100):
        made.offer(0.0, Job(10.0))
    assert made.fallen_ms is None


def test_a_handshake_costs_work_and_connections_are_capped():
    made = Machine(Make(handshake_ms=5.0, connections=2), Repeats(1.0), 0.0, cold=False)
    assert [made.connect(0.0) for _ in range(3)] == [True, True, False]
    assert made.offer(0.0, Job(1.0), capped=True) == "connections"
    made.offer(0.0, job := Job(1.0))
    assert [at for done, _, at in run(made) if done is job] == [11.0]
    made.disconnect()
    made.disconnect()
    assert made.connect(20.0)


def test_a_probe_costs_work_and_a_draining_server_answers_none():
    made = machine(probe_ms=2.0)
    job = made.probe(0.0)
    assert run(made) == [(job, "done", 2.0)]
    made.draining = True
    assert made.probe(3.0) is None
    assert made.offer(3.0, Job(1.0)) == "draining"


def test_a_recent_key_costs_less_and_remembered_keys_are_bounded():
    made = machine(key_saving=0.6, key_memory_ms=1000.0, keys=2)
    for at_ms, key, took_ms in [
        (0.0, "a", 10.0),
        (100.0, "a", 4.0),
        (1200.0, "a", 10.0),  # last used too long ago
        (1300.0, "b", 10.0),
        (1400.0, "c", 10.0),
        (1500.0, "a", 10.0),  # evicted by two other keys
        (1600.0, "c", 4.0),
    ]:
        made.offer(at_ms, Job(10.0, key=key))
        assert ends(made) == [pytest.approx(at_ms + took_ms)], (at_ms, key)


def test_all_servers_of_a_data_centre_drop_repeats_within_the_window():
    repeats = Repeats(1200.0)
    one, other, apart = machine(repeats=repeats), machine(repeats=repeats), machine()
    one.offer(0.0, first := Job(10.0, token="t"))
    run(one)
    for made, at_ms, dropped in [(other, 100.0, True), (apart, 100.0, False), (other, 1300.0, False)]:
        made.offer(at_ms, job := Job(10.0, io_ms=50.0, token="t"))
        assert ends(made) == [pytest.approx(at_ms + (0.5 if dropped else 60.0))]
        assert job.repeat is dropped
    assert not first.repeat


def test_a_repeat_of_running_work_has_no_effect_and_one_of_cancelled_work_has():
    repeats = Repeats(1200.0)
    one, other = machine(repeats=repeats), machine(repeats=repeats)
    one.offer(0.0, first := Job(50.0, token="t"))
    other.offer(10.0, second := Job(50.0, token="t"))
    assert second.repeat
    assert not first.repeat
    one.cancel(20.0, first)
    other.cancel(20.0, second)
    other.offer(30.0, third := Job(50.0, token="t"))
    assert not third.repeat


def test_stored_keys_are_bounded():
    repeats = Repeats(1200.0, max_keys=3)
    for number in range(9):
        repeats.begin(str(number), 0.0)
    assert repeats.size == 3
    assert repeats.state_of("0", 0.0) == ""
    assert repeats.state_of("8", 0.0) == "running"


def test_a_closed_connection_cancels_a_job_in_any_state():
    made = machine(slots=3)
    jobs = [Job(10.0, io_ms=30.0) for _ in range(5)]
    for job in jobs:
        made.offer(0.0, job)
    run(made, 15.0)
    assert [job.state for job in jobs] == ["io", "running", "ready", "waiting", "waiting"]
    for job in jobs[:4]:
        made.cancel(15.0, job)
    assert run(made) == [(jobs[4], "done", 55.0)]
    assert made.in_flight == 0
    assert made.next_ms() is None


def test_jobs_past_their_deadline_never_run():
    made = machine()
    made.offer(0.0, Job(100.0))
    made.offer(0.0, late := Job(10.0, deadline_ms=50.0))
    assert made.offer(0.0, Job(1.0, deadline_ms=0.0)) == "over"
    assert run(made)[1] == (late, "over", 100.0)
    assert late.began_ms is None


def test_a_pause_delays_running_and_arriving_work():
    made = machine()
    made.offer(0.0, Job(10.0, io_ms=5.0))
    made.offer(0.0, Job(10.0, io_ms=5.0))
    made.advance(4.0)
    made.stall(4.0, 200.0)
    made.stall(104.0, 100.0)  # ends with the first pause and adds nothing
    made.offer(150.0, Job(1.0))
    assert made.answers_from_ms(150.0) == 204.0
    assert ends(made) == [215.0, 221.0, 225.0]


def test_a_server_chokes_after_long_overload_and_recovers_after_idle_time():
    made = machine(choke_at=3, choke_after_ms=50.0, choke_times=4.0, choke_rest_ms=100.0)
    for _ in range(12):
        made.offer(0.0, Job(10.0))
    run(made, 70.0)
    assert made.choked
    last = ends(made)[-1]
    assert last > 200.0
    made.offer(last + 150.0, Job(10.0))
    assert not made.choked
    assert ends(made) == [last + 160.0]
    assert not machine(choke_at=0).choked


def test_reports_contain_the_configured_fields():
    made = machine(report=("inflight", "queue"), slots=1)
    made.offer(0.0, Job(1.0))
    made.offer(0.0, Job(1.0))
    assert made.report() == {"inflight": 2.0, "queue": 1.0}


@pytest.mark.parametrize("wrong", [{"cores": 0}, {"speed": math.nan}, {"cold_from": 1.2}, {"report": ("x",)}])
def test_invalid_properties_are_rejected(wrong):
    with pytest.raises(ValueError):
        Make(**wrong)


def test_random_loads_end_every_accepted_job_and_are_reproducible():
    def play(seed):
        rng = random.Random(seed)
        made = machine(cores=2, slots=3, queue=4, choke_at=2, key_saving=0.5, fall_multiple=1e9)
        now, accepted, ended, cancelled = 0.0, [], [], 0
        for _ in range(400):
            now += rng.expovariate(0.1)
            ended += made.advance(now)
            job = Job(rng.uniform(1.0, 30.0), rng.uniform(0.0, 60.0), key=str(rng.randrange(9)))
            if not made.offer(now, job):
                accepted.append(job)
            if rng.random() < 0.1:
                made.stall(now, rng.uniform(1.0, 100.0))
            if rng.random() < 0.2 and accepted:
                victim = rng.choice(accepted)
                cancelled += victim.state not in ("done", "gone")
                made.cancel(now, victim)
        ended += made.advance(1e9)
        assert len(ended) + cancelled == len(accepted)
        assert made.in_flight == 0
        assert made.next_ms() is None
        assert made._slots == made.make.slots
        return [one.at_ms for one in ended]

    for seed in range(10):
        assert play(seed) == play(seed)

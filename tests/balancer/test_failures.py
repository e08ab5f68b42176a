"""Failures found on simulated days of deployments; each test fails without the mechanism that prevents it."""

from __future__ import annotations

import itertools
import math
from collections import Counter

from fordtrestle.balancer import Balancer, Settings
from fordtrestle.balancer.model import Arrival, CloseIdle, Listing, Outcome, Refuse, Send, Timer
from tests.balancer.helpers import arrival, balancer, listing, of_type, raw_settings

ORDERED = {"Semantics": "pure", "Objective": 200.0, "Deadline": 1000.0, "LateWorth": 0.5, "InTurn": True}


def ordered_balancer(settle=100.0, **changes):
    return balancer(servers=4, Profiles=[dict(ORDERED)], Rules={"SettleAfterDoubt": settle}, **changes)


def keyed(number, now=0.0, key=7, left=1000.0):
    return Arrival(number, 0, now + left, key=key)


def test_requests_of_one_key_run_one_at_a_time_in_order():
    # Requests of a key overtook each other on every simulated day of a site that requires their order.
    instance = ordered_balancer()
    assert of_type(instance.request(0.0, keyed(1)), Send)
    assert not of_type(instance.request(1.0, keyed(2)), Send)
    assert not of_type(instance.request(2.0, keyed(3)), Send)
    assert of_type(instance.request(3.0, keyed(4, key=8)), Send)
    (second,) = of_type(instance.outcome(20.0, 1, 0, Outcome.OK, 20.0, last=True), Send)
    assert second.request == 2
    instance.client_gone(30.0, 2)
    assert not instance._requests[3].attempts, "the attempt of a client that left may still run"
    (third,) = of_type(instance.outcome(40.0, 2, 0, Outcome.OK, 20.0, last=True), Send)
    assert third.request == 3


def test_a_key_is_blocked_after_an_uncertain_outcome_and_its_state_is_dropped_in_the_end():
    instance = ordered_balancer()
    instance.request(0.0, keyed(1))
    instance.request(1.0, keyed(2))
    instance.client_gone(5.0, 1)
    actions = instance.outcome(10.0, 1, 0, Outcome.CANCELLED, 10.0, last=True)
    (timer,) = of_type(actions, Timer)
    assert not of_type(actions, Send)
    assert timer.delay == 100.0
    (send,) = [a for a in instance.timer(110.0, timer.token) if isinstance(a, Send)]
    instance.outcome(120.0, send.request, 0, Outcome.OK, 10.0, last=True)
    assert not instance._key_order.queues
    assert not instance._requests


def test_a_queued_request_is_refused_before_its_client_gives_up():
    instance = ordered_balancer()
    instance.request(0.0, keyed(1))
    (late,) = [
        t for t in of_type(instance.request(1.0, keyed(2, 1.0, left=300.0)), Timer) if "late" in t.token
    ]
    assert late.delay <= 300.0
    assert of_type(instance.timer(1.0 + late.delay, late.token), Refuse)


def test_a_queue_that_is_too_long_to_be_served_in_time_refuses_at_once():
    instance = ordered_balancer()
    for number in range(5):
        instance.request(0.0, keyed(100 + number, key=number))
        instance.outcome(150.0, 100 + number, 0, Outcome.OK, 150.0, last=True)
    refused = [n for n in range(40) if of_type(instance.request(200.0, keyed(n, 200.0, key=99)), Refuse)]
    assert refused
    assert refused[0] < 10
    assert len(instance._key_order.queues[99].waiting) < 10


def test_idle_connections_are_closed_on_a_drain_and_after_a_late_outcome():
    # Idle connections to draining servers stayed open.
    instance = balancer("safe", servers=1, Rules={"ReleaseWithin": 1000.0})
    instance.request(0.0, arrival(1))
    leaving = [Listing("s0", state="leaving")]
    actions = instance.server_list(10.0, "changes", leaving)
    assert of_type(actions, CloseIdle)
    (timer,) = [t for t in of_type(actions, Timer) if t.token.startswith("close")]
    assert of_type(instance.outcome(700.0, 1, 0, Outcome.OK, 690.0, last=True), CloseIdle)
    closings, now = 0, 10.0
    while timer is not None:
        now += timer.delay
        actions = instance.timer(now, timer.token)
        closings += len(of_type(actions, CloseIdle))
        timer = next(iter(of_type(actions, Timer)), None)
    assert 1 <= closings <= 4
    assert now > 700.0


def test_the_only_usable_server_is_not_overloaded_while_it_is_cold():
    rules = {"ColdFrom": 0.2, "WarmUp": 20_000.0, "FallMultiple": 2.0, "OverloadFor": 1000.0}
    sent, number = 0, 0
    for me in range(100):
        instance = Balancer(0.0, Settings.parse(raw_settings("safe", Me=me, Balancers=100, Rules=rules)), me)
        instance.server_list(0.0, "all", listing(10))
        for step in range(20):
            number += 1
            instance.request(500.0 * step, arrival(number, 500.0 * step))
            instance.outcome(500.0 * step + 20.0, number, 0, Outcome.OK, 20.0, last=True)
        gone = [Listing(f"s{i}", state="left") for i in range(1, 10)]
        instance.server_list(10_000.0, "changes", [*gone, Listing("s0", started=10_000.0)])
        for step in range(2):
            number += 1
            now = 10_010.0 + 500.0 * step
            sent += len(of_type(instance.request(now, arrival(number, now)), Send))
    # There are 200 requests per second. A warm server's share is a tenth of them; the cold server fails at
    # two times a fifth of that.
    assert sent < 0.1 * 200 * 0.2 * 2.0 * 1.5


ZONED = {"Prices": {"CrossZone": 0.2}}


def two_zone_balancer():
    instance = balancer("unsafe", servers=0, **ZONED)
    instance.server_list(0.0, "all", [Listing(f"s{i}", zone=i % 2) for i in range(8)])
    return instance


def crossing_share(instance, count, local_status, now=0.0):
    """Return the share of sends to the remote zone; `local_status` gives the outcomes of the local one."""
    sends_by_zone = Counter()
    for number in range(count):
        at = now + 100.0 * number
        for send in of_type(instance.request(at, arrival(int(at), at)), Send):
            is_local = int(send.server[1:]) % 2 == 0
            sends_by_zone[is_local] += 1
            status = local_status(number) if is_local else Outcome.OK
            instance.outcome(at + 20.0, int(at), 0, status, 20.0, last=status == Outcome.OK)
    return sends_by_zone[False] / max(1, sum(sends_by_zone.values()))


def test_sends_stay_local_if_a_crossing_is_expensive_and_spill_over_when_the_local_zone_fails():
    # On a site where a crossing costs 22 points, half of all sends crossed.
    instance = two_zone_balancer()
    assert crossing_share(instance, 100, lambda n: Outcome.OK) == 0.0
    assert crossing_share(instance, 300, lambda n: Outcome.ERROR if n % 2 else Outcome.OK, now=50_000.0) > 0.2


def test_lost_answers_do_not_shed_while_answers_are_quick():
    # On answer_lost days, a quarter of all requests was refused although servers had spare capacity.
    instance = balancer("unsafe", servers=8)
    for number in range(200):
        now = 100.0 * number
        instance.request(now, arrival(number, now))
        is_lost = number % 6 == 0
        status = Outcome.TIMEOUT if is_lost else Outcome.OK
        instance.outcome(now + 50.0, number, 0, status, 200.0 if is_lost else 30.0, last=not is_lost)
    assert instance._shedder.level(20_000.0) < 0.05


def test_a_silent_server_is_ejected_though_many_others_fail_too():
    # Incident i07acc0: faults were attributed to servers only while the service was healthy.
    instance = balancer("unsafe", servers=4)
    sends_by_server = Counter()
    for number in range(400):
        now = 50.0 * number
        for send in of_type(instance.request(now, arrival(number, now)), Send):
            sends_by_server[send.server] += now > 5_000.0
            bad = send.server == "s0" or number % 4 == 0
            status = Outcome.TIMEOUT if bad else Outcome.OK
            instance.outcome(now + 10.0, number, 0, status, 200.0 if bad else 10.0, last=not bad)
    assert sends_by_server["s0"] < 0.5 * sum(sends_by_server.values()) / 4


def test_after_timeouts_of_a_server_a_retryable_request_gets_a_short_timeout():
    instance = balancer("safe", servers=4, Profiles=[{**ORDERED, "InTurn": False}])
    (before,) = of_type(instance.request(0.0, arrival(1)), Send)
    assert before.timeout == 1000.0
    instance.outcome(30.0, 1, 0, Outcome.OK, 30.0, last=True)
    for number in range(10, 40):
        instance.request(100.0, arrival(number, 100.0))
        instance.outcome(130.0, number, 0, Outcome.OK, 30.0, last=True)
    (unresponsive,) = of_type(instance.request(200.0, arrival(50, 200.0)), Send)
    instance.outcome(1200.0, 50, 0, Outcome.TIMEOUT, 1000.0)
    (once,) = of_type(instance.request(1300.0, arrival(51, 1300.0)), Send)
    assert once.timeout == 1000.0, "a single timeout may be due to a burst of this sidecar"
    instance.outcome(1330.0, 51, 0, Outcome.OK, 30.0, last=True)
    instance._ejection.record_fault(1400.0, instance._servers[unresponsive.server], True, 1400.0)
    (after,) = of_type(instance.request(1500.0, arrival(2, 1500.0)), Send)
    assert after.timeout < 300.0


def test_a_stall_of_the_sidecar_itself_is_no_fault_of_a_server():
    instance = balancer(servers=4, Profiles=[{**ORDERED, "InTurn": False}])
    actions = instance.request(0.0, arrival(1))
    (due,) = of_type(actions, Timer)
    instance.timer(due.delay + 500.0, due.token)
    assert instance._shedder.level(700.0) == 0.0
    assert all(s.error_weight == 0.0 for s in instance._servers.values())


def test_a_connection_dropped_while_idle_is_no_server_fault_and_the_next_is_closed_in_time():
    # On idle_reap days, a tenth of all attempts was reset.
    instance = balancer("safe", servers=1)
    instance.request(0.0, arrival(1))
    instance.outcome(20.0, 1, 0, Outcome.OK, 20.0, last=True)
    instance.request(2000.0, arrival(2, 2000.0))
    actions = instance.outcome(2001.0, 2, 0, Outcome.RESET, 1.0)
    assert instance._servers["s0"].error_weight == 0.0
    (retry,) = of_type(actions, Send)  # over a new connection
    instance.outcome(2020.0, 2, 1, Outcome.OK, 20.0, last=True)
    assert retry.server == "s0"
    soon = instance.request(2500.0, arrival(3, 2500.0))
    assert of_type(soon, Send)
    assert not of_type(soon, CloseIdle)
    instance.outcome(2520.0, 3, 0, Outcome.OK, 20.0, last=True)
    later = instance.request(4500.0, arrival(4, 4500.0))
    assert [type(a) for a in later if isinstance(a, CloseIdle | Send)] == [CloseIdle, Send]


def test_a_keyed_retry_finds_its_group_in_a_large_fleet():
    # On idle_reap days, the selection seldom found the few servers that recognize a retry.
    found = 0
    for seed in range(20):
        instance = balancer("keyed", servers=60, seed=seed)
        (send,) = of_type(instance.request(0.0, arrival(1)), Send)
        retries = of_type(instance.outcome(5.0, 1, 0, Outcome.ERROR, 5.0), Send)
        assert all(int(a.server[1:]) // 2 == int(send.server[1:]) // 2 for a in retries)
        found += len(retries)
    assert found == 20


def test_open_connections_are_preferred_while_new_ones_fail():
    # On handshake_slow days, four in ten attempts got no connection.
    instance = balancer("unsafe", servers=8)
    connected = set()
    for number in range(4):
        (send,) = of_type(instance.request(500.0 * number, arrival(number, 500.0 * number)), Send)
        connected.add(send.server)
        instance.outcome(500.0 * number + 20.0, number, 0, Outcome.OK, 20.0, last=True)
    instance._connections.error_weight = 0.9
    sends = [of_type(instance.request(3000.0 + n, arrival(50 + n, 3000.0)), Send)[0].server for n in range(2)]
    assert set(sends) <= connected


def test_waiting_requests_that_servers_report_break_ties():
    instance = balancer("safe", servers=2, Report={"How": "inline", "Fields": ["queue", "util"]})
    for number in range(6):
        now = 10.0 * number
        (send,) = of_type(instance.request(now, arrival(number, now)), Send)
        report = {"queue": 9.0 if send.server == "s0" else 0.0, "util": 0.5}
        instance.outcome(now + 5.0, number, 0, Outcome.OK, 5.0, True, report)
    fresh = {of_type(instance.request(70.0, arrival(100 + i, 70.0)), Send)[0].server for i in range(2)}
    assert fresh == {"s1"}


def test_a_server_that_rejects_everything_is_backed_off_for_increasing_times():
    # Incident i8ae4b7: three servers got a third of all sends and rejected them at once.
    instance = balancer("unsafe", servers=4)
    full = Counter()
    for number in range(400):
        now = 50.0 * number
        for send in of_type(instance.request(now, arrival(number, now)), Send):
            full[send.server] += 1
            status = Outcome.FULL if send.server == "s0" else Outcome.OK
            instance.outcome(now + 2.0, number, 0, status, 2.0, last=status == Outcome.OK)
    assert full["s0"] < 20


def test_faults_of_servers_break_ties_among_candidates():
    instance = balancer("safe", servers=3)
    instance._servers["s0"].error_weight = instance._servers["s1"].error_weight = 0.3
    sends = []
    for number in range(10):
        (send,) = of_type(instance.request(10.0 * number, arrival(number, 10.0 * number)), Send)
        sends.append(send.server)
        instance.outcome(10.0 * number + 5.0, number, 0, Outcome.OK, 5.0, last=True)
    assert sends.count("s2") >= 8


def test_a_retry_may_go_to_a_cold_server_with_spare_capacity():
    # Incident iaad8f8: after a mass restart, retries overloaded the few warm servers.
    rules = {"ColdFrom": 0.2, "WarmUp": 60_000.0, "FallMultiple": 30.0, "OverloadFor": 1000.0}
    instance = balancer("safe", servers=0, now=0.0, Rules=rules)
    instance.server_list(0.0, "all", [Listing("warm"), *[Listing(f"c{i}", started=1.0) for i in range(5)]])
    retries = 0
    for number in range(100):
        now = 10_000.0 + 500.0 * number
        instance._servers["warm"].rejections = 0
        for first in of_type(instance.request(now, arrival(number, now)), Send):
            ok = first.server != "warm"
            status = Outcome.OK if ok else Outcome.FULL
            retries += len(of_type(instance.outcome(now + 2.0, number, 0, status, 2.0, last=ok), Send))
            instance.outcome(now + 20.0, number, 1, Outcome.OK, 18.0, last=True)
    assert retries > 0


def test_a_busy_sidecar_sheds_by_the_mean_of_answers_not_by_their_number():
    # On a small copy of a site, a busy sidecar refused a third of all requests although servers had only five
    # in flight.
    levels = []
    for step in (500.0, 50.0):
        instance = balancer("safe", servers=4, Report={"How": "inline", "Fields": ["inflight"]})
        now = 0.0
        while now < 20_000.0:
            number, spent = int(now), 40.0 if now < 10_000.0 else 90.0
            if of_type(instance.request(now, arrival(number, now)), Send):
                instance.outcome(now + spent, number, 0, Outcome.OK, spent, True, {"inflight": 4.0})
            now += step
        levels.append(instance._shedder.level(now))
    assert 0.0 < levels[1] < 2.0 * levels[0]
    assert levels[1] < 0.5


def three_zone_balancer(servers_per_zone=6, seed=1):
    """Build a balancer in zone 0 with three zones of equally many servers."""
    profile = {"Semantics": "side_effect", "Objective": 600.0, "Deadline": 1000.0, "LateWorth": 0.5}
    instance = balancer(servers=0, seed=seed, Profiles=[profile], FailureDomains=["a", "b", "c"])
    instance.server_list(
        0.0, "all", [Listing(f"z{i % 3}-{i // 3}", zone=i % 3) for i in range(3 * servers_per_zone)]
    )
    return instance


def play_partition(instance, silent_zones, count, now=0.0, interval_ms=120.0):
    """Send requests one after another while `silent_zones` do not answer.

    Returns:
        The time and the zone of each first attempt.
    """
    sent = []
    waiting = {}
    for _ in range(count):
        now += interval_ms
        for old, at in list(waiting.items()):
            if now - at >= 900.0:
                del waiting[old]
                instance.outcome(now, old, 0, Outcome.TIMEOUT, 900.0, last=True)
        first = int(now * 10.0)
        for send in of_type(instance.request(now, arrival(first, now, left=900.0)), Send):
            zone = int(send.server[1])
            sent.append((now, zone))
            if zone in silent_zones and instance._requests[first].attempts[-1].is_new_connection:
                actions = instance.outcome(now, first, 0, Outcome.CONNECT_FAILED, 250.0)
                assert [int(to.server[1]) in silent_zones for to in of_type(actions, Send)] == [False]
                instance.outcome(now, first, 1, Outcome.OK, 40.0, last=True)
            elif zone in silent_zones:
                waiting[first] = now
            else:
                instance.outcome(now, first, 0, Outcome.OK, 40.0, last=True)
    return sent


def test_a_zone_that_stops_responding_is_left_after_answers_of_two_servers_are_overdue():
    # On zone+mass, at 8 requests per second, timeouts of single servers showed too late, and the quarter of
    # the servers that may be ejected is less than a zone.
    instance = three_zone_balancer()
    play_partition(instance, set(), 60)
    sent = play_partition(instance, {1}, 60, now=7200.0)
    sends_to_silent = [at - 7200.0 for at, zone in sent if zone == 1]
    assert 2 <= len(sends_to_silent) <= 16, "sends before the detection, and one trial each half second"
    late = [at for at in sends_to_silent if at > 1500.0]
    assert len(late) >= 8
    assert all(second - first >= 500.0 for first, second in itertools.pairwise(late))


def test_open_connections_to_a_partitioned_zone_are_closed_and_no_load_is_shed_for_it():
    instance = three_zone_balancer()
    play_partition(instance, set(), 60)
    idle = {
        name for name, server in instance._servers.items() if server.zone == 1 and server.idle_connections
    }
    closed = set()
    original = instance._take_actions

    def record_closes():
        actions = original()
        closed.update(action.server for action in of_type(actions, CloseIdle))
        return actions

    instance._take_actions = record_closes
    play_partition(instance, {1}, 60, now=7200.0)
    assert idle
    assert idle <= closed
    assert not any(s.idle_connections for s in instance._servers.values() if s.zone == 1)
    assert instance._throttle.failure_share() < 0.1
    assert instance._shedder.level(14_400.0) < 0.1


def test_a_zone_that_answers_again_is_used_at_once():
    instance = three_zone_balancer()
    play_partition(instance, {1}, 60)
    sends_after = play_partition(instance, set(), 60, now=9000.0)
    assert sum(zone == 1 for _, zone in sends_after) >= 8


def play_overload(instance, slow_zones, count, now=0.0, interval_ms=60.0, slow_ms=550.0):
    """Send requests one after another; servers of `slow_zones` take `slow_ms`, others 40 ms.

    Returns:
        The zone of each send.
    """
    sent, running = [], []
    for _ in range(count):
        now += interval_ms
        for at, number in [entry for entry in running if entry[0] <= now]:
            instance.outcome(at, number, 0, Outcome.OK, slow_ms, last=True)
            running.remove((at, number))
        number = int(now * 10.0)
        for send in of_type(instance.request(now, arrival(number, now, left=900.0)), Send):
            zone = int(send.server[1])
            sent.append(zone)
            if zone in slow_zones:
                running.append((now + slow_ms, number))
            else:
                instance.outcome(now, number, 0, Outcome.OK, 40.0, last=True)
    return sent


def test_an_overloaded_zone_does_not_count_as_partitioned():
    # On herd+brink of another customer, answers took more than half of their latency target. Two of three
    # zones counted as partitioned for that, and the servers of the third got all requests.
    instance = three_zone_balancer()
    play_overload(instance, set(), 60)
    for _ in range(20):
        play_overload(instance, {0, 1}, 5, now=instance._zones._checked_at)
        assert not instance._zones._partitioned


def test_a_partitioned_zone_is_tried_again_although_the_others_are_overloaded():
    # Answers took so long that no request had the time for a trial, and the zone was never used again.
    instance = three_zone_balancer()
    play_partition(instance, set(), 60)
    play_partition(instance, {1}, 60, now=7200.0)
    assert instance._zones._partitioned == {1}
    instance._times.service.add(
        700.0, 1.0, 50.0
    )  # what an answer usually takes, of the 900 ms that a request has
    instance._times.service.spent_ms, instance._times.service.work = 700.0, 1.0
    instance._times.record_answer = lambda *_: None
    assert 1 in play_overload(instance, {0, 2}, 40, now=16_000.0)


def test_if_no_zone_responds_none_counts_as_partitioned():
    instance = three_zone_balancer()
    play_partition(instance, set(), 30)
    play_partition(instance, {0, 1, 2}, 4, now=3600.0)
    assert not any(instance._zones.is_partitioned(5000.0, server) for server in instance._subset.servers)


def test_a_keyed_retry_has_to_begin_while_servers_remember_its_key():
    """Guards against a retry that waits too long for a connection; the time counts from the first send."""
    instance = balancer("keyed")
    first = of_type(instance.request(0.0, arrival(1)), Send)[0]
    assert first.begin_within == math.inf
    repeat = of_type(instance.outcome(120.0, 1, 0, Outcome.RESET, 120.0), Send)[0]
    assert repeat.begin_within == 500.0 - 120.0
    free = balancer("safe")
    free.request(0.0, arrival(1))
    assert of_type(free.outcome(120.0, 1, 0, Outcome.RESET, 120.0), Send)[0].begin_within == math.inf

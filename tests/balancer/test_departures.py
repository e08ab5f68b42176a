"""Each departure from the plain mechanism, by the failure it guards against."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from fordtrestle.balancer import Balancer, Settings
from fordtrestle.balancer.model import Arrival, Listing, Outcome, Probe, Refuse, Send, Timer, Watch
from fordtrestle.balancer.shedding import UNANSWERED_SLOWDOWN, LoadShedder
from tests.balancer.helpers import arrival, balancer, listing, of_type, raw_settings

LOOKING = {
    "PolicyLimits": {"MaxAttempts": 4, "MayProbe": True},
    "Report": {"How": "on_probe", "Fields": ["inflight"]},
    "WeightKind": "nominal",
}


def serve(made, count, answer, now=0.0, step=50.0):
    """Send `count` requests; `answer(server)` gives each one's status and time."""
    picks = Counter()
    for number in range(count):
        now += step
        actions = made.request(now, Arrival(number, 0, now + 1000.0, work=10.0))
        while sends := of_type(actions, Send):
            (send,) = sends
            picks[send.server] += 1
            status, spent = answer(send.server)
            hop = made._requests[number].attempts.__len__() - 1
            last = status == Outcome.OK
            actions = made.outcome(now, number, hop, status, spent, last)
    return picks


def test_a_quickly_erring_server_does_not_win_picks():
    made = balancer("safe", servers=8)
    picks = serve(made, 200, lambda s: (Outcome.ERROR, 1.0) if s == "s0" else (Outcome.OK, 20.0))
    assert picks["s0"] < 0.25 * 200 / 8
    assert made._throttle.drop_chance(10_000.0) == 0.0


def test_when_all_look_bad_none_is_ejected_beyond_the_share():
    made = balancer("unsafe", servers=8)
    serve(made, 40, lambda s: (Outcome.ERROR, 1.0))
    resting = [s for s in made._servers.values() if s.unavailable_until > 2000.0]
    assert len(resting) <= 4


def test_an_ejected_server_returns_by_a_single_trial():
    made = balancer("safe", servers=1)
    serve(made, 1, lambda s: (Outcome.ERROR, 1.0), now=0.0)
    made.server_list(0.0, "changes", [])
    server = made._servers["s0"]
    after = server.unavailable_until + 1.0
    assert of_type(made.request(after, arrival(50, after)), Send)
    assert not of_type(made.request(after, arrival(51, after)), Send)


def test_a_slow_kind_gets_fewer_sends():
    made = balancer("safe", servers=0)
    entries = [Listing(f"s{i}", kind=i % 2) for i in range(8)]
    made.server_list(0.0, "all", entries)
    slow = {e.server for e in entries if e.kind == 1}
    picks = serve(made, 400, lambda s: (Outcome.OK, 60.0 if s in slow else 20.0))
    assert sum(picks[s] for s in slow) < 0.4 * 400


def test_a_cold_server_gets_its_sure_share():
    made = balancer("safe", servers=10, Rules={"ColdFrom": 0.2, "WarmUp": 1000.0})
    made.server_list(1000.0, "changes", [Listing("s0", started=1000.0)])
    picks = Counter()
    for number in range(2000):
        now = 1001.0 + 0.1 * number  # 200 ms, so its share stays near the cold one
        (send,) = of_type(made.request(now, arrival(number, now)), Send)
        picks[send.server] += 1
        made.outcome(now, number, 0, Outcome.OK, 0.1, last=True)
    assert 0 < picks["s0"] < 0.4 * 2000 / 10
    assert made._slow_start.warmth(3000.0, made._servers["s0"]) == 1.0


def test_no_probe_is_sent_before_a_request():
    # Found on copies of two sites with probe reports: looking scored under random choice.
    made = balancer("safe", **LOOKING)
    actions = made.request(0.0, arrival(1))
    assert of_type(actions, Send)
    assert not of_type(actions, Probe)


def test_discovery_is_asked_with_jitter_and_again_after_a_refusal():
    raw = raw_settings("safe", Discovery="subscribe", Rules={"AskWithin": 10_000.0})
    delays = set()
    for seed in range(20):
        made = Balancer(0.0, Settings.parse(raw), seed)
        (timer,) = of_type(made.server_list(0.0, "remembered", listing(3)), Timer)
        delays.add(timer.delay)
        assert made.timer(timer.delay, timer.token) == [Watch(True)]
        (again,) = of_type(made.server_list(3000.0, "refused", []), Timer)
        assert 0.0 < again.delay < 10_000.0
        assert made.timer(3000.0 + again.delay, again.token) == [Watch(True)]
    assert len(delays) == 20
    assert max(delays) < 10_000.0


def test_discovery_is_asked_again_soon_however_often_it_failed():
    # What it has to tell counts as told 6 s after it can be reached again; calls must not come at once.
    delays = []
    for seed in range(20):
        made = Balancer(0.0, Settings.parse(raw_settings("safe", Discovery="subscribe")), seed)
        (timer,) = of_type(made.server_list(0.0, "remembered", listing(3)), Timer)
        now = timer.delay
        assert now <= 2500.0
        for _ in range(20):
            assert made.timer(now, timer.token) == [Watch(True)]
            (timer,) = of_type(made.server_list(now, "refused", []), Timer)
            delays.append(timer.delay)
            now += timer.delay
    assert 500.0 <= min(delays) < 700.0
    assert 1300.0 < max(delays) <= 1500.0
    assert len(set(delays)) == len(delays)


def test_a_sidecar_keeps_to_a_small_subset_and_sidecars_cover_the_fleet():
    met = Counter()
    for me in range(30):
        made = Balancer(0.0, Settings.parse(raw_settings("safe", Me=me, Balancers=30)), me)
        made.server_list(0.0, "remembered", listing(40))
        picks = serve(made, 60, lambda s: (Outcome.OK, 20.0), step=500.0)
        assert len(picks) <= 12
        met.update(picks)
    assert len(met) >= 38
    assert max(met.values()) < 3 * sum(met.values()) / 40


def test_a_failure_widens_beyond_the_subset():
    made = balancer("safe", servers=40)
    small = set(serve(made, 60, lambda s: (Outcome.OK, 20.0), step=500.0))
    wide = serve(
        made,
        30,
        lambda s: (Outcome.FULL, 1.0) if s in small else (Outcome.OK, 20.0),
        now=100_000.0,
        step=500.0,
    )
    assert set(wide) - small


def test_a_sidecar_does_not_crowd_the_servers_of_its_own_zone():
    # Found on kuantan-east: a preference for the near zone queued its traffic there.
    made = balancer("safe", servers=0)
    entries = [Listing(f"s{i}", zone=0 if i < 2 else 1) for i in range(8)]
    made.server_list(0.0, "all", entries)
    picks = serve(made, 400, lambda s: (Outcome.OK, 20.0))
    assert picks["s0"] + picks["s1"] < 0.4 * 400


def warm(servers=30, me=0, seed=1, **changes):
    made = balancer("safe", servers=0, seed=seed, Domain={"WarmKeys": True}, Me=me, Balancers=40, **changes)
    made.server_list(0.0, "all", listing(servers))
    return made


def sends_for(made, key, count=20, now=0.0, first=0):
    """Where a key's requests go when each is served at once."""
    picks = Counter()
    for number in range(first, first + count):
        now += 500.0
        (send,) = of_type(made.request(now, Arrival(number, 0, now + 1000.0, key=key)), Send)
        picks[send.server] += 1
        made.outcome(now + 20.0, number, 0, Outcome.OK, 20.0, last=True)
    return picks


def test_all_sidecars_send_a_key_to_the_same_few_servers():
    met = Counter()
    for me in range(20):
        met.update(sends_for(warm(me=me, seed=me), key=77, count=2))
    assert len(met) <= 3


def test_a_popular_key_is_spread_by_its_share_and_rare_keys_cover_the_fleet():
    made = warm()
    assert len(sends_for(made, key=5, count=300)) > 10
    made, met = warm(), Counter()
    for key in range(600):
        met.update(sends_for(made, key=key * 7919, count=1, now=600.0 * key, first=key))
    assert len(met) == 30
    assert max(met.values()) < 3 * 600 / 30


def homes(key, gone=()):
    """The servers that a dozen sidecars send a key to, some servers being gone."""
    met = set()
    for seed in range(12):
        made = warm(seed=seed)
        made.server_list(0.0, "changes", [Listing(name, state="left") for name in gone])
        met |= set(sends_for(made, key=key, count=1))
    return met


def test_keys_of_a_lost_server_move_and_the_others_stay():
    before = {key: homes(key) for key in range(12)}
    lost = min(before[0])
    for key, servers in before.items():
        after = homes(key, [lost])
        assert lost not in after
        assert after == servers if lost not in servers else after & servers == servers - {lost}


def test_a_server_with_a_stalled_attempt_is_picked_last():
    made = balancer("safe", servers=2)
    (stuck,) = of_type(made.request(0.0, arrival(1)), Send)
    for number in range(2, 5):
        (send,) = of_type(made.request(150.0 + number, arrival(number, 150.0)), Send)
        assert send.server != stuck.server


REPORTS = {"Report": {"How": "inline", "Fields": ["inflight"]}}


def test_reports_settle_a_tie_and_age_towards_the_mean():
    # Found on penang-north: reports were ignored and picks went to crowded servers.
    made = balancer("safe", servers=2, **REPORTS)
    held = {"s0": 9.0, "s1": 0.0}
    for number in range(6):
        (send,) = of_type(made.request(10.0 * number, arrival(number)), Send)
        report = {"inflight": held[send.server]}
        made.outcome(10.0 * number + 5.0, number, 0, Outcome.OK, 5.0, True, report)
    fresh = {of_type(made.request(70.0, arrival(100 + i, 70.0)), Send)[0].server for i in range(2)}
    assert fresh == {"s1"}
    aged = made._server_load.estimate(10_000.0, made._servers["s0"])
    assert aged < made._server_load.estimate(70.0, made._servers["s0"])


def test_a_report_that_is_not_a_number_is_not_believed():
    made = balancer("safe", servers=2, **REPORTS)
    made.request(0.0, arrival(1))
    made.outcome(5.0, 1, 0, Outcome.OK, 5.0, True, {"inflight": float("nan")})
    assert of_type(made.request(6.0, arrival(2, 6.0)), Send)
    assert made._shedder.level(6.0) == 0.0


def test_time_outs_without_a_crowd_shed_little_where_servers_report():
    # Found on penang-north: 14% time-outs at slow servers refused half of all requests.
    calm, many_cores, crowded = (balancer("safe", servers=8, **REPORTS) for _ in range(3))
    for number in range(60):
        now = 100.0 * number
        slow = 190.0 if number > 20 else 50.0
        for made, held, spent in ((calm, 0.0, 50.0), (many_cores, 9.0, 50.0), (crowded, 9.0, slow)):
            if not of_type(made.request(now, arrival(number, now)), Send):
                continue
            late = number % 6 == 0
            status = Outcome.TIMEOUT if late else Outcome.OK
            report = None if late else {"inflight": held}
            made.outcome(now + spent, number, 0, status, spent, True, report)
    assert calm._shedder.level(6000.0) < 0.2
    # Found on a customer with four cores a server: its calm day refused 15%.
    assert many_cores._shedder.level(6000.0) < 0.2, "what is held while answers are quick is no crowd"
    assert crowded._shedder.level(6000.0) > 0.5


def shed_chances(worths, share, worst_class):
    """The chance of refusing each class when `share` of equal work is to go."""
    raw = raw_settings(*["safe"] * len(worths), Goal={"Whole": 1 - worst_class, "WorstClass": worst_class})
    shedder = LoadShedder(Settings.parse(raw))
    for _ in range(100):
        for traffic_class, worth in enumerate(worths):
            shedder.on_arrival(traffic_class, worth, 1.0, 0, 1.0)
    return [shedder.refusal_chance(0.0, share, traffic_class, False) for traffic_class in range(len(worths))]


def test_the_least_worth_goes_first_where_only_the_whole_counts():
    assert shed_chances([1.0, 5.0], 0.3, 0.0) == pytest.approx([0.6, 0.0], abs=0.02)


def test_the_worst_class_is_not_starved_where_the_goal_counts_it():
    # Found on penang-north: the cheapest class was refused whole, and counts by itself.
    low, middle, high = shed_chances([2.0, 3.0, 8.0], 0.3, 0.2)
    assert low == pytest.approx(middle)
    assert 0.4 < low < 0.5
    assert high == 0.0


def test_classes_that_are_worth_nothing_are_refused_evenly():
    """Guards against a division by nothing, which failed each request under pressure."""
    assert shed_chances([0.0, 0.0], 0.3, 0.2) == pytest.approx([0.3, 0.3], abs=0.02)


def test_what_is_past_a_tenants_share_goes_first():
    raw = raw_settings("safe", Tenants=[{"AllowancePerS": 5.0}] * 2, OverShareWorth=0.1)
    shedder = LoadShedder(Settings.parse(raw))
    over = [shedder.on_arrival(0, 1.0, 1.0, int(i % 5 == 0), i % 7 / 7.0) for i in range(200)]
    assert any(over)
    assert shedder.refusal_chance(0.0, 0.2, 0, True) > 0.5 > 0.05 > shedder.refusal_chance(0.0, 0.2, 0, False)


def test_under_strain_work_that_cannot_end_in_time_is_not_begun():
    # Found on penang-north overload: heavy requests held servers and came too late.
    made = balancer("safe", servers=4)
    serve(made, 20, lambda s: (Outcome.OK, 100.0))
    heavy = Arrival(500, 0, 3000.0, work=100.0)
    assert of_type(made.request(2000.0, heavy), Send)
    for _ in range(20):
        made._shedder.record_outcome(2001.0, UNANSWERED_SLOWDOWN)
    assert of_type(made.request(2002.0, heavy._replace(request=501)), Refuse)


def test_an_attempt_out_at_its_aim_strains_the_service_then():
    # Found on klang-porting overload: a stall showed only when clients gave up.
    late_pays = {"Semantics": "pure", "Objective": 200.0, "Deadline": 1000.0, "LateWorth": 0.5}
    made = balancer(servers=4, Profiles=[late_pays])
    dues = [due for number in range(6) for due in of_type(made.request(0.0, arrival(number)), Timer)]
    assert [due.delay for due in dues] == [200.0] * 6
    assert not any(made.timer(200.0, due.token) for due in dues)
    assert made._shedder.level(200.0) > 0.1
    assert not made.timer(200.0, "due:999:0")


@pytest.mark.parametrize(
    ("limits", "wait"),
    [
        ({"RetryAfter": True, "MaxRetryAfter": 2000.0}, 20.0),
        ({"RetryAfter": True, "MaxRetryAfter": 5.0}, 5.0),
        ({"RetryAfter": False, "MaxRetryAfter": 2000.0}, 0.0),
    ],
)
def test_a_refusal_is_given_at_once_and_tells_when_to_come_back(limits, wait):
    made = balancer("safe", servers=0, PolicyLimits={"MaxAttempts": 3, **limits})
    assert made.request(0.0, arrival(1)) == [Refuse(1, wait)]


@pytest.mark.parametrize("step", [4.0, 100.0])
def test_a_few_late_answers_shed_nothing_however_many_requests_there_are(step):
    # Found on the days of service: 2% past their aim, at 250 requests a second, refused a tenth.
    made = balancer("safe", servers=4)
    refused = now = 0.0
    for number in range(1500):
        now += step
        actions = made.request(now, arrival(number, now))
        refused += len(of_type(actions, Refuse))
        due = [timer.token for timer in of_type(actions, Timer)]
        late = number % 50 == 0
        for token in due if late else ():
            made.timer(now + 200.0, token)
        made.outcome(now + 3.0, number, 0, Outcome.OK, 250.0 if late else 20.0, True)
    assert refused < 15


@pytest.mark.parametrize(("step", "ejected"), [(4.0, False), (500.0, True)])
def test_one_fault_ejects_only_where_it_is_much_of_what_is_known(step, ejected):
    # Found on the days of service: one fault in forty a second took servers out for two seconds.
    made = balancer("unsafe", servers=4)
    serve(made, 400, lambda server: (Outcome.OK, 20.0), step=step)
    now = 401.0 * step
    (send,) = of_type(made.request(now, arrival(1000, now)), Send)
    made.outcome(now + 1.0, 1000, 0, Outcome.ERROR, 1.0)
    assert (made._servers[send.server].unavailable_until > now) is ejected


def test_a_busy_sidecar_still_ejects_a_server_that_fails_all():
    made = balancer("unsafe", servers=4)
    serve(made, 400, lambda server: (Outcome.OK, 20.0), step=4.0)
    picks = serve(made, 200, lambda s: (Outcome.ERROR if s == "s1" else Outcome.OK, 1.0), 1600.0, 4.0)
    assert picks["s1"] < 20


def test_a_rate_that_has_faded_to_nothing_divides_by_nothing():
    made = balancer("safe")
    serve(made, 5, lambda server: (Outcome.OK, 20.0))
    made._shedder.record_outcome(1e9, UNANSWERED_SLOWDOWN)
    assert made._shedder.level(1e9) > 0.0
    assert made._ejection._error_gain(1e9) > 0.0


def test_many_faulty_servers_are_not_all_ejected_since_the_rest_would_be_pushed_over():
    # Found on churn, seed 5: half the servers reset a fifth, and ejecting them doubled the rest's load.
    made = balancer("unsafe", servers=6)
    faulty = {"s0", "s1", "s2"}
    lucky = iter(range(10**6))
    serve(
        made,
        600,
        lambda s: (Outcome.ERROR if s in faulty and next(lucky) % 2 else Outcome.OK, 20.0),
        step=4.0,
    )
    assert sum(server.unavailable_until > 2400.0 for server in made._servers.values()) <= 2


def test_a_server_that_holds_a_crowd_passes_its_keys_down_the_order():
    # Found on churn, seed 11: one new server, thought fast, took half of all keys.
    made = warm(servers=6)
    for name in ("s0", "s1"):
        made._servers[name].in_flight = 20
    made._own_load.in_flight = 40
    for key in range(40):
        (send,) = of_type(made.request(0.0, Arrival(key, 0, 1000.0, key=key)), Send)
        assert send.server not in ("s0", "s1")
        made.outcome(0.0, key, 0, Outcome.OK, 5.0, True)


def test_a_server_that_takes_only_a_few_at_once_is_kept_busy_with_so_many():
    # Found on churn, seed 3: three servers turned away what was over four at once, were rested for
    # that, and the others were pushed over.
    made = balancer("unsafe", servers=2)
    now, turned = 0.0, 0
    held: dict[str, list[int]] = {"s0": [], "s1": []}
    for number in range(800):
        now += 1.0
        (send,) = of_type(made.request(now, arrival(number, now)), Send)
        line = held[send.server]
        if send.server == "s0" and len(line) >= 4:
            turned += 1
            (again,) = of_type(made.outcome(now, number, 0, Outcome.FULL, 0.5), Send)
            assert again.server == "s1"
            line = held["s1"]
        line.append(number)
        if len(line) > 5 or now % 3 == 0:
            first = line.pop(0)
            made.outcome(now, first, len(made._requests[first].attempts) - 1, Outcome.OK, 6.0, True)
    assert turned < 10
    assert made._servers["s0"].unavailable_until == 0.0


def fleet_of_sidecars(count, servers, keys, rates, **changes):
    """Sends by server and the share that needed a new connection, of many sidecars over 20 s.

    A connection that has been unused for 4.5 s is closed, as the pool does.
    """
    picks, fresh = Counter(), 0
    for me in range(count):
        rng = random.Random(me)
        made = warm(servers=servers, me=me, seed=me, **changes)
        used, now, number = {}, 0.0, 0
        while True:
            now += rng.expovariate(rates[me % len(rates)] / 1000.0)
            if now > 20_000.0:
                break
            number += 1
            key = rng.choices(range(keys), weights=[1.0 / (key + 1) for key in range(keys)])[0]
            (send,) = of_type(made.request(now, Arrival(number, 0, now + 1000.0, key=key)), Send)
            picks[send.server] += 1
            fresh += now - used.get(send.server, -1e9) > 4500.0
            used[send.server] = now
            made.outcome(now + 20.0, number, 0, Outcome.OK, 20.0, last=True)
    return picks, fresh / sum(picks.values())


PRICED = {"Prices": {"Handshake": 0.03}, "PolicyLimits": {"MaxAttempts": 4, "IdleClose": 5000.0}}


def test_many_sidecars_that_ask_little_use_their_connections_again_and_load_servers_alike():
    # Found on calm+mass: 26,000 connections for 44,000 requests, since each key led to other servers.
    rates = (4.0, 8.0, 24.0)
    _, before = fleet_of_sidecars(60, 100, 600, rates)
    picks, share = fleet_of_sidecars(60, 100, 600, rates, **PRICED)
    assert share < 0.6 * before
    mean = sum(picks.values()) / 100
    assert len(picks) == 100
    assert max(picks.values()) < 2.5 * mean


def test_a_sidecar_whose_servers_are_all_in_trouble_reaches_for_others():
    made = warm(servers=60, **PRICED)
    usual = set(sends_for(made, key=1, count=10))
    arc = made._subset.servers[:16]
    assert usual <= {server.name for server in arc}
    for server in arc:
        server.unavailable_until = 1e9
    others = set(sends_for(made, key=1, count=20, first=20, now=12_000.0))
    assert not others & {server.name for server in arc}
    assert len(others) <= 5, "a key stays warm where it moves to"

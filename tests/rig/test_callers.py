"""Tests of the application clients: reproducible calls, and retries only where they are allowed."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import Counter

import pytest

from rig.callers import GRACE_S, CallClass, Caller, Callers, Demand, Direct, Outcome, Score, may_retry
from rig.clients import Result
from rig.model import Make, Repeats
from rig.portservers import PortServer, ServerRecords
from tests.rig.waiting import address_of, bounded, until

SAFE = CallClass("look", "safe", 0.2, 1.0, 0.0, 500.0, 2000.0, 1.0)
KEYED = CallClass("book", "keyed", 0.5, 1.0, 0.0, 500.0, 2000.0, 10.0)
UNSAFE = CallClass("pay", "unsafe", 0.3, 1.0, 0.0, 500.0, 2000.0, 2.0)
CLOCK_RESOLUTION_S = 0.002  # of a timer of the event loop
TENANTS = {"a": 3.0, "b": 1.0}


def demand(rate=200.0, duration=0.5, classes=(SAFE, KEYED, UNSAFE), **changes):
    fields = {"weights": (0.7, 0.3), "backoff_ms": (5.0, 10.0), "seed": 1, **changes}
    return Demand(rate, duration, classes, TENANTS, **fields)


@contextlib.contextmanager
def servers(count=1, **changes):
    records, made = ServerRecords.new(), []
    for number in range(count):
        made.append(PortServer(f"s{number}", Make(handshake_ms=0.0, **changes), Repeats(1200.0), records))
        made[-1].start(cold=False)
    try:
        yield made
    finally:
        for server in made:
            server.close()


async def play(demanded, **callers):
    made = Callers(demanded, callers)
    try:
        return await made.run()
    finally:
        for caller in callers.values():
            caller.close()


def test_planned_calls_are_reproducible_by_seed():
    names = ["n0", "n1"]
    assert demand().planned_calls(names) == demand().planned_calls(names)
    assert demand().planned_calls(names) != demand(seed=2).planned_calls(names)
    calls = [call for planned in demand().planned_calls(names) for call in planned.ids]
    assert len(set(calls)) == len(calls)


def test_planned_calls_match_the_demand():
    planned_calls = demand(duration=40.0, swing=0.3).planned_calls(["n0", "n1"])
    count = len(planned_calls)
    assert abs(count / 8000.0 - 1.0) < 0.05
    for share, part in [
        (0.5, sum(planned.kind is KEYED for planned in planned_calls)),
        (0.7, sum(planned.sidecar == "n0" for planned in planned_calls)),
        (0.75, sum(planned.tenant == "a" for planned in planned_calls)),
    ]:
        assert abs(part / count - share) < 0.03
    halves = sum(planned.at_s < 20.0 for planned in planned_calls) / count
    assert 0.55 < halves < 0.65  # the crest of the wave is in the first half
    (_, most), *_ = Counter(planned.key for planned in planned_calls).most_common()
    assert 0.08 < most / count < 0.16  # share of the first key: 1 over the sum of 1/n for 3,000 keys
    assert abs(sum(planned.work_ms for planned in planned_calls) / count - 1.0) < 0.05
    assert all(bool(planned.token) is (planned.kind is KEYED) for planned in planned_calls)
    assert all(0.8 <= planned.try_s <= 1.6 for planned in planned_calls)


@pytest.mark.parametrize("wrong", [{"rate": 0.0}, {"duration": float("inf")}, {"keys": 0}, {"rate": 1e9}])
def test_invalid_demands_are_rejected(wrong):
    with pytest.raises(ValueError):
        demand(**wrong)


def test_unsafe_calls_are_retried_only_if_they_never_ran():
    for result in Result:
        sure = result in (Result.REFUSED, Result.UNSENT)
        assert may_retry("safe", result.value)
        assert may_retry("keyed", result.value) is may_retry("unsafe", result.value) is sure


@bounded
async def test_every_call_is_served_and_runs_once():
    with servers() as (server,):
        seen = await play(
            demand(), n0=Caller("n0", address_of(server.address)), n1=Caller("n1", address_of(server.address))
        )
        assert all(one.served and one.tries == 1 for one in seen.outcomes)
        rows = {row.call: row for row in server.records.executions}
        assert len(rows) == len(server.records.executions) == len(seen.outcomes) == len(seen.asked)
        for row in seen.asked:
            ran = rows[row.call]
            assert (ran.semantics, ran.token) == (row.semantics, row.token)
            assert row.sent_s <= ran.last_s <= row.ended_s


@bounded
async def test_a_rejected_call_is_retried_with_a_new_id_and_a_retry_header():
    with servers() as (server,):
        server.drain()
        seen = await play(demand(20.0), n0=Caller("n0", address_of(server.address)))
        assert {one.tries for one in seen.outcomes} == {3}
        assert {one.last for one in seen.outcomes} == {"refused"}
        assert len({row.call for row in seen.asked}) == 3 * len({row.origin for row in seen.asked})
        planned = seen.outcomes[0].call
        assert b"X-Again: 1\r\n" in planned.message(1, 1.0)
        assert b"X-Again" not in planned.message(0, 1.0)


@bounded
async def test_clients_do_not_retry_calls_that_may_have_run():
    with servers() as (server,):
        server.fault("fail", 1.0)
        seen = await play(demand(60.0), n0=Caller("n0", address_of(server.address)))
        tries = {one.call.kind.name: one.tries for one in seen.outcomes}
        assert tries == {"look": 3, "book": 1, "pay": 1}


@bounded
async def test_calls_to_an_unreachable_sidecar_are_unsent():
    with servers() as (server,):
        server.die()
        seen = await play(demand(20.0), n0=Caller("n0", address_of(server.address)))
        assert {one.last for one in seen.outcomes} == {"unsent"}
        assert seen.asked == []


class TimedCaller(Caller):
    """A caller that records how long each try waited beyond its budget, in s, since it was asked for."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.waits_beyond_budget = []

    async def ask(self, call, number, budget_s):
        asked_at = asyncio.get_running_loop().time()
        row, retry_after = await super().ask(call, number, budget_s)
        self.waits_beyond_budget.append(row.ended_s - asked_at - budget_s)
        return row, retry_after


@bounded
async def test_a_call_without_an_answer_is_unanswered_after_its_budget():
    with servers() as (server,):
        server.fault("lose", 1.0)
        quick = CallClass("pay", "unsafe", 1.0, 1.0, 0.0, 50.0, 100.0, 1.0)
        caller = TimedCaller("n0", address_of(server.address))
        seen = await play(demand(20.0, classes=(quick,)), n0=caller)
        assert {one.last for one in seen.outcomes} == {"unanswered"}
        assert len(caller.waits_beyond_budget) == len(seen.asked)
        assert min(caller.waits_beyond_budget) >= GRACE_S - CLOCK_RESOLUTION_S


@bounded
async def test_a_client_waits_for_the_retry_after_of_a_rejection():
    async def refuse(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 503 no\r\nRetry-After: 0.2\r\nContent-Length: 0\r\n\r\n")

    listener = await asyncio.start_server(refuse, "127.0.0.1", 0)
    address = listener.sockets[0].getsockname()
    quick = demand(4.0, classes=(UNSAFE,), retries=1, seed=3)
    seen = await play(quick, n0=Caller("n0", address))
    by_origin = {}
    for row in seen.asked:
        by_origin.setdefault(row.origin, []).append(row.sent_s)
    assert by_origin
    assert all(times[1] - times[0] >= 0.2 for times in by_origin.values() if len(times) > 1)
    listener.close()


@bounded
async def test_a_close_without_an_answer_leads_to_one_recorded_resend():
    served = []

    async def close_first(reader, writer):
        served.append(await reader.readuntil(b"\r\n\r\n"))
        writer.close()

    listener = await asyncio.start_server(close_first, "127.0.0.1", 0)
    address = listener.sockets[0].getsockname()
    seen = await play(demand(10.0, classes=(UNSAFE,)), n0=Caller("n0", address))
    assert len(served) == 2 * len(seen.asked) > 0
    for row in seen.asked:
        assert (row.result, row.resends) == ("cut", 1)
        assert row.first_sent_s <= row.resent_s <= row.sent_s
    listener.close()


def test_scores():
    def outcome(kind, latency, work=1.0):
        planned = demand().planned_calls(["n0"])[0]
        fields = {name: getattr(planned, name) for name in planned.__slots__} | {
            "kind": kind,
            "work_ms": work,
        }
        return Outcome(type(planned)(**fields), served=latency is not None, latency_ms=latency or 0.0)

    score = Score([outcome(KEYED, 400.0), outcome(KEYED, 600.0), outcome(UNSAFE, None, work=5.0)])
    assert score.in_aim() == pytest.approx(10.0 / 30.0)
    assert score.service() == pytest.approx(15.0 / 30.0)
    assert score.service(lambda one: one.call.kind is UNSAFE) == 0.0
    assert score.latency_ms("book", 0.5) == 400.0
    assert Score([outcome(KEYED, 2500.0)]).service() == 0.0


# --- the small balancers -------------------------------------------------------------------


def direct(mode, made):
    known = [(server.name, address_of(server.address)) for server in made]
    return Direct(mode, lambda: known, random.Random(1))


@pytest.mark.parametrize("mode", ["random", "robin"])
@bounded
async def test_small_balancers_spread_load_and_retry_what_never_ran_at_another_server(mode):
    with servers(3) as made:
        made[0].drain()
        made[1].die()
        caller = Caller("n0", None, direct(mode, made))
        seen = await play(demand(100.0, backoff_ms=(50.0, 60.0)), n0=caller)
        assert sum(one.served for one in seen.outcomes) > 0.8 * len(seen.outcomes)
        ran = Counter(row.server for row in made[0].records.executions if row.began_s is not None)
        assert set(ran) == {"s2"}
        assert any(row.fate == "turned away: draining" for row in made[0].records.executions)


@bounded
async def test_a_small_balancer_does_not_retry_what_may_have_run():
    with servers(2) as made:
        for server in made:
            server.fault("fail", 1.0)
        caller = Caller("n0", None, direct("robin", made))
        seen = await play(demand(40.0, classes=(UNSAFE,)), n0=caller)
        assert {one.last for one in seen.outcomes} == {"failed"}
        assert len(made[0].records.executions) == len(seen.outcomes)


def test_round_robin_takes_servers_in_turn_and_excludes_one():
    known = [(f"s{number}", ("127.0.0.1", number)) for number in range(3)]
    made = Direct("robin", lambda: known, random.Random(1))
    assert [made.pick()[0] for _ in range(4)] == ["s1", "s2", "s0", "s1"]
    assert all(made.pick("s2")[0] != "s2" for _ in range(9))
    assert Direct("random", lambda: [], random.Random(1)).pick() is None


@bounded
async def test_a_crashed_small_balancer_cuts_calls_in_flight_and_accepts_none():
    slow = CallClass("pay", "unsafe", 1.0, 1.0, 400.0, 2000.0, 4000.0, 1.0)
    with servers(slots=100) as made:
        caller = Caller("n0", None, direct("robin", made))
        playing = asyncio.create_task(play(demand(40.0, classes=(slow,)), n0=caller))
        await until(lambda: made[0].machine.in_flight > 3)
        caller.crash()
        seen = await playing
        ends = Counter(one.last for one in seen.outcomes)
        assert ends["cut"] > 3
        assert ends["unsent"] > 0
        assert ends["served"] == 0

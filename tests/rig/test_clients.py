"""Tests of the open-loop clients: latency from the intended time, one resend, and checked bodies."""

from __future__ import annotations

import asyncio

import pytest

from rig.clients import Burst, Clients, Plan, Result, Tally, quantile
from rig.messages import Act
from rig.servers import Ledger, Server
from tests.rig.waiting import address_of, bounded

HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"


async def run(server, meanwhile=None, **plan):
    clients = Clients(address_of(server.address), Plan(**{"rate_per_s": 200.0, "duration_s": 0.5, **plan}))
    running = asyncio.create_task(clients.run())
    if meanwhile is not None:
        await meanwhile(clients)
    return await running


async def serving(**changes):
    return await Server(Ledger(), **{"work_ms": (0.0, 1.0), **changes}).start()


class BreakingServer:
    """Server that answers the n-th request with the n-th of these answers; None closes the connection."""

    def __init__(self, *answers):
        self.answers = answers
        self.received = 0

    async def start(self):
        self._server = await asyncio.start_server(self._take, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def _take(self, reader, writer):
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                answer = self.answers[min(self.received, len(self.answers) - 1)]
                self.received += 1
                if answer is None:
                    break
                writer.write(answer)
        except (OSError, EOFError):
            pass
        writer.transport.abort()

    def stop(self):
        self._server.close()


def test_arrivals_are_reproducible_by_seed_and_contain_the_bursts():
    plan = Plan(100.0, 10.0, seed=7, bursts=(Burst(3.0, 40),))
    times = plan.arrivals()
    assert times == Plan(100.0, 10.0, seed=7, bursts=(Burst(3.0, 40),)).arrivals() == sorted(times)
    assert times.count(3.0) == 40
    assert 800 < len(times) < 1300
    assert times != Plan(100.0, 10.0, seed=8).arrivals()


def test_invalid_plans_are_rejected():
    for wrong in (
        {"rate_per_s": -1.0},
        {"pools": 0},
        {"pools": 9, "connections": 8},
        {"duration_s": 0.0},
        {"turns": (0, 2)},
    ):
        with pytest.raises(ValueError):
            Plan(**{"rate_per_s": 1.0, "duration_s": 1.0, **wrong})


def test_quantiles():
    assert [quantile(range(1, 101), share) for share in (0.5, 0.99, 1.0)] == [50, 99, 100]
    assert quantile([7.0], 0.5) == 7.0
    assert Tally().in_time == 1.0


@bounded
async def test_every_request_is_served_and_connections_are_reused():
    server = await serving()
    tally = await run(server)
    assert tally.in_time == 1.0
    assert tally.asked > 50
    assert server.ledger.connections == tally.connections < tally.asked / 2
    assert not server.ledger.summary()["repeats"]
    server.stop()


@bounded
async def test_a_stall_shows_in_the_latency_of_every_request_due_during_it():
    """Guard against a closed loop, which sends nothing during a stall and so measures one slow request."""
    server = await serving()
    server.script.acts = (*[Act()] * 20, Act(delay_ms=300.0), Act())
    tally = await run(server, connections=1)
    assert tally.in_time == 1.0
    slow = [record.latency_ms for record in tally.records if record.latency_ms > 100.0]
    assert len(slow) > 20  # at 200 a second: about forty were due within two thirds of the stall
    assert max(slow) >= 295.0
    server.stop()


@bounded
async def test_a_connection_closed_without_an_answer_leads_to_one_resend():
    server = await BreakingServer(None, HEAD + b"ok").start()
    tally = await run(server, rate_per_s=0.0, duration_s=0.1, bursts=(Burst(0.0, 1),))
    assert (server.received, tally.resent_new, tally.resent_kept) == (2, 1, 0)
    assert tally.count(Result.MIXED_UP) == 1  # a complete 200 whose body is not that of this call
    server.stop()
    server = await BreakingServer(None).start()
    tally = await run(server, rate_per_s=0.0, duration_s=0.1, bursts=(Burst(0.0, 1),))
    assert (server.received, tally.count(Result.CUT)) == (2, 1)
    server.stop()


@bounded
async def test_half_an_answer_is_cut_without_a_resend():
    server = await serving()
    server.script.acts = (Act(way="half", size_bytes=900),)
    tally = await run(server, rate_per_s=0.0, duration_s=0.1, bursts=(Burst(0.0, 3),))
    assert (tally.count(Result.CUT), tally.resent_new, server.ledger.received) == (3, 0, 3)
    server.stop()


@bounded
async def test_refused_failed_late_and_unanswered_requests_are_distinguished():
    server = await serving()
    acts = (Act(status=503), Act(status=429), Act(status=502), Act(delay_ms=450.0), Act(way="silent"), Act())
    server.script.acts = acts
    tally = await run(server, rate_per_s=0.0, duration_s=0.1, budget_ms=300, bursts=(Burst(0.0, 6),))
    counts = {result: tally.count(result) for result in Result if tally.count(result)}
    assert counts == {
        Result.REFUSED: 2,
        Result.FAILED: 1,
        Result.LATE: 1,
        Result.UNANSWERED: 1,
        Result.SERVED: 1,
    }
    assert tally.in_time == 1 / 6
    server.stop()
    tally = await run(server, rate_per_s=0.0, duration_s=0.1, bursts=(Burst(0.0, 1),))
    assert tally.count(Result.UNSENT) == 1


@bounded
async def test_connections_are_capped_and_waiting_for_one_counts_as_latency():
    server = await serving(work_ms=(50.0, 50.0))
    tally = await run(server, rate_per_s=0.0, duration_s=0.1, connections=4, bursts=(Burst(0.0, 12),))
    assert (tally.connections_most, server.ledger.connections) == (4, 4)
    assert tally.latency_ms(0.0) >= 45.0
    assert tally.latency_ms(1.0) >= 145.0
    server.stop()


@bounded
async def test_new_clients_send_one_request_and_hold_their_connection():
    server = await serving()
    plan = {"rate_per_s": 0.0, "duration_s": 0.1, "budget_ms": 300, "bursts": (Burst(0.0, 12),)}
    tally = await run(server, connections=8, after="hold", **plan)
    assert (tally.count(Result.SERVED), tally.count(Result.UNSENT), tally.connections) == (8, 4, 8)
    server.stop()


@bounded
async def test_clients_can_connect_for_each_request():
    server = await serving()
    tally = await run(server, after="close", connections=8)
    assert tally.in_time == 1.0
    assert server.ledger.connections == tally.connections == tally.asked
    server.stop()


@bounded
async def test_a_connection_is_kept_for_the_drawn_number_of_requests():
    server = await serving()
    tally = await run(server, turns=(2, 4), connections=8)
    assert tally.in_time == 1.0
    assert tally.asked / 4 <= tally.connections <= tally.asked / 2 + 8
    assert server.ledger.connections == tally.connections
    server.stop()


@bounded
async def test_all_clients_reconnect_at_once():
    server = await serving()

    async def restart(clients):
        while not clients.tally.asked:
            await asyncio.sleep(0.002)
        clients.reconnect()

    tally = await run(server, restart, rate_per_s=50.0, pools=6, connections=6)
    assert tally.in_time == 1.0
    assert tally.connections > tally.connections_most
    server.stop()

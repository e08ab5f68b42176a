"""Tests of port servers on sockets: each fault shows in the answers and in the recorded executions."""

from __future__ import annotations

import asyncio
import contextlib
import time

import pytest

from rig.clients import Raw, ask_raw, read_answer
from rig.lag import MAX_SAMPLES, LagWatch
from rig.messages import body_for
from rig.model import Make, Repeats
from rig.portservers import PortHost, PortServer, ServerRecords, budget_ms
from rig.process import ProgramError
from tests.rig.waiting import PATIENCE_S, address_of, bounded, until

QUICK = Make(handshake_ms=0.0, probe_ms=0.0)
SILENCE_S = 0.15  # time without an answer that counts as silence


def call(number="1", kind="look", work=1.0, io=0.0, key="", budget="5000m"):
    method = {"look": "GET", "book": "POST", "pay": "POST"}[kind]
    token = f"Idempotency-Key: t{number}\r\n" if kind == "book" else ""
    length = "Content-Length: 0\r\n" if method == "POST" else ""
    target = f"/{kind}?work={work}&io={io}&key={key}"
    return (
        f"{method} {target} HTTP/1.1\r\nHost: x\r\nX-Call-Id: {number}\r\n"
        f"X-Budget: {budget}\r\n{token}{length}\r\n"
    ).encode()


@contextlib.contextmanager
def server(make=QUICK, cold=False, **changes):
    made = PortServer("s0", make, Repeats(1200.0), ServerRecords.new(), **changes)
    made.start(cold)
    try:
        yield made
    finally:
        made.close()


async def ask(made, *args, within_s=PATIENCE_S, **changes):
    return await ask_raw(address_of(made.address), call(*args, **changes), within_s)


class Connection:
    """A connection that is reused."""

    @classmethod
    async def open(cls, made):
        self = cls()
        self.reader, self.writer = await asyncio.open_connection(*address_of(made.address))
        return self

    async def ask(self, *args, within_s=PATIENCE_S, **changes):
        self.writer.write(call(*args, **changes))
        try:
            async with asyncio.timeout(within_s):
                return await read_answer(self.reader)
        except TimeoutError:  # before OSError, its base class
            return "silent"
        except (OSError, EOFError):
            return "ended"


@bounded
async def test_it_answers_with_the_body_of_the_call_and_records_the_execution():
    with server() as made:
        connection = await Connection.open(made)
        assert await connection.ask("7", kind="pay") == (200, body_for("7", 0))
        assert await connection.ask("8", kind="book") == (200, body_for("8", 0))
        rows = made.records.executions
        assert [(r.call, r.semantics, r.token, r.end) for r in rows] == [
            ("7", "unsafe", "", "served"),
            ("8", "keyed", "t8", "served"),
        ]
        assert rows[0].first_s <= rows[0].last_s <= rows[0].began_s <= rows[0].ended_s
        assert made.records.connections == 1


@bounded
async def test_requests_without_a_call_id_are_probes_or_not_found():
    with server() as made:
        for path, status in [("/look", 404), ("/health/live", 200), ("/stats", 404)]:
            request = f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode()
            assert (await ask_raw(address_of(made.address), request, PATIENCE_S)).status == status
        made.drain()
        request = b"GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n"
        assert (await ask_raw(address_of(made.address), request, PATIENCE_S)).status == 503
        assert (await ask(made, work="x")).status == 400
        assert (await ask(made, budget="5 s")).status == 400
        assert made.records.executions == []


def test_budgets():
    assert [budget_ms(text) for text in ("480m", "1.5m", "480000u")] == [480.0, 1.5, 480.0]
    for wrong in ("", "m", "480", "-1m", "nan m"):
        with pytest.raises(ValueError):
            budget_ms(wrong)


@bounded
async def test_a_full_queue_or_a_draining_server_rejects_requests_without_running_them():
    with server(Make(slots=1, queue=0)) as made:
        assert (await ask(made)).status == 503  # without a queue, no request is accepted
        made.drain()
        assert (await ask(made, "2")).status == 503
        assert (await ask(made, "3", budget="0m")).status == 503
    assert [row.fate for row in made.records.executions] == [
        "turned away: full",
        *["turned away: draining"] * 2,
    ]
    assert not any(row.may_have_run or row.had_effect for row in made.records.executions)


@bounded
async def test_a_request_past_its_deadline_is_rejected_without_running():
    with server() as made:
        slow = asyncio.create_task(ask(made, "1", work=120.0))
        await until(lambda: made.machine.in_flight == 1)
        assert (await ask(made, "2", budget="20m")).status == 504
        assert (await slow).status == 200
        assert made.records.executions[1].fate == "turned away: over"


@bounded
async def test_a_connection_beyond_the_limit_is_rejected_and_closed():
    with server(Make(connections=1)) as made:
        first, second = await Connection.open(made), await Connection.open(made)
        assert (await first.ask("1"))[0] == 200
        assert (await second.ask("2"))[0] == 503
        assert await second.ask("3") == "ended"
        assert made.records.executions[1].fate == "turned away: connections"


@bounded
async def test_open_connections_are_bounded_whatever_the_limit(monkeypatch):
    monkeypatch.setattr("rig.portservers.MAX_LINKS", 2)
    with server() as made:
        connections = [await Connection.open(made) for _ in range(2)]
        await until(lambda: made.records.connections == 2)
        assert (await ask(made)).ended
        assert (await connections[0].ask("2"))[0] == 200


@bounded
async def test_closing_a_connection_cancels_its_work():
    with server() as made:
        connection = await Connection.open(made)
        connection.writer.write(call("1", work=60_000.0))
        await until(lambda: made.machine.in_flight == 1)
        connection.writer.transport.abort()
        await until(lambda: made.machine.in_flight == 0)
        assert (await ask(made, "2")).status == 200
        row = made.records.executions[0]
        assert (row.end, row.had_effect) == ("cut", True)


@bounded
async def test_repeats_of_an_idempotency_key_have_no_effect():
    with server() as made:
        for _ in range(2):
            assert (await ask(made, "1", kind="book")).status == 200
        assert [row.had_effect for row in made.records.executions] == [True, False]


@bounded
async def test_idle_connections_are_closed():
    with server(idle_close_ms=50.0) as made:
        connection = await Connection.open(made)
        async with asyncio.timeout(PATIENCE_S):
            assert await connection.reader.read() == b""


@bounded
async def test_it_dies_and_restarts_cold():
    with server() as made:
        connection = await Connection.open(made)
        connection.writer.write(call("1", kind="book", work=5000.0))
        await until(lambda: made.machine and made.machine.in_flight == 1)
        made.die()
        assert await connection.ask("2") == "ended"
        assert (await ask(made, "3")).ended  # refused
        made.start()
        answer = await ask(made, "1", kind="book")
        assert answer.status == 200
        assert made.machine.cold
        assert [start.server for start in made.records.starts] == ["s0"]
        assert made.records.executions[-1].had_effect  # the first one was cancelled with the process


@bounded
async def test_it_vanishes_silently_and_resets_old_connections_when_it_is_back():
    with server() as made:
        connection = await Connection.open(made)
        assert (await connection.ask("1"))[0] == 200
        made.vanish()
        assert await connection.ask("2", within_s=SILENCE_S) == "silent"
        assert await ask(made, "3", within_s=SILENCE_S) == Raw(0, b"", pytest.approx(150, abs=100), False)
        assert [(row.call, row.fate) for row in made.records.executions] == [("1", ""), ("2", "lost")]
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(SILENCE_S):
                await Connection.open(made)  # no new connection is established
        made.back()
        assert await connection.ask("4") == "ended"
        assert (await ask(made, "5")).status == 200


@bounded
async def test_a_pause_delays_answers():
    with server() as made:
        connection = await Connection.open(made)
        made.stall(120.0)
        start = asyncio.get_running_loop().time()
        assert (await connection.ask("1"))[0] == 200
        row = made.records.executions[0]
        assert row.ended_s - start > 0.1
        assert row.last_s - start < 0.1


@bounded
async def test_it_fails_a_share_of_requests_quickly():
    with server() as made:
        made.fault("fail", 1.0)
        assert (await ask(made, work=5000.0)).status == 500
        made.fault("fail", 0.0)
        assert (await ask(made, "2")).status == 200
        made.fault("fail", 0.5)
        statuses = [(await ask(made, str(n))).status for n in range(40)]
        assert 5 < statuses.count(500) < 35
    with pytest.raises(ValueError):
        made.fault("dance", 1.0)


@bounded
async def test_it_loses_answers():
    with server() as made:
        made.fault("lose", 1.0)
        assert (await ask(made, within_s=SILENCE_S)).status == 0
        row = made.records.executions[0]
        assert row.end == "unanswered"
        assert row.had_effect


@bounded
async def test_it_spoils_answers():
    with server() as made:
        made.fault("spoil", 1.0)
        for number in range(12):
            answer = await ask(made, str(number))
            assert answer.body == b""  # no answer is complete
        assert {row.end for row in made.records.executions} == {"spoilt"}


@bounded
async def test_half_open_connections_discard_input_and_new_ones_work():
    with server() as made:
        connection = await Connection.open(made)
        await connection.ask("1")
        made.fault("half_open", 1.0)
        made.fault("half_open", 0.0)
        assert await connection.ask("2", within_s=SILENCE_S) == "silent"
        assert (await ask(made, "3")).status == 200
        assert [row.fate for row in made.records.executions] == ["", "lost", ""]


@bounded
async def test_it_accepts_slowly_and_records_the_delay():
    with server() as made:
        made.fault("slow_accept", 100.0)
        connection = await Connection.open(made)
        for number in "12":
            assert (await connection.ask(number))[0] == 200
        assert [row.read_late_ms for row in made.records.executions] == [100.0, 0.0]


@bounded
async def test_a_cold_overloaded_server_fails_and_stays_down():
    with server(Make(cold_from=0.5, fall_multiple=1.0, overload_ms=100.0), cold=True) as made:
        answers = await asyncio.gather(*(ask(made, str(n), work=30.0) for n in range(4)))
        assert all(answer.status == 0 for answer in answers)
        made.start()
        made.die()
        made.start()
        assert (await ask(made, "9")).status == 0
        assert [name for name, _ in made.records.falls] == ["s0"]


@bounded
async def test_load_reports_are_sent_if_configured():
    with server(Make(report=("inflight", "queue"))) as made:
        reader, writer = await asyncio.open_connection(*address_of(made.address))
        writer.write(call())
        async with asyncio.timeout(PATIENCE_S):
            assert b"X-Load-Report: inflight=0,queue=0\r\n" in await reader.readuntil(b"\r\n\r\n")
        writer.transport.abort()


@bounded
async def test_servers_of_one_process_share_the_detection_of_repeats():
    host = await PortHost.start("east", {"s0": QUICK, "s1": QUICK})
    try:
        for address in host.addresses.values():
            request = call("1", kind="book")
            assert (await ask_raw(address_of(address), request, PATIENCE_S)).status == 200
        await host.act("s1", "die")
        await host.act("s1", "start")
        await host.act("s0", "fault", kind="fail", degree=1.0)
        rows = await host.executions()
        assert [(row.server, row.zone, row.had_effect) for row in rows] == [
            ("s0", "east", True),
            ("s1", "east", False),
        ]
        assert await host.executions() == []
        await asyncio.sleep(0.03)
        summary = await host.summary()
        assert [start["server"] for start in summary["starts"]] == ["s1"]
        assert summary["lag"]["samples"] > 0
        with pytest.raises(ProgramError, match="dance"):
            await host.act("s0", "dance")
    finally:
        await host.stop()


@bounded
async def test_a_blocked_event_loop_shows_as_lag():
    watch = LagWatch().start()
    await asyncio.sleep(0.03)
    time.sleep(0.08)  # blocks the loop
    await asyncio.sleep(0.02)
    watch.stop()
    summary = watch.summary()
    assert summary["most_ms"] > 50.0
    assert summary["samples"] <= MAX_SAMPLES
    watch.clear()
    assert watch.summary() == {"samples": 0, "p99_ms": 0.0, "most_ms": 0.0}

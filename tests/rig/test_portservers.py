"""Port servers of the model on sockets: each fault shows in what comes back and in what they note."""

from __future__ import annotations

import asyncio
import contextlib
import time

import pytest

from rig.clients import Raw, ask_raw, read_answer
from rig.lag import SAMPLES_MOST, LagWatch
from rig.messages import body_for
from rig.model import Make, Repeats
from rig.portservers import PortHost, PortServer, ServerRecords, budget_ms
from rig.process import ProgramError
from tests.rig.waiting import PATIENCE_S, address_of, bounded, until

QUICK = Make(handshake_ms=0.0, probe_ms=0.0)
NEVER_S = 0.15  # that nothing comes is believed after so long


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


class Kept:
    """A connection that is kept."""

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
        except TimeoutError:  # which is an OSError too
            return "silent"
        except (OSError, EOFError):
            return "ended"


@bounded
async def test_it_serves_with_the_body_of_the_call_and_notes_what_it_did():
    with server() as made:
        kept = await Kept.open(made)
        assert await kept.ask("7", kind="pay") == (200, body_for("7", 0))
        assert await kept.ask("8", kind="book") == (200, body_for("8", 0))
        rows = made.records.executions
        assert [(r.call, r.semantics, r.token, r.end) for r in rows] == [
            ("7", "unsafe", "", "served"),
            ("8", "keyed", "t8", "served"),
        ]
        assert rows[0].first_s <= rows[0].last_s <= rows[0].began_s <= rows[0].ended_s
        assert made.records.connections == 1


@bounded
async def test_what_is_no_call_is_404_or_a_probe():
    with server() as made:
        for path, status in [("/look", 404), ("/health/live", 200), ("/stats", 404)]:
            asked = f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode()
            assert (await ask_raw(address_of(made.address), asked, PATIENCE_S)).status == status
        made.drain()
        asked = b"GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n"
        assert (await ask_raw(address_of(made.address), asked, PATIENCE_S)).status == 503
        assert (await ask(made, work="x")).status == 400
        assert (await ask(made, budget="5 s")).status == 400
        assert made.records.executions == []


def test_budgets():
    assert [budget_ms(text) for text in ("480m", "1.5m", "480000u")] == [480.0, 1.5, 480.0]
    for wrong in ("", "m", "480", "-1m", "nan m"):
        with pytest.raises(ValueError):
            budget_ms(wrong)


@bounded
async def test_what_finds_the_queue_full_or_the_server_draining_is_turned_away_unrun():
    with server(Make(slots=1, queue=0)) as made:
        assert (await ask(made)).status == 503  # no queue at all: nothing is ever taken
        made.drain()
        assert (await ask(made, "2")).status == 503
        assert (await ask(made, "3", budget="0m")).status == 503
    assert [row.fate for row in made.records.executions] == [
        "turned away: full",
        *["turned away: draining"] * 2,
    ]
    assert not any(row.may_have_run or row.had_effect for row in made.records.executions)


@bounded
async def test_what_is_over_before_it_has_a_core_is_turned_away_unrun():
    with server() as made:
        slow = asyncio.create_task(ask(made, "1", work=120.0))
        await until(lambda: made.machine.in_flight == 1)
        assert (await ask(made, "2", budget="20m")).status == 504
        assert (await slow).status == 200
        assert made.records.executions[1].fate == "turned away: over"


@bounded
async def test_past_the_cap_a_connection_is_turned_away_and_closed():
    with server(Make(connections=1)) as made:
        first, second = await Kept.open(made), await Kept.open(made)
        assert (await first.ask("1"))[0] == 200
        assert (await second.ask("2"))[0] == 503
        assert await second.ask("3") == "ended"
        assert made.records.executions[1].fate == "turned away: connections"


@bounded
async def test_connections_are_bounded_whatever_the_cap(monkeypatch):
    monkeypatch.setattr("rig.portservers.LINKS_MOST", 2)
    with server() as made:
        kept = [await Kept.open(made) for _ in range(2)]
        await until(lambda: made.records.connections == 2)
        assert (await ask(made)).ended
        assert (await kept[0].ask("2"))[0] == 200


@bounded
async def test_work_stops_when_the_connection_is_closed():
    with server() as made:
        kept = await Kept.open(made)
        kept.writer.write(call("1", work=60_000.0))
        await until(lambda: made.machine.in_flight == 1)
        kept.writer.transport.abort()
        await until(lambda: made.machine.in_flight == 0)
        assert (await ask(made, "2")).status == 200
        row = made.records.executions[0]
        assert (row.end, row.had_effect) == ("cut", True)


@bounded
async def test_repeats_of_a_key_are_dropped():
    with server() as made:
        for _ in range(2):
            assert (await ask(made, "1", kind="book")).status == 200
        assert [row.had_effect for row in made.records.executions] == [True, False]


@bounded
async def test_idle_connections_are_closed():
    with server(idle_close_ms=50.0) as made:
        kept = await Kept.open(made)
        async with asyncio.timeout(PATIENCE_S):
            assert await kept.reader.read() == b""


@bounded
async def test_it_dies_and_comes_back_cold():
    with server() as made:
        kept = await Kept.open(made)
        kept.writer.write(call("1", kind="book", work=5000.0))
        await until(lambda: made.machine and made.machine.in_flight == 1)
        made.die()
        assert await kept.ask("2") == "ended"
        assert (await ask(made, "3")).ended  # refused
        made.start()
        answer = await ask(made, "1", kind="book")
        assert answer.status == 200
        assert made.machine.cold
        assert [start.server for start in made.records.starts] == ["s0"]
        assert made.records.executions[-1].had_effect  # its first was given up with the process


@bounded
async def test_it_vanishes_without_a_word_and_resets_what_was_open_when_it_is_back():
    with server() as made:
        kept = await Kept.open(made)
        assert (await kept.ask("1"))[0] == 200
        made.vanish()
        assert await kept.ask("2", within_s=NEVER_S) == "silent"
        assert await ask(made, "3", within_s=NEVER_S) == Raw(0, b"", pytest.approx(150, abs=100), False)
        assert [(row.call, row.fate) for row in made.records.executions] == [("1", ""), ("2", "lost")]
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(NEVER_S):
                await Kept.open(made)  # it does not even come up
        made.back()
        assert await kept.ask("4") == "ended"
        assert (await ask(made, "5")).status == 200


@bounded
async def test_it_stands_still():
    with server() as made:
        kept = await Kept.open(made)
        made.stall(120.0)
        start = asyncio.get_running_loop().time()
        assert (await kept.ask("1"))[0] == 200
        row = made.records.executions[0]
        assert row.ended_s - start > 0.1
        assert row.last_s - start < 0.1


@bounded
async def test_it_fails_a_share_quickly():
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
        assert (await ask(made, within_s=NEVER_S)).status == 0
        row = made.records.executions[0]
        assert row.end == "unanswered"
        assert row.had_effect


@bounded
async def test_it_spoils_answers():
    with server() as made:
        made.fault("spoil", 1.0)
        for number in range(12):
            answer = await ask(made, str(number))
            assert answer.body == b""  # never a whole one
        assert {row.end for row in made.records.executions} == {"spoilt"}


@bounded
async def test_half_open_connections_swallow_what_comes_and_new_ones_work():
    with server() as made:
        kept = await Kept.open(made)
        await kept.ask("1")
        made.fault("half_open", 1.0)
        made.fault("half_open", 0.0)
        assert await kept.ask("2", within_s=NEVER_S) == "silent"
        assert (await ask(made, "3")).status == 200
        assert [row.fate for row in made.records.executions] == ["", "lost", ""]


@bounded
async def test_it_accepts_slowly_and_notes_by_how_much():
    with server() as made:
        made.fault("slow_accept", 100.0)
        kept = await Kept.open(made)
        for number in "12":
            assert (await kept.ask(number))[0] == 200
        assert [row.read_late_ms for row in made.records.executions] == [100.0, 0.0]


@bounded
async def test_it_falls_over_when_cold_and_overdriven_and_stays_down():
    with server(Make(cold_from=0.5, fall_multiple=1.0, overload_ms=100.0), cold=True) as made:
        answers = await asyncio.gather(*(ask(made, str(n), work=30.0) for n in range(4)))
        assert all(answer.status == 0 for answer in answers)
        made.start()
        made.die()
        made.start()
        assert (await ask(made, "9")).status == 0
        assert [name for name, _ in made.records.falls] == ["s0"]


@bounded
async def test_load_reports_where_they_are_asked_for():
    with server(Make(report=("inflight", "queue"))) as made:
        reader, writer = await asyncio.open_connection(*address_of(made.address))
        writer.write(call())
        async with asyncio.timeout(PATIENCE_S):
            assert b"X-Load-Report: inflight=0,queue=0\r\n" in await reader.readuntil(b"\r\n\r\n")
        writer.transport.abort()


@bounded
async def test_servers_in_a_process_of_their_own_share_what_drops_repeats():
    host = await PortHost.start("east", {"s0": QUICK, "s1": QUICK})
    try:
        for address in host.addresses.values():
            asked = call("1", kind="book")
            assert (await ask_raw(address_of(address), asked, PATIENCE_S)).status == 200
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
        told = await host.summary()
        assert [start["server"] for start in told["starts"]] == ["s1"]
        assert told["lag"]["samples"] > 0
        with pytest.raises(ProgramError, match="dance"):
            await host.act("s0", "dance")
    finally:
        await host.stop()


@bounded
async def test_the_lag_of_a_loop_shows():
    watch = LagWatch().start()
    await asyncio.sleep(0.03)
    time.sleep(0.08)  # the loop stands still
    await asyncio.sleep(0.02)
    watch.stop()
    told = watch.summary()
    assert told["most_ms"] > 50.0
    assert told["samples"] <= SAMPLES_MOST
    watch.clear()
    assert watch.summary() == {"samples": 0, "p99_ms": 0.0, "most_ms": 0.0}

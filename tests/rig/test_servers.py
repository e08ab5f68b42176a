"""Tests of the scripted servers: echoed ids, the ledger and the acts of a script."""

from __future__ import annotations

import asyncio

import pytest

from rig.clients import ask_raw, read_answer
from rig.messages import NOISE, Act, body_for, request
from rig.process import ProgramError
from rig.servers import Fleet, Ledger, Server
from tests.rig.waiting import PATIENCE_S, address_of, bounded, until


async def serving(*acts, **changes):
    server = await Server(Ledger(), **{"work_ms": (0.0, 1.0), **changes}).start()
    if acts:
        server.script.acts = acts
    return server


async def ask(server, call="1", **changes):
    return await ask_raw(address_of(server.address), request(call, **changes), PATIENCE_S)


@bounded
async def test_a_server_echoes_the_id_and_told_repeats():
    server = await serving()
    for call in ("1", "2", "1"):
        answer = await ask(server, call)
        assert (answer.status, answer.body) == (200, body_for(call, 0))
    await ask(server, "3", kind="pay")
    await ask(server, "3", kind="pay")
    counts = server.ledger.summary()
    assert counts["repeats"] == {"1": 2, "3": 2}
    assert (counts["received"], counts["calls"], counts["unsafe_repeated"], counts["unsafe_most"]) == (
        5,
        3,
        1,
        2,
    )
    assert counts["overlaps"] == 0
    server.stop()


@bounded
async def test_a_copy_that_arrives_while_the_first_is_in_flight_is_an_overlap():
    server = await serving(Act(delay_ms=60_000.0))
    tasks = [asyncio.create_task(ask(server)) for _ in range(2)]
    await until(lambda: server.ledger.received == 2)
    assert server.ledger.overlaps == 1
    for task in tasks:
        task.cancel()
    await until(lambda: not server.ledger.in_flight)
    assert server.inflight == 0
    server.stop()


@bounded
async def test_requests_on_one_connection_are_answered_in_order():
    server = await serving()
    reader, writer = await asyncio.open_connection(*address_of(server.address))
    writer.write(
        request("1", act=Act(delay_ms=30.0)) + request("2", act=Act(delay_ms=0.0, size_bytes=70_000))
    )
    async with asyncio.timeout(PATIENCE_S):
        assert await read_answer(reader) == (200, body_for("1", 0))
        assert await read_answer(reader) == (200, body_for("2", 70_000))
    writer.close()
    server.stop()


@bounded
async def test_a_script_performs_its_acts_in_order():
    server = await serving(
        Act(status=503, rejected=True, behind="answer"),
        Act(behind="noise"),
        Act(copy_after_ms=5.0),
        Act(way="half", size_bytes=5000),
        Act(way="reset"),
    )
    whole = b"Content-Length: 2\r\n\r\n1\n"

    async def bytes_until(is_complete):
        reader, writer = await asyncio.open_connection(*address_of(server.address))
        writer.write(request("1"))
        received = b""
        try:
            async with asyncio.timeout(PATIENCE_S):
                while is_complete is None or not is_complete(received):
                    if not (data := await reader.read(65536)):
                        break
                    received += data
        except ConnectionResetError:
            received += b"(reset)"
        writer.close()
        return received

    first = await bytes_until(lambda received: whole in received)
    assert first.startswith(b"HTTP/1.1 503")
    assert b"X-Rejected: 1" in first
    assert first.count(b"HTTP/1.1 ") == 2
    assert (await bytes_until(lambda received: NOISE in received)).endswith(whole + NOISE)
    assert (await bytes_until(lambda received: received.count(whole) == 2)).count(b"HTTP/1.1 200") == 2
    half = await bytes_until(None)
    assert half.startswith(b"HTTP/1.1 200")
    assert 1000 < len(half) < 5000
    assert half.endswith(b"(reset)")
    assert await bytes_until(None) == b"(reset)"
    assert await bytes_until(None) == b"(reset)"  # the last act is repeated
    server.stop()


@bounded
async def test_a_server_at_its_concurrency_limit_rejects_requests():
    server = await serving(Act(way="silent"), concurrency=1)
    task = asyncio.create_task(ask(server, "1"))
    await until(lambda: server.inflight == 1)
    assert (await ask(server, "2")).status == 503
    task.cancel()
    await until(lambda: server.inflight == 0)
    server.stop()


@bounded
async def test_a_fleet_in_its_own_process():
    fleet = await Fleet.start(3, work_ms=(0.0, 1.0))
    try:
        assert len(set(fleet.addresses)) == 3
        for address in fleet.addresses:
            assert (await ask_raw(address_of(address), request("7"), PATIENCE_S)).body == body_for("7", 0)
        assert (await fleet.ledger())["repeats"] == {"7": 3}
        await fleet.script(Act(status=500), Act(status=504), turns="round")
        statuses = [
            (await ask_raw(address_of(fleet.addresses[0]), request("8"), PATIENCE_S)).status for _ in "123"
        ]
        assert statuses == [500, 504, 500]
        await fleet.clear()
        assert (await fleet.ledger())["received"] == 0
        with pytest.raises(ProgramError, match="dance"):
            await fleet._helper.ask(do="dance")
    finally:
        await fleet.stop()

"""Tests of connection floods: the behaviour of each kind, its rate and its maximum of connections."""

from __future__ import annotations

import asyncio

import pytest

from rig.crowds import BEHAVIOURS, KINDS, PIPELINED, Crowd, Size, added, spread
from rig.process import ProgramError
from rig.servers import Ledger, Server
from tests.rig.waiting import PATIENCE_S, address_of, bounded


class Listener:
    """Server that records input and answers it, or closes the connection."""

    def __init__(self, answer=b"", close=False):
        self.received = []
        self.ended = 0
        self.accepted = 0
        self._answer, self._close = answer, close

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()
        return self

    async def _serve(self, reader, writer):
        self.accepted += 1
        try:
            while data := await reader.read(65536):
                self.received.append(data)
                if self._close:
                    break
                writer.write(self._answer)
        except OSError:
            pass
        self.ended += 1
        writer.transport.abort()

    def stop(self):
        self._server.close()


async def crowd(address, kind, rate=500.0, standing=12):
    return await Crowd.start(address, {kind: Size(rate, standing)}, processes=1)


async def counted(made, holds):
    """Wait until a condition on the counts holds, and return them."""
    async with asyncio.timeout(PATIENCE_S):
        while not holds(counts := await made.counts()):
            await asyncio.sleep(0.01)
    return counts


@bounded
async def test_silent_clients_connect_up_to_their_maximum_and_stay_open():
    listener = await Listener().start()
    made = await crowd(listener.address, "silent")
    counts = await counted(made, lambda counts: counts["open"] == counts["connected"] == 12)
    assert (counts["tried"], counts["answered"], counts["closed"], listener.received) == (12, 0, 0, [])
    await made.stop()
    async with asyncio.timeout(PATIENCE_S):
        while listener.ended < 12:
            await asyncio.sleep(0.01)
    listener.stop()


@pytest.mark.parametrize("kind", ["garbage", "turned_away"])
@bounded
async def test_some_kinds_reconnect_as_soon_as_they_are_answered_or_closed(kind):
    for listener in (Listener(answer=b"HTTP/1.1 400 Bad\r\n\r\n"), Listener(close=True)):
        await listener.start()
        made = await crowd(listener.address, kind)
        counts = await counted(made, lambda counts: counts["connected"] > 60)
        assert counts["open"] <= 12
        await made.stop()
        listener.stop()
        if kind == "turned_away":
            assert b"X-Caller: nobody" in listener.received[0]


@bounded
async def test_half_clients_send_half_a_head_or_half_a_body():
    listener = await Listener().start()
    made = await crowd(listener.address, "half")
    await counted(made, lambda counts: counts["open"] == 12)
    async with asyncio.timeout(PATIENCE_S):
        while len(listener.received) < 12:
            await asyncio.sleep(0.01)
    heads = [data for data in listener.received if b"\r\n\r\n" not in data]
    assert len(heads) == 6
    assert all(data.endswith(b"\r\n\r\n" + b"x" * 100) for data in listener.received if data not in heads)
    await made.stop()
    listener.stop()


@bounded
async def test_slow_readers_request_large_answers_and_read_nothing():
    server = await Server(Ledger(), work_ms=(0.0, 1.0)).start()
    made = await crowd(address_of(server.address), "slow_readers", standing=3)
    # The counts of the flood are reported at intervals and may be older than those of the server.
    counts = await counted(
        made, lambda counts: server.ledger.received == 3 * PIPELINED and counts["open"] == 3
    )
    assert (counts["open"], counts["answered"], counts["closed"]) == (3, 0, 0)
    await made.stop()
    server.stop()


@bounded
async def test_once_clients_hold_their_connection_and_are_replaced_when_it_closes():
    server = await Server(Ledger(), work_ms=(0.0, 1.0), idle_close_ms=400.0).start()
    made = await crowd(address_of(server.address), "once", standing=4)
    counts = await counted(made, lambda counts: counts["closed"] >= 4 and counts["connected"] >= 8)
    assert counts["open"] <= 4
    assert counts["statuses"]["200"] == counts["answered"]
    assert counts["cut"] == 0
    await made.stop()
    assert not server.ledger.summary()["repeats"]
    server.stop()


@bounded
async def test_the_connection_rate_is_limited():
    listener = await Listener().start()
    start = asyncio.get_running_loop().time()
    made = await crowd(listener.address, "garbage", rate=40.0, standing=100)
    counts = await counted(made, lambda counts: counts["connected"] >= 10)
    took = asyncio.get_running_loop().time() - start
    assert counts["tried"] <= 40.0 * took + 3
    await made.stop()
    listener.stop()


def test_a_mixture_contains_every_kind_within_the_size():
    apart = {"once": Size(200.0, 128)}
    parts = spread("all", Size(1000.0, 1152), apart)
    assert set(parts) == set(BEHAVIOURS) == set(KINDS) - {"all"}
    assert sum(part.standing for part in parts.values()) <= 1152
    assert sum(part.rate_per_s for part in parts.values()) < 1000.0
    assert spread("once", Size(1000.0, 1152), apart) == apart
    assert spread("silent", Size(1000.0, 1152), apart) == {"silent": Size(1000.0, 1152)}
    with pytest.raises(ValueError):
        spread("polite", Size(1.0, 1), {})
    with pytest.raises(ValueError):
        Size(0.0, 1)
    assert added([])["open"] == 0


@bounded
async def test_a_crowd_connects_only_to_the_loopback():
    with pytest.raises(ProgramError):
        await crowd(("10.0.0.1", 80), "silent")

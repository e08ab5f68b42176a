"""Each fault of a link, as probes at both ends see it, in both directions. None of it uses the program."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from rig.cluster.links import HELD_MOST, Player, Relay, address_of, flipped, free_port
from rig.cluster.schedules import Link
from tests.loopback import loopback, until


class Sink:
    """Takes connections, keeps what comes, and answers with it where asked."""

    def __init__(self, echo=True):
        self.echo = echo
        self.came = bytearray()
        self.open = 0
        self.resets = 0

    async def start(self):
        self.server = await asyncio.start_server(self._take, "127.0.0.1", 0)
        self.address = self.server.sockets[0].getsockname()
        return self

    async def _take(self, reader, writer):
        self.open += 1
        try:
            while data := await reader.read(65536):
                self.came += data
                if self.echo:
                    writer.write(data)
        except ConnectionResetError:
            self.resets += 1
        finally:
            self.open -= 1
            writer.close()


class UdpEnd(asyncio.DatagramProtocol):
    def __init__(self):
        self.came = []

    def connection_made(self, transport):
        self.transport = transport
        self.address = transport.get_extra_info("sockname")

    def datagram_received(self, data, addr):
        self.came.append(data)


@contextlib.asynccontextmanager
async def tcp_link(seed=1):
    """A relay, the far end, and a connection from n0 to n1 through it."""
    relay, sink = Relay(seed).start(), await Sink().start()
    at = await relay.tcp("n0", "n1", sink.address)
    reader, writer = await asyncio.open_connection(*at)
    try:
        yield relay, sink, reader, writer, at
    finally:
        writer.transport.abort()
        sink.server.close()
        await relay.stop()


@contextlib.asynccontextmanager
async def udp_link(seed=1):
    relay, loop = Relay(seed).start(), asyncio.get_running_loop()
    _, near = await loop.create_datagram_endpoint(UdpEnd, local_addr=("127.0.0.1", 0))
    _, far = await loop.create_datagram_endpoint(UdpEnd, local_addr=("127.0.0.1", 0))
    at = await relay.udp("n0", "n1", near.address, far.address)
    try:
        yield relay, near, far, at
    finally:
        near.transport.close()
        far.transport.close()
        await relay.stop()


def fault(way, amount=0.0, src="n0", dst="n1"):
    return Link(0, 1, way, (src,), (dst,), amount)


async def asked(reader, writer, text=b"hello"):
    """What comes back for this within a bound that a sound link is far from."""
    writer.write(text)
    async with asyncio.timeout(5.0):
        return await reader.readexactly(len(text))


@pytest.mark.parametrize("way", ["cut", "stall"])
@loopback
async def test_a_cut_of_tcp_holds_all_bytes_and_a_heal_lets_them_go_in_order(way):
    async with tcp_link() as (relay, sink, reader, writer, _):
        assert await asked(reader, writer) == b"hello"
        relay.begin(fault(way))
        writer.write(b"held")
        await until(lambda: relay.state("n0", "n1").counts.taken == 9)
        await asyncio.sleep(0.05)
        assert bytes(sink.came) == b"hello" and relay.state("n0", "n1").counts.passed == 5
        relay.end(fault(way))
        assert await reader.readexactly(4) == b"held"


@loopback
async def test_a_cut_in_one_direction_lets_the_other_pass():
    async with tcp_link() as (relay, sink, reader, writer, _):
        assert await asked(reader, writer) == b"hello"
        relay.begin(fault("cut", src="n1", dst="n0"))
        writer.write(b"there")
        await until(lambda: bytes(sink.came) == b"hellothere")
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.05):
                await reader.read(1)
        assert relay.state("n0", "n1").counts.passed == 10 and relay.state("n1", "n0").counts.passed == 5


@loopback
async def test_a_connection_begun_through_a_cut_stays_silent_and_serves_after_it():
    async with tcp_link() as (relay, sink, _, _, at):
        await until(lambda: sink.open == 1)
        relay.begin(fault("cut", src="n1", dst="n0"))  # its handshake needs both ways
        reader, writer = await asyncio.open_connection(*at)
        writer.write(b"late")
        await asyncio.sleep(0.05)
        assert sink.open == 1 and not sink.came
        relay.end(fault("cut", src="n1", dst="n0"))
        assert await reader.readexactly(4) == b"late"
        writer.transport.abort()


@loopback
async def test_a_stalled_link_holds_a_bounded_amount():
    async with tcp_link() as (relay, _, reader, writer, _):
        assert await asked(reader, writer) == b"hello"
        relay.begin(fault("stall"))
        for _ in range(64):
            writer.write(b"x" * 65536)
        await asyncio.sleep(0.1)
        assert relay.state("n0", "n1").counts.taken <= HELD_MOST


@loopback
async def test_a_reset_comes_in_the_middle_of_what_was_written_and_both_ends_see_it():
    async with tcp_link() as (relay, sink, reader, writer, _):
        assert await asked(reader, writer) == b"hello"
        relay.begin(fault("reset", 1.0))
        writer.write(b"0123456789")
        with contextlib.suppress(ConnectionResetError):
            async with asyncio.timeout(5.0):
                while await reader.read(100):
                    pass
        await until(lambda: sink.open == 0)
        assert bytes(sink.came) in (b"hello", b"hello01234") and relay.state("n0", "n1").counts.resets == 1


@loopback
async def test_a_half_open_connection_is_gone_at_one_end_only():
    async with tcp_link() as (relay, sink, reader, writer, _):
        assert await asked(reader, writer) == b"hello"
        relay.begin(fault("half_open", 1.0))
        writer.write(b"void")
        await until(lambda: sink.open == 0)
        writer.write(b"void")
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.05):
                await reader.read(1)
        assert bytes(sink.came) == b"hello"


@pytest.mark.parametrize(("way", "amount", "least_s"), [("late", 100.0, 0.06), ("narrow", 50.0, 0.08)])
@loopback
async def test_late_and_narrow_links_take_their_time(way, amount, least_s):
    async with tcp_link() as (relay, _, reader, writer, _):
        loop = asyncio.get_running_loop()
        assert await asked(reader, writer) == b"hello"
        relay.begin(fault(way, amount))
        began = loop.time()
        assert await asked(reader, writer) == b"hello"
        assert loop.time() - began >= least_s


@loopback
async def test_flipped_bits_and_their_count():
    async with tcp_link() as (relay, sink, reader, writer, _):
        relay.begin(fault("flip", 1.0))
        got = await asked(reader, writer, b"\0" * 8)
        assert sum(bin(byte).count("1") for byte in got) == 1 and bytes(sink.came) == got


async def sent(relay, near, far, at, count=200):
    """So many numbered datagrams, and what came, once nothing is on its way."""
    for number in range(count):
        near.transport.sendto(b"%04d" % number, at)
        if number % 20 == 0:
            await asyncio.sleep(0.002)
    await until(lambda: relay.state("n0", "n1").counts.taken == 4 * count)
    await until(lambda: not relay._timers)
    await asyncio.sleep(0.02)
    return far.came


@loopback
async def test_datagrams_pass_in_both_directions():
    async with udp_link() as (relay, near, far, at):
        assert await sent(relay, near, far, at) == [b"%04d" % number for number in range(200)]
        far.transport.sendto(b"back", at)
        await until(lambda: near.came == [b"back"])


@loopback
async def test_a_cut_of_datagrams_is_one_of_direction_and_they_never_come():
    async with udp_link() as (relay, near, far, at):
        relay.begin(fault("cut"))
        assert await sent(relay, near, far, at, 20) == []
        far.transport.sendto(b"back", at)
        await until(lambda: near.came == [b"back"])
        relay.end(fault("cut"))
        near.transport.sendto(b"after", at)
        await until(lambda: far.came == [b"after"])
        assert relay.state("n0", "n1").counts.dropped == 20


@loopback
async def test_lost_doubled_and_reordered_datagrams():
    async with udp_link() as (relay, near, far, at):
        relay.begin(fault("loss", 0.5))
        assert 60 <= len(await sent(relay, near, far, at)) <= 140
    async with udp_link() as (relay, near, far, at):
        relay.begin(fault("double", 1.0))
        assert len(await sent(relay, near, far, at)) == 400
    async with udp_link() as (relay, near, far, at):
        relay.begin(fault("reorder", 0.5))
        came = await sent(relay, near, far, at)
        assert len(came) == 200 and came != sorted(came)


@loopback
async def test_what_a_link_does_depends_on_its_own_seed_only():
    async def kept(others):
        async with udp_link(seed=9) as (relay, near, far, at):
            for number in range(others):
                relay.rng("n5", f"n{number}").random()
            relay.begin(fault("loss", 0.5))
            return list(await sent(relay, near, far, at, 60))

    assert await kept(0) == await kept(50)


@loopback
async def test_a_change_takes_effect_within_ten_milliseconds_and_a_late_relay_is_unsound():
    relay = Relay(1).start()
    cut = Link(20, 30, "cut", ("n0",), ("n1", "n2"))
    player = Player(relay, [cut])
    playing = asyncio.create_task(player.run())
    await until(lambda: relay.state("n0", "n2").held)
    assert not relay.state("n2", "n0").held
    await playing
    assert not relay.state("n0", "n1").held and player.late_ms < 200.0
    assert relay.unsound == ""
    for _ in range(20):
        await asyncio.sleep(0.001)
        relay._lag._late_ms.append(80.0)
    relay._lag._late_ms.extend([80.0] * 200)
    assert "late by 80.0 ms" in relay.unsound
    await relay.stop()


def test_addresses_of_nodes():
    made = [address_of(number) for number in range(1000)]
    assert len(set(made)) == 1000 and made[0] == "127.77.0.1"
    with pytest.raises(ValueError, match="1000"):
        address_of(1000)
    assert free_port(made[7]) > 0
    import random

    assert flipped(b"\0\0", random.Random(1)) != b"\0\0"

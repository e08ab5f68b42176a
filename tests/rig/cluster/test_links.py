"""Each fault of a link, as probes at both ends see it, in both directions, without the program."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import socket

import pytest

from rig.cluster import links
from rig.cluster.fault_player import Player
from rig.cluster.link_types import TcpLink, UdpLink, address_of, flipped, free_port
from rig.cluster.links import MAX_HELD_BYTES, Relay
from rig.cluster.schedules import WAYS, Link, bridge, names, ring, split
from tests.loopback import PATIENCE_S, loopback, until

BOTH = [("n0", "n1"), ("n1", "n0")]
MESSAGES = [b"%04d" % number for number in range(60)]
SILENCE_S = 0.03  # after so long without data, none is expected


class Peer:
    """One end of a connection: the bytes received, and how it ended."""

    def __init__(self, reader, writer):
        self.writer = writer
        self.received = bytearray()
        self.end = ""
        self._reading = asyncio.create_task(self._read(reader))

    async def _read(self, reader):
        try:
            while data := await reader.read(65536):
                self.received += data
            self.end = "closed"
        except ConnectionResetError:
            self.end = "reset"

    def send_bytes(self, data):
        self.writer.write(data)

    def close(self):
        self.writer.transport.abort()


class Listener:
    """Accepts connections."""

    def __init__(self):
        self.peers = []

    async def start(self):
        async def take(reader, writer):
            self.peers.append(Peer(reader, writer))

        self.server = await asyncio.start_server(take, "127.0.0.1", 0)
        self.address = self.server.sockets[0].getsockname()
        return self

    def close(self):
        self.server.close()
        for peer in self.peers:
            peer.close()


class Tcp:
    """n0 reaches n1 through a relay; `ends` are the ends of the first connection."""

    async def connect(self):
        """Open another connection; return its near and its far end."""
        count = len(self.listener.peers)
        near = Peer(*await asyncio.open_connection(*self.at))
        self._near.append(near)
        await until(lambda: len(self.listener.peers) > count)
        return near, self.listener.peers[-1]

    def counts(self, src, dst):
        return self.relay.state(src, dst).counts

    @classmethod
    @contextlib.asynccontextmanager
    async def open(cls, seed=1):
        self = cls()
        self._near = []
        self.relay, self.listener = Relay(seed).start(), await Listener().start()
        self.at = await self.relay.tcp("n0", "n1", self.listener.address)
        self.ends = dict(zip(("n0", "n1"), await self.connect(), strict=True))
        try:
            yield self
        finally:
            for near in self._near:
                near.close()
            self.listener.close()
            await self.relay.stop()


class UdpEnd(asyncio.DatagramProtocol):
    def __init__(self):
        self.received = []
        self.at_s = []

    @classmethod
    async def open(cls):
        loop = asyncio.get_running_loop()
        return (await loop.create_datagram_endpoint(cls, local_addr=("127.0.0.1", 0)))[1]

    def connection_made(self, transport):
        self.transport = transport
        self.address = transport.get_extra_info("sockname")

    def datagram_received(self, data, addr):
        self.received.append(data)
        self.at_s.append(asyncio.get_running_loop().time())


class Udp:
    """Several ends with a relay between each two of them."""

    @classmethod
    @contextlib.asynccontextmanager
    async def open(cls, count=2, seed=1):
        self = cls()
        self.relay = Relay(seed).start()
        self.ends = {name: await UdpEnd.open() for name in names(count)}
        self.at = {}
        for one, other in itertools.combinations(self.ends, 2):
            ends = self.ends[one].address, self.ends[other].address
            self.at[one, other] = self.at[other, one] = await self.relay.udp(one, other, *ends)
        try:
            yield self
        finally:
            for end in self.ends.values():
                end.transport.close()
            await self.relay.stop()

    def counts(self, src, dst):
        return self.relay.state(src, dst).counts

    async def send(self, src, dst, messages=MESSAGES):
        """Send messages one by one, each once the relay has read the one before."""
        counts = self.counts(src, dst)
        async with asyncio.timeout(PATIENCE_S):
            for came, message in enumerate(messages, counts.received + 1):
                self.ends[src].transport.sendto(message, self.at[src, dst])
                while counts.received < came:
                    await asyncio.sleep(0)

    async def settled(self):
        """Wait until nothing is in flight and the ends have read everything."""
        await until(lambda: self.relay.pending == 0)
        pairs = itertools.permutations(self.ends, 2)
        sent = sum(self.counts(*pair).messages for pair in pairs)
        await until(lambda: sum(len(end.received) for end in self.ends.values()) == sent)


def fault(way, amount=0.0, src="n0", dst="n1"):
    return Link(0, 1, way, (src,), (dst,), amount)


def bits(one, other):
    """Return how many bits of two texts differ."""
    return sum(bin(a ^ b).count("1") for a, b in zip(one, other, strict=True))


# --- datagrams: by way, the amount, and a check of what arrives during the fault ---------------------------

UDP = {
    "cut": (0.0, lambda came: came == []),
    "stall": (0.0, lambda came: came == []),
    "loss": (0.5, lambda came: 15 <= len(came) <= 45 and came == sorted(came)),
    "late": (60.0, lambda came: sorted(came) == MESSAGES),
    "reorder": (0.5, lambda came: came != MESSAGES and sorted(came) == MESSAGES),
    "double": (1.0, lambda came: came == [one for one in MESSAGES for _ in range(2)]),
    "narrow": (1000.0, lambda came: came == MESSAGES),
    "flip": (1.0, lambda came: [bits(*two) for two in zip(came, MESSAGES, strict=True)] == [1] * 60),
    "reset": (1.0, lambda came: came == MESSAGES),  # no effect: there are no connections
    "half_open": (1.0, lambda came: came == MESSAGES),  # as reset
}
MIN_S = {"late": 0.042, "narrow": 0.23}  # until the last one arrives: 0.7 of 60 ms, or 240 bytes


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize(("src", "dst"), BOTH)
@loopback
async def test_a_fault_of_datagrams_has_its_effect_in_one_direction_until_it_ends(way, src, dst):
    amount, holds = UDP[way]
    made = fault(way, amount, src, dst)
    async with Udp.open() as link:
        there, back = link.counts(src, dst), link.counts(dst, src)
        link.relay.begin(made)
        began = asyncio.get_running_loop().time()
        await link.send(src, dst)
        await link.send(dst, src)
        await until(lambda: link.ends[src].received == MESSAGES)  # the other direction is not affected
        if way == "stall":
            assert link.ends[dst].received == []
            assert there.held == 240
        else:
            await link.settled()
        came = list(link.ends[dst].received)
        assert holds(came)
        if way in MIN_S:
            assert link.ends[dst].at_s[-1] - began >= MIN_S[way]
        assert there.taken == 240
        assert there.passed == sum(map(len, came))
        assert there.messages == len(came)
        assert there.dropped == (60 - len(came) if way in ("cut", "loss") else 0)
        assert there.lost == 4 * there.dropped
        assert there.doubled == (240 if way == "double" else 0)
        assert (back.taken, back.passed, back.lost, back.messages) == (240, 240, 0, 60)
        link.relay.end(made)
        await link.send(src, dst, [b"over"])
        await link.settled()
        assert link.ends[dst].received == came + (MESSAGES if way == "stall" else []) + [b"over"]
        assert there.held == 0


@pytest.mark.parametrize(("way", "amount"), [("late", 60_000.0), ("narrow", 5.0), ("stall", 0.0)])
@loopback
async def test_delayed_datagrams_are_sent_when_the_fault_ends_and_lost_by_a_cut(way, amount):
    async with Udp.open() as link:
        counts = link.counts("n0", "n1")
        for cut in (False, True):
            link.relay.begin(fault(way, amount))
            await link.send("n0", "n1", MESSAGES[:3])
            assert counts.held == 12
            assert link.relay.pending == 3
            if cut:
                link.relay.begin(fault("cut"))
            link.relay.end(fault(way, amount))
            await link.settled()
            assert sorted(link.ends["n1"].received) == MESSAGES[:3]
            assert counts.dropped == 3 * cut


@loopback
async def test_waiting_datagrams_are_bounded(monkeypatch):
    monkeypatch.setattr(links, "MAX_STALLED_DATAGRAMS", 5)
    monkeypatch.setattr(links, "MAX_PENDING_DATAGRAMS", 8)
    async with Udp.open() as link:
        link.relay.begin(fault("stall"))
        await link.send("n0", "n1", MESSAGES[:10])
        assert link.relay.pending == 5
        assert link.counts("n0", "n1").dropped == 5
        assert (
            "beyond the relay's bounds" not in link.relay.unsound
        )  # a stall has a bounded buffer, as a switch has
        link.relay.begin(fault("late", 1000.0, "n1", "n0"))
        await link.send("n1", "n0", MESSAGES[:10])
        assert link.relay.pending == 8
        assert "7 datagrams beyond the relay's bounds" in link.relay.unsound
    async with Udp.open() as link:  # a narrow link has a bounded buffer, too
        link.relay.begin(fault("narrow", 4.0))
        await link.send("n0", "n1", MESSAGES[:10])
        assert link.counts("n0", "n1").dropped == 7  # all but the three sent within 2 s or next after that


@loopback
async def test_datagrams_of_unknown_senders_and_datagrams_dropped_by_the_kernel_are_counted():
    async with Udp.open() as link:
        stranger = await UdpEnd.open()
        stranger.transport.sendto(b"who", link.at["n0", "n1"])
        await until(lambda: link.relay.unknown_senders == 1)
        assert link.counts("n0", "n1").received == link.counts("n1", "n0").received == 0
        stranger.transport.close()
        udp = next(iter(link.relay._udp_sockets.values()))
        udp.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 0)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for _ in range(50):  # within one iteration of the loop
                sock.sendto(b"x" * 1000, link.at["n0", "n1"])
        assert "datagrams were lost before the relay read them" in link.relay.unsound
        link.relay.forget_lag()
        assert link.relay.unsound == ""


@loopback
async def test_the_draws_of_a_link_depend_on_its_own_seed_and_way_only():
    async def kept(others):
        async with Udp.open(3, seed=9) as link:
            for way in ("late", "flip") if others else ():
                link.relay.begin(fault(way, 0.01))
            if others:
                link.relay.begin(fault("loss", 0.5, "n0", "n2"))
                await link.send("n0", "n2", MESSAGES[:20])
            link.relay.begin(fault("loss", 0.5))
            await link.send("n0", "n1")
            await link.settled()
            return link.counts("n0", "n1").messages

    assert await kept(False) == await kept(True)


# --- connections -----------------------------------------------------------------------------------------

HELD = ("cut", "stall")
SLOW = {"loss": (0.5, 0.2), "late": (80.0, 0.055), "narrow": (2000.0, 0.1)}  # amount, least s of 200 bytes
SAME = ("reorder", "double")  # no effect: TCP corrects it


@pytest.mark.parametrize("way", [*HELD, *SLOW, *SAME, "flip"])
@pytest.mark.parametrize(("src", "dst"), BOTH)
@loopback
async def test_a_fault_of_a_connection_has_its_effect_in_one_direction_until_it_ends(way, src, dst):
    amount = SLOW[way][0] if way in SLOW else 1.0 if way in (*SAME, "flip") else 0.0
    made = fault(way, amount, src, dst)
    text = bytes(range(200))
    async with Tcp.open(seed=26) as link:  # with this seed, the first read is lost once in each direction
        sender, taker = link.ends[src], link.ends[dst]
        there, back = link.counts(src, dst), link.counts(dst, src)
        link.relay.begin(made)
        began = asyncio.get_running_loop().time()
        sender.send_bytes(text)
        taker.send_bytes(b"back")
        await until(lambda: sender.received == b"back" and there.taken == 200)
        if way in HELD:
            await asyncio.sleep(SILENCE_S)
            assert taker.received == b""
            assert (there.passed, there.held) == (0, 200)
        else:
            await until(lambda: len(taker.received) == 200)
            assert asyncio.get_running_loop().time() - began >= (SLOW[way][1] if way in SLOW else 0.0)
            assert bits(taker.received, text) == (way == "flip")
            assert (there.passed, there.held) == (200, 0)
        assert (back.taken, back.passed, back.held) == (4, 4, 0)
        link.relay.end(made)
        await until(lambda: len(taker.received) == 200)
        sender.send_bytes(b"over")
        await until(lambda: taker.received.endswith(b"over"))
        assert way == "flip" or taker.received == text + b"over"
        assert there.passed == 204
        assert there.lost == there.held == 0


@pytest.mark.parametrize(("src", "dst"), BOTH)
@loopback
async def test_a_reset_cuts_a_read_in_half_and_both_ends_see_it(src, dst):
    async with Tcp.open() as link:
        counts = link.counts(src, dst)
        link.relay.begin(fault("reset", 1.0, src, dst))
        link.ends[dst].send_bytes(b"back")
        await until(lambda: link.ends[src].received == b"back")
        link.ends[src].send_bytes(b"0123456789")
        await until(lambda: link.ends[src].end == link.ends[dst].end == "reset")
        assert link.ends[dst].received == b"01234"
        assert (counts.taken, counts.passed, counts.lost, counts.resets) == (10, 5, 5, 1)
        link.relay.end(fault("reset", 1.0, src, dst))
        near, far = await link.connect()
        (near if src == "n0" else far).send_bytes(b"0123456789")
        await until(lambda: (far if src == "n0" else near).received == b"0123456789")


@pytest.mark.parametrize(("src", "dst"), BOTH)
@loopback
async def test_a_half_open_connection_is_gone_at_one_end_only(src, dst):
    async with Tcp.open() as link:
        counts = link.counts(src, dst)
        link.relay.begin(fault("half_open", 1.0, src, dst))
        link.ends[dst].send_bytes(b"back")
        await until(lambda: link.ends[src].received == b"back")
        link.relay.begin(fault("cut", 0.0, dst, src))
        link.ends[dst].send_bytes(b"held")  # lost with its end
        await until(lambda: link.counts(dst, src).held == 4)
        link.ends[src].send_bytes(b"void")
        await until(lambda: link.ends[dst].end == "reset")
        link.relay.end(fault("cut", 0.0, dst, src))
        link.relay.end(fault("half_open", 1.0, src, dst))
        link.ends[src].send_bytes(b"void")  # the connection stays half-open
        await until(lambda: counts.taken == 8)
        await asyncio.sleep(SILENCE_S)
        assert (link.ends[src].received, link.ends[src].end, link.ends[dst].received) == (b"back", "", b"")
        assert (counts.passed, counts.lost, counts.held) == (0, 8, 0)
        near, far = await link.connect()
        (near if src == "n0" else far).send_bytes(b"well")
        await until(lambda: (far if src == "n0" else near).received == b"well")
        link.ends[src].close()
        await until(lambda: len(link.relay.pairs) == 1)


@pytest.mark.parametrize("cut", BOTH)
@loopback
async def test_a_connection_opened_through_a_cut_stays_silent_and_works_after_it(cut):
    async with Tcp.open() as link:
        link.relay.begin(fault("cut", 0.0, *cut))  # a handshake needs both directions
        near = Peer(*await asyncio.open_connection(*link.at))
        near.send_bytes(b"late")
        await asyncio.sleep(SILENCE_S)
        assert len(link.listener.peers) == 1
        assert near.end == ""
        link.relay.end(fault("cut", 0.0, *cut))
        await until(lambda: len(link.listener.peers) == 2 and link.listener.peers[1].received == b"late")
        near.close()


@loopback
async def test_a_connection_that_waits_for_a_cut_to_end_is_reset_at_its_deadline(monkeypatch):
    monkeypatch.setattr(links, "HELD_CONNECT_S", 0.05)
    async with Tcp.open() as link:
        link.relay.begin(fault("cut"))
        near = Peer(*await asyncio.open_connection(*link.at))
        near.send_bytes(b"late")
        await until(lambda: near.end == "reset")
        assert len(link.relay.pairs) == 1
        assert len(link.listener.peers) == 1
        assert link.ends["n0"].end == ""


@loopback
async def test_a_connection_to_nobody_is_reset():
    async with Tcp.open() as link:
        at = await link.relay.tcp("n0", "n2", ("127.0.0.1", free_port("127.0.0.1")))
        near = Peer(*await asyncio.open_connection(*at))
        await until(lambda: near.end == "reset")


@loopback
async def test_an_idle_connection_is_ended_at_its_bound_which_makes_a_run_unsound(monkeypatch):
    async with Tcp.open() as link:
        next(iter(link.relay.pairs)).used_at -= 2 * links.IDLE_S
        link.ends["n0"].send_bytes(b"hello")
        await until(lambda: link.ends["n1"].received == b"hello")
        monkeypatch.setattr(links, "SWEEP_S", 0.01)
        link.relay._sweep()
        await asyncio.sleep(SILENCE_S)
        assert len(link.relay.pairs) == 1
        assert "s without data" not in link.relay.unsound
        monkeypatch.setattr(links, "IDLE_S", 0.05)
        await until(lambda: link.ends["n0"].end == link.ends["n1"].end == "reset")
        assert not link.relay.pairs
        assert "s without data" in link.relay.unsound


@pytest.mark.parametrize("end", ["reset", "closed"])
@loopback
async def test_the_end_of_a_connection_waits_behind_its_data_for_the_end_of_a_cut(end):
    async with Tcp.open() as link:
        link.relay.begin(fault("cut"))
        near, far = link.ends.values()
        near.send_bytes(b"last")
        await until(lambda: link.counts("n0", "n1").held == 4)
        if end == "reset":
            sock = near.writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, links.NO_LINGER)
            near.close()
        else:
            near.writer.write_eof()
        await asyncio.sleep(SILENCE_S)
        assert (far.received, far.end) == (b"", "")
        link.relay.end(fault("cut"))
        await until(lambda: (far.received, far.end) == (b"last", end))
        if end == "closed":  # the other direction still works
            far.send_bytes(b"still")
            await until(lambda: near.received == b"still")
            far.writer.write_eof()
            await until(lambda: near.end == "closed")
        await until(lambda: not link.relay.pairs)


@loopback
async def test_the_end_of_one_half_meets_a_peer_that_has_just_reset_the_connection():
    """Guards against an exception in the relay when the kernel knows of a reset and the loop does not yet."""
    loop, raised = asyncio.get_running_loop(), []
    loop.set_exception_handler(lambda loop, context: raised.append(context["message"]))
    relay, server = Relay(1).start(), socket.create_server(("127.0.0.1", 0))
    server.setblocking(False)
    near = Peer(*await asyncio.open_connection(*await relay.tcp("n0", "n1", server.getsockname())))
    far, _ = await loop.sock_accept(server)
    relay.begin(fault("late", amount=60_000.0))
    near.writer.write_eof()
    await until(lambda: relay.state("n0", "n1").flows)
    far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, links.NO_LINGER)
    far.close()
    relay.end(fault("late", amount=60_000.0))  # in the same iteration of the loop
    await until(lambda: not relay.pairs)
    assert raised == []
    near.close()
    server.close()
    await relay.stop()


@pytest.mark.parametrize("way", HELD)
@loopback
async def test_a_held_link_accepts_a_bounded_amount_and_forwards_all_of_it_later(way):
    async with Tcp.open() as link:
        counts = link.counts("n0", "n1")
        text = random.Random(1).randbytes(4 * 2**20)
        link.relay.begin(fault(way))
        link.ends["n0"].send_bytes(text)
        await until(lambda: counts.taken > MAX_HELD_BYTES - links.CHUNK)
        await asyncio.sleep(SILENCE_S)
        assert counts.taken <= MAX_HELD_BYTES
        assert link.ends["n1"].received == b""
        link.relay.end(fault(way))
        await until(lambda: len(link.ends["n1"].received) == len(text))
        assert link.ends["n1"].received == text
        assert counts.passed == len(text)


@loopback
async def test_data_that_one_end_does_not_read_stays_at_the_other():
    async with Tcp.open() as link:
        near, far = link.ends.values()
        far.writer.transport.pause_reading()
        near.send_bytes(b"x" * 64 * 2**20)
        counts = link.counts("n0", "n1")

        async def still():
            taken = counts.taken
            await asyncio.sleep(SILENCE_S)
            return taken == counts.taken > 0

        async with asyncio.timeout(10.0):
            while not await still():
                pass
        assert counts.taken < 32 * 2**20  # the buffers of four sockets; the relay itself holds little
        far.writer.transport.resume_reading()
        await until(lambda: counts.passed == 64 * 2**20)


@loopback
async def test_connections_past_the_bound_are_reset(monkeypatch):
    async with Tcp.open() as link:
        monkeypatch.setattr(links, "MAX_CONNECTIONS", 1)
        near = Peer(*await asyncio.open_connection(*link.at))
        await until(lambda: near.end == "reset")
        assert "1 connections beyond" in link.relay.unsound
        assert link.ends["n0"].end == ""


# --- groups ----------------------------------------------------------------------------------------------

EVERY = names(6)
GROUPS = {
    "split": (split(0, 1, (EVERY[:2], EVERY[2:])), ["01", "01", "2345", "2345", "2345", "2345"]),
    "bridge": (
        bridge(0, 1, EVERY[:2], "n2", EVERY[3:]),
        ["012", "012", "012345", "2345", "2345", "2345"],
    ),
    "ring": (ring(0, 1, EVERY), ["015", "012", "123", "234", "345", "045"]),
}


@pytest.mark.parametrize("group", GROUPS)
@loopback
async def test_groups_reach_only_their_own_members(group):
    faults, wanted = GROUPS[group]

    async def reached(link):
        """Return, for each end, the numbers of the ends that reach it, itself included."""
        before = {me: len(end.received) for me, end in link.ends.items()}
        for src, dst in link.at:
            await link.send(src, dst, [src[1:].encode()])
        await link.settled()
        heard = {me: b"".join(end.received[before[me] :]).decode() for me, end in link.ends.items()}
        return ["".join(sorted(me[1] + heard[me])) for me in heard]

    async with Udp.open(6) as link:
        link.relay.change([(True, one) for one in faults])
        assert await reached(link) == wanted
        link.relay.change([(False, one) for one in faults])
        assert await reached(link) == ["012345"] * 6


# --- the relay and its player ----------------------------------------------------------------------------


@loopback
async def test_a_fault_applies_to_links_made_later_and_equal_faults_end_one_by_one():
    relay = Relay(1).start()
    relay.begin(fault("late", 10.0))
    relay.begin(fault("late", 30.0))
    relay.begin(fault("cut"))
    relay.begin(fault("cut"))
    state = relay.state("n0", "n1")
    assert state.is_held
    assert state.amounts["late"] == 30.0
    assert relay.state("n1", "n0").is_clear
    relay.end(fault("cut"))
    assert state.is_held
    for _ in range(2):
        relay.end(fault("cut"))  # one more than began
    relay.end(fault("late", 30.0))
    assert not state.is_held
    assert state.amounts == {"late": 10.0}
    await relay.stop()


@loopback
async def test_invalid_addresses_of_ends_are_refused():
    relay = Relay(1).start()
    for link, wrong in (
        (UdpLink("n0", "n1", ("localhost", 9), ("127.0.0.1", 9)), "not an IPv4 address"),
        (UdpLink("n0", "n1", ("127.0.0.1", 9), ("127.0.0.1", 70_000)), "70000 is not a port"),
        (UdpLink("n0", "n1", ("127.0.0.1", 9), ("127.0.0.1", 9)), "have the same address"),
        (TcpLink("n0", "n1", ("127.0.0.1", 0)), "0 is not a port"),
    ):
        with pytest.raises(ValueError, match=wrong):
            relay.make(link)
    await relay.stop()


@loopback
async def test_a_player_applies_changes_that_are_due_together_and_a_lagging_relay_is_unsound():
    relay = Relay(1).start()
    cut = Link(20, 30, "cut", ("n0",), ("n1", "n2"))
    player = Player(relay, [cut, fault("late", 5.0)])
    playing = asyncio.create_task(player.run())
    await until(lambda: relay.state("n0", "n2").is_held)
    assert not relay.state("n2", "n0").is_held
    await playing
    assert relay.state("n0", "n1").is_clear
    assert 0.0 < player.late_ms < 1000.0
    relay.forget_lag()
    assert relay.unsound == ""
    relay._lag._late_ms.extend([80.0] * 200)
    assert "lagged by 80.0 ms" in relay.unsound
    await relay.stop()


def test_addresses_of_nodes():
    made = [address_of(number) for number in range(1000)]
    assert len(set(made)) == 1000
    assert made[0] == "127.77.0.1"
    with pytest.raises(ValueError, match="1000"):
        address_of(1000)
    assert free_port(made[7]) > 0
    assert bits(flipped(b"\0\0", random.Random(1)), b"\0\0") == 1
    assert flipped(b"", random.Random(1)) == b""

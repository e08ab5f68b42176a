"""Links between members over loopback: what is said arrives, and what is no link is noticed and made anew."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import random
import socket
from pathlib import Path

import pytest

from fordtrestle.cluster import frames
from fordtrestle.cluster.frames import FRAME_MOST, PROBE, Greeting, Packer, Splitter
from fordtrestle.cluster.messages import (
    AppendEntries,
    Denied,
    Entry,
    Envelope,
    Fetch,
    Grant,
    Noop,
    Propose,
    Proposed,
    Question,
    Renew,
    Reply,
)
from fordtrestle.daemon import lines, links
from fordtrestle.daemon.lines import Counts, Queue, Room, Waiting
from fordtrestle.daemon.links import AskError, Links, LinksOptions, ask
from fordtrestle.engine.ports import Address
from rig.cluster.links import Relay
from rig.cluster.schedules import Link as Fault
from tests.loopback import PATIENCE_S, until
from tests.virtual import virtual

ANY = Address("127.0.0.1", 0)
NOBODY = Address("127.0.0.1", 9)
LATE_S = 1.5  # that a busy machine may add to any bound


@pytest.fixture
def quick(monkeypatch):
    """All deadlines at a tenth."""
    for module, names in (
        (lines, ("GREET_S", "PROBE_S", "STALL_S", "IDLE_S", "HEARD_S")),
        (links, ("CONNECT_S", "BACKOFF_S", "BACKOFF_MOST_S", "SWEEP_S")),
    ):
        for name in names:
            monkeypatch.setattr(module, name, getattr(module, name) / 10.0)


class Member:
    """One member's links, and what it heard."""

    def __init__(self, name, addresses, cluster="c", listen=ANY):
        self.heard, self.questions = [], []
        loop = asyncio.get_running_loop()
        options = LinksOptions(cluster, name, listen, addresses)
        self.links = Links(loop, options, self.hear, self.ask, random.Random(1))
        self.counts = self.links.counts

    def hear(self, sender, message):
        self.heard.append((sender, message.first))

    def ask(self, client, message):
        self.questions.append(message)
        self.links.reply(client, Reply(message.id, {"what": message.what}))

    def say(self, to, number):
        return self.links.send(to, Fetch(number, 0))

    def heard_of(self, sender):
        return [number for name, number in self.heard if name == sender]

    @property
    def line(self):
        """The connection that it made."""
        (link,) = self.links._links.values()
        return link.line


@contextlib.asynccontextmanager
async def members(*names, cluster="c"):
    """Some members that reach one another directly."""
    made = {name: Member(name, {}, cluster) for name in names}
    addresses = {name: await member.links.start() for name, member in made.items()}
    for member in made.values():
        member.links.move(addresses)
    try:
        yield list(made.values())
    finally:
        for member in made.values():
            member.links.close()
        await asyncio.sleep(0)


@contextlib.asynccontextmanager
async def relayed():
    """n0 and n1, that reach one another through a relay."""
    relay = Relay(3).start()
    made = [Member(name, {}) for name in ("n0", "n1")]
    at = [await member.links.start() for member in made]
    made[0].links.move({"n1": Address(*await relay.tcp("n0", "n1", at[1]))})
    made[1].links.move({"n0": Address(*await relay.tcp("n1", "n0", at[0]))})
    try:
        yield relay, *made
    finally:
        for member in made:
            member.links.close()
        await relay.stop()


@contextlib.asynccontextmanager
async def partner():
    """n0, and an address whose connections come into a queue."""
    connections = asyncio.Queue()
    server = await asyncio.start_server(lambda *ends: connections.put_nowait(ends), "127.0.0.1", 0)
    async with members("n0") as (n0,):
        yield n0, Address(*server.sockets[0].getsockname()), connections
    server.close()


@contextlib.contextmanager
def hanging():
    """An address at which no connection comes up: the backlog is full."""
    with socket.create_server(("127.0.0.1", 0), backlog=0) as server, contextlib.ExitStack() as stack:
        for _ in range(2):
            waiting = stack.enter_context(socket.socket())
            waiting.setblocking(False)
            waiting.connect_ex(server.getsockname())
        yield Address(*server.getsockname())


class Raw:
    """A partner of another make, that says what it likes."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer
        self.packer, self.splitter = Packer(), Splitter(5)
        self.came = []

    @classmethod
    async def open(cls, member, name="n9", cluster="c"):
        address = member.links._server.sockets[0].getsockname()
        self = cls(*await asyncio.open_connection(*address))
        if name:
            self.write(frames.payload_of(Greeting(cluster, name, 5)))
        return self

    @classmethod
    async def greeted(cls, member, name="n9"):
        self = await cls.open(member, name)
        await self.until(lambda: self.came)
        self.packer.begin(self.came[0].session)
        return self

    def write(self, *payloads):
        self.writer.write(self.packer.pack(*payloads))

    def say(self, number, cluster="c", sender="n9", to="n0"):
        self.write(frames.payload_of(Envelope(cluster, sender, to, Fetch(number, 0))))

    async def until(self, condition):
        async with asyncio.timeout(PATIENCE_S):
            while not condition():
                self.came += self.splitter.feed(await self.reader.readexactly(1))

    async def closed(self):
        """Whether the other end closes it."""
        with contextlib.suppress(ConnectionError):
            async with asyncio.timeout(PATIENCE_S):
                while await self.reader.read(65536):
                    pass
        self.writer.transport.abort()
        return True


# --- what is said ---------------------------------------------------------------------------------


@virtual
async def test_what_is_said_arrives_in_order_on_one_connection_made_when_it_is_wanted(monkeypatch):
    writes = []
    write = lines.Line._write
    monkeypatch.setattr(
        lines.Line, "_write", lambda self, rows: (writes.append(len(rows)), write(self, rows))
    )
    async with members("n0", "n1") as (n0, n1):
        assert n0.links.status()["taken"] == n1.links.status()["taken"] == {}
        assert all(n0.say("n1", number) for number in range(100))
        await until(lambda: len(n1.heard) == 100)
        assert n1.heard_of("n0") == list(range(100))
        assert writes == [1, 1, 100]  # both greetings, and all that one turn of the loop said
        assert n1.say("n0", 7)
        await until(lambda: n0.heard == [("n1", 7)])
        for member, other in ((n0, "n1"), (n1, "n0")):
            status = member.links.status()
            assert (status["up"], status["taken"], status["dropped"], status["closed"]) == (
                [other],
                {"member": 1},
                {},
                {},
            )
        assert n0.counts.frames_out == n1.counts.frames_in == 100
        assert n0.counts.bytes_out + n1.counts.bytes_out == n0.counts.bytes_in + n1.counts.bytes_in
        assert not n0.say("n0", 1) and not n0.say("n7", 1) and n0.counts.dropped == {"unreachable": 2}
        for line in (n0.line, *n1.links._taken.values()):
            sock = line._transport.get_extra_info("socket")
            assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) == lines.USER_TIMEOUT_MS


@virtual
async def test_one_that_nobody_lists_is_answered_on_the_newest_connection_that_it_made():
    async with members("n0") as (n0,):
        address = Address(*n0.links._server.sockets[0].getsockname())
        lives = [Member("f", {"n0": address}) for _ in range(2)]
        for number, follower in enumerate(lives):
            assert follower.say("n0", number)
            await until(lambda number=number: n0.heard_of("f") == list(range(number + 1)))
            assert n0.say("f", number)
            await until(lambda number=number, follower=follower: follower.heard == [("n0", number)])
        assert n0.counts.closed == {"replaced": 1} and n0.links.status()["taken"] == {"follower": 1}
        for follower in lives:
            follower.links.close()
        await until(lambda: not n0.links._taken_by_name)
        assert not n0.say("f", 9)


@virtual
async def test_an_older_connection_does_not_take_the_place_of_a_newer_one():
    """Guards against one that stood in the backlog while its member was away, and had connected again."""
    async with members("n0") as (n0,):
        old = await Raw.open(n0, "")
        await until(lambda: n0.links._taken)
        new = await Raw.greeted(n0)
        old.write(frames.payload_of(Greeting("c", "n9", 5)))
        assert await old.closed() and n0.counts.closed == {"replaced": 1}
        new.say(1)
        await until(lambda: n0.heard == [("n9", 1)])
        new.writer.transport.abort()


@virtual
async def test_a_fault_in_who_is_told_ends_nothing_and_is_logged_a_few_times(capsys):
    async with members("n0", "n1") as (n0, n1):
        n1.links._receive = lambda sender, message: 1 // message.first
        for _ in range(50):
            n0.say("n1", 0)
        await until(lambda: n1.counts.dropped["fault"] == 50)
        assert capsys.readouterr().err.count("ZeroDivisionError") == links.TRACES_MOST
        assert n1.counts.closed == {}


@virtual
async def test_a_message_that_is_too_long_or_has_no_form_is_counted_and_not_sent():
    async with members("n0", "n1") as (n0, _):
        assert not n0.links.send("n1", Denied(1, "w" * FRAME_MOST, "", 1.0))
        assert not n0.links.send("n1", Reply(1, object()))
        assert n0.counts.dropped == {"long": 1, "unencodable": 1} and not n0.links._links


# --- what waits -----------------------------------------------------------------------------------


def row(name, at=0.0, passes=False, size=10):
    return Waiting(at, passes, name.encode().ljust(size))


def test_a_queue_is_bounded_and_what_is_said_again_soon_goes_first(monkeypatch):
    counts, room = Counts(), Room()
    queue, other = Queue(room, counts), Queue(room, counts)
    monkeypatch.setattr(lines, "QUEUE_FRAMES_MOST", 4)
    for name in ("a", "B", "c", "D"):
        assert queue.push(row(name, passes=name.isupper()))
    assert queue.push(row("e")) and queue.push(row("F", passes=True))  # in place of B, and of D
    assert queue.push(row("g"))  # of F
    assert not queue.push(row("h")) and counts.dropped == {"full": 4}
    assert [payload[:1] for payload in queue.take(0.0)] == [b"a", b"c", b"e", b"g"] and room.bytes == 0
    monkeypatch.setattr(lines, "QUEUE_BYTES_MOST", 100)
    assert (
        queue.push(row("a", size=60)) and not queue.push(row("b", size=60)) and queue.push(row("c", size=40))
    )
    monkeypatch.setattr(lines, "WAITING_MOST", 150)
    assert not other.push(row("d", size=60)) and other.push(row("e", size=50)) and room.bytes == 150
    queue.clear()
    assert room.bytes == 50 and other.push(row("f", size=50)) and counts.dropped == {"full": 6, "gone": 2}


def test_what_has_waited_too_long_is_not_sent_and_a_write_is_bounded(monkeypatch):
    counts = Counts()
    queue = Queue(Room(), counts)
    for number in range(4):
        queue.push(row(str(number), float(number)))
    assert [payload[:1] for payload in queue.take(1.0 + lines.FRESH_S)] == [b"1", b"2", b"3"]
    assert counts.dropped == {"stale": 1}
    monkeypatch.setattr(lines, "WRITE_MOST", 25)
    for size in (10, 10, 10, 30, 10):
        queue.push(row("a", size=size))
    assert [len(queue.take(0.0)) for _ in range(5)] == [2, 1, 1, 1, 0]


@pytest.mark.parametrize(
    ("message", "passes"),
    [
        (AppendEntries(1, 1, 0, 0, (), 0), True),
        (AppendEntries(1, 1, 0, 0, (Entry(1, 1, Noop()),), 0), False),
        (Renew(1, 0, (0, 0)), True),
        (Grant(1, 1, "", 0, 1.0, 0, 0, "", ""), True),
        (Propose("a", 0, None), False),
    ],
)
def test_leases_and_heartbeats_pass(message, passes):
    assert lines.passes(message) is passes


@virtual
async def test_nothing_waits_for_long_for_a_member_that_is_not_there(quick, monkeypatch):
    """Guards against tries without end, and against memory that fills with what nobody wants any more."""
    monkeypatch.setattr(lines, "FRESH_S", 0.3)
    n0 = Member("n0", {"n1": NOBODY})
    await n0.links.start()
    for number in range(1500):
        n0.say("n1", number)
    assert n0.links.status()["waiting"] == {"n1": 1000}
    await until(lambda: n0.counts.dropped == {"full": 500, "stale": 1000} and n0.links.made_room.bytes == 0)
    (link,) = n0.links._links.values()
    await until(lambda: link._timer is None and link._dialling is None)
    tries = n0.counts.closed["unreachable"]
    assert 3 <= tries <= 20 and link._backoff_s == links.BACKOFF_MOST_S
    n0.links.close()


@virtual
async def test_a_member_that_closes_each_connection_at_once_is_tried_ever_less_often(quick):
    async with partner() as (n0, address, connections):
        n0.links.move({"n1": address})
        talking = asyncio.create_task(chat(n0))
        for _ in range(7):
            reader, writer = await connections.get()
            writer.write(Packer().pack(frames.payload_of(Greeting("c", "n1", 5))))
            await reader.read(1)
            writer.transport.abort()
        await until(lambda: n0.links._links["n1"]._backoff_s == links.BACKOFF_MOST_S)
        talking.cancel()


@virtual
async def test_a_member_that_does_not_answer_is_given_up_and_one_that_answers_wrongly_too(quick):
    async with partner() as (n0, address, connections):
        n0.links.move({"n1": address})
        n0.say("n1", 1)
        silent = await connections.get()
        await until(lambda: n0.counts.closed["no_greeting"])
        n0.say("n1", 1)
        other = await connections.get()
        other[1].write(Packer().pack(frames.payload_of(Greeting("d", "n1", 5))))
        await until(lambda: n0.counts.closed["other_cluster"])
        n0.say("n1", 1)
        good = await connections.get()
        packer = Packer()
        good[1].write(packer.pack(frames.payload_of(Greeting("c", "n1", 5))))
        await until(lambda: n0.counts.frames_out)
        splitter = Splitter(5)
        greeting = next(splitter.feed(await good[0].read(1000)))
        packer.begin(greeting.session)
        proved = n0.line._answered
        good[1].write(packer.pack(PROBE, frames.payload_of(Envelope("c", "n1", "n0", Fetch(3, 0)))))
        await until(lambda: n0.heard)
        assert n0.line._answered == proved  # an answer to no question proves nothing
        for _, writer in (silent, other, good):
            writer.transport.abort()


@virtual
async def test_a_connection_that_does_not_come_up_is_given_up(quick):
    with hanging() as address:
        n0 = Member("n0", {"n1": address})
        await n0.links.start()
        n0.say("n1", 1)
        await until(lambda: n0.counts.closed["unreachable"])
        n0.links.close()


# --- faults of links ------------------------------------------------------------------------------


def fault(way, amount=0.0, src="n0", dst="n1"):
    return Fault(0, 1, way, (src,), (dst,), amount)


async def chat(*talking):
    """Some of n0 and n1 say something again and again, until it is over; numbers go up."""
    for number in range(1, 1_000_000):
        for member, other in zip(talking, ("n1", "n0"), strict=False):
            member.say(other, number)
            member.said = number
        await asyncio.sleep(0.01)


def end(relay, made):
    """End a fault, also where the relay has yet to be told that a partner has reset its connection."""
    with contextlib.suppress(OSError):
        relay.end(made)
    relay.state(made.src[0], made.dst[0]).changed()


def noticed(member, *why):
    return any(member.counts.closed[name] for name in why)


NOTICED_S = 0.1 + 0.2 + 2 * 0.025  # a probe, the time for its answer, and a look at both
FAULTS = [
    (fault("cut"), ("silent",)),
    (fault("cut", 0.0, "n1", "n0"), ("silent",)),
    (fault("stall"), ("silent",)),
    (fault("half_open", 1.0), ("silent",)),
    (fault("flip", 1.0), ("lost", "silent")),
    (fault("reset", 1.0), ("lost",)),
]


@pytest.mark.parametrize(("made", "why"), FAULTS, ids=[f"{row.way}-{row.src[0]}" for row, _ in FAULTS])
@virtual
async def test_a_fault_is_noticed_and_what_is_said_after_it_arrives(quick, made, why):
    async with relayed() as (relay, n0, n1):
        talking = asyncio.create_task(chat(n0, n1))
        loop = asyncio.get_running_loop()
        await until(lambda: n0.heard and n1.heard)
        assert n0.counts.closed == {}
        relay.begin(made)
        began = loop.time()
        await until(lambda: noticed(n0, *why))
        assert loop.time() - began < NOTICED_S + LATE_S
        end(relay, made)
        ended, over = loop.time(), n0.said
        await until(lambda: n0.heard and n1.heard and n0.heard[-1][1] > over and n1.heard[-1][1] > over)
        # At worst a connection that began in the fault is waited for, and then a pause is over.
        assert loop.time() - ended < links.CONNECT_S + lines.GREET_S + links.BACKOFF_MOST_S + LATE_S
        talking.cancel()
        for member, other in ((n0, "n1"), (n1, "n0")):
            told = member.heard_of(other)
            assert told == sorted(set(told)) and member.counts.dropped["fault"] == 0
        assert n1.counts.dropped["checksum"] + n1.counts.dropped["long"] >= (made.way == "flip")


@virtual
async def test_a_link_that_is_slow_and_carries_is_not_given_up(quick, monkeypatch):
    """Guards against a book that is longer than a probe's answer may take, and would never arrive."""
    monkeypatch.setattr(lines, "STALL_S", 0.8)  # a busy machine alone must not reach it
    async with relayed() as (relay, n0, n1):
        n0.say("n1", 0)
        await until(lambda: n0.line and n0.line.name)
        before = dict(n0.counts.closed)  # a busy machine may have missed the first connection's time
        # So that most of it waits in the process, and not in the kernel.
        n0.line._transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2**16)
        relay.begin(fault("narrow", 4.0 * lines.RATE_LEAST))
        long = Denied(1, "w" * 2**20, "", 1.0)  # 2 s, and the deadline is 0.8 s
        n1.links._receive = lambda sender, message: n1.heard.append(
            (sender, len(getattr(message, "why", "")))
        )
        assert n0.links.send("n1", long)
        await until(lambda: n0.line._full)
        await until(lambda: ("n0", 2**20) in n1.heard)
        assert n0.counts.closed == before


class Unsent:
    """A transport as far as a look at its buffer needs one; the looks are told of one by one."""

    def __init__(self, *sizes):
        self.sizes = list(sizes)

    def get_write_buffer_size(self):
        return self.sizes.pop(0)

    def abort(self):
        self.sizes = None


@virtual
async def test_a_connection_is_stuck_once_none_of_what_waits_has_left_for_too_long():
    n0 = Member("n0", {"n1": NOBODY})
    line = lines.Taken(n0.links, 1)
    line.written, now = 1000, line.made_at
    line._transport = Unsent(700, 700, 600, 600, 600, 0, 0)
    late = [0.0, 1.0, 1.1, 2.1, 2.2, 9.0, 99.0]  # in STALL_S
    stuck = [line.stuck(now + share * lines.STALL_S) for share in late]
    assert stuck == [False, False, False, False, True, False, False]
    made = lines.Made(n0.links, links.Link(n0.links, "n1", NOBODY))
    made.name, made.written, made._transport = "n1", 1000, Unsent(700, 700, 700)
    made.pause_writing()  # a probe could not be written
    made.check(now + 1e-3)
    made.check(now + lines.STALL_S)
    assert not made.gone and made._asked == 0
    made.check(now + 2.0 * lines.STALL_S)
    assert made.gone and n0.counts.closed == {"stalled": 1}


@virtual
async def test_an_answer_that_is_behind_something_long_is_waited_for(quick):
    async with partner() as (n0, address, connections):
        n0.links.move({"n1": address})
        n0.say("n1", 1)
        _, writer = await connections.get()
        packer = Packer()
        writer.write(packer.pack(frames.payload_of(Greeting("c", "n1", 5))))
        await until(lambda: n0.line.name)
        packer.begin(n0.line._session)
        writer.write(packer.head(bytes(FRAME_MOST)))
        began = n0.links.now
        while n0.links.now < began + 3 * lines.STALL_S:
            writer.write(bytes(100))
            await asyncio.sleep(0.02)
        assert n0.counts.closed == {}
        await until(lambda: n0.counts.closed == {"silent": 1})
        writer.transport.abort()


@virtual
async def test_who_takes_nothing_is_closed_at_both_ends(quick):
    async with members("n0") as (n0,):
        server = socket.create_server(("127.0.0.1", 0))  # greets, and reads no more
        n0.links.move({"deaf": Address(*server.getsockname())})
        n0.links.send("deaf", Denied(1, "w" * 2**20, "", 1.0))
        sock, _ = await asyncio.to_thread(server.accept)
        sock.sendall(Packer().pack(frames.payload_of(Greeting("c", "deaf", 5))))
        await until(
            lambda: (
                noticed(n0, "silent", "stalled")
                or n0.links.send("deaf", Denied(1, "w" * 2**16, "", 1.0)) is None
            )
        )
        deaf = await Raw.greeted(n0)
        deaf.writer.transport.pause_reading()
        deaf.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        before = n0.counts.closed["stalled"]
        while n0.counts.closed["stalled"] == before:
            n0.links.send("n9", Denied(1, "w" * 2**18, "", 1.0))
            await asyncio.sleep(0.005)
        assert not n0.links._taken and n0.links.taken_room.bytes == 0
        for end in (sock, server):
            end.close()
        deaf.writer.transport.abort()


@virtual
async def test_an_idle_connection_is_closed_and_made_again_when_it_is_wanted(quick, monkeypatch):
    monkeypatch.setattr(lines, "IDLE_S", 0.3)
    async with members("n0", "n1") as (n0, n1):
        n0.say("n1", 0)
        await until(lambda: n0.counts.closed["idle"] == 1)
        began = n0.links.now
        while n0.links.now < began + 2 * lines.IDLE_S:  # in use, it stays
            n0.say("n1", 1)
            await asyncio.sleep(0.1)
        assert n0.counts.closed["idle"] == 1
        await until(lambda: n0.counts.closed["idle"] == 2)
        assert set(n1.heard_of("n0")) == {0, 1}
        await until(lambda: not n1.links._taken)
        assert n0.links.status()["up"] == []
        monkeypatch.setattr(lines, "HEARD_S", 0.2)
        silent = await Raw.greeted(n0)
        assert await silent.closed()


# --- who may connect ------------------------------------------------------------------------------


@virtual
async def test_a_member_that_moves_is_followed_and_one_that_goes_is_forgotten():
    async with members("n0", "n1") as (n0, n1):
        n0.say("n1", 1)
        await until(lambda: n1.heard)
        moved = Member("n1", {})
        address = await moved.links.start()
        n0.links.move({"n1": address})
        assert n0.counts.closed == {"moved": 1} and n0.links.status()["up"] == []
        n0.say("n1", 2)
        await until(lambda: moved.heard == [("n0", 2)])
        line = n0.line
        n0.links.move({"n1": address})
        assert n0.line is line and not line.gone
        n0.links.move({})
        assert not n0.say("n1", 3) and n0.links._links == {} and line.gone
        assert n1.heard == [("n0", 1)]
        moved.links.close()


@virtual
async def test_a_member_that_moves_is_tried_at_once(quick):
    n0 = Member("n0", {"n1": NOBODY})
    n0.say("n1", 1)
    link = n0.links._links["n1"]
    await until(lambda: link._backoff_s == links.BACKOFF_MOST_S and link._timer)
    pause = link._timer
    n0.links.move({"n1": Address("127.0.0.1", 10)})
    assert pause.cancelled() and link._timer.when() <= n0.links.now and link._backoff_s == links.BACKOFF_S
    n0.links.close()


@virtual
async def test_another_member_at_the_address_or_one_of_another_cluster_is_told_nothing(quick):
    async with members("n0", "n1") as (n0, n1), members("n2", cluster="d") as (n2,):
        at = [Address(*member.links._server.sockets[0].getsockname()) for member in (n0, n1, n2)]
        n0.links.move({"n7": at[1], "n2": at[2], "n8": at[0]})
        for name in ("n7", "n2", "n8"):
            assert n0.say(name, 1)
        await until(lambda: all(n0.counts.closed[why] for why in ("other_name", "own_name", "lost")))
        assert n1.heard == n2.heard == n0.heard == []
        assert n2.counts.closed["other_cluster"] and n0.links.status()["up"] == []


@virtual
async def test_who_does_not_say_who_it_is_is_closed(quick):
    async with members("n0") as (n0,):
        raw = await Raw.open(n0, "")
        assert await raw.closed() and n0.counts.closed == {"no_greeting": 1}


@virtual
async def test_strangers_and_followers_are_bounded_and_keep_no_member_out(monkeypatch):
    monkeypatch.setattr(links, "STRANGERS_MOST", 5)
    monkeypatch.setattr(links, "FOLLOWERS_MOST", 3)
    async with members("n0", "n1") as (n0, n1):
        strangers = [await Raw.open(n0, "") for _ in range(20)]
        await until(lambda: n0.counts.closed["crowded"] == 15)
        assert n0.links.status()["taken"] == {"stranger": 5}
        followers = [await Raw.greeted(n0, f"f{number}") for number in range(3)]
        late = await Raw.open(n0, "f3")
        assert await late.closed()
        n1.say("n0", 1)
        await until(lambda: n0.heard == [("n1", 1)])
        assert n0.links.status()["taken"]["follower"] == 3 and n0.links.status()["taken"]["member"] == 1
        again = await Raw.greeted(n0, "f0")  # in place of itself
        assert await followers[0].closed()
        for raw in (*strangers, *followers, again):
            raw.writer.transport.abort()


# --- clients --------------------------------------------------------------------------------------


@virtual
async def test_a_client_is_answered_on_its_connection():
    async with members("n0") as (n0,):
        address = Address(*n0.links._server.sockets[0].getsockname())
        asked = functools.partial(ask, address, "c", within_s=PATIENCE_S)
        told = await asyncio.gather(*(asked(message=Question(number, "status")) for number in range(5)))
        assert told == [Reply(number, {"what": "status"}) for number in range(5)]
        n0.links._asked = lambda client, message: (
            n0.links.reply(client, Proposed("other", "durable", 1)),
            n0.links.reply(client, Proposed(message.id, "durable", 2)),
        )
        assert await asked(message=Propose("mine", 0, {})) == Proposed("mine", "durable", 2)
        await until(lambda: not n0.links._taken)
        assert n0.heard == [] and not n0.links.reply(1, Reply(1, 0))


@virtual
async def test_a_question_without_an_answer_is_one_line(monkeypatch):
    async with members("n0") as (n0,):
        address = Address(*n0.links._server.sockets[0].getsockname())
        n0.links._asked = lambda client, message: None
        with pytest.raises(AskError, match=r"^127.0.0.1:\d+: no answer within 0.05 s$"):
            await ask(address, "c", Question(1, "status"), 0.05)
        with pytest.raises(AskError, match="closed without an answer"):
            await ask(address, "d", Question(1, "status"), PATIENCE_S)
        with pytest.raises(AskError, match=r"^127\.0\.0\.1:9: "):
            await ask(NOBODY, "c", Question(1, "status"), PATIENCE_S)
        monkeypatch.setattr(links, "CLIENTS_MOST", 2)
        clients = [await Raw.greeted(n0, "@x") for _ in range(2)]
        with pytest.raises(AskError, match="closed without an answer"):
            await ask(address, "c", Question(1, "status"), PATIENCE_S)
        for raw in clients:
            raw.writer.transport.abort()


@virtual
async def test_a_client_may_ask_and_propose_and_no_more():
    async with members("n0") as (n0,):
        client = await Raw.greeted(n0, "@x")
        client.say(1, sender="@x")
        client.write(frames.payload_of(Envelope("c", "@x", "n0", Question(3, "log"))))
        await until(lambda: n0.questions)
        assert n0.heard == [] and n0.counts.dropped == {"other_kind": 1}
        client.writer.transport.abort()


# --- hostile frames -------------------------------------------------------------------------------


@virtual
async def test_what_is_of_another_cluster_sender_or_for_another_is_dropped_and_counted():
    async with members("n0") as (n0,):
        raw = await Raw.greeted(n0)
        raw.say(1, cluster="d")
        raw.say(2, sender="n1")
        raw.say(3, to="n1")
        raw.say(4)
        await until(lambda: n0.heard)
        assert n0.heard == [("n9", 4)]
        assert n0.counts.dropped == {"other_cluster": 1, "other_sender": 1, "other_to": 1}
        raw.writer.transport.abort()


@virtual
async def test_what_was_recorded_and_is_said_again_is_dropped():
    async with members("n0") as (n0,):
        raw = await Raw.greeted(n0)
        record = bytearray()
        write = raw.writer.write
        raw.writer.write = lambda data: (record.extend(data), write(data))
        raw.say(1)
        await until(lambda: n0.heard)
        write(bytes(record))  # on the same connection
        assert await raw.closed()
        again = await Raw.greeted(n0)
        again.writer.write(bytes(record))  # and on another
        assert await again.closed()
        assert n0.heard == [("n9", 1)] and n0.counts.dropped == {"checksum": 2}


def resident_kb():
    """What this process has in memory."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * 4


GARBAGE = {
    "random": lambda rng: rng.randbytes(2**16),
    "zeros": lambda rng: bytes(2**16),
    "huge": lambda rng: b"\xff" * 2**16,
    "other": lambda rng: b"GET / HTTP/1.1\r\nHost: a\r\n\r\n" * 1000,
}


@virtual
async def test_garbage_from_fifty_connections_reaches_nobody_and_takes_no_memory():
    """Half of them say it at once, and half in the midst of a frame of the most that there may be."""
    rng = random.Random(4)
    async with members("n0", "n1") as (n0, n1):
        before = resident_kb()
        peak = 0

        async def flood(number):
            nonlocal peak
            kind = list(GARBAGE)[number % 4]
            for _ in range(10):
                raw = await (Raw.open(n0, "") if number % 2 else Raw.greeted(n0, f"f{number}"))
                with contextlib.suppress(ConnectionError):
                    if number % 2 == 0:
                        raw.writer.write(raw.packer.head(bytes(FRAME_MOST)))
                    for _ in range(20):
                        raw.writer.write(GARBAGE[kind](rng))
                        async with asyncio.timeout(PATIENCE_S):
                            await raw.writer.drain()
                        peak = max(peak, resident_kb())
                raw.writer.transport.abort()

        floods = [asyncio.create_task(flood(number)) for number in range(50)]
        n1.say("n0", 1)
        await asyncio.gather(*floods)
        await until(lambda: ("n1", 1) in n0.heard)
        assert n0.heard == [("n1", 1)]
        whys = ("long", "checksum", "crowded", "lost", "replaced")
        await until(lambda: sum(n0.counts.closed[why] for why in whys) == 500 and n0.links.held == 0)
        print("resident KB", peak - before)
        assert peak - before < 2 * lines.HELD_MOST // 1024 + 50 * 256


@virtual
async def test_frames_that_are_never_whole_are_held_up_to_a_bound_over_all(monkeypatch):
    monkeypatch.setattr(lines, "HELD_MOST", 3 * 2**20)
    async with members("n0") as (n0,):
        raws = [await Raw.greeted(n0, f"f{number}") for number in range(5)]
        for raw in raws:
            raw.writer.write(raw.packer.head(bytes(FRAME_MOST)) + bytes(2**20))
            await raw.writer.drain()
        await until(lambda: n0.counts.closed["crowded"] == 3)
        assert n0.links.held <= lines.HELD_MOST
        for raw in raws:
            raw.writer.transport.abort()
        await until(lambda: n0.links.held == 0)


@virtual
async def test_probes_are_answered_and_who_takes_no_answers_is_sent_no_more():
    async with members("n0") as (n0,):
        raw = await Raw.greeted(n0)
        raw.write(PROBE, PROBE)
        await raw.until(lambda: raw.came[1:] == [None, None])
        raw.writer.transport.pause_reading()
        (line,) = n0.links._taken.values()
        line.pause_writing()
        written = line.written
        raw.write(*[PROBE] * 100)
        raw.say(1)
        await until(lambda: n0.heard)
        assert line.written == written
        raw.writer.transport.abort()


@virtual
async def test_once_closed_nothing_is_left_and_nothing_begins():
    own = asyncio.all_tasks()
    with hanging() as address:
        async with members("n0", "n1") as (n0, n1):
            n0.say("n1", 1)
            await until(lambda: n1.heard)
            n0.links.move({"n1": address})
            n0.say("n1", 2)
            await until(lambda: n0.links._links["n1"]._dialling)
            for member in (n0, n1):
                member.links.close()
            assert n0.links.made_room.bytes == 0 and n0.counts.dropped == {"gone": 1}
            assert n0.links._sweeping.cancelled() and not n1.links._taken
            assert not n0.say("n1", 2) and not n1.say("n0", 2)
            for _ in range(3):
                await asyncio.sleep(0)
            assert asyncio.all_tasks() == own and n0.line is None
            server = await asyncio.start_server(lambda *ends: None, "127.0.0.1", 0)
            late = await n1.links.loop.create_connection(n1.links._accept, *server.sockets[0].getsockname())
            assert late[1].gone  # what was accepted as it was closed
            server.close()
            assert n0.links.descriptors_most == 2 + 64 + 16 + 128 + 64 + 1

"""The ways between nodes: a relay for each pair, UDP and TCP, with faults of each direction to be switched.

Every node reaches each other one under an address of the relay's, so that both directions of each pair can
fail by themselves. What a sender's kernel took and the relay did not pass on is counted, so that a cut can be
seen to be one. TCP keeps its promises: what is held back arrives later in order, or its connection is reset.
A fault that delays or holds lets go of all that waits as soon as it is over.

| way | TCP | UDP |
| --- | --- | --- |
| cut | held, at most `MAX_HELD_BYTES` of a direction; so are ends and resets | lost, what is on its way too |
| stall | as a cut | held, `MAX_STALLED_DATAGRAMS` datagrams of a direction, what is more is lost |
| loss | later by `RETRANSMIT_MS` for each time that it is lost | lost |
| late | later | later; what comes behind may overtake |
| reorder, double | none: TCP puts that right | 5 to 50 ms later; twice |
| narrow | in pieces at that rate | at that rate; what would wait longer than `MAX_NARROW_WAIT_S` is lost |
| reset | the connection ends at both ends with half a read passed | none: it has no connections |
| half_open | the connection is gone at its far end only | none |
| flip | one bit of a read | one bit of a datagram |

What the relay can't do: keep a connection from coming up, since the kernel accepts it. Through a cut a new
connection comes up and stays silent, as behind many middle boxes, and is reset after `HELD_CONNECT_S` of it.
"""

from __future__ import annotations

import asyncio
import contextlib
import heapq
import random
import select
import socket
import struct
from collections import deque
from collections.abc import Awaitable, Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Any, Protocol, cast

from msgspec import Struct

from rig.cluster.schedules import Link, Way
from rig.lag import LagWatch

MAX_HELD_BYTES = 256 * 1024  # bytes of one direction of a connection that the relay holds
CHUNK = 64 * 1024  # bytes of one read, of a datagram too
MAX_PENDING_DATAGRAMS = 20_000  # datagrams on their way
MAX_PENDING_BYTES = 64 * 2**20
MAX_STALLED_DATAGRAMS = 1000  # datagrams of one direction that a stall holds
MAX_CONNECTIONS = 20_000
MAX_FAULTS = 10_000
BACKLOG = 1024
MAX_READ_ROUNDS = 32  # rounds of datagrams that are read before anything else has its turn
MAX_EVENTS_A_ROUND = 64  # sockets of one round
RETRANSMIT_MS = 200.0  # what a lost segment costs on TCP
REORDER_MS = (5.0, 50.0)
MAX_LAG_MS = 10.0  # at the 99th percentile: a relay that is later than that was the fault itself
DIAL_S = 5.0
HELD_CONNECT_S = 60.0  # that a new connection waits for a cut to end
IDLE_S = 600.0  # that a connection may carry nothing
SWEEP_S = 5.0
MAX_NARROW_WAIT_S = 2.0
PIECE_S, MIN_PIECE_BYTES = 0.02, 16  # of a narrow link: time and bytes of what goes on at once
TIMER_S = 0.0002  # timers may fire so much early
NO_LINGER = struct.pack("ii", 1, 0)
SO_MEMINFO, MEMINFO, DROPS = 55, struct.Struct("9I"), 8  # of Linux: what a socket's full buffer dropped

Address = tuple[str, int]
DELAYS: frozenset[Way] = frozenset({"late", "reorder", "narrow", "loss"})


class TcpLink(Struct, frozen=True, tag=True):
    """Where `src` reaches `dst`, which listens at `target`; a port is chosen where it is 0."""

    src: str
    dst: str
    target: Address
    host: str = "127.0.0.1"
    port: int = 0

    @property
    def ends(self) -> tuple[str, str]:
        """Whose link it is."""
        return self.src, self.dst


class UdpLink(Struct, frozen=True, tag=True):
    """Both directions of a pair: what comes from `one_at` goes to `other_at`, and back."""

    one: str
    other: str
    one_at: Address
    other_at: Address

    @property
    def ends(self) -> tuple[str, str]:
        """Whose link it is."""
        return self.one, self.other


def wrong_address(address: Address) -> str:
    """What is wrong with where an end is; empty where nothing is. Names are none: they would be looked up."""
    host, port = address
    try:
        socket.inet_pton(socket.AF_INET, host)
    except OSError:
        return f"{host!r} is no IPv4 address"
    return "" if 0 < port < 65536 else f"{port} is no port"


@dataclass(slots=True)
class Counts:
    """What one direction of one link carried, for both protocols."""

    taken: int = 0  # bytes that the sender's side gave
    passed: int = 0  # bytes that the other side was given
    lost: int = 0  # bytes that it will never be given
    doubled: int = 0  # bytes that a fault added
    came: int = 0  # datagrams that the sender's side gave
    messages: int = 0  # datagrams passed on
    dropped: int = 0  # datagrams that were not
    resets: int = 0

    @property
    def held(self) -> int:
        """Bytes that wait now."""
        return self.taken + self.doubled - self.passed - self.lost


class State:
    """How one direction of one link is now."""

    __slots__ = (
        "_relay",
        "_rngs",
        "_timer",
        "_waiting",
        "amounts",
        "clear",
        "counts",
        "cut",
        "delays",
        "dst",
        "faults",
        "flows",
        "free_at",
        "held",
        "src",
        "stalled",
    )

    def __init__(self, relay: Relay, src: str, dst: str, faults: Iterable[Link]) -> None:
        self._relay = relay
        self.src, self.dst = src, dst
        self.faults = list(faults)
        self.counts = Counts()
        self.free_at = 0.0  # of a narrow link: when it can carry the next byte
        self.flows: set[Flow] = set()  # that hold something
        self._rngs: dict[Way, random.Random] = {}
        self._waiting: list[tuple[float, int, bytes, UdpSocket, Address]] = []  # a heap of datagrams
        self._timer: asyncio.TimerHandle | None = None
        self.changed()

    def changed(self) -> None:
        """Act on the faults as they are now."""
        amounts: dict[Way, float] = {}
        for fault in self.faults:
            amounts[fault.way] = max(amounts.get(fault.way, 0.0), fault.amount or 1.0)
        self.amounts = amounts
        self.clear = not amounts  # read for each message
        self.cut = "cut" in amounts
        self.stalled = "stall" in amounts
        self.held = self.cut or self.stalled  # whether nothing passes
        self.delays = not DELAYS.isdisjoint(amounts)
        if "narrow" not in amounts:
            self.free_at = 0.0
        if self._waiting:
            self._due()
        if self.flows:
            for flow in list(self.flows):
                flow.pump()

    def rng(self, way: Way) -> random.Random:
        """The random stream of one way of one direction, named after them: others don't move it."""
        if way not in self._rngs:
            self._rngs[way] = random.Random(f"{self._relay.seed}/link/{self.src}/{self.dst}/{way}")
        return self._rngs[way]

    def strikes(self, way: Way) -> bool:
        """Whether a fault strikes this time."""
        share = self.amounts.get(way)
        return share is not None and self.rng(way).random() < share

    def late_ms(self) -> float:
        """How late the next one is to be."""
        late_ms = self.amounts.get("late")
        return late_ms * self.rng("late").uniform(0.7, 1.3) if late_ms else 0.0

    def datagram(self, data: bytes, udp: UdpSocket, to: Address) -> None:
        """Let a datagram that came go its way, or not, where there is a fault."""
        if self.cut or self.strikes("loss"):
            self._drop(len(data))
            return
        if self.strikes("flip"):
            data = flipped(data, self.rng("flip"))
        if self.strikes("double"):
            self.counts.doubled += len(data)
            self._send_later(data, udp, to)
        self._send_later(data, udp, to)

    def _send_later(self, data: bytes, udp: UdpSocket, to: Address) -> None:
        wait_ms = self.late_ms()
        if self.strikes("reorder"):
            wait_ms += self.rng("reorder").uniform(*REORDER_MS)
        now = self._relay.loop.time()
        if narrow := self.amounts.get("narrow"):
            if self.free_at - now > MAX_NARROW_WAIT_S:
                self._drop(len(data))
                return
            self.free_at = max(now, self.free_at) + len(data) / narrow
            wait_ms += (self.free_at - now) * 1000.0
        if not wait_ms and not self.stalled:
            udp.send(self, data, to)
            return
        full = self.stalled and len(self._waiting) >= MAX_STALLED_DATAGRAMS
        if full or not self._relay.reserve_pending(len(data)):
            self._drop(len(data))
            return
        row = (now + wait_ms / 1000.0, self._relay.next_number(), data, udp, to)
        heapq.heappush(self._waiting, row)
        if self._waiting[0] is row:
            self._due()

    def _due(self) -> None:
        """Send what has waited for as long as it was to."""
        self.stop()
        now = self._relay.loop.time() + TIMER_S
        waiting = self._waiting
        while waiting and not self.stalled and (not self.delays or waiting[0][0] <= now):
            _, _, data, udp, to = heapq.heappop(waiting)
            self._relay.release_pending(len(data))
            if self.cut:
                self._drop(len(data))  # it was on its way as the link was cut
            else:
                udp.send(self, data, to)
        if waiting and not self.stalled:
            self._timer = self._relay.loop.call_at(waiting[0][0], self._due)

    def _drop(self, size: int) -> None:
        self.counts.dropped += 1
        self.counts.lost += size

    def stop(self) -> None:
        """Send nothing by itself any more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class Relay:
    """All links between some ends. `start` first; then `tcp` and `udp` for each pair that is wanted."""

    def __init__(self, seed: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.seed = seed
        self.buffer = bytearray(CHUNK)  # what is read goes through it, one read at a time
        self.view = memoryview(self.buffer)
        self.pairs: set[Pair] = set()
        self.unknown_senders = 0  # datagrams from neither end of a pair
        self.pending = 0  # datagrams that wait
        self._pending_bytes = 0
        self._number = 0
        self._refused = 0  # connections past the bound
        self._overflowed = 0  # datagrams past the bound
        self._idle = 0  # connections that the relay itself ended
        self._overrun = 0  # datagrams that the kernel had dropped when the judging began
        self._states: dict[str, dict[str, State]] = {}  # by source, by destination
        self._faults: list[Link] = []
        self._change = asyncio.Event()
        self._serving: list[asyncio.Task[asyncio.Server]] = []
        self._listeners: list[socket.socket] = []
        self._udp_sockets: dict[int, UdpSocket] = {}
        self._epoll = select.epoll()
        self._sweeping: asyncio.TimerHandle | None = None
        self._lag = LagWatch()
        # Told what TCP bytes go on, from whom and to whom, as they do.
        self.watch: Callable[[str, str, bytes], None] | None = None

    def start(self) -> Relay:
        """Watch the loop that runs."""
        self._lag.start()
        # An epoll in the loop's own: one callback for all sockets that are ready, not one for each.
        self.loop.add_reader(self._epoll.fileno(), self._read_datagrams)
        self._sweeping = self.loop.call_later(SWEEP_S, self._sweep)
        return self

    async def stop(self) -> None:
        """Close all links."""
        self._lag.stop()
        if self._sweeping is not None:
            self._sweeping.cancel()
        self.loop.remove_reader(self._epoll.fileno())
        self._epoll.close()
        for row in self._states.values():
            for state in row.values():
                state.stop()
        for udp in self._udp_sockets.values():
            udp.sock.close()
        self._udp_sockets.clear()
        for server in await asyncio.gather(*self._serving, return_exceptions=True):
            if isinstance(server, asyncio.Server):
                server.close()
        for sock in self._listeners:
            sock.close()
        dials = [pair.dialling for pair in self.pairs if pair.dialling is not None]
        for pair in list(self.pairs):
            pair.reset()
        await asyncio.gather(*dials, return_exceptions=True)
        await asyncio.sleep(0)  # transports that were aborted close in the next turn

    def forget_lag(self) -> None:
        """Judge from now on only."""
        self._lag.clear()
        self._refused = self._overflowed = self._idle = 0
        self._overrun = self._dropped_by_kernel()

    @property
    def lag_p99_ms(self) -> float:
        """How late the loop was at the 99th percentile."""
        return self._lag.summary()["p99_ms"]

    @property
    def unsound(self) -> str:
        """Why a run can't be believed: the relay itself was a fault; empty where it was not."""
        late_ms, overrun = self.lag_p99_ms, self._dropped_by_kernel() - self._overrun
        wrong = (
            (late_ms > MAX_LAG_MS, f"the relay was late by {late_ms:.1f} ms at the 99th percentile"),
            (overrun, f"{overrun} datagrams were lost before the relay read them"),
            (self._overflowed, f"{self._overflowed} datagrams more than the relay holds were lost"),
            (self._refused, f"{self._refused} connections more than the relay holds were refused"),
            (self._idle, f"{self._idle} connections were ended that carried nothing for {IDLE_S:.0f} s"),
        )
        return "; ".join(text for is_so, text in wrong if is_so)

    def state(self, src: str, dst: str) -> State:
        """One direction of a pair."""
        row = self._states.setdefault(src, {})
        if dst not in row:
            on = [fault for fault in self._faults if src in fault.src and dst in fault.dst and src != dst]
            row[dst] = State(self, src, dst, on)
        return row[dst]

    def counts(self) -> dict[tuple[str, str], Counts]:
        """What each direction that was made or asked for carried."""
        rows = self._states.items()
        return {(src, dst): state.counts for src, row in rows for dst, state in row.items()}

    # --- faults --------------------------------------------------------------------

    def begin(self, fault: Link) -> None:
        """From now on."""
        self.change([(True, fault)])

    def end(self, fault: Link) -> None:
        """No more; one that has not begun, or has ended, changes nothing."""
        self.change([(False, fault)])

    def prepare(self, faults: Sequence[Link]) -> None:
        """Hear of faults to come: nothing is to be done for them here."""

    def change(self, rows: Sequence[tuple[bool, Link]]) -> None:
        """Begin (True) and end faults in this order; `ValueError` for one more than `MAX_FAULTS` at once."""
        touched: dict[State, None] = {}
        for begins, fault in rows:
            if begins and len(self._faults) >= MAX_FAULTS:
                raise ValueError(f"more than {MAX_FAULTS} faults at once")
            if not begins and fault not in self._faults:
                continue
            (self._faults.append if begins else self._faults.remove)(fault)
            for state in self._of(fault):
                (state.faults.append if begins else state.faults.remove)(fault)
                touched[state] = None
        for state in touched:
            state.changed()
        self._change.set()
        self._change = asyncio.Event()

    def _of(self, fault: Link) -> list[State]:
        """The directions that are there and have this fault; later ones look for themselves."""
        made = []
        for src in fault.src:
            if row := self._states.get(src):
                made += [row[dst] for dst in fault.dst if dst in row and dst != src]
        return made

    async def wait_until_passable(self, src: str, dst: str) -> None:
        """Wait until both directions of a pair let something pass."""
        one, other = self.state(src, dst), self.state(dst, src)
        while one.held or other.held:
            await self._change.wait()

    # --- TCP -----------------------------------------------------------------------

    async def tcp(
        self, src: str, dst: str, target: Address, host: str = "127.0.0.1", port: int = 0
    ) -> Address:
        """Where `src` reaches `dst`, which listens at `target`, from now on; `OSError` where it can't be."""
        return self.make(TcpLink(src, dst, target, host, port))

    async def udp(self, one: str, other: str, one_at: Address, other_at: Address) -> Address:
        """Where `one`, which sends from `one_at`, reaches `other`, and where that one reaches it."""
        return self.make(UdpLink(one, other, one_at, other_at))

    def make(self, link: TcpLink | UdpLink) -> Address:
        """Make a link at once; its address. `OSError` where it can't be, `ValueError` for a wrong end."""
        ends = [link.one_at, link.other_at] if isinstance(link, UdpLink) else [link.target]
        for wrong in filter(None, map(wrong_address, ends)):
            raise ValueError(wrong)
        if isinstance(link, UdpLink):
            udp = UdpSocket(self, link)
            self._udp_sockets[udp.sock.fileno()] = udp
            self._epoll.register(udp.sock.fileno(), select.EPOLLIN)
            return cast(Address, udp.sock.getsockname())
        for end, other in ((link.src, link.dst), (link.dst, link.src)):
            self.state(end, other)
        sock = socket.create_server((link.host, link.port), backlog=BACKLOG)
        # It listens by now: what connects before the loop serves it waits in the backlog.
        serving = self.loop.create_server(lambda: Pair(self, link).near, sock=sock, backlog=BACKLOG)
        self._listeners.append(sock)
        self._serving.append(self.loop.create_task(serving))
        return cast(Address, sock.getsockname())

    def opened(self, pair: Pair) -> bool:
        """A new connection; whether it is within the bound."""
        if len(self.pairs) >= MAX_CONNECTIONS:
            self._refused += 1
            return False
        self.pairs.add(pair)
        return True

    def _sweep(self) -> None:
        """End connections that have carried nothing for too long."""
        bound = self.loop.time() - IDLE_S
        for pair in [pair for pair in self.pairs if pair.used_at < bound]:
            self._idle += not pair.half_open
            pair.reset()
        self._sweeping = self.loop.call_later(SWEEP_S, self._sweep)

    # --- UDP -----------------------------------------------------------------------

    def _read_datagrams(self) -> None:
        for _ in range(MAX_READ_ROUNDS):
            ready = self._epoll.poll(0, MAX_EVENTS_A_ROUND)
            for number, _ in ready:
                self._udp_sockets[number].read()
            if len(ready) < MAX_EVENTS_A_ROUND:
                return

    def next_number(self) -> int:
        """1 more each time: what is due at one time goes in the order in which it came."""
        self._number += 1
        return self._number

    def reserve_pending(self, size: int) -> bool:
        """Whether one more datagram may wait."""
        if self.pending >= MAX_PENDING_DATAGRAMS or self._pending_bytes + size > MAX_PENDING_BYTES:
            self._overflowed += 1
            return False
        self.pending += 1
        self._pending_bytes += size
        return True

    def release_pending(self, size: int) -> None:
        """One waits no more."""
        self.pending -= 1
        self._pending_bytes -= size

    def _dropped_by_kernel(self) -> int:
        return sum(udp.dropped_by_kernel for udp in self._udp_sockets.values())


class UdpSocket:
    """The address of one pair: the same for both directions."""

    __slots__ = ("_relay", "_ways", "sock")

    def __init__(self, relay: Relay, link: UdpLink) -> None:
        if link.one_at == link.other_at:
            raise ValueError(f"{link.one} and {link.other} are both at {link.one_at}")
        self._relay = relay
        self._ways: dict[Address, tuple[State, Address]] = {
            link.one_at: (relay.state(link.one, link.other), link.other_at),
            link.other_at: (relay.state(link.other, link.one), link.one_at),
        }
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
        try:
            self.sock.bind(("127.0.0.1", 0))
        except OSError:
            self.sock.close()
            raise

    def read(self) -> None:
        """Take one datagram that is there; with no fault it goes straight on."""
        relay = self._relay
        try:
            size, at = self.sock.recvfrom_into(relay.buffer)
        except OSError:
            return
        way = self._ways.get(at)
        if way is None:
            relay.unknown_senders += 1
            return
        state, to = way
        state.counts.came += 1
        state.counts.taken += size
        if state.clear:
            self.send(state, relay.view[:size], to)
        else:
            state.datagram(bytes(relay.view[:size]), self, to)

    def send(self, state: State, data: bytes | memoryview, to: Address) -> None:
        """Pass a datagram on."""
        counts = state.counts
        try:
            self.sock.sendto(data, to)
        except OSError:  # nobody is there, or its buffer is full
            counts.dropped += 1
            counts.lost += len(data)
            return
        counts.messages += 1
        counts.passed += len(data)

    @property
    def dropped_by_kernel(self) -> int:
        """Datagrams that found this socket's buffer full."""
        meminfo = self.sock.getsockopt(socket.SOL_SOCKET, SO_MEMINFO, MEMINFO.size)
        return int(MEMINFO.unpack(meminfo)[DROPS])


class End(asyncio.BufferedProtocol):
    """One socket of a connection: what it says goes `out`, and what `into` carries goes to it."""

    def __init__(self, pair: Pair) -> None:
        self._pair = pair
        self.transport: asyncio.Transport | None = None
        self.out: Flow
        self.into: Flow
        self.full = False  # it takes no more for now
        self.gone = False
        self._ended = False

    def connection_made(self, transport: Any) -> None:
        """It is up."""
        self.transport = transport
        self._pair.up(self)

    def get_buffer(self, sizehint: int) -> bytearray:
        """Where the next read goes."""
        return self._pair.relay.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Something was read."""
        self.out.feed(bytes(self._pair.relay.view[:nbytes]))

    def eof_received(self) -> bool:
        """It says nothing more, and still hears."""
        self._ended = True
        if self._pair.half_open:
            self._pair.reset()  # nobody is left to say anything to it
        else:
            self.out.finish(whole=True)
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """It is gone."""
        self.gone = True
        self._pair.lost(self)

    def pause_writing(self) -> None:
        """It takes no more for now."""
        self.full = True
        self.into.update_reading()

    def resume_writing(self) -> None:
        """It takes more."""
        self.full = False
        self.into.pump()

    def read_on(self, on: bool) -> None:
        """Read what it says, or leave that to its kernel."""
        if self.transport is not None and not self._ended and not self.gone:
            (self.transport.resume_reading if on else self.transport.pause_reading)()

    def reset(self) -> int:
        """End it with a reset; how many bytes it was never given."""
        if self.transport is None or self.gone:
            return 0
        unsent = self.transport.get_write_buffer_size()
        with contextlib.suppress(OSError):
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        self.transport.abort()
        return unsent


class Flow:
    """One direction of one connection: what is held of it, in order, and how it ended."""

    __slots__ = (
        "_last_due",
        "_pair",
        "_queue",
        "_size",
        "_slot",
        "_source",
        "_state",
        "_target",
        "_timer",
        "_discards",
        "_ended_cleanly",
        "ended",
    )

    def __init__(self, pair: Pair, state: State, source: End, target: End) -> None:
        self._pair, self._state = pair, state
        self._source, self._target = source, target
        # When it is due, what it is, and whether it was drawn what becomes of it; no bytes are the end.
        self._queue: deque[tuple[float, bytes, bool]] = deque()
        self._size = 0
        self._last_due = 0.0
        self._slot: float | None = None  # of a narrow link: when the piece that is next has gone
        self._timer: asyncio.TimerHandle | None = None
        self._ended_cleanly = True
        self._discards = False  # what comes goes nowhere
        self.ended = False

    def feed(self, data: bytes) -> None:
        """What was said: on its way, or held."""
        state = self._state
        state.counts.taken += len(data)
        self._pair.used_at = self._pair.relay.loop.time()
        if self._discards:
            state.counts.lost += len(data)
        elif state.clear and not self._queue:
            self._write(data)
        else:
            self._size += len(data)
            self._add(data)

    def finish(self, whole: bool) -> None:
        """Nothing more comes: its end is news, too, and waits like any other. Not `whole`: it was reset."""
        self._ended_cleanly = self._ended_cleanly and whole
        self._add(b"")

    def _add(self, data: bytes) -> None:
        state = self._state
        if not state.delays:
            self._last_due = 0.0
        else:
            wait_ms = state.late_ms()
            while "loss" in state.amounts and state.rng("loss").random() < min(0.9, state.amounts["loss"]):
                wait_ms += RETRANSMIT_MS
            self._last_due = max(self._last_due, self._pair.relay.loop.time() + wait_ms / 1000.0)
        self._queue.append((self._last_due, data, False))
        state.flows.add(self)
        self.pump()

    def pump(self) -> None:
        """Pass on what may go now."""
        self.stop()
        while self._queue and not self._state.held and not self._target.full and self._next():
            pass
        if not self._queue:
            self._state.flows.discard(self)
        self.update_reading()

    def _next(self) -> bool:
        """Pass on the first of what is held, or a piece of it; whether to go on."""
        due, data, drawn = self._queue[0]
        now = self._pair.relay.loop.time() + TIMER_S
        if self._state.delays and due > now:
            self._later(due)
            return False
        if not data:
            self._queue.popleft()
            self._end()
            return False
        if not drawn:
            if self._breaks_connection(data):
                return False
            if self._state.strikes("flip"):
                data = flipped(data, self._state.rng("flip"))
            self._queue[0] = (due, data, True)
        piece = data
        if narrow := self._state.amounts.get("narrow"):
            piece = data[: max(MIN_PIECE_BYTES, int(narrow * PIECE_S))]
            if self._slot is None:
                self._slot = self._state.free_at = max(now, self._state.free_at) + len(piece) / narrow
            if self._slot > now:
                self._later(self._slot)
                return False
        self._slot = None
        self._queue.popleft()
        if len(piece) < len(data):
            self._queue.appendleft((due, data[len(piece) :], True))
        self._size -= len(piece)
        self._write(piece)
        return True

    def _breaks_connection(self, data: bytes) -> bool:
        """Whether a fault ends the connection here."""
        state = self._state
        if state.strikes("reset"):
            state.counts.resets += 1
            half = data[: len(data) // 2]
            self._size -= len(half)
            self._queue[0] = (0.0, data[len(half) :], True)
            self._write(half)
            self._pair.reset()
            return True
        if state.strikes("half_open"):
            # The far end is gone and the near one is not told; what it sends goes nowhere.
            self._pair.abort_one_end(self._target)
            return True
        return False

    def _write(self, data: bytes) -> None:
        state, target = self._state, self._target
        if target.gone or target.transport is None:
            state.counts.lost += len(data)
            return
        if self._pair.relay.watch is not None:
            self._pair.relay.watch(state.src, state.dst, data)
        state.counts.passed += len(data)
        target.transport.write(data)

    def _end(self) -> None:
        if not self._ended_cleanly:
            self._pair.reset()
            return
        self.ended = True
        if self._target.transport is not None and not self._target.gone:
            with contextlib.suppress(OSError):  # the kernel knows of a reset that the loop has yet to hear of
                self._target.transport.write_eof()
        self._pair.ended()

    def _later(self, at: float) -> None:
        self._timer = self._pair.relay.loop.call_at(at, self.pump)

    def stop(self) -> None:
        """Do nothing by itself until something comes."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def update_reading(self) -> None:
        """Leave what is more than may be held to the sender's kernel."""
        self._source.read_on(not self._target.full and self._size <= MAX_HELD_BYTES - CHUNK)

    def drop(self, unsent: int) -> None:
        """What is held, and so many bytes that were passed and did not get there, are lost; more will be."""
        self.stop()
        self._state.counts.lost += self._size + unsent
        self._state.counts.passed -= unsent
        self._state.flows.discard(self)
        self._queue.clear()
        self._size = 0
        self._discards = True
        self._source.read_on(True)  # so that its end is seen


class Pair:
    """One connection through the relay: its two sockets, and the flows between them."""

    def __init__(self, relay: Relay, link: TcpLink) -> None:
        self.relay = relay
        self._link = link
        self.used_at = relay.loop.time()
        self.half_open = False  # gone at one end, and the other is not told
        self.dialling: asyncio.Task[None] | None = None
        self._gone_end: End | None = None
        self._over = False
        self.near, self.far = End(self), End(self)
        there, back = relay.state(link.src, link.dst), relay.state(link.dst, link.src)
        self.near.out = self.far.into = Flow(self, there, self.near, self.far)
        self.far.out = self.near.into = Flow(self, back, self.far, self.near)

    def up(self, end: End) -> None:
        """One of its sockets is up; the near one waits for the far one."""
        if self._over or (end is self.near and not self.relay.opened(self)):
            end.reset()
        elif end is self.near:
            end.read_on(False)
            self.dialling = self.relay.loop.create_task(self._dial())

    async def _dial(self) -> None:
        link = self._link
        try:
            async with asyncio.timeout(HELD_CONNECT_S):
                await self.relay.wait_until_passable(link.src, link.dst)  # its handshake needs both ways
            async with asyncio.timeout(DIAL_S):
                await self.relay.loop.create_connection(lambda: self.far, *link.target)
        except (OSError, TimeoutError):
            self.reset()
            return
        finally:
            self.dialling = None
        self.near.read_on(True)

    def ended(self) -> None:
        """A flow has come to its end; with both, so has the connection."""
        if self.near.out.ended and self.far.out.ended:
            for end in (self.near, self.far):
                if end.transport is not None:
                    end.transport.close()

    def lost(self, end: End) -> None:
        """One of its sockets is gone: what was to go to it is lost, and the other hears of it in time."""
        self._forget()
        if self._over:
            return
        if self.half_open:
            if end is not self._gone_end:
                self.reset()
            return
        end.into.drop(0)
        if not (self.near.out.ended and self.far.out.ended):
            end.out.finish(whole=False)

    def abort_one_end(self, end: End) -> None:
        """This end is gone, and the other is not told."""
        other = self.far if end is self.near else self.near
        self.half_open, self._gone_end = True, end
        end.into.drop(end.reset())
        end.gone = True
        other.into.drop(0)

    def reset(self) -> None:
        """End it now at both ends."""
        if self._over:
            return
        self._over = True
        if self.dialling is not None and self.dialling is not asyncio.current_task():
            self.dialling.cancel()
        for end in (self.near, self.far):
            end.into.drop(end.reset())
        self._forget()

    def _forget(self) -> None:
        if self._over or all(end.gone or end.transport is None for end in (self.near, self.far)):
            self.relay.pairs.discard(self)


def flipped(data: bytes, rng: random.Random) -> bytes:
    """The same with one bit changed; of nothing, nothing."""
    if not data:
        return data
    made = bytearray(data)
    made[rng.randrange(len(made))] ^= 1 << rng.randrange(8)
    return bytes(made)


def address_of(number: int) -> str:
    """A loopback address of a node's own; the first thousand nodes have one."""
    if not 0 <= number < 1000:
        raise ValueError(f"{number} is not from 0 to 999")
    return f"127.77.{number // 250}.{number % 250 + 1}"


def free_port(host: str) -> int:
    """A port at an address that nobody holds now."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


class Changes(Protocol):
    """What has faults that begin and end: a `Relay`, or `Relays`."""

    def prepare(self, faults: Sequence[Link], /) -> Awaitable[None] | None:
        """Hear of faults to come."""

    def change(self, rows: Sequence[tuple[bool, Link]], /) -> Awaitable[None] | None:
        """Begin (True) and end faults in this order."""


async def _done(asked: Awaitable[None] | None) -> None:
    if asked is not None:
        await asked


class Player:
    """Begins and ends the faults of links at their times, on a loop's clock."""

    def __init__(self, relay: Changes, faults: Iterable[Link]) -> None:
        self._relay = relay
        self._faults = list(faults)
        self._due = deque(
            sorted(
                [(fault.at_ms, True, fault) for fault in self._faults]
                + [(fault.at_ms + fault.lasts_ms, False, fault) for fault in self._faults],
                key=lambda row: (row[0], row[1]),
            )
        )
        self.late_ms = 0.0  # the most that a change was late

    async def run(self) -> None:
        """Play all of them; times count from now, and what is due at once is changed at once."""
        loop = asyncio.get_running_loop()
        await _done(self._relay.prepare(self._faults))
        began = loop.time()
        while self._due:
            at_ms = self._due[0][0]
            await asyncio.sleep(max(0.0, began + at_ms / 1000.0 - loop.time()))
            now_ms = (loop.time() - began) * 1000.0
            rows = []
            while self._due and self._due[0][0] <= max(at_ms, now_ms):
                _, begins, fault = self._due.popleft()
                rows.append((begins, fault))
            await _done(self._relay.change(rows))
            self.late_ms = max(self.late_ms, (loop.time() - began) * 1000.0 - at_ms)

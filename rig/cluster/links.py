"""Relays between nodes: one for each link, UDP or TCP, with faults that are switched per direction.

Every node reaches each other node by an address of the relay, so that the two directions of a pair can fail
independently. What a sender's kernel accepted and the relay did not pass on is counted, so that a cut is
visible in the counts. TCP keeps its guarantees: held bytes arrive later in order, or the connection is reset.
When a fault that delays or holds is over, everything that waits is sent at once.

| way | TCP | UDP |
| --- | --- | --- |
| cut | held, at most `MAX_HELD_BYTES` per direction; so are ends and resets | lost, also in flight |
| stall | as a cut | held, `MAX_STALLED_DATAGRAMS` per direction; more are lost |
| loss | delayed by `RETRANSMIT_MS` for each time that it is lost | lost |
| late | delayed | delayed; a later datagram may overtake |
| reorder, double | no effect: TCP corrects it | delayed by 5 to 50 ms; sent twice |
| narrow | in pieces at that rate | at that rate; a wait above `MAX_NARROW_WAIT_S` means lost |
| reset | reset at both ends with half a read passed on | no effect: there are no connections |
| half_open | the connection is gone at its far end only | no effect |
| flip | one bit of a read | one bit of a datagram |

The relay can't keep a connection from being established, since the kernel accepts it. Through a cut a new
connection is established and stays silent, as behind many middleboxes, and is reset after `HELD_CONNECT_S`.
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
from collections.abc import Callable, Iterable, Sequence
from typing import Any, cast

from rig.cluster.link_types import Address, Counts, TcpLink, UdpLink, flipped, wrong_address
from rig.cluster.schedules import Link, Way
from rig.lag import LagWatch

MAX_HELD_BYTES = 256 * 1024  # per direction of a connection
CHUNK = 64 * 1024  # bytes per read, also the largest datagram
MAX_PENDING_DATAGRAMS = 20_000  # waiting in the relay
MAX_PENDING_BYTES = 64 * 2**20
MAX_STALLED_DATAGRAMS = 1000  # held by a stall, per direction
MAX_CONNECTIONS = 20_000
MAX_FAULTS = 10_000
BACKLOG = 1024
MAX_READ_ROUNDS = 32  # rounds of reading datagrams before the loop runs anything else
MAX_EVENTS_A_ROUND = 64  # sockets per round
RETRANSMIT_MS = 200.0  # delay of a lost segment on TCP
REORDER_MS = (5.0, 50.0)
MAX_LAG_MS = 10.0  # at the 99th percentile; a slower relay is a fault itself
DIAL_S = 5.0
HELD_CONNECT_S = 60.0  # how long a new connection waits for a cut to end
IDLE_S = 600.0  # how long a connection may be idle
SWEEP_S = 5.0
MAX_NARROW_WAIT_S = 2.0
PIECE_S, MIN_PIECE_BYTES = 0.02, 16  # of a narrow link: duration and least size of one piece
TIMER_S = 0.0002  # how early timers may fire
NO_LINGER = struct.pack("ii", 1, 0)
SO_MEMINFO, MEMINFO, DROPS = 55, struct.Struct("9I"), 8  # Linux: where to read the drops of a full buffer

DELAYS: frozenset[Way] = frozenset({"late", "reorder", "narrow", "loss"})


class State:
    """Current state of one direction of one link."""

    __slots__ = (
        "_relay",
        "_rngs",
        "_timer",
        "_waiting",
        "amounts",
        "is_clear",
        "counts",
        "is_cut",
        "has_delays",
        "dst",
        "faults",
        "flows",
        "free_at",
        "is_held",
        "src",
        "is_stalled",
    )

    def __init__(self, relay: Relay, src: str, dst: str, faults: Iterable[Link]) -> None:
        self._relay = relay
        self.src, self.dst = src, dst
        self.faults = list(faults)
        self.counts = Counts()
        self.free_at = 0.0  # of a narrow link: when it can send the next byte
        self.flows: set[Flow] = set()  # flows that hold data
        self._rngs: dict[Way, random.Random] = {}
        self._waiting: list[tuple[float, int, bytes, UdpSocket, Address]] = []  # heap by due time
        self._timer: asyncio.TimerHandle | None = None
        self.apply_faults()

    def apply_faults(self) -> None:
        """Apply the faults as they are now."""
        amounts: dict[Way, float] = {}
        for fault in self.faults:
            amounts[fault.way] = max(amounts.get(fault.way, 0.0), fault.amount or 1.0)
        self.amounts = amounts
        self.is_clear = not amounts  # precomputed: read for each message
        self.is_cut = "cut" in amounts
        self.is_stalled = "stall" in amounts
        self.is_held = self.is_cut or self.is_stalled  # whether nothing is forwarded
        self.has_delays = not DELAYS.isdisjoint(amounts)
        if "narrow" not in amounts:
            self.free_at = 0.0
        if self._waiting:
            self._send_due()
        if self.flows:
            for flow in list(self.flows):
                flow.pump()

    def rng(self, way: Way) -> random.Random:
        """Return the random stream of one way in one direction.

        It is named after both, so that no other draw shifts it.
        """
        if way not in self._rngs:
            self._rngs[way] = random.Random(f"{self._relay.seed}/link/{self.src}/{self.dst}/{way}")
        return self._rngs[way]

    def strikes(self, way: Way) -> bool:
        """Draw whether a fault hits this time."""
        share = self.amounts.get(way)
        return share is not None and self.rng(way).random() < share

    def late_ms(self) -> float:
        """Draw the delay of the next read or datagram, in milliseconds."""
        late_ms = self.amounts.get("late")
        return late_ms * self.rng("late").uniform(0.7, 1.3) if late_ms else 0.0

    def on_datagram(self, data: bytes, udp: UdpSocket, to: Address) -> None:
        """Forward a received datagram, or treat it as the faults say."""
        if self.is_cut or self.strikes("loss"):
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
        if not wait_ms and not self.is_stalled:
            udp.send(self, data, to)
            return
        full = self.is_stalled and len(self._waiting) >= MAX_STALLED_DATAGRAMS
        if full or not self._relay.reserve_pending(len(data)):
            self._drop(len(data))
            return
        row = (now + wait_ms / 1000.0, self._relay.next_number(), data, udp, to)
        heapq.heappush(self._waiting, row)
        if self._waiting[0] is row:
            self._send_due()

    def _send_due(self) -> None:
        """Send the datagrams that are due."""
        self.stop()
        now = self._relay.loop.time() + TIMER_S
        waiting = self._waiting
        while waiting and not self.is_stalled and (not self.has_delays or waiting[0][0] <= now):
            _, _, data, udp, to = heapq.heappop(waiting)
            self._relay.release_pending(len(data))
            if self.is_cut:
                self._drop(len(data))  # in flight when the link was cut
            else:
                udp.send(self, data, to)
        if waiting and not self.is_stalled:
            self._timer = self._relay.loop.call_at(waiting[0][0], self._send_due)

    def _drop(self, size: int) -> None:
        self.counts.dropped += 1
        self.counts.lost += size

    def stop(self) -> None:
        """Cancel the timer, so that nothing more is sent."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class Relay:
    """All links between some ends. Call `start` first, then `tcp` and `udp` for each pair."""

    def __init__(self, seed: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.seed = seed
        self.buffer = bytearray(CHUNK)  # for all reads, one at a time
        self.view = memoryview(self.buffer)
        self.pairs: set[Pair] = set()
        self.unknown_senders = 0  # datagrams from neither end of a pair
        self.pending = 0  # waiting datagrams
        self._pending_bytes = 0
        self._number = 0
        self._refused = 0  # connections refused beyond MAX_CONNECTIONS
        self._overflowed = 0  # datagrams dropped beyond the pending bounds
        self._idle = 0  # idle connections that the relay reset
        self._overrun = 0  # datagrams that the kernel had dropped by the last `forget_lag`
        self._states: dict[str, dict[str, State]] = {}  # by source, by destination
        self._faults: list[Link] = []
        self._change = asyncio.Event()
        self._serving: list[asyncio.Task[asyncio.Server]] = []
        self._listeners: list[socket.socket] = []
        self._udp_sockets: dict[int, UdpSocket] = {}
        self._epoll = select.epoll()
        self._sweeping: asyncio.TimerHandle | None = None
        self._lag = LagWatch()
        # Called with source, destination and data when TCP bytes are forwarded.
        self.watch: Callable[[str, str, bytes], None] | None = None

    def start(self) -> Relay:
        """Begin to read datagrams and to watch the running loop."""
        self._lag.start()
        # An epoll within the loop's own: one callback for all ready sockets instead of one for each.
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
        await asyncio.sleep(0)  # aborted transports close in the next iteration

    def forget_lag(self) -> None:
        """Judge lag and bounds from now on only."""
        self._lag.clear()
        self._refused = self._overflowed = self._idle = 0
        self._overrun = self._dropped_by_kernel()

    @property
    def lag_p99_ms(self) -> float:
        """Lag of the loop at the 99th percentile, in milliseconds."""
        return self._lag.summary()["p99_ms"]

    @property
    def unsound(self) -> str:
        """Why a run can't be trusted, because the relay itself was a fault; empty if it was not."""
        late_ms, overrun = self.lag_p99_ms, self._dropped_by_kernel() - self._overrun
        wrong = (
            (late_ms > MAX_LAG_MS, f"the relay lagged by {late_ms:.1f} ms at the 99th percentile"),
            (overrun, f"{overrun} datagrams were lost before the relay read them"),
            (self._overflowed, f"{self._overflowed} datagrams beyond the relay's bounds were lost"),
            (self._refused, f"{self._refused} connections beyond the relay's bound were refused"),
            (self._idle, f"{self._idle} connections were reset after {IDLE_S:.0f} s without data"),
        )
        return "; ".join(text for is_so, text in wrong if is_so)

    def state(self, src: str, dst: str) -> State:
        """Return the state of one direction of a pair."""
        row = self._states.setdefault(src, {})
        if dst not in row:
            faults = [fault for fault in self._faults if src in fault.src and dst in fault.dst and src != dst]
            row[dst] = State(self, src, dst, faults)
        return row[dst]

    def counts(self) -> dict[tuple[str, str], Counts]:
        """Return what each direction that was made or asked for carried, by source and destination."""
        rows = self._states.items()
        return {(src, dst): state.counts for src, row in rows for dst, state in row.items()}

    # --- faults --------------------------------------------------------------------

    def begin(self, fault: Link) -> None:
        """Begin a fault."""
        self.change([(True, fault)])

    def end(self, fault: Link) -> None:
        """End a fault. One that has not begun, or has ended, changes nothing."""
        self.change([(False, fault)])

    def prepare(self, faults: Sequence[Link]) -> None:
        """Do nothing: here no fault needs preparation."""

    def change(self, rows: Sequence[tuple[bool, Link]]) -> None:
        """Begin (True) and end faults in the given order.

        Raises:
            ValueError: There would be more than `MAX_FAULTS` at once.
        """
        touched: dict[State, None] = {}
        for begins, fault in rows:
            if begins and len(self._faults) >= MAX_FAULTS:
                raise ValueError(f"more than {MAX_FAULTS} faults at once")
            if not begins and fault not in self._faults:
                continue
            (self._faults.append if begins else self._faults.remove)(fault)
            for state in self._existing_states(fault):
                (state.faults.append if begins else state.faults.remove)(fault)
                touched[state] = None
        for state in touched:
            state.apply_faults()
        self._change.set()
        self._change = asyncio.Event()

    def _existing_states(self, fault: Link) -> list[State]:
        """Return the existing directions that a fault applies to; `state` applies it to later ones."""
        states = []
        for src in fault.src:
            if row := self._states.get(src):
                states += [row[dst] for dst in fault.dst if dst in row and dst != src]
        return states

    async def wait_until_passable(self, src: str, dst: str) -> None:
        """Wait until neither direction of a pair is cut or stalled."""
        one, other = self.state(src, dst), self.state(dst, src)
        while one.is_held or other.is_held:
            await self._change.wait()

    # --- TCP -----------------------------------------------------------------------

    async def tcp(
        self, src: str, dst: str, target: Address, host: str = "127.0.0.1", port: int = 0
    ) -> Address:
        """Make a link and return the address at which `src` reaches `dst`, which listens at `target`.

        Raises:
            OSError: The address can't be bound.
        """
        return self.make(TcpLink(src, dst, target, host, port))

    async def udp(self, one: str, other: str, one_at: Address, other_at: Address) -> Address:
        """Make a link and return the address at which `one` and `other` reach each other.

        Args:
            one: One end, which sends from `one_at`.
            other: The other end, which sends from `other_at`.
            one_at: Address of `one`.
            other_at: Address of `other`.

        Raises:
            OSError: No address can be bound.
        """
        return self.make(UdpLink(one, other, one_at, other_at))

    def make(self, link: TcpLink | UdpLink) -> Address:
        """Make a link at once and return its address.

        Raises:
            OSError: The address can't be bound.
            ValueError: The address of an end is invalid.
        """
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
        # The socket listens already: a connection made before the loop serves it waits in the backlog.
        serving = self.loop.create_server(lambda: Pair(self, link).near, sock=sock, backlog=BACKLOG)
        self._listeners.append(sock)
        self._serving.append(self.loop.create_task(serving))
        return cast(Address, sock.getsockname())

    def register(self, pair: Pair) -> bool:
        """Register a new connection; return whether it is within `MAX_CONNECTIONS`."""
        if len(self.pairs) >= MAX_CONNECTIONS:
            self._refused += 1
            return False
        self.pairs.add(pair)
        return True

    def _sweep(self) -> None:
        """Reset connections that have been idle for too long."""
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
        """Return the next sequence number: datagrams due at the same time are sent in the order received."""
        self._number += 1
        return self._number

    def reserve_pending(self, size: int) -> bool:
        """Reserve space for a waiting datagram; return whether there was any."""
        if self.pending >= MAX_PENDING_DATAGRAMS or self._pending_bytes + size > MAX_PENDING_BYTES:
            self._overflowed += 1
            return False
        self.pending += 1
        self._pending_bytes += size
        return True

    def release_pending(self, size: int) -> None:
        """Release the space of a datagram that no longer waits."""
        self.pending -= 1
        self._pending_bytes -= size

    def _dropped_by_kernel(self) -> int:
        return sum(udp.dropped_by_kernel for udp in self._udp_sockets.values())


class UdpSocket:
    """Socket of one pair, used for both directions."""

    __slots__ = ("_relay", "_ways", "sock")

    def __init__(self, relay: Relay, link: UdpLink) -> None:
        if link.one_at == link.other_at:
            raise ValueError(f"{link.one} and {link.other} have the same address {link.one_at}")
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
        """Read one datagram; without a fault it is sent on directly."""
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
        state.counts.received += 1
        state.counts.taken += size
        if state.is_clear:
            self.send(state, relay.view[:size], to)
        else:
            state.on_datagram(bytes(relay.view[:size]), self, to)

    def send(self, state: State, data: bytes | memoryview, to: Address) -> None:
        """Send a datagram to its destination."""
        counts = state.counts
        try:
            self.sock.sendto(data, to)
        except OSError:  # nobody listens, or the buffer is full
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
    """One socket of a connection. What it sends goes to the flow `out`; the flow `into` is written to it."""

    def __init__(self, pair: Pair) -> None:
        self._pair = pair
        self.transport: asyncio.Transport | None = None
        self.out: Flow
        self.into: Flow
        self.is_full = False  # whether its write buffer is full
        self.is_gone = False
        self._ended = False

    def connection_made(self, transport: Any) -> None:
        """Store the transport and notify the pair."""
        self.transport = transport
        self._pair.on_connected(self)

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer of the next read."""
        return self._pair.relay.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass the bytes that were read to the outgoing flow."""
        self.out.feed(bytes(self._pair.relay.view[:nbytes]))

    def eof_received(self) -> bool:
        """Note that the end sends nothing more; it can still receive."""
        self._ended = True
        if self._pair.half_open:
            self._pair.reset()  # nobody is left to send it anything
        else:
            self.out.finish(whole=True)
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """Notify the pair that the socket is gone."""
        self.is_gone = True
        self._pair.on_disconnected(self)

    def pause_writing(self) -> None:
        """Stop writing to the end: its buffer is full."""
        self.is_full = True
        self.into.update_reading()

    def resume_writing(self) -> None:
        """Continue to write to the end."""
        self.is_full = False
        self.into.pump()

    def set_reading(self, is_enabled: bool) -> None:
        """Read from the socket, or leave what arrives to its kernel's buffer."""
        if self.transport is not None and not self._ended and not self.is_gone:
            (self.transport.resume_reading if is_enabled else self.transport.pause_reading)()

    def reset(self) -> int:
        """Reset the socket; return the number of bytes written to it that were not sent."""
        if self.transport is None or self.is_gone:
            return 0
        unsent = self.transport.get_write_buffer_size()
        with contextlib.suppress(OSError):
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        self.transport.abort()
        return unsent


class Flow:
    """One direction of one connection: the bytes held, in order, and how it ended."""

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
        # Due time, data, and whether the faults that hit it are drawn already; empty data is the end.
        self._queue: deque[tuple[float, bytes, bool]] = deque()
        self._size = 0
        self._last_due = 0.0
        self._slot: float | None = None  # of a narrow link: when the next piece may be sent
        self._timer: asyncio.TimerHandle | None = None
        self._ended_cleanly = True
        self._discards = False  # whether further data is dropped
        self.ended = False

    def feed(self, data: bytes) -> None:
        """Forward or hold bytes that were read."""
        state = self._state
        state.counts.taken += len(data)
        self._pair.used_at = self._pair.relay.loop.time()
        if self._discards:
            state.counts.lost += len(data)
        elif state.is_clear and not self._queue:
            self._write(data)
        else:
            self._size += len(data)
            self._add(data)

    def finish(self, whole: bool) -> None:
        """Queue the end of the flow, which waits like data.

        Args:
            whole: Whether the flow ended in order; False if it was reset.
        """
        self._ended_cleanly = self._ended_cleanly and whole
        self._add(b"")

    def _add(self, data: bytes) -> None:
        state = self._state
        if not state.has_delays:
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
        """Forward what may be sent now."""
        self.stop()
        while self._queue and not self._state.is_held and not self._target.is_full and self._forward_next():
            pass
        if not self._queue:
            self._state.flows.discard(self)
        self.update_reading()

    def _forward_next(self) -> bool:
        """Forward the first held read or a piece of it; return whether to go on."""
        due, data, drawn = self._queue[0]
        now = self._pair.relay.loop.time() + TIMER_S
        if self._state.has_delays and due > now:
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
        """Draw whether a fault ends the connection here; if so, end it."""
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
            # The target is gone and the source is not notified; what the source sends is dropped.
            self._pair.abort_one_end(self._target)
            return True
        return False

    def _write(self, data: bytes) -> None:
        state, target = self._state, self._target
        if target.is_gone or target.transport is None:
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
        if self._target.transport is not None and not self._target.is_gone:
            with contextlib.suppress(OSError):  # a reset that the kernel knows and the loop does not yet
                self._target.transport.write_eof()
        self._pair.on_flow_ended()

    def _later(self, at: float) -> None:
        self._timer = self._pair.relay.loop.call_at(at, self.pump)

    def stop(self) -> None:
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def update_reading(self) -> None:
        """Read from the source only while its target takes data and `MAX_HELD_BYTES` is not reached."""
        self._source.set_reading(not self._target.is_full and self._size <= MAX_HELD_BYTES - CHUNK)

    def drop(self, unsent: int) -> None:
        """Drop what is held now and what arrives later, and count it as lost.

        Args:
            unsent: Bytes already passed to the target's socket that were not sent.
        """
        self.stop()
        self._state.counts.lost += self._size + unsent
        self._state.counts.passed -= unsent
        self._state.flows.discard(self)
        self._queue.clear()
        self._size = 0
        self._discards = True
        self._source.set_reading(True)  # so that its end is noticed


class Pair:
    """One connection through the relay: its two sockets and the flows between them."""

    def __init__(self, relay: Relay, link: TcpLink) -> None:
        self.relay = relay
        self._link = link
        self.used_at = relay.loop.time()
        self.half_open = False  # gone at one end without notice to the other
        self.dialling: asyncio.Task[None] | None = None
        self._gone_end: End | None = None
        self._is_over = False
        self.near, self.far = End(self), End(self)
        there, back = relay.state(link.src, link.dst), relay.state(link.dst, link.src)
        self.near.out = self.far.into = Flow(self, there, self.near, self.far)
        self.far.out = self.near.into = Flow(self, back, self.far, self.near)

    def on_connected(self, end: End) -> None:
        """Handle a socket that is connected; the near one starts the connection of the far one."""
        if self._is_over or (end is self.near and not self.relay.register(self)):
            end.reset()
        elif end is self.near:
            end.set_reading(False)
            self.dialling = self.relay.loop.create_task(self._dial())

    async def _dial(self) -> None:
        link = self._link
        try:
            async with asyncio.timeout(HELD_CONNECT_S):
                await self.relay.wait_until_passable(link.src, link.dst)  # for its handshake
            async with asyncio.timeout(DIAL_S):
                await self.relay.loop.create_connection(lambda: self.far, *link.target)
        except (OSError, TimeoutError):
            self.reset()
            return
        finally:
            self.dialling = None
        self.near.set_reading(True)

    def on_flow_ended(self) -> None:
        """Close the connection once both flows have ended."""
        if self.near.out.ended and self.far.out.ended:
            for end in (self.near, self.far):
                if end.transport is not None:
                    end.transport.close()

    def on_disconnected(self, end: End) -> None:
        """Handle a socket that is gone.

        What was to be sent to it is lost, and the other end is reset once all that is held for it was sent.
        """
        self._forget()
        if self._is_over:
            return
        if self.half_open:
            if end is not self._gone_end:
                self.reset()
            return
        end.into.drop(0)
        if not (self.near.out.ended and self.far.out.ended):
            end.out.finish(whole=False)

    def abort_one_end(self, end: End) -> None:
        """Reset one end without notifying the other."""
        other = self.far if end is self.near else self.near
        self.half_open, self._gone_end = True, end
        end.into.drop(end.reset())
        end.is_gone = True
        other.into.drop(0)

    def reset(self) -> None:
        """Reset both ends now."""
        if self._is_over:
            return
        self._is_over = True
        if self.dialling is not None and self.dialling is not asyncio.current_task():
            self.dialling.cancel()
        for end in (self.near, self.far):
            end.into.drop(end.reset())
        self._forget()

    def _forget(self) -> None:
        if self._is_over or all(end.is_gone or end.transport is None for end in (self.near, self.far)):
            self.relay.pairs.discard(self)

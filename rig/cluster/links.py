"""The ways between nodes: a relay for each directed pair, UDP and TCP, with faults that can be switched.

Every node reaches each other one under an address of the relay's, so that both directions of each pair can
fail by themselves. What a sender's kernel took and the relay did not pass on is counted, so that a cut can be
seen to be one. TCP keeps its promises: what is held back arrives later in order, or its connection is reset.

What the relay can't do: keep a connection from coming up, since the kernel accepts it. Through a cut a new
connection comes up and stays silent, as behind many middle boxes.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from rig.cluster.schedules import Link, Way
from rig.lag import LagWatch

HELD_MOST = 256 * 1024  # bytes of one direction of a connection that the relay holds
CHUNK = 16 * 1024
PENDING_MOST = 20_000  # datagrams on their way
CONNECTIONS_MOST = 20_000
RETRANSMIT_MS = 200.0  # what a lost segment costs on TCP
LAG_MOST_MS = 10.0  # at the 99th percentile: a relay that is later than that was the fault itself
DIAL_S = 5.0
POLL_S = 0.005  # until a direction that is held is looked at again
LATE_LEAST_MS = 0.2

Address = tuple[str, int]


@dataclass(slots=True)
class Counts:
    """What one direction of one link carried, for both protocols."""

    taken: int = 0  # bytes that the sender's side gave
    passed: int = 0  # bytes that the other side was given
    messages: int = 0  # datagrams passed on
    dropped: int = 0  # datagrams that were not
    resets: int = 0


@dataclass(slots=True)
class State:
    """How one direction of one link is now."""

    faults: list[Link] = field(default_factory=list)
    counts: Counts = field(default_factory=Counts)
    free_at: float = 0.0  # of a narrow link: when it can carry the next byte

    def amount(self, way: Way) -> float:
        """How strong such a fault is; 0 where there is none."""
        return max((fault.amount or 1.0 for fault in self.faults if fault.way == way), default=0.0)

    @property
    def held(self) -> bool:
        """Whether nothing passes."""
        return any(fault.way in ("cut", "stall") for fault in self.faults)


class Relay:
    """All links between some ends. `start` first; then `link` for each pair that is wanted."""

    def __init__(self, seed: int) -> None:
        self._loop = asyncio.get_running_loop()
        self._seed = seed
        self._states: dict[tuple[str, str], State] = {}
        self._random: dict[tuple[str, str], random.Random] = {}
        self._servers: list[asyncio.Server] = []
        self._places: list[Datagrams] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._timers: set[asyncio.TimerHandle] = set()
        self._lag = LagWatch()
        # Told what TCP bytes go on, from whom and to whom, as they do.
        self.watch: Callable[[str, str, bytes], None] = lambda src, dst, data: None

    def start(self) -> Relay:
        """Watch the loop that runs."""
        self._lag.start()
        return self

    async def stop(self) -> None:
        """Close all links."""
        self._lag.stop()
        for timer in self._timers:
            timer.cancel()
        for server in self._servers:
            server.close()
        for place in self._places:
            place.transport.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def forget_lag(self) -> None:
        """Judge from now on only."""
        self._lag.clear()

    @property
    def unsound(self) -> str:
        """Why a run can't be believed: the relay itself was late; empty where it was not."""
        told = self._lag.told()
        late = told["p99_ms"] > LAG_MOST_MS
        return f"the relay was late by {told['p99_ms']:.1f} ms at the 99th percentile" if late else ""

    def state(self, src: str, dst: str) -> State:
        """One direction of a pair."""
        return self._states.setdefault((src, dst), State())

    def rng(self, src: str, dst: str) -> random.Random:
        """The random stream of one direction, named after it: others don't move it."""
        key = (src, dst)
        if key not in self._random:
            self._random[key] = random.Random(f"{self._seed}/link/{src}/{dst}")
        return self._random[key]

    # --- faults --------------------------------------------------------------------

    def begin(self, fault: Link) -> None:
        """From now on."""
        for state in self._of(fault):
            state.faults.append(fault)

    def end(self, fault: Link) -> None:
        """No more; one that has not begun, or has ended, changes nothing."""
        for state in self._of(fault):
            if fault in state.faults:
                state.faults.remove(fault)

    def _of(self, fault: Link) -> Iterable[State]:
        return [self.state(src, dst) for src in fault.src for dst in fault.dst if src != dst]

    # --- TCP -----------------------------------------------------------------------

    async def tcp(
        self, src: str, dst: str, target: Address, host: str = "127.0.0.1", port: int = 0
    ) -> Address:
        """Where `src` reaches `dst`, which listens at `target`, from now on."""

        async def take(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            # The stream's own callback would log the end of a relay that is stopped as a fault.
            with contextlib.suppress(asyncio.CancelledError):
                await self._carry(src, dst, target, reader, writer)

        server = await asyncio.start_server(take, host, port, limit=HELD_MOST)
        self._servers.append(server)
        bound = server.sockets[0].getsockname()
        return str(bound[0]), int(bound[1])

    async def _carry(
        self, src: str, dst: str, target: Address, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        if len(self._tasks) >= CONNECTIONS_MOST:
            writer.transport.abort()
            return
        self._tasks.add(task)
        far_writer: asyncio.StreamWriter | None = None
        try:
            while self.state(src, dst).held or self.state(dst, src).held:
                await asyncio.sleep(POLL_S)  # its handshake needs both ways
            async with asyncio.timeout(DIAL_S):
                far_reader, far_writer = await asyncio.open_connection(*target, limit=HELD_MOST)
            half_open = asyncio.Event()
            ways = (
                asyncio.ensure_future(self._pass(src, dst, reader, far_writer, half_open)),
                asyncio.ensure_future(self._pass(dst, src, far_reader, writer, half_open)),
            )
            try:
                await asyncio.gather(*ways)
            finally:
                for way in ways:
                    way.cancel()
        except (OSError, TimeoutError):
            pass
        finally:
            self._tasks.discard(task)
            for end in (writer, far_writer):
                if end is not None:
                    end.transport.abort()

    async def _pass(
        self,
        src: str,
        dst: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        half_open: asyncio.Event,
    ) -> None:
        """Carry one direction to its end; `ConnectionResetError` where a fault resets it."""
        state, rng = self.state(src, dst), self.rng(src, dst)
        while data := await reader.read(CHUNK):
            state.counts.taken += len(data)
            await self._hold(state, rng, len(data))
            if rng.random() < state.amount("reset"):
                writer.write(data[: len(data) // 2])
                state.counts.passed += len(data) // 2
                state.counts.resets += 1
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(POLL_S):
                        await writer.drain()
                raise ConnectionResetError("by the schedule")
            if rng.random() < state.amount("half_open"):
                # The far end is gone and the near one is not told; what it sends goes nowhere.
                half_open.set()
                writer.transport.abort()
                while gone := await reader.read(CHUNK):
                    state.counts.taken += len(gone)
                raise ConnectionResetError("by the near end")
            if rng.random() < state.amount("flip"):
                data = flipped(data, rng)
            self.watch(src, dst, data)
            writer.write(data)
            state.counts.passed += len(data)
            await writer.drain()
        if half_open.is_set():
            return
        while state.held:  # its end is news, too, and waits like any other
            await asyncio.sleep(POLL_S)
        if writer.can_write_eof():
            writer.write_eof()

    async def _hold(self, state: State, rng: random.Random, size: int) -> None:
        """Wait for as long as the link takes for so many bytes."""
        wait_ms = state.amount("late") * rng.uniform(0.7, 1.3) if state.amount("late") else 0.0
        while rng.random() < min(0.9, state.amount("loss")):
            wait_ms += RETRANSMIT_MS
        narrow = state.amount("narrow")
        if narrow:
            now = self._loop.time()
            state.free_at = max(now, state.free_at) + size / narrow
            wait_ms += (state.free_at - now) * 1000.0
        if wait_ms:
            await asyncio.sleep(wait_ms / 1000.0)
        while state.held:
            await asyncio.sleep(POLL_S)

    # --- UDP -----------------------------------------------------------------------

    async def udp(self, src: str, dst: str, source: Address, target: Address) -> Address:
        """Where `src`, which sends from `source`, reaches `dst` at `target`; answers go back the same way."""
        _, place = await self._loop.create_datagram_endpoint(
            lambda: Datagrams(self, src, dst, source, target), local_addr=("127.0.0.1", 0)
        )
        self._places.append(place)
        host, port = place.transport.get_extra_info("sockname")
        return str(host), int(port)

    def pass_datagram(self, src: str, dst: str, data: bytes, send: Any) -> None:
        """Let a datagram go its way, or not."""
        state, rng = self.state(src, dst), self.rng(src, dst)
        state.counts.taken += len(data)
        if state.held or rng.random() < state.amount("loss") or len(self._timers) >= PENDING_MOST:
            state.counts.dropped += 1
            return
        if rng.random() < state.amount("flip"):
            data = flipped(data, rng)
        for _ in range(1 + (rng.random() < state.amount("double"))):
            wait_ms = state.amount("late") * rng.uniform(0.7, 1.3)
            if rng.random() < state.amount("reorder"):
                wait_ms += rng.uniform(5.0, 50.0)
            if narrow := state.amount("narrow"):
                now = self._loop.time()
                state.free_at = max(now, state.free_at) + len(data) / narrow
                wait_ms += (state.free_at - now) * 1000.0
            self._later(wait_ms, state, data, send)

    def _later(self, wait_ms: float, state: State, data: bytes, send: Any) -> None:
        def run() -> None:
            self._timers.discard(timer)
            if state.held:
                state.counts.dropped += 1  # it was on its way as the link was cut
                return
            state.counts.passed += len(data)
            state.counts.messages += 1
            send(data)

        timer = self._loop.call_later(max(LATE_LEAST_MS, wait_ms) / 1000.0, run)
        self._timers.add(timer)


class Datagrams(asyncio.DatagramProtocol):
    """One directed pair's address."""

    def __init__(self, relay: Relay, src: str, dst: str, source: Address, target: Address) -> None:
        self._relay = relay
        self._src, self._dst = src, dst
        self._source, self._target = source, target
        self.transport: asyncio.DatagramTransport

    def connection_made(self, transport: Any) -> None:
        """It is bound."""
        self.transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """From the sender on, and from the receiver back."""
        if (addr[0], addr[1]) == self._target:
            src, dst, to = self._dst, self._src, self._source
        else:
            src, dst, to = self._src, self._dst, self._target
        self._relay.pass_datagram(src, dst, data, lambda made: self.transport.sendto(made, to))

    def error_received(self, exc: Exception) -> None:
        """Nobody is there: datagrams may be lost."""


def flipped(data: bytes, rng: random.Random) -> bytes:
    """The same with one bit changed."""
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


class Player:
    """Begins and ends the faults of links at their times, on a loop's clock."""

    def __init__(self, relay: Relay, faults: Iterable[Link]) -> None:
        self._relay = relay
        self._due = deque(
            sorted(
                [(fault.at_ms, True, fault) for fault in faults]
                + [(fault.at_ms + fault.lasts_ms, False, fault) for fault in faults],
                key=lambda row: (row[0], row[1]),
            )
        )
        self.late_ms = 0.0  # the most that a change was late

    async def run(self) -> None:
        """Play all of them; times count from now."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        while self._due:
            at_ms, begins, fault = self._due.popleft()
            await asyncio.sleep(max(0.0, began + at_ms / 1000.0 - loop.time()))
            self.late_ms = max(self.late_ms, (loop.time() - began) * 1000.0 - at_ms)
            (self._relay.begin if begins else self._relay.end)(fault)

"""Connection floods of misbehaving clients, in separate processes.

`python -m rig.crowds` runs a flood on one epoll loop; `Crowd` starts and controls one or more such processes.
A flood connects at a given rate while fewer than its maximum number of connections are open.
"""

from __future__ import annotations

import argparse
import asyncio
import errno
import os
import random
import select
import socket
import struct
import sys
import time
from collections import Counter, deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from rig.helper import Helper, obey, prepare, say
from rig.messages import UNKNOWN_TENANT, Act, call_ids, request

PIPELINED = 16  # requests that a slow reader sends together
ANSWER_BYTES = 64 * 1024  # size of each answer that it does not read
RECEIVE_BUFFER_BYTES = 4096  # of a slow reader
SEGMENT_BYTES = 1400  # as on a real network
MAX_READ_BYTES = 64 * 1024
POLL_TIMEOUT_S = 0.01
CATCH_UP_S = 0.05  # maximum backlog of due connections after a late loop
MAX_COMMAND_BYTES = 64 * 1024
MAX_RATE_PER_S = 100_000.0
MAX_STANDING = 18_000
EVENTS = select.EPOLLIN | select.EPOLLRDHUP
NO_LINGER = struct.pack("ii", 1, 0)


@dataclass(frozen=True, slots=True)
class Behaviour:
    """Behaviour of a kind of client. `opening` creates the bytes that it writes once it is connected."""

    opening: Callable[[RequestSource], bytes]
    asks: bool = True  # it may expect an answer
    reads: bool = True
    closes_when_answered: bool = False
    keep_s: float = 60.0  # time after which it disconnects


class RequestSource:
    """Seeded source of the requests in openings."""

    def __init__(self, seed: str) -> None:
        self.rng = random.Random(seed)
        self.ids = call_ids(seed)
        self.turn = 0

    def call(self, **changes: Any) -> bytes:
        """Return a request with a new call id."""
        return request(next(self.ids), **changes)


def _garbage(source: RequestSource) -> bytes:
    return source.rng.randbytes(source.rng.randrange(1, 400))


def _half(source: RequestSource) -> bytes:
    """Return half a head and, in every other call, a head with half a body."""
    source.turn += 1
    whole = source.call(kind="pay", body=b"x" * 200)
    return whole[:60] if source.turn % 2 else whole[:-100]


def _unread(source: RequestSource) -> bytes:
    act = Act(size_bytes=ANSWER_BYTES)
    return b"".join(source.call(act=act) for _ in range(PIPELINED))


BEHAVIOURS = {
    "silent": Behaviour(lambda source: b"", asks=False),
    "garbage": Behaviour(_garbage, closes_when_answered=True, keep_s=5.0),
    "turned_away": Behaviour(
        lambda source: source.call(tenant=UNKNOWN_TENANT), closes_when_answered=True, keep_s=5.0
    ),
    "half": Behaviour(_half),
    "slow_readers": Behaviour(_unread, asks=False, reads=False, keep_s=5.0),
    "once": Behaviour(lambda source: source.call(), keep_s=600.0),
}
ALL = "all"
KINDS = (*BEHAVIOURS, ALL)


@dataclass(slots=True)
class Counts:
    """Counts of a flood of one kind."""

    tried: int = 0
    connected: int = 0
    refused: int = 0  # connection attempts that failed
    answered: int = 0  # connections that received any byte
    cut: int = 0  # closed by the server after an opening without an answer
    closed: int = 0  # closed by the server
    left: int = 0  # closed by the client
    no_port: int = 0  # attempts without a free port or descriptor on this machine
    open: int = 0
    statuses: Counter[str] = field(default_factory=Counter)

    def summary(self) -> dict[str, Any]:
        """Return the counts as JSON values."""
        names = ("tried", "connected", "refused", "answered", "cut", "closed", "left", "no_port", "open")
        return {**{name: getattr(self, name) for name in names}, "statuses": dict(self.statuses)}


def added(parts: Sequence[dict[str, Any]]) -> dict[str, Any]:
    """Return the sums of several counts."""
    total: dict[str, Any] = {**Counts().summary(), "statuses": Counter()}
    for part in parts:
        for name, value in part.items():
            if name == "statuses":
                total["statuses"].update(value)
            else:
                total[name] += value
    return {**total, "statuses": dict(total["statuses"])}


class Client:
    """A connection of a client."""

    __slots__ = ("answered", "due", "sock", "squad", "unsent", "up")

    def __init__(self, sock: socket.socket, squad: Squad, due: float) -> None:
        self.sock = sock
        self.squad = squad
        self.due = due
        self.unsent = b""
        self.up = False
        self.answered = False


class Squad:
    """All clients of one kind in this process."""

    def __init__(self, kind: str, rate_per_s: float, standing: int, seed: str) -> None:
        self.behaviour = BEHAVIOURS[kind]
        self.rate_per_s = rate_per_s
        self.standing = standing
        self.counts = Counts()
        self._source = RequestSource(f"{seed}/{kind}")
        self._due = 0.0  # connections due now, including a fraction
        self._refilled = time.monotonic()
        self.ages: deque[Client] = deque()  # oldest first; closed ones are removed later

    def opening(self) -> bytes:
        """Return the bytes that the next client writes."""
        return self.behaviour.opening(self._source)

    def may_connect(self, now: float) -> int:
        """Return how many connections are due; at most `CATCH_UP_S` of missed ones are made up for."""
        max_due = max(1.0, self.rate_per_s * CATCH_UP_S)
        self._due = min(max_due, self._due + (now - self._refilled) * self.rate_per_s)
        self._refilled = now
        return max(0, min(int(self._due), self.standing - self.counts.open))

    def spend(self) -> None:
        """Count one connection attempt."""
        self._due -= 1.0


class Loop:
    """Runs all clients of this process on one epoll, which waits for `POLL_TIMEOUT_S` at most."""

    def __init__(self, address: tuple[str, int], squads: Sequence[Squad]) -> None:
        self._address = address
        self._squads = squads
        self._epoll = select.epoll()
        self._clients: dict[int, Client] = {}
        self._command = b""

    def run(self, commands: int) -> None:
        """Run until the descriptor of commands is closed."""
        os.set_blocking(commands, False)
        self._epoll.register(commands, select.EPOLLIN)
        is_running = True
        while is_running:
            now = time.monotonic()
            for squad in self._squads:
                self._connect(squad, now)
                self._close_expired(squad, now)
            for number, event in self._epoll.poll(POLL_TIMEOUT_S):
                if number == commands:
                    is_running = self._run_commands(commands)
                elif (client := self._clients.get(number)) is not None:
                    self._on_event(client, event)
        for client in list(self._clients.values()):
            self._drop(client)

    def counts(self) -> dict[str, Any]:
        """Return the sums of all counts."""
        return added([squad.counts.summary() for squad in self._squads])

    def _run_commands(self, commands: int) -> bool:
        """Read and run commands; return whether to continue."""
        data = os.read(commands, MAX_COMMAND_BYTES)
        *lines, self._command = (self._command + data).split(b"\n")
        for line in lines:
            obey(line, self._obey)
        return bool(data) and len(self._command) < MAX_COMMAND_BYTES

    def _obey(self, do: str) -> Any:
        if do == "counts":
            return self.counts()
        raise ValueError(f"command must be counts, got {do!r}")

    def _connect(self, squad: Squad, now: float) -> None:
        for _ in range(squad.may_connect(now)):
            squad.spend()
            squad.counts.tried += 1
            try:
                sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
            except OSError:
                squad.counts.no_port += 1
                return
            if not squad.behaviour.reads:
                limit_receive_buffer(sock)
            failed = sock.connect_ex(self._address)
            if failed not in (0, errno.EINPROGRESS):
                sock.close()
                if failed == errno.EADDRNOTAVAIL:
                    squad.counts.no_port += 1
                else:
                    squad.counts.refused += 1
                continue
            client = Client(sock, squad, now + squad.behaviour.keep_s)
            self._clients[sock.fileno()] = client
            squad.ages.append(client)
            squad.counts.open += 1
            self._epoll.register(sock.fileno(), select.EPOLLOUT)

    def _close_expired(self, squad: Squad, now: float) -> None:
        ages = squad.ages
        while ages and (ages[0].sock.fileno() < 0 or ages[0].due <= now):
            client = ages.popleft()
            if client.sock.fileno() >= 0:
                squad.counts.left += 1
                self._drop(client)

    def _on_event(self, client: Client, event: int) -> None:
        if event & select.EPOLLOUT:
            self._write(client)
        elif event & select.EPOLLIN and client.squad.behaviour.reads:
            self._read(client)
        elif event & (select.EPOLLHUP | select.EPOLLERR | select.EPOLLRDHUP):
            self._closed(client)

    def _write(self, client: Client) -> None:
        """Complete a connection, or write more of the opening."""
        counts = client.squad.counts
        if not client.up:
            if client.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                counts.refused += 1
                self._drop(client)
                return
            client.up = True
            counts.connected += 1
            client.unsent = client.squad.opening()
        try:
            if client.unsent:
                client.unsent = client.unsent[client.sock.send(client.unsent) :]
        except BlockingIOError:
            pass
        except OSError:
            self._closed(client)
            return
        if not client.unsent:
            events = EVENTS if client.squad.behaviour.reads else select.EPOLLRDHUP
            self._epoll.modify(client.sock.fileno(), events)

    def _read(self, client: Client) -> None:
        try:
            data = client.sock.recv(MAX_READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._closed(client)
            return
        counts = client.squad.counts
        if not client.answered:
            client.answered = True
            counts.answered += 1
            counts.statuses[_status(data)] += 1
        if client.squad.behaviour.closes_when_answered:
            counts.left += 1
            self._drop(client)

    def _closed(self, client: Client) -> None:
        counts = client.squad.counts
        counts.closed += 1
        if not client.answered and client.squad.behaviour.asks:
            counts.cut += 1
        self._drop(client)

    def _drop(self, client: Client) -> None:
        """Close with a reset, so that no port stays in TIME_WAIT for a minute."""
        del self._clients[client.sock.fileno()]
        client.squad.counts.open -= 1
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        client.sock.close()  # also removes it from epoll


def limit_receive_buffer(sock: socket.socket) -> None:
    """Limit the receive buffer and segment size of a socket before it connects.

    With the 64 KiB segments of the loopback, the kernel of the other side accepts 2.6 MB, which no real
    network allows. Answers would then never accumulate in the process under test.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)


def _status(data: bytes) -> str:
    """Return the status code of an answer, or "no HTTP"."""
    parts = data[:32].split(b" ")
    is_http = data.startswith(b"HTTP/1.") and len(parts) > 1 and parts[1].isdigit()
    return parts[1].decode() if is_http else "no HTTP"


@dataclass(frozen=True, slots=True)
class Size:
    """Rate of connections and maximum of open ones."""

    rate_per_s: float
    standing: int

    def __post_init__(self) -> None:
        if not 0.0 < self.rate_per_s <= MAX_RATE_PER_S or not 1 <= self.standing <= MAX_STANDING:
            raise ValueError(
                f"a crowd needs 0 < rate <= {MAX_RATE_PER_S:g} a second and 1 to {MAX_STANDING} open"
                f" connections, got {self.rate_per_s:g} and {self.standing}"
            )


class Crowd:
    """Controls the processes of a flood."""

    def __init__(self, helpers: Sequence[Helper]) -> None:
        self._helpers = helpers

    @classmethod
    async def start(
        cls, address: tuple[str, int], sizes: dict[str, Size], *, seed: int = 1, processes: int = 2
    ) -> Crowd:
        """Start floods by kind, which share the processes.

        Raises:
            ProgramError: If they fail to start.
        """
        helpers: list[Helper] = []
        made = cls(helpers)
        try:
            for number in range(processes):
                arguments = ["--address", f"{address[0]}:{address[1]}", "--seed", f"{seed}/{number}"]
                for kind, size in sizes.items():
                    part = size.standing * (number + 1) // processes - size.standing * number // processes
                    if part:
                        arguments += ["--squad", f"{kind}:{size.rate_per_s / processes}:{part}"]
                helpers.append(await Helper.start("rig.crowds", arguments))
            await asyncio.gather(*(helper.hear() for helper in helpers))
        except BaseException:
            await made.stop()
            raise
        return made

    async def counts(self) -> dict[str, Any]:
        """Return the sums of the counts; see `Counts`."""
        return added(await asyncio.gather(*(helper.ask(do="counts") for helper in self._helpers)))

    async def stop(self) -> None:
        """Stop all processes."""
        await asyncio.gather(*(helper.stop() for helper in self._helpers))


def spread(kind: str, whole: Size, apart: Mapping[str, Size]) -> dict[str, Size]:
    """Return the sizes by kind in a flood.

    Args:
        kind: A kind, or `all` for a mixture in which each kind has an equal part of its own size.
        whole: The size of a kind.
        apart: Sizes of kinds that differ from `whole`.

    Raises:
        ValueError: If the kind is unknown.
    """
    if kind == ALL:
        sizes = {name: apart.get(name, whole) for name in BEHAVIOURS}
        parts = len(BEHAVIOURS)
        return {n: Size(s.rate_per_s / parts, max(1, s.standing // parts)) for n, s in sizes.items()}
    if kind not in BEHAVIOURS:
        raise ValueError(f"unknown kind of crowd {kind!r}, expected one of {', '.join(BEHAVIOURS)}")
    return {kind: apart.get(kind, whole)}


def _squad(text: str) -> tuple[str, Size]:
    kind, rate, standing = text.split(":")
    if kind not in BEHAVIOURS:
        raise ValueError(f"unknown kind of crowd {kind!r}, expected one of {', '.join(BEHAVIOURS)}")
    return kind, Size(float(rate), int(standing))


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host.startswith("127."):
        raise ValueError(f"address must be on the loopback, got {text!r}")
    return host, int(port)


def parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    made = argparse.ArgumentParser(prog="python -m rig.crowds", description=__doc__)
    made.add_argument("--address", type=_address, required=True, help="host:port on the loopback")
    made.add_argument("--squad", type=_squad, action="append", default=[], metavar="KIND:RATE:STANDING")
    made.add_argument("--seed", default="1")
    return made


def main() -> int:
    """Run a flood until standard input ends; return the exit code."""
    given = parser().parse_args()
    prepare()
    squads = [Squad(kind, size.rate_per_s, size.standing, given.seed) for kind, size in given.squad]
    say("ready")
    Loop(given.address, squads).run(sys.stdin.fileno())
    return 0


if __name__ == "__main__":
    sys.exit(main())

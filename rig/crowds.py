"""Crowds of bad clients, in processes of their own.

`python -m rig.crowds` runs one crowd on one epoll loop; `Crowd` is one or more such processes as their
owner sees them. A crowd connects at a stated rate for as long as fewer than its standing number are open.
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

PIPELINED = 16  # requests that a slow reader sends at once
ANSWER_BYTES = 64 * 1024  # of each answer that it does not read
SMALL_BUFFER = 4096  # bytes that its kernel takes in
SEGMENT = 1400  # bytes, as on a real network
READ_MOST = 64 * 1024
TURN_S = 0.01  # the longest that a turn of the loop waits
CATCH_UP_S = 0.05  # of connections that were due while the loop was late
COMMAND_MOST = 64 * 1024
RATE_MOST = 100_000.0
STANDING_MOST = 18_000
EVENTS = select.EPOLLIN | select.EPOLLRDHUP
NO_LINGER = struct.pack("ii", 1, 0)


@dataclass(frozen=True, slots=True)
class Manner:
    """How one kind of bad client behaves. `opening` is what it writes once it is connected."""

    opening: Callable[[Makings], bytes]
    asks: bool = True  # it may expect a word
    reads: bool = True
    leaves_when_answered: bool = False
    keep_s: float = 60.0  # then it leaves by itself


class Makings:
    """What openings are made of, seeded."""

    def __init__(self, seed: str) -> None:
        self.rng = random.Random(seed)
        self.ids = call_ids(seed)
        self.turn = 0

    def call(self, **changes: Any) -> bytes:
        """A request with an identity of its own."""
        return request(next(self.ids), **changes)


def _garbage(makings: Makings) -> bytes:
    return makings.rng.randbytes(makings.rng.randrange(1, 400))


def _half(makings: Makings) -> bytes:
    """Half a head, and every other time a head with half a body."""
    makings.turn += 1
    whole = makings.call(kind="pay", body=b"x" * 200)
    return whole[:60] if makings.turn % 2 else whole[:-100]


def _unread(makings: Makings) -> bytes:
    act = Act(size_bytes=ANSWER_BYTES)
    return b"".join(makings.call(act=act) for _ in range(PIPELINED))


MANNERS = {
    "silent": Manner(lambda makings: b"", asks=False),
    "garbage": Manner(_garbage, leaves_when_answered=True, keep_s=5.0),
    "turned_away": Manner(
        lambda makings: makings.call(tenant=UNKNOWN_TENANT), leaves_when_answered=True, keep_s=5.0
    ),
    "half": Manner(_half),
    "slow_readers": Manner(_unread, asks=False, reads=False, keep_s=5.0),
    "once": Manner(lambda makings: makings.call(), keep_s=600.0),
}
ALL = "all"
KINDS = (*MANNERS, ALL)


@dataclass(slots=True)
class Counts:
    """What a crowd of one kind has seen so far."""

    tried: int = 0
    connected: int = 0
    refused: int = 0  # never came up
    answered: int = 0  # any word came back
    cut: int = 0  # closed by the other side after an opening, with no word
    closed: int = 0  # closed by the other side
    left: int = 0  # closed by the client
    no_port: int = 0  # this machine had no port or descriptor left
    open: int = 0
    statuses: Counter[str] = field(default_factory=Counter)

    def summary(self) -> dict[str, Any]:
        """As JSON values."""
        names = ("tried", "connected", "refused", "answered", "cut", "closed", "left", "no_port", "open")
        return {**{name: getattr(self, name) for name in names}, "statuses": dict(self.statuses)}


def added(parts: Sequence[dict[str, Any]]) -> dict[str, Any]:
    """The counts of several crowds together."""
    total: dict[str, Any] = {**Counts().summary(), "statuses": Counter()}
    for part in parts:
        for name, value in part.items():
            if name == "statuses":
                total["statuses"].update(value)
            else:
                total[name] += value
    return {**total, "statuses": dict(total["statuses"])}


class Client:
    """One bad client's connection."""

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
        self.manner = MANNERS[kind]
        self.rate_per_s = rate_per_s
        self.standing = standing
        self.counts = Counts()
        self._makings = Makings(f"{seed}/{kind}")
        self._due = 0.0  # connections that may be made now, a fraction included
        self._refilled = time.monotonic()
        self.ages: deque[Client] = deque()  # oldest first, those gone included for a while

    def opening(self) -> bytes:
        """What the next client writes."""
        return self.manner.opening(self._makings)

    def may_connect(self, now: float) -> int:
        """How many may connect now, at the rate; what is missed is made good for a moment only."""
        most = max(1.0, self.rate_per_s * CATCH_UP_S)
        self._due = min(most, self._due + (now - self._refilled) * self.rate_per_s)
        self._refilled = now
        return max(0, min(int(self._due), self.standing - self.counts.open))

    def spend(self) -> None:
        """One connection is tried."""
        self._due -= 1.0


class Loop:
    """All clients of this process on one epoll; nothing in it waits for longer than a turn."""

    def __init__(self, address: tuple[str, int], squads: Sequence[Squad]) -> None:
        self._address = address
        self._squads = squads
        self._epoll = select.epoll()
        self._clients: dict[int, Client] = {}
        self._command = b""

    def run(self, commands: int) -> None:
        """Go on until the descriptor that commands come by is closed."""
        os.set_blocking(commands, False)
        self._epoll.register(commands, select.EPOLLIN)
        going = True
        while going:
            now = time.monotonic()
            for squad in self._squads:
                self._come(squad, now)
                self._leave_in_time(squad, now)
            for number, event in self._epoll.poll(TURN_S):
                if number == commands:
                    going = self._commanded(commands)
                elif (client := self._clients.get(number)) is not None:
                    self._stirred(client, event)
        for client in list(self._clients.values()):
            self._drop(client)

    def counts(self) -> dict[str, Any]:
        """What all squads have seen."""
        return added([squad.counts.summary() for squad in self._squads])

    def _commanded(self, commands: int) -> bool:
        """Read what the owner has to say; whether to go on."""
        data = os.read(commands, COMMAND_MOST)
        *lines, self._command = (self._command + data).split(b"\n")
        for line in lines:
            obey(line, self._obey)
        return bool(data) and len(self._command) < COMMAND_MOST

    def _obey(self, do: str) -> Any:
        if do == "counts":
            return self.counts()
        raise ValueError(f"no command {do!r}")

    def _come(self, squad: Squad, now: float) -> None:
        for _ in range(squad.may_connect(now)):
            squad.spend()
            squad.counts.tried += 1
            try:
                sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
            except OSError:
                squad.counts.no_port += 1
                return
            if not squad.manner.reads:
                take_in_little(sock)
            failed = sock.connect_ex(self._address)
            if failed not in (0, errno.EINPROGRESS):
                sock.close()
                if failed == errno.EADDRNOTAVAIL:
                    squad.counts.no_port += 1
                else:
                    squad.counts.refused += 1
                continue
            client = Client(sock, squad, now + squad.manner.keep_s)
            self._clients[sock.fileno()] = client
            squad.ages.append(client)
            squad.counts.open += 1
            self._epoll.register(sock.fileno(), select.EPOLLOUT)

    def _leave_in_time(self, squad: Squad, now: float) -> None:
        ages = squad.ages
        while ages and (ages[0].sock.fileno() < 0 or ages[0].due <= now):
            client = ages.popleft()
            if client.sock.fileno() >= 0:
                squad.counts.left += 1
                self._drop(client)

    def _stirred(self, client: Client, event: int) -> None:
        if event & select.EPOLLOUT:
            self._write(client)
        elif event & select.EPOLLIN and client.squad.manner.reads:
            self._read(client)
        elif event & (select.EPOLLHUP | select.EPOLLERR | select.EPOLLRDHUP):
            self._closed(client)

    def _write(self, client: Client) -> None:
        """Connected, or room for more of the opening."""
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
            events = EVENTS if client.squad.manner.reads else select.EPOLLRDHUP
            self._epoll.modify(client.sock.fileno(), events)

    def _read(self, client: Client) -> None:
        try:
            data = client.sock.recv(READ_MOST)
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
        if client.squad.manner.leaves_when_answered:
            counts.left += 1
            self._drop(client)

    def _closed(self, client: Client) -> None:
        counts = client.squad.counts
        counts.closed += 1
        if not client.answered and client.squad.manner.asks:
            counts.cut += 1
        self._drop(client)

    def _drop(self, client: Client) -> None:
        """Close with a reset: no port is left behind to wait for a minute."""
        del self._clients[client.sock.fileno()]
        client.squad.counts.open -= 1
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        client.sock.close()  # epoll forgets it with that


def take_in_little(sock: socket.socket) -> None:
    """Make a socket that is still to connect a slow reader's, on its own side and on the other.

    Guards against the loopback's segments of 64 KiB, for which the other side's kernel takes in 2.6 MB
    that no real network would let it: answers would never pile up in the process.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT)


def _status(data: bytes) -> str:
    """The status that an answer begins with, or what it is else."""
    parts = data[:32].split(b" ")
    is_http = data.startswith(b"HTTP/1.") and len(parts) > 1 and parts[1].isdigit()
    return parts[1].decode() if is_http else "no HTTP"


@dataclass(frozen=True, slots=True)
class Size:
    """How many of a crowd connect a second, and how many may be open at once."""

    rate_per_s: float
    standing: int

    def __post_init__(self) -> None:
        if not 0.0 < self.rate_per_s <= RATE_MOST or not 1 <= self.standing <= STANDING_MOST:
            raise ValueError(f"no such crowd: {self.rate_per_s:g} a second, {self.standing} open")


class Crowd:
    """A crowd as its owner sees it: one process or more."""

    def __init__(self, helpers: Sequence[Helper]) -> None:
        self._helpers = helpers

    @classmethod
    async def start(
        cls, address: tuple[str, int], sizes: dict[str, Size], *, seed: int = 1, processes: int = 2
    ) -> Crowd:
        """Start crowds of these kinds, which share the processes; `ProgramError` if they can't be."""
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
        """What all have seen so far; see `Counts`."""
        return added(await asyncio.gather(*(helper.ask(do="counts") for helper in self._helpers)))

    async def stop(self) -> None:
        """All go away at once."""
        await asyncio.gather(*(helper.stop() for helper in self._helpers))


def spread(kind: str, whole: Size, apart: Mapping[str, Size]) -> dict[str, Size]:
    """The sizes of each kind in a crowd; `all` is every kind, each with its part of what it is alone.

    `apart` holds those that differ from `whole`; `ValueError` for an unknown kind.
    """
    if kind == ALL:
        sizes = {name: apart.get(name, whole) for name in MANNERS}
        parts = len(MANNERS)
        return {n: Size(s.rate_per_s / parts, max(1, s.standing // parts)) for n, s in sizes.items()}
    if kind not in MANNERS:
        raise ValueError(f"no crowd {kind!r}")
    return {kind: apart.get(kind, whole)}


def _squad(text: str) -> tuple[str, Size]:
    kind, rate, standing = text.split(":")
    if kind not in MANNERS:
        raise ValueError(f"no crowd {kind!r}")
    return kind, Size(float(rate), int(standing))


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host.startswith("127."):
        raise ValueError("only the loopback")
    return host, int(port)


def parser() -> argparse.ArgumentParser:
    """The command line of a process of bad clients."""
    made = argparse.ArgumentParser(prog="python -m rig.crowds", description=__doc__)
    made.add_argument("--address", type=_address, required=True, help="host:port on the loopback")
    made.add_argument("--squad", type=_squad, action="append", default=[], metavar="KIND:RATE:STANDING")
    made.add_argument("--seed", default="1")
    return made


def main() -> int:
    """Run a crowd until standard input ends; the exit code."""
    given = parser().parse_args()
    prepare()
    squads = [Squad(kind, size.rate_per_s, size.standing, given.seed) for kind, size in given.squad]
    say("ready")
    Loop(given.address, squads).run(sys.stdin.fileno())
    return 0


if __name__ == "__main__":
    sys.exit(main())

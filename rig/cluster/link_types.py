"""The links between nodes, their addresses, and what they carried."""

from __future__ import annotations

import random
import socket
from dataclasses import dataclass

from msgspec import Struct

Address = tuple[str, int]


class TcpLink(Struct, frozen=True, tag=True):
    """Address at which `src` reaches `dst`, which listens at `target`. Port 0: any free port."""

    src: str
    dst: str
    target: Address
    host: str = "127.0.0.1"
    port: int = 0

    @property
    def ends(self) -> tuple[str, str]:
        """The names of both ends."""
        return self.src, self.dst


class UdpLink(Struct, frozen=True, tag=True):
    """Both directions of a pair: datagrams from `one_at` are sent to `other_at`, and back."""

    one: str
    other: str
    one_at: Address
    other_at: Address

    @property
    def ends(self) -> tuple[str, str]:
        """The names of both ends."""
        return self.one, self.other


def wrong_address(address: Address) -> str:
    """Return what is wrong with an end's address; empty if nothing is. Host names are refused: no lookups."""
    host, port = address
    try:
        socket.inet_pton(socket.AF_INET, host)
    except OSError:
        return f"{host!r} is not an IPv4 address"
    return "" if 0 < port < 65536 else f"{port} is not a port from 1 to 65535"


@dataclass(slots=True)
class Counts:
    """What one direction of one link carried, of both protocols."""

    taken: int = 0  # bytes received from the sender
    passed: int = 0  # bytes sent to the receiver
    lost: int = 0  # bytes that will never be sent
    doubled: int = 0  # bytes added by a fault
    received: int = 0  # datagrams received from the sender
    messages: int = 0  # datagrams sent to the receiver
    dropped: int = 0  # datagrams not sent
    resets: int = 0

    @property
    def held(self) -> int:
        """Bytes that wait now."""
        return self.taken + self.doubled - self.passed - self.lost


def flipped(data: bytes, rng: random.Random) -> bytes:
    """Return the data with one bit changed; empty data stays empty."""
    if not data:
        return data
    changed = bytearray(data)
    changed[rng.randrange(len(changed))] ^= 1 << rng.randrange(8)
    return bytes(changed)


def address_of(number: int) -> str:
    """Return the loopback address of a node; the first thousand nodes have one each."""
    if not 0 <= number < 1000:
        raise ValueError(f"node number {number} is not from 0 to 999")
    return f"127.77.{number // 250}.{number % 250 + 1}"


def free_port(host: str) -> int:
    """Return a port of the address that is not in use now."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])

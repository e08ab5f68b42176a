"""The table `[peers]`: messages of the decision module between the processes of one fleet. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from fordtrestle.proxy.engine.ports import Address
from fordtrestle.proxy.engine.schema import Table, address_text

PEERS_MOST = 4096


@dataclass(frozen=True, slots=True)
class PeersSpec:
    """`[peers]`: `listen` is where messages arrive (UDP), `at` where each process of the fleet is reached, by
    its number, this one included, and `me` the own number.
    """

    listen: Address | None
    me: int
    at: tuple[Address, ...]


def read_peers(table: Table) -> PeersSpec:
    """What the table says; faults are noted in it."""
    before = len(table.faults.found)
    read = PeersSpec(
        listen=table.address("listen"),
        me=table.count("me", None, 0, PEERS_MOST - 1, needed=True) or 0,
        at=table.addresses("at"),
    )
    if len(table.faults.found) == before:  # else a bad row would make others seem wrong
        _check(table, read)
    table.end()
    return read


def _check(table: Table, read: PeersSpec) -> None:
    if len(read.at) > PEERS_MOST:
        table.fault("at", f"{len(read.at)} addresses, more than {PEERS_MOST}")
    if read.me >= len(read.at):
        table.fault("me", f"{read.me} is not among at, which has {len(read.at)}")
    # Guards against a message that could be of either of two.
    for address in sorted(address for address in set(read.at) if read.at.count(address) > 1):
        table.fault("at", f"{address_text(address)} is there more than once")

"""The table `[peers]`: messages of the decision module between the processes of one fleet. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from fordtrestle.proxy.engine.ports import Address
from fordtrestle.proxy.engine.schema import Table, address_text

MAX_PEERS = 4096  # bounds the datagrams of a message to all of them


@dataclass(frozen=True, slots=True)
class PeersSpec:
    """`[peers]`.

    Attributes:
        listen: Where messages arrive (UDP).
        me: The number of this process.
        at: The address of each process of the fleet, this one included, by its number.
    """

    listen: Address | None
    me: int
    at: tuple[Address, ...]


def read_peers(table: Table) -> PeersSpec:
    """Read the table; faults are recorded in it."""
    faults_before = len(table.faults.found)
    spec = PeersSpec(
        listen=table.address("listen"),
        me=table.count("me", None, 0, MAX_PEERS - 1, needed=True) or 0,
        at=table.addresses("at"),
    )
    if len(table.faults.found) == faults_before:  # otherwise a bad row would make others look wrong
        _check(table, spec)
    table.end()
    return spec


def _check(table: Table, spec: PeersSpec) -> None:
    if len(spec.at) > MAX_PEERS:
        table.fault("at", f"{len(spec.at)} addresses, more than {MAX_PEERS}")
    if spec.me >= len(spec.at):
        table.fault("me", f"{spec.me} is not among at, which has {len(spec.at)}")
    # The sender of a message is recognized by its address, which may belong to one process only.
    for address in sorted(address for address in set(spec.at) if spec.at.count(address) > 1):
        table.fault("at", f"{address_text(address)} is there more than once")

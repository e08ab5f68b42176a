"""The table `[peers]`: messages of the decision module between the processes of one fleet. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from fordtrestle.proxy.engine.ports import Address
from fordtrestle.proxy.engine.schema import TomlTable, address_text

MAX_PEERS = 4096  # bounds the datagrams of a message to all peers


@dataclass(frozen=True, slots=True)
class PeersSpec:
    """`[peers]`.

    Attributes:
        listen: The address at which messages are received (UDP).
        me: The number of this process.
        at: The address of each process of the fleet, this one included, by its number.
    """

    listen: Address | None
    me: int
    at: tuple[Address, ...]


def read_peers(table: TomlTable) -> PeersSpec:
    """Read the table, and record its faults in it."""
    faults_before = len(table.errors.found)
    spec = PeersSpec(
        listen=table.address("listen"),
        me=table.integer("me", None, 0, MAX_PEERS - 1, required=True) or 0,
        at=table.addresses("at"),
    )
    if len(table.errors.found) == faults_before:  # an invalid value could cause false faults here
        _check(table, spec)
    table.reject_unknown_keys()
    return spec


def _check(table: TomlTable, spec: PeersSpec) -> None:
    if len(spec.at) > MAX_PEERS:
        table.add_error("at", f"{len(spec.at)} addresses, at most {MAX_PEERS} are allowed")
    if spec.me >= len(spec.at):
        table.add_error("me", f"{spec.me} is not an index of at, whose length is {len(spec.at)}")
    # The sender of a message is identified by its address, which therefore may belong to one process only.
    for address in sorted(address for address in set(spec.at) if spec.at.count(address) > 1):
        table.add_error("at", f"{address_text(address)} occurs more than once")

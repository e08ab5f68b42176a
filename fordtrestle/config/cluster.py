"""The table `[cluster]`: rules that all processes of a cluster act on, and how long two may differ. Pure."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from fordtrestle.engine.ports import Address
from fordtrestle.engine.schema import Table, address_text, good

MODES = ("consistent", "available")
MEMBERS_MOST = 4096
VOTERS = (1, 3, 5, 7)  # one more than an odd number can lose no more of them
ELECTION_MESSAGES = 4.0  # a leader's beat, its answer, and as much again, since one may be lost
NEEDED = "pip install 'fordtrestle[cluster]'"


@dataclass(frozen=True, slots=True)
class MemberSpec:
    """`[cluster.member.NAME]`: where this process reaches it, and whether it votes when a cluster begins."""

    address: Address | None
    voter: bool


@dataclass(frozen=True, slots=True)
class ClusterSpec:
    """`[cluster]`: `id` tells clusters apart, `listen` is where the others connect (TCP); times in ms.

    `mode`: what is done without agreement. `contradiction_ms`: how long two processes may act on rules that
    contradict. `check_ms`: how long before an act a lease is looked at. `drift_ppm`: how far the rates of two
    clocks may differ. `message_ms`: how long a message takes, one way. `election_ms`: how long a leader may
    be silent. `members`: all that vote, and others that are to be reached; who is not among them follows."""

    id: str
    listen: Address | None
    mode: str
    contradiction_ms: float
    check_ms: float
    drift_ppm: float
    message_ms: float
    election_ms: float
    members: Mapping[str, MemberSpec]

    @property
    def voters(self) -> tuple[str, ...]:
        """Who votes when the cluster begins, by name."""
        return tuple(sorted(name for name, member in self.members.items() if member.voter))

    @property
    def addresses(self) -> dict[str, Address]:
        """Where each member is reached."""
        found = {name: member.address for name, member in self.members.items()}
        return {name: address for name, address in found.items() if address is not None}


def read_cluster(table: Table) -> ClusterSpec:
    """What the table says; faults are noted in it."""
    before = len(table.faults.found)
    read = ClusterSpec(
        id=table.word("id"),
        listen=table.address("listen"),
        mode=table.one_of("mode", MODES, "consistent"),
        contradiction_ms=good(table.figure("contradiction_ms", 2000.0, 1.0, 3_600_000.0)),
        check_ms=good(table.figure("check_ms", 50.0, 1.0, 1000.0)),
        drift_ppm=good(table.figure("drift_ppm", 1000.0, 0.0, 100_000.0)),
        message_ms=good(table.figure("message_ms", 40.0, 1.0, 10_000.0)),
        election_ms=good(table.figure("election_ms", 500.0, 10.0, 600_000.0)),
        members=_members(table),
    )
    if read.election_ms < ELECTION_MESSAGES * read.message_ms:
        least = ELECTION_MESSAGES * read.message_ms
        table.fault("election_ms", f"{read.election_ms:g} is below {least:g}, four times message_ms")
    if len(table.faults.found) == before:  # else a bad figure would make others seem wrong
        _check_lease(table, read)
    table.end()
    return read


def _members(table: Table) -> dict[str, MemberSpec]:
    read: dict[str, MemberSpec] = {}
    taken: dict[Address, str] = {}
    for name, row in table.named("member", needed=True):
        read[name] = member = MemberSpec(row.address("address"), row.flag("voter", False))
        if member.address is not None and member.address.port == 0:
            row.fault("address", "a port to connect to is needed")
        elif member.address is not None and taken.setdefault(member.address, name) != name:
            where = address_text(member.address)
            row.fault("address", f"{where} is taken by member {taken[member.address]}")
        row.end()
    voters = sum(member.voter for member in read.values())
    if len(read) > MEMBERS_MOST:
        table.fault("member", f"{len(read)} members, more than {MEMBERS_MOST}")
    if read and voters not in VOTERS:
        table.fault("member", f"{voters} voters, and there may be 1, 3, 5 or 7")
    return read


def _check_lease(table: Table, read: ClusterSpec) -> None:
    """Guards against a time within which a lease could not be renewed."""
    try:
        from fordtrestle.cluster.lease import LeaseConfig  # loaded only where it is on
    except ModuleNotFoundError as error:
        table.faults.add(table.at, f"{error.name} is missing: {NEEDED}")
        return
    lease = LeaseConfig(read.contradiction_ms, read.check_ms, read.drift_ppm, read.message_ms)
    if line := lease.fault():
        table.fault(*line.split(": ", 1))

"""One sample of every message and record that goes over wires or onto disks, each field set."""

from __future__ import annotations

from dataclasses import fields
from enum import IntEnum
from typing import Any

from fordtrestle.dissemination import delta, items
from fordtrestle.dissemination import messages as gossip
from fordtrestle.peer import messages as peer
from fordtrestle.peer.wire_types import BY_TYPE
from fordtrestle.replication import epochs, state
from fordtrestle.replication import messages as replication

DOCUMENT = b'{"generation": 7, "routes": [{"name": "r-1"}], "services": [{"name": "pool"}]}'
OLDER = epochs.Term(3, "s1")
TERM = epochs.Term(4, "s2")
STORES = (
    epochs.Store("s1", "10.0.0.1:7000", "10.0.0.1:7001", "z-1"),
    epochs.Store("s2", "10.0.0.2:7000", "10.0.0.2:7001", "z-2"),
    epochs.Store("s3", "10.0.0.3:7000", "10.0.0.3:7001", "z-3"),
)
EPOCH = epochs.Epoch(TERM, "s2", ("s2", "s1"), STORES, (("s1", "s2", "s9"),), (OLDER, 11), "s1")
CONFIG_CHANGE = state.ConfigChange(b"d" * 32, 7, DOCUMENT)
EVACUATION = state.Evacuation("z-1", True)
TAKEN = state.AppliedCall(b"d" * 32, 6)
STATE = state.ControlState(12, 7, DOCUMENT, ("z-1",), (TAKEN,), 2, b"old1old2")
VIEW = items.ControlView(12, 7, DOCUMENT, ("z-1",))
SERVER = items.ServerRecord(
    "i-1",
    "pool",
    "10.0.1.1:80",
    "z-2",
    16,
    items.Phase.DRAINING,
    True,
    1500.0,
    2500.5,
    ("m-1", "m-2"),
    "core-2",
)
MEMBER = items.MemberRecord(
    "front-1", "sidecar", "z-1", "r-1", "10.0.2.1:7000", "10.0.2.1:80", items.Availability.LEAVING
)
EJECTION = items.EjectionRecord("i-1", 4.0)
ITEM = items.Item("server/i-1", (1, 9, 1), SERVER)
VERSIONS = (("server/i-1", (1, 9, 1)), ("control", (12,)))
HELLO = peer.Hello("front-1", "10.0.2.1:7000", 1, 1)
ANNOUNCE = replication.Announce(STORES[0], True, True, "s1", True)

SAMPLES = (
    HELLO,
    peer.Envelope("s1", "s2", replication.HeartbeatAck(TERM, 5, OLDER, 11)),
    TERM,
    STORES[0],
    EPOCH,
    CONFIG_CHANGE,
    EVACUATION,
    replication.Heartbeat(EPOCH, 5),
    replication.PreVote(6),
    replication.PreVoteGrant(6, TERM, EPOCH),
    replication.Prepare(TERM),
    replication.Prepared(TERM, EPOCH, OLDER, 11),
    replication.Install(TERM, STATE),
    replication.Installed(TERM),
    replication.Accept(EPOCH),
    replication.Accepted(TERM),
    replication.Append(TERM, 13, CONFIG_CHANGE),
    replication.Appended(TERM, 13),
    replication.Rejected(OLDER, TERM),
    replication.Vote("s1", TERM, EPOCH),
    replication.Snapshot(TERM, STATE),
    replication.Entry(TERM, 13, EVACUATION),
    VIEW,
    SERVER,
    MEMBER,
    ITEM,
    gossip.Update((ITEM, items.Item("control", (12,), VIEW))),
    gossip.RangeDigests((b"\x01" * 8, b"\x02" * 8)),
    gossip.RangeVersions((0, 3), VERSIONS),
    gossip.Want(("control", "server/i-1")),
    gossip.IndirectProbe("front-1"),
    gossip.IndirectProbeAck("front-1"),
    replication.Resign(TERM),
    ANNOUNCE,
    replication.HeartbeatAck(TERM, 5, OLDER, 11),
    TAKEN,
    STATE,
    gossip.Confirm(21, ITEM),
    gossip.Confirmed(21),
    gossip.Offer(VERSIONS),
    gossip.Prune(),
    delta.Copy(10, 40),
    delta.ControlDelta(11, 12, 7, (delta.Copy(0, 17), b"more"), 0x1234, ("z-1",)),
    replication.Founder("s1"),
    EJECTION,
    gossip.Outcomes("i-1", 30, 2),
    gossip.OutcomeReport("pool", (gossip.Outcomes("i-1", 30, 2),)),
)


def plain(value: Any) -> Any:
    """A value as JSON holds it; a record is the list of its fields' values, whatever their names."""
    if isinstance(value, IntEnum):
        return int(value)
    if isinstance(value, bytes):
        return {"bytes": value.hex()}
    if isinstance(value, list | tuple):
        return [plain(part) for part in value]
    if value is None or isinstance(value, bool | int | float | str):
        return value
    return {"tag": BY_TYPE[type(value)].tag, "values": [plain(getattr(value, f.name)) for f in fields(value)]}

"""A sample of every message and record type that is sent or stored, with every field set."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import fields
from enum import IntEnum
from typing import Any

from fordtrestle.coordination import answers, calls, changes, commands
from fordtrestle.coordination import state as coordination
from fordtrestle.dissemination import delta, items
from fordtrestle.dissemination import messages as gossip
from fordtrestle.peer import messages as peer
from fordtrestle.peer import remote_clock
from fordtrestle.peer.wire_types import BY_TAG, BY_TYPE
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
APPLIED_CALL = state.AppliedCall(b"d" * 32, 6)
LOCK = coordination.Lock("a1", 9, 2500.0, 12)
STORED = coordination.StoredValue("v-2", 2)
KEY_EVENT = coordination.KeyEvent("g.k", "v-2", 2, 11)
GROUP = coordination.KeyGroup(2, 1, {"g.k": STORED}, (KEY_EVENT,), 12)
COORDINATION = coordination.CoordinationState({"l-1": LOCK}, {"n-1": 5}, {"g.": GROUP}, 12)
STATE = state.ControlState(12, 7, DOCUMENT, ("z-1",), (APPLIED_CALL,), 2, b"old1old2", COORDINATION)
ACQUIRE = commands.AcquireLock("l-1", "a1", 2500.0)
GRANTED = answers.LockGranted(9)
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
    replication.Heartbeat(EPOCH, 5, 12),
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
    APPLIED_CALL,
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
    replication.CommitNotice(TERM, 12),
    LOCK,
    STORED,
    KEY_EVENT,
    GROUP,
    COORDINATION,
    changes.GrantLock("l-1", "a1", 2500.0, "l-0"),
    changes.ExtendLock("l-1", 2500.0),
    changes.FreeLock("l-1"),
    changes.AdvanceCounter("n-1"),
    changes.WriteKey("g.k", "v-2", 1),
    ACQUIRE,
    commands.RenewLock("l-1", "a1", 9, 2500.0),
    commands.ReleaseLock("l-1", "a1", 9),
    commands.IssueNumber("n-1"),
    commands.PutKey("g.k", "v-2", 1),
    commands.GetKey("g.k"),
    commands.ReadIndex(),
    GRANTED,
    answers.LockRenewed(),
    answers.LockReleased(),
    answers.LockUnavailable(),
    answers.NumberIssued(5),
    answers.KeyWritten(2),
    answers.RevisionMismatch(2),
    answers.KeyFound("v-2", 2),
    answers.KeyMissing(),
    answers.IndexRead(12),
    answers.Overloaded(),
    answers.Unavailable(),
    answers.OutcomeUnknown(),
    answers.NotPrimary(),
    calls.CoordinationCall(3, ACQUIRE, 900.0, "c1", 4711.5),
    calls.CoordinationReply(3, GRANTED),
    remote_clock.ClockReading("c1", 4710.25),
)


def to_plain(value: Any) -> Any:
    """Convert a value to JSON types; a record becomes its tag and its field values, without names."""
    if isinstance(value, IntEnum):
        return int(value)
    if isinstance(value, bytes):
        return {"bytes": value.hex()}
    if isinstance(value, list | tuple):
        return [to_plain(part) for part in value]
    if isinstance(value, Mapping):
        return {name: to_plain(part) for name, part in value.items()}
    if value is None or isinstance(value, bool | int | float | str):
        return value
    return {
        "tag": BY_TYPE[type(value)].tag,
        "values": [to_plain(getattr(value, f.name)) for f in fields(value)],
    }


def gains_defaults_only(recorded: Any, current: Any) -> bool:
    """Return whether a current value equals a recorded one, except for fields appended to its records since.

    The appended fields must have their defaults. Both values are in the form that `to_plain` returns.
    """
    if isinstance(recorded, dict) and "tag" in recorded:
        kind = BY_TAG[recorded["tag"]].kind
        added = fields(kind)[len(recorded["values"]) :]
        recorded_part, defaults = (
            current["values"][: len(recorded["values"])],
            [to_plain(field.default) for field in added],
        )
        return (
            current["tag"] == recorded["tag"]
            and current["values"][len(recorded["values"]) :] == defaults
            and gains_defaults_only(recorded["values"], recorded_part)
        )
    if isinstance(recorded, list):
        return len(recorded) == len(current) and all(map(gains_defaults_only, recorded, current))
    return bool(recorded == current)

"""Heartbeats of servers: what is new in them, and whose have stopped (PROTOCOL: service discovery)."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import Any

from marshmallow import EXCLUDE, Schema, fields, validate
from returns.result import Result

from fordtrestle.control_api.configuration import ValidationErrors
from fordtrestle.control_api.json_body import read_object
from fordtrestle.dissemination.catalog import Catalog
from fordtrestle.dissemination.items import SERVER_PREFIX, Item, Phase, ServerRecord, server_item

# A longer body is refused; heartbeats take some hundred bytes.
MAX_HEARTBEAT_BYTES = 4096

# Heartbeat periods without any before a server is unresponsive: three may get lost, and half a period is for
# a late one.
MAX_MISSED_HEARTBEATS = 3.5

# By which the end of a server's warm-up has to move for it to have started to warm up again: more than what
# heartbeats are delayed by.
MIN_WARM_UP_RISE_S = 0.3

# Servers whose heartbeats this process tracks, so that instances made up by a caller do not fill its memory.
MAX_TRACKED_SERVERS = 20_000

MS_PER_S = 1000.0


class _HeartbeatSchema(Schema):
    class Meta:
        unknown = EXCLUDE

    backend = fields.String(required=True, validate=validate.Length(min=1))
    address = fields.String(required=True, validate=validate.Regexp(r"^[0-9.]+:[0-9]+\Z"))
    zone = fields.String(required=True)
    slots = fields.Integer(load_default=1, validate=validate.Range(min=0))
    state = fields.String(load_default="ready", validate=validate.OneOf(("ready", "draining")))
    cold_remaining_ms = fields.Float(load_default=0.0, allow_none=True)
    remaining_ms = fields.Float(load_default=None, allow_none=True)
    models = fields.List(fields.Dict(), load_default=list, allow_none=True)
    sequence = fields.Integer(required=True)


@dataclass(frozen=True, slots=True)
class ServerHeartbeat:
    """One heartbeat of a server.

    Attributes:
        record: What the server says of itself.
        sequence: Its number, which rises with each heartbeat of an incarnation.
    """

    record: ServerRecord
    sequence: int


def read_heartbeat(instance: str, body: bytes, heard_by: str) -> Result[ServerHeartbeat, ValidationErrors]:
    """Read the body of a heartbeat.

    Args:
        instance: The incarnation that sent it.
        body: The body in JSON.
        heard_by: The control process that it came to.

    Returns:
        The heartbeat, or all that is wrong with it.
    """
    return read_object(_HeartbeatSchema(), body).map(
        lambda data: ServerHeartbeat(_record_of(instance, data, heard_by), data["sequence"])
    )


def _record_of(instance: str, data: Mapping[str, Any], heard_by: str) -> ServerRecord:
    return ServerRecord(
        instance=instance,
        service=data["backend"],
        address=data["address"],
        zone=data["zone"],
        slots=data["slots"],
        phase=Phase.DRAINING if data["state"] == "draining" else Phase.SERVING,
        is_unresponsive=False,
        warm_up_ms=max(0.0, data["cold_remaining_ms"] or 0.0),
        remaining_ms=data["remaining_ms"],
        models=tuple(str(model.get("name", "")) for model in data["models"] or ()),
        heard_by=heard_by,
    )


def _unknown_server(instance: str, heard_by: str) -> ServerRecord:
    """The record of an incarnation that has departed and was never heard of here."""
    return ServerRecord(
        instance=instance,
        service="",
        address="",
        zone="",
        slots=0,
        phase=Phase.DEPARTED,
        is_unresponsive=False,
        warm_up_ms=0.0,
        remaining_ms=None,
        models=(),
        heard_by=heard_by,
    )


@dataclass(slots=True)
class _LastHeartbeat:
    sequence: int
    at: float  # seconds of a monotonic clock
    warm_until: float  # the same


class HeartbeatMonitor:
    """Tracks the heartbeats that come to this process: which say something new, and whose have stopped.

    It changes no catalog: its methods return the items for others to be published.
    """

    def __init__(self, node: str, heartbeat_s: float) -> None:
        """Begin with no server known.

        Args:
            node: The name of this control process.
            heartbeat_s: The period of servers' heartbeats, in seconds.
        """
        self._node = node
        self._timeout_s = MAX_MISSED_HEARTBEATS * heartbeat_s
        self._last: dict[str, _LastHeartbeat] = {}  # by instance

    def on_heartbeat(self, heartbeat: ServerHeartbeat, catalog: Catalog, now: float) -> Item | None:
        """Record a heartbeat.

        Args:
            heartbeat: What came.
            catalog: What is known of all servers.
            now: Seconds of a monotonic clock.

        Returns:
            The item to publish where the heartbeat says something new. Nothing where it was overtaken by a
            newer one, or as many servers as this process tracks are there already.
        """
        record = heartbeat.record
        last = self._last.get(record.instance)
        if last and heartbeat.sequence < last.sequence:
            return None
        warm_until = now + record.warm_up_ms / MS_PER_S
        warms_up_again = record.warm_up_ms > 0 and (
            last is None or warm_until > last.warm_until + MIN_WARM_UP_RISE_S
        )
        if last is None and len(self._last) >= MAX_TRACKED_SERVERS:
            return None
        self._last[record.instance] = _LastHeartbeat(heartbeat.sequence, now, warm_until)
        known = catalog.get(SERVER_PREFIX + record.instance)
        if known and isinstance(known.value, ServerRecord) and not warms_up_again:
            # The times run down by themselves: that is nothing new.
            expected = replace(known.value, warm_up_ms=record.warm_up_ms, remaining_ms=record.remaining_ms)
            if expected == record:
                return None
        return server_item(record, heartbeat.sequence)

    def deregister(self, instance: str, catalog: Catalog) -> Item:
        """The item that says that an incarnation has departed.

        There is one also where the incarnation was never heard of here: others may have heard of it, and its
        heartbeat may be on the way.
        """
        self._last.pop(instance, None)
        known = catalog.get(SERVER_PREFIX + instance)
        if known is None or not isinstance(known.value, ServerRecord):
            return server_item(_unknown_server(instance, self._node), 0)
        return server_item(replace(known.value, phase=Phase.DEPARTED), known.version[1])

    def find_unresponsive(
        self, catalog: Catalog, now: float, is_successor_of: Callable[[str], bool] = lambda node: False
    ) -> list[Item]:
        """Find the servers whose heartbeats have stopped to come here, and come nowhere else as far as known.

        A server that went over to another process is left to that one: its heartbeats have not stopped. Each
        server is found once, until its next heartbeat.

        Args:
            catalog: What is known of all servers.
            now: Seconds of a monotonic clock.
            is_successor_of: Whether this process watches the servers of a control process that is down.

        Returns:
            The items that say so.
        """
        self._adopt_servers(catalog, now, is_successor_of)
        items = []
        for instance, last in list(self._last.items()):
            if now - last.at <= self._timeout_s:
                continue
            del self._last[instance]
            known = catalog.get(SERVER_PREFIX + instance)
            if known is None or not isinstance(known.value, ServerRecord):
                continue
            is_ours = known.value.heard_by == self._node or is_successor_of(known.value.heard_by)
            if is_ours and known.value.phase is Phase.SERVING:
                sequence = max(known.version[1], last.sequence)
                items.append(server_item(replace(known.value, is_unresponsive=True), sequence))
        return items

    def _adopt_servers(self, catalog: Catalog, now: float, is_successor_of: Callable[[str], bool]) -> None:
        """Watch servers that nobody would report as unresponsive otherwise.

        Their heartbeats came to an earlier incarnation of this process, or to one that is down and whose
        successor this one is.
        """
        for record, version in catalog.servers():
            if record.phase is not Phase.SERVING or record.is_unresponsive or record.instance in self._last:
                continue
            if record.heard_by == self._node or is_successor_of(record.heard_by):
                self._last[record.instance] = _LastHeartbeat(version[1], now, now)

"""Tracks servers' heartbeats: what changes in them, and which have stopped (PROTOCOL: service discovery)."""

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

# Longer bodies are rejected; heartbeats take a few hundred bytes.
MAX_HEARTBEAT_BYTES = 4096

# Heartbeat periods without a heartbeat after which a server counts as unresponsive. Three heartbeats may get
# lost; the half period allows for a late one.
MAX_MISSED_HEARTBEATS = 3.5

# A server has started to warm up again if the end of its warm-up moved by more than this. It exceeds the
# delay of heartbeats, which also moves that end.
MIN_WARM_UP_EXTENSION_S = 0.3

# Bounds the memory that a caller can fill with heartbeats of invented instances.
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
        record: The state that the server reports.
        sequence: The heartbeat's number, which rises with each heartbeat of an incarnation.
    """

    record: ServerRecord
    sequence: int


def read_heartbeat(instance: str, body: bytes, heard_by: str) -> Result[ServerHeartbeat, ValidationErrors]:
    """Parse and check the body of a heartbeat.

    Args:
        instance: The incarnation that sent it.
        body: The body in JSON.
        heard_by: The control process that received it.

    Returns:
        The heartbeat, or all errors in the body.
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
    """Return the record of a departed incarnation that this process does not know."""
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
    received_at: float  # seconds of a monotonic clock
    warm_until: float  # seconds of a monotonic clock


class HeartbeatMonitor:
    """Tracks the heartbeats that this process receives, and detects changes and servers that fell silent.

    It does not change the catalog: its methods return the items that the caller has to publish.
    """

    def __init__(self, node: str, heartbeat_s: float) -> None:
        """Create a monitor that knows no servers.

        Args:
            node: The name of this control process.
            heartbeat_s: The period of servers' heartbeats, in seconds.
        """
        self._node = node
        self._timeout_s = MAX_MISSED_HEARTBEATS * heartbeat_s
        self._last_heartbeats: dict[str, _LastHeartbeat] = {}  # by instance

    def on_heartbeat(self, heartbeat: ServerHeartbeat, catalog: Catalog, now: float) -> Item | None:
        """Record a heartbeat.

        Args:
            heartbeat: The heartbeat.
            catalog: The known servers.
            now: The current time, in seconds of a monotonic clock.

        Returns:
            The item to publish if the heartbeat changes something. None if it does not, if a newer heartbeat
            overtook it, or if the server is new and this process tracks `MAX_TRACKED_SERVERS` already.
        """
        record = heartbeat.record
        last = self._last_heartbeats.get(record.instance)
        if last and heartbeat.sequence < last.sequence:
            return None
        warm_until = now + record.warm_up_ms / MS_PER_S
        has_restarted_warm_up = record.warm_up_ms > 0 and (
            last is None or warm_until > last.warm_until + MIN_WARM_UP_EXTENSION_S
        )
        if last is None and len(self._last_heartbeats) >= MAX_TRACKED_SERVERS:
            return None
        self._last_heartbeats[record.instance] = _LastHeartbeat(heartbeat.sequence, now, warm_until)
        known = catalog.get(SERVER_PREFIX + record.instance)
        if known and isinstance(known.value, ServerRecord) and not has_restarted_warm_up:
            # Both times count down by themselves, which is no change.
            expected = replace(known.value, warm_up_ms=record.warm_up_ms, remaining_ms=record.remaining_ms)
            if expected == record:
                return None
        return server_item(record, heartbeat.sequence)

    def deregister(self, instance: str, catalog: Catalog) -> Item:
        """Stop tracking an incarnation and return the item that marks it as departed.

        An incarnation that this process does not know gets an item, too: other processes may know it, and a
        heartbeat of it may still arrive.
        """
        self._last_heartbeats.pop(instance, None)
        known = catalog.get(SERVER_PREFIX + instance)
        if known is None or not isinstance(known.value, ServerRecord):
            return server_item(_unknown_server(instance, self._node), 0)
        return server_item(replace(known.value, phase=Phase.DEPARTED), known.version[1])

    def find_unresponsive(
        self, catalog: Catalog, now: float, is_successor_of: Callable[[str], bool] = lambda node: False
    ) -> list[Item]:
        """Find the servers that stopped sending heartbeats to this process and did not move to another.

        A server that moved to another process is left to that process, since its heartbeats have not stopped.
        Each server is reported once until its next heartbeat.

        Args:
            catalog: The known servers.
            now: The current time, in seconds of a monotonic clock.
            is_successor_of: Tells whether the control process of a given name is down and this process
                monitors its servers.

        Returns:
            The items that mark these servers as unresponsive.
        """
        self._adopt_servers(catalog, now, is_successor_of)
        items = []
        for instance, last in list(self._last_heartbeats.items()):
            if now - last.received_at <= self._timeout_s:
                continue
            del self._last_heartbeats[instance]
            known = catalog.get(SERVER_PREFIX + instance)
            if known is None or not isinstance(known.value, ServerRecord):
                continue
            is_responsible = known.value.heard_by == self._node or is_successor_of(known.value.heard_by)
            if is_responsible and known.value.phase is Phase.SERVING:
                sequence = max(known.version[1], last.sequence)
                items.append(server_item(replace(known.value, is_unresponsive=True), sequence))
        return items

    def _adopt_servers(self, catalog: Catalog, now: float, is_successor_of: Callable[[str], bool]) -> None:
        """Track servers that no process would otherwise report as unresponsive.

        Their heartbeats went to an earlier incarnation of this process, or to a process that is down and
        whose successor this one is.
        """
        for record, version in catalog.servers():
            if (
                record.phase is not Phase.SERVING
                or record.is_unresponsive
                or record.instance in self._last_heartbeats
            ):
                continue
            if record.heard_by == self._node or is_successor_of(record.heard_by):
                self._last_heartbeats[record.instance] = _LastHeartbeat(version[1], now, now)

"""What servers say of themselves, and when that is worth telling everyone (PROTOCOL: service discovery)."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import Any

from marshmallow import EXCLUDE, Schema, ValidationError, fields, validate
from returns.result import Failure, Result, Success

from fordtrestle.control_api.configuration import Invalid
from fordtrestle.dissemination.catalog import Catalog
from fordtrestle.dissemination.items import SERVER_PREFIX, Item, Phase, ServerRecord, server_item
from fordtrestle.settings.schema import flatten_errors

BODY_MOST = 4096
SILENT_BEATS = 3.5  # heartbeats that a server may leave out before it is told to be silent
COLD_MORE_S = 0.3  # a rise of the time that it says it is cold: it has turned cold once more
MS_PER_S = 1000.0
TRACKED_MOST = 20_000


class _Heartbeat(Schema):
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
class Heartbeat:
    """One heartbeat of a server."""

    record: ServerRecord
    sequence: int


def read_heartbeat(instance: str, body: bytes, heard_by: str) -> Result[Heartbeat, Invalid]:
    """The heartbeat of a body, or all that is wrong with it."""
    try:
        raw = json.loads(body)
        if not isinstance(raw, dict):
            return Failure(Invalid(("expected a JSON object",)))
        data: Mapping[str, Any] = _Heartbeat().load(raw)
    except ValidationError as error:
        return Failure(Invalid(flatten_errors(error.messages)))
    except (ValueError, RecursionError) as error:
        return Failure(Invalid((f"not JSON: {error}",)))
    record = ServerRecord(
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
    return Success(Heartbeat(record, data["sequence"]))


def _nameless(instance: str, heard_by: str) -> ServerRecord:
    """What is known of an incarnation that is gone and was never heard of."""
    return ServerRecord(instance, "", "", "", 0, Phase.DEPARTED, False, 0.0, None, (), heard_by)


@dataclass(slots=True)
class _Heard:
    sequence: int
    at: float
    cold_until: float


class Heartbeats:
    """The heartbeats that this process takes: which of them are news, and who has fallen silent."""

    def __init__(self, node: str, heartbeat_s: float) -> None:
        self._node = node
        self._silent_s = SILENT_BEATS * heartbeat_s
        self._heard: dict[str, _Heard] = {}

    def take(self, beat: Heartbeat, catalog: Catalog, now: float) -> Item | None:
        """Note a heartbeat; the item to spread where it says something new."""
        instance = beat.record.instance
        heard = self._heard.get(instance)
        if heard and beat.sequence < heard.sequence:
            return None  # it has come late
        cold_until = now + beat.record.warm_up_ms / MS_PER_S
        colder = beat.record.warm_up_ms > 0 and (heard is None or cold_until > heard.cold_until + COLD_MORE_S)
        if heard is None and len(self._heard) >= TRACKED_MOST:
            return None
        self._heard[instance] = _Heard(beat.sequence, now, cold_until)
        known = catalog.get(SERVER_PREFIX + instance)
        if known and isinstance(known.value, ServerRecord) and not colder:
            same = replace(
                known.value, warm_up_ms=beat.record.warm_up_ms, remaining_ms=beat.record.remaining_ms
            )
            if same == beat.record:
                return None
        return server_item(beat.record, beat.sequence)

    def deregister(self, instance: str, catalog: Catalog) -> Item:
        """The item that says that an incarnation is gone, also where it was not heard of here: others may
        have heard of it.
        """
        self._heard.pop(instance, None)
        known = catalog.get(SERVER_PREFIX + instance)
        if known is None or not isinstance(known.value, ServerRecord):
            return server_item(_nameless(instance, self._node), 0)
        return server_item(replace(known.value, phase=Phase.DEPARTED), known.version[1])

    def fallen_silent(
        self, catalog: Catalog, now: float, inherits: Callable[[str], bool] = lambda node: False
    ) -> list[Item]:
        """The items that say whose heartbeats have stopped coming here, and go nowhere else as far as
        known. `inherits` tells of which control processes, that are gone, this one is the heir.
        """
        items = []
        self._adopt(catalog, now, inherits)
        for instance, heard in list(self._heard.items()):
            if now - heard.at <= self._silent_s:
                continue
            del self._heard[instance]
            known = catalog.get(SERVER_PREFIX + instance)
            if known is None or not isinstance(known.value, ServerRecord):
                continue
            is_ours = known.value.heard_by == self._node or inherits(known.value.heard_by)
            if is_ours and known.value.phase is Phase.SERVING:
                sequence = max(known.version[1], heard.sequence)
                items.append(server_item(replace(known.value, is_unresponsive=True), sequence))
        return items

    def _adopt(self, catalog: Catalog, now: float, inherits: Callable[[str], bool]) -> None:
        """Watch servers whose heartbeats came here in an earlier life of this process, or went to one that is
        gone and of which this is the heir: else nobody would tell that they are silent.
        """
        for record, version in catalog.servers():
            if record.phase is not Phase.SERVING or record.is_unresponsive or record.instance in self._heard:
                continue
            if record.heard_by == self._node or inherits(record.heard_by):
                self._heard[record.instance] = _Heard(version[1], now, now)

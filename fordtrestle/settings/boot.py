"""Reads the settings file that a process of the system is started with (DEPLOY: settings of a process).

Unknown fields are ignored, since the file may gain new ones; all faults of the known ones are told at once.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from marshmallow import EXCLUDE, Schema, ValidationError, fields, post_load, validate
from returns.result import Failure, Result, Success

from fordtrestle.settings.place import settings_path

PORT_MOST = 65_535
MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class SettingsError:
    """All that is wrong with a settings file, one line a fault."""

    faults: tuple[str, ...]


@dataclass(frozen=True, slots=True, order=True)
class Address:
    """A TCP endpoint: IPv4 address and port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """Read HOST:PORT; `ValueError` where it is not."""
        host, colon, port = text.rpartition(":")
        if not (host and colon and port.isascii() and port.isdigit() and 0 < int(port) <= PORT_MOST):
            raise ValueError(f"{text!r} is not HOST:PORT")
        return cls(host, int(port))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class Tolerance:
    """How many machines, zones or regions may be lost at once (`fault_tolerance`)."""

    machines: int = 0
    zones: int = 0
    regions: int = 0


@dataclass(frozen=True, slots=True)
class Bounds:
    """Figures of the rules that this program acts by, in seconds but for ratios and counts."""

    drain_s: float = 3.0
    grace_s: float = 8.0
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10.0
    retry_allowance: float = 0.0
    cold_overshoot: float = 1.0
    cold_slack: float = 0.0
    evacuation_s: float = 5.0
    ttl_most_s: float = 2.0


@dataclass(frozen=True, slots=True)
class Boot:
    """What one process is told at its start."""

    node_name: str
    role: str
    ip: str
    zone: str
    region: str
    zones: dict[str, str]
    listen: dict[str, Address]
    internal_ports: tuple[int, int]
    seeds: tuple[Address, ...]
    bootstrap: bool
    counts_for_quorum: bool
    data_dir: Path | None
    heartbeat_s: float
    tolerance: Tolerance
    bounds: Bounds
    memory_mb: float
    max_fds: int
    metrics: tuple[Address, str] | None  # where to tell figures, and under which path


class _AddressField(fields.String):
    def _deserialize(self, value: Any, attr: str | None, data: Any, **kwargs: Any) -> Any:
        text = super()._deserialize(value, attr, data, **kwargs)
        try:
            return Address.parse(text)
        except ValueError as error:
            raise ValidationError(str(error)) from error


_COUNT = validate.Range(min=0)
_PORT = validate.Range(min=1, max=PORT_MOST)


class _Part(Schema):
    class Meta:
        unknown = EXCLUDE


class _ToleranceSchema(_Part):
    machines = fields.Integer(load_default=0, validate=_COUNT)
    zones = fields.Integer(load_default=0, validate=_COUNT)
    regions = fields.Integer(load_default=0, validate=_COUNT)

    @post_load
    def make(self, data: dict[str, Any], **_: Any) -> Tolerance:
        return Tolerance(**data)


class _LimitsSchema(_Part):
    memory_mb = fields.Float(load_default=256.0, validate=_COUNT)
    max_fds = fields.Integer(load_default=1024, validate=_COUNT)


def _figure(default: float) -> fields.Float:
    return fields.Float(load_default=default, validate=_COUNT)


class _BoundsSchema(_Part):
    drain_ms = _figure(3000.0)
    grace_s = _figure(8.0)
    retry_budget_ratio = _figure(0.2)
    budget_window_s = _figure(10.0)
    retry_allowance = _figure(0.0)
    cold_overshoot = _figure(1.0)
    cold_slack = _figure(0.0)
    evacuation_ms = _figure(5000.0)
    ttl_max_s = _figure(2.0)

    @post_load
    def make(self, data: dict[str, Any], **_: Any) -> Bounds:
        return Bounds(
            drain_s=data["drain_ms"] / MS_PER_S,
            grace_s=data["grace_s"],
            retry_budget_ratio=data["retry_budget_ratio"],
            budget_window_s=data["budget_window_s"],
            retry_allowance=data["retry_allowance"],
            cold_overshoot=data["cold_overshoot"],
            cold_slack=data["cold_slack"],
            evacuation_s=data["evacuation_ms"] / MS_PER_S,
            ttl_most_s=data["ttl_max_s"],
        )


def _metrics(ip: str, told: str) -> tuple[Address, str] | None:
    """The place that PORT/PATH names; nothing where it names none: figures are no reason not to start."""
    port, _, path = told.partition("/")
    try:
        return Address.parse(f"{ip}:{port}"), f"/{path}"
    except ValueError:
        return None


class _BootSchema(_Part):
    node_name = fields.String(required=True, validate=validate.Length(min=1))
    role = fields.String(load_default="")
    ip = fields.IPv4(required=True)
    zone = fields.String(required=True)
    region = fields.String(required=True)
    zones = fields.Dict(keys=fields.String(), values=fields.String(), load_default=dict)
    listen = fields.Dict(keys=fields.String(), values=_AddressField(), required=True)
    internal_port_range = fields.List(
        fields.Integer(validate=_PORT), required=True, validate=validate.Length(equal=2)
    )
    seeds = fields.List(_AddressField(), required=True)
    bootstrap = fields.Boolean(load_default=False)
    counts_for_quorum = fields.Boolean(load_default=False)
    data_dir = fields.String(load_default=None, allow_none=True)
    heartbeat_ms = fields.Float(load_default=1000.0, validate=validate.Range(min=1))
    limits = fields.Nested(_LimitsSchema, load_default=lambda: _LimitsSchema().load({}))
    fault_tolerance = fields.Nested(_ToleranceSchema, load_default=Tolerance)
    bounds = fields.Nested(_BoundsSchema, load_default=Bounds)
    metrics = fields.String(load_default="", allow_none=True)

    @post_load
    def make(self, data: dict[str, Any], **_: Any) -> Boot:
        first, last = data["internal_port_range"]
        if last <= first:
            raise ValidationError("the last port must lie above the first", "internal_port_range")
        return Boot(
            node_name=data["node_name"],
            role=data["role"],
            ip=str(data["ip"]),
            zone=data["zone"],
            region=data["region"],
            zones=data["zones"] or {data["zone"]: data["region"]},
            listen=data["listen"],
            internal_ports=(first, last),
            seeds=tuple(data["seeds"]),
            bootstrap=data["bootstrap"],
            counts_for_quorum=data["counts_for_quorum"],
            data_dir=Path(data["data_dir"]) if data["data_dir"] else None,
            heartbeat_s=data["heartbeat_ms"] / MS_PER_S,
            tolerance=data["fault_tolerance"],
            bounds=data["bounds"],
            memory_mb=data["limits"]["memory_mb"],
            max_fds=data["limits"]["max_fds"],
            metrics=_metrics(str(data["ip"]), data["metrics"] or ""),
        )


def flatten(messages: Any, at: str = "") -> tuple[str, ...]:
    """One line for each fault of a marshmallow error: FIELD: reason."""
    if isinstance(messages, dict):
        parts = [flatten(below, f"{at}.{name}" if at else str(name)) for name, below in messages.items()]
        return tuple(line for part in parts for line in part)
    if isinstance(messages, list):
        return tuple(line for message in messages for line in flatten(message, at))
    return (f"{at}: {messages}",)


def parse(text: str) -> Result[Boot, SettingsError]:
    """Read the text of a settings file."""
    try:
        raw = json.loads(text)
    except ValueError as error:
        return Failure(SettingsError((f"not JSON: {error}",)))
    if not isinstance(raw, dict):
        return Failure(SettingsError(("expected a JSON object",)))
    try:
        boot: Boot = _BootSchema().load(raw)
    except ValidationError as error:
        return Failure(SettingsError(flatten(error.messages)))
    return Success(boot)


def read(path: Path | None = None) -> Result[Boot, SettingsError]:
    """Read the settings file at a path, or where the environment says."""
    path = path or Path(settings_path())
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Failure(SettingsError((f"{path}: {error}",)))
    return parse(text).alt(lambda wrong: SettingsError(tuple(f"{path}: {line}" for line in wrong.faults)))

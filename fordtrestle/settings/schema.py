"""The schema of the settings file: the known keys, their defaults, and the allowed values.

Keys and defaults are given by the deployment (DEPLOY: settings of a process). Unknown keys are ignored, since
the file may gain new ones.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

from marshmallow import EXCLUDE, Schema, ValidationError, fields, post_load, validate

from fordtrestle.settings.errors import SettingsError
from fordtrestle.settings.records import (
    MAX_PORT,
    Address,
    BootSettings,
    Bounds,
    FaultTolerance,
    MetricsEndpoint,
)

MS_PER_S = 1000.0

_NOT_NEGATIVE = validate.Range(min=0)
_PORT = validate.Range(min=1, max=MAX_PORT)


class _AddressField(fields.String):
    """HOST:PORT."""

    def _deserialize(self, value: Any, attr: str | None, data: Any, **kwargs: Any) -> Any:
        text = super()._deserialize(value, attr, data, **kwargs)
        try:
            return Address.parse(text)
        except ValueError as error:
            raise ValidationError(str(error)) from error


class _SectionSchema(Schema):
    """A JSON object whose unknown keys are ignored."""

    class Meta:
        unknown = EXCLUDE


class _FaultToleranceSchema(_SectionSchema):
    machines = fields.Integer(load_default=0, validate=_NOT_NEGATIVE)
    zones = fields.Integer(load_default=0, validate=_NOT_NEGATIVE)
    regions = fields.Integer(load_default=0, validate=_NOT_NEGATIVE)

    @post_load
    def make(self, data: dict[str, Any], **_: Any) -> FaultTolerance:
        return FaultTolerance(**data)


class _LimitsSchema(_SectionSchema):
    memory_mb = fields.Float(load_default=256.0, validate=_NOT_NEGATIVE)
    max_fds = fields.Integer(load_default=1024, validate=_NOT_NEGATIVE)


def _non_negative_float(default: float) -> fields.Float:
    return fields.Float(load_default=default, validate=_NOT_NEGATIVE)


class _BoundsSchema(_SectionSchema):
    drain_ms = _non_negative_float(3000.0)
    grace_s = _non_negative_float(8.0)
    retry_budget_ratio = _non_negative_float(0.2)
    budget_window_s = _non_negative_float(10.0)
    retry_allowance = _non_negative_float(0.0)
    cold_overshoot = _non_negative_float(1.0)
    cold_slack = _non_negative_float(0.0)
    evacuation_ms = _non_negative_float(5000.0)
    ttl_max_s = _non_negative_float(2.0)
    history_s = _non_negative_float(20.0)

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
            max_ttl_s=data["ttl_max_s"],
            history_s=data["history_s"],
        )


class _BootSchema(_SectionSchema):
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
    fault_tolerance = fields.Nested(_FaultToleranceSchema, load_default=FaultTolerance)
    bounds = fields.Nested(_BoundsSchema, load_default=Bounds)
    metrics = fields.String(load_default="", allow_none=True)
    log_sends = fields.Boolean(load_default=False)

    @post_load
    def make(self, data: dict[str, Any], **_: Any) -> BootSettings:
        first, last = data["internal_port_range"]
        if last <= first:
            raise ValidationError(
                f"expected [FIRST, LAST] with LAST above FIRST, not [{first}, {last}]", "internal_port_range"
            )
        return BootSettings(
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
            metrics=_metrics_endpoint(str(data["ip"]), data["metrics"] or ""),
            log_sends=data["log_sends"],
        )


def _metrics_endpoint(ip: str, port_and_path: str) -> MetricsEndpoint | None:
    """Return the endpoint for a value of the form PORT/PATH; `None` for any other value.

    Another form is not an error, since a process has to start even if its metrics cannot be served.
    """
    port, _, path = port_and_path.partition("/")
    try:
        return MetricsEndpoint(Address.parse(f"{ip}:{port}"), f"/{path}")
    except ValueError:
        return None


def load_settings(raw: dict[str, Any]) -> BootSettings:
    """Validate the JSON object of a settings file, and convert it to a record.

    Raises:
        SettingsError: known fields are missing or have invalid values; all errors are listed.
    """
    try:
        settings: BootSettings = _BootSchema().load(raw)
    except ValidationError as error:
        raise SettingsError(flatten_errors(error.messages)) from error
    return settings


def flatten_errors(messages: Any, field: str = "") -> tuple[str, ...]:
    """Return one line, FIELD: REASON, for each error in marshmallow's nested messages."""
    if isinstance(messages, dict):
        by_field = [
            flatten_errors(nested, f"{field}.{name}" if field else str(name))
            for name, nested in messages.items()
        ]
        return tuple(line for lines in by_field for line in lines)
    if isinstance(messages, list):
        return tuple(line for message in messages for line in flatten_errors(message, field))
    return (f"{field}: {messages}",)

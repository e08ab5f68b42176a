"""Reads and checks what operators send: whole configurations and patches.

What is checked is what makes a configuration unusable; fields that are not known are kept as they came.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from marshmallow import INCLUDE, Schema, ValidationError, fields, validate, validates_schema
from more_itertools import duplicates_everseen
from returns.result import Failure, Result, Success

from fordtrestle.settings.boot import flatten

LISTS = ("routes", "services")


@dataclass(frozen=True, slots=True)
class Invalid:
    """Why a call is refused, one line a fault."""

    faults: tuple[str, ...]


class _Open(Schema):
    class Meta:
        unknown = INCLUDE


class _Weighted(_Open):
    backend = fields.String(required=True)
    weight = fields.Float(required=True, validate=validate.Range(min=0))


class _Route(_Open):
    name = fields.String(required=True)
    authority = fields.String(required=True)
    path_prefix = fields.String(required=True, validate=validate.Length(min=1))
    route_type = fields.String(
        load_default="unsafe", validate=validate.OneOf(("safe", "unsafe", "streaming"))
    )
    timeout_ms = fields.Float(required=True, validate=validate.Range(min=0, min_inclusive=False))
    target_latency_ms = fields.Float(allow_none=True)
    gap_aim_ms = fields.Float(allow_none=True)
    priority = fields.Integer(allow_none=True)
    max_attempts = fields.Integer(allow_none=True)
    backend = fields.String(allow_none=True)
    weighted_backends = fields.List(fields.Nested(_Weighted), allow_none=True)
    home_regions = fields.List(fields.String(), allow_none=True)

    @validates_schema(skip_on_field_errors=False)
    def check_backends(self, data: Mapping[str, Any], **_: Any) -> None:
        weighted = data.get("weighted_backends")
        if not weighted and not data.get("backend"):
            raise ValidationError("a backend is needed", "backend")
        if weighted and not sum(entry.get("weight") or 0.0 for entry in weighted) > 0:
            raise ValidationError("the weights add up to 0", "weighted_backends")


class _Service(_Open):
    name = fields.String(required=True)
    health_check = fields.String(allow_none=True)
    max_connections = fields.Integer(allow_none=True)
    cold_start_s = fields.Float(allow_none=True)
    cold_rate_s = fields.Float(allow_none=True)
    engine = fields.Dict(allow_none=True)


class _Limits(_Open):
    max_header_bytes = fields.Integer(allow_none=True)
    max_body_bytes = fields.Integer(allow_none=True)
    header_timeout_ms = fields.Float(allow_none=True)
    idle_timeout_ms = fields.Float(allow_none=True)


class _Configuration(_Open):
    generation = fields.Integer(required=True, strict=True)
    routes = fields.List(fields.Nested(_Route), required=True)
    services = fields.List(fields.Nested(_Service), required=True)
    limits = fields.Nested(_Limits, allow_none=True)

    @validates_schema(skip_on_field_errors=False)
    def check_references(self, data: Mapping[str, Any], **_: Any) -> None:
        services = {service.get("name") for service in data.get("services") or ()}
        routes = data.get("routes") or ()
        faults = []
        for route in routes:
            weighted = route.get("weighted_backends") or [route]
            named = [entry.get("backend") for entry in weighted]
            unknown = [name for name in named if name and name not in services]
            faults += [f"{route.get('name')}: no service {name!r}" for name in unknown]
        places = [(str(route.get("authority", "")).lower(), route.get("path_prefix")) for route in routes]
        faults += [f"two routes at {host}{prefix}" for host, prefix in duplicates_everseen(places)]
        names = [route.get("name") for route in routes]
        faults += [f"two routes are called {name!r}" for name in duplicates_everseen(names)]
        if faults:
            raise ValidationError(faults, "routes")


class _Patch(_Open):
    generation = fields.Integer(required=True, strict=True)
    upsert = fields.Dict(keys=fields.String(), values=fields.List(fields.Dict()), load_default=dict)
    delete = fields.Dict(keys=fields.String(), values=fields.List(fields.String()), load_default=dict)


def _object(body: bytes) -> Result[dict[str, Any], Invalid]:
    try:
        raw = json.loads(body)
    except (ValueError, RecursionError) as error:
        return Failure(Invalid((f"not JSON: {error}",)))
    if not isinstance(raw, dict):
        return Failure(Invalid(("expected a JSON object",)))
    return Success(raw)


def _check(schema: Schema, raw: dict[str, Any]) -> Result[dict[str, Any], Invalid]:
    faults = schema.validate(raw)
    return Failure(Invalid(flatten(faults))) if faults else Success(raw)


def read_put(body: bytes) -> Result[dict[str, Any], Invalid]:
    """A whole configuration, checked, as it came."""
    return _object(body).bind(lambda raw: _check(_Configuration(), raw))


def read_patch(body: bytes, current: bytes) -> Result[dict[str, Any], Invalid]:
    """The configuration that a patch makes of the current document, checked."""

    def apply(patch: dict[str, Any]) -> Result[dict[str, Any], Invalid]:
        return _check(_Configuration(), _merged(json.loads(current), patch))

    if not current:
        return Failure(Invalid(("there is no configuration to patch",)))
    return _object(body).bind(lambda raw: _check(_Patch(), raw)).bind(apply)


def _merged(document: dict[str, Any], patch: dict[str, Any]) -> dict[str, Any]:
    merged = {**document, "generation": patch["generation"]}
    upsert, delete = patch.get("upsert") or {}, patch.get("delete") or {}
    for kind in dict.fromkeys((*LISTS, *upsert, *delete)):
        rows = {row["name"]: row for row in document.get(kind) or ()}
        for name in delete.get(kind) or ():
            rows.pop(name, None)
        for row in upsert.get(kind) or ():
            rows[row.get("name", "")] = row
        merged[kind] = list(rows.values())
    return merged


def check_generation(document: Mapping[str, Any], current: int) -> Result[int, Invalid]:
    """The document's generation, which has to lie above the current one."""
    generation = int(document["generation"])
    if generation <= current:
        return Failure(Invalid((f"generation: {generation} is not above {current}",)))
    return Success(generation)

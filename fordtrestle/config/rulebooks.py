"""Rulebooks from operators' files and registries' lists, and what a process is told by the rules in force.

A proposal is a file of `[service.NAME]` and `[[source.NAME.server]]` as in the operator file, read by the
same reader; `remove` names services that go. What is each process's own, such as its zone, is no rule."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Mapping
from typing import Any

import msgspec

from fordtrestle.cluster import rulebook
from fordtrestle.cluster.rulebook import (
    Acting,
    ActingService,
    Change,
    ClassRules,
    ServerRules,
    ServiceRules,
    TenantRules,
)
from fordtrestle.config import operator, options
from fordtrestle.config.operator import Operator, OperatorError
from fordtrestle.config.options import Start
from fordtrestle.config.services import ClassSpec, ServiceSpec, TenantSpec, read_services
from fordtrestle.config.sources import ServerSpec, SourceSpec, StaticSpec, read_sources
from fordtrestle.engine.ports import ServerList, parse_address
from fordtrestle.engine.schema import Fault, Faults, Table, address_text
from fordtrestle.http.requests import RequestNames
from poppypulley import model

# --- proposals --------------------------------------------------------------------------------


def read(file: str) -> Change:
    """An operator's proposal; `OperatorError` holds all that is wrong with it.

    A file without services replaces the lists of services that stand: each source is that of its own name."""
    faults = Faults()
    root = Table(operator._raw(file), "", faults)
    services = read_services(root) if root.has("service") else {}
    sources = read_sources(root)
    removed = root.words("remove")
    root.end()
    _check(services, sources, removed, faults)
    if faults.found:
        raise OperatorError(file, faults.found)
    change = Change(
        services={name: service_rules(spec) for name, spec in services.items()},
        lists=_lists(services, sources),
        removed=removed,
    )
    if lines := _refused(change):
        raise OperatorError(file, [Fault(*line.split(": ", 1)) for line in lines])
    return change


def change_of(config: Operator) -> Change:
    """What an operator file says of rules, as a change: its services, and the lists that stand in it."""
    return Change(
        services={name: service_rules(spec) for name, spec in config.services.items()},
        lists=_lists(config.services, config.sources),
    )


def _check(
    services: Mapping[str, ServiceSpec],
    sources: Mapping[str, SourceSpec],
    removed: Iterable[str],
    faults: Faults,
) -> None:
    if not (services or sources or removed or faults.found):
        faults.add("", "proposes nothing")
    for name, service in services.items():
        if service.zone:
            faults.add(f"service.{name}.zone", "each process has its own, and it is no rule")
        if isinstance(source := sources.get(service.source), StaticSpec):
            operator._check_localities(name, service, source, faults)
        if name in removed:
            faults.add("remove", f"{name} is proposed here, too")
    used = {service.source for service in services.values()}
    for name, source in sources.items():
        if not isinstance(source, StaticSpec):
            faults.add(f"source.{name}", "only lists can be proposed; a registry is asked by each process")
        elif services and name not in used:
            faults.add(f"source.{name}", "no service of this file has it")


def _refused(change: Change) -> list[str]:
    """What `check` says of it by itself; lists of services that stand elsewhere are checked with those."""
    services = change.services or {}
    lists = {name: rows for name, rows in (change.lists or {}).items() if name in services}
    return rulebook.check(rulebook.apply(rulebook.EMPTY, Change(services, lists), 1))


def _lists(
    services: Mapping[str, ServiceSpec], sources: Mapping[str, SourceSpec]
) -> dict[str, tuple[ServerRules, ...]]:
    """The lists that stand in a file, by service."""
    of = {name: sources.get(spec.source) for name, spec in services.items()} if services else sources
    return {name: _servers(source) for name, source in of.items() if isinstance(source, StaticSpec)}


def _servers(source: StaticSpec) -> tuple[ServerRules, ...]:
    rows = [_server(server) for server in source.servers if server.address is not None]
    return tuple(sorted(rows, key=lambda row: row.name))


def _server(server: ServerSpec) -> ServerRules:
    assert server.address is not None
    return ServerRules(
        name=server.name,
        address=address_text(server.address),
        zone=server.zone,
        kind=server.kind,
        group=server.cell,
        weight=server.weight,
    )


def from_listing(listed: ServerList, service: ServiceSpec | ServiceRules) -> tuple[ServerRules, ...]:
    """A registry's whole list as rules; what has left or has no address can't be sent to, and is not in it.

    `ValueError` names a server of which no rule can tell."""
    rows = [
        _listed(entry, address_text(listed.addresses[entry.server]), service)
        for entry in listed.entries
        if entry.state != "left" and entry.server in listed.addresses
    ]
    return tuple(sorted(rows, key=lambda row: row.name))


def _listed(entry: model.Listing, address: str, service: ServiceSpec | ServiceRules) -> ServerRules:
    raw = {
        "name": entry.server,
        "address": address,
        "status": entry.state,
        "incarnation": int(entry.started),
        "zone": service.zones[entry.zone] if entry.zone < len(service.zones) else "",
        "kind": service.kinds[entry.kind] if entry.kind < len(service.kinds) else "",
        "group": entry.cell,
        "weight": float(entry.weight),
    }
    try:
        return msgspec.convert([raw[key] for key in ServerRules.__struct_fields__], ServerRules)
    except msgspec.ValidationError as error:
        raise ValueError(f"server {entry.server!a}: {error}") from None


# --- rules of services ------------------------------------------------------------------------


def service_rules(spec: ServiceSpec) -> ServiceRules:
    """What a service's table says of rules: all but its source and the process's zone."""
    figures = {key: getattr(spec, key) for key in _SAME}
    return ServiceRules(
        classes=tuple(ClassRules(name, **_fields(row)) for name, row in spec.classes.items()),
        tenants=tuple(TenantRules(**_fields(row)) for row in spec.tenants),
        **figures,
    )


def service_spec(rules: ServiceRules, source: str, zone: str = "") -> ServiceSpec:
    """The same back, for a process with that source and zone; a zone that the rules lack counts as none."""
    figures = {key: getattr(rules, key) for key in _SAME}
    return ServiceSpec(
        source=source,
        classes={row.name: _class(row) for row in rules.classes},
        tenants=tuple(TenantSpec(row.name, row.share, row.allowance_per_s) for row in rules.tenants),
        zone=zone if zone in rules.zones else "",
        **figures,
    )


_SAME = [key for key in ServiceRules.__struct_fields__ if key not in ("classes", "tenants")]


def _fields(row: ClassSpec | TenantSpec) -> dict[str, Any]:
    return {field.name: getattr(row, field.name) for field in dataclasses.fields(row)}


def _class(row: ClassRules) -> ClassSpec:
    return ClassSpec(**{key: getattr(row, key) for key in row.__struct_fields__ if key != "name"})


# --- the rules in force -----------------------------------------------------------------------


def acted_on(config: Operator, acting: Acting) -> Operator:
    """An operator file with the rules in force in place of its own; all of `options` can be made of it but
    `names` (see `names_of`) and lists (see `server_list_of`).

    A service that the rules lack, or leave no class, stays as the file has it: nothing may be done for it."""
    services = dict(config.services)
    for name, spec in config.services.items():
        acted = acting.services.get(name)
        if acted is not None and acted.rules.classes:
            services[name] = service_spec(_enforced(acted), spec.source, spec.zone)
    return dataclasses.replace(config, services=services)


def settings_of(acting: Acting, config: Operator, service: str, start: Start) -> model.Settings:
    """The decision module's settings for a service by the rules in force; raises as `options.settings`."""
    return options.settings(acted_on(config, acting), service, start)


def names_of(acting: Acting, service: str) -> RequestNames:
    """A service's classes and tenants, as requests name them, in the order of `settings_of`.

    Requests are written by the effective rulebook, whatever is pending."""
    rules, forms = acting.services[service].rules, acting.services[service].forms
    rows = tuple(msgspec.structs.replace(row, semantics=forms[row.name]) for row in rules.classes)
    return options.names(service_spec(msgspec.structs.replace(rules, classes=rows), ""))


def server_list_of(acting: Acting, service: str, version: int) -> ServerList:
    """A service's servers by the rules in force, as a whole list."""
    acted = acting.services[service]
    zones = {zone: place for place, zone in enumerate(acted.rules.zones)}
    kinds = {kind: place for place, kind in enumerate(acted.rules.kinds)}
    cells = _cells(acted)
    rows = [server.rules for server in acted.servers.values()]
    entries = [
        model.Listing(
            server=row.name,
            zone=zones.get(row.zone, 0),
            kind=kinds.get(row.kind, 0),
            cell=cells[row.name],
            state=row.status,
            weight=row.weight,
            started=float(row.incarnation),
        )
        for row in rows
    ]
    return ServerList(version, True, entries, {row.name: parse_address(row.address) for row in rows})


def _enforced(service: ActingService) -> ServiceRules:
    """The rules with classes as the decision module keeps to them.

    Guards against repeats of calls that came without a key, and against groups of which a server's zone
    does not tell while rulebooks differ in it: their cells do then."""
    by_cell = _zones_differ(service)
    rows = []
    for row in service.rules.classes:
        if row.semantics == "keyed" and service.forms[row.name] != "keyed":
            row = msgspec.structs.replace(row, semantics="unsafe", group="cell", key_window_ms=0.0)
        elif row.semantics == "keyed" and row.group == "zone" and by_cell:
            row = msgspec.structs.replace(row, group="cell")
        rows.append(row)
    return msgspec.structs.replace(service.rules, classes=tuple(rows))


def _cells(service: ActingService) -> dict[str, int]:
    """The cell of each server; where rulebooks differ, numbers that split servers wherever one does."""
    servers = service.servers.values()
    if _zones_differ(service):
        parts = {row.rules.name: (row.zone_part, row.group_part) for row in servers}
        numbers = {part: number for number, part in enumerate(dict.fromkeys(parts.values()))}
        return {name: numbers[part] for name, part in parts.items()}
    if len({row.group_part for row in servers}) > len({row.rules.group for row in servers}):
        return {row.rules.name: row.group_part for row in servers}
    return {row.rules.name: row.rules.group for row in servers}


def _zones_differ(service: ActingService) -> bool:
    """Whether some rulebooks have servers in one zone that are in two by others."""
    if all(row.semantics != "keyed" or row.group != "zone" for row in service.rules.classes):
        return False
    zone_index = {zone: index for index, zone in enumerate(service.rules.zones)}
    servers = service.servers.values()
    newest = {zone_index.get(row.rules.zone, 0) for row in servers}
    return len({row.zone_part for row in servers}) > len(newest)

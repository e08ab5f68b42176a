"""The tables `[source.NAME]`: the sources of the services' endpoint lists. Pure."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from fordtrestle.proxy.engine.ports import Address
from fordtrestle.proxy.engine.schema import TomlTable, or_nan

DEFAULT_ASK_WITHIN_MS = 10_000.0  # the default of the decision module


@dataclass(frozen=True, slots=True)
class ServerSpec:
    """`[[source.NAME.server]]`: one server; `weight` is its capacity relative to the other servers."""

    name: str
    address: Address | None
    zone: str
    kind: str
    cell: int
    weight: float


@dataclass(frozen=True, slots=True)
class StaticSpec:
    """`kind = "static"`: the servers are listed in the file."""

    servers: tuple[ServerSpec, ...]


@dataclass(frozen=True, slots=True)
class RegistrySpec:
    """`kind = "registry"`: a registry serves the list over HTTP.

    Attributes:
        address: The address of the registry; None only if the file has a fault.
        pushed: Whether a watch for changes is always open; otherwise the list is requested when needed.
        ask_within_ms: The longest delay of a change if the list is requested, in milliseconds.
    """

    address: Address | None
    pushed: bool
    ask_within_ms: float


SourceSpec = StaticSpec | RegistrySpec
KINDS = ("static", "registry")


def read_sources(root: TomlTable) -> dict[str, SourceSpec]:
    """Read all sources of a file, and record their faults in `root`."""
    return {name: _read_source(table) for name, table in root.named_tables("source")}


def _read_source(table: TomlTable) -> SourceSpec:
    kind = table.choice("kind", KINDS)
    if not kind:  # the fault is recorded already, and must not make services with this source faulty
        return RegistrySpec(None, True, 0.0)
    return _read_static(table) if kind == "static" else _read_registry(table)


def _read_static(table: TomlTable) -> StaticSpec:
    rows = table.array_of_tables("server", required=True)
    servers = tuple(_read_server(row) for row in rows)
    _check_unique(rows, "name", [server.name or None for server in servers])
    _check_unique(rows, "address", [server.address and str(server.address) for server in servers])
    table.reject_unknown_keys()
    return StaticSpec(servers)


def _read_server(table: TomlTable) -> ServerSpec:
    spec = ServerSpec(
        name=table.identifier("name"),
        address=table.address("address"),
        zone=table.identifier("zone", ""),
        kind=table.identifier("kind", ""),
        cell=table.integer("cell", 0) or 0,
        weight=or_nan(table.number("weight", 1.0, 1e-3, 1000.0)),
    )
    table.reject_unknown_keys()
    return spec


def _check_unique(rows: Sequence[TomlTable], key: str, values: Sequence[str | None]) -> None:
    """Record a fault for each row that repeats an earlier value: one of the servers would be lost."""
    first_rows: dict[str, int] = {}
    for i, value in enumerate(values):
        if value is not None and first_rows.setdefault(value, i) != i:
            rows[i].add_error(key, f"already used by server[{first_rows[value]}]")


def _read_registry(table: TomlTable) -> RegistrySpec:
    spec = RegistrySpec(
        address=table.address("address", allow_host_name=True),
        pushed=table.boolean("pushed", True),
        ask_within_ms=or_nan(table.number("ask_within_ms", DEFAULT_ASK_WITHIN_MS, 1.0)),
    )
    if table.has("ask_within_ms") and spec.pushed:
        table.add_error("ask_within_ms", "only allowed with pushed = false")
    table.reject_unknown_keys()
    return spec

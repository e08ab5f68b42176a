"""The tables `[source.NAME]`: where a service's list of servers comes from. Pure."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from fordtrestle.proxy.engine.ports import Address
from fordtrestle.proxy.engine.schema import Table, good


@dataclass(frozen=True, slots=True)
class ServerSpec:
    """`[[source.NAME.server]]`: one server; `weight` is its size against the others'."""

    name: str
    address: Address | None
    zone: str
    kind: str
    cell: int
    weight: float


@dataclass(frozen=True, slots=True)
class StaticSpec:
    """`kind = "static"`: the servers stand in the file."""

    servers: tuple[ServerSpec, ...]


@dataclass(frozen=True, slots=True)
class RegistrySpec:
    """`kind = "registry"`: a list kept over HTTP, at `address`.

    `pushed`: changes are watched at all times; else the list is asked for when it is wanted, and news
    counts as told `ask_within_ms` later at most.
    """

    address: Address | None
    pushed: bool
    ask_within_ms: float


SourceSpec = StaticSpec | RegistrySpec
KINDS = ("static", "registry")


def read_sources(root: Table) -> dict[str, SourceSpec]:
    """All sources of a file; faults are noted in its table."""
    return {name: _source(table) for name, table in root.named("source")}


def _source(table: Table) -> SourceSpec:
    kind = table.one_of("kind", KINDS)
    if not kind:  # it is there, all the same, for who names it
        return RegistrySpec(None, True, 0.0)
    return _static(table) if kind == "static" else _registry(table)


def _static(table: Table) -> StaticSpec:
    rows = table.rows("server", needed=True)
    servers = tuple(_server(row) for row in rows)
    _once(rows, "name", [server.name or None for server in servers])
    _once(rows, "address", [server.address and str(server.address) for server in servers])
    table.end()
    return StaticSpec(servers)


def _server(table: Table) -> ServerSpec:
    read = ServerSpec(
        name=table.word("name"),
        address=table.address("address"),
        zone=table.word("zone", ""),
        kind=table.word("kind", ""),
        cell=table.count("cell", 0) or 0,
        weight=good(table.figure("weight", 1.0, 1e-3, 1000.0)),
    )
    table.end()
    return read


def _once(rows: Sequence[Table], key: str, values: Sequence[str | None]) -> None:
    """Guards against two servers of one name or at one address, of which one would be forgotten."""
    first: dict[str, int] = {}
    for i, value in enumerate(values):
        if value is not None and first.setdefault(value, i) != i:
            rows[i].fault(key, f"taken by server[{first[value]}]")


def _registry(table: Table) -> RegistrySpec:
    read = RegistrySpec(
        address=table.address("address", named=True),
        pushed=table.flag("pushed", True),
        ask_within_ms=good(table.figure("ask_within_ms", 10_000.0, 1.0)),
    )
    if table.has("ask_within_ms") and read.pushed:
        table.fault("ask_within_ms", "only where pushed = false")
    table.end()
    return read

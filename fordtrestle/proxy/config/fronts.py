"""The tables `[front.NAME]`: where clients connect, and which service they reach. Pure."""

from __future__ import annotations

import ipaddress
from collections.abc import Mapping
from dataclasses import dataclass

from fordtrestle.proxy.engine.ports import Address
from fordtrestle.proxy.engine.schema import TomlTable, address_text

PROTOCOLS = ("http",)
DEFAULT_TRACE_MB = 64  # before compression


@dataclass(frozen=True, slots=True)
class FrontSpec:
    """`[front.NAME]`.

    Attributes:
        protocol: One of `PROTOCOLS`.
        listen: One address or more, port 0 for any that is free.
        service: The name of the service that requests go to.
        guaranteed_share: Of the descriptors for connections (see `[limits]`); None: an equal part of what
            the other fronts leave of `fronts_guaranteed_share`.
        trace_file: Where each complete request is recorded, for `fordtrestle load` to replay; None: nowhere.
        trace_mb_most: Megabytes (2^20 bytes, before any compression) after which no more are recorded.
    """

    protocol: str
    listen: tuple[Address, ...]
    service: str
    guaranteed_share: float | None
    trace_file: str | None = None
    trace_mb_most: int = DEFAULT_TRACE_MB


def read_fronts(root: TomlTable) -> dict[str, FrontSpec]:
    """Read all fronts of a file; faults are recorded in its table."""
    fronts = {name: _read_front(table) for name, table in root.named_tables("front", required=True)}
    _check_addresses(root, fronts)
    return fronts


def _read_front(table: TomlTable) -> FrontSpec:
    spec = FrontSpec(
        protocol=table.choice("protocol", PROTOCOLS),
        listen=table.addresses("listen"),
        service=table.identifier("service"),
        guaranteed_share=table.share("guaranteed_share"),
        trace_file=table.file("trace_file"),
        trace_mb_most=table.integer("trace_mb_most", DEFAULT_TRACE_MB, 1, 2**20) or DEFAULT_TRACE_MB,
    )
    table.reject_unknown_keys()
    return spec


def _check_addresses(root: TomlTable, fronts: Mapping[str, FrontSpec]) -> None:
    """Record a fault for each address that another listener has, however it is written."""
    seen: list[tuple[str, Address]] = []
    for name, front in fronts.items():
        for address in front.listen:
            for other, taken in seen:
                if _overlap(address, taken):
                    reason = f"{address_text(address)} is taken by front {other}"
                    root.errors.add(f"front.{name}.listen", reason)
                    break
            seen.append((name, address))


def _overlap(one: Address, other: Address) -> bool:
    if one.port != other.port or one.port == 0:
        return False
    first, second = ipaddress.ip_address(one.host), ipaddress.ip_address(other.host)
    is_any_unspecified = first.is_unspecified or second.is_unspecified
    return first.version == second.version and (is_any_unspecified or first == second)

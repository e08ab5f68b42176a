"""The tables `[front.NAME]`: the addresses that clients connect to, and the service behind them. Pure."""

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
        listen: One or more addresses to listen at; port 0 selects a free port.
        service: The name of the service that requests go to.
        guaranteed_share: The guaranteed share of the descriptors for connections (see `[limits]`); None for
            an equal part of `fronts_guaranteed_share` less what other fronts have.
        trace_file: The file in which complete requests are recorded, for `fordtrestle load` to replay; None
            to record none.
        trace_mb_most: The size of the trace at which the recording stops, in megabytes (2^20 bytes) before
            any compression.
    """

    protocol: str
    listen: tuple[Address, ...]
    service: str
    guaranteed_share: float | None
    trace_file: str | None = None
    trace_mb_most: int = DEFAULT_TRACE_MB


def read_fronts(root: TomlTable) -> dict[str, FrontSpec]:
    """Read all fronts of a file, and record their faults in `root`."""
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
    """Record a fault for each address that another listener uses, also in another notation."""
    seen: list[tuple[str, Address]] = []
    for name, front in fronts.items():
        for address in front.listen:
            for other_name, other_address in seen:
                if _overlap(address, other_address):
                    reason = f"{address_text(address)} is already used by front {other_name}"
                    root.errors.add(f"front.{name}.listen", reason)
                    break
            seen.append((name, address))


def _overlap(first: Address, second: Address) -> bool:
    if first.port != second.port or first.port == 0:
        return False
    first_ip, second_ip = ipaddress.ip_address(first.host), ipaddress.ip_address(second.host)
    is_any_unspecified = first_ip.is_unspecified or second_ip.is_unspecified
    return first_ip.version == second_ip.version and (is_any_unspecified or first_ip == second_ip)

"""The tables `[front.NAME]`: where callers connect, and which service they reach. Pure."""

from __future__ import annotations

import ipaddress
from collections.abc import Mapping
from dataclasses import dataclass

from fordtrestle.proxy.engine.ports import Address
from fordtrestle.proxy.engine.schema import Table, address_text

PROTOCOLS = ("http",)


@dataclass(frozen=True, slots=True)
class FrontSpec:
    """`[front.NAME]`: `listen` holds one address or more, port 0 for any that is free.

    `guaranteed_share`: of the descriptors for connections (see `[limits]`); None: an equal part of what
    the other fronts leave of `fronts_guaranteed_share`.
    `trace_file`: where each whole request is recorded, for `fordtrestle load` to replay; None: nowhere.
    `trace_mb_most`: megabytes (2^20 bytes, before any compression) after which no more is.
    """

    protocol: str
    listen: tuple[Address, ...]
    service: str
    guaranteed_share: float | None
    trace_file: str | None = None
    trace_mb_most: int = 64


def read_fronts(root: Table) -> dict[str, FrontSpec]:
    """All fronts of a file; faults are noted in its table."""
    fronts = {name: _front(table) for name, table in root.named("front", needed=True)}
    _listen_once(root, fronts)
    return fronts


def _front(table: Table) -> FrontSpec:
    read = FrontSpec(
        protocol=table.one_of("protocol", PROTOCOLS),
        listen=table.addresses("listen"),
        service=table.word("service"),
        guaranteed_share=table.share("guaranteed_share"),
        trace_file=table.file("trace_file"),
        trace_mb_most=table.count("trace_mb_most", 64, 1, 2**20) or 64,
    )
    table.end()
    return read


def _listen_once(root: Table, fronts: Mapping[str, FrontSpec]) -> None:
    """Guards against two listeners of which the second can't start, however they are written."""
    seen: list[tuple[str, Address]] = []
    for name, front in fronts.items():
        for address in front.listen:
            for other, taken in seen:
                if _same(address, taken):
                    where = address_text(address)
                    root.faults.add(f"front.{name}.listen", f"{where} is taken by front {other}")
                    break
            seen.append((name, address))


def _same(one: Address, other: Address) -> bool:
    if one.port != other.port or one.port == 0:
        return False
    first, second = ipaddress.ip_address(one.host), ipaddress.ip_address(other.host)
    anywhere = first.is_unspecified or second.is_unspecified
    return first.version == second.version and (anywhere or first == second)

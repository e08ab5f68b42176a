"""A service's list as it stands after all that discovery said of it, and digests of what it says. Pure.

Work is done with news only, and for the entries that it names: the digests of the others are kept.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from hashlib import blake2b

from fordtrestle.balancer.model import Listing
from fordtrestle.proxy.engine.ports import Address, ServerList

SHOWN = 8  # hex digits of an entry's digest, where entries are told


@dataclass(frozen=True, slots=True)
class _Entry:
    """One server, the digest of all but its name and state, and what it adds to the digest of the list."""

    listing: Listing
    address: Address | None
    digest: str
    line: bytes


class Whole:
    """The list of one service.

    `version`: as discovery told it last. `digest`: 16 hex digits of the content alone, the same in every
    process that holds the same servers.
    """

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}
        self.version = 0
        self.digest = _digest(b"")

    def take(self, form: str, news: ServerList) -> bool:
        """Take in "remembered", "all" or "changes" of discovery; whether version or content is new."""
        before = (self.version, self.digest)
        named = {entry.server for entry in news.entries}
        for name in self._gone(news, named, form != "changes"):
            del self._entries[name]
        for listing in news.entries:
            self._put(listing, news.addresses.get(listing.server))
        self.version = news.version
        lines = (self._entries[name].line for name in sorted(self._entries))
        self.digest = _digest(b"\n".join(lines))
        return before != (self.version, self.digest)

    def listed(self) -> ServerList:
        """All of it, by name."""
        rows = [self._entries[name] for name in sorted(self._entries)]
        addresses = {row.listing.server: row.address for row in rows if row.address is not None}
        return ServerList(self.version, True, [row.listing for row in rows], addresses)

    def entries(self) -> dict[str, str]:
        """The state and digest of each server, as STATE/DIGEST."""
        return {
            name: f"{entry.listing.state}/{entry.digest[:SHOWN]}" for name, entry in self._entries.items()
        }

    def _gone(self, news: ServerList, named: set[str], whole: bool) -> list[str]:
        """Who is not in a whole list, or stood where a newcomer stands: the engine takes it for gone, too."""
        taken = {address for name, address in news.addresses.items() if name not in self._entries}
        return [
            name
            for name, entry in self._entries.items()
            if name not in named and (whole or entry.address in taken)
        ]

    def _put(self, listing: Listing, address: Address | None) -> None:
        known = self._entries.get(listing.server)
        if listing.state == "left":
            self._entries.pop(listing.server, None)
            return
        if address is None and known is not None:
            address = known.address
        if known is None or (known.listing, known.address) != (listing, address):
            self._entries[listing.server] = _entry(listing, address)


def _entry(listing: Listing, address: Address | None) -> _Entry:
    fields = (
        listing.zone,
        listing.kind,
        listing.cell,
        address,
        float(listing.weight),
        float(listing.started),
    )
    digest = _digest(json.dumps(fields).encode())
    return _Entry(listing, address, digest, json.dumps((listing.server, listing.state, digest)).encode())


def _digest(data: bytes) -> str:
    return blake2b(data, digest_size=8).hexdigest()

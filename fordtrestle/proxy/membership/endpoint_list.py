"""The endpoint list of a service after all updates so far, and digests of its content. Pure.

An update recomputes only the digests of the entries that it names.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from hashlib import blake2b

from fordtrestle.balancer.model import Listing
from fordtrestle.proxy.engine.ports import Address, ServerList
from fordtrestle.proxy.membership.updates import UpdateForm

SHOWN_DIGEST_CHARS = 8  # hex digits of an entry's digest in events: enough to distinguish states of a server


@dataclass(frozen=True, slots=True)
class _Entry:
    """One server of the list.

    Attributes:
        listing: The entry of the server.
        address: The address of the server, if known.
        digest: The digest of everything but the server's name and state.
        digest_line: The server's part of the input of the list's digest.
    """

    listing: Listing
    address: Address | None
    digest: str
    digest_line: bytes


class EndpointList:
    """The list of one service.

    Attributes:
        version: The version of the last update.
        digest: The digest of the content without the version (16 hex digits), equal in all processes with
            the same servers.
    """

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}
        self.version = 0
        self.digest = _digest(b"")

    def apply(self, form: UpdateForm, update: ServerList) -> bool:
        """Apply an update of any form but `FAILED`; return whether the version or the content has changed."""
        before = (self.version, self.digest)
        for name in self._removed_by(update, form != UpdateForm.CHANGES):
            del self._entries[name]
        for listing in update.entries:
            self._put(listing, update.addresses.get(listing.server))
        self.version = update.version
        lines = (self._entries[name].digest_line for name in sorted(self._entries))
        self.digest = _digest(b"\n".join(lines))
        return before != (self.version, self.digest)

    def to_server_list(self) -> ServerList:
        """Return the complete list, sorted by name."""
        rows = [self._entries[name] for name in sorted(self._entries)]
        addresses = {row.listing.server: row.address for row in rows if row.address is not None}
        return ServerList(self.version, True, [row.listing for row in rows], addresses)

    def entry_digests(self) -> dict[str, str]:
        """Return the state and digest of each server, as STATE/DIGEST."""
        return {
            name: f"{entry.listing.state}/{entry.digest[:SHOWN_DIGEST_CHARS]}"
            for name, entry in self._entries.items()
        }

    def _removed_by(self, update: ServerList, is_complete: bool) -> list[str]:
        """Return the servers that an update removes without naming them.

        These are the servers missing in a complete list, and those whose address now belongs to a new server,
        which the engine removes as well.
        """
        named = {entry.server for entry in update.entries}
        taken = {address for name, address in update.addresses.items() if name not in self._entries}
        return [
            name
            for name, entry in self._entries.items()
            if name not in named and (is_complete or entry.address in taken)
        ]

    def _put(self, listing: Listing, address: Address | None) -> None:
        """Add, replace or remove an entry; one without an address keeps its previous address."""
        known = self._entries.get(listing.server)
        if listing.state == "left":
            self._entries.pop(listing.server, None)
            return
        if address is None and known is not None:
            address = known.address
        if known is None or (known.listing, known.address) != (listing, address):
            self._entries[listing.server] = _make_entry(listing, address)


def _make_entry(listing: Listing, address: Address | None) -> _Entry:
    fields = (
        listing.zone,
        listing.kind,
        listing.cell,
        address,
        float(listing.weight),
        float(listing.started),
    )
    digest = _digest(json.dumps(fields).encode())
    digest_line = json.dumps((listing.server, listing.state, digest)).encode()
    return _Entry(listing, address, digest, digest_line)


def _digest(data: bytes) -> str:
    return blake2b(data, digest_size=8).hexdigest()

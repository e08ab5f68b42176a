"""Messages by which processes bring their catalogs into line, detect failures and report outcomes. Pure.

They travel between processes (`peer/codec.py`). Rules for changes: `docs/design/versions.md`.
"""

from __future__ import annotations

from dataclasses import dataclass

from fordtrestle.dissemination.delta import ControlDelta
from fordtrestle.dissemination.items import Item, Version


@dataclass(frozen=True, slots=True)
class Update:
    """Items that are new to the sender, or that were asked for."""

    items: tuple[Item, ...]


@dataclass(frozen=True, slots=True)
class RangeDigests:
    """A digest of each range of keys, in order: ranges that differ are compared key by key."""

    digests: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class RangeVersions:
    """All keys that the sender holds in these ranges, with their versions."""

    ranges: tuple[int, ...]
    versions: tuple[tuple[str, Version], ...]


@dataclass(frozen=True, slots=True)
class Want:
    """Asks for items, and for the link to become part of the broadcast's tree (Plumtree's GRAFT)."""

    keys: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Offer:
    """Keys with the versions that the sender holds, for a peer that has not got them otherwise (IHAVE)."""

    versions: tuple[tuple[str, Version], ...]


@dataclass(frozen=True, slots=True)
class Prune:
    """What came over this link had come over others before: offers are enough from now on (PRUNE)."""


@dataclass(frozen=True, slots=True)
class IndirectProbe:
    """Asks whether the receiver has a link to a node (SWIM's ping-req)."""

    node: str


@dataclass(frozen=True, slots=True)
class IndirectProbeAck:
    """The sender has a link to that node."""

    node: str


@dataclass(frozen=True, slots=True)
class Confirm:
    """Asks a control process to hold an item, to pass it on, and to confirm that.

    Attributes:
        token: by which the sender knows the answer.
        item: the item.
    """

    token: int
    item: Item


@dataclass(frozen=True, slots=True)
class Confirmed:
    """The sender holds the item of that token."""

    token: int


@dataclass(frozen=True, slots=True)
class Outcomes:
    """How many requests to a server succeeded and failed since the sender's last report."""

    instance: str
    good: int
    bad: int


@dataclass(frozen=True, slots=True)
class OutcomeReport:
    """A sidecar's report on the servers of a service, to the control process that has to judge them."""

    service: str
    outcomes: tuple[Outcomes, ...]


GossipMessage = Update | ControlDelta | RangeDigests | RangeVersions | Want | Offer | Prune

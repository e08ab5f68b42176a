"""Messages for catalog reconciliation, failure detection and outcome reports. Pure.

They are sent between processes (`peer/codec.py`). Rules for changes: `docs/design/versions.md`.
"""

from __future__ import annotations

from dataclasses import dataclass

from fordtrestle.dissemination.delta import ControlDelta
from fordtrestle.dissemination.items import Item, Version


@dataclass(frozen=True, slots=True)
class Update:
    """Carries items that are new to the sender, or that the receiver requested."""

    items: tuple[Item, ...]


@dataclass(frozen=True, slots=True)
class RangeDigests:
    """Carries a digest of each range of keys, in order; ranges that differ are compared key by key."""

    digests: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class RangeVersions:
    """Lists all keys that the sender holds in these ranges, with their versions."""

    ranges: tuple[int, ...]
    versions: tuple[tuple[str, Version], ...]


@dataclass(frozen=True, slots=True)
class Want:
    """Requests items, and adds the link to the broadcast tree (GRAFT in Plumtree)."""

    keys: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Offer:
    """Lists keys and versions that the sender holds, so that the receiver can request them (IHAVE)."""

    versions: tuple[tuple[str, Version], ...]


@dataclass(frozen=True, slots=True)
class Prune:
    """Asks the receiver to send only offers, since this link delivered a duplicate (PRUNE)."""


@dataclass(frozen=True, slots=True)
class IndirectProbe:
    """Asks whether the receiver has a link to a node (ping-req in SWIM)."""

    node: str


@dataclass(frozen=True, slots=True)
class IndirectProbeAck:
    """Acknowledges an indirect probe: the sender has a link to the node."""

    node: str


@dataclass(frozen=True, slots=True)
class Confirm:
    """Asks a control process to store an item, to forward it, and to acknowledge that.

    Attributes:
        token: correlates the acknowledgement with this request.
        item: the item.
    """

    token: int
    item: Item


@dataclass(frozen=True, slots=True)
class Confirmed:
    """Acknowledges that the sender has stored the item of the request with this token."""

    token: int


@dataclass(frozen=True, slots=True)
class Outcomes:
    """Counts the requests to a server that succeeded and failed since the sender's last report."""

    instance: str
    good: int
    bad: int


@dataclass(frozen=True, slots=True)
class OutcomeReport:
    """Reports request outcomes of the servers of a service to the control process that detects outliers."""

    service: str
    outcomes: tuple[Outcomes, ...]


GossipMessage = Update | ControlDelta | RangeDigests | RangeVersions | Want | Offer | Prune

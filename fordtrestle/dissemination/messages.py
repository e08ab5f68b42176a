"""What processes tell each other to bring their catalogs into line."""

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
    """A digest of each range of keys: what differs is looked into."""

    digests: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class RangeVersions:
    """All keys that the sender holds in these ranges, with their versions."""

    ranges: tuple[int, ...]
    versions: tuple[tuple[str, Version], ...]


@dataclass(frozen=True, slots=True)
class Want:
    """Asks for items."""

    keys: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Offer:
    """Keys with the versions that the sender holds, for who has not got them otherwise."""

    versions: tuple[tuple[str, Version], ...]


@dataclass(frozen=True, slots=True)
class Prune:
    """The sender has had what came over this link from others before: offers are enough."""


@dataclass(frozen=True, slots=True)
class IndirectProbe:
    """Asks whether the receiver has a link to a node."""

    node: str


@dataclass(frozen=True, slots=True)
class IndirectProbeAck:
    """The sender has a link to that node."""

    node: str


@dataclass(frozen=True, slots=True)
class Confirm:
    """Asks a control process to hold an item, to pass it on, and to say that it does."""

    token: int
    item: Item


@dataclass(frozen=True, slots=True)
class Confirmed:
    """The item of that token is held."""

    token: int


@dataclass(frozen=True, slots=True)
class Outcomes:
    """How requests to a server ended since the sender's last report."""

    instance: str
    good: int
    bad: int


@dataclass(frozen=True, slots=True)
class OutcomeReport:
    """A sidecar's report on the servers of a service, to the control process that is to judge them."""

    service: str
    outcomes: tuple[Outcomes, ...]


GossipMessage = Update | ControlDelta | RangeDigests | RangeVersions | Want | Offer | Prune

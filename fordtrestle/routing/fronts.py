"""Which sidecars a client is told to connect to (PROTOCOL: ingress; RULES: HOME). Pure.

`docs/design/planned-ends.md` has the table of situations.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass
from enum import Enum, auto

from fordtrestle.dissemination.items import Availability, MemberRecord

SETTLED_S = 3.0  # after its start a directory has links to all sidecars that it can reach


class Reach(Enum):
    """How far from a client the sidecars are that it is told."""

    ZONE = auto()
    REGION = auto()
    ELSEWHERE = auto()
    NOBODY = auto()


@dataclass(frozen=True, slots=True)
class Asker:
    """A client that asks: where it is, and which regions its host is bound to."""

    region: str
    zone: str
    homes: frozenset[str] | None  # of the host's routes that have homes; nothing where none has any

    @property
    def bound(self) -> frozenset[str] | None:
        """The regions that a sidecar for it may be in; nothing where all may."""
        return None if self.homes is None else self.homes | {self.region}


class Fronts:
    """The sidecars that a directory knows, as it sees them at one moment."""

    def __init__(self, members: Iterable[MemberRecord], linked: Collection[str]) -> None:
        """`linked` are the nodes that this directory has a link to: whom it cannot reach may be gone."""
        self._all = [member for member in members if member.front]
        self._linked = linked

    def choose(self, asker: Asker, settled: bool) -> list[MemberRecord]:
        """The sidecars for a client, of the first kind in this order that there are any of.

        Its own region goes first, also by those that are told to end, as long as they serve. A host with
        homes is led to homes, and outside of them only once all of their sidecars, and of the client's
        region, are told to be down. A directory that has just started knows few, and names no other region.
        """
        ready, heard = self._with(Availability.READY), self._heard(Availability.READY)
        region = asker.region
        return (
            _nearest(heard, asker)
            or _nearest(self._heard(Availability.LEAVING), asker)
            or (settled and _within(heard, asker.bound))
            or _within(self._heard(Availability.CLOSING), {region})
            or _nearest(ready, asker)
            or (settled and _within(ready, asker.bound))
            or (settled and self._all_down(asker.bound) and (heard or ready))
            or []
        )

    def _with(self, availability: Availability) -> list[MemberRecord]:
        return [member for member in self._all if member.availability is availability]

    def _heard(self, availability: Availability) -> list[MemberRecord]:
        return [member for member in self._with(availability) if member.node in self._linked]

    def _all_down(self, regions: Collection[str] | None) -> bool:
        """Whether none of these regions has a sidecar that is, or that may come back at any moment."""
        return all(member.availability is Availability.DOWN for member in _within(self._all, regions))


def _within(members: Sequence[MemberRecord], regions: Collection[str] | None) -> list[MemberRecord]:
    return [member for member in members if regions is None or member.region in regions]


def _nearest(members: Sequence[MemberRecord], asker: Asker) -> list[MemberRecord]:
    """Those of a client's zone, or else of its region."""
    of_region = _within(members, {asker.region})
    return [member for member in of_region if member.zone == asker.zone] or of_region


def reach_of(fronts: Sequence[MemberRecord], asker: Asker) -> Reach:
    """How far the sidecars are that a client was told."""
    if not fronts:
        return Reach.NOBODY
    if all(member.zone == asker.zone for member in fronts):
        return Reach.ZONE
    return Reach.REGION if len(_within(fronts, {asker.region})) == len(fronts) else Reach.ELSEWHERE


def may_close(me: MemberRecord, members: Iterable[MemberRecord]) -> bool:
    """Whether a sidecar that is told to end may send its clients elsewhere.

    It may while its region is served without it: another one is ready there, or is told to end as well and
    has a later turn. They end one after the other, the first by name at once, so that it is back while the
    last still serves. It may, too, where none is about to be ready: to be back soon is then all that helps.
    """
    others = [m for m in members if m.front and m.region == me.region and m.node != me.node]
    served = any(
        other.availability is Availability.READY
        or (other.availability is Availability.LEAVING and other.node > me.node)
        for other in others
    )
    return served or all(other.availability is Availability.DOWN for other in others)

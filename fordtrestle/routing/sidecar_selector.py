"""Which sidecars a client is told to connect to (PROTOCOL: ingress; RULES: HOME). Pure.

`docs/design/planned-ends.md` has the table of situations.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass
from enum import Enum, auto

from fordtrestle.dissemination.items import Availability, MemberRecord
from fordtrestle.routing.common import NodeName, RegionName, ZoneName

STARTUP_SETTLE_S = 3.0  # after its start, in which a directory gets links to all sidecars that it can reach


class Reach(Enum):
    """How far from a client the sidecars are that it is told; the names are shown in metrics and the log."""

    ZONE = auto()
    REGION = auto()
    ELSEWHERE = auto()
    NOBODY = auto()


@dataclass(frozen=True, slots=True)
class ClientLocation:
    """Where a client is, and where its requests may go.

    Attributes:
        region: Its region.
        zone: Its zone.
        home_regions: The home regions of the routes of its host; `None` where none of them has any.
    """

    region: RegionName
    zone: ZoneName
    home_regions: frozenset[RegionName] | None

    @property
    def allowed_regions(self) -> frozenset[RegionName] | None:
        """The regions that a sidecar for it may be in; `None` where all may."""
        return None if self.home_regions is None else self.home_regions | {self.region}


class SidecarSelector:
    """Selects among the sidecars that a directory knows, as it sees them at one moment."""

    def __init__(self, members: Iterable[MemberRecord], linked: Collection[NodeName]) -> None:
        """Begin with a picture of the members.

        Args:
            members: All members; those that serve no clients are left out.
            linked: The nodes that this directory has a link to. Others may be gone before it is told.
        """
        self._all = [member for member in members if member.front]
        self._linked = linked

    def select(self, client: ClientLocation, is_settled: bool) -> list[MemberRecord]:
        """Return the sidecars for a client: the first kind, in this order, of which there are any.

        Its own region goes first, also by sidecars that are shutting down, as long as they serve. A host with
        home regions is led to these, and outside of them only once all of their sidecars, and of the client's
        region, are reported to be down.

        Args:
            client: The client.
            is_settled: Whether this directory has had the time to get its links. One that has just started
                knows few sidecars, and names no other region.
        """
        ready, linked_ready = (
            self._with_availability(Availability.READY),
            self._linked_with_availability(Availability.READY),
        )
        allowed = client.allowed_regions
        return (
            _nearest(linked_ready, client)
            or _nearest(self._linked_with_availability(Availability.LEAVING), client)
            or (is_settled and _in_regions(linked_ready, allowed))
            or _in_regions(self._linked_with_availability(Availability.CLOSING), {client.region})
            or _nearest(ready, client)
            or (is_settled and _in_regions(ready, allowed))
            or (is_settled and self._are_all_down(allowed) and (linked_ready or ready))
            or []
        )

    def _with_availability(self, availability: Availability) -> list[MemberRecord]:
        return [member for member in self._all if member.availability is availability]

    def _linked_with_availability(self, availability: Availability) -> list[MemberRecord]:
        return [member for member in self._with_availability(availability) if member.node in self._linked]

    def _are_all_down(self, regions: Collection[RegionName] | None) -> bool:
        """Return whether none of these regions has a sidecar that is, or that may come back at any moment."""
        return all(member.availability is Availability.DOWN for member in _in_regions(self._all, regions))


def _in_regions(
    members: Sequence[MemberRecord], regions: Collection[RegionName] | None
) -> list[MemberRecord]:
    """Return those of some regions; all where `regions` is `None`."""
    return [member for member in members if regions is None or member.region in regions]


def _nearest(members: Sequence[MemberRecord], client: ClientLocation) -> list[MemberRecord]:
    """Return those of a client's zone, or else of its region."""
    of_region = _in_regions(members, {client.region})
    return [member for member in of_region if member.zone == client.zone] or of_region


def reach_of(sidecars: Sequence[MemberRecord], client: ClientLocation) -> Reach:
    """Return how far the sidecars are that a client is told."""
    if not sidecars:
        return Reach.NOBODY
    if all(member.zone == client.zone for member in sidecars):
        return Reach.ZONE
    is_local = len(_in_regions(sidecars, {client.region})) == len(sidecars)
    return Reach.REGION if is_local else Reach.ELSEWHERE


def can_close(own_record: MemberRecord, members: Iterable[MemberRecord]) -> bool:
    """Return whether a sidecar that is shutting down may send its clients elsewhere.

    It may while its region is served without it: another one is ready there, or is shutting down as well and
    has a later turn. They close in the order of their names, so that of several that are told to shut down at
    one moment the first is back while the last still serves. It may, too, where none is about to be ready: to
    be back soon is then all that helps.

    Args:
        own_record: The record of the sidecar.
        members: All members.
    """
    others = [m for m in members if m.front and m.region == own_record.region and m.node != own_record.node]
    if all(other.availability is Availability.DOWN for other in others):
        return True
    return any(_serves_longer(other, own_record) for other in others)


def _serves_longer(other: MemberRecord, own_record: MemberRecord) -> bool:
    """Return whether another sidecar of the region serves for longer than this one."""
    if other.availability is Availability.READY:
        return True
    return other.availability is Availability.LEAVING and other.node > own_record.node

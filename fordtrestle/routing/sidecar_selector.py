"""Selects the sidecars that a client may connect to (PROTOCOL: ingress; RULES: HOME). Pure.

`docs/design/planned-ends.md` contains the table of situations.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass
from enum import Enum, auto

from fordtrestle.dissemination.items import Availability, MemberRecord
from fordtrestle.routing.common import NodeName, RegionName, ZoneName

STARTUP_SETTLE_S = 3.0  # time after the start in which a directory connects to all reachable sidecars


class Reach(Enum):
    """The distance between a client and the selected sidecars; the names appear in metrics and the log."""

    ZONE = auto()
    REGION = auto()
    ELSEWHERE = auto()
    NOBODY = auto()


@dataclass(frozen=True, slots=True)
class ClientLocation:
    """The location of a client and the home regions of the host that it requests.

    Attributes:
        region: The client's region.
        zone: The client's zone.
        home_regions: The home regions of the host's routes; `None` if none of them has any.
    """

    region: RegionName
    zone: ZoneName
    home_regions: frozenset[RegionName] | None

    @property
    def allowed_regions(self) -> frozenset[RegionName] | None:
        """The regions whose sidecars the client may use; `None` if it may use all."""
        return None if self.home_regions is None else self.home_regions | {self.region}


class SidecarSelector:
    """Selects among the sidecars in one snapshot of a directory's state."""

    def __init__(self, members: Iterable[MemberRecord], linked: Collection[NodeName]) -> None:
        """Create a selector for a snapshot of the members.

        Args:
            members: All members; those that serve no clients are ignored.
            linked: The nodes that this directory has a link to. Other nodes may fail before it is notified.
        """
        self._all = [member for member in members if member.front]
        self._linked = linked

    def select(self, client: ClientLocation, is_settled: bool) -> list[MemberRecord]:
        """Return the sidecars for a client: the first non-empty group, in the order of preference below.

        The client's own region is preferred, including sidecars that are shutting down but still serve. The
        clients of a host with home regions are directed to these, and elsewhere only when all sidecars in the
        home regions and in the client's region are reported down.

        Args:
            client: The client.
            is_settled: Whether this directory has had time to connect its links. A directory that has just
                started knows few sidecars, and selects none in other regions.
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
        """Return whether every sidecar in these regions is down, so that none serves or is about to."""
        return all(member.availability is Availability.DOWN for member in _in_regions(self._all, regions))


def _in_regions(
    members: Sequence[MemberRecord], regions: Collection[RegionName] | None
) -> list[MemberRecord]:
    """Return the members in these regions; all members if `regions` is `None`."""
    return [member for member in members if regions is None or member.region in regions]


def _nearest(members: Sequence[MemberRecord], client: ClientLocation) -> list[MemberRecord]:
    """Return the members in a client's zone; those in its region if there are none."""
    in_region = _in_regions(members, {client.region})
    return [member for member in in_region if member.zone == client.zone] or in_region


def reach_of(sidecars: Sequence[MemberRecord], client: ClientLocation) -> Reach:
    """Return the distance between a client and the sidecars selected for it."""
    if not sidecars:
        return Reach.NOBODY
    if all(member.zone == client.zone for member in sidecars):
        return Reach.ZONE
    is_local = len(_in_regions(sidecars, {client.region})) == len(sidecars)
    return Reach.REGION if is_local else Reach.ELSEWHERE


def can_close(own_record: MemberRecord, members: Iterable[MemberRecord]) -> bool:
    """Return whether a sidecar that is shutting down may direct its clients to other sidecars.

    It may do so if another sidecar in its region is ready, or is shutting down too but closes later. Sidecars
    close in the order of their names, so that of several that shut down together the first is back while the
    last still serves. It may also do so if all other sidecars in the region are down: then only an early
    restart helps.

    Args:
        own_record: The record of this sidecar.
        members: All members.
    """
    others = [m for m in members if m.front and m.region == own_record.region and m.node != own_record.node]
    if all(other.availability is Availability.DOWN for other in others):
        return True
    return any(_serves_longer(other, own_record) for other in others)


def _serves_longer(other: MemberRecord, own_record: MemberRecord) -> bool:
    """Return whether another sidecar in the region is ready, or closes later than this one."""
    if other.availability is Availability.READY:
        return True
    return other.availability is Availability.LEAVING and other.node > own_record.node

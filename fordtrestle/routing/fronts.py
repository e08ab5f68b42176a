"""Which sidecars a client is told to connect to (PROTOCOL: ingress). Pure."""

from __future__ import annotations

from collections.abc import Collection, Sequence
from enum import Enum, auto

from fordtrestle.dissemination.items import Availability, MemberRecord

SETTLED_S = 3.0  # after its start a directory has links to all sidecars that it can reach


class Reach(Enum):
    """How far from a client the sidecars are that it is told."""

    ZONE = auto()
    REGION = auto()
    ELSEWHERE = auto()
    NOBODY = auto()


def reach_of(fronts: Sequence[MemberRecord], region: str, zone: str) -> Reach:
    """How far the sidecars are that a client of a zone was told."""
    if not fronts:
        return Reach.NOBODY
    if all(member.zone == zone for member in fronts):
        return Reach.ZONE
    return Reach.REGION if all(member.region == region for member in fronts) else Reach.ELSEWHERE


def choose_fronts(
    members: Collection[MemberRecord], in_touch: Collection[str], region: str, zone: str, settled: bool
) -> list[MemberRecord]:
    """The sidecars for a client: those of its zone, else of its region, else all.

    A settled directory goes by its own links first. One that has just started names whoever says that it is
    ready, and never another region: it does not know yet whom the client's own has.
    """
    ready = [member for member in members if member.front and member.availability is Availability.READY]
    heard = [member for member in ready if member.node in in_touch]
    for among in (heard, ready):
        near = [member for member in among if member.zone == zone]
        near = near or [member for member in among if member.region == region]
        if near:
            return near
        if settled and among:
            return among
    return []

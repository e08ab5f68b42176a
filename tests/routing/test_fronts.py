"""Whom the directory names to a client."""

from __future__ import annotations

from fordtrestle.dissemination.items import Availability, MemberRecord
from fordtrestle.routing.fronts import choose_fronts


def member(node, zone, region, availability=Availability.READY):
    return MemberRecord(node, "sidecar", zone, region, f"{node}:1", f"{node}:80", availability)


NEAR = member("near", "z-1", "r-1")
BESIDE = member("beside", "z-2", "r-1")
FAR = member("far", "z-3", "r-2")
ALL = (NEAR, BESIDE, FAR)


def named(members, in_touch, settled=True):
    return [m.node for m in choose_fronts(members, in_touch, "r-1", "z-1", settled)]


def test_those_of_the_zone_are_named_and_else_those_of_the_region_and_else_all():
    assert named(ALL, {"near", "beside", "far"}) == ["near"]
    assert named(ALL, {"beside", "far"}) == ["beside"]
    assert named(ALL, {"far"}) == ["far"], "whom this directory cannot reach may be gone"
    assert named(ALL, set()) == ["near"]


def test_a_directory_that_has_just_started_names_no_other_region():
    """It has links to few as yet, and requests that are bound to homes would be sent away from them."""
    assert named(ALL, {"far"}, settled=False) == ["near"]
    assert named((FAR,), {"far"}, settled=False) == []
    assert named((FAR,), {"far"}) == ["far"]


def test_those_that_leave_or_start_or_are_down_are_not_named():
    others = [member(a.name, "z-1", "r-1", a) for a in Availability if a is not Availability.READY]
    assert named([*others, BESIDE], {m.node for m in others}) == ["beside"]

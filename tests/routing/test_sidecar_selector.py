"""Whom the directory names to a client, situation by situation, and who may send its clients elsewhere."""

from __future__ import annotations

from dataclasses import dataclass

import pytest

from fordtrestle.dissemination.items import Availability, MemberRecord
from fordtrestle.routing.sidecar_selector import ClientLocation, Reach, SidecarSelector, can_close, reach_of

READY, LEAVING, CLOSING = Availability.READY, Availability.LEAVING, Availability.CLOSING
STARTING, DOWN = Availability.STARTING, Availability.DOWN
FREE = None  # homes of a host whose routes have none
OWN_ONLY = frozenset({"r-1"})
HOMES = frozenset({"r-1", "r-2"})
ELSEWHERE = frozenset({"r-2", "r-3"})


def member(node, zone, region, availability=READY):
    return MemberRecord(node, "sidecar", zone, region, f"{node}:1", f"{node}:80", availability)


@dataclass(frozen=True)
class Row:
    """Availability of the sidecars of the client's zone, of another zone of its region, of another home
    and of no home; the names of those that the directory has a link to; whom it names by kind of host.
    """

    near: Availability
    beside: Availability
    home: Availability = READY
    far: Availability = READY
    linked: str = "near beside home far"
    free: str = ""
    bound: str = ""  # to r-1 and r-2
    alone: str = ""  # bound to the client's own region
    settled: bool = True


ROWS = {
    "calm": Row(READY, READY, free="near", bound="near", alone="near"),
    "the zone's is told to end": Row(LEAVING, READY, free="beside", bound="beside", alone="beside"),
    "both are told to end": Row(LEAVING, LEAVING, free="near", bound="near", alone="near"),
    "one has gone, the other is told to end": Row(
        CLOSING, LEAVING, linked="beside home far", free="beside", bound="beside", alone="beside"
    ),
    "both are closing": Row(CLOSING, CLOSING, free="home far", bound="home", alone="near beside"),
    "one is closing, the other starts": Row(CLOSING, STARTING, free="home far", bound="home", alone="near"),
    "both have gone as planned": Row(CLOSING, CLOSING, linked="home far", free="home far", bound="home"),
    "both have gone, and the other home closes": Row(
        CLOSING, CLOSING, CLOSING, linked="home far", free="far"
    ),
    "both start": Row(STARTING, STARTING, free="home far", bound="home"),
    "both are lost": Row(READY, READY, linked="home far", free="home far", bound="home", alone="near"),
    "both are lost and told to be down": Row(
        DOWN, DOWN, linked="home far", free="home far", bound="home", alone="home far"
    ),
    "all homes are told to be down": Row(
        DOWN, DOWN, DOWN, linked="far", free="far", bound="far", alone="far"
    ),
    "all homes are told to be down but one that starts": Row(DOWN, STARTING, DOWN, linked="far", free="far"),
    "the own zone's has no link": Row(
        READY, READY, linked="beside", free="beside", bound="beside", alone="beside"
    ),
    "a directory without links": Row(READY, READY, linked="", free="near", bound="near", alone="near"),
    "a directory without links, own region told to be down": Row(
        DOWN, DOWN, linked="", free="home far", bound="home", alone="home far"
    ),
    "just started, no link to the own region": Row(
        READY, READY, linked="home far", free="near", bound="near", alone="near", settled=False
    ),
    "just started, own region not ready": Row(STARTING, DOWN, settled=False),
}


@pytest.mark.parametrize("kind", ["free", "bound", "alone"])
@pytest.mark.parametrize("situation", ROWS)
def test_the_named_sidecars_follow_the_table_of_situations(situation, kind):
    row = ROWS[situation]
    members = [
        member("near", "z-1", "r-1", row.near),
        member("beside", "z-2", "r-1", row.beside),
        member("home", "z-3", "r-2", row.home),
        member("far", "z-4", "r-3", row.far),
    ]
    client = ClientLocation("r-1", "z-1", {"free": FREE, "bound": HOMES, "alone": OWN_ONLY}[kind])
    named = SidecarSelector(members, set(row.linked.split())).select(client, row.settled)
    assert " ".join(one.node for one in named) == getattr(row, kind)


def test_a_client_is_served_by_its_own_region_even_if_that_is_no_home():
    members = [member("near", "z-1", "r-1"), member("home", "z-3", "r-2")]
    assert (
        SidecarSelector(members, {"near", "home"}).select(ClientLocation("r-1", "z-1", ELSEWHERE), True)
        == members[:1]
    )


def test_a_process_that_serves_no_clients_is_never_named():
    control = MemberRecord("c", "control", "z-1", "r-1", "c:1", "", READY)
    assert SidecarSelector([control], {"c"}).select(ClientLocation("r-1", "z-1", FREE), True) == []


@pytest.mark.parametrize(
    ("others", "may"),
    [
        ([], True),
        ([DOWN], True),
        ([READY], True),
        ([STARTING], False),
        ([DOWN, CLOSING], False),
        ([CLOSING, READY], True),
        ([LEAVING], True),
    ],
)
def test_a_leaving_sidecar_closes_once_its_region_is_served_without_it_or_nobody_is_to_come(others, may):
    me = member("b", "z-1", "r-1", LEAVING)
    of_region = [member(f"c{number}", "z-2", "r-1", one) for number, one in enumerate(others)]
    assert can_close(me, [me, member("far", "z-4", "r-3"), *of_region]) is may


def test_sidecars_that_shut_down_together_close_in_the_order_of_their_names():
    leaving = [member(name, "z-1", "r-1", LEAVING) for name in "abc"]
    assert [can_close(me, leaving) for me in leaving] == [True, True, False], "the last one serves on"


def test_reach_tells_how_far_the_named_sidecars_are():
    near, beside = member("near", "z-1", "r-1"), member("beside", "z-2", "r-1")
    client = ClientLocation("r-1", "z-1", FREE)
    assert reach_of([], client) is Reach.NOBODY
    assert reach_of([near], client) is Reach.ZONE
    assert reach_of([near, beside], client) is Reach.REGION
    assert reach_of([near, member("far", "z-4", "r-3")], client) is Reach.ELSEWHERE

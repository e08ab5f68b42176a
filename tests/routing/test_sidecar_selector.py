"""Which sidecars are selected for a client in each situation, and when a sidecar may close."""

from __future__ import annotations

from dataclasses import dataclass

import pytest

from fordtrestle.dissemination.items import Availability, MemberRecord
from fordtrestle.routing.sidecar_selector import ClientLocation, Reach, SidecarSelector, can_close, reach_of

READY, LEAVING, CLOSING = Availability.READY, Availability.LEAVING, Availability.CLOSING
STARTING, DOWN = Availability.STARTING, Availability.DOWN
NO_HOMES = None  # the routes of the host have no home regions
OWN_HOME_ONLY = frozenset({"r-1"})
TWO_HOMES = frozenset({"r-1", "r-2"})
OTHER_HOMES = frozenset({"r-2", "r-3"})


def member(node, zone, region, availability=READY):
    return MemberRecord(node, "sidecar", zone, region, f"{node}:1", f"{node}:80", availability)


@dataclass(frozen=True)
class Situation:
    """The state of four sidecars, and the sidecars that are expected to be selected by kind of host.

    Attributes:
        zone: Availability of the sidecar in the client's zone.
        region: Availability of the sidecar in another zone of the client's region.
        home: Availability of the sidecar in another home region.
        remote: Availability of the sidecar in a region that is no home region.
        linked: The names of the sidecars that the directory has a link to.
        unrestricted: The sidecars selected for a host without home regions.
        two_homes: The sidecars selected for a host with the home regions r-1 and r-2.
        own_home: The sidecars selected for a host whose home region is the client's own.
        is_settled: Whether the directory has had time to connect its links.
    """

    zone: Availability
    region: Availability
    home: Availability = READY
    remote: Availability = READY
    linked: str = "zone region home remote"
    unrestricted: str = ""
    two_homes: str = ""
    own_home: str = ""
    is_settled: bool = True


SITUATIONS = {
    "all ready": Situation(READY, READY, unrestricted="zone", two_homes="zone", own_home="zone"),
    "the one in the zone shuts down": Situation(
        LEAVING, READY, unrestricted="region", two_homes="region", own_home="region"
    ),
    "both in the region shut down": Situation(
        LEAVING, LEAVING, unrestricted="zone", two_homes="zone", own_home="zone"
    ),
    "one has exited, the other shuts down": Situation(
        CLOSING,
        LEAVING,
        linked="region home remote",
        unrestricted="region",
        two_homes="region",
        own_home="region",
    ),
    "both in the region are closing": Situation(
        CLOSING, CLOSING, unrestricted="home remote", two_homes="home", own_home="zone region"
    ),
    "one is closing, the other is starting": Situation(
        CLOSING, STARTING, unrestricted="home remote", two_homes="home", own_home="zone"
    ),
    "both have exited after closing": Situation(
        CLOSING, CLOSING, linked="home remote", unrestricted="home remote", two_homes="home"
    ),
    "both have exited, and the other home is closing": Situation(
        CLOSING, CLOSING, CLOSING, linked="home remote", unrestricted="remote"
    ),
    "both in the region are starting": Situation(
        STARTING, STARTING, unrestricted="home remote", two_homes="home"
    ),
    "both in the region have no link": Situation(
        READY, READY, linked="home remote", unrestricted="home remote", two_homes="home", own_home="zone"
    ),
    "both in the region are reported down": Situation(
        DOWN, DOWN, linked="home remote", unrestricted="home remote", two_homes="home", own_home="home remote"
    ),
    "all homes are reported down": Situation(
        DOWN, DOWN, DOWN, linked="remote", unrestricted="remote", two_homes="remote", own_home="remote"
    ),
    "all homes are reported down but one that is starting": Situation(
        DOWN, STARTING, DOWN, linked="remote", unrestricted="remote"
    ),
    "the one in the zone has no link": Situation(
        READY, READY, linked="region", unrestricted="region", two_homes="region", own_home="region"
    ),
    "a directory without links": Situation(
        READY, READY, linked="", unrestricted="zone", two_homes="zone", own_home="zone"
    ),
    "a directory without links, own region reported down": Situation(
        DOWN, DOWN, linked="", unrestricted="home remote", two_homes="home", own_home="home remote"
    ),
    "just started, no link to the own region": Situation(
        READY,
        READY,
        linked="home remote",
        unrestricted="zone",
        two_homes="zone",
        own_home="zone",
        is_settled=False,
    ),
    "just started, own region not ready": Situation(STARTING, DOWN, is_settled=False),
}


@pytest.mark.parametrize("host_kind", ["unrestricted", "two_homes", "own_home"])
@pytest.mark.parametrize("name", SITUATIONS)
def test_the_selected_sidecars_follow_the_table_of_situations(name, host_kind):
    situation = SITUATIONS[name]
    members = [
        member("zone", "z-1", "r-1", situation.zone),
        member("region", "z-2", "r-1", situation.region),
        member("home", "z-3", "r-2", situation.home),
        member("remote", "z-4", "r-3", situation.remote),
    ]
    client = ClientLocation(
        "r-1", "z-1", {"unrestricted": NO_HOMES, "two_homes": TWO_HOMES, "own_home": OWN_HOME_ONLY}[host_kind]
    )
    selected = SidecarSelector(members, set(situation.linked.split())).select(client, situation.is_settled)
    assert " ".join(sidecar.node for sidecar in selected) == getattr(situation, host_kind)


def test_a_client_is_served_by_its_own_region_even_if_that_is_no_home():
    members = [member("zone", "z-1", "r-1"), member("home", "z-3", "r-2")]
    assert (
        SidecarSelector(members, {"zone", "home"}).select(ClientLocation("r-1", "z-1", OTHER_HOMES), True)
        == members[:1]
    )


def test_a_process_that_serves_no_clients_is_never_selected():
    control = MemberRecord("c", "control", "z-1", "r-1", "c:1", "", READY)
    assert SidecarSelector([control], {"c"}).select(ClientLocation("r-1", "z-1", NO_HOMES), True) == []


@pytest.mark.parametrize(
    ("others", "expected"),
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
def test_a_leaving_sidecar_closes_once_its_region_is_served_without_it_or_all_others_are_down(
    others, expected
):
    own_record = member("b", "z-1", "r-1", LEAVING)
    in_region = [
        member(f"c{number}", "z-2", "r-1", availability) for number, availability in enumerate(others)
    ]
    assert can_close(own_record, [own_record, member("remote", "z-4", "r-3"), *in_region]) is expected


def test_sidecars_that_shut_down_together_close_in_the_order_of_their_names():
    leaving = [member(name, "z-1", "r-1", LEAVING) for name in "abc"]
    assert [can_close(own_record, leaving) for own_record in leaving] == [True, True, False], (
        "the last one continues to serve"
    )


def test_reach_is_the_distance_of_the_selected_sidecars():
    zone, region = member("zone", "z-1", "r-1"), member("region", "z-2", "r-1")
    client = ClientLocation("r-1", "z-1", NO_HOMES)
    assert reach_of([], client) is Reach.NOBODY
    assert reach_of([zone], client) is Reach.ZONE
    assert reach_of([zone, region], client) is Reach.REGION
    assert reach_of([zone, member("remote", "z-4", "r-3")], client) is Reach.ELSEWHERE

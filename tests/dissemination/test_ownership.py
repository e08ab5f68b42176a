"""Owners and successors: all processes that know the same members compute the same one."""

from __future__ import annotations

from fordtrestle.dissemination.items import Availability, MemberRecord
from fordtrestle.dissemination.ownership import successor_of


def member(node, role="control", availability=Availability.READY):
    return MemberRecord(node, role, "z", "r", f"{node}:1", "", availability)


def test_all_processes_agree_on_one_successor_of_a_member_that_is_down():
    members = [member(f"c-{n}") for n in range(4)] + [member("s-1", "sidecar")]
    assert successor_of("c-2", members, "control") is None, "the member is live"
    down = [*members[:2], member("c-2", availability=Availability.DOWN), *members[3:]]
    successor = successor_of("c-2", down, "control")
    assert successor in {"c-0", "c-1", "c-3"}
    assert successor == successor_of("c-2", reversed(down), "control")
    assert successor_of("forgotten", members, "control") in {f"c-{n}" for n in range(4)}
    assert successor_of("c-2", [member("s-1", "sidecar")], "control") is None

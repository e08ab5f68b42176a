"""Which member is responsible for what, by rendezvous hashing over the members that are live. Pure.

Members that know of the same live members name the same owner. While what they know differs, two may take
themselves for the owner of one key: whatever is shared out like this has to be safe to do twice.
"""

from __future__ import annotations

from collections.abc import Iterable

from fordtrestle.dissemination.items import Availability, MemberRecord
from fordtrestle.dissemination.rendezvous import weight


def live_nodes(members: Iterable[MemberRecord], role: str) -> set[str]:
    """Return the members of a role that are not known to be down."""
    return {m.node for m in members if m.role == role and m.availability is not Availability.DOWN}


def owner_of(key: str, nodes: Iterable[str]) -> str | None:
    """Return which of the nodes is responsible for a key; `None` where there are none."""
    return max(nodes, key=lambda node: weight(key, node), default=None)


def successor_of(node: str, members: Iterable[MemberRecord], role: str) -> str | None:
    """Return who takes over the duties of a member that is down or forgotten.

    Args:
        node: the member.
        members: all members that are known.
        role: the role that the successor has to have.

    Returns:
        The successor; `None` while the member is live, and where no other one of that role is.
    """
    live = live_nodes(members, role)
    return None if node in live else owner_of(node, live)

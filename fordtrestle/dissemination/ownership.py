"""Assigns keys and duties to live members by rendezvous hashing. Pure.

Members that know the same live members compute the same owner. While their knowledge differs, two members may
both consider themselves the owner of a key, so every duty that is assigned this way has to be idempotent.
"""

from __future__ import annotations

from collections.abc import Iterable

from fordtrestle.dissemination.items import Availability, MemberRecord
from fordtrestle.dissemination.rendezvous import weight


def live_nodes(members: Iterable[MemberRecord], role: str) -> set[str]:
    """Return the nodes of all members of a role that are not known to be down."""
    return {m.node for m in members if m.role == role and m.availability is not Availability.DOWN}


def owner_of(key: str, nodes: Iterable[str]) -> str | None:
    """Return the node that is responsible for a key; `None` if there are no nodes."""
    return max(nodes, key=lambda node: weight(key, node), default=None)


def successor_of(node: str, members: Iterable[MemberRecord], role: str) -> str | None:
    """Return the node that takes over the duties of a member that is down or no longer known.

    Args:
        node: the member's node.
        members: all known members.
        role: the role of the successor.

    Returns:
        The successor; `None` while the member is live, and if no other member of that role is live.
    """
    live = live_nodes(members, role)
    return None if node in live else owner_of(node, live)

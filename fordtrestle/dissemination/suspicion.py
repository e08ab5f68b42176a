"""Which fellow processes have gone. Pure.

Each is watched by a few that rendezvous hashing draws, and none is told to be down by one that merely cannot
reach it itself.

A watcher that has had no link for a while asks others whether they have one. Only if none says so in time it
tells that the member is down; a member that is not refutes that with its next word (`items.member_item`).
"""

from __future__ import annotations

import heapq
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from fordtrestle.dissemination.items import Availability, MemberRecord
from fordtrestle.dissemination.rendezvous import weight

MONITORS_PER_NODE = 3
SUSPICION_TIMEOUT_S = 4.0  # without a link, then others are asked
INDIRECT_PROBE_TIMEOUT_S = 2.0  # that they have to answer in
MAX_INDIRECT_PROBES = 5


def monitors_of(node: str, nodes: Iterable[str]) -> list[str]:
    """Who watches a node; the same everywhere."""
    others = (other for other in nodes if other != node)
    return heapq.nlargest(MONITORS_PER_NODE, others, key=lambda other: weight(node, other))


def successor_of(node: str, members: Iterable[MemberRecord], role: str) -> str | None:
    """Who takes over what was a member's, where that is down or forgotten; the same everywhere."""
    live = live_nodes(members, role)
    return None if node in live else owner_of(node, live)


def live_nodes(members: Iterable[MemberRecord], role: str) -> set[str]:
    """The members of a role that nobody has told to be down."""
    return {m.node for m in members if m.role == role and m.availability is not Availability.DOWN}


def owner_of(key: str, nodes: Iterable[str]) -> str | None:
    """Which of the nodes is responsible for a key; the same everywhere, nothing where there is none."""
    return max(nodes, key=lambda node: weight(key, node), default=None)


@dataclass(slots=True)
class _Watch:
    missed_since: float
    asked_at: float | None = None


@dataclass(frozen=True, slots=True)
class SuspicionEffects:
    """What to do now: whom to ask others about, and who is down."""

    probe: tuple[str, ...] = ()
    down: tuple[str, ...] = ()


def monitored_by(me: str, nodes: Collection[str]) -> set[str]:
    """The nodes that one of them is to watch."""
    return {node for node in nodes if node != me and me in monitors_of(node, nodes)}


@dataclass(slots=True)
class Suspicion:
    """One process's watches. Times are s of a steady clock."""

    _watches: dict[str, _Watch] = field(default_factory=dict)

    def tick(self, mine: Collection[str], linked: Collection[str], now: float) -> SuspicionEffects:
        """Go on with the watches; `mine` are the nodes to watch, `linked` those with a link."""
        for node in list(self._watches):
            if node not in mine or node in linked:
                del self._watches[node]
        probe, down = [], []
        for node in sorted(set(mine) - set(linked)):
            watch = self._watches.setdefault(node, _Watch(now))
            if watch.asked_at is None and now - watch.missed_since >= SUSPICION_TIMEOUT_S:
                watch.asked_at = now
                probe.append(node)
            elif watch.asked_at is not None and now - watch.asked_at >= INDIRECT_PROBE_TIMEOUT_S:
                del self._watches[node]
                down.append(node)
        return SuspicionEffects(tuple(probe), tuple(down))

    def on_probe_ack(self, node: str, now: float) -> None:
        """Another process has a link to it: it is only this one that cannot reach it."""
        if node in self._watches:
            self._watches[node] = _Watch(now)

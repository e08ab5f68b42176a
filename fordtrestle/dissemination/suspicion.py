"""Detects members that have failed, in the manner of SWIM (Das, Gupta, Motivala 2002). Pure.

Each member is monitored by a few others that rendezvous hashing draws, and no monitor declares a member down
merely because it cannot reach it itself: a monitor that has had no link for a while asks others whether they
have one (an indirect probe). Only if none acknowledges in time is the member declared down; a member that is
not refutes that with its next item (`items.member_item`).
"""

from __future__ import annotations

import heapq
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from fordtrestle.dissemination.rendezvous import weight

MONITORS_PER_NODE = 3  # so that one is left where two fail at the same time
SUSPICION_TIMEOUT_S = 4.0  # without a link, then others are asked
INDIRECT_PROBE_TIMEOUT_S = 2.0  # that they have to answer in
MAX_INDIRECT_PROBES = 5  # others that are asked: one that can reach the member is enough to clear it


def monitors_of(node: str, nodes: Iterable[str]) -> list[str]:
    """Return who monitors a node; the same in all processes that know of the same nodes."""
    others = (other for other in nodes if other != node)
    return heapq.nlargest(MONITORS_PER_NODE, others, key=lambda other: weight(node, other))


def monitored_by(monitor: str, nodes: Collection[str]) -> set[str]:
    """Return the nodes that one of them has to monitor."""
    return {node for node in nodes if node != monitor and monitor in monitors_of(node, nodes)}


@dataclass(frozen=True, slots=True)
class SuspicionEffects:
    """What to do now: the nodes that others are to be asked about, and those that are down."""

    probe: tuple[str, ...] = ()
    down: tuple[str, ...] = ()


@dataclass(slots=True)
class _Suspect:
    """A monitored node without a link: since when, and when others were asked. s of a steady clock."""

    unlinked_since: float
    probed_at: float | None = None


@dataclass(slots=True)
class Suspicion:
    """One process's monitoring of others. Times are s of a steady clock."""

    _suspects: dict[str, _Suspect] = field(default_factory=dict)  # by node

    def tick(self, monitored: Collection[str], linked: Collection[str], now: float) -> SuspicionEffects:
        """Return the nodes to send indirect probes for, and those that are down by now.

        Args:
            monitored: the nodes that this process has to monitor.
            linked: the nodes that it has a link to.
            now: s of a steady clock.
        """
        for node in list(self._suspects):
            if node not in monitored or node in linked:
                del self._suspects[node]
        probe, down = [], []
        for node in sorted(set(monitored) - set(linked)):
            suspect = self._suspects.setdefault(node, _Suspect(now))
            if suspect.probed_at is None and now - suspect.unlinked_since >= SUSPICION_TIMEOUT_S:
                suspect.probed_at = now
                probe.append(node)
            elif suspect.probed_at is not None and now - suspect.probed_at >= INDIRECT_PROBE_TIMEOUT_S:
                del self._suspects[node]
                down.append(node)
        return SuspicionEffects(tuple(probe), tuple(down))

    def on_probe_ack(self, node: str, now: float) -> None:
        """Begin anew with a node that another process has a link to: only this one cannot reach it."""
        if node in self._suspects:
            self._suspects[node] = _Suspect(now)

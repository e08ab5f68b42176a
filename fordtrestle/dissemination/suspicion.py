"""Detects members that have failed, in the manner of SWIM (Das, Gupta, Motivala 2002). Pure.

Each member is monitored by a few others, selected by rendezvous hashing. A monitor does not declare a member
down merely because it cannot reach the member itself: after `SUSPICION_TIMEOUT_S` without a link it asks
others whether they have one (an indirect probe). Only if none acknowledges in time is the member declared
down; a member that is up refutes that with its next item (`items.member_item`).
"""

from __future__ import annotations

import heapq
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from fordtrestle.dissemination.rendezvous import weight

MONITORS_PER_NODE = 3  # so that one is left if two fail at the same time
SUSPICION_TIMEOUT_S = 4.0  # time without a link before indirect probes are sent
INDIRECT_PROBE_TIMEOUT_S = 2.0  # time for others to acknowledge an indirect probe
MAX_INDIRECT_PROBES = 5  # per suspected member; one acknowledgement is enough to clear it


def monitors_of(node: str, nodes: Iterable[str]) -> list[str]:
    """Return the monitors of a node; the same in all processes that know the same nodes."""
    others = (other for other in nodes if other != node)
    return heapq.nlargest(MONITORS_PER_NODE, others, key=lambda other: weight(node, other))


def monitored_by(monitor: str, nodes: Collection[str]) -> set[str]:
    """Return the nodes that `monitor` has to monitor."""
    return {node for node in nodes if node != monitor and monitor in monitors_of(node, nodes)}


@dataclass(frozen=True, slots=True)
class SuspicionEffects:
    """The result of a tick: the nodes to send indirect probes for, and the nodes to declare down."""

    probe: tuple[str, ...] = ()
    down: tuple[str, ...] = ()


@dataclass(slots=True)
class _Suspect:
    """A monitored node without a link; times are seconds of a monotonic clock."""

    unlinked_since: float
    probed_at: float | None = None


@dataclass(slots=True)
class Suspicion:
    """Tracks the monitored nodes that a process has no link to. Times are seconds of a monotonic clock."""

    _suspects: dict[str, _Suspect] = field(default_factory=dict)  # by node

    def tick(self, monitored: Collection[str], linked: Collection[str], now: float) -> SuspicionEffects:
        """Return the nodes to send indirect probes for, and the nodes to declare down.

        Args:
            monitored: the nodes that this process has to monitor.
            linked: the nodes that it has a link to.
            now: the current time, in seconds of a monotonic clock.
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
        """Restart the suspicion of a node that another process can reach: only this process cannot."""
        if node in self._suspects:
            self._suspects[node] = _Suspect(now)

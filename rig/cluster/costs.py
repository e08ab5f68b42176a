"""The cost of agreement per node, and whether it grows with the number of nodes. Pure."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from statistics import fmean
from typing import Protocol

from rig.cluster.checkers import Finding

FIGURES = ("messages_s", "bytes_s", "syncs_s", "memory_mb", "cpu_ms_s")


class Carried(Protocol):
    """What a relay reports of one direction of a link."""

    @property
    def passed(self) -> int:
        """Bytes passed on, of both protocols."""

    @property
    def messages(self) -> int:
        """Datagrams passed on."""


class Used(Protocol):
    """What a node's processes used, over all of its lives."""

    @property
    def cpu_s(self) -> float:
        """User and system time, in seconds."""

    @property
    def rss_mb(self) -> float:
        """Resident memory, in MB."""

    @property
    def syncs(self) -> int:
        """Syncs of files and of folders, as its store reports them."""


@dataclass(frozen=True, slots=True)
class NodeCost:
    """Cost of one node: rates per second, and its memory.

    Messages and bytes are those sent and received.
    """

    node: str
    messages_s: float
    bytes_s: float
    syncs_s: float
    memory_mb: float
    cpu_ms_s: float


def costs(
    nodes: Iterable[str],
    links: Mapping[tuple[str, str], Carried],
    used: Mapping[str, Used],
    length_s: float,
    others: Iterable[str] | None = None,
) -> list[NodeCost]:
    """Return each node's cost.

    Args:
        nodes: The nodes.
        links: What each direction of each link carried, by source and destination.
        used: What each node used.
        length_s: The time that the figures cover.
        others: Only links to and from these ends count; all links if None.
    """
    names = list(nodes)
    ends = None if others is None else set(others)
    messages, passed = dict.fromkeys(names, 0), dict.fromkeys(names, 0)
    for (src, dst), carried in links.items():
        for node, other in ((src, dst), (dst, src)):
            if node in messages and (ends is None or other in ends):
                messages[node] += carried.messages
                passed[node] += carried.passed
    return [
        NodeCost(
            node,
            messages[node] / length_s,
            passed[node] / length_s,
            used[node].syncs / length_s,
            used[node].rss_mb,
            1000.0 * used[node].cpu_s / length_s,
        )
        for node in names
    ]


def growth(rows: Mapping[int, Sequence[NodeCost]]) -> dict[str, float]:
    """Return, by figure, by which share the mean node costs more at the largest size than at the smallest.

    Infinite where a figure grows from 0.

    Args:
        rows: The costs of all nodes, by the number of nodes.

    Raises:
        ValueError: There are fewer than two sizes, or one has no rows.
    """
    if len(rows) < 2 or not all(rows.values()):
        raise ValueError("growth needs costs of at least two numbers of nodes, each with rows")
    small, large = rows[min(rows)], rows[max(rows)]
    growths = {}
    for name in FIGURES:
        before, after = (fmean(getattr(row, name) for row in group) for group in (small, large))
        growths[name] = after / before - 1.0 if before else math.inf if after else 0.0
    return growths


def check_flat(
    rows: Mapping[int, Sequence[NodeCost]], share: float = 0.2, figures: Iterable[str] = FIGURES
) -> list[Finding]:
    """Check that no figure of a node grows by more than `share`; unknown with fewer than two sizes."""
    if len(rows) < 2 or not all(rows.values()):
        return [Finding("unknown", "costs", "growth needs costs of at least two numbers of nodes")]
    grown = growth(rows)
    return [
        Finding(
            "broken",
            "costs",
            f"{name} a node grows by {100.0 * grown[name]:.0f}% from {min(rows)} to {max(rows)} nodes",
        )
        for name in figures
        if not grown[name] <= share
    ]

"""What agreement costs each node, and whether that grows with their number. Pure: counts in, figures out."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from statistics import fmean
from typing import Protocol

from rig.cluster.checkers import Finding

FIGURES = ("messages_s", "bytes_s", "syncs_s", "memory_mb", "cpu_ms_s")


class Carried(Protocol):
    """What a relay tells of one direction of a link: bytes that it passed on, and datagrams."""

    @property
    def passed(self) -> int:
        """Bytes, of both protocols."""

    @property
    def messages(self) -> int:
        """Datagrams."""


class Used(Protocol):
    """What a node's processes used, all of its lives together."""

    @property
    def cpu_s(self) -> float:
        """User and system time."""

    @property
    def rss_mb(self) -> float:
        """Memory."""

    @property
    def syncs(self) -> int:
        """Of files and of folders, as its store tells."""


@dataclass(frozen=True, slots=True)
class NodeCost:
    """What one node cost, a second but for its memory. Messages and bytes: those sent and those got."""

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
    """Each node's cost over so long. `others`: only links to and from these ends count; all if None."""
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
    """By figure: by which share the mean node at the largest number of nodes costs more than at the smallest.

    Infinite where it grows from nothing; `ValueError` with fewer than two numbers, or one without rows.
    """
    if len(rows) < 2 or not all(rows.values()):
        raise ValueError("growth takes rows of two numbers of nodes")
    small, large = rows[min(rows)], rows[max(rows)]
    made = {}
    for name in FIGURES:
        before, after = (fmean(getattr(row, name) for row in some) for some in (small, large))
        made[name] = after / before - 1.0 if before else math.inf if after else 0.0
    return made


def check_flat(
    rows: Mapping[int, Sequence[NodeCost]], share: float = 0.2, figures: Iterable[str] = FIGURES
) -> list[Finding]:
    """Whether no such figure of a node grows by more than a share; unknown with fewer than two numbers."""
    if len(rows) < 2 or not all(rows.values()):
        return [Finding("unknown", "costs", "growth takes rows of two numbers of nodes")]
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

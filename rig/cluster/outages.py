"""Faults of nodes as the rig records them while it plays, for the judging afterwards. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple


class Downtime(NamedTuple):
    """A time in which a node's process did not run: from when the rig ended it to when it was ready again."""

    node: str
    from_s: float
    until_s: float
    killed: bool


@dataclass(slots=True)
class DiskFaultSpan:
    """A time in which a node's disk did not keep its promises, in milliseconds of the loop's clock.

    Attributes:
        node: The node.
        writes: The fault's word; or `emptied` or `older` if the disk was replaced after a kill. In that case
            what was stored from `begin_ms` to `end_ms` is gone.
        begin_ms: When it began.
        end_ms: When it ended; infinite while it lasts.
    """

    node: str
    writes: str
    begin_ms: float
    end_ms: float = math.inf

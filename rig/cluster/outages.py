"""What a play did to nodes, as who plays it notes it and who judges it reads it. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple


class Down(NamedTuple):
    """A node's process was away, from when the rig ended it to when it was ready again."""

    node: str
    from_s: float
    until_s: float
    killed: bool


@dataclass(slots=True)
class Faulted:
    """A disk was not what it promises, by the loop's milliseconds; infinite where it still is not.

    `writes` is the fault's word, or `emptied` or `older` for what a kill left: what was stored from
    `begin_ms` to `end_ms` is gone then.
    """

    node: str
    writes: str
    begin_ms: float
    end_ms: float = math.inf

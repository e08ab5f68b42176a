"""The epoch that is to be opened next. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from fordtrestle.replication.epochs import Epoch, Store
from fordtrestle.replication.events import Reason


@dataclass(frozen=True, slots=True)
class EpochPlan:
    """What a candidate is to open.

    Attributes:
        base: The epoch that it is opened on top of.
        witnesses: The witnesses that it is to have.
        reason: What it is opened for.
        unanimous: Ids of stores that all have to answer a `Prepare`, besides the majorities.
    """

    base: Epoch
    witnesses: tuple[Store, ...]
    reason: Reason
    unanimous: frozenset[str] = frozenset()

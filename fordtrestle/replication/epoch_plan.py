"""The plan for the next epoch. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from fordtrestle.replication.epochs import Epoch, Store
from fordtrestle.replication.events import Reason


@dataclass(frozen=True, slots=True)
class EpochPlan:
    """The epoch that a candidate should open.

    Attributes:
        base: The epoch that it succeeds.
        witnesses: Its witnesses.
        reason: Why it is opened.
        required_voters: Ids of stores that must all prepare, in addition to the majorities.
    """

    base: Epoch
    witnesses: tuple[Store, ...]
    reason: Reason
    required_voters: frozenset[str] = frozenset()

"""When a core that holds nothing yet is founded, by which store, and with which witnesses. Pure.

The store that was told to found (`bootstrap`), whose disk tells so as long as it has voted for no epoch, may
open the first one with whoever is there: it votes for it first, on disk, so that as long as it has not voted
nobody has.

Where that word was lost, with a disk or with the power before it was synced, or where the first epoch can't
be opened because a witness of it was lost before others had joined, no single store can tell a core that
never took anything from one that it has forgotten. All of a whole core together can: what is acknowledged
lies on `machines` + 1 disks, and at most `machines` are lost, so where 2 * machines + 1 stores hold nothing,
and no witness of an epoch that any of them knows is missing but for lost disks, nothing was acknowledged.
They all promise, so that no older epoch acts any more, and begin anew.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass

from fordtrestle.replication.epochs import Store, no_epoch
from fordtrestle.replication.messages import Announce
from fordtrestle.replication.opening import plan_witnesses

FEWER_S = 4.0  # from the start of the founder until it does with fewer witnesses than a whole core has
UNTOLD_S = 2.0  # for which a whole core is there without a primary until it begins anew
RETRY_S = 0.4  # from a try that failed to the next one


@dataclass(frozen=True, slots=True)
class FoundingPlan:
    """The first epoch's witnesses, and the stores that all have to promise before it is opened."""

    witnesses: tuple[Store, ...]
    unanimous: tuple[Store, ...] = ()


class Founding:
    """One store's part. Times are s of a steady clock."""

    def __init__(self, me: Store, machines: int, counts: bool, now: float) -> None:
        self._me = me
        self._whole = 2 * machines + 1
        self._fewest = machines + 1
        self._counts = counts
        self._began = now
        self._not_before = now
        self._whole_since: float | None = None

    def plan(
        self, is_founder: bool, heard: Sequence[Announce], seeds: Collection[str], now: float
    ) -> FoundingPlan | None:
        """What is to be opened now, if anything, by a store that holds nothing and hears of no primary;
        `heard` are the other live stores, `seeds` the control addresses that the settings name.
        """
        if any(other.core for other in heard):  # there is a core, which will take this store in
            self.reset()
            return None
        present = [other.store for other in heard if other.counts and not other.leaving]
        if is_founder:
            return self._as_told(present, now)
        return self._anew(present, heard, seeds, now)

    def reset(self) -> None:
        """A primary is heard, or a core: nothing is to be founded."""
        self._whole_since = None

    def failed(self, now: float) -> None:
        """A try was given up."""
        self.reset()
        self._not_before = now + RETRY_S

    def missing(self, heard: Iterable[Announce], seeds: Iterable[str]) -> list[str]:
        """The seeds that are not heard."""
        return sorted(set(seeds) - {other.store.control for other in heard} - {self._me.control})

    def _as_told(self, present: Sequence[Store], now: float) -> FoundingPlan | None:
        there = len(present) + 1
        if now < self._not_before:
            return None
        if there >= self._whole or (there >= self._fewest and now - self._began >= FEWER_S):
            return FoundingPlan(self._witnesses(present))
        return None

    def _anew(
        self, present: Sequence[Store], heard: Sequence[Announce], seeds: Collection[str], now: float
    ) -> FoundingPlan | None:
        is_whole = self._counts and len(present) + 1 >= self._whole
        if not is_whole or any(other.founder for other in heard) or self.missing(heard, seeds):
            self.reset()
            return None
        if self._whole_since is None:
            self._whole_since = now
        is_first = all(self._me.id < store.id for store in present)
        if not is_first or now - self._whole_since < UNTOLD_S:
            return None
        return FoundingPlan(self._witnesses(present), (self._me, *present))

    def _witnesses(self, present: Sequence[Store]) -> tuple[Store, ...]:
        alone = no_epoch(self._me).with_witnesses((self._me,))
        return plan_witnesses(alone, present, (), self._whole)

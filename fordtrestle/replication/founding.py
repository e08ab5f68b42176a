"""When a core that has no epoch yet is founded, by which store, and with which witnesses. Pure.

It takes a whole core, 2 * machines + 1 stores: with fewer witnesses the loss of as many disks as are
tolerated, while the others have yet to come, would leave no majority for ever.

The store that was told to found (`bootstrap`), whose disk tells so as long as it has voted for no epoch,
opens the first one. It votes for it first, on disk, so that as long as it has not voted nobody has. Where
that word was lost, with a disk or with the power before it was synced, no single store can tell a core that
never formed from one that it has forgotten. All of a whole core together can: an epoch that was opened has
the votes of `machines` + 1 of them, and at most `machines` disks are lost, so where none of them knows of an
epoch, none was opened. They all promise, and the first of them opens one.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass

from fordtrestle.replication.epochs import Store, no_epoch
from fordtrestle.replication.messages import Announce
from fordtrestle.replication.opening import plan_witnesses

UNTOLD_S = 2.0  # for which a whole core is there, with nobody told to found it, until it founds itself
RETRY_S = 0.4  # from a try that failed to the next one


@dataclass(frozen=True, slots=True)
class FoundingPlan:
    """The first epoch's witnesses, and the stores that all have to promise before it is opened."""

    witnesses: tuple[Store, ...]
    unanimous: frozenset[str] = frozenset()


class Founding:
    """One store's part. Times are s of a steady clock."""

    def __init__(self, me: Store, machines: int, counts: bool, now: float) -> None:
        self._me = me
        self._whole = 2 * machines + 1
        self._counts = counts
        self._not_before = now
        self._whole_since: float | None = None

    def plan(
        self, is_founder: bool, heard: Sequence[Announce], seeds: Collection[str], now: float
    ) -> FoundingPlan | None:
        """What is to be opened now, if anything, by a store that knows of no epoch; `heard` are the other
        live stores, `seeds` the control addresses that the settings name.
        """
        present = [other.store for other in heard if other.counts and not other.leaving]
        is_whole = len(present) + 1 >= self._whole
        if not is_whole or any(other.core for other in heard):  # a core that is there takes this store in
            self._whole_since = None
            return None
        if is_founder:
            return FoundingPlan(self._witnesses(present)) if now >= self._not_before else None
        return self._untold(present, heard, seeds, now)

    def failed(self, now: float) -> None:
        """A try was given up."""
        self._whole_since = None
        self._not_before = now + RETRY_S

    def missing(self, heard: Iterable[Announce], seeds: Iterable[str]) -> list[str]:
        """The seeds that are not heard."""
        return sorted(set(seeds) - {other.store.control for other in heard} - {self._me.control})

    def _untold(
        self, present: Sequence[Store], heard: Sequence[Announce], seeds: Collection[str], now: float
    ) -> FoundingPlan | None:
        is_told = any(other.founder for other in heard)
        if is_told or not self._counts or self.missing(heard, seeds):
            self._whole_since = None
            return None
        if self._whole_since is None:
            self._whole_since = now
        is_first = all(self._me.id < store.id for store in present)
        if not is_first or now - self._whole_since < UNTOLD_S:
            return None
        return FoundingPlan(self._witnesses(present), frozenset({self._me.id, *(s.id for s in present)}))

    def _witnesses(self, present: Sequence[Store]) -> tuple[Store, ...]:
        alone = no_epoch(self._me).with_witnesses((self._me,))
        return plan_witnesses(alone, present, (), self._whole)

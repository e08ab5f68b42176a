"""When a core that has no epoch yet is bootstrapped, by which store, and with which witnesses. Pure.

It takes a complete core, 2 * tolerated_failures + 1 stores: with fewer witnesses the loss of as many disks as
are tolerated, while the others have yet to come, would leave no majority for ever.

The founder, the store that was told to bootstrap (`bootstrap`) and whose disk says so as long as it has voted
for no epoch, opens the first one. It votes for it first, on disk, so that as long as it has not voted nobody
has.

Where its record was lost, with a disk or with the power before it was synced, no single store can tell a core
that never formed from one that it has forgotten. All of a complete core together can: an epoch that was
opened has the votes of tolerated_failures + 1 of them, and at most tolerated_failures disks are lost. So
where none of them knows of an epoch, none was opened. They all prepare, and the first of them opens one.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass

from fordtrestle.replication.epochs import Store, no_epoch
from fordtrestle.replication.messages import Announce
from fordtrestle.replication.witness_plan import plan_witnesses

UNANIMOUS_DELAY_S = 2.0  # for which a complete core has to be there, without a founder, before it goes on
BOOTSTRAP_RETRY_S = 0.4  # from an attempt that failed to the next one


@dataclass(frozen=True, slots=True)
class BootstrapPlan:
    """The first epoch's witnesses, and the ids of stores that all have to prepare before it is opened."""

    witnesses: tuple[Store, ...]
    unanimous: frozenset[str] = frozenset()


class Bootstrap:
    """One store's part in the bootstrap of its core. Times are s of a steady clock."""

    def __init__(self, me: Store, tolerated_failures: int, counts_for_quorum: bool, now: float) -> None:
        self._me = me
        self._witness_count = 2 * tolerated_failures + 1
        self._counts_for_quorum = counts_for_quorum
        self._not_before = now
        self._complete_since: float | None = None

    def plan(
        self, is_founder: bool, heard: Sequence[Announce], seeds: Collection[str], now: float
    ) -> BootstrapPlan | None:
        """What a store that knows of no epoch is to open now, if anything.

        Guards against a second core: nothing is bootstrapped beside a core that is heard, which takes this
        store in, nor with fewer stores than a complete core has.

        Args:
            is_founder: Whether this store was told to bootstrap the core, and has not voted.
            heard: What the other live stores have announced.
            seeds: The control addresses that the settings name.
            now: The time.
        """
        present = [other.store for other in heard if other.counts_for_quorum and not other.is_leaving]
        is_complete = len(present) + 1 >= self._witness_count
        if not is_complete or any(other.core for other in heard):
            self._complete_since = None
            return None
        if is_founder:
            return BootstrapPlan(self._witnesses(present)) if now >= self._not_before else None
        return self._plan_unanimous(present, heard, seeds, now)

    def on_failed(self, now: float) -> None:
        """An attempt was given up: wait before the next one."""
        self._complete_since = None
        self._not_before = now + BOOTSTRAP_RETRY_S

    def missing_seeds(self, heard: Iterable[Announce], seeds: Iterable[str]) -> list[str]:
        """The control addresses among the seeds that are not heard."""
        return sorted(set(seeds) - {other.store.control for other in heard} - {self._me.control})

    def _plan_unanimous(
        self, present: Sequence[Store], heard: Sequence[Announce], seeds: Collection[str], now: float
    ) -> BootstrapPlan | None:
        """What to open without a founder: the store with the smallest id does it, and all have to prepare.

        Guards against a core that has formed and is forgotten by those that are heard: all seeds have to be
        there, and each of them has to say that it knows of no epoch.
        """
        has_founder = any(other.is_founder for other in heard)
        if has_founder or not self._counts_for_quorum or self.missing_seeds(heard, seeds):
            self._complete_since = None
            return None
        if self._complete_since is None:
            self._complete_since = now
        is_first = all(self._me.id < store.id for store in present)
        if not is_first or now - self._complete_since < UNANIMOUS_DELAY_S:
            return None
        everyone = frozenset({self._me.id, *(store.id for store in present)})
        return BootstrapPlan(self._witnesses(present), everyone)

    def _witnesses(self, present: Sequence[Store]) -> tuple[Store, ...]:
        alone = no_epoch(self._me).with_witnesses((self._me,))
        return plan_witnesses(alone, present, (), self._witness_count)

"""Decides when a core without an epoch is bootstrapped, by which store and with which witnesses. Pure.

Bootstrapping requires a complete core of 2 * tolerated_failures + 1 stores. With fewer witnesses, losing
tolerated_failures disks before the remaining stores join would leave the core without a majority for ever.

The founder is the store whose settings say `bootstrap`; its disk records this until it has voted for an
epoch. The founder opens the first epoch. It syncs its own vote for it before it asks any other store to
accept it, so as long as the founder has not voted, no store has.

If the founder's record is lost, with its disk or by a power loss before the sync, no single store can
distinguish a core that never formed from one that it has forgotten. The stores of a complete core together
can: an opened epoch has the votes of tolerated_failures + 1 of them, and at most tolerated_failures disks are
lost. If none of them knows of an epoch, none was opened. All of them prepare, and the store with the smallest
id opens the first epoch.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass

from fordtrestle.replication.epochs import Store, no_epoch
from fordtrestle.replication.messages import Announce
from fordtrestle.replication.witness_plan import plan_witnesses

UNANIMOUS_DELAY_S = 2.0  # a complete core without a founder must be live for this long before it bootstraps
BOOTSTRAP_RETRY_S = 0.4  # delay after a failed attempt


@dataclass(frozen=True, slots=True)
class BootstrapPlan:
    """The first epoch of a core.

    Attributes:
        witnesses: The witnesses of the epoch.
        required_voters: Ids of stores that must all prepare before the epoch is opened.
    """

    witnesses: tuple[Store, ...]
    required_voters: frozenset[str] = frozenset()


class Bootstrap:
    """Decides whether this store bootstraps the core. Times are in seconds of a monotonic clock."""

    def __init__(self, me: Store, tolerated_failures: int, counts_for_quorum: bool, now: float) -> None:
        self._me = me
        self._witness_count = 2 * tolerated_failures + 1
        self._counts_for_quorum = counts_for_quorum
        self._retry_at = now
        self._complete_since: float | None = None

    def plan(
        self, is_founder: bool, announcements: Sequence[Announce], seeds: Collection[str], now: float
    ) -> BootstrapPlan | None:
        """Return the first epoch that this store should open now, or None.

        Must only be called while this store knows of no epoch. Guards against a second core: a store does not
        bootstrap while it hears from a store of an existing core, which will admit it, or while the core is
        incomplete.

        Args:
            is_founder: Whether this store was told to bootstrap the core and has not voted yet.
            announcements: The latest announcement of each other live store.
            seeds: The control addresses listed in the settings.
            now: The current time.
        """
        eligible = [
            other.store for other in announcements if other.counts_for_quorum and not other.is_leaving
        ]
        is_complete = len(eligible) + 1 >= self._witness_count
        if not is_complete or any(other.core for other in announcements):
            self._complete_since = None
            return None
        if is_founder:
            return BootstrapPlan(self._witnesses(eligible)) if now >= self._retry_at else None
        return self._plan_unanimous(eligible, announcements, seeds, now)

    def on_attempt_failed(self, now: float) -> None:
        """Delay the next attempt after one was abandoned."""
        self._complete_since = None
        self._retry_at = now + BOOTSTRAP_RETRY_S

    def missing_seeds(self, announcements: Iterable[Announce], seeds: Iterable[str]) -> list[str]:
        """Return the seeds (control addresses) from which no live store has announced itself, sorted."""
        return sorted(set(seeds) - {other.store.control for other in announcements} - {self._me.control})

    def _plan_unanimous(
        self, eligible: Sequence[Store], announcements: Sequence[Announce], seeds: Collection[str], now: float
    ) -> BootstrapPlan | None:
        """Return the first epoch to open without a founder, if this store has the smallest id, or None.

        Guards against a core that has formed but that the live stores have forgotten: every seed must be live
        and must state that it knows of no epoch.
        """
        has_founder = any(other.is_founder for other in announcements)
        if has_founder or not self._counts_for_quorum or self.missing_seeds(announcements, seeds):
            self._complete_since = None
            return None
        if self._complete_since is None:
            self._complete_since = now
        has_smallest_id = all(self._me.id < store.id for store in eligible)
        if not has_smallest_id or now - self._complete_since < UNANIMOUS_DELAY_S:
            return None
        all_ids = frozenset({self._me.id, *(store.id for store in eligible)})
        return BootstrapPlan(self._witnesses(eligible), all_ids)

    def _witnesses(self, eligible: Sequence[Store]) -> tuple[Store, ...]:
        base = no_epoch(self._me).with_witnesses((self._me,))
        return plan_witnesses(base, eligible, (), self._witness_count)

"""Membership in the core: announcements, bootstrapping, and when this store may shut down. Pure."""

from __future__ import annotations

from collections.abc import Callable, Collection

from fordtrestle.replication.bootstrap import Bootstrap
from fordtrestle.replication.candidate import Candidate
from fordtrestle.replication.context import StoreContext
from fordtrestle.replication.epoch_plan import EpochPlan
from fordtrestle.replication.epochs import Store, no_epoch
from fordtrestle.replication.events import ForeignStoreSeen, Reason, WaitReason
from fordtrestle.replication.messages import Announce
from fordtrestle.replication.primary import Primary


class Membership:
    """Tracks the members of the core for one store. Times are in seconds of a monotonic clock."""

    def __init__(
        self,
        context: StoreContext,
        primary: Primary,
        candidate: Candidate,
        bootstrap: Bootstrap,
        seeds: Callable[[], Collection[str]],
    ) -> None:
        self._context = context
        self._primary = primary
        self._candidate = candidate
        self._bootstrap = bootstrap
        self._seeds = seeds

    def announcement(self) -> Announce:
        """Return the announcement that this store sends to all other stores."""
        context, durable = self._context, self._context.durable
        is_leaving = context.detector.is_leaving
        return Announce(
            context.me, self._context.counts_for_quorum, is_leaving, durable.core, durable.is_founder
        )

    def on_announce(self, message: Announce, now: float) -> None:
        """Record an announcement; one of a store of another core is ignored, and reported once."""
        context, core, store = self._context, self._context.durable.core, message.store
        if context.peers.mark_foreign(message, core):
            context.events.record(ForeignStoreSeen(store.id, store.address, message.core))
        if context.peers.is_foreign(message, core):
            return
        context.peers.on_announce(message, now)
        self._check_for_lost_primary(store, now)

    def on_connection_lost(self, store_id: str, now: float) -> None:
        """Mark a store as disconnected, and as lost if it is the primary: its connection ended for good."""
        context = self._context
        if store_id not in context.peers.ids():
            return
        context.peers.mark_disconnected(store_id)
        accepted = context.durable.accepted_epoch
        if accepted and accepted.primary == store_id:
            context.detector.mark_lost(store_id, now)

    def plan_bootstrap(self, now: float) -> EpochPlan | None:
        """Return the plan of the core's first epoch if this store should open it now, else None."""
        context = self._context
        if context.durable.accepted_epoch or context.detector.is_leaving:
            return None
        announcements = context.peers.live_announcements(now)
        plan = self._bootstrap.plan(context.durable.is_founder, announcements, self._seeds(), now)
        if plan is None:
            return None
        return EpochPlan(no_epoch(context.me), plan.witnesses, Reason.BOOTSTRAP, plan.required_voters)

    def can_leave(self, now: float) -> bool:
        """Return whether this store may exit: as far as it knows, the open epoch no longer needs it.

        A replica is needed, and so is a witness while another store is waiting for its slot. Guards against
        two races: with a candidate that this store has promised a newer term, whose epoch may need it; and
        with other stores that shut down at the same time. If all other stores have announced that they are
        shutting down, there is nothing to wait for; a store that is not heard has not announced this.
        """
        context, epoch = self._context, self._context.epoch
        staying = context.peers.ids() - context.peers.leaving() - {context.me.id}
        if not staying:
            return True
        is_active = bool(self._primary.leadership or self._candidate.epoch_change)
        if is_active or epoch is None or context.durable.prepared_term > epoch.term:
            return False
        waiting = context.peers.joining(epoch.witness_ids, now)
        needed = epoch.witness_ids if waiting else epoch.replicas
        return context.me.id not in needed

    def record_wait(self, now: float) -> None:
        """Record an event that tells operators what this store is waiting for, at growing intervals."""
        context = self._context
        reason = self._wait_reason(now)
        if not context.events.is_wait_due(reason, now) or reason is None:
            return
        announcements = context.peers.live_announcements(now)
        missing = tuple(self._bootstrap.missing_seeds(announcements, self._seeds()))
        context.events.record_wait(reason, len(announcements), missing, now)

    def _check_for_lost_primary(self, store: Store, now: float) -> None:
        """Mark the primary as lost if another store announces itself from its machine: its disk was lost."""
        accepted = self._context.durable.accepted_epoch
        primary = accepted.store(accepted.primary) if accepted else None
        if primary and primary.id != store.id and primary.address == store.address:
            self._context.detector.mark_lost(primary.id, now)

    def _wait_reason(self, now: float) -> WaitReason | None:
        context, durable = self._context, self._context.durable
        if self._primary.leadership or self._candidate.epoch_change:
            return None
        if durable.accepted_epoch is None:
            return WaitReason.STORES if durable.is_founder else WaitReason.FOUNDER
        if context.detector.reachable_primary(now) is None:
            return WaitReason.PRIMARY
        is_witness = context.epoch is not None and context.me.id in context.epoch.witness_ids
        return WaitReason.ADMISSION if context.counts_for_quorum and not is_witness else None

"""Which stores belong to the core: who is there, when it bootstraps, when this store may end. Pure."""

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
    """One store's part in the forming and changing of the core. Times are s of a steady clock."""

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
        """What this store says of itself."""
        context, durable = self._context, self._context.durable
        is_leaving = context.detector.is_leaving
        return Announce(
            context.me, self._context.counts_for_quorum, is_leaving, durable.core, durable.is_founder
        )

    def on_announce(self, message: Announce, now: float) -> None:
        """Take note of a store, unless it is of another core, which is reported once."""
        context, core, store = self._context, self._context.durable.core, message.store
        if context.peers.is_newly_foreign(message, core):
            context.events.record(ForeignStoreSeen(store.id, store.address, message.core))
        if context.peers.is_foreign(message, core):
            return
        context.peers.on_announce(message, now)
        self._check_for_lost_primary(store, now)

    def on_connection_lost(self, store_id: str, now: float) -> None:
        """The connection to a store has ended and does not come back: it has ended, or is cut off."""
        context = self._context
        if store_id not in context.peers.ids():
            return
        context.peers.mark_disconnected(store_id)
        accepted = context.durable.accepted_epoch
        if accepted and accepted.primary == store_id:
            context.detector.mark_lost(store_id, now)

    def plan_bootstrap(self, now: float) -> EpochPlan | None:
        """The first epoch of the core, where this store is to open it now."""
        context = self._context
        if context.durable.accepted_epoch or context.detector.is_leaving:
            return None
        heard = context.peers.announced(now)
        plan = self._bootstrap.plan(context.durable.is_founder, heard, self._seeds(), now)
        if plan is None:
            return None
        return EpochPlan(no_epoch(context.me), plan.witnesses, Reason.BOOTSTRAP, plan.unanimous)

    def can_leave(self, now: float) -> bool:
        """Whether this store may end: as far as it knows, an epoch is open that needs it no more.

        It is needed as a replica, and as a witness while another store waits for its slot. Guards against two
        races: with a candidate that this store has promised a newer term, whose epoch may need it; and with
        others that shut down at the same time. Where all others have said that they end, too, there is
        nothing to wait for; those that are not heard have not said so.
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
        """Let operators know what this store waits for, at growing intervals."""
        context = self._context
        reason = self._wait_reason(now)
        if not context.events.is_wait_due(reason, now) or reason is None:
            return
        heard = context.peers.announced(now)
        missing = tuple(self._bootstrap.missing_seeds(heard, self._seeds()))
        context.events.record_wait(reason, len(heard), missing, now)

    def _check_for_lost_primary(self, store: Store, now: float) -> None:
        """Notice another store in the primary's machine: the primary's disk was lost."""
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
